"""Finds requests that crash backend servers which anyone may call.

Answers the load pattern of one request that crashes each server that begins to run
it and comes again and again, through any router: each time all requests beside it are
lost, and the servers look as if they failed by themselves. Where a sidecar stands
before each server, :class:`bluebellshore.sidecar.quarantine.Quarantine` does this.
"""

from collections.abc import Iterable

import msgspec

from bluebellshore.ids import BackendServerId

__all__ = ["CrashReport", "CrashTracker"]

#: Connections that break within this time break by one crash.
SAME_CRASH_SECONDS = 0.5
#: A single broken connection shows a crash when the server can't be reached this soon.
GONE_SECONDS = 2.0
#: Crashes with the same request after which it is refused.
CRASHES_BLAMED = 2
#: Time after which a crash is forgotten.
MEMORY_SECONDS = 120.0
#: Crashes remembered.
MOST_CRASHES = 256


class CrashReport(msgspec.Struct, frozen=True):
    """A crash, as peers are told of it.

    :param fingerprints: requests that ran at the router that tells.
    """

    server_id: BackendServerId
    fingerprints: tuple[str, ...]


class _Crash(msgspec.Struct):
    server_id: BackendServerId
    at: float
    fingerprints: set[str]
    certain: bool = False
    told: int = 0


class CrashTracker:
    """Remembers which requests ran at servers that crashed.

    Every method takes `now` in monotonic seconds.
    """

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []

    def __len__(self) -> int:
        return len(self._crashes)

    def record_broken_connection(
        self, server_id: BackendServerId, fingerprint: str, now: float
    ) -> None:
        """Note that the connection of an attempt broke before its answer's end."""
        crash = self._crash(server_id, now)
        crash.fingerprints.add(fingerprint)
        crash.certain |= len(crash.fingerprints) > 1

    def record_unreachable(self, server_id: BackendServerId, now: float) -> None:
        """Note that a server can't be reached: what broke there before was a crash."""
        for crash in self._crashes:
            if crash.server_id == server_id and now - crash.at < GONE_SECONDS:
                crash.certain = True

    def clear_request(self, fingerprint: str) -> None:
        """Clear a request that ended without a crash."""
        for crash in self._crashes:
            crash.fingerprints.discard(fingerprint)

    def should_refuse(self, fingerprint: str, now: float) -> bool:
        """Whether a request is to be refused for the servers' sake."""
        self._forget(now)
        crashes = sum(
            crash.certain and fingerprint in crash.fingerprints
            for crash in self._crashes
        )
        return crashes >= CRASHES_BLAMED

    def take_reports(self) -> list[CrashReport]:
        """Return crashes that peers were not told of yet."""
        seen = []
        for crash in self._crashes:
            if crash.certain and len(crash.fingerprints) > crash.told:
                crash.told = len(crash.fingerprints)
                fingerprints = tuple(sorted(crash.fingerprints))
                seen.append(CrashReport(crash.server_id, fingerprints))
        return seen

    def merge_reports(self, seen: Iterable[CrashReport], now: float) -> None:
        """Take in what a peer tells; it is not told on."""
        for other in seen:
            crash = self._crash(other.server_id, now, GONE_SECONDS)
            crash.fingerprints.update(other.fingerprints)
            crash.certain = True
            crash.told = len(crash.fingerprints)

    def _crash(
        self,
        server_id: BackendServerId,
        now: float,
        within: float = SAME_CRASH_SECONDS,
    ) -> _Crash:
        for crash in reversed(self._crashes):
            if crash.server_id == server_id and now - crash.at < within:
                return crash
        crash = _Crash(server_id, now, set())
        self._crashes.append(crash)
        del self._crashes[:-MOST_CRASHES]
        return crash

    def _forget(self, now: float) -> None:
        while self._crashes and now - self._crashes[0].at > MEMORY_SECONDS:
            del self._crashes[0]
