"""Tests of the traffic split, evidence and canary analysis of moves."""

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


class EvidenceFeed:
    """Feeds one sidecar's evidence about both versions to a router's log."""

    def __init__(self):
        self.log = EvidenceLog()
        self.log.track([OLD, NEW])
        self.recorder = EvidenceRecorder([OLD, NEW])
        self.report()

    def report(self):
        for evidence in self.recorder.to_wire():
            self.log.record("s1", evidence)

    def add_second(self, now, rng, route_version, count, *, failing=0.0, slow=1.0):
        """Add `count` requests that end in the second `now`.

        :param failing: rate of failures.
        :param slow: factor of all times.
        """
        for _ in range(count):
            ok = rng.random() >= failing
            first_token = rng.lognormvariate(-2.0, 0.4) * slow
            gaps = [rng.lognormvariate(-4.0, 0.3) * slow]
            self.recorder.record_request(
                *route_version, ok, first_token if ok else None, gaps
            )
        self.report()
        self.log.roll(now)

    def assess(self, since=0.0):
        new, old = self.log.windows(NEW, since), self.log.windows(OLD, since)
        return assess(Criteria(), new, old)


class JudgeTest(unittest.TestCase):
    def assess_versions(self, *, old=None, new=None, seconds=30, seed=1):
        feed, rng = EvidenceFeed(), random.Random(seed)
        for now in range(seconds):
            feed.add_second(now, rng, OLD, 20, **(old or {}))
            feed.add_second(now, rng, NEW, 5, **(new or {}))
        return feed.assess()

    def test_good_version(self):
        for seed in range(20):
            found = self.assess_versions(seed=seed)
            self.assertIs(found.verdict, CanaryVerdict.GOOD, found.reason)

    def test_bad_versions(self):
        for new in ({"failing": 1.0}, {"failing": 0.3}, {"slow": 3.0}):
            for seed in range(20):
                found = self.assess_versions(new=new, seconds=60, seed=seed)
                self.assertIs(found.verdict, CanaryVerdict.BAD, new)

    def test_faults_of_the_whole_fleet_do_not_make_the_new_version_bad(self):
        for both in ({"failing": 0.3}, {"slow": 5.0}):
            for seed in range(20):
                found = self.assess_versions(old=both, new=both, seed=seed)
                self.assertIsNot(found.verdict, CanaryVerdict.BAD, found.reason)

    def test_one_burst_of_failures_is_ignored(self):
        feed, rng = EvidenceFeed(), random.Random(1)
        for now in range(30):
            feed.add_second(now, rng, OLD, 20)
            feed.add_second(now, rng, NEW, 5, failing=1.0 if now == 9 else 0.0)
        for _ in range(16):
            feed.log.record_failure(NEW)
        feed.log.roll(29)
        self.assertIs(feed.assess().verdict, CanaryVerdict.GOOD)

    def test_hanging_version_is_bad_before_its_requests_end(self):
        feed, rng = EvidenceFeed(), random.Random(1)
        for now in range(20):
            feed.add_second(now, rng, OLD, 20)
            feed.recorder.record_first_token(*NEW, FIRST_TOKEN_OVERDUE_SECONDS)
            feed.report()
        feed.add_second(21, rng, OLD, 1)
        self.assertIs(feed.assess().verdict, CanaryVerdict.BAD)

    def test_no_evidence_is_not_bad(self):
        feed, rng = EvidenceFeed(), random.Random(1)
        self.assertIs(feed.assess().verdict, CanaryVerdict.GOOD)
        feed.add_second(0, rng, NEW, 50, failing=1.0)
        self.assertIsNot(feed.assess().verdict, CanaryVerdict.BAD)

    def test_probability_bounds_hold(self):
        self.assertGreaterEqual(binomial_tail_bound(5, 10, 0.1), 0.0016)
        self.assertEqual(binomial_tail_bound(0, 10, 0.1), 1.0)
        self.assertEqual(wilson_upper_bound(0, 0), 1.0)
        self.assertGreater(wilson_upper_bound(1, 20), 0.05)


class EvidenceLogTest(unittest.TestCase):
    def test_repeated_and_reordered_reports_count_once(self):
        feed = EvidenceFeed()
        feed.recorder.record_request(*NEW, True, 0.1)
        early = type(feed.recorder.to_wire()[1])()
        early.CopyFrom(feed.recorder.to_wire()[1])
        feed.recorder.record_request(*NEW, False)
        feed.report()
        feed.report()
        feed.log.record("s1", early)
        feed.log.roll(0.0)
        (window,) = feed.log.windows(NEW, 0.0)
        self.assertEqual((window.requests, window.failures), (2, 1))

    def test_counters_before_the_first_report_do_not_count(self):
        log = EvidenceLog()
        log.track([NEW])
        recorder = EvidenceRecorder()
        recorder.record_request(*NEW, False)
        log.record("s1", recorder.to_wire()[0])
        log.roll(0.0)
        self.assertEqual(log.windows(NEW, 0.0), [])
