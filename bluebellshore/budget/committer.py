"""Commits the transactions of one incarnation and resolves unanswered ones.

Each transaction is conditional on the version of the incarnation's row and writes a new
one. A fenced incarnation therefore cannot commit any more, and of all transactions
built on one version of the row at most one takes effect. The sequence number in the row
shows which one.
"""

from collections.abc import Callable
from enum import Enum

from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.policy import AllotmentPolicy
from bluebellshore.budget.replay import ChangeLog
from bluebellshore.budget.rows import (
    BillMarker,
    IncarnationRow,
    IncarnationState,
    bill_key,
    budget_key,
    decode_row,
    encode_row,
    incarnation_key,
)
from bluebellshore.budget.transaction_builder import (
    BudgetBalance,
    CommitRequest,
    Transaction,
    TransactionBuilder,
)
from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import (
    ABSENT,
    MAX_TRANSACTION_WRITES,
    Row,
    TableService,
    Write,
    era_of,
)

__all__ = ["CommitResult", "TransactionCommitter"]

#: Time after a restore of the store in which nothing is drawn, so that the other
#: incarnations can repeat what they had drawn and settled.
RESTORE_HOLD_SECONDS = 3.0
#: Time after the start in which nothing is drawn from budgets whose rows were not
#: compared since the last restore. Those that know more do it before.
NEWCOMER_HOLD_SECONDS = 5.0


class CommitResult(Enum):
    """Result of one call to commit."""

    NOTHING = "nothing"
    COMMITTED = "committed"
    CONFLICT = "conflict"


class TransactionCommitter:
    """Commits changes of the accounts to the table, one transaction at a time.

    :ivar fenced: whether this incarnation was fenced and cannot commit any more.
    :ivar closed: whether the incarnation's row was closed by a commit.
    :ivar partial: whether the last commit left out budgets that its request names.
    :ivar dropped_bills: number of bills dropped because another attempt of the same
        request was billed.
    :param prepaid: returns the prepaid total of a budget, None if it is unknown.
    :param on_settled: called with each attempt whose bill is settled or dropped.
    :param writes_ledger: whether each bill is written to the ledger, not only the sums
        of bills to the budgets' rows.
    :param era: returns how often the store has come back from an older copy. Where it
        may grow, the process is the only one that fences incarnations of its instance.
    """

    def __init__(
        self,
        table: TableService,
        incarnation: IncarnationId,
        accounts: AllotmentAccounts,
        policy: AllotmentPolicy,
        prepaid: Callable[[BudgetId], Tokens | None],
        on_settled: Callable[[str], None],
        *,
        writes_ledger: bool = True,
        era: Callable[[], int] = lambda: 0,
    ):
        #: Called with each transaction that is known to be committed.
        self.on_applied: Callable[[Transaction], None] = lambda transaction: None
        self.fenced = False
        self.closed = False
        self.partial = False
        self.dropped_bills = 0
        self._table = table
        self._incarnation = incarnation
        self._accounts = accounts
        self._on_settled = on_settled
        self._builder = TransactionBuilder(
            incarnation, accounts, policy, prepaid, writes_ledger=writes_ledger
        )
        self._era = era
        self._known_era: int | None = None
        #: Whether the store came back from a copy that was not compared yet.
        self._restored = False
        self._change_log = ChangeLog()
        self._first_row: IncarnationRow | None = None
        self._committed_at = 0.0
        self._unresolved: list[Transaction] = []
        self._last_read_version = ABSENT

    @property
    def balances_by_budget(self) -> dict[BudgetId, BudgetBalance]:
        """Balance of each budget when its row was read last."""
        return self._builder.balances_by_budget

    @property
    def max_batch_bills(self) -> int:
        """Number of bills that one transaction settles at most."""
        return self._builder.max_batch_bills

    @property
    def unresolved(self) -> int:
        """Number of transactions whose result is unknown."""
        return len(self._unresolved)

    async def create(self, row: IncarnationRow) -> None:
        """Create the incarnation's row.

        :raises PlatformError: the platform did not answer; the call may be repeated.
        """
        self._first_row = row
        key = incarnation_key(self._incarnation)
        try:
            await self._table.transact([Write(key, ABSENT, encode_row(row))])
        except TransactionConflictError:
            pass  # an earlier call took effect: incarnation ids are never reused
        if self._known_era is None:
            self._known_era = self._era()

    def holds_draws(self, now: float) -> bool:
        """Return whether nothing is drawn, as the store was restored just before."""
        return self._builder.recount.holds_draws(now)

    def note_restored(self, now: float) -> None:
        """Draw nothing for a while if the store came back from an older copy."""
        era = self._era()
        if self._known_era is not None and era > self._known_era:
            self._restored = True
            self._builder.recount.begin_era(era, now, RESTORE_HOLD_SECONDS)
        elif self._builder.recount.era is None:
            self._builder.recount.start(era, now, NEWCOMER_HOLD_SECONDS)
        self._known_era = era

    async def commit(
        self,
        request: CommitRequest,
        now: float,
        max_budgets: int = MAX_TRANSACTION_WRITES,
    ) -> CommitResult:
        """Build a transaction and try once to commit it.

        :param max_budgets: number of budgets that the transaction may touch.
        :raises PlatformError: the result is unknown; a later commit resolves it.
        """
        required = self._builder.required_budgets(request, now)
        budgets = self._builder.select_budgets(required, request, max_budgets)
        self.partial = len(budgets) < len(required)
        own_key = incarnation_key(self._incarnation)
        rows = await self._table.read([own_key, *map(budget_key, budgets)])
        self.note_restored(now)
        if self._restored and not await self._compare_with_copy(rows.get(own_key)):
            return CommitResult.CONFLICT
        self._check_freshness(rows.get(own_key))
        current = self._resolve(rows.get(own_key))
        if current is None:
            return CommitResult.NOTHING
        self._committed_at = now
        if self._change_log.lost_changes():
            result = await self._repeat_lost_changes(
                current, rows[own_key], now, max_budgets
            )
            if result is CommitResult.CONFLICT:
                return result
            return await self.commit(request, now, max_budgets)
        transaction = self._builder.build(
            current,
            rows,
            budgets,
            request,
            now,
            has_unresolved=bool(self._unresolved),
            partial=self.partial,
        )
        if transaction is None:
            return CommitResult.NOTHING
        return await self._transact(transaction)

    async def _compare_with_copy(self, row: Row | None) -> bool:
        """Find the changes that a restored store lacks.

        :param row: this incarnation's row in the store.
        :return: False if the row was lost and had to be created again, or was read
            before the restore.
        """
        if row is None:
            await self.create(self._first_row)
            return False
        if era_of(row.version) < self._known_era:
            return False
        sequence = decode_row(row, IncarnationRow).sequence
        self._change_log.find_lost(sequence, self._builder.next_sequence)
        self._restored = False
        return True

    async def _repeat_lost_changes(
        self,
        current: IncarnationRow,
        own_row: Row,
        now: float,
        max_budgets: int,
    ) -> CommitResult:
        """Repeat the lost changes of as many budgets as fit into a transaction."""
        most = min(max_budgets, MAX_TRANSACTION_WRITES - 1)
        changes = dict(list(self._change_log.lost_changes().items())[:most])
        rows = await self._table.read(list(map(budget_key, changes)))
        rows[own_row.key] = own_row
        transaction = self._builder.build_repetition(current, rows, changes, now)
        return await self._transact(transaction)

    def _check_freshness(self, row: Row | None) -> None:
        """Refuse a read, from a cache, that is older than an earlier one.

        A row that was never read may be missing because the cache does not have it yet;
        that must not be taken for a fence.

        :raises PlatformUnavailableError: the read is older than an earlier one.
        """
        version = ABSENT if row is None else row.version
        stale = (
            version < self._last_read_version if row else not self._last_read_version
        )
        if stale:
            raise PlatformUnavailableError(
                "the cache lacks this incarnation's row or has an older version of it",
                step="budget.commit",
                peer=self._incarnation,
            )
        self._last_read_version = max(self._last_read_version, version)

    def _resolve(self, row: Row | None) -> IncarnationRow | None:
        """Apply or discard transactions whose result the row now shows.

        :return: the incarnation's row, None when it is fenced or closed.
        """
        current = decode_row(row, IncarnationRow)
        for transaction in list(self._unresolved):
            if current is not None and current.sequence == transaction.sequence:
                self._apply(transaction)
            elif row is None or row.version > transaction.expected_version:
                self._discard(transaction)
        if current is None or current.state is not IncarnationState.LIVE:
            self.fenced = not self.closed
            return None
        return current

    async def _transact(self, transaction: Transaction) -> CommitResult:
        for budget, tokens in transaction.returns.items():
            self._accounts.begin_return(budget, tokens)
        self._accounts.tighten_limits(transaction.limits)
        self._unresolved.append(transaction)
        try:
            await self._table.transact(transaction.writes)
        except TransactionConflictError as error:
            self._discard(transaction)
            await self._drop_duplicate_bills(transaction, error.keys)
            return CommitResult.CONFLICT
        self._apply(transaction)
        for other in list(self._unresolved):
            self._discard(other)
        return CommitResult.COMMITTED

    async def _drop_duplicate_bills(
        self, transaction: Transaction, keys: tuple[str, ...]
    ) -> None:
        """Drop the bills of requests that were billed for another attempt.

        :param keys: keys of the rows in conflict.
        """
        bills_by_key = {bill_key(b.key): b for b in transaction.bills}
        conflicting = [key for key in keys if key in bills_by_key]
        if not conflicting:
            return
        try:
            rows = await self._table.read(conflicting)
        except PlatformError:
            return
        for key, row in rows.items():
            bill = bills_by_key[key]
            marker = decode_row(row, BillMarker)
            if marker is not None and marker.attempt != bill.attempt:
                self._accounts.remove_duplicate_bill(bill)
                self.dropped_bills += 1
                self._on_settled(bill.attempt)

    def _apply(self, transaction: Transaction) -> None:
        self._unresolved.remove(transaction)
        self._change_log.record(
            transaction.sequence, transaction.changes(), self._committed_at
        )
        self._change_log.record_repeated(transaction.sequence, transaction.repeated)
        for budget, tokens in transaction.grants.items():
            self._accounts.add_grant(budget, tokens)
        for budget, tokens in transaction.returns.items():
            self._accounts.complete_return(budget, tokens)
        for bill in transaction.bills:
            self._accounts.remove_settled_bill(bill)
        self._accounts.apply_limits(transaction.limits)
        self.closed = transaction.row.state is IncarnationState.CLOSED
        for bill in transaction.bills:
            self._on_settled(bill.attempt)
        self.on_applied(transaction)

    def _discard(self, transaction: Transaction) -> None:
        self._unresolved.remove(transaction)
        for budget, tokens in transaction.returns.items():
            self._accounts.cancel_return(budget, tokens)
