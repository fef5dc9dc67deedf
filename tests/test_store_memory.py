"""Tests of the in-memory services."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.store import (
    ABSENT,
    Instance,
    InstanceRole,
    InstanceState,
    MemoryFaults,
    MemoryInstances,
    MemoryTable,
    Row,
    Write,
)
from bluebellshore.store.interface import (
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    MAX_TRANSACTION_WRITES,
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
        self.assertEqual(caught.exception.rows_by_key, {"a": Row("a", 1, b"1")})
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

    async def test_versions_come_from_one_counter_and_never_repeat(self):
        first = await self.table.transact([Write("t/a", 0, b""), Write("t/b", 0, b"")])
        self.assertEqual(first, {"t/a": 1, "t/b": 1})
        second = await self.table.transact([Write("t/b", 1, b"")])
        self.assertEqual(second, {"t/b": 2})
        await self.table.transact([Write("t/a", 1, None)])
        with self.assertRaises(TransactionConflictError):
            await self.table.transact([Write("t/a", 1, b"")])
        self.assertEqual(await self.table.transact([Write("t/a", 0, b"")]), {"t/a": 4})

    async def test_enforces_the_limits_of_the_platform(self):
        many = [Write(f"t/{n}", 0, b"") for n in range(MAX_TRANSACTION_WRITES)]
        await self.table.transact(many)
        for refused in [
            [Write(f"u/{n}", 0, b"") for n in range(MAX_TRANSACTION_WRITES + 1)],
            [Write("u/" + "k" * MAX_KEY_BYTES, 0, b"")],
            [Write("u/k", 0, bytes(MAX_ROW_BYTES + 1))],
        ]:
            with self.assertRaises(PlatformError) as caught:
                await self.table.transact(refused)
            self.assertNotIsInstance(caught.exception, PlatformUnavailableError)
        self.assertEqual(await self.table.scan("u/"), [])


class MemoryFeedTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable(max_history_changes=4)

    async def test_snapshot_then_last_change_of_each_row(self):
        await self.table.transact([Write("t/a", 0, b"1"), Write("other/a", 0, b"")])
        snapshot = await self.table.snapshot("t")
        self.assertEqual(snapshot.rows_by_key, {"t/a": Row("t/a", 1, b"1")})
        self.assertEqual(snapshot.version, 1)
        await self.table.transact([Write("t/a", 1, b"2"), Write("t/b", 0, b"")])
        await self.table.transact([Write("t/b", 2, None)])
        change = await self.table.feed("t", snapshot.version, 0.0)
        self.assertEqual(change.rows, [Row("t/a", 2, b"2")])
        self.assertEqual(change.removed_by_key, {"t/b": 3})
        self.assertEqual(change.version, 3)
        last = await self.table.feed("t", change.version, 0.0)
        self.assertEqual((last.rows, last.removed_by_key, last.version), ([], {}, 3))

    async def test_wait_ends_with_a_change_of_that_table_only(self):
        waiting = asyncio.create_task(self.table.feed("t", 0, 60.0))
        await asyncio.sleep(0)
        await self.table.transact([Write("other/a", 0, b"")])
        await asyncio.sleep(0.02)
        self.assertFalse(waiting.done())
        await self.table.transact([Write("t/a", 0, b"")])
        self.assertEqual((await waiting).rows, [Row("t/a", 2, b"")])

    async def test_wait_without_a_change_ends(self):
        change = await self.table.feed("t", 0, 0.02)
        self.assertEqual((change.rows, change.version), ([], 0))

    async def test_lost_history_ends_waiting_feeds(self):
        for number in range(5):
            await self.table.transact([Write(f"t/{number}", 0, b"")])
        with self.assertRaises(HistoryLostError):
            await self.table.feed("t", 0, 0.0)
        self.assertEqual(len((await self.table.feed("t", 1, 0.0)).rows), 4)
        waiting = asyncio.create_task(self.table.feed("u", 4, 60.0))
        await asyncio.sleep(0)
        self.table.forget_history()
        with self.assertRaises(HistoryLostError):
            await waiting
        self.assertEqual(len((await self.table.snapshot("t")).rows_by_key), 5)

    async def test_outage_reaches_snapshot_and_feed(self):
        table = MemoryTable(MemoryFaults(outage=True))
        for call in (table.snapshot("t"), table.feed("t", 0, 0.0)):
            with self.assertRaises(PlatformUnavailableError):
                await call


class MemoryTablePropertyTest(unittest.TestCase):
    writes = st.lists(
        st.builds(
            Write,
            st.sampled_from(["t/a", "t/b", "t/p/1", "t/p/2"]),
            st.integers(0, 4),
            st.none() | st.binary(max_size=1),
        ),
        max_size=3,
        unique_by=lambda write: write.key,
    )

    @settings(derandomize=True, deadline=None)
    @given(st.lists(writes, max_size=8))
    def test_table_and_feed_equal_a_plain_model(self, transactions):
        table = MemoryTable()
        model = {}
        version = 0

        async def run():
            nonlocal version
            for writes in transactions:
                fits = all(model.get(w.key, (0,))[0] == w.expect for w in writes)
                if fits:
                    version += bool(writes)
                    await table.transact(writes)
                    model.update({w.key: (version, w.value) for w in writes})
                    for write in writes:
                        if write.value is None:
                            del model[write.key]
                else:
                    with self.assertRaises(TransactionConflictError) as caught:
                        await table.transact(writes)
                    present = {
                        key: (row.version, row.value)
                        for key, row in caught.exception.rows_by_key.items()
                    }
                    written = {w.key for w in writes} & model.keys()
                    self.assertEqual(present, {key: model[key] for key in written})
            return await table.scan(""), await table.feed("t", 0, 0.0)

        rows, change = asyncio.run(run())
        shown = [(row.key, (row.version, row.value)) for row in rows]
        self.assertEqual(shown, sorted(model.items()))
        told = {row.key: (row.version, row.value) for row in change.rows}
        self.assertEqual(told, model)
        self.assertFalse(model.keys() & change.removed_by_key.keys())
        self.assertEqual(change.version, version)


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
