"""Decision log and metrics of the prepaid budgets at a router."""

from collections.abc import Callable

from bluebellshore.budget import Accountant
from bluebellshore.budget.direct import DirectAccounts
from bluebellshore.budget.transaction_builder import Transaction
from bluebellshore.decisions import (
    AllotmentOutcome,
    BudgetOutcome,
    DecisionLog,
    silent_log,
)
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, CustomerId, Tokens
from bluebellshore.store.interface import StoreTime

__all__ = ["BudgetLog"]


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
        self, attempt_id: str, customer: CustomerId, tokens: Tokens, lent: int
    ) -> None:
        """Record a reservation.

        :param lent: tokens of the reservation that other routers lent.
        """
        self._metrics.tokens_reserved(tokens)
        inputs = {"lent": lent} if lent else None
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
        for budget, tokens in transaction.grants.items():
            self._log_allotment(budget, AllotmentOutcome.GRANTED, tokens)
        for budget, tokens in transaction.returns.items():
            self._log_allotment(budget, AllotmentOutcome.RETURNED, tokens)

    def record_reclaimed(self, budget: BudgetId, tokens: Tokens, reason: str) -> None:
        """Record that tokens of an earlier incarnation are free again."""
        self._log_allotment(budget, AllotmentOutcome.RECLAIMED, tokens, reason)

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
        reason: str = "",
    ) -> None:
        self.log.allotment(
            budget,
            outcome,
            tokens=tokens,
            balance=self._accounts.account(budget).free,
            prepaid=self._prepaid(CustomerId(budget)),
            reason=reason,
        )
