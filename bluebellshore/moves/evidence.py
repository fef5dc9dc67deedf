"""Counters of each version's requests at sidecars, and their history at routers."""

from bisect import bisect_left
from collections import Counter, deque
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from bluebellshore.ids import IncarnationId, RouteName, VersionName
from bluebellshore.wire import link_pb2

__all__ = [
    "BETWEEN_TOKENS_BOUNDS_SECONDS",
    "FIRST_TOKEN_BOUNDS_SECONDS",
    "FIRST_TOKEN_OVERDUE_SECONDS",
    "HISTORY_SECONDS",
    "WINDOW_SECONDS",
    "EvidenceLog",
    "EvidenceRecorder",
    "RouteVersion",
    "Window",
]

_BUCKETS_PER_DOUBLING = 6


def _bounds(first_seconds: float, doublings: int) -> tuple[float, ...]:
    steps = range(doublings * _BUCKETS_PER_DOUBLING + 1)
    return tuple(first_seconds * 2 ** (i / _BUCKETS_PER_DOUBLING) for i in steps)


#: Upper bounds of the latency buckets; one more bucket is for all times above them.
FIRST_TOKEN_BOUNDS_SECONDS = _bounds(0.010, 12)
BETWEEN_TOKENS_BOUNDS_SECONDS = _bounds(0.001, 10)
#: A request that has waited this long for its first token is counted with this time.
FIRST_TOKEN_OVERDUE_SECONDS = 10.0
WINDOW_SECONDS = 2.0
HISTORY_SECONDS = 320.0
#: Failures as which a router counts a crash or a lost link that it has seen itself, as
#: such a loss costs more than the one request.
LOST_REQUEST_FAILURES = 4


class RouteVersion(NamedTuple):
    """A backend server version on one route."""

    route: RouteName
    version: VersionName


class Window(msgspec.Struct):
    """Counts of the requests that ended within one window of time.

    :param number: start of the window in units of :data:`WINDOW_SECONDS`.
    :param first_token: requests by latency bucket of their time to the first token.
    :param between_tokens: requests by latency bucket of their mean time between tokens.
    """

    number: int
    requests: int = 0
    failures: int = 0
    first_token: Counter[int] = msgspec.field(default_factory=Counter)
    between_tokens: Counter[int] = msgspec.field(default_factory=Counter)

    def add(self, other: "Window") -> None:
        """Add the counts of `other`."""
        self.requests += other.requests
        self.failures += other.failures
        self.first_token.update(other.first_token)
        self.between_tokens.update(other.between_tokens)


class EvidenceRecorder:
    """Counts the requests of one backend server since its sidecar started.

    :param route_versions: routes and versions that are reported from the start, so that
        routers see their counters rise from zero.
    """

    def __init__(self, route_versions: Iterable[RouteVersion] = ()):
        self._evidence_by_route_version: dict[RouteVersion, link_pb2.Evidence] = {}
        for item in route_versions:
            self._counters(item.route, item.version)

    def record_request(
        self,
        route: RouteName,
        version: VersionName,
        ok: bool,
        first_token_seconds: float | None = None,
        between_token_seconds: Sequence[float] = (),
    ) -> None:
        """Count a request that has ended at the backend server.

        :param ok: False for an error status, a crash or a truncated answer.
        :param first_token_seconds: time from the dispatch to the first byte of the
            answer; None when :meth:`record_first_token` was called.
        :param between_token_seconds: times between the answer's tokens. Their mean
            counts once, as the times of one answer are not independent.
        """
        counters = self._counters(route, version)
        counters.requests += 1
        counters.failures += not ok
        self.record_times(route, version, first_token_seconds, between_token_seconds)

    def record_times(
        self,
        route: RouteName,
        version: VersionName,
        first_token_seconds: float | None = None,
        between_token_seconds: Sequence[float] = (),
    ) -> None:
        """Count the times of a request, which may have been cancelled since.

        A cancelled request is no failure, but callers cancel slow answers more often,
        so that without its times a slow version would look faster than it is.

        :param first_token_seconds: as in :meth:`record_request`.
        :param between_token_seconds: as in :meth:`record_request`.
        """
        counters = self._counters(route, version)
        if first_token_seconds is not None:
            self.record_first_token(route, version, first_token_seconds)
        if between_token_seconds:
            mean = sum(between_token_seconds) / len(between_token_seconds)
            bucket = bisect_left(BETWEEN_TOKENS_BOUNDS_SECONDS, mean)
            _count_in_bucket(counters.between_token_buckets, bucket)

    def record_first_token(
        self, route: RouteName, version: VersionName, seconds: float
    ) -> None:
        """Count the time to the first token before the request has ended.

        To be called once for each request, at the latest when it has waited for
        :data:`FIRST_TOKEN_OVERDUE_SECONDS`, as a version that hangs never ends one.
        """
        bucket = bisect_left(FIRST_TOKEN_BOUNDS_SECONDS, seconds)
        _count_in_bucket(self._counters(route, version).first_token_buckets, bucket)

    def to_wire(self) -> list[link_pb2.Evidence]:
        """Return the cumulative counters as messages for routers."""
        return list(self._evidence_by_route_version.values())

    def _counters(self, route: RouteName, version: VersionName) -> link_pb2.Evidence:
        route_version = RouteVersion(route, version)
        if route_version not in self._evidence_by_route_version:
            evidence = link_pb2.Evidence(route=route, version=version)
            self._evidence_by_route_version[route_version] = evidence
        return self._evidence_by_route_version[route_version]


def _count_in_bucket(buckets, bucket: int) -> None:
    missing = bucket + 1 - len(buckets)
    if missing > 0:
        buckets.extend([0] * missing)
    buckets[bucket] += 1


def _bucket_increase(after: Sequence[int], before: Sequence[int]) -> Counter[int]:
    counts: Counter[int] = Counter()
    for bucket, count in enumerate(after):
        previous = before[bucket] if bucket < len(before) else 0
        if count > previous:
            counts[bucket] = count - previous
    return counts


class EvidenceLog:
    """Recent history of each route and version, summed over all sidecars.

    A sidecar's first report is the base: only later increases of its counters count.
    """

    def __init__(self) -> None:
        self._latest_by_sidecar: dict[
            IncarnationId, dict[RouteVersion, link_pb2.Evidence]
        ] = {}
        # None for a report since the last call of `roll`, which knows the time.
        self._reported_at_by_sidecar: dict[IncarnationId, float | None] = {}
        self._pending_by_route_version: dict[RouteVersion, Window] = {}
        self._windows_by_route_version: dict[RouteVersion, deque[Window]] = {}
        self._requests_by_route_version: Counter[RouteVersion] = Counter()

    def track(self, route_versions: Iterable[RouteVersion]) -> None:
        """Keep the windows of exactly these routes and versions."""
        wanted = set(route_versions)
        for item in set(self._windows_by_route_version) - wanted:
            del self._windows_by_route_version[item]
            del self._requests_by_route_version[item]
        for item in wanted:
            self._windows_by_route_version.setdefault(item, deque())

    def record(self, sidecar: IncarnationId, evidence: link_pb2.Evidence) -> None:
        """Add the increase of a sidecar's cumulative counters.

        A report that is older than one seen before is ignored.
        """
        route_version = RouteVersion(
            RouteName(evidence.route), VersionName(evidence.version)
        )
        latest = self._latest_by_sidecar.setdefault(sidecar, {})
        self._reported_at_by_sidecar[sidecar] = None
        before = latest.get(route_version)
        if before is not None and evidence.requests < before.requests:
            return
        kept = link_pb2.Evidence()
        kept.CopyFrom(evidence)
        latest[route_version] = kept
        if before is not None and route_version in self._windows_by_route_version:
            self._pending_window(route_version).add(_window_between(before, evidence))

    def record_failure(self, route_version: RouteVersion) -> None:
        """Count a crash or a lost link that this router saw and no sidecar reports."""
        if route_version in self._windows_by_route_version:
            count = LOST_REQUEST_FAILURES
            self._pending_window(route_version).add(
                Window(0, requests=count, failures=count)
            )

    def roll(self, now: float) -> None:
        """Move the counts since the last call to the window of `now`.

        :param now: time in seconds of a monotonic clock.
        """
        number = int(now // WINDOW_SECONDS)
        for route_version, pending in self._pending_by_route_version.items():
            windows = self._windows_by_route_version.get(route_version)
            if windows is None:
                continue
            if not windows or windows[-1].number < number:
                windows.append(Window(number))
            windows[-1].add(pending)
            self._requests_by_route_version[route_version] += pending.requests
        self._pending_by_route_version.clear()
        oldest = number - HISTORY_SECONDS / WINDOW_SECONDS
        for windows in self._windows_by_route_version.values():
            while windows and windows[0].number < oldest:
                windows.popleft()
        self._forget_silent_sidecars(now)

    def windows(self, route_version: RouteVersion, since: float) -> list[Window]:
        """Return the windows of `route_version` that began at `since` or later.

        :param since: time in seconds of the clock of :meth:`roll`.
        """
        first = since / WINDOW_SECONDS
        return [
            w
            for w in self._windows_by_route_version.get(route_version, ())
            if w.number >= first
        ]

    def requests(self, route_version: RouteVersion) -> int:
        """Return the number of requests since `route_version` is tracked."""
        return self._requests_by_route_version[route_version]

    def _pending_window(self, route_version: RouteVersion) -> Window:
        return self._pending_by_route_version.setdefault(route_version, Window(0))

    def _forget_silent_sidecars(self, now: float) -> None:
        for sidecar, reported_at in list(self._reported_at_by_sidecar.items()):
            if reported_at is None:
                self._reported_at_by_sidecar[sidecar] = now
            elif now - reported_at > HISTORY_SECONDS:
                del self._reported_at_by_sidecar[sidecar]
                del self._latest_by_sidecar[sidecar]


def _window_between(before: link_pb2.Evidence, after: link_pb2.Evidence) -> Window:
    return Window(
        0,
        requests=after.requests - before.requests,
        failures=max(after.failures - before.failures, 0),
        first_token=_bucket_increase(
            after.first_token_buckets, before.first_token_buckets
        ),
        between_tokens=_bucket_increase(
            after.between_token_buckets, before.between_token_buckets
        ),
    )
