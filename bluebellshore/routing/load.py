"""Estimates the load of each backend server.

Handles many routers that send to the same engines and learn of one another's load only
with a delay. A router counts its own attempts at once, and its peers' attempts from
their reports, less the prompt tokens that the engine has read since.
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

#: Time after which a peer's report no longer counts. Peers report several times a
#: second.
REPORT_LIFETIME_SECONDS = 2.0
#: Prompt parts kept for the next report to peers.
MAX_PARTS_REPORTED = 256


class ServerLoad(msgspec.Struct):
    """Load of one backend server.

    :param running: requests sent and not ended.
    :param prefill_tokens: prompt tokens of requests that have had no event yet, less
        the tokens that are expected to be cached.
    :param held_tokens: upper bound of the memory that running requests take, in tokens.
        A prompt part that several requests of one router share counts once.
    """

    running: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0

    def add(self, other: "ServerLoad", sign: int = 1) -> None:
        """Add another load, or subtract it if `sign` is -1."""
        self.running += sign * other.running
        self.prefill_tokens += sign * other.prefill_tokens
        self.held_tokens += sign * other.held_tokens


class LoadSnapshot(msgspec.Struct, frozen=True):
    """The load on which the choice of a backend server was based.

    :param running: estimated number of requests that run there.
    :param newest_report_age_seconds: age of the newest peer report that counted; None
        if there was none.
    :param oldest_report_age_seconds: age of the oldest peer report that counted.
    """

    running: int
    newest_report_age_seconds: float | None = None
    oldest_report_age_seconds: float | None = None


class CachedPart(msgspec.Struct, frozen=True):
    """A prompt part that a backend server has read and may have cached.

    :param is_new_and_shared: whether other requests may share the part, and it was not
        known to be cached there before.
    """

    server_id: BackendServerId
    part_id: PartId
    tokens: int = 0
    is_new_and_shared: bool = False


class LoadReport(msgspec.Struct):
    """A router's report of its own attempts to its peers.

    :param loads_by_server: load that the router causes; idle servers are omitted.
    :param parts: prompt parts that servers have read since the last report.
    :param results_by_server: results of attempts since the last report.
    """

    loads_by_server: dict[BackendServerId, ServerLoad] = msgspec.field(
        default_factory=dict
    )
    parts: list[CachedPart] = msgspec.field(default_factory=list)
    results_by_server: dict[BackendServerId, ResultCounts] = msgspec.field(
        default_factory=dict
    )


class _Attempt(msgspec.Struct):
    """An attempt in flight.

    :param uncached_tokens: prompt tokens that the server was expected to have to read.
    :param backlog_tokens: prompt tokens of other requests that it had to read before.
    :param new_parts: parts of the prompt that weren't known to be cached there.
    """

    server_id: BackendServerId
    service: ServiceName
    load: ServerLoad
    call: Call
    began_at: float
    uncached_tokens: int
    backlog_tokens: int
    new_parts: list[PartId]
    first_event_at: float | None = None


class LoadTracker:
    """Tracks the load and cached prompt parts of backend servers.

    Own attempts count from their beginning, peers' attempts as soon as they are
    reported. Every method takes `now` in monotonic seconds.

    :param outliers: notified of attempts and their events; its result counts are
        included in reports to peers.
    :ivar speeds: estimates how fast services and servers read prompts.
    """

    def __init__(self, outliers: OutlierDetector | None = None) -> None:
        self.speeds = SpeedEstimator()
        self._outliers = outliers
        if outliers is not None:
            outliers.slow_servers = self.speeds.slow_servers
        self._services_by_name: dict[ServiceName, Service] = {}
        self._service_by_server: dict[BackendServerId, ServiceName] = {}
        self._ticket_numbers = itertools.count(1)
        self._attempts_by_ticket: dict[Ticket, _Attempt] = {}
        self._unconfirmed_first_events: list[Ticket] = []
        self._own_load_by_server: dict[BackendServerId, ServerLoad] = {}
        self._report_by_peer: dict[IncarnationId, tuple[float, LoadReport]] = {}
        self._cached_parts_by_server: dict[BackendServerId, CachedParts] = {}
        self._parts_in_use_by_server: dict[BackendServerId, PartsInUse] = {}
        self._unreported_parts: list[CachedPart] = []
        self._servers_to_drop: set[BackendServerId] = set()

    @property
    def tracked_servers(self) -> int:
        """Number of backend servers about which data is kept."""
        return len(
            self._own_load_by_server.keys() | self._cached_parts_by_server.keys()
        )

    def configure(self, services: Iterable[Service]) -> None:
        """Set the configured services; an engine's memory limits what it caches."""
        self._services_by_name = {service.name: service for service in services}

    def service_of(self, name: ServiceName) -> Service | None:
        """Return the configuration of a service, None if there is none."""
        return self._services_by_name.get(name)

    def register_server(self, server: BackendServer) -> None:
        """Record which service a server belongs to."""
        if server.server_id not in self._service_by_server:
            self._service_by_server[server.server_id] = server.service

    def begin(self, call: Call, server: BackendServer, now: float) -> Ticket:
        """Count an attempt that is about to be sent.

        :return: identifies the attempt in later calls.
        """
        self._add_confirmed_samples(now)
        server_id = server.server_id
        self._servers_to_drop.discard(server_id)
        self.register_server(server)
        cached = self.cached_tokens(call, server_id)
        uncached = max(0, call.prompt_tokens - cached)
        backlog = self.load_of(server_id, now).prefill_tokens
        in_use = self._parts_in_use(server_id)
        tokens_before = in_use.tokens
        in_use.add(call.prompt)
        own_tokens = max(0, call.max_total_tokens - sum(p.tokens for p in call.prompt))
        load = ServerLoad(1, uncached, own_tokens)
        self._own_load(server_id).held_tokens += in_use.tokens - tokens_before
        new_parts = [
            part for part in call.prompt if self._record_cached_part(server_id, *part)
        ]
        ticket = Ticket(next(self._ticket_numbers))
        self._attempts_by_ticket[ticket] = _Attempt(
            server_id,
            server.service,
            load,
            call,
            now,
            uncached,
            backlog,
            [part.part_id for part in new_parts],
        )
        self._own_load(server_id).add(load)
        self._unreported_parts += [
            CachedPart(
                server_id, *part, part in new_parts and part is not call.prompt[-1]
            )
            for part in call.prompt
        ]
        del self._unreported_parts[:-MAX_PARTS_REPORTED]
        if self._outliers is not None:
            expected = self.speeds.expected_seconds(server.service, uncached + backlog)
            self._outliers.begin(ticket, server_id, expected, now)
        return ticket

    def record_first_event(self, ticket: Ticket, now: float) -> float:
        """Record the first event of an attempt, which shows that its prompt was read.

        :return: seconds from the beginning of the attempt to its first event.
        """
        attempt = self._attempts_by_ticket[ticket]
        if attempt.first_event_at is None:
            self._add_confirmed_samples(now)
            attempt.first_event_at = now
            self._own_load(
                attempt.server_id
            ).prefill_tokens -= attempt.load.prefill_tokens
            attempt.load.prefill_tokens = 0
            self._unconfirmed_first_events.append(ticket)
            self.record_event(ticket, now)
        return attempt.first_event_at - attempt.began_at

    def record_event(self, ticket: Ticket, now: float) -> None:
        """Record an event of a stream."""
        if self._outliers is not None:
            self._outliers.record_event(ticket, now)

    def end(
        self, ticket: Ticket, result: AttemptResult, now: float, output_tokens: int = 0
    ) -> None:
        """Remove an attempt that has ended.

        :param output_tokens: generated tokens. The next prompt of the same session has
            them in its last part, so they count as cached.
        """
        attempt = self._attempts_by_ticket.pop(ticket)
        own_load, in_use = (
            self._own_load(attempt.server_id),
            self._parts_in_use(attempt.server_id),
        )
        own_load.add(attempt.load, sign=-1)
        own_load.held_tokens -= in_use.tokens
        in_use.remove(attempt.call.prompt)
        own_load.held_tokens += in_use.tokens
        if result is AttemptResult.ANSWERED:
            if ticket in self._unconfirmed_first_events:
                self._add_speed_sample(attempt, now)
            if output_tokens and attempt.call.prompt:
                part_id, tokens = attempt.call.prompt[-1]
                self._record_cached_part(
                    attempt.server_id, part_id, tokens + output_tokens
                )
                part = CachedPart(attempt.server_id, part_id, tokens + output_tokens)
                self._unreported_parts.append(part)
        elif result is not AttemptResult.ABANDONED and not self._had_event(
            attempt, now
        ):
            self._discard_unread_parts(attempt)
        if ticket in self._unconfirmed_first_events:
            self._unconfirmed_first_events.remove(ticket)
        if self._outliers is not None:
            self._outliers.forget_attempt(ticket)
        self._drop_idle(attempt.server_id)

    def abandon(self, ticket: Ticket, now: float) -> None:
        """End an attempt that the router gave up, unless it has ended already."""
        if ticket in self._attempts_by_ticket:
            self.end(ticket, AttemptResult.ABANDONED, now)

    def load_of(self, server_id: BackendServerId, now: float) -> ServerLoad:
        """Return the estimated load of a backend server from all routers.

        The server goes on reading prompts after a peer's report, so the tokens that it
        has probably read since are subtracted.
        """
        total = ServerLoad()
        total.add(self._own_load(server_id))
        speed = 0.0
        for received_at, report in self._report_by_peer.values():
            load = report.loads_by_server.get(server_id)
            if load is None or now - received_at >= REPORT_LIFETIME_SECONDS:
                continue
            speed = speed or self._tokens_per_second(server_id)
            read = int(speed * (now - received_at))
            total.running += load.running
            total.prefill_tokens += max(0, load.prefill_tokens - read)
            total.held_tokens += load.held_tokens
        return total

    def snapshot_of(self, server_id: BackendServerId, now: float) -> LoadSnapshot:
        """Return the estimated running requests and the ages of the reports on them."""
        ages = [
            now - received_at
            for received_at, report in self._report_by_peer.values()
            if server_id in report.loads_by_server
            and now - received_at < REPORT_LIFETIME_SECONDS
        ]
        running = self.load_of(server_id, now).running
        if not ages:
            return LoadSnapshot(running)
        return LoadSnapshot(running, min(ages), max(ages))

    def cached_tokens(self, call: Call, server_id: BackendServerId) -> int:
        """Return the prompt tokens that a backend server is expected to have cached."""
        parts = self._cached_parts_by_server.get(server_id)
        return 0 if parts is None else parts.cached_tokens(call.prompt)

    def extra_memory_tokens(self, call: Call, server_id: BackendServerId) -> int:
        """Return the tokens of memory that a request would take in addition.

        Prompt parts that this router's running requests share with it are not counted.
        """
        return call.max_total_tokens - self._parts_in_use(server_id).shared_tokens(
            call.prompt
        )

    def take_report(self) -> LoadReport:
        """Return a report for peers; parts and results are reported only once."""
        parts, self._unreported_parts = self._unreported_parts, []
        loads = self.own_loads()
        results = {} if self._outliers is None else self._outliers.take_new_counts()
        return LoadReport(loads, parts, results)

    def own_loads(self) -> dict[BackendServerId, ServerLoad]:
        """Return the load caused by this router; idle servers are omitted."""
        return {
            key: load for key, load in self._own_load_by_server.items() if load.running
        }

    def merge_report(self, peer: IncarnationId, report: LoadReport, now: float) -> None:
        """Replace the load reported by a peer, and add its parts and results."""
        self._report_by_peer[peer] = (now, report)
        for part in report.parts:
            self._record_cached_part(part.server_id, part.part_id, part.tokens)
        if self._outliers is not None:
            self._outliers.merge(report.results_by_server, now)
        for other, (received_at, _) in list(self._report_by_peer.items()):
            if now - received_at >= REPORT_LIFETIME_SECONDS:
                del self._report_by_peer[other]

    def forget_servers(self, server_ids: Iterable[BackendServerId]) -> None:
        """Discard the cached parts and results of servers that left or restarted.

        Attempts in flight there still count until they end.
        """
        for server_id in server_ids:
            self._cached_parts_by_server.pop(server_id, None)
            self.speeds.forget(server_id)
            if self._outliers is not None:
                self._outliers.reset(server_id)
            self._servers_to_drop.add(server_id)
            self._drop_idle(server_id)

    def _drop_idle(self, server_id: BackendServerId) -> None:
        """Drop the rest of a forgotten server's data once no attempt runs there."""
        if server_id in self._servers_to_drop and not self._own_load(server_id).running:
            self._servers_to_drop.discard(server_id)
            self._own_load_by_server.pop(server_id, None)
            self._parts_in_use_by_server.pop(server_id, None)
            self._service_by_server.pop(server_id, None)

    def _own_load(self, server_id: BackendServerId) -> ServerLoad:
        return self._own_load_by_server.setdefault(server_id, ServerLoad())

    def _parts_in_use(self, server_id: BackendServerId) -> PartsInUse:
        return self._parts_in_use_by_server.setdefault(server_id, PartsInUse())

    def _record_cached_part(
        self, server_id: BackendServerId, part_id: PartId, tokens: int
    ) -> bool:
        """Record that a server has a part cached.

        :return: whether the part was not known to be cached there.
        """
        parts = self._cached_parts_by_server.get(server_id)
        if parts is None:
            service = self._services_by_name.get(self._service_by_server.get(server_id))
            engine = None if service is None else service.engine
            parts = CachedParts(0 if engine is None else engine.cache_tokens)
            self._cached_parts_by_server[server_id] = parts
        return parts.add(part_id, tokens)

    def _discard_unread_parts(self, attempt: _Attempt) -> None:
        """Discard the parts that a failed attempt was to read and didn't."""
        parts = self._cached_parts_by_server.get(attempt.server_id)
        for part_id in attempt.new_parts if parts is not None else ():
            parts.discard(part_id)

    def _had_event(self, attempt: _Attempt, now: float) -> bool:
        """Return whether an attempt had an event before its end at `now`."""
        return attempt.first_event_at is not None and attempt.first_event_at < now

    def _tokens_per_second(self, server_id: BackendServerId) -> float:
        return self.speeds.tokens_per_second(self._service_by_server.get(server_id, ""))

    def _add_confirmed_samples(self, now: float) -> None:
        """Pass on first events of attempts that went on after them as speed samples.

        The end of a failed attempt is recorded as its first event at the same time, and
        says nothing about the server's speed.
        """
        for ticket in list(self._unconfirmed_first_events):
            attempt = self._attempts_by_ticket[ticket]
            if attempt.first_event_at < now:
                self._unconfirmed_first_events.remove(ticket)
                self._add_speed_sample(attempt, now)

    def _add_speed_sample(self, attempt: _Attempt, now: float) -> None:
        sample = FirstEventSample(
            attempt.server_id,
            attempt.service,
            attempt.uncached_tokens,
            attempt.backlog_tokens,
            attempt.first_event_at - attempt.began_at,
        )
        self.speeds.add_sample(sample, now)
