"""Tests of the table cache over the in-memory table."""

import asyncio
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.store import ABSENT, MemoryTable, Row, TableChange, Write
from bluebellshore.store.cache import CachedTable


class DelayedTable(MemoryTable):
    """Table with delayed answers and writes.

    :ivar delay_answers: whether answers of reads and transactions wait until
        :meth:`release_answers`.
    :ivar delay_next_writes: number of next transactions that fail, and take effect in
        :meth:`apply_delayed`.
    """

    def __init__(self):
        super().__init__()
        self.delay_answers = False
        self.delay_next_writes = 0
        self.delayed_writes = []
        self._released = asyncio.Event()

    async def read(self, keys):
        rows = await super().read(keys)
        await self._wait()
        return rows

    async def transact(self, writes):
        if self.delay_next_writes:
            self.delay_next_writes -= 1
            self.delayed_writes.append(list(writes))
            raise PlatformUnavailableError("late", step="table.transact")
        try:
            return await super().transact(writes)
        finally:
            await self._wait()

    async def apply_delayed(self):
        """Apply the delayed transactions; those that conflict are dropped."""
        delayed_writes, self.delayed_writes = self.delayed_writes, []
        for writes in delayed_writes:
            try:
                await super().transact(writes)
            except TransactionConflictError:
                pass

    def release_answers(self):
        """Return the delayed answers."""
        self.delay_answers = False
        self._released.set()

    async def _wait(self):
        if self.delay_answers:
            await self._released.wait()


class CachedTableTestCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = DelayedTable()
        self.cache = CachedTable(self.table)

    async def write_past_cache(self, key, value):
        """Write a row without the cache. :return: its version."""
        row = self.table.rows_by_key.get(key)
        write = Write(key, row.version if row else ABSENT, value)
        return (await MemoryTable.transact(self.table, [write]))[key]

    async def read_values(self, *keys):
        rows = await self.cache.read(keys)
        return {key: row.value for key, row in rows.items()}

    async def count_reads(self, *keys):
        """Read `keys` from the cache. :return: reads that reached the store."""
        before = self.table.counts.reads
        await self.cache.read(keys)
        return self.table.counts.reads - before

    async def start_delayed(self, call):
        """Start a call whose answer is delayed."""
        self.table.delay_answers = True
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0.01)
        return task


class CachedRowsTest(CachedTableTestCase):
    async def test_cached_rows_and_cached_absence_are_not_read_again(self):
        version = await self.write_past_cache("t/a", b"1")
        rows = await self.cache.read(["t/a", "t/b"])
        self.assertEqual(rows, {"t/a": Row("t/a", version, b"1")})
        self.assertEqual(await self.cache.read(["t/a", "t/b"]), rows)
        self.assertEqual(self.table.counts.reads, 1)
        self.table.faults.outage = True
        self.assertEqual(await self.cache.read(["t/b", "t/a"]), rows)
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.read(["t/a", "t/c"])

    async def test_only_uncached_keys_are_read(self):
        await self.write_past_cache("t/a", b"1")
        await self.write_past_cache("t/b", b"2")
        await self.cache.read(["t/a"])
        self.assertEqual(
            await self.read_values("t/a", "t/b"), {"t/a": b"1", "t/b": b"2"}
        )
        self.assertEqual(self.table.counts.rows_read, 2)

    async def test_rows_of_a_scan_are_cached(self):
        await self.write_past_cache("t/a", b"1")
        await self.cache.scan("t/")
        self.assertEqual(await self.count_reads("t/a"), 0)

    async def test_written_rows_are_cached_and_need_no_read(self):
        version = ABSENT
        for value in (b"1", b"2", b"3"):
            version = (await self.cache.transact([Write("t/a", version, value)]))["t/a"]
            self.assertEqual(await self.read_values("t/a"), {"t/a": value})
        other = Write("t/b", ABSENT, b"")
        await self.cache.transact([Write("t/a", version, None), other])
        self.assertEqual(await self.read_values("t/a", "t/b"), {"t/b": b""})
        await self.cache.transact([Write("t/a", ABSENT, b"4")])
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"4"})
        self.assertEqual(self.table.counts.reads, 0)

    async def test_least_recently_used_keys_are_evicted(self):
        cache = CachedTable(self.table, max_keys=2)
        for key in ("t/a", "t/b"):
            await cache.read([key])
        await cache.read(["t/a"])
        await cache.read(["t/c"])
        reads = self.table.counts.reads
        await cache.read(["t/a", "t/c"])
        self.assertEqual(self.table.counts.reads, reads)
        await cache.read(["t/b"])
        self.assertEqual(self.table.counts.reads, reads + 1)

    async def test_read_of_more_keys_than_the_cache_holds_is_complete(self):
        cache = CachedTable(self.table, max_keys=2)
        keys = [f"t/{n}" for n in range(6)]
        for key in keys:
            await self.write_past_cache(key, key.encode())
        for _ in range(2):
            rows = await cache.read(keys)
            self.assertEqual([rows[key].value.decode() for key in keys], keys)

    async def test_invalidated_keys_are_read_again(self):
        await self.cache.read(["t/a"])
        await self.write_past_cache("t/a", b"1")
        self.assertEqual(await self.read_values("t/a"), {})
        self.cache.invalidate(["t/a"])
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"1"})
        await self.write_past_cache("t/a", b"2")
        self.cache.invalidate_all()
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"2"})


class ConflictTest(CachedTableTestCase):
    async def test_conflict_brings_all_rows_so_that_a_retry_makes_progress(self):
        mine = [Write("t/a", ABSENT, b"m"), Write("t/b", ABSENT, b"m")]
        made = await self.cache.transact([*mine, Write("t/c", ABSENT, b"m")])
        await self.write_past_cache("t/a", b"theirs")
        await self.write_past_cache("t/b", b"theirs")
        row = self.table.rows_by_key["t/c"]
        await MemoryTable.transact(self.table, [Write("t/c", row.version, None)])
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write(k, made[k], b"2") for k in made])
        rows = await self.cache.read(["t/a", "t/b", "t/c"])
        self.assertEqual(rows, self.table.rows_by_key)
        writes = [
            Write(key, rows[key].version if key in rows else ABSENT, b"2")
            for key in made
        ]
        await self.cache.transact(writes)
        self.assertEqual(self.table.counts.reads, 0)

    async def test_rows_are_read_again_after_a_conflict_without_rows(self):
        await self.cache.read(["t/a"])
        await self.write_past_cache("t/a", b"1")

        class TableWithoutConflictRows(MemoryTable):
            async def transact(_, writes):
                raise TransactionConflictError(["t/a"], step="table.transact")

        self.cache._table = TableWithoutConflictRows()
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", ABSENT, b"")])
        self.cache._table = self.table
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"1"})

    async def test_conflict_replaces_a_cached_row_of_a_higher_version(self):
        """Otherwise every retry would conflict again."""
        await self.write_past_cache("t/a", b"1")
        self.cache.apply(TableChange([Row("t/a", 99, b"wrong")], {}, 99))
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", 99, b"2")])
        row = (await self.cache.read(["t/a"]))["t/a"]
        await self.cache.transact([Write("t/a", row.version, b"2")])

    async def test_conflict_removes_a_cached_row_that_is_absent(self):
        self.cache.apply(TableChange([Row("t/a", 99, b"wrong")], {}, 99))
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", 99, b"2")])
        self.assertEqual(await self.read_values("t/a"), {})
        await self.cache.transact([Write("t/a", ABSENT, b"2")])

    async def test_late_conflict_does_not_replace_a_newer_row_from_the_feed(self):
        await self.write_past_cache("t/a", b"1")
        call = self.cache.transact([Write("t/a", ABSENT, b"")])
        conflict = await self.start_delayed(call)
        version = await self.write_past_cache("t/a", b"2")
        self.cache.apply(TableChange([Row("t/a", version, b"2")], {}, version))
        self.table.release_answers()
        with self.assertRaises(TransactionConflictError):
            await conflict
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"2"})

    async def test_late_conflict_invalidates_a_removed_row_from_a_lagging_feed(self):
        version = await self.write_past_cache("t/a", b"1")
        await MemoryTable.transact(self.table, [Write("t/a", version, None)])
        call = self.cache.transact([Write("t/a", version, b"2")])
        conflict = await self.start_delayed(call)
        self.cache.apply(TableChange([Row("t/a", version, b"1")], {}, version))
        self.table.release_answers()
        with self.assertRaises(TransactionConflictError):
            await conflict
        self.assertEqual(await self.read_values("t/a"), {})

    async def test_rows_are_read_again_after_a_refusal_without_conflict(self):
        await self.cache.read(["t/a"])
        with self.assertRaises(PlatformError):
            await self.cache.transact([Write("t/a", 0, b"1"), Write("t/a", 0, b"2")])
        self.assertEqual(await self.count_reads("t/a"), 1)


class UnansweredTest(CachedTableTestCase):
    async def test_write_whose_answer_is_lost_is_read_again(self):
        await self.cache.read(["t/a", "t/b"])
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.assertEqual(await self.count_reads("t/b"), 0)
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"1"})

    async def test_write_that_takes_effect_late_is_found_by_the_next_conflict(self):
        self.table.delay_next_writes = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"late")])
        self.assertEqual(await self.read_values("t/a"), {})
        await self.table.apply_delayed()
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", ABSENT, b"mine")])
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"late"})

    async def test_rows_are_read_again_after_a_cancelled_write(self):
        await self.cache.read(["t/a"])
        task = await self.start_delayed(
            self.cache.transact([Write("t/a", ABSENT, b"1")])
        )
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.table.release_answers()
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"1"})

    async def test_read_from_before_an_unanswered_write_is_not_cached(self):
        reading = await self.start_delayed(self.cache.read(["t/a"]))
        self.table.delay_answers = False
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.table.release_answers()
        await reading
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"1"})


class RaceTest(CachedTableTestCase):
    async def test_read_that_comes_late_does_not_bring_back_an_older_row(self):
        await self.write_past_cache("t/a", b"1")
        reading = await self.start_delayed(self.cache.read(["t/a"]))
        self.table.delay_answers = False
        await self.cache.transact([Write("t/a", 1, b"2")])
        self.table.release_answers()
        self.assertEqual((await reading)["t/a"].value, b"2")
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"2"})

    async def test_read_that_comes_late_does_not_bring_back_a_removed_row(self):
        await self.write_past_cache("t/a", b"1")
        reading = await self.start_delayed(self.cache.read(["t/a"]))
        self.table.delay_answers = False
        other = Write("t/b", ABSENT, b"")
        await self.cache.transact([Write("t/a", 1, None), other])
        self.table.release_answers()
        self.assertEqual(await reading, {})
        self.assertEqual(await self.read_values("t/a"), {})

    async def test_read_that_comes_late_does_not_hide_a_new_row(self):
        reading = await self.start_delayed(self.cache.read(["t/a"]))
        self.table.delay_answers = False
        await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.table.release_answers()
        self.assertEqual((await reading)["t/a"].value, b"1")

    async def test_answer_that_comes_late_does_not_displace_a_newer_row(self):
        writing = await self.start_delayed(
            self.cache.transact([Write("t/a", ABSENT, b"1")])
        )
        version = await self.write_past_cache("t/a", b"2")
        self.cache.apply(TableChange([Row("t/a", version, b"2")], {}, version))
        self.table.release_answers()
        await writing
        self.assertEqual(await self.read_values("t/a"), {"t/a": b"2"})

    async def test_feed_moves_rows_forward_only(self):
        self.cache.apply(TableChange([Row("t/a", 5, b"5")], {"t/b": 6}, 6))
        self.cache.apply(TableChange([Row("t/a", 4, b"4")], {"t/a": 3}, 6))
        self.cache.apply(TableChange([Row("t/b", 5, b"old")], {}, 6))
        self.assertEqual(await self.read_values("t/a", "t/b"), {"t/a": b"5"})
        self.cache.apply(TableChange([Row("t/b", 8, b"8")], {"t/a": 7}, 8))
        self.assertEqual(await self.read_values("t/a", "t/b"), {"t/b": b"8"})
        self.assertEqual(self.table.counts.reads, 0)

    async def test_two_writers_count_together_and_lose_nothing(self):
        caches = [CachedTable(self.table), CachedTable(self.table)]
        rng = random.Random(3)
        self.table.faults.delay_seconds = 0.0001

        async def count(cache):
            conflicts = 0
            for _ in range(40):
                for _ in range(1000):
                    row = (await cache.read(["t/n"])).get("t/n")
                    number = int(row.value) if row else 0
                    expect = row.version if row else ABSENT
                    write = Write("t/n", expect, str(number + 1).encode())
                    try:
                        await cache.transact([write])
                        break
                    except TransactionConflictError:
                        conflicts += 1
                        await asyncio.sleep(rng.uniform(0, 0.001))
                else:
                    self.fail("no retry makes progress")
            return conflicts

        conflicts = await asyncio.gather(*map(count, caches))
        self.assertEqual(self.table.rows_by_key["t/n"].value, b"80")
        self.assertGreater(sum(conflicts), 0)
        self.assertEqual(self.table.counts.conflicts, sum(conflicts))
        self.assertLessEqual(self.table.counts.reads, 2)


KEYS = ("t/a", "t/b")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["write", "write", "remove", "other", "read", "feed", "land"]),
        st.sampled_from(KEYS),
        st.sampled_from(["ok", "ok", "ok", "lost", "late", "fails"]),
    ),
    max_size=40,
)


class TraceTest(unittest.TestCase):
    """Random traces of two writers, lost answers, delayed writes and a lagging feed."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(STEPS)
    def test_retries_reach_the_stores_row_and_versions_never_fall(self, steps):
        asyncio.run(self.run_steps(steps))

    async def run_steps(self, steps):
        table = DelayedTable()
        cache = CachedTable(table)
        feed_version, versions_by_key = 0, dict.fromkeys(KEYS, 0)
        for action, key, answer in steps:
            table.faults.lose_next = int(answer == "lost" and action != "other")
            table.faults.fail_next = int(answer == "fails" and action != "other")
            table.delay_next_writes = int(answer == "late")
            try:
                if action in {"write", "remove"}:
                    await self.change(cache, key, action == "write")
                elif action == "other":
                    table.delay_next_writes = 0
                    row = table.rows_by_key.get(key)
                    write = Write(key, row.version if row else ABSENT, b"other")
                    await table.transact([write])
                elif action == "read":
                    await cache.read(KEYS)
                elif action == "feed":
                    change = await table.feed("t", feed_version, 0.0)
                    cache.apply(change)
                    feed_version = change.version
                else:
                    await table.apply_delayed()
            except PlatformError:
                pass
            table.faults.lose_next = table.faults.fail_next = (
                table.delay_next_writes
            ) = 0
            for name, known in cache._entries_by_key.items():
                self.assertGreaterEqual(known.version, versions_by_key[name])
                versions_by_key[name] = known.version
        await table.apply_delayed()
        for key in KEYS:
            try:
                await self.change(cache, key, True)
            except TransactionConflictError:
                await self.change(cache, key, True)
        self.assertEqual(await cache.read(KEYS), table.rows_by_key)

    @staticmethod
    async def change(cache, key, write):
        row = (await cache.read([key])).get(key)
        expect = row.version if row else ABSENT
        value = b"mine" if write else None
        if value is None and row is None:
            return
        await cache.transact([Write(key, expect, value)])
