"""Tests of the store's client against the platform's stand-in, with its faults."""

import asyncio
import time
import unittest

import aiohttp

from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.platform.store import FEED_SLACK_SECONDS, open_store
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin import PlatformStandin
from bluebellshore.standin.platform_faults import RateLimit
from bluebellshore.standin.platform_objects import OBJECT_BYTES, ObjectShelf
from bluebellshore.standin.platform_rows import HistoryGone, RowId, RowStore
from bluebellshore.store import ABSENT, Row, Write
from bluebellshore.store.interface import MAX_KEY_BYTES, MAX_ROW_BYTES

#: Ample for a call on a busy machine.
CALL_SECONDS = 20.0
#: A call's limit in tests of silence.
HASTY_SECONDS = 0.15
OTHER_CALLER = "127.0.0.2"


class StandinCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin(PlatformSettings())
        await self.standin.start()
        self.addAsyncCleanup(self.standin.stop)
        self.state = self.standin.state
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.url = f"http://{self.standin.address}"
        self.store = await self.open_store()

    async def open_store(self, call_seconds=CALL_SECONDS, **options):
        store = open_store(self.standin.address, call_seconds=call_seconds, **options)
        return await self.enterAsyncContext(store)

    async def faults(self, **faults):
        url = f"{self.url}/control/faults"
        async with self.session.post(url, json=faults) as response:
            self.assertEqual(response.status, 204, await response.text())

    async def ask(self, path, method="GET", body=None, **query):
        """Make a call without the client. :return: status and decoded body."""
        url = self.url + path
        async with self.session.request(
            method, url, params=query, json=body
        ) as response:
            is_json = response.content_type == "application/json"
            return response.status, await response.json() if is_json else None

    async def fill(self, table, count):
        """Write `count` rows in transactions of 50. :return: their keys."""
        keys = [f"{table}/{number:04d}" for number in range(count)]
        for start in range(0, count, 50):
            writes = [Write(key, ABSENT, b"v") for key in keys[start : start + 50]]
            await self.store.transact(writes)
        return keys


class TableTest(StandinCase):
    async def test_table(self):
        writes = [Write("t/a/é", ABSENT, b"\x00\xff"), Write("t/a/2", ABSENT, b"")]
        versions = await self.store.transact(writes)
        self.assertEqual(versions, {"t/a/é": 1, "t/a/2": 1})
        rows = await self.store.scan("t/a/", limit=1)
        self.assertEqual([row.key for row in rows], ["t/a/2"])
        rows_by_key = await self.store.read(["t/a/é", "t/b", "t/a", "t/a/é"])
        self.assertEqual(rows_by_key, {"t/a/é": Row("t/a/é", 1, b"\x00\xff")})
        with self.assertRaises(TransactionConflictError) as caught:
            await self.store.transact([*writes, Write("t/new", ABSENT, b"")])
        self.assertEqual(caught.exception.keys, ("t/a/é", "t/a/2"))
        present = {"t/a/é": Row("t/a/é", 1, b"\x00\xff"), "t/a/2": Row("t/a/2", 1, b"")}
        self.assertEqual(caught.exception.rows_by_key, present)
        self.assertEqual(await self.store.read(["t/new"]), {})

    async def test_versions_come_from_one_counter_also_after_a_removal(self):
        await self.store.transact([Write("t/a", 0, b"1"), Write("u/b", 0, b"")])
        made = await self.store.transact([Write("u/b", 1, b""), Write("t/a", 1, None)])
        self.assertEqual(made, {"u/b": 2, "t/a": 0})
        with self.assertRaises(TransactionConflictError) as caught:
            await self.store.transact([Write("t/a", 1, b"")])
        self.assertEqual(caught.exception.rows_by_key, {})
        made = await self.store.transact([Write("t/a", 0, b"2")])
        self.assertEqual(made, {"t/a": 3})

    async def test_scan_goes_on_over_pages_and_begins_anywhere(self):
        keys = await self.fill("t", 1201)
        await self.fill("u", 1)
        rows = await self.store.scan("t/", limit=2000)
        self.assertEqual([row.key for row in rows], keys)
        rows = await self.store.scan("t/", after=keys[99], limit=600)
        self.assertEqual([row.key for row in rows], keys[100:700])
        rows = await self.store.scan("t/01")
        self.assertEqual([row.key for row in rows], keys[100:200])
        rows = await self.store.scan("t/01", after=keys[5])
        self.assertEqual([row.key for row in rows], keys[100:200])
        for after in (keys[300], "u/0"):
            self.assertEqual(await self.store.scan("t/01", after=after), [])

    async def test_keys_at_the_end_of_the_alphabet(self):
        keys = ["t/\ud7ff", "t/\ud7ff\U0010ffff", "t/\ue000", "t/\U0010ffff"]
        await self.store.transact([Write(key, ABSENT, b"") for key in keys])
        for prefix in ("t/\ud7ff", "t/\U0010ffff"):
            rows = await self.store.scan(prefix)
            expected = [key for key in keys if key.startswith(prefix)]
            self.assertEqual([row.key for row in rows], expected)

    async def test_rows_of_other_parts_are_not_the_products(self):
        row_id = RowId("t", "elsewhere", "a")
        self.state.rows.transact({}, {row_id: b""}, [])
        await self.store.transact([Write("t/b", ABSENT, b"")])
        self.assertEqual(await self.store.read(["t/a"]), {})
        self.assertEqual(list((await self.store.snapshot("t")).rows_by_key), ["t/b"])
        change = await self.store.feed("t", 0, 0.0)
        self.assertEqual([row.key for row in change.rows], ["t/b"])

    async def test_what_the_platform_refuses(self):
        """The client would not send these; the stand-in refuses them by itself."""
        here = {"tableName": "t", "part": "", "key": "a"}
        there = here | {"part": "p"}
        large = "A" * (4 * (MAX_ROW_BYTES // 3 + 1))
        long = {"tableName": "t", "part": "", "key": "k" * (MAX_KEY_BYTES + 1)}
        many = [here | {"key": str(n), "value": ""} for n in range(101)]
        tables = [here | {"tableName": str(n), "value": ""} for n in range(100)]
        huge = [here | {"key": str(n), "value": large[:87000]} for n in range(12)]
        for body, expected in [
            ({"write": many}, 400),
            ({"write": many[:100]}, 200),
            ({"write": [here | {"value": large}]}, 400),
            ({"write": [here | {"value": "?"}]}, 400),
            ({"write": [long | {"value": ""}]}, 400),
            ({"write": [here | {"value": ""}], "remove": [here]}, 400),
            ({"write": huge}, 413),
            ({"remove": [here, there]}, 400),
            ({"remove": [here, there], "crossPartition": True}, 200),
            ({"write": tables}, 400),
        ]:
            status, _ = await self.ask("/rows-tx", "POST", body)
            self.assertEqual(status, expected, str(body)[:80])

    async def test_operators_tables_are_read_only(self):
        for table in ("op", "servers"):
            version = self.state.write_as_operator(table, "x", b"1")
            with self.assertRaises(PlatformError) as caught:
                await self.store.transact([Write(f"{table}/x", version, b"2")])
            self.assertNotIsInstance(caught.exception, PlatformUnavailableError)
            rows = await self.store.read([f"{table}/x"])
            self.assertEqual(rows[f"{table}/x"].value, b"1")

    async def test_parts_are_listed_in_pages(self):
        for number in range(1001):
            row_id = RowId("t", f"p{number:04d}", "a")
            self.state.rows.transact({}, {row_id: b""}, [])
        _, first = await self.ask("/rows-parts", tableName="t")
        self.assertEqual((len(first["parts"]), first["hasMore"]), (1000, True))
        last = {"tableName": "t", "startRevision": first["parts"][-1]}
        _, rest = await self.ask("/rows-parts", **last)
        self.assertEqual((rest["parts"], rest["hasMore"]), (["p1000"], False))

    async def test_counts_operations(self):
        await self.store.transact([Write("t/a", 0, b""), Write("t/b", 0, b"")])
        await self.store.scan("t/")
        _, counts = await self.ask("/control/stats")
        self.assertEqual(counts["transactions"], 1)
        self.assertEqual(counts["rows_written"], 2)
        self.assertEqual(counts["rows_read"], 2)


class FeedTest(StandinCase):
    async def test_snapshot_over_pages_then_changes(self):
        keys = await self.fill("t", 1101)
        snapshot = await self.store.snapshot("t")
        self.assertEqual(list(snapshot.rows_by_key), keys)
        row = snapshot.rows_by_key[keys[0]]
        await self.store.transact([Write(row.key, row.version, b"2")])
        await self.store.transact([Write("t/x", 0, b""), Write("u/x", 0, b"")])
        made = await self.store.transact([Write("t/x", snapshot.version + 2, None)])
        self.assertEqual(made, {"t/x": 0})
        change = await self.store.feed("t", snapshot.version, 0.0)
        self.assertEqual([(r.key, r.value) for r in change.rows], [(keys[0], b"2")])
        self.assertEqual(change.removed_by_key, {"t/x": snapshot.version + 3})
        self.assertEqual(change.version, snapshot.version + 3)

    async def test_wait_ends_with_the_first_change(self):
        waiting = asyncio.create_task(self.store.feed("t", 0, 20.0))
        await asyncio.sleep(0.05)
        await self.store.transact([Write("u/a", ABSENT, b"")])
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        await self.store.transact([Write("t/a", ABSENT, b"")])
        self.assertEqual((await waiting).rows, [Row("t/a", 2, b"")])

    async def test_wait_without_a_change_ends(self):
        change = await self.store.feed("t", 0, 0.05)
        self.assertEqual((change.rows, change.version), ([], 0))

    async def test_wait_longer_than_the_platforms_is_cut(self):
        await self.store.transact([Write("t/a", ABSENT, b"")])
        change = await self.store.feed("t", 0, 3600.0)
        self.assertEqual(len(change.rows), 1)

    async def test_many_changes_are_told_bit_by_bit_and_none_is_lost(self):
        keys = await self.fill("t", 1201)
        seen, version, calls = [], 0, 0
        while version < self.state.rows.version:
            change = await self.store.feed("t", version, 0.0)
            seen += [row.key for row in change.rows]
            version = change.version
            calls += 1
        self.assertEqual(seen, keys)
        self.assertGreater(calls, 1)

    async def test_forgotten_history_then_snapshot(self):
        await self.fill("t", 3)
        before = (await self.store.snapshot("t")).version
        await self.store.transact([Write("t/0001", 1, b"new")])
        await self.faults(forget_history=True)
        with self.assertRaises(HistoryLostError):
            await self.store.feed("t", before, 0.0)
        snapshot = await self.store.snapshot("t")
        self.assertEqual(snapshot.rows_by_key["t/0001"].value, b"new")
        await self.store.transact([Write("t/x", ABSENT, b"")])
        change = await self.store.feed("t", snapshot.version, 0.0)
        self.assertEqual([row.key for row in change.rows], ["t/x"])

    async def test_history_is_told_to_a_wait_that_it_leaves_behind(self):
        await self.fill("t", 1)
        waiting = asyncio.create_task(self.store.feed("u", 0, 20.0))
        await asyncio.sleep(0.05)
        await self.faults(forget_history=True)
        with self.assertRaises(HistoryLostError):
            await waiting

    async def test_history_is_kept_for_a_while(self):
        now = 0.0
        rows = RowStore(20.0, lambda: now)
        row_id = RowId("t", "", "a")
        closing = asyncio.Event()
        rows.transact({}, {row_id: b"1"}, [])
        now = 19.0
        rows.transact({}, {row_id: b"2"}, [])
        self.assertEqual(len(await rows.wait_changes("t", 0, 0.0, closing)), 2)
        now = 21.0
        with self.assertRaises(HistoryGone):
            await rows.wait_changes("t", 0, 0.0, closing)
        self.assertEqual(len(await rows.wait_changes("t", 1, 0.0, closing)), 1)


class ObjectTest(StandinCase):
    async def test_objects(self):
        self.assertTrue(await self.store.put("a/b c", b"1", if_absent=True))
        self.assertFalse(await self.store.put("a/b c", b"2", if_absent=True))
        self.assertEqual(await self.store.get("a/b c"), b"1")
        self.assertTrue(await self.store.put("a/b c", b"3"))
        self.assertEqual(await self.store.get("a/b c"), b"3")
        await self.store.delete("a/b c")
        await self.store.delete("a/b c")
        self.assertIsNone(await self.store.get("a/b c"))

    async def test_names_over_pages(self):
        names = [f"p/{number:04d}" for number in range(2001)]
        self.state.objects.data_by_name = dict.fromkeys([*names, "q"], b"")
        self.assertEqual(await self.store.names("p/"), names)
        self.assertEqual(await self.store.names("z"), [])

    async def test_object_too_large_and_no_room_are_refusals(self):
        with self.assertRaises(PlatformError) as caught:
            await self.store.put("a", bytes(OBJECT_BYTES + 1))
        self.assertNotIsInstance(caught.exception, PlatformUnavailableError)
        self.state.objects = ObjectShelf(shelf_bytes=3)
        await self.store.put("a", b"123")
        await self.store.put("a", b"456")
        with self.assertRaises(PlatformError) as caught:
            await self.store.put("b", b"7")
        self.assertNotIsInstance(caught.exception, PlatformUnavailableError)

    async def test_creator_of_an_object_whose_answer_is_lost_is_not_told_it_existed(
        self,
    ):
        await self.store.get("warm up the connection")
        await self.faults(lose_next=1)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.put("a", b"1", if_absent=True)
        self.assertEqual(await self.store.get("a"), b"1")


class FaultTest(StandinCase):
    """Each fault shows as the error that tells what is known."""

    async def unavailable(self, store=None):
        """Check that all calls fail. :return: the last error."""
        store = store or self.store
        for call in [
            lambda: store.read(["t/a"]),
            lambda: store.scan("t/"),
            lambda: store.snapshot("t"),
            lambda: store.feed("t", 0, 0.0),
            lambda: store.put("o", b"1"),
            lambda: store.transact([Write("t/a", ABSENT, b"1")]),
        ]:
            with self.assertRaises(PlatformUnavailableError) as caught:
                await call()
        return caught.exception

    async def test_outage_in_each_form_and_its_end(self):
        for outage in (True, "503", "429", "reset"):
            await self.faults(outage=outage)
            error = await self.unavailable()
            self.assertEqual(error.step, "store.transact")
            self.assertEqual(error.peer, self.standin.address)
        await self.faults(outage=False)
        self.assertEqual(await self.store.read(["t/a"]), {})
        self.assertIsNone(await self.store.get("o"))

    async def test_silent_store_ends_each_call_at_its_own_limit(self):
        hasty = await self.open_store(HASTY_SECONDS)
        hasty._object_timeout_seconds = HASTY_SECONDS
        await self.faults(outage="silent")
        started = time.monotonic()
        await self.unavailable(hasty)
        self.assertGreater(time.monotonic() - started, 5 * HASTY_SECONDS)
        await self.faults(outage=False)
        self.assertEqual(await self.store.read(["t/a"]), {})

    async def test_silent_store_ends_a_wait_soon_after_its_time(self):
        hasty = await self.open_store(HASTY_SECONDS)
        await self.faults(outage="silent")
        started = time.monotonic()
        with self.assertRaises(PlatformUnavailableError):
            await hasty.feed("t", 0, 0.2)
        self.assertGreater(time.monotonic() - started, 0.2 + FEED_SLACK_SECONDS - 0.01)

    async def test_host_that_takes_no_connection_ends_a_call(self):
        async def never(reader, writer):
            await reader.read()
            writer.close()

        server = await asyncio.start_server(never, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        store = open_store(f"{host}:{port}", call_seconds=HASTY_SECONDS)
        async with store as hung:
            with self.assertRaises(PlatformUnavailableError):
                await hung.read(["t/a"])
        server.close()
        async with open_store(f"{host}:{port}") as refused:
            with self.assertRaises(PlatformUnavailableError):
                await refused.read(["t/a"])

    async def test_outage_of_one_table_leaves_the_others(self):
        await self.faults(outage="503", tables=["t"])
        with self.assertRaises(PlatformUnavailableError):
            await self.store.read(["t/a"])
        with self.assertRaises(PlatformUnavailableError):
            await self.store.transact([Write("u/a", 0, b""), Write("t/a", 0, b"")])
        await self.store.transact([Write("u/a", 0, b"")])
        await self.store.put("o", b"")
        await self.faults(tables=[], spared_tables=["u"])
        await self.store.read(["u/a"])
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("o")
        await self.faults(tables=["objects"])
        with self.assertRaises(PlatformUnavailableError):
            await self.store.get("o")
        self.assertEqual(await self.store.read(["t/a"]), {})

    async def test_refused_caller_while_others_are_served(self):
        other = await self.open_store(HASTY_SECONDS, local_host=OTHER_CALLER)
        other._object_timeout_seconds = HASTY_SECONDS
        for refusal in ("503", "429", "reset", "silent"):
            await self.faults(refused_callers=[OTHER_CALLER], refusal=refusal)
            await self.unavailable(other)
            self.assertEqual(await self.store.read(["t/a"]), {})
        await self.faults(refused_callers=[])
        patient = await self.open_store(local_host=OTHER_CALLER)
        self.assertEqual(await patient.read(["t/a"]), {})

    async def test_lost_answer_after_the_effect(self):
        await self.faults(lose_next=1)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.transact([Write("t/a", ABSENT, b"1")])
        self.assertEqual(list(await self.store.read(["t/a"])), ["t/a"])
        self.assertEqual(self.state.counts.transactions, 1)

    async def test_failure_before_the_effect(self):
        await self.faults(fail_next=1)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.transact([Write("t/a", ABSENT, b"1")])
        self.assertEqual(await self.store.read(["t/a"]), {})

    async def test_late_write_takes_effect_while_its_condition_holds(self):
        await self.faults(late_next=2, late_seconds=1.5)
        for key in ("t/a", "t/b"):
            with self.assertRaises(PlatformUnavailableError):
                await self.store.transact([Write(key, ABSENT, b"late")])
        self.assertEqual(await self.store.read(["t/a", "t/b"]), {})
        await self.store.transact([Write("t/b", ABSENT, b"first")])
        await asyncio.gather(*self.state.late)
        rows_by_key = await self.store.read(["t/a", "t/b"])
        values = {key: row.value for key, row in rows_by_key.items()}
        self.assertEqual(values, {"t/a": b"late", "t/b": b"first"})

    async def test_slow_answer_is_unavailable(self):
        await self.faults(delay_seconds=30)
        hasty = await self.open_store(0.05)
        with self.assertRaises(PlatformUnavailableError):
            await hasty.read(["t/a"])

    async def test_write_takes_effect_after_its_caller_has_given_up(self):
        await self.faults(delay_seconds=0.5)
        hasty = await self.open_store(0.25)
        with self.assertRaises(PlatformUnavailableError):
            await hasty.transact([Write("t/a", ABSENT, b"1")])
        await asyncio.sleep(0.5)
        self.assertEqual(list(await self.store.read(["t/a"])), ["t/a"])

    async def test_rate_limit_is_unavailable(self):
        self.state.writes = RateLimit(1e-9)
        with self.assertRaises(PlatformUnavailableError) as caught:
            await self.store.transact([Write("t/a", ABSENT, b"1")])
        self.assertIn("429", caught.exception.message)
        self.assertEqual(await self.store.scan("t/"), [])
        self.state.reads = RateLimit(1e-9)
        with self.assertRaises(PlatformUnavailableError):
            await self.store.scan("t/")

    async def test_part_takes_transactions_one_after_another(self):
        await self.faults(part_writes_per_second=4)
        self.state.parts._clock = lambda: 0.0
        writes = [Write(f"t/{number}", ABSENT, b"") for number in range(12)]
        results = await asyncio.gather(
            *(self.store.transact([write]) for write in writes), return_exceptions=True
        )
        refused = [r for r in results if isinstance(r, PlatformUnavailableError)]
        self.assertEqual(len(results) - len(refused), 5)
        for error in refused:
            self.assertIn("429", error.message)
        self.assertEqual(len(await self.store.scan("t/")), 5)

    async def test_lost_connection_serves_no_later_call(self):
        """A call that timed out does not hand its answer to the next one."""
        hasty = await self.open_store(HASTY_SECONDS)
        await self.store.transact([Write("t/a", ABSENT, b"1")])
        await self.faults(delay_seconds=3 * HASTY_SECONDS)
        with self.assertRaises(PlatformUnavailableError):
            await hasty.read(["t/a"])
        await self.faults(delay_seconds=0)
        await asyncio.sleep(3 * HASTY_SECONDS)
        hasty._calls._call_seconds = CALL_SECONDS
        self.assertEqual(await hasty.read(["t/b"]), {})
        row = (await hasty.read(["t/a"]))["t/a"]
        self.assertEqual(row.value, b"1")
