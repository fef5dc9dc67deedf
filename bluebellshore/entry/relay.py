"""Relays answers of backend servers to callers: plain ones and event streams."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from http import HTTPStatus
from typing import Protocol

from bluebellshore.backend import Answer, AttemptError, AttemptOutcome
from bluebellshore.entry.events import Event, EventSplitter
from bluebellshore.entry.held_bytes import HeldBytes
from bluebellshore.fleet import Call

__all__ = ["Sink", "StreamRelay", "relay_plain"]

STEP = "relay"
#: Bytes of a plain answer that are buffered until the answer is known to be complete;
#: a larger answer is passed on as it arrives.
MAX_BUFFERED_BYTES = 1024 * 1024
#: Size of the pieces in which buffered bytes are passed on.
PIECE_BYTES = 32 * 1024
#: Idle timeout of a stream: the longest of this time, this multiple of the longest
#: pause that its route declares, and this multiple of the route's latency objective.
#: Callers disconnect after the same pause.
IDLE_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_GAPS = 8.0
IDLE_TIMEOUT_OBJECTIVES = 4.0
#: Share of that timeout after which a resumable stream goes on at another backend
#: server.
RESUME_TIMEOUT_SHARE = 0.6
EVENT_STREAM_TYPE = "text/event-stream"


class Sink(Protocol):
    """Destination of one answer.

    :ivar unsent_bytes: bytes that were written but not yet sent to the caller.
    """

    unsent_bytes: int

    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write the head.

        :param length: bytes of the body; None when unknown.
        """

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""

    async def finish(self) -> None:
        """Mark the end of the body; the answer is complete."""


async def relay_plain(
    answer: Answer,
    sink: Sink,
    *,
    repeat_failures: bool,
    held_bytes: HeldBytes | None = None,
) -> None:
    """Pass an answer on once it is complete, or as it arrives when it is large.

    :param repeat_failures: raise an error for a status of 500 or above, so that the
        request may be repeated.
    :param held_bytes: counts what all answers hold; large ones hold less when that is
        too much.
    :raises AttemptError: the answer is incomplete, or a failure to be repeated.
    """
    buffered = bytearray()
    chunks = answer.chunks()
    with (held_bytes or HeldBytes()).hold() as holding:
        async for data in chunks:
            buffered += data
            too_much = holding.resize(len(buffered))
            if too_much or len(buffered) > MAX_BUFFERED_BYTES:
                await _pass_on(answer, sink, buffered, chunks)
                return
        if repeat_failures and answer.status >= 500:
            raise AttemptError(
                f"status {answer.status}",
                step=STEP,
                peer="",
                outcome=AttemptOutcome.UNKNOWN,
                status=answer.status,
            )
        await sink.start(answer.status, answer.headers, len(buffered))
        await sink.write(bytes(buffered))
        await sink.finish()


async def _pass_on(
    answer: Answer, sink: Sink, buffered: bytearray, chunks: AsyncIterator[bytes]
) -> None:
    await sink.start(answer.status, answer.headers, None)
    # In pieces, as the sink holds what its caller doesn't read.
    while buffered:
        await sink.write(bytes(buffered[:PIECE_BYTES]))
        del buffered[:PIECE_BYTES]
    async for data in chunks:
        await sink.write(data)
    await sink.finish()


class StreamRelay:
    """Passes on the events of one stream, from one backend server or several in turn.

    Only complete events are passed on, so that another backend server can resume the
    stream after any of them.

    :param held_bytes: counts what all answers hold; long events break a stream off when
        that is too much.
    :ivar began: whether the head was written to the caller.
    :ivar events: events passed on; duplicates after a resumption are left out.
    :ivar complete: whether the end of the stream was received.
    """

    def __init__(self, call: Call, sink: Sink, held_bytes: HeldBytes | None = None):
        self._held_bytes = held_bytes or HeldBytes()
        self._call = call
        self._sink = sink
        self._last_number: int | None = None
        self._is_numbered = False
        self.began = False
        self.complete = False
        self.events = 0

    @property
    def last_event_id(self) -> str:
        """Id of the last event passed on, after which to resume; empty for none."""
        return "" if self._last_number is None else str(self._last_number)

    async def run(
        self,
        answer: Answer,
        on_event: Callable[[int], None],
        first_event_seconds: float,
    ) -> None:
        """Pass on events until the end of the stream.

        Only whole events with fields count as progress, not bytes: a server that sends
        a byte or a comment now and then is idle. Time in which the caller doesn't read
        isn't the server's.

        :param on_event: called with the number of events that were received together.
        :param first_event_seconds: longest wait for the first event.
        :raises AttemptError: the answer is no stream and can't go on with one; or the
            stream broke off, exceeded its idle timeout, ended within an event or, with
            its connection, before any, has an event that is too long, or goes on with
            other text.
        """
        if self.began and not _is_event_stream(answer):
            raise _stream_error("an answer that is no stream, for the rest of one")
        loop = asyncio.get_running_loop()
        splitter = EventSplitter()
        chunks = aiter(answer.chunks())
        timeout_seconds = first_event_seconds
        progress_at = loop.time()
        with self._held_bytes.hold() as holding:
            while True:
                due_at = progress_at + timeout_seconds
                data = await self._next_chunk(chunks, due_at, timeout_seconds)
                if data is None:
                    break
                received_at = loop.time()
                events = _split(splitter, data)
                if holding.resize(len(splitter.incomplete)):
                    raise _stream_error("an event is longer than memory allows")
                count = sum(event.has_fields for event in events)
                if count:
                    on_event(count)
                    timeout_seconds = self._idle_timeout()
                    progress_at = received_at
                await self._pass_events_on(answer, events)
                progress_at += loop.time() - received_at
        if splitter.incomplete.strip():
            raise _stream_error(
                "the stream ended within an event", reset=answer.ends_with_connection
            )
        if (
            answer.ends_with_connection
            and not self.events
            and not self._call.last_event_id
        ):
            raise _stream_error("the connection ended before any event", reset=True)
        if not self.began:
            await self._start(answer)
        self.complete = True
        await self._sink.finish()

    async def _next_chunk(
        self, chunks: AsyncIterator[bytes], due_at: float, timeout_seconds: float
    ) -> bytes | None:
        try:
            async with asyncio.timeout_at(due_at):
                return await anext(chunks, None)
        except TimeoutError as error:
            raise AttemptError(
                f"no event for {timeout_seconds:.2f} s",
                step=STEP,
                peer="",
                outcome=AttemptOutcome.UNKNOWN,
                timed_out=True,
            ) from error

    def _idle_timeout(self) -> float:
        route = self._call.route
        seconds = max(
            IDLE_TIMEOUT_SECONDS,
            IDLE_TIMEOUT_GAPS * route.max_event_gap_seconds,
            IDLE_TIMEOUT_OBJECTIVES * route.objective_seconds,
        )
        return seconds * RESUME_TIMEOUT_SHARE if route.resumable else seconds

    async def _pass_events_on(self, answer: Answer, events: list[Event]) -> None:
        """Pass on the events before the first one that is none.

        :raises AttemptError: there is such a one.
        """
        sound = list(itertools.takewhile(self._is_sound, events))
        new = [event.data for event in sound if self._count_new(event)]
        if new:
            await self._start(answer)
            await self._sink.write(b"".join(new))
        if len(sound) < len(events):
            raise _stream_error("the stream goes on with what is not an event")

    def _is_sound(self, event: Event) -> bool:
        if event.has_fields and event.number is None and self._is_numbered:
            return False
        self._is_numbered = self._is_numbered or event.number is not None
        return not event.malformed

    def _count_new(self, event: Event) -> bool:
        """Count an event unless it was passed on before; comments don't count.

        :return: False for an event whose number shows that it was passed on before.
        """
        if not event.has_fields:
            return True
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


def _split(splitter: EventSplitter, data: bytes) -> list[Event]:
    try:
        return splitter.feed(data)
    except ValueError as error:
        raise _stream_error(str(error)) from error


def _is_event_stream(answer: Answer) -> bool:
    media_type = answer.header("Content-Type").partition(";")[0].strip().lower()
    return answer.status == HTTPStatus.OK and media_type == EVENT_STREAM_TYPE


def _stream_error(reason: str, *, reset: bool = False) -> AttemptError:
    return AttemptError(
        reason, step=STEP, peer="", outcome=AttemptOutcome.UNKNOWN, reset=reset
    )
