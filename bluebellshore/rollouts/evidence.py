"""Counts of attempts during a rollout: own ones, and those that peers tell of.

Routers tell their counts since the order in full, so that a lost or repeated message
changes nothing; the differences are filed in windows of time as they come.
"""

import math
from collections import Counter, deque
from typing import NamedTuple

import msgspec

from bluebellshore.ids import BackendServerId, IncarnationId, RouteName

__all__ = ["Counts", "Evidence", "Key", "WINDOW_SECONDS", "bound_of", "bucket_of"]

#: Length of a window; a few lie between the first bad answer and the verdict.
WINDOW_SECONDS = 0.5
#: Windows kept one by one: the longest span that is judged besides the whole order.
MOST_WINDOWS = 40
#: Latency buckets: three for each doubling, from 1 ms to 65 s; an answer that is half
#: as slow again lies two buckets higher.
FIRST_BOUND_SECONDS = 0.001
BUCKETS_PER_DOUBLING = 3
LAST_BUCKET = 48


def bucket_of(seconds: float) -> int:
    """Return the latency bucket of a time."""
    if seconds <= FIRST_BOUND_SECONDS:
        return 0
    doublings = math.log2(seconds / FIRST_BOUND_SECONDS)
    return min(LAST_BUCKET, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def bound_of(bucket: int) -> float:
    """Return the longest time in seconds that lies in a bucket."""
    return FIRST_BOUND_SECONDS * 2 ** (bucket / BUCKETS_PER_DOUBLING)


class Key(NamedTuple):
    """Whose attempts are counted together.

    :param target: whether the server has the order's target version.
    """

    route: RouteName
    server: BackendServerId
    target: bool


class Counts(msgspec.Struct):
    """Attempts of one key.

    :param sent: attempts that were sent.
    :param ended: answers and failures among them that tell of the version.
    :param failed: failures of the server's own.
    :param first: by bucket of the time to the first event or the whole answer.
    :param gap: by bucket of the mean pause between the events of a stream.
    """

    sent: int = 0
    ended: int = 0
    failed: int = 0
    first: Counter[int] = msgspec.field(default_factory=Counter)
    gap: Counter[int] = msgspec.field(default_factory=Counter)

    def add(self, other: "Counts") -> None:
        """Add counts."""
        self.sent += other.sent
        self.ended += other.ended
        self.failed += other.failed
        self.first.update(other.first)
        self.gap.update(other.gap)

    def since(self, before: "Counts") -> "Counts":
        """Return what was added after `before`, nothing where counts are lower."""
        return Counts(
            max(0, self.sent - before.sent),
            max(0, self.ended - before.ended),
            max(0, self.failed - before.failed),
            self.first - before.first,
            self.gap - before.gap,
        )

    def copy(self) -> "Counts":
        """Return counts that change apart."""
        return Counts(
            self.sent, self.ended, self.failed, Counter(self.first), Counter(self.gap)
        )


class _Window(msgspec.Struct):
    number: int
    counts_by_key: dict[Key, Counts] = msgspec.field(default_factory=dict)


class Evidence:
    """Counts of one order over all routers that are heard."""

    def __init__(self) -> None:
        self.own: dict[Key, Counts] = {}
        self._told: dict[IncarnationId, dict[Key, Counts]] = {}
        self._windows: deque[_Window] = deque(maxlen=MOST_WINDOWS)
        self._total: dict[Key, Counts] = {}
        self._told_sent = (0, 0)

    def record(self, key: Key, counts: Counts, now: float) -> None:
        """Count own attempts."""
        self.own.setdefault(key, Counts()).add(counts)
        self._file(key, counts, now)

    def merge(
        self, peer: IncarnationId, counts_by_key: dict[Key, Counts], now: float
    ) -> None:
        """Take in what a peer counted since the order."""
        told = self._told.setdefault(peer, {})
        for key, counts in counts_by_key.items():
            before = told.get(key, Counts())
            new = counts.since(before)
            if new != Counts():
                before = before.copy()
                before.add(new)
                told[key] = before
                self._file(key, new, now)

    def merge_sent(self, target: int, total: int) -> None:
        """Take in a peer's knowledge of the fleet's attempts, dead routers' too."""
        self._told_sent = (
            max(self._told_sent[0], target),
            max(self._told_sent[1], total),
        )

    def sent(self) -> tuple[int, int]:
        """Return the fleet's attempts: at the target version, and in all."""
        target = sum(c.sent for key, c in self._total.items() if key.target)
        total = sum(c.sent for c in self._total.values())
        return max(target, self._told_sent[0]), max(total, self._told_sent[1])

    def span(self, now: float, seconds: float | None) -> dict[Key, Counts]:
        """Return the counts of the last seconds; None for all since the order."""
        if seconds is None:
            return self._total
        first = int((now - seconds) / WINDOW_SECONDS)
        found: dict[Key, Counts] = {}
        for window in self._windows:
            if window.number >= first:
                for key, counts in window.counts_by_key.items():
                    found.setdefault(key, Counts()).add(counts)
        return found

    def _file(self, key: Key, counts: Counts, now: float) -> None:
        number = int(now / WINDOW_SECONDS)
        if not self._windows or self._windows[-1].number < number:
            self._windows.append(_Window(number))
        window = self._windows[-1].counts_by_key
        window.setdefault(key, Counts()).add(counts)
        self._total.setdefault(key, Counts()).add(counts)
