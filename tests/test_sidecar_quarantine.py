"""Tests of the quarantine of requests that crash backend servers."""

import unittest

from bluebellshore.sidecar.quarantine import (
    QUARANTINE_SECONDS,
    Quarantine,
    QuarantineState,
)


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine(capacity=4)

    def test_second_crash_alone_quarantines(self):
        self.quarantine.record_crash(["bad", "innocent"], 0.0)
        self.assertIs(
            self.quarantine.state_of("innocent", 1.0), QuarantineState.SUSPECT
        )
        self.quarantine.clear_request("innocent", 2.0)
        self.assertIs(self.quarantine.state_of("innocent", 2.0), QuarantineState.CLEAN)
        self.quarantine.record_crash(["bad"], 3.0)
        self.assertIs(self.quarantine.state_of("bad", 3.0), QuarantineState.QUARANTINED)
        self.assertEqual(self.quarantine.export().quarantined, ["bad"])

    def test_shared_crash_never_quarantines(self):
        for now in range(3):
            self.quarantine.record_crash(["bad", "innocent"], now)
        self.assertIs(
            self.quarantine.state_of("innocent", 3.0), QuarantineState.SUSPECT
        )

    def test_requests_of_one_crash_may_be_reported_one_by_one(self):
        for i, running in enumerate((["a", "b", "c"], ["b", "c"], ["c"])):
            self.quarantine.record_crash(running, i * 0.01)
        self.assertIs(self.quarantine.state_of("c", 1.0), QuarantineState.SUSPECT)

    def test_cleared_request_that_crashes_again_is_quarantined(self):
        self.quarantine.record_crash(["bad"], 0.0)
        self.quarantine.clear_request("bad", 5.0)
        self.quarantine.record_crash(["bad", "x"], 10.0)
        self.quarantine.record_crash(["bad"], 15.0)
        self.assertIs(
            self.quarantine.state_of("bad", 15.0), QuarantineState.QUARANTINED
        )

    def test_first_crash_alone_is_only_suspect(self):
        self.quarantine.record_crash(["x"], 0.0)
        self.assertIs(self.quarantine.state_of("x", 0.0), QuarantineState.SUSPECT)

    def test_suspicion_of_another_sidecar_counts(self):
        self.quarantine.add_suspect("bad", 0.0)
        self.quarantine.record_crash(["bad"], 1.0)
        self.assertIs(self.quarantine.state_of("bad", 1.0), QuarantineState.QUARANTINED)

    def test_cleared_request_is_not_suspected_again_by_gossip(self):
        self.quarantine.merge(["x"], [], 0.0)
        self.assertIs(self.quarantine.state_of("x", 0.0), QuarantineState.SUSPECT)
        self.quarantine.clear_request("x", 1.0)
        self.quarantine.merge(["x"], [], 2.0)
        self.assertIs(self.quarantine.state_of("x", 2.0), QuarantineState.CLEAN)
        self.quarantine.record_crash(["x", "y"], 3.0)
        self.assertIs(self.quarantine.state_of("x", 3.0), QuarantineState.SUSPECT)

    def test_merged_fingerprints_are_refused_but_not_passed_on(self):
        self.quarantine.merge([], ["bad"], 0.0)
        self.assertIs(self.quarantine.state_of("bad", 1.0), QuarantineState.QUARANTINED)
        self.assertEqual(self.quarantine.export().quarantined, [])
        exported = self.quarantine.export(include_merged=True)
        self.assertEqual(exported.quarantined, ["bad"])
        later = QUARANTINE_SECONDS + 1
        self.assertIs(self.quarantine.state_of("bad", later), QuarantineState.CLEAN)

    def test_memory_is_bounded_and_release_forgets(self):
        self.quarantine.record_crash([f"r{i}" for i in range(9)], 0.0)
        states = [self.quarantine.state_of(f"r{i}", 0.0) for i in range(9)]
        self.assertEqual(states.count(QuarantineState.SUSPECT), 4)
        self.quarantine.merge([], ["bad"], 0.0)
        self.quarantine.release("bad")
        self.assertIs(self.quarantine.state_of("bad", 0.0), QuarantineState.CLEAN)
