"""Logs which prompt parts are blamed for crashes of backend servers."""

from bluebellshore.decisions import DecisionLog
from bluebellshore.ids import ScopedPart
from bluebellshore.routing.crash_tracker import CrashTracker

__all__ = ["CrashLog"]


class CrashLog:
    """Logs each set of prompt parts that is blamed, or no longer blamed."""

    def __init__(self, crashes: CrashTracker, log: DecisionLog):
        self._crashes = crashes
        self._log = log
        self._logged: set[frozenset[ScopedPart]] = set()

    def log_changes(self) -> None:
        """Log the changes since the last call."""
        blamed = set(self._crashes.blamed_parts)
        for parts in blamed - self._logged:
            self._log.notice(
                "prompt-part", "backend servers crashed on it", parts=sorted(parts)
            )
        for parts in self._logged - blamed:
            self._log.notice(
                "prompt-part", "it is no longer blamed as such", parts=sorted(parts)
            )
        self._logged = blamed
