"""Finds tokens that were drawn in a span which a restored store has lost.

Handles routers that are killed around a restore. What they drew after the copy is in
no row, and they can't repeat it. But each router reads the rows of its budgets every
second or so, and knows how many tokens were used in all when it last did.
"""

import math

import msgspec

from bluebellshore.budget.rows import BudgetRow
from bluebellshore.ids import BudgetId, Tokens
from bluebellshore.store.interface import ABSENT, era_of

__all__ = ["Recount"]

#: Age of a read from which on it no longer counts. Others may have returned tokens
#: since then, which are no missing ones.
MAX_READ_AGE_SECONDS = 3.0


class _Use(msgspec.Struct, frozen=True):
    """Tokens used of a budget, as read.

    :param at: monotonic seconds of the read.
    """

    tokens: Tokens
    at: float


class Recount:
    """What one incarnation knows of the use of budgets before the store's present era.

    :ivar era: present era; None until it is known.
    """

    def __init__(self) -> None:
        self.era: int | None = None
        self._compares_from = -math.inf
        self._draws_from = -math.inf
        self._use_by_budget: dict[BudgetId, _Use] = {}
        self._use_before_by_budget: dict[BudgetId, _Use] = {}

    def start(self, era: int, now: float, hold_seconds: float) -> None:
        """Learn the era in which this incarnation starts.

        :param now: monotonic seconds.
        :param hold_seconds: time in which others, which know more, compare the rows if
            the era has just begun.
        """
        self.era = era
        self._compares_from = now + hold_seconds

    def begin_era(self, era: int, now: float, hold_seconds: float) -> None:
        """Keep what was read last as what the rows are compared with.

        :param now: monotonic seconds.
        :param hold_seconds: time in which the incarnations that live repeat their
            changes. Nothing is drawn in it.
        """
        self.era = era
        self._compares_from = self._draws_from = now + hold_seconds
        for budget, use in self._use_by_budget.items():
            before = self._use_before_by_budget.get(budget)
            recent = now - use.at <= MAX_READ_AGE_SECONDS
            if recent and (before is None or before.tokens < use.tokens):
                self._use_before_by_budget[budget] = use
        self._use_by_budget = {}

    def compare(
        self, budget: BudgetId, row: BudgetRow, version: int, now: float
    ) -> None:
        """Note the use of a budget, and add to its row what the restore has lost.

        :param row: the row as read in this era or an earlier one; changed in place.
        :param version: its version; 0 if it is absent.
        :param now: monotonic seconds.
        """
        era = self.era or 0
        if version != ABSENT and era_of(version) < era:
            return
        before = self._use_before_by_budget.get(budget)
        if now >= self._compares_from and (before or row.recount_era < era):
            used_before = before.tokens if before else Tokens(0)
            if not row.recount(era, used_before):
                # Nothing is missing in the row as it was read.
                self._use_before_by_budget.pop(budget, None)
        self._use_by_budget[budget] = _Use(row.used(), now)

    def holds_draws(self, now: float) -> bool:
        """Return whether nothing is drawn, as an era has just begun."""
        return now < self._draws_from

    def allows_draws(self, row: BudgetRow, now: float) -> bool:
        """Return whether tokens may be drawn from a row as compared."""
        return not self.holds_draws(now) and row.recount_era >= (self.era or 0)
