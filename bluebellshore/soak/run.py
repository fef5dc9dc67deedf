"""One run: faults, then calm in which all must serve again, then the checks."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable

import msgspec

from bluebellshore.soak.callers import Callers, Kind
from bluebellshore.soak.checks import Broken, Record, check
from bluebellshore.soak.faults import FaultRun
from bluebellshore.soak.schedule import Schedule
from bluebellshore.soak.stops import is_late
from bluebellshore.soak.system import SoakSystem

__all__ = ["Outcome", "run_schedule", "seek_smaller"]

CALLERS_PER_ROUTER = 4
#: Callers of all routers together, for which one process has time.
MAX_CALLERS = 48
#: Time after the last fault in which every router must serve again. Stands far above
#: what a router needs, since the machine is shared.
RECOVERY_SECONDS = 25.0
#: Calm time in which late effects of the store and of kept connections show.
CALM_SECONDS = 1.5
POLL_SECONDS = 0.3
MAX_LINES = 40
#: Lines of a process that tell of an internal error.
TRACE_LINES = 40


class Outcome(msgspec.Struct):
    """What a run showed.

    :param counts: of requests by how they ended.
    :param logs: last lines of the processes that broken promises concern.
    """

    schedule: Schedule
    broken: list[Broken]
    counts: dict[str, int]
    logs: dict[str, list[str]]

    @property
    def promises(self) -> list[str]:
        """Names of the broken promises."""
        return sorted({item.promise for item in self.broken})

    def report(self) -> str:
        """Return the outcome as text."""
        schedule = self.schedule
        lines = [
            f"seed {schedule.seed}: {schedule.seconds:.0f} s, "
            f"{schedule.routers} routers, {len(schedule.faults)} faults; "
            + ", ".join(f"{name} {n}" for name, n in sorted(self.counts.items()))
        ]
        for item in self.broken:
            lines.append(f"BROKEN {item.promise}: {item.request} {item.detail}")
        if self.broken:
            lines += ["schedule:", *(f"  {fault}" for fault in schedule.faults)]
            for name, output in self.logs.items():
                lines += [f"last lines of {name}:", *(f"  {line}" for line in output)]
        return "\n".join(lines)


async def run_schedule(schedule: Schedule) -> Outcome:
    """Run a schedule and check the promises."""
    async with SoakSystem.open(schedule) as system:
        faults = FaultRun(system, schedule)
        count = min(MAX_CALLERS, CALLERS_PER_ROUTER * schedule.routers)
        callers = Callers(system, schedule.seed, count)
        async with callers.running():
            await faults.run()
            silent = await _recover(system, callers)
            await asyncio.sleep(CALM_SECONDS)
        for router in system.routers:
            if not router.running:
                router.note_end()
        record = Record(
            sent=callers.sent,
            arrivals=[seen for server in system.servers for seen in server.arrivals],
            left_at={k: v for s in system.servers for k, v in s.left_at.items()},
            prepaid=system.prepaid,
            happened=faults.happened,
            ended=[text for router in system.routers for text in router.ended],
            ended_at=time.monotonic(),
            configured_at=system.configured_at,
            stops=[stop for router in system.routers for stop in router.stops],
            emptied=system.emptied,
            zone_by_server={
                life.runner_id: life.settings.zone
                for server in system.servers
                for life in server.lives
            },
            crashed_cold_at={
                life.runner_id: life.crashed_cold_at
                for server in system.servers
                for life in server.lives
                if life.crashed_cold_at is not None
            },
        )
        broken = check(record) + silent + _tracebacks(system)
        names = {item.router for item in broken}
        logs = {
            f"{router.name} life {life}": list(process.output)[-MAX_LINES:]
            for router in system.routers
            for life, process in enumerate(router.outputs, 1)
            if router.name in names
        }
    counts = Counter(_ending(sent) for sent in record.sent)
    counts["late in a stop"] = sum(is_late(sent, record.stops) for sent in record.sent)
    counts["SIGKILL after SIGTERM"] = sum(stop.killed for stop in record.stops)
    return Outcome(schedule, broken, dict(counts), logs)


async def _recover(system: SoakSystem, callers: Callers) -> list[Broken]:
    """Wait until every router serves each kind, by the newest configuration."""
    end = time.monotonic() + RECOVERY_SECONDS
    missing = {
        (router.name, kind): router
        for router in system.routers
        for kind in (Kind.SAFE, Kind.UNSAFE, Kind.STREAM, Kind.ADDED)
    }
    last: dict[tuple[str, Kind], str] = {}
    while missing and time.monotonic() < end:
        for key, router in list(missing.items()):
            sent = await callers.ask(router, key[1], system.number)
            last[key] = f"{sent.status} {sent.error}"
            if sent.whole and sent.status == 200:
                del missing[key]
        await asyncio.sleep(POLL_SECONDS)
    return [
        Broken("recovery", kind.value, f"at last {last.get((name, kind))}", name)
        for name, kind in missing
    ]


def _tracebacks(system: SoakSystem) -> list[Broken]:
    found = []
    for router in system.routers:
        for process in router.outputs:
            lines = list(process.output)
            for first, line in enumerate(lines):
                if "Traceback" in line or "traceback" in line:
                    detail = "\n".join(lines[first : first + TRACE_LINES])
                    name = router.name
                    found.append(Broken("no internal errors", name, detail, name))
    return found


def _ending(sent) -> str:
    if sent.left:
        return "left"
    if sent.error:
        return "broken off"
    return str(sent.status)


async def seek_smaller(
    outcome: Outcome, runs: int, note: Callable[[str], None] = lambda _: None
) -> Outcome:
    """Leave faults out as long as one of the promises still breaks.

    Halves are left out first, then quarters and so on.

    :param runs: most runs that are made.
    """
    wanted = set(outcome.promises)
    size = max(1, len(outcome.schedule.faults) // 2)
    while runs > 0 and outcome.schedule.faults:
        smaller = None
        for first in range(0, len(outcome.schedule.faults), size):
            if runs <= 0:
                break
            runs -= 1
            left_out = set(range(first, first + size))
            tried = await run_schedule(outcome.schedule.without(left_out))
            if wanted & set(tried.promises):
                smaller = tried
                note(f"{len(tried.schedule.faults)} faults still break it")
                break
        if smaller is not None:
            outcome = smaller
        elif size == 1:
            break
        size = max(1, min(size // 2, len(outcome.schedule.faults) // 2))
    return outcome
