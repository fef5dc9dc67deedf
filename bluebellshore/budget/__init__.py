"""Prepaid budgets, allotments and bills."""

from bluebellshore.budget.accountant import Accountant, AccountantTimes
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
    "AccountantTimes",
    "AllotmentPolicy",
    "FixedPolicy",
    "HorizonPolicy",
    "SharePolicy",
    "StandbyPolicy",
    "make_policy",
]
