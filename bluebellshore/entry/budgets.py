"""Prepaid budgets of customers at a router that reaches backend servers itself."""

import asyncio
import contextlib
import random
import time
import uuid
from collections.abc import Callable, Iterable

import eliot
import msgspec

from bluebellshore.budget import Accountant, AccountantTimes, StandbyPolicy
from bluebellshore.budget.composer import Transaction
from bluebellshore.budget.direct import DIRECT, DirectBook
from bluebellshore.budget.predecessor import Predecessors
from bluebellshore.budget.rows import BudgetRow, budget_key, decode_row
from bluebellshore.errors import (
    InsufficientBudgetError,
    OverloadError,
    PlatformError,
    RefusedError,
)
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, InstanceId, Tokens
from bluebellshore.store.interface import TableChange, TableService
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["BUDGET_TABLE", "CustomerBudgets"]

#: Table of the budgets' rows, for the feed.
BUDGET_TABLE = budget_key(BudgetId("")).partition("/")[0]
STEP = "entry.budgets"
#: Outage of the store that an allotment rides out at the present burn rate.
HORIZON_SECONDS = 8.0
#: Time over which burn rates are averaged; the load of a customer may double at once.
BURN_WINDOW_SECONDS = 4.0
#: A row that shows a budget exhausted goes on to do so until its total is raised.
TIMES = AccountantTimes(
    settle=0.6, heartbeat=5.0, poll=0.1, look=1.0, cover=float("inf"), close=2.0
)
#: Pause after a failure, before predecessors or budgets are tried again.
RECOVER_SECONDS = 0.3
#: Interval at which new customers are looked for.
PREFETCH_SECONDS = 0.5
#: Longest time that closing takes, with calls that hang.
CLOSE_SECONDS = 3.0
#: At most one line on refusals per customer in this time.
REFUSAL_LINE_SECONDS = 1.0
#: After which a refused request may find tokens that others hold now.
RETRY_AFTER_SECONDS = 0.5


class _Open(msgspec.Struct, frozen=True):
    """A reserved attempt, under a name that no other attempt ever has."""

    name: str
    customer: CustomerId
    tokens: Tokens


class _Refusals(msgspec.Struct):
    """Refusals of a customer since the last line on them."""

    logged_at: float = float("-inf")
    count: int = 0


class CustomerBudgets:
    """Reserves and settles tokens of customers from allotments of this router.

    :param prepaid: prepaid total in force; None for no limit.
    :param customers: customers in force, for whom a stock is laid in ahead.
    :param horizon_seconds: outage of the store that allotments ride out.
    :param rng: source of jitter.
    :param incarnation: unique name of this life; made when left out.
    """

    def __init__(
        self,
        table: TableService,
        instance_id: InstanceId,
        *,
        prepaid: Callable[[CustomerId], Tokens | None],
        customers: Callable[[], Iterable[CustomerId]] = tuple,
        horizon_seconds: float = HORIZON_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        times: AccountantTimes = TIMES,
        incarnation: IncarnationId | None = None,
    ):
        self.incarnation = incarnation or IncarnationId(
            f"{instance_id}.{uuid.uuid4().hex[:12]}"
        )
        self._instance_id = instance_id
        self._prepaid = prepaid
        self._customers = customers
        self._clock = clock
        self._book = DirectBook(burn_window_seconds=BURN_WINDOW_SECONDS)
        self._accountant = Accountant(
            table,
            self.incarnation,
            StandbyPolicy(horizon_seconds),
            prepaid=lambda budget: prepaid(CustomerId(budget)),
            clock=clock,
            times=times,
            rng=rng,
            book=self._book,
            keeps_ledger=False,
        )
        self._accountant.on_applied = self._log_applied
        self._accountant.on_platform = self._log_platform
        self._predecessors = Predecessors(table, self.incarnation, instance_id)
        self._open_by_attempt: dict[str, _Open] = {}
        self._count = 0
        self._refusals: dict[CustomerId, _Refusals] = {}
        self._tasks: list[asyncio.Task] = []

    @property
    def fenced(self) -> bool:
        """Whether a later life of this instance took over; nothing is reserved."""
        return self._accountant.fenced

    async def open(self) -> None:
        """Begin; returns at once, whether the store answers or not."""
        loops = (self._account(), self._recover(), self._prefetch())
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def reserve(
        self,
        customer: CustomerId,
        attempt_id: str,
        tokens: Tokens,
        *,
        wait_seconds: float,
    ) -> None:
        """Reserve the upper bound of an attempt before it is sent.

        Returns at once where the allotment covers it.

        :raises InsufficientBudgetError: what is left does not cover it.
        :raises OverloadError: tokens could not be drawn for now.
        """
        if self._prepaid(customer) is None:
            return
        if attempt_id in self._open_by_attempt:
            raise OverloadError(
                "an attempt of this id is under way", step=STEP, peer=customer
            )
        self._count += 1
        opened = _Open(f"{self._count}", customer, tokens)
        self._open_by_attempt[attempt_id] = opened
        began_at = self._clock()
        try:
            await self._accountant.reserve(
                BudgetId(customer),
                opened.name,
                DIRECT,
                tokens,
                wait_seconds=wait_seconds,
            )
        except BaseException as error:
            del self._open_by_attempt[attempt_id]
            if isinstance(error, RefusedError):
                refusal = self._truthful(error, opened)
                self._log_refused(refusal, opened, self._clock() - began_at)
                raise refusal from error
            raise

    def settle(self, attempt_id: str, tokens: Tokens) -> None:
        """Count what an attempt cost, at most what was reserved."""
        opened = self._open_by_attempt.pop(attempt_id, None)
        if opened is None:
            return
        receipt = Receipt(
            attempt=opened.name,
            key=f"{opened.customer}/~{opened.name}",
            incarnation=self.incarnation,
            customer=opened.customer,
            budget=opened.customer,
            tokens=max(0, min(tokens, opened.tokens)),
            reserved_tokens=opened.tokens,
        )
        self._accountant.settle(receipt)

    def release(self, attempt_id: str) -> None:
        """Return the tokens of an attempt that did not run."""
        opened = self._open_by_attempt.pop(attempt_id, None)
        if opened is not None:
            self._accountant.release(opened.name)

    def apply(self, change: TableChange) -> None:
        """Take in changes of the table :data:`BUDGET_TABLE`."""
        attended = []
        for row in change.rows:
            budget = BudgetId(row.key.partition("/")[2])
            account = self._book.accounts_by_budget.get(budget)
            if account is None:
                continue
            waiting = self._accountant.waits_for(budget)
            if not (account.free or waiting):
                continue
            value = decode_row(row, BudgetRow)
            if waiting and value.unallotted(self._prepaid(CustomerId(budget)) or 0):
                attended.append(budget)
            elif account.free and self._wanted_elsewhere(value):
                attended.append(budget)
        if attended:
            self._accountant.attend(attended)

    async def close(self) -> None:
        """Settle, return all that is free and close the incarnation's row."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_SECONDS):
                await self._accountant.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def snapshot(self) -> dict:
        """Return the state for a dump."""
        return {"instance_id": self._instance_id, **self._accountant.snapshot()}

    async def _account(self) -> None:
        await self._accountant.open(self._instance_id)
        while True:
            try:
                await self._accountant.run()
                break
            except Exception:
                eliot.write_traceback()  # a row that can't be read must not end it
            await asyncio.sleep(RECOVER_SECONDS)
        if self.fenced:
            eliot.log_message("budgets_fenced", incarnation=self.incarnation)

    async def _recover(self) -> None:
        while True:
            try:
                recovered = await self._predecessors.recover()
                break
            except PlatformError as error:
                eliot.log_message("predecessors_unread", reason=str(error))
            await asyncio.sleep(RECOVER_SECONDS)
        for predecessor in recovered:
            eliot.log_message(
                "predecessor_recovered",
                incarnation=predecessor.incarnation,
                spent=predecessor.spent,
                returned=predecessor.returned,
            )

    async def _prefetch(self) -> None:
        """Lay in a stock for customers that are new in the configuration."""
        while True:
            new = [
                BudgetId(customer)
                for customer in self._customers()
                if self._prepaid(customer) is not None
                and customer not in self._book.accounts_by_budget
            ]
            if new:
                self._accountant.attend(new)
            await asyncio.sleep(PREFETCH_SECONDS)

    def _wanted_elsewhere(self, row: BudgetRow) -> bool:
        return any(
            allotment.wanted and not allotment.held
            for incarnation, allotment in row.allotments.items()
            if incarnation != self.incarnation
        )

    def _truthful(self, error: RefusedError, opened: _Open) -> RefusedError:
        """Return 402 only for what the rest as last seen does not cover."""
        passing = isinstance(error, InsufficientBudgetError) and error.retry_after
        if not passing:
            return error
        return OverloadError(
            error.message,
            step=STEP,
            peer=opened.customer,
            retry_after=RETRY_AFTER_SECONDS,
        )

    # Lines for operators

    def _log_refused(self, error: RefusedError, opened: _Open, waited: float) -> None:
        now = self._clock()
        refusals = self._refusals.setdefault(opened.customer, _Refusals())
        refusals.count += 1
        if now - refusals.logged_at < REFUSAL_LINE_SECONDS:
            return
        account = self._book.account(BudgetId(opened.customer))
        cover = self._accountant.cover(BudgetId(opened.customer))
        eliot.log_message(
            "budget_refused"
            if isinstance(error, OverloadError)
            else "budget_exhausted",
            customer=opened.customer,
            status=error.status,
            reason=error.message,
            refusals=refusals.count,
            tokens=opened.tokens,
            waited_seconds=waited,
            free=account.free,
            reserved=account.reserved,
            unsettled=account.unsettled,
            prepaid_total=self._prepaid(opened.customer),
            cover=cover and cover.tokens,
            cover_prepaid_total=cover and cover.prepaid_total,
            cover_age_seconds=cover and now - cover.seen_at,
            store_lost=self._accountant.platform_out,
        )
        refusals.count, refusals.logged_at = 0, now

    def _log_applied(self, transaction: Transaction) -> None:
        if transaction.grants or transaction.returns:
            eliot.log_message(
                "budget_granted",
                incarnation=self.incarnation,
                sequence=transaction.sequence,
                grants=transaction.grants,
                returns=transaction.returns,
            )

    def _log_platform(self, out: bool) -> None:
        eliot.log_message(
            "budget_store_lost" if out else "budget_store_regained",
            incarnation=self.incarnation,
            unsettled=len(self._book.unsettled_by_attempt),
        )
