"""Tests of bodies of requests to backend servers, and of their answers."""

import asyncio
import socket

from bluebellshore.backend import AttemptError, AttemptOutcome
from tests.backend_case import BackendCase, UvloopCase, request, wait_until
from tests.scripted_server import (
    Peer,
    ScriptedServer,
    answer,
    scripted_server,
)


class BodyTests:
    """Which bodies count as complete, and how both sides limit what they send."""

    async def fetch_body(self, data: bytes, *, reset: bool = False):
        async def script(peer: Peer):
            await peer.head()
            await peer.send(data)
            if reset:
                await read.wait()
                peer.reset()

        read = asyncio.Event()
        body = b""
        async with scripted_server(script) as server:
            async with self.backend.send(server.instance_entry(), request()) as found:
                async for piece in found.chunks():
                    body += piece
                    read.set()
        return body

    async def test_complete_bodies(self):
        chunked = ("Transfer-Encoding: chunked",)
        whole = answer("a1", b"5\r\nhello\r\n0\r\n\r\n", headers=chunked, length=None)
        self.assertEqual(await self.fetch_body(answer("a1", b"hello")), b"hello")
        self.assertEqual(await self.fetch_body(whole), b"hello")
        self.assertEqual(
            await self.fetch_body(answer("a1", b"hello", length=None)), b"hello"
        )
        self.assertEqual(
            await self.fetch_body(answer("a1", status=204, length=None)), b""
        )
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nA: b\r\n\r\n"
        self.assertEqual(
            await self.fetch_body(interim + answer("a1", b"hello")), b"hello"
        )

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
                await self.fetch_body(data)
            self.assertIs(caught.exception.outcome, AttemptOutcome.UNKNOWN)

    async def test_only_an_answer_without_framing_ends_with_its_connection(self):
        chunked = ("Transfer-Encoding: chunked",)
        for data, expected in (
            (answer("a1", b"hello"), False),
            (answer("a1", b"0\r\n\r\n", headers=chunked, length=None), False),
            (answer("a1", b"hello", length=None), True),
        ):

            async def script(peer: Peer, data=data):
                await peer.head()
                await peer.send(data)

            async with scripted_server(script) as server:
                entry = server.instance_entry()
                async with self.backend.send(entry, request()) as found:
                    self.assertEqual(found.ends_with_connection, expected)

    async def test_reset_of_an_answer_without_length_is_no_end(self):
        with self.assertRaises(AttemptError) as caught:
            await self.fetch_body(answer("a1", b"hello", length=None), reset=True)
        self.assertTrue(caught.exception.reset)
        self.assertIs(caught.exception.outcome, AttemptOutcome.UNKNOWN)

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
                async with self.backend.send(
                    server.instance_entry(), request()
                ) as found:
                    await server.peers[0].writer.wait_closed()
                    await wait_until(lambda: self.counts["broken"])
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
            await peer.wait_for_end()

        sent, most, length = [], 0, 0
        async with scripted_server(script) as server:
            async with self.backend.send(server.instance_entry(), request()) as found:
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
            await peer.wait_for_end()
            gone.set()

        gone = asyncio.Event()
        async with scripted_server(script) as server:
            async with self.backend.send(server.instance_entry(), request()) as found:
                self.assertEqual(await anext(found.chunks()), b"part")
                self.assertFalse(gone.is_set())
            await gone.wait()

    async def test_cancelling_closes(self):
        async def script(peer: Peer):
            await peer.head()
            if peer.number:
                await peer.send(answer("a1", b"part", length=100))
            begun.release()
            await peer.wait_for_end()
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

    async def test_request_beyond_what_the_socket_takes(self):
        # Head and body exceed the socket's buffer. The body is longer than the head, so
        # that a body continued from a wrong offset is noticed.
        value, body = "v" * 8 * 2**20, bytes(range(256)) * 2**16
        head = (
            f"POST /x/y HTTP/1.1\r\nHost: h.example\r\nA: {value}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        ).encode()

        async def script(peer: Peer):
            seen.append(await peer.reader.readexactly(len(head) + len(body)))
            await peer.send(answer("a1", b"ok"))

        seen = []
        async with scripted_server(script) as server:
            sent = request(method="POST", headers=[("A", value)], body=body)
            self.assertEqual(await self.fetch(server, sent), (200, b"ok"))
        self.assertTrue(seen == [head + body])

    async def test_peer_that_takes_nothing(self):
        with socket.socket() as listener:
            # The window is so small that it closes for a request below the size at
            # which TCP_USER_TIMEOUT is turned off.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            server = ScriptedServer(listener.getsockname()[1])
            error = await self.failing(server, request(method="POST", body=bytes(7000)))
        self.assertIs(error.outcome, AttemptOutcome.UNKNOWN)
        self.assertIn("the connection broke", str(error))
        self.assertTrue(error.timed_out)
        self.assertFalse(error.reset)

    async def test_server_that_reads_a_long_body_late(self):
        body = bytes(4 * 2**20)

        async def script(peer: Peer):
            await peer.head()
            # Longer than TCP_USER_TIMEOUT, which also applies to a closed window.
            peer.writer.transport.pause_reading()
            await asyncio.sleep(2.5)
            peer.writer.transport.resume_reading()
            await peer.reader.readexactly(len(body))
            await peer.send(answer("a1", b"ok"))

        async with scripted_server(script) as server:
            sent = request(method="POST", body=body)
            self.assertEqual(await self.fetch(server, sent), (200, b"ok"))


class DefaultLoopTests(BodyTests, BackendCase):
    """On asyncio's event loop."""


class UvloopTests(BodyTests, UvloopCase):
    """On uvloop."""
