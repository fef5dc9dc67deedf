"""Tests of requests that reach an entry router while it stops."""

import asyncio
import os
import socket
from unittest import mock

import aiohttp

from bluebellshore.entry import router, stop_schedule
from bluebellshore.load.fleet import wait_until
from bluebellshore.platform.settings import SETTINGS_VARIABLE
from tests.entry_system import HOST, KEY, EntryTestCase

#: Longer than a stopping router accepts all requests; tests shorten that to 0.1 s.
ACCEPTING_SECONDS = 0.5
#: Grace period of the stop; the routes allow a request more time.
STOP_SECONDS = 5.0
SHORT_DEADLINE_MS = 1000
LONG_DEADLINE_MS = 600_000
#: Answer that the router buffers whole, as the sockets of a test hold less.
BUFFERED_ANSWER = b"x" * 48 * 1024
SOCKET_BYTES = 4096
#: Time for which a caller doesn't read; a stop without requests takes less.
UNREAD_SECONDS = 2.0


class KeptConnection:
    """A caller's connection that stays open between requests."""

    def __init__(self, instance):
        self._instance = instance

    async def open(self):
        host, _, port = self._instance.listen.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(host, int(port))
        return self

    def send(self, path, attempt, deadline_ms, more_headers=""):
        self.send_part(path, attempt, deadline_ms, more_headers)
        self.send_rest()

    def send_part(self, path, attempt, deadline_ms, more_headers=""):
        """Send the head of a request without the empty line that ends it."""
        self._writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{more_headers}".encode()
        )

    def send_rest(self):
        """Send the end of a head."""
        self._writer.write(b"\r\n")

    async def read_status(self):
        """Return the status of the next answer; 0 if the connection was closed."""
        try:
            line = await self._reader.readline()
        except ConnectionError:
            return 0
        return int(line.split()[1]) if line else 0

    async def read_rest(self):
        """Return the bytes until the end of the connection."""
        return await self._reader.read()

    async def read_plain(self):
        """Read an answer with a length. :return: its status."""
        status = await self.read_status()
        head = await self._reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        await self._reader.readexactly(length)
        return status

    def close(self):
        self._writer.close()


class LateRequestTest(EntryTestCase):
    async def stop_with_a_stream(self, stop_seconds=STOP_SECONDS):
        """Start to stop a router that has a stream in flight and a kept connection."""
        instance = await self.start_system()
        instance.write(stop_seconds=stop_seconds)
        with mock.patch.dict(os.environ, {SETTINGS_VARIABLE: str(instance.path)}):
            instance.router.reload()
        for runner in self.runners:
            if runner.settings.streaming:
                runner.gate.clear()
        self.addCleanup(self.open_gates)
        kept = await KeptConnection(instance).open()
        self.addCleanup(kept.close)
        kept.send("/safe/a", self.new_attempt_id(), 8000)
        self.assertEqual(200, await kept.read_plain())
        early = self.new_attempt_id()
        self.early = asyncio.create_task(
            self.call(instance, "/stream/a", headers=self.headers(early))
        )
        self.addCleanup(self.early.cancel)
        await wait_until(lambda: self.count_runs(early), "the early stream")
        self.stop = asyncio.create_task(instance.router.stop())
        self.addAsyncCleanup(asyncio.wait_for, self.stop, None)
        await asyncio.sleep(ACCEPTING_SECONDS)
        return instance, kept

    def open_gates(self):
        for runner in self.runners:
            runner.gate.set()

    async def test_stream_begun_late_in_a_stop_is_not_passed_on_and_cut(self):
        # A stopping router passed on what it couldn't finish before its SIGKILL.
        patch = mock.patch.object(router, "DRAIN_IDLE_SECONDS", 600.0)
        patch.start()
        self.addCleanup(patch.stop)
        _, kept = await self.stop_with_a_stream()
        late = self.new_attempt_id()
        kept.send("/stream/a", late, LONG_DEADLINE_MS)
        status = asyncio.create_task(kept.read_status())
        await wait_until(
            lambda: status.done() or self.count_runs(late), "an answer or a run"
        )
        self.assertEqual(0, self.count_runs(late))
        self.assertEqual(503, await status)
        self.open_gates()

    async def test_kept_connection_is_closed_once_late_requests_are_refused(self):
        _, kept = await self.stop_with_a_stream(stop_seconds=20.0)
        self.assertEqual(b"", await kept.read_rest())
        # Streams that were accepted before go on.
        self.open_gates()
        self.assertEqual(200, (await self.early)[0])

    async def test_late_caller_that_waits_to_send_its_body_is_refused_without_it(self):
        instance, _ = await self.stop_with_a_stream()
        late = await KeptConnection(instance).open()
        self.addCleanup(late.close)
        late.send(
            "/stream/a",
            self.new_attempt_id(),
            LONG_DEADLINE_MS,
            "Content-Length: 1\r\nExpect: 100-continue\r\n",
        )
        self.assertEqual(503, await late.read_status())
        self.open_gates()

    async def test_new_connection_late_in_a_stop_gets_an_answer_or_a_refusal(self):
        instance, _ = await self.stop_with_a_stream()
        statuses = {}
        for path, deadline_ms in (
            ("/safe/a", SHORT_DEADLINE_MS),
            ("/stream/a", LONG_DEADLINE_MS),
        ):
            attempt = self.new_attempt_id()
            headers = self.headers(attempt, deadline_ms=deadline_ms)
            status, answer, _ = await self.call(instance, path, headers=headers)
            self.assertEqual("close", answer["Connection"].lower())
            statuses[path] = status, self.count_runs(attempt)
        self.assertEqual({"/safe/a": (200, 1), "/stream/a": (503, 0)}, statuses)
        self.open_gates()

    # Another operator's router passed late requests on and cut them at the end.
    async def test_no_order_sent_late_in_a_stop_is_passed_on_and_cut(self):
        instance, _ = await self.stop_with_a_stream()
        # Runs end neither in the grace period nor by their deadline.
        for runner in self.runners:
            runner.gate.clear()
        orders = []
        while not self.stop.done() and len(orders) < 200:
            for deadline_ms in (SHORT_DEADLINE_MS, LONG_DEADLINE_MS):
                attempt = self.new_attempt_id()
                headers = self.headers(attempt, deadline_ms=deadline_ms)
                sent = asyncio.create_task(
                    self.call(instance, "/unsafe/a", "POST", b"x", headers)
                )
                orders.append((attempt, deadline_ms, sent))
            await asyncio.sleep(0.1)
        outcomes = await asyncio.gather(
            *(sent for _, _, sent in orders), return_exceptions=True
        )
        refused = answered = 0
        for (attempt, deadline_ms, _), outcome in zip(orders, outcomes, strict=True):
            runs = self.count_runs(attempt)
            if isinstance(outcome, aiohttp.ClientError):
                # The port is closed in the end, and what wasn't read with it.
                self.assertEqual(runs, 0)
                continue
            status, _, _ = outcome
            self.assertEqual(status, 504 if runs else 503)
            if deadline_ms == LONG_DEADLINE_MS:
                self.assertEqual(runs, 0)
            refused += not runs
            answered += runs
        self.assertGreater(refused, 20)
        self.assertGreater(answered, 10)
        self.open_gates()

    # A request that was read while the router closed its connections ran and was cut.
    async def test_request_that_comes_as_the_router_closes_is_not_passed_on(self):
        instance = await self.start_system()
        for runner in self.runners:
            runner.gate.clear()
        attempt = self.new_attempt_id()
        late = await KeptConnection(instance).open()
        self.addCleanup(late.close)
        late.send_part("/safe/a", attempt, SHORT_DEADLINE_MS)
        ingress = instance.router._ingress
        end_requests = ingress.end_requests

        def send_rest(*, sent):
            end_requests(sent=sent)
            if sent:
                late.send_rest()

        with mock.patch.object(ingress, "end_requests", send_rest):
            await instance.router.stop()
        # Closed without an answer if it was read too late to be refused.
        self.assertIn(await late.read_status(), (503, 0))
        self.assertEqual(0, self.count_runs(attempt))
        self.open_gates()


class RemainingRequestTest(EntryTestCase):
    """Requests that are still served when the time of a stop is over."""

    async def test_remaining_requests_get_refusals_that_are_true(self):
        self.configure()
        runner = await self.add_runner("plain-a", slots=1, queued=0)
        runner.gate.clear()
        instance = self.make_instance()
        instance.write(stop_seconds=9.0)
        patch = mock.patch.object(stop_schedule, "SETTLE_RESERVE_SECONDS", 8.0)
        patch.start()
        self.addCleanup(patch.stop)
        await self.start_router(instance)
        await self.wait_until_synced(instance)
        sent, waiting = self.new_attempt_id(), self.new_attempt_id()
        tasks = []
        for attempt in (sent, waiting):
            headers = self.headers(attempt, deadline_ms=LONG_DEADLINE_MS)
            tasks.append(
                asyncio.create_task(self.call(instance, "/unsafe/a", headers=headers))
            )
            await wait_until(lambda: self.count_runs(sent), "the run")
        await wait_until(
            lambda: instance.router.snapshot()["waiting_requests"], "the waiting one"
        )
        stop = asyncio.create_task(instance.router.stop())
        await tasks[1]
        self.assertFalse(tasks[0].done())
        answers = await asyncio.gather(*tasks)
        await stop
        self.assertEqual([502, 503], [status for status, _, _ in answers])
        self.assertEqual({b"the router stops\n"}, {body for _, _, body in answers})
        self.assertIn("Retry-After", answers[1][1])
        self.assertEqual([1, 0], [self.count_runs(sent), self.count_runs(waiting)])
        runner.gate.set()

    # The process ended with the rest of an answer in its buffers.
    async def test_stop_waits_for_an_earlier_answer_that_is_not_received(self):
        await self.check_whole_answer_of_slow_reader(late=False)

    async def test_stop_waits_for_a_later_answer_that_is_not_received(self):
        await self.check_whole_answer_of_slow_reader(late=True)

    async def check_whole_answer_of_slow_reader(self, late):
        """Check the answer of a caller that goes on reading after others have ended.

        :param late: whether it asks after the stop has begun.
        """
        patch = mock.patch(
            "bluebellshore.standin.runner.plain_answer_of",
            lambda attempt, body: BUFFERED_ANSWER,
        )
        patch.start()
        self.addCleanup(patch.stop)
        instance = await self.start_system()
        ingress = instance.router._ingress
        for listener in ingress._listener.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES)
        loop = asyncio.get_running_loop()
        caller = socket.socket()
        self.addCleanup(caller.close)
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
        caller.setblocking(False)
        host, _, port = instance.listen.rpartition(":")
        await loop.sock_connect(caller, (host, int(port)))
        if late:
            stop = asyncio.create_task(instance.router.stop())
        attempt = self.new_attempt_id()
        head = [f"GET /safe/a HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}"]
        head += [f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 8000"]
        await loop.sock_sendall(caller, "\r\n".join([*head, "", ""]).encode())
        await wait_until(
            lambda: self.count_runs(attempt) and not ingress.active, "the answer"
        )
        transports = [
            connection.transport for connection in ingress._server.connections
        ]
        if not late:
            stop = asyncio.create_task(instance.router.stop())
        await asyncio.wait({stop}, timeout=UNREAD_SECONDS)
        if stop.done():
            # As the end of the process does.
            for transport in transports:
                transport.abort()
        received = bytearray()
        while data := await loop.sock_recv(caller, SOCKET_BYTES):
            received += data
        await stop
        _, _, body = bytes(received).partition(b"\r\n\r\n")
        self.assertEqual(len(BUFFERED_ANSWER), len(body))
