"""Tests of shares, evidence and the judgement of a version."""

import random
import unittest

from bluebellshore.bundle.model import Criteria
from bluebellshore.canary import (
    CanaryVerdict,
    routes_to_new_version,
    wilson_upper_bound,
)
from bluebellshore.ids import MoveId, RequestKey
from bluebellshore.moves.evidence import (
    FIRST_TOKEN_OVERDUE_SECONDS,
    EvidenceLog,
    EvidenceRecorder,
    RouteVersion,
)
from bluebellshore.moves.judge import assess, binomial_tail_bound

OLD, NEW = RouteVersion("chat", "v1"), RouteVersion("chat", "v2")


class ShareTest(unittest.TestCase):
    def test_share_holds_and_keys_stay(self):
        keys = [RequestKey(f"a/{i}") for i in range(10000)]
        before = set()
        for share in (0.01, 0.05, 0.25, 0.5, 0.9):
            taken = {k for k in keys if routes_to_new_version(MoveId("m"), k, share)}
            self.assertAlmostEqual(len(taken) / len(keys), share, delta=0.02)
            self.assertLessEqual(before, taken)
            before = taken


class Trial:
    """Feeds one sidecar's evidence of each version into a log."""

    def __init__(self):
        self.log = EvidenceLog()
        self.log.track([OLD, NEW])
        self.recorder = EvidenceRecorder([OLD, NEW])
        self.report()

    def report(self):
        for evidence in self.recorder.to_wire():
            self.log.record("s1", evidence)

    def second(self, now, rng, served, count, *, failing=0.0, slow=1.0):
        for _ in range(count):
            ok = rng.random() >= failing
            first = rng.lognormvariate(-2.0, 0.4) * slow
            gaps = [rng.lognormvariate(-4.0, 0.3) * slow]
            self.recorder.record_request(*served, ok, first if ok else None, gaps)
        self.report()
        self.log.roll(now)

    def assess(self, since=0.0):
        new, old = self.log.windows(NEW, since), self.log.windows(OLD, since)
        return assess(Criteria(), new, old)


class JudgeTest(unittest.TestCase):
    def run_trial(self, *, old=None, new=None, seconds=30, seed=1):
        trial, rng = Trial(), random.Random(seed)
        for now in range(seconds):
            trial.second(now, rng, OLD, 20, **(old or {}))
            trial.second(now, rng, NEW, 5, **(new or {}))
        return trial.assess()

    def test_good_version(self):
        for seed in range(20):
            found = self.run_trial(seed=seed)
            self.assertIs(found.verdict, CanaryVerdict.GOOD, found.reason)

    def test_bad_versions(self):
        for new in ({"failing": 1.0}, {"failing": 0.3}, {"slow": 3.0}):
            for seed in range(20):
                found = self.run_trial(new=new, seconds=60, seed=seed)
                self.assertIs(found.verdict, CanaryVerdict.BAD, new)

    def test_fleet_wide_trouble_is_not_held_against_the_new_version(self):
        for both in ({"failing": 0.3}, {"slow": 5.0}):
            for seed in range(20):
                found = self.run_trial(old=both, new=both, seed=seed)
                self.assertIsNot(found.verdict, CanaryVerdict.BAD, found.reason)

    def test_one_burst_of_failures_is_left_out(self):
        trial, rng = Trial(), random.Random(1)
        for now in range(30):
            trial.second(now, rng, OLD, 20)
            trial.second(now, rng, NEW, 5, failing=1.0 if now == 9 else 0.0)
        for _ in range(16):
            trial.log.record_failure(NEW)
        trial.log.roll(29)
        self.assertIs(trial.assess().verdict, CanaryVerdict.GOOD)

    def test_hanging_version_is_seen_before_its_requests_end(self):
        trial, rng = Trial(), random.Random(1)
        for now in range(20):
            trial.second(now, rng, OLD, 20)
            trial.recorder.record_first_token(*NEW, FIRST_TOKEN_OVERDUE_SECONDS)
            trial.report()
        trial.second(21, rng, OLD, 1)
        self.assertIs(trial.assess().verdict, CanaryVerdict.BAD)

    def test_no_evidence_is_not_bad(self):
        trial, rng = Trial(), random.Random(1)
        self.assertIs(trial.assess().verdict, CanaryVerdict.GOOD)
        trial.second(0, rng, NEW, 50, failing=1.0)
        self.assertIsNot(trial.assess().verdict, CanaryVerdict.BAD)

    def test_bounds_are_bounds(self):
        self.assertGreaterEqual(binomial_tail_bound(5, 10, 0.1), 0.0016)
        self.assertEqual(binomial_tail_bound(0, 10, 0.1), 1.0)
        self.assertEqual(wilson_upper_bound(0, 0), 1.0)
        self.assertGreater(wilson_upper_bound(1, 20), 0.05)


class EvidenceLogTest(unittest.TestCase):
    def test_reports_may_repeat_or_be_overtaken(self):
        trial = Trial()
        trial.recorder.record_request(*NEW, True, 0.1)
        early = type(trial.recorder.to_wire()[1])()
        early.CopyFrom(trial.recorder.to_wire()[1])
        trial.recorder.record_request(*NEW, False)
        trial.report()
        trial.report()
        trial.log.record("s1", early)
        trial.log.roll(0.0)
        (window,) = trial.log.windows(NEW, 0.0)
        self.assertEqual((window.requests, window.failures), (2, 1))

    def test_counters_before_the_first_report_do_not_count(self):
        log = EvidenceLog()
        log.track([NEW])
        recorder = EvidenceRecorder()
        recorder.record_request(*NEW, False)
        log.record("s1", recorder.to_wire()[0])
        log.roll(0.0)
        self.assertEqual(log.windows(NEW, 0.0), [])
