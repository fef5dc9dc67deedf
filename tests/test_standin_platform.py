"""Tests of the platform's client against its stand-in."""

import asyncio
import unittest

import aiohttp

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin import PlatformStandin
from bluebellshore.standin.platform import RateLimit
from bluebellshore.store import (
    ABSENT,
    HttpPlatform,
    Instance,
    InstanceRole,
    InstanceState,
    Write,
)

INSTANCE = Instance("r/1", InstanceRole.ROUTER, "zone-a", "127.0.0.1:1")


class PlatformStandinTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin(PlatformSettings(list_lag_seconds=0))
        await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.url = f"http://{self.standin.address}"
        self.platform = HttpPlatform(self.url, self.session)

    async def post(self, path, **body):
        async with self.session.post(self.url + path, json=body) as response:
            response.raise_for_status()

    async def test_table(self):
        writes = [Write("a/é", ABSENT, b"\x00\xff"), Write("a/2", ABSENT, b"")]
        versions = await self.platform.transact(writes)
        self.assertEqual(versions, {"a/é": 1, "a/2": 1})
        rows = await self.platform.scan("a/", limit=1)
        self.assertEqual([row.key for row in rows], ["a/2"])
        rows_by_key = await self.platform.read(["a/é", "b"])
        self.assertEqual(rows_by_key["a/é"].value, b"\x00\xff")
        with self.assertRaises(TransactionConflictError) as caught:
            await self.platform.transact(writes)
        self.assertEqual(caught.exception.keys, ("a/é", "a/2"))
        with self.assertRaises(PlatformError):
            await self.platform.transact([Write("c", 0, b""), Write("c", 0, b"")])

    async def test_objects(self):
        self.assertTrue(await self.platform.put("a/b c", b"1", if_absent=True))
        self.assertFalse(await self.platform.put("a/b c", b"2", if_absent=True))
        self.assertEqual(await self.platform.get("a/b c"), b"1")
        await self.platform.delete("a/b c")
        await self.platform.delete("a/b c")
        self.assertIsNone(await self.platform.get("a/b c"))

    async def test_instances(self):
        await self.platform.announce(INSTANCE)
        self.assertEqual(await self.platform.fetch(), [INSTANCE])
        await self.post("/control/instances/r%2F1", state="leaving")
        await self.platform.announce(INSTANCE)
        (shown,) = await self.platform.fetch()
        self.assertIs(shown.state, InstanceState.LEAVING)

    async def test_outage_and_lost_answers(self):
        await self.post("/control/faults", outage=True)
        with self.assertRaises(PlatformUnavailableError) as caught:
            await self.platform.transact([Write("a", ABSENT, b"1")])
        self.assertEqual(caught.exception.step, "table.transact")
        self.assertEqual(caught.exception.peer, self.url)
        await self.post("/control/faults", outage=False, lose_next=1)
        with self.assertRaises(PlatformUnavailableError):
            await self.platform.transact([Write("a", ABSENT, b"1")])
        self.assertEqual(list(await self.platform.read(["a"])), ["a"])

    async def test_creator_of_an_object_whose_answer_is_lost_is_not_told_it_existed(
        self,
    ):
        await self.platform.get("warm up the connection")
        await self.post("/control/faults", lose_next=1)
        with self.assertRaises(PlatformUnavailableError):
            await self.platform.put("a", b"1", if_absent=True)
        self.assertEqual(await self.platform.get("a"), b"1")

    async def test_slow_answer_is_unavailable(self):
        await self.post("/control/faults", delay_seconds=30)
        hasty = HttpPlatform(self.url, self.session, timeout_seconds=0.05)
        with self.assertRaises(PlatformUnavailableError):
            await hasty.read(["a"])

    async def test_write_takes_effect_after_its_caller_has_given_up(self):
        await self.post("/control/faults", delay_seconds=0.5)
        hasty = HttpPlatform(self.url, self.session, timeout_seconds=0.25)
        with self.assertRaises(PlatformUnavailableError):
            await hasty.transact([Write("a", ABSENT, b"1")])
        await asyncio.sleep(0.5)
        self.assertEqual(list(await self.platform.read(["a"])), ["a"])

    async def test_counts_operations(self):
        await self.platform.transact([Write("a", 0, b""), Write("b", 0, b"")])
        await self.platform.scan("")
        async with self.session.get(self.url + "/control/stats") as response:
            counts = await response.json()
        self.assertEqual(counts["transactions"], 1)
        self.assertEqual(counts["rows_written"], 2)
        self.assertEqual(counts["rows_scanned"], 2)

    async def test_rate_limit_is_unavailable(self):
        self.standin.state.writes = RateLimit(1e-9)
        with self.assertRaises(PlatformUnavailableError):
            await self.platform.transact([])
        await self.platform.scan("")
