"""Passive health checks of backend servers, with ejection of outliers.

Handles servers that are gone or silent, or that fail or hang part of their requests,
while the instance list and their health check still report them as healthy. Each
request sent to such a server is lost or late, and a server that fails fast attracts
more than its share of requests because it always looks idle.
"""

import heapq
from collections.abc import Callable, Mapping, Sequence

import msgspec

from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.routing.results import AttemptResult, ResultCounts, Ticket

__all__ = ["OutlierDetector"]

#: Half-life of the exponential decay of result counts.
COUNT_HALF_LIFE_SECONDS = 2.0
#: Share of a service's servers that may be ejected at once.
MAX_EJECTED_SHARE = 0.5
#: Attempts without a response, with no success between them, that eject a server.
NO_RESPONSES_TO_EJECT = 2
#: Results of a server needed before its failure share is compared with its peers'.
MIN_RESULTS_TO_COMPARE = 4.0
#: A server is ejected when its failure share exceeds that of its peers, times the
#: factor, by more than the margin.
FAILURE_SHARE_MARGIN = 0.25
PEER_FAILURE_FACTOR = 2.0
#: Length of the first ejection, its growth after each failed probe, and its maximum.
BASE_EJECTION_SECONDS = 1.0
EJECTION_GROWTH_FACTOR = 2.0
MAX_EJECTION_SECONDS = 4.0
#: Successful half-open probes, without a failure between them, that end an ejection.
#: Until then, concurrent probes are limited to one more than have succeeded.
PROBES_TO_RETURN = 3
#: Time since the last probe after which another is allowed regardless of that limit.
PROBE_TIMEOUT_SECONDS = 2.0
#: An attempt without an event counts as failed after this multiple of the expected
#: time to its first event, but no sooner than the minimum.
OVERDUE_FACTOR = 4.0
MIN_OVERDUE_SECONDS = 0.8
#: A server is ejected when at least this many of its streams are open and none of them
#: has had an event for the given time.
MIN_SILENT_STREAMS = 3
STREAM_SILENCE_SECONDS = 0.8
#: Slowness relative to its peers above which a server is ejected, for as long as the
#: samples that show it are recent enough to count.
EJECTION_SLOWNESS = 2.5
#: Connections to one server that break within this time are counted as one crash.
SAME_CRASH_SECONDS = 0.2


class _ServerHealth(msgspec.Struct):
    """Results and ejection state of one server.

    :ivar successes: answers, decayed up to `decayed_at`.
    :ivar failures: failures of any kind, decayed up to `decayed_at`.
    :ivar no_response_streak: attempts without a response since the last success.
    :ivar ejected_until: time from which probes are allowed; kept after the ejection.
    :ivar ejection_seconds: length of the next ejection.
    :ivar probe_tickets: probes in flight.
    :ivar in_flight: attempts in flight.
    :ivar streaming: attempts in flight that have had an event.
    :ivar drop_when_idle: whether to delete this entry once no attempt is in flight.
    """

    successes: float = 0.0
    failures: float = 0.0
    decayed_at: float = 0.0
    no_response_streak: int = 0
    broken_at: float = float("-inf")
    ejected: bool = False
    ejected_until: float = 0.0
    ejection_seconds: float = BASE_EJECTION_SECONDS
    probed_at: float = float("-inf")
    probe_successes: int = 0
    probe_tickets: set[int] = msgspec.field(default_factory=set)
    in_flight: int = 0
    streaming: int = 0
    last_event_at: float = float("-inf")
    drop_when_idle: bool = False

    def decay(self, now: float) -> None:
        """Apply the exponential decay of the counts up to `now`."""
        factor = 0.5 ** ((now - self.decayed_at) / COUNT_HALF_LIFE_SECONDS)
        self.successes *= factor
        self.failures *= factor
        self.decayed_at = now


class _PendingAttempt(msgspec.Struct):
    server_id: BackendServerId
    began_at: float
    has_event: bool = False
    has_second_event: bool = False
    is_overdue: bool = False


class OutlierDetector:
    """Ejects outliers among backend servers and readmits them by half-open probes.

    Attempts are the only evidence: servers are not called for the check itself. Every
    method takes `now` in monotonic seconds.

    :ivar slow_servers: returns how many times slower servers of a service are than
        their peers; a :class:`bluebellshore.routing.load.LoadTracker` sets it.
    """

    def __init__(self) -> None:
        self.slow_servers: Callable[
            [ServiceName, float], Mapping[BackendServerId, float]
        ] = lambda service, now: {}
        self._health_by_server: dict[BackendServerId, _ServerHealth] = {}
        self._pending_by_ticket: dict[Ticket, _PendingAttempt] = {}
        #: Heap of the times at which attempts become overdue.
        self._overdue_times: list[tuple[float, Ticket]] = []
        self._new_counts: dict[BackendServerId, ResultCounts] = {}
        #: Whether any attempt has had a second event. Without one, streams may just be
        #: unreported, and silence shows nothing.
        self._has_seen_progress = False

    def usable(
        self, servers: Sequence[BackendServer], now: float
    ) -> list[BackendServer]:
        """Return the servers of one service that may be sent a request.

        At most `MAX_EJECTED_SHARE` of the servers are left out. Of more outliers, those
        whose ejection ends first are returned as usable.

        :param servers: all servers of the service.
        """
        self._count_overdue(now)
        slow = self.slow_servers(servers[0].service, now) if servers else {}
        outliers = [
            s
            for s in servers
            if slow.get(s.server_id, 1.0) > EJECTION_SLOWNESS
            or (
                s.server_id in self._health_by_server
                and self._is_ejected(s, servers, now)
            )
        ]
        if not outliers:
            return list(servers)
        max_ejected = int(len(servers) * MAX_EJECTED_SHARE)
        if len(outliers) > max_ejected:
            outliers.sort(
                key=lambda s: self._health(s.server_id).ejected_until, reverse=True
            )
            del outliers[max_ejected:]
        excluded = {s.server_id for s in outliers if not self._allows_probe(s, now)}
        return [s for s in servers if s.server_id not in excluded]

    def ejected(self) -> list[BackendServerId]:
        """Return the ejected servers, including those that are being probed."""
        return [key for key, health in self._health_by_server.items() if health.ejected]

    def evidence(self, server_id: BackendServerId) -> dict[str, float]:
        """Return the values that decide on a server's ejection, for log lines."""
        health = self._health(server_id)
        return {
            "good": round(health.successes, 2),
            "bad": round(health.failures, 2),
            "lost_streak": health.no_response_streak,
            "pending": health.in_flight,
            "streaming": health.streaming,
            "pause_seconds": health.ejection_seconds,
        }

    def begin(
        self,
        ticket: Ticket,
        server_id: BackendServerId,
        expected_seconds: float,
        now: float,
    ) -> None:
        """Track an attempt that is about to be sent.

        :param expected_seconds: expected time to the first event; the attempt counts
            as failed after a multiple of it.
        """
        self._pending_by_ticket[ticket] = _PendingAttempt(server_id, now)
        wait = max(MIN_OVERDUE_SECONDS, OVERDUE_FACTOR * expected_seconds)
        heapq.heappush(self._overdue_times, (now + wait, ticket))
        health = self._health(server_id)
        health.in_flight += 1
        if health.ejected:
            health.probed_at = now
            health.probe_tickets.add(ticket)

    def record_event(self, ticket: Ticket, now: float) -> None:
        """Record an event of an attempt.

        Only a second event shows that the server works, because the end of a failed
        attempt may be reported as its first event.
        """
        pending = self._pending_by_ticket.get(ticket)
        if pending is None:
            return
        health = self._health(pending.server_id)
        health.last_event_at = now
        if not pending.has_event:
            pending.has_event = True
            health.streaming += 1
        elif not pending.has_second_event:
            pending.has_second_event = True
            self._has_seen_progress = True
            health.no_response_streak = 0
            if health.ejected:
                self._record_event_of_ejected(health, pending, ticket, now)

    def _record_event_of_ejected(
        self,
        health: _ServerHealth,
        pending: _PendingAttempt,
        ticket: Ticket,
        now: float,
    ) -> None:
        """Count an event of an ejected server as a successful probe.

        An event of an attempt that was sent before probing began ends the waiting time
        instead, so that probing starts at once.
        """
        health.probe_tickets.discard(ticket)
        if pending.began_at >= health.ejected_until:
            self._record_probe(health, ResultCounts(successes=1.0), now)
        else:
            health.ejected_until = min(health.ejected_until, now)
            health.ejection_seconds = BASE_EJECTION_SECONDS

    def forget_attempt(self, ticket: Ticket) -> None:
        """Stop tracking an attempt; :meth:`record_result` counts its result."""
        pending = self._pending_by_ticket.pop(ticket, None)
        if pending is not None:
            health = self._health(pending.server_id)
            health.probe_tickets.discard(ticket)
            health.in_flight -= 1
            health.streaming -= pending.has_event
            if health.drop_when_idle and not health.in_flight:
                del self._health_by_server[pending.server_id]

    def record_result(
        self,
        server_id: BackendServerId,
        result: AttemptResult,
        seconds: float,
        now: float,
    ) -> None:
        """Count the result of an attempt.

        :param seconds: time to its first event.
        """
        if result in (AttemptResult.ABANDONED, AttemptResult.REFUSED):
            return
        if result is AttemptResult.ANSWERED:
            self._count_own(server_id, ResultCounts(successes=1.0), now)
            return
        health = self._health(server_id)
        if result is AttemptResult.BROKEN:
            if now - health.broken_at < SAME_CRASH_SECONDS:
                return
            health.broken_at = now
        no_response = result in (AttemptResult.UNREACHABLE, AttemptResult.TIMED_OUT)
        self._count_own(
            server_id, ResultCounts(failures=1.0, no_response=float(no_response)), now
        )

    def take_new_counts(self) -> dict[BackendServerId, ResultCounts]:
        """Return this router's own counts since the last call, to be sent to peers."""
        counts, self._new_counts = self._new_counts, {}
        return counts

    def merge(
        self, counts_by_server: Mapping[BackendServerId, ResultCounts], now: float
    ) -> None:
        """Add the counts that a peer reported."""
        for server_id, counts in counts_by_server.items():
            self._add(server_id, counts, now)

    def reset(self, server_id: BackendServerId) -> None:
        """Discard the results and ejection of a server that is gone or has restarted.

        Attempts in flight are still tracked until they end.
        """
        health = self._health_by_server.get(server_id)
        if health is not None:
            self._health_by_server[server_id] = _ServerHealth(
                in_flight=health.in_flight,
                streaming=health.streaming,
                drop_when_idle=True,
            )
            if not health.in_flight:
                del self._health_by_server[server_id]

    def _health(self, server_id: BackendServerId) -> _ServerHealth:
        return self._health_by_server.setdefault(server_id, _ServerHealth())

    def _count_own(
        self, server_id: BackendServerId, counts: ResultCounts, now: float
    ) -> None:
        """Add counts of this router, which peers are yet to be sent."""
        new = self._new_counts.setdefault(server_id, ResultCounts())
        new.successes += counts.successes
        new.failures += counts.failures
        new.no_response += counts.no_response
        self._add(server_id, counts, now)

    def _add(
        self, server_id: BackendServerId, counts: ResultCounts, now: float
    ) -> None:
        health = self._health(server_id)
        health.decay(now)
        health.successes += counts.successes
        health.failures += counts.failures
        health.no_response_streak += int(counts.no_response)
        if counts.successes and not counts.failures:
            health.no_response_streak = 0
        if health.ejected:
            self._record_probe(health, counts, now)

    def _record_probe(
        self, health: _ServerHealth, counts: ResultCounts, now: float
    ) -> None:
        """Extend the ejection of a server by a failed probe, or end it by successes."""
        if now < health.ejected_until:
            return
        if counts.failures:
            health.ejection_seconds = min(
                health.ejection_seconds * EJECTION_GROWTH_FACTOR, MAX_EJECTION_SECONDS
            )
            health.ejected_until = now + health.ejection_seconds
            health.probe_successes = 0
            return
        health.probe_successes += int(counts.successes)
        if health.probe_successes >= PROBES_TO_RETURN:
            health.ejected = False
            health.no_response_streak = 0
            health.successes, health.failures = (
                health.successes + health.failures,
                0.0,
            )

    def _is_ejected(
        self, server: BackendServer, servers: Sequence[BackendServer], now: float
    ) -> bool:
        """Return whether a server is ejected, ejecting it if its results call for it.

        A server that has stayed in for `MAX_EJECTION_SECONDS` starts again at the
        shortest ejection.
        """
        health = self._health_by_server[server.server_id]
        if not health.ejected and self._is_outlier(health, server, servers, now):
            health.ejected = True
            health.ejected_until = now + health.ejection_seconds
            health.probe_successes = 0
        if not health.ejected and now - health.ejected_until > MAX_EJECTION_SECONDS:
            health.ejection_seconds = BASE_EJECTION_SECONDS
        return health.ejected

    def _is_outlier(
        self,
        health: _ServerHealth,
        server: BackendServer,
        servers: Sequence[BackendServer],
        now: float,
    ) -> bool:
        """Return whether a server doesn't respond or fails much more than its peers."""
        if health.no_response_streak >= NO_RESPONSES_TO_EJECT:
            return True
        is_silent = (
            self._has_seen_progress
            and now - health.last_event_at > STREAM_SILENCE_SECONDS
        )
        if is_silent and health.streaming >= MIN_SILENT_STREAMS:
            return True
        health.decay(now)
        total = health.successes + health.failures
        if (
            total < MIN_RESULTS_TO_COMPARE
            or health.failures < total * FAILURE_SHARE_MARGIN
        ):
            return False
        peers = [
            self._health_by_server[s.server_id]
            for s in servers
            if s.server_id != server.server_id and s.server_id in self._health_by_server
        ]
        for peer in peers:
            peer.decay(now)
        failures = sum(peer.failures for peer in peers)
        peer_share = failures / max(
            1.0, failures + sum(peer.successes for peer in peers)
        )
        return (
            health.failures / total
            > FAILURE_SHARE_MARGIN + PEER_FAILURE_FACTOR * peer_share
        )

    def _allows_probe(self, server: BackendServer, now: float) -> bool:
        """Return whether an ejected server may be sent one more half-open probe."""
        health = self._health(server.server_id)
        if now < health.ejected_until or not health.ejected:
            return False
        if now - health.probed_at > PROBE_TIMEOUT_SECONDS:
            return True
        return len(health.probe_tickets) <= health.probe_successes

    def _count_overdue(self, now: float) -> None:
        """Count attempts that have become overdue as failures."""
        while self._overdue_times and self._overdue_times[0][0] <= now:
            _, ticket = heapq.heappop(self._overdue_times)
            pending = self._pending_by_ticket.get(ticket)
            if pending is not None and not pending.has_event and not pending.is_overdue:
                pending.is_overdue = True
                health = self._health(pending.server_id)
                no_response = float(health.last_event_at < pending.began_at)
                self._count_own(
                    pending.server_id,
                    ResultCounts(failures=1.0, no_response=no_response),
                    now,
                )
