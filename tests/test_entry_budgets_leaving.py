"""Tests of the budgets of a router that leaves while long requests end.

The load: routers are stopped one after the other, each with streams that take seconds
to end, and a customer whose total is nearly used up calls the others meanwhile.
"""

import asyncio
import unittest

from bluebellshore.budget.policy import AllotmentView, StandbyPolicy
from tests.test_entry_budgets import World, in_virtual_time

PREPAID = 10_000


class LeavingTest(unittest.TestCase):
    @in_virtual_time
    async def test_tokens_go_back_before_the_last_request_has_ended(self):
        world = World({"acme": PREPAID})
        first = await world.start("r1")
        await world.start("r2")
        await asyncio.sleep(1)
        stream = asyncio.create_task(world.request("r1", "acme", 500, 300, 6.0))
        await asyncio.sleep(0.5)
        self.assertGreater(world.row().allotments["r1.1"].outstanding, 2000)
        first.leave()
        await asyncio.sleep(1.5)
        self.assertEqual(500, world.row().allotments["r1.1"].outstanding)
        wanted = PREPAID - 500
        self.assertIsNone(await world.request("r2", "acme", wanted, wanted, 0.1))
        self.assertIsNone(await stream)
        await world.stop()
        self.assertEqual(300 + wanted, world.row().settled)
        self.assertEqual([], world.overspent)

    @in_virtual_time
    async def test_request_that_comes_late_is_still_served(self):
        world = World({"acme": PREPAID})
        first = await world.start("r1")
        await asyncio.sleep(1)
        first.leave()
        await asyncio.sleep(1)
        self.assertIsNone(await world.request("r1", "acme", 500, 300, 0.1))
        await world.stop()
        self.assertEqual(300, world.row().settled)

    def test_holds_nothing_ahead_of_use_while_it_leaves(self):
        leaving = False
        policy = StandbyPolicy(30.0, draining=lambda: leaving)
        view = AllotmentView(
            unallotted=4000, unbilled=8000, holders=2, free=2400, burn_per_second=50
        )
        self.assertEqual((0, 0), (policy.grant(view), policy.surplus(view)))
        leaving = True
        self.assertEqual((0, 2400), (policy.grant(view), policy.surplus(view)))


if __name__ == "__main__":
    unittest.main()
