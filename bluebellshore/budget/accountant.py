"""Draws tokens for requests and settles their bills."""

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
PLATFORM = "platform"
MAX_OPEN_ATTEMPTS = 50_000
RETRY_AFTER_SECONDS = 1.0
BACKOFF_SECONDS = 0.01
#: Pause before budgets that a transaction left out are looked at.
PARTIAL_PAUSE_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
MAX_SETTLE_FACTOR = 16.0
COVER_SECONDS = 1.0


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
    exhausted_cache_seconds: float = COVER_SECONDS
    close_timeout_seconds: float = 10.0


class Accountant:
    """Holds the allotments of one router incarnation.

    :param prepaid: prepaid total of a budget by the newest bundle, None if unknown.
    :param rng: source of jitter.
    :param book: where the tokens are kept; new when left out.
    :param keeps_ledger: whether bills are written, not their sums alone.
    :param refresh_seconds: longest time that limits in the incarnation's row stand.
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
    ):
        #: Called when the platform gives no answer (True) and when it does again.
        self.on_platform_change: Callable[[bool], None] = lambda out: None
        self.on_settled: Callable[[str], None] = lambda attempt: None
        self.on_applied: Callable[[Transaction], None] = lambda transaction: None
        self.platform_out = False
        self.conflicts = 0
        self.duplicates = 0
        self.accounts = accounts or AllotmentAccounts()
        self._incarnation = incarnation
        self._prepaid = prepaid
        self._clock = clock
        self._intervals = intervals or AccountantIntervals()
        self._refresh_seconds = refresh_seconds
        self._rng = rng or random.Random()
        self._committer = TransactionCommitter(
            table,
            incarnation,
            self.accounts,
            policy,
            prepaid,
            lambda attempt: self.on_settled(attempt),
            writes_ledger=writes_ledger,
        )
        self._committer.on_applied = lambda transaction: self.on_applied(transaction)
        #: Whether the own row may be written without a look at budgets.
        self._beats_alone = not writes_ledger
        self._waiters = Waiters()
        #: Budgets that one transaction touches: fewer after conflicts.
        self._max_budgets = MAX_TRANSACTION_WRITES
        #: Whether budgets' rows conflicted since they were written last.
        self._contended = False
        #: Whether the last transaction was for the own row alone.
        self._own_alone = False
        self._prepared: dict[IncarnationId, dict[BudgetId, int]] = {}
        self._wake = asyncio.Event()
        self._committing = asyncio.Lock()
        self._urgent = False
        self._budgets_to_review: set[BudgetId] = set()
        self._looked_at = 0.0
        self._short_until: dict[BudgetId, float] = {}
        self._closing = False
        self._failures = 0
        self._settle_factor = 1.0
        self._committed_at = 0.0
        self._settle_at = 0.0

    @property
    def fenced(self) -> bool:
        """True once this incarnation is fenced; nothing more is reserved."""
        return self._committer.fenced

    @property
    def refuses_reservations(self) -> bool:
        """True once nothing more is reserved: fenced or closing."""
        return self.fenced or self._closing

    async def open(self, instance_id: InstanceId) -> None:
        """Write the incarnation's row; retries until the platform answers."""
        row = IncarnationRow(instance_id=instance_id)
        while True:
            try:
                await self._committer.create(row)
                break
            except PlatformError as error:
                eliot.log_message("incarnation_row_failed", error=str(error))
                self._failed()
                await self._pause()
        self._reached()
        self._failures = 0
        self._committed_at = self._looked_at = self._clock()

    def last_balance(self, budget: BudgetId) -> BudgetBalance | None:
        """Return what a budget could cover at most, as last seen."""
        return self._committer.balances_by_budget.get(budget)

    def has_waiting_requests(self, budget: BudgetId) -> bool:
        """Whether requests wait for tokens of a budget."""
        return any(waiter.budget == budget for waiter in self._waiters)

    def schedule_review(self, budgets: Iterable[BudgetId]) -> None:
        """Look at budgets soon: draw what the policy asks, return what others lack."""
        for budget in budgets:
            self.accounts.account(budget)
            self._budgets_to_review.add(budget)
        self._hurry()

    def request_listing(self, sidecar: IncarnationId) -> None:
        """Have a sidecar listed in the incarnation's row ahead of its first use."""
        if not self.accounts.is_listed(sidecar):
            self._prepared[sidecar] = {}
            self._hurry()

    async def reserve(
        self,
        budget: BudgetId,
        attempt: str,
        sidecar: IncarnationId,
        tokens: Tokens,
        *,
        wait_seconds: float,
    ) -> None:
        """Reserve the upper bound of an attempt before it is sent.

        :raises InsufficientBudgetError: the budget does not cover it.
        :raises OverloadError: tokens could not be drawn for now.
        """
        self._check(budget, tokens)
        if self.accounts.reserve(budget, attempt, sidecar, tokens, self._clock()):
            return
        waiter = self._waiters.add(budget, attempt, sidecar, tokens)
        future = waiter.future
        if self._clock() >= self._short_until.get(budget, 0.0):
            self._hurry()
        try:
            await asyncio.wait({future}, timeout=wait_seconds)
        except asyncio.CancelledError:
            if future.done() and future.exception() is None:
                self.release(attempt)
            raise
        finally:
            self._waiters.discard(waiter)
        if not future.done():
            raise self._refusal(waiter)
        future.result()

    def try_reserve(
        self, budget: BudgetId, attempt: str, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Reserve at once or not at all."""
        if self.refuses_reservations:
            return False
        return self.accounts.reserve(budget, attempt, sidecar, tokens, self._clock())

    def reassign(self, attempt: str, sidecar: IncarnationId) -> None:
        """Move a reservation to another sidecar before the attempt is sent there.

        :raises OverloadError: the sidecar's cap in the row is too low for now.
        """
        if self.fenced:
            raise self._overload("this incarnation is fenced")
        if not self.accounts.reassign(attempt, sidecar, self._clock()):
            reservation = self.accounts.reservations_by_attempt[attempt]
            self._prepared[sidecar] = {reservation.budget: reservation.tokens}
            self._hurry()
            raise self._overload("cap of unsettled tokens reached", peer=sidecar)

    def release(self, attempt: str) -> None:
        """Return the tokens of an attempt that did not run."""
        if self.accounts.release(attempt, self._clock()) is not None:
            self._serve_waiters()

    def settle(self, receipt: Receipt) -> None:
        """Bill an attempt; a receipt that comes again is acknowledged again."""
        if receipt.incarnation != self._incarnation:
            eliot.log_message("foreign_receipt", attempt=receipt.attempt)
        elif self.accounts.finish(receipt, self._clock()) is not None:
            if receipt.tokens > receipt.reserved_tokens:
                eliot.log_message("receipt_above_reservation", attempt=receipt.attempt)
            self._wake.set()
            self._serve_waiters()
        elif receipt.attempt not in self.accounts.unsettled_by_attempt:
            self.duplicates += 1
            self.on_settled(receipt.attempt)

    async def run(self) -> None:
        """Commit what is due until fenced, closed or cancelled."""
        while not self.fenced and not self._closing:
            if self._due() <= self._clock():
                await self._commit()
            else:
                await self._sleep_until_due()
        self._refuse_all()

    async def close(self) -> None:
        """Settle all bills, return the tokens and close the incarnation's row.

        Requests still in flight, or a platform outage, leave the row to reclaim.
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
            hurry = self._failures or self._more_than_a_batch()
            if not self._committer.closed and not hurry:
                await asyncio.sleep(self._intervals.settle_seconds)

    def snapshot(self) -> dict:
        """Return the state for a dump."""
        return {
            "incarnation": self._incarnation,
            "fenced": self.fenced,
            "platform_out": self.platform_out,
            "waiting": len(self._waiters),
            "in_flight": len(self.accounts.reservations_by_attempt),
            "unsettled": len(self.accounts.unsettled_by_attempt),
            "unresolved_transactions": self._committer.unresolved,
            "conflicts": self.conflicts,
            "duplicate_receipts": self.duplicates,
            "dropped_bills": self._committer.dropped_bills,
            "clamped_bills": self.accounts.clamped_bills,
            **self.accounts.snapshot(self._clock()),
        }

    def _hurry(self) -> None:
        self._urgent = True
        self._wake.set()

    def _check(self, budget: BudgetId, tokens: Tokens) -> None:
        if self.fenced:
            raise self._overload("this incarnation is fenced")
        if self._closing:
            raise self._overload("this router is closing")
        if self.accounts.open_attempt_count() + len(self._waiters) >= MAX_OPEN_ATTEMPTS:
            raise self._overload("too many unsettled receipts")
        if self._prepaid(budget) is None:
            raise self._insufficient("no such budget", budget)
        if self._exhausted(budget, tokens):
            raise self._insufficient("the budget is exhausted", budget)

    def _exhausted(self, budget: BudgetId, tokens: Tokens) -> bool:
        """Whether a recent look at the row showed that the budget cannot cover it."""
        cover = self._committer.balances_by_budget.get(budget)
        return (
            cover is not None
            and tokens > cover.tokens
            and cover.prepaid_total == self._prepaid(budget)
            and self._clock() - cover.seen_at < self._intervals.exhausted_cache_seconds
        )

    def _overload(self, message: str, peer: str = "") -> OverloadError:
        return OverloadError(
            message, step=STEP, peer=peer, retry_after=RETRY_AFTER_SECONDS
        )

    def _insufficient(
        self, message: str, budget: BudgetId, retry_after: float | None = None
    ) -> InsufficientBudgetError:
        return InsufficientBudgetError(
            message, step=STEP, peer=budget, status=402, retry_after=retry_after
        )

    def _refusal(self, waiter: Waiter) -> RefusedError:
        if self.platform_out or self._failures:
            return self._overload("the table service gives no tokens", PLATFORM)
        if self.accounts.account(waiter.budget).free >= waiter.tokens:
            return self._overload("cap of unsettled tokens reached", waiter.sidecar)
        if waiter.budget not in self._committer.balances_by_budget:
            return self._overload("the table service is slow", PLATFORM)
        return self._insufficient(
            "the rest of the budget is held for requests in flight",
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
        reason = "fenced" if self.fenced else "closing"
        for waiter in self._waiters:
            self._waiters.fail(waiter, self._overload(f"this incarnation is {reason}"))

    def _refuse_exhausted(self) -> None:
        for waiter in self._waiters:
            if self._exhausted(waiter.budget, waiter.tokens):
                error = self._insufficient("the budget is exhausted", waiter.budget)
                self._waiters.fail(waiter, error)

    def _request(self, now: float) -> CommitRequest:
        needs = self._waiters.needs_by_sidecar()
        for sidecar, tokens_by_budget in self._prepared.items():
            by_budget = needs.setdefault(sidecar, {})
            for budget, tokens in tokens_by_budget.items():
                by_budget[budget] = by_budget.get(budget, 0) + tokens
        looks = now >= self._looked_at + self._intervals.review_seconds
        reviewed_budgets = self.accounts.by_budget if looks else self._budgets_to_review
        return CommitRequest(
            demands_by_budget=self._waiters.demands_by_budget(),
            needs_by_sidecar=needs,
            reviewed_budgets=frozenset(reviewed_budgets),
            settle=bool(self.accounts.unsettled_by_attempt) and now >= self._settle_at,
            heartbeat=now >= self._committed_at + self._intervals.heartbeat_seconds,
            refresh=now >= self._committed_at + self._refresh_seconds(),
            closing=self._closing,
        )

    def _own_request(self) -> CommitRequest:
        """Return a request that touches the own row, which no other router changes."""
        return CommitRequest(
            demands_by_budget={},
            needs_by_sidecar=self._waiters.needs_by_sidecar(),
            refresh=self._beats_alone,
        )

    def _needs_own_row(self, now: float) -> bool:
        """Whether the own row can't wait for budgets' rows, which may conflict.

        A request waits for nothing but a higher cap, or conflicts hold up a sign of
        life that is due.
        """
        if self._closing:
            return False
        if self._beats_alone and self._contended and now >= self._row_due_at():
            return True
        return any(
            self.accounts.account(waiter.budget).free >= waiter.tokens
            for waiter in self._waiters
        )

    def _due(self) -> float:
        """Return when the next commit is due."""
        if self._urgent:
            return 0.0
        due = min(self._row_due_at(), self._looked_at + self._intervals.review_seconds)
        if self.accounts.unsettled_by_attempt:
            due = min(due, self._settle_at)
        for waiter in self._waiters:
            due = min(due, self._short_until.get(waiter.budget, 0.0))
        return due

    def _row_due_at(self) -> float:
        """Return when the own row is to be written, whatever else there is."""
        written = min(self._intervals.heartbeat_seconds, self._refresh_seconds())
        return self._committed_at + written

    async def _sleep_until_due(self) -> None:
        try:
            async with asyncio.timeout(max(0.0, self._due() - self._clock())):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    async def _commit(self) -> None:
        """Commit once; after a failure or conflict wait with jitter."""
        async with self._committing:
            await self._commit_once()

    async def _commit_once(self) -> None:
        now = self._clock()
        self._own_alone = self._needs_own_row(now) and not self._own_alone
        request = self._own_request() if self._own_alone else self._request(now)
        self._urgent = False
        try:
            result = await self._committer.commit(request, now, self._max_budgets)
        except PlatformError as error:
            self._failed()
            self._urgent = True
            eliot.log_message("budget_commit_failed", error=str(error))
            await self._pause()
            return
        self._reached()
        if result is CommitResult.CONFLICT:
            self.conflicts += 1
            self._contended = True
            self._failures += 1
            self._max_budgets = max(1, self._max_budgets // 2)
            if self._max_budgets == 1:
                self._settle_factor = min(MAX_SETTLE_FACTOR, self._settle_factor * 2)
            self._urgent = True
            await self._pause()
            return
        self._committed(request, result, now)

    def _committed(
        self, request: CommitRequest, result: CommitResult, now: float
    ) -> None:
        committed = result is CommitResult.COMMITTED
        if committed:
            self._committed_at = now
        if self._own_alone:
            self._serve_waiters()
            self._urgent = len(self._waiters) > 0
            return
        self._failures = 0
        self._contended = False
        if committed:
            self._max_budgets = min(MAX_TRANSACTION_WRITES, self._max_budgets * 2)
        if self._committer.partial:
            self._serve_waiters()
            self._urgent = len(self._waiters) > 0
            # The rest follows soon, not at once: each costs two calls.
            soon = now + PARTIAL_PAUSE_SECONDS
            self._looked_at = min(now, soon - self._intervals.review_seconds)
            self._settle_at = max(self._settle_at, soon)
            return
        self._budgets_to_review -= request.reviewed_budgets
        if request.reviewed_budgets >= self.accounts.by_budget.keys():
            self._looked_at = now
        for sidecar in request.needs_by_sidecar:
            self._prepared.pop(sidecar, None)
        if request.settle:
            self._settle_factor = max(1.0, self._settle_factor * 0.9)
            jitter = self._rng.uniform(0.75, 1.25)
            self._settle_at = (
                now + self._intervals.settle_seconds * self._settle_factor * jitter
            )
            if committed and self._more_than_a_batch():
                self._settle_at = now
        self._serve_waiters()
        self._refuse_exhausted()
        for budget in request.demands_by_budget:
            self._short_until[budget] = now + self._intervals.shortage_poll_seconds

    def _failed(self) -> None:
        self._failures += 1
        if not self.platform_out:
            self.platform_out = True
            self.on_platform_change(True)

    def _reached(self) -> None:
        if self.platform_out:
            self.platform_out = False
            self.on_platform_change(False)

    def _more_than_a_batch(self) -> bool:
        return (
            len(self.accounts.unsettled_by_attempt) >= self._committer.max_batch_bills
        )

    async def _pause(self) -> None:
        limit = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2 ** min(self._failures, 10))
        await asyncio.sleep(self._rng.uniform(0, limit))
