"""Finds requests that crash backend servers.

Handles a request that crashes every backend server that runs it and is sent again and
again, through any router. Each crash also loses the other requests on that server, and
looks like a failure of the server itself. This module serves routers that call backend
servers directly; where each server has a sidecar,
:class:`bluebellshore.sidecar.quarantine.Quarantine` finds such requests.
"""

from collections.abc import Iterable

import msgspec

from bluebellshore.ids import BackendServerId

__all__ = ["CrashReport", "CrashTracker"]

#: Connections to one server that break within this time count as one crash.
SAME_CRASH_SECONDS = 0.5
#: A single broken connection counts as a crash if the server can't be reached within
#: this time after it. Peers' reports of a server within this time are of one crash.
CRASH_CONFIRMATION_SECONDS = 2.0
#: Crashes during which a request ran, after which it is refused.
CRASHES_TO_REFUSE = 2
#: Time for which a crash is remembered.
CRASH_LIFETIME_SECONDS = 120.0
#: Crashes remembered at once.
MAX_CRASHES = 256


class CrashReport(msgspec.Struct, frozen=True):
    """A crash, as reported to peers.

    :param fingerprints: requests of the reporting router that ran during the crash.
    """

    server_id: BackendServerId
    fingerprints: tuple[str, ...]


class _Crash(msgspec.Struct):
    """A crash, or a broken connection that may turn out to be one.

    :ivar fingerprints: requests that ran during the crash and haven't completed since.
    :ivar confirmed: whether this was a crash and not just one broken connection.
    :ivar reported_count: number of fingerprints in the last report to peers.
    """

    server_id: BackendServerId
    began_at: float
    fingerprints: set[str]
    confirmed: bool = False
    reported_count: int = 0


class CrashTracker:
    """Remembers which requests ran on backend servers when they crashed.

    Every method takes `now` in monotonic seconds.
    """

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []

    def __len__(self) -> int:
        return len(self._crashes)

    def record_broken_connection(
        self, server_id: BackendServerId, fingerprint: str, now: float
    ) -> None:
        """Record that the connection of an attempt broke before the answer's end.

        Connections of different requests that break together confirm a crash.
        """
        crash = self._find_or_add_crash(server_id, now)
        crash.fingerprints.add(fingerprint)
        crash.confirmed |= len(crash.fingerprints) > 1

    def record_unreachable(self, server_id: BackendServerId, now: float) -> None:
        """Record that a server can't be reached, which confirms a recent crash."""
        for crash in self._crashes:
            if (
                crash.server_id == server_id
                and now - crash.began_at < CRASH_CONFIRMATION_SECONDS
            ):
                crash.confirmed = True

    def clear_request(self, fingerprint: str) -> None:
        """Clear a request of all crashes, as it has run to its end without one."""
        for crash in self._crashes:
            crash.fingerprints.discard(fingerprint)

    def should_refuse(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must be refused to protect the servers."""
        self._drop_old(now)
        crashes = sum(
            crash.confirmed and fingerprint in crash.fingerprints
            for crash in self._crashes
        )
        return crashes >= CRASHES_TO_REFUSE

    def take_reports(self) -> list[CrashReport]:
        """Return crashes with requests that have not been reported to peers yet."""
        reports = []
        for crash in self._crashes:
            if crash.confirmed and len(crash.fingerprints) > crash.reported_count:
                crash.reported_count = len(crash.fingerprints)
                fingerprints = tuple(sorted(crash.fingerprints))
                reports.append(CrashReport(crash.server_id, fingerprints))
        return reports

    def merge_reports(self, reports: Iterable[CrashReport], now: float) -> None:
        """Add the crashes reported by a peer, without reporting them any further."""
        for report in reports:
            crash = self._find_or_add_crash(
                report.server_id, now, CRASH_CONFIRMATION_SECONDS
            )
            crash.fingerprints.update(report.fingerprints)
            crash.confirmed = True
            crash.reported_count = len(crash.fingerprints)

    def _find_or_add_crash(
        self,
        server_id: BackendServerId,
        now: float,
        within_seconds: float = SAME_CRASH_SECONDS,
    ) -> _Crash:
        """Return the server's crash of the last `within_seconds`, or a new one."""
        for crash in reversed(self._crashes):
            if crash.server_id == server_id and now - crash.began_at < within_seconds:
                return crash
        crash = _Crash(server_id, now, set())
        self._crashes.append(crash)
        del self._crashes[:-MAX_CRASHES]
        return crash

    def _drop_old(self, now: float) -> None:
        while (
            self._crashes and now - self._crashes[0].began_at > CRASH_LIFETIME_SECONDS
        ):
            del self._crashes[0]
