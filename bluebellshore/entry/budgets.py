"""Reserves and settles the prepaid token budgets of customers at an entry router."""

import asyncio
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
from bluebellshore.budget.holders import BudgetHolders
from bluebellshore.budget.lent import LentPart
from bluebellshore.budget.predecessor import PredecessorRecovery
from bluebellshore.budget.rows import BudgetRow, budget_key, decode_row
from bluebellshore.cancellation import is_cancelling
from bluebellshore.decisions import DecisionLog
from bluebellshore.entry.background import keep_running
from bluebellshore.entry.borrower import Borrower
from bluebellshore.entry.budget_log import BudgetLog
from bluebellshore.entry.loan_server import LoanServer
from bluebellshore.entry.loans import (
    Loan,
    LoanClient,
    LoanOutcome,
    LoanTransport,
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

#: Table of the budget rows, whose changes :meth:`CustomerBudgets.apply` takes.
BUDGET_TABLE = budget_key(BudgetId("")).partition("/")[0]
STEP = "entry.budgets"
#: Duration of a store outage that an allotment covers at the current burn rate.
OUTAGE_HORIZON_SECONDS = 8.0
#: Averaging window of burn rates, short as a customer's load may double at once.
BURN_WINDOW_SECONDS = 4.0
#: A budget that was read as exhausted stays so until its total is raised, so that this
#: result never expires.
ACCOUNTANT_INTERVALS = AccountantIntervals(
    settle_seconds=0.6,
    heartbeat_seconds=1.0,
    shortage_poll_seconds=0.1,
    review_seconds=1.0,
    exhausted_cache_seconds=float("inf"),
    close_timeout_seconds=2.0,
)
#: Maximum age of the caps in this router's row while the store answers. A successor
#: counts as spent what the caps may have grown by since they were written.
CAP_REFRESH_SECONDS = 0.15
#: Refresh interval per known router, which bounds the rate at which all routers
#: together write to the store, and its maximum: caps lapse soon after it.
CAP_REFRESH_PER_ROUTER_SECONDS = 0.0125
MAX_CAP_REFRESH_SECONDS = 1.0
#: Pause after a failure before predecessors are recovered again, or the accountant runs
#: again.
RECOVERY_RETRY_SECONDS = 0.3
#: Interval at which the configuration is searched for new customers.
PREALLOCATION_INTERVAL_SECONDS = 0.5
#: Timeout for settling and returning tokens at shutdown; calls to the store may hang.
CLOSE_TIMEOUT_SECONDS = 3.0
#: Longest wait at shutdown for the repayment of loans.
REPAYMENT_TIMEOUT_SECONDS = 0.5
#: Waits for tokens from the store: before other routers are first asked for a loan, and
#: before they are asked again.
FIRST_STORE_WAIT_SECONDS = 0.03
NEXT_STORE_WAIT_SECONDS = 0.15
#: Minimum pause between two tries to reserve.
RESERVE_RETRY_SECONDS = 0.01
#: Why the routers that hold a customer's tokens lent too few.
REASONS_BY_OUTCOME = {
    LoanOutcome.SHORT: "too few tokens were lent in time",
    LoanOutcome.SILENT: "the routers that hold the tokens did not answer in time",
}
#: Retry-After of a request that needs tokens which other routers hold at present.
RETRY_AFTER_SECONDS = 0.5


class _Reservation(msgspec.Struct):
    """Tokens reserved for an attempt.

    :param name: unique over all attempts and incarnations, unlike the attempt's id.
    :param tokens: upper bound of the attempt's cost.
    :param own_tokens: tokens reserved in this router's allotment.
    :param loan_name: name of the last loan asked for. Each try has its own name, as a
        loan that was given back may still arrive.
    :param lent_by_router: tokens borrowed for this attempt alone, by the lender's
        incarnation.
    :param parts: tokens of loans that further requests may use.
    """

    name: str
    customer: CustomerId
    tokens: Tokens
    own_tokens: Tokens = Tokens(0)
    loan_name: str = ""
    lent_by_router: dict[IncarnationId, Tokens] = msgspec.field(default_factory=dict)
    parts: list[LentPart] = msgspec.field(default_factory=list)

    def lenders(self) -> dict[IncarnationId, Tokens]:
        """Return all tokens borrowed, by the lender's incarnation."""
        lent_by_router = dict(self.lent_by_router)
        for part in self.parts:
            lent = lent_by_router.get(part.lender, 0) + part.tokens
            lent_by_router[part.lender] = Tokens(lent)
        return lent_by_router


class CustomerBudgets:
    """Reserves and settles tokens of customers in this router's allotments.

    An allotment is the part of a customer's prepaid budget that the store has granted
    to one router. The router reserves tokens in it without asking the store, and
    borrows from other routers what its own allotment lacks.

    :param prepaid: returns a customer's current prepaid total; None for no limit.
    :param customers: returns the customers in the configuration in force, for whom
        allotments are drawn before the first request.
    :param horizon_seconds: duration of a store outage that allotments cover.
    :param clock: monotonic seconds.
    :param policy: sizes allotments; a :class:`StandbyPolicy` when left out.
    :param peers: calls other routers, which may lend tokens; None for no loans.
    :param store_time: returns the store's time as of its latest answer to this process,
        and the time of that answer by `clock`; None as long as no answer gave a time.
    :param intervals: intervals of the accountant.
    :param rng: source of jitter.
    :param incarnation: unique name of this run of the instance; generated when left
        out.
    :param started_at: a time by `clock` at which this process was already running.
    :param store_era: returns how often the store has come back from an older copy.
    """

    def __init__(
        self,
        table: TableService,
        instance_id: InstanceId,
        *,
        prepaid: Callable[[CustomerId], Tokens | None],
        customers: Callable[[], Iterable[CustomerId]] = tuple,
        horizon_seconds: float = OUTAGE_HORIZON_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
        policy: AllotmentPolicy | None = None,
        peers: LoanTransport | None = None,
        store_time: Callable[[], StoreTime | None] = lambda: None,
        intervals: AccountantIntervals = ACCOUNTANT_INTERVALS,
        incarnation: IncarnationId | None = None,
        started_at: float = math.inf,
        store_era: Callable[[], int] = lambda: 0,
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
        self._draining = False

        self._holders = BudgetHolders(
            self.incarnation, peers.serving if peers else tuple
        )

        def router_count() -> int:
            return 1 + (len(peers.reachable()) if peers else 0)

        def holds(budget: BudgetId) -> bool:
            return self._holders.includes_own(CustomerId(budget))

        def refresh_seconds() -> float:
            seconds = router_count() * CAP_REFRESH_PER_ROUTER_SECONDS
            return min(max(CAP_REFRESH_SECONDS, seconds), MAX_CAP_REFRESH_SECONDS)

        self._accounts = DirectAccounts(
            burn_window_seconds=BURN_WINDOW_SECONDS,
            store_time=store_time,
            headroom_seconds=refresh_seconds,
            holds=holds,
        )

        self._accountant = Accountant(
            table,
            self.incarnation,
            policy
            or StandbyPolicy(
                horizon_seconds,
                routers=router_count,
                one_holds=lambda: not self._holders.all_hold,
                holds=holds,
                draining=lambda: self._draining,
            ),
            prepaid=lambda budget: prepaid(CustomerId(budget)),
            clock=clock,
            intervals=intervals,
            rng=rng,
            accounts=self._accounts,
            writes_ledger=False,
            refresh_seconds=refresh_seconds,
            era=store_era,
            interval_factor=lambda: max(
                1.0, refresh_seconds() / ACCOUNTANT_INTERVALS.heartbeat_seconds
            ),
        )
        self._budget_log = BudgetLog(
            self._accounts,
            self._accountant,
            prepaid=prepaid,
            store_time=store_time,
            clock=clock,
            log=log,
            metrics=metrics,
        )
        self._accountant.on_applied = self._budget_log.record_transaction
        self._accountant.on_platform_change = self._budget_log.record_store_contact
        #: Lends this router's tokens to other routers.
        self.loan_server = LoanServer(
            self._accountant,
            self._accounts,
            self.incarnation,
            clock,
            self._budget_log.log,
        )
        self._loan_client = peers and LoanClient(
            peers,
            self.incarnation,
            self._last_read_allotments,
            clock,
            self._budget_log.log,
            self._holders.lenders,
        )
        self._borrower = self._loan_client and Borrower(
            self._loan_client, self.incarnation, peers.serving, clock, metrics
        )
        self._predecessors = PredecessorRecovery(
            table, self.incarnation, instance_id, store_time, rng, started_at
        )
        self._predecessors.on_settled = self._budget_log.record_absence
        self.loan_server.on_expired = self._budget_log.record_expired_loan
        self._reservations_by_attempt: dict[str, _Reservation] = {}
        self._name_count = 0
        self._tasks: list[asyncio.Task] = []
        self._restored = asyncio.Event()
        #: Whether the caps of earlier incarnations bound what they spent, as the store
        #: has not come back from an older copy since the start.
        self._caps_hold = True

    @property
    def fenced(self) -> bool:
        """Whether a later incarnation took over, so that nothing is reserved here."""
        return self._accountant.fenced

    async def open(self) -> None:
        """Start the background tasks without waiting for the store."""
        loops = {
            "accountant": self._run_accountant,
            "predecessors": self._recover_predecessors,
            "preallocation": self._preallocate,
        }
        self._tasks = [
            asyncio.create_task(keep_running(name, loop, self._budget_log.log))
            for name, loop in loops.items()
        ]

    async def reserve(
        self,
        customer: CustomerId,
        attempt_id: str,
        tokens: Tokens,
        *,
        wait_seconds: float,
    ) -> None:
        """Reserve the upper bound of an attempt's cost before the attempt is sent.

        Returns without a call to the store where the allotment covers the bound.

        :param wait_seconds: longest wait for tokens from the store or other routers.
        :raises InsufficientBudgetError: the rest of the budget is below the bound.
        :raises OverloadError: the tokens are not available at present.
        """
        if self._prepaid(customer) is None:
            return
        if attempt_id in self._reservations_by_attempt:
            raise OverloadError(
                "an attempt of this id is under way", step=STEP, peer=customer
            )
        self._name_count += 1
        reservation = _Reservation(
            f"{self.incarnation}/{self._name_count}", customer, tokens
        )
        self._reservations_by_attempt[attempt_id] = reservation
        began_at = self._clock()
        try:
            await self._reserve(reservation, wait_seconds)
        except BaseException as error:
            self._reservations_by_attempt.pop(attempt_id, None)
            if isinstance(error, RefusedError):
                refusal = self._refusal_to_raise(error, reservation)
                waited = self._clock() - began_at
                self._budget_log.record_refusal(
                    attempt_id, customer, tokens, refusal, waited
                )
                raise refusal from error
            raise
        self._budget_log.record_reservation(
            attempt_id, customer, tokens, reservation.lenders()
        )

    def settle(self, attempt_id: str, tokens: Tokens) -> None:
        """Count an attempt's cost, at most what was reserved, and free the rest."""
        reservation = self._reservations_by_attempt.pop(attempt_id, None)
        if reservation is None:
            return
        cost = Tokens(max(0, min(tokens, reservation.tokens)))
        settled = cost
        if reservation.own_tokens:
            receipt = make_receipt(
                self.incarnation,
                reservation.name,
                reservation.customer,
                cost,
                reservation.own_tokens,
            )
            self._accountant.settle(receipt)
            cost -= receipt.tokens
        for peer, lent in reservation.lent_by_router.items():
            part = Tokens(min(cost, lent))
            self._loan_client.repay(peer, reservation.loan_name, part)
            cost -= part
        if reservation.parts:
            self._borrower.settle(reservation.parts, Tokens(cost))
        self._budget_log.record_cost(attempt_id, reservation.customer, settled)

    def release(self, attempt_id: str) -> None:
        """Free the tokens reserved for an attempt that did not run."""
        reservation = self._reservations_by_attempt.pop(attempt_id, None)
        if reservation is None:
            return
        if reservation.own_tokens:
            self._accountant.release(reservation.name)
        for peer in reservation.lent_by_router:
            self._loan_client.repay(peer, reservation.loan_name, Tokens(0))
        if reservation.parts:
            self._borrower.settle(reservation.parts, Tokens(0))
        self._budget_log.record_cost(attempt_id, reservation.customer, Tokens(0))

    def apply(self, change: TableChange) -> None:
        """Apply changes of the table :data:`BUDGET_TABLE`.

        Has the accountant process budgets whose row now offers tokens to requests that
        wait here, and those of which another router wants tokens that are free here.
        """
        affected = []
        for row in change.rows:
            budget = BudgetId(row.key.partition("/")[2])
            account = self._accounts.by_budget.get(budget)
            if account is None:
                continue
            waiting = self._accountant.has_waiting_requests(budget)
            if not (account.free or waiting):
                continue
            budget_row = decode_row(row, BudgetRow)
            if waiting and budget_row.unallotted(
                self._prepaid(CustomerId(budget)) or 0
            ):
                affected.append(budget)
            elif account.free and self._is_wanted_elsewhere(budget_row):
                affected.append(budget)
        if affected:
            self._accountant.schedule_review(affected)

    def note_restored(self) -> None:
        """Repeat what a store that came back from an older copy lacks."""
        self._accountant.note_restored()
        self._caps_hold = False
        self._restored.set()

    def drain(self) -> None:
        """Return all tokens but those reserved for requests, which are still served."""
        self._draining = True
        self._accountant.schedule_review(list(self._accounts.by_budget))
        if self._borrower:
            self._borrower.drain()

    async def close(self) -> None:
        """Settle, return free tokens, close the incarnation's row and stop."""
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_SECONDS):
                await self._accountant.close()
        except TimeoutError:
            self._budget_log.log.notice(
                "budgets", "not settled in time; the successor does that"
            )
        if self._loan_client:
            self._borrower.drain()
            await self._borrower.close()
            await self._loan_client.close(REPAYMENT_TIMEOUT_SECONDS)
        await self.abandon()

    async def abandon(self) -> None:
        """Cancel the background tasks without another call to the store."""
        if self._borrower:
            await self._borrower.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def snapshot(self) -> dict:
        """Return the state of the budgets for a state dump."""
        loan_client = self._loan_client
        return {
            "instance_id": self._instance_id,
            "loans": len(self.loan_server),
            "lent_tokens": self.loan_server.lent_tokens,
            "borrowed_tokens": loan_client.borrowed_tokens if loan_client else 0,
            "borrowed": self._borrower.snapshot() if self._borrower else {},
            **self._accountant.snapshot(),
        }

    async def _run_accountant(self) -> None:
        await self._accountant.open(self._instance_id)
        # The row is created once only: it may be gone since a successor fenced this
        # incarnation.
        while True:
            try:
                await self._accountant.run()
                break
            except (Exception, asyncio.CancelledError):
                if is_cancelling():
                    raise
                eliot.write_traceback()  # an unreadable row must not end accounting
            await asyncio.sleep(RECOVERY_RETRY_SECONDS)
        if self.fenced:
            self._budget_log.log.notice(
                "budgets",
                "a later incarnation of this instance took over; no more reservations",
            )

    async def _recover_predecessors(self) -> None:
        """Recover earlier incarnations, again each time that a copy brings them back.

        What they did after a copy is not known any more.
        """
        while True:
            self._restored.clear()
            await self._recover_all()
            await self._restored.wait()

    async def _recover_all(self) -> None:
        while True:
            try:
                await self._predecessors.recover(caps_hold=self._caps_hold)
                return
            except PlatformError as error:
                self._budget_log.log.notice("predecessors", str(error))
            await asyncio.sleep(RECOVERY_RETRY_SECONDS)

    async def _preallocate(self) -> None:
        """Draw allotments for customers that are new, and expire overdue loans."""
        while True:
            new = [
                BudgetId(customer)
                for customer in self._customers()
                if self._prepaid(customer) is not None
                and customer not in self._accounts.by_budget
                and self._holders.includes_own(customer)
            ]
            if new:
                self._accountant.schedule_review(new)
            self.loan_server.expire()
            if self._borrower:
                self._borrower.send_reports(of_all=True)
            await asyncio.sleep(PREALLOCATION_INTERVAL_SECONDS)

    async def _reserve(self, reservation: _Reservation, wait_seconds: float) -> None:
        """Reserve in the allotment or, when that is too small, with loans.

        A router that doesn't hold the customer's tokens ahead of use asks the one that
        does before it asks the store.
        """
        deadline = self._clock() + wait_seconds
        if (
            self._loan_client
            and not self._holders.includes_own(reservation.customer)
            and await self._reserve_from_holder(reservation, deadline)
        ):
            return
        wait = 0.0 if self._accountant.platform_out else FIRST_STORE_WAIT_SECONDS
        while True:
            remaining = max(0.0, deadline - self._clock())
            if self._loan_client is None:
                wait = remaining
            try:
                await self._accountant.reserve(
                    BudgetId(reservation.customer),
                    reservation.name,
                    DIRECT_SIDECAR,
                    reservation.tokens,
                    wait_seconds=min(wait, remaining),
                )
                reservation.own_tokens = reservation.tokens
                return
            except RefusedError as error:
                exhausted = (
                    isinstance(error, InsufficientBudgetError) and not error.retry_after
                )
                if (
                    exhausted
                    or self._loan_client is None
                    or self._accountant.refuses_reservations
                ):
                    raise
                if await self._reserve_with_loans(reservation) is LoanOutcome.COVERED:
                    return
                if self._clock() >= deadline:
                    raise
            await asyncio.sleep(RESERVE_RETRY_SECONDS)
            wait = NEXT_STORE_WAIT_SECONDS

    async def _reserve_from_holder(
        self, reservation: _Reservation, deadline: float
    ) -> bool:
        """Reserve with loans from the holder of the customer's tokens or a deputy.

        :return: False if the store must be asked: none of them can be reached, or one
            says that the budget is exhausted.
        :raises RefusedError: the budget is known to be exhausted, or they lend too
            little until `deadline`.
        """
        budget = BudgetId(reservation.customer)
        self._accountant.check_reservable(budget, reservation.tokens)
        available = self._accounts.available(budget, self._clock())
        own = Tokens(min(reservation.tokens, available))
        if own and not self._accountant.try_reserve(
            budget, reservation.name, DIRECT_SIDECAR, own
        ):
            own = Tokens(0)
        outcome, parts = LoanOutcome.COVERED, []
        if own < reservation.tokens:
            outcome = LoanOutcome.SHORT
            try:
                outcome, parts = await self._borrower.reserve(
                    reservation.customer, Tokens(reservation.tokens - own), deadline
                )
            finally:
                if own and outcome is not LoanOutcome.COVERED:
                    self._accountant.release(reservation.name)
        if outcome is LoanOutcome.COVERED:
            reservation.own_tokens, reservation.parts = own, parts
            return True
        if outcome in (LoanOutcome.EXHAUSTED, LoanOutcome.UNREACHABLE):
            return False
        self._accountant.check_reservable(budget, reservation.tokens)
        raise OverloadError(
            REASONS_BY_OUTCOME[outcome],
            step=STEP,
            peer=reservation.customer,
            retry_after=RETRY_AFTER_SECONDS,
        )

    async def _reserve_with_loans(self, reservation: _Reservation) -> LoanOutcome:
        """Reserve what is free here and borrow the rest for this attempt alone.

        :return: covered if all tokens are reserved; otherwise none are.
        """
        budget = BudgetId(reservation.customer)
        available = self._accounts.available(budget, self._clock())
        own = Tokens(min(reservation.tokens, available))
        if own and not self._accountant.try_reserve(
            budget, reservation.name, DIRECT_SIDECAR, own
        ):
            return LoanOutcome.SHORT
        self._name_count += 1
        reservation.loan_name = f"{self.incarnation}/{self._name_count}"
        loan = Loan(
            reservation.loan_name,
            reservation.customer,
            Tokens(reservation.tokens - own),
        )
        outcome, lent = LoanOutcome.COVERED, {}
        if loan.tokens:
            outcome = LoanOutcome.SHORT
            try:
                outcome, lent = await self._loan_client.borrow(loan)
            finally:
                if own and outcome is not LoanOutcome.COVERED:
                    self._accountant.release(reservation.name)
        if outcome is LoanOutcome.COVERED:
            reservation.own_tokens, reservation.lent_by_router = own, lent
        return outcome

    def _last_read_allotments(
        self, customer: CustomerId
    ) -> dict[IncarnationId, Tokens]:
        """Return the allotments of a customer's budget in its row as last read."""
        balance = self._accountant.last_balance(BudgetId(customer))
        return balance.held if balance else {}

    def _is_wanted_elsewhere(self, row: BudgetRow) -> bool:
        """Return whether another router has no tokens and asks for some."""
        return any(
            allotment.wanted and not allotment.held
            for incarnation, allotment in row.allotments.items()
            if incarnation != self.incarnation
        )

    def _refusal_to_raise(
        self, error: RefusedError, reservation: _Reservation
    ) -> RefusedError:
        """Return the error to raise: 402 only if the rest of the budget is too small.

        Tokens that other routers hold may become free, so that a lack of these is an
        overload.
        """
        transient = isinstance(error, InsufficientBudgetError) and error.retry_after
        if not transient:
            return error
        return OverloadError(
            error.message,
            step=STEP,
            peer=reservation.customer,
            retry_after=RETRY_AFTER_SECONDS,
        )
