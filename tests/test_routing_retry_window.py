"""Tests of the budget of repeats."""

import random
import unittest

from bluebellshore.routing.retry_window import USED_SHARE, WindowedRetryBudget


class WindowedRetryBudgetTest(unittest.TestCase):
    def test_repeats_are_a_share_of_requests(self):
        window = WindowedRetryBudget(0.2, 0.0, 10.0)
        for i in range(100):
            window.count_request(i * 0.05)
        allowed = sum(window.withdraw(5.0, 4) for _ in range(100))
        self.assertEqual(allowed, int(0.2 * 100 * USED_SHARE))

    def test_routers_share_the_extra(self):
        windows = [WindowedRetryBudget(0.2, 40.0, 10.0) for _ in range(4)]
        allowed = sum(w.withdraw(0.0, 4) for w in windows for _ in range(50))
        self.assertEqual(allowed, int(40 * USED_SHARE))

    def test_requests_of_the_window_before_still_earn(self):
        window = WindowedRetryBudget(0.2, 0.0, 10.0)
        for i in range(100):
            window.count_request(i * 0.1)
        self.assertEqual(sum(window.withdraw(16.0, 1) for _ in range(100)), 12)
        self.assertFalse(window.withdraw(45.0, 1))

    def test_no_window_has_more_than_its_share(self):
        rng = random.Random(1)
        window = WindowedRetryBudget(0.2, 10.0, 10.0)
        now, requests, repeats = 0.0, [], []
        for _ in range(4000):
            now += rng.expovariate(20.0 if now % 30 < 15 else 2.0)
            requests.append(now)
            window.count_request(now)
            repeats += [now] * sum(window.withdraw(now, 1) for _ in range(2))

        def count(times, end):
            return sum(end - 10.0 < t <= end for t in times)

        for end in repeats[::40]:
            most = max(count(requests, end - back) for back in (0.0, 5.0, 10.0))
            self.assertLessEqual(count(repeats, end), 0.2 * most + 10.0)
