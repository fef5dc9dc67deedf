"""In-memory accounts of the tokens that one incarnation holds; no I/O."""

from collections.abc import Collection

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
CAP_HEADROOM_FACTOR = 2
SIDECAR_IDLE_SECONDS = 300.0


class Account(msgspec.Struct):
    """Tokens of one budget that this incarnation holds, by state.

    :param burn_rate: rate at which this router reserves tokens of the budget.
    :param free: tokens that may be reserved.
    :param reserved: sum of the upper bounds of attempts in flight.
    :param unsettled: billed tokens whose bills are not in the ledger yet.
    :param returning: tokens in a transaction that returns them to the budget and whose
        result is not known yet.
    :param cap: bound, stored in the incarnation's row, on the reserved and unsettled
        tokens of the budget at any one sidecar.
    :param reserved_at: local time of the last try to reserve, successful or not.
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
        """Tokens held, as the budget's row counts them."""
        return Tokens(self.free + self.reserved + self.unsettled + self.returning)


class Reservation(msgspec.Struct):
    """Tokens reserved for one attempt: the most that it may cost."""

    budget: BudgetId
    sidecar: IncarnationId
    tokens: Tokens


class SidecarUsage(msgspec.Struct):
    """Tokens that a sidecar may have spent and that the ledger does not have yet.

    :param listed: whether the incarnation's row lists the sidecar.
    :param unsettled: reserved and unsettled tokens by budget.
    :param used_at: local time of the last reservation for the sidecar.
    """

    listed: bool = False
    unsettled: dict[BudgetId, int] = msgspec.field(default_factory=dict)
    used_at: float = 0.0

    def charge(self, budget: BudgetId, tokens: int) -> None:
        """Add tokens of a budget; a negative number removes them."""
        total = self.unsettled.pop(budget, 0) + tokens
        if total:
            self.unsettled[budget] = total


class SpendingLimits(msgspec.Struct, frozen=True):
    """Limits in the incarnation's row on what may be spent before it is settled.

    :param sidecars: sidecars to which attempts may be sent.
    :param caps: bound on the tokens at any one sidecar, by budget.
    :param billed: tokens that the transaction with this row settles, by budget. While
        it is unknown whether the transaction took effect, they count as unsettled.
    :param growth: rate at which each cap grows, in tokens per second.
    :param since: local time from which the caps grow.
    """

    sidecars: list[IncarnationId]
    caps: dict[BudgetId, Tokens]
    billed: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    growth: dict[BudgetId, Tokens] = msgspec.field(default_factory=dict)
    since: float = 0.0


class AllotmentAccounts:
    """Accounts of all budgets of which this incarnation holds tokens.

    :ivar by_budget: account of each budget.
    :ivar reservations_by_attempt: reservations of attempts in flight.
    :ivar unsettled_by_attempt: bills that the ledger does not have yet.
    :ivar usage_by_sidecar: tokens that each sidecar may have spent.
    :ivar clamped_bills: number of bills that were reduced to what was reserved.
    :param min_cap: least cap of a budget, in tokens.
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
        self.clamped_bills = 0
        self._sidecars_by_attempt: dict[str, IncarnationId] = {}
        self._billed_at_by_attempt: dict[str, float] = {}

    def account(self, budget: BudgetId) -> Account:
        """Return the account of a budget, created on first use."""
        account = self.by_budget.get(budget)
        if account is None:
            account = Account(burn_rate=BurnRate(self._burn_window_seconds))
            self.by_budget[budget] = account
        return account

    def budgets_to_review(self) -> Collection[BudgetId]:
        """Return the budgets whose allotments are compared with the policy."""
        return self.by_budget.keys()

    @property
    def idle(self) -> bool:
        """Whether the incarnation's row needs no renewal: it bounds no tokens."""
        return False

    def usage(self, sidecar: IncarnationId) -> SidecarUsage:
        """Return the usage of a sidecar, created on first use."""
        return self.usage_by_sidecar.setdefault(sidecar, SidecarUsage())

    def open_attempt_count(self) -> int:
        """Return the number of attempts in flight or with a bill to be settled."""
        return len(self.reservations_by_attempt) + len(self.unsettled_by_attempt)

    def is_listed(self, sidecar: IncarnationId) -> bool:
        """Return whether attempts may be sent to the sidecar."""
        usage = self.usage_by_sidecar.get(sidecar)
        return usage is not None and usage.listed

    def within_cap(
        self, budget: BudgetId, sidecar: IncarnationId, tokens: Tokens
    ) -> bool:
        """Return whether `tokens` more of the budget may be sent to the sidecar."""
        if not self.is_listed(sidecar):
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
        """Reserve the most that an attempt may cost.

        :return: False when too few tokens are free or the sidecar's cap is reached.
        :raises ValueError: the attempt has a reservation already.
        """
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
        self._charge_sidecar(sidecar, budget, tokens, now)
        return True

    def reassign(self, attempt: str, sidecar: IncarnationId, now: float) -> bool:
        """Move a reservation to another sidecar.

        :return: False when the sidecar's cap does not allow it.
        """
        reservation = self.reservations_by_attempt[attempt]
        if reservation.sidecar == sidecar:
            return True
        budget, tokens = reservation.budget, reservation.tokens
        if not self.within_cap(budget, sidecar, tokens):
            return False
        self.usage(reservation.sidecar).charge(budget, -tokens)
        reservation.sidecar = sidecar
        self._charge_sidecar(sidecar, budget, tokens, now)
        return True

    def split(self, attempt: str, part: str, tokens: Tokens) -> bool:
        """Move tokens of a reservation to one of their own, to be settled first.

        :param part: name of the new reservation, for the same sidecar.
        :return: False when nothing is to be moved, or the attempt does not hold more
            tokens than that.
        """
        reservation = self.reservations_by_attempt.get(attempt)
        if reservation is None or not 0 < tokens < reservation.tokens:
            return False
        reservation.tokens = Tokens(reservation.tokens - tokens)
        self.reservations_by_attempt[part] = Reservation(
            reservation.budget, reservation.sidecar, tokens
        )
        return True

    def release(self, attempt: str, now: float) -> BudgetId | None:
        """Free the tokens reserved for an attempt that did not run.

        :return: the budget of the attempt, None when it has no reservation.
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
        """Replace the reservation of an attempt by a bill for what it cost.

        A bill is never for more than was reserved.

        :return: the bill, None for an attempt that has no reservation.
        """
        reservation = self.reservations_by_attempt.pop(receipt.attempt, None)
        if reservation is None:
            return None
        if receipt.tokens > reservation.tokens:
            self.clamped_bills += 1
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

    def oldest_bill_times(self) -> dict[BudgetId, float]:
        """Return the local time of the oldest unsettled bill of each budget."""
        times_by_budget: dict[BudgetId, float] = {}
        for attempt, bill in self.unsettled_by_attempt.items():
            times_by_budget.setdefault(bill.budget, self._billed_at_by_attempt[attempt])
        return times_by_budget

    def remove_settled_bill(self, bill: Bill) -> None:
        """Remove a bill that the ledger has."""
        self._remove_bill(bill)

    def remove_duplicate_bill(self, bill: Bill) -> None:
        """Remove the bill of a request that another attempt was billed for.

        Its tokens are free again.
        """
        self._remove_bill(bill)
        self.account(bill.budget).free += bill.tokens

    def add_grant(self, budget: BudgetId, tokens: Tokens) -> None:
        """Add tokens that the budget's row grants to this incarnation."""
        self.account(budget).free += tokens

    def begin_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """Set tokens aside before the transaction that returns them is sent."""
        account = self.account(budget)
        account.free -= tokens
        account.returning += tokens

    def complete_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """Remove tokens whose return is in the budget's row."""
        self.account(budget).returning -= tokens

    def cancel_return(self, budget: BudgetId, tokens: Tokens) -> None:
        """Free the tokens of a return that did not take effect."""
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
        """Return the limits to write into the row; idle sidecars are left out.

        A cap lets one sidecar spend twice an even share of the tokens held, so that
        requests are served while nothing can be settled.

        :param needs_by_sidecar: tokens that waiting requests would add at each sidecar,
            by budget.
        :param grants: tokens that the transaction draws, by budget.
        :param billed: tokens that the transaction settles, by budget. They are ignored
            here: a sidecar's cap covers them until their receipts are acknowledged.
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
            unsettled = self.usage_by_sidecar.get(sidecar, SidecarUsage()).unsettled
            needs = needs_by_sidecar.get(sidecar, {})
            for budget in {*unsettled, *needs}:
                used = unsettled.get(budget, 0) + needs.get(budget, 0)
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
        wanted = max(self._min_cap, CAP_HEADROOM_FACTOR * max(used, share))
        keep_cap = wanted / 2 <= account.cap <= wanted * 2 and used <= account.cap
        return Tokens(account.cap if keep_cap else wanted)

    def renew_cap_validity(self) -> tuple[float, float]:
        """Return the validity of the caps for the row; these caps never lapse.

        :return: the store's time from which the caps are valid and the number of
            seconds for which they are; zero for caps that always hold.
        """
        return 0.0, 0.0

    def tighten_limits(self, limits: SpendingLimits) -> None:
        """Apply those limits that are stricter, before the row has them."""
        for sidecar in self.usage_by_sidecar.keys() - set(limits.sidecars):
            del self.usage_by_sidecar[sidecar]
        for budget, account in self.by_budget.items():
            new_cap = limits.caps.get(budget, 0) + limits.billed.get(budget, 0)
            account.cap = min(account.cap, new_cap)

    def apply_limits(self, limits: SpendingLimits) -> None:
        """Apply the limits that the row has."""
        for sidecar in limits.sidecars:
            self.usage(sidecar).listed = True
        for budget, cap in limits.caps.items():
            self.account(budget).cap = cap

    def snapshot(self, now: float) -> dict:
        """Return the accounts and the usage of sidecars for a state dump."""
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

    def _charge_sidecar(
        self, sidecar: IncarnationId, budget: BudgetId, tokens: int, now: float
    ) -> None:
        usage = self.usage(sidecar)
        usage.charge(budget, tokens)
        usage.used_at = now

    def _remove_bill(self, bill: Bill) -> None:
        del self.unsettled_by_attempt[bill.attempt]
        self.account(bill.budget).unsettled -= bill.tokens
        sidecar = self._sidecars_by_attempt.pop(bill.attempt)
        del self._billed_at_by_attempt[bill.attempt]
        self.usage(sidecar).charge(bill.budget, -bill.tokens)
