"""Tests of finding requests that crash backend servers."""

import random
import unittest

from bluebellshore.routing.crash_tracker import CrashTracker


class CrashTrackerTest(unittest.TestCase):
    def setUp(self):
        self.ledger = CrashTracker()

    def crash(self, server, *fingerprints, now):
        for fingerprint in fingerprints:
            self.ledger.record_broken_connection(server, fingerprint, now)

    def test_a_request_is_blamed_after_two_crashes(self):
        self.crash("s1", "bad", "a", "b", now=0.0)
        self.assertFalse(self.ledger.should_refuse("bad", 1.0))
        self.crash("s2", "bad", "c", now=1.0)
        self.assertTrue(self.ledger.should_refuse("bad", 1.0))
        for innocent in "abc":
            self.assertFalse(self.ledger.should_refuse(innocent, 1.0))

    def test_one_crash_counts_once_however_late_its_requests_are_told(self):
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s1", "bad", now=0.3)
        self.assertFalse(self.ledger.should_refuse("bad", 0.3))

    def test_single_connections_that_break_show_no_crash(self):
        for now in (0.0, 5.0, 10.0):
            self.crash("s1", "a", now=now)
        self.assertFalse(self.ledger.should_refuse("a", 10.0))

    def test_a_request_alone_is_blamed_when_the_server_is_gone_after_it(self):
        for server, now in (("s1", 0.0), ("s2", 5.0)):
            self.crash(server, "bad", now=now)
            self.ledger.record_unreachable(server, now + 0.5)
        self.assertTrue(self.ledger.should_refuse("bad", 6.0))

    def test_a_request_that_ends_is_cleared(self):
        self.crash("s1", "a", "b", now=0.0)
        self.ledger.clear_request("a")
        self.crash("s2", "a", "c", now=1.0)
        self.assertFalse(self.ledger.should_refuse("a", 1.0))

    def test_crashes_are_forgotten(self):
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s2", "bad", "c", now=1.0)
        self.assertFalse(self.ledger.should_refuse("bad", 200.0))

    def test_peers_learn_of_crashes_and_do_not_tell_on(self):
        peer = CrashTracker()
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s2", "bad", "b", now=3.0)
        told = self.ledger.take_reports()
        peer.merge_reports(told, 3.1)
        self.assertTrue(peer.should_refuse("bad", 3.2))
        self.assertEqual(peer.take_reports(), [])
        self.assertEqual(self.ledger.take_reports(), [])

    def test_both_sides_of_one_crash_count_once(self):
        peer = CrashTracker()
        self.crash("s1", "bad", "a", now=0.0)
        peer.record_broken_connection("s1", "x", 0.0)
        peer.record_broken_connection("s1", "y", 0.0)
        self.ledger.merge_reports(peer.take_reports(), 0.4)
        self.assertFalse(self.ledger.should_refuse("bad", 0.5))


class ReplayTest(unittest.TestCase):
    """Goes red when crashing requests are not blamed."""

    def test_a_crashing_request_that_comes_again_through_any_router(self):
        rng = random.Random(3)
        ledgers = [CrashTracker() for _ in range(4)]
        crashes = refused_innocent = 0
        for number in range(200):
            now = 0.5 * number
            server = f"s{rng.randrange(6)}"
            router = rng.randrange(4)
            beside = [(rng.randrange(4), f"a{rng.randrange(10_000)}") for _ in range(9)]
            refused_innocent += sum(ledgers[r].should_refuse(f, now) for r, f in beside)
            if not ledgers[router].should_refuse("bad", now):
                crashes += 1
                for r, fingerprint in [*beside, (router, "bad")]:
                    ledgers[r].record_broken_connection(server, fingerprint, now)
                for ledger in ledgers:
                    ledger.record_unreachable(server, now + 0.1)
            reports = [ledger.take_reports() for ledger in ledgers]
            for ledger, report in zip(ledgers, reports, strict=True):
                for other in reports:
                    if other is not report:
                        ledger.merge_reports(other, now + 0.25)
        self.assertLessEqual(crashes, 3)
        self.assertEqual(refused_innocent, 0)
