"""Tests of the counts that routers share during a rollout."""

import unittest
from collections import Counter

from bluebellshore.ids import BackendServerId, IncarnationId, RouteName
from bluebellshore.rollouts.evidence import (
    LAST_BUCKET,
    Counts,
    Evidence,
    Key,
    bound_of,
    bucket_of,
)

KEY = Key(RouteName("a"), BackendServerId("n0"), True)
OTHER = Key(RouteName("a"), BackendServerId("o0"), False)
PEER, SECOND = IncarnationId("r1"), IncarnationId("r2")


def told(count: int) -> dict[Key, Counts]:
    """Return a report of a router that has counted so many."""
    return {KEY: Counts(count, count, count, Counter({9: count}))}


class BucketTest(unittest.TestCase):
    def test_bound_of_a_bucket_lies_in_it(self) -> None:
        for bucket in range(LAST_BUCKET):
            self.assertEqual(bucket_of(bound_of(bucket) * 0.9999), bucket)
            self.assertEqual(bucket_of(bound_of(bucket) * 1.0001), bucket + 1)

    def test_longest_times_lie_in_the_last_bucket(self) -> None:
        self.assertEqual(bucket_of(1e6), LAST_BUCKET)


class EvidenceTest(unittest.TestCase):
    """Exchanges that are lost, repeated, late or end with their router."""

    def total(self, evidence: Evidence) -> Counts:
        return evidence.span(0.0, None).get(KEY, Counts())

    def test_repeated_report_changes_nothing(self) -> None:
        evidence = Evidence()
        for _ in range(3):
            evidence.merge(PEER, told(5), 1.0)
        self.assertEqual(self.total(evidence), told(5)[KEY])

    def test_next_report_makes_up_for_a_lost_one(self) -> None:
        evidence = Evidence()
        evidence.merge(PEER, told(2), 1.0)
        evidence.merge(PEER, told(9), 3.0)
        self.assertEqual(self.total(evidence), told(9)[KEY])

    def test_report_that_comes_late_takes_nothing_away(self) -> None:
        evidence = Evidence()
        for count, known in ((9, 9), (2, 9), (9, 9), (10, 10)):
            evidence.merge(PEER, told(count), 1.0)
            self.assertEqual(self.total(evidence), told(known)[KEY])

    def test_peers_and_own_attempts_add_up(self) -> None:
        evidence = Evidence()
        evidence.record(KEY, Counts(sent=1), 1.0)
        evidence.merge(PEER, told(2), 1.0)
        evidence.merge(SECOND, told(4), 1.0)
        self.assertEqual(self.total(evidence).sent, 7)
        self.assertEqual(evidence.own, {KEY: Counts(sent=1)})

    def test_attempts_of_a_dead_router_stay_known(self) -> None:
        """A router begins anew and hears of attempts that it can't count itself."""
        evidence = Evidence()
        evidence.record(KEY, Counts(sent=1), 1.0)
        evidence.record(OTHER, Counts(sent=3), 1.0)
        self.assertEqual(evidence.sent(), (1, 4))
        evidence.merge_sent(40, 600)
        evidence.merge_sent(30, 500)
        self.assertEqual(evidence.sent(), (40, 600))

    def test_span_holds_what_came_in_its_time(self) -> None:
        """A version that turns bad after many good answers."""
        evidence = Evidence()
        evidence.record(KEY, Counts(ended=100), 1.0)
        evidence.record(KEY, Counts(ended=4, failed=4), 9.0)
        recent = evidence.span(10.0, 3.0)[KEY]
        self.assertEqual((recent.ended, recent.failed), (4, 4))
        self.assertEqual(evidence.span(10.0, None)[KEY].ended, 104)

    def test_report_counts_in_the_window_in_which_it_comes(self) -> None:
        evidence = Evidence()
        evidence.merge(PEER, told(5), 1.0)
        evidence.merge(PEER, told(7), 20.0)
        self.assertEqual(evidence.span(20.0, 3.0)[KEY].ended, 2)

    def test_copy_changes_apart(self) -> None:
        counts = Counts(sent=1, first=Counter({3: 1}))
        copied = counts.copy()
        counts.add(Counts(sent=1, first=Counter({3: 1})))
        self.assertEqual(copied, Counts(sent=1, first=Counter({3: 1})))


if __name__ == "__main__":
    unittest.main()
