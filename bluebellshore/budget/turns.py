"""Whose turn it is to write rows that many routers change.

The load that it answers: after a loss of power all routers start at once, and each
writes each budget's row, for what its earlier life held and for a stock of its own.
Transactions of many rows then always conflict, small ones are more than the store
takes. So whoever meets a conflict goes on by turns, told by the store's clock: at any
time each group of budgets belongs to one writer. Conditions on the rows stay; views
of who takes part, and clocks, may differ a little.
"""

import zlib
from collections.abc import Callable, Collection

import msgspec

from bluebellshore.ids import BudgetId, IncarnationId
from bluebellshore.store.interface import StoreTime

__all__ = ["GROUPS", "Turn", "Turns", "group_of", "next_turn"]

#: Groups of budgets, as many as writers at once: a few rows pass a slow link soon.
GROUPS = 6
#: Time of a turn: a read and a transaction of a few rows by a router on a slow link.
TURN_SECONDS = 0.04
#: Fewer routers seldom meet conflicts, and a turn would come later than a retry.
LEAST_ROUTERS = 8


class Turn(msgspec.Struct, frozen=True):
    """Next turn of a writer, and the budgets that it is for."""

    wait_seconds: float
    group: int


def group_of(budget: BudgetId) -> int:
    """Return the group of a budget, the same for all routers."""
    return zlib.crc32(budget.encode()) % GROUPS


def next_turn(store_seconds: float, position: int, writers: int) -> Turn:
    """Return the next turn of a writer.

    :param position: of this writer among all.
    :param writers: at least :data:`GROUPS`.
    """
    stride = writers // GROUPS
    now = store_seconds / TURN_SECONDS
    waits = ((position + g * stride - now) % writers for g in range(GROUPS))
    wait, group = min((wait, g) for g, wait in enumerate(waits))
    return Turn(wait * TURN_SECONDS, group)


class Turns:
    """Turns of one router, for its settlements and for its earlier lives.

    :param routers: incarnations that take part, as this one knows them.
    :param store_time: the store's time, with a time of `clock`.
    """

    def __init__(
        self,
        own: IncarnationId,
        routers: Callable[[], Collection[IncarnationId]],
        store_time: Callable[[], StoreTime | None],
        clock: Callable[[], float],
    ):
        self._own = own
        self._routers = routers
        self._store_time = store_time
        self._clock = clock

    def settling(self) -> Turn | None:
        """Return the next turn to settle; None where no turns are needed."""
        return self._next(0)

    def recovering(self) -> Turn | None:
        """Return the next turn to recover; None where no turns are needed."""
        return self._next(1)

    def _next(self, role: int) -> Turn | None:
        seen = self._store_time()
        routers = sorted({*self._routers(), self._own})
        if seen is None or len(routers) < LEAST_ROUTERS:
            return None
        now = seen.store_seconds + self._clock() - seen.local_seconds
        return next_turn(now, 2 * routers.index(self._own) + role, 2 * len(routers))
