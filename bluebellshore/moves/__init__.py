"""Moves, which shift a route's traffic from one backend server version to another."""

from bluebellshore.moves.controller import MoveController, refresh_rows
from bluebellshore.moves.evidence import (
    BETWEEN_TOKENS_BOUNDS_SECONDS,
    FIRST_TOKEN_BOUNDS_SECONDS,
    FIRST_TOKEN_OVERDUE_SECONDS,
    EvidenceRecorder,
    RouteVersion,
)
from bluebellshore.moves.rows import (
    MOVE_PREFIX,
    MoveRow,
    MoveState,
    decode_row,
    encode_row,
    move_key,
)
from bluebellshore.moves.tracker import MoveStatus, MoveTracker, StepProgress

__all__ = [
    "BETWEEN_TOKENS_BOUNDS_SECONDS",
    "FIRST_TOKEN_BOUNDS_SECONDS",
    "FIRST_TOKEN_OVERDUE_SECONDS",
    "MOVE_PREFIX",
    "EvidenceRecorder",
    "MoveTracker",
    "MoveController",
    "MoveRow",
    "MoveState",
    "MoveStatus",
    "StepProgress",
    "RouteVersion",
    "decode_row",
    "encode_row",
    "move_key",
    "refresh_rows",
]
