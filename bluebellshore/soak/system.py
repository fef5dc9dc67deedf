"""Entry processes between a stand-in store, backend servers and fault proxies."""

import asyncio
import collections
import contextlib
import dataclasses
import os
import pathlib
import random
import sys
import tempfile
import time
from collections.abc import AsyncIterator

from bluebellshore.cancellation import cancel
from bluebellshore.load.process import PACKAGE_PARENT, ManagedProcess
from bluebellshore.platform.settings import PEER_BIND_VARIABLE, SETTINGS_VARIABLE
from bluebellshore.settings import PlatformSettings, ProxySettings
from bluebellshore.soak.schedule import RUNNERS, Schedule
from bluebellshore.soak.servers import (
    COLD_REQUESTS_PER_SECOND,
    LONG_SECONDS,
    LONG_SERVICE,
    SERVICES,
    Server,
)
from bluebellshore.standin import FaultProxy, PlatformStandin
from bluebellshore.standin.operator import (
    StandinCustomer,
    StandinRoute,
    configuration_of,
    settings_file,
)
from bluebellshore.standin.platform_faults import PlatformFaults
from bluebellshore.standin.ports import reserve_address
from bluebellshore.standin.runner_entries import RunnerEntries

__all__ = [
    "CUSTOMERS",
    "Emptied",
    "HOST",
    "LONG_SERVICE",
    "PAID",
    "SERVICES",
    "STOP_SECONDS",
    "Router",
    "Server",
    "SoakSystem",
    "Stop",
]

HOST = "api.example"
PAID = "paid"
#: Customers and their keys; the first one has no limit.
CUSTOMERS = {"acme": "key-of-acme", PAID: "key-of-paid"}
#: Prepaid tokens for each second and router: what callers want of them runs out.
PREPAID_A_SECOND = 150
TOP_UP = 2_000
HEARTBEAT_SECONDS = 0.3
#: From SIGTERM to SIGKILL, as short as the router's own leaving allows with work.
STOP_SECONDS = 8.0
#: Settings of the route to them.
LONG_TIMEOUT_SECONDS, LONG_OBJECTIVE_SECONDS = 20.0, 3.0
#: Routers whose exchanges go through a proxy; those of many routers would take most of
#: a processor there.
PEER_PROXIES = 6
#: What the store's clock may show at the begin, in seconds.
CLOCKS_SECONDS = (0.0, 1e6, 1.7e9)
POLL_SECONDS = 0.005
#: Routers that a settings file names, as on the platform.
SEEDS = 3
#: Lines of a process that are kept for the report.
OUTPUT_LINES = 20_000


@dataclasses.dataclass
class _NoFlags:
    """A process that takes its settings from a file only."""


@dataclasses.dataclass
class Stop:
    """A SIGTERM, in monotonic seconds.

    :param life: of the router's process.
    :param killed: whether the process had to be ended by SIGKILL.
    """

    router: str
    life: int
    at: float
    killed: bool = False


@dataclasses.dataclass
class Emptied:
    """A time for which the operator had asked that a zone gets nothing.

    :param until: when the request was taken back; infinite while it lasts.
    """

    zone: str
    at: float
    until: float = float("inf")


class Router:
    """An entry instance: its links and the process that runs at present.

    :ivar lives: starts so far.
    :ivar ended: ends that nobody asked for, as text.
    :ivar stops: each first SIGTERM to a process.
    """

    def __init__(self, number: int, folder: pathlib.Path):
        self.name = f"entry-{number}"
        self.path = folder / f"{self.name}.json"
        self.listen, self.ready, self.bind = (reserve_address() for _ in range(3))
        self.callers = FaultProxy(ProxySettings(upstream=self.listen))
        self.store: FaultProxy | None = None
        self.peer: FaultProxy | None = None
        if number < PEER_PROXIES:
            self.peer = FaultProxy(ProxySettings(upstream=self.bind))
        self.peers: list[str] = []
        self.process: ManagedProcess | None = None
        self.lives = 0
        self.ended: list[str] = []
        self.stops: list[Stop] = []
        self.outputs: list[ManagedProcess] = []
        self._lock = asyncio.Lock()
        self._closing = False

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.running

    @property
    def peer_address(self) -> str:
        """Where other routers reach this one."""
        return self.peer.address if self.peer else self.bind

    @property
    def proxies(self) -> list[FaultProxy]:
        """Its links that can be disturbed."""
        return [p for p in (self.callers, self.store, self.peer) if p is not None]

    def write_settings(self, retry_extra: float = 1000.0) -> None:
        """Write the settings file, whole at any moment."""
        written = self.path.with_suffix(".new")
        written.write_bytes(
            settings_file(
                name=self.name,
                zone="zone-a",
                listen=self.listen,
                ready_listen=self.ready,
                peer_listen=self.peer_address,
                peers=self.peers,
                store=self.store.address,
                heartbeat_seconds=HEARTBEAT_SECONDS,
                stop_seconds=STOP_SECONDS,
                retry_extra=retry_extra,
            )
        )
        written.replace(self.path)

    async def start(self) -> None:
        """Start a process."""
        process = self._next_life()
        await process.start()

    def _next_life(self) -> ManagedProcess:
        paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
        program = (
            "/usr/bin/env",
            f"{SETTINGS_VARIABLE}={self.path}",
            f"{PEER_BIND_VARIABLE}={self.bind}",
            f"PYTHONPATH={os.pathsep.join(filter(None, paths))}",
            sys.executable,
        )
        process = ManagedProcess(
            self.name, ("-m", "bluebellshore.entry"), _NoFlags(), program=program
        )
        # Lines on one request may lie far apart.
        process.output = collections.deque(maxlen=OUTPUT_LINES)
        self.lives += 1
        self.process = process
        self.outputs.append(process)
        return process

    async def restart(
        self, seconds: float, *, gracefully: bool, early: bool = False
    ) -> None:
        """End the process, wait and start another one.

        :param early: stop one more between them as soon as its port is open.
        """
        async with self._lock:
            if self._closing or not self._alive():
                return
            if gracefully:
                await self._stop(again=seconds)
            else:
                await self.process.kill()
            await asyncio.sleep(seconds)
            if early and not self._closing:
                await self._start_and_stop()
            if not self._closing:
                await self.start()

    async def _start_and_stop(self) -> None:
        process = self._next_life()
        starting = asyncio.create_task(process.start())
        while not starting.done() and not await self._accepts():
            await asyncio.sleep(POLL_SECONDS)
        await self._stop(again=0.0)
        await asyncio.gather(starting, return_exceptions=True)

    async def _accepts(self) -> bool:
        host, _, port = self.listen.partition(":")
        try:
            _, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            return False
        writer.close()
        return True

    async def pause(self, seconds: float) -> None:
        """Freeze the process that runs now, for a while."""
        process = self.process
        process.freeze()
        try:
            await asyncio.sleep(seconds)
        finally:
            process.wake()

    def reload(self) -> None:
        """Have the process read its settings again.

        One that has not said that it serves is left alone: before the program's first
        line SIGHUP ends any process.
        """
        if self.running and self.process.address:
            self.process.reload()

    async def close(self) -> None:
        """End everything."""
        self._closing = True
        if self.running:
            self.process.wake()
            await self.process.kill()

    def _alive(self) -> bool:
        """Whether the process runs; one that ended by itself is noted."""
        if self.running:
            return True
        self.note_end()
        return False

    def note_end(self) -> None:
        """Note an end that nobody asked for."""
        if self.process is not None and not self.running:
            self.ended.append(
                f"{self.name} life {self.lives}: exit code {self.process.exit_code}"
            )

    async def _stop(self, again: float) -> None:
        """Stop the process, with further signals after `again` seconds."""
        process = self.process
        stop = Stop(self.name, self.lives, time.monotonic())
        self.stops.append(stop)
        try:
            async with asyncio.timeout(STOP_SECONDS):
                ending = asyncio.create_task(process.terminate())
                await asyncio.sleep(again)
                process.reload()
                await process.terminate()
                code = await ending
        except TimeoutError:
            stop.killed = True
            process.wake()
            await process.kill()
            return
        if code:
            self.ended.append(f"{self.name} life {self.lives}: SIGTERM gave {code}")


class SoakSystem:
    """All parts of a run."""

    def __init__(self, schedule: Schedule, folder: pathlib.Path):
        seed = schedule.seed
        self.store = PlatformStandin(PlatformSettings(seed=seed))
        ahead = random.Random(seed).choice(CLOCKS_SECONDS)
        self.store.state.set_faults(PlatformFaults(clock_ahead_seconds=ahead))
        self.entries = RunnerEntries(self.store.state, HEARTBEAT_SECONDS)
        self.routers = [Router(number, folder) for number in range(schedule.routers)]
        self.servers = [
            Server(number, self.entries, random.Random(f"{seed}.{number}"))
            for number in range(RUNNERS + len(LONG_SECONDS))
        ]
        self.number = 0
        #: When the store took each configuration, by number.
        self.configured_at: dict[int, float] = {}
        #: Times in which zones were empty by the store, in monotonic seconds.
        self.emptied: list[Emptied] = []
        self.prepaid = int(PREPAID_A_SECOND * schedule.seconds * schedule.routers)

    @property
    def proxies(self) -> list[FaultProxy]:
        """All links that can be disturbed."""
        found = [proxy for router in self.routers for proxy in router.proxies]
        return found + [s.proxy for s in self.servers if s.proxy is not None]

    def configure(self) -> None:
        """Have the operator write the next configuration: it adds a route."""
        self.number += 1
        routes = [
            StandinRoute("/safe/", "safe", "plain"),
            StandinRoute("/unsafe/", "unsafe", "plain"),
            StandinRoute("/stream/", "streaming", "streams"),
            StandinRoute("/resumed/", "streaming", "streams", resumable=True),
            StandinRoute(
                "/long/",
                "streaming",
                LONG_SERVICE,
                timeout_seconds=LONG_TIMEOUT_SECONDS,
                objective_seconds=LONG_OBJECTIVE_SECONDS,
            ),
        ]
        routes += [
            StandinRoute(f"/added-{number}/", "safe", "plain")
            for number in range(1, self.number + 1)
        ]
        customers = [
            StandinCustomer(name, (key,), self.prepaid if name == PAID else None)
            for name, key in CUSTOMERS.items()
        ]
        self.entries.configure(
            configuration_of(
                self.number,
                routes,
                customers,
                cold_requests_per_second=COLD_REQUESTS_PER_SECOND,
            )
        )
        self.configured_at[self.number] = time.monotonic()

    def top_up(self) -> None:
        """Have the operator raise the prepaid total."""
        self.prepaid += TOP_UP
        self.configure()

    @classmethod
    @contextlib.asynccontextmanager
    async def open(cls, schedule: Schedule) -> AsyncIterator["SoakSystem"]:
        """Run all parts until the block ends."""
        with tempfile.TemporaryDirectory(prefix="bluebellshore-soak-") as folder:
            system = cls(schedule, pathlib.Path(folder))
            lapses = asyncio.create_task(system.entries.run())
            try:
                await system._start()
                yield system
            finally:
                lapses.cancel()
                await system._stop()
                await cancel(lapses)

    async def _start(self) -> None:
        await self.store.start()
        self.configure()
        for server in self.servers:
            await server.start()
        for router in self.routers:
            router.store = FaultProxy(ProxySettings(upstream=self.store.address))
            await asyncio.gather(*(proxy.start() for proxy in router.proxies))
        for router in self.routers:
            others = (other for other in self.routers if other is not router)
            router.peers = [other.peer_address for other in others][:SEEDS]
            router.write_settings()
        await asyncio.gather(*(router.start() for router in self.routers))

    async def _stop(self) -> None:
        await asyncio.gather(*(router.close() for router in self.routers))
        await asyncio.gather(*(proxy.stop() for proxy in self.proxies))
        await asyncio.gather(*(s.runner.crash() for s in self.servers if s._lives))
        await self.store.stop()
