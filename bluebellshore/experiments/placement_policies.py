"""Other ways to place, to hold the product's against."""

import random
from collections import OrderedDict
from collections.abc import Callable, Mapping, Sequence

import xxhash

from bluebellshore.emulator.router import Policy
from bluebellshore.fleet import Call
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.placement import PlacementOption, PlacementRefusal, Placer

__all__ = ["POLICIES"]

#: Load that a home may have, as a multiple of the mean.
BOUND = 1.25


class BoundedLoadPlacer(Placer):
    """Rendezvous by the shared parts; a home above the bound passes requests on."""

    def choose_engine(
        self,
        call: Call,
        cost_shares: Mapping[BackendServerId, float],
        options: Sequence[PlacementOption],
    ) -> PlacementOption:
        """Take the first home below the bound."""
        shared = call.prompt[:-1] or call.prompt
        seed = shared[-1].part_id
        ranked = sorted(
            options,
            key=lambda o: xxhash.xxh32_intdigest(
                f"{seed}/{o.server.server_id}".encode()
            ),
        )
        mean = sum(option.load.running + 1 for option in options) / len(options)
        for option in ranked:
            if option.load.running + 1 <= BOUND * mean:
                return option
        return ranked[0]


class PowerOfTwoPlacer(Placer):
    """The sooner of two at random, by the expected first event."""

    def __init__(self, loads: LoadTracker, zone: ZoneName):
        super().__init__(loads, zone)
        self._random = random.Random(zone)

    def choose_engine(
        self,
        call: Call,
        cost_shares: Mapping[BackendServerId, float],
        options: Sequence[PlacementOption],
    ) -> PlacementOption:
        """Compare two options."""
        two = self._random.sample(list(options), min(2, len(options)))
        return min(two, key=lambda option: option.expected_seconds)


class LeastRunningPlacer(Placer):
    """The engine with the fewest requests, whatever it has cached."""

    def choose_engine(
        self,
        call: Call,
        cost_shares: Mapping[BackendServerId, float],
        options: Sequence[PlacementOption],
    ) -> PlacementOption:
        """Take the least loaded."""
        return self.choose_plain_server(call, options)


class ArrivalQueue:
    """First come first served, without a bound or a look at deadlines."""

    def __init__(self) -> None:
        self._calls: OrderedDict[str, Call] = OrderedDict()

    def __len__(self) -> int:
        return len(self._calls)

    def offer(self, call: Call, now: float) -> None:
        """Take every call."""
        self._calls[call.attempt_id] = call

    def take_next(self, now: float, fits: Callable[[Call], bool]) -> Call | None:
        """Take the oldest, if it fits."""
        call = next(iter(self._calls.values()), None)
        if call is None or not fits(call):
            return None
        del self._calls[call.attempt_id]
        return call

    def take_expired(self, now: float) -> list[tuple[Call, PlacementRefusal]]:
        """Give up none before its caller does."""
        return []

    def withdraw(self, call: Call) -> bool:
        """Remove a call whose caller left."""
        return self._calls.pop(call.attempt_id, None) is not None

    def record_start(self, call: Call, now: float) -> None:
        """Ignore."""


POLICIES = (
    Policy("full cost"),
    Policy("bounded load", placer=BoundedLoadPlacer),
    Policy("power of two", placer=PowerOfTwoPlacer),
    Policy("least running", placer=LeastRunningPlacer),
    Policy("no suspicion", suspicion=False),
    Policy("first come first served", waiting=ArrivalQueue, priorities=False),
)
