"""Canary analysis of a rollout: judges the target version against the baseline.

The baseline is all other versions of the service, on the same routes at the same time.
"""

import math
from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from bluebellshore.canary import Assessment, CanaryVerdict, wilson_upper_bound
from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts.evidence import (
    LAST_BUCKET,
    AttemptCounts,
    CountsKey,
    RolloutEvidence,
    bucket_bound_seconds,
)

__all__ = ["assess", "overdue_seconds"]

#: Spans of time that are judged, None for all time since the order: the short one shows
#: sudden faults, the whole order shows small differences.
ANALYSIS_SPANS_SECONDS: tuple[float | None, ...] = (3.0, 10.0, None)
#: A version is bad when evidence like this or worse has a lower probability than this
#: with a good version. It is small as each route is judged several times a second.
BAD_P_VALUE = 1e-3
DOUBTFUL_P_VALUE = 0.02
#: The sum of a binomial tail ends at the first term below this fraction of the sum.
TAIL_PRECISION = 1e-6
#: Rates of failed and of slow answers that are allowed above the baseline's.
FAILURE_RATE_MARGIN = 0.03
SLOW_RATE_MARGIN = 0.03
#: Answers that are slower by up to this many latency buckets (a factor of 1.6) are
#: tolerated: servers differ that much in speed and load.
TOLERATED_BUCKETS = 2
#: Quantiles of the baseline's times on each route beyond which an answer is slow where
#: all routes are judged together.
BASELINE_QUANTILES = (0.5, 0.75, 0.9, 0.97)
#: Answers of the baseline that a comparison needs.
MIN_BASELINE_ANSWERS = 12
#: Bad answers of the worst server count up to the sum of all other servers' plus this
#: many, as the trouble of one server is not the version's.
MAX_OUTLIER_EXCESS = 2
#: An attempt is overdue beyond this quantile of the baseline's times to the first event
#: or between events, made longer by the tolerated buckets.
OVERDUE_QUANTILE = 0.95


def assess(evidence: RolloutEvidence, now: float) -> Assessment:
    """Judge the target version by the evidence so far.

    :return: the first bad assessment of any span and route, otherwise a doubtful one,
        otherwise a good one.
    """
    whole = evidence.counts_within(now, None)
    found = Assessment(CanaryVerdict.GOOD)
    for seconds in ANALYSIS_SPANS_SECONDS:
        span = whole if seconds is None else evidence.counts_within(now, seconds)
        routes: list[RouteName | None] = [None, *_target_routes(span)]
        for route in routes:
            assessment = _assess_route(route, span, whole)
            if assessment.verdict is CanaryVerdict.BAD:
                return assessment
            if assessment.verdict is CanaryVerdict.DOUBTFUL:
                found = assessment
    return found


def overdue_seconds(
    evidence: RolloutEvidence, now: float, measure: str = "first"
) -> dict[RouteName, float]:
    """Return the time by route beyond which a running attempt is slow.

    Routes with too few answers of the baseline are left out.

    :param measure: field of the counts that holds the times by bucket: of the first
        event, or of the gap between events.
    """
    times: dict[RouteName, Counter[int]] = {}
    for key, counts in evidence.counts_within(now, None).items():
        if not key.is_target:
            times.setdefault(key.route, Counter()).update(getattr(counts, measure))
    shift = TOLERATED_BUCKETS + 1
    return {
        route: bucket_bound_seconds(_quantile_bucket(counts, OVERDUE_QUANTILE) + shift)
        for route, counts in times.items()
        if counts.total() >= MIN_BASELINE_ANSWERS
    }


def _quantile_bucket(counts: Counter[int], quantile: float) -> int:
    wanted = quantile * counts.total()
    below = 0
    for bucket in sorted(counts):
        below += counts[bucket]
        if below >= wanted:
            break
    return bucket


def _target_routes(counts_by_key: Iterable[CountsKey]) -> list[RouteName]:
    return sorted({key.route for key in counts_by_key if key.is_target})


def _assess_route(
    route: RouteName | None,
    span: dict[CountsKey, AttemptCounts],
    whole: dict[CountsKey, AttemptCounts],
) -> Assessment:
    """Judge one route, or all routes together.

    :param route: None for all routes.
    :param span: counts of the span that is judged.
    :param whole: counts since the order.
    """
    target = _counts_by_server(span, route, target=True)
    baselines = [
        _total_counts(_counts_by_server(span, route, target=False)),
        _total_counts(_counts_by_server(whole, route, target=False)),
    ]
    found = [_assess_failures(target, baselines)]
    for measure in ("first", "gap"):
        if route is None:
            found.append(_assess_latency_of_all_routes(measure, span, whole))
        else:
            found.append(_assess_latency(measure, target, baselines))
    worst = max(found, key=lambda item: _SEVERITY[item.verdict])
    if worst.verdict is CanaryVerdict.GOOD:
        return worst
    return Assessment(worst.verdict, f"{route or 'all routes'}: {worst.reason}")


_SEVERITY = {CanaryVerdict.GOOD: 0, CanaryVerdict.DOUBTFUL: 1, CanaryVerdict.BAD: 2}


def _counts_by_server(
    counts_by_key: dict[CountsKey, AttemptCounts],
    route: RouteName | None,
    *,
    target: bool,
) -> list[AttemptCounts]:
    """Return the counts of each server, on one route or on all.

    :param target: whether to return the servers of the target version or the others.
    """
    by_server: dict[str, AttemptCounts] = {}
    for key, counts in counts_by_key.items():
        if key.is_target is target and route in (None, key.route):
            by_server.setdefault(key.server, AttemptCounts()).add(counts)
    return list(by_server.values())


def _total_counts(parts: list[AttemptCounts]) -> AttemptCounts:
    total = AttemptCounts()
    for part in parts:
        total.add(part)
    return total


def _baseline_rate(baselines: list[tuple[int, int]]) -> float | None:
    """Return the highest rate of bad answers that the baseline shows in any span.

    While the target version has most of the traffic, the baseline is idle and faster
    than usual, so its rate since the order counts too. While the whole fleet is in
    trouble, its recent rate shows that.

    :param baselines: bad answers and all answers, in the judged span and since the
        order.
    :return: None when no span has enough answers.
    """
    known = [
        wilson_upper_bound(bad, answers)
        for bad, answers in baselines
        if answers >= MIN_BASELINE_ANSWERS
    ]
    return max(known, default=None)


def _verdict(bad_by_server: list[tuple[int, int]], rate: float) -> CanaryVerdict:
    """Judge the target version's bad answers against an allowed rate.

    :param bad_by_server: bad answers and all answers of each server.
    """
    total = sum(answers for _, answers in bad_by_server)
    bad = sum(bad for bad, _ in bad_by_server)
    if sum(1 for _, answers in bad_by_server if answers) > 1:
        worst = max(bad for bad, _ in bad_by_server)
        dropped = max(0, bad - (2 * (bad - worst) + MAX_OUTLIER_EXCESS))
        bad, total = bad - dropped, total - dropped
    p_value = _binomial_tail(bad, total, rate)
    if p_value < BAD_P_VALUE:
        return CanaryVerdict.BAD
    return CanaryVerdict.DOUBTFUL if p_value < DOUBTFUL_P_VALUE else CanaryVerdict.GOOD


def _binomial_tail(bad: int, total: int, rate: float) -> float:
    """Return the probability of `bad` or more among `total` at `rate`.

    The sum is exact: with Chernoff's bound a verdict needs half as many answers again.
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


def _assess_failures(
    target: list[AttemptCounts], baselines: list[AttemptCounts]
) -> Assessment:
    rate = _baseline_rate([(baseline.failed, baseline.ended) for baseline in baselines])
    if rate is None:
        return Assessment(CanaryVerdict.GOOD)
    failed_by_server = [(server.failed, server.ended) for server in target]
    total = _total_counts(target)
    reason = f"{total.failed} of {total.ended} failed, others {rate:.3f} at most"
    return Assessment(_verdict(failed_by_server, rate + FAILURE_RATE_MARGIN), reason)


def _assess_latency(
    measure: str, target: list[AttemptCounts], baselines: list[AttemptCounts]
) -> Assessment:
    """Compare times on one route with the baseline's plus the tolerated buckets.

    :param measure: field of the counts that holds the times by bucket.
    """
    found = Assessment(CanaryVerdict.GOOD)
    target_counts = [_counts_from_bucket(getattr(server, measure)) for server in target]
    baseline_counts = [
        _counts_from_bucket(getattr(baseline, measure)) for baseline in baselines
    ]
    if not any(counts_from[0] for counts_from in target_counts):
        return found
    for bucket in range(LAST_BUCKET - TOLERATED_BUCKETS + 1):
        slow_bucket = bucket + TOLERATED_BUCKETS + 1
        if not any(counts_from[slow_bucket] for counts_from in target_counts):
            return found
        rate = _baseline_rate(
            [
                (counts_from[bucket + 1], counts_from[0])
                for counts_from in baseline_counts
            ]
        )
        if rate is None:
            return found
        slow_by_server = [
            (counts_from[slow_bucket], counts_from[0]) for counts_from in target_counts
        ]
        verdict = _verdict(slow_by_server, rate + SLOW_RATE_MARGIN)
        if _SEVERITY[verdict] > _SEVERITY[found.verdict]:
            slow = sum(bad for bad, _ in slow_by_server)
            total = sum(answers for _, answers in slow_by_server)
            found = Assessment(verdict, f"{slow} of {total} slow by {measure} time")
            if verdict is CanaryVerdict.BAD:
                return found
    return found


class _RouteLatencies(NamedTuple):
    """Times on one route; each list has by bucket the count in it and all above.

    :param target_by_server: times of the target version in the judged span.
    :param recent: times of the baseline in the judged span.
    :param whole: times of the baseline since the order.
    """

    target_by_server: dict[BackendServerId, list[int]]
    recent: list[int]
    whole: list[int]

    def quantile_bucket(self, quantile: float) -> int:
        """Return the bucket that holds a quantile of the baseline's times."""
        max_above = (1.0 - quantile) * self.whole[0]
        return next(b for b in range(LAST_BUCKET + 1) if self.whole[b + 1] <= max_above)

    def baseline_rate(self, bucket: int) -> float:
        """Return the baseline's highest rate, in any span, of times above a bucket."""
        known = (counts for counts in (self.recent, self.whole) if counts[0])
        enough = [counts for counts in known if counts[0] >= MIN_BASELINE_ANSWERS]
        return max(counts[bucket + 1] / counts[0] for counts in enough)


def _assess_latency_of_all_routes(
    measure: str,
    span: dict[CountsKey, AttemptCounts],
    whole: dict[CountsKey, AttemptCounts],
) -> Assessment:
    """Compare times on all routes together, each with the baseline's on that route."""
    found = Assessment(CanaryVerdict.GOOD)
    routes = _route_latencies(measure, span, whole)
    baseline_total = sum(route.whole[0] for route in routes)
    for quantile in BASELINE_QUANTILES:
        slow: Counter[BackendServerId] = Counter()
        total: Counter[BackendServerId] = Counter()
        expected_slow = 0.0
        for route in routes:
            bucket = route.quantile_bucket(quantile)
            slow_bucket = min(LAST_BUCKET, bucket + TOLERATED_BUCKETS) + 1
            for server, counts_from in route.target_by_server.items():
                slow[server] += counts_from[slow_bucket]
                total[server] += counts_from[0]
                expected_slow += counts_from[0] * route.baseline_rate(bucket)
        if not total.total():
            continue
        rate = (
            wilson_upper_bound(
                expected_slow / total.total() * baseline_total, baseline_total
            )
            + SLOW_RATE_MARGIN
        )
        verdict = _verdict([(slow[server], total[server]) for server in total], rate)
        if _SEVERITY[verdict] > _SEVERITY[found.verdict]:
            reason = f"{slow.total()} of {total.total()} slow by {measure} time"
            found = Assessment(verdict, reason)
    return found


def _route_latencies(
    measure: str,
    span: dict[CountsKey, AttemptCounts],
    whole: dict[CountsKey, AttemptCounts],
) -> list[_RouteLatencies]:
    """Return the times on each route on which the baseline has enough answers."""
    found = []
    for route in _target_routes(span):
        known = _counts_from_bucket(
            getattr(
                _total_counts(_counts_by_server(whole, route, target=False)), measure
            )
        )
        if known[0] < MIN_BASELINE_ANSWERS:
            continue
        recent = _counts_from_bucket(
            getattr(
                _total_counts(_counts_by_server(span, route, target=False)), measure
            )
        )
        target = {
            key.server: _counts_from_bucket(getattr(counts, measure))
            for key, counts in span.items()
            if key.is_target and key.route == route
        }
        found.append(_RouteLatencies(target, recent, known))
    return found


def _counts_from_bucket(counts: Counter[int]) -> list[int]:
    """Return by bucket the count in it and in all higher buckets."""
    counts_from = [0] * (LAST_BUCKET + 2)
    for bucket, count in counts.items():
        counts_from[bucket] = count
    for bucket in range(LAST_BUCKET, -1, -1):
        counts_from[bucket] += counts_from[bucket + 1]
    return counts_from
