"""Direct requests to backend servers: what was sent, and whose answer it is."""

import asyncio
import socket
import unittest

import uvloop

from bluebellshore.backend import AnswerHeaders, AttemptError, BackendRequest, Outcome
from bluebellshore.backend.connection import (
    USER_TIMEOUT_MS,
    ConnectionContext,
    keep_seconds,
    open_connection,
)
from bluebellshore.backend.direct import DirectBackend
from bluebellshore.backend.pool import ServerPool
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    RESET_ON_CLOSE,
    SIGNATURE,
    Peer,
    ScriptedServer,
    answer,
    scripted_server,
)

HEADERS = AnswerHeaders(ATTEMPT, NOT_RUN, SIGNATURE)


def request(attempt_id: str = "a1", **fields) -> BackendRequest:
    return BackendRequest(
        **{
            "method": "GET",
            "target": "/x/y",
            "host": "h.example",
            "headers": [(ATTEMPT, attempt_id)],
            "body": b"",
            "attempt_id": attempt_id,
            "head_seconds": 20.0,
            **fields,
        }
    )


async def until(true) -> None:
    async with asyncio.timeout(30):
        while not true():
            await asyncio.sleep(0.001)


class BackendCase(unittest.IsolatedAsyncioTestCase):
    """Tests with a backend that may open `limit` connections to each server."""

    limit = 8

    async def asyncSetUp(self):
        self.backend = DirectBackend(HEADERS, max_connections=lambda _: self.limit)
        self.addAsyncCleanup(self.backend.close)

    async def fetch(self, server, sent=None):
        async with self.backend.send(server.entry(), sent or request()) as found:
            body = b"".join([data async for data in found.chunks()])
            return found.status, body

    async def failing(self, server, sent=None) -> AttemptError:
        with self.assertRaises(AttemptError) as caught:
            await self.fetch(server, sent)
        return caught.exception

    @property
    def counts(self):
        return self.backend.snapshot()["counts"]

    @property
    def waiting(self) -> int:
        return self.backend.snapshot()["pools"]["b1"]["waiting"]


class RequestTests:
    """What goes out."""

    async def test_request_is_written_byte_for_byte(self):
        seen = []

        async def script(peer: Peer):
            seen.append(await peer.head())
            if b"Content-Length: 3" in seen[-1]:
                seen.append(await peer.reader.readexactly(3))
            await peer.send(answer("a1", headers=("Connection: close",)))

        async with scripted_server(script) as server:
            target = "/a%2Fb/../c?q=%20&x=ü"
            await self.fetch(server, request(target=target))
            sent = request(method="POST", body=b"abc", headers=[("K", "v"), ("K", "w")])
            await self.fetch(server, sent)
            await self.fetch(server, request(method="PUT", headers=[]))
        self.assertEqual(
            seen,
            [
                f"GET {target} HTTP/1.1\r\nHost: h.example\r\n"
                f"{ATTEMPT}: a1\r\n\r\n".encode(),
                b"POST /x/y HTTP/1.1\r\nHost: h.example\r\nK: v\r\nK: w\r\n"
                b"Content-Length: 3\r\n\r\n",
                b"abc",
                b"PUT /x/y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n",
            ],
        )

    async def test_request_that_would_read_as_two_is_not_sent(self):
        for fields in (
            {"target": "/x HTTP/1.1\r\nA: b"},
            {"target": "/x y"},
            {"headers": [("A", "b\r\n\r\nGET / HTTP/1.1")]},
            {"host": "h\n"},
            {"method": "GET /"},
        ):
            async with scripted_server(self.idle) as server:
                error = await self.failing(server, request(**fields))
                self.assertIs(error.outcome, Outcome.NOT_SENT)

    async def idle(self, peer: Peer):
        self.assertEqual(await peer.reader.read(), b"")

    async def test_refused_connection(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            port = closed.getsockname()[1]
            async with scripted_server(self.idle) as server:
                server.port = port
                error = await self.failing(server)
        self.assertIs(error.outcome, Outcome.NOT_SENT)

    async def test_connection_that_hangs(self):
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            crowd = [socket.socket() for _ in range(4)]
            for one in crowd:
                one.setblocking(False)
                one.connect_ex(full.getsockname())
            async with scripted_server(self.idle) as server:
                server.port = full.getsockname()[1]
                error = await self.failing(server)
            for one in crowd:
                one.close()
        self.assertIs(error.outcome, Outcome.NOT_SENT)
        self.assertTrue(error.timed_out)

    async def test_reset_after_the_request(self):
        async def script(peer: Peer):
            await peer.head()
            peer.reset()

        async with scripted_server(script) as server:
            error = await self.failing(server)
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertTrue(error.reset)

    async def test_break_before_the_first_byte(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 5.0)
            connection = await open_connection(host, port, context)
            end, _ = listener.accept()
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            end.close()
            with self.assertRaises(AttemptError) as caught:
                connection.start(b"GET / HTTP/1.1\r\n\r\n", b"", "a1", "GET")
            await connection.lost
        self.assertIs(caught.exception.outcome, Outcome.NOT_SENT)
        self.assertTrue(caught.exception.reset)

    async def test_peer_that_is_gone_breaks_the_connection(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 5.0)
            connection = await open_connection(host, port, context)
            limit = connection._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            connection.close()
            await connection.lost
        self.assertEqual(limit, USER_TIMEOUT_MS)

    async def test_silence_after_the_request(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.ended()
            gone.set()

        gone = asyncio.Event()
        async with scripted_server(script) as server:
            error = await self.failing(server, request(head_seconds=0.1))
            await gone.wait()
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertTrue(error.timed_out)
        self.assertFalse(error.reset)


class BodyTests:
    """Which bodies are whole."""

    async def once(self, data: bytes, *, reset: bool = False):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(data)
            if reset:
                await read.wait()
                peer.reset()

        read = asyncio.Event()
        body = b""
        async with scripted_server(script) as server:
            async with self.backend.send(server.entry(), request()) as found:
                async for piece in found.chunks():
                    body += piece
                    read.set()
        return body

    async def test_lengths(self):
        chunked = ("Transfer-Encoding: chunked",)
        whole = answer("a1", b"5\r\nhello\r\n0\r\n\r\n", headers=chunked, length=None)
        self.assertEqual(await self.once(answer("a1", b"hello")), b"hello")
        self.assertEqual(await self.once(whole), b"hello")
        self.assertEqual(await self.once(answer("a1", b"hello", length=None)), b"hello")
        self.assertEqual(await self.once(answer("a1", status=204, length=None)), b"")
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
        self.assertEqual(await self.once(interim + answer("a1", b"hello")), b"hello")

    async def test_broken_bodies(self):
        chunked = ("Transfer-Encoding: chunked",)
        for data in (
            answer("a1", b"hell", length=5),
            answer("a1", b"5\r\nhello\r\n", headers=chunked, length=None),
            answer("a1", b"5\r\nhello\r\nzz\r\n", headers=chunked, length=None),
            b"\x00\x01garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"",
        ):
            with self.subTest(data=data), self.assertRaises(AttemptError) as caught:
                await self.once(data)
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    async def test_reset_of_an_answer_without_length_is_no_end(self):
        with self.assertRaises(AttemptError) as caught:
            await self.once(answer("a1", b"hello", length=None), reset=True)
        self.assertTrue(caught.exception.reset)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    async def test_head_request(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a1", length=5))
            await peer.head()
            await peer.send(answer("a2", length=5))

        async with scripted_server(script) as server:
            for attempt in ("a1", "a2"):
                sent = request(attempt, method="HEAD")
                self.assertEqual(await self.fetch(server, sent), (200, b""))
            self.assertEqual(len(server.peers), 1)

    async def test_what_came_before_a_break_is_read(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a1", b"hello", length=100))

        pieces = []
        async with scripted_server(script) as server:
            with self.assertRaises(AttemptError) as caught:
                async with self.backend.send(server.entry(), request()) as found:
                    await server.peers[0].writer.wait_closed()
                    await until(lambda: self.counts["broken"])
                    async for piece in found.chunks():
                        pieces.append(piece)
        self.assertEqual(pieces, [b"hello"])
        self.assertTrue(caught.exception.reset)

    async def test_unread_body_stops_reading(self):
        total = 64 * 2**20

        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a1", length=total))
            piece = bytes(2**16)
            for _ in range(total // len(piece)):
                await peer.send(piece)
                sent.append(len(piece))
            await peer.ended()

        sent, most, length = [], 0, 0
        async with scripted_server(script) as server:
            async with self.backend.send(server.entry(), request()) as found:
                before = -1
                while before < len(sent):
                    before = len(sent)
                    await asyncio.sleep(0.1)
                self.assertLess(sum(sent), total)
                async for piece in found.chunks():
                    most = max(most, len(piece))
                    length += len(piece)
        self.assertEqual(length, total)
        self.assertLessEqual(most, 64 * 1024)

    async def test_leaving_early_closes(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a1", b"part", length=100))
            await peer.ended()
            gone.set()

        gone = asyncio.Event()
        async with scripted_server(script) as server:
            async with self.backend.send(server.entry(), request()) as found:
                self.assertEqual(await anext(found.chunks()), b"part")
                self.assertFalse(gone.is_set())
            await gone.wait()

    async def test_cancelling_closes(self):
        async def script(peer: Peer):
            await peer.head()
            if peer.number:
                await peer.send(answer("a1", b"part", length=100))
            begun.release()
            await peer.ended()
            gone.release()

        begun, gone = asyncio.Semaphore(0), asyncio.Semaphore(0)
        async with scripted_server(script) as server:
            for _ in range(2):
                task = asyncio.create_task(self.fetch(server))
                await begun.acquire()
                task.cancel()
                with self.assertRaises(asyncio.CancelledError):
                    await task
                await gone.acquire()

    async def test_answer_before_a_long_body_was_read(self):
        body = bytes(range(256)) * 2**14

        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"early"))
            if peer.number == 0:
                await answered.wait()
                try:
                    rest.append(await peer.reader.read())
                except ConnectionError:
                    rest.append(b"")

        rest, answered = [], asyncio.Event()
        async with scripted_server(script) as server:
            sent = request("a0", method="POST", body=body)
            self.assertEqual(await self.fetch(server, sent), (200, b"early"))
            self.assertEqual(await self.fetch(server), (200, b"early"))
            self.assertEqual(len(server.peers), 2)
            answered.set()
            await server.peers[0].writer.wait_closed()
        self.assertTrue(body.startswith(rest[0]))

    async def test_answer_before_a_short_body_was_read(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a0", b"early"))
            await again.wait()
            seen.append(await peer.reader.readexactly(5))
            seen.append(await peer.head())
            await peer.send(answer("a1", b"late"))

        seen, again = [], asyncio.Event()
        async with scripted_server(script) as server:
            sent = request("a0", method="POST", body=b"12345")
            self.assertEqual(await self.fetch(server, sent), (200, b"early"))
            again.set()
            self.assertEqual(await self.fetch(server), (200, b"late"))
            self.assertEqual(len(server.peers), 1)
        self.assertEqual(seen[0], b"12345")
        self.assertTrue(seen[1].startswith(b"GET /x/y HTTP/1.1\r\n"))

    async def test_server_that_reads_a_long_body_late(self):
        body = bytes(4 * 2**20)

        async def script(peer: Peer):
            await peer.head()
            # Beyond TCP_USER_TIMEOUT, which a closed window would set off.
            peer.writer.transport.pause_reading()
            await asyncio.sleep(2.5)
            peer.writer.transport.resume_reading()
            await peer.reader.readexactly(len(body))
            await peer.send(answer("a1", b"ok"))

        async with scripted_server(script) as server:
            sent = request(method="POST", body=body)
            self.assertEqual(await self.fetch(server, sent), (200, b"ok"))


class OwnerTests:
    """Whose answer it is."""

    async def one(self, data: bytes, sent=None):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(data)
            await peer.ended()

        async with scripted_server(script) as server:
            return await self.fetch(server, sent)

    async def refused(self, data: bytes) -> AttemptError:
        with self.assertRaises(AttemptError) as caught:
            await self.one(data)
        return caught.exception

    async def test_answer_to_another_request_is_skipped(self):
        late = answer("a0", b"late" * 50_000)
        self.assertEqual(await self.one(late + answer("a1", b"ours")), (200, b"ours"))
        self.assertEqual(self.counts["late_answers"], 1)
        late = answer(
            "a0",
            b"4\r\nlate\r\n0\r\n\r\n",
            headers=("Transfer-Encoding: chunked",),
            length=None,
        )
        self.assertEqual(await self.one(late + answer("a1", b"ours")), (200, b"ours"))

    async def test_answer_without_id(self):
        error = await self.refused(answer(None, b"x"))
        self.assertIs(error.outcome, Outcome.UNKNOWN)
        self.assertEqual(await self.one(answer(None, b"x", status=502)), (502, b"x"))

    async def test_refusals(self):
        refusal = answer("a1", b"x", status=503, headers=(f"{NOT_RUN}: 1",))
        for data, status in ((refusal, 503), (answer("a1", status=421), 421)):
            error = await self.refused(data)
            self.assertIs(error.outcome, Outcome.NOT_RUN)
            self.assertEqual(error.status, status)
        for status in (408, 429, 503):
            found = await self.one(answer("a1", b"x", status=status, signed=False))
            self.assertEqual(found, (status, b"x"))

    async def test_refusal_without_id(self):
        refusal = answer(None, b"x", status=503, headers=(f"{NOT_RUN}: 1",))

        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a0", b"ok"))
            await peer.head()
            await peer.send(refusal)
            await peer.ended()

        # On a connection of its own it can only be this request's.
        self.assertIs((await self.refused(refusal)).outcome, Outcome.NOT_RUN)
        async with scripted_server(script) as server:
            entry = server.entry(server_id="b2")
            async with self.backend.send(entry, request("a0")) as found:
                self.assertEqual(await anext(found.chunks()), b"ok")
            with self.assertRaises(AttemptError) as caught:
                async with self.backend.send(entry, request("a1")):
                    self.fail("no answer came")
            self.assertEqual(len(server.peers), 1)
        self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)

    async def test_not_the_servers_answer(self):
        for data in (
            answer("a1", b"x", signed=False),
            answer("a1", b"x", headers=("Content-Encoding: gzip",)),
        ):
            error = await self.refused(data)
            self.assertIs(error.outcome, Outcome.UNKNOWN)
            self.assertIn("not the backend server's answer", str(error))


class PoolTests:
    """Which connections are used again."""

    async def serve(self, *answers: bytes, calls: int = 2):
        """Answer each request with the next of `answers`.

        :return: connections that it took.
        """
        rest = list(answers)

        async def script(peer: Peer):
            while await peer.attempt():
                await peer.send(rest.pop(0))

        async with scripted_server(script) as server:
            for number in range(calls):
                await self.fetch(server, request(f"a{number}"))
            return len(server.peers)

    async def test_kept(self):
        self.assertEqual(await self.serve(answer("a0", b"x"), answer("a1", b"y")), 1)

    async def test_not_kept(self):
        for data in (
            answer("a0", b"x", headers=("Connection: close",)),
            answer("a0", b"x").replace(b"HTTP/1.1", b"HTTP/1.0"),
            answer("a0", b"x", headers=("Keep-Alive: timeout=0",)),
            answer("a0", b"x") + b"HT",
            answer("a0", b"x") + answer("a1", b"wrong"),
            answer("a0", b"x") + b"\x00\x01",
        ):
            with self.subTest(data=data):
                self.assertEqual(await self.serve(data, answer("a1", b"y")), 2)

    async def test_bytes_on_an_idle_connection(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            if peer.number == 0:
                await again.wait()
                await peer.send(answer("a1", b"wrong"))
            await peer.ended()
            ended.set()

        again, ended = asyncio.Event(), asyncio.Event()
        async with scripted_server(script) as server:
            await self.fetch(server, request("a0"))
            again.set()
            await ended.wait()
            self.assertEqual(await self.fetch(server, request("a1")), (200, b"ok"))
            self.assertEqual(len(server.peers), 2)
        self.assertEqual(self.counts["extra_bytes"], 1)

    async def test_end_that_the_loop_has_not_seen(self):
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
                    entry = server.entry(server_id=server_id)
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
                refusal = (f"{NOT_RUN}: 1",)
                await peer.send(answer(attempt, b"x", status=503, headers=refusal))

        seen = []
        async with scripted_server(script) as server:
            for attempt in ("a1", "a1", "a2", "a2"):
                await self.failing(server, request(attempt))
            # Kept but unfit ones make room where the share is used up.
            self.limit = 2
            await self.failing(server, request("a2"))
        self.assertEqual(seen, [(0, "a1"), (1, "a1"), (1, "a2"), (0, "a2"), (2, "a2")])

    async def test_last_used_first(self):
        async def script(peer: Peer):
            while attempt := await peer.attempt():
                await peer.send(answer(attempt, b"%d" % peer.number))

        async with scripted_server(script) as server:
            entry = server.entry()
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
                await peer.ended()

            async with scripted_server(script) as server:
                try:
                    await self.fetch(server, request("a0"))
                except AttemptError as error:
                    self.assertIs(error.outcome, Outcome.UNKNOWN)
                self.assertEqual(await self.fetch(server), (200, b"ok"))
                self.assertEqual(len(server.peers), 2)

    async def test_connection_that_ends_is_not_handed_on(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok", headers=("Connection: close",)))
            await peer.ended()

        self.limit = 1
        async with scripted_server(script) as server:
            async with self.backend.send(server.entry(), request("a0")) as first:
                waiting = asyncio.create_task(self.fetch(server))
                await until(lambda: self.waiting)
                self.assertEqual(await anext(first.chunks()), b"ok")
            self.assertEqual(await waiting, (200, b"ok"))
            self.assertEqual(len(server.peers), 2)

    async def test_server_that_speaks_first(self):
        refusal = answer(None, b"x", status=503, headers=(f"{NOT_RUN}: 1",))
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()

            async def connect():
                connection = await open_connection(host, port, context)
                end, _ = listener.accept()
                self.enterContext(end).sendall(refusal)
                return connection

            context = ConnectionContext(ATTEMPT, 5.0)
            pool = ServerPool("s", connect, context)
            deadline = asyncio.get_running_loop().time() + 5.0
            with self.assertRaises(AttemptError) as caught:
                async with pool.lease("a1", 1, deadline):
                    self.fail("it may not carry a request")
        self.assertIs(caught.exception.outcome, Outcome.NOT_SENT)
        self.assertTrue(pool.unused)

    async def test_server_that_goes_while_a_connection_opens(self):
        async def connect():
            pool.retire()
            return await open_connection(host, port, context)

        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 5.0)
            pool = ServerPool("s", connect, context)
            deadline = asyncio.get_running_loop().time() + 5.0
            with self.assertRaises(AttemptError) as caught:
                async with pool.lease("a1", 1, deadline):
                    self.fail("the server is gone")
        self.assertIs(caught.exception.outcome, Outcome.NOT_SENT)
        self.assertTrue(pool.unused)

    async def test_share(self):
        async def script(peer: Peer):
            while attempt := await peer.attempt():
                await peer.send(answer(attempt, b"ok"))

        self.limit = 1
        async with scripted_server(script) as server:
            entry = server.entry()
            async with self.backend.send(entry, request("a0")) as first:
                error = await self.failing(server, request("a1", head_seconds=0.05))
                self.assertIs(error.outcome, Outcome.NOT_SENT)
                left = asyncio.create_task(self.fetch(server, request("a2")))
                next_one = asyncio.create_task(self.fetch(server, request("a3")))
                last = asyncio.create_task(self.fetch(server, request("a4")))
                await until(lambda: self.waiting == 3)
                left.cancel()
                self.assertEqual(await anext(first.chunks()), b"ok")
            self.assertEqual(await next_one, (200, b"ok"))
            self.assertEqual(await last, (200, b"ok"))
            self.assertEqual(len(server.peers), 1)
            self.assertEqual(
                self.backend.snapshot()["pools"]["b1"],
                {"idle": 1, "active": 0, "opening": 0, "waiting": 0, "limit": 1},
            )

    async def test_waiters_when_the_server_goes_or_the_share_grows(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            await peer.ended()
            ends.release()

        ends = asyncio.Semaphore(0)
        self.limit = 1
        async with scripted_server(script) as server:
            async with self.backend.send(server.entry(), request("a0")):
                waiting = asyncio.create_task(self.fetch(server, request("a1")))
                await until(lambda: self.waiting)
                self.limit = 3
                self.assertEqual(await self.fetch(server, request("a2")), (200, b"ok"))
                self.assertEqual(await waiting, (200, b"ok"))
                self.limit = 1
                waiting = asyncio.create_task(self.failing(server, request("a3")))
                await until(lambda: self.waiting)
                self.backend.forget(["b1", "unknown"])
                self.assertIs((await waiting).outcome, Outcome.NOT_SENT)
            self.assertEqual(self.backend.snapshot()["pools"], {})
            for _ in server.peers:
                await ends.acquire()

    async def test_new_life_gets_new_connections(self):
        async def script(peer: Peer):
            attempt = await peer.attempt()
            await peer.send(answer(attempt, b"ok"))
            await peer.ended()

        async with scripted_server(script) as server:
            for born in (1, 2):
                entry = server.entry(born=born)
                async with self.backend.send(entry, request(f"a{born}")) as found:
                    self.assertEqual(await anext(found.chunks()), b"ok")
            self.assertEqual(len(server.peers), 2)
            self.assertEqual(self.backend.snapshot()["pools"]["b1"]["idle"], 1)

    async def test_idle_connections_are_closed_before_the_server_does(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a1", b"ok", headers=("Keep-Alive: timeout=1",)))
            await peer.ended()
            ended.set()

        ended = asyncio.Event()
        async with scripted_server(script) as server:
            await self.fetch(server)
            await ended.wait()

    async def test_close(self):
        async def script(peer: Peer):
            if peer.number == 0:
                await peer.attempt()
                await peer.send(answer("a0", b"ok"))
            else:
                await peer.attempt()
                await peer.send(answer("a1", b"ok", length=100))
            await peer.ended()
            ends.release()

        ends = asyncio.Semaphore(0)
        async with scripted_server(script) as server:
            entry = server.entry(server_id="b2")
            await self.fetch(server, request("a0"))
            with self.assertRaises(AttemptError) as caught:
                async with self.backend.send(entry, request("a1")) as found:
                    async for _ in found.chunks():
                        await self.backend.close()
            for _ in server.peers:
                await ends.acquire()
            self.assertEqual(len(server.peers), 2)
            self.assertIs(caught.exception.outcome, Outcome.UNKNOWN)


class KeepTests(unittest.TestCase):
    def test_share_of_the_announced_time(self):
        for value, seconds in (
            ("timeout=5", 4.0),
            ("max=3, timeout = 10", 8.0),
            ('Timeout="5"', 4.0),
            ("timeout=0", 0.0),
        ):
            self.assertAlmostEqual(keep_seconds({"Keep-Alive": value}), seconds)
        for value in ("", "max=3", "timeout=x"):
            self.assertEqual(keep_seconds({"Keep-Alive": value}), 2.0)


class DefaultLoopTests(RequestTests, BodyTests, OwnerTests, PoolTests, BackendCase):
    """All of them on asyncio's own loop."""


class UvloopTests(RequestTests, BodyTests, OwnerTests, PoolTests, BackendCase):
    """All of them on uvloop."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)
