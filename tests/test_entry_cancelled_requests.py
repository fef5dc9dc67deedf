"""Tests of requests of which something that they await in the router is cancelled."""

import asyncio
import unittest

import aiohttp

from bluebellshore.entry.request_log import CANCELLED_REASON
from tests.test_entry_requests import EntryCase

#: Longest wait for what takes milliseconds.
WAIT_SECONDS = 60.0


async def wait_for_cancelled():
    """Wait for a future that another task cancels."""
    future = asyncio.get_running_loop().create_future()
    asyncio.get_running_loop().call_soon(future.cancel)
    await future


class CancelledRequestTest(EntryCase):
    async def test_request_that_was_not_sent_is_closed_without_an_answer(self):
        async def serve(call, sink, trace):
            await wait_for_cancelled()

        self.ingress._serve = serve
        async with self.get() as response:
            self.assertEqual(503, response.status)
            self.assertIn("Retry-After", response.headers)
        refused = self.line("refused")
        self.assertEqual(CANCELLED_REASON, refused["reason"])
        self.assertNotIn("ended", self.message_types())

    async def test_request_that_may_have_run_is_closed_without_an_answer(self):
        async def serve(call, sink, trace):
            trace.sent = True
            await wait_for_cancelled()

        self.ingress._serve = serve
        async with self.get() as response:
            self.assertEqual(502, response.status)
            self.assertNotIn("Retry-After", response.headers)
        ended = self.line("ended")
        self.assertEqual("failed", ended["outcome"])
        self.assertIn(CANCELLED_REASON, ended["reason"])

    async def test_answer_that_is_cut_is_logged_as_a_caller_that_left(self):
        async def serve(call, sink, trace):
            trace.sent = True
            await sink.start(200, [], None)
            await sink.write(b"begin")
            await wait_for_cancelled()

        self.ingress._serve = serve
        with self.assertRaises(aiohttp.ClientError):
            async with self.get() as response:
                await response.read()
        ended = self.line("ended")
        self.assertEqual("cut", ended["outcome"])
        self.assertIn(CANCELLED_REASON, ended["reason"])

    async def test_next_request_on_the_connection_is_not_served(self):
        served = []

        async def serve(call, sink, trace):
            served.append(call)
            if len(served) == 1:
                await wait_for_cancelled()
            await sink.start(200, [], 4)
            await sink.write(b"next")
            await sink.finish()

        self.ingress._serve = serve
        for status in (503, 200):
            async with self.get() as response:
                self.assertEqual(status, response.status)

    async def test_caller_that_leaves_is_taken_for_a_cancellation_within(self):
        waits = asyncio.Event()

        async def serve(call, sink, trace):
            waits.set()
            await asyncio.Event().wait()

        self.ingress._serve = serve

        async def ask():
            async with self.get() as response:
                await response.read()

        request = asyncio.create_task(ask())
        async with asyncio.timeout(WAIT_SECONDS):
            await waits.wait()
            request.cancel()
            await self.wait_until(lambda: "ended" in self.message_types())
        self.assertEqual("left", self.line("ended")["outcome"])


if __name__ == "__main__":
    unittest.main()
