"""Decides which peers to call next, and for how long a silent one counts as alive.

Handles fleets in which a router can call only some of its peers in each round. If they
were chosen at random, some sound peer would be left out for so long at any moment that
it seemed dead, and the choices that rest on the members would change all the time.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

__all__ = [
    "CONFIGURATION_WAIT_SECONDS",
    "EXCHANGE_INTERVAL_SECONDS",
    "MAX_PEERS_PER_ROUND",
    "Contact",
    "Source",
    "is_alive",
    "peer_to_ask",
    "peers_to_call",
    "silence_limit_seconds",
]

#: Pause between rounds, and thus the age of what a router knows of its peers' load.
EXCHANGE_INTERVAL_SECONDS = 0.2
#: Maximum number of peers that a router calls in a round. Half of the peers are enough
#: in any case, since a call updates both routers.
MAX_PEERS_PER_ROUND = 6
#: Time without contact after which a peer that calls don't reach no longer counts as
#: alive.
PEER_TIMEOUT_SECONDS = 2.5
#: Failed calls in a row that show that a peer can't be reached.
MIN_FAILURES = 2
#: Times that calling all peers once may take before a peer that is silent for as long
#: no longer counts as alive, whether calls to it failed or not.
MAX_SILENT_CYCLES = 2.0

#: Time for which a router waits for the store to bring a configuration that a peer has
#: before it asks a peer for it.
CONFIGURATION_WAIT_SECONDS = 0.5


class Contact(Protocol):
    """What a router knows of its contact with a peer.

    :ivar seen_at: monotonic seconds of the last call or answer from the peer.
    :ivar failures: calls in a row that failed since then.
    :ivar next_at: monotonic seconds before which the peer is not called.
    """

    seen_at: float
    failures: int
    next_at: float


class Source(Protocol):
    """What a router knows of a peer that it may ask for rows.

    :ivar failures: calls in a row that failed.
    :ivar configuration: number of the configuration in force there; -1 for none.
    :ivar store_lost: whether the peer lacks the store.
    :ivar asked_at: monotonic seconds at which it was last asked.
    """

    failures: int
    configuration: int
    store_lost: bool
    asked_at: float


ContactT = TypeVar("ContactT", bound=Contact)
SourceT = TypeVar("SourceT", bound=Source)


def peers_to_call(peers: Iterable[ContactT], now: float) -> list[ContactT]:
    """Return the peers to call in a round: those longest without contact."""
    due = sorted(
        (peer for peer in peers if peer.next_at <= now), key=lambda peer: peer.seen_at
    )
    return due[: min(MAX_PEERS_PER_ROUND, (len(due) + 1) // 2)]


def peer_to_ask(
    peers: Sequence[SourceT],
    *,
    configuration: int,
    store_lost: bool,
    outdated_seconds: float,
) -> SourceT | None:
    """Return the peer that is asked for rows that the store doesn't give, if any.

    Handles a large configuration in a large fleet. All peers of a round would send the
    same rows at once, which fills the links of small instances.

    :param peers: peers that are to be called.
    :param configuration: number of the configuration in force; -1 for none.
    :param store_lost: whether this router lacks the store.
    :param outdated_seconds: time since a peer was first known to have a newer
        configuration.
    """
    sources: Sequence[SourceT] = []
    if store_lost:
        sources = [peer for peer in peers if not peer.store_lost] or peers
    elif outdated_seconds >= CONFIGURATION_WAIT_SECONDS:
        sources = [peer for peer in peers if peer.configuration > configuration]
    return min(sources, key=lambda peer: (peer.failures, peer.asked_at), default=None)


def silence_limit_seconds(peer_count: int) -> float:
    """Return the time for which a peer may be silent while no call to it fails."""
    rounds = peer_count / MAX_PEERS_PER_ROUND
    cycle_seconds = rounds * EXCHANGE_INTERVAL_SECONDS
    return max(PEER_TIMEOUT_SECONDS, MAX_SILENT_CYCLES * cycle_seconds)


def is_alive(peer: Contact, peer_count: int, now: float) -> bool:
    """Return whether a peer counts as alive."""
    silent_seconds = now - peer.seen_at
    if silent_seconds < PEER_TIMEOUT_SECONDS:
        return True
    return peer.failures < MIN_FAILURES and silent_seconds < silence_limit_seconds(
        peer_count
    )
