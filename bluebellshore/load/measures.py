"""Measures of a run, summed up from its results and its audit."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from bluebellshore.bundle.model import Bundle
from bluebellshore.ids import BudgetId
from bluebellshore.load.audit import Finding, RunRecord
from bluebellshore.load.results import CallKind, CallOutcome, CallResult

__all__ = ["Latency", "Measures", "measure", "latency_of"]

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 3_600 * MICROSECONDS
DIGITS = 3


class Latency(msgspec.Struct, frozen=True):
    """Percentiles in seconds."""

    count: int
    median: float
    p95: float
    p99: float
    longest: float


class Measures(msgspec.Struct):
    """What a run showed.

    :param outcomes: calls by outcome.
    :param refusals: refusals by status.
    :param false_refusals: calls refused for money (402) though their budget had
        more than their cost left at the end.
    :param lost_plans: deferred calls that ended neither with an answer, nor as a
        stored job that waits, nor with a true refusal.
    :param attempts: tries of all calls.
    :param bills: bills in the ledger.
    :param executions: most executions of one order; None when not asked for.
    """

    calls: int
    outcomes: dict[str, int]
    refusals: dict[str, int]
    false_refusals: int
    lost_plans: int
    attempts: int
    bills: int
    billed_tokens: int
    overspent_tokens: int
    executions: int | None
    first_token: Latency | None
    between_tokens: Latency | None
    findings: list[Finding]
    findings_by_kind: dict[str, int]


def latency_of(seconds: Iterable[float]) -> Latency | None:
    """Sum up times; None when there are none."""
    histogram = HdrHistogram(1, LONGEST_MICROSECONDS, DIGITS)
    for value in seconds:
        histogram.record_value(max(1, round(value * MICROSECONDS)))
    if not histogram.get_total_count():
        return None
    at = lambda share: histogram.get_value_at_percentile(share) / MICROSECONDS  # noqa: E731
    return Latency(histogram.get_total_count(), at(50), at(95), at(99), at(100))


def measure(record: RunRecord, findings: Sequence[Finding]) -> Measures:
    """Sum up a run."""
    results = record.results
    refused = [
        result
        for result in results
        if result.outcome in (CallOutcome.NOT_RUN, CallOutcome.UNKNOWN)
    ]
    timed = [result for result in results if _is_timed(result)]
    first = (result.first_token_seconds for result in timed)
    gaps = (gap for result in timed for gap in result.gaps_seconds)
    return Measures(
        calls=len(results),
        outcomes=_counted(result.outcome.value for result in results),
        refusals=_counted(str(result.status) for result in refused),
        false_refusals=sum(_is_false_refusal(result, record) for result in refused),
        lost_plans=sum(_is_lost(result) for result in results),
        attempts=sum(result.attempts for result in results),
        bills=len(record.bills),
        billed_tokens=sum(bill.tokens for bill in record.bills),
        overspent_tokens=_overspent(record),
        executions=_most_executions(record),
        first_token=latency_of(value for value in first if value is not None),
        between_tokens=latency_of(gaps),
        findings=list(findings),
        findings_by_kind=_counted(finding.kind.value for finding in findings),
    )


def _is_lost(result: CallResult) -> bool:
    kept = (CallOutcome.WHOLE, CallOutcome.WAITING, CallOutcome.NOT_RUN)
    return result.call.kind is CallKind.DEFERRED and result.outcome not in kept


def _is_timed(result: CallResult) -> bool:
    """Whether a call's times are the fleet's: streamed, by a reader that keeps up."""
    streams = result.call.kind is CallKind.CHAT and result.call.stream
    return streams and not result.slow


def _counted(names: Iterable[str]) -> dict[str, int]:
    return dict(sorted(Counter(names).items()))


def _spent(record: RunRecord, budget: BudgetId) -> int:
    return sum(bill.tokens for bill in record.bills if bill.budget == budget)


def _overspent(record: RunRecord) -> int:
    prepaid = record.bundle.budgets
    return sum(
        max(0, _spent(record, budget) - stated.prepaid_total)
        for budget, stated in prepaid.items()
    )


def _is_false_refusal(result: CallResult, record: RunRecord) -> bool:
    if result.status != 402:
        return False
    bundle: Bundle = record.bundle
    budget = bundle.customers[result.customer].budget
    left = bundle.budgets[budget].prepaid_total - _spent(record, budget)
    return left >= _cost(result, bundle)


def _cost(result: CallResult, bundle: Bundle) -> int:
    """Return what a call would cost at most, by its content."""
    if result.call.kind in (CallKind.ORDER, CallKind.STOCK):
        return bundle.routes[result.call.route].price
    return len(result.call.text.encode()) // 4 + 1 + (result.call.max_tokens or 0)


def _most_executions(record: RunRecord) -> int | None:
    if record.executions is None:
        return None
    orders = {
        f"{result.customer}/{result.call.key}"
        for result in record.results
        if result.call.kind is CallKind.ORDER
    }
    counts = Counter(e.key for e in record.executions if e.key in orders)
    return max(counts.values(), default=0)
