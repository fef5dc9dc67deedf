"""Tests of what one attempt tells of a version."""

import unittest

from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts.attempt import (
    COLD_CACHE_FACTOR,
    MIN_GAP_EVENTS,
    MeasuredAttempt,
)
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey, latency_bucket
from bluebellshore.routing.results import AttemptResult

SENT_AT = 100.0


def make_attempt(
    *, target: bool = True, warm: bool = True, has_prompt: bool = False
) -> MeasuredAttempt:
    key = CountsKey(RouteName("a"), BackendServerId("n0"), target)
    return MeasuredAttempt("1", key, 7, SENT_AT, warm, has_prompt)


class AttemptTest(unittest.TestCase):
    def test_plain_answer_counts_its_whole_time(self) -> None:
        counts = make_attempt().count_end(AttemptResult.ANSWERED, SENT_AT + 0.5)
        self.assertEqual(
            counts, AttemptCounts(ended=1, first_event={latency_bucket(0.5): 1})
        )

    def test_stream_counts_its_first_event_and_its_pauses(self) -> None:
        """A stream of slow pauses whose first event came soon."""
        attempt = make_attempt()
        for number in range(MIN_GAP_EVENTS):
            attempt.record_events(SENT_AT + 0.1 + 0.4 * number)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 9.0)
        self.assertEqual(counts.first_event, {latency_bucket(0.1): 1})
        self.assertEqual(counts.event_gap, {latency_bucket(0.4): 1})

    def test_short_stream_has_no_mean_pause(self) -> None:
        attempt = make_attempt()
        attempt.record_events(SENT_AT + 0.1, MIN_GAP_EVENTS - 1)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 0.2)
        self.assertFalse(counts.event_gap)

    def test_overdue_attempt_counts_once(self) -> None:
        """A slow answer that comes after it was counted while under way."""
        attempt = make_attempt()
        early = attempt.count_overdue(SENT_AT + 2.0)
        self.assertEqual(
            early, AttemptCounts(ended=1, first_event={latency_bucket(2.0): 1})
        )
        self.assertEqual(
            attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 3.0), AttemptCounts()
        )

    def test_overdue_attempt_that_fails_is_a_failure_too(self) -> None:
        attempt = make_attempt()
        attempt.count_overdue(SENT_AT + 2.0)
        counts = attempt.count_end(AttemptResult.FAILED, SENT_AT + 3.0)
        self.assertEqual(counts, AttemptCounts(failed=1))

    def test_ends_that_are_not_the_versions_say_nothing(self) -> None:
        """Full, gone and crashed servers, and callers who leave."""
        silent = (
            AttemptResult.REFUSED,
            AttemptResult.UNREACHABLE,
            AttemptResult.BROKEN,
            AttemptResult.CALLER_LEFT,
        )
        for result in silent:
            with self.subTest(result):
                counts = make_attempt().count_end(result, SENT_AT + 1.0)
                self.assertEqual(counts, AttemptCounts())

    def test_failure_has_no_time(self) -> None:
        counts = make_attempt().count_end(AttemptResult.FAILED, SENT_AT + 0.01)
        self.assertEqual(counts, AttemptCounts(ended=1, failed=1))

    def test_server_that_warms_up_shows_failures_only(self) -> None:
        attempt = make_attempt(warm=False)
        counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + 5.0)
        self.assertEqual(counts, AttemptCounts(ended=1))

    def test_prompts_that_new_servers_have_yet_to_read_may_take_longer(self) -> None:
        """Prompts with shared parts, which only the other servers hold."""
        seconds = 0.5 * COLD_CACHE_FACTOR
        for target, wanted in ((True, 0.5), (False, seconds)):
            with self.subTest(target=target):
                attempt = make_attempt(target=target, has_prompt=True)
                counts = attempt.count_end(AttemptResult.ANSWERED, SENT_AT + seconds)
                self.assertEqual(counts.first_event, {latency_bucket(wanted): 1})


if __name__ == "__main__":
    unittest.main()
