"""Simulated time."""

import heapq
import itertools
from collections.abc import Callable

__all__ = ["Clock"]


class Clock:
    """Runs callbacks in the order of their simulated time, in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback later."""
        entry = (self.now + max(0.0, seconds), next(self._numbers), callback)
        heapq.heappush(self._due, entry)

    def run(self, until: float) -> None:
        """Run what is due up to a time."""
        while self._due and self._due[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._due)
            callback()
        self.now = until
