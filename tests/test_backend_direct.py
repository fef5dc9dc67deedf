"""Direct requests to backend servers: what was sent, and whose answer it is."""

import asyncio
import socket
import unittest

import uvloop

from bluebellshore.backend import AnswerHeaders, AttemptError, BackendRequest, Outcome
from bluebellshore.backend.direct import DirectBackend
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    SIGNATURE,
    Peer,
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
        misdirected = answer("a1", status=421)
        for data, status, outcome in (
            (refusal, 503, Outcome.NOT_RUN),
            (misdirected, 421, Outcome.MISDIRECTED),
        ):
            error = await self.refused(data)
            self.assertIs(error.outcome, outcome)
            self.assertEqual(error.status, status)
        for status in (408, 429, 503):
            found = await self.one(answer("a1", b"x", status=status, signed=False))
            self.assertEqual(found, (status, b"x"))

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
            while True:
                try:
                    await peer.head()
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
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
