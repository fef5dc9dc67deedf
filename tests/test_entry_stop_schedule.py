"""Tests of which requests a stopping router begins, and until when."""

import unittest

from bluebellshore.entry.stop_schedule import StopSchedule

GRACE_SECONDS = 8.0
#: Requests sent later after SIGTERM must not be cut, whatever they take.
LATEST_CUT_SECONDS = 3.0


class StopScheduleTest(unittest.TestCase):
    def setUp(self):
        self.schedule = StopSchedule.begin(100.0, GRACE_SECONDS)

    def test_all_requests_are_accepted_until_callers_go_elsewhere(self):
        self.assertTrue(self.schedule.accepts(deadline=160.0, now=100.0))
        self.assertTrue(self.schedule.accepts(deadline=160.0, now=102.5))

    def test_no_late_request_may_outlast_the_stop(self):
        for tenths in range(int(LATEST_CUT_SECONDS * 10), 85):
            now = 100.0 + tenths / 10
            for seconds in (0.01, 0.5, 1.2, 4.0, 6.0, 15.0, 600.0):
                with self.subTest(after=now - 100.0, seconds=seconds):
                    accepted = self.schedule.accepts(now + seconds, now)
                    ends_in_time = now + seconds <= self.schedule.settle_at
                    self.assertEqual(ends_in_time, accepted)

    def test_times_are_in_order_however_short_the_grace_period_is(self):
        for grace in (0.0, 0.3, 1.0, 3.0, 8.0, 60.0):
            with self.subTest(grace=grace):
                times = StopSchedule.begin(100.0, grace)
                order = [
                    times.began_at,
                    times.accept_until,
                    times.settle_at,
                    times.close_at,
                    max(100.0, 100.0 + grace),
                ]
                self.assertEqual(sorted(order), order)

    def test_caller_is_sent_elsewhere_at_once_only_if_another_router_serves(self):
        self.assertEqual(0.0, self.schedule.retry_after(others_serve=True))
        self.assertGreater(self.schedule.retry_after(others_serve=False), 0.0)


if __name__ == "__main__":
    unittest.main()
