"""Queue of requests that wait for tokens."""

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from bluebellshore.budget.transaction_builder import Demand
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, IncarnationId, Tokens

__all__ = ["Waiter", "Waiters"]


class Waiter(msgspec.Struct, eq=False):
    """An attempt that waits for tokens.

    :param future: done when the tokens are reserved; fails when they are refused.
    """

    budget: BudgetId
    attempt: str
    sidecar: IncarnationId
    tokens: Tokens
    future: asyncio.Future


class Waiters:
    """Waiting requests in order of arrival."""

    def __init__(self):
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(list(self._waiters))

    def add(
        self, budget: BudgetId, attempt: str, sidecar: IncarnationId, tokens: Tokens
    ) -> Waiter:
        """Add a request."""
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(budget, attempt, sidecar, tokens, future)
        self._waiters.append(waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def serve(self, reserve: Callable[[Waiter], bool]) -> None:
        """Try to reserve for each request; a smaller one may overtake a larger one."""
        for waiter in self:
            if reserve(waiter):
                self._waiters.remove(waiter)
                waiter.future.set_result(None)

    def fail(self, waiter: Waiter, error: RefusedError) -> None:
        """Refuse a request."""
        self.discard(waiter)
        if not waiter.future.done():
            waiter.future.set_exception(error)

    def demands_by_budget(self) -> dict[BudgetId, Demand]:
        """Return the tokens that the requests ask for, by budget."""
        demands: dict[BudgetId, Demand] = {}
        for waiter in self._waiters:
            demand = demands.get(waiter.budget, Demand(waiter.tokens, Tokens(0)))
            demands[waiter.budget] = Demand(
                smallest=min(demand.smallest, waiter.tokens),
                total=Tokens(demand.total + waiter.tokens),
            )
        return demands

    def needs_by_sidecar(self) -> dict[IncarnationId, dict[BudgetId, int]]:
        """Return the tokens that the requests would spend, by sidecar and budget."""
        needs: dict[IncarnationId, dict[BudgetId, int]] = {}
        for waiter in self._waiters:
            by_budget = needs.setdefault(waiter.sidecar, {})
            by_budget[waiter.budget] = by_budget.get(waiter.budget, 0) + waiter.tokens
        return needs
