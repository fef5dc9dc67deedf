"""Router's end of a link to a sidecar, which reconnects after each loss."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from typing import Protocol

import eliot
import grpc

from bluebellshore.cancellation import is_cancelling
from bluebellshore.errors import LinkError
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire import link_pb2_grpc
from bluebellshore.wire.outbox import MAX_FRAME_BYTES, Outbox, split_frame

__all__ = ["LinkHandler", "RouterLink", "TOKEN_METADATA_KEY"]

#: gRPC metadata entry that carries the link secret.
TOKEN_METADATA_KEY = "x-link-token"
CONNECT_TIMEOUT_SECONDS = 2.0
MIN_RECONNECT_DELAY_SECONDS = 0.05
MAX_RECONNECT_DELAY_SECONDS = 1.0
#: Lifetime of a connection after which the reconnect delay starts at its minimum.
STABLE_CONNECTION_SECONDS = 3.0

#: The subchannel pool is local, because a shared one would give a new link the silent
#: connection that it replaces.
CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.enable_retries", 0),
)


class LinkHandler(Protocol):
    """Handler of the events of a router's links."""

    def link_opened(self, link: "RouterLink", hello: pb.SidecarHello) -> None:
        """Handle a new connection, whose ``link.outbox`` is empty."""

    def link_frame(self, link: "RouterLink", frame: pb.SidecarFrame) -> None:
        """Handle a frame of the sidecar."""

    def link_lost(self, link: "RouterLink") -> None:
        """Handle a connection that broke, went silent or could not be established."""

    def link_heartbeat(self, link: "RouterLink") -> None:
        """Add messages to ``link.outbox.frame`` before a heartbeat is sent."""


class RouterLink:
    """Link to a sidecar, reconnected when it breaks or goes silent.

    :param address: ``host:port`` of the sidecar.
    :param hello: greeting to send in the first frame.
    :param handler: receives events, called on the event loop.
    :param token: secret shared by routers and sidecars.
    :param heartbeat_seconds: interval of heartbeats.
    :param silent_seconds: maximum time without a frame from the sidecar.
    :ivar sidecar: greeting of the connected sidecar; None without a connection.
    :ivar outbox: messages to send on the current connection.
    """

    def __init__(
        self,
        address: str,
        hello: pb.RouterHello,
        handler: LinkHandler,
        *,
        token: str,
        heartbeat_seconds: float,
        silent_seconds: float,
    ):
        self.address = address
        self.hello = hello
        self.sidecar: pb.SidecarHello | None = None
        self.outbox: Outbox[pb.RouterFrame] = Outbox(pb.RouterFrame)
        self.frames_received = 0
        self.bytes_received = 0
        self._handler = handler
        self._token = token
        self._heartbeat_seconds = heartbeat_seconds
        self._silent_seconds = silent_seconds
        self._last_received = 0.0
        self._sequence = 0

    async def run(self) -> None:
        """Keep the link connected until cancelled."""
        delay = MIN_RECONNECT_DELAY_SECONDS
        while True:
            started_at = asyncio.get_running_loop().time()
            try:
                async with self._connection() as call:
                    await self._run_connection(call)
            except (grpc.aio.AioRpcError, LinkError, TimeoutError) as error:
                self._log_lost(error)
            except (Exception, asyncio.CancelledError) as error:
                # A malformed frame must only end this connection, not the link, and so
                # must a cancellation that isn't the link's own.
                if is_cancelling():
                    raise
                eliot.write_traceback()
                self._log_lost(error)
            finally:
                self.sidecar = None
                self._handler.link_lost(self)
            if (
                asyncio.get_running_loop().time() - started_at
                > STABLE_CONNECTION_SECONDS
            ):
                delay = MIN_RECONNECT_DELAY_SECONDS
            await asyncio.sleep(delay * random.uniform(0.5, 1.0))
            delay = min(delay * 2, MAX_RECONNECT_DELAY_SECONDS)

    def _log_lost(self, error: BaseException) -> None:
        eliot.log_message(
            "link_lost",
            step=getattr(error, "step", "link.handle"),
            peer=self.address,
            reason=_reason_of(error),
        )

    @contextlib.asynccontextmanager
    async def _connection(self) -> AsyncIterator[grpc.aio.StreamStreamCall]:
        async with grpc.aio.insecure_channel(
            self.address, options=CHANNEL_OPTIONS
        ) as channel:
            metadata = ((TOKEN_METADATA_KEY, self._token),)
            call = link_pb2_grpc.LinkStub(channel).Open(metadata=metadata)
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    await call.write(pb.RouterFrame(hello=self.hello))
                    first = await call.read()
                if first is grpc.aio.EOF or not first.HasField("hello"):
                    raise LinkError(
                        "sidecar sent no greeting", step="link.open", peer=self.address
                    )
                self.outbox = Outbox(pb.RouterFrame)
                self.sidecar = first.hello
                self._last_received = asyncio.get_running_loop().time()
                self._handler.link_opened(self, first.hello)
                self._handler.link_frame(self, first)
                yield call
            finally:
                call.cancel()

    async def _run_connection(self, call: grpc.aio.StreamStreamCall) -> None:
        tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                self._read(call),
                self._write(call),
                self._send_heartbeats(),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _read(self, call: grpc.aio.StreamStreamCall) -> None:
        loop = asyncio.get_running_loop()
        while True:
            frame = await call.read()
            if frame is grpc.aio.EOF:
                raise LinkError(
                    "sidecar closed the link", step="link.read", peer=self.address
                )
            self._last_received = loop.time()
            self.frames_received += 1
            self._handler.link_frame(self, frame)

    async def _write(self, call: grpc.aio.StreamStreamCall) -> None:
        while True:
            for frame in split_frame(await self.outbox.take()):
                await call.write(frame)

    async def _send_heartbeats(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() - self._last_received > self._silent_seconds:
                raise LinkError(
                    "silent",
                    step="link.heartbeat",
                    peer=self.address,
                )
            self._sequence += 1
            self.outbox.frame.sequence = self._sequence
            self._handler.link_heartbeat(self)
            self.outbox.notify()
            await asyncio.sleep(self._heartbeat_seconds)


def _reason_of(error: BaseException) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return error.details() or error.code().name
    return str(error) or type(error).__name__
