"""Finds requests that crash backend servers.

Handles a request that crashes every backend server that runs it and is sent again and
again, through any router. Each crash also loses the other requests on that server, and
looks like a failure of the server itself. This module serves routers that call backend
servers directly; where each server has a sidecar,
:class:`bluebellshore.sidecar.quarantine.Quarantine` finds such requests.

Requests that are never the same but share a prompt part that crashes servers are found
by :class:`bluebellshore.routing.suspected_parts.SuspectedParts`.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from bluebellshore.ids import BackendServerId, ScopedPart
from bluebellshore.routing.suspected_parts import (
    AnsweredPart,
    BlamedParts,
    SuspectedParts,
)

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
#: Parts of one prompt that are remembered.
MAX_PARTS = 32
#: Requests of one crash that a report names.
MAX_REPORTED = 64


class CrashReport(msgspec.Struct, frozen=True):
    """A crash, as reported to peers.

    :param fingerprints: requests of the reporting router that ran during the crash.
    :param parts_by_fingerprint: prompt parts of those whose answer had not begun.
    :param confirmed: whether this was a crash and not just one broken connection.
    :param broke_at: monotonic seconds at which connections broke; None if unknown.
    """

    server_id: BackendServerId
    fingerprints: tuple[str, ...]
    parts_by_fingerprint: Mapping[str, tuple[ScopedPart, ...]] = {}
    confirmed: bool = True
    broke_at: float | None = None


class _Crash(msgspec.Struct):
    """A crash, or a broken connection that may turn out to be one.

    :ivar number: the same for records of one crash.
    :ivar fingerprints: requests that ran during the crash and haven't completed since.
    :ivar parts_by_fingerprint: prompt parts of those whose answer had not begun, until
        they are handed on as evidence.
    :ivar own_parts_by_fingerprint: the same of this router's requests.
    :ivar routers_differ: whether connections of several routers broke.
    :ivar confirmed: whether this was a crash and not just one broken connection.
    :ivar unreported: requests of this router that were not reported as part of a
        confirmed crash.
    :ivar unreported_broken: those that were not reported at all.
    """

    number: int
    server_id: BackendServerId
    began_at: float
    fingerprints: set[str]
    parts_by_fingerprint: dict[str, tuple[ScopedPart, ...]]
    own_parts_by_fingerprint: dict[str, tuple[ScopedPart, ...]]
    unreported: set[str]
    unreported_broken: set[str]
    confirmed: bool = False
    routers_differ: bool = False


class CrashTracker:
    """Remembers which requests ran on backend servers when they crashed.

    Every method takes `now` in monotonic seconds.

    :param router: identifies this router.
    :param count_routers: returns the number of routers.
    """

    def __init__(
        self, router: str = "", count_routers: Callable[[], int] = lambda: 1
    ) -> None:
        self._crashes: list[_Crash] = []
        self._crash_count = 0
        self._parts = SuspectedParts(router, count_routers)

    def __len__(self) -> int:
        return len(self._crashes)

    def blames(self, *, unreported_only: bool = False) -> list[BlamedParts]:
        """Return the blamed sets of parts; afterwards they count as reported."""
        return self._parts.blames(unreported_only=unreported_only)

    @property
    def blamed_parts(self) -> list[frozenset[ScopedPart]]:
        """Sets of prompt parts; requests with all parts of one are refused."""
        return self._parts.blamed

    def record_broken_connection(
        self,
        server_id: BackendServerId,
        fingerprint: str,
        now: float,
        parts: Sequence[ScopedPart] = (),
    ) -> None:
        """Record that the connection of an attempt broke before the answer's end.

        Connections of different requests that break together confirm a crash.

        :param parts: prompt parts of the request if its answer had not begun.
        """
        crash = self._find_or_add_crash(server_id, now)
        crash.routers_differ |= bool(crash.parts_by_fingerprint.keys() - {fingerprint})
        crash.fingerprints.add(fingerprint)
        crash.unreported.add(fingerprint)
        if parts:
            found = tuple(parts[:MAX_PARTS])
            crash.parts_by_fingerprint[fingerprint] = found
            crash.own_parts_by_fingerprint[fingerprint] = found
            crash.unreported_broken.add(fingerprint)
        crash.confirmed |= len(crash.fingerprints) > 1
        # A probe that breaks is taken for a crash, as a second one costs more.
        crash.confirmed |= self._parts.is_blamed(parts)
        self._hand_on_evidence(crash, now)

    def record_unreachable(self, server_id: BackendServerId, now: float) -> None:
        """Record that a server can't be reached, which confirms a recent crash."""
        for crash in self._crashes:
            if (
                crash.server_id == server_id
                and now - crash.began_at < CRASH_CONFIRMATION_SECONDS
            ):
                crash.confirmed = True
                self._hand_on_evidence(crash, now)

    def record_sent(self, parts: Sequence[ScopedPart], now: float) -> None:
        """Record that a request with these prompt parts is sent."""
        self._parts.record_sent(parts, now)

    def record_answer_began(self, parts: Sequence[ScopedPart], began_at: float) -> None:
        """Record that the answer to a request began at `began_at` without a crash."""
        self._parts.record_answer(parts, began_at)

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

    def should_refuse_parts(self, parts: Sequence[ScopedPart], now: float) -> bool:
        """Return whether requests with these prompt parts must be refused."""
        return self._parts.is_refused(parts, now)

    def take_reports(self) -> list[CrashReport]:
        """Return crashes with requests that have not been reported to peers yet."""
        reports = []
        for crash in self._crashes:
            new = crash.unreported if crash.confirmed else crash.unreported_broken
            own_parts = crash.own_parts_by_fingerprint
            fingerprints = sorted(
                new & crash.fingerprints, key=lambda name: (name not in own_parts, name)
            )[:MAX_REPORTED]
            if not fingerprints:
                continue
            parts_by_fingerprint = {
                fingerprint: own_parts[fingerprint]
                for fingerprint in fingerprints
                if fingerprint in own_parts
            }
            reports.append(
                CrashReport(
                    crash.server_id,
                    tuple(fingerprints),
                    parts_by_fingerprint,
                    crash.confirmed,
                    crash.began_at,
                )
            )
            crash.unreported_broken.clear()
            if crash.confirmed:
                crash.unreported.clear()
        return reports

    def take_answered_parts(self) -> list[AnsweredPart]:
        """Return suspected parts on which answers have begun since the last call."""
        return self._parts.take_answers()

    def merge_reports(
        self,
        reports: Iterable[CrashReport],
        now: float,
        answered: Iterable[AnsweredPart] = (),
        blames: Iterable[BlamedParts] = (),
    ) -> None:
        """Add the crashes reported by a peer, without reporting them any further.

        :param answered: suspected parts on which the peer saw answers begin.
        :param blames: what the peer blames.
        """
        for report in reports:
            crash = self._find_or_add_crash(
                report.server_id, now, CRASH_CONFIRMATION_SECONDS
            )
            known = crash.fingerprints | crash.parts_by_fingerprint.keys()
            crash.routers_differ |= bool(known - set(report.fingerprints))
            if report.confirmed:
                crash.confirmed = True
                crash.fingerprints.update(report.fingerprints)
            for fingerprint, parts in report.parts_by_fingerprint.items():
                crash.parts_by_fingerprint[fingerprint] = parts[:MAX_PARTS]
            self._hand_on_evidence(crash, now, report.broke_at)
        self._parts.merge_answers(answered)
        self._parts.merge_blames(blames, now)

    def _hand_on_evidence(
        self, crash: _Crash, now: float, broke_at: float | None = None
    ) -> None:
        at = crash.began_at if broke_at is None else min(broke_at, crash.began_at)
        if not (crash.confirmed or crash.routers_differ):
            return
        for fingerprint, parts in crash.parts_by_fingerprint.items():
            self._parts.add_request(crash.number, fingerprint, parts, now, at)
        crash.parts_by_fingerprint.clear()

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
        number = self._crash_number(server_id, now)
        crash = _Crash(number, server_id, now, set(), {}, {}, set(), set())
        self._crashes.append(crash)
        del self._crashes[:-MAX_CRASHES]
        return crash

    def _crash_number(self, server_id: BackendServerId, now: float) -> int:
        """Return the number of the server's recent crash, or a new one."""
        for crash in reversed(self._crashes):
            if (
                crash.server_id == server_id
                and now - crash.began_at < CRASH_CONFIRMATION_SECONDS
            ):
                return crash.number
        self._crash_count += 1
        return self._crash_count

    def _drop_old(self, now: float) -> None:
        while (
            self._crashes and now - self._crashes[0].began_at > CRASH_LIFETIME_SECONDS
        ):
            del self._crashes[0]
