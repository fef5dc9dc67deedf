"""Tests of when channels to other routers are closed."""

import asyncio
import unittest

import grpc

from bluebellshore.entry.peer_channels import PeerChannels
from bluebellshore.errors import LinkError
from bluebellshore.wire import peer_pb2 as pb
from bluebellshore.wire import peer_pb2_grpc

#: Timeout of calls that end otherwise before.
CALL_SECONDS = 60.0


class SilentServicer(peer_pb2_grpc.PeersServicer):
    """Counts calls and never answers them."""

    def __init__(self):
        self.calls = asyncio.Semaphore(0)

    async def Borrow(self, request, context):  # noqa: N802 (generated interface)
        self.calls.release()
        await asyncio.Event().wait()


class ChannelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.servicer = SilentServicer()
        server = grpc.aio.server()
        peer_pb2_grpc.add_PeersServicer_to_server(self.servicer, server)
        self.address = f"127.0.0.1:{server.add_insecure_port('127.0.0.1:0')}"
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        self.channels = PeerChannels()
        self.addAsyncCleanup(self.channels.close)

    async def begin_call(self):
        """Begin a call. :return: its task, and its channel."""
        call = self.channels.call(
            self.address, "Borrow", pb.LoanRequest(), timeout_seconds=CALL_SECONDS
        )
        task = asyncio.create_task(call)
        await self.servicer.calls.acquire()
        return task, self.channels._by_address[self.address].channel

    async def end(self, task):
        task.cancel()
        await asyncio.wait([task])

    async def test_replaced_channel_stays_open_after_its_last_call(self):
        first, channel = await self.begin_call()
        second, _ = await self.begin_call()
        self.assertEqual(2, await self.channels.replace(self.address))
        await self.end(first)
        self.assertIsNot(grpc.ChannelConnectivity.SHUTDOWN, channel.get_state())
        self.assertFalse(second.done())
        await self.end(second)
        self.assertIs(grpc.ChannelConnectivity.SHUTDOWN, channel.get_state())

    async def test_replaced_channel_without_calls_stays_open(self):
        task, channel = await self.begin_call()
        await self.end(task)
        self.assertEqual(0, await self.channels.replace(self.address))
        self.assertIs(grpc.ChannelConnectivity.SHUTDOWN, channel.get_state())

    async def test_close_leaves_calls_on_replaced_channels(self):
        task, channel = await self.begin_call()
        await self.channels.replace(self.address)
        await self.channels.close()
        self.assertIs(grpc.ChannelConnectivity.SHUTDOWN, channel.get_state())
        with self.assertRaises(LinkError):
            await task


if __name__ == "__main__":
    unittest.main()
