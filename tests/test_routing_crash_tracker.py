"""Tests of the crash tracker, which finds requests that crash backend servers."""

import random
import unittest

from bluebellshore.routing.crash_tracker import CrashTracker


class CrashTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = CrashTracker()

    def crash(self, server, *fingerprints, now):
        for fingerprint in fingerprints:
            self.tracker.record_broken_connection(server, fingerprint, now)

    def test_request_is_refused_after_two_crashes(self):
        self.crash("s1", "bad", "a", "b", now=0.0)
        self.assertFalse(self.tracker.should_refuse("bad", 1.0))
        self.crash("s2", "bad", "c", now=1.0)
        self.assertTrue(self.tracker.should_refuse("bad", 1.0))
        for innocent in "abc":
            self.assertFalse(self.tracker.should_refuse(innocent, 1.0))

    def test_connections_that_break_soon_after_belong_to_the_same_crash(self):
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s1", "bad", now=0.3)
        self.assertFalse(self.tracker.should_refuse("bad", 0.3))

    def test_single_broken_connections_are_no_crashes(self):
        for now in (0.0, 5.0, 10.0):
            self.crash("s1", "a", now=now)
        self.assertFalse(self.tracker.should_refuse("a", 10.0))

    def test_request_alone_on_a_server_that_becomes_unreachable_is_refused(self):
        for server, now in (("s1", 0.0), ("s2", 5.0)):
            self.crash(server, "bad", now=now)
            self.tracker.record_unreachable(server, now + 0.5)
        self.assertTrue(self.tracker.should_refuse("bad", 6.0))

    def test_request_that_completes_is_cleared(self):
        self.crash("s1", "a", "b", now=0.0)
        self.tracker.clear_request("a", 0.5)
        self.crash("s2", "a", "c", now=1.0)
        self.assertFalse(self.tracker.should_refuse("a", 1.0))

    def test_old_crashes_are_dropped(self):
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s2", "bad", "c", now=1.0)
        self.assertFalse(self.tracker.should_refuse("bad", 200.0))

    def test_peers_merge_crashes_and_do_not_report_them_again(self):
        peer = CrashTracker()
        self.crash("s1", "bad", "a", now=0.0)
        self.crash("s2", "bad", "b", now=3.0)
        reports = self.tracker.take_reports()
        peer.merge_reports(reports, 3.1)
        self.assertTrue(peer.should_refuse("bad", 3.2))
        self.assertEqual(peer.take_reports(), [])
        self.assertEqual(self.tracker.take_reports(), [])

    def test_one_crash_seen_by_two_routers_counts_once(self):
        peer = CrashTracker()
        self.crash("s1", "bad", "a", now=0.0)
        peer.record_broken_connection("s1", "x", 0.0)
        peer.record_broken_connection("s1", "y", 0.0)
        self.tracker.merge_reports(peer.take_reports(), 0.4)
        self.assertFalse(self.tracker.should_refuse("bad", 0.5))


class ReplayTest(unittest.TestCase):
    """Fails if crashing requests are not refused."""

    def test_crashing_request_that_is_retried_through_any_router(self):
        rng = random.Random(3)
        trackers = [CrashTracker() for _ in range(4)]
        crashes = refused_innocent = 0
        for number in range(200):
            now = 0.5 * number
            server = f"s{rng.randrange(6)}"
            router = rng.randrange(4)
            beside = [(rng.randrange(4), f"a{rng.randrange(10_000)}") for _ in range(9)]
            refused_innocent += sum(
                trackers[r].should_refuse(f, now) for r, f in beside
            )
            if not trackers[router].should_refuse("bad", now):
                crashes += 1
                for r, fingerprint in [*beside, (router, "bad")]:
                    trackers[r].record_broken_connection(server, fingerprint, now)
                for tracker in trackers:
                    tracker.record_unreachable(server, now + 0.1)
            reports = [tracker.take_reports() for tracker in trackers]
            for tracker, report in zip(trackers, reports, strict=True):
                for other in reports:
                    if other is not report:
                        tracker.merge_reports(other, now + 0.25)
        self.assertLessEqual(crashes, 3)
        self.assertEqual(refused_innocent, 0)
