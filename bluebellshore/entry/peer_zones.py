"""Decides what peers in other availability zones are told less often, or not at all.

Handles many routers in several zones that pay for bytes between them. Every exchange
goes to all zones, so what it repeats outweighs the requests that leave a zone.
"""

from collections.abc import Iterable
from typing import Protocol

from bluebellshore.ids import IncarnationId, ZoneName
from bluebellshore.routing.load import CachedPart

__all__ = ["ZonePeer", "addresses_to_tell", "is_far", "parts_to_tell"]

#: Time after which a peer in another zone is told all addresses again, in case an
#: exchange was lost.
ADDRESSES_INTERVAL_SECONDS = 5.0


class ZonePeer(Protocol):
    """What a router remembers of a peer and of what it was told.

    :ivar zone: zone of the peer; empty if unknown.
    :ivar told_addresses: addresses that the peer was told since `told_at`.
    :ivar told_to: incarnation to which they were told.
    :ivar told_at: monotonic seconds at which it was last told all.
    """

    incarnation: IncarnationId
    zone: ZoneName
    told_addresses: set[str]
    told_to: IncarnationId
    told_at: float


def is_far(peer: ZonePeer | None, zone: ZoneName) -> bool:
    """Return whether a peer is in another zone.

    :param zone: zone of this router; empty if all peers are told everything.
    """
    return bool(zone and peer is not None and peer.zone and peer.zone != zone)


def addresses_to_tell(
    peer: ZonePeer, addresses: Iterable[str], now: float
) -> list[str]:
    """Return the addresses that a peer in another zone has yet to be told.

    :param now: monotonic seconds.
    """
    again = now - peer.told_at >= ADDRESSES_INTERVAL_SECONDS
    if again or peer.told_to != peer.incarnation:
        peer.told_to, peer.told_at = peer.incarnation, now
        peer.told_addresses.clear()
    news = [address for address in addresses if address not in peer.told_addresses]
    peer.told_addresses.update(news)
    return news


def parts_to_tell(parts: Iterable[CachedPart]) -> list[CachedPart]:
    """Return the prompt parts that matter to routers of other zones.

    A request that leaves its zone finds the shared parts that servers have read. That
    they were used again, and parts that belong to one session, matter in the zone only.
    """
    return [part for part in parts if part.is_new_and_shared]
