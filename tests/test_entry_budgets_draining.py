"""Tests of the budgets of a router that leaves while long requests are in flight.

Guards against refusals during a rolling restart: streams keep each stopping router up
for seconds, and the tokens that it holds would be missing for a customer whose budget
is nearly used up and whose requests go to the other routers.
"""

import asyncio
import unittest

from bluebellshore.budget.policy import AllotmentView, StandbyPolicy
from tests.test_entry_budgets import SimulatedFleet, in_virtual_time

PREPAID = 10_000


class DrainingTest(unittest.TestCase):
    @in_virtual_time
    async def test_tokens_go_back_before_the_last_request_has_ended(self):
        fleet = SimulatedFleet({"acme": PREPAID})
        first = await fleet.start("r1")
        await fleet.start("r2")
        await asyncio.sleep(1)
        stream = asyncio.create_task(fleet.request("r1", "acme", 500, 300, 6.0))
        await asyncio.sleep(0.5)
        self.assertGreater(fleet.row().allotments["r1.1"].outstanding, 2000)
        first.drain()
        await asyncio.sleep(1.5)
        self.assertEqual(500, fleet.row().allotments["r1.1"].outstanding)
        wanted = PREPAID - 500
        self.assertIsNone(await fleet.request("r2", "acme", wanted, wanted, 0.1))
        self.assertIsNone(await stream)
        await fleet.stop()
        self.assertEqual(300 + wanted, fleet.row().settled)
        self.assertEqual([], fleet.overspent)

    @in_virtual_time
    async def test_request_that_comes_late_is_still_served(self):
        fleet = SimulatedFleet({"acme": PREPAID})
        first = await fleet.start("r1")
        await asyncio.sleep(1)
        first.drain()
        await asyncio.sleep(1)
        self.assertIsNone(await fleet.request("r1", "acme", 500, 300, 0.1))
        await fleet.stop()
        self.assertEqual(300, fleet.row().settled)

    def test_policy_grants_nothing_and_returns_all_while_draining(self):
        draining = False
        policy = StandbyPolicy(30.0, draining=lambda: draining)
        view = AllotmentView(
            unallotted=4000, unbilled=8000, holders=2, free=2400, burn_per_second=50
        )
        self.assertEqual((0, 0), (policy.grant(view), policy.surplus(view)))
        draining = True
        self.assertEqual((0, 2400), (policy.grant(view), policy.surplus(view)))


if __name__ == "__main__":
    unittest.main()
