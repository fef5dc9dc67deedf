"""What a router applies of the moves: shares, verdicts and rows."""

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
    HORIZONS_SECONDS,
    LATEST_SECONDS,
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

#: Verdicts remembered of moves that are not in the bundle in force (yet).
MAX_FOREIGN_VERDICTS = 1000
#: Undecided moves remembered that a later bundle left out.
MAX_WITHDRAWN = 1000


class MoveStatus(msgspec.Struct, frozen=True):
    """A move as this router applies it.

    :param share: share of requests that get the new version here.
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
    """Evidence of a move's present step.

    :param requests: requests of the new version in this step.
    :param assessment: latest judgement; None before the first one.
    :param bad_reason: reason of a bad verdict; empty when there is none.
    """

    requests: int
    assessment: Assessment | None
    bad_reason: str = ""


class _TrackedMove(msgspec.Struct):
    """A move of the bundle in force."""

    move_id: MoveId
    move: Move
    row: MoveRow | None = None
    row_version: int = 0
    began_at: float | None = None
    requests_before_step: int = 0
    assessment: Assessment | None = None
    expired: bool = False

    @property
    def decided(self) -> bool:
        return self.row is not None and self.row.state is not MoveState.MOVING

    @property
    def new_route_version(self) -> RouteVersion:
        return RouteVersion(self.move.route, self.move.new)

    @property
    def old_route_version(self) -> RouteVersion:
        return RouteVersion(self.move.route, self.move.old)


class _Stage(msgspec.Struct, frozen=True):
    """One move in the way from a route's version to the one that serves."""

    move_id: MoveId
    old: VersionName
    new: VersionName
    share: float


class MoveTracker:
    """Picks the version of each request and judges the new versions.

    A bad verdict latches: from then on the route serves the old version here,
    whatever the share. Only a row that says done comes before it, as the table
    decides done or taken back once for all routers.

    :param judge: instance that signs this router's verdicts.
    """

    def __init__(self, judge: InstanceId):
        self._judge = judge
        self._bundle: Bundle | None = None
        self._tracked_by_move: dict[MoveId, _TrackedMove] = {}
        self._verdict_by_move: dict[MoveId, link_pb2.Verdict] = {}
        self._stages_by_route: dict[RouteName, list[_Stage]] = {}
        self._withdrawn: dict[MoveId, None] = {}
        self._log = EvidenceLog()

    def version_for(self, route: RouteName, key: RequestKey) -> VersionName:
        """Return the version that serves a request.

        :raises KeyError: the bundle in force has no such route.
        """
        version = self._bundle.routes[route].version
        for stage in self._stages_by_route.get(route, ()):
            if stage.old != version:
                continue
            if routes_to_new_version(stage.move_id, key, stage.share):
                version = stage.new
        return version

    def versions_in_use(self) -> dict[RouteName, list[VersionName]]:
        """Return the versions that may serve each route now."""
        used: dict[RouteName, list[VersionName]] = {}
        routes = self._bundle.routes if self._bundle else {}
        for name, route in routes.items():
            versions = [route.version]
            for stage in self._stages_by_route.get(name, ()):
                if stage.old in versions and stage.share > 0.0:
                    if stage.share >= 1.0:
                        versions.remove(stage.old)
                    versions.append(stage.new)
            used[name] = versions
        return used

    def apply_bundle(self, bundle: Bundle) -> None:
        """Put the moves of a bundle in force."""
        self._bundle = bundle
        self._withdrawn.update(
            {m: None for m in self.undecided() if m not in bundle.moves}
        )
        for move_id in list(self._withdrawn)[:-MAX_WITHDRAWN]:
            del self._withdrawn[move_id]
        tracked_by_move = {}
        for move_id, move in bundle.moves.items():
            known = self._tracked_by_move.get(move_id)
            if known is None or not _same_versions(known.move, move):
                known = _TrackedMove(move_id, move)
            known.move = move
            tracked_by_move[move_id] = known
        self._tracked_by_move = tracked_by_move
        self._rebuild()

    def apply_verdict(self, verdict: link_pb2.Verdict) -> bool:
        """Latch a bad verdict. :return: True when it is new."""
        move_id = MoveId(verdict.move)
        if move_id in self._verdict_by_move:
            return False
        self._verdict_by_move[move_id] = verdict
        self._forget_foreign_verdicts()
        self._rebuild()
        return True

    def verdicts(self) -> list[link_pb2.Verdict]:
        """Return all latched verdicts, to be told to a new peer."""
        return list(self._verdict_by_move.values())

    def apply_rows(self, rows: Iterable[Row]) -> None:
        """Take in rows of moves; older ones than seen before are ignored."""
        for row in rows:
            tracked = self._tracked_by_move.get(move_id_of(row.key))
            if tracked is not None and row.version > tracked.row_version:
                self._apply_row(tracked, decode_row(row), row.version)
        self._rebuild()

    def record_evidence(
        self, sidecar: IncarnationId, evidence: link_pb2.Evidence
    ) -> None:
        """Take in the cumulative counters of a sidecar."""
        self._log.record(sidecar, evidence)

    def record_failure(
        self, route: RouteName, version: VersionName, now: float
    ) -> None:
        """Count a request that this router saw end by a crash or a lost link."""
        self._log.record_failure(RouteVersion(route, version))

    def judge(self, now: float, unix_now: float) -> list[link_pb2.Verdict]:
        """Judge all undecided moves; to be called about once a second.

        :return: new bad verdicts of this router; they are applied already.
        """
        self._log.roll(now)
        found = []
        for tracked in self._tracked_by_move.values():
            tracked.expired = unix_now >= tracked.move.deadline
            if self._state(tracked) is MoveState.MOVING and tracked.row is not None:
                tracked.assessment = self._assess(tracked, now)
                if tracked.assessment.verdict is CanaryVerdict.BAD:
                    found.append(self._verdict(tracked))
        for verdict in found:
            self.apply_verdict(verdict)
        self._rebuild()
        return found

    def undecided(self) -> dict[MoveId, Move]:
        """Return the moves without a final row."""
        return {
            tracked.move_id: tracked.move
            for tracked in self._tracked_by_move.values()
            if not tracked.decided
        }

    def undecided_row_keys(self) -> list[str]:
        """Return the keys of the rows that may still change."""
        return [move_key(move_id) for move_id in self.undecided()]

    def progress(self, move_id: MoveId) -> StepProgress:
        """Return the evidence of a move's present step."""
        tracked = self._tracked_by_move[move_id]
        requests = self._log.requests(tracked.new_route_version)
        verdict = self._verdict_by_move.get(move_id)
        return StepProgress(
            requests - tracked.requests_before_step,
            tracked.assessment,
            verdict.reason if verdict else "",
        )

    @property
    def bundle_number(self) -> BundleNumber:
        """Number of the bundle in force; 0 for none."""
        return self._bundle.number if self._bundle else BundleNumber(0)

    def take_withdrawn(self) -> list[MoveId]:
        """Return and forget the undecided moves that later bundles left out."""
        withdrawn, self._withdrawn = list(self._withdrawn), {}
        return withdrawn

    def is_declared(self, move_id: MoveId) -> bool:
        """Return whether the bundle in force has the move."""
        return move_id in self._tracked_by_move

    def serving_version(self, route: RouteName) -> VersionName | None:
        """Return the version that the bundle states for a route."""
        routes = self._bundle.routes if self._bundle else {}
        return routes[route].version if route in routes else None

    def snapshot(self) -> list[MoveStatus]:
        """Return the state of all moves, for the dump and the read-back."""
        return [self._status(tracked) for tracked in self._tracked_by_move.values()]

    def _apply_row(self, tracked: _TrackedMove, row: MoveRow, version: int) -> None:
        if tracked.row is None or tracked.row.step != row.step:
            tracked.requests_before_step = self._log.requests(tracked.new_route_version)
        tracked.row = row
        tracked.row_version = version

    def _assess(self, tracked: _TrackedMove, now: float) -> Assessment:
        if tracked.began_at is None:
            tracked.began_at = now
        criteria = tracked.move.criteria
        doubts = []
        for horizon in HORIZONS_SECONDS:
            new, old = self._windows(tracked, now, horizon)
            found = assess(criteria, new, old)
            if found.verdict is CanaryVerdict.BAD:
                return found
            doubts.append(found)
        new, _ = self._windows(tracked, now, LATEST_SECONDS)
        doubts.append(assess_recent(criteria, new, old))
        for found in doubts:
            if found.verdict is CanaryVerdict.DOUBTFUL:
                return found
        return Assessment(CanaryVerdict.GOOD)

    def _windows(
        self, tracked: _TrackedMove, now: float, seconds: float
    ) -> tuple[list[Window], list[Window]]:
        since = max(now - seconds, tracked.began_at)
        new = self._log.windows(tracked.new_route_version, since)
        return new, self._log.windows(tracked.old_route_version, since)

    def _verdict(self, tracked: _TrackedMove) -> link_pb2.Verdict:
        reason = tracked.assessment.reason
        return link_pb2.Verdict(move=tracked.move_id, reason=reason, judge=self._judge)

    def _state(self, tracked: _TrackedMove) -> MoveState:
        if tracked.row is not None and not tracked.row.matches(tracked.move):
            return MoveState.ROLLED_BACK
        if tracked.decided:
            return tracked.row.state
        if tracked.expired or tracked.move_id in self._verdict_by_move:
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
        if not reason and verdict and not tracked.decided:
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

    def _rebuild(self) -> None:
        undecided = [t for t in self._tracked_by_move.values() if not t.decided]
        route_versions = [
            s for t in undecided for s in (t.old_route_version, t.new_route_version)
        ]
        self._log.track(route_versions)
        self._stages_by_route = {}
        for tracked in self._tracked_by_move.values():
            move = tracked.move
            stage = _Stage(tracked.move_id, move.old, move.new, self._share(tracked))
            self._stages_by_route.setdefault(move.route, []).append(stage)

    def _forget_foreign_verdicts(self) -> None:
        foreign = [m for m in self._verdict_by_move if m not in self._tracked_by_move]
        for move_id in foreign[: max(len(foreign) - MAX_FOREIGN_VERDICTS, 0)]:
            del self._verdict_by_move[move_id]


def _same_versions(first: Move, second: Move) -> bool:
    return (first.route, first.old, first.new) == (
        second.route,
        second.old,
        second.new,
    )
