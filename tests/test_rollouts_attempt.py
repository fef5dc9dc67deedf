"""Tests of the counts that one attempt adds to a rollout's evidence."""

import unittest

from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts.attempt import (
    COLD_CACHE_FACTOR,
    EARLY_GAP_EVENTS,
    LATER_GAP_BUCKETS,
    MIN_GAP_EVENTS,
    MeasuredAttempt,
)
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey, latency_bucket
from bluebellshore.routing.results import AttemptResult

SENT_AT = 100.0


def make_attempt(
    *, target: bool = True, is_warm: bool = True, has_prompt: bool = False
) -> MeasuredAttempt:
    key = CountsKey(RouteName("a"), BackendServerId("n0"), target)
    return MeasuredAttempt("1", key, 7, SENT_AT, is_warm, has_prompt)


class AttemptTest(unittest.TestCase):
    def test_plain_answer_counts_its_whole_time(self) -> None:
        counts = make_attempt().count_end(AttemptResult.ANSWERED, SENT_AT + 0.5)
        self.assertEqual(counts, AttemptCounts(ended=1, first={latency_bucket(0.5): 1}))

    def test_stream_counts_its_first_event_and_its_gaps(self) -> None:
        """A stream with an early first event and long gaps between events."""
        attempt = make_attempt()
        for number in range(MIN_GAP_EVENTS):
            attempt.record_events(SENT_AT + 0.1 + 0.4 * number)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 9.0)
        self.assertEqual(counts.first, {latency_bucket(0.1): 1})
        self.assertEqual(counts.gap, {latency_bucket(0.4): 1})

    def test_short_stream_has_no_mean_gap(self) -> None:
        attempt = make_attempt()
        attempt.record_events(SENT_AT + 0.1, MIN_GAP_EVENTS - 1)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 0.2)
        self.assertFalse(counts.gap)

    def test_long_stream_counts_its_gap_before_its_end(self) -> None:
        attempt = make_attempt()
        for number in range(EARLY_GAP_EVENTS):
            self.assertFalse(attempt.count_gap(SENT_AT + 60.0, None).gap)
            attempt.record_events(SENT_AT + 0.4 * number)
        counts = attempt.count_gap(SENT_AT + 60.0, None)
        self.assertEqual(counts, AttemptCounts(gap={latency_bucket(0.4): 1}))
        self.assertFalse(attempt.count_gap(SENT_AT + 60.0, None).gap)
        self.assertFalse(attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 60.0).gap)

    def test_stream_that_has_stopped_is_overdue(self) -> None:
        """Two events, then none for longer than the first events may take."""
        attempt = make_attempt()
        attempt.record_events(SENT_AT, 2)
        limit = 0.1
        allowed = limit * (EARLY_GAP_EVENTS - 1)
        self.assertFalse(attempt.count_gap(SENT_AT + 0.9 * allowed, limit).gap)
        counts = attempt.count_gap(SENT_AT + 2.0 * allowed, limit)
        self.assertEqual(counts.gap, {latency_bucket(2.0 * limit): 1})

    def test_overdue_stream_counts_once(self) -> None:
        """A stream that was counted as slow before its first events had come."""
        attempt = make_attempt()
        attempt.record_events(SENT_AT)
        self.assertTrue(attempt.count_gap(SENT_AT + 60.0, 0.1).gap)
        attempt.record_events(SENT_AT + 90.0, EARLY_GAP_EVENTS)
        self.assertFalse(attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 90.0).gap)

    def test_stream_that_slows_down_later_counts_again(self) -> None:
        attempt = make_attempt()
        for number in range(EARLY_GAP_EVENTS):
            attempt.record_events(SENT_AT + 0.01 * number)
        self.assertEqual(
            attempt.count_gap(SENT_AT + 1.0, None).gap, {latency_bucket(0.01): 1}
        )
        for number in range(EARLY_GAP_EVENTS):
            attempt.record_events(SENT_AT + 1.0 + number)
        (bucket,) = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 20.0).gap
        self.assertGreaterEqual(bucket, latency_bucket(0.01) + LATER_GAP_BUCKETS)

    def test_stream_whose_caller_leaves_counts_the_gap_it_showed(self) -> None:
        """A caller who gives up a slow stream, as callers of slow versions do."""
        attempt = make_attempt()
        for number in range(EARLY_GAP_EVENTS):
            attempt.record_events(SENT_AT + 0.4 * number)
        counts = attempt.count_end(AttemptResult.ABANDONED, SENT_AT + 7.0)
        self.assertEqual(counts, AttemptCounts(gap={latency_bucket(0.4): 1}))

    def test_overdue_attempt_counts_once(self) -> None:
        """An answer that ends after the attempt was counted as overdue."""
        attempt = make_attempt()
        overdue = attempt.count_overdue(SENT_AT + 2.0)
        self.assertEqual(
            overdue, AttemptCounts(ended=1, first={latency_bucket(2.0): 1})
        )
        self.assertEqual(
            attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 3.0), AttemptCounts()
        )

    def test_overdue_attempt_that_fails_is_a_failure_too(self) -> None:
        attempt = make_attempt()
        attempt.count_overdue(SENT_AT + 2.0)
        counts = attempt.count_end(AttemptResult.FAILED, SENT_AT + 3.0)
        self.assertEqual(counts, AttemptCounts(failed=1))

    def test_results_not_caused_by_the_version_are_not_counted(self) -> None:
        """Servers that are full, gone or crashed, and callers who leave."""
        uninformative = (
            AttemptResult.REFUSED,
            AttemptResult.UNREACHABLE,
            AttemptResult.BROKEN,
            AttemptResult.ABANDONED,
        )
        for result in uninformative:
            with self.subTest(result):
                counts = make_attempt().count_end(result, SENT_AT + 1.0)
                self.assertEqual(counts, AttemptCounts())

    def test_failure_has_no_time(self) -> None:
        counts = make_attempt().count_end(AttemptResult.FAILED, SENT_AT + 0.01)
        self.assertEqual(counts, AttemptCounts(ended=1, failed=1))

    def test_server_that_warms_up_shows_no_gap(self) -> None:
        attempt = make_attempt(is_warm=False)
        attempt.record_events(SENT_AT, EARLY_GAP_EVENTS)
        self.assertFalse(attempt.count_gap(SENT_AT + 60.0, 0.1).gap)

    def test_server_that_warms_up_shows_failures_only(self) -> None:
        attempt = make_attempt(is_warm=False)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 5.0)
        self.assertEqual(counts, AttemptCounts(ended=1))

    def test_prompts_may_take_longer_with_a_cold_prefix_cache(self) -> None:
        """Prompts with shared prefixes, which only the other servers have cached."""
        seconds = 0.5 * COLD_CACHE_FACTOR
        for target, expected in ((True, 0.5), (False, seconds)):
            with self.subTest(target=target):
                attempt = make_attempt(target=target, has_prompt=True)
                counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + seconds)
                self.assertEqual(counts.first, {latency_bucket(expected): 1})


if __name__ == "__main__":
    unittest.main()
