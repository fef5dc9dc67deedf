"""Writes log lines to a file descriptor without blocking the caller."""

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

#: Maximum size of the queue of unwritten lines; about 3000 lines.
MAX_BUFFER_BYTES = 1024 * 1024
#: Maximum size of one write, unless a single line is longer. A log collector of
#: the platform kept only the first 8192 bytes of each write.
MAX_WRITE_BYTES = 8192
#: Time during which lines are batched, so that one wake-up writes all of them.
BATCH_SECONDS = 0.1
#: Minimum time between two ``lines_dropped`` lines.
REPORT_INTERVAL_SECONDS = 1.0
#: Maximum time to write the last lines when the process ends.
CLOSE_TIMEOUT_SECONDS = 1.0
#: Maximum wait for a non-blocking descriptor to become writable before a new try.
MAX_WRITABLE_WAIT_SECONDS = 0.5

_surrogate = re.compile("[\ud800-\udfff]")


def encode_line(message: Mapping[str, object]) -> bytes:
    """Return a message as JSON; values without a JSON type become their ``repr``."""
    try:
        return orjson.dumps(message, default=repr, option=orjson.OPT_NON_STR_KEYS)
    except TypeError:
        # Text that is not valid UTF-8, as in a header, or an integer over 64 bits.
        text = json.dumps(
            message, ensure_ascii=False, default=repr, separators=(",", ":")
        )
        return _surrogate.sub(lambda found: rf"\\u{ord(found[0]):04x}", text).encode()


class LineWriter:
    """An eliot destination whose lines are written by a background thread.

    The thread does blocking writes, because making a descriptor non-blocking affects
    all processes that share it, and an event loop cannot wait for regular files. When
    the output is not read, lines beyond the queue's limit are dropped and counted.

    :param descriptor: open file descriptor to write to; it is not closed.
    :param fields: added at the beginning of each line, e.g. the instance.
    :param buffer_bytes: maximum size of the queue of unwritten lines.
    :param batch_seconds: time during which lines are batched before a write.
    :param clock: monotonic seconds.
    :ivar dropped: number of lines that were dropped or could not be written.
    """

    def __init__(
        self,
        descriptor: int,
        fields: Mapping[str, str] | None = None,
        *,
        buffer_bytes: int = MAX_BUFFER_BYTES,
        batch_seconds: float = BATCH_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._descriptor = descriptor
        common_fields = encode_line(fields or {})[1:-1]
        self._common_fields = b"," + common_fields if common_fields else b""
        self._buffer_bytes = buffer_bytes
        self._batch_seconds = batch_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._line_number = 0
        self.dropped = 0
        self._unreported = 0
        self._reported_at = clock() - REPORT_INTERVAL_SECONDS
        self._has_lines = threading.Event()
        self._closing = threading.Event()
        self._reader_closed = False
        self._thread = threading.Thread(
            target=self._run, name="log-writer", daemon=True
        )
        self._thread.start()

    def __call__(self, message: Mapping[str, object]) -> None:
        """Queue a message; never blocks and never raises."""
        body = encode_line(message)
        if "clock" not in message:
            body = b'{"clock":%.4f,%b' % (self._clock(), body[1:])
        with self._lock:
            self._enqueue_or_drop(body)
        if not self._has_lines.is_set():
            self._has_lines.set()

    def _enqueue_or_drop(self, body: bytes) -> None:
        """Queue a line or count it as dropped; dropped lines are numbered, too."""
        if self._reader_closed or self._queued_bytes + len(body) > self._buffer_bytes:
            self._line_number += 1
            self.dropped += 1
            self._unreported += 1
            return
        if self._unreported:
            now = self._clock()
            if now - self._reported_at >= REPORT_INTERVAL_SECONDS:
                self._report_dropped(now)
        self._enqueue(body)

    def _enqueue(self, body: bytes) -> None:
        self._line_number += 1
        line = b'{"line":%d%b,%b\n' % (self._line_number, self._common_fields, body[1:])
        self._queue.append(line)
        self._queued_bytes += len(line)

    def _report_dropped(self, now: float) -> None:
        message = {
            "message_type": Kind.LINES_DROPPED.value,
            "timestamp": time.time(),
            "clock": now,
            "lines": self._unreported,
            "lines_in_all": self.dropped,
        }
        self._unreported = 0
        self._reported_at = now
        self._enqueue(encode_line(message))

    def close(self, seconds: float = CLOSE_TIMEOUT_SECONDS) -> bool:
        """Write the queued lines and stop the thread.

        :param seconds: maximum time to wait.
        :return: whether the thread ended in time.
        """
        with self._lock:
            if self._unreported:
                self._report_dropped(self._clock())
        self._closing.set()
        self._has_lines.set()
        self._thread.join(seconds)
        return not self._thread.is_alive()

    def _run(self) -> None:
        while True:
            self._has_lines.wait()
            # Closing the writer ends this wait at once.
            self._closing.wait(self._batch_seconds)
            self._has_lines.clear()
            # Read after the clear: close() may have set both events just before it.
            closing = self._closing.is_set()
            self._write_queued()
            if closing:
                return

    def _write_queued(self) -> None:
        while chunk := self._next_chunk():
            lost = self._write(chunk)
            with self._lock:
                self._queued_bytes -= sum(map(len, chunk))
                self.dropped += lost
                self._unreported += lost

    def _next_chunk(self) -> list[bytes]:
        chunk: list[bytes] = []
        size = 0
        with self._lock:
            while self._queue:
                size += len(self._queue[0])
                if chunk and size > MAX_WRITE_BYTES:
                    break
                chunk.append(self._queue.popleft())
        return chunk

    def _write(self, chunk: list[bytes]) -> int:
        """Write lines and return the number of those that could not be written."""
        if self._reader_closed:
            return len(chunk)
        view = memoryview(b"".join(chunk))
        while view:
            try:
                view = view[os.write(self._descriptor, view) :]
            except BlockingIOError:
                # Another process that shares the descriptor made it non-blocking.
                select.select([], [self._descriptor], [], MAX_WRITABLE_WAIT_SECONDS)
            except BrokenPipeError:
                self._reader_closed = True
                return len(chunk)
            except OSError:
                return len(chunk)
        return 0
