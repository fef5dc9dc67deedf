"""Lends this router's prepaid tokens to other routers."""

from collections.abc import Callable

import msgspec

from bluebellshore.budget import Accountant
from bluebellshore.budget.direct import DIRECT_SIDECAR, DirectAccounts
from bluebellshore.budget.lent import LoanReport, tokens_lent_ahead
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.loans import LOAN_EXPIRY_SECONDS, Loan, make_receipt
from bluebellshore.errors import InsufficientBudgetError, RefusedError
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, Tokens

__all__ = ["LoanServer"]


class _OpenLoan(msgspec.Struct, frozen=True):
    """Tokens lent and not yet repaid, since `lent_at` in monotonic seconds.

    :param lent: tokens lent.
    :param tokens: those of them that no report gave back or counted as spent.
    :param cost: tokens spent, by the last report.
    :param reports: number of the last report.
    """

    customer: CustomerId
    lent: Tokens
    tokens: Tokens
    lent_at: float
    cost: Tokens = Tokens(0)
    reports: int = 0


class LoanServer:
    """Lends free tokens of this router's allotments to other routers.

    :ivar lent_tokens: tokens lent since the start.
    :ivar ahead_tokens: those of them that no request waited for.
    """

    def __init__(
        self,
        accountant: Accountant,
        accounts: DirectAccounts,
        own_incarnation: IncarnationId,
        clock: Callable[[], float],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        #: Called with the tokens of each loan that expires.
        self.on_expired: Callable[[Tokens], None] = lambda tokens: None
        self.lent_tokens = 0
        self.ahead_tokens = 0
        self._accounts = accounts
        self._accountant = accountant
        self._own_incarnation = own_incarnation
        self._clock = clock
        self._open_loans_by_name: dict[str, _OpenLoan] = {}
        self._cancelled_at_by_name: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._open_loans_by_name)

    async def obtain(self, loan: Loan) -> Tokens:
        """Lend tokens, and first draw what lacks where the loan leaves time for it.

        Waits for `loan.tokens` alone: all that requests wait for together may be more
        than is left where the tokens of one are not.

        :return: the tokens lent.
        :raises InsufficientBudgetError: the budget is exhausted.
        """
        budget = BudgetId(loan.customer)
        lacking = self._accounts.available(budget, self._clock()) < loan.tokens
        if (
            self._is_known(loan.name)
            or not lacking
            or not loan.wait_seconds
            or self._accountant.platform_out
        ):
            return self.lend(loan)
        name = f"~{loan.name}"
        try:
            await self._accountant.reserve(
                budget,
                name,
                DIRECT_SIDECAR,
                loan.tokens,
                wait_seconds=loan.wait_seconds,
            )
        except RefusedError as error:
            exhausted = (
                isinstance(error, InsufficientBudgetError) and not error.retry_after
            )
            if exhausted:
                raise
            return self.lend(loan)
        if self._is_known(loan.name):  # withdrawn meanwhile
            self._accountant.release(name)
        else:
            # The caps have headroom again, also for what is lent ahead.
            self._accounts.release(name, self._clock())
        return self.lend(loan)

    def _is_known(self, name: str) -> bool:
        return name in self._open_loans_by_name or name in self._cancelled_at_by_name

    def _record(self, loan: Loan, tokens: Tokens) -> None:
        self._open_loans_by_name[loan.name] = _OpenLoan(
            loan.customer, tokens, tokens, self._clock()
        )
        self.lent_tokens += tokens
        self.ahead_tokens += max(0, tokens - loan.tokens - loan.waiting)

    def lend(self, loan: Loan) -> Tokens:
        """Reserve free tokens for another router, at most as many as it asked for.

        Idempotent by the loan's name. A loan that was repaid before is not lent.

        :return: the tokens lent.
        """
        open_loan = self._open_loans_by_name.get(loan.name)
        if open_loan is not None:
            return open_loan.lent
        if loan.name in self._cancelled_at_by_name:
            return Tokens(0)
        budget = BudgetId(loan.customer)
        available = self._accounts.available(budget, self._clock())
        wanted = loan.tokens + loan.waiting
        tokens = Tokens(min(wanted, available) + self._tokens_ahead(loan, available))
        name = f"~{loan.name}"
        if tokens <= 0 or not self._accountant.try_reserve(
            budget, name, DIRECT_SIDECAR, tokens
        ):
            return Tokens(0)
        self._record(loan, tokens)
        return tokens

    def _tokens_ahead(self, loan: Loan, available: Tokens) -> Tokens:
        """Return the tokens to lend beyond those that requests wait for.

        None while the store can't be reached and caps hold: they then grow too slowly
        for more than what requests wait for.
        """
        wanted = loan.tokens + loan.waiting
        account = self._accounts.account(BudgetId(loan.customer))
        capped = self._accountant.platform_out and available < account.free
        if not loan.ahead or available <= wanted or capped:
            return Tokens(0)
        return tokens_lent_ahead(
            loan.ahead,
            Tokens(account.free - wanted),
            Tokens(available - wanted),
            account.burn_rate.per_second(self._clock()),
        )

    def report(self, report: LoanReport) -> None:
        """Count what a loan cost so far, and free what its borrower holds no more.

        Idempotent by the report's number; one that is late changes nothing.
        """
        loan = self._open_loans_by_name.get(report.name)
        if loan is None or report.number <= loan.reports:
            return
        kept = Tokens(min(report.kept, loan.tokens))
        if not kept:
            self.repay(report.name, report.cost)
            return
        name = f"~{report.name}"
        part, part_name = Tokens(loan.tokens - kept), f"{name}/{report.number}"
        if self._accounts.split(name, part_name, part):
            receipt = make_receipt(
                self._own_incarnation,
                part_name,
                loan.customer,
                report.cost - loan.cost,
                part,
            )
            self._accountant.settle(receipt)
        self._open_loans_by_name[report.name] = msgspec.structs.replace(
            loan,
            tokens=kept,
            cost=Tokens(max(loan.cost, report.cost)),
            reports=report.number,
        )

    def repay(self, name: str, tokens: Tokens) -> None:
        """Count what a loan cost and free the rest.

        The borrower repays a loan whose answer did not come, so that a repayment may
        arrive before the request for the loan; it then cancels the loan.
        """
        loan = self._open_loans_by_name.pop(name, None)
        if loan is None:
            self._cancelled_at_by_name[name] = self._clock()
            return
        receipt = make_receipt(
            self._own_incarnation,
            f"~{name}",
            loan.customer,
            tokens - loan.cost,
            loan.tokens,
        )
        self._accountant.settle(receipt)

    def expire(self) -> None:
        """Count loans that were not repaid in time as spent in full."""
        before = self._clock() - LOAN_EXPIRY_SECONDS
        for name, loan in list(self._open_loans_by_name.items()):
            if loan.lent_at < before:
                self._log.notice(
                    "loan",
                    "loan not repaid in time; its tokens count as spent",
                    loan=name,
                    customer=loan.customer,
                    tokens=loan.tokens,
                )
                self.repay(name, Tokens(loan.cost + loan.tokens))
                self.on_expired(loan.tokens)
        for name, cancelled_at in list(self._cancelled_at_by_name.items()):
            if cancelled_at < before:
                del self._cancelled_at_by_name[name]
