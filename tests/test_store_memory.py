"""Tests of the in-memory platform."""

import unittest

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.store import (
    ABSENT,
    Instance,
    InstanceRole,
    InstanceState,
    MemoryInstances,
    MemoryTable,
    Write,
)

INSTANCE = Instance("r1", InstanceRole.ROUTER, "zone-a", "127.0.0.1:1")


class MemoryTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()

    async def test_transaction_is_all_or_nothing(self):
        await self.table.transact([Write("a", ABSENT, b"1")])
        writes = [Write("a", 2, b"2"), Write("b", ABSENT, b"2")]
        with self.assertRaises(TransactionConflictError) as caught:
            await self.table.transact(writes)
        self.assertEqual(caught.exception.keys, ("a",))
        self.assertEqual([row.value for row in await self.table.scan("")], [b"1"])

    async def test_refuses_two_writes_of_one_row(self):
        with self.assertRaises(PlatformError):
            await self.table.transact([Write("a", 0, b"1"), Write("a", 1, b"2")])

    async def test_scan_pages_in_key_order(self):
        names = ["b/2", "a/1", "b/10", "c/1", "b/1"]
        await self.table.transact([Write(name, ABSENT, b"") for name in names])
        first = await self.table.scan("b/", limit=2)
        rest = await self.table.scan("b/", after=first[-1].key)
        self.assertEqual([r.key for r in first + rest], ["b/1", "b/10", "b/2"])

    async def test_lost_answer_takes_effect_and_failure_does_not(self):
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.table.transact([Write("a", ABSENT, b"1")])
        self.table.faults.fail_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.table.transact([Write("a", 1, None)])
        self.assertEqual((await self.table.read(["a", "b"]))["a"].version, 1)
        self.assertEqual(await self.table.transact([Write("a", 1, None)]), {"a": 0})
        self.assertEqual(await self.table.scan(""), [])


class MemoryInstancesTest(unittest.IsolatedAsyncioTestCase):
    async def test_lags_and_expires(self):
        now = 0.0
        instances = MemoryInstances(lag_seconds=1, expiry_seconds=5, clock=lambda: now)
        await instances.announce(INSTANCE)
        self.assertEqual(await instances.fetch(), [])
        now = 1.0
        self.assertEqual(await instances.fetch(), [INSTANCE])
        now = 3.0
        instances.set_state(INSTANCE.instance_id, InstanceState.LEAVING)
        await instances.announce(INSTANCE)
        self.assertEqual(await instances.fetch(), [INSTANCE])
        now = 4.0
        (shown,) = await instances.fetch()
        self.assertIs(shown.state, InstanceState.LEAVING)
        now = 9.1
        self.assertEqual(await instances.fetch(), [])
