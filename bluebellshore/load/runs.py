"""One run of a deployment: traffic, faults, audit and measures."""

import asyncio
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import asynccontextmanager

import aiohttp
import msgspec
import psutil

from bluebellshore.bundle.model import Bundle, Criteria, Move
from bluebellshore.cancellation import cancel
from bluebellshore.ids import BundleNumber, MoveId, RouteName, VersionName
from bluebellshore.load.audit import (
    Execution,
    RunRecord,
    audit,
    read_accounts,
)
from bluebellshore.load.deployments import (
    Deployment,
    RunningDeployment,
    first_bundle,
    start_deployment,
)
from bluebellshore.load.faults import Fault, FaultRecord, run_faults
from bluebellshore.load.fleet import Fleet, open_fleet, wait_until
from bluebellshore.load.measures import Measures, measure
from bluebellshore.load.process import FleetError, ManagedProcess
from bluebellshore.load.results import CallResult
from bluebellshore.load.traffic import Arrival, arrivals, run_traffic
from bluebellshore.moves.rows import MoveRow, decode_row, move_key

__all__ = [
    "BASELINE_ROUTER",
    "Memory",
    "MovePlan",
    "RunPlan",
    "RunReport",
    "execute",
    "start_move",
    "watch_memory",
]

NEW_VERSION = VersionName("model-v2")
MOVE = MoveId("move-1")
SETTLE_LIMIT_SECONDS = 60.0
SAMPLE_SECONDS = 0.25
#: Settings of the same code with plain policies.
BASELINE_ROUTER = {
    "balancer": "round-robin",
    "credit_bytes": 0,
    "allotment_policy": "fixed",
    "retry_share": 1.0,
}


class MovePlan(msgspec.Struct, frozen=True):
    """A move of a route under traffic.

    :param engines: engines of the new version.
    :param engine_settings: settings of these engines, their fault among them.
    :param deadline_seconds: time from the bundle to the move's deadline.
    """

    route: RouteName
    engines: int = 2
    engine_settings: dict[str, object] = {}
    steps: tuple[float, ...] = (0.05, 0.25, 0.5, 1.0)
    step_seconds: float = 3.0
    deadline_seconds: float = 45.0
    criteria: Criteria = Criteria()


class RunPlan(msgspec.Struct):
    """What to run.

    :param per_second: arrivals a second.
    :param router_settings: settings that differ from the defaults.
    :param through_proxies: links pass fault proxies with the network's delay.
    """

    name: str
    deployment: Deployment
    through_proxies: bool = False
    bundle: Bundle | None = None
    seconds: float = 20.0
    per_second: float = 20.0
    seed: int = 1
    routers: int = 3
    router_settings: dict[str, object] = {}
    engine_settings: dict[str, object] = {}
    planned: list[Arrival] | None = None
    faults: list[Fault] = []
    move: MovePlan | None = None


class Memory(msgspec.Struct):
    """Most memory that was seen, in bytes.

    :param held: answer bytes that one sidecar held.
    :param router_growth: growth of one router's resident memory in the run.
    :param sidecar_growth: likewise of one sidecar.
    """

    held: int = 0
    router_growth: int = 0
    sidecar_growth: int = 0


class RunReport(msgspec.Struct):
    """What came of a run."""

    name: str
    deployment: str
    seed: int
    seconds: float
    per_second: float
    router_settings: dict[str, object]
    measures: Measures
    memory: Memory
    moves: dict[str, MoveRow]
    faults: list[FaultRecord]
    requests_by_version: dict[str, int]
    platform_operations: dict[str, int]
    settled: bool


async def execute(plan: RunPlan) -> RunReport:
    """Run a plan from an empty fleet to the audit."""
    bundle = plan.bundle or first_bundle(plan.deployment)
    async with open_fleet() as fleet:
        running = await start_deployment(
            fleet,
            plan.deployment,
            bundle,
            routers=plan.routers,
            engine_settings=plan.engine_settings,
            router_settings=plan.router_settings,
            through_proxies=plan.through_proxies,
        )
        if plan.move is not None:
            bundle = await start_move(running, bundle, plan.move)
        return await run_plan(plan, running, bundle)


async def start_move(
    running: RunningDeployment, bundle: Bundle, plan: MovePlan
) -> Bundle:
    """Start engines of a new version and submit a move to it.

    :return: the bundle with the move.
    """
    for _ in range(plan.engines):
        await running.add_engine(NEW_VERSION, **plan.engine_settings)
    await running.wait_linked()
    old = bundle.routes[plan.route].version
    move = Move(
        route=plan.route,
        old=old,
        new=NEW_VERSION,
        deadline=time.time() + plan.deadline_seconds,
        steps=list(plan.steps),
        step_seconds=plan.step_seconds,
        criteria=plan.criteria,
    )
    changed = msgspec.structs.replace(
        bundle,
        number=BundleNumber(bundle.number + 1),
        parent=bundle.number,
        versions=bundle.versions | {NEW_VERSION: bundle.versions[old]},
        moves=bundle.moves | {MOVE: move},
    )
    await running.fleet.submit_bundle(changed)
    return changed


async def run_plan(
    plan: RunPlan, running: RunningDeployment, bundle: Bundle
) -> RunReport:
    """Run a plan on a deployment that serves."""
    fleet = running.fleet
    planned = plan.planned or list(
        arrivals(
            plan.deployment,
            per_second=plan.per_second,
            seconds=plan.seconds,
            seed=plan.seed,
        )
    )
    async with watch_memory(running) as memory:
        results, faults = await asyncio.gather(
            run_traffic(running.urls, planned, seed=plan.seed),
            run_faults(fleet, plan.faults),
        )
    settled = await _wait_settled(running)
    await _note_held(running, memory)
    record = await _record(running, bundle, results)
    return RunReport(
        name=plan.name,
        deployment=plan.deployment.name,
        seed=plan.seed,
        seconds=plan.seconds,
        per_second=plan.per_second,
        router_settings=plan.router_settings,
        measures=measure(record, audit(record)),
        memory=memory,
        moves=await _moves(fleet, bundle),
        faults=faults,
        requests_by_version=await _requests_by_version(running),
        platform_operations=await fleet.control(fleet.by_name["platform-1"], "stats"),
        settled=settled,
    )


@asynccontextmanager
async def watch_memory(running: RunningDeployment) -> AsyncIterator[Memory]:
    """Watch the growth of routers and sidecars while the block runs."""
    memory = Memory()
    first_by_pid: dict[int, int] = {}

    def growth(processes: Sequence[ManagedProcess]) -> int:
        return max((_growth(p, first_by_pid) for p in processes), default=0)

    async def sample() -> None:
        while True:
            memory.router_growth = max(memory.router_growth, growth(running.routers))
            memory.sidecar_growth = max(memory.sidecar_growth, growth(running.sidecars))
            await asyncio.sleep(SAMPLE_SECONDS)

    task = asyncio.create_task(sample())
    try:
        yield memory
    finally:
        await cancel(task)


def _growth(process: ManagedProcess, first_by_pid: dict[int, int]) -> int:
    if not process.running:
        return 0
    try:
        resident = psutil.Process(process.pid).memory_info().rss
    except psutil.NoSuchProcess:
        return 0
    return resident - first_by_pid.setdefault(process.pid, resident)


async def _wait_settled(running: RunningDeployment) -> bool:
    async def settled() -> bool:
        for router in running.routers:
            try:
                state = await running.fleet.state_of(router.name)
            except aiohttp.ClientError:
                continue
            accountant = state["accountant"]
            if accountant["unsettled"] or accountant["in_flight"]:
                return False
        return True

    try:
        await wait_until(settled, "all bills", limit_seconds=SETTLE_LIMIT_SECONDS)
    except FleetError:
        return False
    return True


async def _note_held(running: RunningDeployment, memory: Memory) -> None:
    for sidecar in running.sidecars:
        if running.fleet.by_name[sidecar.name].running:
            state = await running.fleet.state_of(sidecar.name)
            memory.held = max(memory.held, state["peak_held_bytes"])


async def _record(
    running: RunningDeployment, bundle: Bundle, results: list[CallResult]
) -> RunRecord:
    async with running.fleet.platform() as platform:
        budgets, bills = await read_accounts(platform, bundle.budgets)
        executions = await read_executions(running)
    return RunRecord(bundle, budgets, bills, results, executions)


async def read_executions(running: RunningDeployment) -> list[Execution]:
    """Ask all backend servers that still run what they have run."""
    counts: list[Mapping[str, int]] = []
    for engine in _current(running.fleet, running.engines):
        stats = await running.fleet.control(engine, "stats")
        counts.append(stats["executions_by_request"])
    for service in _current(running.fleet, running.services):
        executions = await running.fleet.control(service, "executions")
        counts.append(executions["by_request"])
    return [
        Execution(key)
        for by_request in counts
        for key, count in by_request.items()
        for _ in range(count)
    ]


async def _requests_by_version(running: RunningDeployment) -> dict[str, int]:
    requests: dict[str, int] = {}
    for engine in _current(running.fleet, running.engines):
        stats = await running.fleet.control(engine, "stats")
        version = engine.settings.version
        requests[version] = requests.get(version, 0) + stats["received"]
    return requests


def _current(fleet: Fleet, processes: Sequence[ManagedProcess]) -> list[ManagedProcess]:
    current = (fleet.by_name[process.name] for process in processes)
    return [process for process in current if process.running]


async def _moves(fleet: Fleet, bundle: Bundle) -> dict[str, MoveRow]:
    async with fleet.platform() as platform:
        rows = await platform.read([move_key(move) for move in bundle.moves])
    return {key: decode_row(row) for key, row in rows.items()}
