"""Accounting for routers that reach backend servers without sidecars."""

import math
from collections.abc import Callable

from bluebellshore.budget.book import Account, AllotmentBook, Limits
from bluebellshore.budget.policy import BURN_WINDOW_SECONDS
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import StoreTime

__all__ = ["DIRECT", "DirectBook"]

#: Stands, where rows name sidecars, for all backend servers that a router reaches
#: itself. Nobody there can tell what a dead router spent.
DIRECT = IncarnationId("direct")
#: By how much this process's clock may be quicker than the store's.
CLOCK_DRIFT = 0.05
#: Caps leave room for so many seconds of the present burn at once.
ROOM_SECONDS = 0.3
#: Caps grow by this multiple of the present burn, so that serving goes on while they
#: can't be raised; and by a part of what is held in each second, for customers that
#: come anew.
GROWTH_FACTOR = 1.3
GROWTH_SHARE = 0.005


class DirectBook(AllotmentBook):
    """Book with caps that grow with the time since the store was last heard of.

    Caps bound what a killed router may have spent without a bill. While the store is
    within reach they are raised as requests need it. While it is out they grow by
    themselves, slowly. A successor reads in the row from when they grew, and knows by
    the store's clock until when at most its predecessor lived. Without the store's
    time, caps are never below what is held.

    :param store_time: newest time told by the store, with the local time of `now`.
    """

    def __init__(
        self,
        *,
        burn_window_seconds: float = BURN_WINDOW_SECONDS,
        store_time: Callable[[], StoreTime | None] = lambda: None,
    ):
        super().__init__(burn_window_seconds=burn_window_seconds)
        self._store_time = store_time
        self._growth: dict[BudgetId, float] = {}
        self._grows_from = -math.inf
        self._now = -math.inf

    def lists(self, sidecar: IncarnationId) -> bool:
        """Whether anything may be sent: always."""
        return True

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Whether more of the budget may be sent, at the time of the last call."""
        account = self.account(budget)
        return tokens <= self._room(budget, account)

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
        self._now = now
        return Tokens(max(0, min(account.free, self._room(budget, account))))

    def _room(self, budget: BudgetId, account: Account) -> int:
        """Return what the cap leaves, at the time of the last call."""
        growth = self._growth.get(budget, 0.0)
        elapsed = max(0.0, self._now - self._grows_from) / (1 + CLOCK_DRIFT)
        cap = account.cap + (int(growth * elapsed) if growth else 0)
        return cap - account.reserved - account.unsettled

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
        billed: dict[BudgetId, Tokens] | None = None,
    ) -> Limits:
        """Return caps with room for what may come before the next transaction."""
        billed = billed or {}
        needs = needs_by_sidecar.get(DIRECT, {})
        seen = self._store_time()
        caps, growth = {}, {}
        for budget, account in self.accounts_by_budget.items():
            held = account.outstanding + grants.get(budget, 0)
            if seen is None:
                caps[budget] = Tokens(max(account.cap, held))
                continue
            held -= billed.get(budget, 0)
            used = account.reserved + account.unsettled + needs.get(budget, 0)
            used -= billed.get(budget, 0)
            burn = account.burn.rate(now)
            caps[budget] = Tokens(min(held, used + int(ROOM_SECONDS * burn)))
            growth[budget] = max(GROWTH_FACTOR * burn, GROWTH_SHARE * held)
        return Limits([DIRECT], caps, growth, seen, billed)

    def lower_limits(self, limits: Limits) -> None:
        """Heed stricter limits before the row has them."""
        super().lower_limits(limits)
        for budget, growth in self._growth.items():
            self._growth[budget] = min(growth, limits.growth.get(budget, 0.0))
        if limits.seen is not None:
            self._grows_from = max(self._grows_from, limits.seen.local_seconds)

    def raise_limits(self, limits: Limits) -> None:
        """Use the limits that the row has."""
        super().raise_limits(limits)
        self._growth = dict(limits.growth)
        if limits.seen is not None:
            self._grows_from = limits.seen.local_seconds
