"""Rows of moves in the table service."""

from enum import Enum

import msgspec

from bluebellshore.bundle.model import Move
from bluebellshore.ids import BundleNumber, Epoch, MoveId, RouteName, VersionName
from bluebellshore.store import Row

__all__ = [
    "MOVE_PREFIX",
    "MoveRow",
    "MoveState",
    "decode_row",
    "encode_row",
    "move_id_of",
    "move_key",
]

MOVE_PREFIX = "move/"


class MoveState(Enum):
    """State of a move; done and taken back are final."""

    MOVING = "moving"
    DONE = "done"
    ROLLED_BACK = "taken_back"


class MoveRow(msgspec.Struct, frozen=True):
    """Progress of a move.

    :param step: share of the new version.
    :param step_since_unix: Unix time in seconds at which the step began.
    :param reason: why it was taken back; empty otherwise.
    :param decided_at: Unix time in seconds of the decision; 0 while moving.
    :param epoch: fencing number of the controller that wrote it.
    :param bundle: newest bundle known to that controller.
    """

    route: RouteName
    old: VersionName
    new: VersionName
    step: float
    step_since_unix: float
    state: MoveState = MoveState.MOVING
    reason: str = ""
    decided_at: float = 0.0
    epoch: Epoch = Epoch(0)
    bundle: BundleNumber = BundleNumber(0)

    def matches(self, move: Move) -> bool:
        """Return whether this row tells of `move` and not of an earlier one."""
        return (self.route, self.old, self.new) == (move.route, move.old, move.new)


def move_key(move_id: MoveId) -> str:
    """Return the key of a move's row."""
    return MOVE_PREFIX + move_id


def move_id_of(key: str) -> MoveId:
    """Return the move whose row has this key."""
    return MoveId(key.removeprefix(MOVE_PREFIX))


def encode_row(row: MoveRow) -> bytes:
    """Encode a row's value."""
    return msgspec.json.encode(row)


def decode_row(row: Row) -> MoveRow:
    """Decode a row's value."""
    return msgspec.json.decode(row.value, type=MoveRow)
