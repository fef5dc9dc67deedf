"""Transactions of one incarnation and the resolution of lost answers.

Each transaction writes the incarnation's row too. A fenced incarnation can
therefore commit nothing more, and of all transactions composed at one version of
that row at most one takes effect; the row's sequence tells which.
"""

from collections.abc import Callable
from enum import Enum

from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.policy import AllotmentPolicy
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
)

__all__ = ["CommitResult", "TransactionCommitter"]


class CommitResult(Enum):
    """What became of one attempt to commit."""

    NOTHING = "nothing"
    COMMITTED = "committed"
    CONFLICT = "conflict"


class TransactionCommitter:
    """Commits changes of the book to the table, one transaction at a time.

    :param on_settled: called with each attempt whose bill the ledger has.
    :param keeps_ledger: whether bills are written, not their sums alone.
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
    ):
        #: Called with each transaction that is known to stand.
        self.on_applied: Callable[[Transaction], None] = lambda transaction: None
        self.fenced = False
        self.closed = False
        #: Whether the last commit left out budgets that its request named.
        self.partial = False
        self.dropped = 0
        self._table = table
        self._incarnation = incarnation
        self._accounts = accounts
        self._on_settled = on_settled
        self._builder = TransactionBuilder(
            incarnation, accounts, policy, prepaid, writes_ledger=writes_ledger
        )
        self._unresolved: list[Transaction] = []
        self._seen_version = ABSENT

    @property
    def balances_by_budget(self) -> dict[BudgetId, BudgetBalance]:
        """What each budget could cover at most, as last seen."""
        return self._builder.balances_by_budget

    @property
    def batch_bills(self) -> int:
        """Bills that one transaction settles at most."""
        return self._builder.batch_bills

    @property
    def unresolved(self) -> int:
        """Number of transactions whose answer is open."""
        return len(self._unresolved)

    async def create(self, row: IncarnationRow) -> None:
        """Write the incarnation's first row.

        :raises PlatformError: the platform gave no answer.
        """
        key = incarnation_key(self._incarnation)
        try:
            await self._table.transact([Write(key, ABSENT, encode_row(row))])
        except TransactionConflictError:
            pass  # an earlier try of ours: incarnation ids are never reused

    async def commit(
        self,
        request: CommitRequest,
        now: float,
        max_budgets: int = MAX_TRANSACTION_WRITES,
    ) -> CommitResult:
        """Try once to commit what is due.

        :param most_budgets: budgets that the transaction may touch.
        :raises PlatformError: the answer is open; a later commit resolves it.
        """
        named = self._builder.budgets(request, now)
        budgets = self._builder.choose(named, request, max_budgets)
        self.partial = len(budgets) < len(named)
        own_key = incarnation_key(self._incarnation)
        rows = await self._table.read([own_key, *map(budget_key, budgets)])
        self._check_lag(rows.get(own_key))
        current = self._resolve(rows.get(own_key))
        if current is None:
            return CommitResult.NOTHING
        transaction = self._builder.compose(
            current,
            rows,
            budgets,
            request,
            now,
            resolving=bool(self._unresolved),
            partial=self.partial,
        )
        if transaction is None:
            return CommitResult.NOTHING
        return await self._send(transaction)

    def _check_lag(self, row: Row | None) -> None:
        """Refuse a read, of a cache, that is behind what was read before.

        A row that was never read may not be there yet, which is no fence.

        :raises PlatformUnavailableError: the read lags.
        """
        version = ABSENT if row is None else row.version
        lags = version < self._seen_version if row else not self._seen_version
        if lags:
            raise PlatformUnavailableError(
                "a read lags behind", step="budget.commit", peer=self._incarnation
            )
        self._seen_version = max(self._seen_version, version)

    def _resolve(self, row: Row | None) -> IncarnationRow | None:
        """Settle the fate of open transactions. :return: None when fenced."""
        current = decode_row(row, IncarnationRow)
        for transaction in list(self._unresolved):
            if current is not None and current.sequence == transaction.sequence:
                self._apply(transaction)
            elif row is None or row.version > transaction.expect:
                self._discard(transaction)
        if current is None or current.state is not IncarnationState.LIVE:
            self.fenced = not self.closed
            return None
        return current

    async def _send(self, transaction: Transaction) -> CommitResult:
        for budget, tokens in transaction.returns.items():
            self._accounts.begin_return(budget, tokens)
        self._accounts.tighten_limits(transaction.limits)
        self._unresolved.append(transaction)
        try:
            await self._table.transact(transaction.writes)
        except TransactionConflictError as error:
            self._discard(transaction)
            await self._drop_billed(transaction, error.keys)
            return CommitResult.CONFLICT
        self._apply(transaction)
        for other in list(self._unresolved):
            self._discard(other)
        return CommitResult.COMMITTED

    async def _drop_billed(
        self, transaction: Transaction, keys: tuple[str, ...]
    ) -> None:
        """Drop bills of requests that another attempt was billed for."""
        bills_by_marker = {bill_key(b.key): b for b in transaction.bills}
        asked = [key for key in keys if key in bills_by_marker]
        if not asked:
            return
        try:
            rows = await self._table.read(asked)
        except PlatformError:
            return
        for key, row in rows.items():
            bill = bills_by_marker[key]
            marker = decode_row(row, BillMarker)
            if marker is not None and marker.attempt != bill.attempt:
                self._accounts.remove_duplicate_bill(bill)
                self.dropped += 1
                self._on_settled(bill.attempt)

    def _apply(self, transaction: Transaction) -> None:
        self._unresolved.remove(transaction)
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
