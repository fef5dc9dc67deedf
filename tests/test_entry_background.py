"""Tests that an entry router goes on to follow the store and its peers after errors."""

import asyncio
import itertools
import json
import unittest
from unittest import mock

from bluebellshore.decisions import silent_log
from bluebellshore.entry import background
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.watch import StoreWatch
from bluebellshore.load.fleet import wait_until
from bluebellshore.standin.operator import StandinRoute
from bluebellshore.store.memory import MemoryTable
from tests.entry_system import ROUTES, EntryTestCase
from tests.test_entry_rollouts import Fleet
from tests.test_platform_decoding import DEEPLY_NESTED, ServerTest

NEW_ROUTE = StandinRoute("/new/", "safe", "plain")


class BackgroundTest(unittest.IsolatedAsyncioTestCase):
    async def test_loop_that_fails_ends_for_good(self):
        self.enterContext(mock.patch.object(background, "RESTART_SECONDS", 0))
        runs = []

        async def loop():
            runs.append(len(runs))
            if len(runs) < 3:
                raise ExceptionGroup("in a task", [KeyError("odd")])

        await background.keep_running("watch", loop, silent_log())
        self.assertEqual([0, 1, 2], runs)

    async def test_cancellation_of_what_a_loop_awaits_ends_it_for_good(self):
        self.enterContext(mock.patch.object(background, "RESTART_SECONDS", 0))
        runs = []

        async def loop():
            runs.append(len(runs))
            if len(runs) < 3:
                future = asyncio.get_running_loop().create_future()
                future.cancel()
                await future

        await background.keep_running("peers", loop, silent_log())
        self.assertEqual([0, 1, 2], runs)

    async def test_cancelled_loop_runs_again(self):
        started = asyncio.Event()

        async def loop():
            started.set()
            await asyncio.Event().wait()

        task = asyncio.create_task(background.keep_running("watch", loop, silent_log()))
        await started.wait()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


class CancelledCallTest(unittest.IsolatedAsyncioTestCase):
    def run_kept(self, loop):
        task = asyncio.create_task(background.keep_running("a", loop, silent_log()))
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)

    async def test_table_is_not_followed_after_a_cancelled_call(self):
        # The task group went on without the task that the error ended.
        table = MemoryTable()
        snapshot, asked = table.snapshot, []

        async def cancelled_at_first(name):
            asked.append(name)
            if len(asked) == 1:
                raise asyncio.CancelledError
            return await snapshot(name)

        table.snapshot = cancelled_at_first
        watch = StoreWatch(table, PlatformState(2.0))
        self.run_kept(watch.run)
        await wait_until(lambda: not watch.lost, "a snapshot of each table")

    async def test_rollout_records_are_not_kept_after_a_cancelled_call(self):
        rollouts = Fleet(1).routers[0]
        results = [asyncio.CancelledError(), None]
        sync = mock.AsyncMock(side_effect=itertools.chain(results, itertools.repeat(0)))
        self.enterContext(mock.patch.object(rollouts, "sync_records", sync))
        self.run_kept(rollouts.run)
        await wait_until(lambda: sync.await_count >= 3, "calls for the records")


class OddEntryTest(EntryTestCase):
    async def assert_followed_after(self, key: str, value: bytes):
        instance = await self.start_system()
        self.store.state.write_as_operator("servers", key, value)
        await self.wait_until_synced(instance)
        self.configure(2, (*ROUTES, NEW_ROUTE))
        await self.add_runner("plain-c", "plain")

        async def followed():
            status, _, _ = await self.call(instance, "/new/a")
            servers = instance.router.snapshot()["servers"]
            return status == 200 and "plain-c" in servers and key not in servers

        await wait_until(followed, "the changes after the odd entry")

    async def test_nested_entry_stops_a_router_from_following_the_store(self):
        value = json.dumps(ServerTest.ENTRY).encode()[:-1]
        await self.assert_followed_after("odd", value + b',"x":%b}' % DEEPLY_NESTED)

    async def test_entry_with_a_number_too_large_stops_it(self):
        value = json.dumps({**ServerTest.ENTRY, "born": 10**400}).encode()
        await self.assert_followed_after("odd", value)


if __name__ == "__main__":
    unittest.main()
