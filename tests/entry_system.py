"""A small entry system on the loopback interface for tests.

It has a stand-in store, stand-in backend servers and entry routers. The routers run in
the test's process, or as processes of their own where signals matter.
"""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import sys
import tempfile
import unittest
from unittest import mock

import aiohttp
import yarl

from bluebellshore.entry.router import EntryRouter
from bluebellshore.load.fleet import wait_until
from bluebellshore.load.process import PACKAGE_PARENT, ManagedProcess
from bluebellshore.platform.settings import SETTINGS_VARIABLE
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin.operator import (
    StandinCustomer,
    StandinRoute,
    configuration_of,
    settings_file,
)
from bluebellshore.standin.platform import PlatformStandin
from bluebellshore.standin.ports import reserve_address
from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from bluebellshore.standin.runner_entries import RunnerEntries

__all__ = ["HOST", "KEY", "EntryTestCase", "Instance"]

HOST = "api.example"
KEY = "key-of-acme"
ROUTES = (
    StandinRoute("/safe/", "safe", "plain"),
    StandinRoute("/unsafe/", "unsafe", "plain"),
    StandinRoute("/open/", "safe", "plain", anonymous=True),
    StandinRoute("/stream/", "streaming", "streams"),
    StandinRoute("/resumed/", "streaming", "streams", resumable=True),
)
CUSTOMERS = (StandinCustomer("acme", (KEY,)),)
HEARTBEAT_SECONDS = 0.2
STOP_SECONDS = 20.0


@dataclasses.dataclass
class _NoFlags:
    """Command-line flags of a process that reads its settings from a file only."""


class Instance:
    """An entry instance: its settings file, its addresses and its present router."""

    def __init__(self, directory: pathlib.Path, name: str, store: str):
        self.path = directory / f"{name}.json"
        self.name = name
        self.store = store
        self.listen, self.ready, self.peer = (reserve_address() for _ in range(3))
        self.peers: tuple[str, ...] = ()
        self.process: ManagedProcess | None = None
        self.router: EntryRouter | None = None

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.listen}"

    def write(self, **changes: object) -> None:
        """Write the settings file."""
        values = {
            "name": self.name,
            "zone": "zone-a",
            "listen": self.listen,
            "ready_listen": self.ready,
            "peer_listen": self.peer,
            "peers": self.peers,
            "store": self.store,
            "heartbeat_seconds": HEARTBEAT_SECONDS,
            "stop_seconds": STOP_SECONDS,
        }
        self.path.write_bytes(settings_file(**(values | changes)))


class EntryTestCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, backend servers and entry routers; stops them after a test."""

    async def asyncSetUp(self):
        directory = tempfile.TemporaryDirectory(prefix="bluebellshore-")
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        # The readiness of routers in this process is not polled, so that a stopping
        # one need not accept connections for as long.
        patch = mock.patch("bluebellshore.entry.stop_schedule.ACCEPT_SECONDS", 0.1)
        patch.start()
        self.addCleanup(patch.stop)
        self.store = PlatformStandin(PlatformSettings())
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.entries = RunnerEntries(self.store.state, HEARTBEAT_SECONDS)
        lapses = asyncio.create_task(self.entries.run())
        self.addCleanup(lapses.cancel)
        self.session = aiohttp.ClientSession(auto_decompress=False)
        self.addAsyncCleanup(self.session.close)
        self.runners: list[StandinRunner] = []
        self._attempts = itertools.count(1)

    def configure(self, number=1, routes=ROUTES, customers=CUSTOMERS):
        """Write a configuration to the store, as the operator does."""
        self.entries.configure(configuration_of(number, routes, customers))

    async def add_runner(self, runner_id, service="plain", **settings):
        """Start a backend server."""
        settings.setdefault("streaming", service == "streams")
        runner = StandinRunner(
            runner_id, RunnerSettings(service, **settings), self.entries
        )
        await runner.start()
        self.addAsyncCleanup(runner.crash)
        self.runners.append(runner)
        return runner

    def make_instance(self, name="entry-1", store=""):
        """Return an instance with its settings file written."""
        instance = Instance(self.directory, name, store or self.store.address)
        instance.write()
        return instance

    async def start_router(self, instance):
        """Start a router in this process."""
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(instance.path)}):
            instance.router = EntryRouter()
        await instance.router.start()
        self.addAsyncCleanup(instance.router.stop)
        return instance

    async def start_process(self, instance):
        """Start a router as a process; an earlier one of the instance may still run."""
        paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
        words = (
            "/usr/bin/env",
            f"{SETTINGS_VARIABLE}={instance.path}",
            f"PYTHONPATH={os.pathsep.join(filter(None, paths))}",
            sys.executable,
        )
        process = ManagedProcess(
            instance.name, ("-m", "bluebellshore.entry"), _NoFlags(), program=words
        )
        await process.start()
        self.addAsyncCleanup(process.kill)
        instance.process = process
        return instance

    async def start_system(self, number=1, routes=ROUTES):
        """Start one router and two backend servers of each service."""
        self.configure(number, routes)
        for service in ("plain", "streams"):
            for name in ("a", "b"):
                await self.add_runner(f"{service}-{name}", service)
        instance = await self.start_router(self.make_instance())
        await self.wait_until_synced(instance)
        return instance

    async def wait_until_synced(self, *instances):
        """Wait until routers have read all changes that the store holds now."""
        version = self.store.state.rows.version

        def synced():
            return all(
                min(instance.router.snapshot()["versions"].values()) >= version
                for instance in instances
            )

        await wait_until(synced, f"row version {version}")

    async def wait_until_serving(self, instance, path="/open/ready"):
        """Wait until a router in another process serves requests."""

        async def serving():
            status, _, _ = await self.call(instance, path)
            return status == 200

        await wait_until(serving, f"{instance.name} to serve")

    async def readiness_status(self, instance):
        """Return the status of an instance's readiness endpoint."""
        async with self.session.get(f"http://{instance.ready}/readiness") as response:
            return response.status

    def new_attempt_id(self):
        """Return an attempt id that is unique in this test."""
        return f"attempt-{next(self._attempts)}"

    def headers(self, attempt_id, key=KEY, deadline_ms=8000, **more):
        """Return the headers of a caller's request."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt_id,
            "X-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["X-Api-Key"] = key
        return headers | {name.replace("_", "-"): str(more[name]) for name in more}

    async def call(self, instance, path, method="GET", body=b"", headers=None):
        """Send one request. :return: status, headers and body.

        :raises aiohttp.ClientError: the answer broke off, or there was none.
        """
        headers = headers or self.headers(self.new_attempt_id())
        async with self.session.request(
            method,
            yarl.URL(instance.url + path, encoded=True),
            data=body or None,
            headers=headers,
        ) as response:
            return response.status, response.headers, await response.read()

    def count_runs(self, attempt_id):
        """Return how often a request ran, at all backend servers together."""
        return sum(runner.runs[attempt_id] for runner in self.runners)

    def arrivals_of(self, attempt_id):
        """Return the arrivals of a request at all backend servers."""
        return [
            seen
            for runner in self.runners
            for seen in runner.arrivals
            if seen.attempt_id == attempt_id
        ]
