"""Prepaid budgets of customers at a router that reaches backend servers itself."""

import asyncio
import contextlib
import math
import random
import time
import uuid
from collections.abc import Callable, Iterable

import eliot
import msgspec

from bluebellshore.budget import (
    Accountant,
    AccountantIntervals,
    AllotmentPolicy,
    StandbyPolicy,
)
from bluebellshore.budget.direct import DIRECT_SIDECAR, DirectAccounts
from bluebellshore.budget.predecessor import PredecessorRecovery
from bluebellshore.budget.rows import BudgetRow, budget_key, decode_row
from bluebellshore.decisions import DecisionLog
from bluebellshore.entry.budget_lines import BudgetLines
from bluebellshore.entry.loans import (
    Borrower,
    Lender,
    Loan,
    RouterPeers,
    make_receipt,
)
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.errors import (
    InsufficientBudgetError,
    OverloadError,
    PlatformError,
    RefusedError,
)
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, InstanceId, Tokens
from bluebellshore.store.interface import StoreTime, TableChange, TableService

__all__ = ["BUDGET_TABLE", "CustomerBudgets"]

#: Table of the budgets' rows, for the feed.
BUDGET_TABLE = budget_key(BudgetId("")).partition("/")[0]
STEP = "entry.budgets"
#: Outage of the store that an allotment rides out at the present burn rate.
HORIZON_SECONDS = 8.0
#: Time over which burn rates are averaged; the load of a customer may double at once.
BURN_WINDOW_SECONDS = 4.0
#: A row that shows a budget exhausted goes on to do so until its total is raised.
TIMES = AccountantIntervals(
    settle_seconds=0.6,
    heartbeat_seconds=1.0,
    shortage_poll_seconds=0.1,
    review_seconds=1.0,
    exhausted_cache_seconds=float("inf"),
    close_timeout_seconds=2.0,
)
#: Longest time that the caps in this router's row stand while the store answers: a
#: successor counts what they may have grown by since.
REFRESH_SECONDS = 0.15
#: The same for each router known, so that the store bears all of them together.
ROUTER_REFRESH_SECONDS = 0.025
#: Room that caps leave, in seconds of a router's own burn: until the next refresh, and
#: more for each router beyond a few. Each of many serves a customer so seldom that the
#: burn of a refresh holds no request, and their writes hold each other up.
FEW_ROUTERS = 6
ROUTER_ROOM_SECONDS = 0.15
#: Pause after a failure, before predecessors or budgets are tried again.
RECOVER_SECONDS = 0.3
#: Interval at which new customers are looked for.
PREFETCH_SECONDS = 0.5
#: Longest time that closing takes, with calls that hang.
CLOSE_SECONDS = 3.0
#: Longest wait for lenders to learn what their loans cost.
REPAID_SECONDS = 0.5
#: Waits for tokens from the store: before other routers are asked first, and again.
FIRST_WAIT_SECONDS = 0.03
NEXT_WAIT_SECONDS = 0.15
#: Least pause between two tries.
PAUSE_SECONDS = 0.01
#: After which a refused request may find tokens that others hold now.
RETRY_AFTER_SECONDS = 0.5


class _Open(msgspec.Struct):
    """An attempt, under a name that no other attempt ever has.

    :param own: tokens reserved in this router's allotment.
    :param loan: name of the last loan asked for; one that was given back may still
        be on its way, so that each try has its own.
    :param lent: tokens that other routers lent.
    """

    name: str
    customer: CustomerId
    tokens: Tokens
    own: Tokens = Tokens(0)
    loan: str = ""
    lent: dict[IncarnationId, Tokens] = msgspec.field(default_factory=dict)


class CustomerBudgets:
    """Reserves and settles tokens of customers from allotments of this router.

    :param prepaid: prepaid total in force; None for no limit.
    :param customers: customers in force, for whom a stock is laid in ahead.
    :param horizon_seconds: outage of the store that allotments ride out.
    :param policy: size of allotments; by the horizon when left out.
    :param peers: routers that may lend tokens; None for none.
    :param store_time: the store's time by its newest answer to this process, with
        the same local clock as `clock`; None where no answer tells it.
    :param rng: source of jitter.
    :param incarnation: unique name of this life; made when left out.
    :param started_at: time of `clock` at which this process was there already.
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
        policy: AllotmentPolicy | None = None,
        peers: RouterPeers | None = None,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        times: AccountantIntervals = TIMES,
        incarnation: IncarnationId | None = None,
        started_at: float = math.inf,
        log: DecisionLog | None = None,
        metrics: EntryMetrics | None = None,
    ):
        self.incarnation = incarnation or IncarnationId(
            f"{instance_id}.{uuid.uuid4().hex[:12]}"
        )
        self._instance_id = instance_id
        self._prepaid = prepaid
        self._customers = customers
        self._clock = clock
        self._leaving = False

        def routers() -> int:
            return 1 + (len(peers.reachable()) if peers else 0)

        def refresh_seconds() -> float:
            return max(REFRESH_SECONDS, routers() * ROUTER_REFRESH_SECONDS)

        self._book = DirectAccounts(
            burn_window_seconds=BURN_WINDOW_SECONDS,
            store_time=store_time,
            headroom_seconds=lambda: (
                refresh_seconds()
                + ROUTER_ROOM_SECONDS * max(0, routers() - FEW_ROUTERS)
            ),
        )

        self._accountant = Accountant(
            table,
            self.incarnation,
            policy
            or StandbyPolicy(
                horizon_seconds, routers=routers, draining=lambda: self._leaving
            ),
            prepaid=lambda budget: prepaid(CustomerId(budget)),
            clock=clock,
            intervals=times,
            rng=rng,
            accounts=self._book,
            writes_ledger=False,
            refresh_seconds=refresh_seconds,
        )
        self._lines = BudgetLines(
            self._book,
            self._accountant,
            prepaid=prepaid,
            store_time=store_time,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self._accountant.on_applied = self._lines.applied
        self._accountant.on_platform_change = self._lines.platform
        #: For other routers to borrow from.
        self.lender = Lender(
            self._accountant, self._book, self.incarnation, clock, self._lines.log
        )
        self._borrower = peers and Borrower(
            peers, self.incarnation, self._held_elsewhere, clock, self._lines.log
        )
        self._predecessors = PredecessorRecovery(
            table, self.incarnation, instance_id, store_time, rng, started_at
        )
        self._open_by_attempt: dict[str, _Open] = {}
        self._count = 0
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
        opened = _Open(f"{self.incarnation}/{self._count}", customer, tokens)
        self._open_by_attempt[attempt_id] = opened
        began_at = self._clock()
        try:
            await self._reserve(opened, wait_seconds)
        except BaseException as error:
            self._open_by_attempt.pop(attempt_id, None)
            if isinstance(error, RefusedError):
                refusal = self._truthful(error, opened)
                waited = self._clock() - began_at
                self._lines.refused(attempt_id, customer, tokens, refusal, waited)
                raise refusal from error
            raise
        lent = sum(opened.lent.values())
        self._lines.granted(attempt_id, customer, tokens, lent)

    def settle(self, attempt_id: str, tokens: Tokens) -> None:
        """Count what an attempt cost, at most what was reserved."""
        opened = self._open_by_attempt.pop(attempt_id, None)
        if opened is None:
            return
        cost = Tokens(max(0, min(tokens, opened.tokens)))
        settled = cost
        if opened.own:
            receipt = make_receipt(
                self.incarnation, opened.name, opened.customer, cost, opened.own
            )
            self._accountant.settle(receipt)
            cost -= receipt.tokens
        for peer, lent in opened.lent.items():
            part = Tokens(min(cost, lent))
            self._borrower.repay(peer, opened.loan, part)
            cost -= part
        self._lines.settled(attempt_id, opened.customer, settled)

    def release(self, attempt_id: str) -> None:
        """Return the tokens of an attempt that did not run."""
        opened = self._open_by_attempt.pop(attempt_id, None)
        if opened is None:
            return
        if opened.own:
            self._accountant.release(opened.name)
        for peer in opened.lent:
            self._borrower.repay(peer, opened.loan, Tokens(0))
        self._lines.settled(attempt_id, opened.customer, Tokens(0))

    def apply(self, change: TableChange) -> None:
        """Take in changes of the table :data:`BUDGET_TABLE`."""
        attended = []
        for row in change.rows:
            budget = BudgetId(row.key.partition("/")[2])
            account = self._book.by_budget.get(budget)
            if account is None:
                continue
            waiting = self._accountant.has_waiting_requests(budget)
            if not (account.free or waiting):
                continue
            value = decode_row(row, BudgetRow)
            if waiting and value.unallotted(self._prepaid(CustomerId(budget)) or 0):
                attended.append(budget)
            elif account.free and self._wanted_elsewhere(value):
                attended.append(budget)
        if attended:
            self._accountant.schedule_review(attended)

    def leave(self) -> None:
        """Return what requests in flight do not need; they go on."""
        self._leaving = True
        self._accountant.schedule_review(list(self._book.by_budget))

    async def close(self) -> None:
        """Settle, return all that is free and close the incarnation's row."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_SECONDS):
                await self._accountant.close()
        if self._borrower:
            await self._borrower.close(REPAID_SECONDS)
        await self.abandon()

    async def abandon(self) -> None:
        """End all work without telling the store."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def snapshot(self) -> dict:
        """Return the state for a dump."""
        borrower = self._borrower
        return {
            "instance_id": self._instance_id,
            "loans": len(self.lender),
            "lent_tokens": self.lender.lent_tokens,
            "borrowed_tokens": borrower.borrowed_tokens if borrower else 0,
            **self._accountant.snapshot(),
        }

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
            self._lines.log.notice("budgets", "a later life of this instance took over")

    async def _recover(self) -> None:
        while True:
            try:
                recovered = await self._predecessors.recover()
                break
            except PlatformError as error:
                self._lines.log.notice("predecessors", str(error))
            await asyncio.sleep(RECOVER_SECONDS)
        for predecessor in recovered:
            for budget, tokens in predecessor.returned.items():
                spent = predecessor.spent.get(budget, 0)
                reason = f"{predecessor.incarnation} is dead; {spent} count as spent"
                self._lines.reclaimed(budget, tokens, reason)

    async def _prefetch(self) -> None:
        """Lay in a stock for customers that are new in the configuration."""
        while True:
            new = [
                BudgetId(customer)
                for customer in self._customers()
                if self._prepaid(customer) is not None
                and customer not in self._book.by_budget
            ]
            if new:
                self._accountant.schedule_review(new)
            self.lender.expire()
            await asyncio.sleep(PREFETCH_SECONDS)

    async def _reserve(self, opened: _Open, wait_seconds: float) -> None:
        """Reserve from the allotment, or with loans when that is not to be had."""
        deadline = self._clock() + wait_seconds
        wait = 0.0 if self._accountant.platform_out else FIRST_WAIT_SECONDS
        while True:
            left = max(0.0, deadline - self._clock())
            if self._borrower is None:
                wait = left
            try:
                await self._accountant.reserve(
                    BudgetId(opened.customer),
                    opened.name,
                    DIRECT_SIDECAR,
                    opened.tokens,
                    wait_seconds=min(wait, left),
                )
                opened.own = opened.tokens
                return
            except RefusedError as error:
                certain = (
                    isinstance(error, InsufficientBudgetError) and not error.retry_after
                )
                if (
                    certain
                    or self._borrower is None
                    or self._accountant.refuses_reservations
                ):
                    raise
                if await self._borrow(opened):
                    return
                if self._clock() >= deadline:
                    raise
            await asyncio.sleep(PAUSE_SECONDS)
            wait = NEXT_WAIT_SECONDS

    async def _borrow(self, opened: _Open) -> bool:
        """Reserve what is free here and borrow the rest."""
        budget = BudgetId(opened.customer)
        available = self._book.available(budget, self._clock())
        own = Tokens(min(opened.tokens, available))
        if own and not self._accountant.try_reserve(
            budget, opened.name, DIRECT_SIDECAR, own
        ):
            return False
        self._count += 1
        opened.loan = f"{self.incarnation}/{self._count}"
        loan = Loan(opened.loan, opened.customer, Tokens(opened.tokens - own))
        lent: dict[IncarnationId, Tokens] = {}
        try:
            lent = await self._borrower.borrow(loan) if loan.tokens else {}
        finally:
            if own and loan.tokens and not lent:
                self._accountant.release(opened.name)
        if loan.tokens and not lent:
            return False
        opened.own, opened.lent = own, lent
        return True

    def _held_elsewhere(self, customer: CustomerId) -> dict[IncarnationId, Tokens]:
        """Return what each router held of a customer's budget when last seen."""
        cover = self._accountant.last_balance(BudgetId(customer))
        return cover.held if cover else {}

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
