"""End-to-end tests of requests that crash backend servers, on a quiet service."""

import asyncio

import aiohttp

from bluebellshore.load.fleet import wait_until
from bluebellshore.standin.runner import RunnerFault, RunnerSettings, StandinRunner
from tests.entry_system import EntryTestCase

DEADLY = b"deadly"
SERVERS = 3
#: Longest time from a crash until all routers know of it.
KNOWN_SECONDS = 2.0
#: Longest time until a server that lives is known to have lived on.
SETTLED_SECONDS = 3.5


class CrashingRunner(StandinRunner):
    """A backend server that crashes when it begins to run the deadly request."""

    async def _run(self, request, seen):
        if seen.body == DEADLY:
            self.crashed = asyncio.create_task(self.crash())
            await asyncio.sleep(60.0)
        return await super()._run(request, seen)


class CrashingRequestTest(EntryTestCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure()
        self.lives = 0
        for _ in range(SERVERS):
            await self.start_runner()
        first, second = self.make_instance("entry-1"), self.make_instance("entry-2")
        first.peers, second.peers = (second.peer,), (first.peer,)
        first.write()
        second.write()
        self.routers = [await self.start_router(first), await self.start_router(second)]
        await self.wait_until_synced(*self.routers)
        for instance in self.routers:
            await wait_until(lambda i=instance: i.router.snapshot()["peers"], "peers")

    async def start_runner(self):
        self.lives += 1
        settings = RunnerSettings("plain")
        runner = CrashingRunner(f"life-{self.lives}", settings, self.entries)
        await runner.start()
        self.addAsyncCleanup(runner.crash)
        self.runners.append(runner)

    def count_crashes(self):
        return sum(
            seen.ran and seen.body == DEADLY
            for runner in self.runners
            for seen in runner.arrivals
        )

    async def send(self, router, body=DEADLY):
        """Send an order. :return: its status; 0 if its connection was closed."""
        before = self.count_crashes()
        try:
            status, _, _ = await self.call(router, "/unsafe/a", "POST", body)
        except aiohttp.ClientError:
            status = 0
        if self.count_crashes() > before:
            await self.start_runner()
        return status

    # review/1: each router saw one connection break, and nothing confirmed the crash.
    async def test_order_that_crashes_each_server_is_refused_after_two(self):
        for number in range(5):
            status = await self.send(self.routers[number % 2])
            self.assertEqual(status, 502 if number < 2 else 503)
            await asyncio.sleep(KNOWN_SECONDS)
        self.assertEqual(self.count_crashes(), 2)
        self.assertEqual(await self.send(self.routers[0], b"sound"), 200)

    # review/5: a router that had restarted passed on what all others refused.
    async def test_router_that_restarts_refuses_it_as_well(self):
        for number in range(2):
            await self.send(self.routers[number])
            await asyncio.sleep(KNOWN_SECONDS)
        for number in (0, 1, 0):
            instance = self.routers[number]
            await instance.router.stop()
            await self.start_router(instance)
            await self.wait_until_synced(instance)
            await wait_until(lambda i=instance: i.router.snapshot()["peers"], "peers")
            await asyncio.sleep(KNOWN_SECONDS)
            self.assertEqual(await self.send(instance), 503)
        self.assertEqual(self.count_crashes(), 2)

    async def test_routers_that_all_start_anew_refuse_it_as_well(self):
        for number in range(2):
            await self.send(self.routers[number])
            await asyncio.sleep(KNOWN_SECONDS)
        await asyncio.gather(*(instance.router.stop() for instance in self.routers))
        for instance in self.routers:
            await self.start_router(instance)
        await self.wait_until_synced(*self.routers)
        await asyncio.sleep(KNOWN_SECONDS)
        for instance in self.routers:
            self.assertEqual(await self.send(instance), 503)
        self.assertEqual(self.count_crashes(), 2)

    async def test_order_whose_connections_break_on_servers_that_live_is_served(self):
        for _ in range(2):
            for runner in self.runners:
                runner.faults.append(RunnerFault.BROKEN)
            self.assertEqual(await self.send(self.routers[0], b"sound"), 502)
            for runner in self.runners:
                runner.faults.clear()
            await asyncio.sleep(SETTLED_SECONDS)
        self.assertEqual(await self.send(self.routers[1], b"sound"), 200)
