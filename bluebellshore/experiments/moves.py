"""Moves of good and bad versions: ``python -m bluebellshore.experiments.moves``.

Two routers judge simulated streams of requests to simple models of versions; one of
them controls the move. A verdict reaches the other router a second later.
"""

import argparse
import asyncio
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from bluebellshore.bundle.model import Bundle, Move, Route, RouteKind, Version
from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.experiments.report import Report, percentile
from bluebellshore.ids import (
    BundleNumber,
    Epoch,
    IncarnationId,
    InstanceId,
    MoveId,
    RequestKey,
    RouteName,
    VersionName,
)
from bluebellshore.moves import (
    FIRST_TOKEN_OVERDUE_SECONDS,
    EvidenceRecorder,
    MoveController,
    MoveState,
    MoveTracker,
    RouteVersion,
    refresh_rows,
)
from bluebellshore.store.memory import MemoryTable

__all__ = ["Case", "Trial", "run"]

DEADLINE_SECONDS = 600.0
REQUESTS_PER_SECOND = 20
SIDECARS_PER_VERSION = 3
TOKENS = 40
#: Requests of one version in flight above which a load-bound version slows down.
OVERLOAD_REQUESTS = 18
ROUTES = (RouteName("chat"), RouteName("brief"))
OLD, NEW = VersionName("v1"), VersionName("v2")


class Case(Enum):
    """What happens during a move."""

    GOOD = "good"
    GOOD_SLIGHTLY_SLOWER = "good, 1.2 times as slow"
    GOOD_FLEET_SLOW = "good, fleet slow for 40 s"
    GOOD_FLEET_FAILING = "good, fleet failing 30 % for 20 s"
    GOOD_INSTANCE_LOST = "good, loses an instance"
    GOOD_POISONED = "good, a request crashes two of its instances"
    GOOD_TABLE_OUT = "good, table out for 60 s"
    FAILS = "fails at once (all)"
    FAILS_PARTLY = "fails at once (30 %)"
    SLOW = "slow at once (3x)"
    SLOW_TWICE = "slow at once (2x)"
    FAILS_LATER = "fails later (50 %)"
    SLOW_LATER = "slow later (3x)"
    UNDER_LOAD = "slow only under load"
    ONE_ROUTE = "fails on one route (50 %)"
    TRUNCATED = "truncated answers (20 %)"
    CRASHES = "crashes, 1 request in 25"
    HANGS = "hangs at once (30 %)"

    @property
    def good(self) -> bool:
        """Whether the new version is good."""
        return self.name.startswith("GOOD")


@dataclass
class Answer:
    """What a version does with one request."""

    ok: bool
    first_token: float
    gap: float
    crashes: bool = False

    @property
    def bad(self) -> bool:
        """Whether a caller would notice."""
        return not self.ok or self.first_token > 0.45 or self.gap > 0.045


@dataclass
class Result:
    """What became of the move of the first route.

    :param before: requests the new version got before its badness showed.
    :param after: requests it got afterwards.
    :param after_share: `after` as a share of the traffic until the last of them.
    :param restored_seconds: from the first bad answer to the last new request.
    """

    state: MoveState
    decided_at: float
    before: int = 0
    after: int = 0
    after_share: float = 0.0
    restored_seconds: float = 0.0
    other_route_state: MoveState = MoveState.MOVING


@dataclass
class _Sidecar:
    recorder: EvidenceRecorder
    running: int = 0
    crashed_at: float = -1.0


@dataclass
class _Clock:
    now: float = 0.0


@dataclass
class Trial:
    """One move under one case and seed."""

    case: Case
    seed: int
    rate: int = REQUESTS_PER_SECOND
    deadline: float = DEADLINE_SECONDS
    sent_new: list[float] = field(default_factory=list)
    showed_at: float | None = None

    def __post_init__(self) -> None:
        self.rng = random.Random(f"{self.case.name}-{self.seed}")
        self.later = self.rng.uniform(60.0, 220.0)
        self.table = MemoryTable()
        self.clock = _Clock()
        self.trackers = [MoveTracker(InstanceId(f"r{i}")) for i in range(2)]
        for tracker in self.trackers:
            tracker.apply_bundle(_bundle(self.deadline))
        self.controller = MoveController(
            self.table, self.trackers[0], lambda: Epoch(1), lambda: self.clock.now
        )
        self.sidecars = {
            version: [self._sidecar(version) for _ in range(SIDECARS_PER_VERSION)]
            for version in (OLD, NEW)
        }
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()

    async def run(self, *, routes: int = 1) -> Result:
        """Run until the moves of the first `routes` are decided and have settled."""
        settled = 0
        while self.clock.now < self.deadline + 5 and settled < 15:
            self.clock.now += 1.0
            self.table.faults.outage = (
                self.case is Case.GOOD_TABLE_OUT and self._during(60.0)
            )
            self._send()
            self._let_answers_end()
            await self._judge()
            settled += all(self._status(i).decided_at > 0 for i in range(routes))
        return self._result()

    def _sidecar(self, version: VersionName) -> _Sidecar:
        return _Sidecar(
            EvidenceRecorder(RouteVersion(route, version) for route in ROUTES)
        )

    def _during(self, seconds: float) -> bool:
        return 0.0 <= self.clock.now - self.later < seconds

    def _status(self, route: int):
        return self.trackers[1].snapshot()[route]

    def _send(self) -> None:
        count = sum(self.rng.random() < 0.5 for _ in range(2 * self.rate))
        for _ in range(count):
            number = next(self.numbers)
            route = ROUTES[number % 2]
            tracker = self.rng.choice(self.trackers)
            version = tracker.version_for(route, RequestKey(f"c/{number}-{self.seed}"))
            sidecar = self.rng.choice(self.sidecars[version])
            answer = self._answer(route, version, sidecar)
            if version == NEW:
                self._note_new(route, answer)
            sidecar.running += 1
            self._start(RouteVersion(route, version), tracker, sidecar, answer)

    def _note_new(self, route: RouteName, answer: Answer) -> None:
        if route == ROUTES[0]:
            self.sent_new.append(self.clock.now)
            if answer.bad and self.showed_at is None and not self.case.good:
                self.showed_at = self.clock.now

    def _answer(
        self, route: RouteName, version: VersionName, sidecar: _Sidecar
    ) -> Answer:
        rng = self.rng
        answer = Answer(
            rng.random() > 0.003, rng.lognormvariate(-2.0, 0.35), rng.gauss(0.02, 0.003)
        )
        case = self.case
        if case is Case.GOOD_FLEET_SLOW and self._during(40.0):
            _slow(answer, 4.0)
        if case is Case.GOOD_FLEET_FAILING and self._during(20.0):
            answer.ok = answer.ok and rng.random() > 0.3
        if version == NEW:
            self._apply_fault(answer, route, sidecar)
        return answer

    def _apply_fault(self, answer: Answer, route: RouteName, sidecar: _Sidecar) -> None:
        rng, case = self.rng, self.case
        failing = 0.0
        late = self.clock.now >= self.later
        if case is Case.GOOD_SLIGHTLY_SLOWER:
            _slow(answer, 1.2)
        elif case is Case.FAILS:
            failing = 1.0
        elif case is Case.FAILS_PARTLY:
            failing = 0.3
        elif case is Case.SLOW or (case is Case.SLOW_LATER and late):
            _slow(answer, 3.0)
        elif case is Case.SLOW_TWICE:
            _slow(answer, 2.0)
        elif case is Case.FAILS_LATER and late:
            failing = 0.5
        elif case is Case.UNDER_LOAD:
            running = sum(s.running for s in self.sidecars[NEW])
            _slow(answer, 3.0 if running >= OVERLOAD_REQUESTS else 1.0)
        elif case is Case.ONE_ROUTE and route == ROUTES[0]:
            failing = 0.5
        elif case is Case.TRUNCATED:
            failing = 0.2
        elif case is Case.CRASHES:
            answer.crashes = rng.random() < 0.04
        elif case is Case.HANGS and rng.random() < 0.3:
            answer.first_token = 120.0
        answer.ok = answer.ok and rng.random() >= failing and not answer.crashes

    def _start(
        self,
        route_version: RouteVersion,
        tracker: MoveTracker,
        sidecar: _Sidecar,
        answer: Answer,
    ) -> None:
        started_at = self.clock.now
        recorder = sidecar.recorder

        def first_token() -> None:
            waited = min(answer.first_token, FIRST_TOKEN_OVERDUE_SECONDS)
            recorder.record_first_token(*route_version, waited)

        def end() -> None:
            sidecar.running -= 1
            if answer.crashes:
                sidecar.crashed_at = self.clock.now
            ok = answer.ok and sidecar.crashed_at < started_at
            recorder.record_request(*route_version, ok, None, [answer.gap])
            if answer.crashes:
                tracker.record_failure(*route_version, self.clock.now)

        waited = min(answer.first_token, FIRST_TOKEN_OVERDUE_SECONDS)
        self._at(started_at + waited, first_token)
        self._at(started_at + answer.first_token + TOKENS * answer.gap, end)

    def _at(self, time: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), call))

    def _let_answers_end(self) -> None:
        if self.case is Case.GOOD_INSTANCE_LOST and self._during(1.0):
            lost = self.sidecars[NEW][0]
            lost.crashed_at = self.clock.now
            lost.running = 0
        if self.case is Case.GOOD_POISONED:
            for number, delay in enumerate((0.0, 4.0)):
                if 0.0 <= self.clock.now - self.later - delay < 1.0:
                    self.sidecars[NEW][number].crashed_at = self.clock.now
                    self.trackers[0].record_failure(ROUTES[0], NEW, self.clock.now)
        while self.events and self.events[0][0] <= self.clock.now:
            heapq.heappop(self.events)[2]()

    async def _judge(self) -> None:
        now = self.clock.now
        for tracker in self.trackers:
            for version, sidecars in self.sidecars.items():
                for number, sidecar in enumerate(sidecars):
                    incarnation = IncarnationId(f"{version}-{number}")
                    for evidence in sidecar.recorder.to_wire():
                        tracker.record_evidence(incarnation, evidence)
            for verdict in tracker.judge(now, now):
                for other in self.trackers:
                    self._at(now + 1.0, lambda o=other, v=verdict: o.apply_verdict(v))
        try:
            await self.controller.run_once()
            await refresh_rows(self.table, self.trackers[1])
        except PlatformUnavailableError:
            return

    def _result(self) -> Result:
        status = self._status(0)
        result = Result(status.state, status.decided_at)
        result.other_route_state = self._status(1).state
        if self.showed_at is None:
            result.before = len(self.sent_new)
            return result
        after = [at for at in self.sent_new if at > self.showed_at]
        result.before = len(self.sent_new) - len(after)
        result.after = len(after)
        if after:
            result.restored_seconds = after[-1] - self.showed_at
            traffic = result.restored_seconds * self.rate / len(ROUTES)
            result.after_share = len(after) / traffic
        return result


def _slow(answer: Answer, factor: float) -> None:
    answer.first_token *= factor
    answer.gap *= factor


def _bundle(deadline: float) -> Bundle:
    routes = {name: Route(RouteKind.MODEL, OLD) for name in ROUTES}
    moves = {MoveId(name): Move(name, OLD, NEW, deadline) for name in ROUTES}
    versions = {name: Version(8) for name in (OLD, NEW)}
    return Bundle(BundleNumber(1), BundleNumber(0), {}, {}, versions, routes, moves)


def _row(case: Case, results: list[Result]) -> list[str | int | float]:
    done = [r for r in results if r.state is MoveState.DONE]
    back = [r for r in results if r.state is MoveState.ROLLED_BACK]
    other = sum(r.other_route_state is MoveState.ROLLED_BACK for r in results)
    right = len(done) if case.good else len(back)
    in_time = max((r.decided_at for r in results), default=0.0)
    row: list[str | int | float] = [f"{right}/{len(results)}", other, in_time]
    if case.good:
        return [*row, *["-"] * 6]
    after = [r.after for r in results]
    seconds = [r.restored_seconds for r in results]
    return [
        *row,
        percentile([r.before for r in results], 0.5),
        percentile(after, 0.5),
        percentile(after, 0.95),
        percentile([r.after_share for r in results], 0.95),
        percentile(seconds, 0.5),
        percentile(seconds, 0.95),
    ]


def run(seeds: Iterable[int], cases: Iterable[Case] = Case) -> Report:
    """Run each case with each seed."""
    report = Report(
        f"Moves, {REQUESTS_PER_SECOND} requests a second on two routes",
        [
            "case",
            "right",
            "other route taken back",
            "latest decision s",
            "bad requests before it showed p50",
            "after p50",
            "after p95",
            "share after p95",
            "seconds to none p50",
            "p95",
        ],
    )
    seeds = list(seeds)
    for case in cases:
        results = [asyncio.run(Trial(case, seed).run()) for seed in seeds]
        report.rows_by_name[case.value] = _row(case, results)
    return report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=200)
    parser.add_argument("--case", choices=[case.name for case in Case])
    options = parser.parse_args()
    chosen = [Case[options.case]] if options.case else list(Case)
    print(run(range(options.seeds), chosen))
