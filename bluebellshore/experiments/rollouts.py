"""Rollouts of good and bad versions by several entry routers, in virtual time.

``python -m bluebellshore.experiments.rollouts SEEDS``
"""

import asyncio
import contextlib
import random
import statistics
import sys
from collections.abc import Callable, Iterator

import msgspec

from bluebellshore.entry.platform_state import PlatformState, VersionedOrder
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.experiments.rollout_cases import CASES, Case, RouteLoad, SlowPart
from bluebellshore.experiments.virtual_time import run_virtual
from bluebellshore.fleet import (
    BackendServer,
    Call,
    RolloutOrder,
    Route,
    RouteKind,
    WeightedService,
)
from bluebellshore.ids import (
    BackendServerId,
    IncarnationId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellshore.platform.names import rollout_status_key
from bluebellshore.platform.rollouts import decode_record, rollout_record_key
from bluebellshore.rollouts import MeasuredAttempt, RolloutReport, RolloutState
from bluebellshore.routing.results import AttemptResult
from bluebellshore.store import MemoryFaults, MemoryTable, Write

__all__ = [
    "Outcome",
    "Trial",
    "make_call",
    "make_servers",
    "run_trial",
]

SERVICE = ServiceName("s")
OLD, NEW = VersionName("v1"), VersionName("v2")
ORDER_VERSION = 7
SERVERS_EACH = 4
#: Spread of times on one route, as the deviation of their logarithm; of the number of
#: a stream's events; and of a stream's mean gap.
TIME_DEVIATION = 0.4
EVENTS_DEVIATION = 0.7
GAP_DEVIATION = 0.15
EXCHANGE_SECONDS = 0.2
EXCHANGE_DELAY_SECONDS = 0.02
STORE_DELAY_SECONDS = 0.02
#: Time before and after the order in which requests come.
LEAD_SECONDS, TAIL_SECONDS = 2.0, 4.0
#: Time from the order until the new version is seen; some routers see the order later.
START_SECONDS = 0.3
#: Requests at the new version in the last second, as a part of all, that are load.
LOAD_PART = 0.4
#: Bad answers after which a version may get nothing for longer than the bound.
SHOWN_BAD = 50


class Outcome(msgspec.Struct):
    """What a trial showed.

    :param state: what the record says at the end; None without one.
    :param decided_at: age of the order at the decision.
    :param exposed: requests at the new version from the order to its deadline.
    :param requests: those of the service in that time.
    :param last_after_shown: seconds from the 50th bad answer to the last request at
        the new version; 0 when fewer came.
    :param statuses: states that the operator's row went through.
    :param cut: requests that ran on the old version, or were sent there, when the
        operator's row said that it is not needed.
    """

    state: RolloutState | None = None
    decided_at: float = 0.0
    exposed: int = 0
    requests: int = 0
    last_after_shown: float = 0.0
    statuses: list[bytes] = msgspec.field(default_factory=list)
    cut: int = 0


class _Router:
    """One router: what it knows, and its exchange with others."""

    def __init__(self, trial: "Trial", name: str):
        self.name = IncarnationId(name)
        self.platform_state = PlatformState(2.0)
        self.platform_state.servers_by_id = trial.servers
        self.rollouts = RolloutController(
            self.platform_state,
            trial.table,
            self.name,
            trial.case.exposure,
            peers=lambda: [r.name for r in trial.routers if r is not self],
            store_lost=lambda: trial.table.faults.outage,
            store_seconds=lambda: 1000.0 + trial.now(),
            rng=random.Random(name),
        )
        self.tasks = [asyncio.create_task(self.rollouts.run())]
        self.tasks.append(asyncio.create_task(self._exchange(trial)))

    def end(self) -> None:
        """Die without a word."""
        for task in self.tasks:
            task.cancel()

    async def _exchange(self, trial: "Trial") -> None:
        while True:
            pause = EXCHANGE_SECONDS * trial.rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause)
            told = [_copy(report) for report in self.rollouts.reports()]
            await asyncio.sleep(EXCHANGE_DELAY_SECONDS)
            for other in trial.routers:
                if other is not self:
                    other.rollouts.merge(self.name, told)


def _copy(report: RolloutReport) -> RolloutReport:
    counts = {key: value.copy() for key, value in report.counts_by_key.items()}
    return msgspec.structs.replace(report, counts_by_key=counts)


class Trial:
    """One order at a fleet of routers.

    :param case: what happens.
    """

    def __init__(self, case: Case, seed: int, routers: int = 4):
        self.case = case
        self.rng = random.Random(seed)
        faults = MemoryFaults(
            delay_seconds=STORE_DELAY_SECONDS,
            lose_answers=case.lost_answers,
            rng=random.Random(seed + 1),
        )
        self.table = _Watched(faults)
        self.servers = {s.server_id: s for s in make_servers(OLD, "o")}
        self.routers: list[_Router] = []
        self.outcome = Outcome()
        self._router_count = routers
        self._seed = seed
        self._began_at = 0.0
        self._target_times: list[float] = []
        self._bad = 0
        self._shown_at: float | None = None
        self._running: dict[object, BackendServer] = {}
        self._serial = 0

    @staticmethod
    def now() -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time()

    async def run(self) -> Outcome:
        """Play the trial."""
        case = self.case
        self.routers = [
            _Router(self, f"r{n}.{self._seed}") for n in range(self._router_count)
        ]
        tasks = [asyncio.create_task(self._call())]
        await asyncio.sleep(LEAD_SECONDS)
        self._began_at = self.now()
        self.table.on_status = self._on_status
        for router in list(self.routers):
            tasks.append(asyncio.create_task(self._order(router)))
        tasks.append(asyncio.create_task(self._disturb()))
        tasks.append(asyncio.create_task(self._start_new()))
        await asyncio.sleep(case.seconds + TAIL_SECONDS)
        for router in self.routers:
            router.end()
        for task in tasks:
            task.cancel()
        row = self.table.rows_by_key.get(rollout_record_key(SERVICE))
        if row is not None:
            self.outcome.state = decode_record(row.value).state
        return self.outcome

    async def _order(self, router: _Router) -> None:
        await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        order = RolloutOrder(SERVICE, NEW, self.case.seconds)
        router.platform_state.orders_by_service[SERVICE] = VersionedOrder(
            order, ORDER_VERSION
        )

    async def _start_new(self) -> None:
        await asyncio.sleep(START_SECONDS)
        for server in make_servers(NEW, "n"):
            self.servers[server.server_id] = server
            if self.case.start_gap_seconds:
                await asyncio.sleep(self.case.start_gap_seconds)

    async def _disturb(self) -> None:
        case = self.case
        events: list[tuple[float, Callable[[], None]]] = []
        if case.outage is not None:
            events.append((case.outage[0], lambda: self._set_outage(on=True)))
            events.append((case.outage[1], lambda: self._set_outage(on=False)))
        if case.restart is not None:
            events.append((case.restart, self._restart))
        for part, event in sorted(events, key=lambda item: item[0]):
            await asyncio.sleep(self._began_at + part * case.seconds - self.now())
            event()

    def _set_outage(self, *, on: bool) -> None:
        self.table.faults.outage = on

    def _restart(self) -> None:
        old = self.routers.pop()
        old.end()
        new = _Router(self, f"{old.name}.anew")
        order = RolloutOrder(SERVICE, NEW, self.case.seconds)
        new.platform_state.orders_by_service[SERVICE] = VersionedOrder(
            order, ORDER_VERSION
        )
        self.routers.append(new)

    def _on_status(self, value: bytes) -> None:
        if value not in self.outcome.statuses:
            self.outcome.statuses.append(value)
            self.outcome.decided_at = self.now() - self._began_at
        if b"completed" in value:
            self.outcome.cut += sum(
                1 for server in self._running.values() if server.version == OLD
            )
            for server in [s for s in self.servers.values() if s.version == OLD]:
                del self.servers[server.server_id]

    async def _call(self) -> None:
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self.rng.expovariate(self.case.rate))
                group.create_task(self._serve(self.rng.choice(self.routers)))

    async def _serve(self, router: _Router) -> None:
        names = list(self.case.routes)
        weights = [self.case.routes[name].share for name in names]
        route = self.rng.choices(names, weights)[0]
        leave_seconds = self.case.routes[route].leave_seconds
        self._serial += 1
        call = make_call(
            f"{self._seed}-{self._serial}", route, self.now(), leave_seconds
        )
        servers = [s for s in self.servers.values() if s.service == SERVICE]
        found = router.rollouts.candidates(call, servers, self.now())
        if not found:
            return
        server = self.rng.choice(found)
        self._count(server)
        attempt = router.rollouts.begin_attempt(call, server, self.now())
        result = AttemptResult.ABANDONED
        with self._works(call, server):
            try:
                async with asyncio.timeout(leave_seconds):
                    result = await self._answer(server, route, attempt)
            except TimeoutError:
                result = AttemptResult.ABANDONED
            finally:
                router.rollouts.end_attempt(SERVICE, attempt, result, self.now())

    @contextlib.contextmanager
    def _works(self, call: Call, server: BackendServer) -> Iterator[None]:
        self._running[call.attempt_id] = server
        try:
            yield
        finally:
            del self._running[call.attempt_id]

    async def _answer(
        self, server: BackendServer, route: str, attempt: MeasuredAttempt
    ) -> AttemptResult:
        case, now = self.case, self.now()
        load = case.routes[route]
        seconds = load.seconds * self.rng.lognormvariate(0.0, TIME_DEVIATION)
        gaps = self._draw_gaps(load)
        age = now - self._began_at
        fails = 0.0
        if case.trouble and 0.3 < age / case.seconds < 0.5:
            seconds *= 3.0
            gaps = [3.0 * gap for gap in gaps]
            fails = 0.2
        is_bad = False
        if server.version == NEW:
            seconds *= case.pace
            gaps = [case.pace * gap for gap in gaps]
            if case.grey and server.server_id == "n0":
                fails = max(fails, case.grey)
            is_bad = self._is_bad(route, age)
            if is_bad:
                fails = max(fails, case.fails)
                if self.rng.random() < case.slow:
                    if case.slow_part is not SlowPart.GAPS:
                        seconds *= case.slow_factor
                    if case.slow_part is not SlowPart.FIRST_EVENT:
                        gaps = [case.slow_factor * gap for gap in gaps]
                    self._count_bad(seconds + sum(gaps))
        if self.rng.random() < fails:
            await asyncio.sleep(seconds * 0.5)
            if is_bad:
                self._count_bad(0.0)
            return AttemptResult.FAILED
        await asyncio.sleep(seconds)
        if load.events:
            attempt.record_events(self.now())
        for gap in gaps:
            await asyncio.sleep(gap)
            attempt.record_events(self.now())
        return AttemptResult.ANSWERED

    def _draw_gaps(self, load: RouteLoad) -> list[float]:
        """Return the times between a stream's events."""
        if not load.events:
            return []
        events = round(load.events * self.rng.lognormvariate(0.0, EVENTS_DEVIATION))
        gap = load.gap_seconds * self.rng.lognormvariate(0.0, GAP_DEVIATION)
        return [gap] * (events - 1)

    def _is_bad(self, route: str, age: float) -> bool:
        case = self.case
        if not case.is_bad or case.route not in ("", route):
            return False
        if case.under_load:
            recent = [t for t in self._target_times[-1000:] if t > self.now() - 1.0]
            return len(recent) > LOAD_PART * case.rate
        return age >= case.bad_from * case.seconds

    def _count(self, server: BackendServer) -> None:
        age = self.now() - self._began_at
        if not 0.0 <= age <= self.case.seconds or self._began_at == 0.0:
            return
        self.outcome.requests += 1
        if server.version == NEW:
            self.outcome.exposed += 1
            self._target_times.append(self.now())
            if self._shown_at is not None:
                after = self.now() - self._shown_at
                self.outcome.last_after_shown = max(0.0, after)

    def _count_bad(self, later: float) -> None:
        self._bad += 1
        if self._bad == SHOWN_BAD:
            self._shown_at = self.now() + later


class _Watched(MemoryTable):
    """Table that tells of the operator's row as it is written."""

    on_status: Callable[[bytes], None] = staticmethod(lambda _: None)

    def _apply(self, write: Write) -> int:
        version = super()._apply(write)
        if write.key == rollout_status_key(SERVICE):
            self.on_status(write.value)
        return version


def make_servers(version: VersionName, letter: str) -> Iterator[BackendServer]:
    for number in range(SERVERS_EACH):
        name = BackendServerId(f"{letter}{number}")
        yield BackendServer(name, SERVICE, "h", 1, version=version)


def make_call(attempt_id: str, route: str, now: float, seconds: float = 6.0) -> Call:
    found = Route(
        name=RouteName(route),
        host="h",
        prefix="/",
        kind=RouteKind.SAFE,
        services=(WeightedService(SERVICE),),
        timeout_seconds=seconds,
        objective_seconds=1.0,
    )
    return Call(
        attempt_id=attempt_id,
        method="GET",
        target="/",
        headers=[],
        body=b"",
        route=found,
        customer=None,
        priority=0,
        received_at=now,
        deadline=now + seconds,
    )


def run_trial(case: Case, seed: int, routers: int = 4) -> Outcome:
    """Play a case in virtual time."""

    async def main() -> Outcome:
        return await Trial(case, seed, routers).run()

    return run_virtual(main())


def _row(case: Case, outcomes: list[Outcome]) -> str:
    wanted = RolloutState.ROLLED_BACK if case.is_bad else RolloutState.COMPLETED
    right = sum(o.state is wanted for o in outcomes)
    parts = [o.exposed / max(1, o.requests) for o in outcomes]
    allowed = case.exposure
    kept = sum(
        o.exposed <= allowed.share * o.requests + allowed.extra_requests
        for o in outcomes
    )
    kept_text = f"{kept}/{len(outcomes)}" if case.is_bad else "-"
    cells = [
        case.name,
        f"{right}/{len(outcomes)}",
        kept_text,
        f"{statistics.median(o.decided_at for o in outcomes):.1f}",
        f"{max(o.decided_at for o in outcomes):.1f}",
        f"{statistics.median(parts):.3f}",
        f"{max(parts):.3f}",
        f"{max(o.last_after_shown for o in outcomes):.2f}",
        f"{sum(o.cut for o in outcomes) / len(outcomes):.1f}",
    ]
    return f"| {' | '.join(cells)} |"


def main() -> None:
    """Print a row for each case."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 10
    names = sys.argv[2:]
    print(
        "| case | right | exposure kept | decided s p50 | max | part p50 | max "
        "| last after 50th bad s, max | cut by completion, mean |"
    )
    print("| --- " * 9 + "|")
    for case in CASES:
        if not names or case.name in names:
            outcomes = [run_trial(case, seed) for seed in range(seeds)]
            print(_row(case, outcomes), flush=True)


if __name__ == "__main__":
    main()
