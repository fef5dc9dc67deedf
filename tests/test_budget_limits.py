"""Tests with more budgets and bills than fit into one transaction."""

import asyncio
import unittest

from bluebellshore.budget.reclaim import Reclaimer
from bluebellshore.budget.rows import (
    BudgetRow,
    IncarnationRow,
    IncarnationState,
    bill_key,
    decode_row,
)
from bluebellshore.budget.transaction_builder import MAX_BATCH_BILLS
from bluebellshore.duties.claims import claim_key
from bluebellshore.store.interface import MAX_KEY_BYTES, MAX_TRANSACTION_WRITES
from tests.test_budget_accountant import WAIT_SECONDS, AccountantCase, receipt
from tests.test_budget_reclaim import FakePeers

BUDGETS = [f"b{number:02d}" for number in range(2 * MAX_TRANSACTION_WRITES)]
USED = 40


def keyed_receipt(number):
    """Return a receipt with a caller's key and a budget of its own."""
    done = receipt(f"a{number}", USED, key=f"acme/order-{number}")
    done.budget = BUDGETS[number]
    return done


class ManyBudgetsTest(AccountantCase):
    """A router that uses twice as many budgets as a transaction has writes."""

    def setUp(self):
        super().setUp()
        self.prepaid |= dict.fromkeys(BUDGETS, 1000)

    def tearDown(self):
        for budget, row in self.budgets().items():
            held = sum(a.outstanding for a in row.allotments.values())
            self.assertLessEqual(row.settled + held, self.prepaid[budget])
            billed = [bill.tokens for bill in self.bills() if bill.budget == budget]
            self.assertEqual(row.settled, sum(billed))

    def budgets(self):
        return {
            budget: self.row(f"budget/{budget}", BudgetRow) or BudgetRow()
            for budget in BUDGETS
        }

    async def reserve_all(self, accountant):
        await asyncio.gather(
            *(
                accountant.reserve(
                    budget, f"a{number}", "s1", 100, wait_seconds=10 * WAIT_SECONDS
                )
                for number, budget in enumerate(BUDGETS)
            )
        )

    def check_all_settled(self):
        expected = dict.fromkeys(BUDGETS, BudgetRow(settled=USED))
        self.assertEqual(self.budgets(), expected)
        self.assertEqual(len(self.bills()), len(BUDGETS))
        for number in range(len(BUDGETS)):
            marker = bill_key(f"acme/order-{number}")
            self.assertIn(marker, self.table.rows_by_key)

    async def test_router_settles_all_and_closes_with_nothing_held(self):
        async with self.router() as accountant:
            accountant._intervals = type(accountant._intervals)(
                settle_seconds=0.01,
                heartbeat_seconds=0.05,
                shortage_poll_seconds=0.01,
                close_timeout_seconds=20.0,
            )
            await self.reserve_all(accountant)
            for number in range(len(BUDGETS)):
                accountant.settle(keyed_receipt(number))
        self.check_all_settled()
        closed = self.row("incarnation/r1", IncarnationRow)
        self.assertIs(closed.state, IncarnationState.CLOSED)

    async def test_idle_router_closes_only_when_all_budgets_have_their_tokens(self):
        async with self.router() as accountant:
            await self.reserve_all(accountant)
            for number in range(len(BUDGETS)):
                accountant.settle(keyed_receipt(number))
            await self.wait_until(lambda: len(self.settled) == len(BUDGETS))
            held = [row for row in self.budgets().values() if row.allotments]
            self.assertGreater(len(held), MAX_TRANSACTION_WRITES)
        self.check_all_settled()
        closed = self.row("incarnation/r1", IncarnationRow)
        self.assertIs(closed.state, IncarnationState.CLOSED)

    async def test_dead_router_is_reclaimed_in_several_transactions(self):
        async with self.router(close=False) as accountant:
            await self.reserve_all(accountant)
        now = 0.0
        peers = FakePeers()
        receipts = [keyed_receipt(number) for number in range(len(BUDGETS))]
        peers.receipts_by_sidecar = {"s1": receipts}
        reclaimer = Reclaimer(
            self.table, "r9", peers, reclaim_after_seconds=15.0, clock=lambda: now
        )
        await reclaimer.run_once()
        now = 20.0
        report = await reclaimer.run_once()
        self.assertEqual((report.bills, report.held), (len(BUDGETS), {}))
        self.check_all_settled()
        self.assertNotIn("incarnation/r1", self.table.rows_by_key)

    async def test_tokens_of_an_unconfirmed_sidecar_stay_held_in_all_budgets(self):
        async with self.router(close=False) as accountant:
            await self.reserve_all(accountant)
            await accountant.reserve(
                BUDGETS[0], "other", "s2", 100, wait_seconds=WAIT_SECONDS
            )
        caps = self.row("incarnation/r1", IncarnationRow).caps
        now = 0.0
        peers = FakePeers()
        peers.receipts_by_sidecar = {"s1": []}
        reclaimer = Reclaimer(
            self.table, "r9", peers, reclaim_after_seconds=15.0, clock=lambda: now
        )
        await reclaimer.run_once()
        now = 20.0
        report = await reclaimer.run_once()
        held = {
            budget: row.allotments["r1"].outstanding
            for budget, row in self.budgets().items()
            if row.allotments
        }
        self.assertEqual(report.held, held)
        self.assertEqual(set(held), {budget for budget in BUDGETS if caps[budget]})
        row = decode_row(self.table.rows_by_key["incarnation/r1"], IncarnationRow)
        self.assertEqual(row.sidecars, ["s2"])


class LimitTest(unittest.TestCase):
    def test_a_full_batch_fits_into_a_transaction(self):
        self.assertLessEqual(2 + 2 * MAX_BATCH_BILLS, MAX_TRANSACTION_WRITES)

    def test_longest_keys_of_callers_fit_and_differ(self):
        for make_key in (bill_key, claim_key):
            keys = {make_key(f"acme/{'k' * 250}{ending}") for ending in ("a", "b", "é")}
            self.assertEqual(len(keys), 3)
            for key in keys:
                self.assertLessEqual(len(key.encode()), MAX_KEY_BYTES)
                self.assertTrue(key.startswith(make_key("acme/kkk")))
        self.assertEqual(bill_key("acme/k"), "bill/acme/k")
