"""Fences dead incarnations and returns the tokens of their allotments."""

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import eliot
import msgspec

from bluebellshore.budget.recovery import RecoveryTransaction
from bluebellshore.budget.rows import (
    INCARNATION_PREFIX,
    IncarnationRow,
    IncarnationState,
    decode_row,
    encode_row,
    incarnation_key,
)
from bluebellshore.budget.transaction_builder import MAX_BATCH_BILLS
from bluebellshore.bundle.model import Release
from bluebellshore.errors import PlatformError, TransactionConflictError
from bluebellshore.ids import BudgetId, Epoch, IncarnationId
from bluebellshore.store.interface import Row, TableService, Write
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["ReclaimReport", "Reclaimer", "SidecarPeers"]

RECLAIM_AFTER_SECONDS = 15.0
MAX_COMMIT_CONFLICTS = 20
SCAN_PAGE_ROWS = 500


class SidecarPeers(Protocol):
    """Calls to sidecars, as a router makes them."""

    async def connected(self, incarnation: IncarnationId) -> bool | None:
        """Return whether any sidecar has a live link to a router incarnation.

        :return: None when it is unknown.
        """

    async def fence(
        self, sidecar: IncarnationId, incarnation: IncarnationId
    ) -> list[Receipt] | None:
        """Make a sidecar refuse a router incarnation permanently.

        :return: the receipts that are not acknowledged yet, None if the sidecar did not
            confirm the fence.
        """


class ReclaimReport(msgspec.Struct):
    """Result of one run of a reclaimer.

    :param fenced: incarnations that the run fenced.
    :param confirmed: number of sidecars that confirmed a fence.
    :param bills: number of bills settled.
    :param returned: number of tokens returned to budgets.
    :param held: tokens still held for lost incarnations, by budget.
    """

    fenced: list[IncarnationId] = msgspec.field(default_factory=list)
    confirmed: int = 0
    bills: int = 0
    returned: int = 0
    held: dict[BudgetId, int] = msgspec.field(default_factory=dict)


class _ObservedVersion(msgspec.Struct):
    """Version of an incarnation's row, and the local time of its first observation."""

    version: int
    observed_at: float


class Reclaimer:
    """Fences incarnations without a heartbeat and returns their tokens.

    Every write is conditional on the version of the dead incarnation's row. Any number
    of reclaimers may therefore run at once.

    :ivar clamped_bills: number of bills reduced to the tokens that were held.
    :param own: incarnation of this router, which is never reclaimed.
    :param releases: returns the operators' releases of held tokens in the current
        bundle.
    :param reclaim_after_seconds: time without a change of an incarnation's row after
        which the incarnation may be fenced.
    """

    def __init__(
        self,
        table: TableService,
        own: IncarnationId,
        peers: SidecarPeers,
        *,
        releases: Callable[[], Sequence[Release]] = tuple,
        reclaim_after_seconds: float = RECLAIM_AFTER_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ):
        #: Called with a sidecar and the attempts whose receipts may be acknowledged.
        self.on_settled: Callable[[IncarnationId, list[str]], None] = lambda *_: None
        self.clamped_bills = 0
        self._table = table
        self._own = own
        self._peers = peers
        self._releases = releases
        self._reclaim_after_seconds = reclaim_after_seconds
        self._clock = clock
        self._observed_by_incarnation: dict[IncarnationId, _ObservedVersion] = {}

    async def run_once(self) -> ReclaimReport:
        """Check all other incarnations once, and reclaim those that are dead.

        :raises PlatformError: the platform did not answer; a later run continues.
        """
        report = ReclaimReport()
        try:
            rows = await self._incarnation_rows()
            for incarnation, row in rows.items():
                await self._reclaim_if_dead(incarnation, row, report)
        except PlatformError:
            self._observed_by_incarnation.clear()  # an outage hides heartbeats
            raise
        self._observed_by_incarnation = {
            key: observed
            for key, observed in self._observed_by_incarnation.items()
            if key in rows
        }
        return report

    async def _incarnation_rows(self) -> dict[IncarnationId, Row]:
        rows: dict[IncarnationId, Row] = {}
        after = ""
        while True:
            page = await self._table.scan(INCARNATION_PREFIX, after, SCAN_PAGE_ROWS)
            for row in page:
                incarnation = row.key.removeprefix(INCARNATION_PREFIX)
                rows[IncarnationId(incarnation)] = row
            if len(page) < SCAN_PAGE_ROWS:
                rows.pop(self._own, None)
                return rows
            after = page[-1].key

    def _is_stale(self, incarnation: IncarnationId, row: Row) -> bool:
        now = self._clock()
        observed = self._observed_by_incarnation.get(incarnation)
        if observed is None or observed.version != row.version:
            self._observed_by_incarnation[incarnation] = _ObservedVersion(
                row.version, now
            )
            return False
        return now - observed.observed_at >= self._reclaim_after_seconds

    async def _reclaim_if_dead(
        self, incarnation: IncarnationId, row: Row, report: ReclaimReport
    ) -> None:
        value = decode_row(row, IncarnationRow)
        if value.state is IncarnationState.CLOSED:
            if self._is_stale(incarnation, row):
                await self._try_transact([Write(row.key, row.version, None)])
            return
        if value.state is IncarnationState.LIVE:
            if not self._is_stale(incarnation, row):
                return
            if await self._peers.connected(incarnation) is not False:
                return
            if not await self._fence(row, value):
                return
            report.fenced.append(incarnation)
        await self._recover_fenced(incarnation, report)

    async def _fence(self, row: Row, value: IncarnationRow) -> bool:
        value.state = IncarnationState.FENCED
        value.epoch = Epoch(value.epoch + 1)
        fenced = await self._try_transact(
            [Write(row.key, row.version, encode_row(value))]
        )
        if fenced:
            eliot.log_message("incarnation_fenced", incarnation=row.key)
        return fenced

    async def _try_transact(self, writes: list[Write]) -> bool:
        try:
            await self._table.transact(writes)
        except TransactionConflictError:
            return False
        return True

    async def _recover_fenced(
        self, incarnation: IncarnationId, report: ReclaimReport
    ) -> None:
        """Settle the receipts of sidecars that confirm a fence, and return tokens.

        Tokens that other sidecars may have spent stay held.
        """
        row = await self._read_row(incarnation_key(incarnation))
        value = decode_row(row, IncarnationRow)
        if value is None or value.state is not IncarnationState.FENCED:
            return
        sidecars = list(value.sidecars)
        replies = await asyncio.gather(
            *(self._peers.fence(sidecar, incarnation) for sidecar in sidecars)
        )
        for sidecar, receipts in zip(sidecars, replies, strict=True):
            if receipts is not None:
                await self._settle_receipts(incarnation, sidecar, receipts, report)
        remainder = RecoveryTransaction(
            self._table, incarnation, self._released_budgets(incarnation)
        )
        if await self._commit_recovery(remainder, report):
            for budget, tokens in remainder.held.items():
                report.held[budget] = report.held.get(budget, 0) + tokens

    def _released_budgets(self, incarnation: IncarnationId) -> set[BudgetId]:
        return {
            release.budget
            for release in self._releases()
            if release.incarnation == incarnation
        }

    async def _settle_receipts(
        self,
        incarnation: IncarnationId,
        sidecar: IncarnationId,
        receipts: list[Receipt],
        report: ReclaimReport,
    ) -> None:
        settled = [receipt.attempt for receipt in receipts]
        pending = list(receipts)
        while True:
            batch, pending = pending[:MAX_BATCH_BILLS], pending[MAX_BATCH_BILLS:]
            recovery = RecoveryTransaction(
                self._table,
                incarnation,
                self._released_budgets(incarnation),
                sidecar=sidecar,
                receipts=batch,
                last_batch=not pending,
            )
            if not await self._commit_recovery(recovery, report):
                return
            if not pending:
                break
        report.confirmed += 1
        self.on_settled(sidecar, settled)

    async def _commit_recovery(
        self, recovery: RecoveryTransaction, report: ReclaimReport
    ) -> bool:
        """Commit a recovery, in several transactions where needed; retry conflicts.

        :return: False when too many transactions conflict.
        """
        conflicts = 0
        while conflicts < MAX_COMMIT_CONFLICTS:
            writes = await recovery.build()
            if not writes:
                return True
            if not await self._try_transact(writes):
                conflicts += 1
                continue
            report.bills += len(recovery.bills)
            report.returned += recovery.returned
            self.clamped_bills += recovery.clamped_bills
            if not recovery.partial:
                return True
        return False

    async def _read_row(self, key: str) -> Row | None:
        return (await self._table.read([key])).get(key)
