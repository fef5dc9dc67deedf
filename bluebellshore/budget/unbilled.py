"""Tokens that count as spent though no bill says so."""

from enum import Enum

import msgspec

from bluebellshore.ids import BudgetId, IncarnationId, Tokens

__all__ = ["BudgetTotals", "SettledAbsence", "UnbilledReason"]


class UnbilledReason(Enum):
    """Why tokens count as spent without a bill.

    :cvar WITHIN_CAPS: an earlier incarnation may have spent up to its caps.
    :cvar CAPS_LAPSED: it was absent for longer than its caps hold.
    :cvar TIME_UNKNOWN: the store's time doesn't tell for how long it was absent.
    :cvar STORE_RESTORED: its row came back with an older copy of the store.
    :cvar RECOUNTED: a restored store lacks what was drawn before.
    :cvar LOAN_EXPIRED: a borrower did not report what its loan cost.
    """

    WITHIN_CAPS = "within-caps"
    CAPS_LAPSED = "caps-lapsed"
    TIME_UNKNOWN = "time-unknown"
    STORE_RESTORED = "store-restored"
    RECOUNTED = "recounted"
    LOAN_EXPIRED = "loan-expired"


class BudgetTotals(msgspec.Struct, frozen=True):
    """What the row of a budget says after a write.

    :param settled: tokens billed or counted as spent.
    :param allotted: tokens held by all routers.
    """

    settled: Tokens
    allotted: Tokens


class SettledAbsence(msgspec.Struct, frozen=True):
    """Budgets of an earlier incarnation that one transaction settled.

    :param incarnation: the earlier incarnation.
    :param reason: what decided how many of its tokens count as spent.
    :param absent_seconds: longest time by the store's clock from its last contact with
        the store to the start of this process, which is when it was dead at the latest;
        None if the store's time is unknown.
    :param away_seconds: time from its last contact until the transaction, for which
        nobody could spend its tokens; None if the store's time is unknown.
    :param lapse_seconds: time after its last contact for which its caps held; 0 for
        caps that never lapse.
    :param spent: tokens counted as spent, by budget.
    :param returned: tokens returned to their budgets, by budget.
    :param caps: caps in its row, by budget.
    :param growth: rate at which they grew from its last contact on, in tokens per
        second, by budget.
    :param totals: what the rows say since then, by budget.
    """

    incarnation: IncarnationId
    reason: UnbilledReason
    absent_seconds: float | None
    away_seconds: float | None
    lapse_seconds: float
    spent: dict[BudgetId, Tokens]
    returned: dict[BudgetId, Tokens]
    caps: dict[BudgetId, Tokens]
    growth: dict[BudgetId, Tokens]
    totals: dict[BudgetId, BudgetTotals]
