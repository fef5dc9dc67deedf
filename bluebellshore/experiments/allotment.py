"""Compares allotment policies on fixed seeds.

The code that routers run (book, composer, journal) works on the in-memory table in
virtual time; requests, the platform's outages and partitions are made up.
"""

import asyncio
import heapq
import random
import sys
from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import TransactionCommitter
from bluebellshore.budget.policy import (
    AllotmentPolicy,
    FixedPolicy,
    HorizonPolicy,
    SharePolicy,
)
from bluebellshore.budget.rows import BudgetRow, IncarnationRow, decode_row
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.errors import PlatformError, PlatformUnavailableError
from bluebellshore.ids import BudgetId, IncarnationId, InstanceId, Tokens
from bluebellshore.store.interface import Row, Write
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["DEPLOYMENTS", "Deployment", "Fault", "Outcome", "Report", "run", "simulate"]

TICK_SECONDS = 0.25
SETTLE_TICKS = 2
HEARTBEAT_TICKS = 8
WAIT_TICKS = 8
RUN_SECONDS = 600.0
FAULT_SECONDS = (200.0, 380.0)
BYTES_PER_TOKEN = 4
MEAN_PROMPT_TOKENS = 400
MAX_OUTPUT_TOKENS = 512
MEAN_DURATION_SECONDS = 4.0
LARGE_CUSTOMERS = 3
LARGE_WEIGHT = 8
#: Prepaid tokens as a share of what a customer would spend in the whole run.
PREPAID_SHARES = (0.9, 1.5, 0.8, 3.0, 0.7)


class Fault(Enum):
    """What fails for three minutes of a run of ten."""

    NONE = "none"
    PARTITION = "partition"
    OUTAGE = "outage"


class Deployment(msgspec.Struct, frozen=True):
    """A deployment of the brief.

    :param rate: requests a second of all customers.
    :param caller_keyed: whether callers choose the request keys.
    """

    name: str
    routers: int
    sidecars: int
    rate: float
    customers: int = 10
    caller_keyed: bool = False


DEPLOYMENTS = (
    Deployment("Atlas Cadran", routers=3, sidecars=5, rate=6.0),
    Deployment("Stâlpeni", routers=4, sidecars=9, rate=10.0),
)

POLICIES: dict[str, Callable[[], AllotmentPolicy]] = {
    "fixed": FixedPolicy,
    "share": SharePolicy,
    "horizon": lambda: HorizonPolicy(600.0),
}


class Outcome(msgspec.Struct):
    """Counts of one run or the sum of several.

    :param false_refusals: refused although the prepaid rest covered the upper bound.
    :param idle_tokens: tokens held but not reserved, summed over the ticks.
    :param stranded_tokens: tokens that would stay held if one router and one sidecar
        died for good half-way.
    :param prepaid_tokens: sum of all budgets.
    """

    requests: int = 0
    refused: int = 0
    false_refusals: int = 0
    seconds: float = 0.0
    transactions: int = 0
    rows_written: int = 0
    reads: int = 0
    rows_read: int = 0
    conflicts: int = 0
    idle_tokens: float = 0.0
    ticks: int = 0
    stranded_tokens: int = 0
    prepaid_tokens: int = 0

    def add(self, other: "Outcome") -> None:
        """Add the counts of another run."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))


class Case(msgspec.Struct, frozen=True):
    """One line of the report."""

    deployment: str
    policy: str
    fault: Fault
    tokenizer: bool


class Report(msgspec.Struct):
    """Outcomes by case."""

    seeds: int
    outcomes: dict[Case, Outcome]

    def lines(self) -> list[str]:
        """Return a table in Markdown."""
        lines = [
            f"| deployment | policy | prompt bound | fault | requests ({self.seeds} "
            "seeds) | refused | falsely refused | transactions/s | rows written/s | "
            "rows read/s | idle tokens held | held by a double death |",
            "| --- " * 12 + "|",
        ]
        for case, outcome in self.outcomes.items():
            bound = "tokenizer" if case.tokenizer else "bytes"
            lines.append(
                f"| {case.deployment} | {case.policy} | {bound} | {case.fault.value} "
                f"| {outcome.requests} | {outcome.refused / outcome.requests:.2%} "
                f"| {outcome.false_refusals / outcome.requests:.2%} "
                f"| {outcome.transactions / outcome.seconds:.1f} "
                f"| {outcome.rows_written / outcome.seconds:.1f} "
                f"| {outcome.rows_read / outcome.seconds:.1f} "
                f"| {outcome.idle_tokens / outcome.ticks:,.0f} "
                f"| {outcome.stranded_tokens / outcome.prepaid_tokens:.2%} |"
            )
        return lines


class _CutTable:
    """A router's view of the table, which a partition cuts off."""

    def __init__(self, table: MemoryTable):
        self.cut = False
        self._table = table

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows."""
        if self.cut:
            raise PlatformUnavailableError("partition", step="table.read")
        return await self._table.read(keys)

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply writes."""
        if self.cut:
            raise PlatformUnavailableError("partition", step="table.transact")
        return await self._table.transact(writes)


class _Arrival(msgspec.Struct, eq=False):
    """A request; `bound` is its upper bound and `used` what it will use."""

    attempt: str
    budget: BudgetId
    sidecar: IncarnationId
    bound: Tokens
    used: Tokens
    seconds: float
    ticks_left: int = WAIT_TICKS


class _Router:
    """Book and journal of one router, with its waiting requests."""

    def __init__(
        self,
        table: MemoryTable,
        name: str,
        policy: AllotmentPolicy,
        prepaid: Callable[[BudgetId], Tokens | None],
    ):
        self.name = IncarnationId(name)
        self.table = _CutTable(table)
        self.accounts = AllotmentAccounts()
        self.waiting: list[_Arrival] = []
        self.started: list[_Arrival] = []
        self.committer = TransactionCommitter(
            self.table, self.name, self.accounts, policy, prepaid, lambda attempt: None
        )

    async def commit(self, tick: int, now: float) -> None:
        """Do what an accountant would do in this tick."""
        self.serve(now)
        settle = tick % SETTLE_TICKS == 0 and bool(self.accounts.unsettled_by_attempt)
        heartbeat = tick % HEARTBEAT_TICKS == 0
        demands: dict[BudgetId, Demand] = {}
        needs: dict[IncarnationId, dict[BudgetId, int]] = {}
        for waiting in self.waiting:
            known = demands.get(waiting.budget, Demand(waiting.bound, Tokens(0)))
            demands[waiting.budget] = Demand(
                min(known.smallest, waiting.bound), Tokens(known.total + waiting.bound)
            )
            by_budget = needs.setdefault(waiting.sidecar, {})
            by_budget[waiting.budget] = demands[waiting.budget].total
        if not (settle or heartbeat or demands):
            return
        request = CommitRequest(demands, needs, settle=settle, heartbeat=heartbeat)
        try:
            await self.committer.commit(request, now)
        except PlatformError:
            return
        self.serve(now)

    def serve(self, now: float) -> None:
        """Move waiting requests to ``started`` as tokens allow."""
        served = [a for a in self.waiting if self._reserve(a, now)]
        self.waiting = [a for a in self.waiting if a not in served]
        self.started.extend(served)

    def _reserve(self, arrival: _Arrival, now: float) -> bool:
        return self.accounts.reserve(
            arrival.budget, arrival.attempt, arrival.sidecar, arrival.bound, now
        )


class _Simulation:
    """One run of a deployment under one policy."""

    def __init__(self, deployment: Deployment, case: Case, seed: int):
        self.outcome = Outcome(seconds=RUN_SECONDS)
        self._deployment = deployment
        self._case = case
        self._rng = random.Random(seed)
        self._table = MemoryTable()
        self._running: list[tuple[float, str, _Router, _Arrival]] = []
        self._count = 0
        self._key_mark = "" if deployment.caller_keyed else "~"
        weights = [
            LARGE_WEIGHT if i < LARGE_CUSTOMERS else 1
            for i in range(deployment.customers)
        ]
        self._weights = weights
        self._budgets = [BudgetId(f"c{i}") for i in range(deployment.customers)]
        self._prepaid = {
            budget: self._prepaid_total(weight / sum(weights), index)
            for index, (budget, weight) in enumerate(
                zip(self._budgets, weights, strict=True)
            )
        }
        self._routers = [
            _Router(self._table, f"r{i}", POLICIES[case.policy](), self._prepaid.get)
            for i in range(deployment.routers)
        ]

    def _prepaid_total(self, share: float, index: int) -> Tokens:
        spend = MEAN_PROMPT_TOKENS + MAX_OUTPUT_TOKENS / 2
        total = self._deployment.rate * RUN_SECONDS * share * spend
        return Tokens(int(total * PREPAID_SHARES[index % len(PREPAID_SHARES)]))

    async def run(self) -> Outcome:
        """Run to the end. :return: the counts."""
        for router in self._routers:
            await router.committer.create(IncarnationRow(InstanceId(router.name)))
        arrival_at = 0.0
        for tick in range(int(RUN_SECONDS / TICK_SECONDS)):
            now = tick * TICK_SECONDS
            self._cut(now)
            self._finish(now)
            while arrival_at <= now:
                self._arrive()
                arrival_at += self._rng.expovariate(self._deployment.rate)
            routers = self._rng.sample(self._routers, len(self._routers))
            for router in routers:
                await router.commit(tick, now)
                self._start(router, now)
            for router in routers:
                self._refuse(router)
            self._measure()
            if now == RUN_SECONDS / 2:
                self._measure_double_death()
        counts = self._table.counts
        self.outcome.transactions = counts.transactions
        self.outcome.rows_written = counts.rows_written
        self.outcome.reads, self.outcome.rows_read = counts.reads, counts.rows_read
        self.outcome.conflicts = counts.conflicts
        return self.outcome

    def _cut(self, now: float) -> None:
        during = FAULT_SECONDS[0] <= now < FAULT_SECONDS[1]
        for index, router in enumerate(self._routers):
            everywhere = self._case.fault is Fault.OUTAGE
            one = self._case.fault is Fault.PARTITION and index == 0
            router.table.cut = during and (everywhere or one)

    def _arrive(self) -> None:
        rng = self._rng
        prompt = 1 + int(rng.expovariate(1 / MEAN_PROMPT_TOKENS))
        prompt_bound = prompt if self._case.tokenizer else prompt * BYTES_PER_TOKEN
        self._count += 1
        arrival = _Arrival(
            attempt=f"a{self._count}",
            budget=rng.choices(self._budgets, self._weights)[0],
            sidecar=IncarnationId(f"s{rng.randrange(self._deployment.sidecars)}"),
            bound=Tokens(prompt_bound + MAX_OUTPUT_TOKENS),
            used=Tokens(prompt + rng.randrange(MAX_OUTPUT_TOKENS + 1)),
            seconds=rng.expovariate(1 / MEAN_DURATION_SECONDS),
        )
        rng.choice(self._routers).waiting.append(arrival)
        self.outcome.requests += 1

    def _start(self, router: _Router, now: float) -> None:
        for arrival in router.started:
            entry = (now + arrival.seconds, arrival.attempt, router, arrival)
            heapq.heappush(self._running, entry)
        router.started.clear()

    def _finish(self, now: float) -> None:
        while self._running and self._running[0][0] <= now:
            _, _, router, arrival = heapq.heappop(self._running)
            receipt = Receipt(
                attempt=arrival.attempt,
                key=f"{arrival.budget}/{self._key_mark}{arrival.attempt}",
                incarnation=router.name,
                customer=arrival.budget,
                budget=arrival.budget,
                tokens=arrival.used,
                reserved_tokens=arrival.bound,
            )
            router.accounts.finish(receipt, now)

    def _refuse(self, router: _Router) -> None:
        for arrival in list(router.waiting):
            arrival.ticks_left -= 1
            if arrival.ticks_left:
                continue
            router.waiting.remove(arrival)
            self.outcome.refused += 1
            self.outcome.false_refusals += self._rest(arrival.budget) >= arrival.bound

    def _rest(self, budget: BudgetId) -> int:
        """Return the tokens that are neither spent nor reserved anywhere."""
        row = self._table.rows_by_key.get(f"budget/{budget}")
        settled = decode_row(row, BudgetRow).settled if row else 0
        accounts = [router.accounts.account(budget) for router in self._routers]
        spent = sum(account.reserved + account.unsettled for account in accounts)
        return self._prepaid[budget] - settled - spent

    def _measure(self) -> None:
        self.outcome.ticks += 1
        self.outcome.idle_tokens += sum(
            account.free
            for router in self._routers
            for account in router.accounts.by_budget.values()
        )

    def _measure_double_death(self) -> None:
        router = self._routers[0]
        for account in router.accounts.by_budget.values():
            self.outcome.stranded_tokens += min(account.outstanding, account.cap)
        self.outcome.prepaid_tokens += sum(self._prepaid.values())


def simulate(
    deployment: Deployment, policy: str, fault: Fault, tokenizer: bool, seed: int
) -> Outcome:
    """Run one deployment once."""
    case = Case(deployment.name, policy, fault, tokenizer)
    return asyncio.run(_Simulation(deployment, case, seed).run())


def run(seeds: int) -> Report:
    """Run all cases on `seeds` seeds each."""
    report = Report(seeds, {})
    cases = [(policy, False) for policy in POLICIES] + [("horizon", True)]
    for deployment in DEPLOYMENTS:
        for policy, tokenizer in cases:
            for fault in Fault:
                case = Case(deployment.name, policy, fault, tokenizer)
                total = report.outcomes.setdefault(case, Outcome())
                for seed in range(seeds):
                    total.add(simulate(deployment, policy, fault, tokenizer, seed))
    return report


if __name__ == "__main__":
    print("\n".join(run(int(sys.argv[1]) if len(sys.argv) > 1 else 3).lines()))
