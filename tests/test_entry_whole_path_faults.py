"""End-to-end tests of an entry router when answers or the store are lost."""

import aiohttp

from bluebellshore.load.fleet import wait_until
from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.runner import RunnerFault, event_of, plain_answer_of
from tests.entry_system import CUSTOMERS, ROUTES, EntryTestCase


class EntryLostAnswersTest(EntryTestCase):
    FAULTS = (
        RunnerFault.LOST,
        RunnerFault.GARBLED,
        RunnerFault.BROKEN,
        RunnerFault.SILENT,
    )

    async def test_unsafe_request_never_runs_twice(self):
        instance = await self.start_system()
        for fault in self.FAULTS:
            with self.subTest(fault.value):
                attempt = self.new_attempt_id()
                for runner in self.runners:
                    runner.faults.clear()
                    runner.faults.append(fault)
                status, _, _ = await self.call(
                    instance,
                    "/unsafe/a",
                    "POST",
                    b"x",
                    self.headers(attempt, deadline_ms=1500),
                )
                self.assertIn(status, (502, 504))
                self.assertEqual(1, self.count_runs(attempt))

    async def test_safe_request_is_repeated(self):
        instance = await self.start_system()
        for fault in self.FAULTS[:3]:
            with self.subTest(fault.value):
                attempt = self.new_attempt_id()
                self.runners[0].faults.clear()
                self.runners[1].faults.clear()
                # Either server may be chosen first, and the other one may fail as well.
                self.runners[0].faults.append(fault)
                self.runners[1].faults.append(fault)
                status, _, body = await self.call(
                    instance, "/safe/a", headers=self.headers(attempt)
                )
                self.assertEqual((200, plain_answer_of(attempt, b"")), (status, body))
                self.assertGreater(self.count_runs(attempt), 1)
                self.assertLessEqual(self.count_runs(attempt), 3)

    async def test_bytes_after_an_answer_are_not_taken_as_another_answer(self):
        instance = await self.start_system()
        for runner in self.runners:
            runner.faults.extend([RunnerFault.EXTRA] * 5)
        for _ in range(20):
            attempt = self.new_attempt_id()
            status, _, body = await self.call(
                instance, "/unsafe/a", "POST", b"x", self.headers(attempt)
            )
            self.assertEqual((200, plain_answer_of(attempt, b"x")), (status, body))
            self.assertEqual(1, self.count_runs(attempt))

    async def test_broken_resumable_stream_is_resumed_at_another_server(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        for runner in self.runners:
            runner.faults.append(RunnerFault.BROKEN)
        status, headers, body = await self.call(
            instance, "/resumed/a", "POST", b"x", self.headers(attempt)
        )
        self.assertEqual(200, status)
        self.assertEqual(b"".join(event_of(attempt, n) for n in range(1, 6)), body)
        runs = sorted(self.arrivals_of(attempt), key=lambda seen: seen.at)
        self.assertGreater(len(runs), 1)
        self.assertEqual("2", runs[1].headers["last-event-id"])
        self.assertTrue(headers["X-Runner-Signature"].startswith(runs[0].runner_id))

    async def test_broken_stream_that_is_not_resumable_is_cut(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        for runner in self.runners:
            runner.faults.append(RunnerFault.BROKEN)
        with self.assertRaises(aiohttp.ClientError):
            await self.call(instance, "/stream/a", "POST", b"x", self.headers(attempt))
        self.assertEqual(1, self.count_runs(attempt))

    async def test_caller_resumes_a_stream(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        headers = self.headers(attempt) | {"Last-Event-Id": "3"}
        _, _, body = await self.call(instance, "/resumed/a", "POST", b"x", headers)
        self.assertEqual(event_of(attempt, 4) + event_of(attempt, 5), body)


class EntryConfigurationTest(EntryTestCase):
    async def status(self, instance, path):
        status, _, _ = await self.call(instance, path)
        return status

    async def test_new_configuration_comes_into_force(self):
        instance = await self.start_system()
        self.assertEqual(404, await self.status(instance, "/new/a"))
        added = StandinRoute("/new/", "safe", "plain")
        self.configure(2, [*ROUTES[1:], added])
        await self.wait_until_synced(instance)
        self.assertEqual(200, await self.status(instance, "/new/a"))
        self.assertEqual(404, await self.status(instance, "/safe/a"))
        self.configure(5, ROUTES, [])
        await self.wait_until_synced(instance)
        self.assertEqual(401, await self.status(instance, "/safe/a"))

    async def test_older_configuration_is_ignored(self):
        instance = await self.start_system(number=3)
        self.configure(2, [StandinRoute("/old/", "safe", "plain")])
        await self.wait_until_synced(instance)
        self.assertEqual(200, await self.status(instance, "/safe/a"))
        self.assertEqual(404, await self.status(instance, "/old/a"))

    async def test_serves_on_while_the_store_is_out(self):
        instance = await self.start_system()
        self.store.state.faults.outage = True
        await wait_until(
            lambda: instance.router.snapshot()["store_lost"], "the store's loss"
        )
        for path in ("/safe/a", "/stream/a"):
            self.assertEqual(200, await self.status(instance, path))
        self.store.state.faults.outage = False
        self.configure(2, ROUTES[1:], CUSTOMERS)
        await self.wait_until_synced(instance)
        self.assertEqual(404, await self.status(instance, "/safe/a"))

    async def test_table_is_read_again_when_its_history_is_lost(self):
        instance = await self.start_system()
        self.configure(2, ROUTES[1:], CUSTOMERS)
        self.store.state.rows.forget_history()
        await self.wait_until_synced(instance)
        self.assertEqual(404, await self.status(instance, "/safe/a"))
        self.assertEqual(200, await self.status(instance, "/unsafe/a"))
