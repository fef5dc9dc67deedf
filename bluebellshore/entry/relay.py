"""Hands answers of backend servers to callers."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from bluebellshore.backend import Answer, AttemptError, Outcome
from bluebellshore.entry.events import Event, EventSplitter
from bluebellshore.fleet import Call

__all__ = ["Sink", "StreamRelay", "relay_plain"]

STEP = "relay"
#: Bytes of a plain answer that are held until it is known to be whole; a larger one
#: is passed on as it comes.
HELD_BYTES = 1024 * 1024
#: Pause within a stream after which its backend server counts as silent: callers
#: leave after this pause, eight times the declared one or four times the objective.
SILENT_SECONDS = 2.0
SILENT_GAPS = 8.0
SILENT_OBJECTIVES = 4.0
#: Part of that pause after which a stream that may go on elsewhere does.
RESUME_SHARE = 0.6
EVENT_STREAM_TYPE = "text/event-stream"


class Sink(Protocol):
    """Where an answer goes.

    :ivar behind_bytes: written, and not yet taken by the caller's connection.
    """

    behind_bytes: int

    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write the head. :param length: of the body, None when it is not known."""

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""

    async def finish(self) -> None:
        """End the body as whole."""


async def relay_plain(answer: Answer, sink: Sink, *, repeat_failures: bool) -> None:
    """Pass on an answer once it is whole.

    :param repeat_failures: treat the backend server's failure as no answer.
    :raises AttemptError: the answer is not whole.
    """
    held = bytearray()
    chunks = answer.chunks()
    async for data in chunks:
        held += data
        if len(held) > HELD_BYTES:
            await _pass_on(answer, sink, bytes(held), chunks)
            return
    if repeat_failures and answer.status >= 500:
        raise AttemptError(
            f"status {answer.status}",
            step=STEP,
            peer="",
            outcome=Outcome.UNKNOWN,
            status=answer.status,
        )
    await sink.start(answer.status, answer.headers, len(held))
    await sink.write(bytes(held))
    await sink.finish()


async def _pass_on(
    answer: Answer, sink: Sink, held: bytes, chunks: AsyncIterator[bytes]
) -> None:
    await sink.start(answer.status, answer.headers, None)
    await sink.write(held)
    async for data in chunks:
        await sink.write(data)
    await sink.finish()


class StreamRelay:
    """Passes on the events of one stream, from one backend server or several.

    Only whole events are passed on, so that the stream can go on elsewhere.

    :ivar events: events received.
    :ivar whole: whether the end of the stream came.
    """

    def __init__(self, call: Call, sink: Sink):
        self._call = call
        self._sink = sink
        self._last_number: int | None = None
        self.began = False
        self.whole = False
        self.events = 0

    @property
    def last_event_id(self) -> str:
        """Position at which the stream goes on, empty for its start."""
        return "" if self._last_number is None else str(self._last_number)

    async def run(
        self, answer: Answer, on_event: Callable[[int], None], first_seconds: float
    ) -> None:
        """Pass on events until the end of the stream.

        :param on_event: called with the number of events that have come.
        :param first_seconds: longest wait for it.
        :raises AttemptError: the stream broke off, fell silent or lacks an event.
        """
        splitter = EventSplitter()
        chunks = aiter(answer.chunks())
        limit = first_seconds
        while (data := await self._next(chunks, limit)) is not None:
            events = splitter.feed(data)
            if events:
                on_event(len(events))
                limit = self._pause_limit()
            await self._pass_on(answer, events)
        if splitter.rest.strip():
            raise _broken("the stream ended within an event")
        if not self.began:
            await self._start(answer)
        self.whole = True
        await self._sink.finish()

    async def _next(self, chunks: AsyncIterator[bytes], limit: float) -> bytes | None:
        try:
            async with asyncio.timeout(limit):
                return await anext(chunks, None)
        except TimeoutError as error:
            raise AttemptError(
                f"no event for {limit:.2f} s",
                step=STEP,
                peer="",
                outcome=Outcome.UNKNOWN,
                timed_out=True,
            ) from error

    def _pause_limit(self) -> float:
        route = self._call.route
        longest = max(
            SILENT_SECONDS,
            SILENT_GAPS * route.gap_seconds,
            SILENT_OBJECTIVES * route.objective_seconds,
        )
        return longest * RESUME_SHARE if route.resumable else longest

    async def _pass_on(self, answer: Answer, events: list[Event]) -> None:
        fresh = [event.data for event in events if self._is_next(event)]
        if not fresh:
            return
        await self._start(answer)
        await self._sink.write(b"".join(fresh))

    def _is_next(self, event: Event) -> bool:
        """Check the order. :return: False for an event that was passed on before."""
        if event.number is not None:
            if self._last_number is not None and event.number <= self._last_number:
                return False
            self._last_number = event.number
        self.events += 1
        return True

    async def _start(self, answer: Answer) -> None:
        if not self.began:
            self.began = True
            await self._sink.start(answer.status, answer.headers, None)


def _broken(reason: str) -> AttemptError:
    return AttemptError(reason, step=STEP, peer="", outcome=Outcome.UNKNOWN)
