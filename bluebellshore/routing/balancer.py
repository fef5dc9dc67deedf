"""Load balancing policies that choose the sidecar of a request."""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from random import Random
from typing import Protocol

import msgspec

from bluebellshore.ids import (
    IncarnationId,
    InstanceId,
    RequestKey,
    VersionName,
    ZoneName,
)
from bluebellshore.routing.affinity import rendezvous_order, rendezvous_winner

__all__ = [
    "Balancer",
    "Candidate",
    "PowerOfTwoBalancer",
    "RoundRobinBalancer",
    "load_of",
]

#: Load per unit of concurrency above which a request with a key isn't sent to the
#: sidecar that rendezvous hashing assigns to the key.
MAX_KEYED_LOAD = 2.0
#: Sidecars to which the requests with one prefix are sent.
SIDECARS_PER_PREFIX = 2
#: Maximum load of a sidecar that is chosen for its prefix, as a multiple of the mean.
MAX_AFFINITY_LOAD_FACTOR = 1.25
#: Load per unit of concurrency up to which a sidecar is chosen for its prefix whatever
#: the mean, and above which it never is, as waiting costs more than the cache saves.
MIN_AFFINITY_LOAD_BOUND = 0.5
MAX_AFFINITY_LOAD = 1.0
#: Difference in load per unit of concurrency above which a less loaded sidecar in
#: another availability zone is chosen.
ZONE_LOAD_MARGIN = 0.25


class Candidate(msgspec.Struct):
    """A sidecar that serves the request's route and version.

    :param concurrency: requests that its backend server may run at once.
    :param outstanding: requests that this router has in flight there.
    :param reported_load: running and queued requests in the sidecar's last load report.
    """

    sidecar: IncarnationId
    instance_id: InstanceId
    zone: ZoneName
    version: VersionName
    concurrency: int
    outstanding: int = 0
    reported_load: int = 0
    draining: bool = False


def load_of(candidate: Candidate) -> float:
    """Return the estimated load per unit of concurrency."""
    requests = candidate.outstanding + candidate.reported_load
    return requests / max(candidate.concurrency, 1)


class Balancer(Protocol):
    """A load balancing policy."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        key: RequestKey | None,
        prefix: bytes,
        exclude: AbstractSet[IncarnationId],
    ) -> Candidate | None:
        """Choose a sidecar that is neither draining nor excluded.

        :param key: the caller's request key; None if the router made it.
        :param prefix: start of the prompt; empty for plain services.
        :param exclude: sidecars that were tried already.
        :return: None if no sidecar is left.
        """


def _usable(
    candidates: Sequence[Candidate], exclude: AbstractSet[IncarnationId]
) -> list[Candidate]:
    return [c for c in candidates if not c.draining and c.sidecar not in exclude]


class PowerOfTwoBalancer:
    """Chooses the less loaded of two random sidecars (power of two choices).

    Requests with the same key or prompt prefix are sent to the same sidecars while
    these aren't overloaded.

    :param zone: availability zone of this router. Sidecars in it are preferred unless
        others have clearly less load.
    """

    def __init__(self, random: Random, zone: ZoneName):
        self._random = random
        self._zone = zone

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        key: RequestKey | None,
        prefix: bytes,
        exclude: AbstractSet[IncarnationId],
    ) -> Candidate | None:
        """Choose a sidecar; see :class:`Balancer`."""
        usable = _usable(candidates, exclude)
        if len(usable) < 2:
            return usable[0] if usable else None
        if key is not None:
            winner = rendezvous_winner(key.encode(), usable)
            if load_of(winner) <= MAX_KEYED_LOAD:
                return winner
        if prefix:
            assigned = self._with_prefix_affinity(prefix, usable)
            if assigned is not None:
                return assigned
        return self._less_loaded_by_zone(usable)

    def _with_prefix_affinity(
        self, prefix: bytes, usable: list[Candidate]
    ) -> Candidate | None:
        """Return the sidecar assigned to a prefix, None if it has too much load."""
        mean = sum(map(load_of, usable)) / len(usable)
        bound = max(MIN_AFFINITY_LOAD_BOUND, mean * MAX_AFFINITY_LOAD_FACTOR)
        assigned = rendezvous_order(prefix, usable)[:SIDECARS_PER_PREFIX]
        least_loaded = min(assigned, key=load_of)
        return (
            least_loaded
            if load_of(least_loaded) <= min(bound, MAX_AFFINITY_LOAD)
            else None
        )

    def _less_loaded_by_zone(self, usable: list[Candidate]) -> Candidate:
        in_zone = [c for c in usable if c.zone == self._zone]
        elsewhere = [c for c in usable if c.zone != self._zone]
        if not in_zone or not elsewhere:
            return self._less_loaded(usable)
        local = self._less_loaded(in_zone)
        remote = self._less_loaded(elsewhere)
        if load_of(local) <= load_of(remote) + ZONE_LOAD_MARGIN:
            return local
        return remote

    def _less_loaded(self, usable: list[Candidate]) -> Candidate:
        if len(usable) == 1:
            return usable[0]
        first, second = self._random.sample(usable, 2)
        return first if load_of(first) <= load_of(second) else second


class RoundRobinBalancer:
    """Chooses the sidecars in turn, regardless of their load.

    It is the baseline with which other policies are compared.
    """

    def __init__(self) -> None:
        self._choices = 0

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        key: RequestKey | None,
        prefix: bytes,
        exclude: AbstractSet[IncarnationId],
    ) -> Candidate | None:
        """Choose the next sidecar in turn, ignoring `key` and `prefix`."""
        usable = _usable(candidates, exclude)
        if not usable:
            return None
        self._choices += 1
        return usable[self._choices % len(usable)]
