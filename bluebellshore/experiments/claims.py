"""Measures group commit of claims against one transaction a claim."""

import asyncio
import statistics
import time

import msgspec

from bluebellshore.duties import Claims
from bluebellshore.duties.group_commit import GROUP_WINDOW_SECONDS
from bluebellshore.ids import IncarnationId, RequestKey
from bluebellshore.store.memory import MemoryTable

__all__ = ["Outcome", "main", "measure"]

TABLE_SECONDS = 0.005
CLAIMS = 400
CONCURRENCIES = (1, 8, 64)


class Outcome(msgspec.Struct, frozen=True):
    """What a number of claims cost."""

    transactions: int
    median_seconds: float


async def measure(concurrency: int, group_window_seconds: float) -> Outcome:
    """Make claims with `concurrency` calls in flight.

    :param group_window_seconds: time for which claims are collected; negative for a
        transaction a claim.
    """
    table = MemoryTable()
    table.faults.delay_seconds = TABLE_SECONDS
    shared = Claims(table, group_window_seconds=max(0.0, group_window_seconds))
    seconds: list[float] = []
    numbers = iter(range(CLAIMS))

    async def caller() -> None:
        for number in numbers:
            claims = (
                shared
                if group_window_seconds >= 0
                else Claims(table, group_window_seconds=0.0)
            )
            key = RequestKey(f"acme/order-{number}")
            started = time.perf_counter()
            await claims.claim(key, IncarnationId("s1"), IncarnationId("r1"), "f")
            seconds.append(time.perf_counter() - started)

    await asyncio.gather(*(caller() for _ in range(concurrency)))
    return Outcome(table.counts.transactions, statistics.median(seconds))


def main() -> None:
    """Print a table in Markdown."""
    print("| calls in flight | way | transactions a claim | median wait |")
    print("| --- | --- | --- | --- |")
    ways = {"one by one": -1.0, "group commit": GROUP_WINDOW_SECONDS}
    for concurrency in CONCURRENCIES:
        for way, group_window_seconds in ways.items():
            outcome = asyncio.run(measure(concurrency, group_window_seconds))
            share = outcome.transactions / CLAIMS
            wait = outcome.median_seconds * 1000
            print(f"| {concurrency} | {way} | {share:.2f} | {wait:.1f} ms |")


if __name__ == "__main__":
    main()
