"""Builds the transactions of one incarnation from its accounts and stored rows."""

from collections.abc import Callable

import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts, SpendingLimits
from bluebellshore.budget.policy import AllotmentPolicy, AllotmentView
from bluebellshore.budget.recount import Recount
from bluebellshore.budget.replay import BudgetChange
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
    encode_uncompressed,
    incarnation_key,
    is_caller_keyed,
    ledger_key,
)
from bluebellshore.budget.settling import PendingBills, should_settle
from bluebellshore.budget.unbilled import BudgetTotals
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.store.interface import (
    ABSENT,
    MAX_TRANSACTION_WRITES,
    Row,
    Write,
)

__all__ = [
    "BudgetBalance",
    "CommitRequest",
    "Demand",
    "Transaction",
    "TransactionBuilder",
]

#: Time after which tokens that another router wants are no longer returned for it, when
#: its entry did not change: the router is dead or nobody can give it the tokens.
MAX_WANTED_SECONDS = 5.0
#: Bills of one transaction. Each may write a marker and a budget's row. These must fit
#: into one transaction with the incarnation's row and the ledger's.
MAX_BATCH_BILLS = 20
#: Bills of one transaction when only their sums are written.
MAX_SUMMED_BATCH_BILLS = 500
#: Writes of each transaction to the incarnation's row and the ledger.
INCARNATION_WRITES = 2


class Demand(msgspec.Struct, frozen=True):
    """Tokens of one budget that waiting requests ask for.

    :param smallest: tokens that the smallest request asks for.
    :param total: tokens that all requests ask for.
    """

    smallest: Tokens
    total: Tokens


class BudgetBalance(msgspec.Struct, frozen=True):
    """Balance of a budget when its row was read last.

    :param tokens: the most that the budget could still pay for: tokens that were
        neither billed, in the row or by this router, nor kept for lost incarnations.
    :param prepaid_total: prepaid total at that time.
    :param seen_at: local time at which the row was read.
    :param held: tokens allotted at that time, by incarnation.
    """

    tokens: Tokens
    prepaid_total: Tokens
    seen_at: float
    held: dict[IncarnationId, Tokens] = msgspec.field(default_factory=dict)


class CommitRequest(msgspec.Struct, frozen=True):
    """What a transaction should do.

    :param demands_by_budget: tokens that waiting requests ask for, by budget.
    :param needs_by_sidecar: tokens that waiting requests would spend at each sidecar,
        by budget.
    :param reviewed_budgets: budgets whose allotments are compared with the policy, to
        draw tokens or to return them.
    :param settle: settle bills.
    :param heartbeat: review all budgets, and write even if nothing changed.
    :param refresh: write the incarnation's row even if nothing changed.
    :param closing: return all free tokens, and close the incarnation's row once no
        attempt or bill is open.
    """

    demands_by_budget: dict[BudgetId, Demand]
    needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]]
    reviewed_budgets: frozenset[BudgetId] = frozenset()
    settle: bool = False
    heartbeat: bool = False
    refresh: bool = False
    closing: bool = False


class _PeerDemand(msgspec.Struct, frozen=True):
    """Tokens that another incarnation wants from a budget, as first seen.

    :param sequence: transaction of that incarnation which wrote the entry.
    :param seen_at: local time at which the entry was first seen.
    """

    sequence: int
    seen_at: float


class Transaction(msgspec.Struct):
    """A transaction, and its effects on the accounts once it is known to be committed.

    :param sequence: number of the transaction in its incarnation.
    :param expected_version: version of the incarnation's row that it replaces.
    :param row: the incarnation's row as the transaction writes it.
    :param writes: all writes of the transaction.
    :param bills: bills that it settles.
    :param grants: tokens that it draws, by budget.
    :param returns: tokens that it returns, by budget.
    :param partial: some budgets did not fit and are left to the next transaction.
    :param limits: limits that the incarnation's row has once it is committed.
    :param repeated: changes of earlier transactions that a restored store lacks and
        that it makes again, by budget.
    :param recounted: tokens that it counts as spent, as a restored store lacks what
        was drawn, by budget.
    :param totals: what the rows that it writes say then, by budget.
    """

    sequence: int
    expected_version: int
    row: IncarnationRow
    writes: list[Write] = msgspec.field(default_factory=list)
    bills: list[Bill] = msgspec.field(default_factory=list)
    grants: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    returns: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    partial: bool = False

    limits: SpendingLimits = SpendingLimits([], {})
    repeated: dict[BudgetId, BudgetChange] = msgspec.field(default_factory=dict)
    recounted: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    totals: dict[BudgetId, BudgetTotals] = msgspec.field(default_factory=dict)

    def changes(self) -> dict[BudgetId, BudgetChange]:
        """Return how the transaction changes budgets, but for repeated changes."""
        changes: dict[BudgetId, BudgetChange] = {}
        for budget, tokens in self.billed().items():
            changes[budget] = BudgetChange(tokens, -tokens)
        for sign, tokens_by_budget in ((1, self.grants), (-1, self.returns)):
            for budget, tokens in tokens_by_budget.items():
                change = changes.setdefault(budget, BudgetChange())
                change.outstanding += sign * tokens
        return changes

    def billed(self) -> dict[BudgetId, Tokens]:
        """Return the tokens that the transaction settles, by budget."""
        billed: dict[BudgetId, Tokens] = {}
        for bill in self.bills:
            billed[bill.budget] = Tokens(billed.get(bill.budget, 0) + bill.tokens)
        return billed


class TransactionBuilder:
    """Builds transactions; leaves the accounts unchanged.

    :ivar balances_by_budget: balance of each budget when its row was read last.
    :ivar max_batch_bills: number of bills that one transaction settles at most.
    :param prepaid: returns the prepaid total of a budget, None if it is unknown.
    :param writes_ledger: whether each bill is written to the ledger. Otherwise only the
        sums of bills are added to the budgets' rows, and may be delayed until
        :func:`~bluebellshore.budget.settling.should_settle`.
    """

    def __init__(
        self,
        incarnation: IncarnationId,
        accounts: AllotmentAccounts,
        policy: AllotmentPolicy,
        prepaid: Callable[[BudgetId], Tokens | None],
        *,
        writes_ledger: bool = True,
    ):
        self.balances_by_budget: dict[BudgetId, BudgetBalance] = {}
        #: Compares rows of a restored store with what was read before.
        self.recount = Recount()
        self._incarnation = incarnation
        self._accounts = accounts
        self._policy = policy
        self._prepaid = prepaid
        self._writes_ledger = writes_ledger
        self.max_batch_bills = (
            MAX_BATCH_BILLS if writes_ledger else MAX_SUMMED_BATCH_BILLS
        )
        self._peer_demands: dict[tuple[BudgetId, IncarnationId], _PeerDemand] = {}
        self._views_by_budget: dict[BudgetId, AllotmentView] = {}
        self._sequence = 0

    @property
    def next_sequence(self) -> int:
        """Number of the next transaction."""
        return self._sequence + 1

    def build_repetition(
        self,
        current: IncarnationRow,
        rows: dict[str, Row],
        changes: dict[BudgetId, BudgetChange],
        now: float,
    ) -> Transaction:
        """Build a transaction that repeats changes which a restored store lacks.

        :param current: the incarnation's row, which is changed in place.
        :param rows: its row and those of the budgets, by key.
        """
        self._sequence += 1
        own_row = rows[incarnation_key(self._incarnation)]
        transaction = Transaction(
            self._sequence, own_row.version, current, repeated=changes
        )
        for budget, change in changes.items():
            row = rows.get(budget_key(budget))
            budget_row = decode_row(row, BudgetRow) or BudgetRow()
            own = budget_row.allotments.setdefault(self._incarnation, Allotment())
            budget_row.settled = Tokens(budget_row.settled + change.settled)
            own.outstanding = Tokens(max(0, own.outstanding + change.outstanding))
            own.sequence = transaction.sequence
            if not own.outstanding and not own.wanted:
                del budget_row.allotments[self._incarnation]
            version = ABSENT if row is None else row.version
            write = Write(budget_key(budget), version, encode_row(budget_row))
            transaction.writes.append(write)
        limits = self._accounts.desired_limits({}, {}, now)
        self._add_incarnation_row(transaction, limits, CommitRequest({}, {}))
        return transaction

    def required_budgets(self, request: CommitRequest, now: float) -> list[BudgetId]:
        """Return the budgets whose rows a transaction must read."""
        budgets = {*request.demands_by_budget, *request.reviewed_budgets}
        if request.closing:
            budgets.update(self._accounts.by_budget)
        elif request.heartbeat:
            budgets.update(self._accounts.budgets_to_review())
        if request.closing or (request.settle and self._writes_ledger):
            budgets.update(b.budget for b in self._next_batch())
        elif request.settle:
            budgets.update(self._budgets_to_settle(request, now))
            budgets.update(
                b
                for b in self._accounts.oldest_bill_times()
                if self._would_draw(b, now)
            )
        return sorted(budgets)

    def select_budgets(
        self, budgets: list[BudgetId], request: CommitRequest, max_budgets: int
    ) -> list[BudgetId]:
        """Return at most `max_budgets` of the budgets.

        Those that requests wait for come first, the others in rotation.

        :param max_budgets: number of budgets. From the number of writes in a
            transaction on, all budgets are returned: the transaction takes as many as
            fit into it.
        """
        if len(budgets) <= max_budgets or max_budgets >= MAX_TRANSACTION_WRITES:
            return budgets
        demanded = [b for b in budgets if b in request.demands_by_budget]
        others = [b for b in budgets if b not in request.demands_by_budget]
        offset = self._sequence * max_budgets % max(1, len(others))
        return [*demanded, *others[offset:], *others[:offset]][:max_budgets]

    def _budgets_to_settle(self, request: CommitRequest, now: float) -> set[BudgetId]:
        """Return the budgets whose bills are due to be written."""
        billed_at = self._accounts.oldest_bill_times()
        full = len(self._accounts.unsettled_by_attempt) >= self.max_batch_bills
        if self._writes_ledger or request.closing or full:
            return set(billed_at)
        return {
            b
            for b, at in billed_at.items()
            if should_settle(self._pending_bills(b, now - at))
        }

    def _pending_bills(self, budget: BudgetId, waited_seconds: float) -> PendingBills:
        account = self._accounts.account(budget)
        seen = self._views_by_budget.get(budget)
        unallotted, unbilled = (seen.unallotted, seen.unbilled) if seen else (0, 1)
        unsettled, held = Tokens(account.unsettled), account.outstanding
        return PendingBills(unsettled, held, waited_seconds, unallotted, unbilled)

    def _would_draw(self, budget: BudgetId, now: float) -> bool:
        """Return whether tokens would be drawn if the row were as last read."""
        seen = self._views_by_budget.get(budget)
        if seen is None:
            return True
        account = self._accounts.account(budget)
        burn, free = account.burn_rate.per_second(now), Tokens(account.free)
        view = msgspec.structs.replace(seen, free=free, burn_per_second=burn)
        return self._policy.grant(view) > 0

    def _next_batch(self) -> list[Bill]:
        bills_by_key: dict[str, Bill] = {}
        budgets: set[BudgetId] = set()
        for bill in self._accounts.unsettled_by_attempt.values():
            bills_by_key.setdefault(bill.key, bill)
            budgets.add(bill.budget)
            # The row of each budget is written in the same transaction.
            full = len(budgets) == MAX_TRANSACTION_WRITES - INCARNATION_WRITES
            if full or len(bills_by_key) == self.max_batch_bills:
                break
        return list(bills_by_key.values())

    def build(
        self,
        current: IncarnationRow,
        rows: dict[str, Row],
        budgets: list[BudgetId],
        request: CommitRequest,
        now: float,
        *,
        has_unresolved: bool,
        partial: bool = False,
    ) -> Transaction | None:
        """Build a transaction.

        :param current: the incarnation's row, which is changed in place.
        :param rows: the rows that were read, by key.
        :param budgets: budgets whose rows were read.
        :param has_unresolved: whether the result of an earlier transaction is unknown.
            A transaction is then always built: once it is committed, the earlier one
            cannot take effect any more.
        :param partial: whether budgets that the request names were left out.
        :return: None when nothing needs to be written.
        """
        self._sequence += 1
        own_row = rows[incarnation_key(self._incarnation)]
        transaction = Transaction(
            self._sequence, own_row.version, current, partial=partial
        )
        if request.settle or request.closing or not self._writes_ledger:
            wanted = set(budgets)
            transaction.bills = [b for b in self._next_batch() if b.budget in wanted]
        max_budget_writes = MAX_TRANSACTION_WRITES - INCARNATION_WRITES
        if self._writes_ledger:
            max_budget_writes -= len(transaction.bills)
        due = self._budgets_to_settle(request, now) if transaction.bills else set()
        for budget in _most_urgent_first(budgets, transaction, request):
            if len(transaction.writes) == max_budget_writes:
                transaction.partial = True
                break
            row = rows.get(budget_key(budget))
            self._add_budget(transaction, budget, row, request, now, due)
        limits = self._accounts.desired_limits(
            request.needs_by_sidecar, transaction.grants, now, transaction.billed()
        )
        known = (current.sidecars, current.caps)
        changed = (limits.sidecars, limits.caps) != known
        if not (
            transaction.writes
            or transaction.bills
            or has_unresolved
            or request.heartbeat
            or request.refresh
            or request.closing
            or (changed and (request.needs_by_sidecar or request.settle))
        ):
            return None
        self._add_incarnation_row(transaction, limits, request)
        return transaction

    def _add_budget(
        self,
        transaction: Transaction,
        budget: BudgetId,
        row: Row | None,
        request: CommitRequest,
        now: float,
        due: set[BudgetId],
    ) -> None:
        """Add the write of a budget's row, if it changes.

        :param due: budgets whose bills are written even without another change. The
            bills of other budgets are written only with a grant, a return or a change
            of the tokens wanted.
        """
        budget_row = decode_row(row, BudgetRow) or BudgetRow()
        before = encode_uncompressed(budget_row)
        version = ABSENT if row is None else row.version
        settled_before = budget_row.settled
        self.recount.compare(budget, budget_row, version, now)
        recounted = Tokens(budget_row.settled - settled_before)
        own = budget_row.allotments.setdefault(self._incarnation, Allotment())
        wanted = own.wanted
        prepaid_total = self._prepaid(budget) or Tokens(0)
        self._record_balance(budget, budget_row, prepaid_total, now)
        billed = sum(b.tokens for b in transaction.bills if b.budget == budget)
        budget_row.settled += billed
        own.outstanding -= billed
        demand = request.demands_by_budget.get(budget)
        view = self._view(budget, budget_row, prepaid_total, demand, now)
        peer_wants = self._tokens_wanted_by_peers(budget, budget_row, now)
        surplus = self._tokens_to_return(view, peer_wants, demand, request)
        if surplus:
            transaction.returns[budget] = surplus
            own.outstanding -= surplus
        own.wanted = Tokens(0)
        if not surplus and not request.closing:
            wanted_by_peers = Tokens(sum(want[0] for want in peer_wants))
            grant = self._tokens_to_draw(view, demand, wanted_by_peers)
            if not self.recount.allows_draws(budget_row, now):
                grant = Tokens(0)
            payable = self.balances_by_budget[budget].tokens
            # What the budget can't pay for is no reason to write its row.
            if demand is not None and view.free + grant < demand.smallest <= payable:
                own.wanted = Tokens(demand.smallest - view.free)
            if grant:
                transaction.grants[budget] = grant
                own.outstanding += grant
        transferred = budget in transaction.grants or budget in transaction.returns
        if billed and budget not in due and not transferred and own.wanted == wanted:
            transaction.bills = [b for b in transaction.bills if b.budget != budget]
            return
        if own.outstanding == 0 and not own.wanted:
            del budget_row.allotments[self._incarnation]
        if encode_uncompressed(budget_row) != before:
            own.sequence = transaction.sequence
            if recounted:
                transaction.recounted[budget] = recounted
            transaction.totals[budget] = budget_row.totals()
            key = budget_key(budget)
            transaction.writes.append(Write(key, version, encode_row(budget_row)))

    def _view(
        self,
        budget: BudgetId,
        row: BudgetRow,
        prepaid_total: Tokens,
        demand: Demand | None,
        now: float,
    ) -> AllotmentView:
        account = self._accounts.account(budget)
        waiting = Tokens(0) if demand is None else demand.total
        view = AllotmentView(
            unallotted=row.unallotted(prepaid_total),
            holders=len(row.allotments),
            free=Tokens(account.free),
            burn_per_second=account.burn_rate.per_second(now, waiting),
            idle_seconds=now - account.reserved_at,
            unbilled=Tokens(max(0, prepaid_total - row.settled - row.held())),
            budget=budget,
        )
        self._views_by_budget[budget] = view
        return view

    def _record_balance(
        self, budget: BudgetId, row: BudgetRow, prepaid_total: Tokens, now: float
    ) -> None:
        billed = row.settled + row.held() + self._accounts.account(budget).unsettled
        held = {key: allotment.outstanding for key, allotment in row.allotments.items()}
        balance = BudgetBalance(
            Tokens(prepaid_total - billed), prepaid_total, now, held
        )
        self.balances_by_budget[budget] = balance

    def _tokens_wanted_by_peers(
        self, budget: BudgetId, row: BudgetRow, now: float
    ) -> list[tuple[Tokens, IncarnationId]]:
        """Return the tokens that other incarnations want and asked for lately."""
        wanted = []
        for incarnation, allotment in row.allotments.items():
            if incarnation == self._incarnation:
                continue
            observed = self._peer_demands.get((budget, incarnation))
            if not allotment.wanted or allotment.held:
                self._peer_demands.pop((budget, incarnation), None)
                continue
            if observed is None or observed.sequence != allotment.sequence:
                observed = _PeerDemand(allotment.sequence, now)
                self._peer_demands[budget, incarnation] = observed
            if now - observed.seen_at < MAX_WANTED_SECONDS:
                wanted.append((allotment.wanted, incarnation))
        return wanted

    def _tokens_to_draw(
        self,
        view: AllotmentView,
        demand: Demand | None,
        wanted_by_peers: Tokens,
    ) -> Tokens:
        """Return the tokens to draw.

        Nothing is drawn when it would not be enough for any waiting request.

        :param wanted_by_peers: tokens that other incarnations want. They are drawn for
            requests that wait here, but not ahead of use.
        """
        lacking = 0 if demand is None else max(0, demand.total - view.free)
        smallest = 0 if demand is None else demand.smallest - view.free
        if smallest > view.unallotted:
            return Tokens(0)
        view = msgspec.structs.replace(view, shortfall=Tokens(lacking))
        uncontested = max(0, view.unallotted - wanted_by_peers)
        wanted = max(lacking, min(self._policy.grant(view), uncontested))
        return Tokens(min(view.unallotted, wanted))

    def _tokens_to_return(
        self,
        view: AllotmentView,
        peer_wants: list[tuple[Tokens, IncarnationId]],
        demand: Demand | None,
        request: CommitRequest,
    ) -> Tokens:
        """Return the tokens to return to the budget.

        All free tokens are returned on closing, or when another incarnation wants more
        than is unallotted. Where requests wait at several incarnations, the one that
        lacks the fewest tokens keeps its own.

        :param peer_wants: tokens that other incarnations want.
        """
        if request.closing:
            return view.free
        if demand is not None:
            lacking = demand.smallest - view.free
            lacks_fewest = not peer_wants or (lacking, self._incarnation) < min(
                peer_wants
            )
            return (
                Tokens(0) if lacking <= view.unallotted or lacks_fewest else view.free
            )
        if peer_wants and min(peer_wants)[0] > view.unallotted:
            return view.free
        return min(view.free, self._policy.surplus(view))

    def _add_incarnation_row(
        self,
        transaction: Transaction,
        limits: SpendingLimits,
        request: CommitRequest,
    ) -> None:
        row = transaction.row
        row.sequence = transaction.sequence
        if request.closing and self._can_close(transaction):
            row.state = IncarnationState.CLOSED
            limits = SpendingLimits([], {})
        transaction.limits = limits
        row.sidecars, row.caps = limits.sidecars, limits.caps
        row.growth = limits.growth
        row.seen_seconds, row.lapse_seconds = self._accounts.renew_cap_validity()
        own_key = incarnation_key(self._incarnation)
        own = Write(own_key, transaction.expected_version, encode_row(row))
        transaction.writes.insert(0, own)
        if not (transaction.bills and self._writes_ledger):
            return
        ledger = ledger_key(self._incarnation, transaction.sequence)
        content = encode_row(LedgerRow(transaction.bills))
        transaction.writes.append(Write(ledger, ABSENT, content))
        for bill in transaction.bills:
            if is_caller_keyed(bill.key):
                marker = encode_row(BillMarker(bill.attempt, self._incarnation))
                transaction.writes.append(Write(bill_key(bill.key), ABSENT, marker))

    def _can_close(self, transaction: Transaction) -> bool:
        accounts = self._accounts.by_budget.values()
        return (
            not transaction.partial
            and not self._accounts.reservations_by_attempt
            and len(self._accounts.unsettled_by_attempt) == len(transaction.bills)
            and not any(account.returning for account in accounts)
        )


def _most_urgent_first(
    budgets: list[BudgetId], transaction: Transaction, request: CommitRequest
) -> list[BudgetId]:
    """Return budgets with bills first, then those that requests wait for."""
    billed = {bill.budget for bill in transaction.bills}
    return sorted(
        budgets,
        key=lambda budget: (
            budget not in billed,
            budget not in request.demands_by_budget,
            budget,
        ),
    )
