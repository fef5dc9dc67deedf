"""Counts the bytes of answers that a process holds until it can pass them on."""

import contextlib
from collections.abc import Iterator

__all__ = ["HeldBytes", "Holding"]

#: Share of the process's memory that held answers may take, and its lower bound.
ANSWERS_MEMORY_SHARE = 0.06
MIN_ANSWERS_MEMORY_BYTES = 4 * 1024 * 1024
#: An answer that holds no more than this is never asked to hold less.
MIN_HELD_BYTES = 32 * 1024


class Holding:
    """Bytes that one answer holds.

    :ivar held_bytes: set with each change by :meth:`resize`.
    """

    def __init__(self, total: "HeldBytes"):
        self._total = total
        self.held_bytes = 0

    def resize(self, held_bytes: int) -> bool:
        """Set the number of bytes held. :return: whether that is too many."""
        self._total.held_bytes += held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        return held_bytes > MIN_HELD_BYTES and self._total.is_full


class HeldBytes:
    """The bytes that all answers of a process hold together.

    Handles backend servers that send bodies or events without end: each answer is
    bounded by itself, but together they may need more memory than the process has.

    :param memory_bytes: memory that the process may use; 0 when unknown.
    """

    def __init__(self, memory_bytes: int = 0):
        share = int(memory_bytes * ANSWERS_MEMORY_SHARE)
        self._max_bytes = max(MIN_ANSWERS_MEMORY_BYTES, share)
        self.held_bytes = 0

    @property
    def is_full(self) -> bool:
        """Whether answers hold more than they may."""
        return self.held_bytes > self._max_bytes

    @contextlib.contextmanager
    def hold(self) -> Iterator[Holding]:
        """Count what one answer holds until the context ends."""
        holding = Holding(self)
        try:
            yield holding
        finally:
            holding.resize(0)
