"""Finds requests that crash backend servers.

Handles a request that crashes every backend server that runs it and is sent again and
again, through any router. Each crash also loses the other requests on that server, and
looks like a failure of the server itself. This module serves routers that call backend
servers directly; where each server has a sidecar,
:class:`bluebellshore.sidecar.quarantine.Quarantine` finds such requests.

A router sees connections break, which is no crash yet: networks and overloaded servers
reset connections too. Several of one router that break at one server, or a server that
can't be reached, make a crash likely. The server's entry decides: it goes or says that
the server has started again, or it is renewed as before.

What follows for requests is decided by
:class:`bluebellshore.routing.crashing_requests.CrashingRequests`. Requests that are
never the same but share a prompt part that crashes servers are found by
:class:`bluebellshore.routing.suspected_parts.SuspectedParts`.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from bluebellshore.fleet import BackendServer, ServerState
from bluebellshore.ids import BackendServerId, ScopedPart
from bluebellshore.routing.crashes import Crash, CrashOutcome
from bluebellshore.routing.crashing_requests import (
    AnsweredRequest,
    CrashingRequests,
    RefusedRequest,
)
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
#: Time for which a crash is remembered, and one that the server's entry confirmed.
CRASH_LIFETIME_SECONDS = 120.0
CONFIRMED_CRASH_LIFETIME_SECONDS = 900.0
#: Time after a server lived through broken connections in which others that break
#: together make no crash likely.
DOUBT_SECONDS = 60.0
#: Crashes remembered at once, and those kept when there are more.
MAX_CRASHES = 256
KEPT_CRASHES = 192
#: Pause between two searches for old crashes.
DROP_INTERVAL_SECONDS = 1.0
#: Parts of one prompt that are remembered.
MAX_PARTS = 32
#: Requests of one crash that a report names, and that are remembered.
MAX_REPORTED = 64
MAX_REQUESTS_OF_CRASH = 128
#: Requests of all crashes that a router tells to a peer that knows none.
MAX_SUMMARIZED = 256


class CrashReport(msgspec.Struct, frozen=True):
    """A crash, as reported to peers.

    :param fingerprints: requests of the reporting router that ran during the crash.
    :param parts_by_fingerprint: prompt parts of those whose answer had not begun.
    :param confirmed: whether this seems a crash and not just one broken connection.
    :param broke_at: monotonic seconds at which connections broke; None if unknown.
    :param sent_at_by_fingerprint: monotonic seconds at which requests were sent; those
        of unknown time count as sent when the connections broke.
    :param started_unix_ms: start of the server; 0 if unknown.
    :param died: whether the server's entry confirmed the crash.
    """

    server_id: BackendServerId
    fingerprints: tuple[str, ...]
    parts_by_fingerprint: Mapping[str, tuple[ScopedPart, ...]] = {}
    confirmed: bool = True
    broke_at: float | None = None
    sent_at_by_fingerprint: Mapping[str, float] = {}
    started_unix_ms: int = 0
    died: bool = False


class CrashTracker:
    """Remembers which requests ran on backend servers when they crashed.

    Every method takes `now` in monotonic seconds.

    :param router: identifies this router.
    :param count_routers: returns the number of routers.
    :param settle_seconds: time after which the entry of a server that crashed is gone
        or says so.
    """

    def __init__(
        self,
        router: str = "",
        count_routers: Callable[[], int] = lambda: 1,
        settle_seconds: float = 6.0,
    ) -> None:
        self._crashes: list[Crash] = []
        #: Crashes on which the servers' entries have not decided.
        self._unsettled: list[Crash] = []
        self._settle_seconds = settle_seconds
        #: Monotonic seconds at which the store was last out.
        self._store_lost_at = -1e9
        self._crash_count = 0
        self._dropped_at = -1e9
        self._requests = CrashingRequests(router, count_routers)
        self._parts = SuspectedParts(router, count_routers)

    def __len__(self) -> int:
        return len(self._crashes) + len(self._requests)

    def blames(self, *, unreported_only: bool = False) -> list[BlamedParts]:
        """Return the blamed sets of parts; afterwards they count as reported."""
        return self._parts.blames(unreported_only=unreported_only)

    def refusals(self, *, unreported_only: bool = False) -> list[RefusedRequest]:
        """Return the refused requests; afterwards they count as reported."""
        return self._requests.refusals(unreported_only=unreported_only)

    def own_refusals(self) -> list[RefusedRequest]:
        """Return the refused requests that ran here at a remembered crash."""
        own = {
            fingerprint
            for crash in self._crashes
            for fingerprint in crash.own_fingerprints
        }
        return self._requests.refusals_of(sorted(own))

    @property
    def blamed_parts(self) -> list[frozenset[ScopedPart]]:
        """Sets of prompt parts; requests with all parts of one are refused."""
        return self._parts.blamed

    @property
    def refused_requests(self) -> frozenset[str]:
        """Requests that are refused for certain."""
        return self._requests.refused

    def record_broken_connection(
        self,
        server_id: BackendServerId,
        fingerprint: str,
        now: float,
        parts: Sequence[ScopedPart] = (),
        *,
        sent_at: float | None = None,
        listed: BackendServer | None = None,
    ) -> None:
        """Record that the connection of an attempt broke before the answer's end.

        Connections of different requests that break together make a crash likely.

        :param parts: prompt parts of the request if its answer had not begun.
        :param sent_at: when the attempt was sent; `now` if left out.
        :param listed: the server by the entry that it had when the attempt was sent;
            None if it isn't known.
        """
        crash = self._find_or_add_crash(server_id, now)
        if listed is not None:
            crash.listed, crash.address = True, listed.address
            crash.started_unix_ms = crash.started_unix_ms or listed.started_unix_ms
        crash.routers_differ |= bool(crash.parts_by_fingerprint.keys() - {fingerprint})
        if len(crash.own_fingerprints) < MAX_REPORTED:
            crash.own_fingerprints.add(fingerprint)
            crash.unreported.add(fingerprint)
        if parts:
            found = tuple(parts[:MAX_PARTS])
            crash.parts_by_fingerprint[fingerprint] = found
            crash.own_parts_by_fingerprint[fingerprint] = found
        crash.confirming.add(fingerprint)
        crash.confirmed |= len(crash.confirming) > 1
        # A probe that breaks is taken for a crash, as a second one costs more.
        crash.confirmed |= self._parts.is_blamed(parts)
        self._add_try(crash, fingerprint, now if sent_at is None else sent_at, now)
        self._hand_on_evidence(crash, now)

    def record_unreachable(self, server_id: BackendServerId, now: float) -> None:
        """Record that a server can't be reached, which makes a recent crash likely."""
        for crash in self._crashes:
            if (
                crash.server_id == server_id
                and now - crash.began_at < CRASH_CONFIRMATION_SECONDS
            ):
                crash.confirmed, crash.doubted = True, False
                self._hand_on_evidence(crash, now)

    def record_alive(self, server_id: BackendServerId, sent_at: float) -> None:
        """Record that a server answered a request that was sent at `sent_at`."""
        for crash in self._unsettled:
            if crash.server_id == server_id and crash.began_at < sent_at:
                crash.outcome = CrashOutcome.LIVES

    def settle(
        self,
        servers_by_id: Mapping[BackendServerId, BackendServer],
        now: float,
        *,
        store_lost: bool = False,
    ) -> list[Crash]:
        """Decide by the servers' entries whether they crashed.

        :param servers_by_id: backend servers by their present entries.
        :param store_lost: whether entries may be outdated.
        :return: crashes that are now known to be such.
        """
        if store_lost:
            self._store_lost_at = now
            return []
        if not self._unsettled:
            return []
        ids_by_address: dict[str, set[BackendServerId]] = {}
        for server in servers_by_id.values():
            ids_by_address.setdefault(server.address, set()).add(server.server_id)
        died = []
        for crash in self._unsettled:
            if crash.settled:
                continue
            server = servers_by_id.get(crash.server_id)
            if ids_by_address.get(crash.address, set()) - {crash.server_id}:
                # Its successor has registered, and its own entry has yet to lapse.
                outcome = CrashOutcome.DIED
            else:
                outcome = self._outcome_of(crash, server, now)
            if outcome is CrashOutcome.DIED:
                self._record_died(crash, now)
                died.append(crash)
            elif outcome is CrashOutcome.LIVES:
                crash.outcome, crash.settled = outcome, True
        self._unsettled = [crash for crash in self._unsettled if not crash.settled]
        return died

    def _outcome_of(
        self, crash: Crash, server: BackendServer | None, now: float
    ) -> CrashOutcome:
        if server is None:
            # An entry that was never seen here may have been removed long before.
            if crash.listed:
                return CrashOutcome.DIED
        elif crash.started_unix_ms not in (0, server.started_unix_ms):
            return CrashOutcome.DIED
        elif server.state is not ServerState.READY:
            # A server that crashed doesn't announce that it leaves.
            return CrashOutcome.LIVES
        else:
            crash.listed, crash.address = True, server.address
            crash.started_unix_ms = server.started_unix_ms
        since = max(crash.began_at, self._store_lost_at)
        if now - since < self._settle_seconds:
            return CrashOutcome.UNDECIDED
        return CrashOutcome.LIVES if server is not None else crash.outcome

    def _record_died(self, crash: Crash, now: float) -> None:
        crash.outcome, crash.confirmed, crash.settled = CrashOutcome.DIED, True, True
        for fingerprint in crash.fingerprints:
            self._requests.record_crash(fingerprint, crash, now)
        self._hand_on_evidence(crash, now)

    def record_sent(
        self, parts: Sequence[ScopedPart], now: float, fingerprint: str = ""
    ) -> None:
        """Record that a request, with these prompt parts, is sent."""
        self._parts.record_sent(parts, now)
        self._requests.record_sent(fingerprint, now)

    def record_answer_began(self, parts: Sequence[ScopedPart], began_at: float) -> None:
        """Record that the answer to a request began at `began_at` without a crash."""
        self._parts.record_answer(parts, began_at)

    def clear_request(self, fingerprint: str, now: float) -> None:
        """Clear a request of all crashes, as it has run to its end without one."""
        for crash in self._crashes:
            crash.confirming.discard(fingerprint)
        self._requests.record_answer(fingerprint, now)

    def should_refuse(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must be refused to protect the servers."""
        self._drop_old(now)
        return self._requests.is_refused(fingerprint, now)

    def is_refused_for_certain(self, fingerprint: str) -> bool:
        """Return whether servers' entries confirmed why a request is refused."""
        return fingerprint in self._requests.refused

    def should_refuse_parts(self, parts: Sequence[ScopedPart], now: float) -> bool:
        """Return whether requests with these prompt parts must be refused."""
        return self._parts.is_refused(parts, now)

    def take_reports(self) -> list[CrashReport]:
        """Return crashes of which peers don't know all that this router does."""
        reports = []
        for crash in self._crashes:
            new = crash.unreported
            died = crash.outcome is CrashOutcome.DIED
            if (crash.confirmed, died) != (
                crash.reported_confirmed,
                crash.reported_died,
            ):
                new = crash.own_fingerprints
            own_parts = crash.own_parts_by_fingerprint
            fingerprints = sorted(
                new & crash.fingerprints, key=lambda name: (name not in own_parts, name)
            )[:MAX_REPORTED]
            if not fingerprints:
                continue
            reports.append(_report_of(crash, fingerprints))
            crash.unreported.clear()
            crash.reported_confirmed = crash.confirmed
            crash.reported_died = died
        return reports

    def summarize(self) -> list[CrashReport]:
        """Return the last crashes, for a peer that was told none of them.

        Requests of other routers are named as well: these may have restarted since.
        """
        reports, count = [], 0
        for crash in reversed(self._crashes):
            left = MAX_SUMMARIZED - count
            if (
                crash.outcome is CrashOutcome.LIVES
                or not crash.fingerprints
                or not left
            ):
                continue
            fingerprints = sorted(crash.fingerprints)[: min(MAX_REPORTED, left)]
            reports.append(_report_of(crash, fingerprints))
            count += len(fingerprints)
        return reports[::-1]

    def take_answered_parts(self) -> list[AnsweredPart]:
        """Return suspected parts on which answers have begun since the last call."""
        return self._parts.take_answers()

    def take_answered_requests(self) -> list[AnsweredRequest]:
        """Return suspected requests that have been answered since the last call."""
        return self._requests.take_answers()

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
            broke_at = now if report.broke_at is None else min(report.broke_at, now)
            if now - broke_at > CONFIRMED_CRASH_LIFETIME_SECONDS:
                continue
            crash = self._find_or_add_crash(
                report.server_id, broke_at, CRASH_CONFIRMATION_SECONDS
            )
            crash.started_unix_ms = crash.started_unix_ms or report.started_unix_ms
            known = crash.confirming | crash.parts_by_fingerprint.keys()
            if report.confirmed:
                crash.routers_differ |= bool(known - set(report.fingerprints))
                crash.confirmed = True
                left = MAX_REQUESTS_OF_CRASH - len(crash.confirming)
                crash.confirming.update(report.fingerprints[: max(0, left)])
            elif report.parts_by_fingerprint:
                crash.routers_differ |= bool(known - report.parts_by_fingerprint.keys())
            for fingerprint in report.fingerprints[:MAX_REPORTED]:
                sent_at = report.sent_at_by_fingerprint.get(fingerprint, broke_at)
                self._add_try(crash, fingerprint, sent_at, now)
            for fingerprint, parts in report.parts_by_fingerprint.items():
                crash.parts_by_fingerprint[fingerprint] = parts[:MAX_PARTS]
            if report.died and crash.outcome is not CrashOutcome.DIED:
                self._record_died(crash, now)
            self._hand_on_evidence(crash, now, report.broke_at)
        self._parts.merge_answers(answered)
        self._parts.merge_blames(blames, now)

    def merge_refusals(
        self,
        refusals: Iterable[RefusedRequest],
        now: float,
        answered: Iterable[AnsweredRequest] = (),
    ) -> None:
        """Add the requests that a peer refuses, and those that it saw answered."""
        self._requests.merge_answers(answered)
        self._requests.merge_refusals(refusals, now)

    def _add_try(
        self, crash: Crash, fingerprint: str, sent_at: float, now: float
    ) -> None:
        full = len(crash.fingerprints) >= MAX_REQUESTS_OF_CRASH
        if full and fingerprint not in crash.fingerprints:
            return
        if not self._requests.add_try(fingerprint, crash, sent_at, now):
            return
        crash.fingerprints.add(fingerprint)
        before = crash.sent_at_by_fingerprint.get(fingerprint, sent_at)
        crash.sent_at_by_fingerprint[fingerprint] = max(before, sent_at)

    def _hand_on_evidence(
        self, crash: Crash, now: float, broke_at: float | None = None
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
        at: float,
        within_seconds: float = SAME_CRASH_SECONDS,
    ) -> Crash:
        """Return the server's crash within `within_seconds` of `at`, or a new one."""
        for crash in reversed(self._crashes):
            if (
                crash.server_id == server_id
                and abs(at - crash.began_at) < within_seconds
            ):
                return crash
        crash = Crash(self._crash_number(server_id, at), server_id, at)
        crash.doubted = any(
            other.server_id == server_id
            and other.outcome is CrashOutcome.LIVES
            and abs(at - other.began_at) < DOUBT_SECONDS
            for other in self._crashes
        )
        self._crashes.append(crash)
        self._unsettled.append(crash)
        if len(self._crashes) > MAX_CRASHES:
            self._drop_least()
        return crash

    def _crash_number(self, server_id: BackendServerId, at: float) -> int:
        """Return the number of the server's crash about `at`, or a new one."""
        for crash in reversed(self._crashes):
            if (
                crash.server_id == server_id
                and abs(at - crash.began_at) < CRASH_CONFIRMATION_SECONDS
            ):
                return crash.number
        self._crash_count += 1
        return self._crash_count

    def _drop_least(self) -> None:
        """Drop the oldest crashes, but those that their servers lived through first."""
        ranked = sorted(
            self._crashes,
            key=lambda crash: (crash.outcome is not CrashOutcome.LIVES, crash.began_at),
        )
        self._keep(ranked[-KEPT_CRASHES:])

    def _drop_old(self, now: float) -> None:
        if now - self._dropped_at < DROP_INTERVAL_SECONDS or not self:
            return
        self._dropped_at = now
        self._keep(
            [
                crash
                for crash in self._crashes
                if now - crash.began_at < _lifetime(crash)
            ]
        )
        self._requests.drop_unused(now)

    def _keep(self, crashes: list[Crash]) -> None:
        if len(crashes) == len(self._crashes):
            return
        numbers = {crash.number for crash in crashes}
        self._crashes = sorted(crashes, key=lambda crash: crash.began_at)
        self._unsettled = [
            crash for crash in self._unsettled if crash.number in numbers
        ]
        self._requests.keep_crashes(numbers)


def _lifetime(crash: Crash) -> float:
    if crash.outcome is CrashOutcome.DIED:
        return CONFIRMED_CRASH_LIFETIME_SECONDS
    return CRASH_LIFETIME_SECONDS


def _report_of(crash: Crash, fingerprints: Sequence[str]) -> CrashReport:
    parts_by_fingerprint = {}
    if not crash.reported_confirmed:
        parts_by_fingerprint = {
            fingerprint: crash.own_parts_by_fingerprint[fingerprint]
            for fingerprint in fingerprints
            if fingerprint in crash.own_parts_by_fingerprint
        }
    sent_at_by_fingerprint = {
        fingerprint: crash.sent_at_by_fingerprint[fingerprint]
        for fingerprint in fingerprints
        if fingerprint in crash.sent_at_by_fingerprint
    }
    return CrashReport(
        crash.server_id,
        tuple(fingerprints),
        parts_by_fingerprint,
        crash.confirmed,
        crash.began_at,
        sent_at_by_fingerprint,
        crash.started_unix_ms,
        crash.outcome is CrashOutcome.DIED,
    )
