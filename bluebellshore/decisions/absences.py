"""Finds absences of routers that left a request without the tokens it needed."""

from collections.abc import Iterable, Iterator

from bluebellshore.decisions.kinds import AllotmentOutcome, BudgetOutcome, Kind
from bluebellshore.decisions.reading import Record

__all__ = ["absence_notes"]

#: Statuses of refusals for want of tokens: none are left, or none are here.
EXHAUSTED_STATUS = 402
UNAVAILABLE_STATUS = 503
#: Absences that one note names, those that took the most tokens.
MAX_NAMED_ABSENCES = 3


def absence_notes(records: Iterable[Record]) -> Iterator[str]:
    """Yield notes on the absences that a refusal for want of tokens is due to.

    Tokens that were counted as spent before the refusal are its cause if they would
    have covered what was lacking. Those of a router that was absent at the time are the
    cause of a 503 if they would have.

    Lines of other processes are compared by wall clock time.

    :param records: lines about the request and those about the state of all processes.
    """
    records = list(records)
    statuses_by_process = {
        record.process: record.fields.get("status")
        for record in records
        if record.request and record.kind == Kind.REFUSED.value
    }
    changes = [r for r in records if r.kind == Kind.ALLOTMENT.value]
    for record in records:
        if (
            record.request
            and record.kind == Kind.BUDGET.value
            and record.fields.get("outcome") == BudgetOutcome.SHORT.value
        ):
            status = statuses_by_process.get(record.process)
            yield from _refusal_notes(record, status, changes)


def _refusal_notes(
    refusal: Record, status: object, changes: list[Record]
) -> Iterator[str]:
    """Yield the notes on one refusal.

    :param refusal: line that tells that the tokens were short.
    :param status: HTTP status of the answer.
    """
    inputs = _inputs(refusal)
    if status == EXHAUSTED_STATUS:
        present = _number(inputs.get("cover"))
    elif status == UNAVAILABLE_STATUS and not inputs.get("store_lost"):
        present = _number(inputs.get("balance"))
    else:
        return
    lacking = _number(refusal.fields.get("tokens")) - present
    if lacking <= 0:
        return
    customer = refusal.fields.get("customer")
    own = [r for r in changes if r.fields.get("customer") == customer]
    counted = AllotmentOutcome.COUNTED_SPENT.value
    lost = [
        r
        for r in own
        if r.fields.get("outcome") == counted and r.timestamp <= refusal.timestamp
    ]
    if _sum_tokens(lost) >= lacking:
        lost.sort(key=_tokens, reverse=True)
        named = "; ".join(
            f"{_tokens(change):.0f} {refusal.timestamp - change.timestamp:.1f} s "
            f"before ({change.fields.get('reason')})"
            for change in lost[:MAX_NAMED_ABSENCES]
        )
        others = len(lost) - MAX_NAMED_ABSENCES
        yield (
            f"{refusal.process}: {lacking:.0f} tokens of {customer} were lacking; "
            f"{_sum_tokens(lost):.0f} had been counted as spent without a bill: "
            f"{named}{f'; and {others} more lines' if others > 0 else ''}"
        )
    if status != UNAVAILABLE_STATUS:
        return
    reclaimed = AllotmentOutcome.RECLAIMED.value
    away = [
        r
        for r in own
        if r.fields.get("outcome") in (reclaimed, counted)
        and _was_away(r, refusal.timestamp)
    ]
    if _sum_tokens(away) < lacking:
        return
    tokens_by_router: dict[str, float] = {}
    ends_by_router: dict[str, float] = {}
    for change in away:
        router = str(_inputs(change).get("predecessor"))
        tokens_by_router[router] = tokens_by_router.get(router, 0) + _tokens(change)
        ends_by_router[router] = change.timestamp - refusal.timestamp
    for router, tokens in tokens_by_router.items():
        yield (
            f"{refusal.process}: {lacking:.0f} tokens of {customer} were lacking; "
            f"{tokens:.0f} were with {router}, which was absent, and were settled or "
            f"returned {ends_by_router[router]:.1f} s later"
        )


def _was_away(change: Record, timestamp: float) -> bool:
    """Return whether the tokens of a change were with an absent router at a time."""
    away_seconds = _number(_inputs(change).get("away_seconds"))
    return change.timestamp - away_seconds <= timestamp < change.timestamp


def _sum_tokens(changes: Iterable[Record]) -> float:
    return sum(map(_tokens, changes))


def _tokens(change: Record) -> float:
    return _number(change.fields.get("tokens"))


def _inputs(record: Record) -> dict[str, object]:
    inputs = record.fields.get("inputs")
    return inputs if isinstance(inputs, dict) else {}


def _number(value: object) -> float:
    """Return a number of a line; 0 if it is none, as lines may be damaged."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return value if is_number else 0
