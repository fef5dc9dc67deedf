"""Tests that each peer is told of crashes until it has confirmed what it heard."""

import unittest

from bluebellshore.entry.evidence_rounds import MAX_KEPT_ROUNDS, EvidenceRounds
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.wire import peer_pb2 as pb


class EvidenceRoundsTest(unittest.TestCase):
    def setUp(self):
        self.tracker = CrashTracker()
        self.rounds = EvidenceRounds(self.tracker)
        self.now = 100.0

    def crash(self, name):
        self.now += 1.0
        self.tracker.record_broken_connection(name, f"request-{name}", self.now)
        self.rounds.collect()

    def told(self, confirmed):
        """Return the servers of a message, and its numbers."""
        state = pb.PeerState()
        self.rounds.write(state, confirmed, self.now)
        servers = [crash.server for crash in (*state.broken, *state.crashes)]
        return servers, state.evidence_since, state.evidence_number

    def test_peer_is_told_again_until_it_confirms(self):
        self.crash("a")
        _, _, number = self.told(0)
        self.crash("b")
        # The answer in which the peer was told was lost.
        self.assertEqual(self.told(number - 1), (["a", "b"], number - 1, number + 1))
        self.assertEqual(self.told(number), (["b"], number, number + 1))
        self.assertEqual(self.told(number + 1), ([], number + 1, number + 1))

    # review/5: peers were told of a crash once, in the rounds of the 13 s after it.
    def test_peer_that_was_away_for_long_gets_a_summary(self):
        self.crash("first")
        confirmed = self.rounds.number
        for number in range(MAX_KEPT_ROUNDS + 10):
            self.crash(f"s{number}")
        servers, since, number = self.told(confirmed)
        self.assertEqual((since, number), (confirmed, self.rounds.number))
        self.assertLessEqual({f"s{n}" for n in range(10)}, set(servers))

    def test_new_peer_is_told_what_others_had_told(self):
        peer = CrashTracker()
        peer.record_broken_connection("a", "request", self.now)
        self.tracker.merge_reports(peer.take_reports(), self.now)
        self.rounds.collect()
        servers, _, number = self.told(0)
        self.assertEqual(servers, ["a"])
        self.assertEqual(self.told(number)[0], [])


if __name__ == "__main__":
    unittest.main()
