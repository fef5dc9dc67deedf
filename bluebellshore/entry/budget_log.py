"""Log lines and counts of prepaid budgets at one router."""

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
    """Writes what requests were granted, and how this router's parts change.

    :param prepaid: prepaid total in force; None for no limit.
    :param store_time: the store's time by its newest answer, None for none.
    """

    def __init__(
        self,
        book: DirectAccounts,
        accountant: Accountant,
        *,
        prepaid: Callable[[CustomerId], Tokens | None],
        store_time: Callable[[], StoreTime | None],
        clock: Callable[[], float],
        log: DecisionLog | None = None,
        metrics: EntryMetrics | None = None,
    ):
        self._book = book
        self._accountant = accountant
        self._prepaid = prepaid
        self._store_time = store_time
        self._clock = clock
        self.log = log or silent_log()
        self._metrics = metrics or EntryMetrics()

    def granted(
        self, attempt_id: str, customer: CustomerId, tokens: Tokens, lent: int
    ) -> None:
        """Take in a reservation. :param lent: part of it from other routers."""
        self._metrics.tokens_reserved(tokens)
        inputs = {"lent": lent} if lent else None
        self._budget(attempt_id, customer, BudgetOutcome.GRANTED, tokens, inputs)

    def settled(self, attempt_id: str, customer: CustomerId, tokens: Tokens) -> None:
        """Take in what a request cost."""
        self._metrics.tokens_settled(tokens)
        self._budget(attempt_id, customer, BudgetOutcome.SETTLED, tokens)

    def refused(
        self,
        attempt_id: str,
        customer: CustomerId,
        tokens: Tokens,
        error: RefusedError,
        waited_seconds: float,
    ) -> None:
        """Take in a request whose tokens were not there; `error` gets its inputs."""
        budget = BudgetId(customer)
        account = self._book.account(budget)
        inputs = {
            "tokens": tokens,
            "balance": account.free,
            "reserved": account.reserved,
            "unsettled": account.unsettled,
            "cap": self._book.cap(budget, self._clock()),
            "waited_seconds": waited_seconds,
            "store_lost": self._accountant.platform_out,
        }
        cover = self._accountant.last_balance(budget)
        if cover is not None:
            inputs["cover"] = cover.tokens
            inputs["cover_prepaid"] = cover.prepaid_total
            inputs["cover_age_seconds"] = self._clock() - cover.seen_at
        error.inputs = inputs
        self._metrics.tokens_refused(tokens)
        self._budget(attempt_id, customer, BudgetOutcome.SHORT, tokens, inputs)

    def applied(self, transaction: Transaction) -> None:
        """Take in a transaction that stands."""
        for budget, tokens in transaction.grants.items():
            self._allotment(budget, AllotmentOutcome.GRANTED, tokens)
        for budget, tokens in transaction.returns.items():
            self._allotment(budget, AllotmentOutcome.RETURNED, tokens)

    def reclaimed(self, budget: BudgetId, tokens: Tokens, reason: str) -> None:
        """Take in that tokens of a dead life of this instance are free again."""
        self._allotment(budget, AllotmentOutcome.RECLAIMED, tokens, reason)

    def platform(self, out: bool) -> None:
        """Take in whether the store takes transactions."""
        self.log.notice(
            "budgets",
            "the store gives no answer" if out else "the store answers again",
            unsettled=len(self._book.unsettled_by_attempt),
        )

    def _budget(
        self,
        attempt_id: str,
        customer: CustomerId,
        outcome: BudgetOutcome,
        tokens: Tokens,
        inputs: dict[str, object] | None = None,
    ) -> None:
        account = self._book.account(BudgetId(customer))
        seen = self._store_time()
        self.log.budget(
            attempt_id,
            customer=customer,
            outcome=outcome,
            tokens=tokens,
            balance=account.free,
            balance_age_seconds=seen and self._clock() - seen.local_seconds,
            prepaid=self._prepaid(customer),
            reserved=account.reserved,
            inputs=inputs,
        )

    def _allotment(
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
            balance=self._book.account(budget).free,
            prepaid=self._prepaid(CustomerId(budget)),
            reason=reason,
        )
