"""Tests that refused requests outlast all routers, in the platform's store."""

import asyncio
import time
import unittest
from unittest import mock

import msgspec

from bluebellshore.entry import refusal_registry
from bluebellshore.entry.refusal_registry import REFUSALS_TABLE, RefusalRegistry
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.crashing_requests import (
    MAX_REFUSALS,
    REFUSAL_LIFETIME_SECONDS,
)
from bluebellshore.store import ABSENT, MemoryTable, Write
from tests.entry_fixtures import server

#: Offset of the store's clock from that of this process.
CLOCK_SECONDS = 5000.0


class RefusalRegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.table = MemoryTable()
        self.clock_known = True
        patch = mock.patch.object(refusal_registry, "CHECK_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)

    def start(self):
        """Start the registry of a router. :return: its crash tracker."""
        crashes = CrashTracker()
        registry = RefusalRegistry(
            self.table,
            crashes,
            lambda: time.monotonic() + CLOCK_SECONDS if self.clock_known else None,
        )
        run = asyncio.create_task(registry.run())
        self.addCleanup(run.cancel)
        return crashes

    def crash_twice(self, crashes, fingerprint):
        for number in range(2):
            name = f"{fingerprint}-{number}"
            now = time.monotonic() - 1.0 + number
            crashes.record_broken_connection(
                name, fingerprint, now, listed=server(name)
            )
            crashes.settle({}, now)

    async def stored(self):
        rows_by_key = (await self.table.snapshot(REFUSALS_TABLE)).rows_by_key
        return {key.partition("/")[2] for key in rows_by_key}

    async def until(self, condition):
        async with asyncio.timeout(20.0):
            while not await condition():
                await asyncio.sleep(0)

    async def put(self, fingerprint, **changes):
        values = {
            "crashed_at": time.monotonic() + CLOCK_SECONDS - 10.0,
            "interval_seconds": 900.0,
            "crashes": 2,
        }
        value = msgspec.json.encode(values | changes)
        key = f"{REFUSALS_TABLE}/{fingerprint}"
        await self.table.transact([Write(key, ABSENT, value)])

    async def test_router_that_starts_alone_refuses_what_others_found(self):
        self.crash_twice(self.start(), "deadly")

        async def is_stored():
            return await self.stored() == {"deadly"}

        await self.until(is_stored)
        successor = self.start()

        async def is_refused():
            return successor.should_refuse("deadly", time.monotonic())

        await self.until(is_refused)
        self.assertFalse(successor.should_refuse("sound", time.monotonic()))
        probe_due = time.monotonic() + 60 * 60
        self.assertFalse(successor.should_refuse("deadly", probe_due))

    async def test_row_of_a_request_that_was_answered_is_removed(self):
        await self.put("sound")
        crashes = self.start()

        async def is_refused():
            return "sound" in crashes.refused_requests

        await self.until(is_refused)
        crashes.clear_request("sound", time.monotonic())

        async def is_removed():
            return not await self.stored()

        await self.until(is_removed)

    async def test_rows_that_are_old_odd_or_too_many_are_left_out(self):
        await self.put("old", crashed_at=CLOCK_SECONDS - REFUSAL_LIFETIME_SECONDS * 2)
        await self.put("odd", crashes="many")
        for number in range(MAX_REFUSALS + 20):
            seconds_ago = 1000.0 + number
            await self.put(
                f"f{number}",
                crashed_at=time.monotonic() + CLOCK_SECONDS - seconds_ago,
            )
        crashes = self.start()

        async def is_read():
            return len(crashes.refused_requests) == MAX_REFUSALS

        await self.until(is_read)
        self.assertIn("f0", crashes.refused_requests)
        self.assertFalse({"old", "odd"} & crashes.refused_requests)

        async def is_tidy():
            return len(await self.stored()) == MAX_REFUSALS + 1

        await self.until(is_tidy)

    async def test_nothing_is_read_or_written_without_the_stores_clock(self):
        self.clock_known = False
        crashes = self.start()
        self.crash_twice(crashes, "deadly")
        for _ in range(50):
            await asyncio.sleep(0)
        self.assertEqual(await self.stored(), set())
        self.clock_known = True

        async def is_stored():
            return await self.stored() == {"deadly"}

        await self.until(is_stored)


if __name__ == "__main__":
    unittest.main()
