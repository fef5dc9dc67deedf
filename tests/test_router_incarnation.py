"""Tests that a router with sidecars goes on with its background work after errors."""

import asyncio
import itertools
import random
import unittest
from collections.abc import Iterator
from unittest import mock

import eliot

from bluebellshore.budget import Accountant, FixedPolicy
from bluebellshore.budget.rows import budget_key
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, Tokens
from bluebellshore.load.fleet import wait_until
from bluebellshore.membership import Announcer
from bluebellshore.router.incarnation import RouterIncarnation
from bluebellshore.router.router import Router
from bluebellshore.settings import RouterSettings
from bluebellshore.store import ABSENT, InstanceRole, Write
from bluebellshore.store.memory import MemoryTable

BUDGET = BudgetId("acme")
SETTINGS = RouterSettings("r1", "west-a", "http://store.example", announce_seconds=0.01)


def failing_twice() -> Iterator[object]:
    """Yield the results of a call that is cancelled, then fails, then succeeds."""
    yield asyncio.CancelledError()
    yield KeyError("odd")
    yield from itertools.repeat(None)


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.router = RouterIncarnation(SETTINGS)

    def run_in_background(self, loop):
        task = asyncio.ensure_future(loop)
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)

    async def reserve(self, attempt, wait_seconds):
        await self.router._accountant.reserve(
            BUDGET, attempt, "s1.1", Tokens(10), wait_seconds=wait_seconds
        )

    async def test_unreadable_row_of_a_budget_ends_accounting(self):
        table = MemoryTable()
        key = budget_key(BUDGET)
        versions = await table.transact([Write(key, ABSENT, b"?")])
        self.router._accountant = Accountant(
            table,
            self.router.incarnation,
            FixedPolicy(Tokens(100)),
            prepaid=lambda budget: Tokens(1000),
            rng=random.Random(1),
        )
        self.run_in_background(self.router._run_accountant())
        with self.assertRaises(RefusedError):
            await self.reserve("a1", wait_seconds=0.5)
        await table.transact([Write(key, versions[key], None)])
        await self.reserve("a2", wait_seconds=30.0)

    async def test_cancelled_step_is_not_repeated(self):
        # The router went on with the instances, rows or leases that it knew then.
        step = mock.AsyncMock(side_effect=failing_twice())
        self.run_in_background(self.router._run_periodically(step, 0.01))
        await wait_until(lambda: step.await_count > 3, "further steps")

    async def test_failed_announcement_is_the_last(self):
        # The instance left the list a few seconds later.
        announce = mock.AsyncMock(side_effect=failing_twice())
        announcer = Announcer(
            mock.Mock(announce=announce),
            InstanceRole.ROUTER,
            SETTINGS,
            address=lambda: "127.0.0.1:1",
            is_leaving=lambda: False,
        )
        self.run_in_background(announcer.run())
        await wait_until(lambda: announce.await_count > 3, "further announcements")

    async def test_incarnation_that_is_not_replaced_leaves_no_line_in_the_log(self):
        messages = []
        eliot.add_destinations(messages.append)
        self.addCleanup(eliot.remove_destination, messages.append)
        router = Router(SETTINGS)
        fenced = mock.Mock(fenced=asyncio.Event())
        fenced.fenced.set()
        fenced.hand_over_operator_port = mock.AsyncMock(side_effect=OSError("closed"))
        router._incarnation = fenced
        with self.assertRaises(OSError):
            await router._watch_fence()
        types = [message["message_type"] for message in messages]
        self.assertIn("incarnation_not_replaced", types)


if __name__ == "__main__":
    unittest.main()
