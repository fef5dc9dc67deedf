"""Cost of control at several sizes: processor, memory and bytes of each role.

Run with ``python -m bluebellshore.load.slopes``; prints tables for
``docs/CAPACITY.md``.
"""

import asyncio
import hashlib
import sys
from collections.abc import Sequence

import msgspec
import psutil
import uvloop

from bluebellshore.bundle.model import Budget, Bundle, Customer
from bluebellshore.ids import BudgetId, BundleNumber, CustomerId, Tokens
from bluebellshore.load.caller import Caller, caller_session
from bluebellshore.load.deployments import (
    ASSISTANT,
    ATLAS_CADRAN,
    MODEL,
    MODEL_VERSION,
    bearer_of,
    first_bundle,
)
from bluebellshore.load.fleet import Fleet, open_fleet, wait_until
from bluebellshore.load.process import ManagedProcess
from bluebellshore.load.results import Call, CallKind
from bluebellshore.load.usage import Cost, cost_over, cpu_seconds

__all__ = ["Point", "Size", "main", "measure_point"]

SETTLE_SECONDS = 4.0
WATCH_SECONDS = 10.0
CHANGES = 10
STREAM_TOKENS = 100
STREAM_GAP_SECONDS = 0.5
TOP_UP = 1000
MIB = 1024 * 1024
KIB = 1024
LIBRARIES = "aiohttp, aiomisc, cryptography, eliot, grpc.aio, msgspec, statsd, uvloop"
ALONE_SCRIPT = f"import {LIBRARIES}, time; print('ready', flush=True); time.sleep(60)"


class Size(msgspec.Struct, frozen=True):
    """Size of a fleet.

    :param customers: customers, each with a budget of its own.
    :param streams: streams held open, with a token each half second.
    """

    sidecars: int = 4
    routers: int = 1
    customers: int = 10
    streams: int = 0


class Point(msgspec.Struct, frozen=True):
    """What one size costs.

    :param router_bytes_second: bytes between a router and the platform, and on all
        links of the router, both ways.
    :param router_change_seconds: processor time of a router for a change of
        configuration, with the state dumps that wait for it; None with streams open.
    """

    size: Size
    router: Cost
    sidecar: Cost
    router_bytes_second: float
    link_bytes_second: float
    sidecar_platform_bytes_second: float
    router_change_seconds: float | None
    sidecar_change_seconds: float | None


SIDECARS = [Size(sidecars=count) for count in (4, 8, 16, 32)]
ROUTERS = [Size(routers=count) for count in (1, 4, 8)]
CUSTOMERS = [Size(customers=count) for count in (10, 1000, 4000)]
STREAMS = [Size(streams=count) for count in (0, 50, 200)]


class _Fleet:
    """A fleet of one size, with proxies where bytes are counted."""

    def __init__(self, fleet: Fleet, size: Size):
        self.fleet = fleet
        self.size = size
        self.bundle = _bundle(size.customers)

    async def start(self) -> None:
        """Start all and wait until the first router uses all sidecars."""
        fleet = self.fleet
        platform = await fleet.start_platform()
        await fleet.submit_bundle(self.bundle)
        engine = await fleet.start_engine(
            version=MODEL_VERSION,
            model=MODEL,
            capacity=1024,
            batch_slowdown=0.0,
            between_tokens_seconds=STREAM_GAP_SECONDS,
        )
        self.router_proxy = await fleet.start_proxy(platform.address)
        self.sidecar_proxy = await fleet.start_proxy(platform.address)
        await self._start_sidecar(engine, f"http://{self.sidecar_proxy.address}")
        for _ in range(self.size.sidecars - 1):
            await self._start_sidecar(engine, fleet.platform_url)
        url = f"http://{self.router_proxy.address}"
        self.router = await fleet.start_router("zone-1", platform_url=url)
        for _ in range(self.size.routers - 1):
            await fleet.start_router("zone-1")
        self.sidecar = fleet.by_name["sidecar-1"]
        await self.wait_in_force()

    async def wait_in_force(self) -> None:
        """Wait until the router uses all sidecars with the newest bundle."""

        async def in_force() -> bool:
            state = await self.fleet.state_of(self.router.name)
            numbers = [s["bundle_number"] for s in state["sidecars"] if s["connected"]]
            numbers.append(state["bundle_number"])
            reached = all(number >= self.bundle.number for number in numbers)
            return reached and len(numbers) > self.size.sidecars

        await wait_until(in_force, f"bundle {self.bundle.number} everywhere")

    async def change(self) -> None:
        """Top up one budget and wait until the change is in force."""
        budget, stated = next(iter(self.bundle.budgets.items()))
        topped_up = Budget(Tokens(stated.prepaid_total + TOP_UP))
        self.bundle = msgspec.structs.replace(
            self.bundle,
            number=BundleNumber(self.bundle.number + 1),
            parent=self.bundle.number,
            budgets=self.bundle.budgets | {budget: topped_up},
        )
        await self.fleet.submit_bundle(self.bundle)
        await self.wait_in_force()

    async def bytes_of(self, proxy: ManagedProcess) -> int:
        """Return the bytes that a proxy has passed on."""
        stats = await self.fleet.control(proxy, "stats")
        return stats["bytes_up"] + stats["bytes_down"]

    async def _start_sidecar(self, engine: ManagedProcess, platform_url: str) -> None:
        await self.fleet.start_sidecar(
            engine,
            MODEL_VERSION,
            [ASSISTANT],
            "zone-1",
            through_proxy=not self.fleet.proxies_by_name,
            platform_url=platform_url,
            concurrency=1024,
        )


def _bundle(customers: int) -> Bundle:
    names = [CustomerId(f"customer-{n}") for n in range(customers)]
    return msgspec.structs.replace(
        first_bundle(ATLAS_CADRAN),
        customers={
            name: Customer(
                BudgetId(name), [hashlib.sha256(bearer_of(name).encode()).hexdigest()]
            )
            for name in names
        },
        budgets={BudgetId(name): Budget(Tokens(10**9)) for name in names},
    )


async def measure_point(size: Size) -> Point:
    """Start a fleet of a size, watch it, change its configuration."""
    async with open_fleet() as fleet, caller_session() as session:
        sized = _Fleet(fleet, size)
        await sized.start()
        url = f"http://{sized.router.address}"
        caller = Caller(session, [url], bearer_of(CustomerId("customer-0")))
        calls = [
            Call(CallKind.CHAT, ASSISTANT, f"q {n}", f"k-{n}", STREAM_TOKENS)
            for n in range(size.streams)
        ]
        streams = [asyncio.create_task(caller.call(call)) for call in calls]
        await asyncio.sleep(SETTLE_SECONDS)
        proxies = [
            sized.router_proxy,
            fleet.proxies_by_name["sidecar-1"],
            sized.sidecar_proxy,
        ]
        before = [await sized.bytes_of(proxy) for proxy in proxies]
        router, sidecar = await asyncio.gather(
            cost_over(sized.router, WATCH_SECONDS),
            cost_over(sized.sidecar, WATCH_SECONDS),
        )
        after = [await sized.bytes_of(proxy) for proxy in proxies]
        rates = [
            (end - start) / WATCH_SECONDS
            for start, end in zip(before, after, strict=True)
        ]
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
        changes = (None, None)
        if not size.streams:
            changes = await _cost_of_change(sized, router, sidecar)
    return Point(
        size=size,
        router=router,
        sidecar=sidecar,
        router_bytes_second=rates[0] + size.sidecars * rates[1] / size.routers,
        link_bytes_second=rates[1] / size.routers,
        sidecar_platform_bytes_second=rates[2],
        router_change_seconds=changes[0],
        sidecar_change_seconds=changes[1],
    )


async def _cost_of_change(
    sized: _Fleet, router: Cost, sidecar: Cost
) -> tuple[float, float]:
    """Return the processor time of a change beyond that of the idle time."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    before = cpu_seconds(sized.router), cpu_seconds(sized.sidecar)
    for _ in range(CHANGES):
        await sized.change()
    passed = loop.time() - start
    router_used = cpu_seconds(sized.router) - before[0] - passed * router.cpu_share
    sidecar_used = cpu_seconds(sized.sidecar) - before[1] - passed * sidecar.cpu_share
    return router_used / CHANGES, sidecar_used / CHANGES


async def libraries_alone() -> int:
    """Return the resident memory of an interpreter with the libraries, in bytes."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", ALONE_SCRIPT, stdout=asyncio.subprocess.PIPE
    )
    try:
        await process.stdout.readline()
        return psutil.Process(process.pid).memory_info().rss
    finally:
        process.kill()
        await process.wait()


def table_of(points: Sequence[Point]) -> str:
    """Return a Markdown table."""
    lines = [
        "| sidecars | routers | customers | streams | router CPU % | router MiB "
        "| router KiB/s | KiB/s per link | sidecar CPU % | sidecar MiB "
        "| sidecar-platform KiB/s | router ms per change | sidecar ms per change |",
        "|" + " --- |" * 13,
    ]
    lines += [_row(point) for point in points]
    return "\n".join(lines)


def _row(point: Point) -> str:
    size = point.size
    cells = [
        size.sidecars,
        size.routers,
        size.customers,
        size.streams,
        f"{point.router.cpu_share * 100:.2f}",
        f"{point.router.resident_bytes / MIB:.1f}",
        f"{point.router_bytes_second / KIB:.2f}",
        f"{point.link_bytes_second / KIB:.3f}",
        f"{point.sidecar.cpu_share * 100:.2f}",
        f"{point.sidecar.resident_bytes / MIB:.1f}",
        f"{point.sidecar_platform_bytes_second / KIB:.2f}",
        _milliseconds(point.router_change_seconds),
        _milliseconds(point.sidecar_change_seconds),
    ]
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def _milliseconds(seconds: float | None) -> str:
    return "-" if seconds is None else f"{seconds * 1000:.1f}"


async def _measure_all() -> None:
    alone = await libraries_alone()
    print(f"interpreter with libraries alone: {alone / MIB:.1f} MiB", flush=True)
    for name, sizes in (
        ("sidecars", SIDECARS),
        ("routers", ROUTERS),
        ("customers", CUSTOMERS),
        ("streams", STREAMS),
    ):
        points = [await measure_point(size) for size in sizes]
        print(f"\n{name}:\n\n{table_of(points)}", flush=True)


def main() -> None:
    """Measure all sizes and print their tables."""
    uvloop.run(_measure_all())


if __name__ == "__main__":
    main()
