"""Continuous batching of the model engine stand-in."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

__all__ = ["Batch"]


class Batch:
    """Slots of requests that are generated at once; others wait by priority.

    :param limit: slots; 0 for no limit.
    :param slowdown: growth of a step's time for each further request, as a share.
    """

    def __init__(self, limit: int, slowdown: float):
        self._limit = limit
        self._slowdown = slowdown
        self._arrivals = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self.running = 0

    @property
    def waiting(self) -> int:
        """Return the number of requests without a slot."""
        return sum(not future.done() for _, _, future in self._waiting)

    @property
    def step_factor(self) -> float:
        """Return the factor on the time between tokens."""
        return 1 + self._slowdown * max(self.running - 1, 0)

    @asynccontextmanager
    async def slot(self, priority: int) -> AsyncIterator[None]:
        """Hold a slot of the batch; 0 is the highest priority."""
        await self._acquire(priority)
        try:
            yield
        finally:
            self.running -= 1
            self._admit()

    async def _acquire(self, priority: int) -> None:
        granted = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), granted))
        self._admit()
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.running -= 1
                self._admit()
            raise

    def _admit(self) -> None:
        while self._waiting and (not self._limit or self.running < self._limit):
            granted = heapq.heappop(self._waiting)[2]
            if not granted.done():
                self.running += 1
                granted.set_result(None)
