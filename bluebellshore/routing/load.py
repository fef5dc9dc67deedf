"""What each backend server is known to have in hand.

Answers the load pattern in which many routers send to the same engines and each sees
the others' work late: own attempts count at once, peers' by their reports, less what
was read since.
"""

import itertools
from collections.abc import Iterable

import msgspec

from bluebellshore.fleet import BackendServer, Call, Service
from bluebellshore.ids import BackendServerId, IncarnationId, PartId, ServiceName
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.parts import CachedParts, PartsInUse
from bluebellshore.routing.results import AttemptResult, ResultCounts, Ticket
from bluebellshore.routing.speed import FirstEventSample, SpeedEstimator

__all__ = [
    "LoadTracker",
    "LoadReport",
    "LoadSnapshot",
    "CachedPart",
    "AttemptResult",
    "ServerLoad",
    "Ticket",
]

#: A peer's report is dropped after this long without a newer one. Peers report
#: several times a second.
REPORT_SECONDS = 2.0
#: Prompt parts of own attempts kept for the next report to peers.
PARTS_REPORTED = 256


class ServerLoad(msgspec.Struct):
    """Work in hand at one backend server.

    :param running: requests sent and not ended.
    :param prefill_tokens: prompt tokens of those that showed no event yet, without
        what was expected to be cached.
    :param held_tokens: tokens of memory that running requests hold at most; parts
        that several of a router's requests share count once.
    """

    running: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0

    def add(self, other: "ServerLoad", sign: int = 1) -> None:
        """Add another load, or take it off with `sign` -1."""
        self.running += sign * other.running
        self.prefill_tokens += sign * other.prefill_tokens
        self.held_tokens += sign * other.held_tokens


class LoadSnapshot(msgspec.Struct, frozen=True):
    """What a choice of a backend server rested on.

    :param running: requests believed to run there.
    :param newest_report_age_seconds: age of the newest report counted; None for
        none.
    :param oldest_report_age_seconds: age of the oldest one.
    """

    running: int
    newest_report_age_seconds: float | None = None
    oldest_report_age_seconds: float | None = None


class CachedPart(msgspec.Struct, frozen=True):
    """A prompt part that a backend server has read."""

    server_id: BackendServerId
    part_id: PartId
    tokens: int = 0


class LoadReport(msgspec.Struct):
    """What a router tells its peers of its own work.

    :param loads_by_server: work that it has in hand; idle servers are left out.
    :param parts: parts that servers have read since the last report.
    :param results_by_server: how attempts ended since the last report.
    """

    loads_by_server: dict[BackendServerId, ServerLoad] = msgspec.field(
        default_factory=dict
    )
    parts: list[CachedPart] = msgspec.field(default_factory=list)
    results_by_server: dict[BackendServerId, ResultCounts] = msgspec.field(
        default_factory=dict
    )


class _Attempt(msgspec.Struct):
    server_id: BackendServerId
    service: ServiceName
    load: ServerLoad
    call: Call
    began_at: float
    read_tokens: int
    ahead_tokens: int
    new_parts: list[PartId]
    first_event_at: float | None = None


class LoadTracker:
    """Own attempts at once, those of peers as they report them.

    Every method takes `now` in monotonic seconds.

    :param outliers: told of attempts that stay without an event; its counts go to
        peers with the reports.
    :ivar speeds: what was learned of the speed of services and servers.
    """

    def __init__(self, outliers: OutlierDetector | None = None) -> None:
        self.speeds = SpeedEstimator()
        self._outliers = outliers
        if outliers is not None:
            outliers.slow_servers = self.speeds.slow_servers
        self._services_by_name: dict[ServiceName, Service] = {}
        self._service_by_server: dict[BackendServerId, ServiceName] = {}
        self._numbers = itertools.count(1)
        self._attempts_by_ticket: dict[Ticket, _Attempt] = {}
        self._unconfirmed: list[Ticket] = []
        self._own_by_server: dict[BackendServerId, ServerLoad] = {}
        self._reports: dict[IncarnationId, tuple[float, LoadReport]] = {}
        self._parts_by_server: dict[BackendServerId, CachedParts] = {}
        self._used_by_server: dict[BackendServerId, PartsInUse] = {}
        self._new_parts: list[CachedPart] = []
        self._forgotten: set[BackendServerId] = set()

    @property
    def tracked_servers(self) -> int:
        """Backend servers of which something is kept, for metrics."""
        return len(self._own_by_server.keys() | self._parts_by_server.keys())

    def configure(self, services: Iterable[Service]) -> None:
        """Take in what services are; engines' memory bounds what they cache."""
        self._services_by_name = {service.name: service for service in services}

    def service_of(self, name: ServiceName) -> Service | None:
        """Return a service as configured."""
        return self._services_by_name.get(name)

    def register_server(self, server: BackendServer) -> None:
        """Learn which service a server belongs to."""
        if server.server_id not in self._service_by_server:
            self._service_by_server[server.server_id] = server.service

    def begin(self, call: Call, server: BackendServer, now: float) -> Ticket:
        """Count an attempt that is about to be sent."""
        self._confirm(now)
        server_id = server.server_id
        self._forgotten.discard(server_id)
        self.register_server(server)
        cached = self.cached_tokens(call, server_id)
        missing = max(0, call.prompt_tokens - cached)
        ahead = self.load_of(server_id, now).prefill_tokens
        used = self._used(server_id)
        before = used.tokens
        used.add(call.prompt)
        own_tokens = max(0, call.most_tokens - sum(p.tokens for p in call.prompt))
        load = ServerLoad(1, missing, own_tokens)
        self._own(server_id).held_tokens += used.tokens - before
        new = [part for part in call.prompt if self._see(server_id, *part)]
        ticket = Ticket(next(self._numbers))
        self._attempts_by_ticket[ticket] = _Attempt(
            server_id,
            server.service,
            load,
            call,
            now,
            missing,
            ahead,
            [part.part_id for part in new],
        )
        self._own(server_id).add(load)
        self._new_parts += [CachedPart(server_id, *part) for part in call.prompt]
        del self._new_parts[:-PARTS_REPORTED]
        if self._outliers is not None:
            expected = self.speeds.expected_seconds(server.service, missing + ahead)
            self._outliers.begin(ticket, server_id, expected, now)
        return ticket

    def record_first_event(self, ticket: Ticket, now: float) -> float:
        """Note that the prompt was read. :return: seconds that it took."""
        attempt = self._attempts_by_ticket[ticket]
        if attempt.first_event_at is None:
            self._confirm(now)
            attempt.first_event_at = now
            self._own(attempt.server_id).prefill_tokens -= attempt.load.prefill_tokens
            attempt.load.prefill_tokens = 0
            self._unconfirmed.append(ticket)
            self.record_event(ticket, now)
        return attempt.first_event_at - attempt.began_at

    def record_event(self, ticket: Ticket, now: float) -> None:
        """Note a further event of a stream."""
        if self._outliers is not None:
            self._outliers.record_event(ticket, now)

    def end(
        self, ticket: Ticket, result: AttemptResult, now: float, output_tokens: int = 0
    ) -> None:
        """Forget an attempt that ended.

        :param output_tokens: tokens that it made; a session's next prompt has them in
            its last part.
        """
        attempt = self._attempts_by_ticket.pop(ticket)
        own, used = self._own(attempt.server_id), self._used(attempt.server_id)
        own.add(attempt.load, sign=-1)
        own.held_tokens -= used.tokens
        used.remove(attempt.call.prompt)
        own.held_tokens += used.tokens
        if result is AttemptResult.ANSWERED:
            if ticket in self._unconfirmed:
                self._learn(attempt, now)
            if output_tokens and attempt.call.prompt:
                part_id, tokens = attempt.call.prompt[-1]
                self._see(attempt.server_id, part_id, tokens + output_tokens)
                seen = CachedPart(attempt.server_id, part_id, tokens + output_tokens)
                self._new_parts.append(seen)
        elif result is not AttemptResult.CALLER_LEFT and not self._had_event(
            attempt, now
        ):
            self._unsee(attempt)
        if ticket in self._unconfirmed:
            self._unconfirmed.remove(ticket)
        if self._outliers is not None:
            self._outliers.forget_attempt(ticket)
        self._drop_idle(attempt.server_id)

    def abandon(self, ticket: Ticket, now: float) -> None:
        """Forget an attempt whose caller left, unless it has ended."""
        if ticket in self._attempts_by_ticket:
            self.end(ticket, AttemptResult.CALLER_LEFT, now)

    def load_of(self, server_id: BackendServerId, now: float) -> ServerLoad:
        """Return all work known to be in hand at a backend server.

        Peers' prompts are read on after their report: what the server read in that
        time is taken off.
        """
        total = ServerLoad()
        total.add(self._own(server_id))
        speed = 0.0
        for received_at, report in self._reports.values():
            load = report.loads_by_server.get(server_id)
            if load is None or now - received_at >= REPORT_SECONDS:
                continue
            speed = speed or self._tokens_per_second(server_id)
            read = int(speed * (now - received_at))
            total.running += load.running
            total.prefill_tokens += max(0, load.prefill_tokens - read)
            total.held_tokens += load.held_tokens
        return total

    def snapshot_of(self, server_id: BackendServerId, now: float) -> LoadSnapshot:
        """Return what is believed to run, and the ages of the reports on it."""
        ages = [
            now - received_at
            for received_at, report in self._reports.values()
            if server_id in report.loads_by_server
            and now - received_at < REPORT_SECONDS
        ]
        running = self.load_of(server_id, now).running
        if not ages:
            return LoadSnapshot(running)
        return LoadSnapshot(running, min(ages), max(ages))

    def cached_tokens(self, call: Call, server_id: BackendServerId) -> int:
        """Return the tokens of the prompt that a backend server seems to hold."""
        parts = self._parts_by_server.get(server_id)
        return 0 if parts is None else parts.cached_tokens(call.prompt)

    def extra_memory_tokens(self, call: Call, server_id: BackendServerId) -> int:
        """Return the memory that a request would take beyond what is in use."""
        return call.most_tokens - self._used(server_id).shared_tokens(call.prompt)

    def take_report(self) -> LoadReport:
        """Return what peers are told; parts and results are told once."""
        parts, self._new_parts = self._new_parts, []
        loads = self.own_loads()
        results = {} if self._outliers is None else self._outliers.take_new_counts()
        return LoadReport(loads, parts, results)

    def own_loads(self) -> dict[BackendServerId, ServerLoad]:
        """Return own work in hand; idle servers are left out."""
        return {key: load for key, load in self._own_by_server.items() if load.running}

    def merge_report(self, peer: IncarnationId, report: LoadReport, now: float) -> None:
        """Take in a peer's report."""
        self._reports[peer] = (now, report)
        for part in report.parts:
            self._see(part.server_id, part.part_id, part.tokens)
        if self._outliers is not None:
            self._outliers.merge(report.results_by_server, now)
        for other, (received_at, _) in list(self._reports.items()):
            if now - received_at >= REPORT_SECONDS:
                del self._reports[other]

    def forget_servers(self, server_ids: Iterable[BackendServerId]) -> None:
        """Drop what backend servers held that are gone or began anew."""
        for server_id in server_ids:
            self._parts_by_server.pop(server_id, None)
            self.speeds.forget(server_id)
            if self._outliers is not None:
                self._outliers.reset(server_id)
            self._forgotten.add(server_id)
            self._drop_idle(server_id)

    def _drop_idle(self, server_id: BackendServerId) -> None:
        """Drop a forgotten server once nothing is in hand there."""
        if server_id in self._forgotten and not self._own(server_id).running:
            self._forgotten.discard(server_id)
            self._own_by_server.pop(server_id, None)
            self._used_by_server.pop(server_id, None)
            self._service_by_server.pop(server_id, None)

    def _own(self, server_id: BackendServerId) -> ServerLoad:
        return self._own_by_server.setdefault(server_id, ServerLoad())

    def _used(self, server_id: BackendServerId) -> PartsInUse:
        return self._used_by_server.setdefault(server_id, PartsInUse())

    def _see(self, server_id: BackendServerId, part_id: PartId, tokens: int) -> bool:
        parts = self._parts_by_server.get(server_id)
        if parts is None:
            service = self._services_by_name.get(self._service_by_server.get(server_id))
            engine = None if service is None else service.engine
            parts = CachedParts(0 if engine is None else engine.cache_tokens)
            self._parts_by_server[server_id] = parts
        return parts.add(part_id, tokens)

    def _unsee(self, attempt: _Attempt) -> None:
        """Take back parts that an attempt was to read and did not."""
        parts = self._parts_by_server.get(attempt.server_id)
        for part_id in attempt.new_parts if parts is not None else ():
            parts.discard(part_id)

    def _had_event(self, attempt: _Attempt, now: float) -> bool:
        return attempt.first_event_at is not None and attempt.first_event_at < now

    def _tokens_per_second(self, server_id: BackendServerId) -> float:
        return self.speeds.tokens_per_second(self._service_by_server.get(server_id, ""))

    def _confirm(self, now: float) -> None:
        """Learn from first events whose attempts lived on after them.

        The end of an attempt that failed is reported as its first event too, at the
        same moment.
        """
        for ticket in list(self._unconfirmed):
            attempt = self._attempts_by_ticket[ticket]
            if attempt.first_event_at < now:
                self._unconfirmed.remove(ticket)
                self._learn(attempt, now)

    def _learn(self, attempt: _Attempt, now: float) -> None:
        sample = FirstEventSample(
            attempt.server_id,
            attempt.service,
            attempt.read_tokens,
            attempt.ahead_tokens,
            attempt.first_event_at - attempt.began_at,
        )
        self.speeds.add_sample(sample, now)
