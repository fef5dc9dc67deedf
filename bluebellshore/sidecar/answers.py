"""Answer buffers: one execution's answer, read by any number of streams."""

import asyncio
from collections.abc import Iterator
from enum import Enum

import xxhash

from bluebellshore.events import lineage_of
from bluebellshore.ids import IncarnationId, RequestKey
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["Answer", "AnswerState", "AnswerStore", "Reader"]

#: Bytes that a stream may always hold, also when the process is at its bound.
MIN_STREAM_BYTES = 16 * 1024


class AnswerState(Enum):
    """Progress of an answer."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class Reader:
    """One stream of a link that receives an answer.

    :param offset: first byte to send.
    :param window: bytes that may be sent ahead of the caller; 0 for no limit.
    :ivar consumed_offset: bytes before this were taken by the caller.
    """

    def __init__(
        self, answer: "Answer", link: SidecarLink, stream: int, offset: int, window: int
    ):
        self.answer = answer
        self.link = link
        self.stream = stream
        self.next_offset = offset
        self.consumed_offset = offset
        self.header_sent = offset > answer.first_offset
        self._window = window

    def record_consumed(self, offset: int) -> None:
        """Note that the caller took the bytes before `offset`."""
        self.consumed_offset = max(self.consumed_offset, offset)

    def record_sent(self, size: int) -> None:
        """Note that `size` bytes were sent."""
        self.next_offset += size
        if not self._window:
            self.consumed_offset = self.next_offset

    def sendable_bytes(self) -> int:
        """Return the number of bytes that may be sent now."""
        limit = self.answer.length
        if self._window:
            limit = min(limit, self.consumed_offset + self._window)
        return max(limit - self.next_offset, 0)


class Answer:
    """Answer of one execution, with the bytes that readers may still want.

    :param start: request that caused the execution.
    :param incarnation: router incarnation whose allotment pays.
    :ivar body: body of the request, until it has ended.
    :ivar first_offset: offset at which the body begins; above 0 where the run goes
        on with an answer that another one began.
    :ivar paused: whether its source ever had to wait for readers.
    """

    def __init__(self, start: pb.Start, incarnation: IncarnationId):
        self.body = start.body
        # A copy, since a part of a frame would keep the whole frame in memory.
        start.ClearField("body")
        self.start = pb.Start()
        self.start.CopyFrom(start)
        self.key = RequestKey(start.key)
        self.incarnation = incarnation
        self.state = AnswerState.QUEUED
        self.status = 0
        self.headers: list[pb.Header] = []
        self.first_offset = start.offset if start.resume else 0
        self.lineage = start.lineage if start.resume else lineage_of(start.attempt)
        self.base_offset = self.first_offset
        self.length = self.first_offset
        self.end: pb.End | None = None
        self.ended_at = 0.0
        self.orphaned_at: float | None = None
        self.readers: list[Reader] = []
        self.writable = asyncio.Event()
        self.writable.set()
        self.paused = False
        self.task: asyncio.Task | None = None
        self._data = bytearray()
        self._hash = xxhash.xxh3_64()

    @property
    def held_bytes(self) -> int:
        """Bytes in the buffer."""
        return len(self._data)

    @property
    def checksum(self) -> int:
        """xxh3_64 of the whole body so far."""
        return self._hash.intdigest()

    def can_read_from(self, offset: int, lineage: str = "") -> bool:
        """Return whether the answer can be read from `offset` on.

        :param lineage: lineage that is wanted; empty for any.
        """
        if lineage and lineage != self.lineage:
            return False
        if self.end is not None and self.end.outcome != pb.COMPLETE:
            return False
        return self.base_offset <= offset <= self.length

    def append(self, data: bytes) -> None:
        """Add bytes of the body."""
        self._data += data
        self._hash.update(data)
        self.length += len(data)

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes of the body from `offset`."""
        begin = offset - self.base_offset
        return bytes(self._data[begin : begin + size])

    def consumed_offset(self) -> int:
        """Return the offset before which no reader needs bytes."""
        if not self.readers:
            return self.base_offset
        return min(reader.consumed_offset for reader in self.readers)

    def unconsumed_bytes(self) -> int:
        """Return the number of bytes that some reader has not taken."""
        return self.length - self.consumed_offset()

    def drop_consumed(self) -> int:
        """Forget bytes that all readers took. :return: bytes freed."""
        drop = self.consumed_offset() - self.base_offset
        if drop <= 0:
            return 0
        del self._data[:drop]
        self.base_offset += drop
        return drop

    def drop_all(self) -> int:
        """Forget the whole body. :return: bytes freed."""
        freed = len(self._data)
        self.base_offset = self.length
        self._data.clear()
        return freed


class AnswerStore:
    """Answers of a sidecar by request key, within a bound of held bytes.

    :param stream_bytes: bound per answer.
    :param held_bytes: bound for all answers.
    """

    def __init__(self, *, stream_bytes: int, held_bytes: int):
        self.by_key: dict[RequestKey, Answer] = {}
        self._answers: dict[Answer, None] = {}
        self.held_bytes = 0
        self.peak_held_bytes = 0
        self._max_stream_bytes = stream_bytes
        self._max_held_bytes = held_bytes

    def add(self, answer: Answer) -> None:
        """Register `answer`, in place of one with the same key.

        The old one is kept until it has ended and its readers are done.
        """
        self.by_key[answer.key] = answer
        self._answers[answer] = None

    def append(self, answer: Answer, data: bytes) -> None:
        """Add bytes to an answer and pause its source when it is full."""
        answer.append(data)
        self.held_bytes += len(data)
        self.peak_held_bytes = max(self.peak_held_bytes, self.held_bytes)
        if answer.held_bytes > self._max_stream_bytes:
            self.held_bytes -= answer.drop_consumed()
        if self.held_bytes > self._max_held_bytes:
            self._free_memory()
        if not self.has_room(answer):
            answer.paused = True
            answer.writable.clear()

    def has_room(self, answer: Answer) -> bool:
        """Return whether the source of `answer` may go on."""
        unconsumed = answer.unconsumed_bytes()
        if self.held_bytes > self._max_held_bytes:
            return unconsumed < MIN_STREAM_BYTES
        return unconsumed < self._max_stream_bytes

    def release_consumed(self, answer: Answer) -> None:
        """React to credit: a paused source may go on."""
        if answer.held_bytes > self._max_stream_bytes:
            self.held_bytes -= answer.drop_consumed()
        if self.has_room(answer):
            answer.writable.set()

    def expire(self, before: float) -> None:
        """Forget answers that ended before `before` (seconds) and have no reader."""
        expired = [
            answer
            for answer in self._answers
            if answer.end is not None
            and not answer.readers
            and (answer.ended_at < before or not self._is_current(answer))
        ]
        for answer in expired:
            if self._is_current(answer):
                del self.by_key[answer.key]
            del self._answers[answer]
            self.held_bytes -= answer.drop_all()
        for answer in self.unfinished():
            if not answer.writable.is_set() and self.has_room(answer):
                answer.writable.set()

    def unfinished(self) -> Iterator[Answer]:
        """Yield the answers that have not ended."""
        return (answer for answer in self._answers if answer.end is None)

    def _is_current(self, answer: Answer) -> bool:
        return self.by_key.get(answer.key) is answer

    def _free_memory(self) -> None:
        self.expire(float("inf"))
        for answer in self._answers:
            if self.held_bytes <= self._max_held_bytes:
                return
            self.held_bytes -= answer.drop_consumed()
