"""Which backend servers to leave out, from results alone.

Answers the load pattern of servers that are gone, silent, or fail or hang part of
their requests while their entry in the instance list and their health check are good.
Each request sent there is lost or late, and fast failures draw more than their share.
"""

import heapq
from collections.abc import Callable, Mapping, Sequence

import msgspec

from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.routing.results import Result, ResultCounts, Ticket

__all__ = ["Suspicion"]

#: Time in which counts of results halve, in seconds.
HALF_LIFE_SECONDS = 2.0
#: Share of a service that may be left out at once.
MOST_LEFT_OUT = 0.5
#: Results that show a lost server, without an answer between them.
LOST_STREAK = 2
#: Results needed before shares of failures are compared.
LEAST_RESULTS = 4.0
#: A server is left out when it fails this share of its requests more than twice the
#: share that its peers fail.
FAILED_MARGIN = 0.25
PEERS_FACTOR = 2.0
#: Pause before a server is tried again, and its growth and bound.
FIRST_PAUSE_SECONDS = 1.0
PAUSE_GROWTH = 2.0
MOST_PAUSE_SECONDS = 4.0
#: Answers in a row that bring a server back; until then it gets one request more at a
#: time than it has answered.
PROBES_NEEDED = 3
#: Longest time that one probe keeps others away.
PROBE_SECONDS = 2.0
#: An attempt without an event counts as failed after this many times the expected
#: time to its first event, and not before the least time.
OVERDUE_FACTOR = 4.0
OVERDUE_LEAST_SECONDS = 0.8
#: Streams of one server that, all without an event for the time given, show silence.
SILENT_STREAMS = 3
SILENT_SECONDS = 0.8
#: Slowness above which a server is left out, until what showed it is too old to count.
SLOW_LIMIT = 2.5
#: Connections that break within this time break by one crash.
CRASH_SECONDS = 0.2


class _Watch(msgspec.Struct):
    """What is known of one server."""

    good: float = 0.0
    bad: float = 0.0
    counted_at: float = 0.0
    lost_streak: int = 0
    broken_at: float = float("-inf")
    out: bool = False
    until: float = 0.0
    pause: float = FIRST_PAUSE_SECONDS
    probed_at: float = float("-inf")
    probes_good: int = 0
    probing: set[int] = msgspec.field(default_factory=set)
    pending: int = 0
    streaming: int = 0
    event_at: float = float("-inf")
    renewed: bool = False

    def fade(self, now: float) -> None:
        """Let counts grow old."""
        factor = 0.5 ** ((now - self.counted_at) / HALF_LIFE_SECONDS)
        self.good *= factor
        self.bad *= factor
        self.counted_at = now


class _Pending(msgspec.Struct):
    server_id: BackendServerId
    began_at: float
    streaming: bool = False
    lives: bool = False
    overdue: bool = False


class Suspicion:
    """Leaves servers out by evidence and brings them back by few requests.

    Every method takes `now` in monotonic seconds.

    :ivar slow_servers: returns how many times slower servers of a service are than
        their peers; a :class:`bluebellshore.routing.load.LoadBook` sets it.
    """

    def __init__(self) -> None:
        self.slow_servers: Callable[
            [ServiceName, float], Mapping[BackendServerId, float]
        ] = lambda service, now: {}
        self._watches: dict[BackendServerId, _Watch] = {}
        self._pending: dict[Ticket, _Pending] = {}
        self._due: list[tuple[float, Ticket]] = []
        self._new: dict[BackendServerId, ResultCounts] = {}
        self._sees_progress = False

    def usable(
        self, servers: Sequence[BackendServer], now: float
    ) -> list[BackendServer]:
        """Return those of a service that may be sent a request.

        Never leaves out more than a bounded share; those that were left out first
        come back first.
        """
        self._count_overdue(now)
        slow = self.slow_servers(servers[0].service, now) if servers else {}
        suspects = [
            s
            for s in servers
            if slow.get(s.server_id, 1.0) > SLOW_LIMIT
            or (s.server_id in self._watches and self._is_suspect(s, servers, now))
        ]
        if not suspects:
            return list(servers)
        room = int(len(servers) * MOST_LEFT_OUT)
        if len(suspects) > room:
            suspects.sort(key=lambda s: self._watch(s.server_id).until, reverse=True)
            del suspects[room:]
        left_out = {s.server_id for s in suspects if not self._may_probe(s, now)}
        return [s for s in servers if s.server_id not in left_out]

    def left_out(self) -> list[BackendServerId]:
        """Return the servers under suspicion, for metrics."""
        return [key for key, watch in self._watches.items() if watch.out]

    def evidence(self, server_id: BackendServerId) -> dict[str, float]:
        """Return what a server is judged by; counts fade with time."""
        watch = self._watch(server_id)
        return {
            "good": round(watch.good, 2),
            "bad": round(watch.bad, 2),
            "lost_streak": watch.lost_streak,
            "pending": watch.pending,
            "streaming": watch.streaming,
            "pause_seconds": watch.pause,
        }

    def begin(
        self,
        ticket: Ticket,
        server_id: BackendServerId,
        expected_seconds: float,
        now: float,
    ) -> None:
        """Watch an attempt; it is overdue at a multiple of the expected time."""
        self._pending[ticket] = _Pending(server_id, now)
        wait = max(OVERDUE_LEAST_SECONDS, OVERDUE_FACTOR * expected_seconds)
        heapq.heappush(self._due, (now + wait, ticket))
        watch = self._watch(server_id)
        watch.pending += 1
        if watch.out:
            watch.probed_at = now
            watch.probing.add(ticket)

    def event(self, ticket: Ticket, now: float) -> None:
        """Note an event of an attempt.

        Only a further event shows that the server lives: the end of an attempt that
        failed may be reported as its first event.
        """
        pending = self._pending.get(ticket)
        if pending is None:
            return
        watch = self._watch(pending.server_id)
        watch.event_at = now
        if not pending.streaming:
            pending.streaming = True
            watch.streaming += 1
        elif not pending.lives:
            pending.lives = True
            self._sees_progress = True
            watch.lost_streak = 0
            if watch.out:
                self._note_life(watch, pending, ticket, now)

    def _note_life(
        self, watch: _Watch, pending: _Pending, ticket: Ticket, now: float
    ) -> None:
        """Take an event of a server that is left out as a probe's answer.

        When it is one of an attempt from before, the server lives again: try it.
        """
        watch.probing.discard(ticket)
        if pending.began_at >= watch.until:
            self._judge_probe(watch, ResultCounts(good=1.0), now)
        else:
            watch.until = min(watch.until, now)
            watch.pause = FIRST_PAUSE_SECONDS

    def forget(self, ticket: Ticket) -> None:
        """Stop watching an attempt; its result is recorded apart."""
        pending = self._pending.pop(ticket, None)
        if pending is not None:
            watch = self._watch(pending.server_id)
            watch.probing.discard(ticket)
            watch.pending -= 1
            watch.streaming -= pending.streaming
            if watch.renewed and not watch.pending:
                del self._watches[pending.server_id]

    def record(
        self, server_id: BackendServerId, result: Result, seconds: float, now: float
    ) -> None:
        """Count how an attempt ended.

        :param seconds: time to its first event.
        """
        if result in (Result.LEFT, Result.REFUSED):
            return
        if result is Result.ANSWERED:
            self._count(server_id, ResultCounts(good=1.0), now)
            return
        watch = self._watch(server_id)
        if result is Result.BROKEN:
            if now - watch.broken_at < CRASH_SECONDS:
                return
            watch.broken_at = now
        lost = result in (Result.UNREACHABLE, Result.TIMED_OUT)
        self._count(server_id, ResultCounts(bad=1.0, lost=float(lost)), now)

    def take_counts(self) -> dict[BackendServerId, ResultCounts]:
        """Return own counts since the last call, for peers."""
        counts, self._new = self._new, {}
        return counts

    def merge(
        self, counts_by_server: Mapping[BackendServerId, ResultCounts], now: float
    ) -> None:
        """Take in a peer's counts."""
        for server_id, counts in counts_by_server.items():
            self._add(server_id, counts, now)

    def renew(self, server_id: BackendServerId) -> None:
        """Forget a server that is gone or began anew."""
        watch = self._watches.get(server_id)
        if watch is not None:
            self._watches[server_id] = _Watch(
                pending=watch.pending, streaming=watch.streaming, renewed=True
            )
            if not watch.pending:
                del self._watches[server_id]

    def _watch(self, server_id: BackendServerId) -> _Watch:
        return self._watches.setdefault(server_id, _Watch())

    def _count(
        self, server_id: BackendServerId, counts: ResultCounts, now: float
    ) -> None:
        new = self._new.setdefault(server_id, ResultCounts())
        new.good += counts.good
        new.bad += counts.bad
        new.lost += counts.lost
        self._add(server_id, counts, now)

    def _add(
        self, server_id: BackendServerId, counts: ResultCounts, now: float
    ) -> None:
        watch = self._watch(server_id)
        watch.fade(now)
        watch.good += counts.good
        watch.bad += counts.bad
        watch.lost_streak += int(counts.lost)
        if counts.good and not counts.bad:
            watch.lost_streak = 0
        if watch.out:
            self._judge_probe(watch, counts, now)

    def _judge_probe(self, watch: _Watch, counts: ResultCounts, now: float) -> None:
        if now < watch.until:
            return
        if counts.bad:
            watch.pause = min(watch.pause * PAUSE_GROWTH, MOST_PAUSE_SECONDS)
            watch.until = now + watch.pause
            watch.probes_good = 0
            return
        watch.probes_good += int(counts.good)
        if watch.probes_good >= PROBES_NEEDED:
            watch.out = False
            watch.lost_streak = 0
            watch.good, watch.bad = watch.good + watch.bad, 0.0

    def _is_suspect(
        self, server: BackendServer, servers: Sequence[BackendServer], now: float
    ) -> bool:
        watch = self._watches[server.server_id]
        if not watch.out and self._has_failed(watch, server, servers, now):
            watch.out = True
            watch.until = now + watch.pause
            watch.probes_good = 0
        if not watch.out and now - watch.until > MOST_PAUSE_SECONDS:
            watch.pause = FIRST_PAUSE_SECONDS
        return watch.out

    def _has_failed(
        self,
        watch: _Watch,
        server: BackendServer,
        servers: Sequence[BackendServer],
        now: float,
    ) -> bool:
        if watch.lost_streak >= LOST_STREAK:
            return True
        silent = self._sees_progress and now - watch.event_at > SILENT_SECONDS
        if silent and watch.streaming >= SILENT_STREAMS:
            return True
        watch.fade(now)
        total = watch.good + watch.bad
        if total < LEAST_RESULTS or watch.bad < total * FAILED_MARGIN:
            return False
        peers = [
            self._watches[s.server_id]
            for s in servers
            if s.server_id != server.server_id and s.server_id in self._watches
        ]
        for peer in peers:
            peer.fade(now)
        bad = sum(peer.bad for peer in peers)
        share = bad / max(1.0, bad + sum(peer.good for peer in peers))
        return watch.bad / total > FAILED_MARGIN + PEERS_FACTOR * share

    def _may_probe(self, server: BackendServer, now: float) -> bool:
        watch = self._watch(server.server_id)
        if now < watch.until or not watch.out:
            return False
        if now - watch.probed_at > PROBE_SECONDS:
            return True
        return len(watch.probing) <= watch.probes_good

    def _count_overdue(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, ticket = heapq.heappop(self._due)
            pending = self._pending.get(ticket)
            if pending is not None and not pending.streaming and not pending.overdue:
                pending.overdue = True
                watch = self._watch(pending.server_id)
                lost = float(watch.event_at < pending.began_at)
                self._count(pending.server_id, ResultCounts(bad=1.0, lost=lost), now)
