"""Tests of the choice of peers to call, in simulated time."""

import dataclasses
import random
import unittest

from bluebellshore.entry.peer_selection import (
    CONFIGURATION_WAIT_SECONDS,
    EXCHANGE_INTERVAL_SECONDS,
    MAX_PEERS_PER_ROUND,
    is_alive,
    peer_to_ask,
    peers_to_call,
)

BACKOFF_SECONDS = 2.0


@dataclasses.dataclass
class Peer:
    number: int
    seen_at: float = 0.0
    failures: int = 0
    next_at: float = 0.0
    configuration: int = -1
    store_lost: bool = False
    asked_at: float = -1e9


class SimulatedFleet:
    """Routers that call each other in rounds; some are dead, some calls are lost."""

    def __init__(self, count: int, lost_share: float, seed: int = 1):
        self.count = count
        self.now = 0.0
        self.dead: set[int] = set()
        self.calls = 0
        self._rng = random.Random(seed)
        self._lost_share = lost_share
        self.peers = [
            {other: Peer(other) for other in range(count) if other != own}
            for own in range(count)
        ]

    def round(self) -> None:
        """Let each router call its peers once."""
        self.now += EXCHANGE_INTERVAL_SECONDS
        for own in self._rng.sample(range(self.count), self.count):
            if own in self.dead:
                continue
            for peer in peers_to_call(self.peers[own].values(), self.now):
                self._call(own, peer)

    def _call(self, own: int, peer: Peer) -> None:
        self.calls += 1
        if peer.number in self.dead or self._rng.random() < self._lost_share:
            peer.failures += 1
            backoff = EXCHANGE_INTERVAL_SECONDS * 2**peer.failures
            peer.next_at = self.now + min(BACKOFF_SECONDS, backoff)
            return
        peer.seen_at, peer.failures = self.now, 0
        mirror = self.peers[peer.number][own]
        mirror.seen_at, mirror.failures = self.now, 0

    def unseen(self, own: int) -> list[int]:
        """Return the peers that a router doesn't count as alive."""
        peers = self.peers[own]
        return [
            n for n, peer in peers.items() if not is_alive(peer, len(peers), self.now)
        ]


class PeerSelectionTest(unittest.TestCase):
    SIZES = (24, 68, 200, 400)

    def test_sound_peers_count_as_alive_though_calls_are_lost(self):
        for count in self.SIZES:
            fleet = SimulatedFleet(count, lost_share=0.02)
            suspected = looks = 0
            for _ in range(100):
                fleet.round()
                for own in range(0, count, 8):
                    suspected += len(fleet.unseen(own))
                    looks += count - 1
            with self.subTest(routers=count):
                self.assertLess(suspected / looks, 0.001)

    def test_calls_of_a_router_do_not_grow_with_the_fleet(self):
        for count in self.SIZES:
            fleet = SimulatedFleet(count, lost_share=0.0)
            for _ in range(20):
                fleet.round()
            self.assertLessEqual(fleet.calls, 20 * count * MAX_PEERS_PER_ROUND)

    def test_dead_router_is_known_within_seconds(self):
        for count, limit_seconds in ((24, 3.0), (68, 5.0)):
            fleet = SimulatedFleet(count, lost_share=0.0)
            for _ in range(40):
                fleet.round()
            fleet.dead.add(0)
            died_at = fleet.now
            while any(0 not in fleet.unseen(own) for own in range(1, count)):
                fleet.round()
                self.assertLess(fleet.now - died_at, limit_seconds)

    def test_peer_longest_without_contact_is_called_first(self):
        peers = [Peer(number, seen_at=-float(number)) for number in range(30)]
        chosen = [peer.number for peer in peers_to_call(peers, 0.0)]
        self.assertEqual(chosen, [29, 28, 27, 26, 25, 24])

    def test_failing_peer_waits_for_its_backoff(self):
        peers = [Peer(0, seen_at=-9.0, failures=1, next_at=1.0), Peer(1), Peer(2)]
        self.assertNotIn(0, [peer.number for peer in peers_to_call(peers, 0.5)])
        self.assertEqual(peers_to_call(peers, 1.0)[0].number, 0)


class PeerToAskTest(unittest.TestCase):
    def ask(self, *peers: Peer, store_lost: bool = False, seconds: float = 9.0):
        return peer_to_ask(
            peers, configuration=4, store_lost=store_lost, outdated_seconds=seconds
        )

    def test_only_a_newer_configuration_is_asked_for_and_not_at_once(self):
        newer = Peer(1, configuration=5)
        self.assertIs(newer, self.ask(Peer(2, configuration=4), newer))
        self.assertIsNone(self.ask(Peer(2, configuration=4)))
        self.assertIsNone(self.ask(newer, seconds=CONFIGURATION_WAIT_SECONDS / 2))

    def test_peer_that_has_the_store_and_answers_is_asked_in_turn(self):
        peers = [Peer(1, store_lost=True), Peer(2, asked_at=7.0), Peer(3, asked_at=6.0)]
        self.assertEqual(3, self.ask(*peers, store_lost=True).number)
        peers[2].failures = 1
        self.assertEqual(2, self.ask(*peers, store_lost=True).number)

    def test_peer_without_the_store_is_better_than_none(self):
        lost = Peer(1, store_lost=True)
        self.assertIs(lost, self.ask(lost, store_lost=True))
        self.assertIsNone(self.ask(store_lost=True))


if __name__ == "__main__":
    unittest.main()
