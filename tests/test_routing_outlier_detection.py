"""Tests of outlier detection, ejection and half-open probes."""

import unittest

from bluebellshore.emulator.measures import Outcome
from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import Pattern, make_trace
from bluebellshore.emulator.trial import play
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.results import AttemptResult, ResultCounts
from tests.routing_calls import servers


class OutlierDetectorTest(unittest.TestCase):
    def setUp(self):
        self.outliers = OutlierDetector()
        self.servers = servers(4)
        self.now = 0.0

    def record_results(self, number, result, times=1):
        for _ in range(times):
            self.outliers.record_result(f"engines-{number}", result, 0.1, self.now)

    def usable(self, count=4):
        found = self.outliers.usable(self.servers[:count], self.now)
        return [int(server.server_id[-1]) for server in found]

    def test_all_are_usable_at_first(self):
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_unreachable_server_is_ejected_and_probed(self):
        self.record_results(1, AttemptResult.UNREACHABLE, 2)
        self.assertEqual(self.usable(), [0, 2, 3])
        self.now = 1.5
        self.assertEqual(self.usable(), [0, 1, 2, 3])
        self.outliers.begin(1, "engines-1", 0.1, self.now)
        self.assertEqual(self.usable(), [0, 2, 3])
        self.outliers.forget_attempt(1)
        self.record_results(1, AttemptResult.UNREACHABLE)
        self.now = 3.0
        self.assertEqual(self.usable(), [0, 2, 3])
        self.now = 4.0
        self.assertEqual(self.usable(), [0, 1, 2, 3])
        self.record_results(1, AttemptResult.ANSWERED, 3)
        self.outliers.begin(2, "engines-1", 0.1, self.now)
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_server_that_fails_more_than_its_peers_is_ejected(self):
        for _ in range(6):
            for number in range(4):
                self.record_results(number, AttemptResult.ANSWERED)
            self.record_results(2, AttemptResult.FAILED)
        self.assertEqual(self.usable(), [0, 1, 3])

    def test_failures_of_all_servers_eject_none(self):
        for _ in range(6):
            for number in range(4):
                self.record_results(number, AttemptResult.ANSWERED)
                self.record_results(number, AttemptResult.FAILED)
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_no_more_than_half_are_ejected(self):
        for number in range(4):
            self.record_results(number, AttemptResult.UNREACHABLE, 3)
        self.assertEqual(len(self.usable()), 2)
        self.assertEqual(self.usable(count=1), [0])

    def test_one_crash_counts_once(self):
        self.record_results(1, AttemptResult.BROKEN, 20)
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_callers_that_leave_and_full_queues_are_no_failures(self):
        self.record_results(1, AttemptResult.ABANDONED, 20)
        self.record_results(1, AttemptResult.REFUSED, 20)
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_hanging_attempts_count_before_their_deadline(self):
        for ticket in (1, 2):
            self.outliers.begin(ticket, "engines-3", 0.1, 0.0)
        self.now = 0.5
        self.assertEqual(self.usable(), [0, 1, 2, 3])
        self.now = 1.2
        self.assertEqual(self.usable(), [0, 1, 2])

    def test_long_expected_prompt_reading_is_not_overdue(self):
        for ticket in (1, 2):
            self.outliers.begin(ticket, "engines-3", 0.9, 0.0)
        self.now = 2.0
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_server_whose_streams_all_fall_silent_is_ejected(self):
        for ticket in range(4):
            self.outliers.begin(ticket, "engines-0", 0.1, 0.0)
            self.outliers.record_event(ticket, 0.1)
            self.outliers.record_event(ticket, 0.2)
        self.now = 0.5
        self.assertEqual(self.usable(), [0, 1, 2, 3])
        self.now = 1.1
        self.assertEqual(self.usable(), [1, 2, 3])
        self.now = 1.3
        self.outliers.record_event(2, self.now)
        self.assertEqual(self.usable(), [1, 2, 3])

    def test_counts_of_peers_are_included(self):
        peer = OutlierDetector()
        peer.record_result("engines-1", AttemptResult.UNREACHABLE, 0.0, 0.0)
        self.record_results(1, AttemptResult.UNREACHABLE)
        self.outliers.merge(peer.take_new_counts(), 0.0)
        self.assertEqual(peer.take_new_counts(), {})
        self.assertEqual(self.usable(), [0, 2, 3])

    def test_restarted_server_is_usable(self):
        self.record_results(1, AttemptResult.UNREACHABLE, 5)
        self.outliers.reset("engines-1")
        self.assertEqual(self.usable(), [0, 1, 2, 3])

    def test_much_slower_server_is_ejected(self):
        self.outliers.slow_servers = lambda service, now: {"engines-2": 4.0}
        self.assertEqual(self.usable(), [0, 1, 3])
        self.outliers.slow_servers = lambda service, now: {
            server.server_id: 4.0 for server in self.servers
        }
        self.assertEqual(len(self.usable()), 2)

    def test_counts_decay(self):
        self.outliers.merge({"engines-1": ResultCounts(failures=3.0)}, 0.0)
        self.now = 30.0
        self.record_results(1, AttemptResult.FAILED)
        self.assertEqual(self.usable(), [0, 1, 2, 3])


class ReplayTest(unittest.TestCase):
    """Fails if outliers are not ejected."""

    def test_grey_plain_server(self):
        trace = make_trace(Pattern.PLAIN_GREY, 1)
        failed = [
            play(trace, Policy("", suspicion=ejects)).share(Outcome.FAILED)
            for ejects in (True, False)
        ]
        self.assertLess(failed[0], 0.7 * failed[1])
