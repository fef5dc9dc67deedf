"""Tests of the changes that an incarnation repeats after the store went back."""

import asyncio
import unittest

from bluebellshore.budget import FixedPolicy
from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import (
    RESTORE_HOLD_SECONDS,
    CommitResult,
    TransactionCommitter,
)
from bluebellshore.budget.replay import (
    MAX_COPY_AGE_SECONDS,
    BudgetChange,
    ChangeLog,
)
from bluebellshore.budget.rows import IncarnationRow
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.ids import BudgetId
from bluebellshore.platform.store import PlatformStore
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin.platform import PlatformStandin

A, B = BudgetId("a"), BudgetId("b")


class ChangeLogTest(unittest.TestCase):
    def setUp(self):
        self.log = ChangeLog()
        for sequence in range(1, 6):
            self.log.record(sequence, {A: BudgetChange(1, -1)}, float(sequence))
        self.log.record(6, {B: BudgetChange(0, 10)}, 6.0)

    def lost(self):
        changes = self.log.lost_changes()
        return {b: (c.settled, c.outstanding) for b, c in changes.items()}

    def test_changes_after_the_copy_are_lost(self):
        self.log.find_lost(4, 7)
        self.assertEqual({A: (1, -1), B: (0, 10)}, self.lost())

    def test_copy_of_the_present_lacks_nothing(self):
        self.log.find_lost(6, 7)
        self.assertFalse(self.lost())

    def test_copy_from_before_the_incarnation_lacks_all(self):
        self.log.find_lost(0, 7)
        self.assertEqual({A: (5, -5), B: (0, 10)}, self.lost())

    def test_budgets_may_be_repeated_one_after_another(self):
        self.log.find_lost(4, 7)
        self.log.record_repeated(8, {A})
        self.assertEqual({B: (0, 10)}, self.lost())
        self.log.record_repeated(9, {B})
        self.assertFalse(self.lost())

    def test_second_copy_may_be_from_before_or_after_the_repetition(self):
        for copy, lost in (
            (9, {}),
            (8, {}),
            (7, {A: (1, -1), B: (0, 10)}),
            (4, {A: (1, -1), B: (0, 10)}),
            (2, {A: (3, -3), B: (0, 10)}),
            # From before the first restore, whose copy was older.
            (5, {B: (0, 10)}),
            (6, {}),
        ):
            with self.subTest(copy=copy):
                self.setUp()
                self.log.find_lost(4, 7)
                self.log.record_repeated(8, {A, B})
                self.log.find_lost(copy, 10)
                self.assertEqual(lost, self.lost())

    def test_changes_are_forgotten_once_no_copy_is_as_old(self):
        self.log.record(7, {}, MAX_COPY_AGE_SECONDS + 3.5)
        self.log.find_lost(0, 8)
        self.assertEqual({A: (2, -2), B: (0, 10)}, self.lost())


class HoldTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin(PlatformSettings())
        await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)

    async def open(self, incarnation):
        """Return a committer with its accounts and a client of the store."""
        store = PlatformStore(self.standin.address)
        await store.open()
        self.addAsyncCleanup(store.close)
        accounts = AllotmentAccounts(min_cap=10)
        committer = TransactionCommitter(
            store,
            incarnation,
            accounts,
            FixedPolicy(0),
            lambda budget: 10_000,
            lambda attempt: None,
            writes_ledger=False,
            era=lambda: store.era,
        )
        await committer.create(IncarnationRow("instance"))
        return committer, accounts

    async def draw(self, committer, tokens, now):
        demand = CommitRequest({A: Demand(tokens, tokens)}, {"s1": {A: tokens}})
        while await committer.commit(demand, now) is CommitResult.CONFLICT:
            pass

    async def test_nothing_is_drawn_before_others_repeated_their_changes(self):
        first, first_accounts = await self.open("r1.a")
        second, _ = await self.open("r2.a")
        await self.draw(first, 1_000, 0.0)
        await asyncio.sleep(0.5)
        await self.draw(second, 9_000, 0.0)
        self.standin.state.rows.restore(0.3)
        await self.draw(first, 5_000, 1.0)
        self.assertEqual(1_000, first_accounts.account(A).free)
        await self.draw(second, 9_000, 2.0)
        await self.draw(first, 5_000, 2.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(1_000, first_accounts.account(A).free)
