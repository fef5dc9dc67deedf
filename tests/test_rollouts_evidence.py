"""Tests of the counts of attempts that routers exchange during a rollout."""

import unittest
from collections import Counter

from bluebellshore.ids import BackendServerId, IncarnationId, RouteName
from bluebellshore.rollouts.evidence import (
    LAST_BUCKET,
    AttemptCounts,
    CountsKey,
    RolloutEvidence,
    bucket_bound_seconds,
    latency_bucket,
)

KEY = CountsKey(RouteName("a"), BackendServerId("n0"), True)
OTHER_KEY = CountsKey(RouteName("a"), BackendServerId("o0"), False)
PEER, OTHER_PEER = IncarnationId("r1"), IncarnationId("r2")


def reported_counts(count: int) -> dict[CountsKey, AttemptCounts]:
    """Return the counts that a router reports after `count` failed attempts."""
    return {KEY: AttemptCounts(count, count, count, Counter({9: count}))}


class BucketTest(unittest.TestCase):
    def test_bound_of_a_bucket_lies_in_it(self) -> None:
        for bucket in range(LAST_BUCKET):
            self.assertEqual(
                latency_bucket(bucket_bound_seconds(bucket) * 0.9999), bucket
            )
            self.assertEqual(
                latency_bucket(bucket_bound_seconds(bucket) * 1.0001), bucket + 1
            )

    def test_longest_times_lie_in_the_last_bucket(self) -> None:
        self.assertEqual(latency_bucket(1e6), LAST_BUCKET)


class EvidenceTest(unittest.TestCase):
    """Reports that are lost, repeated or late, and routers that end."""

    def total(self, evidence: RolloutEvidence) -> AttemptCounts:
        return evidence.counts_within(0.0, None).get(KEY, AttemptCounts())

    def test_repeated_report_changes_nothing(self) -> None:
        evidence = RolloutEvidence()
        for _ in range(3):
            evidence.merge_counts(PEER, reported_counts(5), 1.0)
        self.assertEqual(self.total(evidence), reported_counts(5)[KEY])

    def test_next_report_makes_up_for_a_lost_one(self) -> None:
        evidence = RolloutEvidence()
        evidence.merge_counts(PEER, reported_counts(2), 1.0)
        evidence.merge_counts(PEER, reported_counts(9), 3.0)
        self.assertEqual(self.total(evidence), reported_counts(9)[KEY])

    def test_report_that_comes_late_takes_nothing_away(self) -> None:
        evidence = RolloutEvidence()
        for count, expected in ((9, 9), (2, 9), (9, 9), (10, 10)):
            evidence.merge_counts(PEER, reported_counts(count), 1.0)
            self.assertEqual(self.total(evidence), reported_counts(expected)[KEY])

    def test_peers_and_own_attempts_add_up(self) -> None:
        evidence = RolloutEvidence()
        evidence.record(KEY, AttemptCounts(sent=1), 1.0)
        evidence.merge_counts(PEER, reported_counts(2), 1.0)
        evidence.merge_counts(OTHER_PEER, reported_counts(4), 1.0)
        self.assertEqual(self.total(evidence).sent, 7)
        self.assertEqual(evidence.own_counts_by_key, {KEY: AttemptCounts(sent=1)})

    def test_attempts_of_a_dead_router_stay_known(self) -> None:
        """A restarted router gets totals with attempts whose counts are lost."""
        evidence = RolloutEvidence()
        evidence.record(KEY, AttemptCounts(sent=1), 1.0)
        evidence.record(OTHER_KEY, AttemptCounts(sent=3), 1.0)
        self.assertEqual(evidence.sent(), (1, 4))
        evidence.merge_sent(40, 600)
        evidence.merge_sent(30, 500)
        self.assertEqual(evidence.sent(), (40, 600))

    def test_span_holds_what_came_in_its_time(self) -> None:
        """A version that becomes bad after many good answers."""
        evidence = RolloutEvidence()
        evidence.record(KEY, AttemptCounts(ended=100), 1.0)
        evidence.record(KEY, AttemptCounts(ended=4, failed=4), 9.0)
        recent = evidence.counts_within(10.0, 3.0)[KEY]
        self.assertEqual((recent.ended, recent.failed), (4, 4))
        self.assertEqual(evidence.counts_within(10.0, None)[KEY].ended, 104)

    def test_report_counts_in_the_window_in_which_it_comes(self) -> None:
        evidence = RolloutEvidence()
        evidence.merge_counts(PEER, reported_counts(5), 1.0)
        evidence.merge_counts(PEER, reported_counts(7), 20.0)
        self.assertEqual(evidence.counts_within(20.0, 3.0)[KEY].ended, 2)

    def test_copy_is_independent(self) -> None:
        counts = AttemptCounts(sent=1, first=Counter({3: 1}))
        copied = counts.copy()
        counts.add(AttemptCounts(sent=1, first=Counter({3: 1})))
        self.assertEqual(copied, AttemptCounts(sent=1, first=Counter({3: 1})))


if __name__ == "__main__":
    unittest.main()
