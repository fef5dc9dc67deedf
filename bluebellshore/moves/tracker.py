"""State of the moves at one router: version of each request, verdicts and rows."""

from collections.abc import Iterable

import msgspec

from bluebellshore.bundle.model import Bundle, Move
from bluebellshore.canary import (
    Assessment,
    CanaryVerdict,
    routes_to_new_version,
    share_of_step,
)
from bluebellshore.ids import (
    BundleNumber,
    IncarnationId,
    InstanceId,
    MoveId,
    RequestKey,
    RouteName,
    VersionName,
)
from bluebellshore.moves.evidence import EvidenceLog, RouteVersion, Window
from bluebellshore.moves.judge import (
    ANALYSIS_SPANS_SECONDS,
    RECENT_SECONDS,
    assess,
    assess_recent,
)
from bluebellshore.moves.rows import (
    MoveRow,
    MoveState,
    decode_row,
    move_id_of,
    move_key,
)
from bluebellshore.store import Row
from bluebellshore.wire import link_pb2

__all__ = ["MoveTracker", "MoveStatus", "StepProgress"]

#: Verdicts that are kept of moves which the active bundle does not contain, as a later
#: bundle may.
MAX_UNKNOWN_MOVE_VERDICTS = 1000
#: Undecided moves that are remembered after a later bundle has dropped them.
MAX_WITHDRAWN_MOVES = 1000


class MoveStatus(msgspec.Struct, frozen=True):
    """State of a move as this router applies it.

    :param share: share of requests that this router sends to the new version.
    :param reason: why the move is rolled back; empty otherwise.
    :param decided_at: Unix time in seconds of the final state; 0 before.
    """

    move: MoveId
    route: RouteName
    old: VersionName
    new: VersionName
    state: MoveState
    share: float
    reason: str = ""
    decided_at: float = 0.0


class StepProgress(msgspec.Struct, frozen=True):
    """Evidence about the present step of a move.

    :param requests: requests that the new version ended in this step.
    :param assessment: result of the latest analysis; None before the first one.
    :param bad_reason: reason of the bad verdict; empty when there is none.
    """

    requests: int
    assessment: Assessment | None
    bad_reason: str = ""


class _TrackedMove(msgspec.Struct):
    """A move of the active bundle, with what this router knows of it.

    :param row: newest row that was seen; None before the first one.
    :param began_at: time in seconds of a monotonic clock at which analysis began.
    :param requests_before_step: requests of the new version before the present step.
    :param is_overdue: whether the deadline had passed at the latest analysis.
    """

    move_id: MoveId
    move: Move
    row: MoveRow | None = None
    row_version: int = 0
    began_at: float | None = None
    requests_before_step: int = 0
    assessment: Assessment | None = None
    is_overdue: bool = False

    @property
    def is_final(self) -> bool:
        """Whether the row is in a final state."""
        return self.row is not None and self.row.state is not MoveState.MOVING

    @property
    def new_route_version(self) -> RouteVersion:
        return RouteVersion(self.move.route, self.move.new)

    @property
    def old_route_version(self) -> RouteVersion:
        return RouteVersion(self.move.route, self.move.old)


class _VersionChange(msgspec.Struct, frozen=True):
    """Change of version that a move applies to a share of its route's requests.

    The changes of a route are applied in order: one may begin at the version to which
    the previous one leads.
    """

    move_id: MoveId
    old: VersionName
    new: VersionName
    share: float


class MoveTracker:
    """Picks the version that serves each request and analyzes the new versions.

    A bad verdict is final at this router: from then on the route is served by the old
    version, whatever the share. Only a row in state DONE overrides it, as the table
    decides between DONE and ROLLED_BACK once for all routers.

    :param instance_id: id of this router, which its verdicts name.
    """

    def __init__(self, instance_id: InstanceId):
        self._instance_id = instance_id
        self._bundle: Bundle | None = None
        self._tracked_by_move: dict[MoveId, _TrackedMove] = {}
        self._verdict_by_move: dict[MoveId, link_pb2.Verdict] = {}
        self._changes_by_route: dict[RouteName, list[_VersionChange]] = {}
        self._withdrawn_moves: dict[MoveId, None] = {}
        self._evidence_log = EvidenceLog()

    def version_for(self, route: RouteName, key: RequestKey) -> VersionName:
        """Return the version that serves a request.

        :raises KeyError: the active bundle has no such route.
        """
        version = self._bundle.routes[route].version
        for change in self._changes_by_route.get(route, ()):
            if change.old != version:
                continue
            if routes_to_new_version(change.move_id, key, change.share):
                version = change.new
        return version

    def versions_in_use(self) -> dict[RouteName, list[VersionName]]:
        """Return by route the versions that may serve now, the oldest first."""
        in_use: dict[RouteName, list[VersionName]] = {}
        routes = self._bundle.routes if self._bundle else {}
        for name, route in routes.items():
            versions = [route.version]
            for change in self._changes_by_route.get(name, ()):
                if change.old in versions and change.share > 0.0:
                    if change.share >= 1.0:
                        versions.remove(change.old)
                    versions.append(change.new)
            in_use[name] = versions
        return in_use

    def apply_bundle(self, bundle: Bundle) -> None:
        """Replace the tracked moves with those of a bundle that becomes active.

        A move that keeps its route and versions keeps its state.
        """
        self._bundle = bundle
        self._withdrawn_moves.update(
            {m: None for m in self.undecided_moves() if m not in bundle.moves}
        )
        for move_id in list(self._withdrawn_moves)[:-MAX_WITHDRAWN_MOVES]:
            del self._withdrawn_moves[move_id]
        tracked_by_move = {}
        for move_id, move in bundle.moves.items():
            known = self._tracked_by_move.get(move_id)
            if known is None or not _same_versions(known.move, move):
                known = _TrackedMove(move_id, move)
            known.move = move
            tracked_by_move[move_id] = known
        self._tracked_by_move = tracked_by_move
        self._update_derived_state()

    def apply_verdict(self, verdict: link_pb2.Verdict) -> bool:
        """Apply a bad verdict, which is final.

        :return: True when it is the first verdict on its move.
        """
        move_id = MoveId(verdict.move)
        if move_id in self._verdict_by_move:
            return False
        self._verdict_by_move[move_id] = verdict
        self._limit_unknown_move_verdicts()
        self._update_derived_state()
        return True

    def verdicts(self) -> list[link_pb2.Verdict]:
        """Return all bad verdicts, to be sent to a new peer."""
        return list(self._verdict_by_move.values())

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Apply rows of moves; rows older than those seen before are ignored."""
        for row in rows:
            tracked = self._tracked_by_move.get(move_id_of(row.key))
            if tracked is not None and row.version > tracked.row_version:
                self._apply_row(tracked, decode_row(row), row.version)
        self._update_derived_state()

    def record_evidence(
        self, sidecar: IncarnationId, evidence: link_pb2.Evidence
    ) -> None:
        """Add the evidence in a sidecar's cumulative counters."""
        self._evidence_log.record(sidecar, evidence)

    def record_failure(
        self, route: RouteName, version: VersionName, now: float
    ) -> None:
        """Count a crash or a lost link that ended a request of this router."""
        self._evidence_log.record_failure(RouteVersion(route, version))

    def judge(self, now: float, unix_now: float) -> list[link_pb2.Verdict]:
        """Analyze all undecided moves; to be called about once a second.

        :param now: time in seconds of a monotonic clock.
        :param unix_now: Unix time in seconds.
        :return: new bad verdicts of this router, which are already applied.
        """
        self._evidence_log.roll(now)
        found = []
        for tracked in self._tracked_by_move.values():
            tracked.is_overdue = unix_now >= tracked.move.deadline
            if self._state(tracked) is MoveState.MOVING and tracked.row is not None:
                tracked.assessment = self._assess(tracked, now)
                if tracked.assessment.verdict is CanaryVerdict.BAD:
                    found.append(self._verdict(tracked))
        for verdict in found:
            self.apply_verdict(verdict)
        self._update_derived_state()
        return found

    def undecided_moves(self) -> dict[MoveId, Move]:
        """Return the tracked moves whose row is in no final state."""
        return {
            tracked.move_id: tracked.move
            for tracked in self._tracked_by_move.values()
            if not tracked.is_final
        }

    def undecided_row_keys(self) -> list[str]:
        """Return the keys of the rows of undecided moves, which may still change."""
        return [move_key(move_id) for move_id in self.undecided_moves()]

    def step_progress(self, move_id: MoveId) -> StepProgress:
        """Return the evidence about the present step of a move."""
        tracked = self._tracked_by_move[move_id]
        requests = self._evidence_log.requests(tracked.new_route_version)
        verdict = self._verdict_by_move.get(move_id)
        return StepProgress(
            requests - tracked.requests_before_step,
            tracked.assessment,
            verdict.reason if verdict else "",
        )

    @property
    def bundle_number(self) -> BundleNumber:
        """Number of the active bundle; 0 for none."""
        return self._bundle.number if self._bundle else BundleNumber(0)

    def take_withdrawn_moves(self) -> list[MoveId]:
        """Return and forget the undecided moves that later bundles have dropped."""
        withdrawn, self._withdrawn_moves = list(self._withdrawn_moves), {}
        return withdrawn

    def is_in_bundle(self, move_id: MoveId) -> bool:
        """Return whether the active bundle contains the move."""
        return move_id in self._tracked_by_move

    def bundled_version(self, route: RouteName) -> VersionName | None:
        """Return a route's version in the active bundle; None without the route."""
        routes = self._bundle.routes if self._bundle else {}
        return routes[route].version if route in routes else None

    def snapshot(self) -> list[MoveStatus]:
        """Return the state of all tracked moves, for state dumps."""
        return [self._status(tracked) for tracked in self._tracked_by_move.values()]

    def _apply_row(self, tracked: _TrackedMove, row: MoveRow, version: int) -> None:
        if tracked.row is None or tracked.row.step != row.step:
            tracked.requests_before_step = self._evidence_log.requests(
                tracked.new_route_version
            )
        tracked.row = row
        tracked.row_version = version

    def _assess(self, tracked: _TrackedMove, now: float) -> Assessment:
        if tracked.began_at is None:
            tracked.began_at = now
        criteria = tracked.move.criteria
        assessments = []
        for span in ANALYSIS_SPANS_SECONDS:
            new, old = self._windows(tracked, now, span)
            found = assess(criteria, new, old)
            if found.verdict is CanaryVerdict.BAD:
                return found
            assessments.append(found)
        new, _ = self._windows(tracked, now, RECENT_SECONDS)
        assessments.append(assess_recent(criteria, new, old))
        for found in assessments:
            if found.verdict is CanaryVerdict.DOUBTFUL:
                return found
        return Assessment(CanaryVerdict.GOOD)

    def _windows(
        self, tracked: _TrackedMove, now: float, seconds: float
    ) -> tuple[list[Window], list[Window]]:
        since = max(now - seconds, tracked.began_at)
        new = self._evidence_log.windows(tracked.new_route_version, since)
        return new, self._evidence_log.windows(tracked.old_route_version, since)

    def _verdict(self, tracked: _TrackedMove) -> link_pb2.Verdict:
        reason = tracked.assessment.reason
        return link_pb2.Verdict(
            move=tracked.move_id, reason=reason, judge=self._instance_id
        )

    def _state(self, tracked: _TrackedMove) -> MoveState:
        if tracked.row is not None and not tracked.row.matches(tracked.move):
            return MoveState.ROLLED_BACK
        if tracked.is_final:
            return tracked.row.state
        if tracked.is_overdue or tracked.move_id in self._verdict_by_move:
            return MoveState.ROLLED_BACK
        return MoveState.MOVING

    def _share(self, tracked: _TrackedMove) -> float:
        state = self._state(tracked)
        if state is MoveState.DONE:
            return 1.0
        if state is MoveState.ROLLED_BACK or tracked.row is None:
            return 0.0
        return share_of_step(tracked.row.step)

    def _status(self, tracked: _TrackedMove) -> MoveStatus:
        verdict = self._verdict_by_move.get(tracked.move_id)
        row = tracked.row
        reason = row.reason if row else ""
        if not reason and verdict and not tracked.is_final:
            reason = verdict.reason
        return MoveStatus(
            tracked.move_id,
            tracked.move.route,
            tracked.move.old,
            tracked.move.new,
            self._state(tracked),
            self._share(tracked),
            reason,
            row.decided_at if row else 0.0,
        )

    def _update_derived_state(self) -> None:
        """Update the evidence that is kept and the changes of version by route."""
        undecided = [t for t in self._tracked_by_move.values() if not t.is_final]
        route_versions = [
            s for t in undecided for s in (t.old_route_version, t.new_route_version)
        ]
        self._evidence_log.track(route_versions)
        self._changes_by_route = {}
        for tracked in self._tracked_by_move.values():
            move = tracked.move
            change = _VersionChange(
                tracked.move_id, move.old, move.new, self._share(tracked)
            )
            self._changes_by_route.setdefault(move.route, []).append(change)

    def _limit_unknown_move_verdicts(self) -> None:
        unknown = [m for m in self._verdict_by_move if m not in self._tracked_by_move]
        for move_id in unknown[: max(len(unknown) - MAX_UNKNOWN_MOVE_VERDICTS, 0)]:
            del self._verdict_by_move[move_id]


def _same_versions(first: Move, second: Move) -> bool:
    return (first.route, first.old, first.new) == (
        second.route,
        second.old,
        second.new,
    )
