"""Logs and counts the callers that gave way to others."""

from bluebellshore.decisions import DecisionLog
from bluebellshore.entry.caller_memory import CallerMemory, GiveWayReason
from bluebellshore.entry.metrics import EntryMetrics

__all__ = ["CallerLog"]

#: Shortest time between two lines.
LOG_INTERVAL_SECONDS = 5.0


class CallerLog:
    """Logs which limits callers met, in one line now and then, and counts them.

    :param log: gets a line with the callers since the line before, by limit.
    """

    def __init__(self, log: DecisionLog, metrics: EntryMetrics):
        self._log = log
        self._metrics = metrics
        self._counted = dict.fromkeys(GiveWayReason, 0)
        self._logged = dict.fromkeys(GiveWayReason, 0)
        self._logged_at: float | None = None

    def update(self, memory: CallerMemory, now: float) -> None:
        """Count and log the changes since the last call.

        :param now: monotonic seconds.
        """
        for reason, count in memory.gave_way.items():
            if count > self._counted[reason]:
                self._metrics.callers_gave_way(
                    reason.value, count - self._counted[reason]
                )
                self._counted[reason] = count
        if self._logged == memory.gave_way or (
            self._logged_at is not None and now - self._logged_at < LOG_INTERVAL_SECONDS
        ):
            return
        callers_by_limit = {
            reason.value: count - self._logged[reason]
            for reason, count in memory.gave_way.items()
            if count > self._logged[reason]
        }
        self._logged, self._logged_at = dict(memory.gave_way), now
        self._log.notice(
            "callers",
            "connections were closed or requests refused at a limit",
            **callers_by_limit,
            open_connections=memory.connections,
            held_bytes=memory.held_bytes,
        )
