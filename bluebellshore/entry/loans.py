"""Loans of prepaid tokens between routers while the store can't move the tokens.

The lender reserves the tokens as if it ran the request itself. Whichever of the two
routers fails, the tokens count in the lender's allotment: as spent in full, until the
borrower reports what the request cost.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum
from typing import Protocol

import msgspec

from bluebellshore.budget import Accountant
from bluebellshore.budget.direct import DIRECT_SIDECAR, DirectAccounts
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.errors import (
    BluebellshoreError,
    InsufficientBudgetError,
    RefusedError,
)
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, Tokens
from bluebellshore.wire.link_pb2 import Receipt

__all__ = [
    "Loan",
    "LoanClient",
    "LoanOutcome",
    "LoanServer",
    "LoanTransport",
    "make_receipt",
]

#: Routers asked in turn for the tokens of one request.
MAX_LENDERS_ASKED = 6
#: Time for which a router that lent too little is not asked again for that customer.
SHORTAGE_BACKOFF_SECONDS = 0.3
#: Time for which a router that did not answer is not asked again.
UNREACHABLE_BACKOFF_SECONDS = 1.0
#: Timeout of a call to a lender, beside the time that it may take to get tokens.
LENDER_CALL_TIMEOUT_SECONDS = 0.25
WAITING_CALL_TIMEOUT_SECONDS = 0.1
#: Age at which a loan that was not repaid counts as spent; no request takes as long.
LOAN_EXPIRY_SECONDS = 120.0
#: Calls made to repay a loan, and the pause between them.
MAX_REPAY_CALLS = 8
REPAY_RETRY_SECONDS = 0.5


class Loan(msgspec.Struct, frozen=True):
    """Request for a loan of tokens from another router.

    :param name: unique name of the loan, which makes the call idempotent.
    :param tokens: upper bound; the lender may lend less.
    :param wait_seconds: time that the lender may take to get the tokens itself.
    """

    name: str
    customer: CustomerId
    tokens: Tokens
    wait_seconds: float = 0.0


class LoanOutcome(Enum):
    """Result of asking for a loan.

    :cvar COVERED: all tokens are lent.
    :cvar SHORT: those asked lent too little, now or a moment ago.
    :cvar EXHAUSTED: a holder says that the budget is exhausted.
    :cvar UNREACHABLE: no router answered.
    """

    COVERED = "covered"
    SHORT = "short"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"


class LoanTransport(Protocol):
    """Calls other routers to borrow and repay tokens."""

    def reachable(self) -> Collection[IncarnationId]:
        """Return the incarnations of routers heard from lately."""

    def serving(self) -> Collection[IncarnationId]:
        """Return the incarnations of those of them that are not shutting down."""

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Call :meth:`LoanServer.obtain` at a router. :return: the tokens lent.

        :raises InsufficientBudgetError: the lender says that the budget is exhausted.
        :raises BluebellshoreError: no answer came; the router may have lent the tokens.
        """

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Call :meth:`LoanServer.repay` at a router.

        :raises BluebellshoreError: no answer came.
        """


def make_receipt(
    incarnation: IncarnationId, name: str, customer: CustomerId, tokens: int, bound: int
) -> Receipt:
    """Return the receipt of an attempt or a loan that cost at most `bound` tokens.

    :param name: unique name of the reservation that the receipt settles.
    """
    return Receipt(
        attempt=name,
        key=f"{customer}/~{name}",
        incarnation=incarnation,
        customer=customer,
        budget=customer,
        tokens=max(0, min(tokens, bound)),
        reserved_tokens=bound,
    )


class _OpenLoan(msgspec.Struct, frozen=True):
    """Tokens lent and not yet repaid, since `lent_at` in monotonic seconds."""

    customer: CustomerId
    tokens: Tokens
    lent_at: float


class LoanServer:
    """Lends free tokens of this router's allotments to other routers.

    :ivar lent_tokens: tokens lent since the start.
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

        :return: the tokens lent.
        :raises InsufficientBudgetError: the budget is exhausted.
        """
        budget = BudgetId(loan.customer)
        lacking = self._accounts.available(budget, self._clock()) < loan.tokens
        known = (
            loan.name in self._open_loans_by_name
            or loan.name in self._cancelled_at_by_name
        )
        if (
            known
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
            if isinstance(error, InsufficientBudgetError) and not error.retry_after:
                raise
            return self.lend(loan)
        if loan.name in self._cancelled_at_by_name:
            self._accountant.release(name)
            return Tokens(0)
        self._record(loan, loan.tokens)
        return loan.tokens

    def _record(self, loan: Loan, tokens: Tokens) -> None:
        self._open_loans_by_name[loan.name] = _OpenLoan(
            loan.customer, tokens, self._clock()
        )
        self.lent_tokens += tokens

    def lend(self, loan: Loan) -> Tokens:
        """Reserve free tokens for another router, at most as many as it asked for.

        Idempotent by the loan's name. A loan that was repaid before is not lent.

        :return: the tokens lent.
        """
        open_loan = self._open_loans_by_name.get(loan.name)
        if open_loan is not None:
            return open_loan.tokens
        if loan.name in self._cancelled_at_by_name:
            return Tokens(0)
        budget = BudgetId(loan.customer)
        available = self._accounts.available(budget, self._clock())
        tokens = Tokens(min(loan.tokens, available))
        name = f"~{loan.name}"
        if tokens <= 0 or not self._accountant.try_reserve(
            budget, name, DIRECT_SIDECAR, tokens
        ):
            return Tokens(0)
        self._record(loan, tokens)
        return tokens

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
            self._own_incarnation, f"~{name}", loan.customer, tokens, loan.tokens
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
                self.repay(name, loan.tokens)
                self.on_expired(loan.tokens)
        for name, cancelled_at in list(self._cancelled_at_by_name.items()):
            if cancelled_at < before:
                del self._cancelled_at_by_name[name]


class LoanClient:
    """Borrows tokens from other routers.

    In a large fleet these are the holder of the customer's tokens and its deputies, in
    a small one those with the largest allotments.

    :param transport: calls the other routers.
    :param own_incarnation: this router, which is never asked.
    :param allotments_of: returns the tokens allotted to each router of a customer's
        budget, as last read.
    :param lenders_of: returns the holder of a customer's tokens and its deputies;
        nothing where each router holds tokens of each customer.
    :ivar borrowed_tokens: tokens borrowed since the start.
    """

    def __init__(
        self,
        transport: LoanTransport,
        own_incarnation: IncarnationId,
        allotments_of: Callable[[CustomerId], Mapping[IncarnationId, Tokens]],
        clock: Callable[[], float],
        log: DecisionLog | None = None,
        lenders_of: Callable[[CustomerId], Sequence[IncarnationId]] = lambda _: (),
    ):
        self._log = log or silent_log()
        self.borrowed_tokens = 0
        self._lenders_of = lenders_of
        self._allotments_of = allotments_of
        self._transport = transport
        self._own_incarnation = own_incarnation
        self._clock = clock
        self._short_until: dict[tuple[IncarnationId, CustomerId], float] = {}
        self._unreachable_until: dict[IncarnationId, float] = {}
        self._tasks: set[asyncio.Task] = set()

    async def borrow(
        self, loan: Loan, deadline: float = math.inf
    ) -> tuple[LoanOutcome, dict[IncarnationId, Tokens]]:
        """Borrow the tokens of one request from one or more routers.

        :param deadline: local time from which only the first router is asked.
        :return: the outcome, and the tokens by lender. None are lent when all together
            lent too little: what they lent is then given back.
        """
        lent_by_router: dict[IncarnationId, Tokens] = {}
        try:
            outcome = await self._borrow_parts(loan, lent_by_router, deadline)
        except BaseException:
            self._give_back(loan, lent_by_router)
            raise
        if outcome is not LoanOutcome.COVERED:
            self._give_back(loan, lent_by_router)
            return outcome, {}
        self.borrowed_tokens += loan.tokens
        return outcome, lent_by_router

    async def _borrow_parts(
        self,
        loan: Loan,
        lent_by_router: dict[IncarnationId, Tokens],
        deadline: float,
    ) -> LoanOutcome:
        """Ask routers in turn until the loan is covered; adds to `lent_by_router`."""
        lacking = loan.tokens
        outcome = LoanOutcome.UNREACHABLE
        for position, peer in enumerate(self._lenders_to_ask(loan)):
            if position and self._clock() >= deadline:
                return LoanOutcome.SHORT
            if self._short_until.get((peer, loan.customer), 0.0) > self._clock():
                outcome = LoanOutcome.SHORT
                continue
            part = msgspec.structs.replace(loan, tokens=Tokens(lacking))
            try:
                lent = await self._borrow_from(peer, part)
            except InsufficientBudgetError:
                return LoanOutcome.EXHAUSTED
            if lent is None:
                self._unreachable_until[peer] = (
                    self._clock() + UNREACHABLE_BACKOFF_SECONDS
                )
                continue
            outcome = LoanOutcome.SHORT
            if lent < lacking:
                self._short_until[peer, loan.customer] = (
                    self._clock() + SHORTAGE_BACKOFF_SECONDS
                )
            if lent:
                lent_by_router[peer] = lent
                lacking -= lent
            if lacking <= 0:
                return LoanOutcome.COVERED
        return outcome

    def _give_back(
        self, loan: Loan, lent_by_router: dict[IncarnationId, Tokens]
    ) -> None:
        for peer in lent_by_router:
            self.repay(peer, loan.name, Tokens(0))

    def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Tell a lender in the background what its loan cost."""
        task = asyncio.ensure_future(self._repay(peer, name, tokens))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, seconds: float) -> None:
        """Wait at most `seconds` for pending repayments, and cancel the rest."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=seconds)
        unfinished = list(self._tasks)
        for task in unfinished:
            task.cancel()
        if unfinished:
            reason = "not repaid before the stop; the lenders count them as spent"
            self._log.notice("loan", reason, not_repaid=len(unfinished))

    def _lenders_to_ask(self, loan: Loan) -> list[IncarnationId]:
        """Return reachable routers that may have tokens of the customer, in order."""
        reachable = {
            peer
            for peer in self._transport.reachable()
            if peer != self._own_incarnation
            and self._unreachable_until.get(peer, 0.0) <= self._clock()
        }
        lenders = [p for p in self._lenders_of(loan.customer) if p in reachable]
        allotments = self._allotments_of(loan.customer)
        if lenders:
            reachable = {p for p in reachable if allotments.get(p)} - set(lenders)
        others = sorted(reachable, key=lambda peer: (-allotments.get(peer, 0), peer))
        return (lenders + others)[:MAX_LENDERS_ASKED]

    async def _borrow_from(self, peer: IncarnationId, loan: Loan) -> Tokens | None:
        """Ask a router for a loan, which is given back if no answer comes.

        :return: the tokens lent; None if no answer came.
        """
        timeout_seconds = LENDER_CALL_TIMEOUT_SECONDS
        if loan.wait_seconds:
            timeout_seconds = WAITING_CALL_TIMEOUT_SECONDS + loan.wait_seconds
        try:
            async with asyncio.timeout(timeout_seconds):
                lent = await self._transport.borrow(peer, loan)
        except InsufficientBudgetError:
            raise
        except (TimeoutError, BluebellshoreError) as error:
            reason = _reason_of(error, timeout_seconds)
            self._log.notice("loan", reason, peer=peer, loan=loan.name)
            self.repay(peer, loan.name, Tokens(0))
            return None
        except asyncio.CancelledError:
            self.repay(peer, loan.name, Tokens(0))
            raise
        return Tokens(min(lent, loan.tokens))

    async def _repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        for _ in range(MAX_REPAY_CALLS):
            try:
                async with asyncio.timeout(LENDER_CALL_TIMEOUT_SECONDS):
                    await self._transport.repay(peer, name, tokens)
                return
            except (TimeoutError, BluebellshoreError) as error:
                reason = _reason_of(error, LENDER_CALL_TIMEOUT_SECONDS)
            await asyncio.sleep(REPAY_RETRY_SECONDS)
        self._log.notice("loan", reason, peer=peer, loan=name, not_repaid=tokens)


def _reason_of(error: Exception, timeout_seconds: float) -> str:
    """Return why a call to a lender failed.

    :param timeout_seconds: timeout of the call.
    """
    if isinstance(error, TimeoutError):
        return f"no answer for {timeout_seconds:.2f} s"
    return str(error)
