"""Accounts of routers that reach backend servers directly, without sidecars."""

import math
from collections.abc import Callable, Collection

import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts, SpendingLimits
from bluebellshore.budget.policy import BURN_WINDOW_SECONDS
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import MAX_CLOCK_DRIFT_SHARE, StoreTime

__all__ = ["DIRECT_SIDECAR", "DirectAccounts"]

#: Stands in rows, in place of a sidecar, for all backend servers that a router reaches
#: directly. They cannot report what a dead router spent, unlike a sidecar.
DIRECT_SIDECAR = IncarnationId("direct")
#: Time after the last contact with the store at which caps lapse. Caps limit the tokens
#: counted as spent only if a killed process is back before that: it takes 0.6 s after
#: a kill and 0.9 to 1.8 s after a loss of power.
CAP_LAPSE_SECONDS = 2.2
#: Headroom of caps above the tokens in use: this many seconds of the present burn rate
#: or this share of the tokens held, whichever is more. It must last until the next
#: transaction, which raises the caps.
CAP_HEADROOM_SECONDS = 0.15
CAP_HEADROOM_SHARE = 0.02
#: Growth of caps while the store is out: each second by this many seconds of the burn
#: rate, plus this share of the tokens held to allow for changes of the load. That is
#: less than the load uses. Some requests wait until the caps lapse, but if all routers
#: are killed, a customer loses only a small part of the budget.
CAP_GROWTH_BURN_FACTOR = 0.6
CAP_GROWTH_SHARE = 0.02


class _GrowingCap(msgspec.Struct, frozen=True):
    """A cap that grows linearly with time.

    :param cap: tokens at `since`.
    :param growth: tokens per second.
    :param since: local time.
    """

    cap: Tokens = Tokens(0)
    growth: Tokens = Tokens(0)
    since: float = 0.0

    def at(self, now: float) -> Tokens:
        """Return the cap at a local time, also if the local clock runs too fast."""
        grown = self.growth * max(0.0, now - self.since) / (1 + MAX_CLOCK_DRIFT_SHARE)
        return Tokens(self.cap + int(grown))

    def minimum(self, other: "_GrowingCap") -> "_GrowingCap":
        """Return a growing cap that never exceeds either of the two."""
        since = max(self.since, other.since)
        cap = min(self.at(since), other.at(since))
        return _GrowingCap(cap, min(self.growth, other.growth), since)


class DirectAccounts(AllotmentAccounts):
    """Accounts with caps that hold only for a time after contact with the store.

    Caps bound the tokens that a killed router may have spent without a bill. While the
    store is out they cannot be raised. They therefore grow with the time since the last
    contact, and lapse `lapse_seconds` after it: the whole allotment may then be spent.
    An incarnation of the same instance that starts before the lapse, by the store's
    clock, counts the caps as they had grown until its start as spent. One that starts
    later must count the whole allotment. As long as the store's time is unknown, caps
    are never below the tokens held.

    :param burn_window_seconds: time over which burn rates are averaged.
    :param store_time: returns the newest time that the store reported, None for none.
        Its local time is from the same clock as `now` in the methods.
    :param lapse_seconds: time after the last contact at which caps lapse.
    :param headroom_seconds: returns the headroom of caps, in seconds of the burn rate.
    :param holds: returns whether this router holds tokens of a budget ahead of use.
    """

    def __init__(
        self,
        *,
        burn_window_seconds: float = BURN_WINDOW_SECONDS,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        lapse_seconds: float = CAP_LAPSE_SECONDS,
        headroom_seconds: Callable[[], float] = lambda: CAP_HEADROOM_SECONDS,
        holds: Callable[[BudgetId], bool] = lambda budget: True,
    ):
        super().__init__(burn_window_seconds=burn_window_seconds)
        self._headroom_seconds = headroom_seconds
        self._holds = holds
        self._store_time = store_time
        self._lapse_seconds = lapse_seconds
        self._lapses_at = math.inf
        self._growing_caps_by_budget: dict[BudgetId, _GrowingCap] = {}
        self._last_reserve_at = -math.inf

    def budgets_to_review(self) -> Collection[BudgetId]:
        """Return the budgets that this router holds ahead of use or still has."""
        return [budget for budget in self.by_budget if self._needs_review(budget)]

    @property
    def idle(self) -> bool:
        """Whether the incarnation's row needs no renewal: it bounds no tokens."""
        return not any(map(self._needs_review, self.by_budget))

    def _needs_review(self, budget: BudgetId) -> bool:
        account = self.by_budget[budget]
        return bool(account.outstanding or account.unsettled or self._holds(budget))

    def is_listed(self, sidecar: IncarnationId) -> bool:
        """Return True: backend servers are not listed in the row."""
        return True

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Return whether `tokens` more of the budget may be spent.

        The cap counts as of the last call of :meth:`reserve`.
        """
        if self._last_reserve_at > self._lapses_at:
            return True
        account = self.account(budget)
        cap = self.cap(budget, self._last_reserve_at)
        return account.reserved + account.unsettled + tokens <= cap

    def reserve(
        self,
        budget: BudgetId,
        attempt: str,
        sidecar: IncarnationId,
        tokens: Tokens,
        now: float,
    ) -> bool:
        """Reserve the most that an attempt may cost.

        :return: False when too few tokens are free or the cap is reached.
        """
        self._last_reserve_at = now
        return super().reserve(budget, attempt, sidecar, tokens, now)

    def cap(self, budget: BudgetId, now: float) -> Tokens:
        """Return the cap of a budget, with its growth until `now`."""
        return self._growing_cap(budget).at(now)

    def available(self, budget: BudgetId, now: float) -> Tokens:
        """Return the number of tokens that could be reserved at `now`."""
        account = self.by_budget.get(budget)
        if account is None:
            return Tokens(0)
        if now > self._lapses_at:
            return Tokens(max(0, account.free))
        headroom = self.cap(budget, now) - account.reserved - account.unsettled
        return Tokens(max(0, min(account.free, headroom)))

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
        billed: dict[BudgetId, Tokens] | None = None,
    ) -> SpendingLimits:
        """Return caps with headroom for requests until the next transaction."""
        needs = needs_by_sidecar.get(DIRECT_SIDECAR, {})
        billed = billed or {}
        caps, growth = {}, {}
        store_time = self._store_time()
        for budget, account in self.by_budget.items():
            held = account.outstanding + grants.get(budget, 0)
            if store_time is None:
                caps[budget] = Tokens(max(account.cap, held))
                continue
            held -= billed.get(budget, 0)
            used = account.reserved + account.unsettled - billed.get(budget, 0)
            burn = account.burn_rate.per_second(now)
            headroom = max(self._headroom_seconds() * burn, CAP_HEADROOM_SHARE * held)
            growth_rate = CAP_GROWTH_BURN_FACTOR * burn + CAP_GROWTH_SHARE * held
            growth[budget] = Tokens(math.ceil(growth_rate))
            caps[budget] = Tokens(
                min(held, int(used + needs.get(budget, 0) + headroom))
            )
        since = store_time.local_seconds if store_time else 0.0
        return SpendingLimits([DIRECT_SIDECAR], caps, billed, growth, since)

    def tighten_limits(self, limits: SpendingLimits) -> None:
        """Apply those limits that are stricter, before the row has them.

        The limits then hold whether the transaction takes effect or not.
        """
        for budget in self.by_budget:
            new_cap = limits.caps.get(budget, 0) + limits.billed.get(budget, 0)
            new = _GrowingCap(
                Tokens(new_cap), limits.growth.get(budget, 0), limits.since
            )
            self._set_growing_cap(budget, self._growing_cap(budget).minimum(new))

    def apply_limits(self, limits: SpendingLimits) -> None:
        """Apply the limits that the row has."""
        super().apply_limits(limits)
        for budget, cap in limits.caps.items():
            growth_rate = limits.growth.get(budget, Tokens(0))
            self._set_growing_cap(budget, _GrowingCap(cap, growth_rate, limits.since))

    def _growing_cap(self, budget: BudgetId) -> _GrowingCap:
        return self._growing_caps_by_budget.get(budget, _GrowingCap())

    def _set_growing_cap(self, budget: BudgetId, growing_cap: _GrowingCap) -> None:
        self._growing_caps_by_budget[budget] = growing_cap
        self.account(budget).cap = growing_cap.cap

    def renew_cap_validity(self) -> tuple[float, float]:
        """Extend the validity of caps and return it for the row.

        The validity is extended before the row is written: the row may take effect even
        if its transaction is not answered.

        :return: the store's time from which the caps are valid and the number of
            seconds for which they are; zero while the store's time is unknown.
        """
        store_time = self._store_time()
        if store_time is None:
            return 0.0, 0.0
        lapses_at = store_time.local_seconds + self._lapse_seconds * (
            1 + MAX_CLOCK_DRIFT_SHARE
        )
        if self._lapses_at == math.inf or lapses_at > self._lapses_at:
            self._lapses_at = lapses_at
        return store_time.store_seconds, self._lapse_seconds
