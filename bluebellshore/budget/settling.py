"""When a router writes its bills into a budget's row.

The load that it answers: some twenty routers serve the same customers, so each row is
changed by all of them. A row that each changes at each settlement is always in
conflict, and grants wait behind settlements. Bills may wait: the router's own row,
which nobody else changes, bounds what it may have spent meanwhile.
"""

import msgspec

from bluebellshore.ids import Tokens

__all__ = ["PendingBills", "should_settle"]

#: Part of what a router holds from which on its bills are written: a router so near
#: to its next grant writes the row anyway.
DUE_SHARE = 0.25
#: Bills are written after this time at the latest, in seconds.
DUE_SECONDS = 3.0
#: Part of the rest that nobody holds below which bills are written at each
#: settlement: others decide by them whether a request can ever be covered.
SCARCE_SHARE = 0.1


class PendingBills(msgspec.Struct, frozen=True):
    """Bills of one budget that its row does not have.

    :param held: tokens that this router holds, its bills included.
    :param waited_seconds: since the oldest of them.
    :param unallotted: tokens that nobody held when the row was seen last.
    :param rest: tokens that were not billed then.
    """

    tokens: Tokens
    held: Tokens
    waited_seconds: float
    unallotted: Tokens
    unbilled: Tokens


def should_settle(bills: PendingBills) -> bool:
    """Whether the bills go into the budget's row now."""
    return (
        bills.tokens >= DUE_SHARE * bills.held
        or bills.waited_seconds >= DUE_SECONDS
        or bills.unallotted < SCARCE_SHARE * bills.unbilled
    )
