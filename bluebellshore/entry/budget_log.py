"""Decision log and metrics of the prepaid budgets at a router."""

from collections.abc import Callable, Mapping

from bluebellshore.budget import Accountant
from bluebellshore.budget.direct import DirectAccounts
from bluebellshore.budget.transaction_builder import Transaction
from bluebellshore.budget.unbilled import (
    BudgetTotals,
    SettledAbsence,
    UnbilledReason,
)
from bluebellshore.decisions import (
    AllotmentOutcome,
    BudgetOutcome,
    DecisionLog,
    silent_log,
)
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, Tokens
from bluebellshore.store.interface import StoreTime

__all__ = ["BudgetLog"]

#: Decimal places of seconds in the inputs of a line.
DECIMAL_PLACES = 3


class BudgetLog:
    """Logs and counts reservations of requests and changes of allotments.

    :param prepaid: returns a customer's current prepaid total; None for no limit.
    :param store_time: returns the store's time as of its latest answer, and the time of
        that answer by `clock`; None as long as no answer gave a time.
    :param clock: monotonic seconds.
    """

    def __init__(
        self,
        accounts: DirectAccounts,
        accountant: Accountant,
        *,
        prepaid: Callable[[CustomerId], Tokens | None],
        store_time: Callable[[], StoreTime | None],
        clock: Callable[[], float],
        log: DecisionLog | None = None,
        metrics: EntryMetrics | None = None,
    ):
        self._accounts = accounts
        self._accountant = accountant
        self._prepaid = prepaid
        self._store_time = store_time
        self._clock = clock
        self.log = log or silent_log()
        self._metrics = metrics or EntryMetrics()

    def record_reservation(
        self,
        attempt_id: str,
        customer: CustomerId,
        tokens: Tokens,
        lent_by_router: Mapping[IncarnationId, Tokens],
    ) -> None:
        """Record a reservation.

        :param lent_by_router: tokens of the reservation that other routers lent.
        """
        self._metrics.tokens_reserved(tokens)
        inputs = None
        if lent_by_router:
            lent = sum(lent_by_router.values())
            inputs = {"lent": lent, "lenders": dict(lent_by_router)}
        self._log_budget(attempt_id, customer, BudgetOutcome.GRANTED, tokens, inputs)

    def record_cost(
        self, attempt_id: str, customer: CustomerId, tokens: Tokens
    ) -> None:
        """Record the cost of an attempt."""
        self._metrics.tokens_settled(tokens)
        self._log_budget(attempt_id, customer, BudgetOutcome.SETTLED, tokens)

    def record_refusal(
        self,
        attempt_id: str,
        customer: CustomerId,
        tokens: Tokens,
        error: RefusedError,
        waited_seconds: float,
    ) -> None:
        """Record an attempt for which no tokens were available.

        :param error: refusal of the attempt; gets the inputs of the decision.
        """
        budget = BudgetId(customer)
        account = self._accounts.account(budget)
        inputs = {
            "tokens": tokens,
            "balance": account.free,
            "reserved": account.reserved,
            "unsettled": account.unsettled,
            "cap": self._accounts.cap(budget, self._clock()),
            "waited_seconds": waited_seconds,
            "store_lost": self._accountant.platform_out,
        }
        balance = self._accountant.last_balance(budget)
        if balance is not None:
            inputs["cover"] = balance.tokens
            inputs["cover_prepaid"] = balance.prepaid_total
            inputs["cover_age_seconds"] = self._clock() - balance.seen_at
        error.inputs = inputs
        self._metrics.tokens_refused(tokens)
        self._log_budget(attempt_id, customer, BudgetOutcome.SHORT, tokens, inputs)

    def record_transaction(self, transaction: Transaction) -> None:
        """Record the changes of allotments in a committed transaction."""
        for outcome, tokens_by_budget in (
            (AllotmentOutcome.BILLED, transaction.billed()),
            (AllotmentOutcome.GRANTED, transaction.grants),
            (AllotmentOutcome.RETURNED, transaction.returns),
        ):
            for budget, tokens in tokens_by_budget.items():
                if tokens:
                    totals = transaction.totals.get(budget)
                    self._log_allotment(budget, outcome, tokens, totals)
        for budget, tokens in transaction.recounted.items():
            self._record_unbilled(
                budget,
                tokens,
                UnbilledReason.RECOUNTED,
                transaction.totals.get(budget),
                "a restored store lacks what was drawn before",
                {},
            )

    def record_absence(self, absence: SettledAbsence) -> None:
        """Record what became of the tokens of an earlier incarnation."""
        for budget, returned in absence.returned.items():
            inputs = {
                "predecessor": absence.incarnation,
                "absent_seconds": absence.absent_seconds,
                "away_seconds": absence.away_seconds,
                "lapse_seconds": absence.lapse_seconds or None,
                "cap": absence.caps.get(budget),
                "cap_growth": absence.growth.get(budget),
            }
            spent, totals = absence.spent[budget], absence.totals[budget]
            reason = f"{absence.incarnation} ended; {spent} tokens count as spent"
            self._log_allotment(
                budget, AllotmentOutcome.RECLAIMED, returned, totals, reason, inputs
            )
            if spent:
                self._record_unbilled(
                    budget, spent, absence.reason, totals, _why(absence), inputs
                )

    def record_expired_loan(self, tokens: Tokens) -> None:
        """Record that a loan counts as spent in full."""
        reason = UnbilledReason.LOAN_EXPIRED.value
        self._metrics.tokens_spent_without_bill(reason, tokens)

    def _record_unbilled(
        self,
        budget: BudgetId,
        tokens: Tokens,
        reason: UnbilledReason,
        totals: BudgetTotals | None,
        text: str,
        inputs: Mapping[str, object],
    ) -> None:
        self._metrics.tokens_spent_without_bill(reason.value, tokens)
        self._log_allotment(
            budget,
            AllotmentOutcome.COUNTED_SPENT,
            tokens,
            totals,
            text,
            {"cause": reason.value, **inputs},
        )

    def record_store_contact(self, out: bool) -> None:
        """Record that a commit failed (`out`) after a success, or succeeds again."""
        self.log.notice(
            "budgets",
            "a commit to the store failed"
            if out
            else "commits to the store succeed again",
            unsettled=len(self._accounts.unsettled_by_attempt),
        )

    def _log_budget(
        self,
        attempt_id: str,
        customer: CustomerId,
        outcome: BudgetOutcome,
        tokens: Tokens,
        inputs: dict[str, object] | None = None,
    ) -> None:
        account = self._accounts.account(BudgetId(customer))
        store_time = self._store_time()
        self.log.budget(
            attempt_id,
            customer=customer,
            outcome=outcome,
            tokens=tokens,
            balance=account.free,
            balance_age_seconds=store_time and self._clock() - store_time.local_seconds,
            prepaid=self._prepaid(customer),
            reserved=account.reserved,
            inputs=inputs,
        )

    def _log_allotment(
        self,
        budget: BudgetId,
        outcome: AllotmentOutcome,
        tokens: Tokens,
        totals: BudgetTotals | None,
        reason: str = "",
        inputs: Mapping[str, object] | None = None,
    ) -> None:
        found = {
            name: round(value, DECIMAL_PLACES) if isinstance(value, float) else value
            for name, value in (inputs or {}).items()
            if value is not None
        }
        if totals is not None:
            found |= {"settled": totals.settled, "allotted": totals.allotted}
        self.log.allotment(
            budget,
            outcome,
            tokens=tokens,
            balance=self._accounts.account(budget).free,
            prepaid=self._prepaid(CustomerId(budget)),
            reason=reason,
            inputs=found,
        )


def _why(absence: SettledAbsence) -> str:
    """Return in words why tokens of an earlier incarnation count as spent."""
    match absence.reason:
        case UnbilledReason.WITHIN_CAPS:
            return (
                f"{absence.incarnation} may have spent up to its caps before it ended"
            )
        case UnbilledReason.CAPS_LAPSED:
            return (
                f"{absence.incarnation} was absent for {absence.absent_seconds:.1f} s, "
                f"and its caps hold for {absence.lapse_seconds:.1f} s"
            )
        case UnbilledReason.STORE_RESTORED:
            return f"the row of {absence.incarnation} came back with an older copy"
    return f"nothing tells for how long {absence.incarnation} was absent"
