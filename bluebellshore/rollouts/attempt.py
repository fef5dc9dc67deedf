"""Measures one attempt during a rollout and converts it to counts."""

import msgspec

from bluebellshore.rollouts.evidence import (
    LAST_BUCKET,
    AttemptCounts,
    CountsKey,
    latency_bucket,
)
from bluebellshore.routing.results import AttemptResult

__all__ = ["MeasuredAttempt"]

#: Events that a stream needs for its mean gap between events to count, and the number
#: from which it counts without waiting for the stream's end.
MIN_GAP_EVENTS = 4
EARLY_GAP_EVENTS = 16
#: Latency buckets by which the mean gap of a whole stream must exceed that of its first
#: events to count as well.
LATER_GAP_BUCKETS = 3
#: Factor by which first events of prompts may take longer at the target version: the
#: prefix caches of its servers are cold, those of the other versions are warm.
COLD_CACHE_FACTOR = 1.6
#: Results that say nothing about a version: the server was full, gone or crashed, or
#: the router ended the attempt.
_UNINFORMATIVE_RESULTS = (
    AttemptResult.REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.BROKEN,
    AttemptResult.ABANDONED,
)


class MeasuredAttempt(msgspec.Struct, eq=False):
    """An attempt that was sent to a backend server.

    :param key: group in which it is counted; None while the service has no order that
        is undecided.
    :param order_version: row version of that order.
    :param sent_at: time in seconds of a monotonic clock, as all times here.
    :param is_warm: whether the server has warmed up, so that its times are typical of
        its version.
    :param has_prompt: whether the time to its first event depends on the server's
        prefix cache.
    :ivar first_event_at: None before the first event.
    :ivar counted_overdue: whether it was counted as slow before its first event.
    :ivar early_gap_seconds: mean gap between the first events; None while they are
        fewer than `EARLY_GAP_EVENTS`.
    :ivar counted_gap_bucket: latency bucket that its gap was counted in, the last one
        if it was overdue; None for none.
    """

    attempt_id: str
    key: CountsKey | None
    order_version: int
    sent_at: float
    is_warm: bool
    has_prompt: bool = False
    first_event_at: float | None = None
    last_event_at: float = 0.0
    event_count: int = 0
    counted_overdue: bool = False
    early_gap_seconds: float | None = None
    counted_gap_bucket: int | None = None

    def record_events(self, now: float, count: int = 1) -> None:
        """Record that events of the answer's stream have arrived."""
        if self.first_event_at is None:
            self.first_event_at = now
        self.last_event_at = now
        self.event_count += count
        if self.early_gap_seconds is None and self.event_count >= EARLY_GAP_EVENTS:
            self.early_gap_seconds = self._mean_gap_seconds()

    def count_overdue(self, now: float) -> AttemptCounts:
        """Return the counts of an attempt whose first event is overdue.

        The attempt counts as ended with a first event now; its end then adds no more
        than a failure and the gap between events.
        """
        self.counted_overdue = True
        counts = AttemptCounts(ended=1)
        counts.first[self._first_event_bucket(now)] = 1
        return counts

    def count_gap(self, now: float, overdue_seconds: float | None) -> AttemptCounts:
        """Return the counts of the gap between the first events, once it is known.

        A stream counts before these events have come when their mean gap is certain to
        exceed `overdue_seconds`: otherwise a version whose streams are slow would show
        only as they end, which is later the slower they are.

        :param overdue_seconds: gap beyond which a stream is slow; None when unknown.
        """
        counts = AttemptCounts()
        if (
            self.first_event_at is None
            or self.counted_gap_bucket is not None
            or not self.is_warm
        ):
            return counts
        if self.early_gap_seconds is not None:
            self.counted_gap_bucket = latency_bucket(self.early_gap_seconds)
            counts.gap[self.counted_gap_bucket] = 1
            return counts
        least_gap = (now - self.first_event_at) / (EARLY_GAP_EVENTS - 1)
        if overdue_seconds is not None and least_gap > overdue_seconds:
            # Its end must not count it as slow once more.
            self.counted_gap_bucket = LAST_BUCKET
            counts.gap[latency_bucket(least_gap)] = 1
        return counts

    def count_end(self, result: AttemptResult, now: float) -> AttemptCounts:
        """Return the counts of an attempt that ends now."""
        counts = self.count_gap(now, None)
        if result in _UNINFORMATIVE_RESULTS:
            return counts
        counts.ended = int(not self.counted_overdue)
        counts.failed = int(result is AttemptResult.FAILED)
        if counts.failed or not self.is_warm:
            return counts
        if not self.counted_overdue:
            first_event_at = now if self.first_event_at is None else self.first_event_at
            counts.first[self._first_event_bucket(first_event_at)] = 1
        if self.event_count >= MIN_GAP_EVENTS:
            bucket = latency_bucket(self._mean_gap_seconds())
            counted = self.counted_gap_bucket
            if counted is None or bucket >= counted + LATER_GAP_BUCKETS:
                counts.gap[bucket] += 1
        return counts

    def _mean_gap_seconds(self) -> float:
        return (self.last_event_at - self.first_event_at) / (self.event_count - 1)

    def _first_event_bucket(self, at: float) -> int:
        seconds = at - self.sent_at
        if self.has_prompt and self.key.is_target:
            seconds /= COLD_CACHE_FACTOR
        return latency_bucket(seconds)
