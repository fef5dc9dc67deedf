"""Checks of promises by what callers and backend servers saw."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from http import HTTPStatus

import msgspec

from bluebellshore.platform.names import KEY_HEADER, TENANT_HEADER
from bluebellshore.soak.callers import PAID_COST, Kind, Sent, right_answer
from bluebellshore.soak.faults import Happened
from bluebellshore.soak.schedule import Action
from bluebellshore.soak.stops import (
    CONTACT_SECONDS,
    lost_in_stop,
    may_be_cut,
    only_planned_around,
)
from bluebellshore.soak.system import CUSTOMERS, PAID, Emptied, Stop
from bluebellshore.standin.runner import Arrival

__all__ = ["Broken", "Record", "check"]

#: Answers that promise that a request has not run and never will.
PROMISES = frozenset({408, 421, 429, 503})
#: Bound of the requests to a leaving backend server, with slack.
DRAIN_SECONDS = 3.0
#: Bound of the requests to a zone that is to be empty.
EVACUATION_SECONDS = 5.0
#: Part of its time after which a request's end is no longer put down to planned work.
MOST_TIME_SHARE = 0.7
#: Time in which a configuration reaches undisturbed routers, with time to spare.
SPREAD_SECONDS = 6.0
#: Time after which nothing may still run for a caller that has its answer or left:
#: the longest deadline of callers and time to spare.
WORK_ENDS_SECONDS = 8.0


#: What takes no router's contact with the store or with a backend server.
_KEEPS_CONTACT = frozenset(
    {
        Action.SERVER_DRAIN,
        Action.SERVER_CRASH,
        Action.SERVER_SPOILS,
        Action.CONFIGURATION,
        Action.TOP_UP,
        Action.ROUTER_RELOAD,
        Action.ROUTER_SETTINGS,
        Action.ZONE_EVACUATED,
    }
)


class Broken(msgspec.Struct, frozen=True):
    """A promise that was broken.

    :param promise: its name.
    :param request: attempt id, or the process concerned.
    """

    promise: str
    request: str
    detail: str
    router: str = ""


class Record(msgspec.Struct):
    """What was seen in a run.

    :param left_at: by id of a backend server, when the store took that it leaves.
    :param prepaid: the highest total that was ever in force.
    :param ended: ends of processes that nobody asked for.
    :param ended_at: monotonic seconds of the end of the run.
    :param configured_at: when the store took each configuration, by number.
    :param stops: of all routers.
    :param emptied: times in which zones were empty by the store.
    :param zone_by_server: zones by id of a backend server.
    :param crashed_cold_at: when backend servers got too much while they were cold.
    """

    sent: list[Sent]
    arrivals: list[Arrival]
    left_at: dict[str, float]
    prepaid: int
    happened: list[Happened]
    ended: list[str]
    ended_at: float = 0.0
    configured_at: dict[int, float] = msgspec.field(default_factory=dict)
    stops: list[Stop] = msgspec.field(default_factory=list)
    emptied: list[Emptied] = msgspec.field(default_factory=list)
    zone_by_server: dict[str, str] = msgspec.field(default_factory=dict)
    crashed_cold_at: dict[str, float] = msgspec.field(default_factory=dict)


def check(record: Record) -> list[Broken]:
    """Return the promises that a run broke."""
    by_attempt: dict[str, list[Arrival]] = defaultdict(list)
    for seen in record.arrivals:
        by_attempt[seen.attempt_id].append(seen)
    broken = [Broken("own end", name, name, name.split()[0]) for name in record.ended]
    for sent in record.sent:
        broken += _check_runs(sent, by_attempt[sent.attempt_id])
        broken += _check_answer(sent)
        broken += _check_head(sent, by_attempt[sent.attempt_id])
        broken += _check_stop(sent, by_attempt[sent.attempt_id], record)
    broken += _check_arrivals(record.sent, record.arrivals)
    broken += _check_budget(record)
    broken += _check_drain(record)
    broken += _check_emptied(record)
    broken += _check_cold(record)
    broken += _check_configurations(record.sent)
    broken += _check_work_ends(record)
    broken += _check_spread(record)
    return broken


def _check_runs(sent: Sent, arrivals: Sequence[Arrival]) -> Iterable[Broken]:
    runs = sum(seen.ran for seen in arrivals)
    if sent.kind.repeatable:
        return
    if runs > 1:
        where = [f"{seen.runner_id} {seen.outcome}" for seen in arrivals]
        yield Broken("never twice", sent.attempt_id, str(where), sent.router)
    if runs and sent.status in PROMISES and not sent.signed:
        detail = f"answered {sent.status} and ran {runs} times"
        yield Broken("true refusals", sent.attempt_id, detail, sent.router)


def _check_answer(sent: Sent) -> Iterable[Broken]:
    if not 200 <= sent.status < 300:
        return
    right = right_answer(sent)
    problem = ""
    if not sent.signed or sent.answered_id != sent.attempt_id:
        problem = f"signed {sent.signed}, of {sent.answered_id!r}"
    elif sent.whole and sent.answer != right:
        problem = f"whole, but {sent.answer[-80:]!r}"
    elif not right.startswith(sent.answer):
        problem = f"not the begin of its answer: {sent.answer[-80:]!r}"
    if problem:
        yield Broken("whole answers", sent.attempt_id, problem, sent.router)


def _check_head(sent: Sent, arrivals: Sequence[Arrival]) -> Iterable[Broken]:
    """Callers here send heads whole, so that none is late."""
    if sent.status == HTTPStatus.REQUEST_TIMEOUT and not arrivals:
        yield Broken("heads are read", sent.attempt_id, "answered 408", sent.router)


def _check_stop(
    sent: Sent, arrivals: Sequence[Arrival], record: Record
) -> Iterable[Broken]:
    """A request that was passed on is answered, with planned work alone around it."""
    lost = lost_in_stop(sent, arrivals, record.happened, record.stops)
    if lost:
        yield Broken("stops lose nothing", sent.attempt_id, lost, sent.router)
    if may_be_cut(sent, arrivals, record.stops):
        return
    if sent.left or not sent.error or not any(seen.ran for seen in arrivals):
        return
    if any(seen.outcome not in ("done", "left", "running") for seen in arrivals):
        return
    if sent.ended_at - sent.at > MOST_TIME_SHARE * sent.deadline_seconds:
        return
    work = only_planned_around(sent, record.happened)
    if work:
        detail = f"{sent.error}, status {sent.status}, around it {work}"
        yield Broken("planned work cuts nothing", sent.attempt_id, detail, sent.router)


def _check_arrivals(
    all_sent: Sequence[Sent], arrivals: Sequence[Arrival]
) -> Iterable[Broken]:
    by_attempt = {sent.attempt_id: sent for sent in all_sent}
    for seen in arrivals:
        sent = by_attempt.get(seen.attempt_id)
        if sent is None:
            yield Broken("only what was asked", seen.attempt_id, "unknown id")
            continue
        asked = ("POST", sent.path, sent.body, sent.customer)
        customer = seen.headers.get(TENANT_HEADER.lower())
        if asked != (seen.method, seen.target, seen.body, customer):
            detail = f"{seen.method} {seen.target} for {customer}"
            yield Broken("only what was asked", seen.attempt_id, detail, sent.router)
        keys = [key for key in CUSTOMERS.values() if key in seen.headers.values()]
        if keys or KEY_HEADER.lower() in seen.headers:
            yield Broken("keys stay here", seen.attempt_id, "key passed on")
        if seen.ran and not seen.runner_id.startswith(sent.kind.service):
            yield Broken("routes", seen.attempt_id, f"ran at {seen.runner_id}")


def _check_budget(record: Record) -> Iterable[Broken]:
    paid = {sent.attempt_id for sent in record.sent if sent.customer == PAID}
    runs = Counter(
        seen.attempt_id
        for seen in record.arrivals
        if seen.ran and seen.attempt_id in paid
    )
    spent = runs.total() * PAID_COST
    if spent > record.prepaid:
        detail = f"{spent} tokens spent of {record.prepaid}"
        yield Broken("prepaid totals", PAID, detail)


def _check_drain(record: Record) -> Iterable[Broken]:
    for seen in record.arrivals:
        left_at = record.left_at.get(seen.runner_id)
        if left_at is None or seen.outcome == "misdirected":
            continue
        late = seen.at - left_at
        if late > DRAIN_SECONDS and not _disturbed(record, left_at, seen.at):
            detail = f"reached {seen.runner_id} {late:.2f} s after it left"
            yield Broken("drain", seen.attempt_id, detail)


def _check_emptied(record: Record) -> Iterable[Broken]:
    """Undisturbed routers send nothing to a zone that is to be empty."""
    for seen in record.arrivals:
        zone = record.zone_by_server.get(seen.runner_id)
        for emptied in record.emptied:
            late = seen.at - emptied.at
            if emptied.zone != zone or seen.outcome == "misdirected":
                continue
            if not EVACUATION_SECONDS < late or seen.at >= emptied.until:
                continue
            if not _disturbed(record, emptied.at, seen.at):
                detail = f"reached {seen.runner_id} {late:.2f} s after the request"
                yield Broken("zones stay empty", seen.attempt_id, detail)


def _check_cold(record: Record) -> Iterable[Broken]:
    """Cold backend servers get no more than they tolerate.

    What tells routers that a server is cold is its entry.
    """
    for name, at in record.crashed_cold_at.items():
        store_faults = [
            other
            for other in record.happened
            if other.fault.action.value.startswith("store")
            and other.began_at < at < other.ended_at + CONTACT_SECONDS
        ]
        if not store_faults:
            yield Broken("cold servers", name, "crashed by too many requests")


def _disturbed(record: Record, since: float, until: float) -> bool:
    """Return whether some fault may have kept news from a router."""
    return any(
        other.began_at < until
        and other.ended_at + CONTACT_SECONDS > since
        and other.fault.action not in _KEEPS_CONTACT
        for other in record.happened
    )


def _check_work_ends(record: Record) -> Iterable[Broken]:
    """At the end nothing runs on for callers that left long ago.

    A connection that was silenced never tells the backend server that it closed.
    """
    if any(h.fault.action is Action.SERVER_LINK_SILENT for h in record.happened):
        return
    by_attempt = {sent.attempt_id: sent for sent in record.sent}
    for seen in record.arrivals:
        sent = by_attempt.get(seen.attempt_id)
        if sent is None or seen.ended_at or not sent.ended_at:
            continue
        waited = record.ended_at - sent.ended_at
        if waited > WORK_ENDS_SECONDS:
            detail = f"still at work at {seen.runner_id} {waited:.1f} s later"
            yield Broken("work ends", seen.attempt_id, detail, sent.router)


def _check_spread(record: Record) -> Iterable[Broken]:
    """Undisturbed routers follow a configuration in time."""
    for sent in record.sent:
        if sent.kind is not Kind.ADDED or sent.status != 404:
            continue
        at = record.configured_at.get(sent.number, sent.at)
        disturbed = [
            other
            for other in record.happened
            if other.began_at < sent.ended_at
            and other.ended_at + CONTACT_SECONDS > at
            and other.fault.action not in (Action.CONFIGURATION, Action.TOP_UP)
        ]
        if sent.at - at > SPREAD_SECONDS and not disturbed:
            detail = f"404 for configuration {sent.number}, {sent.at - at:.1f} s old"
            yield Broken("configurations spread", sent.attempt_id, detail, sent.router)


def _check_configurations(all_sent: Sequence[Sent]) -> Iterable[Broken]:
    """Once a life of a router served an added route, it never denies it again."""
    served: dict[tuple[str, int], list[Sent]] = defaultdict(list)
    for sent in all_sent:
        if sent.kind is Kind.ADDED and sent.status and sent.life == sent.life_at_end:
            served[sent.router, sent.life].append(sent)
    for requests in served.values():
        yield from _check_life(requests)


def _check_life(requests: Iterable[Sent]) -> Iterable[Broken]:
    by_end = sorted(requests, key=lambda sent: sent.ended_at)
    for denied in (sent for sent in by_end if sent.status == 404):
        for other in by_end:
            known = other.status != 404 and other.number >= denied.number
            if known and other.ended_at < denied.at and _came_through(other):
                detail = (
                    f"404 for configuration {denied.number}, which "
                    f"{other.attempt_id} had shown in force"
                )
                yield Broken("never back", denied.attempt_id, detail, denied.router)
                break


def _came_through(sent: Sent) -> bool:
    """Whether its answer shows that its route was in force."""
    return sent.signed
