"""Policies that decide how many tokens a router draws from a budget and returns."""

import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from bluebellshore.ids import BudgetId, Tokens

__all__ = [
    "BURN_WINDOW_SECONDS",
    "AllotmentPolicy",
    "AllotmentView",
    "BurnRate",
    "FixedPolicy",
    "HorizonPolicy",
    "SharePolicy",
    "StandbyPolicy",
    "make_policy",
]

BURN_WINDOW_SECONDS = 30.0
IDLE_RETURN_SECONDS = 60.0
FIXED_GRANT_TOKENS = Tokens(20_000)
GRANT_SHARE = 0.1
MAX_HORIZON_SHARE = 0.8
#: Share of a budget's unbilled tokens that all routers together hold before they need
#: them. During an outage of the store they lend these tokens to each other, and caps
#: bound how many are lost when a router is killed.
STANDBY_SHARE = 0.6
#: Multiples of the target: tokens are drawn below the first and returned above the
#: second.
STANDBY_REFILL_SHARE = 0.75
STANDBY_RETURN_FACTOR = 1.5


class AllotmentView(msgspec.Struct, frozen=True):
    """State of a budget and of this router's allotment, as a policy sees it.

    :param unallotted: tokens that are neither billed nor held by any router.
    :param holders: incarnations with an allotment in the row, this one included.
    :param free: tokens of this router's allotment that are not reserved.
    :param burn_per_second: tokens that this router reserves each second, with the
        tokens of waiting requests counted as reserved. The first grant then covers the
        requests that follow.
    :param shortfall: tokens that waiting requests need beyond `free`.
    :param idle_seconds: time since the last reservation at this router.
    :param unbilled: tokens that are neither billed nor kept for lost incarnations,
        held by a live router or not.
    :param budget: the budget itself.
    """

    unallotted: Tokens
    holders: int
    free: Tokens
    burn_per_second: float
    shortfall: Tokens = Tokens(0)
    idle_seconds: float = 0.0
    unbilled: Tokens = Tokens(0)
    budget: BudgetId = BudgetId("")


class AllotmentPolicy(Protocol):
    """Rule for the size of a router's allotment of a budget."""

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the tokens to draw.

        The caller draws at least the tokens that waiting requests lack, if they are
        unallotted.
        """

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return the tokens to return to the budget."""


class BurnRate:
    """Exponentially decaying average of the tokens spent each second."""

    def __init__(self, window_seconds: float = BURN_WINDOW_SECONDS):
        self._window_seconds = window_seconds
        self._decayed_tokens = 0.0
        self._updated_at: float | None = None

    def record(self, tokens: float, now: float) -> None:
        """Count tokens spent at `now`; a negative number takes tokens back."""
        self._decayed_tokens = self._decayed(now) + tokens
        self._updated_at = now

    def per_second(self, now: float, waiting: float = 0) -> float:
        """Return the average of tokens spent each second.

        :param waiting: tokens about to be spent, which count as spent at `now`.
        """
        return (self._decayed(now) + waiting) / self._window_seconds

    def _decayed(self, now: float) -> float:
        if self._updated_at is None:
            return 0.0
        return self._decayed_tokens * math.exp(
            (self._updated_at - now) / self._window_seconds
        )


class FixedPolicy:
    """Draws a fixed number of tokens at a time and returns none."""

    def __init__(self, tokens: Tokens = FIXED_GRANT_TOKENS):
        self._tokens = tokens

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the fixed number when less than half of it is free."""
        if view.free - view.shortfall >= self._tokens / 2:
            return Tokens(0)
        return Tokens(min(self._tokens, view.unallotted))

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return zero: the policy returns no tokens."""
        return Tokens(0)


class SharePolicy:
    """Draws a share of the unallotted tokens at a time and returns none."""

    def __init__(self, share: float = GRANT_SHARE):
        self._share = share

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the share when less than half of it is free."""
        size = int(self._share * view.unallotted)
        return Tokens(0 if view.free - view.shortfall >= size / 2 else size)

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return zero: the policy returns no tokens."""
        return Tokens(0)


class HorizonPolicy:
    """Holds the tokens that the present burn rate uses during an outage of the store.

    :param horizon_seconds: length of the outage to serve through.
    :param share: bound on the tokens held, as a share of those that are unallotted or
        free here, divided among the holders.
    :param idle_seconds: time without a reservation after which all free tokens are
        returned.
    """

    def __init__(
        self,
        horizon_seconds: float,
        share: float = MAX_HORIZON_SHARE,
        idle_seconds: float = IDLE_RETURN_SECONDS,
    ):
        self._horizon_seconds = horizon_seconds
        self._share = share
        self._idle_seconds = idle_seconds

    def _target_tokens(self, view: AllotmentView) -> int:
        burn = int(view.burn_per_second * self._horizon_seconds)
        pool = view.unallotted + view.free
        return min(burn, int(self._share * pool / max(1, view.holders)))

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the tokens missing from the target once less than half is free."""
        target = self._target_tokens(view)
        left = view.free - view.shortfall
        return Tokens(0 if left >= target / 2 else max(0, target - max(0, left)))

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return all free tokens when idle, else those above twice the target."""
        if view.idle_seconds >= self._idle_seconds:
            return view.free
        target = self._target_tokens(view)
        return Tokens(view.free - target if view.free > 2 * target else 0)


class StandbyPolicy(HorizonPolicy):
    """Holds a share of each budget before any request uses it, and more under load.

    A router that has not yet served a customer can therefore start to do so during an
    outage of the store.

    :param horizon_seconds: length of the outage to serve through.
    :param share: bound on the tokens held for the burn rate, as in
        :class:`HorizonPolicy`.
    :param standby_share: share of the unbilled tokens that all routers together hold
        unused.
    :param routers: returns the number of known routers, each of which may hold tokens.
    :param one_holds: returns whether only one router holds tokens of each budget ahead
        of use.
    :param holds: returns whether this router holds tokens of a budget ahead of use. If
        not, it draws what waiting requests lack, and returns what is left of it.
    :param draining: returns whether this router accepts no new requests. It then holds
        nothing ahead of use: its last requests in flight take seconds to end, and other
        routers may need the tokens before that.
    """

    def __init__(
        self,
        horizon_seconds: float,
        share: float = MAX_HORIZON_SHARE,
        standby_share: float = STANDBY_SHARE,
        routers: Callable[[], int] = lambda: 1,
        one_holds: Callable[[], bool] = lambda: False,
        holds: Callable[[BudgetId], bool] = lambda budget: True,
        draining: Callable[[], bool] = lambda: False,
    ):
        super().__init__(horizon_seconds, share, idle_seconds=math.inf)
        self._router_count = routers
        self._one_holds = one_holds
        self._holds = holds
        self._draining = draining
        self._standby_share = standby_share

    def _target_tokens(self, view: AllotmentView) -> int:
        if self._draining() or not self._holds(view.budget):
            return 0
        # Others hold only what their waiting requests lack, where one router is enough.
        holders = 1 if self._one_holds() else max(view.holders, self._router_count())
        standby = int(self._standby_share * view.unbilled / holders)
        return max(standby, super()._target_tokens(view))

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the tokens missing from the target once clearly fewer are free."""
        target = self._target_tokens(view)
        left = view.free - view.shortfall
        low = left < STANDBY_REFILL_SHARE * target
        return Tokens(max(0, target - max(0, left)) if low else 0)

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return the tokens above the target once there are clearly more."""
        target = self._target_tokens(view)
        excessive = view.free > STANDBY_RETURN_FACTOR * target
        return Tokens(view.free - target if excessive else 0)


def make_policy(name: str, horizon_seconds: float) -> AllotmentPolicy:
    """Return the policy that the settings name.

    :param horizon_seconds: outage to serve through, for the horizon policy.
    :raises ValueError: no policy has this name.
    """
    if name == "horizon":
        return HorizonPolicy(horizon_seconds)
    if name == "share":
        return SharePolicy()
    if name == "fixed":
        return FixedPolicy()
    raise ValueError(f"unknown allotment policy: {name}")
