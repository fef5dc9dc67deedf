"""Tokens that other routers lent to this one, and what to ask them for.

Handles customers whose requests gather at few routers, none of which holds their tokens
ahead of use. If each request took a loan of its own, a router with many requests a
second would make two calls for each of them, on a link that its bodies fill already.
"""

import itertools
from collections.abc import Callable, Collection, Iterable

import msgspec

from bluebellshore.budget.policy import BurnRate
from bluebellshore.ids import CustomerId, IncarnationId, Tokens

__all__ = ["LentPart", "LentTokens", "LoanReport", "tokens_lent_ahead"]

#: Averaging window of the measured use, short as callers move between routers.
USE_WINDOW_SECONDS = 2.0
#: Measured use that is borrowed ahead. It bounds what is lost with a router that dies:
#: its lenders count its loans as spent.
AHEAD_SECONDS = 0.3
#: Requests expected in that time from which on tokens are borrowed ahead. Below, few
#: calls are saved, and as many tokens are lost with a router.
MIN_REQUESTS_AHEAD = 3.0
#: Measured use below which the tokens lent ahead are renewed.
RENEW_SECONDS = 0.1
#: Longest time from a call to its answer that both are extended by: on a full link
#: tokens must last until the next ones come.
MAX_ROUND_TRIP_SECONDS = 1.0
#: Time for which requests may use a loan. Its unused tokens then go back.
TERM_SECONDS = 0.6
#: Pause between two reports of a loan that is still in use.
REPORT_SECONDS = 0.5
#: Measured use of its budget, all loans included, that a lender keeps for itself. Near
#: the end of a budget it thus lends for single requests only.
KEPT_SECONDS = 2.0
#: Share of the tokens beyond that which one loan may take ahead of use.
AHEAD_SHARE = 0.25


def tokens_lent_ahead(
    asked: Tokens, free: Tokens, available: Tokens, use_per_second: float
) -> Tokens:
    """Return how many tokens a lender lends beyond what requests wait for.

    :param asked: tokens that the borrower would like to have ahead of use.
    :param free: tokens that are left in the lender's allotment.
    :param available: how many of them it may lend now, by its caps.
    :param use_per_second: tokens of the budget reserved there each second, for itself
        and for others.
    """
    spare = AHEAD_SHARE * (free - KEPT_SECONDS * use_per_second)
    return Tokens(max(0, min(asked, available, int(spare))))


class LentPart(msgspec.Struct, frozen=True):
    """Tokens of one loan that one request reserved.

    :param loan: key of the loan.
    """

    loan: int
    lender: IncarnationId
    tokens: Tokens


class LoanReport(msgspec.Struct, frozen=True):
    """What a loan cost so far.

    :param name: name of the loan.
    :param cost: tokens spent since the loan was lent.
    :param kept: tokens that requests still hold; the others are the lender's again.
        None are kept in the last report of a loan.
    :param number: number of the report among those of the loan, from 1 on.
    """

    lender: IncarnationId
    name: str
    cost: Tokens
    kept: Tokens
    number: int


class _Loan(msgspec.Struct):
    """A loan of which the lender has no last report yet.

    :param tokens: tokens lent.
    :param free: tokens that no request holds and none has spent.
    :param reserved: tokens that requests hold.
    :param cost: tokens spent.
    :param ahead: whether it covers more than the requests that waited for it.
    :param in_parts: whether the lender takes reports before the last one.
    :param ends_at: local time from which no further request may use it.
    :param ended: whether its free tokens are the lender's again with the next report.
    :param reports: reports sent.
    :param released: tokens that no request held any more at the last report.
    :param report_at: local time of the next report, if requests still hold tokens.
    """

    name: str
    lender: IncarnationId
    customer: CustomerId
    tokens: Tokens
    free: int
    ahead: bool
    in_parts: bool
    ends_at: float
    reserved: int = 0
    cost: int = 0
    ended: bool = False
    reports: int = 0
    released: int = 0
    report_at: float = 0.0


class LentTokens:
    """Tokens borrowed by this router, by loan, and its measured use of each customer.

    Requests use the oldest loan first. A loan ends when its term is over, its tokens
    are spent or its lender serves no more, and at once if nothing was lent ahead and
    no request waits. Its unused tokens then go back, and what requests still hold is
    reported as they end.

    :param serving: returns the routers that are alive and not shutting down.
    :param waits: returns whether a request here waits for tokens of a customer.
    :param round_trip: returns the measured time from a call to a lender to its answer,
        in seconds.
    """

    def __init__(
        self,
        serving: Callable[[], Collection[IncarnationId]],
        waits: Callable[[CustomerId], bool] = lambda _: False,
        round_trip: Callable[[], float] = lambda: 0.0,
    ):
        self._serving = serving
        self._waits = waits
        self._round_trip = round_trip
        self._loans_by_key: dict[int, _Loan] = {}
        self._open_keys_by_customer: dict[CustomerId, list[int]] = {}
        self._uses_by_customer: dict[CustomerId, BurnRate] = {}
        self._keys = itertools.count()
        #: Loans that changed since the last reports.
        self._changed_keys: set[int] = set()

    def __len__(self) -> int:
        return len(self._loans_by_key)

    def add(
        self,
        customer: CustomerId,
        lender: IncarnationId,
        name: str,
        tokens: Tokens,
        now: float,
        *,
        ahead: bool = False,
        in_parts: bool = False,
    ) -> None:
        """Add a loan.

        :param ahead: whether it covers more than the requests that waited for it.
        :param in_parts: whether the lender takes reports before the last one.
        """
        key = next(self._keys)
        ends_at = now + TERM_SECONDS
        self._loans_by_key[key] = _Loan(
            name, lender, customer, tokens, tokens, ahead, in_parts, ends_at
        )
        self._changed_keys.add(key)
        self._open_keys_by_customer.setdefault(customer, []).append(key)

    def record_request(self, customer: CustomerId, tokens: Tokens, now: float) -> None:
        """Count the tokens of a request as used, also if none can be reserved for it.

        Else a router that gets no tokens in time would never borrow ahead.
        """
        self._use(customer).record(tokens, now)

    def free(self, customer: CustomerId, now: float) -> Tokens:
        """Return the tokens that requests of a customer may reserve."""
        return Tokens(sum(loan.free for _, loan in self._open_loans(customer, now)))

    def reserve(
        self, customer: CustomerId, tokens: Tokens, now: float
    ) -> list[LentPart] | None:
        """Reserve tokens for a request; None when too few are free.

        The request's tokens count as used by :meth:`record_request`.
        """
        loans = self._open_loans(customer, now)
        if sum(loan.free for _, loan in loans) < tokens:
            return None
        parts, lacking = [], int(tokens)
        for key, loan in loans:
            taken = min(lacking, loan.free)
            if taken:
                loan.free -= taken
                loan.reserved += taken
                lacking -= taken
                self._changed_keys.add(key)
                parts.append(LentPart(key, loan.lender, Tokens(taken)))
        return parts

    def settle(self, parts: Iterable[LentPart], cost: Tokens, now: float) -> None:
        """Count what a request cost, at most what it reserved, and free the rest.

        Unused tokens serve further requests while their loan has not ended.
        """
        left = int(cost)
        for part in parts:
            loan = self._loans_by_key[part.loan]
            spent = min(left, part.tokens)
            left -= spent
            loan.reserved -= part.tokens
            loan.cost += spent
            loan.free += part.tokens - spent
            self._changed_keys.add(part.loan)
            self._use(loan.customer).record(spent - part.tokens, now)

    def reconsider(self, customer: CustomerId) -> None:
        """Look at a customer's loans again, as no request waits for them any more."""
        self._changed_keys.update(self._open_keys_by_customer.get(customer, ()))

    def use_per_second(self, customer: CustomerId, now: float) -> float:
        """Return the tokens of a customer that requests here ask for each second.

        What requests that were served did not use is taken off.
        """
        use = self._uses_by_customer.get(customer)
        return use.per_second(now) if use else 0.0

    def tokens_ahead(self, customer: CustomerId, request: Tokens, now: float) -> Tokens:
        """Return how many tokens to borrow beyond those that requests wait for.

        :param request: tokens of a request. None are borrowed ahead where few further
            requests of this size are expected soon.
        """
        expected = self._expected(customer, now)
        ahead = int(expected) - self.free(customer, now)
        many = expected >= MIN_REQUESTS_AHEAD * request
        return Tokens(ahead if many and ahead > 0 else 0)

    def needs_renewal(self, customer: CustomerId, request: Tokens, now: float) -> bool:
        """Return whether to borrow before a request lacks tokens."""
        use = self.use_per_second(customer, now)
        seconds = RENEW_SECONDS + self._round_trip_seconds()
        low = self.free(customer, now) < seconds * use
        return low and self._expected(customer, now) >= MIN_REQUESTS_AHEAD * request

    def _expected(self, customer: CustomerId, now: float) -> float:
        """Return the tokens that requests are expected to use until a new loan."""
        seconds = AHEAD_SECONDS + self._round_trip_seconds()
        return seconds * self.use_per_second(customer, now)

    def _round_trip_seconds(self) -> float:
        return min(self._round_trip(), MAX_ROUND_TRIP_SECONDS)

    def due_reports(self, now: float, *, of_all: bool = False) -> list[LoanReport]:
        """Return the reports to send now; a loan is forgotten with its last one.

        :param of_all: look at all loans, not only at those that changed, as time ends
            loans as well.
        """
        reports = []
        serving = self._serving() if self._loans_by_key else ()
        for key in list(self._loans_by_key) if of_all else self._changed_keys:
            loan = self._loans_by_key.get(key)
            if loan is None:
                continue
            if not loan.ended and self._is_due(loan, serving, now):
                self._end(key, loan)
            if not loan.ended or not self._is_report_due(loan, now):
                continue
            loan.reports += 1
            loan.released = loan.tokens - loan.reserved
            loan.report_at = now + REPORT_SECONDS
            reports.append(
                LoanReport(
                    loan.lender,
                    loan.name,
                    Tokens(loan.cost),
                    Tokens(loan.reserved),
                    loan.reports,
                )
            )
            if not loan.reserved:
                del self._loans_by_key[key]
        self._changed_keys.clear()
        return reports

    def end_all(self) -> None:
        """End all loans, as no further request is taken."""
        for key, loan in self._loans_by_key.items():
            if not loan.ended:
                self._end(key, loan)

    def snapshot(self, now: float) -> dict[CustomerId, dict[str, float]]:
        """Return the tokens borrowed and the measured use, for a state dump."""
        return {
            customer: {
                "free": self.free(customer, now),
                "use_per_second": round(use.per_second(now), 1),
            }
            for customer, use in self._uses_by_customer.items()
        }

    def _open_loans(self, customer: CustomerId, now: float) -> list[tuple[int, _Loan]]:
        """Return the loans that requests may use, oldest first."""
        keys = self._open_keys_by_customer.get(customer)
        if not keys:
            return []
        serving = self._serving()
        loans = [(key, self._loans_by_key[key]) for key in keys]
        return [
            (key, loan)
            for key, loan in loans
            if now < loan.ends_at and loan.lender in serving
        ]

    def _is_due(
        self, loan: _Loan, serving: Collection[IncarnationId], now: float
    ) -> bool:
        """Return whether no further request should use a loan."""
        used_up = not loan.free and not loan.reserved
        unneeded = not loan.ahead and not self._waits(loan.customer)
        over = now >= loan.ends_at or loan.lender not in serving
        return used_up or unneeded or over

    def _is_report_due(self, loan: _Loan, now: float) -> bool:
        """Return whether to report a loan that has ended."""
        released = loan.tokens - loan.reserved
        in_parts = loan.in_parts and released > loan.released and now >= loan.report_at
        return not loan.reserved or in_parts

    def _end(self, key: int, loan: _Loan) -> None:
        loan.ended = True
        keys = self._open_keys_by_customer[loan.customer]
        keys.remove(key)
        if not keys:
            del self._open_keys_by_customer[loan.customer]

    def _use(self, customer: CustomerId) -> BurnRate:
        return self._uses_by_customer.setdefault(customer, BurnRate(USE_WINDOW_SECONDS))
