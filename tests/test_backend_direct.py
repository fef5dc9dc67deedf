"""Tests of what is sent to backend servers, and which answers are accepted."""

import asyncio
import socket

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.backend.connection import (
    TCP_USER_TIMEOUT_MS,
    ConnectionContext,
    open_connection,
)
from bluebellshore.backend.direct import DirectBackend
from tests.backend_case import HEADERS, BackendCase, UvloopCase, request
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    RESET_ON_CLOSE,
    Peer,
    answer,
    scripted_server,
)


class RequestTests:
    """How requests are sent, and what failed ones say about their outcome."""

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
            async with scripted_server(self.expect_no_request) as server:
                error = await self.failing(server, request(**fields))
                self.assertIs(error.outcome, AttemptOutcome.NOT_SENT)

    async def expect_no_request(self, peer: Peer):
        self.assertEqual(await peer.reader.read(), b"")

    async def test_refused_connection(self):
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            port = closed.getsockname()[1]
            async with scripted_server(self.expect_no_request) as server:
                server.port = port
                error = await self.failing(server)
        self.assertIs(error.outcome, AttemptOutcome.NOT_SENT)

    async def test_connect_timeout(self):
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            fillers = [socket.socket() for _ in range(4)]
            for filler in fillers:
                filler.setblocking(False)
                filler.connect_ex(full.getsockname())
            self.backend = DirectBackend(HEADERS, max_connections=lambda _: 1)
            async with scripted_server(self.expect_no_request) as server:
                server.port = full.getsockname()[1]
                error = await self.failing(server)
            for filler in fillers:
                filler.close()
        self.assertIs(error.outcome, AttemptOutcome.NOT_SENT)
        self.assertTrue(error.timed_out)

    async def test_reset_after_the_request(self):
        async def script(peer: Peer):
            await peer.head()
            peer.reset()

        async with scripted_server(script) as server:
            error = await self.failing(server)
        self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
        self.assertTrue(error.reset)

    async def test_reset_before_the_first_byte(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 30.0)
            connection = await open_connection(host, port, context)
            end, _ = listener.accept()
            end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            end.close()
            with self.assertRaises(AttemptError) as caught:
                connection.send_request(b"GET / HTTP/1.1\r\n\r\n", b"", "a1", "GET")
            await connection.closed
        self.assertIs(caught.exception.outcome, AttemptOutcome.NOT_SENT)
        self.assertTrue(caught.exception.reset)

    async def test_tcp_user_timeout_is_set(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            context = ConnectionContext(ATTEMPT, 30.0)
            connection = await open_connection(host, port, context)
            timeout_ms = connection._sock.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )
            connection.close()
            await connection.closed
        self.assertEqual(timeout_ms, TCP_USER_TIMEOUT_MS)

    async def test_head_timeout(self):
        async def script(peer: Peer):
            await peer.head()
            await peer.wait_for_end()
            gone.set()

        gone = asyncio.Event()
        async with scripted_server(script) as server:
            error = await self.failing(server, request(head_timeout_seconds=0.1))
            await gone.wait()
        self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
        self.assertTrue(error.timed_out)
        self.assertFalse(error.reset)


class OwnerTests:
    """Which answers belong to the request and come from the backend server."""

    async def fetch_answer(self, data: bytes, sent=None):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(data)
            await peer.wait_for_end()

        async with scripted_server(script) as server:
            return await self.fetch(server, sent)

    async def refusal_error(self, data: bytes) -> AttemptError:
        with self.assertRaises(AttemptError) as caught:
            await self.fetch_answer(data)
        return caught.exception

    async def test_answer_to_another_request_is_skipped(self):
        late = answer("a0", b"late" * 50_000)
        self.assertEqual(
            await self.fetch_answer(late + answer("a1", b"ours")), (200, b"ours")
        )
        self.assertEqual(self.counts["late_answers"], 1)
        late = answer(
            "a0",
            b"4\r\nlate\r\n0\r\n\r\n",
            headers=("Transfer-Encoding: chunked",),
            length=None,
        )
        self.assertEqual(
            await self.fetch_answer(late + answer("a1", b"ours")), (200, b"ours")
        )

    async def test_answer_without_id(self):
        error = await self.refusal_error(answer(None, b"x"))
        self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
        self.assertEqual(
            await self.fetch_answer(answer(None, b"x", status=502)), (502, b"x")
        )

    async def test_refusals(self):
        refusal = answer("a1", b"x", status=503, headers=(f"{NOT_RUN}: 1",))
        misdirected = answer("a1", status=421)
        for data, status, outcome in (
            (refusal, 503, AttemptOutcome.NOT_RUN),
            (misdirected, 421, AttemptOutcome.MISDIRECTED),
        ):
            error = await self.refusal_error(data)
            self.assertIs(error.outcome, outcome)
            self.assertEqual(error.status, status)

    # Callers take these statuses for a promise that the request never runs.
    async def test_refusal_that_does_not_say_not_run_reaches_the_caller(self):
        for status in (408, 429, 503):
            for signed in (False, True):
                data = answer("a1", b"x", status=status, signed=signed)
                error = await self.refusal_error(data)
                self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
                self.assertEqual(error.status, status)

    async def test_connection_that_can_carry_no_answer(self):
        upgrade = b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
        for data in (
            answer("a0", b"late", headers=("Connection: close",)),
            upgrade + answer("a1", b"x"),
            b"HTTP/1.1 200 OK\r\nA: " + b"x" * 200_000,
        ):
            error = await self.refusal_error(data)
            self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
            self.assertIn("not an answer", str(error))

    async def test_refusal_without_id(self):
        refusal = answer(None, b"x", status=503, headers=(f"{NOT_RUN}: 1",))

        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a0", b"ok"))
            await peer.head()
            await peer.send(refusal)
            await peer.wait_for_end()

        # On a new connection the refusal can only be to this request.
        self.assertIs(
            (await self.refusal_error(refusal)).outcome, AttemptOutcome.NOT_RUN
        )
        async with scripted_server(script) as server:
            entry = server.instance_entry(server_id="b2")
            async with self.backend.send(entry, request("a0")) as found:
                self.assertEqual(await anext(found.chunks()), b"ok")
            with self.assertRaises(AttemptError) as caught:
                async with self.backend.send(entry, request("a1")):
                    self.fail("no answer came")
            self.assertEqual(len(server.peers), 1)
        self.assertIs(caught.exception.outcome, AttemptOutcome.UNKNOWN)

    async def fetch_after_an_answer(self, data: bytes):
        """Fetch a1 on a connection that carried a0; the server answers with `data`."""

        async def script(peer: Peer):
            await peer.head()
            await peer.send(answer("a0", b"ok"))
            await peer.head()
            await peer.send(data)
            await peer.wait_for_end()

        async with scripted_server(script) as server:
            await self.fetch(server, request("a0"))
            try:
                return await self.fetch(server, request("a1"))
            finally:
                self.assertEqual(len(server.peers), 1)

    async def test_earlier_answer_without_id_passes_for_that_of_a_later_request(self):
        for status in (200, 400, 404, 500, 502, 503):
            for headers in ((), (f"{NOT_RUN}: 1",)):
                data = answer(None, b"earlier", status=status, headers=headers)
                data += answer("a1", b"ours")
                with (
                    self.subTest(status, headers=headers),
                    self.assertRaises(AttemptError) as caught,
                ):
                    await self.fetch_after_an_answer(data)
                self.assertIs(caught.exception.outcome, AttemptOutcome.UNKNOWN)

    async def test_earlier_refusal_written_again_passes_for_that_of_a_later_request(
        self,
    ):
        for status in (421, 429, 503):
            refusal = answer("a0", b"x", status=status, headers=(f"{NOT_RUN}: 1",))
            found = await self.fetch_after_an_answer(refusal + answer("a1", b"ours"))
            self.assertEqual((200, b"ours"), found)

    async def test_unsigned_or_recoded_answer_is_refused(self):
        for data in (
            answer("a1", b"x", signed=False),
            answer("a1", b"x", headers=("Content-Encoding: gzip",)),
        ):
            error = await self.refusal_error(data)
            self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
            self.assertIn("not the backend server's answer", str(error))


class DefaultLoopTests(RequestTests, OwnerTests, BackendCase):
    """On asyncio's event loop."""


class UvloopTests(RequestTests, OwnerTests, UvloopCase):
    """On uvloop."""
