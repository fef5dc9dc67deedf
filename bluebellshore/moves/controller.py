"""Duty that advances moves and ends them: done or taken back."""

import time
from collections.abc import Callable

import msgspec

from bluebellshore.bundle.model import Move
from bluebellshore.canary import CanaryVerdict
from bluebellshore.errors import TransactionConflictError
from bluebellshore.ids import Epoch, MoveId
from bluebellshore.moves.rows import (
    MOVE_PREFIX,
    MoveRow,
    MoveState,
    decode_row,
    encode_row,
    move_id_of,
    move_key,
)
from bluebellshore.moves.tracker import MoveTracker, StepProgress
from bluebellshore.store import ABSENT, Row, TableService, Write
from bluebellshore.wire import link_pb2

__all__ = ["ROLLBACK_RESERVE_SECONDS", "MoveController", "next_row", "refresh_rows"]

#: Time kept before the deadline in which all routers return to the old version.
ROLLBACK_RESERVE_SECONDS = 10.0
SCAN_ROWS = 1000
VERDICT_ATTEMPTS = 3


def next_row(
    move: Move,
    row: MoveRow | None,
    progress: StepProgress,
    unix_now: float,
    epoch: Epoch,
) -> MoveRow | None:
    """Decide what the controller writes.

    :param row: the row as read; None when it is absent.
    :param unix_now: Unix time in seconds.
    :return: the new row, None when it is to stay.
    """
    if row is None:
        row = MoveRow(
            move.route, move.old, move.new, move.steps[0], unix_now, epoch=epoch
        )
        return _ending(move, row, progress, unix_now) or row
    if row.state is not MoveState.MOVING or not row.matches(move) or row.epoch > epoch:
        return None
    mine = msgspec.structs.replace(row, epoch=epoch)
    ending = _ending(move, mine, progress, unix_now)
    if ending is not None:
        return ending
    if _step_is_over(move, row, progress, unix_now):
        return _advance(move, mine, unix_now)
    return mine if row.epoch < epoch else None


def _ending(
    move: Move, row: MoveRow, progress: StepProgress, unix_now: float
) -> MoveRow | None:
    """Return the row of a move that must be taken back."""
    if progress.bad_reason:
        return _taken_back(row, progress.bad_reason, unix_now)
    last_moment = move.deadline - ROLLBACK_RESERVE_SECONDS
    step_end = max(unix_now, row.step_since_unix + move.step_seconds)
    if step_end + len(_steps_left(move, row)) * move.step_seconds <= last_moment:
        return None
    reason = "the steps left do not fit before the deadline"
    if progress.requests < move.criteria.min_requests:
        wanted = move.criteria.min_requests
        reason += f"; {progress.requests} of {wanted} requests in step {row.step}"
    elif progress.assessment and progress.assessment.verdict is CanaryVerdict.DOUBTFUL:
        reason += f"; {progress.assessment.reason}"
    return _taken_back(row, reason, unix_now)


def _taken_back(row: MoveRow, reason: str, unix_now: float) -> MoveRow:
    return msgspec.structs.replace(
        row, state=MoveState.ROLLED_BACK, reason=reason, decided_at=unix_now
    )


def _steps_left(move: Move, row: MoveRow) -> list[float]:
    return [step for step in move.steps if step > row.step]


def _step_is_over(
    move: Move, row: MoveRow, progress: StepProgress, unix_now: float
) -> bool:
    if (
        progress.assessment is None
        or progress.assessment.verdict is not CanaryVerdict.GOOD
    ):
        return False
    enough = progress.requests >= move.criteria.min_requests
    return enough and unix_now - row.step_since_unix >= move.step_seconds


def _advance(move: Move, row: MoveRow, unix_now: float) -> MoveRow:
    left = _steps_left(move, row)
    if left:
        return msgspec.structs.replace(row, step=left[0], step_since_unix=unix_now)
    return msgspec.structs.replace(row, state=MoveState.DONE, decided_at=unix_now)


async def refresh_rows(table: TableService, tracker: MoveTracker) -> None:
    """Read the rows of undecided moves into the board."""
    keys = tracker.undecided_row_keys()
    if keys:
        tracker.apply_rows((await table.read(keys)).values())


class MoveController:
    """Advances the moves of the bundle in force.

    All writes are conditional on the row that the decision was made from, so two
    controllers, or one that was paused, cannot undo each other's decisions. After a
    lost answer the next round reads what the row has become.

    :param epoch: fencing number of the lease; None while it is not held.
    :param unix_clock: returns the Unix time in seconds.
    """

    def __init__(
        self,
        table: TableService,
        tracker: MoveTracker,
        epoch: Callable[[], Epoch | None],
        unix_clock: Callable[[], float] = time.time,
    ):
        self._table = table
        self._tracker = tracker
        self._epoch = epoch
        self._unix_clock = unix_clock
        self._scanned_epoch: Epoch | None = None
        self._withdrawn: list[MoveId] = []

    async def run_once(self) -> None:
        """Do one round; does nothing while the lease is not held.

        :raises bluebellshore.errors.PlatformUnavailableError: the round ended early.
        """
        epoch = self._epoch()
        if epoch is None:
            return
        rows = await self._table.read(self._tracker.undecided_row_keys())
        self._tracker.apply_rows(rows.values())
        for move_id, move in self._tracker.undecided().items():
            row = rows.get(move_key(move_id))
            progress = self._tracker.progress(move_id)
            seen = decode_row(row) if row else None
            wanted = next_row(move, seen, progress, self._unix_clock(), epoch)
            if wanted is not None:
                await self._write(move_id, row, wanted)
        await self._end_withdrawn(epoch)

    async def record_verdict(self, verdict: link_pb2.Verdict) -> None:
        """Write a bad verdict to its move's row; any router may do so.

        The latched verdict already holds here and spreads to peers; the write keeps
        a controller that has not heard of it from ending the move as done.
        """
        move_id = MoveId(verdict.move)
        key = move_key(move_id)
        for _ in range(VERDICT_ATTEMPTS):
            move = self._tracker.undecided().get(move_id)
            row = (await self._table.read([key])).get(key)
            if move is None or row is None:
                return
            seen = decode_row(row)
            if seen.state is not MoveState.MOVING or not seen.matches(move):
                return
            wanted = _taken_back(seen, verdict.reason, self._unix_clock())
            if await self._write(move_id, row, wanted):
                return

    async def _write(self, move_id: MoveId, row: Row | None, wanted: MoveRow) -> bool:
        """Write a row. :return: False when another writer was first."""
        key = move_key(move_id)
        expect = row.version if row else ABSENT
        number = max(wanted.bundle, self._tracker.bundle_number)
        wanted = msgspec.structs.replace(wanted, bundle=number)
        value = encode_row(wanted)
        try:
            versions = await self._table.transact([Write(key, expect, value)])
        except TransactionConflictError:
            return False
        self._tracker.apply_rows([Row(key, versions[key], value)])
        return True

    async def _end_withdrawn(self, epoch: Epoch) -> None:
        """End moves that are no longer in the bundle.

        A new lease holder may not have seen their bundle, and reads all rows once.
        """
        self._withdrawn += self._tracker.take_withdrawn()
        if self._withdrawn:
            keys = [move_key(move_id) for move_id in self._withdrawn]
            for row in (await self._table.read(keys)).values():
                await self._end_if_withdrawn(row, epoch)
            self._withdrawn.clear()
        after = ""
        while epoch != self._scanned_epoch:
            rows = await self._table.scan(MOVE_PREFIX, after, SCAN_ROWS)
            for row in rows:
                await self._end_if_withdrawn(row, epoch)
            if not rows:
                self._scanned_epoch = epoch
                return
            after = rows[-1].key

    async def _end_if_withdrawn(self, row: Row, epoch: Epoch) -> None:
        seen = decode_row(row)
        move_id = move_id_of(row.key)
        if seen.state is not MoveState.MOVING or self._tracker.is_declared(move_id):
            return
        if self._tracker.bundle_number <= seen.bundle:
            return
        unix_now = self._unix_clock()
        if self._tracker.serving_version(seen.route) == seen.new:
            wanted = msgspec.structs.replace(
                seen, state=MoveState.DONE, decided_at=unix_now
            )
        else:
            wanted = _taken_back(seen, "withdrawn by a later bundle", unix_now)
        await self._write(move_id, row, msgspec.structs.replace(wanted, epoch=epoch))
