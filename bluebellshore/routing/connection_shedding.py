"""Chooses the connections that an instance closes to become less loaded."""

from collections.abc import Hashable, Mapping
from typing import TypeVar

__all__ = ["choose_connections"]

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


def choose_connections(
    bytes_by_customer: Mapping[Hashable, Mapping[ConnectionT, int]], share: float
) -> list[ConnectionT]:
    """Return connections that carry a share of the traffic.

    Load pattern: few customers cause most of the load. A connection of the customer
    that has most left is taken each time, so that a customer of many connections gives
    up some of them, and one of few keeps them.

    :param bytes_by_customer: bytes of each connection in the last time span.
    :param share: share of all bytes, from 0 to 1.
    """
    left = {
        customer: sorted(connections.items(), key=lambda item: item[1])
        for customer, connections in bytes_by_customer.items()
    }
    left_bytes = {
        customer: sum(connections.values())
        for customer, connections in bytes_by_customer.items()
    }
    wanted_bytes = share * sum(left_bytes.values())
    chosen: list[ConnectionT] = []
    while wanted_bytes > 0:
        busiest = max(left_bytes, key=left_bytes.__getitem__)
        if not left_bytes[busiest]:
            break
        connection, size = left[busiest].pop()
        chosen.append(connection)
        left_bytes[busiest] -= size
        wanted_bytes -= size
    return chosen
