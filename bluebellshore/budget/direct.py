"""Accounting for routers that reach backend servers without sidecars."""

import math
from collections.abc import Callable

import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts, SpendingLimits
from bluebellshore.budget.policy import BURN_WINDOW_SECONDS
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import CLOCK_DRIFT, StoreTime

__all__ = ["DIRECT_SIDECAR", "DirectAccounts"]

#: Stands, where rows name sidecars, for all backend servers that a router reaches
#: itself. Nobody there can tell what a dead router spent.
DIRECT_SIDECAR = IncarnationId("direct")
#: Time after the last contact with the store from which caps no longer hold. A process
#: that is killed must be back within it, for its caps to spare tokens: measured 0.6 s
#: after a kill, 0.9 to 1.8 s after a loss of power.
CAP_LAPSE_SECONDS = 2.2
#: Room that caps leave, in seconds of the present burn, or as a part of what is held,
#: whichever is more. It serves until the next transaction, which raises them.
ROOM_SECONDS = 0.15
ROOM_SHARE = 0.02
#: While the store is out caps grow each second by so many seconds of the present burn,
#: and by a part of what is held, for changes of the load. Less than the load uses: some
#: wait until the lapse, but a kill of all costs a customer no more than a small part.
GROWTH_BURNS = 0.6
GROWTH_SHARE = 0.02


class _Line(msgspec.Struct, frozen=True):
    """A cap over time.

    :param cap: tokens at `since`, by the local clock.
    :param rate: tokens a second by which it grows.
    """

    cap: Tokens = Tokens(0)
    rate: Tokens = Tokens(0)
    since: float = 0.0

    def at(self, now: float) -> Tokens:
        """Return the cap at a later time, by a local clock that may be quick."""
        grown = self.rate * max(0.0, now - self.since) / (1 + CLOCK_DRIFT)
        return Tokens(self.cap + int(grown))

    def lower_of(self, other: "_Line") -> "_Line":
        """Return a line that is above neither."""
        since = max(self.since, other.since)
        cap = min(self.at(since), other.at(since))
        return _Line(cap, min(self.rate, other.rate), since)


class DirectAccounts(AllotmentAccounts):
    """Book with caps that hold only while the store is within reach.

    Caps bound what a killed router may have spent without a bill. While the store is
    out they can't be raised, so they grow by themselves with the time since the last
    contact, and from `lapse_seconds` after it the whole allotment may be spent. A
    successor that starts sooner after that contact, by the store's clock, counts what
    the caps had grown to by then; a later one must count the whole allotment. Without
    the store's time, caps are never below what is held.

    :param store_time: newest time told by the store, with the local time of `now`.
    :param room_seconds: returns the time of the present burn that caps leave room for.
    """

    def __init__(
        self,
        *,
        burn_window_seconds: float = BURN_WINDOW_SECONDS,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        lapse_seconds: float = CAP_LAPSE_SECONDS,
        headroom_seconds: Callable[[], float] = lambda: ROOM_SECONDS,
    ):
        super().__init__(burn_window_seconds=burn_window_seconds)
        self._headroom_seconds = headroom_seconds
        self._store_time = store_time
        self._lapse_seconds = lapse_seconds
        self._lapses_at = math.inf
        self._lines_by_budget: dict[BudgetId, _Line] = {}
        self._now = -math.inf

    def is_listed(self, sidecar: IncarnationId) -> bool:
        """Whether anything may be sent: always."""
        return True

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Whether more of the budget may be sent, at the time of the last call."""
        if self._now > self._lapses_at:
            return True
        account = self.account(budget)
        cap = self.cap(budget, self._now)
        return account.reserved + account.unsettled + tokens <= cap

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

    def cap(self, budget: BudgetId, now: float) -> Tokens:
        """Return what the cap of a budget has grown to."""
        return self._line(budget).at(now)

    def available(self, budget: BudgetId, now: float) -> Tokens:
        """Return how much could be reserved."""
        account = self.by_budget.get(budget)
        if account is None:
            return Tokens(0)
        if now > self._lapses_at:
            return Tokens(max(0, account.free))
        room = self.cap(budget, now) - account.reserved - account.unsettled
        return Tokens(max(0, min(account.free, room)))

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
        billed: dict[BudgetId, Tokens] | None = None,
    ) -> SpendingLimits:
        """Return caps with room for what may come before the next transaction."""
        needs = needs_by_sidecar.get(DIRECT_SIDECAR, {})
        billed = billed or {}
        caps, growth = {}, {}
        seen = self._store_time()
        for budget, account in self.by_budget.items():
            held = account.outstanding + grants.get(budget, 0)
            if seen is None:
                caps[budget] = Tokens(max(account.cap, held))
                continue
            held -= billed.get(budget, 0)
            used = account.reserved + account.unsettled - billed.get(budget, 0)
            burn = account.burn_rate.per_second(now)
            room = max(self._headroom_seconds() * burn, ROOM_SHARE * held)
            rate = GROWTH_BURNS * burn + GROWTH_SHARE * held
            growth[budget] = Tokens(math.ceil(rate))
            caps[budget] = Tokens(min(held, int(used + needs.get(budget, 0) + room)))
        since = seen.local_seconds if seen else 0.0
        return SpendingLimits([DIRECT_SIDECAR], caps, billed, growth, since)

    def tighten_limits(self, limits: SpendingLimits) -> None:
        """Heed stricter limits before the row has them, whichever row stands."""
        for budget in self.by_budget:
            lower = limits.caps.get(budget, 0) + limits.billed.get(budget, 0)
            new = _Line(Tokens(lower), limits.growth.get(budget, 0), limits.since)
            self._draw(budget, self._line(budget).lower_of(new))

    def apply_limits(self, limits: SpendingLimits) -> None:
        """Use the limits that the row has."""
        super().apply_limits(limits)
        for budget, cap in limits.caps.items():
            rate = limits.growth.get(budget, Tokens(0))
            self._draw(budget, _Line(cap, rate, limits.since))

    def _line(self, budget: BudgetId) -> _Line:
        return self._lines_by_budget.get(budget, _Line())

    def _draw(self, budget: BudgetId, line: _Line) -> None:
        self._lines_by_budget[budget] = line
        self.account(budget).cap = line.cap

    def renew_cap_validity(self) -> tuple[float, float]:
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
