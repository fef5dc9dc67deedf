"""Remembers committed changes of budgets, to repeat them after the store went back.

Handles a store that comes back from an older copy of itself: what an incarnation
wrote since is gone, though its callers were served. The row of the incarnation is part
of each of its transactions, so that the number in the row that came back tells which of
them the copy has.
"""

import math
from collections import deque
from collections.abc import Collection, Mapping

import msgspec

from bluebellshore.ids import BudgetId

__all__ = ["BudgetChange", "ChangeLog"]

#: Age of the oldest copy that a store is expected to come back from.
MAX_COPY_AGE_SECONDS = 300.0


class BudgetChange(msgspec.Struct):
    """Change of a budget's row by transactions of one incarnation.

    :param settled: tokens added to those billed.
    :param outstanding: tokens added to the incarnation's own; negative for fewer.
    """

    settled: int = 0
    outstanding: int = 0

    def add(self, other: "BudgetChange") -> None:
        """Add another change."""
        self.settled += other.settled
        self.outstanding += other.outstanding


class _LoggedChange(msgspec.Struct):
    """A committed change.

    :param spans: numbers ``first <= number < end`` of transactions after which the
        store has the change. A restore ends a span, and repeating it begins another.
    """

    at: float
    budget: BudgetId
    change: BudgetChange
    spans: list[tuple[float, float]]

    def is_in(self, sequence: int) -> bool:
        """Return whether the store has the change after a transaction."""
        return any(first <= sequence < end for first, end in self.spans)


class ChangeLog:
    """Committed changes of one incarnation, for as long as a copy may be old."""

    def __init__(self) -> None:
        self._changes: deque[_LoggedChange] = deque()
        self._lost: list[_LoggedChange] = []

    def record(
        self, sequence: int, changes: Mapping[BudgetId, BudgetChange], now: float
    ) -> None:
        """Add the changes of a committed transaction.

        :param sequence: number of the transaction in its incarnation.
        :param now: monotonic seconds.
        """
        oldest = now - MAX_COPY_AGE_SECONDS
        while self._changes and self._changes[0].at < oldest:
            self._changes.popleft()
        for budget, change in changes.items():
            spans = [(float(sequence), math.inf)]
            self._changes.append(_LoggedChange(now, budget, change, spans))

    def find_lost(self, sequence: int, next_sequence: int) -> None:
        """Note which changes a store that came back from a copy lacks.

        :param sequence: number of the incarnation's last transaction in the copy.
        :param next_sequence: number of the next transaction that may be committed.
        """
        self._lost = [logged for logged in self._changes if not logged.is_in(sequence)]
        for logged in self._lost:
            first, end = logged.spans[-1]
            logged.spans[-1] = (first, min(end, next_sequence))

    def lost_changes(self) -> dict[BudgetId, BudgetChange]:
        """Return the changes that are to be repeated, by budget."""
        changes: dict[BudgetId, BudgetChange] = {}
        for logged in self._lost:
            changes.setdefault(logged.budget, BudgetChange()).add(logged.change)
        return changes

    def record_repeated(self, sequence: int, budgets: Collection[BudgetId]) -> None:
        """Note that a transaction repeated the lost changes of some budgets."""
        for logged in self._lost:
            if logged.budget in budgets:
                logged.spans.append((float(sequence), math.inf))
        self._lost = [logged for logged in self._lost if logged.budget not in budgets]
