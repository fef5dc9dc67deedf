"""Tests of entry routers as processes, and of rows that they get from peers."""

import asyncio
import signal
from unittest import mock

import bluebellshore.entry.__main__ as entry_main
from bluebellshore.load.fleet import wait_until
from bluebellshore.settings import ProxySettings
from bluebellshore.standin import FaultProxy, ProxyFaultChange
from bluebellshore.standin.operator import StandinCustomer, StandinRoute
from bluebellshore.standin.runner import event_of, plain_answer_of
from tests.entry_system import KEY, ROUTES, EntryTestCase


class EntrySignalsTest(EntryTestCase):
    async def process(self, **settings):
        self.configure()
        for service in ("plain", "streams"):
            await self.add_runner(f"{service}-a", service, **settings)
        instance = await self.start_process(self.make_instance())
        await self.wait_until_serving(instance)
        return instance

    def call_later(self, instance, path, attempt):
        return asyncio.create_task(
            self.call(instance, path, "POST", b"x", self.headers(attempt))
        )

    async def test_stop_cuts_no_request_and_makes_the_instance_not_ready(self):
        instance = await self.process()
        self.assertEqual(200, await self.readiness_status(instance))
        for runner in self.runners:
            runner.gate.clear()
        plain, stream = self.new_attempt_id(), self.new_attempt_id()
        tasks = [
            self.call_later(instance, "/unsafe/a", plain),
            self.call_later(instance, "/stream/a", stream),
        ]
        await wait_until(
            lambda: self.count_runs(plain) and self.count_runs(stream), "the runs"
        )
        stop = asyncio.create_task(instance.process.terminate())

        async def not_ready():
            return await self.readiness_status(instance) == 503

        await wait_until(not_ready, "an instance that is not ready")
        # Callers may still arrive until the platform has noticed.
        late = self.new_attempt_id()
        self.runners[0].gate.set()
        answers = await asyncio.gather(
            tasks[0], self.call_later(instance, "/unsafe/a", late)
        )
        for attempt, (status, _, body) in zip((plain, late), answers, strict=True):
            self.assertEqual((200, plain_answer_of(attempt, b"x")), (status, body))
        self.assertEqual("close", answers[1][1]["Connection"].lower())
        self.runners[1].gate.set()
        status, _, body = await tasks[1]
        whole = b"".join(event_of(stream, number) for number in range(1, 6))
        self.assertEqual((200, whole), (status, body))
        self.assertEqual(0, await stop)

    async def test_signals_in_series_cut_no_request(self):
        instance = await self.process()
        self.runners[0].gate.clear()
        attempt = self.new_attempt_id()
        task = self.call_later(instance, "/unsafe/a", attempt)
        await wait_until(lambda: self.count_runs(attempt), "the run")
        instance.process.reload()
        instance.process.reload()
        stop = asyncio.create_task(instance.process.terminate())
        instance.process.reload()
        instance.process._send(signal.SIGTERM)
        self.runners[0].gate.set()
        status, _, body = await task
        self.assertEqual((200, plain_answer_of(attempt, b"x")), (status, body))
        self.assertEqual(0, await stop)

    async def test_reload_while_it_starts_changes_nothing(self):
        kept = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, kept)
        mask = signal.pthread_sigmask(signal.SIG_BLOCK, ())
        self.addCleanup(signal.pthread_sigmask, signal.SIG_SETMASK, mask)
        seen = []
        with mock.patch(
            "bluebellshore.entry.router.serve",
            lambda: seen.append(signal.getsignal(signal.SIGHUP)),
        ):
            self.assertEqual(0, entry_main.main())
        self.assertEqual([signal.SIG_IGN], seen)

    async def test_reload_while_it_ends_changes_nothing(self):
        instance = await self.process()
        process = instance.process
        stop = asyncio.create_task(process.terminate())
        while process.running:
            process.reload()
            await asyncio.sleep(0.002)
        self.assertEqual(0, await stop)

    async def test_reload_reads_the_settings_file(self):
        instance = await self.process()

        async def reload_until(line):
            await wait_until(
                lambda: any(line in text for text in instance.process.output), line
            )

        instance.write(retry_extra=5.0)
        instance.process.reload()
        await reload_until('"reloaded"')
        instance.path.write_bytes(b"{")
        instance.process.reload()
        await reload_until('"refused"')
        status, _, _ = await self.call(instance, "/safe/a")
        self.assertEqual(200, status)

    async def test_prepaid_is_never_exceeded_over_kill_and_restart(self):
        prepaid, cost = 2000, 100
        self.configure(customers=[StandinCustomer("acme", (KEY,), prepaid)])
        runner = await self.add_runner("plain-a", slots=8)
        instance = self.make_instance()

        async def spend(stop):
            statuses = []
            while not stop.is_set():
                headers = self.headers(self.new_attempt_id(), X_Token_Usage="60,40")
                try:
                    status, _, _ = await self.call(instance, "/safe/a", headers=headers)
                    statuses.append(status)
                except OSError:
                    status = 0
                if status != 200:
                    await asyncio.sleep(0.05)
            return statuses

        statuses = []
        for _ in range(3):
            await self.start_process(instance)
            await self.wait_until_serving(instance)
            before = sum(runner.runs.values())
            stop = asyncio.Event()
            tasks = [asyncio.create_task(spend(stop)) for _ in range(3)]
            await wait_until(
                lambda was=before: sum(runner.runs.values()) > was, "a run"
            )
            await instance.process.kill()
            stop.set()
            for seen in await asyncio.gather(*tasks):
                statuses += seen
        await self.start_process(instance)
        await self.wait_until_serving(instance)
        while 402 not in statuses:
            stop = asyncio.Event()
            task = asyncio.create_task(spend(stop))
            await asyncio.sleep(0.3)
            stop.set()
            statuses += await task
        charged = [
            seen
            for seen in runner.arrivals
            if seen.ran and "x-token-usage" in seen.headers
        ]
        self.assertIn(200, statuses)
        self.assertIn(402, statuses)
        self.assertLessEqual(len(charged) * cost, prepaid)


class RowsFromPeersTest(EntryTestCase):
    """One router reaches the store; the other reaches only the first router."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.configure(1)
        for name in ("a", "b"):
            await self.add_runner(f"plain-{name}")
        self.proxy = FaultProxy(ProxySettings(upstream=self.store.address))
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.proxy.apply(ProxyFaultChange(refuse_new=True))
        self.near = self.make_instance("entry-near")
        self.cut = self.make_instance("entry-cut", store=self.proxy.address)
        for instance, other in ((self.near, self.cut), (self.cut, self.near)):
            instance.peers = (other.peer,)
            instance.write()
            await self.start_router(instance)
        await self.wait_until_synced(self.near)

    def number(self, instance):
        return instance.router.snapshot()["configuration"]

    async def wait_configuration(self, number):
        await wait_until(
            lambda: [number] * 2 == [self.number(self.near), self.number(self.cut)],
            f"configuration {number} at both",
        )

    async def status(self, instance, path):
        status, _, _ = await self.call(instance, path)
        return status

    async def test_configuration_reaches_a_router_without_the_store(self):
        await self.wait_configuration(1)
        await self.wait_until_synced(self.near)
        await wait_until(
            lambda: self.cut.router.snapshot()["versions"]["servers"] >= 0, "servers"
        )
        self.assertEqual(200, await self.status(self.cut, "/safe/a"))
        self.assertEqual(200, await self.readiness_status(self.cut))
        self.configure(4, [*ROUTES[1:], StandinRoute("/new/", "safe", "plain")])
        await self.wait_configuration(4)
        self.assertEqual(200, await self.status(self.cut, "/new/a"))
        self.assertEqual(404, await self.status(self.cut, "/safe/a"))

    async def test_configuration_never_goes_back(self):
        self.configure(4, ROUTES[1:])
        await self.wait_configuration(4)
        self.configure(3)
        await self.wait_until_synced(self.near)
        self.proxy.apply(ProxyFaultChange(refuse_new=False))
        await self.wait_until_synced(self.cut)
        for instance in (self.near, self.cut):
            self.assertEqual(4, self.number(instance))
            self.assertEqual(404, await self.status(instance, "/safe/a"))

    async def test_router_that_lost_its_peer_and_the_store_serves_on(self):
        await self.wait_configuration(1)
        await wait_until(
            lambda: self.cut.router.snapshot()["versions"]["servers"] >= 0, "servers"
        )
        await self.near.router.stop()
        self.assertEqual(200, await self.status(self.cut, "/safe/a"))
