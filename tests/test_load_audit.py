"""Tests of the audit: each fault it is meant for is found."""

import unittest

from bluebellshore.budget.rows import (
    Allotment,
    Bill,
    BudgetRow,
    LedgerRow,
    budget_key,
    encode_row,
    ledger_key,
)
from bluebellshore.bundle.model import Budget, Bundle
from bluebellshore.load.audit import (
    AuditError,
    Execution,
    FindingKind,
    RunRecord,
    audit,
    read_accounts,
)
from bluebellshore.load.results import Call, CallKind, CallOutcome, CallResult
from bluebellshore.store.interface import ABSENT, Write
from bluebellshore.store.memory import MemoryTable


def bill(key="c/k", tokens=5, attempt="a1"):
    return Bill(attempt, key, "c", "b", "r", "v1", tokens)


def result(outcome=CallOutcome.WHOLE, kind=CallKind.ORDER, **fields):
    call = Call(kind=kind, route="r", text="x", key="k")
    return CallResult(call, "c", 0.0, outcome=outcome, **fields)


def record(bills, results, executions, *, settled=None, outstanding=0, prepaid=100):
    bundle = Bundle(1, 0, {}, {"b": Budget(prepaid)}, {}, {})
    total = sum(b.tokens for b in bills) if settled is None else settled
    row = BudgetRow(settled=total, allotments={"i": Allotment(outstanding)})
    return RunRecord(bundle, {"b": row}, bills, results, executions)


class AuditTest(unittest.TestCase):
    def kinds(self, *args, **kwargs):
        return [finding.kind for finding in audit(record(*args, **kwargs))]

    def test_clean_run_has_no_findings(self):
        runs = [Execution("c/k")]
        self.assertEqual(self.kinds([bill()], [result(usage_tokens=5)], runs), [])

    def test_finds_overspend_in_allotments(self):
        found = self.kinds([bill(tokens=60)], [], [], outstanding=41)
        self.assertEqual(found, [FindingKind.OVERSPEND])

    def test_finds_settled_total_without_its_bills(self):
        found = self.kinds([bill()], [], [], settled=6)
        self.assertEqual(found, [FindingKind.LEDGER_MISMATCH])

    def test_finds_missing_double_and_wrong_bills(self):
        self.assertEqual(self.kinds([], [result()], []), [FindingKind.MISSING_BILL])
        twice = [bill(), bill(attempt="a2")]
        self.assertEqual(self.kinds(twice, [result()], []), [FindingKind.DOUBLE_BILL])
        found = self.kinds([bill()], [result(usage_tokens=4)], [])
        self.assertEqual(found, [FindingKind.WRONG_BILL])

    def test_finds_false_not_run(self):
        refused = result(CallOutcome.NOT_RUN)
        found = self.kinds([], [refused], [Execution("c/k")])
        self.assertEqual(found, [FindingKind.FALSE_NOT_RUN])

    def test_finds_double_execution_of_an_order(self):
        runs = [Execution("c/k"), Execution("c/k")]
        found = self.kinds([bill()], [result()], runs)
        self.assertEqual(found, [FindingKind.DOUBLE_EXECUTION])

    def test_finds_wrong_answer(self):
        found = self.kinds([bill()], [result(CallOutcome.WRONG)], [])
        self.assertEqual(found, [FindingKind.WRONG_ANSWER])


class SettlingTable(MemoryTable):
    """Table on which a router settles a bill before some of the audit's calls.

    :param settles_before: calls before which a bill is settled, by their number.
    """

    def __init__(self, settles_before):
        super().__init__()
        self.settles_before = settles_before
        self.calls = 0
        self.settled = 0

    async def settle(self):
        """Settle one more bill, in one transaction as routers do it."""
        key = budget_key("b")
        row = self.rows_by_key.get(key)
        self.settled += 1
        number = self.settled
        batch = LedgerRow([bill(f"c/{number}", attempt=f"a{number}")])
        total = encode_row(BudgetRow(settled=5 * number))
        writes = [
            Write(key, row.version if row else ABSENT, total),
            Write(ledger_key("i", number), ABSENT, encode_row(batch)),
        ]
        await self.transact(writes)

    async def read(self, keys):
        await self._count_call()
        return await super().read(keys)

    async def scan(self, prefix, after="", limit=1000):
        await self._count_call()
        return await super().scan(prefix, after, limit)

    async def _count_call(self):
        self.calls += 1
        if self.settles_before(self.calls):
            await self.settle()


class ReadAccountsTest(unittest.IsolatedAsyncioTestCase):
    async def findings(self, table):
        budgets, bills = await read_accounts(table, ["b"])
        bundle = Bundle(1, 0, {}, {"b": Budget(100)}, {}, {})
        return bills, audit(RunRecord(bundle, budgets, bills, []))

    async def test_bills_settled_between_the_reads_are_no_mismatch(self):
        for call in range(1, 5):
            with self.subTest(call=call):
                table = SettlingTable(lambda number, call=call: number == call)
                await table.settle()
                bills, findings = await self.findings(table)
                self.assertEqual(findings, [])
                self.assertEqual(len(bills), 2 if call < 4 else 1)

    async def test_first_bill_of_a_budget_between_the_reads(self):
        table = SettlingTable(lambda number: number == 2)
        bills, findings = await self.findings(table)
        self.assertEqual((len(bills), findings), (1, []))

    async def test_a_lasting_mismatch_is_found_after_a_reread(self):
        table = SettlingTable(lambda number: number == 2)
        await table.settle()
        lost = encode_row(LedgerRow([]))
        key = ledger_key("i", 1)
        await table.transact([Write(key, table.rows_by_key[key].version, lost)])
        _, findings = await self.findings(table)
        self.assertEqual([f.kind for f in findings], [FindingKind.LEDGER_MISMATCH])

    async def test_rows_that_never_stay_are_an_error(self):
        table = SettlingTable(lambda number: True)
        with self.assertRaises(AuditError):
            await read_accounts(table, ["b"], limit_seconds=0.1)
