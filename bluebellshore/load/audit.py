"""Audit of a run: budgets, bills, executions and answers, compared with each other."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from bluebellshore.budget.rows import Bill, BudgetRow, LedgerRow, budget_key, decode_row
from bluebellshore.bundle.model import Bundle
from bluebellshore.ids import BudgetId, RequestKey
from bluebellshore.load.results import CallKind, CallOutcome, CallResult
from bluebellshore.store.interface import Row, TableService

__all__ = [
    "Execution",
    "Finding",
    "FindingKind",
    "RunRecord",
    "audit",
    "read_bills",
    "read_budgets",
    "scan_all",
]

LEDGER_PREFIX = "ledger/"
SCAN_ROWS = 1000


class FindingKind(Enum):
    """What the audit found wrong."""

    OVERSPEND = "overspend"
    LEDGER_MISMATCH = "ledger-mismatch"
    MISSING_BILL = "missing-bill"
    DOUBLE_BILL = "double-bill"
    WRONG_BILL = "wrong-bill"
    FALSE_NOT_RUN = "false-not-run"
    DOUBLE_EXECUTION = "double-execution"
    WRONG_ANSWER = "wrong-answer"


class Finding(msgspec.Struct, frozen=True):
    """One thing that should not be.

    :param subject: budget or request key.
    """

    kind: FindingKind
    subject: str
    detail: str


class Execution(msgspec.Struct, frozen=True):
    """One run of a request on a backend server.

    :param key: request key that the backend server was shown.
    :param tokens: tokens that it counted, prompt included; 0 for plain services.
    """

    key: str
    tokens: int = 0


class RunRecord(msgspec.Struct):
    """All that is known at the end of a run.

    :param bundle: bundle with the last prepaid totals.
    :param executions: None when the backend servers were not asked.
    """

    bundle: Bundle
    budgets_by_id: dict[BudgetId, BudgetRow]
    bills: list[Bill]
    results: list[CallResult]
    executions: list[Execution] | None = None


async def scan_all(table: TableService, prefix: str) -> list[Row]:
    """Read all rows whose key has `prefix`."""
    rows: list[Row] = []
    while True:
        after = rows[-1].key if rows else ""
        found = await table.scan(prefix, after, SCAN_ROWS)
        rows += found
        if len(found) < SCAN_ROWS:
            return rows


async def read_bills(table: TableService) -> list[Bill]:
    """Read the whole ledger."""
    rows = await scan_all(table, LEDGER_PREFIX)
    return [bill for row in rows for bill in decode_row(row, LedgerRow).bills]


async def read_budgets(
    table: TableService, budgets: Iterable[BudgetId]
) -> dict[BudgetId, BudgetRow]:
    """Read the rows of budgets. :return: rows by budget."""
    ids = list(budgets)
    rows = await table.read([budget_key(budget) for budget in ids])
    return {
        budget: decode_row(rows.get(budget_key(budget)), BudgetRow) or BudgetRow()
        for budget in ids
    }


def audit(record: RunRecord) -> list[Finding]:
    """Return all that is wrong with a run.

    Bills are written in batches, so a missing one counts only once all is settled.
    """
    findings = list(_check_budgets(record))
    findings += _check_bills(record)
    findings += _check_answers(record)
    if record.executions is not None:
        findings += _check_executions(record)
    return findings


def _check_budgets(record: RunRecord) -> Iterator[Finding]:
    billed_by_budget: Counter[BudgetId] = Counter()
    for bill in record.bills:
        billed_by_budget[bill.budget] += bill.tokens
    for budget, stated in record.bundle.budgets.items():
        row = record.budgets_by_id.get(budget, BudgetRow())
        outstanding = sum(a.outstanding for a in row.allotments.values())
        used = max(row.settled, billed_by_budget[budget]) + outstanding
        if used > stated.prepaid_total:
            detail = f"{used} tokens of {stated.prepaid_total} prepaid"
            yield Finding(FindingKind.OVERSPEND, budget, detail)
        if row.settled != billed_by_budget[budget]:
            detail = f"settled {row.settled}, billed {billed_by_budget[budget]}"
            yield Finding(FindingKind.LEDGER_MISMATCH, budget, detail)


def _check_bills(record: RunRecord) -> Iterator[Finding]:
    bills_by_key: dict[RequestKey, list[Bill]] = defaultdict(list)
    for bill in record.bills:
        bills_by_key[bill.key].append(bill)
    for key, bills in bills_by_key.items():
        if len(bills) > 1:
            attempts = ", ".join(bill.attempt for bill in bills)
            yield Finding(FindingKind.DOUBLE_BILL, key, f"attempts {attempts}")
    for result in record.results:
        if result.call.key:
            yield from _check_bill_of(result, bills_by_key.get(_key_of(result), []))


def _check_bill_of(result: CallResult, bills: list[Bill]) -> Iterator[Finding]:
    key = _key_of(result)
    if result.outcome is CallOutcome.WHOLE and not bills:
        yield Finding(FindingKind.MISSING_BILL, key, "delivered whole and not billed")
    if _never_ran(result) and bills:
        yield Finding(FindingKind.WRONG_BILL, key, "refused as not run and billed")
    if result.outcome is CallOutcome.WHOLE and result.usage_tokens is not None:
        for bill in bills:
            if bill.tokens != result.usage_tokens:
                detail = f"billed {bill.tokens}, delivered {result.usage_tokens}"
                yield Finding(FindingKind.WRONG_BILL, key, detail)


def _check_answers(record: RunRecord) -> Iterator[Finding]:
    for result in record.results:
        if result.outcome is CallOutcome.WRONG:
            detail = (
                f"got {result.text[:80]!r}, not {(result.call.expected or '')[:80]!r}"
            )
            yield Finding(FindingKind.WRONG_ANSWER, _key_of(result), detail)


def _check_executions(record: RunRecord) -> Iterator[Finding]:
    executions_by_key: dict[str, list[Execution]] = defaultdict(list)
    for execution in record.executions:
        executions_by_key[execution.key].append(execution)
    for result in record.results:
        key = _key_of(result)
        count = len(executions_by_key[key])
        if result.call.kind is CallKind.ORDER and count > 1:
            yield Finding(FindingKind.DOUBLE_EXECUTION, key, f"ran {count} times")
        if _never_ran(result) and count:
            detail = f"refused as not run ({result.reason}), ran {count} times"
            yield Finding(FindingKind.FALSE_NOT_RUN, key, detail)


def _never_ran(result: CallResult) -> bool:
    """Whether the caller was told that its request did not run at all."""
    return result.outcome is CallOutcome.NOT_RUN and not result.cut_tries


def _key_of(result: CallResult) -> RequestKey:
    return RequestKey(f"{result.customer}/{result.call.key}")
