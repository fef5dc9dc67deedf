"""Rate limits of log lines, and a buffer for lines over the limit."""

from collections import Counter

import msgspec

__all__ = ["HeldLines", "TokenBucket", "VolumeLimits"]

#: Share of a token bucket that is reserved for high-priority lines.
HIGH_PRIORITY_SHARE = 0.5


class VolumeLimits(msgspec.Struct, frozen=True):
    """Limits on the number of log lines.

    At the peak load of the capacity target a router receives 45 requests per second
    (docs/CAPACITY.md), so the defaults suppress no lines under normal load.

    :param lines_per_second: maximum average rate of the lines of one kind.
    :param burst: maximum number of lines of one kind at once.
    :param held_lines: maximum number of lines kept in memory until their request
        fails or succeeds.
    """

    lines_per_second: float = 100.0
    burst: int = 400
    held_lines: int = 2000


class TokenBucket:
    """Token bucket that limits the rate of the lines of one kind.

    :param rate: tokens added per second; a line takes one token.
    :param burst: capacity in tokens.
    """

    def __init__(self, rate: float, burst: float):
        self._rate = rate
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at: float | None = None

    def take(self, now: float, *, high_priority: bool) -> bool:
        """Take a token for one line.

        Low-priority lines leave the reserved share of the bucket untouched.

        :param now: monotonic seconds.
        :param high_priority: whether the line reports a refusal or failure.
        :return: whether the line may be written.
        """
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        reserved = 0.0 if high_priority else self._burst * HIGH_PRIORITY_SHARE
        if self._tokens - 1 < reserved:
            return False
        self._tokens -= 1
        return True


class HeldLines:
    """Buffer of lines that are written only if a high-priority line follows.

    :param limit: maximum number of lines; beyond it, the lines of the oldest request
        are discarded first.
    :ivar discarded: number of discarded lines by kind.
    """

    def __init__(self, limit: int):
        self._limit = limit
        self._count = 0
        self._lines_by_request: dict[str, list[dict]] = {}
        self.discarded: Counter[str] = Counter()

    def hold(self, request: str, line: dict) -> None:
        """Add a line; discard the oldest requests' lines beyond the limit."""
        self._lines_by_request.setdefault(request, []).append(line)
        self._count += 1
        while self._count > self._limit:
            self.discard(next(iter(self._lines_by_request)))

    def take(self, request: str) -> list[dict]:
        """Remove and return the lines of a request, to be written."""
        lines = self._lines_by_request.pop(request, [])
        self._count -= len(lines)
        return lines

    def discard(self, request: str) -> None:
        """Remove the lines of a request and count them in `discarded`."""
        for line in self.take(request):
            self.discarded[line["message_type"]] += 1
