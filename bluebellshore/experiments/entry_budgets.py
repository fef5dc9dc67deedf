"""Compares allotment sizes of routers without sidecars on short days.

The routers' own code runs on the in-memory table in virtual time; load and faults
are made up from fixed seeds.
"""

import argparse
import asyncio
import random
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from bluebellshore.budget import (
    AllotmentPolicy,
    FixedPolicy,
    HorizonPolicy,
    SharePolicy,
    StandbyPolicy,
)
from bluebellshore.budget.rows import BudgetRow, decode_row
from bluebellshore.entry.budgets import ACCOUNTANT_INTERVALS, CustomerBudgets
from bluebellshore.errors import InsufficientBudgetError, RefusedError
from bluebellshore.experiments.entry_links import (
    MemoryPeers,
    StoreClient,
    StoreState,
)
from bluebellshore.experiments.virtual_time import run_virtual
from bluebellshore.ids import CustomerId, Tokens
from bluebellshore.store.interface import TableChange
from bluebellshore.store.memory import MemoryTable

__all__ = ["DAYS", "POLICIES", "SITES", "Case", "Day", "Outcome", "simulate"]

LEAD_SECONDS = 4.0
DAY_SECONDS = 34.0
FEED_SECONDS = 0.35
RESTART_SECONDS = 1.5
WAIT_SECONDS = 0.5
#: Share of the prepaid total up to which a refusal is held against the routers, and
#: the time for which an ended request counts at its upper bound.
OWED_SHARE = 0.97
OWED_SECONDS = 1.5
HOT_SECONDS = (15.0, 21.0)
LARGE_CUSTOMERS = 3
LARGE_WEIGHT = 8.0
#: Prepaid total over expected use at the start; two top-ups bring the rest.
PREPAID_FACTOR = 1.3
PREPAID_SHARE = 0.8
TOP_UPS_AT = (10.0, 20.0)
OUTAGES = ((6.0, 14.0), (18.0, 26.0))
KILL_ONE_AT = 16.0
KILL_ALL_AT = 29.0
WAYS = {"yes": (True,), "no": (False,), "both": (True, False)}


class Kind(msgspec.Struct, frozen=True):
    """A kind of request.

    :param weight: its part of the load.
    """

    weight: float
    prompt: int
    output: int
    seconds: float


KINDS = (
    Kind(9.85, 9_190, 60, 0.9),
    Kind(12.0, 2_368, 30, 0.5),
    Kind(8.5, 715, 320, 2.5),
)


class Site(msgspec.Struct, frozen=True):
    """A size of fleet; `rate` is requests a second."""

    name: str
    routers: int
    customers: int
    rate: float


class Day(msgspec.Struct, frozen=True):
    """What fails on a day.

    :param herd_at: time at which all routers are killed.
    :param hot: factor of one large customer's load for six seconds.
    """

    name: str
    outages: bool = False
    kill_one: bool = False
    kill_all: bool = False
    herd_at: float | None = None
    hot: float = 2.2


SITES = (
    Site("5 routers", 5, 10, 30.0),
    Site("23 routers", 23, 24, 145.0),
    Site("68 routers", 68, 40, 330.0),
    Site("24 routers", 24, 24, 150.0),
    Site("31 routers", 31, 24, 500.0),
)
#: Routers at which the requests of one customer gather on a day with skewed traffic,
#: and the share of them that do.
GATHERING_ROUTERS = 2
GATHERED_SHARE = 0.85
DAYS = (
    Day("quiet"),
    Day("outages", outages=True),
    Day("kills", kill_one=True, kill_all=True),
    Day("herd", herd_at=15.0),
    Day("herd while out", outages=True, herd_at=12.0),
    Day("all", outages=True, kill_one=True, kill_all=True),
    Day("all, hot x3", outages=True, kill_one=True, kill_all=True, hot=3.0),
)


def _standby(standby: float, seconds: float) -> Callable[[int], AllotmentPolicy]:
    return lambda routers: StandbyPolicy(
        seconds, max(0.8, standby), standby, lambda: routers
    )


#: Policies by name, made for a number of routers; None is the one of the routers.
POLICIES: dict[str, Callable[[int], AllotmentPolicy | None]] = {
    "router": lambda _: None,
    "fixed 20,000": lambda _: FixedPolicy(),
    "share 0.1": lambda _: SharePolicy(),
    **{
        f"horizon {seconds} s": lambda _, seconds=seconds: HorizonPolicy(seconds)
        for seconds in (4, 8, 12)
    },
    **{
        f"standby {standby}, {seconds} s": _standby(standby, seconds)
        for standby in (0.3, 0.6, 0.8)
        for seconds in (4, 8, 12)
    },
}


class Case(msgspec.Struct, frozen=True):
    """One line of the report.

    :param loans: whether routers lend each other tokens.
    :param caps: whether the store's time is known, so that caps may lapse.
    :param settle: seconds between two settlements of a router.
    :param slow: routers on slow links share a store of one busy part.
    :param skewed: whether each customer's requests gather at few routers.
    """

    site: Site
    day: Day
    policy: str
    loans: bool = True
    caps: bool = True
    settle: float = ACCOUNTANT_INTERVALS.settle_seconds
    slow: bool = False
    skewed: bool = False

    def name(self) -> str:
        """Return the cells that tell the case."""
        loans, caps = ("yes" if mark else "no" for mark in (self.loans, self.caps))
        return (
            f"{self.site.name} | {self.day.name} | {self.policy} | {loans} | {caps} "
            f"| {self.settle} s"
        )


class Outcome(msgspec.Struct):
    """Counts of one day or the sum of several.

    :param owed: requests that fit into the owed share of the prepaid total.
    :param refused: owed requests that were refused.
    :param refused_out: of these, while the store was out.
    :param refused_402: of these, with 402.
    :param lost: tokens counted as spent for killed routers beyond what they spent.
    :param overspent: tokens spent beyond a prepaid total.
    """

    requests: int = 0
    owed: int = 0
    refused: int = 0
    refused_out: int = 0
    refused_402: int = 0
    lost: int = 0
    prepaid: int = 0
    overspent: int = 0
    transactions: int = 0
    rows_written: int = 0
    conflicts: int = 0
    peer_calls: int = 0
    loans: int = 0
    seconds: float = 0.0

    def add(self, other: "Outcome") -> None:
        """Add the counts of another day."""
        for name in self.__struct_fields__:
            setattr(self, name, getattr(self, name) + getattr(other, name))

    def line(self) -> str:
        """Return the cells of a table's row."""
        return (
            f"{self.refused / self.owed:.2%} | {self.refused_out / self.owed:.2%} "
            f"| {self.refused_402 / self.owed:.2%} | {self.lost / self.prepaid:.2%} "
            f"| {self.transactions / self.seconds:.1f} "
            f"| {self.conflicts / self.seconds:.1f} "
            f"| {self.rows_written / self.seconds:.0f} "
            f"| {self.peer_calls / self.seconds:.1f} | {self.overspent} "
            f"| {self.loans / self.requests:.3f}"
        )


class _Use(msgspec.Struct):
    """What a customer's requests used.

    :param recent: unused parts of bounds, still held against the total.
    """

    spent: int = 0
    reserved: int = 0
    recent: int = 0


class _Simulation:
    def __init__(self, case: Case, seed: int):
        self.outcome = Outcome(seconds=DAY_SECONDS)
        self._case = case
        self._site, self._day = case.site, case.day
        site = case.site
        self._rng = random.Random(seed)
        self._table = MemoryTable()
        self._store = StoreState(slow=case.slow)
        self._lives = 0
        self._routers: dict[int, CustomerBudgets] = {}
        self._peers = MemoryPeers(self._routers) if case.loans else None
        self._feeds: dict[int, asyncio.Task] = {}
        self._requests: set[asyncio.Task] = set()
        self._customers = [CustomerId(f"c{i}") for i in range(site.customers)]
        self._weights = [
            LARGE_WEIGHT if i < LARGE_CUSTOMERS else 1.0 for i in range(site.customers)
        ]
        # Callers keep their connections, so that load differs between routers.
        self._shares = [
            [self._rng.gammavariate(3.0, 1.0) for _ in range(site.routers)]
            for _ in self._customers
        ]
        if case.skewed:
            self._shares = [self._gather(shares) for shares in self._shares]
        kinds = sum(kind.weight for kind in KINDS)
        mean = sum(k.weight * (k.prompt + k.output / 2) for k in KINDS) / kinds
        total = site.rate * DAY_SECONDS * mean * PREPAID_FACTOR
        self._full = {
            customer: int(total * weight / sum(self._weights))
            for customer, weight in zip(self._customers, self._weights, strict=True)
        }
        self._prepaid = {
            customer: Tokens(int(full * PREPAID_SHARE))
            for customer, full in self._full.items()
        }
        self._uses = {customer: _Use() for customer in self._customers}

    def _gather(self, shares: list[float]) -> list[float]:
        """Return the shares of routers in a customer's load on a skewed day."""
        total = sum(shares)
        gathered = self._rng.sample(range(len(shares)), GATHERING_ROUTERS)
        few = total * GATHERED_SHARE / GATHERING_ROUTERS
        return [
            (1 - GATHERED_SHARE) * share + few * (index in gathered)
            for index, share in enumerate(shares)
        ]

    async def run(self) -> Outcome:
        """Play the day."""
        for index in range(self._site.routers):
            await self._start(index)
        await asyncio.sleep(LEAD_SECONDS)
        written = self._table.counts.transactions, self._table.counts.rows_written
        faults = asyncio.create_task(self._faults())
        await self._load()
        await faults
        await asyncio.gather(*self._requests)
        await asyncio.sleep(1.0)
        counts, outcome = self._table.counts, self.outcome
        outcome.transactions = counts.transactions - written[0]
        outcome.rows_written = counts.rows_written - written[1]
        outcome.conflicts = counts.conflicts
        outcome.peer_calls = self._peers.calls if self._peers else 0
        outcome.loans = self._peers.loans if self._peers else 0
        for index in list(self._routers):
            await self._routers[index].close()
            self._feeds[index].cancel()
        for customer, use in self._uses.items():
            row = decode_row(self._table.rows_by_key[f"budget/{customer}"], BudgetRow)
            outcome.lost += row.settled - use.spent
            outcome.prepaid += self._prepaid[customer]
        return outcome

    async def _start(self, index: int) -> None:
        self._lives += 1
        client = StoreClient(self._table, self._store)
        router = CustomerBudgets(
            client,
            f"r{index}",
            prepaid=self._prepaid.get,
            customers=lambda: self._customers,
            clock=asyncio.get_running_loop().time,
            rng=random.Random(self._rng.random()),
            policy=POLICIES[self._case.policy](self._site.routers),
            peers=self._peers,
            intervals=msgspec.structs.replace(
                ACCOUNTANT_INTERVALS, settle_seconds=self._case.settle
            ),
            store_time=(lambda: client.time) if self._case.caps else lambda: None,
            incarnation=f"r{index}.{self._lives}",
        )
        self._routers[index] = router
        await router.open()
        self._feeds[index] = asyncio.create_task(self._feed(router))

    async def _feed(self, router: CustomerBudgets) -> None:
        seen: dict[str, int] = {}
        while True:
            await asyncio.sleep(FEED_SECONDS * self._rng.uniform(0.5, 1.5))
            if self._store.out:
                continue
            rows = await self._table.scan("budget/")
            news = [row for row in rows if seen.get(row.key) != row.version]
            seen = {row.key: row.version for row in rows}
            router.apply(TableChange(news, {}, 0))

    async def _kill(self, index: int) -> None:
        router = self._routers.pop(index)
        self._feeds[index].cancel()
        for task in router._tasks:
            task.cancel()
        await asyncio.sleep(RESTART_SECONDS)
        await self._start(index)

    async def _faults(self) -> None:
        loop, day = asyncio.get_running_loop(), self._day
        began_at = loop.time()
        events: list[tuple[float, str]] = [(at, "top up") for at in TOP_UPS_AT]
        if day.outages:
            events += [(at, "out") for at, _ in OUTAGES]
            events += [(at, "back") for _, at in OUTAGES]
        if day.kill_one:
            events.append((KILL_ONE_AT, "kill one"))
        if day.kill_all:
            events.append((KILL_ALL_AT, "kill all"))
        if day.herd_at is not None:
            events.append((day.herd_at, "kill all"))
        for at, event in sorted(events):
            await asyncio.sleep(began_at + at - loop.time())
            await self._do(event)

    async def _do(self, event: str) -> None:
        if event == "top up":
            part = (1 - PREPAID_SHARE) / len(TOP_UPS_AT)
            for customer, full in self._full.items():
                self._prepaid[customer] += int(full * part)
        elif event in ("out", "back"):
            self._store.out = event == "out"
        else:
            indices = list(self._routers) if event == "kill all" else [0]
            for index in indices:
                self._spawn(self._kill(index))

    async def _load(self) -> None:
        rng, loop = self._rng, asyncio.get_running_loop()
        began_at = loop.time()
        weights = list(self._weights)
        extra = weights[0] * (self._day.hot - 1) / sum(weights)
        now = 0.0
        while True:
            hot = HOT_SECONDS[0] <= now < HOT_SECONDS[1]
            weights[0] = self._weights[0] * (self._day.hot if hot else 1.0)
            rate = self._site.rate * (1 + extra * hot)
            now += rng.expovariate(rate)
            if now >= DAY_SECONDS:
                return
            await asyncio.sleep(began_at + now - loop.time())
            number = rng.choices(range(len(weights)), weights)[0]
            kind = rng.choices(KINDS, [kind.weight for kind in KINDS])[0]
            live = sorted(self._routers)
            if live:
                shares = [self._shares[number][index] for index in live]
                index = rng.choices(live, shares)[0]
                self._spawn(self._request(index, self._customers[number], kind))

    def _spawn(self, coroutine) -> None:
        task = asyncio.ensure_future(coroutine)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)

    async def _request(self, index: int, customer: CustomerId, kind: Kind) -> None:
        rng, use, outcome = self._rng, self._uses[customer], self.outcome
        router = self._routers[index]
        bound = Tokens(kind.prompt + kind.output)
        cost = Tokens(kind.prompt + rng.randint(kind.output // 4, kind.output))
        outcome.requests += 1
        attempt = f"a{outcome.requests}"
        held = use.spent + use.reserved + use.recent + bound
        owed = held <= OWED_SHARE * self._prepaid[customer]
        outcome.owed += owed
        try:
            await router.reserve(customer, attempt, bound, wait_seconds=WAIT_SECONDS)
        except RefusedError as error:
            outcome.refused += owed
            outcome.refused_out += owed and self._store.out
            outcome.refused_402 += owed and isinstance(error, InsufficientBudgetError)
            return
        if self._routers.get(index) is not router:
            return
        use.reserved += bound
        over = use.spent + use.reserved - self._prepaid[customer]
        outcome.overspent += max(0, over)
        await asyncio.sleep(rng.expovariate(1 / kind.seconds))
        use.reserved -= bound
        use.spent += cost
        if self._routers.get(index) is router:
            router.settle(attempt, cost)
        use.recent += bound - cost
        await asyncio.sleep(OWED_SECONDS)
        use.recent -= bound - cost


def simulate(case: Case, seed: int) -> Outcome:
    """Play one day."""
    return run_virtual(_Simulation(case, seed).run())


def _play(case: Case, seeds: int) -> Outcome:
    total = Outcome()
    for seed in range(seeds):
        total.add(simulate(case, seed))
    return total


def main() -> None:
    """Print a table in Markdown."""
    parser = argparse.ArgumentParser()
    parser.add_argument("seeds", type=int, nargs="?", default=3)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--days", nargs="*", default=[day.name for day in DAYS])
    parser.add_argument("--sites", nargs="*", default=[site.name for site in SITES])
    parser.add_argument("--loans", choices=list(WAYS), default="yes")
    parser.add_argument("--caps", choices=list(WAYS), default="yes")
    parser.add_argument(
        "--settle", type=float, nargs="*", default=[ACCOUNTANT_INTERVALS.settle_seconds]
    )
    parser.add_argument("--slow", action="store_true")
    parser.add_argument("--skewed", action="store_true")
    parser.add_argument("--processes", type=int, default=2)
    options = parser.parse_args()
    cases = [
        Case(site, day, policy, loans, caps, settle, options.slow, options.skewed)
        for site in SITES
        if site.name in options.sites
        for day in DAYS
        if day.name in options.days
        for policy in options.policies
        for loans in WAYS[options.loans]
        for caps in WAYS[options.caps]
        for settle in options.settle
    ]
    print(
        "| site | day | policy | loans | caps | settle | owed, refused | while out "
        "| with 402 | lost to the dead | transactions/s | conflicts/s | rows/s "
        "| peer calls/s | overspent | loans/request |"
    )
    print("| --- " * 16 + "|")
    with ProcessPoolExecutor(options.processes) as pool:
        seeds = [options.seeds] * len(cases)
        for case, total in zip(cases, pool.map(_play, cases, seeds), strict=True):
            print(f"| {case.name()} | {total.line()} |", flush=True)


if __name__ == "__main__":
    main()
