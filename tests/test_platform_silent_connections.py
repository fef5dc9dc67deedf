"""Tests of the client of the store when its connections go silent for good."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.platform.store import PlatformStore
from bluebellshore.platform.store_calls import BODY_PAUSE_SECONDS
from bluebellshore.settings import PlatformSettings, ProxySettings
from bluebellshore.standin.platform import PlatformStandin
from bluebellshore.standin.platform_faults import NoAnswer
from bluebellshore.standin.proxy import FaultProxy
from bluebellshore.standin.proxy_faults import (
    DirectionChange,
    ProxyFaultChange,
    Swallow,
)
from bluebellshore.store import ABSENT, Write

#: Connections that a router opens at once when it starts.
IDLE_CONNECTIONS = 16
CALL_SECONDS = 0.3


class SilentConnectionsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin(PlatformSettings())
        await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.proxy = FaultProxy(
            ProxySettings(
                listen="127.0.0.1:0",
                control_listen="127.0.0.1:0",
                upstream=self.standin.address,
            )
        )
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.store = PlatformStore(self.proxy.address, call_seconds=CALL_SECONDS)
        await self.store.open()
        self.addAsyncCleanup(self.store.close)
        keys = [f"table{number}/key" for number in range(IDLE_CONNECTIONS)]
        await self.store.read(keys)
        self.assertGreater(self.proxy.stats.accepted, IDLE_CONNECTIONS // 2)

    def silence(self):
        change = DirectionChange(swallow=Swallow.EXISTING)
        self.proxy.apply(ProxyFaultChange(down=change))

    async def test_each_call_waits_on_another_silent_connection(self):
        self.silence()
        with self.assertRaises(PlatformUnavailableError):
            await self.store.read(["table/key"])
        await self.store.read(["table/key"])

    async def test_large_answer_on_a_slow_link_never_arrives(self):
        # A call that timed out was begun anew, and never got further than before.
        value = b"x" * 60_000
        await self.store.transact([Write("table/config", ABSENT, value)])
        slow = DirectionChange(bytes_per_second=len(value) // 2)
        self.proxy.apply(ProxyFaultChange(down=slow))
        rows = (await self.store.feed("table", 0, 0.1)).rows
        self.assertEqual([value], [row.value for row in rows])

    async def test_answer_that_stands_still_is_waited_for_without_end(self):
        await self.store.transact([Write("table/config", ABSENT, b"x" * 60_000)])
        slow = DirectionChange(bytes_per_second=20_000)
        self.proxy.apply(ProxyFaultChange(down=slow))
        reading = asyncio.create_task(self.store.read(["table/config"]))
        await asyncio.sleep(CALL_SECONDS / 2)
        self.proxy.apply(ProxyFaultChange(down=DirectionChange(blocked=True)))
        with self.assertRaises(PlatformUnavailableError):
            async with asyncio.timeout(10 * BODY_PAUSE_SECONDS):
                await reading

    async def test_call_in_progress_ends_when_another_connection_is_silent(self):
        waiting = asyncio.create_task(self.store.feed("table", 0, 3 * CALL_SECONDS))
        await asyncio.sleep(CALL_SECONDS / 3)
        with mock.patch.object(self.standin.state.faults, "outage", NoAnswer.SILENT):
            with self.assertRaises(PlatformUnavailableError):
                await self.store.read(["table/key"])
        await self.store.transact([Write("table/a", ABSENT, b"x")])
        self.assertEqual(["table/a"], [row.key for row in (await waiting).rows])


if __name__ == "__main__":
    unittest.main()
