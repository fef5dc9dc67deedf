"""Composes transactions of one incarnation from its book and the rows read."""

from collections.abc import Callable

import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts, SpendingLimits
from bluebellshore.budget.policy import AllotmentPolicy, AllotmentView
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

#: A want that stood unchanged for so long is a dead router's, or in vain.
WANTED_SECONDS = 5.0
#: Bills of one transaction. Each may write a marker and a budget's row, which with
#: the incarnation's row and the ledger's must fit into one transaction.
BATCH_BILLS = 20
#: The same where only their sums are written.
BATCH_SUMMED_BILLS = 500
#: The incarnation's row and the ledger's.
OWN_WRITES = 2


class Demand(msgspec.Struct, frozen=True):
    """Tokens that waiting requests of a budget ask for.

    :param smallest: tokens of the smallest request.
    :param total: tokens of all requests.
    """

    smallest: Tokens
    total: Tokens


class BudgetBalance(msgspec.Struct, frozen=True):
    """What a budget could cover at most when its row was read last.

    :param prepaid_total: prepaid total at that time.
    :param held: tokens allotted at that time, by incarnation.
    """

    tokens: Tokens
    prepaid_total: Tokens
    seen_at: float
    held: dict[IncarnationId, Tokens] = msgspec.field(default_factory=dict)


class CommitRequest(msgspec.Struct, frozen=True):
    """What a transaction should contain.

    :param attended: budgets to look at, for grants and returns that are due.
    :param settle: bills are due.
    :param heartbeat: write even when there is nothing else.
    :param refresh: write the incarnation's own row at least.
    :param closing: return all that is free and close the row when nothing is open.
    """

    demands_by_budget: dict[BudgetId, Demand]
    needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]]
    attended: frozenset[BudgetId] = frozenset()
    settle: bool = False
    heartbeat: bool = False
    refresh: bool = False
    closing: bool = False


class _Want(msgspec.Struct, frozen=True):
    """When another incarnation's want was seen first."""

    sequence: int
    seen_at: float


class Transaction(msgspec.Struct):
    """Effects of a transaction on the book, applied once it is known to stand.

    :param partial: budgets were left to the next transaction for want of room.
    """

    sequence: int
    expect: int
    row: IncarnationRow
    writes: list[Write] = msgspec.field(default_factory=list)
    bills: list[Bill] = msgspec.field(default_factory=list)
    grants: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    returns: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    partial: bool = False

    limits: SpendingLimits = SpendingLimits([], {})

    def billed(self) -> dict[BudgetId, Tokens]:
        """Return the tokens that it settles, by budget."""
        billed: dict[BudgetId, Tokens] = {}
        for bill in self.bills:
            billed[bill.budget] = Tokens(billed.get(bill.budget, 0) + bill.tokens)
        return billed


class TransactionBuilder:
    """Decides what goes into a transaction; changes nothing of the book.

    ``covers_by_budget`` tells what a budget could cover at most, as last seen.

    :param keeps_ledger: whether bills are written, not their sums alone. Sums may
        wait until the row is worth a write.
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
        self._incarnation = incarnation
        self._accounts = accounts
        self._policy = policy
        self._prepaid = prepaid
        self._writes_ledger = writes_ledger
        self.batch_bills = BATCH_BILLS if writes_ledger else BATCH_SUMMED_BILLS
        self._wants: dict[tuple[BudgetId, IncarnationId], _Want] = {}
        self._views_by_budget: dict[BudgetId, AllotmentView] = {}
        self._sequence = 0

    def budgets(self, request: CommitRequest, now: float) -> list[BudgetId]:
        """Return the budgets whose rows the transaction needs."""
        budgets = {*request.demands_by_budget, *request.attended}
        if request.closing or request.heartbeat:
            budgets.update(self._accounts.by_budget)
        if request.closing or (request.settle and self._writes_ledger):
            budgets.update(b.budget for b in self._batch())
        elif request.settle:
            budgets.update(self._due(request, now))
            budgets.update(b for b in self._accounts.billed_at() if self._low(b, now))
        return sorted(budgets)

    def choose(
        self, budgets: list[BudgetId], request: CommitRequest, most: int
    ) -> list[BudgetId]:
        """Return some of the budgets: those that requests wait for, then in turn.

        :param most: budgets to touch; all, as far as there is room, when it is not
            below the writes of a transaction.
        """
        if len(budgets) <= most or most >= MAX_TRANSACTION_WRITES:
            return budgets
        waited = [b for b in budgets if b in request.demands_by_budget]
        others = [b for b in budgets if b not in request.demands_by_budget]
        turn = self._sequence * most % max(1, len(others))
        return [*waited, *others[turn:], *others[:turn]][:most]

    def _due(self, request: CommitRequest, now: float) -> set[BudgetId]:
        """Return the budgets whose bills are to be written."""
        billed_at = self._accounts.billed_at()
        full = len(self._accounts.unsettled_by_attempt) >= self.batch_bills
        if self._writes_ledger or request.closing or full:
            return set(billed_at)
        return {
            b for b, at in billed_at.items() if should_settle(self._bills(b, now - at))
        }

    def _bills(self, budget: BudgetId, waited_seconds: float) -> PendingBills:
        account = self._accounts.account(budget)
        seen = self._views_by_budget.get(budget)
        unallotted, unbilled = (seen.unallotted, seen.unbilled) if seen else (0, 1)
        unsettled, held = Tokens(account.unsettled), account.outstanding
        return PendingBills(unsettled, held, waited_seconds, unallotted, unbilled)

    def _low(self, budget: BudgetId, now: float) -> bool:
        """Whether tokens would be drawn if the row were as it was seen last."""
        seen = self._views_by_budget.get(budget)
        if seen is None:
            return True
        account = self._accounts.account(budget)
        burn, free = account.burn_rate.per_second(now), Tokens(account.free)
        view = msgspec.structs.replace(seen, free=free, burn_per_second=burn)
        return self._policy.grant(view) > 0

    def _batch(self) -> list[Bill]:
        bills_by_key: dict[str, Bill] = {}
        budgets: set[BudgetId] = set()
        for bill in self._accounts.unsettled_by_attempt.values():
            bills_by_key.setdefault(bill.key, bill)
            budgets.add(bill.budget)
            # Each budget has its row in the same transaction.
            full = len(budgets) == MAX_TRANSACTION_WRITES - OWN_WRITES
            if full or len(bills_by_key) == self.batch_bills:
                break
        return list(bills_by_key.values())

    def compose(
        self,
        current: IncarnationRow,
        rows: dict[str, Row],
        budgets: list[BudgetId],
        request: CommitRequest,
        now: float,
        *,
        resolving: bool,
        partial: bool = False,
    ) -> Transaction | None:
        """Compose a transaction.

        :param current: the incarnation's row, which is changed.
        :param budgets: budgets whose rows were read.
        :param resolving: write in any case, to rule out unanswered transactions.
        :param partial: budgets were left out of those that the request names.
        :return: None when nothing is due.
        """
        self._sequence += 1
        own_row = rows[incarnation_key(self._incarnation)]
        transaction = Transaction(
            self._sequence, own_row.version, current, partial=partial
        )
        if request.settle or request.closing or not self._writes_ledger:
            wanted = set(budgets)
            transaction.bills = [b for b in self._batch() if b.budget in wanted]
        room = MAX_TRANSACTION_WRITES - OWN_WRITES
        if self._writes_ledger:
            room -= len(transaction.bills)
        due = self._due(request, now) if transaction.bills else set()
        for budget in _by_urgency(budgets, transaction, request):
            if len(transaction.writes) == room:
                transaction.partial = True
                break
            row = rows.get(budget_key(budget))
            self._compose_budget(transaction, budget, row, request, now, due)
        limits = self._accounts.desired_limits(
            request.needs_by_sidecar, transaction.grants, now, transaction.billed()
        )
        known = (current.sidecars, current.caps)
        changed = (limits.sidecars, limits.caps) != known
        if not (
            transaction.writes
            or transaction.bills
            or resolving
            or request.heartbeat
            or request.refresh
            or request.closing
            or (changed and (request.needs_by_sidecar or request.settle))
        ):
            return None
        self._compose_own(transaction, limits, request)
        return transaction

    def _compose_budget(
        self,
        transaction: Transaction,
        budget: BudgetId,
        row: Row | None,
        request: CommitRequest,
        now: float,
        due: set[BudgetId],
    ) -> None:
        """Add what a budget needs; bills that are not `due` go with other changes."""
        budget_row = decode_row(row, BudgetRow) or BudgetRow()
        before = encode_uncompressed(budget_row)
        own = budget_row.allotments.setdefault(self._incarnation, Allotment())
        wanted = own.wanted
        prepaid_total = self._prepaid(budget) or Tokens(0)
        self._see_cover(budget, budget_row, prepaid_total, now)
        billed = sum(b.tokens for b in transaction.bills if b.budget == budget)
        budget_row.settled += billed
        own.outstanding -= billed
        demand = request.demands_by_budget.get(budget)
        view = self._view(budget, budget_row, prepaid_total, demand, now)
        wants = self._wanted(budget, budget_row, now)
        surplus = self._surplus(view, wants, demand, request)
        if surplus:
            transaction.returns[budget] = surplus
            own.outstanding -= surplus
        own.wanted = Tokens(0)
        if not surplus and not request.closing:
            spoken_for = Tokens(sum(want[0] for want in wants))
            grant = self._grant(view, demand, spoken_for)
            if demand is not None and view.free + grant < demand.smallest:
                own.wanted = Tokens(demand.smallest - view.free)
            if grant:
                transaction.grants[budget] = grant
                own.outstanding += grant
        moved = budget in transaction.grants or budget in transaction.returns
        if billed and budget not in due and not moved and own.wanted == wanted:
            transaction.bills = [b for b in transaction.bills if b.budget != budget]
            return
        if own.outstanding == 0 and not own.wanted:
            del budget_row.allotments[self._incarnation]
        if encode_uncompressed(budget_row) != before:
            own.sequence = transaction.sequence
            version = ABSENT if row is None else row.version
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
        )
        self._views_by_budget[budget] = view
        return view

    def _see_cover(
        self, budget: BudgetId, row: BudgetRow, prepaid_total: Tokens, now: float
    ) -> None:
        billed = row.settled + row.held() + self._accounts.account(budget).unsettled
        held = {key: allotment.outstanding for key, allotment in row.allotments.items()}
        cover = BudgetBalance(Tokens(prepaid_total - billed), prepaid_total, now, held)
        self.balances_by_budget[budget] = cover

    def _wanted(
        self, budget: BudgetId, row: BudgetRow, now: float
    ) -> list[tuple[Tokens, IncarnationId]]:
        """Return what other incarnations want, of those that changed it lately."""
        wanted = []
        for incarnation, allotment in row.allotments.items():
            if incarnation == self._incarnation:
                continue
            want = self._wants.get((budget, incarnation))
            if not allotment.wanted or allotment.held:
                self._wants.pop((budget, incarnation), None)
                continue
            if want is None or want.sequence != allotment.sequence:
                want = _Want(allotment.sequence, now)
                self._wants[budget, incarnation] = want
            if now - want.seen_at < WANTED_SECONDS:
                wanted.append((allotment.wanted, incarnation))
        return wanted

    def _grant(
        self, view: AllotmentView, demand: Demand | None, spoken_for: Tokens
    ) -> Tokens:
        """Return the grant; never tokens that leave all waiting requests waiting.

        :param spoken_for: tokens that others want; no stock is laid in from these.
        """
        lacking = 0 if demand is None else max(0, demand.total - view.free)
        smallest = 0 if demand is None else demand.smallest - view.free
        if smallest > view.unallotted:
            return Tokens(0)
        view = msgspec.structs.replace(view, shortfall=Tokens(lacking))
        spare = max(0, view.unallotted - spoken_for)
        wanted = max(lacking, min(self._policy.grant(view), spare))
        return Tokens(min(view.unallotted, wanted))

    def _surplus(
        self,
        view: AllotmentView,
        others: list[tuple[Tokens, IncarnationId]],
        demand: Demand | None,
        request: CommitRequest,
    ) -> Tokens:
        """Return what goes back: all when closing or when another one lacks it.

        :param others: tokens that other incarnations want.
        """
        if request.closing:
            return view.free
        if demand is not None:
            lacking = demand.smallest - view.free
            first = not others or (lacking, self._incarnation) < min(others)
            return Tokens(0) if lacking <= view.unallotted or first else view.free
        if others and min(others)[0] > view.unallotted:
            return view.free
        return min(view.free, self._policy.surplus(view))

    def _compose_own(
        self,
        transaction: Transaction,
        limits: SpendingLimits,
        request: CommitRequest,
    ) -> None:
        row = transaction.row
        row.sequence = transaction.sequence
        if request.closing and self._closable(transaction):
            row.state = IncarnationState.CLOSED
            limits = SpendingLimits([], {})
        transaction.limits = limits
        row.sidecars, row.caps = limits.sidecars, limits.caps
        row.growth = limits.growth
        row.seen_seconds, row.lapse_seconds = self._accounts.renew_cap_validity()
        own_key = incarnation_key(self._incarnation)
        own = Write(own_key, transaction.expect, encode_row(row))
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

    def _closable(self, transaction: Transaction) -> bool:
        accounts = self._accounts.by_budget.values()
        return (
            not transaction.partial
            and not self._accounts.reservations_by_attempt
            and len(self._accounts.unsettled_by_attempt) == len(transaction.bills)
            and not any(account.returning for account in accounts)
        )


def _by_urgency(
    budgets: list[BudgetId], transaction: Transaction, request: CommitRequest
) -> list[BudgetId]:
    """Return the budgets of bills first, then those that requests wait for."""
    billed = {bill.budget for bill in transaction.bills}
    return sorted(
        budgets,
        key=lambda budget: (
            budget not in billed,
            budget not in request.demands_by_budget,
            budget,
        ),
    )
