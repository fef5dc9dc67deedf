"""Supervisor of a fleet of real processes for tests, experiments and load runs."""

import asyncio
import collections
import dataclasses
import hashlib
import inspect
import secrets
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import msgspec

from bluebellshore.bundle.model import Bundle
from bluebellshore.bundle.signing import generate_keypair, sign_bundle
from bluebellshore.bundle.store import BundleStore
from bluebellshore.load.process import FleetError, ManagedProcess
from bluebellshore.platform.store import (
    BACKGROUND_CALL_TIMEOUT_SECONDS,
    PlatformStore,
    open_store,
)
from bluebellshore.settings import (
    EngineSettings,
    PlatformSettings,
    ProxySettings,
    RouterSettings,
    ServiceSettings,
    SidecarSettings,
)
from bluebellshore.standin.ports import reserve_address

__all__ = ["Fleet", "open_fleet", "wait_until"]

WAIT_LIMIT_SECONDS = 180.0
POLL_SECONDS = 0.05

ROUTER = ("router",)
SIDECAR = ("sidecar",)
PLATFORM = ("standin", "platform")
ENGINE = ("standin", "engine")
SERVICE = ("standin", "service")
PROXY = ("standin", "proxy")


async def wait_until(
    predicate: Callable[[], object],
    what: str,
    *,
    limit_seconds: float = WAIT_LIMIT_SECONDS,
) -> object:
    """Poll `predicate`, plain or async, until it returns something true.

    :param what: what is waited for, named in the error.
    :return: the true value.
    :raises FleetError: the limit passed.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_seconds
    while True:
        result = predicate()
        if inspect.isawaitable(result):
            result = await result
        if result:
            return result
        if loop.time() > end:
            raise FleetError(f"waited in vain for {what}", step="fleet.wait")
        await asyncio.sleep(POLL_SECONDS)


class Fleet:
    """Processes by name, with the keys and tokens that they share.

    Use :func:`open_fleet`, which ends all processes.

    :param session: HTTP session for the platform and control ports.
    """

    def __init__(self, session: aiohttp.ClientSession):
        self.session = session
        self.by_name: dict[str, ManagedProcess] = {}
        self.private_key, self.public_key = generate_keypair()
        self.link_token = secrets.token_hex(16)
        self.operator_token = secrets.token_hex(16)
        self.platform_url = ""
        self.proxies_by_name: dict[str, ManagedProcess] = {}
        self._counts: collections.Counter[str] = collections.Counter()

    async def start_platform(self, **settings: object) -> ManagedProcess:
        """Start the platform stand-in and make it the one of this fleet."""
        process = await self._start(
            "platform", PLATFORM, PlatformSettings(**_with_listen(settings))
        )
        self.platform_url = f"http://{process.address}"
        return process

    async def start_engine(
        self, *, version: str = "v1", **settings: object
    ) -> ManagedProcess:
        """Start a model engine stand-in."""
        chosen = EngineSettings(version=version, **_with_listen(settings))
        return await self._start("engine", ENGINE, chosen)

    async def start_service(self, **settings: object) -> ManagedProcess:
        """Start a plain service stand-in."""
        chosen = ServiceSettings(**_with_listen(settings))
        return await self._start("service", SERVICE, chosen)

    async def start_proxy(self, upstream: str) -> ManagedProcess:
        """Start a fault proxy before `upstream` (``host:port``)."""
        return await self._start("proxy", PROXY, ProxySettings(upstream=upstream))

    async def start_sidecar(
        self,
        backend: ManagedProcess,
        version: str,
        routes: Sequence[str],
        zone: str,
        *,
        through_proxy: bool = False,
        **settings: object,
    ) -> ManagedProcess:
        """Start a sidecar beside `backend`.

        :param through_proxy: routers reach it through a fault proxy, kept in
            :attr:`proxies_by_name` under the sidecar's name.
        """
        name = self._next_name("sidecar")
        beside = {
            "backend_url": f"http://{backend.address}",
            "backend_server": backend.name,
            "version": version,
            "routes": list(routes),
        }
        chosen = SidecarSettings(**self._role_settings(name, zone, beside | settings))
        if through_proxy:
            chosen.listen = reserve_address()
            proxy = await self.start_proxy(chosen.listen)
            chosen.announce_address = proxy.address
            self.proxies_by_name[name] = proxy
        return await self._start_named(name, SIDECAR, chosen)

    async def start_router(self, zone: str, **settings: object) -> ManagedProcess:
        """Start a router."""
        name = self._next_name("router")
        chosen = RouterSettings(**self._role_settings(name, zone, settings))
        return await self._start_named(name, ROUTER, chosen)

    async def replace(
        self, name: str, *, graceful: bool = True, **changes: object
    ) -> ManagedProcess:
        """End a process and start one with its settings in its place.

        :param graceful: stop it gracefully; else kill it.
        :param changes: settings that differ in the new process.
        """
        old = self.by_name[name]
        if graceful:
            await old.terminate()
        else:
            await old.kill()
        chosen = dataclasses.replace(old.settings, **changes)
        return await self._start_named(name, old.command, chosen)

    async def state_of(self, name: str) -> dict[str, Any]:
        """Fetch the state dump of a router or sidecar."""
        url = f"http://{self.by_name[name].operator_address}/state"
        headers = {"Authorization": f"Bearer {self.operator_token}"}
        async with self.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    async def control(
        self, process: ManagedProcess, path: str, body: object | None = None
    ) -> Any:
        """Call the control port of a stand-in.

        :param path: path below ``/control/``.
        :param body: JSON body of a POST; None for a GET.
        :return: decoded answer, None when it is empty.
        """
        address = process.operator_address or process.address
        url = f"http://{address}/control/{path}"
        method = "GET" if body is None else "POST"
        async with self.session.request(method, url, json=body) as response:
            response.raise_for_status()
            return msgspec.json.decode(await response.read() or b"null")

    @asynccontextmanager
    async def platform(self) -> AsyncIterator[PlatformStore]:
        """Give a client of the platform stand-in."""
        async with open_store(
            self.platform_url, call_seconds=BACKGROUND_CALL_TIMEOUT_SECONDS
        ) as store:
            yield store

    async def submit_bundle(self, bundle: Bundle) -> None:
        """Sign a bundle and have it accepted.

        :raises BundleConflictError: another bundle came first.
        """
        signed = sign_bundle(bundle, self.private_key)
        async with self.platform() as platform:
            await BundleStore(platform, platform).accept(signed)

    async def close(self) -> None:
        """End all processes that still run."""
        processes = [process for process in self.by_name.values() if process.running]
        await asyncio.gather(*(process.kill() for process in processes))

    def _role_settings(
        self, name: str, zone: str, settings: dict[str, object]
    ) -> dict[str, object]:
        shared = {
            "instance_id": name,
            "zone": zone,
            "platform_url": self.platform_url,
            "trust_keys": [self.public_key.hex()],
            "operator_token_hash": hashlib.sha256(
                self.operator_token.encode()
            ).hexdigest(),
            "link_token": self.link_token,
        }
        return shared | settings

    def _next_name(self, kind: str) -> str:
        self._counts[kind] += 1
        return f"{kind}-{self._counts[kind]}"

    async def _start(
        self, kind: str, command: Sequence[str], settings: object
    ) -> ManagedProcess:
        return await self._start_named(self._next_name(kind), command, settings)

    async def _start_named(
        self, name: str, command: Sequence[str], settings: object
    ) -> ManagedProcess:
        process = ManagedProcess(name, command, settings)
        self.by_name[name] = process
        await process.start()
        return process


def _with_listen(settings: dict[str, object]) -> dict[str, object]:
    """Give a stand-in a reserved port, so that its successor can take it over."""
    return {"listen": reserve_address()} | settings


@asynccontextmanager
async def open_fleet(fleet_type: type[Fleet] = Fleet) -> AsyncIterator[Fleet]:
    """Give an empty fleet and end all of its processes afterwards."""
    async with aiohttp.ClientSession() as session:
        fleet = fleet_type(session)
        try:
            yield fleet
        finally:
            await fleet.close()
