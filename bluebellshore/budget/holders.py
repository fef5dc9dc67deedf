"""Chooses the router that holds a customer's tokens ahead of use, and its deputies.

Handles fleets of many routers, each of which rarely serves any one customer. If all of
them held tokens of each customer, every budget's row would name every router, their
transactions would conflict all the time, and none would hold enough for a request.
"""

from collections.abc import Callable, Collection, Sequence

import msgspec

from bluebellshore.ids import CustomerId, IncarnationId, InstanceId, instance_of
from bluebellshore.routing.affinity import rendezvous_order

__all__ = ["BudgetHolders"]

#: Number of routers up to which all of them hold tokens of each customer.
MAX_ROUTERS_ALL_HOLD = 6
#: Routers that are asked for a customer's tokens: the holder, and two that draw tokens
#: from the store while the holder can't be reached or has too few.
MAX_LENDERS = 3


class _Member(msgspec.Struct, frozen=True):
    instance_id: InstanceId
    incarnation: IncarnationId


class BudgetHolders:
    """The holder of each customer's tokens, by rendezvous hashing of the instances.

    Routers that know the same members agree on it. Where they know different ones,
    several routers hold some tokens or none does; nothing is spent twice.

    :param own: incarnation of this router.
    :param serving: returns the incarnations of the other routers that serve.
    """

    def __init__(
        self, own: IncarnationId, serving: Callable[[], Collection[IncarnationId]]
    ):
        self._own = own
        self._serving = serving
        self._members: frozenset[IncarnationId] = frozenset()
        self._lenders_by_customer: dict[CustomerId, tuple[IncarnationId, ...]] = {}

    @property
    def all_hold(self) -> bool:
        """Whether each router holds tokens of each customer, as there are few."""
        return 1 + len(self._serving()) <= MAX_ROUTERS_ALL_HOLD

    def lenders(self, customer: CustomerId) -> Sequence[IncarnationId]:
        """Return the holder of a customer's tokens and its deputies, in this order.

        :return: an empty sequence while each router holds tokens of each customer.
        """
        members = frozenset((self._own, *self._serving()))
        if len(members) <= MAX_ROUTERS_ALL_HOLD:
            return ()
        if members != self._members:
            self._members = members
            self._lenders_by_customer.clear()
        lenders = self._lenders_by_customer.get(customer)
        if lenders is None:
            nodes = [_Member(instance_of(member), member) for member in members]
            ordered = rendezvous_order(customer.encode(), nodes)
            lenders = tuple(node.incarnation for node in ordered[:MAX_LENDERS])
            self._lenders_by_customer[customer] = lenders
        return lenders

    def includes_own(self, customer: CustomerId) -> bool:
        """Return whether this router holds a customer's tokens ahead of use."""
        lenders = self.lenders(customer)
        return not lenders or lenders[0] == self._own
