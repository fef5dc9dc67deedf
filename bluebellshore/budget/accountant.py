"""Reserves tokens of prepaid budgets for requests and settles their bills."""

import asyncio
import math
import random
import time
from collections.abc import Callable, Iterable

import eliot
import msgspec

from bluebellshore.budget.accounts import AllotmentAccounts
from bluebellshore.budget.committer import CommitResult, TransactionCommitter
from bluebellshore.budget.policy import AllotmentPolicy
from bluebellshore.budget.rows import IncarnationRow
from bluebellshore.budget.transaction_builder import (
    BudgetBalance,
    CommitRequest,
    Transaction,
)
from bluebellshore.budget.waiters import Waiter, Waiters
from bluebellshore.errors import (
    FencedError,
    InsufficientBudgetError,
    OverloadError,
    PlatformError,
    RefusedError,
)
from bluebellshore.ids import BudgetId, IncarnationId, InstanceId, Tokens
from bluebellshore.store.interface import MAX_TRANSACTION_WRITES, TableService
from bluebellshore.wire.link_pb2 import Receipt

__all__ = ["Accountant", "AccountantIntervals"]

STEP = "budget.reserve"
PLATFORM_PEER = "platform"
MAX_OPEN_ATTEMPTS = 50_000
RETRY_AFTER_SECONDS = 1.0
INITIAL_BACKOFF_SECONDS = 0.01
#: Pause before a transaction for the budgets that the last one left out.
PARTIAL_COMMIT_PAUSE_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
MAX_SETTLE_DELAY_FACTOR = 16.0
EXHAUSTED_CACHE_SECONDS = 1.0


class AccountantIntervals(msgspec.Struct, frozen=True):
    """Intervals and timeouts of an accountant, in seconds.

    :param settle_seconds: time for which bills are collected into a batch; it is
        extended while transactions conflict.
    :param heartbeat_seconds: longest time between writes of the incarnation's row.
    :param shortage_poll_seconds: interval at which the row of a budget is read again
        while a request waits for tokens that it lacked.
    :param review_seconds: interval at which the allotments of all budgets are
        reviewed, to draw tokens or to return them.
    :param exhausted_cache_seconds: time for which a budget that its row showed as
        exhausted is refused without another read.
    :param close_timeout_seconds: time after which a router that closes leaves its
        open bills and tokens to reclaim.
    """

    settle_seconds: float = 0.5
    heartbeat_seconds: float = 2.0
    shortage_poll_seconds: float = 0.1
    review_seconds: float = math.inf
    exhausted_cache_seconds: float = EXHAUSTED_CACHE_SECONDS
    close_timeout_seconds: float = 10.0


class Accountant:
    """Reserves tokens from the allotments of one router incarnation and settles bills.

    It draws tokens from the budgets' rows to this incarnation's allotments, settles
    bills in batches and returns tokens that other routers need.

    :ivar platform_out: whether the table service did not answer the last call.
    :ivar conflicts: number of transactions refused because a row had changed.
    :ivar duplicate_receipts: number of receipts for attempts that were settled already.
    :ivar accounts: the tokens held, by budget and state.
    :param prepaid: returns the prepaid total of a budget in the newest bundle, None if
        the budget is unknown.
    :param rng: source of jitter.
    :param accounts: where the tokens are accounted for; created if omitted.
    :param writes_ledger: whether each bill is written to the ledger, not only the sums
        of bills to the budgets' rows.
    :param refresh_seconds: returns the longest time between writes of the limits in the
        incarnation's row.
    :param interval_factor: returns a factor on the intervals of settlements, reviews
        and heartbeats. It keeps the load on the store constant where there are many
        routers.
    :param era: returns how often the store has come back from an older copy.
    """

    def __init__(
        self,
        table: TableService,
        incarnation: IncarnationId,
        policy: AllotmentPolicy,
        *,
        prepaid: Callable[[BudgetId], Tokens | None],
        clock: Callable[[], float] = time.monotonic,
        intervals: AccountantIntervals | None = None,
        rng: random.Random | None = None,
        accounts: AllotmentAccounts | None = None,
        writes_ledger: bool = True,
        refresh_seconds: Callable[[], float] = lambda: math.inf,
        interval_factor: Callable[[], float] = lambda: 1.0,
        era: Callable[[], int] = lambda: 0,
    ):
        #: Called with True when the platform stops answering, with False when it
        #: answers again.
        self.on_platform_change: Callable[[bool], None] = lambda is_out: None
        #: Called with each attempt whose receipt may be acknowledged.
        self.on_settled: Callable[[str], None] = lambda attempt: None
        #: Called with each transaction that is known to be committed.
        self.on_applied: Callable[[Transaction], None] = lambda transaction: None
        self.platform_out = False
        self.conflicts = 0
        self.duplicate_receipts = 0
        self.accounts = accounts or AllotmentAccounts()
        self._incarnation = incarnation
        self._prepaid = prepaid
        self._clock = clock
        self._intervals = intervals or AccountantIntervals()
        self._refresh_seconds = refresh_seconds
        self._interval_factor = interval_factor
        self._rng = rng or random.Random()
        self._committer = TransactionCommitter(
            table,
            incarnation,
            self.accounts,
            policy,
            prepaid,
            lambda attempt: self.on_settled(attempt),
            writes_ledger=writes_ledger,
            era=era,
        )
        self._committer.on_applied = lambda transaction: self.on_applied(transaction)
        #: Whether heartbeats may write the incarnation's row without any budget's row.
        self._can_write_row_alone = not writes_ledger
        self._waiters = Waiters()
        #: Number of budgets that one transaction touches, halved by each conflict.
        self._max_budgets = MAX_TRANSACTION_WRITES
        #: Whether budgets' rows conflicted since a commit of such rows succeeded.
        self._in_conflict = False
        #: Whether the last transaction wrote the incarnation's row only.
        self._writes_row_alone = False
        self._needs_by_unlisted_sidecar: dict[IncarnationId, dict[BudgetId, int]] = {}
        self._wake = asyncio.Event()
        self._commit_lock = asyncio.Lock()
        self._commit_at_once = False
        self._budgets_to_review: set[BudgetId] = set()
        self._reviewed_at = 0.0
        self._next_poll_by_budget: dict[BudgetId, float] = {}
        self._closing = False
        self._consecutive_failures = 0
        self._settle_delay_factor = 1.0
        self._committed_at = 0.0
        self._settle_at = 0.0

    @property
    def fenced(self) -> bool:
        """Whether this incarnation was fenced; it reserves nothing from then on."""
        return self._committer.fenced

    @property
    def refuses_reservations(self) -> bool:
        """Whether this incarnation is fenced or closing."""
        return self.fenced or self._closing

    async def open(self, instance_id: InstanceId) -> None:
        """Create the incarnation's row; retry until the platform answers."""
        row = IncarnationRow(instance_id=instance_id)
        while True:
            try:
                await self._committer.create(row)
                break
            except PlatformError as error:
                eliot.log_message("incarnation_row_failed", error=str(error))
                self._record_platform_failure()
                await self._back_off()
        self._record_platform_answer()
        self._consecutive_failures = 0
        self._committed_at = self._reviewed_at = self._clock()

    def last_balance(self, budget: BudgetId) -> BudgetBalance | None:
        """Return the balance of a budget when its row was read last."""
        return self._committer.balances_by_budget.get(budget)

    def has_waiting_requests(self, budget: BudgetId) -> bool:
        """Return whether requests wait for tokens of a budget."""
        return any(waiter.budget == budget for waiter in self._waiters)

    def schedule_review(self, budgets: Iterable[BudgetId]) -> None:
        """Review budgets in the next transaction.

        A review draws the tokens that the policy asks for and returns those that other
        routers want.
        """
        for budget in budgets:
            self.accounts.account(budget)
            self._budgets_to_review.add(budget)
        self._request_commit()

    def note_restored(self) -> None:
        """Repeat at once what a store that came back from an older copy lacks.

        Nothing is drawn until other incarnations have had time for that as well.
        """
        self._committer.note_restored(self._clock())
        self._request_commit()

    def request_listing(self, sidecar: IncarnationId) -> None:
        """List a sidecar in the incarnation's row with the next transaction.

        Nothing may be sent to a sidecar that the row does not list.
        """
        if not self.accounts.is_listed(sidecar):
            self._needs_by_unlisted_sidecar[sidecar] = {}
            self._request_commit()

    async def reserve(
        self,
        budget: BudgetId,
        attempt: str,
        sidecar: IncarnationId,
        tokens: Tokens,
        *,
        wait_seconds: float,
    ) -> None:
        """Reserve the most that an attempt may cost, before it is sent.

        :param wait_seconds: time to wait for tokens to be drawn.
        :raises InsufficientBudgetError: the budget does not have enough tokens, or
            other requests hold them.
        :raises OverloadError: the tokens cannot be reserved at the moment.
        """
        self.check_reservable(budget, tokens)
        if self.accounts.reserve(budget, attempt, sidecar, tokens, self._clock()):
            return
        waiter = self._waiters.add(budget, attempt, sidecar, tokens)
        future = waiter.future
        if self._clock() >= self._next_poll_by_budget.get(budget, 0.0):
            self._request_commit()
        try:
            await asyncio.wait({future}, timeout=wait_seconds)
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release(attempt)
            raise
        finally:
            self._waiters.discard(waiter)
        if not future.done():
            raise self._timeout_error(waiter)
        future.result()

    def try_reserve(
        self, budget: BudgetId, attempt: str, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Reserve tokens that are free now, without waiting for more.

        :return: whether the tokens were reserved.
        """
        if self.refuses_reservations:
            return False
        return self.accounts.reserve(budget, attempt, sidecar, tokens, self._clock())

    def reassign(self, attempt: str, sidecar: IncarnationId) -> None:
        """Move a reservation to another sidecar before the attempt is sent there.

        :raises FencedError: this incarnation is fenced.
        :raises OverloadError: its row does not list the sidecar yet or has too low a
            cap. The next transaction changes the row.
        """
        if self.fenced:
            raise self._fenced_error()
        if not self.accounts.reassign(attempt, sidecar, self._clock()):
            reservation = self.accounts.reservations_by_attempt[attempt]
            self._needs_by_unlisted_sidecar[sidecar] = {
                reservation.budget: reservation.tokens
            }
            self._request_commit()
            raise self._overload_error(
                "cap of unsettled tokens reached",
                peer=sidecar,
            )

    def check_fence(self) -> None:
        """Read the incarnation's row at once, which shows whether it is fenced."""
        self._request_commit()

    def release(self, attempt: str) -> None:
        """Free the tokens reserved for an attempt that did not run."""
        if self.accounts.release(attempt, self._clock()) is not None:
            self._serve_waiters()

    def settle(self, receipt: Receipt) -> None:
        """Bill an attempt; acknowledge a receipt again that was settled before."""
        if receipt.incarnation != self._incarnation:
            eliot.log_message("foreign_receipt", attempt=receipt.attempt)
        elif self.accounts.finish(receipt, self._clock()) is not None:
            if receipt.tokens > receipt.reserved_tokens:
                eliot.log_message("receipt_above_reservation", attempt=receipt.attempt)
            self._wake.set()
            self._serve_waiters()
        elif receipt.attempt not in self.accounts.unsettled_by_attempt:
            self.duplicate_receipts += 1
            self.on_settled(receipt.attempt)

    async def run(self) -> None:
        """Commit transactions when they are due, until fenced, closing or cancelled."""
        while not self.fenced and not self._closing:
            if self._next_commit_at() <= self._clock():
                await self._commit()
            else:
                await self._sleep_until_due()
        self._refuse_all()

    async def close(self) -> None:
        """Settle all bills, return all tokens and close the incarnation's row.

        If requests are still in flight or the platform is out when the timeout ends,
        the row stays open and other routers reclaim its tokens.
        """
        self._closing = True
        self._wake.set()
        self._refuse_all()
        deadline = self._clock() + self._intervals.close_timeout_seconds
        while not self._committer.closed and not self.fenced:
            if self._clock() >= deadline:
                eliot.log_message(
                    "accountant_left_open", open=self.accounts.open_attempt_count()
                )
                return
            await self._commit()
            retry_at_once = self._consecutive_failures or self._has_full_batch()
            if not self._committer.closed and not retry_at_once:
                await asyncio.sleep(self._intervals.settle_seconds)

    def snapshot(self) -> dict:
        """Return the state of the accountant for a state dump."""
        return {
            "incarnation": self._incarnation,
            "fenced": self.fenced,
            "platform_out": self.platform_out,
            "waiting": len(self._waiters),
            "in_flight": len(self.accounts.reservations_by_attempt),
            "unsettled": len(self.accounts.unsettled_by_attempt),
            "unresolved_transactions": self._committer.unresolved,
            "conflicts": self.conflicts,
            "duplicate_receipts": self.duplicate_receipts,
            "dropped_bills": self._committer.dropped_bills,
            "clamped_bills": self.accounts.clamped_bills,
            **self.accounts.snapshot(self._clock()),
        }

    def _request_commit(self) -> None:
        self._commit_at_once = True
        self._wake.set()

    def check_reservable(self, budget: BudgetId, tokens: Tokens) -> None:
        """Check that nothing known rules a reservation out.

        :raises RefusedError: the budget is exhausted or unknown, or this incarnation
            reserves nothing any more.
        """
        if self.fenced:
            raise self._fenced_error()
        if self._closing:
            raise self._overload_error("this router is closing")
        if self.accounts.open_attempt_count() + len(self._waiters) >= MAX_OPEN_ATTEMPTS:
            raise self._overload_error("too many unsettled receipts")
        if self._prepaid(budget) is None:
            raise self._insufficient_error("no such budget", budget)
        if self._is_known_exhausted(budget, tokens):
            raise self._insufficient_error("the budget is exhausted", budget)

    def _is_known_exhausted(self, budget: BudgetId, tokens: Tokens) -> bool:
        """Return whether a recent read showed too small a balance for `tokens`."""
        balance = self._committer.balances_by_budget.get(budget)
        return (
            balance is not None
            and tokens > balance.tokens
            and balance.prepaid_total == self._prepaid(budget)
            and self._clock() - balance.seen_at
            < self._intervals.exhausted_cache_seconds
        )

    def _overload_error(self, message: str, peer: str = "") -> OverloadError:
        return OverloadError(
            message, step=STEP, peer=peer, retry_after=RETRY_AFTER_SECONDS
        )

    def _fenced_error(self) -> FencedError:
        return FencedError(
            "this incarnation is fenced", step=STEP, retry_after=RETRY_AFTER_SECONDS
        )

    def _insufficient_error(
        self, message: str, budget: BudgetId, retry_after: float | None = None
    ) -> InsufficientBudgetError:
        return InsufficientBudgetError(
            message, step=STEP, peer=budget, status=402, retry_after=retry_after
        )

    def _timeout_error(self, waiter: Waiter) -> RefusedError:
        if self.platform_out or self._consecutive_failures:
            return self._overload_error(
                "the table service gives no tokens",
                PLATFORM_PEER,
            )
        if self._committer.holds_draws(self._clock()):
            return self._overload_error(
                "the table service was restored, and all holders of tokens are awaited",
                PLATFORM_PEER,
            )
        if self.accounts.account(waiter.budget).free >= waiter.tokens:
            return self._overload_error(
                "cap of unsettled tokens reached",
                waiter.sidecar,
            )
        if waiter.budget not in self._committer.balances_by_budget:
            return self._overload_error("the table service is slow", PLATFORM_PEER)
        return self._insufficient_error(
            "too few tokens of the budget became free in time",
            waiter.budget,
            RETRY_AFTER_SECONDS,
        )

    def _serve_waiters(self) -> None:
        if not self.fenced:
            self._waiters.serve(self._reserve_waiting)

    def _reserve_waiting(self, waiter: Waiter) -> bool:
        return self.accounts.reserve(
            waiter.budget,
            waiter.attempt,
            waiter.sidecar,
            waiter.tokens,
            self._clock(),
        )

    def _refuse_all(self) -> None:
        for waiter in self._waiters:
            error = (
                self._fenced_error()
                if self.fenced
                else self._overload_error("this incarnation is closing")
            )
            self._waiters.fail(waiter, error)

    def _refuse_exhausted(self) -> None:
        for waiter in self._waiters:
            if self._is_known_exhausted(waiter.budget, waiter.tokens):
                error = self._insufficient_error(
                    "the budget is exhausted", waiter.budget
                )
                self._waiters.fail(waiter, error)

    def _build_request(self, now: float) -> CommitRequest:
        needs = self._waiters.needs_by_sidecar()
        for sidecar, tokens_by_budget in self._needs_by_unlisted_sidecar.items():
            by_budget = needs.setdefault(sidecar, {})
            for budget, tokens in tokens_by_budget.items():
                by_budget[budget] = by_budget.get(budget, 0) + tokens
        review_due = now >= self._reviewed_at + self._review_seconds()
        renew = not self.accounts.idle
        reviewed_budgets = (
            {*self.accounts.budgets_to_review(), *self._budgets_to_review}
            if review_due
            else self._budgets_to_review
        )
        return CommitRequest(
            demands_by_budget=self._waiters.demands_by_budget(),
            needs_by_sidecar=needs,
            reviewed_budgets=frozenset(reviewed_budgets),
            settle=bool(self.accounts.unsettled_by_attempt) and now >= self._settle_at,
            heartbeat=renew and now >= self._committed_at + self._heartbeat_seconds(),
            refresh=renew and now >= self._committed_at + self._refresh_seconds(),
            closing=self._closing,
        )

    def _build_row_only_request(self) -> CommitRequest:
        """Return a request for the incarnation's row, which no other router writes."""
        return CommitRequest(
            demands_by_budget={},
            needs_by_sidecar=self._waiters.needs_by_sidecar(),
            refresh=self._can_write_row_alone,
        )

    def _must_write_row_alone(self, now: float) -> bool:
        """Return whether to write the incarnation's row without any budget's row.

        Budgets' rows may conflict with other routers. The incarnation's row does not
        wait for them when a request only needs a higher cap, or when conflicts delay
        a heartbeat that is due.
        """
        if self._closing:
            return False
        if (
            self._can_write_row_alone
            and self._in_conflict
            and now >= self._next_row_write_at()
        ):
            return True
        return any(
            self.accounts.account(waiter.budget).free >= waiter.tokens
            for waiter in self._waiters
        )

    def _next_commit_at(self) -> float:
        """Return the local time at which the next commit is due."""
        if self._commit_at_once:
            return 0.0
        due = min(
            self._next_row_write_at(),
            self._reviewed_at + self._review_seconds(),
        )
        if self.accounts.unsettled_by_attempt:
            due = min(due, self._settle_at)
        for waiter in self._waiters:
            due = min(due, self._next_poll_by_budget.get(waiter.budget, 0.0))
        return due

    def _next_row_write_at(self) -> float:
        """Return the local time by which the incarnation's row must be written."""
        if self.accounts.idle:
            return math.inf
        return self._committed_at + min(
            self._heartbeat_seconds(), self._refresh_seconds()
        )

    def _heartbeat_seconds(self) -> float:
        return self._intervals.heartbeat_seconds * self._interval_factor()

    def _review_seconds(self) -> float:
        return self._intervals.review_seconds * self._interval_factor()

    async def _sleep_until_due(self) -> None:
        try:
            async with asyncio.timeout(
                max(0.0, self._next_commit_at() - self._clock())
            ):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _commit(self) -> None:
        """Commit once; back off with jitter after a failure or conflict."""
        async with self._commit_lock:
            await self._commit_once()

    async def _commit_once(self) -> None:
        now = self._clock()
        self._writes_row_alone = (
            self._must_write_row_alone(now) and not self._writes_row_alone
        )
        request = (
            self._build_row_only_request()
            if self._writes_row_alone
            else self._build_request(now)
        )
        self._commit_at_once = False
        try:
            result = await self._committer.commit(request, now, self._max_budgets)
        except PlatformError as error:
            self._record_platform_failure()
            self._commit_at_once = True
            eliot.log_message("budget_commit_failed", error=str(error))
            await self._back_off()
            return
        self._record_platform_answer()
        if result is CommitResult.CONFLICT:
            self.conflicts += 1
            self._in_conflict = True
            self._consecutive_failures += 1
            self._max_budgets = max(1, self._max_budgets // 2)
            if self._max_budgets == 1:
                self._settle_delay_factor = min(
                    MAX_SETTLE_DELAY_FACTOR, self._settle_delay_factor * 2
                )
            self._commit_at_once = True
            await self._back_off()
            return
        self._schedule_next_commit(request, result, now)

    def _schedule_next_commit(
        self, request: CommitRequest, result: CommitResult, now: float
    ) -> None:
        committed = result is CommitResult.COMMITTED
        if committed:
            self._committed_at = now
        if self._writes_row_alone:
            self._serve_waiters()
            self._commit_at_once = len(self._waiters) > 0
            return
        self._consecutive_failures = 0
        self._in_conflict = False
        if committed:
            self._max_budgets = min(MAX_TRANSACTION_WRITES, self._max_budgets * 2)
        if self._committer.partial:
            self._serve_waiters()
            self._commit_at_once = len(self._waiters) > 0
            # The other budgets follow after a pause: each transaction costs two calls.
            next_at = now + PARTIAL_COMMIT_PAUSE_SECONDS
            self._reviewed_at = min(now, next_at - self._review_seconds())
            self._settle_at = max(self._settle_at, next_at)
            return
        self._budgets_to_review -= request.reviewed_budgets
        if request.reviewed_budgets.issuperset(self.accounts.budgets_to_review()):
            self._reviewed_at = now
        for sidecar in request.needs_by_sidecar:
            self._needs_by_unlisted_sidecar.pop(sidecar, None)
        if request.settle:
            self._settle_delay_factor = max(1.0, self._settle_delay_factor * 0.9)
            jitter = self._rng.uniform(0.75, 1.25)
            self._settle_at = (
                now
                + self._intervals.settle_seconds
                * self._interval_factor()
                * self._settle_delay_factor
                * jitter
            )
            if committed and self._has_full_batch():
                self._settle_at = now
        self._serve_waiters()
        self._refuse_exhausted()
        for budget in request.demands_by_budget:
            self._next_poll_by_budget[budget] = (
                now + self._intervals.shortage_poll_seconds
            )

    def _record_platform_failure(self) -> None:
        self._consecutive_failures += 1
        if not self.platform_out:
            self.platform_out = True
            self.on_platform_change(True)

    def _record_platform_answer(self) -> None:
        if self.platform_out:
            self.platform_out = False
            self.on_platform_change(False)

    def _has_full_batch(self) -> bool:
        return (
            len(self.accounts.unsettled_by_attempt) >= self._committer.max_batch_bills
        )

    async def _back_off(self) -> None:
        limit = min(
            MAX_BACKOFF_SECONDS,
            INITIAL_BACKOFF_SECONDS * 2 ** min(self._consecutive_failures, 10),
        )
        await asyncio.sleep(self._rng.uniform(0, limit))
