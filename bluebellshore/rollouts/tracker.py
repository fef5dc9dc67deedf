"""State of one rollout order at one router: share, verdict and next stored state."""

from collections.abc import Iterable, Sequence

import msgspec

from bluebellshore.canary import Assessment, CanaryVerdict, routes_to_new_version
from bluebellshore.fleet import BackendServer, Call, RolloutOrder
from bluebellshore.ids import (
    IncarnationId,
    MoveId,
    RequestKey,
    RouteName,
    VersionName,
)
from bluebellshore.rollouts.attempt import MeasuredAttempt
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey, RolloutEvidence
from bluebellshore.rollouts.judge import assess, overdue_seconds
from bluebellshore.rollouts.plan import (
    RolloutSnapshot,
    SharePlan,
    canary_requests,
    is_rollback_due,
)
from bluebellshore.rollouts.routes import (
    has_enough_results,
    route_share,
    route_weights,
)
from bluebellshore.rollouts.state import RolloutRecord, RolloutState

__all__ = ["ExposureLimit", "RolloutReport", "RolloutTracker"]

#: Least time between two analyses.
MIN_ANALYSIS_INTERVAL_SECONDS = 0.2
#: Least time at all requests before the completion: several exchanges between routers.
MIN_FULL_SHARE_SECONDS = 1.0
#: Time for which the version is observed at all requests where the exposure suffices.
OBSERVATION_SECONDS = 4.0
#: Age from which a peer's report no longer tells the peer's present share.
MAX_REPORT_AGE_SECONDS = 1.6
#: The completion no longer waits for the end of the observation, nor for requests that
#: still run on the other versions, once the usable exposure is used up within this time
#: at all requests, or from this fraction of the order's time on.
MIN_EXPOSURE_LEFT_SECONDS = 1.2
MAX_WAIT_FRACTION = 0.85
#: Failed attempts at the target version that are remembered, to retry them elsewhere.
MAX_FAILED_ATTEMPTS = 1000


class ExposureLimit(msgspec.Struct, frozen=True):
    """Limit of the requests that a bad version may get.

    :param share: share of the service's requests.
    :param extra_requests: requests beyond the share.
    """

    share: float
    extra_requests: float


class RolloutReport(msgspec.Struct):
    """Report of a router about an order, sent to its peers.

    :param order_version: row version of the order.
    :param age_seconds: time since the order.
    :param share: share of requests that the target version gets there.
    :param other_version_requests: requests that run there on servers of other versions.
    :param bad_reason: why the target version is bad; empty while it isn't.
    :param exposed_requests: requests that the fleet is known to have sent to the target
        version.
    :param total_requests: requests that the fleet is known to have sent to the service.
    :param counts_by_key: counts of that router's attempts since the order; empty once
        it is decided.
    """

    service: str
    order_version: int
    age_seconds: float
    share: float
    other_version_requests: int
    state: RolloutState
    bad_reason: str = ""
    exposed_requests: int = 0
    total_requests: int = 0
    counts_by_key: dict[CountsKey, AttemptCounts] = msgspec.field(default_factory=dict)


class _PeerStatus(msgspec.Struct):
    """Part of a peer's latest report.

    :param received_at: time in seconds at which it came.
    """

    share: float
    other_version_requests: int
    received_at: float


class RolloutTracker:
    """Carries out one order at this router until its service has a newer one.

    A bad verdict is final here; only a stored record in state COMPLETED overrides it.

    :param order_version: row version of the order.
    :param now: time in seconds of a monotonic clock, as all times here.
    :ivar evidence: counts of attempts of this router and its peers.
    :ivar record: stored record as last read or written; None when there is none.
    :ivar is_record_known: whether the record was read, found absent, or a peer reported
        the order. Until then the other versions are preferred.
    :ivar bad_reason: why the target version is bad; empty while it isn't.
    :ivar share: share of the service's requests that the target version gets here.
    :ivar replaced_versions: other versions that served during the order.
    """

    def __init__(
        self,
        order: RolloutOrder,
        order_version: int,
        exposure: ExposureLimit,
        now: float,
    ):
        self.order = order
        self.order_version = order_version
        self.evidence = RolloutEvidence()
        self.record: RolloutRecord | None = None
        self.is_record_known = False
        self.bad_reason = ""
        self.share = 0.0
        self.replaced_versions: set[VersionName] = set()
        self._exposure = exposure
        self._began_at = now
        self._plan = SharePlan()
        self._assessment = Assessment(CanaryVerdict.GOOD)
        self._analyzed_at = -1e9
        self._full_share_since: float | None = None
        self._running_attempts: dict[int, MeasuredAttempt] = {}
        self._failed_attempts: dict[str, None] = {}
        self._status_by_peer: dict[IncarnationId, _PeerStatus] = {}
        self._snapshot: RolloutSnapshot | None = None
        self._weight_by_route: dict[RouteName, float] = {}

    @property
    def state(self) -> RolloutState:
        """State of the order as this router knows it."""
        return self.record.state if self.record else RolloutState.IN_PROGRESS

    def age(self, now: float) -> float:
        """Return the time since the order in seconds."""
        return now - self._began_at

    def set_min_age(self, age: float, now: float) -> None:
        """Raise the order's age to `age` seconds unless it is older already."""
        self._began_at = min(self._began_at, now - age)

    def candidates(
        self, call: Call, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers that may get a request.

        :param servers: usable servers of the service, of any version.
        """
        target = [s for s in servers if s.version == self.order.target]
        others = [s for s in servers if s.version != self.order.target]
        if self.state is RolloutState.COMPLETED:
            replaced = self.record.replaced or self.replaced_versions
            return [s for s in servers if s.version not in replaced] or target
        if self.state is RolloutState.ROLLED_BACK or self.bad_reason:
            return others
        self.replaced_versions.update(server.version for server in others)
        if not self.is_record_known:
            return others or target
        if self.share <= 0.0:
            return others
        gets_target = routes_to_new_version(
            MoveId(f"{self.order.service}/{self.order_version}"),
            RequestKey(call.attempt_id),
            route_share(self.share, self._weight_by_route.get(call.route.name, 1.0)),
        )
        if (
            gets_target
            and target
            and not (call.attempt_id in self._failed_attempts and others)
        ):
            return target
        return others or target

    def begin_attempt(self, attempt: MeasuredAttempt, now: float) -> None:
        """Count an attempt that is sent now."""
        self._running_attempts[id(attempt)] = attempt
        self.evidence.record(attempt.key, AttemptCounts(sent=1), now)

    def end_attempt(
        self,
        attempt: MeasuredAttempt,
        counts: AttemptCounts,
        now: float,
        *,
        succeeded: bool,
    ) -> None:
        """Add the counts of an attempt that ends now.

        :param succeeded: whether it was answered; otherwise its retry goes to another
            version where possible.
        """
        self._running_attempts.pop(id(attempt), None)
        if counts != AttemptCounts():
            self.evidence.record(attempt.key, counts, now)
        if not succeeded and attempt.key.is_target:
            self._failed_attempts[attempt.attempt_id] = None
            if len(self._failed_attempts) > MAX_FAILED_ATTEMPTS:
                del self._failed_attempts[next(iter(self._failed_attempts))]

    def tick(self, now: float, *, is_store_available: bool) -> None:
        """Analyze the evidence and set the share; to be called many times a second.

        :param is_store_available: whether the completion could be written.
        """
        if self.state.is_final:
            self.share = float(self.state is RolloutState.COMPLETED)
            return
        if now - self._analyzed_at >= MIN_ANALYSIS_INTERVAL_SECONDS:
            self._analyzed_at = now
            self._analyze(now)
        self._snapshot = self._take_snapshot(now, is_store_available=is_store_available)
        self.share = self._plan.update(self._snapshot) if self.is_record_known else 0.0
        if self.share < 1.0:
            self._full_share_since = None
        elif self._full_share_since is None:
            self._full_share_since = now

    def next_state(
        self, now: float, peers: Iterable[IncarnationId]
    ) -> RolloutState | None:
        """Return the state that is to be written to the record; None for no change.

        :param peers: routers that serve besides this one.
        """
        if not self.is_record_known or self.state.is_final or self._snapshot is None:
            return None
        if self.record is None:
            return RolloutState.IN_PROGRESS
        if self.bad_reason or is_rollback_due(self._snapshot):
            return RolloutState.ROLLED_BACK
        return (
            RolloutState.COMPLETED if self._is_ready_to_complete(now, peers) else None
        )

    def apply_record(self, record: RolloutRecord) -> None:
        """Apply this order's record as read or written, unless a final one is known."""
        self.is_record_known = True
        if not self.state.is_final:
            self.record = record

    def report(self, now: float) -> RolloutReport:
        """Return the report for peers."""
        exposed, requests = self.evidence.sent()
        return RolloutReport(
            service=self.order.service,
            order_version=self.order_version,
            age_seconds=self.age(now),
            share=self.share,
            other_version_requests=self._other_version_requests(),
            state=self.state,
            bad_reason=self.bad_reason,
            exposed_requests=exposed,
            total_requests=requests,
            counts_by_key=(
                {} if self.state.is_final else self.evidence.own_counts_by_key
            ),
        )

    def merge_report(
        self, peer: IncarnationId, report: RolloutReport, now: float
    ) -> None:
        """Merge a peer's report about this order."""
        self.is_record_known = True
        self.set_min_age(report.age_seconds, now)
        self._status_by_peer[peer] = _PeerStatus(
            report.share, report.other_version_requests, now
        )
        if report.state.is_final and not self.state.is_final:
            self.record = RolloutRecord(
                self.order_version,
                self.order.target,
                report.state,
                0.0,
                tuple(self.replaced_versions),
            )
        if report.bad_reason and not self.bad_reason:
            self.bad_reason = report.bad_reason
        self.evidence.merge_sent(report.exposed_requests, report.total_requests)
        self.evidence.merge_counts(peer, report.counts_by_key, now)

    def _analyze(self, now: float) -> None:
        self._count_running_attempts(now)
        self._assessment = assess(self.evidence, now)
        self._weight_by_route = route_weights(self.evidence.counts_within(now, None))
        if self._assessment.verdict is CanaryVerdict.BAD and not self.bad_reason:
            self.bad_reason = self._assessment.reason

    def _count_running_attempts(self, now: float) -> None:
        """Count what the attempts that still run show of their version's speed."""
        first_limits = overdue_seconds(self.evidence, now, "first")
        gap_limits = overdue_seconds(self.evidence, now, "gap")
        for attempt in self._running_attempts.values():
            route = attempt.key.route
            limit = first_limits.get(route)
            is_waiting = (
                attempt.first_event_at is None
                and attempt.is_warm
                and not attempt.counted_overdue
            )
            if is_waiting and limit is not None and now - attempt.sent_at > limit:
                self.evidence.record(attempt.key, attempt.count_overdue(now), now)
            counts = attempt.count_gap(now, gap_limits.get(route))
            if counts != AttemptCounts():
                self.evidence.record(attempt.key, counts, now)

    def _take_snapshot(
        self, now: float, *, is_store_available: bool
    ) -> RolloutSnapshot:
        exposed, requests = self.evidence.sent()
        whole = self.evidence.counts_within(now, None)
        snapshot = RolloutSnapshot(
            age_seconds=self.age(now),
            deadline_seconds=self.order.seconds,
            exposed_requests=exposed,
            total_requests=requests,
            verdict=CanaryVerdict.BAD if self.bad_reason else self._assessment.verdict,
            exposure_share=self._exposure.share,
            exposure_extra_requests=self._exposure.extra_requests,
            can_complete=is_store_available and self.record is not None,
            max_peer_share=max(
                (
                    status.share
                    for status in self._status_by_peer.values()
                    if now - status.received_at <= MAX_REPORT_AGE_SECONDS
                ),
                default=0.0,
            ),
        )
        enough = has_enough_results(whole, canary_requests(snapshot))
        return msgspec.structs.replace(snapshot, has_enough_results=enough)

    def _other_version_requests(self) -> int:
        return sum(1 for a in self._running_attempts.values() if not a.key.is_target)

    def _is_ready_to_complete(self, now: float, peers: Iterable[IncarnationId]) -> bool:
        """Return whether all routers send all requests to a good target version."""
        if (
            self._full_share_since is None
            or now - self._full_share_since < MIN_FULL_SHARE_SECONDS
        ):
            return False
        if self._assessment.verdict is not CanaryVerdict.GOOD:
            return False
        other_version_requests = self._other_version_requests()
        for peer in peers:
            status = self._status_by_peer.get(peer)
            if (
                status is None
                or status.share < 1.0
                or now - status.received_at > MAX_REPORT_AGE_SECONDS
            ):
                return False
            other_version_requests += status.other_version_requests
        was_observed = now - self._full_share_since >= OBSERVATION_SECONDS
        return (
            was_observed and not other_version_requests
        ) or self._must_complete_now()

    def _must_complete_now(self) -> bool:
        """Return whether the exposure or the time left allows no more waiting."""
        snapshot = self._snapshot
        more = snapshot.requests_per_second * MIN_EXPOSURE_LEFT_SECONDS
        if snapshot.exposed_requests + more > snapshot.usable_exposure:
            return True
        return snapshot.age_seconds >= MAX_WAIT_FRACTION * snapshot.deadline_seconds
