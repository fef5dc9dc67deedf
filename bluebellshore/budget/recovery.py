"""Transactions that recover the tokens of a fenced incarnation."""

import sys

import msgspec

from bluebellshore.budget.rows import (
    Allotment,
    Bill,
    BillMarker,
    BudgetRow,
    IncarnationRow,
    IncarnationState,
    LedgerRow,
    bill_key,
    budget_key,
    decode_row,
    encode_row,
    incarnation_key,
    is_caller_keyed,
    ledger_key,
    ledger_prefix,
)
from bluebellshore.decoding import decode_json
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import (
    ABSENT,
    MAX_TRANSACTION_WRITES,
    Row,
    TableService,
    Write,
)
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["RecoveryTransaction"]

SCAN_PAGE_ROWS = 500
#: Writes of each transaction to the incarnation's row and the ledger.
INCARNATION_WRITES = 2


class RecoveryTransaction:
    """Builds transactions that settle receipts and return tokens that were not spent.

    The attributes describe the transaction that was built last.

    :ivar bills: bills that the transaction settles.
    :ivar held: tokens that stay held for the incarnation, by budget.
    :ivar returned: number of tokens returned.
    :ivar clamped_bills: number of bills reduced to the tokens held, or left out because
        the budget has no allotment of the incarnation.
    :ivar partial: whether budgets were left to another transaction because they did not
        fit.
    :param released: budgets whose held tokens an operator released.
    :param sidecar: sidecar that handed over the receipts, None for none.
    :param receipts: receipts to settle, at most
        :data:`~bluebellshore.budget.transaction_builder.MAX_BATCH_BILLS`.
    :param last_batch: whether these are the last receipts of the sidecar, which is then
        removed from the incarnation's row.
    """

    def __init__(
        self,
        table: TableService,
        incarnation: IncarnationId,
        released: set[BudgetId],
        *,
        sidecar: IncarnationId | None = None,
        receipts: list[Receipt] | None = None,
        last_batch: bool = True,
    ):
        self.bills: list[Bill] = []
        self.held: dict[BudgetId, int] = {}
        self.returned = 0
        self.clamped_bills = 0
        self.partial = False
        self._table = table
        self._incarnation = incarnation
        self._released = released
        self._sidecar = sidecar
        self._receipts = receipts or []
        self._last_batch = last_batch

    async def build(self) -> list[Write]:
        """Return the writes of the transaction, none when nothing is left to do."""
        key = incarnation_key(self._incarnation)
        # The row is read before the ledger: a bill that the router writes in between
        # changes the row, so that the transaction conflicts.
        row = (await self._table.read([key])).get(key)
        incarnation_row = decode_row(row, IncarnationRow)
        if (
            incarnation_row is None
            or incarnation_row.state is not IncarnationState.FENCED
        ):
            return []
        if self._sidecar is not None and self._sidecar not in incarnation_row.sidecars:
            return []
        rows = await self._table.read([budget_key(b) for b in incarnation_row.caps])
        missing_bills = await self._missing_bills()
        listed_sidecars = list(incarnation_row.sidecars)
        sidecar_removed = self._last_batch and self._sidecar in incarnation_row.sidecars
        if sidecar_removed:
            incarnation_row.sidecars.remove(self._sidecar)
        writes = self._budget_writes(incarnation_row, rows, missing_bills)
        if self.partial:
            # The sidecar stays in the row until all budgets are settled.
            sidecar_removed, incarnation_row.sidecars = False, listed_sidecars
        done = not self.held and not self.partial
        if not (writes or sidecar_removed or done):
            return []
        incarnation_row.recoveries += 1
        writes += self._bill_writes(incarnation_row)
        return [
            Write(key, row.version, None if done else encode_row(incarnation_row)),
            *writes,
        ]

    async def _missing_bills(self) -> list[Bill]:
        """Return bills for the receipts that are not in the ledger.

        An attempt that used no tokens is not billed: its bill would prevent the bill of
        a retry of the same request.
        """
        if not self._receipts:
            return []
        billed_attempts = await self._billed_attempts()
        bills_by_key: dict[str, Bill] = {}
        for receipt in self._receipts:
            if not receipt.tokens:
                continue
            bill = Bill.from_receipt(receipt, Tokens(receipt.reserved_tokens))
            if bill.attempt not in billed_attempts:
                bills_by_key.setdefault(bill.key, bill)
        marker_keys = [bill_key(key) for key in bills_by_key if is_caller_keyed(key)]
        markers = await self._table.read(marker_keys) if marker_keys else {}
        return [b for key, b in bills_by_key.items() if bill_key(key) not in markers]

    async def _billed_attempts(self) -> set[str]:
        if all(is_caller_keyed(receipt.key) for receipt in self._receipts):
            return set()  # markers show which requests are billed
        attempts: set[str] = set()
        prefix, after = ledger_prefix(self._incarnation), ""
        while True:
            page = await self._table.scan(prefix, after, SCAN_PAGE_ROWS)
            for row in page:
                ledger = decode_json(row.value, LedgerRow)
                attempts.update(bill.attempt for bill in ledger.bills)
            if len(page) < SCAN_PAGE_ROWS:
                return attempts
            after = page[-1].key

    def _budget_writes(
        self,
        incarnation_row: IncarnationRow,
        rows: dict[str, Row],
        missing_bills: list[Bill],
    ) -> list[Write]:
        self.bills, self.held = [], {}
        self.returned = self.clamped_bills = 0
        self.partial = False
        max_writes = MAX_TRANSACTION_WRITES - INCARNATION_WRITES - len(missing_bills)
        writes = []
        for budget in incarnation_row.caps:
            if len(writes) == max_writes:
                self.partial = True
                break
            row = rows.get(budget_key(budget))
            budget_row = decode_row(row, BudgetRow)
            if budget_row is None:
                continue
            bills = [bill for bill in missing_bills if bill.budget == budget]
            max_spent = incarnation_row.caps[budget] * len(incarnation_row.sidecars)
            if not incarnation_row.caps_hold(None):
                max_spent = sys.maxsize
            if self._settle_budget(budget, budget_row, bills, max_spent):
                encoded = encode_row(budget_row)
                writes.append(Write(row.key, row.version, encoded))
        return writes

    def _settle_budget(
        self, budget: BudgetId, row: BudgetRow, bills: list[Bill], max_spent: int
    ) -> bool:
        """Settle bills, and return the tokens that no sidecar may have spent.

        :param max_spent: the most that sidecars which have not confirmed the
            fence may have spent.
        :return: whether the budget's row changed.
        """
        own = row.allotments.get(self._incarnation)
        if own is None:
            self.clamped_bills += len(bills)
            return False
        before = msgspec.structs.replace(own)
        for bill in bills:
            self._add_bill(bill, row, own)
        if budget in self._released:
            max_spent = 0
        held = min(own.outstanding, max_spent) if self._last_batch else own.outstanding
        self.returned += own.outstanding - held
        own.outstanding, own.held, own.wanted = Tokens(held), True, Tokens(0)
        if held:
            self.held[budget] = held
        else:
            del row.allotments[self._incarnation]
        return own != before or not held

    def _add_bill(self, bill: Bill, row: BudgetRow, own: Allotment) -> None:
        tokens = Tokens(min(bill.tokens, own.outstanding))
        self.clamped_bills += tokens < bill.tokens
        self.bills.append(msgspec.structs.replace(bill, tokens=tokens))
        row.settled += tokens
        own.outstanding -= tokens

    def _bill_writes(self, incarnation_row: IncarnationRow) -> list[Write]:
        if not self.bills:
            return []
        key = ledger_key(
            self._incarnation, incarnation_row.sequence, incarnation_row.recoveries
        )
        writes = [Write(key, ABSENT, encode_row(LedgerRow(self.bills)))]
        for bill in self.bills:
            if is_caller_keyed(bill.key):
                marker = BillMarker(bill.attempt, self._incarnation)
                writes.append(Write(bill_key(bill.key), ABSENT, encode_row(marker)))
        return writes
