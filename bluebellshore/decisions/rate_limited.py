"""Base of the decision log: filters lines by log level and rate."""

import time
from collections import Counter
from collections.abc import Callable, Mapping

import eliot

from bluebellshore.decisions.kinds import LIFECYCLE_KINDS, Kind, LogLevel
from bluebellshore.decisions.volume import HeldLines, TokenBucket, VolumeLimits

__all__ = ["RateLimitedLog", "Inputs"]

#: Minimum time between two ``left_out`` lines.
REPORT_INTERVAL_SECONDS = 1.0

#: Decimal places to which floats are rounded; most are durations in seconds.
DECIMAL_PLACES = 4

Inputs = Mapping[str, object]


class RateLimitedLog:
    """Writes log lines as eliot messages, within a level and rate limits.

    :param send: called with each message; None for all destinations of eliot.
    :param level: which lines are written.
    :param limits: maximum rate of lines of each kind.
    :param clock: monotonic seconds.
    :param wall_clock: Unix seconds.
    :ivar left_out: number of lines since the start that the rate limits suppressed
        and that a ``left_out`` line has reported.
    """

    def __init__(
        self,
        send: Callable[[dict], None] | None = None,
        *,
        level: LogLevel = LogLevel.ALL,
        limits: VolumeLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        # Logger.write skips the action context that eliot.log_message would create for
        # each line, at several times the cost of writing the line itself.
        self._send = send or eliot.Logger().write
        self._level = level
        self._limits = limits or VolumeLimits()
        self._clock = clock
        self._wall_clock = wall_clock
        self._buckets = {
            kind: TokenBucket(self._limits.lines_per_second, self._limits.burst)
            for kind in Kind
        }
        self._held = HeldLines(self._limits.held_lines)
        self._left_out: Counter[str] = Counter()
        self._reported_at = clock()
        self.left_out = 0

    def write_for_request(
        self, kind: Kind, request: str, fields: Inputs, *, high_priority: bool = False
    ) -> None:
        """Write a line about a request, within the level and the rate limits.

        A low-priority line over the limit is held. It is written before the next
        high-priority line of the request, or discarded if the request succeeds
        first. A high-priority line over the limit is counted as left out.

        :param request: the caller's id of its attempt.
        :param high_priority: whether the line reports a refusal or failure.
        """
        if self._level is LogLevel.BELIEFS:
            return
        if self._level is LogLevel.FAILURES and not high_priority:
            return
        now = self._clock()
        line = self._make_line(kind, now, fields, request)
        if high_priority:
            for held in self._held.take(request):
                self._send_or_count(
                    Kind(held["message_type"]), held, now, high_priority=True
                )
            self._send_or_count(kind, line, now, high_priority=True)
        elif self._buckets[kind].take(now, high_priority=False):
            self._send(line)
        else:
            self._held.hold(request, line)
        self._report_if_due(now)

    def write(self, kind: Kind, fields: Inputs, *, high_priority: bool = False) -> None:
        """Write a line about this process, within the rate limits.

        Lines of `LIFECYCLE_KINDS` are written regardless of the limits.

        :param high_priority: whether the line may use the part of the rate limit that
            is reserved for failures and important changes.
        """
        now = self._clock()
        line = self._make_line(kind, now, fields)
        if kind in LIFECYCLE_KINDS:
            self._send(line)
            return
        self._send_or_count(kind, line, now, high_priority=high_priority)
        self._report_if_due(now)

    def _send_or_count(
        self, kind: Kind, line: dict, now: float, *, high_priority: bool
    ) -> None:
        if self._buckets[kind].take(now, high_priority=high_priority):
            self._send(line)
        else:
            self._left_out[kind.value] += 1

    def _make_line(
        self, kind: Kind, now: float, fields: Inputs, request: str | None = None
    ) -> dict[str, object]:
        line = {
            "message_type": kind.value,
            "timestamp": self._wall_clock(),
            # Held lines are written late; readers restore the order by this field.
            "clock": now,
        }
        if request:
            line["request"] = request
        for name, value in fields.items():
            if value is not None:
                line[name] = (
                    round(value, DECIMAL_PLACES) if type(value) is float else value
                )
        return line

    def _report_if_due(self, now: float) -> None:
        if now - self._reported_at >= REPORT_INTERVAL_SECONDS:
            self.report(now)

    def report(self, now: float | None = None) -> None:
        """Write the number of lines of each kind left out since the last report.

        :param now: monotonic seconds; None to read the clock.
        """
        now = self._clock() if now is None else now
        self._reported_at = now
        counts = self._left_out + self._held.discarded
        if counts:
            self.left_out += counts.total()
            self._left_out.clear()
            self._held.discarded.clear()
            self._send(self._make_line(Kind.LEFT_OUT, now, {"lines": dict(counts)}))
