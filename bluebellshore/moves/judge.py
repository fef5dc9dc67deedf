"""Canary analysis of a move: judges the new version against the old one.

Both are compared over the same time, within blocks of windows.
"""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from bluebellshore.bundle.model import Criteria
from bluebellshore.canary import Assessment, CanaryVerdict, wilson_upper_bound
from bluebellshore.moves.evidence import (
    BETWEEN_TOKENS_BOUNDS_SECONDS,
    FIRST_TOKEN_BOUNDS_SECONDS,
    Window,
)

__all__ = [
    "ANALYSIS_SPANS_SECONDS",
    "RECENT_SECONDS",
    "assess",
    "assess_recent",
]

#: Spans of time that are judged: short ones show sudden faults, long ones show small
#: differences.
ANALYSIS_SPANS_SECONDS = (16.0, 64.0, 320.0)
#: Time before now in which failures pause a move.
RECENT_SECONDS = 2.0
#: A version is bad when evidence like this or worse has a lower probability than this
#: with a good version. It is small as every router judges every move each second.
BAD_P_VALUE = 1e-3
#: Probability below which a move does not advance.
DOUBTFUL_P_VALUE = 1e-2
#: In this many windows, those with the most failures, only one failure counts: the loss
#: of one instance fails many requests at once and says nothing about the version.
BURST_WINDOWS = 2
#: Versions are compared within blocks of at least this many windows and this many
#: requests of the old version. Over the whole span, trouble of the whole fleet during
#: a time at which the new version has a larger share would count against it.
MIN_BLOCK_WINDOWS = 8
MIN_BLOCK_OLD_REQUESTS = 3
LATENCY_QUANTILE = 0.95
#: Least differences in latency that count, whatever the ratio.
MIN_FIRST_TOKEN_EXCESS_SECONDS = 0.020
MIN_BETWEEN_TOKENS_EXCESS_SECONDS = 0.005


class _LatencyMeasure(NamedTuple):
    """A latency that is compared.

    :param bounds: upper bounds of its buckets in seconds.
    :param min_excess: least difference that counts, in seconds.
    :param counts: returns the requests of a window by bucket.
    """

    name: str
    bounds: tuple[float, ...]
    min_excess: float
    counts: Callable[[Window], Counter[int]]


_LATENCY_MEASURES = (
    _LatencyMeasure(
        "time to first token",
        FIRST_TOKEN_BOUNDS_SECONDS,
        MIN_FIRST_TOKEN_EXCESS_SECONDS,
        lambda window: window.first_token,
    ),
    _LatencyMeasure(
        "time between tokens",
        BETWEEN_TOKENS_BOUNDS_SECONDS,
        MIN_BETWEEN_TOKENS_EXCESS_SECONDS,
        lambda window: window.between_tokens,
    ),
)


class _Outcomes(NamedTuple):
    """Number of bad outcomes, and of all outcomes."""

    bad: int
    total: int


class _Block(NamedTuple):
    """Windows of both versions over the same time."""

    new: list[Window]
    old: list[Window]


def binomial_tail_bound(bad: float, total: float, rate: float) -> float:
    """Return Chernoff's upper bound of the probability of `bad` or more of `total`.

    :param rate: probability of each bad outcome.
    """
    if not total or rate >= 1.0 or bad <= total * rate:
        return 1.0
    observed = bad / total
    divergence = observed * math.log(observed / rate)
    if observed < 1.0:
        divergence += (1.0 - observed) * math.log((1.0 - observed) / (1.0 - rate))
    return math.exp(-total * divergence)


def _p_value(
    window_outcomes: Sequence[_Outcomes], rate: float, burst_windows: int
) -> float:
    """Return a bound of the probability of outcomes like these or worse.

    :param window_outcomes: outcomes of each window.
    :param rate: allowed rate of bad outcomes.
    :param burst_windows: number of the worst windows in which one bad outcome counts.
    """
    bad = sum(o.bad for o in window_outcomes)
    total = sum(o.total for o in window_outcomes)
    worst = sorted((o.bad for o in window_outcomes), reverse=True)[:burst_windows]
    burst = sum(max(count - 1, 0) for count in worst)
    return binomial_tail_bound(bad - burst, total - burst, rate)


def _blocks(new: Sequence[Window], old: Sequence[Window]) -> list[_Block]:
    """Group the windows of both versions into blocks by time.

    The last block is merged into the previous one when it has too few requests of the
    old version.
    """
    blocks = [_Block([], [])]
    started_at = None
    by_time = [(w.number, True, w) for w in new] + [(w.number, False, w) for w in old]
    for number, is_new, window in sorted(by_time, key=lambda item: item[:2]):
        requests = sum(w.requests for w in blocks[-1].old)
        if started_at is None:
            started_at = number
        elif (
            number >= started_at + MIN_BLOCK_WINDOWS
            and requests >= MIN_BLOCK_OLD_REQUESTS
        ):
            blocks.append(_Block([], []))
            started_at = number
        (blocks[-1].new if is_new else blocks[-1].old).append(window)
    if (
        len(blocks) > 1
        and sum(w.requests for w in blocks[-1].old) < MIN_BLOCK_OLD_REQUESTS
    ):
        last = blocks.pop()
        blocks[-1].new.extend(last.new)
        blocks[-1].old.extend(last.old)
    return blocks


def _expected_rate(pairs: Sequence[tuple[_Outcomes, _Outcomes]]) -> float:
    """Return an upper bound of the rate that the new version is expected to show.

    It is the old version's rate, weighted in each block by the new version's requests.
    The weights also determine the effective sample size for the bound.

    :param pairs: outcomes of the new and of the old version in each block.
    """
    weighted = [(new.total, old) for new, old in pairs if new.total and old.total]
    requests = sum(total for total, _ in weighted)
    if not requests:
        return 1.0
    rate = sum(total * old.bad / old.total for total, old in weighted) / requests
    spread = sum(total * total / old.total for total, old in weighted)
    effective_size = requests * requests / spread
    return wilson_upper_bound(rate * effective_size, effective_size)


def _total(outcomes: Iterable[_Outcomes]) -> _Outcomes:
    outcomes = list(outcomes)
    return _Outcomes(sum(o.bad for o in outcomes), sum(o.total for o in outcomes))


def _compare(
    blocks: Sequence[_Block],
    count: Callable[[Window], _Outcomes],
    burst_windows: int,
    *,
    margin: float = 0.0,
    floor: float = 0.0,
) -> tuple[CanaryVerdict, _Outcomes, _Outcomes]:
    """Compare the rates of bad outcomes of both versions.

    :param count: returns the outcomes of a window.
    :param burst_windows: number of the worst windows in which one bad outcome counts.
    :param margin: rate above the old version's that is allowed.
    :param floor: rate that is allowed whatever the old version's.
    :return: the verdict, and the outcomes of the new and of the old version.
    """
    new = [[count(window) for window in block.new] for block in blocks]
    old = [_total(count(window) for window in block.old) for block in blocks]
    rate = _expected_rate(
        [
            (_total(windows), old_block)
            for windows, old_block in zip(new, old, strict=True)
        ]
    )
    judged = [
        outcomes
        for windows, old_block in zip(new, old, strict=True)
        if old_block.total
        for outcomes in windows
    ]
    allowed = max(rate + margin, floor)
    verdict = _verdict(_p_value(judged, allowed, burst_windows))
    return verdict, _total(judged), _total(old)


def _verdict(p_value: float) -> CanaryVerdict:
    if p_value < BAD_P_VALUE:
        return CanaryVerdict.BAD
    if p_value < DOUBTFUL_P_VALUE:
        return CanaryVerdict.DOUBTFUL
    return CanaryVerdict.GOOD


def _failure_outcomes(window: Window) -> _Outcomes:
    return _Outcomes(window.failures, window.requests)


def _assess_failures(
    criteria: Criteria, blocks: Sequence[_Block], burst_windows: int
) -> Assessment:
    verdict, new, old = _compare(
        blocks, _failure_outcomes, burst_windows, margin=criteria.max_failure_excess
    )
    reason = f"failures: {new.bad} of {new.total}, old version {old.bad} of {old.total}"
    return Assessment(verdict, reason)


def _latency_quantile(counts: Counter[int], bounds: Sequence[float]) -> float:
    """Return the 95th percentile in seconds, interpolated within its bucket.

    :param counts: requests by bucket.
    :param bounds: upper bounds of the buckets in seconds.
    """
    wanted = LATENCY_QUANTILE * counts.total()
    below = 0
    for bucket in sorted(counts):
        if below + counts[bucket] >= wanted:
            break
        below += counts[bucket]
    if bucket >= len(bounds):
        return bounds[-1]
    lower = bounds[bucket - 1] if bucket else 0.0
    fraction = (wanted - below) / counts[bucket]
    return lower + fraction * (bounds[bucket] - lower)


def _count_above(counts: Counter[int], bucket: int) -> int:
    return sum(count for index, count in counts.items() if index > bucket)


def _assess_latency(
    measure: _LatencyMeasure,
    criteria: Criteria,
    blocks: Sequence[_Block],
    burst_windows: int,
) -> Assessment:
    old_counts: Counter[int] = Counter()
    for block in blocks:
        for window in block.old:
            for bucket, count in measure.counts(window).items():
                old_counts[bucket] += count
    if not old_counts:
        return Assessment(CanaryVerdict.GOOD)
    old_quantile = _latency_quantile(old_counts, measure.bounds)
    limit = max(
        old_quantile * criteria.max_latency_ratio, old_quantile + measure.min_excess
    )
    limit_bucket = min(bisect_left(measure.bounds, limit), len(measure.bounds) - 1)

    def slow_outcomes(window: Window) -> _Outcomes:
        counts = measure.counts(window)
        return _Outcomes(_count_above(counts, limit_bucket), sum(counts.values()))

    verdict, new, old = _compare(
        blocks, slow_outcomes, burst_windows, floor=1.0 - LATENCY_QUANTILE
    )
    reason = (
        f"{measure.name}: {new.bad} of {new.total} above "
        f"{measure.bounds[limit_bucket]:.3f} s, old version {old.bad} of {old.total}"
    )
    return Assessment(verdict, reason)


def _assess_blocks(
    criteria: Criteria, blocks: Sequence[_Block], burst_windows: int
) -> Assessment:
    assessments = [_assess_failures(criteria, blocks, burst_windows)]
    for measure in _LATENCY_MEASURES:
        assessments.append(_assess_latency(measure, criteria, blocks, burst_windows))
    for verdict in (CanaryVerdict.BAD, CanaryVerdict.DOUBTFUL):
        for assessment in assessments:
            if assessment.verdict is verdict:
                return assessment
    return Assessment(CanaryVerdict.GOOD)


def assess(
    criteria: Criteria, new: Sequence[Window], old: Sequence[Window]
) -> Assessment:
    """Judge the new version against the old one over a span of time.

    :param new: windows of the new version.
    :param old: windows of the old version over the same time.
    """
    return _assess_blocks(criteria, _blocks(new, old), BURST_WINDOWS)


def assess_recent(
    criteria: Criteria, new: Sequence[Window], old: Sequence[Window]
) -> Assessment:
    """Judge the new version's latest windows; the verdict is doubtful at worst.

    Failures within a moment may be a burst, so they do not roll a move back. They pause
    it, until it shows whether they continue.

    :param new: latest windows of the new version.
    :param old: windows of the old version over a longer time.
    """
    found = _assess_blocks(criteria, [_Block(list(new), list(old))], 0)
    if found.verdict is CanaryVerdict.GOOD:
        return found
    return Assessment(CanaryVerdict.DOUBTFUL, found.reason)
