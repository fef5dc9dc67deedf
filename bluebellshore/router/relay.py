"""Relays an answer to its caller, whole and in order."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from bluebellshore.duties.answers import StoredAnswer
from bluebellshore.errors import BackendServerError
from bluebellshore.events import EventStream
from bluebellshore.router.peers import Peer, PeerPool
from bluebellshore.router.streams import (
    RouterStream,
    StreamEnded,
    StreamEvent,
    StreamRefused,
)
from bluebellshore.wire import link_pb2 as pb

__all__ = [
    "AnswerSource",
    "AttemptFailure",
    "Relay",
    "RelayProgress",
    "ResumeStream",
    "StoredAnswerSource",
]

RETRY_AFTER_SECONDS = 1.0
#: Statuses of refusals that another sidecar may not give; 410: a part of the answer
#: is not held there any more.
RETRIED_STATUSES = frozenset({0, 410, 429, 503})
UNPROCESSABLE_STATUS = 422
#: End of an event stream; held back until the whole answer is checked.
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
#: Other backend servers that may go on with one answer.
MAX_RESUMES = 3


@dataclass(frozen=True)
class AttemptFailure:
    """Why an attempt did not bring a whole answer.

    :param ran: False when it is known that the request did not run.
    :param crashed: whether the backend server crashed.
    :param sidecar_lost: whether the sidecar is gone.
    :param sent: False when the link was lost before; the sidecar may be tried again.
    :param sidecar_specific: whether only this sidecar could not take the request.
    """

    reason: str
    status: int = 503
    ran: bool = True
    crashed: bool = False
    sidecar_lost: bool = False
    sidecar_specific: bool = False
    sent: bool = True
    retry_after: float = RETRY_AFTER_SECONDS
    may_retry: bool = True
    peer: str = ""


class AnswerSource(Protocol):
    """An answer on its way to the caller."""

    status: int
    headers: list[tuple[str, str]]

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises BackendServerError: the answer was cut; it is not whole.
        """

    def close(self) -> None:
        """Give up the answer."""


class StoredAnswerSource:
    """A recorded answer that is given again."""

    def __init__(self, stored: StoredAnswer):
        self.status = stored.status
        self.headers = [(header.name, header.value) for header in stored.headers]
        self._body = stored.body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self._body

    def close(self) -> None:
        """Nothing to give up."""


@dataclass
class RelayProgress:
    """What the caller has of an event stream.

    :param offset: offset of the next byte.
    """

    offset: int = 0
    events: EventStream = field(default_factory=lambda: EventStream(keep_text=True))

    def add(self, data: bytes) -> None:
        """Add whole events."""
        self.offset += len(data)
        self.events.feed(data)


#: Opens a stream that goes on after what was relayed; None when that is not possible.
ResumeStream = Callable[
    [RouterStream, RelayProgress, AttemptFailure], Awaitable[RouterStream | None]
]


class Relay:
    """An answer from a sidecar, from its first event on.

    :param is_events: whether the answer is an event stream.
    :param on_failure: told of each failure after the answer began.
    :param resume: opens the rest of an event stream on another backend server.
    """

    def __init__(
        self,
        pool: PeerPool,
        stream: RouterStream,
        *,
        on_failure: Callable[[RouterStream, AttemptFailure], None],
        is_events: bool = False,
        resume: ResumeStream | None = None,
    ):
        self._pool = pool
        self._stream = stream
        self._on_failure = on_failure
        self._is_events = is_events
        self._resume = resume
        self._resumes = 0
        self._first_event: StreamEvent | None = None
        self._progress = RelayProgress()
        self._held_back = b""

    @property
    def status(self) -> int:
        """HTTP status of the backend server's answer."""
        return self._stream.status or 200

    @property
    def headers(self) -> list[tuple[str, str]]:
        """Headers of the backend server's answer."""
        return self._stream.headers

    def close(self) -> None:
        """Give up the answer."""
        self._pool.close(self._stream)

    async def wait_for_first_event(self) -> AttemptFailure | None:
        """Wait until the answer begins. :return: why it does not."""
        event = await self._stream.next_event()
        if not isinstance(event, bytes):
            failure = _failure_of_event(event, self._stream)
            if failure is not None:
                return failure
        self._first_event = event
        return None

    async def __aiter__(self) -> AsyncIterator[bytes]:
        event = self._first_event
        while True:
            if isinstance(event, bytes):
                data = self._take_releasable(event)
                if data:
                    yield data
                self._pool.record_consumed(self._stream, len(event))
            else:
                failure = _failure_of_event(event, self._stream)
                if failure is None:
                    break
                await self._resume_elsewhere(failure)
            event = await self._stream.next_event()
        if self._held_back:
            yield self._held_back

    def _take_releasable(self, data: bytes) -> bytes:
        """Return what the caller may have: whole events, and not the last one."""
        if not self._is_events:
            return data
        data = self._held_back + data
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        if data.endswith(DONE_EVENT, 0, end):
            end = data.rfind(EVENT_END, 0, end - len(DONE_EVENT)) + len(EVENT_END)
            end = 0 if end < len(EVENT_END) else end
        data, self._held_back = data[:end], data[end:]
        if self._resume is not None:
            self._progress.add(data)
        return data

    async def _resume_elsewhere(self, failure: AttemptFailure) -> None:
        """Continue with another backend server.

        :raises BackendServerError: that is not possible.
        """
        self._on_failure(self._stream, failure)
        stream = None
        if self._may_resume(failure):
            self._resumes += 1
            stream = await self._resume(self._stream, self._progress, failure)
        if stream is None:
            raise BackendServerError(failure.reason, step="relay", peer=failure.peer)
        self._held_back = b""
        self._stream = stream

    def _may_resume(self, failure: AttemptFailure) -> bool:
        possible = self._resume is not None and failure.may_retry
        return possible and self._resumes < MAX_RESUMES


def _failure_of_event(
    event: StreamEvent, stream: RouterStream
) -> AttemptFailure | None:
    """Return what is wrong with an event that ends a stream, None for nothing."""
    peer = stream.peer
    if isinstance(event, StreamEnded):
        return (
            None
            if stream.is_complete(event.end)
            else _failure_of_end(event.end, stream)
        )
    if isinstance(event, StreamRefused):
        return _failure_of_refusal(event, peer)
    return AttemptFailure(event.reason, sidecar_lost=True, peer=peer.instance_id)


def _failure_of_refusal(event: StreamRefused, peer: Peer) -> AttemptFailure:
    refused = event.refused
    return AttemptFailure(
        refused.reason,
        status=refused.status or 503,
        ran=refused.run != pb.NOT_RUN,
        retry_after=refused.retry_after,
        may_retry=refused.status in RETRIED_STATUSES and not refused.fenced,
        sidecar_specific=refused.elsewhere,
        sent=event.sent,
        peer=peer.instance_id,
    )


def _failure_of_end(end: pb.End, stream: RouterStream) -> AttemptFailure:
    status = 504 if end.outcome == pb.EXPIRED and end.ran else 502
    if not end.ran:
        status = end.status if end.status >= 400 else 503
    if end.crashed and stream.start.suspect:
        # It ran alone: it is what crashes backend servers.
        status = UNPROCESSABLE_STATUS
    return AttemptFailure(
        end.reason or "the answer is not whole",
        status=status,
        ran=end.ran,
        crashed=end.crashed,
        may_retry=end.outcome != pb.CANCELLED and status != UNPROCESSABLE_STATUS,
        peer=stream.peer.instance_id,
    )
