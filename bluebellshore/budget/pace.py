"""When an accountant writes again after conflicts and failures."""

import random
from collections.abc import Callable

from bluebellshore.budget.turns import GROUPS, Turn
from bluebellshore.store.interface import MAX_TRANSACTION_WRITES

__all__ = ["Pace"]

#: Longest pauses after a first and after many failures.
BACKOFF_SECONDS = 0.01
MAX_BACKOFF_SECONDS = 1.0
#: Doublings of the first pause at most.
MAX_DOUBLINGS = 10
#: Under conflicts settlements follow so many times later at most.
MAX_SETTLE_FACTOR = 16.0
#: What a settlement without a conflict leaves of that factor.
SETTLE_DECAY = 0.9


class Pace:
    """Decides on pauses, turns and sizes of transactions.

    :param next_turn: when to go on after a conflict; None for a random pause.
    """

    def __init__(self, rng: random.Random, next_turn: Callable[[], Turn | None]):
        #: Failures and conflicts since the last success.
        self.failures = 0
        #: Whether budgets' rows conflicted since they were written last.
        self.contended = False
        #: Budgets that one transaction touches: fewer after conflicts.
        self.most_budgets = MAX_TRANSACTION_WRITES
        #: Turn to write in, with its time; None to write at any time.
        self.turn: Turn | None = None
        self.turn_at = 0.0
        self._turns_left = 0
        self._hastened = False
        self._settle_factor = 1.0
        self._rng = rng
        self._next_turn = next_turn

    def conflicted(self, now: float) -> None:
        """A row had another version."""
        self.failures += 1
        self.contended = True
        self._take_turn(GROUPS, now)
        if self.turn is None:
            self.most_budgets = max(1, self.most_budgets // 2)
            if self.most_budgets == 1:
                self._settle_factor = min(MAX_SETTLE_FACTOR, self._settle_factor * 2)

    def succeeded(self, now: float, *, wrote: bool) -> None:
        """Rows of budgets were looked at without a conflict.

        :param wrote: whether any row was written.
        """
        self.failures = 0
        self.contended = False
        if wrote:
            self.most_budgets = min(MAX_TRANSACTION_WRITES, self.most_budgets * 2)
        if self.turn is not None:
            self._take_turn(self._turns_left - 1, now)

    def hasten(self) -> None:
        """Wait for no turn any more."""
        self.turn, self._hastened = None, True

    def is_early(self, now: float) -> bool:
        """Whether a turn is to be awaited."""
        return self.turn is not None and now < self.turn_at

    def settle_seconds(self, interval: float) -> float:
        """Return the time to the next settlement, with jitter."""
        self._settle_factor = max(1.0, self._settle_factor * SETTLE_DECAY)
        return interval * self._settle_factor * self._rng.uniform(0.75, 1.25)

    def pause_seconds(self) -> float:
        """Return a random pause, longer after many failures."""
        limit = BACKOFF_SECONDS * 2 ** min(self.failures, MAX_DOUBLINGS)
        return self._rng.uniform(0, min(MAX_BACKOFF_SECONDS, limit))

    def _take_turn(self, turns_left: int, now: float) -> None:
        self._turns_left = turns_left
        by_turns = turns_left > 0 and not self._hastened
        self.turn = self._next_turn() if by_turns else None
        if self.turn is not None:
            self.turn_at = now + self.turn.wait_seconds
