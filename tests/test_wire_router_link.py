"""Tests of a router's end of a link to a sidecar."""

import asyncio
import contextlib
import unittest
from unittest import mock

from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.router_link import RouterLink

#: Longest wait for a reconnect, which takes fractions of a second.
WAIT_SECONDS = 60.0


class CancelledCall:
    """Call whose reads are cancelled by another task."""

    async def read(self):
        raise asyncio.CancelledError

    async def write(self, frame):
        pass


class RouterLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_link_whose_read_is_cancelled_is_lost_for_good(self):
        opened = asyncio.Semaphore(0)

        @contextlib.asynccontextmanager
        async def connection():
            opened.release()
            yield CancelledCall()

        link = RouterLink(
            "127.0.0.1:1",
            pb.RouterHello(),
            mock.Mock(),
            token="",
            heartbeat_seconds=1.0,
            silent_seconds=WAIT_SECONDS,
        )
        link._connection = connection
        task = asyncio.create_task(link.run())
        async with asyncio.timeout(WAIT_SECONDS):
            await opened.acquire()
            await opened.acquire()
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task


if __name__ == "__main__":
    unittest.main()
