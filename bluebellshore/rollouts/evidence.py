"""Counts of attempts during a rollout, from this router and its peers.

Each router reports its counts since the order in full, so that a lost or repeated
report changes nothing. The increase since the previous report is added to the time
window in which the report arrives.
"""

import math
from collections import Counter, deque
from typing import NamedTuple

import msgspec

from bluebellshore.ids import BackendServerId, IncarnationId, RouteName

__all__ = [
    "WINDOW_SECONDS",
    "AttemptCounts",
    "CountsKey",
    "RolloutEvidence",
    "bucket_bound_seconds",
    "latency_bucket",
]

#: Length of a window: a few windows pass between the first bad answer and the verdict.
WINDOW_SECONDS = 0.5
#: Windows that are kept: the longest span that is judged besides the whole order.
MAX_WINDOWS = 40
#: Upper bound of the first latency bucket. There are three buckets for each doubling,
#: from 1 ms to 65 s, so an answer that takes 1.5 times as long is two buckets higher.
FIRST_BUCKET_BOUND_SECONDS = 0.001
BUCKETS_PER_DOUBLING = 3
LAST_BUCKET = 48


def latency_bucket(seconds: float) -> int:
    """Return the number of the latency bucket that holds a time."""
    if seconds <= FIRST_BUCKET_BOUND_SECONDS:
        return 0
    doublings = math.log2(seconds / FIRST_BUCKET_BOUND_SECONDS)
    return min(LAST_BUCKET, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def bucket_bound_seconds(bucket: int) -> float:
    """Return the upper bound of a latency bucket in seconds."""
    return FIRST_BUCKET_BOUND_SECONDS * 2 ** (bucket / BUCKETS_PER_DOUBLING)


class CountsKey(NamedTuple):
    """Group of attempts that are counted together.

    :param is_target: whether the server runs the order's target version.
    """

    route: RouteName
    server: BackendServerId
    is_target: bool


class AttemptCounts(msgspec.Struct):
    """Counts of the attempts in one group.

    :param sent: attempts that were sent.
    :param ended: attempts that were answered or failed, without those whose end says
        nothing about the version.
    :param failed: attempts that failed by a fault of the server.
    :param first: attempts by latency bucket of the time to the first event, or
        to the whole answer when it is no stream.
    :param gap: streams by latency bucket of their mean gap between events.
    """

    sent: int = 0
    ended: int = 0
    failed: int = 0
    first: Counter[int] = msgspec.field(default_factory=Counter)
    gap: Counter[int] = msgspec.field(default_factory=Counter)

    def add(self, other: "AttemptCounts") -> None:
        """Add the counts of `other`."""
        self.sent += other.sent
        self.ended += other.ended
        self.failed += other.failed
        self.first.update(other.first)
        self.gap.update(other.gap)

    def increase_since(self, before: "AttemptCounts") -> "AttemptCounts":
        """Return the increase over `before`, which is 0 where a count is lower."""
        return AttemptCounts(
            max(0, self.sent - before.sent),
            max(0, self.ended - before.ended),
            max(0, self.failed - before.failed),
            self.first - before.first,
            self.gap - before.gap,
        )

    def copy(self) -> "AttemptCounts":
        """Return an independent copy."""
        return AttemptCounts(
            self.sent,
            self.ended,
            self.failed,
            Counter(self.first),
            Counter(self.gap),
        )


class _Window(msgspec.Struct):
    number: int
    counts_by_key: dict[CountsKey, AttemptCounts] = msgspec.field(default_factory=dict)


class RolloutEvidence:
    """Counts of one order's attempts, summed over this router and its peers.

    :ivar own_counts_by_key: counts of this router's attempts since the order.
    """

    def __init__(self) -> None:
        self.own_counts_by_key: dict[CountsKey, AttemptCounts] = {}
        self._counts_by_peer: dict[IncarnationId, dict[CountsKey, AttemptCounts]] = {}
        self._windows: deque[_Window] = deque(maxlen=MAX_WINDOWS)
        self._total_by_key: dict[CountsKey, AttemptCounts] = {}
        self._reported_sent = (0, 0)

    def record(self, key: CountsKey, counts: AttemptCounts, now: float) -> None:
        """Add counts of this router's attempts."""
        self.own_counts_by_key.setdefault(key, AttemptCounts()).add(counts)
        self._add_to_window(key, counts, now)

    def merge_counts(
        self,
        peer: IncarnationId,
        counts_by_key: dict[CountsKey, AttemptCounts],
        now: float,
    ) -> None:
        """Merge a peer's counts since the order."""
        known = self._counts_by_peer.setdefault(peer, {})
        for key, counts in counts_by_key.items():
            before = known.get(key, AttemptCounts())
            new = counts.increase_since(before)
            if new != AttemptCounts():
                before = before.copy()
                before.add(new)
                known[key] = before
                self._add_to_window(key, new, now)

    def merge_sent(self, target: int, total: int) -> None:
        """Merge the fleet's number of attempts as a peer knows it.

        It includes attempts of routers that have ended, whose counts this router may
        never have received.

        :param target: attempts at the target version.
        :param total: attempts at all versions.
        """
        self._reported_sent = (
            max(self._reported_sent[0], target),
            max(self._reported_sent[1], total),
        )

    def sent(self) -> tuple[int, int]:
        """Return the fleet's attempts: at the target version, and at all versions."""
        target = sum(c.sent for key, c in self._total_by_key.items() if key.is_target)
        total = sum(c.sent for c in self._total_by_key.values())
        return max(target, self._reported_sent[0]), max(total, self._reported_sent[1])

    def counts_within(
        self, now: float, seconds: float | None
    ) -> dict[CountsKey, AttemptCounts]:
        """Return the counts of the last `seconds`; None for all since the order."""
        if seconds is None:
            return self._total_by_key
        first = int((now - seconds) / WINDOW_SECONDS)
        found: dict[CountsKey, AttemptCounts] = {}
        for window in self._windows:
            if window.number >= first:
                for key, counts in window.counts_by_key.items():
                    found.setdefault(key, AttemptCounts()).add(counts)
        return found

    def _add_to_window(self, key: CountsKey, counts: AttemptCounts, now: float) -> None:
        number = int(now / WINDOW_SECONDS)
        if not self._windows or self._windows[-1].number < number:
            self._windows.append(_Window(number))
        window = self._windows[-1].counts_by_key
        window.setdefault(key, AttemptCounts()).add(counts)
        self._total_by_key.setdefault(key, AttemptCounts()).add(counts)
