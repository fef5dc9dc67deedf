"""Transactions on behalf of a fenced incarnation."""

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

PAGE_ROWS = 500
#: Writes of each transaction to the incarnation's row and the ledger.
INCARNATION_WRITES = 2


class RecoveryTransaction:
    """One transaction that settles receipts and returns what is accounted for.

    The attributes below describe the last composed transaction.

    :param receipts: receipts to settle, at most
        :data:`~bluebellshore.budget.transaction_builder.MAX_BATCH_BILLS`.
    :param released: budgets whose held tokens an operator released.
    :param sidecar: sidecar that handed over the receipts; None for none.
    :param last: these are the last receipts of the sidecar, which is then struck
        from the incarnation's row.
    """

    def __init__(
        self,
        table: TableService,
        incarnation: IncarnationId,
        released: set[BudgetId],
        *,
        sidecar: IncarnationId | None = None,
        receipts: list[Receipt] | None = None,
        last: bool = True,
    ):
        self.bills: list[Bill] = []
        self.held: dict[BudgetId, int] = {}
        self.returned = 0
        self.clamped = 0
        #: Budgets were left to a further transaction for want of room.
        self.partial = False
        self._table = table
        self._incarnation = incarnation
        self._released = released
        self._sidecar = sidecar
        self._receipts = receipts or []
        self._last = last

    async def compose(self) -> list[Write]:
        """Return the writes; none when there is nothing left to do."""
        key = incarnation_key(self._incarnation)
        # The row is read before the ledger: a bill written in between changes it.
        row = (await self._table.read([key])).get(key)
        value = decode_row(row, IncarnationRow)
        if value is None or value.state is not IncarnationState.FENCED:
            return []
        if self._sidecar is not None and self._sidecar not in value.sidecars:
            return []
        rows = await self._table.read([budget_key(b) for b in value.caps])
        unbilled = await self._unbilled()
        listed = list(value.sidecars)
        struck = self._last and self._sidecar in value.sidecars
        if struck:
            value.sidecars.remove(self._sidecar)
        writes = self._compose_budgets(value, rows, unbilled)
        if self.partial:
            # The sidecar stays in the row until all budgets are dealt with.
            struck, value.sidecars = False, listed
        done = not self.held and not self.partial
        if not (writes or struck or done):
            return []
        value.recoveries += 1
        writes += self._compose_bills(value)
        return [Write(key, row.version, None if done else encode_row(value)), *writes]

    async def _unbilled(self) -> list[Bill]:
        """Return the bills of receipts that the ledger does not have.

        A run without tokens is not billed: a bill of nothing would stand in the way
        of the bill for the answer that a retry gets.
        """
        if not self._receipts:
            return []
        billed = await self._billed_attempts()
        bills_by_key: dict[str, Bill] = {}
        for receipt in self._receipts:
            if not receipt.tokens:
                continue
            bill = Bill.from_receipt(receipt, Tokens(receipt.reserved_tokens))
            if bill.attempt not in billed:
                bills_by_key.setdefault(bill.key, bill)
        keyed = [bill_key(key) for key in bills_by_key if is_caller_keyed(key)]
        markers = await self._table.read(keyed) if keyed else {}
        return [b for key, b in bills_by_key.items() if bill_key(key) not in markers]

    async def _billed_attempts(self) -> set[str]:
        if all(is_caller_keyed(receipt.key) for receipt in self._receipts):
            return set()  # their markers tell
        attempts: set[str] = set()
        prefix, after = ledger_prefix(self._incarnation), ""
        while True:
            page = await self._table.scan(prefix, after, PAGE_ROWS)
            for row in page:
                ledger = msgspec.json.decode(row.value, type=LedgerRow)
                attempts.update(bill.attempt for bill in ledger.bills)
            if len(page) < PAGE_ROWS:
                return attempts
            after = page[-1].key

    def _compose_budgets(
        self, value: IncarnationRow, rows: dict[str, Row], unbilled: list[Bill]
    ) -> list[Write]:
        self.bills, self.held = [], {}
        self.returned = self.clamped = 0
        self.partial = False
        room = MAX_TRANSACTION_WRITES - INCARNATION_WRITES - len(unbilled)
        writes = []
        for budget in value.caps:
            if len(writes) == room:
                self.partial = True
                break
            row = rows.get(budget_key(budget))
            budget_row = decode_row(row, BudgetRow)
            if budget_row is None:
                continue
            bills = [bill for bill in unbilled if bill.budget == budget]
            limit = value.caps[budget] * len(value.sidecars)
            if not value.caps_hold(None):
                limit = sys.maxsize
            if self._settle(budget, budget_row, bills, limit):
                encoded = encode_row(budget_row)
                writes.append(Write(row.key, row.version, encoded))
        return writes

    def _settle(
        self, budget: BudgetId, row: BudgetRow, bills: list[Bill], limit: int
    ) -> bool:
        """Settle bills; return all but what unconfirmed sidecars may have spent.

        :param limit: what unconfirmed sidecars may have spent.
        :return: whether the row changed.
        """
        own = row.allotments.get(self._incarnation)
        if own is None:
            self.clamped += len(bills)
            return False
        before = msgspec.structs.replace(own)
        for bill in bills:
            self._bill(bill, row, own)
        if budget in self._released:
            limit = 0
        held = min(own.outstanding, limit) if self._last else own.outstanding
        self.returned += own.outstanding - held
        own.outstanding, own.held, own.wanted = Tokens(held), True, Tokens(0)
        if held:
            self.held[budget] = held
        else:
            del row.allotments[self._incarnation]
        return own != before or not held

    def _bill(self, bill: Bill, row: BudgetRow, own: Allotment) -> None:
        tokens = Tokens(min(bill.tokens, own.outstanding))
        self.clamped += tokens < bill.tokens
        self.bills.append(msgspec.structs.replace(bill, tokens=tokens))
        row.settled += tokens
        own.outstanding -= tokens

    def _compose_bills(self, value: IncarnationRow) -> list[Write]:
        if not self.bills:
            return []
        key = ledger_key(self._incarnation, value.sequence, value.recoveries)
        writes = [Write(key, ABSENT, encode_row(LedgerRow(self.bills)))]
        for bill in self.bills:
            if is_caller_keyed(bill.key):
                marker = BillMarker(bill.attempt, self._incarnation)
                writes.append(Write(bill_key(bill.key), ABSENT, encode_row(marker)))
        return writes
