"""Quarantine of requests that crash backend servers."""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum

import msgspec

__all__ = ["Quarantine", "QuarantineState", "QuarantineReport"]

#: Maximum number of fingerprints kept in each set.
MAX_FINGERPRINTS = 4096
#: Time after which a suspect request without a further crash is no longer suspect.
SUSPECT_SECONDS = 900.0
#: Time after which a quarantined request may run again.
QUARANTINE_SECONDS = 6 * 3600.0
#: Requests ended by one crash may be reported one after another. Reports within this
#: time count as the same crash.
SAME_CRASH_SECONDS = 1.0
#: Maximum number of fingerprints of each kind, newest last, in a report to peers.
MAX_EXPORTED_FINGERPRINTS = 64


class QuarantineState(Enum):
    """State of a request in the quarantine."""

    CLEAN = "clean"
    #: The request ran when a backend server crashed, and must run alone.
    SUSPECT = "suspect"
    #: The request crashed a backend server while it ran alone, and is refused.
    QUARANTINED = "quarantined"


class QuarantineReport(msgspec.Struct, frozen=True):
    """Fingerprints of suspect and quarantined requests, sent to peers."""

    suspects: list[str]
    quarantined: list[str]


class _ExpiringSet:
    """The newest `capacity` strings added in the last `lifetime_seconds`."""

    def __init__(self, capacity: int, lifetime_seconds: float):
        self._capacity = capacity
        self._lifetime_seconds = lifetime_seconds
        self._added_at_by_name: OrderedDict[str, float] = OrderedDict()

    def add(self, name: str, now: float) -> None:
        self._added_at_by_name[name] = now
        self._added_at_by_name.move_to_end(name)
        if len(self._added_at_by_name) > self._capacity:
            self._added_at_by_name.popitem(last=False)

    def discard(self, name: str) -> None:
        self._added_at_by_name.pop(name, None)

    def contains(self, name: str, now: float) -> bool:
        added_at = self._added_at_by_name.get(name)
        return added_at is not None and now - added_at < self._lifetime_seconds

    def newest(self) -> list[str]:
        return list(self._added_at_by_name)[-MAX_EXPORTED_FINGERPRINTS:]

    def expire(self, now: float) -> None:
        for name, added_at in list(self._added_at_by_name.items()):
            if now - added_at < self._lifetime_seconds:
                break
            del self._added_at_by_name[name]


class Quarantine:
    """Identifies the requests that crash backend servers.

    All requests that run during a crash become suspect and run alone afterwards. A
    suspect request that ends without a crash is cleared; one that crashes a backend
    server while it runs alone is quarantined. Requests are identified by their
    fingerprints, times are loop times in seconds.

    :param capacity: maximum number of fingerprints kept in each set.
    """

    def __init__(self, capacity: int = MAX_FINGERPRINTS):
        self._suspects = _ExpiringSet(capacity, SUSPECT_SECONDS)
        self._merged_suspects = _ExpiringSet(capacity, SUSPECT_SECONDS)
        self._cleared = _ExpiringSet(capacity, SUSPECT_SECONDS)
        self._in_latest_crash = _ExpiringSet(capacity, SAME_CRASH_SECONDS)
        self._quarantined = _ExpiringSet(capacity, QUARANTINE_SECONDS)
        self._merged_quarantined = _ExpiringSet(capacity, QUARANTINE_SECONDS)

    def state_of(self, fingerprint: str, now: float) -> QuarantineState:
        """Return the state of a request."""
        if self._quarantined.contains(fingerprint, now):
            return QuarantineState.QUARANTINED
        if self._merged_quarantined.contains(fingerprint, now):
            return QuarantineState.QUARANTINED
        return (
            QuarantineState.SUSPECT
            if self._is_suspect(fingerprint, now)
            else QuarantineState.CLEAN
        )

    def record_crash(self, fingerprints_running: Iterable[str], now: float) -> None:
        """Record a crash of the backend server.

        A suspect request that ran alone is quarantined, all others become suspect.

        :param fingerprints_running: requests that ran at the time of the crash.
        """
        running = set(fingerprints_running)
        for fingerprint in running:
            if self._in_latest_crash.contains(fingerprint, now):
                continue
            self._in_latest_crash.add(fingerprint, now)
            if len(running) == 1 and self._is_suspect(fingerprint, now):
                self._quarantined.add(fingerprint, now)
                self._remove_suspect(fingerprint)
            else:
                self._cleared.discard(fingerprint)
                self._suspects.add(fingerprint, now)

    def clear_request(self, fingerprint: str, now: float) -> None:
        """Clear a suspect request that ended without a crash."""
        if self._is_suspect(fingerprint, now):
            self._remove_suspect(fingerprint)
            self._cleared.add(fingerprint, now)

    def add_suspect(self, fingerprint: str, now: float) -> None:
        """Add a request that another process reported as suspect."""
        if self.state_of(fingerprint, now) is QuarantineState.CLEAN:
            self._merged_suspects.add(fingerprint, now)

    def merge(
        self, suspects: Iterable[str], quarantined: Iterable[str], now: float
    ) -> None:
        """Add the findings of other sidecars; requests cleared here stay cleared."""
        for fingerprint in suspects:
            if not self._cleared.contains(fingerprint, now):
                self.add_suspect(fingerprint, now)
        for fingerprint in quarantined:
            if not self._merged_quarantined.contains(fingerprint, now):
                self._merged_quarantined.add(fingerprint, now)
        self._expire(now)

    def export(self, *, include_merged: bool = False) -> QuarantineReport:
        """Return the findings to report to peers.

        :param include_merged: whether to include the findings of others. Only routers
            pass those on; otherwise a fingerprint would circulate for ever.
        """
        suspects = self._suspects.newest()
        quarantined = self._quarantined.newest()
        if include_merged:
            suspects += self._merged_suspects.newest()
            quarantined += self._merged_quarantined.newest()
        return QuarantineReport(suspects, quarantined)

    def release(self, fingerprint: str) -> None:
        """Remove a request from the suspect and the quarantined ones."""
        self._remove_suspect(fingerprint)
        self._quarantined.discard(fingerprint)
        self._merged_quarantined.discard(fingerprint)

    def _is_suspect(self, fingerprint: str, now: float) -> bool:
        own = self._suspects.contains(fingerprint, now)
        return own or self._merged_suspects.contains(fingerprint, now)

    def _remove_suspect(self, fingerprint: str) -> None:
        self._suspects.discard(fingerprint)
        self._merged_suspects.discard(fingerprint)

    def _expire(self, now: float) -> None:
        for names in (
            self._suspects,
            self._merged_suspects,
            self._cleared,
            self._quarantined,
            self._merged_quarantined,
        ):
            names.expire(now)
