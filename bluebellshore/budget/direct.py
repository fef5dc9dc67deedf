"""Accounting for routers that reach backend servers without sidecars."""

import math
from collections.abc import Callable

from bluebellshore.budget.book import AllotmentBook, Limits
from bluebellshore.budget.policy import BURN_WINDOW_SECONDS
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import CLOCK_DRIFT, StoreTime

__all__ = ["DIRECT", "DirectBook"]

#: Stands, where rows name sidecars, for all backend servers that a router reaches
#: itself. Nobody there can tell what a dead router spent.
DIRECT = IncarnationId("direct")
#: Time after the last contact with the store from which caps no longer hold. A process
#: that is killed must be back within it, for its caps to spare tokens.
LAPSE_SECONDS = 2.8
#: Caps leave room for so many seconds of the present burn, or for a part of what is
#: held, whichever is more.
ROOM_SECONDS = 2.8
ROOM_SHARE = 0.04


class DirectBook(AllotmentBook):
    """Book with caps that hold only while the store is within reach.

    Caps bound what a killed router may have spent without a bill. While the store is
    out they can't be raised, so from `lapse_seconds` after the last contact with it
    the whole allotment may be spent. A successor that starts sooner after that
    contact, by the store's clock, knows that the caps held; a later one must count
    the whole allotment. Without the store's time, caps are never below what is held.

    :param store_time: newest time told by the store, with the local time of `now`.
    """

    def __init__(
        self,
        *,
        burn_window_seconds: float = BURN_WINDOW_SECONDS,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        lapse_seconds: float = LAPSE_SECONDS,
    ):
        super().__init__(burn_window_seconds=burn_window_seconds)
        self._store_time = store_time
        self._lapse_seconds = lapse_seconds
        self._lapses_at = math.inf
        self._now = -math.inf

    def lists(self, sidecar: IncarnationId) -> bool:
        """Whether anything may be sent: always."""
        return True

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Whether more of the budget may be sent, at the time of the last call."""
        if self._now > self._lapses_at:
            return True
        account = self.account(budget)
        return account.reserved + account.unsettled + tokens <= account.cap

    def reserve(
        self,
        budget: BudgetId,
        attempt: str,
        sidecar: IncarnationId,
        tokens: Tokens,
        now: float,
    ) -> bool:
        """Reserve an upper bound. :return: False when tokens or cap are short."""
        self._now = now
        return super().reserve(budget, attempt, sidecar, tokens, now)

    def available(self, budget: BudgetId, now: float) -> Tokens:
        """Return how much could be reserved."""
        account = self.accounts_by_budget.get(budget)
        if account is None:
            return Tokens(0)
        if now > self._lapses_at:
            return Tokens(max(0, account.free))
        room = account.cap - account.reserved - account.unsettled
        return Tokens(max(0, min(account.free, room)))

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
        billed: dict[BudgetId, Tokens] | None = None,
    ) -> Limits:
        """Return caps with room for what may come before the next transaction."""
        needs = needs_by_sidecar.get(DIRECT, {})
        billed = billed or {}
        caps = {}
        for budget, account in self.accounts_by_budget.items():
            held = account.outstanding + grants.get(budget, 0)
            if self._store_time() is None:
                caps[budget] = Tokens(max(account.cap, held))
                continue
            held -= billed.get(budget, 0)
            used = account.reserved + account.unsettled - billed.get(budget, 0)
            room = max(ROOM_SECONDS * account.burn.rate(now), ROOM_SHARE * held)
            caps[budget] = Tokens(min(held, int(used + needs.get(budget, 0) + room)))
        return Limits([DIRECT], caps, billed)

    def lapse(self) -> tuple[float, float]:
        """Return the store's time for a row, and how long its caps hold from there.

        The row may stand even if no answer tells so: caps hold from its time on.
        """
        seen = self._store_time()
        if seen is None:
            return 0.0, 0.0
        lapses_at = seen.local_seconds + self._lapse_seconds * (1 + CLOCK_DRIFT)
        if self._lapses_at == math.inf or lapses_at > self._lapses_at:
            self._lapses_at = lapses_at
        return seen.store_seconds, self._lapse_seconds
