"""End-to-end tests of an entry router with callers, a store and backend servers."""

import asyncio
import collections

from bluebellshore.load.fleet import wait_until
from bluebellshore.platform.names import RESERVED_HEADERS
from bluebellshore.standin.operator import StandinRoute
from bluebellshore.standin.runner import RunnerFault, event_of, plain_answer_of
from tests.entry_system import KEY, ROUTES, EntryTestCase

#: Objective and limits of a request that is never refused for want of time.
PATIENT_SECONDS = 600.0
#: Headers that a router sets on each request to a backend server.
SET_HEADERS = {"x-tenant", "x-expected-runner", "x-deadline-ms"}


class EntryRequestsTest(EntryTestCase):
    async def test_safe_request_is_answered_whole(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        status, headers, body = await self.call(
            instance, "/safe/a?b=c%2F", headers=self.headers(attempt)
        )
        self.assertEqual(200, status)
        self.assertEqual(plain_answer_of(attempt, b""), body)
        (seen,) = self.arrivals_of(attempt)
        self.assertEqual(("GET", "/safe/a?b=c%2F"), (seen.method, seen.target))
        self.assertEqual(attempt, headers["X-Attempt-Id"])
        self.assertTrue(headers["X-Runner-Signature"].startswith(seen.runner_id))
        self.assertEqual("done", seen.outcome)

    async def test_unsafe_request_is_answered_whole_and_runs_once(self):
        instance = await self.start_system()
        attempt, sent = self.new_attempt_id(), bytes(range(256)) * 200
        status, _, body = await self.call(
            instance, "/unsafe/a", "POST", sent, self.headers(attempt)
        )
        self.assertEqual((200, plain_answer_of(attempt, sent)), (status, body))
        (seen,) = self.arrivals_of(attempt)
        self.assertEqual(("POST", sent), (seen.method, seen.body))

    async def test_body_in_chunks_reaches_the_backend_server(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()

        async def chunks():
            for number in range(5):
                yield f"chunk {number}".encode()

        async with self.session.post(
            f"{instance.url}/unsafe/a", data=chunks(), headers=self.headers(attempt)
        ) as response:
            self.assertEqual(200, response.status)
        (seen,) = self.arrivals_of(attempt)
        self.assertEqual(b"".join([part async for part in chunks()]), seen.body)

    async def test_stream_is_answered_whole_and_in_order(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        status, headers, body = await self.call(
            instance, "/stream/a", "POST", b"prompt", self.headers(attempt)
        )
        self.assertEqual(200, status)
        self.assertEqual("text/event-stream", headers["Content-Type"].split(";")[0])
        self.assertEqual(b"".join(event_of(attempt, n) for n in range(1, 6)), body)
        self.assertEqual(1, self.count_runs(attempt))

    async def test_events_are_passed_on_as_they_come(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        for runner in self.runners:
            runner.gate.clear()
        async with self.session.post(
            f"{instance.url}/stream/a", headers=self.headers(attempt)
        ) as response:
            first = event_of(attempt, 1)
            self.assertEqual(first, await response.content.readexactly(len(first)))
            for runner in self.runners:
                runner.gate.set()
            rest = await response.read()
        self.assertEqual(b"".join(event_of(attempt, n) for n in range(2, 6)), rest)

    async def test_many_requests_at_once_get_their_own_answers(self):
        route = StandinRoute(
            "/safe/",
            "safe",
            "plain",
            timeout_seconds=PATIENT_SECONDS,
            objective_seconds=PATIENT_SECONDS,
        )
        instance = await self.start_system(routes=(route, *ROUTES[1:]))
        attempts = [self.new_attempt_id() for _ in range(60)]

        async def send(attempt):
            return await self.call(
                instance,
                "/safe/a",
                "POST",
                attempt.encode(),
                self.headers(attempt, deadline_ms=int(PATIENT_SECONDS * 1000)),
            )

        answers = await asyncio.gather(*(send(attempt) for attempt in attempts))
        served, refusals = 0, collections.Counter()
        for attempt, (status, _, body) in zip(attempts, answers, strict=True):
            # The backend servers have eight slots; a request that can't wait for one in
            # time is refused without having run.
            self.assertIn(status, (200, 503))
            self.assertEqual(status == 200, self.count_runs(attempt) == 1)
            if status == 200:
                served += 1
                self.assertEqual(plain_answer_of(attempt, attempt.encode()), body)
            else:
                refusals[body] += 1
        self.assertGreaterEqual(served, 8, refusals)

    async def test_headers_of_the_fleet_cannot_be_forged(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        forged = {name: "forged" for name in RESERVED_HEADERS - SET_HEADERS}
        forged |= {"X-Tenant": "rival", "X-Expected-Runner": "other"}
        own = self.headers(attempt)
        status, _, _ = await self.call(instance, "/safe/a", headers=forged | own)
        self.assertEqual(200, status)
        (seen,) = self.arrivals_of(attempt)
        self.assertEqual("acme", seen.headers["x-tenant"])
        self.assertEqual(seen.runner_id, seen.headers["x-expected-runner"])
        self.assertLessEqual(int(seen.headers["x-deadline-ms"]), 8000)
        self.assertEqual(set(), (RESERVED_HEADERS - SET_HEADERS) & seen.headers.keys())
        self.assertNotIn(KEY, str(seen.headers))

    async def test_other_headers_are_passed_on(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        sent = self.headers(attempt, X_Model="m", X_Own="value")
        await self.call(instance, "/safe/a", headers=sent)
        (seen,) = self.arrivals_of(attempt)
        self.assertEqual("m", seen.headers["x-model"])
        self.assertEqual("value", seen.headers["x-own"])

    async def test_failure_of_a_backend_server_is_passed_on(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        for runner in self.runners:
            runner.faults.append(RunnerFault.FAILED)
        status, headers, body = await self.call(
            instance, "/unsafe/a", "POST", b"x", self.headers(attempt)
        )
        self.assertEqual((500, b"failed\n"), (status, body))
        self.assertIn("X-Runner-Signature", headers)
        self.assertEqual(1, self.count_runs(attempt))


class EntryRefusalsTest(EntryTestCase):
    async def check_refused(self, instance, expected, path, **headers):
        attempt = self.new_attempt_id()
        status, answered, _ = await self.call(
            instance, path, headers=self.headers(attempt, **headers)
        )
        self.assertEqual(expected, status)
        self.assertNotIn("X-Runner-Signature", answered)
        self.assertEqual([], self.arrivals_of(attempt))

    async def test_unknown_key_is_refused(self):
        instance = await self.start_system()
        await self.check_refused(instance, 401, "/safe/a", key="unknown")
        await self.check_refused(instance, 401, "/safe/a", key="")

    async def test_anonymous_route_needs_no_key_and_names_no_customer(self):
        instance = await self.start_system()
        attempt = self.new_attempt_id()
        headers = self.headers(attempt, key="", X_Tenant="rival")
        status, _, _ = await self.call(instance, "/open/a", headers=headers)
        self.assertEqual(200, status)
        (seen,) = self.arrivals_of(attempt)
        self.assertNotIn("x-tenant", seen.headers)

    async def test_unknown_route_is_refused(self):
        instance = await self.start_system()
        await self.check_refused(instance, 404, "/elsewhere/a")
        await self.check_refused(instance, 404, "/safe/a", Host="other.example")

    async def test_without_a_configuration_nothing_is_served_yet(self):
        await self.add_runner("plain-a")
        instance = await self.start_router(self.make_instance())
        await self.check_refused(instance, 503, "/safe/a")
        self.assertEqual(503, await self.readiness_status(instance))
        self.configure()
        await self.wait_until_synced(instance)
        self.assertEqual(200, await self.readiness_status(instance))
        status, _, _ = await self.call(instance, "/safe/a")
        self.assertEqual(200, status)

    async def test_request_refused_by_a_full_backend_server_goes_to_another(self):
        self.configure()
        full = await self.add_runner("plain-a", slots=8)
        # Its entry claims more slots than it has.
        full.settings.slots, full.settings.queued = 0, 0
        full.heard = False
        free = await self.add_runner("plain-b", slots=8)
        self.entries.write("servers", "plain-a", self._entry(full))
        instance = await self.start_router(self.make_instance())
        await self.wait_until_synced(instance)
        for _ in range(20):
            attempt = self.new_attempt_id()
            status, _, _ = await self.call(
                instance, "/unsafe/a", "POST", b"x", self.headers(attempt)
            )
            self.assertEqual(200, status)
            self.assertEqual((0, 1), (full.runs[attempt], free.runs[attempt]))
        self.assertTrue(full.arrivals)

    async def test_refusal_by_all_backend_servers_means_not_run(self):
        self.configure()
        runner = await self.add_runner("plain-a", slots=8)
        runner.heard = False
        self.entries.write("servers", "plain-a", self._entry(runner))
        runner.settings.slots, runner.settings.queued = 0, 0
        instance = await self.start_router(self.make_instance())
        await self.wait_until_synced(instance)
        attempt = self.new_attempt_id()
        status, headers, _ = await self.call(
            instance, "/unsafe/a", "POST", b"x", self.headers(attempt)
        )
        self.assertEqual(503, status)
        self.assertIn("Retry-After", headers)
        self.assertEqual(0, self.count_runs(attempt))
        self.assertTrue(self.arrivals_of(attempt))

    def _entry(self, runner):
        return {
            "service": "plain",
            "address": runner.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
        }


class EntryBackendServersTest(EntryTestCase):
    async def test_disconnect_of_the_caller_ends_the_run(self):
        instance = await self.start_system()
        for path, method in (("/safe/a", "GET"), ("/stream/a", "POST")):
            with self.subTest(path):
                await self.check_disconnect(instance, path, method)

    async def check_disconnect(self, instance, path, method):
        attempt = self.new_attempt_id()
        for runner in self.runners:
            runner.gate.clear()
        task = asyncio.create_task(
            self.call(instance, path, method, headers=self.headers(attempt))
        )
        await wait_until(lambda: self.count_runs(attempt), "the run")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        (seen,) = self.arrivals_of(attempt)
        await wait_until(lambda: seen.outcome == "left", "the end of the run")
        self.assertEqual(1, self.count_runs(attempt))

    async def check_served(self, instance, count=20):
        for _ in range(count):
            attempt = self.new_attempt_id()
            status, _, _ = await self.call(
                instance, "/unsafe/a", "POST", b"x", self.headers(attempt)
            )
            self.assertEqual(200, status)
            self.assertEqual(1, self.count_runs(attempt))

    async def test_draining_backend_server_gets_nothing_new(self):
        instance = await self.start_system()
        await self.check_served(instance)
        leaving = self.runners[0]
        before = len(leaving.arrivals)
        self.assertTrue(before)
        await leaving.drain()
        await self.wait_until_synced(instance)
        await self.check_served(instance)
        self.assertEqual(before, len(leaving.arrivals))

    async def test_request_at_a_draining_backend_server_is_finished(self):
        instance = await self.start_system()
        for runner in self.runners:
            runner.gate.clear()
        attempt = self.new_attempt_id()
        task = asyncio.create_task(
            self.call(instance, "/unsafe/a", "POST", b"x", self.headers(attempt))
        )
        await wait_until(lambda: self.count_runs(attempt), "the run")
        for runner in self.runners:
            await runner.drain()
        await self.wait_until_synced(instance)
        for runner in self.runners:
            runner.gate.set()
        status, _, body = await task
        self.assertEqual((200, plain_answer_of(attempt, b"x")), (status, body))

    async def test_removed_backend_server_gets_nothing_new(self):
        instance = await self.start_system()
        gone = self.runners[0]
        gone.heard = False
        self.entries.remove(gone.runner_id)
        await self.wait_until_synced(instance)
        before = len(gone.arrivals)
        await self.check_served(instance)
        self.assertEqual(before, len(gone.arrivals))

    async def test_requests_avoid_a_crashed_backend_server(self):
        instance = await self.start_system()
        await self.check_served(instance)
        await self.runners[0].crash()
        await self.check_served(instance)

    async def test_misdirected_request_goes_to_another_backend_server(self):
        instance = await self.start_system()
        # The entry of a removed backend server has an address that another one uses.
        other = await self.add_runner("other-a", "other")
        entry = {
            "service": "plain",
            "address": other.address,
            "zone": "zone-a",
            "version": "1",
            "slots": 4,
            "state": "ready",
            "coldRemainingMs": 0,
            "seq": 1,
        }
        self.entries.write("servers", "plain-gone", entry)
        await self.wait_until_synced(instance)
        await self.check_served(instance, 30)
        self.assertEqual({"misdirected"}, {seen.outcome for seen in other.arrivals})

    async def test_malformed_entry_is_ignored_and_the_others_stay(self):
        instance = await self.start_system()
        self.entries.write("servers", "strange", {"service": "plain", "slots": "no"})
        self.store.state.write_as_operator("servers", "bytes", b"\xff\x00")
        await self.wait_until_synced(instance)
        await self.check_served(instance)

    async def test_requests_that_share_an_attempt_id_leave_others_alone(self):
        # The latency objective is long enough for all requests to wait.
        route = StandinRoute(
            "/open/",
            "safe",
            "plain",
            anonymous=True,
            objective_seconds=60.0,
            timeout_seconds=90.0,
        )
        self.configure(routes=[route])
        runner = await self.add_runner("plain-a", slots=1)
        instance = await self.start_router(self.make_instance())
        await self.wait_until_synced(instance)
        runner.gate.clear()
        # The first request runs, and the others with its attempt id wait.
        shared_id = self.headers(self.new_attempt_id(), deadline_ms=60_000)
        tasks = [
            asyncio.create_task(self.call(instance, "/open/a", headers=shared_id))
            for _ in range(4)
        ]
        await wait_until(lambda: runner.at_work, "the run")
        other = asyncio.create_task(self.call(instance, "/open/a"))
        await asyncio.sleep(0.1)
        runner.gate.set()
        status, _, _ = await other
        self.assertEqual(200, status)
        for status, _, _ in await asyncio.gather(*tasks):
            self.assertEqual(200, status)
