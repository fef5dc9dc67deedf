"""Prepaid budgets, allotments and bills."""

from bluebellshore.budget.accountant import Accountant, AccountantIntervals
from bluebellshore.budget.policy import (
    AllotmentPolicy,
    FixedPolicy,
    HorizonPolicy,
    SharePolicy,
    StandbyPolicy,
    make_policy,
)

__all__ = [
    "Accountant",
    "AccountantIntervals",
    "AllotmentPolicy",
    "FixedPolicy",
    "HorizonPolicy",
    "SharePolicy",
    "StandbyPolicy",
    "make_policy",
]
