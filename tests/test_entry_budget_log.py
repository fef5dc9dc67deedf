"""Tests that logs and metrics tell where each token of a customer is."""

import asyncio
import math
import random
import unittest

from bluebellshore.budget.direct import CAP_LAPSE_SECONDS, DirectAccounts
from bluebellshore.budget.rows import IncarnationRow
from bluebellshore.budget.transaction_builder import Transaction
from bluebellshore.budget.unbilled import BudgetTotals
from bluebellshore.decisions import DecisionLog
from bluebellshore.entry.budget_log import BudgetLog
from bluebellshore.entry.loans import LOAN_EXPIRY_SECONDS, Loan
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.experiments.virtual_time import run_virtual
from tests.test_budget_successor import (
    CAP,
    HELD,
    LAPSES_AT,
    SEEN_AT,
    ReportingStore,
    SuccessorProcess,
)
from tests.test_entry_budgets import PREPAID, SimulatedFleet, in_virtual_time
from tests.test_entry_metrics import samples_of, text_of

#: Longest time that a router's last contact lies before its kill in these tests, and
#: the resolution of the store's time.
CONTACT_SECONDS = 0.2


def allotment_lines(fleet, outcome, customer="acme"):
    """Return the lines of all routers about changes of a customer's allotments."""
    return [
        line
        for line in fleet.lines
        if line["message_type"] == "allotment"
        and line["outcome"] == outcome
        and line["customer"] == customer
    ]


def unbilled_tokens(fleet):
    """Return the tokens that the metrics of all routers count, by reason."""
    tokens = {}
    for metrics in fleet.metrics:
        for (name, *labels), value in samples_of(text_of(metrics)).items():
            if name == "tokens_spent_without_bill_total":
                reason = dict(labels)["reason"]
                tokens[reason] = tokens.get(reason, 0) + value
    return tokens


class AbsenceTest(unittest.TestCase):
    """A router is killed and starts again some time later."""

    async def absence(self, seconds):
        """Return the fleet after an absence, and the tokens held before it."""
        fleet = SimulatedFleet({"acme": PREPAID}, caps=True, logs=True)
        await fleet.start("r1")
        await asyncio.sleep(2)
        held = fleet.row().allotments["r1.1"].outstanding
        await fleet.kill("r1")
        await asyncio.sleep(seconds)
        await fleet.start("r1")
        await asyncio.sleep(1)
        await fleet.stop()
        return fleet, held

    @in_virtual_time
    async def test_absence_longer_than_the_caps_hold_counts_all_and_says_why(self):
        fleet, held = await self.absence(4.0)
        [line] = allotment_lines(fleet, "counted-spent")
        inputs = line["inputs"]
        self.assertEqual(line["tokens"], held)
        self.assertEqual(line["incarnation"], "r1.2")
        self.assertEqual(inputs["predecessor"], "r1.1")
        self.assertEqual(inputs["cause"], "caps-lapsed")
        self.assertEqual(inputs["lapse_seconds"], CAP_LAPSE_SECONDS)
        self.assertAlmostEqual(inputs["absent_seconds"], 4.0, delta=CONTACT_SECONDS)
        self.assertGreaterEqual(inputs["away_seconds"], 4.0)
        self.assertLess(inputs["cap"], held)
        self.assertEqual(
            (inputs["settled"], inputs["allotted"] <= PREPAID - held), (held, True)
        )
        self.assertRegex(line["reason"], r"r1\.1 was absent for 4\.[01] s")
        self.assertEqual(unbilled_tokens(fleet), {"caps-lapsed": held})

    @in_virtual_time
    async def test_short_absence_counts_the_caps_and_says_so(self):
        fleet, held = await self.absence(0.5)
        [line] = allotment_lines(fleet, "counted-spent")
        self.assertEqual(line["inputs"]["cause"], "within-caps")
        self.assertLess(line["tokens"], held)
        self.assertGreaterEqual(line["tokens"], line["inputs"]["cap"])
        [reclaimed] = allotment_lines(fleet, "reclaimed")
        self.assertEqual(reclaimed["tokens"], held - line["tokens"])
        self.assertEqual(unbilled_tokens(fleet), {"within-caps": line["tokens"]})

    @in_virtual_time
    async def test_absence_without_loss_is_not_counted(self):
        fleet = SimulatedFleet({"acme": PREPAID}, caps=True, logs=True)
        await fleet.start("r1")
        await asyncio.sleep(2)
        await fleet.stop()
        await fleet.start("r1")
        await asyncio.sleep(1)
        await fleet.stop()
        self.assertEqual(allotment_lines(fleet, "counted-spent"), [])
        self.assertEqual(unbilled_tokens(fleet), {})


class RecountTest(unittest.TestCase):
    def test_tokens_that_a_restore_lost_are_counted_and_named(self):
        lines, metrics = [], EntryMetrics()
        accounts = DirectAccounts()
        log = BudgetLog(
            accounts,
            None,
            prepaid=lambda customer: PREPAID,
            store_time=lambda: None,
            clock=lambda: 0.0,
            log=DecisionLog(lines.append, clock=lambda: 0.0),
            metrics=metrics,
        )
        transaction = Transaction(
            1,
            0,
            IncarnationRow("r1"),
            recounted={"acme": 70},
            totals={"acme": BudgetTotals(90, 20)},
        )
        log.record_transaction(transaction)
        [line] = lines
        self.assertEqual((line["outcome"], line["tokens"]), ("counted-spent", 70))
        inputs = {"cause": "recounted", "settled": 90, "allotted": 20}
        self.assertEqual(line["inputs"], inputs)
        samples = samples_of(text_of(metrics))
        key = ("tokens_spent_without_bill_total", ("reason", "recounted"))
        self.assertEqual(samples[key], 70)


class LosingProcess(SuccessorProcess):
    """A successor whose first transactions get no answer.

    :ivar lost: number of transactions that take effect without an answer.
    :ivar failed: number of later ones that don't take effect.
    """

    lost = 0
    failed = 0

    async def transact(self, writes):
        if self.lost:
            self.lost -= 1
            await self.store.table.transact(writes)
            raise PlatformUnavailableError("answer lost", step="transact")
        if self.failed:
            self.failed -= 1
            raise PlatformUnavailableError("not written", step="transact")
        return await super().transact(writes)


class OvertakenProcess(SuccessorProcess):
    """A successor that another one overtakes, and that loses the store just then.

    :ivar other: recovers the predecessors before the first transaction of this one.
    """

    other = None

    async def transact(self, writes):
        await self.other.recover()
        try:
            return await super().transact(writes)
        finally:
            self.answered_calls = 0


class LostAnswerTest(unittest.TestCase):
    """Each recovery is reported once, whatever answers are lost."""

    def reported(self, budgets, lost=0, failed=0):
        """Return the reports of a recovery that is tried until it succeeds."""
        store = ReportingStore()
        started_at = LAPSES_AT - 0.5
        reports = []

        async def run():
            await store.write_dead_router("r1.1", SEEN_AT, budgets)
            successor = LosingProcess(store, started_at, [started_at])
            successor.lost, successor.failed = lost, failed
            successor.predecessors.on_settled = reports.append
            for _ in range(lost + failed):
                with self.assertRaises(PlatformUnavailableError):
                    await successor.recover()
            await successor.recover()
            await successor.recover()

        run_virtual(run())
        counted = {}
        for report in reports:
            for budget, tokens in report.spent.items():
                counted[budget] = counted.get(budget, 0) + tokens
        settled = {budget: store.row(budget).settled for budget in budgets}
        self.assertEqual(counted, settled)
        return reports

    def test_transaction_without_an_answer_is_reported_once(self):
        budgets = [f"c{number:03}" for number in range(80)]
        for lost, failed in ((0, 0), (1, 0), (0, 1), (1, 2), (2, 0)):
            with self.subTest(lost=lost, failed=failed):
                self.reported(budgets, lost, failed)

    def test_recovery_by_another_process_is_not_reported(self):
        store = ReportingStore()
        started_at = LAPSES_AT - 0.5
        reports = []

        async def run():
            await store.write_dead_router("r1.1", SEEN_AT)
            other = SuccessorProcess(store, started_at, [started_at], name="r1.3")
            successor = OvertakenProcess(store, started_at, [started_at])
            successor.other = other
            successor.predecessors.on_settled = reports.append
            with self.assertRaises(PlatformUnavailableError):
                await successor.recover()
            successor.answered_calls = math.inf
            await successor.recover()

        run_virtual(run())
        self.assertEqual(store.row().settled, CAP)
        self.assertEqual(reports, [])

    def test_recovery_of_one_budget_without_an_answer_is_reported(self):
        [report] = self.reported(["acme"], lost=1)
        self.assertEqual(report.spent, {"acme": CAP})
        self.assertEqual(report.returned, {"acme": HELD - CAP})
        self.assertEqual(report.caps, {"acme": CAP})


class TraceTest(unittest.TestCase):
    """The lines of all routers add up to the rows."""

    @in_virtual_time
    async def test_lines_add_up_to_what_the_rows_say(self):
        rng = random.Random(7)
        fleet = SimulatedFleet({"acme": PREPAID * 10}, caps=True, loans=True, logs=True)
        names = ("r1", "r2", "r3")
        for name in names:
            await fleet.start(name)
        await asyncio.sleep(2)
        for absent_seconds in (0.4, 4.0, 1.0, 6.0):
            for _ in range(20):
                name = rng.choice(names)
                seconds = rng.uniform(0.1, 2.0)
                call = fleet.request(name, "acme", 200, rng.randrange(200), seconds)
                asyncio.ensure_future(call)
                await asyncio.sleep(0.05)
            name = rng.choice(names)
            await fleet.kill(name)
            await asyncio.sleep(absent_seconds)
            await fleet.start(name)
            await asyncio.sleep(2)
        await asyncio.sleep(2)
        row = fleet.row()

        def total(outcome):
            return sum(line["tokens"] for line in allotment_lines(fleet, outcome))

        counted, billed = total("counted-spent"), total("billed")
        self.assertEqual(billed + counted, row.settled)
        self.assertEqual(
            total("granted") - total("returned") - total("reclaimed") - row.settled,
            sum(allotment.outstanding for allotment in row.allotments.values()),
        )
        self.assertEqual(sum(unbilled_tokens(fleet).values()), counted)
        self.assertEqual(unbilled_tokens(fleet).keys(), {"within-caps", "caps-lapsed"})
        last = max(
            (line for line in fleet.lines if line["message_type"] == "allotment"),
            key=lambda line: line["inputs"]["settled"],
        )
        self.assertEqual(last["inputs"]["settled"], row.settled)
        await fleet.stop()

    @in_virtual_time
    async def test_reservation_names_its_lenders(self):
        fleet = SimulatedFleet({"acme": PREPAID}, loans=True, logs=True)
        for name in ("r1", "r2"):
            await fleet.start(name)
        await asyncio.sleep(3)
        for client in fleet.clients.values():
            client.out = True
        free = fleet.routers["r1"].snapshot()["budgets"]["acme"]["free"]
        self.assertIsNone(await fleet.request("r1", "acme", free + 70, 1, 0.1))
        [line] = [
            line
            for line in fleet.lines
            if line["message_type"] == "budget" and line["outcome"] == "granted"
        ]
        self.assertEqual(line["inputs"], {"lent": 70, "lenders": {"r2.2": 70}})

    @in_virtual_time
    async def test_loan_that_is_not_repaid_counts_as_spent(self):
        fleet = SimulatedFleet({"acme": PREPAID}, loans=True, logs=True)
        router = await fleet.start("r1")
        await asyncio.sleep(2)
        router.loan_server.lend(Loan("gone/1", "acme", 150))
        await asyncio.sleep(LOAN_EXPIRY_SECONDS - 1)
        self.assertEqual(unbilled_tokens(fleet), {})
        await asyncio.sleep(3)
        self.assertEqual(unbilled_tokens(fleet), {"loan-expired": 150})
        await fleet.stop()


if __name__ == "__main__":
    unittest.main()
