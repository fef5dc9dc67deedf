"""Judges a target version against the others on the same routes at the same time."""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from bluebellshore.canary import Assessment, CanaryVerdict, wilson_upper_bound
from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts.evidence import (
    LAST_BUCKET,
    Counts,
    Evidence,
    Key,
    bound_of,
)

__all__ = ["assess", "overdue_seconds"]

#: Spans that are judged: what breaks suddenly shows in the short one, small
#: differences in the whole order.
SPANS_SECONDS: tuple[float | None, ...] = (3.0, 10.0, None)
#: Largest probability of the evidence under a good version that counts as bad. It is
#: looked at several times a second for each route.
BAD_PROBABILITY = 1e-3
DOUBTFUL_PROBABILITY = 0.02
#: Terms of a tail that are smaller than this part of it are left out.
TAIL_PRECISION = 1e-6
#: Rate of failures and of slow answers that is allowed beyond the other versions'.
FAILED_MARGIN = 0.03
SLOW_MARGIN = 0.03
#: Answers that are slower by up to so many buckets (a factor of 1.6) show the server's
#: speed or its load.
SLOW_BUCKETS = 2
#: Parts of the others' answers below the times beyond which those of all routes
#: together count as slow.
SLOW_QUANTILES = (0.5, 0.75, 0.9, 0.97)
#: Answers of the other versions without which there is nothing to compare with.
LEAST_OTHERS = 12
#: Failures of one server that count beyond twice those of all others: the trouble of
#: one server is not the version's.
ONE_SERVER = 2
#: An attempt without an event is counted as slow beyond what this share of the others'
#: attempts took, and what is allowed on top.
OVERDUE_QUANTILE = 0.95


def assess(evidence: Evidence, now: float) -> Assessment:
    """Return what the evidence so far says about the target version."""
    whole = evidence.span(now, None)
    found = Assessment(CanaryVerdict.GOOD)
    for seconds in SPANS_SECONDS:
        span = whole if seconds is None else evidence.span(now, seconds)
        routes: list[RouteName | None] = [None, *_routes(span)]
        for route in routes:
            verdict = _assess_route(route, span, whole)
            if verdict.verdict is CanaryVerdict.BAD:
                return verdict
            if verdict.verdict is CanaryVerdict.DOUBTFUL:
                found = verdict
    return found


def overdue_seconds(evidence: Evidence, now: float) -> dict[RouteName, float]:
    """Return the time after which an attempt of a route counts as slow."""
    times: dict[RouteName, Counter[int]] = {}
    for key, counts in evidence.span(now, None).items():
        if not key.target:
            times.setdefault(key.route, Counter()).update(counts.first)
    shift = SLOW_BUCKETS + 1
    return {
        route: bound_of(_quantile(counts, OVERDUE_QUANTILE) + shift)
        for route, counts in times.items()
        if counts.total() >= LEAST_OTHERS
    }


def _quantile(counts: Counter[int], part: float) -> int:
    wanted = part * counts.total()
    below = 0
    for bucket in sorted(counts):
        below += counts[bucket]
        if below >= wanted:
            break
    return bucket


def _routes(counts_by_key: Iterable[Key]) -> list[RouteName]:
    return sorted({key.route for key in counts_by_key if key.target})


def _assess_route(
    route: RouteName | None, span: dict[Key, Counts], whole: dict[Key, Counts]
) -> Assessment:
    """Judge one route, or all of them together."""
    target = _select(span, route, target=True)
    others = [
        _sum(_select(span, route, target=False)),
        _sum(_select(whole, route, target=False)),
    ]
    found = [_assess_failures(target, others)]
    for name in ("first", "gap"):
        if route is None:
            found.append(_assess_slow_together(name, span, whole))
        else:
            found.append(_assess_slow(name, target, others))
    worst = max(found, key=lambda item: _RANK[item.verdict])
    if worst.verdict is CanaryVerdict.GOOD:
        return worst
    return Assessment(worst.verdict, f"{route or 'all routes'}: {worst.reason}")


_RANK = {CanaryVerdict.GOOD: 0, CanaryVerdict.DOUBTFUL: 1, CanaryVerdict.BAD: 2}


def _select(
    counts_by_key: dict[Key, Counts], route: RouteName | None, *, target: bool
) -> list[Counts]:
    """Return the counts of each server."""
    by_server: dict[str, Counts] = {}
    for key, counts in counts_by_key.items():
        if key.target is target and route in (None, key.route):
            by_server.setdefault(key.server, Counts()).add(counts)
    return list(by_server.values())


def _sum(parts: list[Counts]) -> Counts:
    total = Counts()
    for part in parts:
        total.add(part)
    return total


def _usual(others: list[tuple[int, int]]) -> float | None:
    """Return the highest rate that the others show, now or since the order.

    While the target version has most of the traffic, the others are idle and faster
    than usual; while the whole fleet is in trouble, they are in it too.
    """
    known = [
        wilson_upper_bound(bad, all_) for bad, all_ in others if all_ >= LEAST_OTHERS
    ]
    return max(known, default=None)


def _verdict(bad_by_server: list[tuple[int, int]], rate: float) -> CanaryVerdict:
    """Judge the target version's bad answers by server, against a rate."""
    total = sum(all_ for _, all_ in bad_by_server)
    bad = sum(bad for bad, _ in bad_by_server)
    if sum(1 for _, all_ in bad_by_server if all_) > 1:
        worst = max(bad for bad, _ in bad_by_server)
        dropped = max(0, bad - (2 * (bad - worst) + ONE_SERVER))
        bad, total = bad - dropped, total - dropped
    probability = _tail(bad, total, rate)
    if probability < BAD_PROBABILITY:
        return CanaryVerdict.BAD
    return (
        CanaryVerdict.DOUBTFUL
        if probability < DOUBTFUL_PROBABILITY
        else CanaryVerdict.GOOD
    )


def _tail(bad: int, total: int, rate: float) -> float:
    """Return the probability of `bad` or more among `total` at `rate`.

    Exact, as Chernoff's bound needs half as many answers again.
    """
    if rate >= 1.0 or bad <= total * rate:
        return 1.0
    term = math.exp(
        math.lgamma(total + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(total - bad + 1)
        + bad * math.log(rate)
        + (total - bad) * math.log1p(-rate)
    )
    sum_ = term
    for count in range(bad, total):
        term *= (total - count) / (count + 1) * rate / (1.0 - rate)
        sum_ += term
        if term < sum_ * TAIL_PRECISION:
            break
    return sum_


def _assess_failures(target: list[Counts], others: list[Counts]) -> Assessment:
    rate = _usual([(other.failed, other.ended) for other in others])
    if rate is None:
        return Assessment(CanaryVerdict.GOOD)
    counts = [(part.failed, part.ended) for part in target]
    total = _sum(target)
    reason = f"{total.failed} of {total.ended} failed, others {rate:.3f} at most"
    return Assessment(_verdict(counts, rate + FAILED_MARGIN), reason)


def _assess_slow(name: str, target: list[Counts], others: list[Counts]) -> Assessment:
    """Compare times with those of the others, made longer by what is allowed."""
    found = Assessment(CanaryVerdict.GOOD)
    times = [_above(getattr(part, name)) for part in target]
    usual = [_above(getattr(other, name)) for other in others]
    if not any(above[0] for above in times):
        return found
    for bucket in range(LAST_BUCKET - SLOW_BUCKETS + 1):
        limit = bucket + SLOW_BUCKETS + 1
        if not any(above[limit] for above in times):
            return found
        rate = _usual([(above[bucket + 1], above[0]) for above in usual])
        if rate is None:
            return found
        counts = [(above[limit], above[0]) for above in times]
        verdict = _verdict(counts, rate + SLOW_MARGIN)
        if _RANK[verdict] > _RANK[found.verdict]:
            slow = sum(bad for bad, _ in counts)
            total = sum(all_ for _, all_ in counts)
            found = Assessment(verdict, f"{slow} of {total} slow by {name} time")
            if verdict is CanaryVerdict.BAD:
                return found
    return found


class _RouteTimes(NamedTuple):
    """Times on one route as counts of each bucket and above."""

    target_by_server: dict[BackendServerId, list[int]]
    recent: list[int]
    whole: list[int]

    def bucket(self, quantile: float) -> int:
        """Return the bucket above which few of the others' answers lie."""
        least = (1.0 - quantile) * self.whole[0]
        return next(b for b in range(LAST_BUCKET + 1) if self.whole[b + 1] <= least)

    def rate(self, bucket: int) -> float:
        """Return the highest rate of the others' answers above a bucket."""
        known = (above for above in (self.recent, self.whole) if above[0])
        enough = [above for above in known if above[0] >= LEAST_OTHERS]
        return max(above[bucket + 1] / above[0] for above in enough)


def _assess_slow_together(
    name: str, span: dict[Key, Counts], whole: dict[Key, Counts]
) -> Assessment:
    """Compare times on all routes, each with its own usual times."""
    found = Assessment(CanaryVerdict.GOOD)
    routes = _times(name, span, whole)
    others = sum(route.whole[0] for route in routes)
    for quantile in SLOW_QUANTILES:
        bad: Counter[BackendServerId] = Counter()
        total: Counter[BackendServerId] = Counter()
        usual = 0.0
        for route in routes:
            bucket = route.bucket(quantile)
            limit = min(LAST_BUCKET, bucket + SLOW_BUCKETS) + 1
            for server, above in route.target_by_server.items():
                bad[server] += above[limit]
                total[server] += above[0]
                usual += above[0] * route.rate(bucket)
        if not total.total():
            continue
        rate = wilson_upper_bound(usual / total.total() * others, others) + SLOW_MARGIN
        verdict = _verdict([(bad[server], total[server]) for server in total], rate)
        if _RANK[verdict] > _RANK[found.verdict]:
            reason = f"{bad.total()} of {total.total()} slow by {name} time"
            found = Assessment(verdict, reason)
    return found


def _times(
    name: str, span: dict[Key, Counts], whole: dict[Key, Counts]
) -> list[_RouteTimes]:
    """Return the times on each route on which there is something to compare."""
    found = []
    for route in _routes(span):
        known = _above(getattr(_sum(_select(whole, route, target=False)), name))
        if known[0] < LEAST_OTHERS:
            continue
        recent = _above(getattr(_sum(_select(span, route, target=False)), name))
        target = {
            key.server: _above(getattr(counts, name))
            for key, counts in span.items()
            if key.target and key.route == route
        }
        found.append(_RouteTimes(target, recent, known))
    return found


def _above(counts: Counter[int]) -> list[int]:
    """Return for each bucket the count in it and above."""
    above = [0] * (LAST_BUCKET + 2)
    for bucket, count in counts.items():
        above[bucket] = count
    for bucket in range(LAST_BUCKET, -1, -1):
        above[bucket] += above[bucket + 1]
    return above
