"""One rollout order at one router: its share, its verdict and what is to be written."""

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
from bluebellshore.rollouts.attempt import Attempt
from bluebellshore.rollouts.evidence import Counts, Evidence, Key
from bluebellshore.rollouts.judge import assess, overdue_seconds
from bluebellshore.rollouts.plan import SharePlan, Situation, first_requests, late
from bluebellshore.rollouts.routes import has_results, route_share, route_weights
from bluebellshore.rollouts.state import RolloutRecord, RolloutState

__all__ = ["Exposure", "RolloutReport", "Track"]

#: Least time between two judgements.
JUDGE_SECONDS = 0.2
#: Least time for which all traffic must have moved: several exchanges between routers.
MOVED_SECONDS = 1.0
#: Time for which the version is watched with all traffic where the exposure suffices.
WATCH_SECONDS = 4.0
#: Age of a peer's report beyond which it says nothing of its share now.
REPORT_SECONDS = 1.6
#: Exposure left, in seconds of all traffic, at which neither is it watched any longer
#: nor are requests waited for that still run on the other versions, and the same as a
#: part of the order's time.
WAIT_ROOM_SECONDS = 1.2
WAIT_PART = 0.85
#: Attempts remembered that failed at the target version: they are repeated elsewhere.
MOST_FAILED = 1000


class Exposure(msgspec.Struct, frozen=True):
    """What a bad version may get.

    :param share: of the service's requests.
    :param extra: requests beyond it.
    """

    share: float
    extra: float


class RolloutReport(msgspec.Struct):
    """What a router tells of an order.

    :param age: seconds since the order.
    :param running: requests that run there at servers of other versions.
    :param bad: why the version is bad; empty while it isn't.
    :param exposed: requests that the fleet is known to have sent to the version.
    :param requests: requests that the fleet is known to have sent to the service.
    """

    service: str
    order: int
    age: float
    share: float
    running: int
    state: RolloutState
    bad: str = ""
    exposed: int = 0
    requests: int = 0
    counts_by_key: dict[Key, Counts] = msgspec.field(default_factory=dict)


class _Heard(msgspec.Struct):
    share: float
    running: int
    at: float


class Track:
    """Follows one order until another one of its service takes its place.

    A bad verdict latches, and only a record that says completed goes before it.

    :param version: row version of the order.
    :ivar known: whether the record was read, or a peer told of the order.
    """

    def __init__(
        self, order: RolloutOrder, version: int, exposure: Exposure, now: float
    ):
        self.order = order
        self.version = version
        self.evidence = Evidence()
        self.record: RolloutRecord | None = None
        self.known = False
        self.bad = ""
        self.share = 0.0
        self.replaced: set[VersionName] = set()
        self._exposure = exposure
        self._began_at = now
        self._plan = SharePlan()
        self._assessment = Assessment(CanaryVerdict.GOOD)
        self._judged_at = -1e9
        self._moved_at: float | None = None
        self._attempts: dict[int, Attempt] = {}
        self._failed: dict[str, None] = {}
        self._overdue: dict[str, float] = {}
        self._heard: dict[IncarnationId, _Heard] = {}
        self._situation: Situation | None = None
        self._weights: dict[RouteName, float] = {}

    @property
    def state(self) -> RolloutState:
        """How the order stands as far as this router knows."""
        return self.record.state if self.record else RolloutState.IN_PROGRESS

    def age(self, now: float) -> float:
        """Return the seconds since the order."""
        return now - self._began_at

    def set_age(self, age: float, now: float) -> None:
        """Learn that the order is at least this old."""
        self._began_at = min(self._began_at, now - age)

    def candidates(
        self, call: Call, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers that may get a request."""
        target = [s for s in servers if s.version == self.order.target]
        others = [s for s in servers if s.version != self.order.target]
        if self.state is RolloutState.COMPLETED:
            replaced = self.record.replaced or self.replaced
            return [s for s in servers if s.version not in replaced] or target
        if self.state is RolloutState.ROLLED_BACK or self.bad:
            return others
        self.replaced.update(server.version for server in others)
        if not self.known:
            return others or target
        if self.share <= 0.0:
            return others
        takes = routes_to_new_version(
            MoveId(f"{self.order.service}/{self.version}"),
            RequestKey(call.attempt_id),
            route_share(self.share, self._weights.get(call.route.name, 1.0)),
        )
        if takes and target and not (call.attempt_id in self._failed and others):
            return target
        return others or target

    def begin(self, attempt: Attempt, now: float) -> None:
        """Count an attempt that is sent."""
        self._attempts[id(attempt)] = attempt
        self.evidence.record(attempt.key, Counts(sent=1), now)

    def end(self, attempt: Attempt, counts: Counts, now: float, *, good: bool) -> None:
        """Count what an attempt tells at its end."""
        self._attempts.pop(id(attempt), None)
        if counts != Counts():
            self.evidence.record(attempt.key, counts, now)
        if not good and attempt.key.target:
            self._failed[attempt.attempt_id] = None
            if len(self._failed) > MOST_FAILED:
                del self._failed[next(iter(self._failed))]

    def tick(self, now: float, *, may_finish: bool) -> None:
        """Judge and set the share; to be called many times a second."""
        if self.state.decided:
            self.share = float(self.state is RolloutState.COMPLETED)
            return
        if now - self._judged_at >= JUDGE_SECONDS:
            self._judged_at = now
            self._judge(now)
        self._situation = self._see(now, may_finish=may_finish)
        self.share = self._plan.update(self._situation) if self.known else 0.0
        if self.share < 1.0:
            self._moved_at = None
        elif self._moved_at is None:
            self._moved_at = now

    def wanted(self, now: float, peers: Iterable[IncarnationId]) -> RolloutState | None:
        """Return the state that is to be written; None for nothing.

        :param peers: routers that serve besides this one.
        """
        if not self.known or self.state.decided or self._situation is None:
            return None
        if self.record is None:
            return RolloutState.IN_PROGRESS
        if self.bad or late(self._situation):
            return RolloutState.ROLLED_BACK
        return RolloutState.COMPLETED if self._has_moved(now, peers) else None

    def apply_record(self, record: RolloutRecord) -> None:
        """Take in the record of this order; a decided one changes no more."""
        self.known = True
        if not self.state.decided:
            self.record = record

    def report(self, now: float) -> RolloutReport:
        """Return what peers are told."""
        exposed, requests = self.evidence.sent()
        return RolloutReport(
            service=self.order.service,
            order=self.version,
            age=self.age(now),
            share=self.share,
            running=self._running(),
            state=self.state,
            bad=self.bad,
            exposed=exposed,
            requests=requests,
            counts_by_key={} if self.state.decided else self.evidence.own,
        )

    def merge(self, peer: IncarnationId, report: RolloutReport, now: float) -> None:
        """Take in what a peer tells of this order."""
        self.known = True
        self.set_age(report.age, now)
        self._heard[peer] = _Heard(report.share, report.running, now)
        if report.state.decided and not self.state.decided:
            self.record = RolloutRecord(
                self.version, self.order.target, report.state, 0.0, tuple(self.replaced)
            )
        if report.bad and not self.bad:
            self.bad = report.bad
        self.evidence.merge_sent(report.exposed, report.requests)
        self.evidence.merge(peer, report.counts_by_key, now)

    def _judge(self, now: float) -> None:
        self._overdue = overdue_seconds(self.evidence, now)
        for attempt in self._attempts.values():
            limit = self._overdue.get(attempt.key.route)
            waits = attempt.first_at is None and attempt.warm and not attempt.overdue
            if waits and limit is not None and now - attempt.sent_at > limit:
                self.evidence.record(attempt.key, attempt.count_overdue(now), now)
        self._assessment = assess(self.evidence, now)
        self._weights = route_weights(self.evidence.span(now, None))
        if self._assessment.verdict is CanaryVerdict.BAD and not self.bad:
            self.bad = self._assessment.reason

    def _see(self, now: float, *, may_finish: bool) -> Situation:
        exposed, requests = self.evidence.sent()
        whole = self.evidence.span(now, None)
        situation = Situation(
            age=self.age(now),
            seconds=self.order.seconds,
            exposed=exposed,
            requests=requests,
            verdict=CanaryVerdict.BAD if self.bad else self._assessment.verdict,
            exposure_share=self._exposure.share,
            exposure_extra=self._exposure.extra,
            may_finish=may_finish and self.record is not None,
            peers_share=max(
                (h.share for h in self._heard.values() if now - h.at <= REPORT_SECONDS),
                default=0.0,
            ),
        )
        enough = has_results(whole, first_requests(situation))
        return msgspec.structs.replace(situation, has_results=enough)

    def _running(self) -> int:
        return sum(1 for a in self._attempts.values() if not a.key.target)

    def _has_moved(self, now: float, peers: Iterable[IncarnationId]) -> bool:
        if self._moved_at is None or now - self._moved_at < MOVED_SECONDS:
            return False
        if self._assessment.verdict is not CanaryVerdict.GOOD:
            return False
        running = self._running()
        for peer in peers:
            heard = self._heard.get(peer)
            if heard is None or heard.share < 1.0 or now - heard.at > REPORT_SECONDS:
                return False
            running += heard.running
        watched = now - self._moved_at >= WATCH_SECONDS
        return (watched and not running) or self._is_pressing()

    def _is_pressing(self) -> bool:
        """Whether the completion can wait no longer."""
        situation = self._situation
        more = situation.rate * WAIT_ROOM_SECONDS
        if situation.exposed + more > situation.allowed:
            return True
        return situation.age >= WAIT_PART * situation.seconds
