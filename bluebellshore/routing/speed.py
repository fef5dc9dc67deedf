"""Learns how soon backend servers begin to answer.

Answers the load pattern in which services differ in speed and some servers turn slow:
a fixed speed lets a router pile prompts on engines that read slowly, or spread shared
parts over engines that would have read them in no time.
"""

import statistics
from collections import deque
from collections.abc import Mapping

import msgspec

from bluebellshore.ids import BackendServerId, ServiceName

__all__ = ["FirstEventSample", "SpeedEstimator"]

#: Prompt tokens read in a second until the speed is known. Low, so that a router that
#: has just started spreads rather than piles up.
START_TOKENS_PER_SECOND = 20_000.0
#: Time to the first event of an empty prompt until it is known.
START_BASE_SECONDS = 0.05
#: Samples kept of each service, and those needed for a fit.
SAMPLES = 128
LEAST_SAMPLES = 12
#: New samples between two fits.
FIT_INTERVAL = 8
#: Prompt sizes must differ by this many tokens to tell reading from the base time.
LEAST_SPREAD_TOKENS = 300
#: Bounds of a learned speed, in tokens a second.
MIN_TOKENS_PER_SECOND = 500.0
MAX_TOKENS_PER_SECOND = 1_000_000.0
#: Newest samples of a server that are compared with its peers', and how long they
#: count, in seconds.
RATIOS = 9
LEAST_RATIOS = 3
RATIO_SECONDS = 4.0
#: Observed against expected time, and least time, above which an attempt hung: that
#: says nothing of the speed; :mod:`bluebellshore.routing.outlier_detection` counts it.
HUNG_RATIO = 6.0
HUNG_LEAST_SECONDS = 1.0
#: Servers are compared at most this often, in seconds.
COMPARE_SECONDS = 0.2
#: Observed against expected time of most servers above which none is called slow: all
#: have more to do than is known here.
CROWDED_RATIO = 1.2
#: Slowness below which servers count as equal, and its upper bound.
EQUAL_SLOWNESS = 1.5
MAX_SLOWNESS = 8.0


class FirstEventSample(msgspec.Struct, frozen=True):
    """One observed time to a first event.

    :param read_tokens: prompt tokens that had to be read.
    :param ahead_tokens: tokens of other prompts that were known to wait before it.
    """

    server_id: BackendServerId
    service: ServiceName
    read_tokens: int
    ahead_tokens: int
    seconds: float


class _Fit:
    """Base time and time per token of one service, from medians."""

    def __init__(self) -> None:
        self.base_seconds = START_BASE_SECONDS
        self.token_seconds = 1 / START_TOKENS_PER_SECOND
        self._samples: deque[tuple[int, float]] = deque(maxlen=SAMPLES)
        self._new = 0

    def add(self, tokens: int, seconds: float) -> None:
        self._samples.append((tokens, seconds))
        self._new += 1
        if self._new >= FIT_INTERVAL and len(self._samples) >= LEAST_SAMPLES:
            self._new = 0
            self._fit()

    def _fit(self) -> None:
        ordered = sorted(self._samples)
        third = len(ordered) // 3
        small, large = ordered[:third], ordered[-third:]
        small_tokens, small_seconds = _medians(small)
        large_tokens, large_seconds = _medians(large)
        spread = large_tokens - small_tokens
        if spread >= LEAST_SPREAD_TOKENS:
            slope = (large_seconds - small_seconds) / spread
            self.token_seconds = min(
                max(slope, 1 / MAX_TOKENS_PER_SECOND), 1 / MIN_TOKENS_PER_SECOND
            )
        rests = [seconds - tokens * self.token_seconds for tokens, seconds in ordered]
        self.base_seconds = max(0.0, statistics.median(rests))


class SpeedEstimator:
    """Speeds of services, and servers that are slower than their peers.

    Only first events before which nothing was known to wait teach the speed. Medians
    keep single slow servers and unseen work of peers from moving it.
    """

    def __init__(self) -> None:
        self._fits: dict[ServiceName, _Fit] = {}
        self._ratios: dict[
            ServiceName, dict[BackendServerId, deque[tuple[float, float]]]
        ] = {}
        self._slowness: dict[
            ServiceName, tuple[float, dict[BackendServerId, float]]
        ] = {}

    def add_sample(self, sample: FirstEventSample, now: float) -> None:
        """Learn from a first event."""
        expected = self.expected_seconds(
            sample.service, sample.read_tokens + sample.ahead_tokens
        )
        if sample.seconds > max(HUNG_LEAST_SECONDS, HUNG_RATIO * expected):
            return
        if expected > 0:
            by_server = self._ratios.setdefault(sample.service, {})
            ratios = by_server.setdefault(sample.server_id, deque(maxlen=RATIOS))
            ratios.append((now, sample.seconds / expected))
        if not sample.ahead_tokens:
            fit = self._fits.setdefault(sample.service, _Fit())
            fit.add(sample.read_tokens, sample.seconds)

    def expected_seconds(self, service: ServiceName, tokens: float) -> float:
        """Return the expected time to a first event after reading `tokens`."""
        fit = self._fits.get(service)
        if fit is None:
            return START_BASE_SECONDS + tokens / START_TOKENS_PER_SECOND
        return fit.base_seconds + tokens * fit.token_seconds

    def tokens_per_second(self, service: ServiceName) -> float:
        """Return the speed at which a service's engines read prompts."""
        fit = self._fits.get(service)
        return START_TOKENS_PER_SECOND if fit is None else 1 / fit.token_seconds

    def slowness(
        self, service: ServiceName, server_id: BackendServerId, now: float
    ) -> float:
        """Return how many times slower a server is than its peers, at least 1."""
        return self.slow_servers(service, now).get(server_id, 1.0)

    def slow_servers(
        self, service: ServiceName, now: float
    ) -> Mapping[BackendServerId, float]:
        """Return the slowness of the servers that are slower than their peers."""
        compared_at, slowness_by_server = self._slowness.get(service, (-1.0, {}))
        if now - compared_at > COMPARE_SECONDS or compared_at < 0:
            slowness_by_server = self._compare(service, now)
            self._slowness[service] = (now, slowness_by_server)
        return slowness_by_server

    def forget(self, server_id: BackendServerId) -> None:
        """Drop what was learned of a server that is gone or began anew."""
        for by_server in self._ratios.values():
            by_server.pop(server_id, None)
        for _, slowness_by_server in self._slowness.values():
            slowness_by_server.pop(server_id, None)

    def _compare(
        self, service: ServiceName, now: float
    ) -> dict[BackendServerId, float]:
        """Return the servers that are slower than the others, and how much."""
        own_by_server = {
            server_id: ratio
            for server_id, ratios in self._ratios.get(service, {}).items()
            if (ratio := _recent(ratios, now)) is not None
        }
        if len(own_by_server) < 2:
            return {}
        usual = max(statistics.median_low(own_by_server.values()), 1e-6)
        if usual > CROWDED_RATIO:
            return {}
        return {
            server_id: min(ratio / usual, MAX_SLOWNESS)
            for server_id, ratio in own_by_server.items()
            if ratio / usual > EQUAL_SLOWNESS
        }


def _medians(samples: list[tuple[int, float]]) -> tuple[float, float]:
    return (
        statistics.median(tokens for tokens, _ in samples),
        statistics.median(seconds for _, seconds in samples),
    )


def _recent(ratios: deque[tuple[float, float]] | None, now: float) -> float | None:
    """Return the median of the ratios that still count, None for too few."""
    if not ratios:
        return None
    values = [ratio for at, ratio in ratios if now - at < RATIO_SECONDS]
    return statistics.median(values) if len(values) >= LEAST_RATIOS else None
