"""Router's end of one answer."""

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from bluebellshore.wire import link_pb2 as pb

if TYPE_CHECKING:
    from bluebellshore.router.peers import Peer

__all__ = ["StreamEnded", "StreamLost", "StreamRefused", "RouterStream", "StreamEvent"]


@dataclass(frozen=True)
class StreamEnded:
    """The answer is over."""

    end: pb.End


@dataclass(frozen=True)
class StreamRefused:
    """The sidecar refused the stream.

    :param sent: False when the request was not even sent.
    """

    refused: pb.Refused
    sent: bool = True


@dataclass(frozen=True)
class StreamLost:
    """The sidecar is gone; whether the request ran is unknown unless it never left."""

    reason: str


StreamEvent = bytes | StreamEnded | StreamRefused | StreamLost


class RouterStream:
    """One stream of a link: puts data in order and drops what came twice.

    :param start: message that opened the stream.
    :ivar received: offset of the next byte expected.
    :ivar consumed: offset before which the caller took all bytes.
    :ivar credited: value of `consumed` that the sidecar was told last.
    :ivar joined_attempt: attempt that runs, when it is another one.
    :ivar resends: times that the stream was asked for again without progress.
    :ivar attempt: attempt that runs, empty before the sidecar said so.
    """

    def __init__(self, peer: "Peer", start: pb.Start):
        self.peer = peer
        self.start = start
        self.stream_id = start.stream
        self.received_offset = start.offset
        self.consumed_offset = start.offset
        self.credited_offset = start.offset
        self.attempt = ""
        self.lineage = start.lineage
        self.accepted = False
        self.joined_attempt = ""
        self.status = 0
        self.headers: list[tuple[str, str]] = []
        self.closed = False
        self.resends = 0
        covers_whole_answer = start.resume or not start.offset
        self._hash = xxhash.xxh3_64() if covers_whole_answer else None
        self._events: deque[StreamEvent] = deque()
        self._ready = asyncio.Event()

    async def next_event(self) -> StreamEvent:
        """Wait for the next event."""
        while not self._events:
            self._ready.clear()
            await self._ready.wait()
        return self._events.popleft()

    def push(self, event: StreamEvent) -> None:
        """Add an event that ends the stream."""
        self._events.append(event)
        self._ready.set()

    def record_accepted(self, accepted: pb.Accepted) -> None:
        """Note that the sidecar took the request, perhaps as a known one."""
        self.accepted = True
        self.attempt = accepted.attempt
        self.lineage = accepted.lineage
        if accepted.joined and accepted.attempt != self.start.attempt:
            self.joined_attempt = accepted.attempt

    def add_chunk(self, chunk: pb.Chunk) -> bool:
        """Take data. :return: False when bytes before it are missing."""
        if chunk.status:
            self.status = chunk.status
            self.headers = _header_pairs(chunk.headers)
        if chunk.offset > self.received_offset:
            return False
        data = chunk.data[self.received_offset - chunk.offset :]
        if data:
            self.received_offset += len(data)
            self.resends = 0
            if self._hash is not None:
                self._hash.update(data)
            self._events.append(data)
            self._ready.set()
        return True

    def add_end(self, end: pb.End) -> bool:
        """Take the end. :return: False when bytes before it are missing."""
        if (
            end.ran
            and end.outcome == pb.COMPLETE
            and end.length != self.received_offset
        ):
            return False
        if end.status and not self.status:
            self.status = end.status
            self.headers = _header_pairs(end.headers)
        self.push(StreamEnded(_detached_copy(end)))
        return True

    def is_complete(self, end: pb.End) -> bool:
        """Return whether all bytes of a complete answer arrived unchanged."""
        if end.outcome != pb.COMPLETE or end.length != self.received_offset:
            return False
        return self._hash is None or self._hash.intdigest() == end.checksum


def _header_pairs(headers: Iterable[pb.Header]) -> list[tuple[str, str]]:
    return [(header.name, header.value) for header in headers]


def _detached_copy(end: pb.End) -> pb.End:
    """Return a copy; a part of a frame would keep the whole frame in memory."""
    copied = pb.End()
    copied.CopyFrom(end)
    return copied
