"""Prepaid token budgets by escrow.

A row in the shared store holds each budget. A router moves tokens to an allotment of
its own by a conditional transaction before it spends them, reserves tokens for each
attempt and settles bills in batches. When a router dies, another process fences it and
returns its tokens.
"""

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
