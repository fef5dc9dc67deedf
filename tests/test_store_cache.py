"""Tests of the table that remembers rows, over the in-memory one."""

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


class HeldTable(MemoryTable):
    """Table whose answers are held back, and whose writes may be late.

    :ivar hold: answers of reads and transactions wait until :meth:`release`.
    """

    def __init__(self):
        super().__init__()
        self.hold = False
        self.late_next = 0
        self.late = []
        self._released = asyncio.Event()

    async def read(self, keys):
        rows = await super().read(keys)
        await self._wait()
        return rows

    async def transact(self, writes):
        if self.late_next:
            self.late_next -= 1
            self.late.append(list(writes))
            raise PlatformUnavailableError("late", step="table.transact")
        try:
            return await super().transact(writes)
        finally:
            await self._wait()

    async def land(self):
        """Try the late transactions."""
        late, self.late = self.late, []
        for writes in late:
            try:
                await super().transact(writes)
            except TransactionConflictError:
                pass

    def release(self):
        """Give the answers held back."""
        self.hold = False
        self._released.set()

    async def _wait(self):
        if self.hold:
            await self._released.wait()


class CacheCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = HeldTable()
        self.cache = CachedTable(self.table)

    async def put(self, key, value):
        """Write a row past the cache. :return: its version."""
        row = self.table.rows_by_key.get(key)
        write = Write(key, row.version if row else ABSENT, value)
        return (await MemoryTable.transact(self.table, [write]))[key]

    async def values(self, *keys):
        rows = await self.cache.read(keys)
        return {key: row.value for key, row in rows.items()}

    async def asks(self, *keys):
        """Return how many reads the store sees for a read of `keys`."""
        before = self.table.counts.reads
        await self.cache.read(keys)
        return self.table.counts.reads - before

    async def held(self, call):
        """Begin a call whose answer is held back."""
        self.table.hold = True
        task = asyncio.ensure_future(call)
        await asyncio.sleep(0.01)
        return task


class MemoryTest(CacheCase):
    async def test_known_rows_and_known_absence_are_not_asked_for_again(self):
        version = await self.put("t/a", b"1")
        rows = await self.cache.read(["t/a", "t/b"])
        self.assertEqual(rows, {"t/a": Row("t/a", version, b"1")})
        self.assertEqual(await self.cache.read(["t/a", "t/b"]), rows)
        self.assertEqual(self.table.counts.reads, 1)
        self.table.faults.outage = True
        self.assertEqual(await self.cache.read(["t/b", "t/a"]), rows)
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.read(["t/a", "t/c"])

    async def test_only_unknown_keys_are_read(self):
        await self.put("t/a", b"1")
        await self.put("t/b", b"2")
        await self.cache.read(["t/a"])
        self.assertEqual(await self.values("t/a", "t/b"), {"t/a": b"1", "t/b": b"2"})
        self.assertEqual(self.table.counts.rows_read, 2)

    async def test_rows_of_a_scan_are_known(self):
        await self.put("t/a", b"1")
        await self.cache.scan("t/")
        self.assertEqual(await self.asks("t/a"), 0)

    async def test_own_writes_are_known_and_follow_each_other_without_a_read(self):
        version = ABSENT
        for value in (b"1", b"2", b"3"):
            version = (await self.cache.transact([Write("t/a", version, value)]))["t/a"]
            self.assertEqual(await self.values("t/a"), {"t/a": value})
        other = Write("t/b", ABSENT, b"")
        await self.cache.transact([Write("t/a", version, None), other])
        self.assertEqual(await self.values("t/a", "t/b"), {"t/b": b""})
        await self.cache.transact([Write("t/a", ABSENT, b"4")])
        self.assertEqual(await self.values("t/a"), {"t/a": b"4"})
        self.assertEqual(self.table.counts.reads, 0)

    async def test_least_recently_used_keys_are_forgotten(self):
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

    async def test_read_of_more_keys_than_are_remembered_is_whole(self):
        cache = CachedTable(self.table, max_keys=2)
        keys = [f"t/{n}" for n in range(6)]
        for key in keys:
            await self.put(key, key.encode())
        for _ in range(2):
            rows = await cache.read(keys)
            self.assertEqual([rows[key].value.decode() for key in keys], keys)

    async def test_forgotten_keys_are_asked_for(self):
        await self.cache.read(["t/a"])
        await self.put("t/a", b"1")
        self.assertEqual(await self.values("t/a"), {})
        self.cache.invalidate(["t/a"])
        self.assertEqual(await self.values("t/a"), {"t/a": b"1"})
        await self.put("t/a", b"2")
        self.cache.invalidate_all()
        self.assertEqual(await self.values("t/a"), {"t/a": b"2"})


class ConflictTest(CacheCase):
    async def test_conflict_brings_all_rows_so_that_a_retry_makes_progress(self):
        mine = [Write("t/a", ABSENT, b"m"), Write("t/b", ABSENT, b"m")]
        made = await self.cache.transact([*mine, Write("t/c", ABSENT, b"m")])
        await self.put("t/a", b"theirs")
        await self.put("t/b", b"theirs")
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

    async def test_conflict_that_shows_no_rows_has_them_read_again(self):
        await self.cache.read(["t/a"])
        await self.put("t/a", b"1")

        class Terse(MemoryTable):
            async def transact(_, writes):
                raise TransactionConflictError(["t/a"], step="table.transact")

        self.cache._table = Terse()
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", ABSENT, b"")])
        self.cache._table = self.table
        self.assertEqual(await self.values("t/a"), {"t/a": b"1"})

    async def test_row_remembered_at_a_version_too_high_gives_way(self):
        """Else each retry would be refused for ever."""
        await self.put("t/a", b"1")
        self.cache.apply(TableChange([Row("t/a", 99, b"wrong")], {}, 99))
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", 99, b"2")])
        row = (await self.cache.read(["t/a"]))["t/a"]
        await self.cache.transact([Write("t/a", row.version, b"2")])

    async def test_row_remembered_though_absent_gives_way(self):
        self.cache.apply(TableChange([Row("t/a", 99, b"wrong")], {}, 99))
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", 99, b"2")])
        self.assertEqual(await self.values("t/a"), {})
        await self.cache.transact([Write("t/a", ABSENT, b"2")])

    async def test_late_conflict_does_not_displace_what_a_feed_told_meanwhile(self):
        await self.put("t/a", b"1")
        call = self.cache.transact([Write("t/a", ABSENT, b"")])
        conflict = await self.held(call)
        version = await self.put("t/a", b"2")
        self.cache.apply(TableChange([Row("t/a", version, b"2")], {}, version))
        self.table.release()
        with self.assertRaises(TransactionConflictError):
            await conflict
        self.assertEqual(await self.values("t/a"), {"t/a": b"2"})

    async def test_late_conflict_ends_what_a_lagging_feed_told_of_a_removed_row(self):
        version = await self.put("t/a", b"1")
        await MemoryTable.transact(self.table, [Write("t/a", version, None)])
        call = self.cache.transact([Write("t/a", version, b"2")])
        conflict = await self.held(call)
        self.cache.apply(TableChange([Row("t/a", version, b"1")], {}, version))
        self.table.release()
        with self.assertRaises(TransactionConflictError):
            await conflict
        self.assertEqual(await self.values("t/a"), {})

    async def test_refusal_without_a_conflict_is_asked_for_again(self):
        await self.cache.read(["t/a"])
        with self.assertRaises(PlatformError):
            await self.cache.transact([Write("t/a", 0, b"1"), Write("t/a", 0, b"2")])
        self.assertEqual(await self.asks("t/a"), 1)


class UnansweredTest(CacheCase):
    async def test_write_whose_answer_is_lost_is_read_again(self):
        await self.cache.read(["t/a", "t/b"])
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.assertEqual(await self.asks("t/b"), 0)
        self.assertEqual(await self.values("t/a"), {"t/a": b"1"})

    async def test_write_that_lands_late_is_seen_by_the_next_conflict(self):
        self.table.late_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"late")])
        self.assertEqual(await self.values("t/a"), {})
        await self.table.land()
        with self.assertRaises(TransactionConflictError):
            await self.cache.transact([Write("t/a", ABSENT, b"mine")])
        self.assertEqual(await self.values("t/a"), {"t/a": b"late"})

    async def test_caller_that_gives_up_leaves_nothing_certain(self):
        await self.cache.read(["t/a"])
        task = await self.held(self.cache.transact([Write("t/a", ABSENT, b"1")]))
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.table.release()
        self.assertEqual(await self.values("t/a"), {"t/a": b"1"})

    async def test_read_from_before_an_unanswered_write_is_not_remembered(self):
        reading = await self.held(self.cache.read(["t/a"]))
        self.table.hold = False
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.table.release()
        await reading
        self.assertEqual(await self.values("t/a"), {"t/a": b"1"})


class RaceTest(CacheCase):
    async def test_read_that_comes_late_does_not_bring_back_an_older_row(self):
        await self.put("t/a", b"1")
        reading = await self.held(self.cache.read(["t/a"]))
        self.table.hold = False
        await self.cache.transact([Write("t/a", 1, b"2")])
        self.table.release()
        self.assertEqual((await reading)["t/a"].value, b"2")
        self.assertEqual(await self.values("t/a"), {"t/a": b"2"})

    async def test_read_that_comes_late_does_not_bring_back_a_removed_row(self):
        await self.put("t/a", b"1")
        reading = await self.held(self.cache.read(["t/a"]))
        self.table.hold = False
        other = Write("t/b", ABSENT, b"")
        await self.cache.transact([Write("t/a", 1, None), other])
        self.table.release()
        self.assertEqual(await reading, {})
        self.assertEqual(await self.values("t/a"), {})

    async def test_read_that_comes_late_does_not_hide_a_new_row(self):
        reading = await self.held(self.cache.read(["t/a"]))
        self.table.hold = False
        await self.cache.transact([Write("t/a", ABSENT, b"1")])
        self.table.release()
        self.assertEqual((await reading)["t/a"].value, b"1")

    async def test_answer_that_comes_late_does_not_displace_a_newer_row(self):
        writing = await self.held(self.cache.transact([Write("t/a", ABSENT, b"1")]))
        version = await self.put("t/a", b"2")
        self.cache.apply(TableChange([Row("t/a", version, b"2")], {}, version))
        self.table.release()
        await writing
        self.assertEqual(await self.values("t/a"), {"t/a": b"2"})

    async def test_feed_moves_rows_forward_only(self):
        self.cache.apply(TableChange([Row("t/a", 5, b"5")], {"t/b": 6}, 6))
        self.cache.apply(TableChange([Row("t/a", 4, b"4")], {"t/a": 3}, 6))
        self.cache.apply(TableChange([Row("t/b", 5, b"old")], {}, 6))
        self.assertEqual(await self.values("t/a", "t/b"), {"t/a": b"5"})
        self.cache.apply(TableChange([Row("t/b", 8, b"8")], {"t/a": 7}, 8))
        self.assertEqual(await self.values("t/a", "t/b"), {"t/b": b"8"})
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
    """Random traces of two writers with lost and late answers, and a lagging feed."""

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(STEPS)
    def test_retries_reach_the_stores_row_and_versions_never_fall(self, steps):
        asyncio.run(self.follow(steps))

    async def follow(self, steps):
        table = HeldTable()
        cache = CachedTable(table)
        fed, seen = 0, dict.fromkeys(KEYS, 0)
        for action, key, answer in steps:
            table.faults.lose_next = int(answer == "lost" and action != "other")
            table.faults.fail_next = int(answer == "fails" and action != "other")
            table.late_next = int(answer == "late")
            try:
                if action in {"write", "remove"}:
                    await self.change(cache, key, action == "write")
                elif action == "other":
                    table.late_next = 0
                    row = table.rows_by_key.get(key)
                    write = Write(key, row.version if row else ABSENT, b"other")
                    await table.transact([write])
                elif action == "read":
                    await cache.read(KEYS)
                elif action == "feed":
                    change = await table.feed("t", fed, 0.0)
                    cache.apply(change)
                    fed = change.version
                else:
                    await table.land()
            except PlatformError:
                pass
            table.faults.lose_next = table.faults.fail_next = table.late_next = 0
            for name, known in cache._entries_by_key.items():
                self.assertGreaterEqual(known.version, seen[name])
                seen[name] = known.version
        await table.land()
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
