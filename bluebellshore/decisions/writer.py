"""Writes log lines to a file descriptor without ever keeping the caller waiting."""

import collections
import json
import os
import re
import select
import threading
import time
from collections.abc import Callable, Mapping

import orjson

from bluebellshore.decisions.kinds import Kind

__all__ = ["LineWriter", "encode_line"]

#: Bytes that may wait to be written; about 3000 lines.
BUFFER_BYTES = 1024 * 1024
#: Bytes of one write, unless a line is longer. A collector was seen to keep 8192 bytes
#: of each write and to lose the rest, in a run of the platform's days.
CHUNK_BYTES = 8192
#: Time that lines are gathered: one wake-up and one write for all of them.
GATHER_SECONDS = 0.1
#: Least time between two counts of dropped lines.
REPORT_SECONDS = 1.0
#: Longest wait for the last lines at the end of the process.
CLOSE_SECONDS = 1.0
#: Longest wait for a descriptor that does not block to take bytes again.
RETRY_SECONDS = 0.5

_surrogate = re.compile("[\ud800-\udfff]")


def encode_line(message: Mapping[str, object]) -> bytes:
    """Return a message as JSON; what JSON lacks is written as its ``repr``."""
    try:
        return orjson.dumps(message, default=repr, option=orjson.OPT_NON_STR_KEYS)
    except TypeError:
        # Text that is no UTF-8, as a header can hold, or an integer over 64 bits.
        text = json.dumps(
            message, ensure_ascii=False, default=repr, separators=(",", ":")
        )
        return _surrogate.sub(lambda found: rf"\\u{ord(found[0]):04x}", text).encode()


class LineWriter:
    """An eliot destination that a thread of its own writes out.

    A blocking write is left to a thread because a descriptor made non-blocking is so
    for all processes that share it, and the loop cannot wait for files. When nobody
    reads, lines beyond the buffer are dropped and counted.

    :param descriptor: open file to write to; it is not closed.
    :param fields: put at the head of each line, e.g. the instance.
    :param buffer_bytes: bytes that may wait.
    :param gather_seconds: time that lines are gathered before a write.
    :param clock: monotonic seconds.
    :ivar dropped: lines that were lost.
    """

    def __init__(
        self,
        descriptor: int,
        fields: Mapping[str, str] | None = None,
        *,
        buffer_bytes: int = BUFFER_BYTES,
        gather_seconds: float = GATHER_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._descriptor = descriptor
        head = encode_line(fields or {})[1:-1]
        self._head = b"," + head if head else b""
        self._buffer_bytes = buffer_bytes
        self._gather_seconds = gather_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._line_number = 0
        self.dropped = 0
        self._untold = 0
        self._told_at = clock() - REPORT_SECONDS
        self._pending = threading.Event()
        self._closing = threading.Event()
        self._broken = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def __call__(self, message: Mapping[str, object]) -> None:
        """Take a message; never blocks, never raises."""
        body = encode_line(message)
        if "clock" not in message:
            body = b'{"clock":%.4f,%b' % (self._clock(), body[1:])
        with self._lock:
            self._append(body)
        if not self._pending.is_set():
            self._pending.set()

    def _append(self, body: bytes) -> None:
        """Keep a line, or count it as dropped; every line has a number."""
        if self._broken or self._waiting_bytes + len(body) > self._buffer_bytes:
            self._line_number += 1
            self.dropped += 1
            self._untold += 1
            return
        if self._untold:
            now = self._clock()
            if now - self._told_at >= REPORT_SECONDS:
                self._tell_dropped(now)
        self._put(body)

    def _put(self, body: bytes) -> None:
        self._line_number += 1
        line = b'{"line":%d%b,%b\n' % (self._line_number, self._head, body[1:])
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def _tell_dropped(self, now: float) -> None:
        message = {
            "message_type": Kind.LINES_DROPPED.value,
            "timestamp": time.time(),
            "clock": now,
            "lines": self._untold,
            "lines_in_all": self.dropped,
        }
        self._untold = 0
        self._told_at = now
        self._put(encode_line(message))

    def close(self, seconds: float = CLOSE_SECONDS) -> bool:
        """Write what is left. :return: whether all of it was written in time."""
        with self._lock:
            if self._untold:
                self._tell_dropped(self._clock())
        self._closing.set()
        self._pending.set()
        self._thread.join(seconds)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while True:
            self._pending.wait()
            # Ends at once when the writer is closed.
            closing = self._closing.wait(self._gather_seconds)
            self._pending.clear()
            self._write_all()
            if closing:
                return

    def _write_all(self) -> None:
        while chunk := self._next_chunk():
            lost = self._write(chunk)
            with self._lock:
                self._waiting_bytes -= sum(map(len, chunk))
                self.dropped += lost
                self._untold += lost

    def _next_chunk(self) -> list[bytes]:
        chunk: list[bytes] = []
        size = 0
        with self._lock:
            while self._lines:
                size += len(self._lines[0])
                if chunk and size > CHUNK_BYTES:
                    break
                chunk.append(self._lines.popleft())
        return chunk

    def _write(self, chunk: list[bytes]) -> int:
        """Write lines. :return: the number that were lost."""
        if self._broken:
            return len(chunk)
        view = memoryview(b"".join(chunk))
        while view:
            try:
                view = view[os.write(self._descriptor, view) :]
            except BlockingIOError:
                # Another process made the descriptor non-blocking.
                select.select([], [self._descriptor], [], RETRY_SECONDS)
            except BrokenPipeError:
                self._broken = True
                return len(chunk)
            except OSError:
                return len(chunk)
        return 0
