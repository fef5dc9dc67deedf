"""Router side of the stream that carries one answer over a link."""

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
    """The sidecar reported the end of the answer."""

    end: pb.End


@dataclass(frozen=True)
class StreamRefused:
    """The sidecar refused the stream.

    :param sent: False if the router refused the request itself, before sending it.
    """

    refused: pb.Refused
    sent: bool = True


@dataclass(frozen=True)
class StreamLost:
    """The sidecar was lost; it is unknown whether the request ran.

    :param reason: message for the caller.
    """

    reason: str


StreamEvent = bytes | StreamEnded | StreamRefused | StreamLost


class RouterStream:
    """One stream of a link, which detects gaps and drops duplicate data.

    :param peer: sidecar that sends the answer.
    :param start: message that opened the stream.
    :ivar received_offset: offset of the next expected byte.
    :ivar consumed_offset: offset up to which the caller has read the answer.
    :ivar credited_offset: last value of `consumed_offset` reported to the sidecar.
    :ivar attempt: attempt whose answer is streamed; empty until the sidecar accepts.
    :ivar lineage: identifies the answer that the offsets refer to.
    :ivar accepted: whether the sidecar accepted the request.
    :ivar joined_attempt: the earlier attempt to which the sidecar attached this stream,
        empty if its own attempt runs.
    :ivar resends: number of consecutive reconnects without new data.
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
        """Return the next event, waiting for it if necessary."""
        while not self._events:
            self._ready.clear()
            await self._ready.wait()
        return self._events.popleft()

    def push(self, event: StreamEvent) -> None:
        """Add an event that ends the stream, after all data received so far."""
        self._events.append(event)
        self._ready.set()

    def record_accepted(self, accepted: pb.Accepted) -> None:
        """Record that the sidecar accepted the request, or attached it to a known one.

        :param accepted: message that says which attempt runs.
        """
        self.accepted = True
        self.attempt = accepted.attempt
        self.lineage = accepted.lineage
        if accepted.joined and accepted.attempt != self.start.attempt:
            self.joined_attempt = accepted.attempt

    def add_chunk(self, chunk: pb.Chunk) -> bool:
        """Add data, without the bytes that were received before.

        :return: False if bytes before the chunk are missing.
        """
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
        """Add the end of the answer.

        :return: False if bytes before the end are missing.
        """
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
        """Return whether the answer is complete and matches its length and checksum.

        A stream that does not begin with the first byte of its run has no checksum to
        compare.
        """
        if end.outcome != pb.COMPLETE or end.length != self.received_offset:
            return False
        return self._hash is None or self._hash.intdigest() == end.checksum


def _header_pairs(headers: Iterable[pb.Header]) -> list[tuple[str, str]]:
    return [(header.name, header.value) for header in headers]


def _detached_copy(end: pb.End) -> pb.End:
    """Return a copy, since a submessage would keep its whole frame in memory."""
    copied = pb.End()
    copied.CopyFrom(end)
    return copied
