"""Recovers the allotments of earlier incarnations of an instance."""

import asyncio
import math
import random
from collections.abc import Callable

import msgspec

from bluebellshore.budget.rows import (
    INCARNATION_PREFIX,
    Allotment,
    BudgetRow,
    IncarnationRow,
    IncarnationState,
    budget_key,
    decode_row,
    encode_row,
    incarnation_key,
)
from bluebellshore.budget.unbilled import BudgetTotals, SettledAbsence, UnbilledReason
from bluebellshore.errors import TransactionConflictError
from bluebellshore.ids import BudgetId, Epoch, IncarnationId, InstanceId, Tokens
from bluebellshore.store.interface import (
    MAX_TRANSACTION_WRITES,
    Row,
    StoreTime,
    TableService,
    Write,
)

__all__ = ["PredecessorRecovery", "RecoveredIncarnation"]

SCAN_PAGE_ROWS = 500
#: Budgets settled in one transaction, which writes the incarnation's row too.
MAX_BATCH_BUDGETS = MAX_TRANSACTION_WRITES - 1
#: Longest delays after the first conflict and after many.
INITIAL_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 0.3


class RecoveredIncarnation(msgspec.Struct):
    """Result of the recovery of one earlier incarnation.

    :param spent: tokens counted as spent, by budget.
    :param returned: tokens returned to their budgets, by budget.
    """

    incarnation: IncarnationId
    spent: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    returned: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)


class _SentBatch(msgspec.Struct, frozen=True):
    """A transaction whose answer is not known yet.

    :param recoveries: number of recoveries in the incarnation's row once it is
        committed.
    :param seen_seconds: last contact of the incarnation with the store.
    """

    absence: SettledAbsence
    recoveries: int
    seen_seconds: float


class PredecessorRecovery:
    """Fences earlier incarnations of an instance and settles their allotments.

    At most one process runs under an instance's id at a time, so that all its other
    incarnations are dead. The tokens that such an incarnation may have spent without a
    bill count as spent: those up to its cap or, if the caps may have lapsed before it
    died, its whole allotment. The others are returned. Its row is deleted in the
    transaction that settles the last of its budgets. A transaction that it sent before
    it died therefore cannot take effect later.

    :param own: the incarnation of this process.
    :param store_time: returns the newest time that the store reported to this process,
        None for none.
    :param rng: source of jitter.
    :param started_at: local monotonic time at which this process was already running;
        infinite if unknown. The earlier incarnations were dead by then.
    """

    def __init__(
        self,
        table: TableService,
        own: IncarnationId,
        instance_id: InstanceId,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        rng: random.Random | None = None,
        started_at: float = math.inf,
    ):
        #: Called once with each transaction that is known to be committed.
        self.on_settled: Callable[[SettledAbsence], None] = lambda absence: None
        self._sent_batch: _SentBatch | None = None
        self._started_at = started_at
        self._rng = rng or random.Random()
        self._store_time = store_time
        self._died_before: float | None = None
        self._caps_hold = True
        self._table = table
        self._own = own
        self._instance_id = instance_id

    async def recover(self, *, caps_hold: bool = True) -> list[RecoveredIncarnation]:
        """Recover all earlier incarnations.

        :param caps_hold: whether the caps in their rows bound what they spent. They
            don't in rows that came back with an older copy of the store.
        :return: those that had not closed their rows.
        :raises PlatformError: the platform did not answer; another call continues.
        """
        self._caps_hold = caps_hold
        recovered = []
        await self._resolve_sent_batch()
        rows = await self._incarnation_rows()
        if self._died_before is None and (store_time := self._store_time()):
            # An upper bound of the store's time when this process started.
            self._died_before = store_time.latest_at(self._started_at)
        for row in rows:
            incarnation_row = decode_row(row, IncarnationRow)
            incarnation = IncarnationId(row.key.removeprefix(INCARNATION_PREFIX))
            if (
                incarnation_row.instance_id != self._instance_id
                or incarnation == self._own
            ):
                continue
            result = RecoveredIncarnation(incarnation)
            await self._recover_one(result)
            if incarnation_row.state is not IncarnationState.CLOSED:
                recovered.append(result)
        return recovered

    async def _incarnation_rows(self) -> list[Row]:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._table.scan(INCARNATION_PREFIX, after, SCAN_PAGE_ROWS)
            rows += page
            if len(page) < SCAN_PAGE_ROWS:
                return rows
            after = page[-1].key

    async def _recover_one(self, result: RecoveredIncarnation) -> None:
        batch_size, backoff = MAX_BATCH_BUDGETS, INITIAL_BACKOFF_SECONDS
        while True:
            try:
                if await self._settle_batch(result, batch_size):
                    return
                backoff = INITIAL_BACKOFF_SECONDS
            except TransactionConflictError:  # other routers write the budgets' rows
                self._sent_batch = None
                batch_size = max(1, batch_size // 2)
                await asyncio.sleep(self._rng.uniform(0, backoff))
                backoff = min(MAX_BACKOFF_SECONDS, backoff * 2)

    async def _settle_batch(
        self, result: RecoveredIncarnation, batch_size: int
    ) -> bool:
        """Settle some budgets of an earlier incarnation.

        :return: whether all its budgets are settled.
        """
        key = incarnation_key(result.incarnation)
        row = (await self._table.read([key])).get(key)
        incarnation_row = decode_row(row, IncarnationRow)
        if incarnation_row is None:
            return True
        rows_by_budget = await self._budget_rows(result.incarnation, incarnation_row)
        spent: dict[BudgetId, Tokens] = {}
        returned: dict[BudgetId, Tokens] = {}
        totals: dict[BudgetId, BudgetTotals] = {}
        writes = []
        for budget, (stored, budget_row) in list(rows_by_budget.items())[:batch_size]:
            own = budget_row.allotments.pop(result.incarnation)
            spent[budget] = self._spent_at_most(own, budget, incarnation_row)
            returned[budget] = Tokens(own.outstanding - spent[budget])
            budget_row.settled = Tokens(budget_row.settled + spent[budget])
            totals[budget] = budget_row.totals()
            writes.append(Write(stored.key, stored.version, encode_row(budget_row)))
        done = len(writes) == len(rows_by_budget)
        incarnation_row.state = IncarnationState.FENCED
        incarnation_row.epoch = Epoch(incarnation_row.epoch + 1)
        incarnation_row.recoveries += 1
        incarnation_write = Write(
            key, row.version, None if done else encode_row(incarnation_row)
        )
        absence = SettledAbsence(
            result.incarnation,
            self._unbilled_reason(incarnation_row),
            self._seconds_since(incarnation_row.seen_seconds, self._died_before),
            None,
            incarnation_row.lapse_seconds,
            spent,
            returned,
            incarnation_row.caps,
            incarnation_row.growth,
            totals,
        )
        self._sent_batch = _SentBatch(
            absence, incarnation_row.recoveries, incarnation_row.seen_seconds
        )
        await self._table.transact([incarnation_write, *writes])
        self._report_sent_batch()
        result.spent |= spent
        result.returned |= returned
        return done

    def _spent_at_most(
        self, own: Allotment, budget: BudgetId, incarnation_row: IncarnationRow
    ) -> Tokens:
        if self._unbilled_reason(incarnation_row) is not UnbilledReason.WITHIN_CAPS:
            return own.outstanding
        return min(own.outstanding, incarnation_row.cap_at(budget, self._died_before))

    def _unbilled_reason(self, incarnation_row: IncarnationRow) -> UnbilledReason:
        """Return what decides how many tokens count as spent."""
        if not self._caps_hold:
            return UnbilledReason.STORE_RESTORED
        if not incarnation_row.caps_hold(self._died_before):
            absent = self._seconds_since(
                incarnation_row.seen_seconds, self._died_before
            )
            if absent is None or absent < 0:
                return UnbilledReason.TIME_UNKNOWN
            return UnbilledReason.CAPS_LAPSED
        return UnbilledReason.WITHIN_CAPS

    @staticmethod
    def _seconds_since(
        seen_seconds: float, store_seconds: float | None
    ) -> float | None:
        """Return the time since an incarnation's last contact, None if unknown."""
        if store_seconds is None or not seen_seconds:
            return None
        return store_seconds - seen_seconds

    def _report_sent_batch(self) -> None:
        """Report the transaction that was sent last as committed."""
        sent, self._sent_batch = self._sent_batch, None
        store_time = self._store_time()
        now = store_time and store_time.store_seconds
        away = self._seconds_since(sent.seen_seconds, now)
        self.on_settled(msgspec.structs.replace(sent.absence, away_seconds=away))

    async def _resolve_sent_batch(self) -> None:
        """Find out whether a transaction without an answer was committed.

        Its row then shows the number of the recovery, or is gone.
        """
        if self._sent_batch is None:
            return
        key = incarnation_key(self._sent_batch.absence.incarnation)
        row = (await self._table.read([key])).get(key)
        incarnation_row = decode_row(row, IncarnationRow)
        if (
            incarnation_row is None
            or incarnation_row.recoveries >= self._sent_batch.recoveries
        ):
            self._report_sent_batch()
        else:
            self._sent_batch = None

    async def _budget_rows(
        self, incarnation: IncarnationId, incarnation_row: IncarnationRow
    ) -> dict[BudgetId, tuple[Row, BudgetRow]]:
        """Return the rows, stored and decoded, with allotments of the incarnation."""
        rows = await self._table.read(
            [budget_key(budget) for budget in incarnation_row.caps]
        )
        rows_by_budget = {}
        for budget in incarnation_row.caps:
            row = rows.get(budget_key(budget))
            budget_row = decode_row(row, BudgetRow)
            if budget_row is not None and incarnation in budget_row.allotments:
                rows_by_budget[budget] = (row, budget_row)
        return rows_by_budget
