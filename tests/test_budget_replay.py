"""Tests of the changes that an incarnation repeats after the store went back."""

import asyncio
import unittest

from bluebellshore.budget import FixedPolicy
from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import (
    NEWCOMER_HOLD_SECONDS,
    RESTORE_HOLD_SECONDS,
    CommitResult,
    TransactionCommitter,
)
from bluebellshore.budget.recount import Recount
from bluebellshore.budget.replay import (
    MAX_COPY_AGE_SECONDS,
    BudgetChange,
    ChangeLog,
)
from bluebellshore.budget.rows import Allotment, BudgetRow, IncarnationRow
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.budget.unbilled import BudgetTotals
from bluebellshore.ids import BudgetId
from bluebellshore.platform.store import PlatformStore
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin.platform import PlatformStandin
from bluebellshore.store import version_in_era

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


class RecountTest(unittest.TestCase):
    """Compares the use of a budget before a restore with the row that came back."""

    HOLD_SECONDS = 3.0

    def setUp(self):
        self.recount = Recount()
        self.recount.start(0, 0.0, 5.0)

    def read(self, settled, now, era=0, row=None):
        row = row or BudgetRow(settled)
        self.recount.compare(A, row, version_in_era(era, 7), now)
        return row

    def restore(self, era=1, now=10.0):
        self.recount.begin_era(era, now, self.HOLD_SECONDS)

    def test_missing_tokens_count_as_spent_once(self):
        self.read(900, now=9.0)
        self.restore()
        self.assertEqual(600, self.read(600, now=12.9, era=1).settled)
        row = self.read(600, now=13.0, era=1)
        self.assertEqual((900, 300), (row.settled, row.recounted))
        row.settled += 50
        self.assertEqual(950, self.read(0, now=14.0, era=1, row=row).settled)

    def test_the_most_that_some_router_saw_counts(self):
        row = BudgetRow(600)
        row.recount(1, 700)
        row.allotments["r"] = Allotment(40)
        row.recount(1, 650)
        self.assertEqual((700, 100), (row.settled, row.recounted))
        row.recount(1, 900)
        self.assertEqual((900, 300), (row.settled, row.recounted))

    def test_old_reads_and_rows_of_an_older_era_say_nothing(self):
        self.read(900, now=6.0)
        self.restore()
        self.assertEqual(600, self.read(600, now=14.0, era=1).settled)
        self.restore(2, now=20.0)
        stale = self.read(600, now=24.0, era=1)
        self.assertFalse(self.recount.allows_draws(stale, 24.0))

    def test_use_before_an_earlier_restore_counts_once_more_after_the_next(self):
        self.read(900, now=9.0)
        self.restore()
        row = self.read(600, now=13.0, era=1)
        self.read(0, now=14.0, era=1, row=row)
        # Tokens that were held have been returned since.
        row.settled = 500
        self.read(0, now=99.0, era=1, row=row)
        self.restore(2, now=100.0)
        self.assertEqual(500, self.read(0, now=104.0, era=2, row=row).settled)

    def test_second_restore_before_the_first_was_compared_loses_nothing(self):
        self.read(900, now=9.0)
        self.restore()
        self.read(500, now=11.0, era=1)
        self.restore(2, now=11.5)
        self.assertEqual(900, self.read(500, now=15.0, era=2).settled)


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

    async def test_draw_that_no_other_router_saw_is_made_again_by_others(self):
        first, first_accounts = await self.open("r1.a")
        second, _ = await self.open("r2.a")
        await self.draw(first, 1_000, 0.0)
        await asyncio.sleep(0.5)
        await self.draw(second, 8_000, 0.0)
        self.standin.state.rows.restore(0.3)
        await self.draw(second, 8_000, 1.0)
        await self.draw(first, 5_000, 1.0)
        await self.draw(first, 5_000, 1.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(1_000, first_accounts.account(A).free)

    async def lose_the_draw_of_a_killed_router(self):
        """Return a committer that saw a draw of 8,000 tokens that nobody repeats."""
        first, first_accounts = await self.open("r1.a")
        killed, _ = await self.open("r2.a")
        await self.draw(first, 1_000, 0.0)
        await asyncio.sleep(0.5)
        await self.draw(killed, 8_000, 0.0)
        await self.draw(first, 1_500, 0.5)
        self.standin.state.rows.restore(0.3)
        await self.draw(first, 5_000, 1.0)
        return first, first_accounts

    async def test_tokens_that_a_killed_router_drew_in_the_lost_span_are_drawn_again(
        self,
    ):
        first, accounts = await self.lose_the_draw_of_a_killed_router()
        self.assertEqual(1_500, accounts.account(A).free)
        await self.draw(first, 5_000, 1.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(1_500, accounts.account(A).free)
        await self.draw(first, 2_000, 2.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(2_000, accounts.account(A).free)

    async def test_transaction_names_the_tokens_that_a_restore_lost(self):
        first, _ = await self.lose_the_draw_of_a_killed_router()
        recounted, totals = [], []

        def record(transaction):
            recounted.extend(transaction.recounted.values())
            totals.append(transaction.totals[A])

        first.on_applied = record
        await self.draw(first, 1_400, 1.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(1, len(recounted))
        self.assertEqual([BudgetTotals(recounted[0], 1_500)], totals)
        self.assertGreater(recounted[0], 0)

    async def test_router_that_starts_after_a_restore_draws_what_a_killed_one_had(self):
        first, _ = await self.lose_the_draw_of_a_killed_router()
        started, accounts = await self.open("r3.a")
        await self.draw(started, 5_000, 2.0)
        self.assertEqual(0, accounts.account(A).free)
        await self.draw(first, 1_500, 1.0 + RESTORE_HOLD_SECONDS)
        await self.draw(started, 5_000, 2.0 + NEWCOMER_HOLD_SECONDS)
        self.assertEqual(0, accounts.account(A).free)
        await self.draw(started, 500, 3.0 + NEWCOMER_HOLD_SECONDS)
        self.assertEqual(500, accounts.account(A).free)

    async def test_tokens_are_lost_by_a_restore_without_a_kill(self):
        first, first_accounts = await self.open("r1.a")
        second, _ = await self.open("r2.a")
        await self.draw(first, 1_000, 0.0)
        await asyncio.sleep(0.5)
        await self.draw(second, 6_000, 0.0)
        await self.draw(first, 1_500, 0.5)
        self.standin.state.rows.restore(0.3)
        await self.draw(second, 6_000, 1.0)
        await self.draw(first, 1_500, 1.0)
        await self.draw(first, 4_000, 1.0 + RESTORE_HOLD_SECONDS)
        self.assertEqual(4_000, first_accounts.account(A).free)

    async def test_budget_is_not_drawn_on_after_a_restore_long_ago(self):
        first, _ = await self.open("r1.a")
        await self.draw(first, 1_000, 0.0)
        self.standin.state.rows.restore(0.0)
        await self.draw(first, 1_000, 1.0)
        started, accounts = await self.open("r2.a")
        await self.draw(started, 500, 100.0)
        self.assertEqual(0, accounts.account(A).free)
        await self.draw(started, 500, 100.0 + NEWCOMER_HOLD_SECONDS)
        self.assertEqual(500, accounts.account(A).free)
