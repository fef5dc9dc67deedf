"""Recovers what the allotments of dead incarnations still hold."""

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
MAX_CONFLICTS = 20
PAGE_ROWS = 500


class SidecarPeers(Protocol):
    """Sidecars, as a router reaches them."""

    async def connected(self, incarnation: IncarnationId) -> bool | None:
        """Whether any sidecar holds a live link of a router incarnation."""

    async def fence(
        self, sidecar: IncarnationId, incarnation: IncarnationId
    ) -> list[Receipt] | None:
        """Have a sidecar refuse a router incarnation for good.

        :return: receipts not acknowledged yet; None without a confirmation.
        """


class ReclaimReport(msgspec.Struct):
    """What one run did.

    :param held: tokens still held for lost incarnations, by budget.
    """

    fenced: list[IncarnationId] = msgspec.field(default_factory=list)
    confirmed: int = 0
    bills: int = 0
    returned: int = 0
    held: dict[BudgetId, int] = msgspec.field(default_factory=dict)


class _Sighting(msgspec.Struct):
    version: int
    at: float


class Reclaimer:
    """Fences incarnations whose heartbeat stands still and returns their tokens.

    Every write is conditional on the dead incarnation's row, so that any number of
    reclaimers may run at once.

    :param own: incarnation of this router, which is never reclaimed.
    :param releases: operators' releases in the bundle in force.
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
        #: Called with a sidecar and the attempts whose bills the ledger has.
        self.on_settled: Callable[[IncarnationId, list[str]], None] = lambda *_: None
        self.clamped = 0
        self._table = table
        self._own = own
        self._peers = peers
        self._releases = releases
        self._reclaim_after_seconds = reclaim_after_seconds
        self._clock = clock
        self._seen: dict[IncarnationId, _Sighting] = {}

    async def run_once(self) -> ReclaimReport:
        """Look at all incarnations once.

        :raises PlatformError: the platform gave no answer; a later run goes on.
        """
        report = ReclaimReport()
        try:
            rows = await self._incarnations()
            for incarnation, row in rows.items():
                await self._visit(incarnation, row, report)
        except PlatformError:
            self._seen.clear()  # heartbeats cannot be seen during an outage
            raise
        self._seen = {key: seen for key, seen in self._seen.items() if key in rows}
        return report

    async def _incarnations(self) -> dict[IncarnationId, Row]:
        rows: dict[IncarnationId, Row] = {}
        after = ""
        while True:
            page = await self._table.scan(INCARNATION_PREFIX, after, PAGE_ROWS)
            for row in page:
                incarnation = row.key.removeprefix(INCARNATION_PREFIX)
                rows[IncarnationId(incarnation)] = row
            if len(page) < PAGE_ROWS:
                rows.pop(self._own, None)
                return rows
            after = page[-1].key

    def _stale(self, incarnation: IncarnationId, row: Row) -> bool:
        now = self._clock()
        seen = self._seen.get(incarnation)
        if seen is None or seen.version != row.version:
            self._seen[incarnation] = _Sighting(row.version, now)
            return False
        return now - seen.at >= self._reclaim_after_seconds

    async def _visit(
        self, incarnation: IncarnationId, row: Row, report: ReclaimReport
    ) -> None:
        value = decode_row(row, IncarnationRow)
        if value.state is IncarnationState.CLOSED:
            if self._stale(incarnation, row):
                await self._try([Write(row.key, row.version, None)])
            return
        if value.state is IncarnationState.LIVE:
            if not self._stale(incarnation, row):
                return
            if await self._peers.connected(incarnation) is not False:
                return
            if not await self._fence(row, value):
                return
            report.fenced.append(incarnation)
        await self._recover(incarnation, report)

    async def _fence(self, row: Row, value: IncarnationRow) -> bool:
        value.state = IncarnationState.FENCED
        value.epoch = Epoch(value.epoch + 1)
        fenced = await self._try([Write(row.key, row.version, encode_row(value))])
        if fenced:
            eliot.log_message("incarnation_fenced", incarnation=row.key)
        return fenced

    async def _try(self, writes: list[Write]) -> bool:
        try:
            await self._table.transact(writes)
        except TransactionConflictError:
            return False
        return True

    async def _recover(self, incarnation: IncarnationId, report: ReclaimReport) -> None:
        """Settle and return what can be accounted for by now."""
        row = await self._read(incarnation_key(incarnation))
        value = decode_row(row, IncarnationRow)
        if value is None or value.state is not IncarnationState.FENCED:
            return
        sidecars = list(value.sidecars)
        replies = await asyncio.gather(
            *(self._peers.fence(sidecar, incarnation) for sidecar in sidecars)
        )
        for sidecar, receipts in zip(sidecars, replies, strict=True):
            if receipts is not None:
                await self._confirm(incarnation, sidecar, receipts, report)
        rest = RecoveryTransaction(
            self._table, incarnation, self._released(incarnation)
        )
        if await self._commit(rest, report):
            for budget, tokens in rest.held.items():
                report.held[budget] = report.held.get(budget, 0) + tokens

    def _released(self, incarnation: IncarnationId) -> set[BudgetId]:
        return {
            release.budget
            for release in self._releases()
            if release.incarnation == incarnation
        }

    async def _confirm(
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
                self._released(incarnation),
                sidecar=sidecar,
                receipts=batch,
                last=not pending,
            )
            if not await self._commit(recovery, report):
                return
            if not pending:
                break
        report.confirmed += 1
        self.on_settled(sidecar, settled)

    async def _commit(
        self, recovery: RecoveryTransaction, report: ReclaimReport
    ) -> bool:
        """Commit, again after conflicts. :return: False when they go on."""
        conflicts = 0
        while conflicts < MAX_CONFLICTS:
            writes = await recovery.compose()
            if not writes:
                return True
            if not await self._try(writes):
                conflicts += 1
                continue
            report.bills += len(recovery.bills)
            report.returned += recovery.returned
            self.clamped += recovery.clamped
            if not recovery.partial:
                return True
        return False

    async def _read(self, key: str) -> Row | None:
        return (await self._table.read([key])).get(key)
