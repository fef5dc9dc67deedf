"""Tests of the client of the store when its connections go silent for good."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.platform import store, store_calls
from bluebellshore.platform.store import PlatformStore
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
#: Time limit of calls that are to end by it; the others have time on a busy machine.
SHORT_SECONDS, LONG_SECONDS = 0.3, 60.0


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
        self.store = PlatformStore(self.proxy.address, call_seconds=LONG_SECONDS)
        await self.store.open()
        self.addAsyncCleanup(self.store.close)
        keys = [f"table{number}/key" for number in range(IDLE_CONNECTIONS)]
        await self.store.read(keys)
        self.assertGreater(self.proxy.stats.accepted, IDLE_CONNECTIONS // 2)

    def silence(self):
        change = DirectionChange(swallow=Swallow.EXISTING)
        self.proxy.apply(ProxyFaultChange(down=change))

    async def read_in_vain(self, seconds=SHORT_SECONDS):
        with mock.patch.object(self.store._calls, "_call_seconds", seconds):
            with self.assertRaises(PlatformUnavailableError):
                await self.store.read(["table/key"])

    async def test_each_call_waits_on_another_silent_connection(self):
        self.silence()
        await self.read_in_vain()
        async with asyncio.timeout(LONG_SECONDS / 2):
            await self.store.read(["table/key"])

    async def test_large_answer_on_a_slow_link_never_arrives(self):
        # A call that timed out was begun anew, and never got further than before.
        value = b"x" * 60_000
        await self.store.transact([Write("table/config", ABSENT, value)])
        slow = DirectionChange(bytes_per_second=len(value) // 4)
        self.proxy.apply(ProxyFaultChange(down=slow))
        with (
            mock.patch.object(store_calls, "BODY_PAUSE_SECONDS", LONG_SECONDS),
            mock.patch.object(store_calls, "MAX_BODY_SECONDS", LONG_SECONDS),
            mock.patch.object(store, "FEED_SLACK_SECONDS", 3.0),
        ):
            rows = (await self.store.feed("table", 0, 0.1)).rows
        self.assertEqual([value], [row.value for row in rows])

    async def test_answer_that_stands_still_is_waited_for_without_end(self):
        await self.store.transact([Write("table/key", ABSENT, b"x" * 60_000)])
        slow = DirectionChange(bytes_per_second=20_000)
        self.proxy.apply(ProxyFaultChange(down=slow))
        reading = asyncio.create_task(self.read_in_vain(seconds=1.0))
        await asyncio.sleep(0.5)
        self.proxy.apply(ProxyFaultChange(down=DirectionChange(blocked=True)))
        async with asyncio.timeout(LONG_SECONDS):
            await reading

    async def test_call_in_progress_ends_when_another_connection_is_silent(self):
        waiting = asyncio.create_task(self.store.feed("table", 0, 25.0))
        await asyncio.sleep(0.1)
        faults = self.standin.state.faults
        with mock.patch.object(faults, "outage", NoAnswer.SILENT):
            await self.read_in_vain()
        await self.store.transact([Write("table/a", ABSENT, b"x")])
        self.assertEqual(["table/a"], [row.key for row in (await waiting).rows])


if __name__ == "__main__":
    unittest.main()
