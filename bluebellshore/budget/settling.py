"""Decides when a router adds its bills to a budget's row.

Some twenty routers may serve the same customer and all write the row of its budget. If
each did so at every settlement, the row would always be in conflict and grants would
wait for settlements. Bills may be delayed because the router's own row, which no other
router writes, bounds the tokens that it may have spent.
"""

import msgspec

from bluebellshore.ids import Tokens

__all__ = ["PendingBills", "should_settle"]

#: Share of the tokens that a router holds from which its bills are written. The router
#: is then near its next grant, for which it writes the row anyway.
SETTLE_HELD_SHARE = 0.25
#: Longest time for which a bill is delayed.
MAX_SETTLE_DELAY_SECONDS = 3.0
#: Share of the unbilled tokens that must be unallotted for bills to be delayed. When
#: tokens are scarcer, other routers need to know the bills to decide whether the budget
#: can pay for a request at all.
SCARCE_UNALLOTTED_SHARE = 0.1


class PendingBills(msgspec.Struct, frozen=True):
    """Bills of one budget that are not in its row yet.

    :param tokens: sum of the bills.
    :param held: tokens that this router holds, those of its bills included.
    :param waited_seconds: age of the oldest bill.
    :param unallotted: tokens that no router held when the row was read last.
    :param unbilled: tokens that were not billed when the row was read last.
    """

    tokens: Tokens
    held: Tokens
    waited_seconds: float
    unallotted: Tokens
    unbilled: Tokens


def should_settle(bills: PendingBills) -> bool:
    """Return whether to add the bills to the budget's row now."""
    return (
        bills.tokens >= SETTLE_HELD_SHARE * bills.held
        or bills.waited_seconds >= MAX_SETTLE_DELAY_SECONDS
        or bills.unallotted < SCARCE_UNALLOTTED_SHARE * bills.unbilled
    )
