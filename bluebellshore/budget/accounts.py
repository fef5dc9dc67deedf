"""Accounting of one incarnation's allotments, without input or output."""

import msgspec

from bluebellshore.budget.policy import BURN_WINDOW_SECONDS, BurnRate
from bluebellshore.budget.rows import Bill
from bluebellshore.ids import BudgetId, IncarnationId, Tokens
from bluebellshore.wire.link_pb2 import Receipt

__all__ = [
    "Account",
    "AllotmentAccounts",
    "Reservation",
    "SidecarUsage",
    "SpendingLimits",
]

MIN_CAP_TOKENS = Tokens(8192)
CAP_HEADROOM = 2
SIDECAR_IDLE_SECONDS = 300.0


class Account(msgspec.Struct):
    """Tokens of one budget held by this incarnation, by what they wait for.

    :param free: may be reserved.
    :param reserved: upper bounds of requests in flight.
    :param unsettled: billed tokens that the ledger does not have yet.
    :param returning: part of a return whose answer is open.
    :param cap: bound, in the incarnation's row, on unsettled tokens at any sidecar.
    """

    burn_rate: BurnRate
    free: int = 0
    reserved: int = 0
    unsettled: int = 0
    returning: int = 0
    cap: int = 0
    reserved_at: float = 0.0

    @property
    def outstanding(self) -> Tokens:
        """Tokens held, as in the budget's row."""
        return Tokens(self.free + self.reserved + self.unsettled + self.returning)


class Reservation(msgspec.Struct):
    """Upper bound of one attempt."""

    budget: BudgetId
    sidecar: IncarnationId
    tokens: Tokens


class SidecarUsage(msgspec.Struct):
    """Tokens that a sidecar may have spent without a bill in the ledger.

    :param listed: whether the incarnation's row lists the sidecar.
    :param unsettled: tokens by budget.
    """

    listed: bool = False
    unsettled: dict[BudgetId, int] = msgspec.field(default_factory=dict)
    used_at: float = 0.0

    def charge(self, budget: BudgetId, tokens: int) -> None:
        """Add tokens, or remove them when negative."""
        total = self.unsettled.pop(budget, 0) + tokens
        if total:
            self.unsettled[budget] = total


class SpendingLimits(msgspec.Struct, frozen=True):
    """Sidecars that may be used and caps by budget, as in the incarnation's row.

    :param billed: tokens, by budget, that the row's transaction settles; in doubt
        whether it stands they are unsettled still.
    :param growth: tokens a second by which each cap grows.
    :param since: local time from which caps grow.
    """

    sidecars: list[IncarnationId]
    caps: dict[BudgetId, Tokens]
    billed: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    growth: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    since: float = 0.0


class AllotmentAccounts:
    """Where each token of this incarnation's allotments is.

    ``unsettled_by_attempt`` holds bills until the ledger has them.

    :param min_cap: least cap of a sidecar in use.
    :param burn_window_seconds: time over which burn rates are averaged.
    """

    def __init__(
        self,
        *,
        min_cap: Tokens = MIN_CAP_TOKENS,
        burn_window_seconds: float = BURN_WINDOW_SECONDS,
    ):
        self._min_cap = min_cap
        self._burn_window_seconds = burn_window_seconds
        self.by_budget: dict[BudgetId, Account] = {}
        self.reservations_by_attempt: dict[str, Reservation] = {}
        self.unsettled_by_attempt: dict[str, Bill] = {}
        self.usage_by_sidecar: dict[IncarnationId, SidecarUsage] = {}
        self.clamped = 0
        self._sidecars_by_attempt: dict[str, IncarnationId] = {}
        self._billed_at_by_attempt: dict[str, float] = {}

    def account(self, budget: BudgetId) -> Account:
        """Return the account of a budget, opened on first use."""
        account = self.by_budget.get(budget)
        if account is None:
            account = Account(burn_rate=BurnRate(self._burn_window_seconds))
            self.by_budget[budget] = account
        return account

    def usage(self, sidecar: IncarnationId) -> SidecarUsage:
        """Return the use of a sidecar, opened on first use."""
        return self.usage_by_sidecar.setdefault(sidecar, SidecarUsage())

    def open_attempt_count(self) -> int:
        """Return the attempts in flight and the bills not yet in the ledger."""
        return len(self.reservations_by_attempt) + len(self.unsettled_by_attempt)

    def lists(self, sidecar: IncarnationId) -> bool:
        """Whether anything may be sent to the sidecar."""
        usage = self.usage_by_sidecar.get(sidecar)
        return usage is not None and usage.listed

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Whether the sidecar may be sent `tokens` more of the budget."""
        if not self.lists(sidecar):
            return False
        used = self.usage(sidecar).unsettled.get(budget, 0)
        return used + tokens <= self.account(budget).cap

    def reserve(
        self,
        budget: BudgetId,
        attempt: str,
        sidecar: IncarnationId,
        tokens: Tokens,
        now: float,
    ) -> bool:
        """Reserve an upper bound. :return: False when tokens or cap are short."""
        account = self.account(budget)
        account.reserved_at = now
        if account.free < tokens or not self.within_cap(budget, sidecar, tokens):
            return False
        if attempt in self.reservations_by_attempt:
            raise ValueError(f"attempt {attempt} is reserved already")
        account.free -= tokens
        account.reserved += tokens
        account.burn_rate.record(tokens, now)
        self.reservations_by_attempt[attempt] = Reservation(budget, sidecar, tokens)
        self._charge(sidecar, budget, tokens, now)
        return True

    def reassign(self, attempt: str, sidecar: IncarnationId, now: float) -> bool:
        """Move a reservation. :return: False when the sidecar's cap is too low."""
        reservation = self.reservations_by_attempt[attempt]
        if reservation.sidecar == sidecar:
            return True
        budget, tokens = reservation.budget, reservation.tokens
        if not self.within_cap(budget, sidecar, tokens):
            return False
        self.usage(reservation.sidecar).charge(budget, -tokens)
        reservation.sidecar = sidecar
        self._charge(sidecar, budget, tokens, now)
        return True

    def release(self, attempt: str, now: float) -> BudgetId | None:
        """Free the tokens of an attempt that did not run.

        :return: its budget, None when the attempt is unknown.
        """
        reservation = self.reservations_by_attempt.pop(attempt, None)
        if reservation is None:
            return None
        account = self.account(reservation.budget)
        account.reserved -= reservation.tokens
        account.free += reservation.tokens
        account.burn_rate.record(-reservation.tokens, now)
        usage = self.usage(reservation.sidecar)
        usage.charge(reservation.budget, -reservation.tokens)
        return reservation.budget

    def finish(self, receipt: Receipt, now: float) -> Bill | None:
        """Replace a reservation by its bill.

        :return: None for an attempt that has no reservation.
        """
        reservation = self.reservations_by_attempt.pop(receipt.attempt, None)
        if reservation is None:
            return None
        if receipt.tokens > reservation.tokens:
            self.clamped += 1
        bill = Bill.from_receipt(receipt, reservation.tokens)
        bill = msgspec.structs.replace(bill, budget=reservation.budget)
        unused = reservation.tokens - bill.tokens
        account = self.account(reservation.budget)
        account.reserved -= reservation.tokens
        account.free += unused
        account.unsettled += bill.tokens
        account.burn_rate.record(-unused, now)
        self.usage(reservation.sidecar).charge(reservation.budget, -unused)
        self.unsettled_by_attempt[bill.attempt] = bill
        self._sidecars_by_attempt[bill.attempt] = reservation.sidecar
        self._billed_at_by_attempt[bill.attempt] = now
        return bill

    def billed_at(self) -> dict[BudgetId, float]:
        """Return the times of the oldest bills, by budget."""
        times: dict[BudgetId, float] = {}
        for attempt, bill in self.unsettled_by_attempt.items():
            times.setdefault(bill.budget, self._billed_at_by_attempt[attempt])
        return times

    def remove_settled_bill(self, bill: Bill) -> None:
        """The ledger has the bill."""
        self._forget(bill)

    def remove_duplicate_bill(self, bill: Bill) -> None:
        """The request was billed for another attempt; its tokens are free."""
        self._forget(bill)
        self.account(bill.budget).free += bill.tokens

    def add_grant(self, budget: BudgetId, tokens: Tokens) -> None:
        """Add a grant that the budget's row has."""
        self.account(budget).free += tokens

    def begin_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """Set tokens aside before the transaction that returns them."""
        account = self.account(budget)
        account.free -= tokens
        account.returning += tokens

    def complete_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """The return is in the budget's row."""
        self.account(budget).returning -= tokens

    def cancel_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """The return did not take effect."""
        account = self.account(budget)
        account.returning -= tokens
        account.free += tokens

    def desired_limits(
        self,
        needs_by_sidecar: dict[IncarnationId, dict[BudgetId, int]],
        grants: dict[BudgetId, Tokens],
        now: float,
        billed: dict[BudgetId, Tokens] | None = None,
    ) -> SpendingLimits:
        """Return the limits that the row should have; idle sidecars are left out.

        A cap lets one sidecar spend twice its even share of what is held, so that
        serving goes on while nothing can be settled.

        :param needs_by_sidecar: tokens that waiting requests would add.
        :param grants: tokens about to be added.
        :param billed: tokens about to be settled; caps at sidecars bound them until
            their receipts are acknowledged.
        """
        sidecars = sorted(
            {
                *needs_by_sidecar,
                *(
                    sidecar
                    for sidecar, usage in self.usage_by_sidecar.items()
                    if usage.unsettled or now - usage.used_at < SIDECAR_IDLE_SECONDS
                ),
            }
        )
        peak_usage: dict[BudgetId, int] = {}
        for sidecar in sidecars:
            known = self.usage_by_sidecar.get(sidecar, SidecarUsage()).unsettled
            needs = needs_by_sidecar.get(sidecar, {})
            for budget in {*known, *needs}:
                used = known.get(budget, 0) + needs.get(budget, 0)
                peak_usage[budget] = max(peak_usage.get(budget, 0), used)
        caps = {
            budget: self._desired_cap(
                account,
                peak_usage.get(budget, 0),
                (account.outstanding + grants.get(budget, 0)) // max(1, len(sidecars)),
            )
            for budget, account in self.by_budget.items()
        }
        return SpendingLimits(sidecars, caps)

    def _desired_cap(self, account: Account, used: int, share: int) -> Tokens:
        wanted = max(self._min_cap, CAP_HEADROOM * max(used, share))
        keep = wanted / 2 <= account.cap <= wanted * 2 and used <= account.cap
        return Tokens(account.cap if keep else wanted)

    def renew_cap_validity(self) -> tuple[float, float]:
        """Return what the row says on when caps no longer hold: always."""
        return 0.0, 0.0

    def tighten_limits(self, limits: SpendingLimits) -> None:
        """Heed stricter limits before the row has them."""
        for sidecar in self.usage_by_sidecar.keys() - set(limits.sidecars):
            del self.usage_by_sidecar[sidecar]
        for budget, account in self.by_budget.items():
            lower = limits.caps.get(budget, 0) + limits.billed.get(budget, 0)
            account.cap = min(account.cap, lower)

    def apply_limits(self, limits: SpendingLimits) -> None:
        """Use the limits that the row has."""
        for sidecar in limits.sidecars:
            self.usage(sidecar).listed = True
        for budget, cap in limits.caps.items():
            self.account(budget).cap = cap

    def snapshot(self, now: float) -> dict:
        """Return budgets and sidecars for a dump of the state."""
        return {
            "budgets": {
                budget: {
                    "free": account.free,
                    "reserved": account.reserved,
                    "unsettled": account.unsettled,
                    "cap_per_sidecar": account.cap,
                    "burn_per_second": account.burn_rate.per_second(now),
                }
                for budget, account in self.by_budget.items()
            },
            "sidecars": {
                sidecar: {"listed": usage.listed, "unsettled": usage.unsettled}
                for sidecar, usage in self.usage_by_sidecar.items()
            },
        }

    def _charge(
        self, sidecar: IncarnationId, budget: BudgetId, tokens: int, now: float
    ) -> None:
        usage = self.usage(sidecar)
        usage.charge(budget, tokens)
        usage.used_at = now

    def _forget(self, bill: Bill) -> None:
        del self.unsettled_by_attempt[bill.attempt]
        self.account(bill.budget).unsettled -= bill.tokens
        sidecar = self._sidecars_by_attempt.pop(bill.attempt)
        del self._billed_at_by_attempt[bill.attempt]
        self.usage(sidecar).charge(bill.budget, -bill.tokens)
