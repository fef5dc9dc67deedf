"""Borrows tokens for the requests at a router that does not hold them."""

import asyncio
from collections.abc import Callable, Collection, Coroutine
from typing import Any

import eliot
import msgspec

from bluebellshore.budget.lent import LentPart, LentTokens
from bluebellshore.entry.loans import Loan, LoanClient, LoanOutcome
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.ids import CustomerId, IncarnationId, Tokens

__all__ = ["Borrower"]

#: Time that the holder of a customer's tokens may take to raise its cap or to draw
#: tokens for a loan.
LENDER_WAIT_SECONDS = 0.15
#: Pause before the holder of a customer's tokens is asked again.
RETRY_SECONDS = 0.03
#: Pause between two loans that are asked for before a request lacks tokens.
RENEWAL_PAUSE_SECONDS = 0.1


class _Waiting(msgspec.Struct, eq=False):
    """A request that waits for tokens.

    :param outcome: why it got none so far.
    :param answer: the outcome, and the tokens reserved if that is covered.
    """

    tokens: Tokens
    deadline: float
    answer: asyncio.Future[tuple[LoanOutcome, list[LentPart]]]
    outcome: LoanOutcome = LoanOutcome.SILENT


class Borrower:
    """Borrows for all waiting requests of a customer, with one call at a time.

    Handles routers at which many requests a second of one customer arrive. A call for
    each of them, and another one to repay it, would be more than a full link carries.

    :param incarnation: this router; names of loans begin with it.
    :param serving: returns the routers that are alive and not shutting down.
    """

    def __init__(
        self,
        client: LoanClient,
        incarnation: IncarnationId,
        serving: Callable[[], Collection[IncarnationId]],
        clock: Callable[[], float],
        metrics: EntryMetrics | None = None,
    ):
        self._client = client
        self._incarnation = incarnation
        self._clock = clock
        self._metrics = metrics or EntryMetrics()
        self._lent = LentTokens(
            serving,
            lambda customer: customer in self._queues,
            lambda: client.round_trip_seconds,
        )
        self._queues: dict[CustomerId, list[_Waiting]] = {}
        self._tasks_by_customer: dict[CustomerId, asyncio.Task] = {}
        self._renew_at_by_customer: dict[CustomerId, float] = {}
        self._names = 0
        self._draining = False
        self._closed = False
        client.on_late = self._take_late

    async def reserve(
        self, customer: CustomerId, tokens: Tokens, deadline: float
    ) -> tuple[LoanOutcome, list[LentPart]]:
        """Reserve lent tokens, and borrow what lacks.

        :param deadline: local time until which the request waits.
        :return: the outcome; all tokens are reserved if that is covered, else none.
        """
        self._lent.record_request(customer, tokens, self._clock())
        parts = None
        if customer not in self._queues:  # else it would pass those that wait
            parts = self._lent.reserve(customer, tokens, self._clock())
        if parts is not None:
            self._metrics.loan("avoided")
            self._renew(customer, tokens)
            return LoanOutcome.COVERED, parts
        answer = asyncio.get_running_loop().create_future()
        waiting = _Waiting(tokens, deadline, answer)
        self._queues.setdefault(customer, []).append(waiting)
        if customer not in self._tasks_by_customer:
            self._start(customer, lambda: self._borrow_for_waiting(customer))
        try:
            await asyncio.wait({answer}, timeout=max(0.0, deadline - self._clock()))
            if not answer.done():
                # Tokens may have become free since the last call ended.
                parts = self._lent.reserve(customer, tokens, self._clock())
                if parts is not None:
                    self._answer(customer, waiting, LoanOutcome.COVERED, parts)
        except asyncio.CancelledError:
            if answer.done():
                self.settle(answer.result()[1], Tokens(0))
            raise
        finally:
            self._leave_queue(customer, waiting)
            self.send_reports()
        return answer.result() if answer.done() else (waiting.outcome, [])

    def settle(self, parts: list[LentPart], cost: Tokens) -> None:
        """Count what a request cost, and free the rest of what it reserved."""
        self._lent.settle(parts, cost, self._clock())
        self.send_reports()

    def send_reports(self, *, of_all: bool = False) -> None:
        """Tell lenders what their loans cost, where that is due.

        :param of_all: look at all loans, as time ends them as well.
        """
        for report in self._lent.due_reports(self._clock(), of_all=of_all):
            self._client.report(report)

    def drain(self) -> None:
        """Give back what no request holds, and borrow nothing ahead any more."""
        self._draining = True
        self._lent.end_all()
        self.send_reports(of_all=True)

    async def close(self) -> None:
        """Stop borrowing; the client then gives back what calls were to lend."""
        self._closed = True
        tasks = list(self._tasks_by_customer.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def snapshot(self) -> dict:
        """Return the tokens borrowed and the measured use, for a state dump."""
        return self._lent.snapshot(self._clock())

    def _renew(self, customer: CustomerId, tokens: Tokens) -> None:
        """Borrow before a request lacks tokens, if the use of the customer asks for it.

        :param tokens: tokens of a request.
        """
        now = self._clock()
        if (
            self._draining
            or customer in self._tasks_by_customer
            or now < self._renew_at_by_customer.get(customer, 0.0)
            or not self._lent.needs_renewal(customer, tokens, now)
        ):
            return
        self._renew_at_by_customer[customer] = now + RENEWAL_PAUSE_SECONDS
        self._start(customer, lambda: self._borrow_ahead(customer, tokens))

    async def _borrow_ahead(self, customer: CustomerId, tokens: Tokens) -> None:
        now = self._clock()
        ahead = self._lent.tokens_ahead(customer, tokens, now)
        beyond = Tokens(max(0, ahead - tokens))
        loan = self._make_loan(customer, tokens, Tokens(0), beyond)
        outcome = await self._collect(loan, now + LENDER_WAIT_SECONDS, renews=True)
        self._serve(customer, outcome)
        await self._borrow_for_waiting(customer)

    async def _borrow_for_waiting(self, customer: CustomerId) -> None:
        """Borrow until no request of a customer waits."""
        while queue := self._queues.get(customer):
            now = self._clock()
            needed = queue[0].tokens
            free = self._lent.free(customer, now)
            first = Tokens(max(1, needed - free))
            waiting = sum(request.tokens for request in queue[1:])
            ahead = Tokens(0)
            if not self._draining:
                ahead = self._lent.tokens_ahead(customer, needed, now)
            loan = self._make_loan(customer, first, Tokens(waiting), ahead)
            deadline = max(request.deadline for request in queue)
            outcome = await self._collect(loan, deadline)
            self._serve(customer, outcome)
            if customer in self._queues:
                await asyncio.sleep(RETRY_SECONDS)

    def _make_loan(
        self,
        customer: CustomerId,
        tokens: Tokens,
        waiting: Tokens,
        ahead: Tokens,
    ) -> Loan:
        self._names += 1
        name = f"{self._incarnation}/b{self._names}"
        return Loan(name, customer, tokens, LENDER_WAIT_SECONDS, waiting, ahead)

    async def _collect(
        self, loan: Loan, deadline: float, *, renews: bool = False
    ) -> LoanOutcome:
        outcome, parts = await self._client.collect(loan, deadline, renews=renews)
        self._metrics.loan(outcome.value)
        for lender, asked, tokens in parts:
            self._add(lender, asked, tokens, renews=renews)
        return outcome

    def _add(
        self, lender: IncarnationId, asked: Loan, tokens: Tokens, *, renews: bool
    ) -> None:
        """Add a loan.

        :param asked: what the lender was asked for. One that lends more than
            `asked.tokens` knows the other fields, and reports in parts.
        :param renews: whether no request waited for it.
        """
        ahead = max(0, tokens - asked.tokens - asked.waiting)
        if renews:
            ahead = tokens
        self._metrics.loan_tokens("ahead", ahead)
        self._metrics.loan_tokens("waited-for", tokens - ahead)
        self._lent.add(
            asked.customer,
            lender,
            asked.name,
            tokens,
            self._clock(),
            ahead=ahead > 0 and not self._draining,
            in_parts=tokens > asked.tokens,
        )

    def _take_late(self, lender: IncarnationId, asked: Loan, tokens: Tokens) -> None:
        """Use a loan whose answer came after its timeout."""
        self._metrics.loan("late")
        self._add(lender, asked, tokens, renews=False)
        self._serve(asked.customer, LoanOutcome.SILENT)

    def _serve(self, customer: CustomerId, outcome: LoanOutcome) -> None:
        """Answer waiting requests in order of arrival, as far as that is known.

        :param outcome: outcome of the last call, for the request that waited longest.
        """
        queue = list(self._queues.get(customer, ()))
        for position, waiting in enumerate(queue):
            parts = self._lent.reserve(customer, waiting.tokens, self._clock())
            if parts is not None:
                self._answer(customer, waiting, LoanOutcome.COVERED, parts)
            elif outcome is LoanOutcome.UNREACHABLE or (
                outcome is LoanOutcome.EXHAUSTED and not position
            ):
                self._answer(customer, waiting, outcome, [])
            elif outcome is not LoanOutcome.SILENT:
                waiting.outcome = LoanOutcome.SHORT
        self.send_reports()

    def _answer(
        self,
        customer: CustomerId,
        waiting: _Waiting,
        outcome: LoanOutcome,
        parts: list[LentPart],
    ) -> None:
        self._leave_queue(customer, waiting)
        waiting.answer.set_result((outcome, parts))

    def _leave_queue(self, customer: CustomerId, waiting: _Waiting) -> None:
        queue = self._queues.get(customer, [])
        if waiting in queue:
            queue.remove(waiting)
            if not queue:
                del self._queues[customer]
                self._lent.reconsider(customer)

    def _start(
        self, customer: CustomerId, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        self._tasks_by_customer[customer] = asyncio.ensure_future(
            self._run(customer, work)
        )

    async def _run(
        self, customer: CustomerId, work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        try:
            await work()
        except Exception:
            eliot.write_traceback()  # must not leave requests to their deadlines
        finally:
            self._tasks_by_customer.pop(customer, None)
        if customer in self._queues and not self._closed:
            self._start(customer, lambda: self._borrow_again(customer))

    async def _borrow_again(self, customer: CustomerId) -> None:
        await asyncio.sleep(RETRY_SECONDS)
        await self._borrow_for_waiting(customer)
