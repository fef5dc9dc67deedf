"""Buffers of answers, each filled by one execution and read by many streams."""

import asyncio
from collections.abc import Iterator
from enum import Enum

import xxhash

from bluebellshore.events import lineage_of
from bluebellshore.ids import IncarnationId, RequestKey
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["Answer", "AnswerState", "AnswerStore", "Reader"]

#: Bytes that an answer may always buffer, also when the process is at its limit.
MIN_ANSWER_BUFFER_BYTES = 16 * 1024


class AnswerState(Enum):
    """State of the execution that produces an answer."""

    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class Reader:
    """A stream of a link that reads an answer, with credit-based flow control.

    :param offset: first byte to send.
    :param window: maximum number of bytes sent ahead of the caller; 0 for no limit.
    :ivar next_offset: offset of the next byte to send.
    :ivar consumed_offset: end of the bytes that the caller has received.
    :ivar header_sent: whether the stream needs no status and headers any more.
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
        """Record that the caller received the bytes before `offset`."""
        self.consumed_offset = max(self.consumed_offset, offset)

    def record_sent(self, size: int) -> None:
        """Record that `size` bytes were sent."""
        self.next_offset += size
        if not self._window:
            self.consumed_offset = self.next_offset

    def sendable_bytes(self) -> int:
        """Return the number of buffered bytes that the window allows to send now."""
        limit = self.answer.length
        if self._window:
            limit = min(limit, self.consumed_offset + self._window)
        return max(limit - self.next_offset, 0)


class Answer:
    """Answer of one execution, with the bytes that readers may still need.

    :param start: request to execute; its body is moved to `body`.
    :param incarnation: router incarnation from whose allotment the request is paid.
    :ivar body: body of the request, emptied when the execution has ended.
    :ivar first_offset: offset at which the answer begins; above 0 when the execution
        resumes an answer that another execution began.
    :ivar lineage: identifies the answer across the executions that resume it.
    :ivar base_offset: offset of the first buffered byte.
    :ivar length: offset after the last byte received so far.
    :ivar ended_at: loop time of the end, in seconds.
    :ivar orphaned_at: loop time since which the answer has no reader, in seconds; None
        while it has one.
    :ivar writable: set while the execution may add data.
    :ivar paused: whether the execution ever had to wait for readers.
    """

    def __init__(self, start: pb.Start, incarnation: IncarnationId):
        self.body = start.body
        # Copied, because a reference to a part of a frame keeps all of it in memory.
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
        """Number of buffered bytes."""
        return len(self._data)

    @property
    def checksum(self) -> int:
        """XXH3 64-bit hash of all bytes received so far."""
        return self._hash.intdigest()

    def can_read_from(self, offset: int, lineage: str = "") -> bool:
        """Return whether a reader can start at `offset`.

        False after a failed execution, and for bytes no longer buffered.

        :param lineage: lineage that the answer must have; empty for any.
        """
        if lineage and lineage != self.lineage:
            return False
        if self.end is not None and self.end.outcome != pb.COMPLETE:
            return False
        return self.base_offset <= offset <= self.length

    def append(self, data: bytes) -> None:
        """Add bytes to the end of the answer."""
        self._data += data
        self._hash.update(data)
        self.length += len(data)

    def read(self, offset: int, size: int) -> bytes:
        """Return `size` bytes of the answer from `offset`."""
        begin = offset - self.base_offset
        return bytes(self._data[begin : begin + size])

    def consumed_offset(self) -> int:
        """Return the offset before which no reader needs the bytes any more."""
        if not self.readers:
            return self.base_offset
        return min(reader.consumed_offset for reader in self.readers)

    def unconsumed_bytes(self) -> int:
        """Return the number of bytes that some caller has not received."""
        return self.length - self.consumed_offset()

    def drop_consumed(self) -> int:
        """Discard the bytes that all callers received. :return: bytes freed."""
        drop = self.consumed_offset() - self.base_offset
        if drop <= 0:
            return 0
        del self._data[:drop]
        self.base_offset += drop
        return drop

    def drop_all(self) -> int:
        """Discard all buffered bytes. :return: bytes freed."""
        freed = len(self._data)
        self.base_offset = self.length
        self._data.clear()
        return freed


class AnswerStore:
    """Answers of a sidecar, with limits on the buffered bytes.

    :param stream_bytes: limit per answer.
    :param held_bytes: limit for all answers together.
    :ivar by_key: newest answer of each request key.
    :ivar held_bytes: bytes that all answers buffer now.
    :ivar peak_held_bytes: maximum of `held_bytes` so far.
    """

    def __init__(self, *, stream_bytes: int, held_bytes: int):
        self.by_key: dict[RequestKey, Answer] = {}
        self._answers: dict[Answer, None] = {}
        self.held_bytes = 0
        self.peak_held_bytes = 0
        self._max_stream_bytes = stream_bytes
        self._max_held_bytes = held_bytes

    def add(self, answer: Answer) -> None:
        """Register `answer`, in place of an older one with the same key.

        The older answer is kept until it has ended and has no reader.
        """
        self.by_key[answer.key] = answer
        self._answers[answer] = None

    def append(self, answer: Answer, data: bytes) -> None:
        """Add bytes to an answer, and pause its execution when the buffer is full."""
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
        """Return whether the execution of `answer` may add data."""
        unconsumed = answer.unconsumed_bytes()
        if self.held_bytes > self._max_held_bytes:
            return unconsumed < MIN_ANSWER_BUFFER_BYTES
        return unconsumed < self._max_stream_bytes

    def release_consumed(self, answer: Answer) -> None:
        """Free the bytes that all callers received; resume the paused execution."""
        if answer.held_bytes > self._max_stream_bytes:
            self.held_bytes -= answer.drop_consumed()
        if self.has_room(answer):
            answer.writable.set()

    def expire(self, before: float) -> None:
        """Remove answers without a reader that ended before `before`.

        Ended answers whose key has a newer answer are removed at any age. Paused
        executions are resumed where the limits allow it.

        :param before: loop time in seconds.
        """
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
        """Return an iterator over the answers that have not ended."""
        return (answer for answer in self._answers if answer.end is None)

    def _is_current(self, answer: Answer) -> bool:
        return self.by_key.get(answer.key) is answer

    def _free_memory(self) -> None:
        """Remove ended answers, then consumed bytes until the limit is met."""
        self.expire(float("inf"))
        for answer in self._answers:
            if self.held_bytes <= self._max_held_bytes:
                return
            self.held_bytes -= answer.drop_consumed()
