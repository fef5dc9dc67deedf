"""Duty that advances moves by steps until they are done or rolled back."""

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

#: Time reserved before the deadline, in which all routers return to the old version.
ROLLBACK_RESERVE_SECONDS = 10.0
SCAN_PAGE_ROWS = 1000
MAX_VERDICT_WRITES = 3


def next_row(
    move: Move,
    row: MoveRow | None,
    progress: StepProgress,
    unix_now: float,
    epoch: Epoch,
) -> MoveRow | None:
    """Return the row that the controller is to write for a move.

    :param row: the row as read; None when it is absent.
    :param unix_now: Unix time in seconds.
    :param epoch: fencing token of the controller.
    :return: None when the row is to stay as it is.
    """
    if row is None:
        row = MoveRow(
            move.route, move.old, move.new, move.steps[0], unix_now, epoch=epoch
        )
        return _rollback_if_needed(move, row, progress, unix_now) or row
    if row.state is not MoveState.MOVING or not row.matches(move) or row.epoch > epoch:
        return None
    own_row = msgspec.structs.replace(row, epoch=epoch)
    rolled_back = _rollback_if_needed(move, own_row, progress, unix_now)
    if rolled_back is not None:
        return rolled_back
    if _step_is_over(move, row, progress, unix_now):
        return _advance(move, own_row, unix_now)
    return own_row if row.epoch < epoch else None


def _rollback_if_needed(
    move: Move, row: MoveRow, progress: StepProgress, unix_now: float
) -> MoveRow | None:
    """Return the row of a move that must be rolled back; None for other moves.

    A move is rolled back after a bad verdict, or when its remaining steps would end too
    late.
    """
    if progress.bad_reason:
        return _rolled_back(row, progress.bad_reason, unix_now)
    latest_end = move.deadline - ROLLBACK_RESERVE_SECONDS
    step_end = max(unix_now, row.step_since_unix + move.step_seconds)
    if step_end + len(_remaining_steps(move, row)) * move.step_seconds <= latest_end:
        return None
    reason = "the steps left do not fit before the deadline"
    if progress.requests < move.criteria.min_requests:
        needed = move.criteria.min_requests
        reason += f"; {progress.requests} of {needed} requests in step {row.step}"
    elif progress.assessment and progress.assessment.verdict is CanaryVerdict.DOUBTFUL:
        reason += f"; {progress.assessment.reason}"
    return _rolled_back(row, reason, unix_now)


def _rolled_back(row: MoveRow, reason: str, unix_now: float) -> MoveRow:
    return msgspec.structs.replace(
        row, state=MoveState.ROLLED_BACK, reason=reason, decided_at=unix_now
    )


def _remaining_steps(move: Move, row: MoveRow) -> list[float]:
    return [step for step in move.steps if step > row.step]


def _step_is_over(
    move: Move, row: MoveRow, progress: StepProgress, unix_now: float
) -> bool:
    if (
        progress.assessment is None
        or progress.assessment.verdict is not CanaryVerdict.GOOD
    ):
        return False
    has_enough_requests = progress.requests >= move.criteria.min_requests
    return has_enough_requests and unix_now - row.step_since_unix >= move.step_seconds


def _advance(move: Move, row: MoveRow, unix_now: float) -> MoveRow:
    remaining = _remaining_steps(move, row)
    if remaining:
        return msgspec.structs.replace(row, step=remaining[0], step_since_unix=unix_now)
    return msgspec.structs.replace(row, state=MoveState.DONE, decided_at=unix_now)


async def refresh_rows(table: TableService, tracker: MoveTracker) -> None:
    """Read the rows of undecided moves and apply them to the tracker."""
    keys = tracker.undecided_row_keys()
    if keys:
        tracker.apply_rows((await table.read(keys)).values())


class MoveController:
    """Advances the moves of the active bundle.

    All writes are conditional on the row from which the decision was made, so two
    controllers, or one that was paused, cannot undo each other's decisions. After a
    write whose answer is lost, the next round reads the row as it is now.

    :param epoch: returns the fencing token of the lease; None while it is not held.
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
        """Read the rows of all undecided moves, and write what must change.

        Without the lease this does nothing.

        :raises bluebellshore.errors.PlatformUnavailableError: the table did not answer,
            and the remaining moves wait for the next round.
        """
        epoch = self._epoch()
        if epoch is None:
            return
        rows = await self._table.read(self._tracker.undecided_row_keys())
        self._tracker.apply_rows(rows.values())
        for move_id, move in self._tracker.undecided_moves().items():
            row = rows.get(move_key(move_id))
            progress = self._tracker.step_progress(move_id)
            current = decode_row(row) if row else None
            new_row = next_row(move, current, progress, self._unix_clock(), epoch)
            if new_row is not None:
                await self._write(move_id, row, new_row)
        await self._end_withdrawn(epoch)

    async def record_verdict(self, verdict: link_pb2.Verdict) -> None:
        """Write a bad verdict to its move's row; any router may do so.

        The verdict is already in effect at this router and spreads to its peers. The
        write stops a controller that has not received it from ending the move as done.
        """
        move_id = MoveId(verdict.move)
        key = move_key(move_id)
        for _ in range(MAX_VERDICT_WRITES):
            move = self._tracker.undecided_moves().get(move_id)
            row = (await self._table.read([key])).get(key)
            if move is None or row is None:
                return
            current = decode_row(row)
            if current.state is not MoveState.MOVING or not current.matches(move):
                return
            new_row = _rolled_back(current, verdict.reason, self._unix_clock())
            if await self._write(move_id, row, new_row):
                return

    async def _write(self, move_id: MoveId, row: Row | None, new_row: MoveRow) -> bool:
        """Write a row unless it has changed since it was read.

        :param row: the row as read; None when it was absent.
        :return: False when another writer has changed the row first.
        """
        key = move_key(move_id)
        expect = row.version if row else ABSENT
        bundle_number = max(new_row.bundle, self._tracker.bundle_number)
        new_row = msgspec.structs.replace(new_row, bundle=bundle_number)
        value = encode_row(new_row)
        try:
            versions = await self._table.transact([Write(key, expect, value)])
        except TransactionConflictError:
            return False
        self._tracker.apply_rows([Row(key, versions[key], value)])
        return True

    async def _end_withdrawn(self, epoch: Epoch) -> None:
        """End the undecided moves that the active bundle no longer contains.

        A move is done if the bundle serves its route by the new version; otherwise it
        is rolled back. Rows that were written with the same or a newer bundle are kept.

        A new lease holder may never have seen the bundle that contained them, so it
        scans all rows once.
        """
        self._withdrawn += self._tracker.take_withdrawn_moves()
        if self._withdrawn:
            keys = [move_key(move_id) for move_id in self._withdrawn]
            for row in (await self._table.read(keys)).values():
                await self._end_if_withdrawn(row, epoch)
            self._withdrawn.clear()
        after = ""
        while epoch != self._scanned_epoch:
            rows = await self._table.scan(MOVE_PREFIX, after, SCAN_PAGE_ROWS)
            for row in rows:
                await self._end_if_withdrawn(row, epoch)
            if not rows:
                self._scanned_epoch = epoch
                return
            after = rows[-1].key

    async def _end_if_withdrawn(self, row: Row, epoch: Epoch) -> None:
        current = decode_row(row)
        move_id = move_id_of(row.key)
        if current.state is not MoveState.MOVING or self._tracker.is_in_bundle(move_id):
            return
        if self._tracker.bundle_number <= current.bundle:
            return
        unix_now = self._unix_clock()
        if self._tracker.bundled_version(current.route) == current.new:
            new_row = msgspec.structs.replace(
                current, state=MoveState.DONE, decided_at=unix_now
            )
        else:
            new_row = _rolled_back(current, "withdrawn by a later bundle", unix_now)
        await self._write(move_id, row, msgspec.structs.replace(new_row, epoch=epoch))
