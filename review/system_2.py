"""A small deployment for the scripts of the second review.

Entry processes are started as the deploy file starts them. The store, the backend
servers and the callers are stand-ins in the process of the script.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import aiohttp

from bluebellshore.settings import PlatformSettings
from bluebellshore.standin import PlatformStandin
from bluebellshore.standin.operator import (
    StandinCustomer,
    StandinRoute,
    configuration_of,
)
from bluebellshore.standin.platform_faults import NoAnswer, PlatformFaults
from bluebellshore.standin.platform_rows import RowId
from bluebellshore.standin.ports import reserve_address
from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from bluebellshore.standin.runner_entries import RunnerEntries

__all__ = ["HOST", "Router", "System", "main", "with_trouble"]

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "api.example"
KEY = "key-of-acme"
CUSTOMER = "acme"
HEARTBEAT_SECONDS = 1.2
READY_SECONDS = 20.0
#: As in the example of the deploy page.
BOUNDS = {
    "contactMs": 3000,
    "acknowledgmentMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "gracePeriodS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "partitionExtensionMs": 5000,
    "revocationStrict": False,
    "revocationMs": 5000,
    "retryBudgetRatio": 0.2,
    "retryWindowS": 10,
    "retryBudgetExtra": 56,
    "exposureFraction": 0.1,
    "exposureTolerance": 50,
    "rollbackMs": 5000,
    "recoveryS": 12,
    "deliverySlackMs": 120,
    "reuseWindowS": 9.9,
    "settle_ms": 1500,
}


def with_trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Router:
    """An entry process; one life after another."""

    def __init__(self, name: str, folder: pathlib.Path):
        self.name = name
        self.path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.listen, self.ready, self.peer = (reserve_address() for _ in range(3))
        self.process: subprocess.Popen | None = None

    def write_settings(self, store: str, seeds: list[str]) -> None:
        """Write the settings file."""
        content = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control"],
            "ipAddress": "127.0.0.1",
            "zone": "zone-a",
            "listenAddresses": {
                "frontend": self.listen,
                "readiness": self.ready,
                "controlPlane": self.peer,
            },
            "seedNodes": seeds,
            "heartbeatIntervalMs": HEARTBEAT_SECONDS * 1000,
            "limits": {"memoryMb": 300, "fileDescriptors": 4100, "linkMbps": 1000.0},
            "bounds": BOUNDS,
            "platformSettings": {"address": store},
        }
        self.path.write_text(json.dumps(content))

    def start(self) -> None:
        """Start a process with the command of the deploy file."""
        path = os.pathsep.join([str(ROOT / "target" / "deps"), str(ROOT)])
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": path,
            "PYTHONDONTWRITEBYTECODE": "1",
            "BLUEBELLSHORE_SETTINGS": str(self.path),
            "BLUEBELLSHORE_LOG_LEVEL": "all",
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "bluebellshore.entry"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> None:
        """End the process and wait for its end."""
        self.send(number)
        if self.process is not None:
            await asyncio.to_thread(self.process.wait)


class System:
    """Routers, the store, backend servers and callers.

    :ivar record: lines for ``record.txt``.
    """

    def __init__(self, folder: pathlib.Path, routers: int):
        self.folder = folder
        self.began_at = time.monotonic()
        self.record: list[str] = []
        self.store = PlatformStandin(PlatformSettings(seed=1))
        self.entries = RunnerEntries(self.store.state, HEARTBEAT_SECONDS)
        self.routers = [Router(f"edge-{i}", folder) for i in range(routers)]
        self.runners: list[StandinRunner] = []
        self.answers: list[dict] = []
        self._numbers = itertools.count(1)
        self._session: aiohttp.ClientSession | None = None
        self._lapses: asyncio.Task | None = None

    def note(self, text: str) -> None:
        """Add a line to the record."""
        line = f"{time.monotonic() - self.began_at:8.3f} s  {text}"
        self.record.append(line)
        print(line, flush=True)

    async def start(self, routes: list[StandinRoute], prepaid: int | None) -> None:
        """Start the store and put a configuration there; runners come next."""
        await self.store.start()
        self._lapses = asyncio.create_task(self.entries.run())
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            auto_decompress=False,
        )
        self.configure(1, routes, prepaid)

    def configure(
        self, number: int, routes: list[StandinRoute], prepaid: int | None
    ) -> None:
        """Have the operator write a configuration."""
        customers = [StandinCustomer(CUSTOMER, (KEY,), prepaid)]
        self.entries.configure(configuration_of(number, routes, customers))

    async def add_runner(
        self, runner_id: str, settings: RunnerSettings
    ) -> StandinRunner:
        """Start a backend server."""
        runner = StandinRunner(runner_id, settings, self.entries)
        await runner.start()
        self.runners.append(runner)
        return runner

    async def start_routers(self) -> None:
        """Start all routers and wait until they are ready."""
        seeds = [router.peer for router in self.routers][:3]
        for router in self.routers:
            router.write_settings(self.store.address, seeds)
            router.start()
        await self.wait_ready(self.routers)

    async def wait_ready(self, routers: list[Router]) -> None:
        """Wait until routers answer 200 to readiness checks."""
        async with asyncio.timeout(READY_SECONDS):
            for router in routers:
                while not await self._is_ready(router):
                    await asyncio.sleep(0.05)

    async def _is_ready(self, router: Router) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        url = f"http://{router.ready}/readiness"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError, TimeoutError):
            return False

    async def send(
        self,
        router: Router,
        path: str,
        *,
        method: str = "GET",
        tokens: tuple[int, int] | None = None,
        deadline_ms: int = 4000,
        body: bytes = b"",
    ) -> dict:
        """Send one request, which is not repeated, and note its answer."""
        attempt = f"a{next(self._numbers):015d}"
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Api-Key": KEY,
        }
        if tokens is not None:
            headers["X-Model"] = "m"
            headers["X-Token-Usage"] = f"{tokens[0]},{tokens[1]}"
            headers["X-Prompt-Prefix"] = f"{attempt[1:]}:{tokens[0]}"
        answer = {
            "id": attempt,
            "router": router.name,
            "sent": time.monotonic(),
            "status": 0,
            "body": b"",
        }
        self.answers.append(answer)
        timeout = aiohttp.ClientTimeout(total=deadline_ms / 1000 + 0.5)
        try:
            async with self._session.request(
                method,
                f"http://{router.listen}{path}",
                headers=headers,
                data=body or None,
                timeout=timeout,
            ) as response:
                answer["status"] = response.status
                answer["body"] = await response.read()
                answer["whole"] = True
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            answer["error"] = type(error).__name__
        answer["ended"] = time.monotonic()
        return answer

    async def load(
        self, path: str, per_second: float, seconds: float, **options: object
    ) -> list[dict]:
        """Send requests to the routers in turn, at an even rate.

        :return: the answers, once all are there.
        """
        tasks = []
        began_at = time.monotonic()
        for number in range(int(per_second * seconds)):
            pause = began_at + number / per_second - time.monotonic()
            if pause > 0:
                await asyncio.sleep(pause)
            router = self.routers[number % len(self.routers)]
            tasks.append(asyncio.create_task(self.send(router, path, **options)))
        return list(await asyncio.gather(*tasks))

    def status_of(self, service: str) -> dict | None:
        """Return what the operator reads under ``status/rollout/SERVICE``."""
        row_id = RowId("status", "", f"rollout/{service}")
        page = self.store.state.rows.page("status", "", row_id.key, "", 1, 100_000)
        found = [e for e in page.entries if e.row_id == row_id]
        return json.loads(found[0].value) if found else None

    async def restore(self, away_seconds: float, copy_seconds: float) -> None:
        """Have the store away for a moment and come back from an older copy.

        What the operator and the backend servers wrote is written again.
        """
        self.note(f"the store is away for {away_seconds} s")
        self.store.state.set_faults(PlatformFaults(outage=NoAnswer.RESET))
        await asyncio.sleep(away_seconds)
        self.store.state.set_faults(PlatformFaults(restore_seconds=copy_seconds))
        self.entries.write_again()
        self.store.state.set_faults(PlatformFaults(outage=False))
        self.note(
            f"the store is back from a copy {copy_seconds} s older; "
            f"Store-Era {self.store.state.rows.era}"
        )

    async def close(self) -> None:
        """End everything that was started."""
        for router in self.routers:
            router.send(signal.SIGCONT)
            await router.end()
        for runner in self.runners:
            with contextlib.suppress(Exception):
                await runner.crash()
        if self._lapses is not None:
            self._lapses.cancel()
        if self._session is not None:
            await self._session.close()
        await self.store.stop()


def main(folder: str, routers: int, play) -> int:
    """Run a case.

    :param folder: folder of the case, which gets ``record.txt``.
    :param play: coroutine function that is given the system; returns whether the rule
        held.
    :return: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
    """

    async def run() -> int:
        with tempfile.TemporaryDirectory(prefix="review-2-") as work:
            system = System(pathlib.Path(work), routers)
            try:
                async with asyncio.timeout(110):
                    held = await play(system)
                system.note("the rule held" if held else "the rule was broken")
                return 0 if held else 1
            except Exception as error:  # the case could not run
                system.note(f"could not run: {type(error).__name__}: {error}")
                return 2
            finally:
                await system.close()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    for router in system.routers:
                        target = pathlib.Path(keep) / router.log_path.name
                        target.write_bytes(router.log_path.read_bytes())
                record = pathlib.Path(folder) / "record.txt"
                record.write_text("\n".join(system.record) + "\n")

    return asyncio.run(run())
