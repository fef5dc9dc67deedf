"""A small system of real processes for tests."""

import asyncio
import hashlib
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from bluebellshore.budget.rows import (
    INCARNATION_PREFIX,
    IncarnationRow,
    IncarnationState,
    decode_row,
)
from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Move,
    Priority,
    Route,
    RouteKind,
    Version,
)
from bluebellshore.load.audit import (
    Execution,
    Finding,
    RunRecord,
    audit,
    read_accounts,
    read_bills,
    scan_all,
)
from bluebellshore.load.caller import Caller, caller_session
from bluebellshore.load.fleet import Fleet, open_fleet, wait_until
from bluebellshore.load.process import ManagedProcess
from bluebellshore.load.results import Call, CallKind, CallResult
from bluebellshore.standin.engine import expected_text
from bluebellshore.standin.generation import ChatRequest, Message
from bluebellshore.store import InstanceState, TableInstances

CHAT = "chat"
ORDERS = "orders"
STOCK = "stock"
ENGINE_VERSION = "chat-v1"
NEW_ENGINE_VERSION = "chat-v2"
SERVICE_VERSION = "orders-v1"
ZONES = ("zone-a", "zone-b", "zone-c")
AMPLE_TOKENS = 10_000_000
#: Timings that let failures be noticed soon.
FAST = {"heartbeat_seconds": 0.1, "silent_seconds": 0.8, "announce_seconds": 0.3}
FAST_ROUTER = FAST | {
    "list_poll_seconds": 0.2,
    "bundle_poll_seconds": 0.3,
    "duty_seconds": 0.3,
    "move_poll_seconds": 0.2,
    "settle_seconds": 0.1,
    "reclaim_after_seconds": 2.0,
    "leave_seconds": 0.2,
    "lease_seconds": 1.5,
    "drain_seconds": 5.0,
}
FAST_SIDECAR = FAST | {
    "orphan_seconds": 3.0,
    "drain_seconds": 5.0,
    "backend_idle_seconds": 2.0,
}


def key_of(customer: str) -> str:
    """Return the bearer key of a test customer."""
    return f"key-of-{customer}"


def chat_call(text: str, max_tokens: int, **options: Any) -> Call:
    """Return a streamed chat whose right answer is known."""
    request = ChatRequest(CHAT, [Message("user", text)], max_tokens=max_tokens)
    return Call(
        CallKind.CHAT,
        CHAT,
        text,
        max_tokens=max_tokens,
        expected=expected_text(request),
        **options,
    )


def small_bundle(
    number: int = 1,
    budgets: dict[str, int] | None = None,
    moves: dict[str, Move] | None = None,
    versions: dict[str, Version] | None = None,
) -> Bundle:
    """Return a bundle with one customer per budget, one model and one service.

    :param budgets: prepaid totals by customer.
    """
    budgets = budgets or {"acme": AMPLE_TOKENS}
    customers = {
        name: Customer(
            budget=f"{name}-budget",
            key_hashes=[hashlib.sha256(key_of(name).encode()).hexdigest()],
        )
        for name in budgets
    }
    return Bundle(
        number=number,
        parent=number - 1,
        customers=customers,
        budgets={f"{name}-budget": Budget(total) for name, total in budgets.items()},
        versions={
            ENGINE_VERSION: Version(concurrency=8, model=CHAT),
            SERVICE_VERSION: Version(concurrency=8),
        }
        | (versions or {}),
        routes={
            CHAT: Route(RouteKind.MODEL, ENGINE_VERSION, Priority.INTERACTIVE),
            ORDERS: Route(
                RouteKind.SERVICE, SERVICE_VERSION, idempotent=False, price=10
            ),
            STOCK: Route(RouteKind.SERVICE, SERVICE_VERSION, price=1),
        },
        moves=moves or {},
    )


@dataclass
class System:
    """Processes of a small system."""

    fleet: Fleet
    platform: ManagedProcess
    engines: list[ManagedProcess] = field(default_factory=list)
    services: list[ManagedProcess] = field(default_factory=list)
    sidecars: list[ManagedProcess] = field(default_factory=list)
    routers: list[ManagedProcess] = field(default_factory=list)

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        return [f"http://{router.address}" for router in self.routers]

    def sidecar_of(self, backend: ManagedProcess) -> ManagedProcess:
        """Return the sidecar beside a backend server."""
        return next(
            sidecar
            for sidecar in self.sidecars
            if sidecar.settings.backend_server == backend.name
        )

    def caller(self, customer: str = "acme", **options: Any) -> Caller:
        """Return a caller of `customer`."""
        urls = options.pop("urls", self.urls)
        return Caller(
            self.fleet.session, urls, key_of(customer), customer=customer, **options
        )

    async def set_faults(self, process: ManagedProcess, **faults: Any) -> None:
        """Set the faults of a stand-in; for a proxy, through its control port."""
        address = process.operator_address or process.address
        url = f"http://{address}/control/faults"
        async with self.fleet.session.post(url, json=faults) as response:
            if not response.ok:
                raise AssertionError(await response.text())

    async def control(self, process: ManagedProcess, path: str) -> Any:
        """Read a control page of a stand-in."""
        address = process.operator_address or process.address
        async with self.fleet.session.get(f"http://{address}{path}") as response:
            return await response.json()

    @asynccontextmanager
    async def stalled_reader(
        self, call: Call, url: str = ""
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Open a stream through a small socket buffer and read its begin only."""
        body = {
            "model": call.route,
            "messages": [{"role": "user", "content": call.text}],
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {key_of('acme')}"}
        if call.key:
            headers["Idempotency-Key"] = call.key
        async with caller_session(receive_buffer_bytes=4096) as session:
            async with session.post(
                f"{url or self.urls[0]}/v1/chat/completions",
                json=body,
                headers=headers,
                read_bufsize=1024,
            ) as response:
                yield response

    async def mark_leaving(self, process: ManagedProcess) -> None:
        """Mark an instance as leaving; its process is not told."""
        async with self.fleet.platform() as platform:
            instances = TableInstances(platform)
            if not await instances.set_state(process.name, InstanceState.LEAVING):
                raise AssertionError(f"{process.name} is not in the list")

    async def link_faults(self, **faults: Any) -> None:
        """Set the faults of all links."""
        proxies = self.fleet.proxies_by_name.values()
        await asyncio.gather(*(self.set_faults(proxy, **faults) for proxy in proxies))

    async def executions(self) -> dict[str, int]:
        """Return the executions on the engines that run, by request key."""
        counts: Counter[str] = Counter()
        for engine in self.engines:
            if engine.running:
                stats = await self.control(engine, "/control/stats")
                counts.update(stats["executions_by_request"])
        return counts

    async def state(self, process: ManagedProcess) -> dict[str, Any]:
        """Return the state dump of a router or sidecar."""
        url = f"http://{process.operator_address}/state"
        headers = {"Authorization": f"Bearer {self.fleet.operator_token}"}
        async with self.fleet.session.get(url, headers=headers) as response:
            response.raise_for_status()
            return await response.json()

    async def wait_ready(self, number: int = 1) -> None:
        """Wait until all routers have bundle `number` and links to all sidecars."""
        live = {sidecar.name for sidecar in self.sidecars if sidecar.running}

        async def ready() -> bool:
            for router in self.routers:
                state = await self.state(router)
                linked = {
                    sidecar["instance_id"]
                    for sidecar in state["sidecars"]
                    if sidecar["connected"] and sidecar["bundle_number"] >= number
                }
                if state["bundle_number"] < number or not live <= linked:
                    return False
            return True

        await wait_until(ready, f"bundle {number} and links to {sorted(live)}")

    async def findings(self, results: Sequence[CallResult]) -> list[Finding]:
        """Return what the audit finds wrong once each keyed answer has its bill."""
        keys = {f"{result.customer}/{result.call.key}" for result in results}
        bundle = small_bundle()
        async with self.fleet.platform() as platform:

            async def billed() -> bool:
                return keys <= {bill.key for bill in await read_bills(platform)}

            await wait_until(billed, f"bills of {sorted(keys)}", limit_seconds=20)
            await self.wait_settled()
            budgets, bills = await read_accounts(platform, bundle.budgets)
        return audit(RunRecord(bundle, budgets, bills, list(results)))

    async def wait_settled(self) -> None:
        """Wait until no router holds an unsettled bill or a request in flight."""

        async def settled() -> bool:
            for router in self.routers:
                if not router.running:
                    continue
                accountant = (await self.state(router))["accountant"]
                if accountant["unsettled"] or accountant["in_flight"]:
                    return False
            return True

        await wait_until(settled, "all bills")

    async def wait_reclaimed(self) -> None:
        """Wait until the tokens and receipts of all dead routers are reclaimed."""

        async def reclaimed() -> bool:
            live = {
                (await self.state(router))["incarnation"] for router in self.routers
            }
            async with self.fleet.platform() as platform:
                rows = await scan_all(platform, INCARNATION_PREFIX)
            open_rows = {
                row.key.removeprefix(INCARNATION_PREFIX)
                for row in rows
                if decode_row(row, IncarnationRow).state is not IncarnationState.CLOSED
            }
            return open_rows <= live

        await wait_until(reclaimed, "the reclaim of dead routers")


@asynccontextmanager
async def open_system(
    *,
    routers: int = 2,
    engines: int = 2,
    services: int = 1,
    bundle: Bundle | None = None,
    through_proxy: bool = False,
    engine: dict[str, Any] | None = None,
    service: dict[str, Any] | None = None,
    router: dict[str, Any] | None = None,
    sidecar: dict[str, Any] | None = None,
    platform: dict[str, Any] | None = None,
) -> AsyncIterator[System]:
    """Run a small system until the block ends.

    :param engine: settings of each engine; likewise for the other kinds.
    """
    async with open_fleet() as fleet:
        started = await fleet.start_platform(**(platform or {}))
        system = System(fleet, started)
        await fleet.submit_bundle(bundle or small_bundle())
        backends = [
            add_engine(
                system,
                zone=ZONES[number % len(ZONES)],
                through_proxy=through_proxy,
                engine=engine,
                sidecar=sidecar,
            )
            for number in range(engines)
        ]
        backends += [
            add_service(
                system,
                zone=ZONES[number % len(ZONES)],
                through_proxy=through_proxy,
                service=service,
                sidecar=sidecar,
            )
            for number in range(services)
        ]
        starts = [
            fleet.start_router(
                ZONES[number % len(ZONES)], **FAST_ROUTER | (router or {})
            )
            for number in range(routers)
        ]
        system.routers += (await asyncio.gather(*starts, *backends))[:routers]
        # They start at once; their order must not depend on which one is first.
        for processes in (system.engines, system.services):
            processes.sort(key=lambda process: process.name)
        system.sidecars.sort(key=lambda sidecar: sidecar.settings.backend_server)
        await system.wait_ready()
        yield system


async def add_engine(
    system: System,
    *,
    version: str = ENGINE_VERSION,
    routes: Sequence[str] = (CHAT,),
    zone: str = ZONES[0],
    through_proxy: bool = False,
    engine: dict[str, Any] | None = None,
    sidecar: dict[str, Any] | None = None,
) -> None:
    """Add a model engine and its sidecar."""
    process = await system.fleet.start_engine(
        version=version, model=CHAT, **(engine or {})
    )
    system.engines.append(process)
    system.sidecars.append(
        await system.fleet.start_sidecar(
            process,
            version,
            routes,
            zone,
            through_proxy=through_proxy,
            **FAST_SIDECAR | (sidecar or {}),
        )
    )


async def add_service(
    system: System,
    *,
    zone: str = ZONES[0],
    through_proxy: bool = False,
    service: dict[str, Any] | None = None,
    sidecar: dict[str, Any] | None = None,
) -> None:
    """Add a plain service and its sidecar."""
    process = await system.fleet.start_service(**(service or {}))
    system.services.append(process)
    system.sidecars.append(
        await system.fleet.start_sidecar(
            process,
            SERVICE_VERSION,
            [ORDERS, STOCK],
            zone,
            through_proxy=through_proxy,
            **FAST_SIDECAR | (sidecar or {}),
        )
    )


def soon(seconds: float) -> float:
    """Return the Unix time `seconds` from now."""
    return time.time() + seconds


async def executions_of(system: System) -> list[Execution]:
    """Return the runs of requests that the backend servers counted."""
    executions = []
    for engine in system.engines:
        stats = await system.control(engine, "/control/stats")
        for key, count in stats["executions_by_request"].items():
            executions += [Execution(key)] * count
    for service in system.services:
        shown = await system.control(service, "/control/executions")
        for key, count in shown["by_request"].items():
            executions += [Execution(key)] * count
    return executions


async def findings_of(
    system: System, bundle: Bundle, results: Sequence[CallResult]
) -> list[Finding]:
    """Wait for all bills, then audit budgets, bills, answers and executions."""
    await system.wait_settled()
    async with system.fleet.platform() as platform:
        budgets, bills = await read_accounts(platform, bundle.budgets)
        record = RunRecord(
            bundle=bundle,
            budgets_by_id=budgets,
            bills=bills,
            results=list(results),
            executions=await executions_of(system),
        )
    return audit(record)
