"""Concurrent requests to a faulty server: no answer reaches another request."""

import asyncio
import random
import unittest

import uvloop

from bluebellshore.backend import (
    AnswerHeaders,
    AttemptError,
    AttemptOutcome,
    BackendRequest,
)
from bluebellshore.backend.direct import DirectBackend
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    SIGNATURE,
    Peer,
    answer,
    scripted_server,
)

SEED = 1
REQUESTS = 1_500
CALLERS = 24
CONNECTIONS = 6
CHUNKED = ("Transfer-Encoding: chunked",)


def body_of(attempt: str) -> bytes:
    return f"<{attempt}>".encode() * 40


def in_chunks(body: bytes) -> bytes:
    parts = [body[at : at + 100] for at in range(0, len(body), 100)]
    return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in [*parts, b""])


class FaultyServer:
    """Server whose answers are at random correct, late, repeated, cut or missing.

    :ivar ran: how often each attempt was run.
    :ivar refused: attempts that were refused without being run.
    :ivar arrived: attempts that were received.
    """

    def __init__(self):
        self.random = random.Random(SEED)
        self.ran: dict[str, int] = {}
        self.refused: set[str] = set()
        self.arrived: set[str] = set()

    async def serve(self, peer: Peer) -> None:
        previous = ""
        while attempt := await peer.attempt():
            self.arrived.add(attempt)
            await asyncio.sleep(self.random.random() * 0.002)
            if not await self.answer_request(peer, attempt, previous):
                return
            previous = attempt

    async def answer_request(self, peer: Peer, attempt: str, previous: str) -> bool:
        """Answer a request, correctly or not.

        :param previous: attempt answered before on this connection; empty for none.
        :return: whether the connection stays open.
        """
        body = body_of(attempt)
        good = answer(attempt, body)
        kind = self.random.randrange(20)
        if kind == 0:
            self.refused.add(attempt)
            refusal = (f"{NOT_RUN}: 1",)
            await peer.send(answer(attempt, b"full", status=503, headers=refusal))
            return True
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        if kind == 1:
            peer.reset()
        elif kind == 2:
            await peer.send(good[: self.random.randrange(len(good))])
        elif kind == 3:
            await peer.send(answer(attempt, body, length=None)[:-7])
            peer.reset()
        elif kind == 4:
            await peer.send(b"\x00\x01 noise \r\n\r\n" + good)
        elif kind == 5 and previous:
            await peer.send(answer(previous, body_of(previous)) + good)
            return True
        elif kind == 6:
            await peer.send(good + good)
            return True
        elif kind == 7:
            await peer.send(good + b"HTTP/1.1 200 OK\r\nContent-Le")
            return True
        elif kind == 8:
            await peer.send(answer(attempt, body, signed=False))
            return True
        elif kind == 9:
            data = answer(attempt, in_chunks(body), headers=CHUNKED, length=None)
            await peer.send(data[: self.random.randrange(200, len(data))])
        elif kind == 10:
            await peer.send(good)
            await asyncio.sleep(self.random.random() * 0.002)
            await peer.send(good)
            return True
        elif kind == 11:
            await peer.send(answer(attempt, body, length=None))
        elif kind == 12:
            await peer.send(answer(attempt, body, headers=("Connection: close",)))
        elif kind == 13:
            await peer.send(good)
        else:
            data = good
            if kind % 2:
                data = answer(attempt, in_chunks(body), headers=CHUNKED, length=None)
            cut = self.random.randrange(len(data))
            await peer.send(data[:cut])
            await asyncio.sleep(0)
            await peer.send(data[cut:])
            return True
        return False


class MixedTests:
    async def test_no_answer_is_mixed_up(self):
        faulty = FaultyServer()
        headers = AnswerHeaders(ATTEMPT, NOT_RUN, SIGNATURE)
        backend = DirectBackend(
            headers, max_connections=lambda _: CONNECTIONS, connect_timeout_seconds=30.0
        )
        numbers = iter(range(REQUESTS))
        outcomes: dict[str, AttemptOutcome | None] = {}

        async def call(server) -> None:
            for number in numbers:
                attempt = f"a{number}"
                sent = BackendRequest(
                    method="GET",
                    target="/",
                    host="h",
                    headers=[(ATTEMPT, attempt)],
                    body=b"",
                    attempt_id=attempt,
                    head_timeout_seconds=30.0,
                )
                try:
                    async with backend.send(server.instance_entry(), sent) as found:
                        body = b"".join([data async for data in found.chunks()])
                except AttemptError as error:
                    outcomes[attempt] = error.outcome
                else:
                    outcomes[attempt] = None
                    self.assertEqual(body, body_of(attempt))

        async with scripted_server(faulty.serve) as server:
            await asyncio.gather(*(call(server) for _ in range(CALLERS)))
            pool = backend.snapshot()["pools"].get("b1", {"active": 0, "waiting": 0})
            self.assertEqual((pool["active"], pool["waiting"]), (0, 0))
            await backend.close()

        self.assertEqual(len(outcomes), REQUESTS)
        self.assertEqual({count for count in faulty.ran.values()}, {1})
        for attempt, outcome in outcomes.items():
            if outcome is None:
                self.assertIn(attempt, faulty.ran)
            elif outcome is AttemptOutcome.NOT_RUN:
                self.assertIn(attempt, faulty.refused)
                self.assertNotIn(attempt, faulty.ran)
            elif outcome is AttemptOutcome.NOT_SENT:
                self.assertNotIn(attempt, faulty.arrived)
        whole = sum(outcome is None for outcome in outcomes.values())
        self.assertGreater(whole, REQUESTS // 2)


class DefaultLoopTests(MixedTests, unittest.IsolatedAsyncioTestCase):
    """On asyncio's event loop."""


class UvloopTests(MixedTests, unittest.IsolatedAsyncioTestCase):
    """On uvloop."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)
