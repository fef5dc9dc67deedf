"""Tests of fleets of any size before servers that name a rate, in simulated time."""

import unittest

from bluebellshore.experiments.rate_limits import (
    Way,
    changing_members,
    play_shared_rate,
)

#: Shares of the rate that are used at least: while the members are calm, the goal.
CALM_SHARE = 0.9


class SharedRateTest(unittest.TestCase):
    def test_routers_keep_a_rate_together_at_each_size(self):
        for routers in (5, 24, 68):
            for seed in range(2):
                for result in play_shared_rate(routers, [0.5, 1.5, 2.4], seed=seed):
                    with self.subTest(routers=routers, seed=seed, result=result):
                        self.assertLessEqual(result.most, result.allowed)
                        self.assertGreaterEqual(result.used_share, CALM_SHARE)

    def test_routers_keep_a_rate_while_the_members_change(self):
        for routers in (5, 24, 68):
            for seed in range(2):
                results = play_shared_rate(
                    routers,
                    [0.5, 1.5, 2.4, 12.0],
                    events=changing_members(routers),
                    seed=seed,
                )
                for result in results:
                    with self.subTest(routers=routers, seed=seed, result=result):
                        self.assertLessEqual(result.most, result.allowed)
                        self.assertGreater(result.used_share, 0.0)

    def test_four_hundred_routers_keep_a_rate(self):
        (result,) = play_shared_rate(400, [1.5], seconds=15.0)
        self.assertLessEqual(result.most, result.allowed)
        self.assertGreaterEqual(result.used_share, CALM_SHARE)

    def test_equal_shares_exceed_the_rate_in_a_large_fleet(self):
        (result,) = play_shared_rate(68, [1.5], way=Way.EQUAL, seconds=15.0)
        self.assertGreater(result.most, result.allowed)
