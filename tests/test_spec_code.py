"""Runs committer, accounts and reclaimer along random traces of the allotment model.

The actions have the names of the model's actions. Answers may be lost, and writes may
take effect late. The model's invariants are checked after each step: no overspending,
no double bill, and accounts that agree with the stored rows.
"""

import asyncio
import random
import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import TransactionCommitter
from bluebellshore.budget.reclaim import Reclaimer
from bluebellshore.budget.rows import (
    BudgetRow,
    IncarnationRow,
    IncarnationState,
    LedgerRow,
    decode_row,
    is_caller_keyed,
)
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.errors import PlatformError
from bluebellshore.store.cache import CachedTable
from tests.test_budget_accountant import DelayedWriteTable, receipt

ROUTERS = ("r1", "r2")
SIDECARS = ("s1", "s2")
KEYS = ("acme/k1", "acme/k2", "", "", "")
MAX_TOKENS = 120
WEIGHTS = {
    "reserve": 6,
    "send": 6,
    "finish": 5,
    "settle_receipts": 4,
    "compose": 6,
    "land": 2,
    "acknowledge": 1,
    "top_up": 1,
    "reclaim": 1,
    "partition": 1,
}
STEPS = st.lists(
    st.tuples(
        st.sampled_from([n for n, weight in WEIGHTS.items() for _ in range(weight)]),
        st.integers(0, 2**16),
    ),
    min_size=90,
    max_size=120,
)


class Sidecar:
    """A sidecar with its running attempts, unacknowledged receipts and fences."""

    def __init__(self):
        self.running = {}
        self.receipts = {}
        self.fenced = set()
        self.reachable = True

    def receipts_of(self, router):
        return [r for r in self.receipts.values() if r.incarnation == router]

    def finish(self, attempt, tokens):
        finished = self.running.pop(attempt)
        finished.tokens = tokens
        self.receipts[attempt] = finished

    def confirm_fence(self, router):
        if not self.reachable:
            return None
        self.fenced.add(router)
        if any(r.incarnation == router for r in self.running.values()):
            return None
        return self.receipts_of(router)


class RandomPolicy:
    """Draws and returns random numbers of tokens."""

    def __init__(self, rng):
        self.rng = rng

    def grant(self, view):
        return self.rng.choice((0, 0, 50, 150))

    def surplus(self, view):
        return self.rng.choice((0, 0, 0, view.free // 2, view.free))


class AllotmentSimulation:
    """Two routers and two sidecars that share one budget.

    :param cache_rows: whether the routers cache the rows that they read.
    """

    def __init__(self, *, cache_rows=False):
        self.loop = asyncio.new_event_loop()
        self.rng = random.Random(0)
        self.table = DelayedWriteTable()
        self.prepaid = 600
        self.now = 0.0
        self.attempt_count = 0
        self.sidecars = {name: Sidecar() for name in SIDECARS}
        self.unsent_by_attempt = {}
        self.acknowledged = []
        self.accounts_by_router = {
            name: AllotmentAccounts(min_cap=60) for name in ROUTERS
        }
        self.committers = {
            name: TransactionCommitter(
                CachedTable(self.table) if cache_rows else self.table,
                name,
                self.accounts_by_router[name],
                RandomPolicy(self.rng),
                lambda budget: self.prepaid,
                self.acknowledged.append,
            )
            for name in ROUTERS
        }
        for name, committer in self.committers.items():
            self.run(committer.create(IncarnationRow(instance_id=name)))
        self.reclaimer = Reclaimer(
            self.table, "r9", self, clock=lambda: self.now, reclaim_after_seconds=10
        )

    def run(self, awaitable):
        return self.loop.run_until_complete(awaitable)

    async def connected(self, incarnation):
        return False

    async def fence(self, sidecar, incarnation):
        return self.sidecars[sidecar].confirm_fence(incarnation)

    def step(self, name, number):
        self.rng.seed(number)
        getattr(self, name)()
        self.check_safety()
        for router in ROUTERS:
            self.check_balance(router)

    def top_up(self):
        self.prepaid += self.rng.randint(1, MAX_TOKENS)

    def reserve(self):
        router, sidecar = self.rng.choice(ROUTERS), self.rng.choice(SIDECARS)
        tokens = self.rng.randint(1, MAX_TOKENS)
        self.attempt_count += 1
        attempt = f"{router}-{self.attempt_count}"
        accounts = self.accounts_by_router[router]
        if not accounts.reserve("acme", attempt, sidecar, tokens, self.now):
            demands = {"acme": Demand(tokens, tokens)}
            self.commit(router, CommitRequest(demands, {sidecar: {"acme": tokens}}))
            if not accounts.reserve("acme", attempt, sidecar, tokens, self.now):
                return
        self.unsent_by_attempt[attempt] = receipt(
            attempt,
            0,
            key=self.rng.choice(KEYS),
            incarnation=router,
            reserved=tokens,
        )

    def send(self):
        if not self.unsent_by_attempt:
            return
        attempt = self.rng.choice(sorted(self.unsent_by_attempt))
        request = self.unsent_by_attempt.pop(attempt)
        accounts = self.accounts_by_router[request.incarnation]
        sidecar = self.sidecars[accounts.reservations_by_attempt[attempt].sidecar]
        if self.rng.random() < 0.8 and request.incarnation not in sidecar.fenced:
            sidecar.running[attempt] = request
        else:
            accounts.release(attempt, self.now)

    def finish(self):
        sidecar = self.sidecars[self.rng.choice(SIDECARS)]
        if sidecar.running:
            attempt = self.rng.choice(sorted(sidecar.running))
            sidecar.finish(attempt, self.rng.randint(0, MAX_TOKENS))

    def settle_receipts(self):
        router = self.rng.choice(ROUTERS)
        for sidecar in self.sidecars.values():
            for finished in sidecar.receipts_of(router):
                self.accounts_by_router[router].finish(finished, self.now)

    def acknowledge(self):
        for sidecar in self.sidecars.values():
            for attempt in self.acknowledged:
                sidecar.receipts.pop(attempt, None)

    def compose(self):
        self.now += 1
        heartbeat = self.rng.random() < 0.5
        request = CommitRequest({}, {}, settle=True, heartbeat=heartbeat)
        self.commit(self.rng.choice(ROUTERS), request)

    def commit(self, router, request):
        self.with_faults(lambda: self.committers[router].commit(request, self.now))

    def land(self):
        self.run(self.table.apply_delayed())

    def reclaim(self):
        self.now += self.rng.choice((1, 20))
        self.with_faults(self.reclaimer.run_once)

    def partition(self):
        sidecar = self.sidecars[self.rng.choice(SIDECARS)]
        sidecar.reachable = not sidecar.reachable

    def with_faults(self, call):
        """Run a call whose write succeeds, loses its answer or takes effect late."""
        answer = self.rng.choice(("ok", "ok", "ok", "lost", "late"))
        self.table.faults.lose_next = int(answer == "lost")
        self.table.delay_next = int(answer == "late")
        try:
            self.run(call())
        except PlatformError:
            pass
        self.table.faults.lose_next = self.table.delay_next = 0

    def heal(self):
        """Let all delayed work end, reclaim all tokens and check the result."""
        self.run(self.table.apply_delayed())
        for sidecar in self.sidecars.values():
            sidecar.reachable = True
            for attempt in list(sidecar.running):
                sidecar.finish(attempt, 1)
        for _ in range(4):
            self.now += 20
            self.run(self.reclaimer.run_once())
        self.check_safety()
        assert self.unbilled() == [], "a receipt was never billed"
        assert not self.budget().allotments, "tokens are stranded"
        self.loop.close()

    def budget(self):
        row = self.table.rows_by_key.get("budget/acme")
        return decode_row(row, BudgetRow) or BudgetRow()

    def bills(self):
        rows = self.table.rows_by_key.items()
        ledger = [row.value for key, row in rows if key.startswith("ledger/")]
        decoded = [msgspec.json.decode(value, type=LedgerRow) for value in ledger]
        return [bill for row in decoded for bill in row.bills]

    def unbilled(self):
        bills = self.bills()
        attempts = {bill.attempt for bill in bills}
        keys = {bill.key for bill in bills if is_caller_keyed(bill.key)}
        return [
            finished
            for sidecar in self.sidecars.values()
            for finished in sidecar.receipts.values()
            if finished.tokens
            and finished.attempt not in attempts
            and finished.key not in keys
        ]

    def check_safety(self):
        row = self.budget()
        held = sum(a.outstanding for a in row.allotments.values())
        assert all(a.outstanding >= 0 for a in row.allotments.values())
        assert row.settled + held <= self.prepaid, "row above prepaid"
        bills = self.bills()
        attempts = [bill.attempt for bill in bills]
        keys = [bill.key for bill in bills if is_caller_keyed(bill.key)]
        assert len(set(attempts)) == len(attempts), "an attempt is billed twice"
        assert len(set(keys)) == len(keys), "a request is billed twice"
        assert row.settled == sum(bill.tokens for bill in bills)
        spending = sum(
            running.reserved_tokens
            for sidecar in self.sidecars.values()
            for running in sidecar.running.values()
        )
        spending += sum(min(d.tokens, d.reserved_tokens) for d in self.unbilled())
        assert row.settled + spending <= self.prepaid, "spent beyond prepaid"

    def check_balance(self, router):
        """Check that accounts and rows agree if no transaction is unanswered."""
        row = self.table.rows_by_key.get(f"incarnation/{router}")
        value = decode_row(row, IncarnationRow)
        if value is None or self.committers[router].unresolved:
            return
        accounts = self.accounts_by_router[router]
        if value.state is IncarnationState.LIVE:
            own = self.budget().allotments.get(router)
            outstanding = own.outstanding if own else 0
            assert outstanding == accounts.account("acme").outstanding, "balance"
        cap = accounts.account("acme").cap
        assert cap <= value.caps.get("acme", 0), "cap"
        for sidecar, usage in accounts.usage_by_sidecar.items():
            assert usage.unsettled.get("acme", 0) <= cap, "cap"
            removed = value.state is IncarnationState.FENCED  # it confirmed the fence
            listed = sidecar in value.sidecars
            assert listed or removed or not usage.listed, "not listed"


class AllotmentTraceTest(unittest.TestCase):
    @settings(max_examples=250, derandomize=True, deadline=None, database=None)
    @given(steps=STEPS)
    def test_safety_along_random_traces(self, steps):
        simulation = AllotmentSimulation()
        for name, number in steps:
            simulation.step(name, number)
        simulation.heal()

    @settings(max_examples=250, derandomize=True, deadline=None, database=None)
    @given(steps=STEPS)
    def test_safety_when_routers_cache_rows(self, steps):
        simulation = AllotmentSimulation(cache_rows=True)
        for name, number in steps:
            simulation.step(name, number)
        simulation.heal()


if __name__ == "__main__":
    unittest.main()
