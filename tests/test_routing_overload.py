"""Runs the experiments on overload and crashing requests with few seeds."""

import unittest

from bluebellshore.experiments import crashes, overload


class OverloadTest(unittest.TestCase):
    def test_goodput_holds_and_retries_are_bounded(self):
        rows = overload.run([1]).rows_by_name
        for factor in (2.0, 5.0):
            goodput, sends, *_ = rows[f"{factor}x, limits and retry budget"]
            without_limits = rows[f"{factor}x, no limits"][0]
            unbounded = rows[f"{factor}x, limits, retries without a budget"][1]
            self.assertGreater(goodput, 0.85)
            self.assertLess(without_limits, 0.5)
            self.assertLess(sends, unbounded / 2)

    def test_flooding_customer_takes_little_from_others(self):
        rows = overload.run_flood([1]).rows_by_name
        for factor in (2.0, 5.0):
            others, _ = rows[f"{factor}x, limits and retry budget"]
            self.assertGreater(others, 0.75)


class CrashesTest(unittest.TestCase):
    def test_two_crashes_for_each_crashing_request(self):
        rows = crashes.run([1, 2]).rows_by_name
        _, most, _, refused_innocent, *_ = rows["3 requests, always crash, quarantine"]
        self.assertEqual(most, 6)
        self.assertEqual(refused_innocent, 0)
