"""Connections to other routers, and the calls made on them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import grpc

from bluebellshore.cancellation import is_cancelling
from bluebellshore.errors import LinkError
from bluebellshore.traffic import TrafficCounter
from bluebellshore.wire import peer_pb2_grpc

__all__ = ["CHANNEL_OPTIONS", "PeerChannels", "server_options"]

CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.max_send_message_length", 16 * 1024 * 1024),
)
#: Time in which a connection to this router must begin as one of a peer, and after
#: which one without calls is closed. A peer opens another with its next call.
HANDSHAKE_MILLISECONDS = 5_000
IDLE_MILLISECONDS = 60_000


def server_options(max_connections: int) -> tuple[tuple[str, int], ...]:
    """Return the options of the port for peers, which strangers may reach as well.

    :param max_connections: open connections; more are closed at once.
    """
    return (
        *CHANNEL_OPTIONS,
        ("grpc.max_allowed_incoming_connections", max_connections),
        ("grpc.server_handshake_timeout_ms", HANDSHAKE_MILLISECONDS),
        ("grpc.max_connection_idle_ms", IDLE_MILLISECONDS),
    )


class _Channel:
    """A channel to one router.

    :ivar calls: calls in progress.
    :ivar replaced: whether later calls use another channel.
    """

    def __init__(self, address: str):
        self.channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self.stub = peer_pb2_grpc.PeersStub(self.channel)
        self.calls = 0
        self.replaced = False


class PeerChannels:
    """One channel for each address, opened by the first call.

    Calls of many requests share a channel. ``grpc.aio`` ends the calls on a channel
    that is closed by raising ``CancelledError`` in the tasks that await them, as if
    these tasks were cancelled. So a channel is closed once no call uses it, and a call
    that ends in this way at the stop fails with a :class:`LinkError`.

    :ivar traffic: bytes of calls and answers.
    """

    def __init__(self) -> None:
        self._by_address: dict[str, _Channel] = {}
        #: Channels that were replaced while calls were in progress on them.
        self._replaced: set[_Channel] = set()
        self._closed = False
        self.traffic = TrafficCounter()

    async def call(
        self, address: str, method: str, request: Any, *, timeout_seconds: float
    ) -> Any:
        """Make one call of the ``Peers`` service. :return: the answer.

        :param method: name of the call.
        :raises LinkError: no answer came; the peer may have acted on the call.
        """
        step = f"peers.{method}"
        if self._closed:
            raise LinkError("the exchange has stopped", step=step, peer=address)
        try:
            async with asyncio.timeout(timeout_seconds), self._use(address) as channel:
                call = getattr(channel.stub, method)
                self.traffic.sent_bytes += request.ByteSize()
                reply = await call(request, timeout=timeout_seconds)
                self.traffic.received_bytes += reply.ByteSize()
                return reply
        except grpc.aio.AioRpcError as error:
            raise LinkError(error.code().name, step=step, peer=address) from error
        except TimeoutError as error:
            message = f"no answer in {timeout_seconds} s"
            raise LinkError(message, step=step, peer=address) from error
        except asyncio.CancelledError as error:
            if is_cancelling():
                raise
            message = "the call was cancelled by this router"
            raise LinkError(message, step=step, peer=address) from error

    async def replace(self, address: str) -> int:
        """Have later calls open another connection.

        Calls in progress keep theirs: each has a timeout of its own, and the connection
        may only be slow.

        :return: the number of calls in progress.
        """
        channel = self._by_address.pop(address, None)
        if channel is None:
            return 0
        channel.replaced = True
        if channel.calls:
            self._replaced.add(channel)
        else:
            await channel.channel.close()
        return channel.calls

    async def close(self) -> None:
        """Close all channels; calls in progress and later ones fail."""
        self._closed = True
        channels = [*self._by_address.values(), *self._replaced]
        self._by_address.clear()
        self._replaced.clear()
        for channel in channels:
            await channel.channel.close()

    @contextlib.asynccontextmanager
    async def _use(self, address: str) -> AsyncIterator[_Channel]:
        """Yield a channel that stays open until the end of the context."""
        channel = self._by_address.get(address)
        if channel is None:
            channel = self._by_address[address] = _Channel(address)
        channel.calls += 1
        try:
            yield channel
        finally:
            channel.calls -= 1
            if channel.replaced and not channel.calls:
                self._replaced.discard(channel)
                await channel.channel.close()
