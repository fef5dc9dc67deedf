"""Tests of the registry of entry routers in the platform's store."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.entry import router_registry, stop_schedule
from bluebellshore.entry.router_registry import ROUTERS_TABLE, RouterRegistry
from bluebellshore.ids import IncarnationId, InstanceId
from bluebellshore.load.fleet import wait_until
from bluebellshore.standin.operator import StandinCustomer
from bluebellshore.store import MemoryTable
from tests.entry_system import KEY, EntryTestCase


async def registered(table):
    return set((await table.snapshot(ROUTERS_TABLE)).rows_by_key)


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    async def test_router_that_left_is_not_registered_again(self):
        # A refresh between the end of the registration and of the process added it.
        table = MemoryTable()
        registry = RouterRegistry(
            table,
            InstanceId("entry-1"),
            IncarnationId("entry-1.a"),
            "127.0.0.1:1",
            lambda addresses: None,
        )
        with mock.patch.object(router_registry, "REFRESH_SECONDS", 0.0):
            run = asyncio.create_task(registry.run())
            self.addCleanup(run.cancel)
            while not await registered(table):
                await asyncio.sleep(0)
            await registry.deregister()
            for _ in range(100):
                await asyncio.sleep(0)
                self.assertEqual(set(), await registered(table))

    async def test_registration_in_flight_does_not_outlast_the_router(self):
        table = MemoryTable()
        registry = RouterRegistry(
            table,
            InstanceId("entry-1"),
            IncarnationId("entry-1.a"),
            "127.0.0.1:1",
            lambda addresses: None,
        )
        transact, gate, writes = table.transact, asyncio.Event(), []

        async def gated_transact(changes):
            writes.append(changes)
            await gate.wait()
            return await transact(changes)

        table.transact = gated_transact
        run = asyncio.create_task(registry.run())
        self.addCleanup(run.cancel)
        while not writes:
            await asyncio.sleep(0)
        leave = asyncio.create_task(registry.deregister())
        for _ in range(10):
            await asyncio.sleep(0)
        gate.set()
        await leave
        self.assertEqual(set(), await registered(table))


class StopTest(EntryTestCase):
    async def test_router_with_requests_in_flight_leaves_the_registry(self):
        # Unsettled requests took the time in which the row was to be removed.
        self.configure(customers=[StandinCustomer("acme", (KEY,), 10_000)])
        runner = await self.add_runner("plain-a")
        runner.gate.clear()
        instance = self.make_instance()
        instance.write(stop_seconds=60.0)
        patch = mock.patch.object(stop_schedule, "SETTLE_RESERVE_SECONDS", 59.0)
        patch.start()
        self.addCleanup(patch.stop)
        await self.start_router(instance)
        await self.wait_until_synced(instance)

        def rows():
            page = self.store.state.rows.page(ROUTERS_TABLE, "", "", "", 10, 10_000)
            return [entry.row_id.key for entry in page.entries]

        await wait_until(rows, "the registered router")
        attempt = self.new_attempt_id()
        headers = self.headers(attempt, X_Token_Usage="60,40")
        task = asyncio.create_task(self.call(instance, "/unsafe/a", headers=headers))
        await wait_until(lambda: self.count_runs(attempt), "the run")
        stop = asyncio.create_task(instance.router.stop())
        while rows() and not stop.done():
            await asyncio.sleep(0.01)
        self.assertEqual([], rows())
        self.assertFalse(task.done())
        runner.gate.set()
        self.assertEqual(200, (await task)[0])
        await stop


if __name__ == "__main__":
    unittest.main()
