"""Faults and operation counts of the in-memory services."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from bluebellshore.errors import PlatformUnavailableError

__all__ = ["PEER", "MemoryFaults", "OperationCounts"]

#: Name of the in-memory services in errors.
PEER = "memory"


@dataclass
class MemoryFaults:
    """Faults that the in-memory services inject; may be changed at any time.

    :param outage: whether every operation fails before it takes effect.
    :param fail_next: number of next operations that fail before they take effect.
    :param lose_next: number of next table and object writes whose answer is lost
        after they took effect.
    :param lose_answers: probability that the answer of a table or object write is
        lost.
    :param delay_seconds: delay before an operation takes effect.
    :param answer_delay_seconds: delay between the effect of a write and its answer.
    :param rng: decides which answers are lost.
    """

    outage: bool = False
    fail_next: int = 0
    lose_next: int = 0
    lose_answers: float = 0.0
    delay_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    @asynccontextmanager
    async def inject(self, step: str, *, write: bool = False) -> AsyncIterator[None]:
        """Inject the configured faults before and after an operation takes effect.

        :param step: operation named in errors.
        :param write: whether the answer of the operation may be delayed or lost.
        :raises PlatformUnavailableError: before the operation, or after it if its
            answer is lost.
        """
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self._fails():
            raise PlatformUnavailableError("injected outage", step=step, peer=PEER)
        yield
        if not write:
            return
        if self.answer_delay_seconds:
            await asyncio.sleep(self.answer_delay_seconds)
        if self._loses_answer():
            raise PlatformUnavailableError("injected loss", step=step, peer=PEER)

    def _fails(self) -> bool:
        if self.outage:
            return True
        if self.fail_next > 0:
            self.fail_next -= 1
            return True
        return False

    def _loses_answer(self) -> bool:
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        return self.lose_answers > 0 and self.rng.random() < self.lose_answers


class OperationCounts(msgspec.Struct):
    """Counts of operations that took effect, to measure the load on the platform.

    :param conflicts: transactions refused because a row had another version.
    :param rate_limited: operations refused because of a rate limit.
    """

    transactions: int = 0
    conflicts: int = 0
    rows_written: int = 0
    reads: int = 0
    rows_read: int = 0
    scans: int = 0
    rows_scanned: int = 0
    feeds: int = 0
    object_puts: int = 0
    object_gets: int = 0
    object_deletes: int = 0
    list_fetches: int = 0
    announcements: int = 0
    rate_limited: int = 0
