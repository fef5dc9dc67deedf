"""Prometheus metrics of an entry router."""

from collections.abc import Awaitable, Callable

from aiohttp import web
from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

__all__ = ["EntryMetrics", "metrics_handler"]

#: Upper bounds in seconds. The bounds of 0.53 s to the first event and 0.049 s between
#: events are the latency objectives in CONTRIBUTING.md.
LATENCY_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.53, 0.8, 1.2, 2, 4, 8, 16, 60)
PAUSE_BUCKETS = (0.01, 0.025, 0.049, 0.1, 0.2, 0.4, 0.8, 1.6, 5)
#: Stands for all values of a label beyond the first MAX_LABEL_VALUES, to bound the
#: number of series.
OTHER_VALUE = "other"
#: Distinct values that one label may take. The largest fixed set, the HTTP statuses
#: that the router answers itself, has fewer than half as many.
MAX_LABEL_VALUES = 24

# The creation time of each series would double the number of series.
disable_created_metrics()


class _BoundedLabel:
    """Bounds the number of distinct values of one label."""

    def __init__(self) -> None:
        self._seen: set[str] = set()

    def bounded(self, value: str) -> str:
        """Return `value`, or ``other`` for a new one once there are too many."""
        if value not in self._seen:
            if len(self._seen) >= MAX_LABEL_VALUES:
                return OTHER_VALUE
            self._seen.add(value)
        return value


class EntryMetrics:
    """Counters, gauges and histograms of one entry router.

    Values of labels come from small fixed sets; their number is bounded all the same,
    and any beyond the bound are counted as ``other``.

    :ivar registry: holds all series, and those of the process itself.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry(auto_describe=False)
        ProcessCollector(registry=self.registry)
        self._lost_lines = {"left-out": 0, "dropped": 0}
        self._labels_by_name: dict[str, _BoundedLabel] = {}
        self._requests = self._counter(
            "requests", "Requests by how they ended.", "route_kind", "outcome"
        )
        self._refusals = self._counter(
            "refusals", "Refused requests.", "status", "reason"
        )
        self._attempts = self._counter(
            "attempts", "Attempts at backend servers by result.", "result"
        )
        self._left_zone = self._counter(
            "left_zone", "Attempts sent to another zone by the reason.", "reason"
        )
        self._left_zone_bytes = self._counter(
            "left_zone_bytes", "Bytes of their requests.", "reason"
        )
        self._zone_share = self._gauge(
            "zone_leaving_share",
            "Largest share of a service's requests that leaves the zone.",
        )
        self._store_calls = self._counter(
            "store_calls", "Calls of the store by result.", "call", "result"
        )
        self._tokens = self._counter(
            "tokens", "Tokens of customers by what became of them.", "state"
        )
        self._loans = self._counter(
            "loans", "Loans of tokens from other routers by result.", "result"
        )
        self._loan_tokens = self._counter(
            "loan_tokens", "Tokens borrowed, by what for.", "purpose"
        )
        self._unbilled_tokens = self._counter(
            "tokens_spent_without_bill",
            "Tokens counted as spent though no bill says so.",
            "reason",
        )
        self._gave_way = self._counter(
            "callers_gave_way", "Callers closed or refused at a limit.", "limit"
        )
        self._lines = self._counter(
            "log_lines_lost", "Log lines that were not written.", "cause"
        )
        self._first_event = self._histogram(
            "first_event_seconds",
            "Time to the first event.",
            LATENCY_BUCKETS,
            "route_kind",
        )
        self._duration = self._histogram(
            "request_seconds", "Time to the end.", LATENCY_BUCKETS, "route_kind"
        )
        self._waiting = self._histogram(
            "waiting_seconds", "Time before an attempt was sent.", LATENCY_BUCKETS
        )
        self._pause = self._histogram(
            "longest_pause_seconds", "Longest pause of a stream.", PAUSE_BUCKETS
        )
        self._store_seconds = self._histogram(
            "store_call_seconds", "Time of a store call.", LATENCY_BUCKETS
        )
        self._connections = self._gauge(
            "caller_connections", "Open connections of callers."
        )
        self._held_bytes = self._gauge(
            "caller_held_bytes", "Bytes that callers make the process hold."
        )
        self._active = self._gauge("requests_active", "Requests in hand.")
        self._queued = self._gauge("requests_waiting", "Requests that wait here.")
        self._peers = self._gauge("peers_alive", "Routers in contact.")
        self._servers = self._gauge("servers_usable", "Backend servers usable.")
        self._suspected = self._gauge("servers_suspected", "Backend servers suspected.")
        self._limited = self._gauge(
            "servers_limited", "Backend servers that name a limit of their rate."
        )
        self._cold = self._gauge("servers_cold", "Backend servers that warm up.")
        self._evacuated = self._gauge(
            "servers_evacuated", "Backend servers in evacuated zones."
        )
        self._zones_evacuated = self._gauge("zones_evacuated", "Evacuations in force.")
        self._cold_requests = self._counter(
            "cold_requests",
            "Requests at cold backend servers, and refused as all are cold.",
            "outcome",
        )
        self._cold_counts = {"sent": 0, "turned-away": 0}
        self._configuration = self._gauge("configuration_number", "In force; 0: none.")
        self._configuration_age = self._gauge(
            "configuration_age_seconds", "Time since the store last confirmed it."
        )
        self._store_era = self._gauge(
            "store_era", "Times that the store came back from an older copy."
        )
        self._link_load = self._gauge("link_load", "Share of the link in use.")
        self._out_of_rotation = self._gauge(
            "out_of_rotation", "1 while short of room, without new connections."
        )
        self._connections_shed = self._gauge(
            "connections_shed", "Connections closed as the link was full."
        )
        self._store_lost = self._gauge("store_lost", "1 while the store is lost.")

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"bluebellshore_{name}", text, labels, registry=self.registry)

    def _histogram(
        self, name: str, text: str, buckets: tuple, *labels: str
    ) -> Histogram:
        return Histogram(
            f"bluebellshore_{name}",
            text,
            labels,
            buckets=buckets,
            registry=self.registry,
        )

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(f"bluebellshore_{name}", text, registry=self.registry)

    def _bounded_value(self, name: str, value: object) -> str:
        label = self._labels_by_name.setdefault(name, _BoundedLabel())
        return label.bounded(str(value))

    def request_ended(
        self,
        route_kind: str,
        outcome: str,
        seconds: float,
        *,
        first_event_seconds: float | None = None,
        longest_pause_seconds: float | None = None,
    ) -> None:
        """Count a request that ended or was refused, and record its times."""
        kind = self._bounded_value("route_kind", route_kind)
        self._requests.labels(kind, self._bounded_value("outcome", outcome)).inc()
        self._duration.labels(kind).observe(seconds)
        if first_event_seconds is not None:
            self._first_event.labels(kind).observe(first_event_seconds)
        if longest_pause_seconds is not None:
            self._pause.observe(longest_pause_seconds)

    def refused(self, status: int, reason: str) -> None:
        """Count a refused request.

        :param reason: a value of a fixed set, such as the step of the error.
        """
        self._refusals.labels(
            self._bounded_value("status", status), self._bounded_value("reason", reason)
        ).inc()

    def attempt_ended(self, result: str) -> None:
        """Count an attempt at a backend server by its result."""
        self._attempts.labels(self._bounded_value("result", result)).inc()

    def zone_left(self, reason: str, request_bytes: int) -> None:
        """Count an attempt that is sent to another zone.

        :param reason: a value of `LeaveReason`.
        """
        value = self._bounded_value("leave_reason", reason)
        self._left_zone.labels(value).inc()
        self._left_zone_bytes.labels(value).inc(request_bytes)

    def set_zone_share(self, share: float) -> None:
        """Set the largest share of a service's requests that leaves the zone."""
        self._zone_share.set(share)

    def observe_wait(self, seconds: float) -> None:
        """Record how long a request waited here before an attempt was sent."""
        self._waiting.observe(seconds)

    def store_called(self, call: str, result: str, seconds: float) -> None:
        """Count a call of the store and record its duration.

        :param call: kind of call, such as ``"read"``, ``"feed"`` or ``"transact"``.
        """
        self._store_calls.labels(
            self._bounded_value("call", call),
            self._bounded_value("store_result", result),
        ).inc()
        self._store_seconds.observe(seconds)

    def tokens_reserved(self, tokens: int) -> None:
        """Count tokens reserved for a request."""
        self._tokens.labels("reserved").inc(tokens)

    def tokens_settled(self, tokens: int) -> None:
        """Count tokens charged for a request."""
        self._tokens.labels("settled").inc(tokens)

    def tokens_refused(self, tokens: int) -> None:
        """Count tokens that a request needed but that could not be reserved."""
        self._tokens.labels("short").inc(tokens)

    def loan(self, result: str) -> None:
        """Count a loan asked for, one avoided or one that came late.

        :param result: a value of `LoanOutcome`, `avoided` or `late`.
        """
        self._loans.labels(self._bounded_value("loan_result", result)).inc()

    def loan_tokens(self, purpose: str, tokens: int) -> None:
        """Count tokens borrowed.

        :param purpose: `waited-for` or `ahead`.
        """
        value = self._bounded_value("loan_purpose", purpose)
        self._loan_tokens.labels(value).inc(tokens)

    def tokens_spent_without_bill(self, reason: str, tokens: int) -> None:
        """Count tokens that count as spent though no bill says so.

        :param reason: a value of `UnbilledReason`.
        """
        value = self._bounded_value("unbilled_reason", reason)
        self._unbilled_tokens.labels(value).inc(tokens)

    def callers_gave_way(self, limit: str, callers: int) -> None:
        """Count callers closed or refused at a limit.

        :param limit: a value of `GiveWayReason`.
        """
        self._gave_way.labels(self._bounded_value("limit", limit)).inc(callers)

    def set_callers(self, *, connections: int, held_bytes: int) -> None:
        """Set the open connections of callers and the bytes that they hold."""
        self._connections.set(connections)
        self._held_bytes.set(held_bytes)

    def set_lost_lines(self, *, left_out: int, dropped: int) -> None:
        """Set the counts of lines that the log did not write since the start.

        :param left_out: lines left out to bound the volume of the log.
        :param dropped: lines dropped because the writer fell behind.
        """
        for cause, lines in (("left-out", left_out), ("dropped", dropped)):
            self._lines.labels(cause).inc(lines - self._lost_lines[cause])
            self._lost_lines[cause] = lines

    def set_requests(self, *, active: int, waiting: int) -> None:
        """Set the numbers of requests being handled and of those waiting."""
        self._active.set(active)
        self._queued.set(waiting)

    def set_fleet(
        self, *, peers: int, servers: int, suspected: int = 0, limited: int = 0
    ) -> None:
        """Set the numbers of known routers and backend servers.

        :param suspected: backend servers ejected as outliers.
        :param limited: backend servers that name a limit of their rate.
        """
        self._limited.set(limited)
        self._peers.set(peers)
        self._servers.set(servers)
        self._suspected.set(suspected)

    def set_zones(self, *, zones: int, servers: int) -> None:
        """Set the numbers of evacuations in force and of the servers they concern."""
        self._zones_evacuated.set(zones)
        self._evacuated.set(servers)

    def set_cold(self, *, servers: int, sent: int, turned_away: int) -> None:
        """Set the number of cold servers and what became of requests since the start.

        :param sent: requests that went to cold servers.
        :param turned_away: requests refused as all servers were cold.
        """
        self._cold.set(servers)
        for outcome, count in (("sent", sent), ("turned-away", turned_away)):
            self._cold_requests.labels(outcome).inc(count - self._cold_counts[outcome])
            self._cold_counts[outcome] = count

    def set_configuration(self, number: int, age_seconds: float) -> None:
        """Set the configuration in force and the time since the store confirmed it.

        :param number: number of the configuration; 0 for none.
        """
        self._configuration.set(number)
        self._configuration_age.set(age_seconds)

    def set_room(self, *, load: float, out: bool, shed: int) -> None:
        """Set how full the instance's link is, and what was done about it.

        :param load: share of the bandwidth in use.
        :param out: whether the instance asks for no new connections.
        :param shed: connections that were told to close since the start.
        """
        self._link_load.set(load)
        self._out_of_rotation.set(out)
        self._connections_shed.set(shed)

    def set_store(self, *, lost: bool, era: int) -> None:
        """Set whether the store is out of reach, and its era.

        :param era: how often the store has come back from an older copy.
        """
        self._store_lost.set(lost)
        self._store_era.set(era)


def metrics_handler(
    registry: CollectorRegistry, refresh: Callable[[], None] | None = None
) -> Callable[[web.Request], Awaitable[web.Response]]:
    """Return an HTTP handler that serves a registry in the Prometheus text format.

    :param refresh: called before each answer, to set the gauges.
    """

    async def serve(request: web.Request) -> web.Response:
        if refresh is not None:
            refresh()
        return web.Response(
            body=generate_latest(registry),
            headers={"Content-Type": CONTENT_TYPE_LATEST},
        )

    return serve
