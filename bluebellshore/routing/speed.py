"""Estimates how soon backend servers begin to answer.

Handles services of different speed and servers that become slow. With a fixed speed, a
router would send too many prompts to engines that read slowly, or would keep requests
with the same prompt parts together although their engines read such parts quickly.
"""

import statistics
from collections import deque
from collections.abc import Mapping

import msgspec

from bluebellshore.ids import BackendServerId, ServiceName

__all__ = ["FirstEventSample", "SpeedEstimator"]

#: Speed assumed until it is known. It is low so that a router that has just started
#: spreads requests rather than sending many to one engine.
INITIAL_TOKENS_PER_SECOND = 20_000.0
#: Time to the first event of an empty prompt, assumed until it is known.
INITIAL_BASE_SECONDS = 0.05
#: Samples kept of each service, and minimum for a fit.
MAX_SAMPLES = 128
MIN_SAMPLES = 12
#: New samples between two fits.
FIT_INTERVAL_SAMPLES = 8
#: Minimum difference between small and large prompts. Below it the time to read a token
#: can't be told from the base time.
MIN_SPREAD_TOKENS = 300
#: Bounds of the estimated speed.
MIN_TOKENS_PER_SECOND = 500.0
MAX_TOKENS_PER_SECOND = 1_000_000.0
#: Most recent observed-to-expected ratios of a server that are kept to compare it with
#: its peers, minimum for a comparison, and age from which a ratio no longer counts.
MAX_RATIOS = 9
MIN_RATIOS = 3
RATIO_LIFETIME_SECONDS = 4.0
#: An attempt whose first event took longer than both this multiple of the expected time
#: and this time hung. Such a time doesn't show the server's speed;
#: :mod:`bluebellshore.routing.outlier_detection` counts it.
HUNG_RATIO = 6.0
MIN_HUNG_SECONDS = 1.0
#: Minimum time between two comparisons of a service's servers.
COMPARISON_INTERVAL_SECONDS = 0.2
#: Median observed-to-expected ratio of a service's servers above which no server is
#: considered slow: all of them have more load than this router knows of.
MAX_MEDIAN_RATIO = 1.2
#: Slowness up to which servers are considered equally fast, and its upper bound.
MAX_EQUAL_SLOWNESS = 1.5
MAX_SLOWNESS = 8.0


class FirstEventSample(msgspec.Struct, frozen=True):
    """An observed time to a first event.

    :param uncached_tokens: prompt tokens that the server had to read.
    :param backlog_tokens: prompt tokens of other requests that it was known to read
        before.
    :param seconds: time from the beginning of the attempt to its first event.
    """

    server_id: BackendServerId
    service: ServiceName
    uncached_tokens: int
    backlog_tokens: int
    seconds: float


class _LatencyFit:
    """Estimated base time and time per token of one service.

    The slope is taken between the medians of the smallest and the largest third of the
    prompts, so that single slow servers don't change it.
    """

    def __init__(self) -> None:
        self.base_seconds = INITIAL_BASE_SECONDS
        self.token_seconds = 1 / INITIAL_TOKENS_PER_SECOND
        self._samples: deque[tuple[int, float]] = deque(maxlen=MAX_SAMPLES)
        self._samples_since_fit = 0

    def add(self, tokens: int, seconds: float) -> None:
        self._samples.append((tokens, seconds))
        self._samples_since_fit += 1
        if (
            self._samples_since_fit >= FIT_INTERVAL_SAMPLES
            and len(self._samples) >= MIN_SAMPLES
        ):
            self._samples_since_fit = 0
            self._fit()

    def _fit(self) -> None:
        ordered = sorted(self._samples)
        third = len(ordered) // 3
        smallest, largest = ordered[:third], ordered[-third:]
        small_tokens, small_seconds = _medians(smallest)
        large_tokens, large_seconds = _medians(largest)
        spread = large_tokens - small_tokens
        if spread >= MIN_SPREAD_TOKENS:
            slope = (large_seconds - small_seconds) / spread
            self.token_seconds = min(
                max(slope, 1 / MAX_TOKENS_PER_SECOND), 1 / MIN_TOKENS_PER_SECOND
            )
        base_times = [
            seconds - tokens * self.token_seconds for tokens, seconds in ordered
        ]
        self.base_seconds = max(0.0, statistics.median(base_times))


class SpeedEstimator:
    """Estimates the speed of services and finds servers slower than their peers.

    The speed is estimated only from first events of requests that were not known to
    wait for other prompts. Medians keep single slow servers and unknown load of peers
    from changing it.
    """

    def __init__(self) -> None:
        self._fit_by_service: dict[ServiceName, _LatencyFit] = {}
        self._ratios_by_service: dict[
            ServiceName, dict[BackendServerId, deque[tuple[float, float]]]
        ] = {}
        self._slowness_by_service: dict[
            ServiceName, tuple[float, dict[BackendServerId, float]]
        ] = {}

    def add_sample(self, sample: FirstEventSample, now: float) -> None:
        """Add an observed time to a first event."""
        expected = self.expected_seconds(
            sample.service, sample.uncached_tokens + sample.backlog_tokens
        )
        if sample.seconds > max(MIN_HUNG_SECONDS, HUNG_RATIO * expected):
            return
        if expected > 0:
            by_server = self._ratios_by_service.setdefault(sample.service, {})
            ratios = by_server.setdefault(sample.server_id, deque(maxlen=MAX_RATIOS))
            ratios.append((now, sample.seconds / expected))
        if not sample.backlog_tokens:
            fit = self._fit_by_service.setdefault(sample.service, _LatencyFit())
            fit.add(sample.uncached_tokens, sample.seconds)

    def expected_seconds(self, service: ServiceName, tokens: float) -> float:
        """Return the expected time to a first event if `tokens` must be read first."""
        fit = self._fit_by_service.get(service)
        if fit is None:
            return INITIAL_BASE_SECONDS + tokens / INITIAL_TOKENS_PER_SECOND
        return fit.base_seconds + tokens * fit.token_seconds

    def tokens_per_second(self, service: ServiceName) -> float:
        """Return the estimated speed at which a service's engines read prompts."""
        fit = self._fit_by_service.get(service)
        return INITIAL_TOKENS_PER_SECOND if fit is None else 1 / fit.token_seconds

    def slowness(
        self, service: ServiceName, server_id: BackendServerId, now: float
    ) -> float:
        """Return how many times slower a server is than its peers, at least 1."""
        return self.slow_servers(service, now).get(server_id, 1.0)

    def slow_servers(
        self, service: ServiceName, now: float
    ) -> Mapping[BackendServerId, float]:
        """Return the slowness of those servers that are slower than their peers."""
        compared_at, slowness_by_server = self._slowness_by_service.get(
            service, (-1.0, {})
        )
        if now - compared_at > COMPARISON_INTERVAL_SECONDS or compared_at < 0:
            slowness_by_server = self._compare(service, now)
            self._slowness_by_service[service] = (now, slowness_by_server)
        return slowness_by_server

    def forget(self, server_id: BackendServerId) -> None:
        """Discard the samples of a server that has left or restarted."""
        for by_server in self._ratios_by_service.values():
            by_server.pop(server_id, None)
        for _, slowness_by_server in self._slowness_by_service.values():
            slowness_by_server.pop(server_id, None)

    def _compare(
        self, service: ServiceName, now: float
    ) -> dict[BackendServerId, float]:
        """Return how many times slower each slow server is than the median one."""
        ratio_by_server = {
            server_id: ratio
            for server_id, ratios in self._ratios_by_service.get(service, {}).items()
            if (ratio := _median_of_recent(ratios, now)) is not None
        }
        if len(ratio_by_server) < 2:
            return {}
        median = max(statistics.median_low(ratio_by_server.values()), 1e-6)
        if median > MAX_MEDIAN_RATIO:
            return {}
        return {
            server_id: min(ratio / median, MAX_SLOWNESS)
            for server_id, ratio in ratio_by_server.items()
            if ratio / median > MAX_EQUAL_SLOWNESS
        }


def _medians(samples: list[tuple[int, float]]) -> tuple[float, float]:
    return (
        statistics.median(tokens for tokens, _ in samples),
        statistics.median(seconds for _, seconds in samples),
    )


def _median_of_recent(
    ratios: deque[tuple[float, float]] | None, now: float
) -> float | None:
    """Return the median of the ratios that still count, None if they are too few."""
    if not ratios:
        return None
    values = [ratio for at, ratio in ratios if now - at < RATIO_LIFETIME_SECONDS]
    return statistics.median(values) if len(values) >= MIN_RATIOS else None
