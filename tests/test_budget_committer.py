"""Tests of the order in which the committer reads, writes and applies changes."""

import unittest

import msgspec

from bluebellshore.budget import FixedPolicy
from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import CommitResult, TransactionCommitter
from bluebellshore.budget.rows import BudgetRow, IncarnationRow, encode_row
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.store.cache import CachedTable
from bluebellshore.store.interface import Write
from tests.test_budget_accountant import DelayedWriteTable, receipt

SETTLE = CommitRequest({}, {}, settle=True)
HEARTBEAT = CommitRequest({}, {}, heartbeat=True)


class WritesArriveFirstTable(DelayedWriteTable):
    """Table on which delayed writes take effect just before the next transaction."""

    async def transact(self, writes):
        if not self.delay_next:
            await self.apply_delayed()
        return await super().transact(writes)


class CommitterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = WritesArriveFirstTable()
        await self.open(self.table)

    async def open(self, table):
        """Create the committer and draw 1000 tokens."""
        self.accounts = AllotmentAccounts(min_cap=10)
        self.settled = []
        self.committer = TransactionCommitter(
            table,
            "r1",
            self.accounts,
            FixedPolicy(0),
            lambda budget: 10_000,
            self.settled.append,
        )
        await self.committer.create(IncarnationRow("instance"))
        demand = CommitRequest({"acme": Demand(1000, 1000)}, {"s1": {"acme": 1000}})
        await self.committer.commit(demand, 0.0)

    async def commit_delayed(self, request, now):
        self.table.delay_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.committer.commit(request, now)

    async def test_own_bill_committed_late_is_not_dropped(self):
        self.accounts.reserve("acme", "a1", "s1", 100, 0.0)
        self.accounts.finish(receipt("a1", 40, key="acme/order-7"), 0.0)
        await self.commit_delayed(SETTLE, 1.0)
        self.assertIs(await self.committer.commit(SETTLE, 2.0), CommitResult.CONFLICT)
        await self.committer.commit(SETTLE, 3.0)
        self.assertEqual(self.settled, ["a1"])
        row = self.table.rows_by_key["budget/acme"]
        own = msgspec.json.decode(row.value, type=BudgetRow).allotments["r1"]
        self.assertEqual(own.outstanding, self.accounts.account("acme").outstanding)

    async def test_commits_without_reading_when_rows_are_cached(self):
        self.table = WritesArriveFirstTable()
        await self.open(CachedTable(self.table))
        reads = self.table.counts.reads
        for number in range(3):
            self.accounts.reserve("acme", f"a{number}", "s1", 100, 0.0)
            self.accounts.finish(receipt(f"a{number}", 40), 0.0)
            result = await self.committer.commit(SETTLE, 1.0 + number)
            self.assertIs(result, CommitResult.COMMITTED)
        self.assertEqual(self.settled, ["a0", "a1", "a2"])
        self.assertEqual(self.table.counts.reads, reads)

    async def test_conflict_refreshes_cached_rows(self):
        self.table = WritesArriveFirstTable()
        await self.open(CachedTable(self.table))
        row = self.table.rows_by_key["budget/acme"]
        value = msgspec.json.decode(row.value, type=BudgetRow)
        value.settled += 7
        await self.table.transact([Write(row.key, row.version, encode_row(value))])
        reads = self.table.counts.reads
        self.accounts.reserve("acme", "a1", "s1", 100, 0.0)
        self.accounts.finish(receipt("a1", 40), 0.0)
        self.assertIs(await self.committer.commit(SETTLE, 1.0), CommitResult.CONFLICT)
        self.assertIs(await self.committer.commit(SETTLE, 2.0), CommitResult.COMMITTED)
        row = self.table.rows_by_key["budget/acme"]
        self.assertEqual(msgspec.json.decode(row.value, type=BudgetRow).settled, 47)
        self.assertEqual(self.table.counts.reads, reads)

    async def test_lower_cap_applies_before_the_row_has_it(self):
        cap = self.accounts.account("acme").cap
        self.accounts.begin_return("acme", 1000)
        self.accounts.complete_return(
            "acme", 1000
        )  # no tokens are held: the least cap, 10, is enough
        await self.commit_delayed(HEARTBEAT, 1.0)
        self.assertLess(self.accounts.account("acme").cap, cap)


if __name__ == "__main__":
    unittest.main()
