"""Measures routers that contend for one budget's row, in real time."""

import asyncio
import random
import statistics
import time

import msgspec

from bluebellshore.budget import Accountant, HorizonPolicy
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, IncarnationId, InstanceId, Tokens
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["Outcome", "main", "measure"]

BUDGET = BudgetId("hot")
PREPAID = Tokens(10**9)
TABLE_SECONDS = 0.002
RUN_SECONDS = 8.0
RATE = 4.0
REQUEST_TOKENS = Tokens(600)
WAIT_SECONDS = 5.0
SIZES = (4, 16, 64)


class Outcome(msgspec.Struct):
    """What a number of routers did."""

    requests: int = 0
    refused: int = 0
    transactions: int = 0
    conflicts: int = 0
    waits: list[float] = msgspec.field(default_factory=list)


async def _drive(accountant: Accountant, name: str, outcome: Outcome) -> None:
    rng = random.Random(name)
    ends = time.perf_counter() + RUN_SECONDS
    number = 0
    while time.perf_counter() < ends:
        await asyncio.sleep(rng.expovariate(RATE))
        number += 1
        attempt = f"{name}-{number}"
        started = time.perf_counter()
        outcome.requests += 1
        try:
            await accountant.reserve(
                BUDGET,
                attempt,
                IncarnationId("s1"),
                REQUEST_TOKENS,
                wait_seconds=WAIT_SECONDS,
            )
        except RefusedError:
            outcome.refused += 1
            continue
        outcome.waits.append(time.perf_counter() - started)
        receipt = Receipt(
            attempt=attempt,
            key=f"hot/~{attempt}",
            incarnation=name,
            budget=BUDGET,
            tokens=REQUEST_TOKENS // 2,
            reserved_tokens=REQUEST_TOKENS,
        )
        accountant.settle(receipt)


async def measure(routers: int) -> Outcome:
    """Run `routers` accountants over one budget."""
    table = MemoryTable()
    table.faults.delay_seconds = TABLE_SECONDS
    outcome = Outcome()
    accountants = {
        f"r{n}": Accountant(
            table,
            IncarnationId(f"r{n}"),
            HorizonPolicy(600.0),
            prepaid=lambda budget: PREPAID,
            rng=random.Random(n),
        )
        for n in range(routers)
    }
    for name, accountant in accountants.items():
        await accountant.open(InstanceId(name))
    tasks = [asyncio.create_task(a.run()) for a in accountants.values()]
    drives = [_drive(a, name, outcome) for name, a in accountants.items()]
    await asyncio.gather(*drives)
    outcome.transactions = table.counts.transactions
    outcome.conflicts = table.counts.conflicts
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return outcome


def main() -> None:
    """Print a table in Markdown."""
    print(
        "| routers | requests/s | refused | transactions/s | conflicts/s | "
        "median wait | 99th percentile |"
    )
    print("| --- " * 7 + "|")
    for routers in SIZES:
        outcome = asyncio.run(measure(routers))
        waits = [wait * 1000 for wait in outcome.waits]
        last = statistics.quantiles(waits, n=100)[98]
        print(
            f"| {routers} | {outcome.requests / RUN_SECONDS:.0f} | {outcome.refused} "
            f"| {outcome.transactions / RUN_SECONDS:.0f} "
            f"| {outcome.conflicts / RUN_SECONDS:.0f} "
            f"| {statistics.median(waits):.1f} ms | {last:.0f} ms |"
        )


if __name__ == "__main__":
    main()
