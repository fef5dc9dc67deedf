"""Check a new bundle against the bundle that it replaces."""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum

import msgspec

from bluebellshore.bundle.delta import SECTIONS, diff_bundles
from bluebellshore.bundle.model import Bundle, Move
from bluebellshore.decoding import decode_json
from bluebellshore.ids import MoveId, RouteName, VersionName

__all__ = [
    "MoveOutcome",
    "OutcomeDecoder",
    "check_succession",
    "decode_outcome",
    "describe_difference",
]

MAX_LISTED_IDS = 5
#: Time before a move's deadline that the move controller reserves for a rollback.
ROLLBACK_RESERVE_SECONDS = 10.0


class MoveOutcome(Enum):
    """Whether and how a move has ended.

    The value is part of the problems that operators read.
    """

    OPEN = "open"
    DONE = "done"
    ROLLED_BACK = "taken-back"


#: Decodes the outcome of a move from the value of its row.
OutcomeDecoder = Callable[[bytes], MoveOutcome]


class _MoveRow(msgspec.Struct):
    """The part of a move's row that has its outcome."""

    state: str = "open"


def decode_outcome(value: bytes) -> MoveOutcome:
    """Decode the outcome of a move from the value of its row.

    A malformed value and an unknown state count as open.
    """
    try:
        state = decode_json(value, _MoveRow).state
        return MoveOutcome(state.replace("_", "-"))
    except (msgspec.DecodeError, ValueError):
        return MoveOutcome.OPEN


def _check_budgets(parent: Bundle, bundle: Bundle) -> Iterator[str]:
    if parent.budgets is bundle.budgets:
        return
    for budget_id, old in parent.budgets.items():
        path = f"budgets.{budget_id}"
        new = bundle.budgets.get(budget_id)
        if new is None and old.prepaid_total > 0:
            yield f"{path}: has {old.prepaid_total} prepaid tokens, cannot be removed"
        elif new is not None and new.prepaid_total < old.prepaid_total:
            change = f"{old.prepaid_total} to {new.prepaid_total}"
            yield f"{path}.prepaid_total: falls from {change}"


def _check_routes(
    parent: Bundle, bundle: Bundle, outcomes: Mapping[MoveId, MoveOutcome]
) -> Iterator[str]:
    completed_changes = {
        (move.route, move.old, move.new)
        for move_id, move in parent.moves.items()
        if outcomes.get(move_id) is MoveOutcome.DONE
    }
    for name, route in bundle.routes.items():
        old = parent.routes.get(name)
        if old is None:
            continue
        if old.kind is not route.kind:
            yield f"routes.{name}.kind: a route keeps its kind"
        if old.version == route.version:
            continue
        if (name, old.version, route.version) not in completed_changes:
            change = f"{old.version!r} to {route.version!r}"
            yield f"routes.{name}.version: {change} needs a move that is done"


def _check_existing_move(
    move_id: MoveId, old: Move, bundle: Bundle, outcome: MoveOutcome
) -> Iterator[str]:
    path = f"moves.{move_id}"
    new = bundle.moves.get(move_id)
    if new is None:
        route = bundle.routes.get(old.route)
        if outcome is MoveOutcome.DONE and route and route.version == old.old:
            yield f"{path}: is done; set routes.{old.route}.version to {old.new!r}"
        return
    if (old.route, old.old, old.new) != (new.route, new.old, new.new):
        yield f"{path}: route and versions of a move do not change"
    if outcome is not MoveOutcome.OPEN and old != new:
        yield f"{path}: is {outcome.value}; a new move needs a new id"


def _serving_version(
    bundle: Bundle, name: RouteName, outcomes: Mapping[MoveId, MoveOutcome]
) -> VersionName:
    """Return the version that serves a route.

    After a completed move, this is the move's new version, also while the
    route's `version` is still the old one.
    """
    version = bundle.routes[name].version
    for move_id, move in bundle.moves.items():
        done = outcomes.get(move_id) is MoveOutcome.DONE
        if done and (move.route, move.old) == (name, version):
            return move.new
    return version


def _check_new_move(
    move_id: MoveId,
    bundle: Bundle,
    outcomes: Mapping[MoveId, MoveOutcome],
    unix_now: float,
) -> Iterator[str]:
    path = f"moves.{move_id}"
    move = bundle.moves[move_id]
    outcome = outcomes.get(move_id, MoveOutcome.OPEN)
    if outcome is not MoveOutcome.OPEN:
        yield f"{path}: an earlier move of this id is {outcome.value}"
    needed = len(move.steps) * move.step_seconds + ROLLBACK_RESERVE_SECONDS
    left = move.deadline - unix_now
    if left <= 0:
        yield f"{path}.deadline: {move.deadline:.0f} lies in the past"
    elif left < needed:
        yield f"{path}.deadline: in {left:.0f} s, but the steps need {needed:.0f} s"
    if move.route in bundle.routes:
        version = _serving_version(bundle, move.route, outcomes)
        if version != move.old:
            yield f"{path}.old: route {move.route!r} is on version {version!r}"


def _check_moves(
    parent: Bundle | None,
    bundle: Bundle,
    outcomes: Mapping[MoveId, MoveOutcome],
    unix_now: float,
) -> Iterator[str]:
    existing = parent.moves if parent else {}
    for move_id, old in existing.items():
        outcome = outcomes.get(move_id, MoveOutcome.OPEN)
        yield from _check_existing_move(move_id, old, bundle, outcome)
    open_by_route: dict[str, MoveId] = {}
    for move_id, move in bundle.moves.items():
        outcome = outcomes.get(move_id, MoveOutcome.OPEN)
        if move_id not in existing:
            yield from _check_new_move(move_id, bundle, outcomes, unix_now)
        if outcome is MoveOutcome.OPEN:
            other_id = open_by_route.setdefault(move.route, move_id)
            if other_id != move_id:
                path = f"moves.{move_id}.route"
                yield f"{path}: route {move.route!r} has the open move {other_id!r}"


def check_succession(
    parent: Bundle | None,
    bundle: Bundle,
    outcomes: Mapping[MoveId, MoveOutcome],
    unix_now: float,
) -> list[str]:
    """Return every problem of `bundle` as the successor of `parent`.

    :param parent: the newest accepted bundle; None before the first one.
    :param outcomes: outcomes of the moves of both bundles; a missing one is open.
    :param unix_now: Unix time in seconds.
    """
    problems: list[str] = []
    if parent is not None:
        problems += _check_budgets(parent, bundle)
        problems += _check_routes(parent, bundle, outcomes)
    problems += _check_moves(parent, bundle, outcomes, unix_now)
    return problems


def describe_difference(old: Bundle, new: Bundle) -> list[str]:
    """Return the differences between two bundles, one line per section.

    A line lists at most :data:`MAX_LISTED_IDS` ids.
    """
    changes = diff_bundles(old, new)
    lines = []
    for section in SECTIONS:
        ids = sorted(getattr(changes, section))
        if ids:
            listed = ", ".join(ids[:MAX_LISTED_IDS])
            more = f" and {len(ids) - MAX_LISTED_IDS} more"
            lines.append(
                f"{section}: {listed}{more if len(ids) > MAX_LISTED_IDS else ''}"
            )
    if changes.releases is not None:
        lines.append("releases differ")
    return lines
