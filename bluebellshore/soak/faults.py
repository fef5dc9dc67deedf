"""Puts the faults of a schedule in force and takes them back."""

import asyncio
import contextlib
import time

import msgspec

from bluebellshore.soak.schedule import ZONES, Action, Fault, Schedule
from bluebellshore.soak.system import (
    HEARTBEAT_SECONDS,
    Emptied,
    Router,
    Server,
    SoakSystem,
)
from bluebellshore.standin import (
    DirectionChange,
    FaultProxy,
    PlatformState,
    ProxyFaultChange,
    Swallow,
)
from bluebellshore.standin.platform_faults import NoAnswer, PlatformFaults

__all__ = ["FaultRun", "Happened"]

MAX_DELAY_SECONDS = 0.6
MAX_STORE_DELAY_SECONDS = 1.5
LATE_CALLS = 5
#: Writes a second that a busy store takes at most.
MAX_BUSY_WRITES = 30
MAX_JUMP_SECONDS = 8.0
#: Age of the oldest copy from which the store comes back.
MAX_COPY_AGE_SECONDS = 5.0
#: Tables that are out while the store serves the others.
PARTS = (["op"], ["servers"], ["budget", "incarnation"], ["routers"])
#: Time for which answers of the store wait before a router is paused too.
LEAD_SECONDS = 0.2
#: Signals for one change of the settings, and the longest pause between them.
RELOADS = 4
RELOAD_PAUSE_SECONDS = 0.1
MAX_RETRY_CHANGE = 100.0
#: Time from a drain's acceptance, or more, to the end of a backend server; longer
#: than the checks allow for the last request to reach it.
DRAIN_SECONDS = 5.0
#: Time after which it ends though it still has work.
MOST_DRAIN_SECONDS = 6.0
#: Pause between the end of a backend server and the next one's begin.
REBIRTH_SECONDS = 1.0
STRONG = 0.5
#: Time for which backend servers are cold after the return of their zone.
COLD_SECONDS = 3.0


class Happened(msgspec.Struct):
    """A fault that was in force, in monotonic seconds.

    :param ended_at: infinite while it lasts.
    """

    fault: Fault
    began_at: float
    ended_at: float = float("inf")


class FaultRun:
    """Runs the faults of one schedule.

    :ivar happened: what was done, for the checks and the report.
    """

    def __init__(self, system: SoakSystem, schedule: Schedule):
        self._system = system
        self._schedule = schedule
        self._depth: dict[object, int] = {}
        self.happened: list[Happened] = []

    async def run(self) -> None:
        """Return when all faults have ended."""
        began_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in self._schedule.faults:
                await asyncio.sleep(began_at + fault.at - time.monotonic())
                group.create_task(self._happen(fault))
        self._lift_all()

    async def _happen(self, fault: Fault) -> None:
        happened = Happened(fault, time.monotonic())
        self.happened.append(happened)
        try:
            await self._apply(fault)
        finally:
            happened.ended_at = time.monotonic()

    async def _apply(self, fault: Fault) -> None:
        if fault.action in (Action.CONFIGURATION, Action.TOP_UP):
            self._operate(fault)
        elif fault.action is Action.ZONE_EVACUATED:
            await self._empty_zone(fault, ZONES[fault.target])
        elif fault.action.on_router:
            await self._at_router(fault, self._system.routers[fault.target])
        elif fault.action.on_server:
            await self._at_server(fault, self._system.servers[fault.target])
        else:
            await self._at_store(fault, self._system.store.state)

    def _operate(self, fault: Fault) -> None:
        if fault.action is Action.TOP_UP:
            self._system.top_up()
        else:
            self._system.configure()

    async def _at_router(self, fault: Fault, router: Router) -> None:
        match fault.action:
            case Action.ROUTER_STOP:
                await router.restart(fault.strength, gracefully=True)
            case Action.ROUTER_KILL:
                await router.restart(fault.strength, gracefully=False)
            case Action.ROUTER_PAUSE:
                if router.running:
                    await router.pause(fault.seconds)
            case Action.ROUTER_RELOAD:
                router.reload()
            case Action.ROUTER_EARLY_STOP:
                await router.restart(fault.strength, gracefully=True, early=True)
            case Action.ROUTER_SETTINGS:
                router.write_settings(1000.0 + MAX_RETRY_CHANGE * fault.strength)
                for _ in range(RELOADS):
                    router.reload()
                    await asyncio.sleep(RELOAD_PAUSE_SECONDS * fault.strength)
            case Action.ROUTER_PAUSE_IN_WRITES:
                # Grants of this time have their effect, and their answers wait.
                answers = msgspec.structs.replace(
                    fault, action=Action.STORE_ANSWERS_LATE
                )
                async with asyncio.TaskGroup() as group:
                    group.create_task(self._at_store(answers, self._system.store.state))
                    await asyncio.sleep(LEAD_SECONDS)
                    if router.running:
                        await router.pause(fault.seconds)
            case _:
                link = fault.action.value.partition("-")[0]
                proxies = {"store": router.store, "peer": router.peer}
                proxy = proxies.get(link, router.callers)
                if proxy is not None:
                    await self._at_link(fault, proxy)

    async def _at_link(self, fault: Fault, proxy: FaultProxy) -> None:
        kind = fault.action.value.rpartition("link-")[2]
        up = fault.strength < STRONG
        match kind:
            case "cut":
                proxy.apply(ProxyFaultChange(cut=True))
            case "refused":
                proxy.apply(ProxyFaultChange(refuse_new=True, cut=True))
                async with self._lasting(fault, (proxy, kind)) as last:
                    if last():
                        proxy.apply(ProxyFaultChange(refuse_new=False))
            case "delayed":
                delay = fault.strength * MAX_DELAY_SECONDS
                _both(proxy, DirectionChange(delay_seconds=delay))
                async with self._lasting(fault, (proxy, kind)) as last:
                    if last():
                        _both(proxy, DirectionChange(delay_seconds=0.0))
            case "one-way":
                _one(proxy, DirectionChange(blocked=True), up=up)
                async with self._lasting(fault, (proxy, kind, up)) as last:
                    if last():
                        _one(proxy, DirectionChange(blocked=False), up=up)
            case "silent":
                new = Swallow.ALL if fault.strength < STRONG else Swallow.EXISTING
                _both(proxy, DirectionChange(swallow=new))
                async with self._lasting(fault, (proxy, kind)) as last:
                    if last():
                        _both(proxy, DirectionChange(swallow=Swallow.NONE))

    async def _at_server(self, fault: Fault, server: Server) -> None:
        match fault.action:
            case Action.SERVER_SPOILS:
                server.share_spoiled = fault.strength
                async with self._lasting(fault, (server, "spoils")) as last:
                    if last():
                        server.share_spoiled = 0.0
            case Action.SERVER_CRASH:
                async with server.busy:
                    await server.runner.crash()
                    await asyncio.sleep(REBIRTH_SECONDS * fault.strength)
                    await server.start(same_id=fault.strength < STRONG)
            case Action.SERVER_DRAIN:
                async with server.busy:
                    await self._drain(server)
            case _:
                await self._at_link(fault, server.proxy)

    async def _drain(self, server: Server) -> None:
        runner = server.runner
        await runner.drain()
        server.left_at[runner.runner_id] = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS + HEARTBEAT_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(MOST_DRAIN_SECONDS):
                while runner.at_work:
                    await asyncio.sleep(HEARTBEAT_SECONDS)
        await runner.stop()
        await asyncio.sleep(REBIRTH_SECONDS)
        await server.start()

    async def _empty_zone(self, fault: Fault, zone: str) -> None:
        """Have the operator empty a zone, and take it back with cold servers.

        The operator's calls wait for the end of an outage of the store.
        """
        entries = self._system.entries
        await self._until_store_takes()
        entries.evacuate(zone)
        emptied = Emptied(zone, time.monotonic())
        self._system.emptied.append(emptied)
        for server in self._system.servers:
            if server.settings.zone == zone:
                server.runner.chill(fault.seconds + COLD_SECONDS)
        async with self._lasting(fault, zone) as last:
            if last():
                await self._until_store_takes()
                for other in self._system.emptied:
                    if other.zone == zone:
                        other.until = min(other.until, time.monotonic())
                entries.take_back(zone)

    async def _until_store_takes(self) -> None:
        while self._system.entries.out:
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _at_store(self, fault: Fault, state: PlatformState) -> None:
        low = fault.strength < STRONG
        match fault.action:
            case Action.STORE_OUT:
                how = NoAnswer.STATUS_503 if low else NoAnswer.RESET
                begin = {"outage": how, "tables": []}
                end = {"outage": False, "tables": []}
            case Action.STORE_SILENT:
                begin = {"outage": NoAnswer.SILENT, "tables": []}
                end = {"outage": False, "tables": []}
            case Action.STORE_SLOW:
                delay = fault.strength * MAX_STORE_DELAY_SECONDS
                begin, end = {"delay_seconds": delay}, {"delay_seconds": 0.0}
            case Action.STORE_LOSES_ANSWERS:
                begin = {"lose_answers": fault.strength}
                end = {"lose_answers": 0.0}
            case Action.STORE_LATE:
                begin = {"late_next": LATE_CALLS, "late_seconds": fault.seconds}
                end = {"late_next": 0}
            case Action.STORE_PART_OUT:
                tables = PARTS[int(fault.strength * len(PARTS)) % len(PARTS)]
                begin = {"outage": NoAnswer.STATUS_429, "tables": tables}
                end = {"outage": False, "tables": []}
            case Action.STORE_ANSWERS_LATE:
                delay = fault.strength * MAX_STORE_DELAY_SECONDS
                begin = {"answer_delay_seconds": delay}
                end = {"answer_delay_seconds": 0.0}
            case Action.STORE_BUSY:
                begin = {"part_writes_per_second": 1 + MAX_BUSY_WRITES * fault.strength}
                end = {"part_writes_per_second": 0.0}
            case Action.STORE_CLOCK:
                # Steady, but routers that are suspended all together see it jump on.
                ahead = state.faults.clock_ahead_seconds
                ahead += MAX_JUMP_SECONDS * fault.strength
                state.set_faults(PlatformFaults(clock_ahead_seconds=ahead))
                return
            case Action.STORE_RESTORED:
                out = PlatformFaults(outage=NoAnswer.STATUS_503, tables=[])
                state.set_faults(out)
                async with self._lasting(fault, "outage") as last:
                    copy_age = MAX_COPY_AGE_SECONDS * fault.strength
                    state.set_faults(PlatformFaults(restore_seconds=copy_age))
                    if last():
                        state.set_faults(PlatformFaults(outage=False, tables=[]))
                    self._system.entries.write_again()
                return
            case Action.STORE_FORGETS:
                state.set_faults(PlatformFaults(forget_history=True))
                return
        state.set_faults(PlatformFaults(**begin))
        async with self._lasting(fault, next(iter(begin))) as last:
            if last():
                state.set_faults(PlatformFaults(**end))

    @contextlib.asynccontextmanager
    async def _lasting(self, fault: Fault, key: object):
        """Keep a fault for its time; yields whether no other keeps it any longer."""
        self._depth[key] = self._depth.get(key, 0) + 1
        await asyncio.sleep(fault.seconds)
        self._depth[key] -= 1
        yield lambda: not self._depth[key]

    def _lift_all(self) -> None:
        """Leave nothing behind of faults of one place that overlapped."""
        system = self._system
        system.store.state.set_faults(
            PlatformFaults(
                outage=False,
                tables=[],
                delay_seconds=0.0,
                answer_delay_seconds=0.0,
                late_next=0,
                lose_answers=0.0,
                part_writes_per_second=0.0,
            )
        )
        for proxy in system.proxies:
            calm = DirectionChange(
                delay_seconds=0.0, blocked=False, swallow=Swallow.NONE
            )
            proxy.apply(ProxyFaultChange(up=calm, down=calm, refuse_new=False))


def _both(proxy: FaultProxy, change: DirectionChange) -> None:
    proxy.apply(ProxyFaultChange(up=change, down=change))


def _one(proxy: FaultProxy, change: DirectionChange, *, up: bool) -> None:
    proxy.apply(ProxyFaultChange(up=change) if up else ProxyFaultChange(down=change))
