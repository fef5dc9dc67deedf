"""Logs crashes of backend servers, and what is blamed and refused for them."""

from collections.abc import Iterable

from bluebellshore.decisions import DecisionLog
from bluebellshore.ids import ScopedPart
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.crashes import Crash

__all__ = ["CrashLog"]

#: Requests of a crash that its line names.
MAX_LOGGED_REQUESTS = 16


class CrashLog:
    """Logs crashes, and each prompt part or request that is refused or no longer is."""

    def __init__(self, crashes: CrashTracker, log: DecisionLog):
        self._crashes = crashes
        self._log = log
        self._logged: set[frozenset[ScopedPart]] = set()
        self._logged_requests: frozenset[str] = frozenset()

    def log_crashes(self, crashes: Iterable[Crash]) -> None:
        """Log crashes that servers' entries have confirmed."""
        for crash in crashes:
            self._log.notice(
                "crash",
                "the backend server's entry is gone, names another start or shares its "
                "address with another",
                server=crash.server_id,
                requests=sorted(crash.fingerprints)[:MAX_LOGGED_REQUESTS],
                request_count=len(crash.fingerprints),
            )

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
        refused = self._crashes.refused_requests
        for fingerprint in sorted(refused - self._logged_requests):
            self._log.notice(
                "request", "backend servers crashed with it", fingerprint=fingerprint
            )
        for fingerprint in sorted(self._logged_requests - refused):
            self._log.notice(
                "request", "it is no longer refused", fingerprint=fingerprint
            )
        self._logged_requests = refused
