"""Base cases and helpers of the tests of requests to backend servers."""

import asyncio
import unittest
from collections.abc import Callable

import uvloop

from bluebellshore.backend import AnswerHeaders, AttemptError, BackendRequest
from bluebellshore.backend.direct import DirectBackend
from tests.scripted_server import (
    ATTEMPT,
    NOT_RUN,
    SIGNATURE,
)

__all__ = ["HEADERS", "BackendCase", "UvloopCase", "request", "wait_until"]

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
            "head_timeout_seconds": 20.0,
            **fields,
        }
    )


async def wait_until(condition: Callable[[], object]) -> None:
    """Poll until `condition` holds; fail after 30 seconds."""
    async with asyncio.timeout(30):
        while not condition():
            await asyncio.sleep(0.001)


class BackendCase(unittest.IsolatedAsyncioTestCase):
    """Case with a backend client that may open `limit` connections to each server."""

    limit = 8

    async def asyncSetUp(self):
        self.backend = DirectBackend(
            HEADERS, max_connections=lambda _: self.limit, connect_timeout_seconds=30.0
        )
        self.addAsyncCleanup(self.backend.close)

    async def fetch(self, server, sent=None):
        """Send a request. :return: status and body of its answer."""
        async with self.backend.send(
            server.instance_entry(), sent or request()
        ) as found:
            body = b"".join([data async for data in found.chunks()])
            return found.status, body

    async def failing(self, server, sent=None) -> AttemptError:
        """Send a request. :return: the error with which it fails."""
        with self.assertRaises(AttemptError) as caught:
            await self.fetch(server, sent)
        return caught.exception

    @property
    def counts(self):
        return self.backend.snapshot()["counts"]

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a connection."""
        return self.backend.snapshot()["pools"]["b1"]["waiting"]


class UvloopCase(BackendCase):
    """The same case on uvloop."""

    @classmethod
    def setUpClass(cls):
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())

    @classmethod
    def tearDownClass(cls):
        asyncio.set_event_loop_policy(None)
