"""Tests of the windowed retry budget."""

import random
import unittest

from bluebellshore.routing.retry_window import USED_SHARE, WindowedRetryBudget


class WindowedRetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_ratio_of_requests(self):
        budget = WindowedRetryBudget(0.2, 0.0, 10.0)
        for i in range(100):
            budget.count_request(i * 0.05)
        allowed = sum(budget.withdraw(5.0, 4) for _ in range(100))
        self.assertEqual(allowed, int(0.2 * 100 * USED_SHARE))

    def test_routers_share_the_extra_retries(self):
        budgets = [WindowedRetryBudget(0.2, 40.0, 10.0) for _ in range(4)]
        allowed = sum(w.withdraw(0.0, 4) for w in budgets for _ in range(50))
        self.assertEqual(allowed, int(40 * USED_SHARE))

    def test_requests_of_the_previous_window_still_count(self):
        budget = WindowedRetryBudget(0.2, 0.0, 10.0)
        for i in range(100):
            budget.count_request(i * 0.1)
        self.assertEqual(sum(budget.withdraw(16.0, 1) for _ in range(100)), 12)
        self.assertFalse(budget.withdraw(45.0, 1))

    def test_no_window_exceeds_its_share(self):
        rng = random.Random(1)
        budget = WindowedRetryBudget(0.2, 10.0, 10.0)
        now, requests, retries = 0.0, [], []
        for _ in range(4000):
            now += rng.expovariate(20.0 if now % 30 < 15 else 2.0)
            requests.append(now)
            budget.count_request(now)
            retries += [now] * sum(budget.withdraw(now, 1) for _ in range(2))

        def count(times, end):
            return sum(end - 10.0 < t <= end for t in times)

        for end in retries[::40]:
            max_requests = max(count(requests, end - back) for back in (0.0, 5.0, 10.0))
            self.assertLessEqual(count(retries, end), 0.2 * max_requests + 10.0)
