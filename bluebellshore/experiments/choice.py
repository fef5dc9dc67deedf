"""Choice of a sidecar: ``python -m bluebellshore.experiments.choice``.

Three routers in three zones choose among sidecars whose reported load lags. A model
engine answers sooner when it holds the prompt's prefix in its limited cache.
"""

import argparse
import heapq
import itertools
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from bluebellshore.experiments.report import Report, percentile
from bluebellshore.ids import IncarnationId, InstanceId, VersionName, ZoneName
from bluebellshore.routing import (
    Balancer,
    Candidate,
    PowerOfTwoBalancer,
    RoundRobinBalancer,
)

__all__ = ["Policy", "run"]

ZONES = [ZoneName(f"z{i}") for i in range(3)]
SIDECARS = 9
CONCURRENCY = 8
PREFIXES = 120
CACHED_PREFIXES = 20
HIT_SECONDS = 0.05
MISS_SECONDS = 0.35
DECODE_SECONDS = 2.0
CROSS_ZONE_SECONDS = 0.002
REPORT_SECONDS = 0.5
TRIAL_SECONDS = 120.0
WARM_UP_SECONDS = 20.0
LOADS = (0.5, 0.8, 0.95)


class Policy(Enum):
    """Ways to choose a sidecar."""

    ROUND_ROBIN = "round robin"
    POWER_OF_TWO = "power of two"
    AFFINITY = "power of two with affinity"


@dataclass
class _Request:
    at: float
    router: int
    prefix: int


@dataclass
class _Server:
    zone: ZoneName
    slowness: float
    running: int = 0
    queue: deque[_Request] = field(default_factory=deque)
    cache: OrderedDict[int, None] = field(default_factory=OrderedDict)

    @property
    def load(self) -> int:
        return self.running + len(self.queue)


class _Trial:
    def __init__(self, policy: Policy, load: float, seed: int):
        self.policy = policy
        self.rng = random.Random(f"{load}-{seed}")
        self.servers = [
            _Server(ZONES[i % 3], 2.0 if i == 0 else 1.0) for i in range(SIDECARS)
        ]
        self.balancers = [self._balancer(zone, seed) for zone in ZONES]
        self.outstanding = [[0] * SIDECARS for _ in ZONES]
        self.reported = [0] * SIDECARS
        slots = CONCURRENCY * sum(1 / server.slowness for server in self.servers)
        self.rate = load * slots / (DECODE_SECONDS + MISS_SECONDS)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.first_tokens: list[float] = []
        self.hits = self.local = self.count = 0
        self.spread: list[float] = []

    def run(self) -> None:
        self._arrive()
        self._report()
        while self.events and self.now < TRIAL_SECONDS:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def _balancer(self, zone: ZoneName, seed: int) -> Balancer:
        if self.policy is Policy.ROUND_ROBIN:
            return RoundRobinBalancer()
        return PowerOfTwoBalancer(random.Random(seed), zone)

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), call))

    def _report(self) -> None:
        self.reported = [server.load for server in self.servers]
        loads = [server.load * server.slowness for server in self.servers]
        if self.now > WARM_UP_SECONDS and sum(loads):
            self.spread.append(max(loads) * SIDECARS / sum(loads))
        self._after(REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        prefix = min(int(self.rng.paretovariate(0.7)), PREFIXES)
        self._dispatch(_Request(self.now, self.rng.randrange(3), prefix))
        self._after(self.rng.expovariate(self.rate), self._arrive)

    def _dispatch(self, request: _Request) -> None:
        own = self.outstanding[request.router]
        candidates = [
            Candidate(
                IncarnationId(str(i)),
                InstanceId(str(i)),
                server.zone,
                VersionName("v1"),
                CONCURRENCY,
                own[i],
                self.reported[i],
            )
            for i, server in enumerate(self.servers)
        ]
        known = self.policy is Policy.AFFINITY
        prefix = str(request.prefix).encode() if known else b""
        chosen = self.balancers[request.router].choose(
            candidates, key=None, prefix=prefix, exclude=frozenset()
        )
        number = int(chosen.sidecar)
        own[number] += 1
        self.servers[number].queue.append(request)
        self._serve(number)

    def _serve(self, number: int) -> None:
        server = self.servers[number]
        while server.queue and server.running < CONCURRENCY:
            request = server.queue.popleft()
            server.running += 1
            hit = request.prefix in server.cache
            server.cache[request.prefix] = None
            server.cache.move_to_end(request.prefix)
            if len(server.cache) > CACHED_PREFIXES:
                server.cache.popitem(last=False)
            prefill = (HIT_SECONDS if hit else MISS_SECONDS) * server.slowness
            self._note(request, server, prefill, hit)
            decode = self.rng.uniform(0.2, 1.8) * DECODE_SECONDS * server.slowness
            self._after(prefill + decode, lambda r=request: self._end(number, r))

    def _note(
        self, request: _Request, server: _Server, prefill: float, hit: bool
    ) -> None:
        if request.at < WARM_UP_SECONDS:
            return
        near = server.zone == ZONES[request.router]
        travel = 0.0 if near else CROSS_ZONE_SECONDS
        self.first_tokens.append(self.now - request.at + prefill + travel)
        self.count += 1
        self.hits += hit
        self.local += near

    def _end(self, number: int, request: _Request) -> None:
        self.servers[number].running -= 1
        self.outstanding[request.router][number] -= 1
        self._serve(number)


def run(seeds: Iterable[int]) -> Report:
    """Compare the policies; one of the nine sidecars is half as fast."""
    report = Report(
        "Choice of a sidecar",
        [
            "policy, load",
            "first token p50 s",
            "p95 s",
            "p99 s",
            "cache hits",
            "own zone",
            "heaviest / mean load",
        ],
    )
    seeds = list(seeds)
    for load, policy in itertools.product(LOADS, Policy):
        trials = [_Trial(policy, load, seed) for seed in seeds]
        for trial in trials:
            trial.run()
        times = [t for trial in trials for t in trial.first_tokens]
        spread = [s for trial in trials for s in trial.spread]
        count = sum(trial.count for trial in trials)
        report.rows_by_name[f"{policy.value}, {load:.0%}"] = [
            percentile(times, 0.5),
            percentile(times, 0.95),
            percentile(times, 0.99),
            sum(trial.hits for trial in trials) / count,
            sum(trial.local for trial in trials) / count,
            sum(spread) / len(spread),
        ]
    return report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    print(run(range(parser.parse_args().seeds)))
