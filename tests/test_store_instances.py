"""Tests of the instance list over the in-memory table."""

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
        self.writer = self.open_list()
        self.reader = self.open_list()

    def open_list(self, ahead_seconds=0.0):
        """Return the instance list of another process.

        :param ahead_seconds: error of its wall clock.
        """
        return TableInstances(
            self.table,
            valid_seconds=VALID_SECONDS,
            clock=lambda: self.now,
            wall_clock=lambda: self.now + ahead_seconds,
        )

    async def listed_ids(self, reader=None):
        return [i.instance_id for i in await (reader or self.reader).fetch()]

    async def test_shows_entries_in_order_while_they_are_announced(self):
        for name in ("r/2", "r/1"):
            await self.writer.announce(instance(name))
        self.assertEqual(await self.reader.fetch(), [instance("r/1"), instance("r/2")])
        for _ in range(4):
            self.now += 3.0
            await self.writer.announce(instance("r/1"))
            listed_ids = await self.listed_ids()
        self.assertEqual(listed_ids, ["r/1"])
        self.now += VALID_SECONDS + 0.1
        self.assertEqual(await self.listed_ids(), [])
        await self.writer.announce(instance("r/2"))
        self.assertEqual(await self.listed_ids(), ["r/2"])

    async def test_new_reader_goes_by_the_time_stamp(self):
        await self.writer.announce(instance("old"))
        self.now += VALID_SECONDS + 0.1
        await self.writer.announce(instance("new"))
        self.assertEqual(await self.listed_ids(self.open_list()), ["new"])

    async def test_wrong_wall_clock_affects_only_the_first_announcement(self):
        behind = self.open_list(ahead_seconds=-3600.0)
        ahead = self.open_list(ahead_seconds=3600.0)
        await behind.announce(instance("behind"))
        await ahead.announce(instance("ahead"))
        self.assertEqual(await self.listed_ids(), ["ahead"])
        self.now += 1.0
        await behind.announce(instance("behind"))
        self.assertEqual(await self.listed_ids(), ["ahead", "behind"])
        self.now += VALID_SECONDS
        self.assertEqual(await self.listed_ids(), ["behind"])

    async def test_leaving_mark_is_kept_until_it_is_removed(self):
        operator = self.open_list()
        state = InstanceState.LEAVING
        self.assertFalse(await operator.set_state("r1", state))
        await self.writer.announce(instance("r1"))
        self.assertTrue(await operator.set_state("r1", state))
        await self.writer.announce(instance("r1"))
        (found,) = await self.reader.fetch()
        self.assertIs(found.state, InstanceState.LEAVING)
        self.assertTrue(await self.open_list().set_state("r1", InstanceState.LIVE))
        (found,) = await self.reader.fetch()
        self.assertIs(found.state, InstanceState.LIVE)

    async def test_outage_does_not_age_entries(self):
        await self.writer.announce(instance("r1"))
        self.assertEqual(await self.listed_ids(), ["r1"])
        self.table.faults.outage = True
        for _ in range(3):
            self.now += VALID_SECONDS
            with self.assertRaises(PlatformUnavailableError):
                await self.reader.fetch()
        self.table.faults.outage = False
        self.assertEqual(await self.listed_ids(), ["r1"])
        self.now += VALID_SECONDS + 0.1
        self.assertEqual(await self.listed_ids(), [])

    async def test_lost_answer_and_another_writer_do_not_stop_announcements(self):
        await self.writer.announce(instance("r1"))
        self.table.faults.lose_next = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.writer.announce(instance("r1"))
        await self.writer.announce(instance("r1"))
        successor = self.open_list()
        for _ in range(MAX_WRITE_TRIES):
            await successor.announce(instance("r1"))
            await self.writer.announce(instance("r1"))
        self.assertEqual(await self.listed_ids(), ["r1"])

    async def test_lost_history_is_replaced_by_a_snapshot(self):
        for name in ("r1", "r2"):
            await self.writer.announce(instance(name))
        await self.listed_ids()
        row = self.table.rows_by_key["instances/entry/r1"]
        await self.table.transact([Write(row.key, row.version, None)])
        self.table.forget_history()
        self.assertEqual(await self.listed_ids(), ["r2"])

    async def test_reader_reads_only_changes(self):
        await self.writer.announce(instance("r1"))
        for _ in range(10):
            await self.listed_ids()
        self.assertEqual(self.table.counts.scans, 1)

    async def test_rows_of_stale_instances_are_removed_with_their_marks(self):
        await self.writer.announce(instance("gone"))
        await self.writer.set_state("gone", InstanceState.LEAVING)
        await self.writer.announce(instance("here"))
        await self.listed_ids()
        self.now += VALID_SECONDS + REMOVAL_DELAY_SECONDS + 1.0
        await self.writer.announce(instance("here"))
        self.assertEqual(await self.listed_ids(), ["here"])
        self.assertEqual(list(self.table.rows_by_key), ["instances/entry/here"])
        await self.writer.announce(instance("gone"))
        (found, _) = await self.reader.fetch()
        self.assertEqual(found, instance("gone"))

    async def test_malformed_row_does_not_hide_other_entries(self):
        await self.writer.announce(instance("r1"))
        await self.table.transact([Write("instances/entry/x", 0, b"\xff")])
        self.assertEqual(await self.listed_ids(), ["r1"])
