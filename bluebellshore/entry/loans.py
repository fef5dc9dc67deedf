"""Loans of prepaid tokens between routers while the store can't move the tokens.

The lender reserves the tokens as if it ran the request itself. Whichever of the two
routers fails, the tokens count in the lender's allotment: as spent in full, until the
borrower reports what the request cost.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable, Collection, Coroutine, Mapping, Sequence
from enum import Enum
from typing import Any, Protocol

import msgspec

from bluebellshore.budget.lent import LoanReport
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.errors import (
    BluebellshoreError,
    InsufficientBudgetError,
)
from bluebellshore.ids import CustomerId, IncarnationId, Tokens
from bluebellshore.wire.link_pb2 import Receipt

__all__ = [
    "LOAN_CALL_TIMEOUT_SECONDS",
    "Loan",
    "LoanClient",
    "LoanOutcome",
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
#: Longest wait for the answer to a loan whose timeout is over, and for that to any.
LATE_ANSWER_SECONDS = 1.5
LOAN_CALL_TIMEOUT_SECONDS = 2.0
#: Part of each measurement in the average time from a call to its answer.
ROUND_TRIP_WEIGHT = 0.3
#: Age at which a loan that was not repaid counts as spent; no request takes as long.
LOAN_EXPIRY_SECONDS = 120.0
#: Timeout of a call that repays a loan or reports on it. Nobody waits for it, and on a
#: full link a shorter one would only repeat it.
REPAY_CALL_TIMEOUT_SECONDS = 0.6
#: Calls made to repay a loan, and the pause between them.
MAX_REPAY_CALLS = 8
REPAY_RETRY_SECONDS = 0.5


class Loan(msgspec.Struct, frozen=True):
    """Request for a loan of tokens from another router.

    :param name: unique name of the loan, which makes the call idempotent.
    :param tokens: upper bound of what the request needs that has waited longest; the
        lender may lend less.
    :param wait_seconds: time that the lender may take to get the tokens itself.
    :param waiting: tokens that other requests wait for.
    :param ahead: tokens to lend beyond all that, where the lender can spare them.
    """

    name: str
    customer: CustomerId
    tokens: Tokens
    wait_seconds: float = 0.0
    waiting: Tokens = Tokens(0)
    ahead: Tokens = Tokens(0)

    @property
    def most(self) -> Tokens:
        """Most tokens that the lender may lend."""
        return Tokens(self.tokens + self.waiting + self.ahead)


class LoanOutcome(Enum):
    """Result of asking for a loan.

    :cvar COVERED: all tokens are lent.
    :cvar SHORT: those asked lent too little, now or a moment ago.
    :cvar EXHAUSTED: a holder says that the budget is exhausted.
    :cvar UNREACHABLE: no router answered.
    :cvar SILENT: none of those asked answered in time, and others were not asked.
    """

    COVERED = "covered"
    SHORT = "short"
    EXHAUSTED = "exhausted"
    UNREACHABLE = "unreachable"
    SILENT = "silent"


class LoanTransport(Protocol):
    """Calls other routers to borrow and repay tokens."""

    def reachable(self) -> Collection[IncarnationId]:
        """Return the incarnations of routers heard from lately."""

    def serving(self) -> Collection[IncarnationId]:
        """Return the incarnations of those of them that are not shutting down."""

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Call `LoanServer.obtain` at a router. :return: the tokens lent.

        :raises InsufficientBudgetError: the lender says that the budget is exhausted.
        :raises BluebellshoreError: no answer came; the router may have lent the tokens.
        """

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Call `LoanServer.repay` at a router.

        :raises BluebellshoreError: no answer came.
        """

    async def report(self, report: LoanReport) -> None:
        """Call `LoanServer.report` at the lender of a loan.

        Only lenders that lent more than the loan's `tokens` take reports.

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
    :ivar round_trip_seconds: average time from a call for a loan to its answer.
    :ivar on_late: called with the lender, the loan and the tokens of a loan whose
        answer came after its timeout; None to give such a loan back.
    """

    on_late: Callable[[IncarnationId, Loan, Tokens], None] | None = None

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
        self.round_trip_seconds = 0.0
        self._lenders_of = lenders_of
        self._allotments_of = allotments_of
        self._transport = transport
        self._own_incarnation = own_incarnation
        self._clock = clock
        self._short_until: dict[tuple[IncarnationId, CustomerId], float] = {}
        self._unreachable_until: dict[IncarnationId, float] = {}
        #: Lenders whose answer is late, by customer.
        self._late_lenders: set[tuple[IncarnationId, CustomerId]] = set()
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

    async def collect(
        self, loan: Loan, deadline: float, *, renews: bool = False
    ) -> tuple[LoanOutcome, list[tuple[IncarnationId, Loan, Tokens]]]:
        """Borrow for several requests from one or more routers, and keep what is lent.

        :param deadline: local time from which only the first router is asked.
        :param renews: whether no request waits for the loan. A router that lends too
            little is then still asked for the requests that come next.
        :return: the outcome for `loan.tokens`, and each part that was lent: the lender,
            what it was asked for and the tokens.
        """
        lent_by_router: dict[IncarnationId, Tokens] = {}
        asked_by_router: dict[IncarnationId, Loan] = {}
        try:
            outcome = await self._borrow_parts(
                loan, lent_by_router, deadline, asked_by_router, renews=renews
            )
        except BaseException:
            self._give_back(loan, lent_by_router)
            raise
        self.borrowed_tokens += sum(lent_by_router.values())
        return outcome, [
            (peer, asked_by_router[peer], lent) for peer, lent in lent_by_router.items()
        ]

    async def _borrow_parts(
        self,
        loan: Loan,
        lent_by_router: dict[IncarnationId, Tokens],
        deadline: float,
        asked_by_router: dict[IncarnationId, Loan] | None = None,
        *,
        renews: bool = False,
    ) -> LoanOutcome:
        """Ask routers in turn until the loan is covered; adds to `lent_by_router`.

        :param asked_by_router: gets what each router was asked for.
        """
        lacking = loan.tokens
        outcome = LoanOutcome.UNREACHABLE
        for position, peer in enumerate(self._lenders_to_ask(loan)):
            if position and self._clock() >= deadline:
                if outcome is LoanOutcome.UNREACHABLE:
                    return LoanOutcome.SILENT
                return outcome
            if (peer, loan.customer) in self._late_lenders:
                continue
            if self._short_until.get((peer, loan.customer), 0.0) > self._clock():
                outcome = LoanOutcome.SHORT
                continue
            part = msgspec.structs.replace(loan, tokens=Tokens(lacking))
            if asked_by_router is not None:
                asked_by_router[peer] = part
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
            if lent < lacking and not renews:
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
        self._start(self._repay(peer, name, tokens))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self, seconds: float) -> None:
        """Wait at most `seconds` for pending repayments, and cancel the rest."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                while self._tasks:  # a late answer may start a repayment
                    await asyncio.wait(set(self._tasks))
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
        asked_at = self._clock()
        call = asyncio.ensure_future(self._transport.borrow(peer, loan))
        try:
            done, _ = await asyncio.wait({call}, timeout=timeout_seconds)
            if not done:
                raise TimeoutError
            lent = call.result()
        except InsufficientBudgetError:
            raise
        except (TimeoutError, BluebellshoreError) as error:
            reason = _reason_of(error, timeout_seconds)
            self._log.notice("loan", reason, peer=peer, loan=loan.name)
            if call.done() or self.on_late is None:
                call.cancel()
                self.repay(peer, loan.name, Tokens(0))
            else:
                self._late_lenders.add((peer, loan.customer))
                self._start(self._await_late(call, peer, loan, asked_at))
            return None
        except asyncio.CancelledError:
            call.cancel()
            self.repay(peer, loan.name, Tokens(0))
            raise
        self._record_round_trip(asked_at)
        return Tokens(min(lent, loan.most))

    def _record_round_trip(self, asked_at: float) -> None:
        deviation = self._clock() - asked_at - self.round_trip_seconds
        self.round_trip_seconds += ROUND_TRIP_WEIGHT * deviation

    async def _await_late(
        self, call: asyncio.Future, peer: IncarnationId, loan: Loan, asked_at: float
    ) -> None:
        """Pass on a loan that is late, or give it back if no answer comes."""
        try:
            async with asyncio.timeout(LATE_ANSWER_SECONDS):
                lent = await call
        except (TimeoutError, BluebellshoreError):
            lent = None
        finally:
            self._late_lenders.discard((peer, loan.customer))
        if lent is None:
            await self._repay(peer, loan.name, Tokens(0))
            return
        self._record_round_trip(asked_at)
        if lent:
            self.on_late(peer, loan, Tokens(min(lent, loan.most)))

    def report(self, report: LoanReport) -> None:
        """Tell a lender in the background what a loan cost so far."""
        if not report.kept:
            self.repay(report.lender, report.name, report.cost)
        else:
            self._start(self._report(report))

    async def _report(self, report: LoanReport) -> None:
        # Without another call: the next report, or the last one, tells the same.
        try:
            async with asyncio.timeout(REPAY_CALL_TIMEOUT_SECONDS):
                await self._transport.report(report)
        except (TimeoutError, BluebellshoreError) as error:
            reason = _reason_of(error, REPAY_CALL_TIMEOUT_SECONDS)
            self._log.notice("loan", reason, peer=report.lender, loan=report.name)

    async def _repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        for _ in range(MAX_REPAY_CALLS):
            try:
                async with asyncio.timeout(REPAY_CALL_TIMEOUT_SECONDS):
                    await self._transport.repay(peer, name, tokens)
                return
            except (TimeoutError, BluebellshoreError) as error:
                reason = _reason_of(error, REPAY_CALL_TIMEOUT_SECONDS)
            await asyncio.sleep(REPAY_RETRY_SECONDS)
        self._log.notice("loan", reason, peer=peer, loan=name, not_repaid=tokens)


def _reason_of(error: Exception, timeout_seconds: float) -> str:
    """Return why a call to a lender failed.

    :param timeout_seconds: timeout of the call.
    """
    if isinstance(error, TimeoutError):
        return f"no answer for {timeout_seconds:.2f} s"
    return str(error)
