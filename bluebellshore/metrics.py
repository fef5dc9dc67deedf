"""Send metrics of a process to a statsd server."""

from typing import Protocol

import statsd

__all__ = ["Metrics", "NoMetrics", "make_metrics"]


class Metrics(Protocol):
    """The methods of a statsd client that this package calls.

    Each takes the name of the metric as `stat`.
    """

    def incr(self, stat: str, count: int = 1) -> None:
        """Add `count` to a counter."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge to `value`."""


class NoMetrics:
    """Metrics that are discarded, for a process without a statsd server."""

    def incr(self, stat: str, count: int = 1) -> None:
        """Discard the count."""

    def timing(self, stat: str, delta: float) -> None:
        """Discard the duration."""

    def gauge(self, stat: str, value: float) -> None:
        """Discard the value."""


def make_metrics(address: str, role: str) -> Metrics:
    """Return a client whose metrics are named ``bluebellshore.<role>.<stat>``.

    :param address: ``host:port`` of the statsd server; if empty, metrics are
        discarded.
    """
    if not address:
        return NoMetrics()
    host, _, port = address.rpartition(":")
    return statsd.StatsClient(host, int(port), prefix=f"bluebellshore.{role}")
