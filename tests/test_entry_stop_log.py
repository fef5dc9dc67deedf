"""Tests that a router which stops says what it leaves to others."""

import asyncio
import time
import unittest
from unittest import mock

from bluebellshore.entry.loans import LoanClient
from bluebellshore.entry.router import EntryRouter
from tests.test_entry_budgets import PREPAID, SimulatedFleet, in_virtual_time


class StopLogTest(unittest.TestCase):
    @in_virtual_time
    async def test_settlement_that_was_cancelled_is_not_logged(self):
        router = mock.Mock()
        router._budgets.close = mock.AsyncMock(side_effect=asyncio.CancelledError)
        router._router_registry.deregister = mock.AsyncMock()
        await EntryRouter._settle(router, asyncio.get_running_loop().time() + 60.0)
        router._log.notice.assert_called_once()

    @in_virtual_time
    async def test_budgets_not_settled_in_time_are_not_logged(self):
        fleet = SimulatedFleet({"acme": PREPAID})
        router = await fleet.start("r1")
        await asyncio.sleep(1)
        log = self.enterContext(mock.patch.object(router._budget_log, "log"))
        fleet.clients["r1"].awake.clear()
        await router.close()
        self.assertEqual(["budgets"], [c.args[0] for c in log.notice.call_args_list])

    @in_virtual_time
    async def test_loans_not_repaid_in_time_are_not_logged(self):
        async def repay(*arguments):
            await asyncio.Event().wait()

        log = mock.Mock()
        client = LoanClient(
            mock.Mock(repay=repay), "r1.1", lambda customer: {}, time.monotonic, log
        )
        for number in range(3):
            client.repay("r2.1", f"r1.1/{number}", 5)
        await client.close(0.1)
        log.notice.assert_called_once()
        self.assertEqual(3, log.notice.call_args.kwargs["not_repaid"])


if __name__ == "__main__":
    unittest.main()
