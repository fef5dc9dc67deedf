"""Tests of the accountant with the in-memory table."""

import asyncio
import random
import unittest
from contextlib import asynccontextmanager

import msgspec

from bluebellshore.budget import (
    Accountant,
    AccountantIntervals,
    FixedPolicy,
    HorizonPolicy,
)
from bluebellshore.budget.rows import (
    BudgetRow,
    IncarnationRow,
    IncarnationState,
    LedgerRow,
    decode_row,
    is_caller_keyed,
)
from bluebellshore.errors import (
    InsufficientBudgetError,
    OverloadError,
    PlatformUnavailableError,
    RunState,
    TransactionConflictError,
)
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire.link_pb2 import Receipt

TIMES = AccountantIntervals(
    settle_seconds=0.01,
    heartbeat_seconds=0.05,
    shortage_poll_seconds=0.01,
    close_timeout_seconds=0.2,
)
PREPAID = 10_000
WAIT_SECONDS = 1.0
MAX_POLLS = 4000


def receipt(attempt, tokens, *, key="", incarnation="r1", reserved=100):
    return Receipt(
        attempt=attempt,
        key=key or f"acme/~{attempt}",
        incarnation=incarnation,
        customer="acme",
        budget="acme",
        route="chat",
        version="v1",
        tokens=tokens,
        reserved_tokens=reserved,
    )


class DelayedWriteTable(MemoryTable):
    """Table whose next transactions fail for the caller but take effect later.

    :ivar delay_next: number of transactions to delay.
    :ivar delayed: writes of the delayed transactions.
    """

    def __init__(self):
        super().__init__()
        self.delay_next = 0
        self.delayed = []

    async def transact(self, writes):
        if self.delay_next:
            self.delay_next -= 1
            self.delayed.append(list(writes))
            raise PlatformUnavailableError("delayed", step="table.transact")
        return await super().transact(writes)

    async def apply_delayed(self):
        for writes in self.delayed:
            try:
                await super().transact(writes)
            except TransactionConflictError:
                pass
        self.delayed.clear()


class AccountantCase(unittest.IsolatedAsyncioTestCase):
    """Routers with one table and one budget.

    After each test the tokens settled and held are compared with the prepaid total and
    the ledger.
    """

    def setUp(self):
        self.table = DelayedWriteTable()
        self.prepaid = {"acme": PREPAID}
        self.settled = []

    def row(self, key, row_type):
        return decode_row(self.table.rows_by_key.get(key), row_type)

    def budget(self):
        return self.row("budget/acme", BudgetRow) or BudgetRow()

    def bills(self):
        rows = [
            msgspec.json.decode(row.value, type=LedgerRow)
            for key, row in self.table.rows_by_key.items()
            if key.startswith("ledger/")
        ]
        return [bill for row in rows for bill in row.bills]

    def tearDown(self):
        row = self.budget()
        held = sum(a.outstanding for a in row.allotments.values())
        self.assertLessEqual(row.settled + held, self.prepaid["acme"])
        self.assertEqual(row.settled, sum(bill.tokens for bill in self.bills()))

    @asynccontextmanager
    async def router(self, name="r1", policy=None, close=True):
        accountant = Accountant(
            self.table,
            name,
            policy or FixedPolicy(1000),
            prepaid=self.prepaid.get,
            intervals=TIMES,
            rng=random.Random(1),
        )
        accountant.on_settled = self.settled.append
        await accountant.open(f"instance-{name}")
        task = asyncio.create_task(accountant.run())
        try:
            yield accountant
            if close:
                await accountant.close()
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def wait_until(self, condition):
        for _ in range(MAX_POLLS):
            if condition():
                return
            await asyncio.sleep(0.005)
        self.fail("the condition did not become true in time")


class SettlementTest(AccountantCase):
    async def test_reserve_settle_and_close(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            self.assertIn("s1", self.row("incarnation/r1", IncarnationRow).sidecars)
            accountant.settle(receipt("a1", 40))
            accountant.settle(receipt("a1", 40))
            await self.wait_until(lambda: self.settled)
        self.assertEqual(self.settled, ["a1"])
        self.assertEqual(self.budget(), BudgetRow(settled=40))
        closed = self.row("incarnation/r1", IncarnationRow)
        self.assertIs(closed.state, IncarnationState.CLOSED)

    async def test_receipt_after_settlement_is_acknowledged_again(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            accountant.settle(receipt("a1", 40))
            await self.wait_until(lambda: self.settled)
            accountant.settle(receipt("a1", 40))
        self.assertEqual(self.settled, ["a1", "a1"])
        self.assertEqual(len(self.bills()), 1)

    async def test_bills_no_more_than_reserved(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            accountant.settle(receipt("a1", 140))
        self.assertEqual(self.budget().settled, 100)
        self.assertEqual(accountant.snapshot()["clamped_bills"], 1)

    async def test_caller_key_is_billed_once_across_routers(self):
        async with self.router("r1") as first, self.router("r2") as second:
            for accountant, name in ((first, "r1"), (second, "r2")):
                await accountant.reserve(
                    "acme", name, "s1", 100, wait_seconds=WAIT_SECONDS
                )
                bill = receipt(name, 40, key="acme/order-7", incarnation=name)
                accountant.settle(bill)
            await self.wait_until(lambda: len(self.settled) == 2)
        self.assertEqual(len(self.bills()), 1)
        self.assertEqual(self.budget(), BudgetRow(settled=40))

    async def test_two_attempts_of_one_key_in_one_router(self):
        async with self.router() as accountant:
            for attempt in ("a1", "a2"):
                await accountant.reserve(
                    "acme", attempt, "s1", 100, wait_seconds=WAIT_SECONDS
                )
                accountant.settle(receipt(attempt, 40, key="acme/order-7"))
            await self.wait_until(lambda: len(self.settled) == 2)
        self.assertEqual(self.budget(), BudgetRow(settled=40))

    async def test_lost_answers_bill_nothing_twice(self):
        self.table.faults.lose_answers = 0.5
        async with self.router() as accountant:
            for number in range(40):
                attempt = f"a{number}"
                await accountant.reserve("acme", attempt, "s1", 100, wait_seconds=10)
                accountant.settle(receipt(attempt, 10))
            await self.wait_until(lambda: len(self.settled) == 40)
            self.table.faults.lose_answers = 0.0
        self.assertEqual(self.budget(), BudgetRow(settled=400))

    async def test_lost_answers_of_grants_and_bills(self):
        async with self.router() as accountant:
            for attempt in ("a1", "a2", "a3"):
                self.table.faults.lose_next = 1
                await accountant.reserve("acme", attempt, "s1", 900, wait_seconds=10)
                self.table.faults.lose_next = 1
                accountant.settle(receipt(attempt, 10, reserved=900))
                await self.wait_until(lambda attempt=attempt: attempt in self.settled)
            self.table.faults.lose_next = 0
        self.assertEqual(self.budget(), BudgetRow(settled=30))
        self.assertEqual(len(self.bills()), 3)

    async def test_unanswered_write_that_takes_effect_late(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            self.table.delay_next = 1
            accountant.settle(receipt("a1", 40))
            await self.wait_until(lambda: self.table.delayed)
            await self.table.apply_delayed()
            await self.wait_until(lambda: self.settled)
        self.assertEqual(self.budget(), BudgetRow(settled=40))

    def test_keys_made_by_a_router(self):
        self.assertTrue(is_caller_keyed("acme/order/~7"))
        self.assertFalse(is_caller_keyed("acme/~7"))


class RefusalTest(AccountantCase):
    async def assert_refused(self, accountant, tokens, error_type, wait=WAIT_SECONDS):
        with self.assertRaises(error_type) as caught:
            await accountant.reserve("acme", "x", "s1", tokens, wait_seconds=wait)
        self.assertIs(caught.exception.run, RunState.NOT_RUN)
        return caught.exception

    async def test_exhausted_budget(self):
        async with self.router() as accountant:
            error = await self.assert_refused(
                accountant, PREPAID + 1, InsufficientBudgetError
            )
            self.assertEqual(error.status, 402)
            self.prepaid["acme"] += 1
            await accountant.reserve(
                "acme", "y", "s1", PREPAID + 1, wait_seconds=WAIT_SECONDS
            )
            accountant.release("y")

    async def test_platform_outage_is_served_from_held_tokens(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            self.table.faults.outage = True
            await accountant.reserve("acme", "a2", "s1", 100, wait_seconds=WAIT_SECONDS)
            await self.wait_until(lambda: accountant.platform_out)
            error = await self.assert_refused(
                accountant, 5000, OverloadError, wait=0.05
            )
            self.assertEqual(error.status, 503)
            self.table.faults.outage = False
            for attempt in ("a1", "a2"):
                accountant.settle(receipt(attempt, 10))
        self.assertEqual(self.budget(), BudgetRow(settled=20))

    async def test_first_grant_covers_an_outage(self):
        async with self.router(policy=HorizonPolicy(600)) as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            self.table.faults.outage = True
            for number in range(2, 21):
                await accountant.reserve(
                    "acme", f"a{number}", "s1", 100, wait_seconds=0.05
                )
            error = await self.assert_refused(accountant, 100, OverloadError, wait=0.05)
            self.assertEqual(error.status, 503)
            self.table.faults.outage = False
            for number in range(1, 21):
                accountant.release(f"a{number}")

    async def test_fenced_incarnation_reserves_nothing(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            row = self.table.rows_by_key["incarnation/r1"]
            value = msgspec.json.decode(row.value, type=IncarnationRow)
            value.state = IncarnationState.FENCED
            stored = msgspec.structs.replace(
                row, version=row.version + 1, value=msgspec.json.encode(value)
            )
            self.table.rows_by_key["incarnation/r1"] = stored
            await self.wait_until(lambda: accountant.fenced)
            await self.assert_refused(accountant, 10, OverloadError)

    async def test_reassign_needs_the_sidecar_in_the_row(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            with self.assertRaises(OverloadError):
                accountant.reassign("a1", "s2")
            await self.wait_until(
                lambda: accountant.accounts.within_cap("acme", "s2", 100)
            )
            accountant.reassign("a1", "s2")
            self.assertIn("s2", self.row("incarnation/r1", IncarnationRow).sidecars)
            accountant.release("a1")

    async def test_waiting_router_gets_free_tokens_of_another(self):
        policy = FixedPolicy(PREPAID)
        async with self.router("r1", policy) as first, self.router("r2") as second:
            await first.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            await second.reserve("acme", "b1", "s1", 5000, wait_seconds=WAIT_SECONDS)
            first.release("a1")
            second.release("b1")

    async def test_idle_allotment_returns(self):
        policy = HorizonPolicy(600, idle_seconds=0.05)
        async with self.router("r1", policy) as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            accountant.release("a1")
            await self.wait_until(lambda: not self.budget().allotments)

    async def test_concurrent_waiters_share_one_grant(self):
        async with self.router() as accountant:
            self.table.faults.delay_seconds = 0.01
            await asyncio.gather(
                *(
                    accountant.reserve("acme", f"a{n}", "s1", 10, wait_seconds=5)
                    for n in range(50)
                )
            )
            self.assertLessEqual(self.table.counts.transactions, 4)
            for number in range(50):
                accountant.release(f"a{number}")


if __name__ == "__main__":
    unittest.main()
