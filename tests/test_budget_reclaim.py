"""Tests of reclaim with the in-memory table."""

import asyncio

from bluebellshore.budget import FixedPolicy
from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import TransactionCommitter
from bluebellshore.budget.reclaim import Reclaimer
from bluebellshore.budget.rows import BudgetRow, IncarnationRow, IncarnationState
from bluebellshore.budget.transaction_builder import CommitRequest, Demand
from bluebellshore.bundle.model import Release
from bluebellshore.errors import PlatformUnavailableError
from tests.test_budget_accountant import WAIT_SECONDS, AccountantCase, receipt


class FakePeers:
    """Sidecars that confirm a fence with their receipts, or do not answer.

    :ivar receipts_by_sidecar: receipts of each sidecar that answers.
    :ivar is_connected: whether a sidecar has a link to the router; None if unknown.
    """

    def __init__(self):
        self.receipts_by_sidecar = {}
        self.is_connected = False

    async def connected(self, incarnation):
        return self.is_connected

    async def fence(self, sidecar, incarnation):
        return self.receipts_by_sidecar.get(sidecar)


class ReclaimTest(AccountantCase):
    """Router ``r1`` dies with 100 tokens in flight at ``s1`` and 100 at ``s2``."""

    def setUp(self):
        super().setUp()
        self.peers = FakePeers()
        self.now = 0.0
        self.releases = []

    def reclaimer(self):
        return Reclaimer(
            self.table,
            "r9",
            self.peers,
            releases=lambda: self.releases,
            reclaim_after_seconds=15.0,
            clock=lambda: self.now,
        )

    async def dead_router(self):
        async with self.router(close=False) as accountant:
            await accountant.reserve("acme", "a0", "s1", 100, wait_seconds=WAIT_SECONDS)
            accountant.settle(receipt("a0", 30))
            await self.wait_until(lambda: self.settled)
            for attempt, sidecar in (("a1", "s1"), ("a2", "s2")):
                await accountant.reserve(
                    "acme", attempt, sidecar, 100, wait_seconds=WAIT_SECONDS
                )

    async def reclaim(self, reclaimer):
        await reclaimer.run_once()
        self.now += 20.0
        return await reclaimer.run_once()

    async def test_all_sidecars_confirm(self):
        await self.dead_router()
        unacknowledged = receipt("a0", 30)
        self.peers.receipts_by_sidecar = {
            "s1": [unacknowledged, receipt("a1", 40)],
            "s2": [],
        }
        reclaimer = self.reclaimer()
        acknowledged = []
        reclaimer.on_settled = lambda _, attempts: acknowledged.extend(attempts)
        report = await self.reclaim(reclaimer)
        self.assertEqual(report.fenced, ["r1"])
        self.assertEqual(self.budget(), BudgetRow(settled=70))
        self.assertEqual(acknowledged, ["a0", "a1"])
        self.assertNotIn("incarnation/r1", self.table.rows_by_key)

    async def test_attempt_without_tokens_does_not_block_the_bill_of_a_retry(self):
        await self.dead_router()
        self.peers.receipts_by_sidecar = {
            "s1": [receipt("a1", 0, key="c/keyed")],
            "s2": [],
        }
        reclaimer = self.reclaimer()
        acknowledged = []
        reclaimer.on_settled = lambda _, attempts: acknowledged.extend(attempts)
        await self.reclaim(reclaimer)
        self.assertEqual(acknowledged, ["a1"])
        self.assertNotIn("bill/c/keyed", self.table.rows_by_key)
        self.assertEqual(self.budget(), BudgetRow(settled=30))

    async def test_live_router_is_left_alone(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            reclaimer = self.reclaimer()
            await reclaimer.run_once()
            version = self.table.rows_by_key["incarnation/r1"].version
            await self.wait_until(
                lambda: self.table.rows_by_key["incarnation/r1"].version > version
            )
            self.now += 20.0
            self.assertEqual((await reclaimer.run_once()).fenced, [])
            accountant.release("a1")

    async def test_silent_router_with_a_link_is_left_alone(self):
        await self.dead_router()
        for is_connected in (True, None):
            self.peers.is_connected = is_connected
            self.assertEqual((await self.reclaim(self.reclaimer())).fenced, [])

    async def test_outage_restarts_the_wait(self):
        await self.dead_router()
        reclaimer = self.reclaimer()
        await reclaimer.run_once()
        self.table.faults.fail_next = 1
        self.now += 20.0
        with self.assertRaises(PlatformUnavailableError):
            await reclaimer.run_once()
        self.assertEqual((await reclaimer.run_once()).fenced, [])

    async def test_unconfirmed_sidecar_holds_its_cap_until_it_confirms(self):
        await self.dead_router()
        row = self.row("incarnation/r1", IncarnationRow)
        cap = row.caps["acme"]
        outstanding = self.budget().allotments["r1"].outstanding
        self.peers.receipts_by_sidecar = {"s1": [receipt("a1", 40)]}
        reclaimer = self.reclaimer()
        report = await self.reclaim(reclaimer)
        expected = min(outstanding - 40, cap)
        self.assertEqual(report.held, {"acme": expected})
        held = self.budget().allotments["r1"]
        self.assertTrue(held.held)
        self.now += 1e6
        await reclaimer.run_once()
        self.assertEqual(self.budget().allotments["r1"].outstanding, expected)
        self.peers.receipts_by_sidecar["s2"] = [receipt("a2", 50)]
        await reclaimer.run_once()
        self.assertEqual(self.budget(), BudgetRow(settled=120))

    async def test_release_in_a_bundle_frees_what_is_held(self):
        await self.dead_router()
        self.peers.receipts_by_sidecar = {"s1": []}
        reclaimer = self.reclaimer()
        await self.reclaim(reclaimer)
        self.assertTrue(self.budget().allotments)
        self.releases.append(Release("acme", "r1"))
        await reclaimer.run_once()
        self.assertEqual(self.budget(), BudgetRow(settled=30))

    async def test_release_of_a_live_incarnation_is_ignored(self):
        async with self.router() as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            self.releases.append(Release("acme", "r1"))
            await self.reclaimer().run_once()
            self.assertGreater(self.budget().allotments["r1"].outstanding, 0)
            accountant.release("a1")

    async def test_two_reclaimers_and_lost_answers(self):
        await self.dead_router()
        self.peers.receipts_by_sidecar = {"s1": [receipt("a1", 40)], "s2": []}
        reclaimers = [self.reclaimer(), self.reclaimer()]
        for reclaimer in reclaimers:
            await reclaimer.run_once()
        self.now += 20.0
        self.table.faults.lose_answers = 0.4
        self.table.faults.delay_seconds = 0.0001
        for _ in range(20):
            await asyncio.gather(
                *(reclaimer.run_once() for reclaimer in reclaimers),
                return_exceptions=True,
            )
            self.now += 20.0
        self.assertEqual(self.budget(), BudgetRow(settled=70))
        self.assertEqual([bill.attempt for bill in self.bills()], ["a0", "a1"])

    async def test_paused_router_is_fenced_when_it_resumes(self):
        async with self.router(close=False) as accountant:
            await accountant.reserve("acme", "a1", "s1", 100, wait_seconds=WAIT_SECONDS)
            reclaimer = self.reclaimer()
            self.peers.receipts_by_sidecar = {}
            await reclaimer.run_once()
            version = self.table.rows_by_key["incarnation/r1"].version
            reclaimer._observed_by_incarnation["r1"].version = version
            self.now += 20.0
            await self.reclaim(reclaimer)
            await self.wait_until(lambda: accountant.fenced)
            self.assertIs(
                self.row("incarnation/r1", IncarnationRow).state,
                IncarnationState.FENCED,
            )

    async def test_reclaim_is_not_taken_for_an_unanswered_transaction(self):
        """The router must not take the reclaimer's write of its row for its own.

        Two settlements are unanswered. The first takes effect; then the reclaimer
        fences the router and settles the second.
        """
        accounts = AllotmentAccounts()
        acknowledged = []
        committer = TransactionCommitter(
            self.table,
            "r1",
            accounts,
            FixedPolicy(1000),
            self.prepaid.get,
            acknowledged.append,
        )
        await committer.create(IncarnationRow("instance"))
        needs = {"s1": {"acme": 200}}
        await committer.commit(CommitRequest({"acme": Demand(200, 200)}, needs), 0.0)
        receipts = [receipt("a1", 40), receipt("a2", 50)]
        for done in receipts:
            accounts.reserve("acme", done.attempt, "s1", 100, 0.0)
            accounts.finish(done, 0.0)
            self.table.delay_next = 1
            with self.assertRaises(PlatformUnavailableError):
                await committer.commit(CommitRequest({}, {}, settle=True), 0.0)
        await self.table.apply_delayed()
        reclaimer = self.reclaimer()
        await self.reclaim(reclaimer)
        await committer.commit(CommitRequest({}, {}, settle=True), 0.0)
        self.assertNotIn("a2", acknowledged)
        self.peers.receipts_by_sidecar = {"s1": receipts}
        self.assertEqual((await reclaimer.run_once()).bills, 1)
        self.assertEqual(self.budget(), BudgetRow(settled=90))

    async def test_request_billed_elsewhere_is_not_billed_again(self):
        await self.dead_router()
        async with self.router("r2") as accountant:
            await accountant.reserve("acme", "b1", "s2", 100, wait_seconds=WAIT_SECONDS)
            bill = receipt("b1", 35, key="acme/order-7", incarnation="r2")
            accountant.settle(bill)
            await self.wait_until(lambda: "b1" in self.settled)
        duplicate = receipt("a1", 40, key="acme/order-7")
        self.peers.receipts_by_sidecar = {"s1": [duplicate], "s2": []}
        await self.reclaim(self.reclaimer())
        self.assertEqual(self.budget(), BudgetRow(settled=65))
