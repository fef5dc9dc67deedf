"""Decides which lines are written when there are too many."""

from collections import Counter

import msgspec

__all__ = ["HeldLines", "TokenBucket", "VolumeLimits"]

#: Part of a bucket that only grave lines may take.
GRAVE_SHARE = 0.5


class VolumeLimits(msgspec.Struct, frozen=True):
    """Bounds on what is written.

    At the target's peak a router takes 45 requests a second (docs/CAPACITY.md), so
    the defaults write every line of an ordinary second.

    :param lines_per_second: lines of one kind, on average.
    :param burst: lines of one kind at once.
    :param held_lines: lines kept in memory until it is known whether their request
        fails.
    """

    lines_per_second: float = 100.0
    burst: int = 400
    held_lines: int = 2000


class TokenBucket:
    """Lets lines of one kind through at a bounded rate.

    :param rate: lines a second.
    :param burst: lines at once.
    """

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._filled_at: float | None = None

    def take(self, now: float, *, grave: bool) -> bool:
        """Take the place of one line.

        :param now: monotonic seconds.
        :param grave: whether the line tells of a refusal or failure.
        """
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._level = min(self._burst, self._level + gained)
        self._filled_at = now
        floor = 0.0 if grave else self._burst * GRAVE_SHARE
        if self._level - 1 < floor:
            return False
        self._level -= 1
        return True


class HeldLines:
    """Lines of requests that are written only if their request fails.

    :param limit: lines held in all; the oldest request's lines go first.
    :ivar discarded: lines given up, by kind.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._count = 0
        self._lines_by_request: dict[str, list[dict]] = {}
        self.discarded: Counter[str] = Counter()

    def hold(self, request: str, line: dict) -> None:
        """Keep a line."""
        self._lines_by_request.setdefault(request, []).append(line)
        self._count += 1
        while self._count > self._limit:
            self.discard(next(iter(self._lines_by_request)))

    def take(self, request: str) -> list[dict]:
        """Return and forget the lines of a request that failed."""
        lines = self._lines_by_request.pop(request, [])
        self._count -= len(lines)
        return lines

    def discard(self, request: str) -> None:
        """Forget the lines of a request and count them."""
        for line in self.take(request):
            self.discarded[line["message_type"]] += 1
