"""Evidence about versions: counted at sidecars, differenced at routers."""

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


#: Upper bounds of the latency buckets; one more bucket holds what is above.
FIRST_TOKEN_BOUNDS_SECONDS = _bounds(0.010, 12)
BETWEEN_TOKENS_BOUNDS_SECONDS = _bounds(0.001, 10)
#: A request without a first token for this long counts as one that took so long.
FIRST_TOKEN_OVERDUE_SECONDS = 10.0
WINDOW_SECONDS = 2.0
HISTORY_SECONDS = 320.0
#: Failures for which a failure counts that a router saw itself: a crash or a lost
#: link costs more than the one request.
FAILURES_PER_LOSS = 4


class RouteVersion(NamedTuple):
    """A version as it serves one route."""

    route: RouteName
    version: VersionName


class Window(msgspec.Struct):
    """What ended within one window of time.

    :param number: start of the window in units of :data:`WINDOW_SECONDS`.
    :param first_token: requests by bucket of their time to the first token.
    :param between_tokens: requests by bucket of their mean time between tokens.
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
    """Counts what one backend server did since the sidecar started.

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
        """Count a request that ended at the backend server.

        :param ok: False for an error status, a crash or an answer without its end.
        :param first_token_seconds: from its dispatch to the first byte of the answer;
            None when :meth:`record_first_token` was called.
        :param between_token_seconds: times between the answer's tokens. Their mean
            counts once, as the gaps of one answer are not independent.
        """
        counters = self._counters(route, version)
        counters.requests += 1
        counters.failures += not ok
        if first_token_seconds is not None:
            self.record_first_token(route, version, first_token_seconds)
        if between_token_seconds:
            mean = sum(between_token_seconds) / len(between_token_seconds)
            bucket = bisect_left(BETWEEN_TOKENS_BOUNDS_SECONDS, mean)
            _count(counters.between_token_buckets, bucket)

    def record_first_token(
        self, route: RouteName, version: VersionName, seconds: float
    ) -> None:
        """Count a first token before its request has ended.

        To be called once a request, at the latest when it has waited for
        :data:`FIRST_TOKEN_OVERDUE_SECONDS`: a version that hangs ends no request.
        """
        bucket = bisect_left(FIRST_TOKEN_BOUNDS_SECONDS, seconds)
        _count(self._counters(route, version).first_token_buckets, bucket)

    def to_wire(self) -> list[link_pb2.Evidence]:
        """Return the cumulative counters, to be sent to routers."""
        return list(self._evidence_by_route_version.values())

    def _counters(self, route: RouteName, version: VersionName) -> link_pb2.Evidence:
        route_version = RouteVersion(route, version)
        if route_version not in self._evidence_by_route_version:
            evidence = link_pb2.Evidence(route=route, version=version)
            self._evidence_by_route_version[route_version] = evidence
        return self._evidence_by_route_version[route_version]


def _count(buckets, bucket: int) -> None:
    missing = bucket + 1 - len(buckets)
    if missing > 0:
        buckets.extend([0] * missing)
    buckets[bucket] += 1


def _difference(after: Sequence[int], before: Sequence[int]) -> Counter[int]:
    counts: Counter[int] = Counter()
    for bucket, count in enumerate(after):
        earlier = before[bucket] if bucket < len(before) else 0
        if count > earlier:
            counts[bucket] = count - earlier
    return counts


class EvidenceLog:
    """Recent windows of each version and route, from all sidecars.

    The counters of a sidecar count from the first report on that is seen of it.
    """

    def __init__(self) -> None:
        self._latest: dict[IncarnationId, dict[RouteVersion, link_pb2.Evidence]] = {}
        self._seen_at: dict[IncarnationId, float | None] = {}
        self._pending_by_route_version: dict[RouteVersion, Window] = {}
        self._windows_by_route_version: dict[RouteVersion, deque[Window]] = {}
        self._requests_by_route_version: Counter[RouteVersion] = Counter()

    def track(self, route_versions: Iterable[RouteVersion]) -> None:
        """Keep windows of exactly these."""
        wanted = set(route_versions)
        for item in set(self._windows_by_route_version) - wanted:
            del self._windows_by_route_version[item]
            del self._requests_by_route_version[item]
        for item in wanted:
            self._windows_by_route_version.setdefault(item, deque())

    def record(self, sidecar: IncarnationId, evidence: link_pb2.Evidence) -> None:
        """Take in the cumulative counters of a sidecar."""
        route_version = RouteVersion(
            RouteName(evidence.route), VersionName(evidence.version)
        )
        latest = self._latest.setdefault(sidecar, {})
        self._seen_at[sidecar] = None
        before = latest.get(route_version)
        if before is not None and evidence.requests < before.requests:
            return
        kept = link_pb2.Evidence()
        kept.CopyFrom(evidence)
        latest[route_version] = kept
        if before is not None and route_version in self._windows_by_route_version:
            self._pending(route_version).add(_window_between(before, evidence))

    def record_failure(self, route_version: RouteVersion) -> None:
        """Count a failure that no sidecar can report."""
        if route_version in self._windows_by_route_version:
            count = FAILURES_PER_LOSS
            self._pending(route_version).add(Window(0, requests=count, failures=count))

    def roll(self, now: float) -> None:
        """File what came in since the last call under the window of `now`."""
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
        """Return the windows of `route_version` that began at `since` or later."""
        first = since / WINDOW_SECONDS
        return [
            w
            for w in self._windows_by_route_version.get(route_version, ())
            if w.number >= first
        ]

    def requests(self, route_version: RouteVersion) -> int:
        """Return the requests of `route_version` since it is tracked."""
        return self._requests_by_route_version[route_version]

    def _pending(self, route_version: RouteVersion) -> Window:
        return self._pending_by_route_version.setdefault(route_version, Window(0))

    def _forget_silent_sidecars(self, now: float) -> None:
        for sidecar, seen_at in list(self._seen_at.items()):
            if seen_at is None:
                self._seen_at[sidecar] = now
            elif now - seen_at > HISTORY_SECONDS:
                del self._seen_at[sidecar]
                del self._latest[sidecar]


def _window_between(before: link_pb2.Evidence, after: link_pb2.Evidence) -> Window:
    return Window(
        0,
        requests=after.requests - before.requests,
        failures=max(after.failures - before.failures, 0),
        first_token=_difference(after.first_token_buckets, before.first_token_buckets),
        between_tokens=_difference(
            after.between_token_buckets, before.between_token_buckets
        ),
    )
