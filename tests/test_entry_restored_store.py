"""Tests of an entry router whose store comes back from an older copy of itself."""

import asyncio

from bluebellshore.load.fleet import wait_until
from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.runner import RunnerSettings, StandinRunner
from tests.entry_system import HEARTBEAT_SECONDS, ROUTES, EntryTestCase

#: Age of the copies; the lost span lies between the start of a test's changes and it.
COPY_AGE_SECONDS = 1.0
#: Longest wait for a change that takes a second or two.
WAIT_SECONDS = 20.0
NEW_ROUTE = StandinRoute("/new/", "safe", "plain")
NEWER_ROUTE = StandinRoute("/newer/", "safe", "plain")


class RestoredStoreTest(EntryTestCase):
    async def start_with_changes_to_lose(self, routes=(*ROUTES, NEW_ROUTE)):
        """Start a router, and confirm a configuration that no old copy has."""
        instance = await self.start_system()
        await asyncio.sleep(2 * COPY_AGE_SECONDS)
        self.configure(2, routes)
        await self.wait_until_status(instance, "/new/a", 200)
        return instance

    async def wait_until_status(self, instance, path, wanted):
        async def reached():
            return (await self.call(instance, path))[0] == wanted

        await wait_until(
            reached, f"status {wanted} of {path}", limit_seconds=WAIT_SECONDS
        )

    def restore(self):
        """Come back from a copy without the latest changes."""
        self.store.state.rows.restore(COPY_AGE_SECONDS)

    def servers_of(self, instance):
        return set(instance.router.snapshot()["servers"])

    async def wait_until_restored(self, instance):
        await wait_until(
            lambda: instance.router.snapshot()["store_era"] == 1, "the new era"
        )
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def test_change_after_a_restore_is_not_in_force(self):
        # Its row has a version below the one that the router knew.
        instance = await self.start_with_changes_to_lose()
        self.restore()
        self.entries.write_again()
        self.configure(3, (*ROUTES, NEW_ROUTE, NEWER_ROUTE))
        await self.wait_until_status(instance, "/newer/a", 200)

    async def test_change_is_missed_when_its_version_is_given_out_again(self):
        # The store has all versions again before the router asks for changes.
        instance = await self.start_with_changes_to_lose()
        self.store.state.faults.outage = True
        self.restore()
        self.entries.write_again()
        self.configure(3, (*ROUTES, NEW_ROUTE, NEWER_ROUTE))
        for _ in range(200):
            self.store.state.write_as_operator("other", "row", b"")
        self.store.state.faults.outage = False
        await self.wait_until_status(instance, "/newer/a", 200)

    async def test_confirmed_configuration_comes_back_older(self):
        instance = await self.start_with_changes_to_lose()
        self.restore()
        await self.wait_until_restored(instance)
        status, _, _ = await self.call(instance, "/new/a")
        self.assertEqual(200, status)

    async def test_server_that_left_comes_back_as_ready(self):
        instance = await self.start_system()
        await asyncio.sleep(2 * COPY_AGE_SECONDS)
        leaving, gone = self.runners[0], self.runners[2]
        leaving.heard = gone.heard = False
        await leaving.drain()
        await gone.stop()
        await wait_until(
            lambda: gone.runner_id not in self.servers_of(instance), "its removal"
        )
        self.store.state.faults.outage = True
        self.restore()
        self.store.state.faults.outage = False
        await self.wait_until_restored(instance)
        servers = instance.router.snapshot()["servers"]
        self.assertEqual("draining", servers[leaving.runner_id]["state"])
        self.assertNotIn(gone.runner_id, servers)

    async def test_server_that_came_in_the_lost_span_is_forgotten(self):
        instance = await self.start_system()
        await asyncio.sleep(2 * COPY_AGE_SECONDS)
        new = StandinRunner("new", RunnerSettings("plain"), self.entries)
        await new.start()
        self.addAsyncCleanup(new.crash)
        await wait_until(lambda: "new" in self.servers_of(instance), "its entry")
        new.heard = False
        self.restore()
        await self.wait_until_restored(instance)
        self.assertIn("new", self.servers_of(instance))
