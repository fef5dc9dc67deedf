"""Judgement of a new version against the old one at the same time."""

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
    "HORIZONS_SECONDS",
    "LATEST_SECONDS",
    "assess",
    "assess_recent",
]

#: Spans of time that are judged: short ones for what breaks suddenly, long ones for
#: small differences.
HORIZONS_SECONDS = (16.0, 64.0, 320.0)
#: Time before now in which failures make a move wait.
LATEST_SECONDS = 2.0
#: Largest probability of the evidence under a good version that counts as bad. A
#: move is looked at every second by every router, hence so small.
BAD_PROBABILITY = 1e-3
#: Probability below which a move does not advance.
DOUBTFUL_PROBABILITY = 1e-2
#: Windows with the most failures in which only one counts: the loss of one instance
#: fails many requests at once and says nothing about the version.
BURST_WINDOWS = 2
#: Versions are compared within blocks of this many windows at least and with this
#: many requests of the old version, as trouble of the whole fleet may fall into a
#: time in which the new version has a larger share than before.
BLOCK_WINDOWS = 8
BLOCK_OLD_REQUESTS = 3
QUANTILE = 0.95
#: Smallest differences in latency that count, whatever the ratio.
MIN_FIRST_TOKEN_EXCESS_SECONDS = 0.020
MIN_BETWEEN_TOKENS_EXCESS_SECONDS = 0.005


class _Latency(NamedTuple):
    name: str
    bounds: tuple[float, ...]
    min_excess: float
    counts: Callable[[Window], Counter[int]]


_LATENCIES = (
    _Latency(
        "time to first token",
        FIRST_TOKEN_BOUNDS_SECONDS,
        MIN_FIRST_TOKEN_EXCESS_SECONDS,
        lambda window: window.first_token,
    ),
    _Latency(
        "time between tokens",
        BETWEEN_TOKENS_BOUNDS_SECONDS,
        MIN_BETWEEN_TOKENS_EXCESS_SECONDS,
        lambda window: window.between_tokens,
    ),
)


class _Trial(NamedTuple):
    """Bad outcomes among all."""

    bad: int
    total: int


class _Block(NamedTuple):
    """Windows of both versions at the same time."""

    new: list[Window]
    old: list[Window]


def binomial_tail(bad: float, total: float, rate: float) -> float:
    """Bound the probability of `bad` or more among `total` at `rate` (Chernoff)."""
    if not total or rate >= 1.0 or bad <= total * rate:
        return 1.0
    share = bad / total
    divergence = share * math.log(share / rate)
    if share < 1.0:
        divergence += (1.0 - share) * math.log((1.0 - share) / (1.0 - rate))
    return math.exp(-total * divergence)


def _probability(trials: Sequence[_Trial], rate: float, burst_windows: int) -> float:
    bad = sum(trial.bad for trial in trials)
    total = sum(trial.total for trial in trials)
    worst = sorted((trial.bad for trial in trials), reverse=True)[:burst_windows]
    burst = sum(max(count - 1, 0) for count in worst)
    return binomial_tail(bad - burst, total - burst, rate)


def _blocks(new: Sequence[Window], old: Sequence[Window]) -> list[_Block]:
    """Pair the windows of both versions by time."""
    blocks = [_Block([], [])]
    started_at = None
    by_time = [(w.number, True, w) for w in new] + [(w.number, False, w) for w in old]
    for number, is_new, window in sorted(by_time, key=lambda item: item[:2]):
        requests = sum(w.requests for w in blocks[-1].old)
        if started_at is None:
            started_at = number
        elif number >= started_at + BLOCK_WINDOWS and requests >= BLOCK_OLD_REQUESTS:
            blocks.append(_Block([], []))
            started_at = number
        (blocks[-1].new if is_new else blocks[-1].old).append(window)
    if len(blocks) > 1 and sum(w.requests for w in blocks[-1].old) < BLOCK_OLD_REQUESTS:
        last = blocks.pop()
        blocks[-1].new.extend(last.new)
        blocks[-1].old.extend(last.old)
    return blocks


def _usual_rate(pairs: Sequence[tuple[_Trial, _Trial]]) -> float:
    """Bound the rate that the old version shows at the times of the new one's requests.

    :param pairs: outcomes of the new and of the old version in each block.
    """
    weighed = [(new.total, old) for new, old in pairs if new.total and old.total]
    requests = sum(total for total, _ in weighed)
    if not requests:
        return 1.0
    rate = sum(total * old.bad / old.total for total, old in weighed) / requests
    spread = sum(total * total / old.total for total, old in weighed)
    size = requests * requests / spread
    return wilson_upper_bound(rate * size, size)


def _sum(trials: Iterable[_Trial]) -> _Trial:
    trials = list(trials)
    return _Trial(sum(t.bad for t in trials), sum(t.total for t in trials))


def _compare(
    blocks: Sequence[_Block],
    count: Callable[[Window], _Trial],
    burst_windows: int,
    *,
    margin: float = 0.0,
    floor: float = 0.0,
) -> tuple[CanaryVerdict, _Trial, _Trial]:
    """Compare the rate of bad outcomes.

    :param count: counts the bad outcomes of a window.
    :param margin: rate above the old version's that is allowed.
    :param floor: rate that is allowed whatever the old version's.
    :return: the opinion, and the outcomes of the new and of the old version.
    """
    new = [[count(window) for window in block.new] for block in blocks]
    old = [_sum(count(window) for window in block.old) for block in blocks]
    rate = _usual_rate(
        [(_sum(trials), seen) for trials, seen in zip(new, old, strict=True)]
    )
    judged = [
        t for trials, seen in zip(new, old, strict=True) if seen.total for t in trials
    ]
    allowed = max(rate + margin, floor)
    verdict = _verdict(_probability(judged, allowed, burst_windows))
    return verdict, _sum(judged), _sum(old)


def _verdict(probability: float) -> CanaryVerdict:
    if probability < BAD_PROBABILITY:
        return CanaryVerdict.BAD
    if probability < DOUBTFUL_PROBABILITY:
        return CanaryVerdict.DOUBTFUL
    return CanaryVerdict.GOOD


def _failures(window: Window) -> _Trial:
    return _Trial(window.failures, window.requests)


def _assess_failures(
    criteria: Criteria, blocks: Sequence[_Block], burst_windows: int
) -> Assessment:
    verdict, new, old = _compare(
        blocks, _failures, burst_windows, margin=criteria.max_failure_excess
    )
    reason = f"failures: {new.bad} of {new.total}, old version {old.bad} of {old.total}"
    return Assessment(verdict, reason)


def _quantile(counts: Counter[int], bounds: Sequence[float]) -> float:
    """Return the 95th percentile, interpolated within its bucket."""
    wanted = QUANTILE * counts.total()
    below = 0
    for bucket in sorted(counts):
        if below + counts[bucket] >= wanted:
            break
        below += counts[bucket]
    if bucket >= len(bounds):
        return bounds[-1]
    lower = bounds[bucket - 1] if bucket else 0.0
    part = (wanted - below) / counts[bucket]
    return lower + part * (bounds[bucket] - lower)


def _above(counts: Counter[int], bucket: int) -> int:
    return sum(count for index, count in counts.items() if index > bucket)


def _assess_latency(
    latency: _Latency,
    criteria: Criteria,
    blocks: Sequence[_Block],
    burst_windows: int,
) -> Assessment:
    reference: Counter[int] = Counter()
    for block in blocks:
        for window in block.old:
            for bucket, count in latency.counts(window).items():
                reference[bucket] += count
    if not reference:
        return Assessment(CanaryVerdict.GOOD)
    usual = _quantile(reference, latency.bounds)
    limit = max(usual * criteria.max_latency_ratio, usual + latency.min_excess)
    slowest = min(bisect_left(latency.bounds, limit), len(latency.bounds) - 1)

    def slow(window: Window) -> _Trial:
        counts = latency.counts(window)
        return _Trial(_above(counts, slowest), sum(counts.values()))

    verdict, new, old = _compare(blocks, slow, burst_windows, floor=1.0 - QUANTILE)
    reason = (
        f"{latency.name}: {new.bad} of {new.total} above "
        f"{latency.bounds[slowest]:.3f} s, old version {old.bad} of {old.total}"
    )
    return Assessment(verdict, reason)


def _assess_blocks(
    criteria: Criteria, blocks: Sequence[_Block], burst_windows: int
) -> Assessment:
    checks = [_assess_failures(criteria, blocks, burst_windows)]
    for latency in _LATENCIES:
        checks.append(_assess_latency(latency, criteria, blocks, burst_windows))
    for verdict in (CanaryVerdict.BAD, CanaryVerdict.DOUBTFUL):
        for check in checks:
            if check.verdict is verdict:
                return check
    return Assessment(CanaryVerdict.GOOD)


def assess(
    criteria: Criteria, new: Sequence[Window], old: Sequence[Window]
) -> Assessment:
    """Judge the new version's windows against the old version's of the same time."""
    return _assess_blocks(criteria, _blocks(new, old), BURST_WINDOWS)


def assess_recent(
    criteria: Criteria, new: Sequence[Window], old: Sequence[Window]
) -> Assessment:
    """Judge what the new version did just now; at most doubtful.

    The failures of a moment may be a burst, so they are no reason to take a move back.
    They are one to wait whether they go on.

    :param old: windows of a longer time.
    """
    found = _assess_blocks(criteria, [_Block(list(new), list(old))], 0)
    if found.verdict is CanaryVerdict.GOOD:
        return found
    return Assessment(CanaryVerdict.DOUBTFUL, found.reason)
