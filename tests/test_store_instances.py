"""Tests of the instance list in rows, over the in-memory table."""

import unittest

from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.store import (
    Instance,
    InstanceRole,
    InstanceState,
    MemoryTable,
    TableInstances,
    Write,
)
from bluebellshore.store.instances import MAX_WRITE_TRIES, REMOVAL_DELAY_SECONDS

VALID_SECONDS = 5.0


def instance(name):
    return Instance(name, InstanceRole.ROUTER, "zone-a", "127.0.0.1:1")


class TableInstancesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.now = 100.0
        self.writer = self.open()
        self.reader = self.open()

    def open(self, ahead_seconds=0.0):
        """Return a list of a process whose wall clock is ahead."""
        return TableInstances(
            self.table,
            valid_seconds=VALID_SECONDS,
            clock=lambda: self.now,
            wall_clock=lambda: self.now + ahead_seconds,
        )

    async def shown(self, reader=None):
        return [i.instance_id for i in await (reader or self.reader).fetch()]

    async def test_shows_entries_in_order_while_they_are_announced(self):
        for name in ("r/2", "r/1"):
            await self.writer.announce(instance(name))
        self.assertEqual(await self.reader.fetch(), [instance("r/1"), instance("r/2")])
        for _ in range(4):
            self.now += 3.0
            await self.writer.announce(instance("r/1"))
            shown = await self.shown()
        self.assertEqual(shown, ["r/1"])
        self.now += VALID_SECONDS + 0.1
        self.assertEqual(await self.shown(), [])
        await self.writer.announce(instance("r/2"))
        self.assertEqual(await self.shown(), ["r/2"])

    async def test_new_reader_goes_by_the_time_stamp(self):
        await self.writer.announce(instance("old"))
        self.now += VALID_SECONDS + 0.1
        await self.writer.announce(instance("new"))
        self.assertEqual(await self.shown(self.open()), ["new"])

    async def test_clock_that_is_off_misleads_for_one_announcement_only(self):
        behind = self.open(ahead_seconds=-3600.0)
        ahead = self.open(ahead_seconds=3600.0)
        await behind.announce(instance("behind"))
        await ahead.announce(instance("ahead"))
        self.assertEqual(await self.shown(), ["ahead"])
        self.now += 1.0
        await behind.announce(instance("behind"))
        self.assertEqual(await self.shown(), ["ahead", "behind"])
        self.now += VALID_SECONDS
        self.assertEqual(await self.shown(), ["behind"])

    async def test_mark_outlasts_announcements_until_it_is_taken_back(self):
        operator = self.open()
        state = InstanceState.LEAVING
        self.assertFalse(await operator.set_state("r1", state))
        await self.writer.announce(instance("r1"))
        self.assertTrue(await operator.set_state("r1", state))
        await self.writer.announce(instance("r1"))
        (shown,) = await self.reader.fetch()
        self.assertIs(shown.state, InstanceState.LEAVING)
        self.assertTrue(await self.open().set_state("r1", InstanceState.LIVE))
        (shown,) = await self.reader.fetch()
        self.assertIs(shown.state, InstanceState.LIVE)

    async def test_outage_ages_no_entry(self):
        await self.writer.announce(instance("r1"))
        self.assertEqual(await self.shown(), ["r1"])
        self.table.faults.outage = True
        for _ in range(3):
            self.now += VALID_SECONDS
            with self.assertRaises(PlatformUnavailableError):
                await self.reader.fetch()
        self.table.faults.outage = False
        self.assertEqual(await self.shown(), ["r1"])
        self.now += VALID_SECONDS + 0.1
        self.assertEqual(await self.shown(), [])

    async def test_lost_answer_and_another_writer_do_not_stop_announcements(self):
        await self.writer.announce(instance("r1"))
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.writer.announce(instance("r1"))
        await self.writer.announce(instance("r1"))
        successor = self.open()
        for _ in range(MAX_WRITE_TRIES):
            await successor.announce(instance("r1"))
            await self.writer.announce(instance("r1"))
        self.assertEqual(await self.shown(), ["r1"])

    async def test_forgotten_history_shows_the_whole_list_anew(self):
        for name in ("r1", "r2"):
            await self.writer.announce(instance(name))
        await self.shown()
        row = self.table.rows_by_key["instances/entry/r1"]
        await self.table.transact([Write(row.key, row.version, None)])
        self.table.forget_history()
        self.assertEqual(await self.shown(), ["r2"])

    async def test_reader_asks_for_changes_only(self):
        await self.writer.announce(instance("r1"))
        for _ in range(10):
            await self.shown()
        self.assertEqual(self.table.counts.scans, 1)

    async def test_rows_of_instances_long_gone_are_removed_with_their_marks(self):
        await self.writer.announce(instance("gone"))
        await self.writer.set_state("gone", InstanceState.LEAVING)
        await self.writer.announce(instance("here"))
        await self.shown()
        self.now += VALID_SECONDS + REMOVAL_DELAY_SECONDS + 1.0
        await self.writer.announce(instance("here"))
        self.assertEqual(await self.shown(), ["here"])
        self.assertEqual(list(self.table.rows_by_key), ["instances/entry/here"])
        await self.writer.announce(instance("gone"))
        (shown, _) = await self.reader.fetch()
        self.assertEqual(shown, instance("gone"))

    async def test_row_that_is_no_entry_hides_no_other(self):
        await self.writer.announce(instance("r1"))
        await self.table.transact([Write("instances/entry/x", 0, b"\xff")])
        self.assertEqual(await self.shown(), ["r1"])
