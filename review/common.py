"""A small deployment for the scripts of this review.

Entry routers run as separate processes with the command of the deploy file. The store,
backend servers and clients are stand-ins in the process of the script.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Callable

import aiohttp

from bluebellshore.settings import PlatformSettings, ProxySettings
from bluebellshore.standin import FaultProxy, PlatformStandin
from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.ports import reserve_address
from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from bluebellshore.standin.runner_entries import RunnerEntries

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "api.example"
CUSTOMER, KEY = "acme", "key-of-acme"
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 3.0
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes ``record.txt`` in the folder of a case."""

    def __init__(self, folder: pathlib.Path):
        self._file = (folder / "record.txt").open("w")
        self._began_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f}  {text}\n")
        self._file.flush()


@dataclasses.dataclass
class Sent:
    """A client's request and its answer; status 0 for a connection that ended."""

    attempt_id: str
    router: str
    path: str
    at: float
    status: int = 0
    answer: bytes = b""
    ended_at: float = 0.0
    error: str = ""


class Router:
    """An entry router's process, its settings and its links."""

    def __init__(self, name: str, folder: pathlib.Path):
        self.name = name
        self.listen, self.ready, self.bind, self.metrics = (
            reserve_address() for _ in range(4)
        )
        self.peer_link = FaultProxy(ProxySettings(upstream=self.bind))
        self.store_link: FaultProxy | None = None
        self.seeds: list[str] = []
        self._path = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.process: subprocess.Popen | None = None

    def write_settings(self) -> None:
        """Write the settings file of a small deployment."""
        settings = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ipAddress": "127.0.0.1",
            "zone": "zone-a",
            "listenAddresses": {
                "frontend": self.listen,
                "readiness": self.ready,
                "controlPlane": self.peer_link.address,
            },
            "seedNodes": self.seeds[:3],
            "heartbeatIntervalMs": int(HEARTBEAT_SECONDS * 1000),
            "limits": {"memoryMb": 300, "fileDescriptors": 4100},
            "bounds": {
                "contactMs": int(CONTACT_SECONDS * 1000),
                "drainMs": 2000,
                "gracePeriodS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryBudgetExtra": 56,
                "exposureFraction": 0.1,
                "exposureTolerance": 50,
                "rollbackMs": 5000,
                "settle_ms": 1500,
            },
            "platformSettings": {"address": self.store_link.address},
        }
        self._path.write_text(json.dumps(settings))

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        for name, value in role.get("env", {}).items():
            environment[name] = value.replace("{{ipAddress}}:9464", self.metrics)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BLUEBELLSHORE_SETTINGS"] = str(self._path)
        # Where the process listens for its peers; they reach it through a proxy.
        environment["BLUEBELLSHORE_PEER_BIND"] = self.bind
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def log_lines(self) -> list[dict]:
        """Return the lines that its processes wrote, oldest first."""
        lines = []
        for line in self._log.read_text(errors="replace").splitlines():
            with contextlib.suppress(ValueError):
                lines.append(json.loads(line))
        return lines

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with (
                aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(1.0)) as session,
                session.get(f"http://{self.ready}/readiness") as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False


class System:
    """A store, backend servers and entry routers.

    :param make_runner: makes a backend server's stand-in.
    """

    def __init__(self, routers: int, routes: list[StandinRoute], folder: pathlib.Path):
        self.store = PlatformStandin(PlatformSettings())
        self.entries = RunnerEntries(self.store.state, HEARTBEAT_SECONDS)
        self.routers = [Router(f"edge-{n}", folder) for n in range(1, routers + 1)]
        self.runners: list[StandinRunner] = []
        self.routes = routes
        self.services: dict[str, dict] = {}
        self.prepaid: int | None = None
        self.number = 0

    def configure(self) -> None:
        """Write the next configuration as the operator."""
        self.number += 1
        tenant = {"name": CUSTOMER, "apiKeys": [KEY]}
        if self.prepaid is not None:
            tenant["prepaid"] = self.prepaid
        self.entries.configure(
            {
                "version": self.number,
                "routes": [
                    {
                        "name": route.prefix.strip("/"),
                        "host": route.host,
                        "prefix": route.prefix,
                        "routeKind": route.kind,
                        "service": route.service,
                        "timeoutMs": route.timeout_seconds * 1000,
                        "targetLatencyMs": route.objective_seconds * 1000,
                        "maxAttempts": route.max_attempts,
                        "streamResumption": route.resumable,
                    }
                    for route in self.routes
                ],
                "services": [
                    {"name": name, "healthPath": "/health", "maxConnections": 110}
                    | self.services.get(name, {})
                    for name in sorted({route.service for route in self.routes})
                ],
                "limits": {
                    "maxHeaderBytes": 16_384,
                    "maxBodyBytes": 1_048_576,
                    "headerTimeoutMs": 5_000,
                    "idleTimeoutMs": 20_000,
                },
                "tenants": [tenant],
            }
        )

    async def start_runner(
        self,
        runner_id: str,
        settings: RunnerSettings,
        kind: Callable[..., StandinRunner] = StandinRunner,
    ) -> StandinRunner:
        """Start a backend server."""
        runner = kind(runner_id, settings, self.entries)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def start_routers(self, seconds: float = 20.0) -> None:
        """Start all routers and wait until they are ready.

        :raises TimeoutError: they don't get ready in time.
        """
        for router in self.routers:
            router.store_link = FaultProxy(ProxySettings(upstream=self.store.address))
            await router.store_link.start()
            await router.peer_link.start()
        for router in self.routers:
            router.seeds = [r.peer_link.address for r in self.routers]
            router.write_settings()
            router.start()
        async with asyncio.timeout(seconds):
            for router in self.routers:
                while not await router.is_ready():
                    await asyncio.sleep(0.1)

    @classmethod
    @contextlib.asynccontextmanager
    async def open(
        cls, routers: int, routes: list[StandinRoute]
    ) -> AsyncIterator["System"]:
        """Run the store until the block ends, then end everything."""
        with tempfile.TemporaryDirectory() as folder:
            system = cls(routers, routes, pathlib.Path(folder))
            lapses = asyncio.create_task(system.entries.run())
            await system.store.start()
            try:
                yield system
            finally:
                for router in system.routers:
                    router.kill()
                lapses.cancel()
                for router in system.routers:
                    if router.store_link is not None:
                        await router.store_link.stop()
                        await router.peer_link.stop()
                for runner in system.runners:
                    await runner._end()
                await system.store.stop()


async def send(
    router: Router,
    path: str,
    body: bytes,
    record: Record,
    *,
    deadline_seconds: float = 10.0,
    headers: dict[str, str] | None = None,
    note: str = "",
) -> Sent:
    """Send a request as a client does, on a new connection."""
    attempt_id = secrets.token_hex(8)
    sent = Sent(attempt_id, router.name, path, time.monotonic())
    all_headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt_id,
        "X-Api-Key": KEY,
        "X-Deadline-Ms": str(int(deadline_seconds * 1000)),
    } | (headers or {})
    record.write(f"client   {attempt_id} {note or path} sent to {router.name}")
    try:
        timeout = aiohttp.ClientTimeout(deadline_seconds)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.post(
                f"http://{router.listen}{path}", data=body, headers=all_headers
            ) as response,
        ):
            sent.status = response.status
            sent.answer = await response.read()
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        sent.error = type(error).__name__
    sent.ended_at = time.monotonic()
    record.write(
        f"client   {attempt_id} answered {sent.status} {sent.error}{sent.answer[:60]!r}"
    )
    return sent


def run(case: Callable[[Record], "asyncio.Future[int]"], folder: str) -> None:
    """Run a case; exit with 2 if it could not run."""
    record = Record(pathlib.Path(folder))
    record.write(f"TROUBLE={int(TROUBLE)}")
    # Whoever stops the script stops the processes that it started, too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(asyncio.wait_for(case(record), 115.0))
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        code = CANNOT_RUN
    record.write(f"exit {code}")
    sys.exit(code)
