"""Tests of the connection pool: reuse of connections, their limit and their end."""

import asyncio
import socket
import unittest
import unittest.mock

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.backend.connection import (
    ConnectionContext,
    keep_alive_seconds,
    open_connection,
)
from bluebellshore.backend.pool import ServerPool
from tests.backend_case import BackendCase, UvloopCase, request, wait_until
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    RESET_ON_CLOSE,
    Peer,
    ScriptedServer,
    answer,
    scripted_server,
)

REFUSAL_BODY_TIMEOUT = "bluebellshore.backend.direct.REFUSAL_BODY_TIMEOUT_SECONDS"


class KeepAliveTests(unittest.TestCase):
    def test_share_of_the_announced_timeout(self):
        for value, seconds in (
            ("timeout=5", 4.0),
            ("max=3, timeout = 10", 8.0),
            ('Timeout="5"', 4.0),
            ("timeout=0", 0.0),
        ):
            self.assertAlmostEqual(keep_alive_seconds({"Keep-Alive": value}), seconds)
        for value in ("", "max=3", "timeout=x"):
            self.assertEqual(keep_alive_seconds({"Keep-Alive": value}), 2.0)


class PoolTests:
    """When connections are reused, waited for and closed."""

    async def count_connections(self, *answers: bytes, calls: int = 2):
        """Send `calls` requests, each answered with the next of `answers`.

        :return: number of connections that were opened.
        """
        rest = list(answers)

        async def script(peer: Peer):
            while await peer.attempt():
                await peer.send(rest.pop(0))

        async with scripted_server(script) as server:
            for number in range(calls):
                await self.fetch(server, request(f"a{number}"))
            return len(server.peers)

    async def test_connection_is_reused(self):
        self.assertEqual(
            await self.count_connections(answer("a0", b"x"), answer("a1", b"y")), 1
        )

    async def test_connection_is_not_reused(self):
        for data in (
            answer("a0", b"x", headers=("Connection: close",)),
            answer("a0", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"),
            answer("a0", b"x", headers=("Keep-Alive: timeout=0",)),
            answer("a0", b"x") + b"HT",
            answer("a0", b"x") + answer("a1", b"wrong"),
            answer("a0", b"x") + b"\x00\x01",
        ):
            with self.subTest(data=data):
                self.assertEqual(
                    await self.count_connections(data, answer("a1", b"y")), 2
                )

    async def test_bytes_on_an_idle_connection_close_it(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            if peer.number == 0:
                await again.wait()
                await peer.send(answer("a1", b"wrong"))
            await peer.wait_for_end()
            ended.set()

        again, ended = asyncio.Event(), asyncio.Event()
        async with scripted_server(script) as server:
            await self.fetch(server, request("a0"))
            again.set()
            await ended.wait()
            self.assertEqual(await self.fetch(server, request("a1")), (200, b"ok"))
            self.assertEqual(len(server.peers), 2)
        self.assertEqual(self.counts["extra_bytes"], 1)

    async def test_eof_that_the_event_loop_has_not_processed(self):
        loop = asyncio.get_running_loop()
        for linger in (None, RESET_ON_CLOSE):
            with socket.create_server(("127.0.0.1", 0)) as listener:
                listener.setblocking(False)
                server = ScriptedServer(listener.getsockname()[1])
                server_id = f"b-{linger}"

                async def serve(attempt: str, listener=listener):
                    end, _ = await loop.sock_accept(listener)
                    await loop.sock_recv(end, 10_000)
                    await loop.sock_sendall(end, answer(attempt, b"ok"))
                    return end

                async def fetch(attempt: str, server=server, server_id=server_id):
                    entry = server.instance_entry(server_id=server_id)
                    async with self.backend.send(entry, request(attempt)) as found:
                        return b"".join([data async for data in found.chunks()])

                serving = asyncio.create_task(serve("a0"))
                self.assertEqual(await fetch("a0"), b"ok")
                end = await serving
                serving = asyncio.create_task(serve("a1"))
                await asyncio.sleep(0)
                if linger:
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                end.close()
                self.assertEqual(await fetch("a1"), b"ok")
                (await serving).close()

    async def test_refusal_keeps_the_connection_but_not_for_its_attempt(self):
        async def script(peer: Peer):
            while attempt := await peer.attempt():
                seen.append((peer.number, attempt))
                headers = (f"{NOT_RUN}: 1", "Keep-Alive: timeout=100")
                await peer.send(answer(attempt, b"x", status=503, headers=headers))

        seen = []
        async with scripted_server(script) as server:
            for attempt in ("a1", "a1", "a2", "a2"):
                await self.failing(server, request(attempt))
            # At the limit, an idle connection that has carried the attempt is replaced.
            self.limit = 2
            await self.failing(server, request("a2"))
        self.assertEqual(seen, [(0, "a1"), (1, "a1"), (1, "a2"), (0, "a2"), (2, "a2")])

    async def test_last_used_first(self):
        async def script(peer: Peer):
            while attempt := await peer.attempt():
                await peer.send(answer(attempt, b"%d" % peer.number))

        async with scripted_server(script) as server:
            entry = server.instance_entry()
            async with self.backend.send(entry, request("a0")) as first:
                async with self.backend.send(entry, request("a1")) as second:
                    found = [await anext(one.chunks()) for one in (first, second)]
            self.assertEqual(found, [b"0", b"1"])
            for number in range(2, 5):
                sent = request(f"a{number}")
                self.assertEqual(await self.fetch(server, sent), (200, b"0"))

    async def test_connection_of_a_doubtful_answer_is_not_used_again(self):
        for doubtful in (
            answer(None, b"x", status=502),
            answer("a0", b"x", signed=False),
            answer("a0", b"x", headers=("Content-Encoding: gzip",)),
        ):

            async def script(peer: Peer, doubtful=doubtful):
                await peer.attempt()
                await peer.send(answer("a1", b"ok") if peer.number else doubtful)
                await peer.wait_for_end()

            async with scripted_server(script) as server:
                try:
                    await self.fetch(server, request("a0"))
                except AttemptError as error:
                    self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
                self.assertEqual(await self.fetch(server), (200, b"ok"))
                self.assertEqual(len(server.peers), 2)

    async def test_connection_that_ends_is_not_handed_on(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok", headers=("Connection: close",)))
            await peer.wait_for_end()

        self.limit = 1
        async with scripted_server(script) as server:
            async with self.backend.send(
                server.instance_entry(), request("a0")
            ) as first:
                waiting = asyncio.create_task(self.fetch(server))
                await wait_until(lambda: self.waiting)
                self.assertEqual(await anext(first.chunks()), b"ok")
            self.assertEqual(await waiting, (200, b"ok"))
            self.assertEqual(len(server.peers), 2)
            self.assertEqual(self.backend.snapshot()["pools"], {})

    async def test_body_of_a_refusal_is_read_for_a_limited_time(self):
        refusal = answer(
            "a0", b"later", status=503, headers=(f"{NOT_RUN}: 1",)
        ).removesuffix(b"later")

        async def script(peer: Peer):
            await peer.attempt()
            await peer.send(refusal)
            if ends:
                await asyncio.sleep(0.01)
                await peer.send(b"later")
            if await peer.attempt():
                await peer.send(answer("a1", b"ok"))

        for ends in (True, False):
            seconds = 30.0 if ends else 0.01
            with unittest.mock.patch(REFUSAL_BODY_TIMEOUT, seconds):
                async with scripted_server(script) as server:
                    error = await self.failing(server, request("a0"))
                    self.assertIs(error.outcome, AttemptOutcome.NOT_RUN)
                    pools = self.backend.snapshot()["pools"]
                    self.assertEqual(list(pools), ["b1"] if ends else [])
                    if ends:
                        self.assertEqual(await self.fetch(server), (200, b"ok"))
                        self.assertEqual(len(server.peers), 1)
                self.backend.retire_connections(["b1"])

    async def test_request_whose_time_is_over_is_not_sent(self):
        async def script(peer: Peer):
            await peer.send(answer(await peer.attempt(), b"ok"))
            self.assertEqual(await peer.attempt(), "")

        async with scripted_server(script) as server:
            await self.fetch(server, request("a0"))
            error = await self.failing(server, request("a1", head_timeout_seconds=0.0))
            self.assertIs(error.outcome, AttemptOutcome.NOT_SENT)
            await self.backend.close()

    async def test_server_that_speaks_first(self):
        refusal = answer(None, b"x", status=503, headers=(f"{NOT_RUN}: 1",))
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()

            async def connect():
                connection = await open_connection(host, port, context)
                end, _ = listener.accept()
                self.enterContext(end).sendall(refusal)
                return connection

            context = ConnectionContext(ATTEMPT, 30.0)
            pool = ServerPool("s", connect, context)
            deadline = asyncio.get_running_loop().time() + 30.0
            with self.assertRaises(AttemptError) as caught:
                async with pool.lease("a1", 1, deadline):
                    self.fail("the connection must not carry a request")
        self.assertIs(caught.exception.outcome, AttemptOutcome.NOT_SENT)
        self.assertTrue(pool.is_unused)

    async def test_failures_release_their_slots(self):
        async def connect():
            if failures:
                await failures.pop()
            return await open_connection(host, port, context)

        async def refuse():
            raise ConnectionRefusedError

        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 30.0)
            pool = ServerPool("s", connect, context)
            now = asyncio.get_running_loop().time
            failures = [asyncio.sleep(100), refuse()]
            with self.assertRaises(ConnectionRefusedError):
                await pool.lease("a1", 1, now() + 30).__aenter__()
            with self.assertRaises(AttemptError):
                await pool.lease("a1", 1, now() + 0.01).__aenter__()
            self.assertTrue(pool.is_unused)

            async def wait():
                async with pool.lease("a3", 1, now() + 30):
                    self.fail("the waiter was cancelled")

            async with pool.lease("a2", 1, now() + 30):
                waiting = asyncio.create_task(wait())
                await wait_until(lambda: pool.snapshot()["waiting"])
            # The slot was handed to the waiter, whose task has not run since.
            waiting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await waiting
            self.assertTrue(pool.is_unused)

    async def test_server_that_is_removed_while_a_connection_opens(self):
        async def connect():
            pool.retire()
            return await open_connection(host, port, context)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 30.0)
            pool = ServerPool("s", connect, context)
            deadline = asyncio.get_running_loop().time() + 30.0
            with self.assertRaises(AttemptError) as caught:
                async with pool.lease("a1", 1, deadline):
                    self.fail("the server was removed")
        self.assertIs(caught.exception.outcome, AttemptOutcome.NOT_SENT)
        self.assertTrue(pool.is_unused)

    async def test_connection_limit(self):
        async def script(peer: Peer):
            while attempt := await peer.attempt():
                await peer.send(answer(attempt, b"ok"))

        self.limit = 1
        async with scripted_server(script) as server:
            entry = server.instance_entry()
            async with self.backend.send(entry, request("a0")) as first:
                error = await self.failing(
                    server, request("a1", head_timeout_seconds=0.05)
                )
                self.assertIs(error.outcome, AttemptOutcome.NOT_SENT)
                left = asyncio.create_task(self.fetch(server, request("a2")))
                next_one = asyncio.create_task(self.fetch(server, request("a3")))
                last = asyncio.create_task(self.fetch(server, request("a4")))
                await wait_until(lambda: self.waiting == 3)
                left.cancel()
                self.assertEqual(await anext(first.chunks()), b"ok")
            self.assertEqual(await next_one, (200, b"ok"))
            self.assertEqual(await last, (200, b"ok"))
            self.assertEqual(len(server.peers), 1)
            self.assertEqual(
                self.backend.snapshot()["pools"]["b1"],
                {"idle": 1, "active": 0, "opening": 0, "waiting": 0, "limit": 1},
            )

    async def test_waiters_when_the_server_is_removed_or_the_limit_grows(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            await peer.wait_for_end()
            ends.release()

        ends = asyncio.Semaphore(0)
        self.limit = 1
        async with scripted_server(script) as server:
            async with self.backend.send(server.instance_entry(), request("a0")):
                waiting = asyncio.create_task(self.fetch(server, request("a1")))
                await wait_until(lambda: self.waiting)
                self.limit = 3
                self.assertEqual(await self.fetch(server, request("a2")), (200, b"ok"))
                self.assertEqual(await waiting, (200, b"ok"))
                self.limit = 1
                waiting = asyncio.create_task(self.failing(server, request("a3")))
                await wait_until(lambda: self.waiting)
                self.backend.retire_connections(["b1", "unknown"])
                self.assertIs((await waiting).outcome, AttemptOutcome.NOT_SENT)
            self.assertEqual(self.backend.snapshot()["pools"], {})
            for _ in server.peers:
                await ends.acquire()

    async def test_request_at_the_stop_was_refused_for_a_server_that_is_gone(self):
        # The server answers on; only this process closes its connections.
        async def script(peer: Peer):
            await peer.send(answer(await peer.attempt(), b"ok"))
            await peer.wait_for_end()

        self.limit = 1
        async with scripted_server(script) as server:
            async with self.backend.send(server.instance_entry(), request("a0")):
                waiting = asyncio.create_task(self.failing(server, request("a1")))
                await wait_until(lambda: self.waiting)
                await self.backend.close()
                self.assertEqual((await waiting).message, "this process stops")

    async def test_restarted_server_gets_new_connections(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            await peer.wait_for_end()

        async with scripted_server(script) as server:
            for started in (1, 2):
                entry = server.instance_entry(started_unix_ms=started)
                async with self.backend.send(entry, request(f"a{started}")) as found:
                    self.assertEqual(await anext(found.chunks()), b"ok")
            self.assertEqual(len(server.peers), 2)
            self.assertEqual(self.backend.snapshot()["pools"]["b1"]["idle"], 1)

    async def test_idle_connections_are_closed_before_the_server_does(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            seconds = 100 if peer.number else 1
            keep = (f"Keep-Alive: timeout={seconds}",)
            await peer.send(answer(attempt, b"ok", headers=keep))
            await peer.wait_for_end()
            ended.append(peer.number)

        ended = []
        async with scripted_server(script) as server:
            entry = server.instance_entry()
            async with self.backend.send(entry, request("a0")) as first:
                async with self.backend.send(entry, request("a1")) as second:
                    for one in (first, second):
                        self.assertEqual(await anext(one.chunks()), b"ok")
            # The second connection, with the longer timeout, became idle first. The
            # timer must still fire for the first one.
            await wait_until(lambda: ended)
            self.assertEqual(ended, [0])

    async def test_lowered_limit(self):
        async def script(peer: Peer):
            await peer.send(answer(await peer.attempt(), b"ok"))
            await peer.wait_for_end()

        async with scripted_server(script) as server:
            entry = server.instance_entry()
            async with self.backend.send(entry, request("a0")) as first:
                async with self.backend.send(entry, request("a1")) as second:
                    for one in (first, second):
                        self.assertEqual(await anext(one.chunks()), b"ok")
                    self.limit = 1
                    await self.failing(server, request("a2", head_timeout_seconds=0.01))
            self.assertEqual(self.backend.snapshot()["pools"]["b1"]["idle"], 1)

    async def test_close(self):
        async def script(peer: Peer):
            if peer.number == 0:
                await peer.attempt()
                await peer.send(answer("a0", b"ok"))
            else:
                await peer.attempt()
                await peer.send(answer("a1", b"ok", length=100))
            await peer.wait_for_end()
            ends.release()

        ends = asyncio.Semaphore(0)
        async with scripted_server(script) as server:
            entry = server.instance_entry(server_id="b2")
            await self.fetch(server, request("a0"))
            with self.assertRaises(AttemptError) as caught:
                async with self.backend.send(entry, request("a1")) as found:
                    async for _ in found.chunks():
                        await self.backend.close()
            for _ in server.peers:
                await ends.acquire()
            self.assertEqual(len(server.peers), 2)
            self.assertIs(caught.exception.outcome, AttemptOutcome.UNKNOWN)


class DefaultLoopTests(PoolTests, BackendCase):
    """On asyncio's event loop."""


class UvloopTests(PoolTests, UvloopCase):
    """On uvloop."""
