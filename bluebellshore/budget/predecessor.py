"""Recovers the allotments of earlier lives of an instance."""

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

PAGE_ROWS = 500
#: Budgets settled in one transaction at most, beside the incarnation's row.
BATCH_BUDGETS = MAX_TRANSACTION_WRITES - 1
#: Longest pauses after a first and after many conflicts.
PAUSE_SECONDS = 0.02
MAX_PAUSE_SECONDS = 0.3


class RecoveredIncarnation(msgspec.Struct):
    """What became of one predecessor.

    :param spent: tokens counted as spent, by budget.
    :param returned: tokens that may be granted again, by budget.
    """

    incarnation: IncarnationId
    spent: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    returned: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)


class PredecessorRecovery:
    """Fences earlier incarnations of an instance and settles what they held.

    Whoever runs under an instance's id is its only process, so each other incarnation
    of it is dead. What it may have spent without a bill, its cap, counts as spent.
    Its row goes in the transaction that settles the last of its budgets: what it sent
    before it died can't take effect afterwards.

    :param own: the incarnation that lives.
    :param store_time: the store's time, as an answer to this process told it.
    :param rng: source of jitter.
    :param started_at: monotonic time at which this process was there already.
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
        self._started_at = started_at
        self._rng = rng or random.Random()
        self._store_time = store_time
        self._died_before: float | None = None
        self._table = table
        self._own = own
        self._instance_id = instance_id

    async def recover(self) -> list[RecoveredIncarnation]:
        """Recover all predecessors.

        :return: those that were live.
        :raises PlatformError: the platform gave no answer; a later run goes on.
        """
        recovered = []
        rows = await self._rows()
        if self._died_before is None and (seen := self._store_time()):
            # The store's clock when this process began, at the latest.
            self._died_before = seen.latest_at(self._started_at)
        for row in rows:
            value = decode_row(row, IncarnationRow)
            incarnation = IncarnationId(row.key.removeprefix(INCARNATION_PREFIX))
            if value.instance_id != self._instance_id or incarnation == self._own:
                continue
            report = RecoveredIncarnation(incarnation)
            await self._recover(report)
            if value.state is not IncarnationState.CLOSED:
                recovered.append(report)
        return recovered

    async def _rows(self) -> list[Row]:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._table.scan(INCARNATION_PREFIX, after, PAGE_ROWS)
            rows += page
            if len(page) < PAGE_ROWS:
                return rows
            after = page[-1].key

    async def _recover(self, report: RecoveredIncarnation) -> None:
        size, pause = BATCH_BUDGETS, PAUSE_SECONDS
        while True:
            try:
                if await self._settle_some(report, size):
                    return
                pause = PAUSE_SECONDS
            except TransactionConflictError:  # the budgets' rows are busy
                size = max(1, size // 2)
                await asyncio.sleep(self._rng.uniform(0, pause))
                pause = min(MAX_PAUSE_SECONDS, pause * 2)

    async def _settle_some(self, report: RecoveredIncarnation, size: int) -> bool:
        """Settle some budgets. :return: whether nothing is left to do."""
        key = incarnation_key(report.incarnation)
        row = (await self._table.read([key])).get(key)
        value = decode_row(row, IncarnationRow)
        if value is None:
            return True
        budgets = await self._held(report.incarnation, value)
        spent: dict[BudgetId, Tokens] = {}
        returned: dict[BudgetId, Tokens] = {}
        writes = []
        for budget, (budget_row, held) in list(budgets.items())[:size]:
            own = held.allotments.pop(report.incarnation)
            spent[budget] = self._spent_at_most(own, budget, value)
            returned[budget] = Tokens(own.outstanding - spent[budget])
            held.settled = Tokens(held.settled + spent[budget])
            writes.append(Write(budget_row.key, budget_row.version, encode_row(held)))
        done = len(writes) == len(budgets)
        value.state = IncarnationState.FENCED
        value.epoch = Epoch(value.epoch + 1)
        value.recoveries += 1
        own_write = Write(key, row.version, None if done else encode_row(value))
        await self._table.transact([own_write, *writes])
        report.spent |= spent
        report.returned |= returned
        return done

    def _spent_at_most(
        self, own: Allotment, budget: BudgetId, value: IncarnationRow
    ) -> Tokens:
        if not value.caps_hold(self._died_before):
            return own.outstanding
        return min(own.outstanding, value.cap_at(budget, self._died_before))

    async def _held(
        self, incarnation: IncarnationId, value: IncarnationRow
    ) -> dict[BudgetId, tuple[Row, BudgetRow]]:
        """Return the rows in which the incarnation has an allotment."""
        rows = await self._table.read([budget_key(budget) for budget in value.caps])
        held = {}
        for budget in value.caps:
            row = rows.get(budget_key(budget))
            budget_row = decode_row(row, BudgetRow)
            if budget_row is not None and incarnation in budget_row.allotments:
                held[budget] = (row, budget_row)
        return held
