"""Policies for the size of allotments."""

import math
from collections.abc import Callable
from typing import Protocol

import msgspec

from bluebellshore.ids import Tokens

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
IDLE_SECONDS = 60.0
FIXED_TOKENS = Tokens(20_000)
GRANT_SHARE = 0.1
HORIZON_SHARE = 0.8
#: Share of the rest that all routers together hold ahead of use: in an outage they
#: lend it to each other, and caps bound what a kill loses of it.
STANDBY_SHARE = 0.6
#: Parts of the target below which tokens are drawn and above which they go back.
STANDBY_REFILL = 0.75
STANDBY_SURPLUS = 1.5


class AllotmentView(msgspec.Struct, frozen=True):
    """What a policy sees of a budget when a router may change its allotment.

    :param unallotted: tokens that nobody holds.
    :param unbilled: tokens that are not billed, held or not.
    :param holders: incarnations with an entry in the row, this one included.
    :param free: tokens held here and not reserved.
    :param burn_per_second: tokens a second reserved here lately or asked for by waiting
        requests, so that the first grant is followed by no gap.
    :param shortfall: tokens that waiting requests lack.
    :param idle_seconds: time since the last reservation here.
    """

    unallotted: Tokens
    holders: int
    free: Tokens
    burn_per_second: float
    shortfall: Tokens = Tokens(0)
    idle_seconds: float = 0.0
    unbilled: Tokens = Tokens(0)


class AllotmentPolicy(Protocol):
    """Decides how many tokens a router holds of a budget."""

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the tokens to ask for beyond what waiting requests need."""

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return the tokens to give back."""


class BurnRate:
    """Exponentially weighted rate of tokens a second."""

    def __init__(self, window_seconds: float = BURN_WINDOW_SECONDS):
        self._window_seconds = window_seconds
        self._sum = 0.0
        self._updated_at: float | None = None

    def record(self, tokens: float, now: float) -> None:
        """Add tokens spent at `now`."""
        self._sum = self._decayed(now) + tokens
        self._updated_at = now

    def per_second(self, now: float, waiting: float = 0) -> float:
        """Return tokens a second.

        :param waiting: tokens about to be spent, counted as if they were already.
        """
        return (self._decayed(now) + waiting) / self._window_seconds

    def _decayed(self, now: float) -> float:
        if self._updated_at is None:
            return 0.0
        return self._sum * math.exp((self._updated_at - now) / self._window_seconds)


class FixedPolicy:
    """Grants of one size; returns nothing."""

    def __init__(self, tokens: Tokens = FIXED_TOKENS):
        self._tokens = tokens

    def grant(self, view: AllotmentView) -> Tokens:
        """Return the fixed size when less than half of it is left."""
        if view.free - view.shortfall >= self._tokens / 2:
            return Tokens(0)
        return Tokens(min(self._tokens, view.unallotted))

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return nothing."""
        return Tokens(0)


class SharePolicy:
    """Grants of a share of what is left; returns nothing."""

    def __init__(self, share: float = GRANT_SHARE):
        self._share = share

    def grant(self, view: AllotmentView) -> Tokens:
        """Return a share of the rest when less than half of it is held."""
        size = int(self._share * view.unallotted)
        return Tokens(0 if view.free - view.shortfall >= size / 2 else size)

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return nothing."""
        return Tokens(0)


class HorizonPolicy:
    """Holds enough for an outage at the burn rate, bounded by a share of the rest.

    :param horizon_seconds: platform outage to ride out.
    :param share: share of the rest that all holders together may take at once.
    :param idle_seconds: tokens go back when nothing was reserved for this long.
    """

    def __init__(
        self,
        horizon_seconds: float,
        share: float = HORIZON_SHARE,
        idle_seconds: float = IDLE_SECONDS,
    ):
        self._horizon_seconds = horizon_seconds
        self._share = share
        self._idle_seconds = idle_seconds

    def _target(self, view: AllotmentView) -> int:
        burn = int(view.burn_per_second * self._horizon_seconds)
        pool = view.unallotted + view.free
        return min(burn, int(self._share * pool / max(1, view.holders)))

    def grant(self, view: AllotmentView) -> Tokens:
        """Fill up to the target when less than half of it is left."""
        target = self._target(view)
        left = view.free - view.shortfall
        return Tokens(0 if left >= target / 2 else max(0, target - max(0, left)))

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return all when idle, else what is above twice the target."""
        if view.idle_seconds >= self._idle_seconds:
            return view.free
        target = self._target(view)
        return Tokens(view.free - target if view.free > 2 * target else 0)


class StandbyPolicy(HorizonPolicy):
    """Holds a share of the rest ahead of any use, more where the burn rate asks.

    A router that has not served a customer yet can so ride out an outage too.

    :param standby_share: share of the rest that all holders together hold unused.
    :param routers: number of routers known; all may come to hold tokens.
    :param draining: whether this router takes no new requests: the last that are in
        flight end seconds later, and others lack what lies here meanwhile.
    """

    def __init__(
        self,
        horizon_seconds: float,
        share: float = HORIZON_SHARE,
        standby_share: float = STANDBY_SHARE,
        routers: Callable[[], int] = lambda: 1,
        draining: Callable[[], bool] = lambda: False,
    ):
        super().__init__(horizon_seconds, share, idle_seconds=math.inf)
        self._routers = routers
        self._draining = draining
        self._standby_share = standby_share

    def _target(self, view: AllotmentView) -> int:
        if self._draining():
            return 0
        holders = max(view.holders, self._routers())
        standby = int(self._standby_share * view.unbilled / holders)
        return max(standby, super()._target(view))

    def grant(self, view: AllotmentView) -> Tokens:
        """Fill up to the target when clearly less is left."""
        target = self._target(view)
        left = view.free - view.shortfall
        low = left < STANDBY_REFILL * target
        return Tokens(max(0, target - max(0, left)) if low else 0)

    def surplus(self, view: AllotmentView) -> Tokens:
        """Return what is clearly above the target."""
        target = self._target(view)
        high = view.free > STANDBY_SURPLUS * target
        return Tokens(view.free - target if high else 0)


def make_policy(name: str, horizon_seconds: float) -> AllotmentPolicy:
    """Return the policy named in the settings.

    :raises ValueError: no policy has that name.
    """
    if name == "horizon":
        return HorizonPolicy(horizon_seconds)
    if name == "share":
        return SharePolicy()
    if name == "fixed":
        return FixedPolicy()
    raise ValueError(f"unknown allotment policy: {name}")
