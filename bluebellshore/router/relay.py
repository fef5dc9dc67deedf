"""Relays an answer to its caller in order, and checks that it is complete."""

from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from bluebellshore.duties.answers import StoredAnswer
from bluebellshore.errors import BackendServerError
from bluebellshore.events import EventStreamParser
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
#: Statuses of refusals after which another sidecar is tried. 410: this sidecar no
#: longer holds a part of the answer.
RETRIED_STATUSES = frozenset({0, 410, 429, 503})
UNPROCESSABLE_STATUS = 422
#: Last event of an event stream; held back until the whole answer has been verified.
DONE_EVENT = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
#: Maximum number of times that one answer is continued on another backend server.
MAX_RESUMES = 3


@dataclass(frozen=True)
class AttemptFailure:
    """Reason why an attempt did not deliver a complete answer.

    :param status: HTTP status for the caller.
    :param ran: False if it is certain that the request did not run.
    :param crashed: whether the backend server crashed.
    :param sidecar_lost: whether the sidecar restarted, went away or lost its link for
        too long.
    :param sidecar_specific: whether another sidecar can take the request, because the
        refusal concerns only this one.
    :param sent: False if the request was never sent, because its sidecar had become
        unavailable; the sidecar may be tried again.
    :param retry_after: seconds after which the caller may retry.
    :param may_retry: whether another attempt may succeed.
    :param fenced: whether the sidecar refused because this incarnation is fenced.
    :param peer: instance id of the sidecar.
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
    fenced: bool = False
    peer: str = ""


class AnswerSource(Protocol):
    """An answer whose body is read piece by piece.

    :ivar status: HTTP status.
    :ivar headers: HTTP headers as pairs of name and value.
    """

    status: int
    headers: list[tuple[str, str]]

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body.

        :raises BackendServerError: the answer ended before it was complete.
        """

    def close(self) -> None:
        """Stop reading the answer, even if it is not complete."""


class StoredAnswerSource:
    """A stored answer, repeated for a retry by the caller."""

    def __init__(self, stored: StoredAnswer):
        self.status = stored.status
        self.headers = [(header.name, header.value) for header in stored.headers]
        self._body = stored.body

    async def __aiter__(self) -> AsyncIterator[bytes]:
        yield self._body

    def close(self) -> None:
        """Do nothing: no request is in progress."""


@dataclass
class RelayProgress:
    """The part of an event stream that was relayed to the caller.

    :param offset: number of bytes relayed.
    :param events: the relayed events, with their text and token count.
    """

    offset: int = 0
    events: EventStreamParser = field(
        default_factory=lambda: EventStreamParser(keep_text=True)
    )

    def add(self, data: bytes) -> None:
        """Add relayed data, which consists of complete events."""
        self.offset += len(data)
        self.events.feed(data)


#: Opens a stream that continues after the relayed part; returns None on failure.
ResumeStream = Callable[
    [RouterStream, RelayProgress, AttemptFailure], Awaitable[RouterStream | None]
]


class Relay:
    """An answer that a sidecar streams.

    :param is_events: whether the answer is an event stream.
    :param on_failure: called with each failure that occurs after the answer began.
    :param resume: continues a broken event stream on another backend server; None if
        the answer cannot be resumed.
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
        """Stop reading the answer, even if it is not complete."""
        self._pool.close(self._stream)

    async def wait_for_first_event(self) -> AttemptFailure | None:
        """Wait until the answer begins.

        :return: the failure if there is no answer, None otherwise.
        """
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
        """Return the data that may be sent to the caller; hold back the rest.

        Of an event stream, only complete events may be sent, without the final
        :data:`DONE_EVENT`.
        """
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
        """Continue the answer on another backend server.

        :raises BackendServerError: the answer cannot be resumed.
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
    """Return the failure that a final event stands for, None for a complete answer."""
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
        fenced=refused.fenced,
        sidecar_specific=refused.elsewhere,
        sent=event.sent,
        peer=peer.instance_id,
    )


def _failure_of_end(end: pb.End, stream: RouterStream) -> AttemptFailure:
    status = 504 if end.outcome == pb.EXPIRED and end.ran else 502
    if not end.ran:
        status = end.status if end.status >= 400 else 503
    if end.crashed and stream.start.suspect:
        # No other request ran on the server, so this one made it crash.
        status = UNPROCESSABLE_STATUS
    return AttemptFailure(
        end.reason or "the answer is not whole",
        status=status,
        ran=end.ran,
        crashed=end.crashed,
        may_retry=end.outcome != pb.CANCELLED and status != UNPROCESSABLE_STATUS,
        peer=stream.peer.instance_id,
    )
