"""Rows that store the progress of moves in the table service."""

from enum import Enum

import msgspec

from bluebellshore.bundle.model import Move
from bluebellshore.decoding import decode_json
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
    """State of a move; DONE and ROLLED_BACK are final."""

    MOVING = "moving"
    DONE = "done"
    ROLLED_BACK = "taken_back"


class MoveRow(msgspec.Struct, frozen=True):
    """Stored progress of a move.

    :param route: route whose traffic is shifted.
    :param old: version that serves the route when the move begins.
    :param new: version that is to serve it.
    :param step: share of requests for the new version in the present step.
    :param step_since_unix: Unix time in seconds at which the step began.
    :param reason: why the move was rolled back; empty otherwise.
    :param decided_at: Unix time in seconds of the final state; 0 while moving.
    :param epoch: fencing token of the controller that wrote the row.
    :param bundle: number of the newest bundle that its writer knew.
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
        """Return whether the row is of `move`, not of an earlier one with its id."""
        return (self.route, self.old, self.new) == (move.route, move.old, move.new)


def move_key(move_id: MoveId) -> str:
    """Return the key of a move's row in the table."""
    return MOVE_PREFIX + move_id


def move_id_of(key: str) -> MoveId:
    """Return the id of the move whose row has this key."""
    return MoveId(key.removeprefix(MOVE_PREFIX))


def encode_row(row: MoveRow) -> bytes:
    """Encode the value of a move's row."""
    return msgspec.json.encode(row)


def decode_row(row: Row) -> MoveRow:
    """Decode the value of a move's row."""
    return decode_json(row.value, MoveRow)
