"""Audit of a run: budgets, bills, executions and answers, compared with each other."""

import asyncio
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from enum import Enum

import msgspec

from bluebellshore.budget.rows import Bill, BudgetRow, LedgerRow, budget_key, decode_row
from bluebellshore.bundle.model import Bundle
from bluebellshore.errors import BluebellshoreError
from bluebellshore.ids import BudgetId, RequestKey
from bluebellshore.load.results import CallKind, CallOutcome, CallResult
from bluebellshore.store.interface import Row, TableService

__all__ = [
    "AuditError",
    "Execution",
    "Finding",
    "FindingKind",
    "RunRecord",
    "audit",
    "read_accounts",
    "read_bills",
    "scan_all",
]

LEDGER_PREFIX = "ledger/"
SCAN_ROWS = 1000
#: Time in which the budgets must stay unchanged for as long as the ledger is read.
STEADY_LIMIT_SECONDS = 20.0
#: Pause before the budgets and the ledger are read again.
REREAD_SECONDS = 0.05


class AuditError(BluebellshoreError):
    """The rows of a run could not be read for an audit."""


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


async def read_accounts(
    table: TableService,
    budgets: Iterable[BudgetId],
    *,
    limit_seconds: float = STEADY_LIMIT_SECONDS,
) -> tuple[dict[BudgetId, BudgetRow], list[Bill]]:
    """Read the rows of budgets and the ledger as they were at one moment.

    A bill is written in one transaction with the row of its budget, so the ledger
    holds the bills of just these rows if none of them was written while it was read.
    Otherwise all is read again.

    :param limit_seconds: time after which no further attempt is made.
    :return: rows by budget, and all bills.
    :raises AuditError: the rows were written during each attempt.
    """
    ids = list(budgets)
    keys = [budget_key(budget) for budget in ids]
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_seconds
    while True:
        rows_by_key = await table.read(keys)
        bills = await read_bills(table)
        if await table.read(keys) == rows_by_key:
            break
        if loop.time() > end:
            message = f"budgets were written during each read for {limit_seconds} s"
            raise AuditError(message, step="audit.read")
        await asyncio.sleep(REREAD_SECONDS)
    decoded = (decode_row(rows_by_key.get(key), BudgetRow) for key in keys)
    return dict(zip(ids, (row or BudgetRow() for row in decoded), strict=True)), bills


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
