"""Tests of the suspected parts: prompt parts that crash backend servers."""

import itertools
import random
import unittest

from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.suspected_parts import (
    EVIDENCE_LIFETIME_SECONDS,
    MAX_REQUESTS,
    PROBE_INTERVAL_SECONDS,
    AnsweredPart,
    BlamedParts,
    SuspectedParts,
)


class SuspectedPartsTest(unittest.TestCase):
    def setUp(self):
        self.parts = SuspectedParts("r1")
        self.requests = 0
        for number in range(100):
            self.answer("key", f"old{number}", now=-1.0)

    def answer(self, *parts, now):
        self.parts.record_answer(parts, now)

    def crash(self, number, *requests, now):
        """Crash number `number` during requests with these parts, given as text."""
        for request in requests:
            self.requests += 1
            fingerprint = f"f{self.requests}"
            self.parts.add_request(number, fingerprint, request.split(), now)

    def refused(self, *parts, now):
        return self.parts.is_refused(parts, now)

    def test_part_of_two_crashes_is_blamed_and_not_its_companions(self):
        self.crash(1, "key a bad", "key b", now=1.0)
        self.assertFalse(self.refused("key", "a", "bad", now=1.5))
        self.crash(2, "key c bad", "key d", now=2.0)
        self.assertTrue(self.refused("key", "e", "bad", now=2.5))
        for companion in "abcd":
            self.assertFalse(self.refused("key", companion, now=2.5))

    def test_one_request_that_meets_several_crashes_blames_no_part(self):
        for number in range(3):
            self.parts.add_request(number, "same", ("key", "a"), 1.0 + number)
        self.assertFalse(self.refused("key", "a", now=5.0))

    def test_part_that_is_answered_between_crashes_is_not_blamed(self):
        for number in range(6):
            now = 1.0 + number
            self.crash(number, "key a", now=now)
            self.answer("key", "a", now=now + 0.5)
        self.assertFalse(self.refused("key", "a", now=9.0))

    def test_answer_that_began_before_the_crash_clears_nothing(self):
        self.crash(1, "key bad", now=1.0)
        self.crash(2, "key bad", now=2.0)
        self.assertTrue(self.refused("key", "bad", now=2.5))
        self.parts.record_answer(("bad",), 0.5)
        self.assertTrue(self.refused("key", "bad", now=3.0))

    def test_parts_that_came_only_together_are_refused_only_together(self):
        self.crash(1, "p q", now=1.0)
        self.crash(2, "p q", now=2.0)
        self.assertTrue(self.refused("p", "q", now=2.5))
        self.assertFalse(self.refused("p", now=2.5))
        self.answer("p", "x", now=3.0)
        self.assertTrue(self.refused("q", now=3.5))
        self.assertFalse(self.refused("p", now=3.5))

    def test_common_part_is_not_blamed_while_nothing_is_answered(self):
        for number in range(5):
            self.crash(number, f"key x{number}", f"key y{number}", now=1.0)
        self.assertFalse(self.refused("key", "z", now=1.5))

    def test_part_that_was_answered_before_is_blamed_once_answers_are_missed(self):
        self.crash(1, "key a", now=1.0)
        self.crash(2, "key b", now=2.0)
        for number in range(9):
            self.answer(f"other{number}", now=2.5)
        self.crash(3, "key c", now=3.0)
        self.assertTrue(self.refused("key", "d", now=3.5))

    def test_evidence_that_fits_two_parts_waits_for_more_crashes(self):
        for number in (1, 2):
            self.crash(number, f"bad a{number}", f"beside b{number}", now=1.0 * number)
        self.assertFalse(self.refused("bad", now=2.5))
        self.crash(3, "bad a3", now=3.0)
        self.assertTrue(self.refused("bad", now=3.5))
        self.assertFalse(self.refused("beside", now=3.5))

    def test_answer_at_a_peer_clears_a_part(self):
        self.crash(1, "key p", now=1.0)
        self.crash(2, "key p", now=2.0)
        self.parts.merge_answers([AnsweredPart("p", 2.5)])
        self.assertFalse(self.refused("key", "p", now=3.0))
        self.assertEqual(self.parts.take_answers(), [])

    def test_answers_are_reported_only_on_suspected_parts(self):
        self.assertEqual(self.parts.take_answers(), [])
        self.crash(1, "key p", now=1.0)
        self.answer("key", "other", now=2.0)
        self.assertEqual(self.parts.take_answers(), [AnsweredPart("key", 2.0)])
        self.assertEqual(self.parts.take_answers(), [])

    def test_answer_clears_a_part_that_was_blamed_only_afterwards(self):
        self.crash(1, "p q", now=1.0)
        self.crash(2, "p q", now=2.0)
        self.answer("p", now=3.0)
        self.assertTrue(self.refused("q", now=3.5))
        self.parts.merge_answers([AnsweredPart("q", 3.0)])
        self.assertFalse(self.refused("q", now=4.0))

    def test_peer_that_is_told_of_a_blame_refuses_too(self):
        peer = SuspectedParts("r2")
        self.crash(1, "p q", now=1.0)
        self.crash(2, "p q", now=2.0)
        self.assertTrue(self.refused("p", "q", now=2.0))
        peer.record_answer(("p",), 2.5)
        peer.merge_blames(self.parts.blames(unreported_only=True), 3.0)
        self.assertEqual(self.parts.blames(unreported_only=True), [])
        self.assertTrue(peer.is_refused(("q",), 3.0))
        self.assertFalse(peer.is_refused(("p",), 3.0))
        self.assertEqual(peer.take_answers(), [AnsweredPart("p", 2.5)])

    def test_blame_from_before_the_start_of_the_clock_ends_the_exchange(self):
        # A machine that was without power hears of crashes before its start.
        blamed = BlamedParts(("bad",), -5.0, PROBE_INTERVAL_SECONDS)
        self.parts.merge_blames([blamed], now=1.0)
        self.assertTrue(self.refused("bad", now=1.0))

    def test_evidence_that_comes_after_a_later_answer_is_void(self):
        self.answer("p", now=3.0)
        for number in (1, 2, 3, 4):
            self.parts.add_request(number, f"g{number}", ("p", "q"), 3.5, 2.0)
        self.assertFalse(self.refused("p", now=4.0))
        self.assertTrue(self.refused("q", now=4.0))

    def test_one_probe_at_a_time_and_rarer_after_each_crash(self):
        self.crash(1, "bad", now=1.0)
        self.crash(2, "bad", now=2.0)
        now, probes = 2.0, []
        while now < 20 * PROBE_INTERVAL_SECONDS:
            now += 0.5
            if not self.refused("bad", now=now):
                self.parts.record_sent(("bad",), now)
                self.assertTrue(self.refused("bad", now=now))
                probes.append(now)
                self.crash(2 + len(probes), "bad", now=now)
        self.assertLessEqual(len(probes), 4)
        pauses = [later - earlier for earlier, later in itertools.pairwise(probes)]
        self.assertEqual(pauses, sorted(pauses))

    def test_probe_that_is_answered_ends_the_blame(self):
        self.crash(1, "bad", now=1.0)
        self.crash(2, "bad", now=2.0)
        self.assertTrue(self.refused("bad", now=2.5))
        now = 2.5 + 2 * PROBE_INTERVAL_SECONDS
        self.assertFalse(self.refused("bad", now=now))
        self.parts.record_sent(("bad",), now)
        self.answer("bad", now=now + 1.0)
        self.assertEqual(self.parts.blamed, [])
        self.assertFalse(self.refused("bad", now=now + 1.5))

    def test_routers_probe_at_different_times(self):
        probed_at = set()
        for router in range(5):
            parts = SuspectedParts(f"r{router}", lambda: 5)
            for number in range(4):
                parts.add_request(number, f"f{number}", ("bad",), 1.0)
            now = 1.0
            while parts.is_refused(("bad",), now):
                now += 1.0
            probed_at.add(now)
        self.assertGreaterEqual(len(probed_at), 4)

    def test_evidence_is_bounded_and_dropped_in_time(self):
        for number in range(2 * MAX_REQUESTS):
            self.crash(number, f"a{number} b", now=1.0)
        self.assertEqual(len(self.parts), MAX_REQUESTS)
        self.crash(1, "c", now=2.0 + EVIDENCE_LIFETIME_SECONDS)
        self.assertFalse(self.refused("c", now=3.0 + EVIDENCE_LIFETIME_SECONDS))
        self.assertEqual(len(self.parts), 1)


class ReplayTest(unittest.TestCase):
    """Fails if too many servers crash, or sound requests are refused."""

    def play(self, seed, share=0.05, routers=5, servers=6):
        rng = random.Random(seed)
        trackers = [CrashTracker(f"r{number}") for number in range(routers)]
        running = {f"s{number}": [] for number in range(servers)}
        down_until = dict.fromkeys(running, 0.0)
        crashes, after_fifth, sound, refused = [], 0, 0, 0
        for step in range(4000):
            now = 0.01 * step
            for server, requests in running.items():
                due = [request for request in requests if request[0] <= now]
                for request in sorted(due, key=lambda request: request[0]):
                    _, router, fingerprint, parts = request
                    if request not in requests:
                        continue
                    if "bad" in parts:
                        crashes.append(now)
                        down_until[server] = now + 3.0
                        for _, other, name, its in requests:
                            trackers[other].record_broken_connection(
                                server, name, now, its
                            )
                        requests.clear()
                    else:
                        trackers[router].record_answer_began(parts, now)
                        requests.remove(request)
            if step % 40 == 0:
                reports = [
                    (tracker.take_reports(), tracker.take_answered_parts())
                    for tracker in trackers
                ]
                for number, tracker in enumerate(trackers):
                    for other, (crashed, answered) in enumerate(reports):
                        if other != number:
                            tracker.merge_reports(crashed, now, answered)
            if rng.random() < 0.4:
                deadly = now > 10.0 and rng.random() < share
                customer = min(9, int(rng.expovariate(0.4)))
                if deadly:
                    customer = 1
                parts = (f"k{customer}", f"m{customer}-{rng.randrange(8)}")
                parts += ("bad",) if deadly else ()
                router = rng.randrange(routers)
                tracker = trackers[router]
                if tracker.should_refuse_parts(parts, now):
                    refused += not deadly
                    continue
                sound += not deadly
                up = [name for name in running if down_until[name] <= now]
                if not up:
                    continue
                tracker.record_sent(parts, now)
                after_fifth += deadly and len(crashes) >= 5 and now > crashes[4] + 3.0
                server = rng.choice(up)
                due_at = now + rng.uniform(0.1, 0.6)
                running[server].append((due_at, router, f"f{step}", parts))
        return len(crashes), after_fifth, sound, refused

    # inc2: each request was a new one, so none was refused and all servers crashed.
    def test_requests_that_share_a_crashing_part(self):
        for seed in range(20):
            for share in (0.02, 0.05, 0.2):
                with self.subTest(seed=seed, share=share):
                    crashes, after_fifth, sound, refused = self.play(seed, share)
                    self.assertGreater(crashes, 0)
                    self.assertLessEqual(after_fifth, 3)
                    self.assertLess(refused, sound / 20)
