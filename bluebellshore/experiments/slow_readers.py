"""Measures bytes held for slow readers, with and without credit."""

import argparse
import asyncio
import hashlib
import pathlib
import statistics
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass

import msgspec

from bluebellshore.bundle.model import (
    Budget,
    Bundle,
    Customer,
    Priority,
    Route,
    RouteKind,
    Version,
)
from bluebellshore.load.caller import Caller, caller_session
from bluebellshore.load.fleet import Fleet, open_fleet, wait_until
from bluebellshore.load.process import ManagedProcess
from bluebellshore.load.results import Call, CallKind, CallOutcome, ReadPace
from bluebellshore.standin.engine import expected_text
from bluebellshore.standin.generation import ChatRequest, Message

__all__ = ["Measurement", "main", "measure"]

MODEL = "chat"
VERSION = "chat-v1"
BEARER = "key-of-reader"
#: An engine's stream of 2 ms a token is about 130 KB/s; 1.3 KB/s is a hundredth.
BETWEEN_TOKENS_SECONDS = 0.002
SLOW_CHUNK_BYTES = 325
SLOW_PAUSE_SECONDS = 0.25
SLOW_SECONDS = 8.0
ANSWER_TOKENS = 3000
QUICK_CALLS = 40
QUICK_TOKENS = 20
SAMPLE_SECONDS = 0.25
RECEIVE_BUFFER_BYTES = 4096
KIB = 1024


@dataclass
class Measurement:
    """Peaks while readers were slow.

    :param router_growth: growth of the router's resident memory, in KiB.
    :param quick_seconds: median time of other callers' answers.
    """

    credit_bytes: int
    readers: int
    router_held: int = 0
    sidecar_held: int = 0
    router_growth: int = 0
    sidecar_growth: int = 0
    quick_seconds: float = 0.0
    whole: int = 0


def experiment_bundle() -> Bundle:
    """Return a bundle with one customer and one model."""
    key_hash = hashlib.sha256(BEARER.encode()).hexdigest()
    return Bundle(
        number=1,
        parent=0,
        customers={"reader": Customer(budget="reader", key_hashes=[key_hash])},
        budgets={"reader": Budget(100_000_000)},
        versions={VERSION: Version(concurrency=256, model=MODEL)},
        routes={MODEL: Route(RouteKind.MODEL, VERSION, Priority.INTERACTIVE)},
    )


def chat(text: str, tokens: int) -> Call:
    """Return a call whose right answer is known."""
    request = ChatRequest(MODEL, [Message("user", text)], max_tokens=tokens)
    expected = expected_text(request)
    return Call(CallKind.CHAT, MODEL, text, max_tokens=tokens, expected=expected)


class PacedCaller(Caller):
    """Caller that reads slowly until told to hurry."""

    def hurry(self) -> None:
        """Read without pauses from now on."""
        self.pace = msgspec.structs.replace(self.pace, pause_seconds=0.0)


@asynccontextmanager
async def small_fleet(
    credit_bytes: int,
) -> AsyncIterator[tuple[Fleet, ManagedProcess, ManagedProcess]]:
    """Run one engine, one sidecar and one router."""
    async with open_fleet() as fleet:
        await fleet.start_platform()
        await fleet.submit_bundle(experiment_bundle())
        engine = await fleet.start_engine(
            version=VERSION,
            model=MODEL,
            capacity=512,
            batch_slowdown=0.0,
            between_tokens_seconds=BETWEEN_TOKENS_SECONDS,
        )
        sidecar = await fleet.start_sidecar(engine, VERSION, [MODEL], "zone-a")
        router = await fleet.start_router("zone-a", credit_bytes=credit_bytes)
        yield fleet, sidecar, router


async def state_of(fleet: Fleet, process: ManagedProcess) -> dict:
    """Return the state dump of a process."""
    headers = {"Authorization": f"Bearer {fleet.operator_token}"}
    url = f"http://{process.operator_address}/state"
    async with fleet.session.get(url, headers=headers) as response:
        return await response.json()


def resident_kib(process: ManagedProcess) -> int:
    """Return the resident memory of a process in KiB."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1])


async def measure(credit_bytes: int, readers: int) -> Measurement:
    """Run `readers` slow readers beside quick callers."""
    result = Measurement(credit_bytes, readers)
    pace = ReadPace(SLOW_PAUSE_SECONDS, SLOW_CHUNK_BYTES)
    async with (
        small_fleet(credit_bytes) as (fleet, sidecar, router),
        caller_session(RECEIVE_BUFFER_BYTES) as slow_session,
    ):
        urls = [f"http://{router.address}"]
        quick = Caller(fleet.session, urls, BEARER)
        await quick.call(chat("first", QUICK_TOKENS))
        before = resident_kib(router), resident_kib(sidecar)
        slow = [
            PacedCaller(slow_session, urls, BEARER, pace=pace) for _ in range(readers)
        ]
        calls = [
            asyncio.ensure_future(caller.call(chat(f"slow {number}", ANSWER_TOKENS)))
            for number, caller in enumerate(slow)
        ]
        sampler = asyncio.ensure_future(sample(fleet, sidecar, router, before, result))
        result.quick_seconds = await run_quick(quick)
        await sampler
        for caller in slow:
            caller.hurry()
        outcomes = [(await call).outcome for call in calls]
        result.whole = outcomes.count(CallOutcome.WHOLE)
    return result


async def sample(
    fleet: Fleet,
    sidecar: ManagedProcess,
    router: ManagedProcess,
    before: tuple[int, int],
    result: Measurement,
) -> None:
    """Note the peaks for as long as the readers are slow."""
    end = asyncio.get_running_loop().time() + SLOW_SECONDS

    async def is_over() -> bool:
        held = (await state_of(fleet, router))["streams_held_bytes"]
        result.router_held = max(result.router_held, held)
        held = (await state_of(fleet, sidecar))["held_bytes"]
        result.sidecar_held = max(result.sidecar_held, held)
        growth = resident_kib(router) - before[0]
        result.router_growth = max(result.router_growth, growth)
        growth = resident_kib(sidecar) - before[1]
        result.sidecar_growth = max(result.sidecar_growth, growth)
        await asyncio.sleep(SAMPLE_SECONDS)
        return asyncio.get_running_loop().time() >= end

    await wait_until(is_over, "the end of the slow phase")


async def run_quick(caller: Caller) -> float:
    """Make quick calls one after another. :return: median seconds."""
    times = []
    for number in range(QUICK_CALLS):
        result = await caller.call(chat(f"quick {number}", QUICK_TOKENS))
        if result.outcome is not CallOutcome.WHOLE:
            raise RuntimeError(f"a quick call failed: {result.reason}")
        times.append(result.finished - result.started)
        await asyncio.sleep(0.1)
    return statistics.median(times)


def row_of(result: Measurement) -> str:
    """Return a row of the table."""
    cells = (
        result.credit_bytes // KIB or "off",
        result.readers,
        result.router_held // KIB,
        result.router_growth,
        result.sidecar_held // KIB,
        result.sidecar_growth,
        f"{result.quick_seconds * 1000:.0f}",
        f"{result.whole}/{result.readers}",
    )
    return "| " + " | ".join(map(str, cells)) + " |"


def main(arguments: Sequence[str]) -> None:
    """Print one row for each credit and number of readers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--readers", type=int, nargs="+", default=[1, 4, 16, 64])
    parser.add_argument("--credit", type=int, nargs="+", default=[0, 64 * KIB])
    chosen = parser.parse_args(arguments)
    for credit_bytes in chosen.credit:
        for readers in chosen.readers:
            print(row_of(asyncio.run(measure(credit_bytes, readers))), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
