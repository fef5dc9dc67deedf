"""Benchmark of what a router and a sidecar add: time, processor and memory.

Run with ``python -m bluebellshore.load.speed``.
"""

import asyncio
import random
import time
from collections.abc import Sequence

import aiohttp
import msgspec
import uvloop

from bluebellshore.load.caller import Caller, caller_session
from bluebellshore.load.deployments import (
    ATLAS_CADRAN,
    MODEL,
    Deployment,
    RunningDeployment,
    bearer_of,
    first_bundle,
    start_deployment,
)
from bluebellshore.load.fleet import open_fleet
from bluebellshore.load.measures import Latency, latency_of
from bluebellshore.load.process import FleetError
from bluebellshore.load.results import Call, CallKind, CallOutcome, CallResult
from bluebellshore.load.usage import cpu_seconds, resident_bytes

__all__ = ["SpeedReport", "Times", "main", "measure_speed"]

ENGINES = 4
CALLS = 20
TOKENS = 64
LOAD_STREAMS_PER_ENGINE = 32
LOAD_TOKENS = 400
OPEN_STREAMS = 200
OPEN_TOKENS = 30
ENGINE = {"batch_slowdown": 0.0, "capacity": 1024, "prefix_cache_bytes": 0}
MILLISECONDS = 1000
KIB = 1024


class Times(msgspec.Struct, frozen=True):
    """Times that callers saw."""

    first_token: Latency
    between_tokens: Latency


class SpeedReport(msgspec.Struct, frozen=True):
    """What the benchmark showed.

    :param direct: calls made to the engine itself.
    :param through: calls made through a router and a sidecar.
    :param tokens_per_second: of all streams, under load.
    :param tokens_per_router_core: tokens for each second of the router's time.
    :param tokens_per_sidecar_core: likewise for one sidecar.
    :param tokens_per_frame: tokens for each message that the router's links received.
    :param router_idle_bytes: resident memory before the open streams.
    :param router_stream_bytes: resident memory for each open stream.
    """

    direct: Times
    through: Times
    tokens_per_second: float
    tokens_per_router_core: float
    tokens_per_sidecar_core: float
    tokens_per_frame: float
    router_idle_bytes: int
    router_stream_bytes: float
    sidecar_idle_bytes: int
    sidecar_stream_bytes: float


def _deployment() -> Deployment:
    return msgspec.structs.replace(ATLAS_CADRAN, engines=ENGINES, services=0)


def _wide_bundle():
    bundle = first_bundle(_deployment())
    versions = {
        name: msgspec.structs.replace(version, concurrency=512)
        for name, version in bundle.versions.items()
    }
    return msgspec.structs.replace(bundle, versions=versions)


class _Bench:
    """Calls that the benchmark makes."""

    def __init__(self, session: aiohttp.ClientSession):
        self._session = session
        self._numbers = iter(range(10**9))

    async def stream(self, urls: Sequence[str], tokens: int) -> CallResult:
        """Stream one chat. :raises FleetError: it was not whole."""
        number = next(self._numbers)
        customer = next(iter(ATLAS_CADRAN.weights_by_customer))
        caller = Caller(
            self._session, urls, bearer_of(customer), rng=random.Random(number)
        )
        text = f"question {number}"
        call = Call(CallKind.CHAT, "assistant", text, f"speed-{number}", tokens)
        result = await caller.call(call)
        if result.outcome is not CallOutcome.WHOLE or result.attempts > 1:
            raise FleetError(f"call not whole: {result.reason}", step="speed")
        return result

    async def one_by_one(self, urls: Sequence[str]) -> Times:
        """Time streams that run alone."""
        results = [await self.stream(urls, TOKENS) for _ in range(CALLS)]
        return Times(
            latency_of(result.first_token_seconds for result in results),
            latency_of(gap for result in results for gap in result.gaps_seconds),
        )

    async def at_once(self, urls: Sequence[str], count: int, tokens: int) -> float:
        """Run streams side by side. :return: tokens a second."""
        start = time.monotonic()
        streams = (self.stream(urls, tokens) for _ in range(count))
        await asyncio.gather(*streams)
        return count * tokens / (time.monotonic() - start)


async def measure_speed() -> SpeedReport:
    """Run the benchmark: one router, four engines with a sidecar each."""
    async with open_fleet() as fleet, caller_session() as session:
        running = await start_deployment(
            fleet,
            _deployment(),
            _wide_bundle(),
            routers=1,
            engine_settings={"model": MODEL, **ENGINE},
        )
        bench = _Bench(session)
        engine_urls = [f"http://{engine.address}" for engine in running.engines]
        await bench.at_once(running.urls, 32, TOKENS)
        direct = await bench.one_by_one(engine_urls)
        through = await bench.one_by_one(running.urls)
        load = await _under_load(bench, running)
    idle_router, open_router, idle_sidecar, open_sidecar = await _with_open_streams()
    return SpeedReport(
        direct=direct,
        through=through,
        tokens_per_second=load.tokens_per_second,
        tokens_per_router_core=load.tokens_per_router_core,
        tokens_per_sidecar_core=load.tokens_per_sidecar_core,
        tokens_per_frame=load.tokens_per_frame,
        router_idle_bytes=idle_router,
        router_stream_bytes=(open_router - idle_router) / OPEN_STREAMS,
        sidecar_idle_bytes=idle_sidecar,
        sidecar_stream_bytes=(open_sidecar - idle_sidecar) / (OPEN_STREAMS / ENGINES),
    )


class _LoadRates(msgspec.Struct, frozen=True):
    """Rates of many streams at once; see :class:`SpeedReport`."""

    tokens_per_second: float
    tokens_per_router_core: float
    tokens_per_sidecar_core: float
    tokens_per_frame: float


async def _frames_received(running: RunningDeployment) -> int:
    state = await running.fleet.state_of(running.routers[0].name)
    return sum(sidecar["frames_received"] for sidecar in state["sidecars"])


async def _under_load(bench: _Bench, running: RunningDeployment) -> _LoadRates:
    router, sidecars = running.routers[0], running.sidecars
    frames_before = await _frames_received(running)
    router_before = cpu_seconds(router)
    sidecars_before = sum(cpu_seconds(sidecar) for sidecar in sidecars)
    count = ENGINES * LOAD_STREAMS_PER_ENGINE
    rate = await bench.at_once(running.urls, count, LOAD_TOKENS)
    tokens = count * LOAD_TOKENS
    router_used = cpu_seconds(router) - router_before
    sidecars_used = sum(cpu_seconds(s) for s in sidecars) - sidecars_before
    frames = await _frames_received(running) - frames_before
    return _LoadRates(
        rate, tokens / router_used, tokens / sidecars_used, tokens / frames
    )


async def _with_open_streams() -> tuple[int, int, int, int]:
    """Hold streams open at engines that generate slowly. :return: memory in bytes."""
    slow = {"model": MODEL, **ENGINE, "between_tokens_seconds": 0.5}
    async with open_fleet() as fleet, caller_session() as session:
        running = await start_deployment(
            fleet, _deployment(), _wide_bundle(), routers=1, engine_settings=slow
        )
        bench = _Bench(session)
        router, sidecar = running.routers[0], running.sidecars[0]
        await bench.at_once(running.urls, 8, 2)
        before = resident_bytes(router), resident_bytes(sidecar)
        streams = asyncio.ensure_future(
            bench.at_once(running.urls, OPEN_STREAMS, OPEN_TOKENS)
        )
        await asyncio.sleep(OPEN_TOKENS * 0.5 * 0.6)
        after = resident_bytes(router), resident_bytes(sidecar)
        await streams
    return before[0], after[0], before[1], after[1]


def _line(name: str, latency: Latency) -> str:
    values = (latency.median, latency.p95, latency.p99)
    shown = " / ".join(f"{value * MILLISECONDS:.2f}" for value in values)
    return f"{name}: {shown} ms (median / p95 / p99, {latency.count})"


def lines_of(report: SpeedReport) -> list[str]:
    """Return a report as lines of text."""
    return [
        _line("first token, engine alone", report.direct.first_token),
        _line("first token, through the fleet", report.through.first_token),
        _line("between tokens, engine alone", report.direct.between_tokens),
        _line("between tokens, through the fleet", report.through.between_tokens),
        f"tokens a second, {ENGINES * LOAD_STREAMS_PER_ENGINE} streams: "
        f"{report.tokens_per_second:.0f}",
        f"tokens for a second of a router's core: {report.tokens_per_router_core:.0f}",
        f"tokens for a second of a sidecar's core: "
        f"{report.tokens_per_sidecar_core:.0f}",
        f"tokens for each message on the router's links: {report.tokens_per_frame:.1f}",
        f"router: idle {report.router_idle_bytes / KIB:.0f} KiB, "
        f"{report.router_stream_bytes / KIB:.1f} KiB for each open stream",
        f"sidecar: idle {report.sidecar_idle_bytes / KIB:.0f} KiB, "
        f"{report.sidecar_stream_bytes / KIB:.1f} KiB for each open stream",
    ]


def main() -> None:
    """Run the benchmark and print what it showed."""
    for line in lines_of(uvloop.run(measure_speed())):
        print(line)


if __name__ == "__main__":
    main()
