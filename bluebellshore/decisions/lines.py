"""Which messages are sent, by level and by number."""

import time
from collections import Counter
from collections.abc import Callable, Mapping

import eliot

from bluebellshore.decisions.kinds import LIFE_KINDS, Kind, LogLevel
from bluebellshore.decisions.volume import HeldLines, TokenBucket, VolumeLimits

__all__ = ["BoundedLines", "Inputs"]

#: Least time between two counts of lines that were left out.
REPORT_SECONDS = 1.0

#: Digits that are written of a number, which is mostly a duration in seconds.
DIGITS = 4

Inputs = Mapping[str, object]


class BoundedLines:
    """Sends lines as messages of eliot, as many as the limits allow.

    :param send: takes a message; None for all destinations of eliot.
    :param clock: monotonic seconds.
    :param wall_clock: Unix seconds.
    :ivar left_out: lines since the start that were not sent, as far as reported.
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
        # A logger writes without the context of an action, which eliot.log_message
        # would begin for each line at several times the cost of the line.
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

    def of_request(
        self, kind: Kind, request: str, fields: Inputs, *, grave: bool = False
    ) -> None:
        """Send a line about a request, or hold it until the request's end.

        :param grave: whether it tells of a refusal or failure.
        """
        if self._level is LogLevel.BELIEFS:
            return
        if self._level is LogLevel.FAILURES and not grave:
            return
        now = self._clock()
        line = self._line(kind, now, fields, request)
        if grave:
            for held in self._held.take(request):
                self._pass(Kind(held["message_type"]), held, now, grave=True)
            self._pass(kind, line, now, grave=True)
        elif self._buckets[kind].take(now, grave=False):
            self._send(line)
        else:
            self._held.hold(request, line)
        self._report_now_and_then(now)

    def write(self, kind: Kind, fields: Inputs, *, grave: bool = False) -> None:
        """Send a line about this process."""
        now = self._clock()
        line = self._line(kind, now, fields)
        if kind in LIFE_KINDS:
            self._send(line)
            return
        self._pass(kind, line, now, grave=grave)
        self._report_now_and_then(now)

    def _pass(self, kind: Kind, line: dict, now: float, *, grave: bool) -> None:
        if self._buckets[kind].take(now, grave=grave):
            self._send(line)
        else:
            self._left_out[kind.value] += 1

    def _line(
        self, kind: Kind, now: float, fields: Inputs, request: str | None = None
    ) -> dict[str, object]:
        line = {
            "message_type": kind.value,
            "timestamp": self._wall_clock(),
            # Lines that were held back are written late; this tells their order.
            "clock": now,
        }
        if request:
            line["request"] = request
        for name, value in fields.items():
            if value is not None:
                line[name] = round(value, DIGITS) if type(value) is float else value
        return line

    def _report_now_and_then(self, now: float) -> None:
        if now - self._reported_at >= REPORT_SECONDS:
            self.report(now)

    def report(self, now: float | None = None) -> None:
        """Write how many lines were left out."""
        now = self._clock() if now is None else now
        self._reported_at = now
        counts = self._left_out + self._held.discarded
        if counts:
            self.left_out += counts.total()
            self._left_out.clear()
            self._held.discarded.clear()
            self._send(self._line(Kind.LEFT_OUT, now, {"lines": dict(counts)}))
