"""Tests of the registry of entry routers in the platform's store."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.entry import router_registry
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


class StopTest(EntryTestCase):
    async def test_router_with_requests_in_flight_leaves_the_registry(self):
        # Unsettled requests took the time in which the row was to be removed.
        self.configure(customers=[StandinCustomer("acme", (KEY,), 10_000)])
        runner = await self.add_runner("plain-a")
        runner.gate.clear()
        instance = self.make_instance()
        instance.write(stop_seconds=2.0)
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
        await instance.router.stop()
        self.assertEqual([], rows())
        self.assertEqual(502, (await task)[0])
        runner.gate.set()


if __name__ == "__main__":
    unittest.main()
