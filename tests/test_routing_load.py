"""Tests of the load tracker, the speed estimator and the cached parts."""

import unittest

from bluebellshore.fleet import PromptPart
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.parts import CachedParts
from bluebellshore.routing.results import AttemptResult
from bluebellshore.routing.speed import FirstEventSample, SpeedEstimator
from tests.routing_calls import ENGINES, PLAIN, call, servers


class LoadTrackerTest(unittest.TestCase):
    def setUp(self):
        self.loads = LoadTracker()
        self.loads.configure([ENGINES, PLAIN])
        self.server = servers(1)[0]

    def load(self, now=0.0, loads=None):
        return (loads or self.loads).load_of(self.server.server_id, now)

    def test_own_attempts_count_until_they_end(self):
        ticket = self.loads.begin(call(("a", 1000), ("b", 500)), self.server, 0.0)
        self.assertEqual(self.load().prefill_tokens, 1500)
        self.assertEqual(self.load().held_tokens, 1550)
        self.assertEqual(self.loads.record_first_event(ticket, 0.2), 0.2)
        self.assertEqual(self.load().prefill_tokens, 0)
        self.loads.end(ticket, AttemptResult.ANSWERED, 1.0)
        self.assertEqual(self.load().running, 0)
        self.assertEqual(self.load().held_tokens, 0)

    def test_shared_parts_in_use_take_memory_once(self):
        tickets = [
            self.loads.begin(call(("a", 1000), (name, 10)), self.server, 0.0)
            for name in "xyz"
        ]
        self.assertEqual(self.load().held_tokens, 1000 + 3 * (10 + 50))
        new = call(("a", 1000), ("w", 10))
        self.assertEqual(self.loads.extra_memory_tokens(new, self.server.server_id), 60)
        for ticket in tickets:
            self.loads.end(ticket, AttemptResult.ABANDONED, 1.0)
        self.assertEqual(self.load().held_tokens, 0)

    def test_peer_load_is_reduced_by_tokens_read_since_the_report(self):
        peer = LoadTracker()
        peer.begin(call(("a", 10_000)), self.server, 0.0)
        self.loads.merge_report("peer", peer.take_report(), 0.0)
        self.assertEqual(self.load().prefill_tokens, 10_000)
        self.assertLess(self.load(now=0.2).prefill_tokens, 8000)
        self.assertEqual(self.load(now=0.2).running, 1)
        self.assertEqual(self.load(now=5.0).running, 0)

    def test_parts_that_peers_report_are_cached(self):
        peer = LoadTracker()
        peer.begin(call(("a", 1000), ("b", 500)), self.server, 0.0)
        self.loads.merge_report("peer", peer.take_report(), 0.0)
        again = call(("a", 1000), ("c", 500))
        cached = self.loads.cached_tokens(again, self.server.server_id)
        self.assertEqual(cached, 1000)
        self.assertEqual(peer.take_report().parts, [])

    def test_parts_of_an_attempt_that_did_not_run_are_not_cached(self):
        for result in (
            AttemptResult.UNREACHABLE,
            AttemptResult.REFUSED,
            AttemptResult.TIMED_OUT,
        ):
            with self.subTest(result):
                request = call(("a", 1000))
                ticket = self.loads.begin(request, self.server, 0.0)
                self.loads.record_first_event(ticket, 1.0)
                self.loads.end(ticket, result, 1.0)
                cached = self.loads.cached_tokens(request, self.server.server_id)
                self.assertEqual(cached, 0)

    def test_output_is_cached_for_the_next_prompt_of_its_session(self):
        ticket = self.loads.begin(call(("s", 1000)), self.server, 0.0)
        self.loads.record_first_event(ticket, 0.1)
        self.loads.end(ticket, AttemptResult.ANSWERED, 1.0, output_tokens=200)
        longer = call(("s", 1300))
        cached = self.loads.cached_tokens(longer, self.server.server_id)
        self.assertEqual(cached, 1200)

    def test_restarted_server_has_nothing_cached(self):
        request = call(("a", 1000))
        self.loads.begin(request, self.server, 0.0)
        self.loads.forget_servers([self.server.server_id])
        self.assertEqual(self.loads.cached_tokens(request, self.server.server_id), 0)

    def test_no_data_is_kept_of_removed_servers(self):
        loads = LoadTracker(OutlierDetector())
        for number, server in enumerate(servers(200)):
            ticket = loads.begin(call(("a", 1000)), server, number)
            loads.forget_servers([server.server_id])
            loads.record_first_event(ticket, number + 0.1)
            loads.end(ticket, AttemptResult.ANSWERED, number + 0.5)
        self.assertEqual(loads.take_report().loads_by_server, {})
        self.assertEqual(loads.tracked_servers, 0)

    def test_failed_attempts_do_not_affect_the_speed(self):
        for i in range(50):
            ticket = self.loads.begin(call((f"p{i}", 1000)), self.server, i)
            self.loads.record_first_event(ticket, i + 0.9)
            self.loads.end(ticket, AttemptResult.FAILED, i + 0.9)
        self.assertLess(self.loads.speeds.expected_seconds("engines", 1000), 0.2)


class CachedPartsTest(unittest.TestCase):
    def test_least_recently_used_parts_are_evicted_from_a_full_cache(self):
        cached = CachedParts(10_000)
        for name in ("a", "b", "a", "c", "d"):
            cached.add(name, 3000)
        kept = [n for n in "abcd" if cached.cached_tokens([PromptPart(n, 3000)])]
        self.assertEqual(kept, ["a", "c", "d"])

    def test_nothing_counts_after_the_first_missing_part(self):
        cached = CachedParts()
        cached.add("a", 100)
        cached.add("c", 100)
        parts = [PromptPart(name, 100) for name in "abc"]
        self.assertEqual(cached.cached_tokens(parts), 100)


class SpeedEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.speeds = SpeedEstimator()

    def add_sample(self, server, tokens, seconds, now=0.0, backlog=0):
        sample = FirstEventSample(server, "engines", tokens, backlog, seconds)
        self.speeds.add_sample(sample, now)

    def test_base_time_and_speed_are_estimated(self):
        for i in range(60):
            tokens = 200 + (i * 791) % 8000
            self.add_sample(f"s{i % 4}", tokens, 0.03 + tokens / 50_000)
        self.assertAlmostEqual(
            self.speeds.expected_seconds("engines", 0), 0.03, places=2
        )
        speed = self.speeds.tokens_per_second("engines")
        self.assertAlmostEqual(speed / 50_000, 1.0, places=1)

    def test_slow_server_is_found_and_does_not_affect_the_speed(self):
        for i in range(80):
            tokens = 200 + (i * 791) % 8000
            factor = 4.0 if i % 8 == 0 else 1.0
            self.add_sample(f"s{i % 8}", tokens, factor * (0.03 + tokens / 50_000))
        speed = self.speeds.tokens_per_second("engines")
        self.assertAlmostEqual(speed / 50_000, 1.0, places=1)
        self.assertGreater(self.speeds.slowness("engines", "s0", 1.0), 3.0)
        self.assertEqual(self.speeds.slowness("engines", "s1", 1.0), 1.0)
        self.assertEqual(self.speeds.slowness("engines", "s0", 60.0), 1.0)

    def test_hung_attempts_do_not_make_a_server_slow(self):
        for i in range(80):
            tokens = 200 + (i * 791) % 8000
            self.add_sample(f"s{i % 8}", tokens, 0.03 + tokens / 50_000)
        for _ in range(9):
            self.add_sample("s0", 1000, 6.0, now=1.0)
        self.assertEqual(self.speeds.slowness("engines", "s0", 1.5), 1.0)
        self.assertLess(self.speeds.expected_seconds("engines", 1000), 0.1)

    def test_no_server_is_slow_while_all_are_overloaded(self):
        for i in range(80):
            tokens = 200 + (i * 791) % 8000
            self.add_sample(f"s{i % 8}", tokens, 0.03 + tokens / 50_000)
        for i in range(80):
            factor = 9.0 if i % 8 == 0 else 3.0
            self.add_sample(f"s{i % 8}", 1000, factor * 0.05, now=1.0, backlog=1)
        self.assertEqual(self.speeds.slowness("engines", "s0", 1.5), 1.0)

    def test_first_events_after_a_backlog_do_not_affect_the_speed(self):
        for i in range(60):
            tokens = 200 + (i * 791) % 8000
            self.add_sample("s", tokens, 0.03 + tokens / 50_000)
            self.add_sample("s", tokens, 5.0, backlog=20_000)
        self.assertLess(self.speeds.expected_seconds("engines", 1000), 0.1)
