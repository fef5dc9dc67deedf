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

from bluebellshore.load.process import PACKAGE_PARENT, ManagedProcess
from bluebellshore.platform.settings import SETTINGS_VARIABLE
from bluebellshore.settings import PlatformSettings, ProxySettings
from bluebellshore.soak.schedule import RUNNERS, Schedule
from bluebellshore.standin import FaultProxy, PlatformStandin
from bluebellshore.standin.operator import (
    StandinCustomer,
    StandinRoute,
    configuration_of,
    settings_file,
)
from bluebellshore.standin.runner import (
    Arrival,
    RunnerSettings,
    StandinRunner,
    any_fault,
)
from bluebellshore.standin.runner_entries import RunnerEntries
from bluebellshore.standin.server import free_low_address

__all__ = ["CUSTOMERS", "HOST", "PAID", "SERVICES", "Router", "Server", "SoakSystem"]

HOST = "api.example"
PAID = "paid"
#: Customers and their keys; the first one has no limit.
CUSTOMERS = {"acme": "key-of-acme", PAID: "key-of-paid"}
SERVICES = ("plain", "streams")
#: Prepaid tokens for each second and router: what callers want of them runs out.
PREPAID_A_SECOND = 150
TOP_UP = 2_000
HEARTBEAT_SECONDS = 0.3
#: From SIGTERM to SIGKILL, as short as the router's own leaving allows with work.
STOP_SECONDS = 8.0
SLOTS = 8
#: Time of a plain run and between events; some backend servers are slow, so that
#: signals and faults find requests in flight.
FAST_SECONDS, SLOW_SECONDS = 0.03, 0.25
SLOW = (0, 1)
#: Lines of a process that are kept for the report.
OUTPUT_LINES = 20_000


@dataclasses.dataclass
class _NoFlags:
    """A process that takes its settings from a file only."""


class Router:
    """An entry instance: its links and the process that runs at present.

    :ivar lives: starts so far.
    :ivar ended: ends that nobody asked for, as text.
    """

    def __init__(self, number: int, folder: pathlib.Path):
        self.name = f"entry-{number}"
        self.path = folder / f"{self.name}.json"
        self.listen, self.ready, self.peer = (free_low_address() for _ in range(3))
        self.callers = FaultProxy(ProxySettings(upstream=self.listen))
        self.store: FaultProxy | None = None
        self.process: ManagedProcess | None = None
        self.lives = 0
        self.ended: list[str] = []
        self.outputs: list[ManagedProcess] = []
        self._lock = asyncio.Lock()
        self._closing = False

    @property
    def running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.running

    async def start(self) -> None:
        """Start a process."""
        paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
        program = (
            "/usr/bin/env",
            f"{SETTINGS_VARIABLE}={self.path}",
            f"PYTHONPATH={os.pathsep.join(filter(None, paths))}",
            sys.executable,
        )
        process = ManagedProcess(
            self.name, ("-m", "bluebellshore.entry"), _NoFlags(), program=program
        )
        # Lines on one request may lie far apart.
        process.output = collections.deque(maxlen=OUTPUT_LINES)
        await process.start()
        self.lives += 1
        self.process = process
        self.outputs.append(process)

    async def restart(self, seconds: float, *, gracefully: bool) -> None:
        """End the process, wait and start another one."""
        async with self._lock:
            if self._closing or not self._alive():
                return
            if gracefully:
                await self._stop()
            else:
                await self.process.kill()
            await asyncio.sleep(seconds)
            if not self._closing:
                await self.start()

    async def pause(self, seconds: float) -> None:
        """Freeze the process that runs now, for a while."""
        process = self.process
        process.freeze()
        try:
            await asyncio.sleep(seconds)
        finally:
            process.wake()

    def reload(self) -> None:
        """Have the process read its settings again."""
        if self.running:
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

    async def _stop(self) -> None:
        process = self.process
        try:
            async with asyncio.timeout(STOP_SECONDS):
                code = await process.terminate()
        except TimeoutError:
            process.wake()
            await process.kill()
            return
        if code:
            self.ended.append(f"{self.name} life {self.lives}: SIGTERM gave {code}")


class Server:
    """A place for backend servers, behind a proxy; one life after another.

    :ivar arrivals: of all lives.
    :ivar left_at: by id, when the store took that it leaves.
    """

    def __init__(self, number: int, entries: RunnerEntries, rng: random.Random):
        self.number = number
        self.service = SERVICES[number % len(SERVICES)]
        self._entries = entries
        self._rng = rng
        self._births = 0
        self._lives: list[StandinRunner] = []
        self.proxy: FaultProxy | None = None
        self.left_at: dict[str, float] = {}
        self.share_spoiled = 0.0
        self.busy = asyncio.Lock()

    @property
    def runner(self) -> StandinRunner:
        """The present life."""
        return self._lives[-1]

    @property
    def arrivals(self) -> list[Arrival]:
        """What arrived at all lives."""
        return [seen for runner in self._lives for seen in runner.arrivals]

    async def start(self, *, same_id: bool = False) -> None:
        """Begin a life."""
        if not (same_id and self._births):
            self._births += 1
        listen = self._lives[-1].address if self._lives else free_low_address()
        settings = RunnerSettings(
            self.service,
            slots=SLOTS,
            streaming=self.service == "streams",
            seconds=SLOW_SECONDS if self.number in SLOW else FAST_SECONDS,
        )
        runner = StandinRunner(
            f"{self.service}-{self.number}-{self._births}",
            settings,
            self._entries,
            listen=listen,
            advertise=lambda _: self.proxy.address,
        )
        runner.draw_fault = lambda: any_fault(self._rng, self.share_spoiled)
        if self.proxy is None:
            self.proxy = FaultProxy(ProxySettings(upstream=listen))
            await self.proxy.start()
        await runner.start()
        self._lives.append(runner)


class SoakSystem:
    """All parts of a run."""

    def __init__(self, schedule: Schedule, folder: pathlib.Path):
        seed = schedule.seed
        self.store = PlatformStandin(PlatformSettings(seed=seed))
        self.entries = RunnerEntries(self.store.state, HEARTBEAT_SECONDS)
        self.routers = [Router(number, folder) for number in range(schedule.routers)]
        self.servers = [
            Server(number, self.entries, random.Random(f"{seed}.{number}"))
            for number in range(RUNNERS)
        ]
        self.number = 0
        #: When the store took each configuration, by number.
        self.configured_at: dict[int, float] = {}
        self.prepaid = int(PREPAID_A_SECOND * schedule.seconds * schedule.routers)

    def configure(self) -> None:
        """Have the operator write the next configuration: it adds a route."""
        self.number += 1
        routes = [
            StandinRoute("/safe/", "safe", "plain"),
            StandinRoute("/unsafe/", "unsafe", "plain"),
            StandinRoute("/stream/", "streaming", "streams"),
            StandinRoute("/resumed/", "streaming", "streams", resumable=True),
        ]
        routes += [
            StandinRoute(f"/added-{number}/", "safe", "plain")
            for number in range(1, self.number + 1)
        ]
        customers = [
            StandinCustomer(name, (key,), self.prepaid if name == PAID else None)
            for name, key in CUSTOMERS.items()
        ]
        self.entries.configure(configuration_of(self.number, routes, customers))
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

    async def _start(self) -> None:
        await self.store.start()
        self.configure()
        for server in self.servers:
            await server.start()
        for router in self.routers:
            router.store = FaultProxy(ProxySettings(upstream=self.store.address))
            await router.store.start()
            await router.callers.start()
            peers = [other.peer for other in self.routers if other is not router]
            router.path.write_bytes(
                settings_file(
                    name=router.name,
                    zone="zone-a",
                    listen=router.listen,
                    ready_listen=router.ready,
                    peer_listen=router.peer,
                    peers=peers,
                    store=router.store.address,
                    heartbeat_seconds=HEARTBEAT_SECONDS,
                    stop_seconds=STOP_SECONDS,
                )
            )
        await asyncio.gather(*(router.start() for router in self.routers))

    async def _stop(self) -> None:
        await asyncio.gather(*(router.close() for router in self.routers))
        proxies = [p for r in self.routers for p in (r.callers, r.store)]
        proxies += [server.proxy for server in self.servers]
        await asyncio.gather(*(p.stop() for p in proxies if p is not None))
        await asyncio.gather(*(s.runner.crash() for s in self.servers if s._lives))
        await self.store.stop()
