"""Sidecar's end of the links: a gRPC service for the connections of routers."""

import asyncio
import hmac
from collections.abc import AsyncIterator
from typing import Protocol

import eliot
import grpc

from bluebellshore.ids import IncarnationId
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire import link_pb2_grpc
from bluebellshore.wire.outbox import MAX_FRAME_BYTES, Outbox
from bluebellshore.wire.router_link import TOKEN_METADATA_KEY

__all__ = ["LinkServer", "SidecarLink", "SidecarLinkHandler"]


class SidecarLink:
    """An accepted connection of a router.

    :param hello: greeting of the router.
    :param pack_seconds: minimum time between two frames to the router.
    :ivar incarnation: incarnation of the router.
    :ivar outbox: messages to send to the router.
    :ivar last_received: loop time of the last frame received, in seconds.
    :ivar saw_draining: whether the router knows that the sidecar stops, so that it
        sends no more requests on this link.
    :ivar closed: set to end the connection.
    """

    def __init__(self, hello: pb.RouterHello, pack_seconds: float):
        self.incarnation = IncarnationId(hello.incarnation)
        self.hello = hello
        self.outbox: Outbox[pb.SidecarFrame] = Outbox(pb.SidecarFrame, pack_seconds)
        self.last_received = asyncio.get_running_loop().time()
        self.saw_draining = False
        self.closed = asyncio.Event()

    def close(self) -> None:
        """Ask the server to end the connection."""
        self.closed.set()


class SidecarLinkHandler(Protocol):
    """Handler of the events of a sidecar's links."""

    def greeting(self) -> pb.SidecarFrame:
        """Return the first frame to send on a new link."""

    def link_opened(self, link: SidecarLink) -> None:
        """Handle a new connection of a router."""

    def link_frame(self, link: SidecarLink, frame: pb.RouterFrame) -> None:
        """Handle a frame of the router."""

    def link_closed(self, link: SidecarLink) -> None:
        """Handle the end of a connection that was closed, broke or went silent."""

    def fill_frame(self, link: SidecarLink, frame: pb.SidecarFrame) -> None:
        """Add the data due on `link` to a frame that is about to be sent."""


class LinkServer(link_pb2_grpc.LinkServicer):
    """gRPC server that accepts links of routers.

    :param handler: receives the links' events, called on the event loop.
    :param token: secret shared by routers and sidecars.
    :param pack_seconds: minimum time between two frames on a link.
    :param silent_seconds: time without a frame after which a link is closed.
    """

    def __init__(
        self,
        handler: SidecarLinkHandler,
        *,
        token: str,
        pack_seconds: float,
        silent_seconds: float,
    ):
        self._handler = handler
        self._token = token.encode()
        self._pack_seconds = pack_seconds
        self._silent_seconds = silent_seconds
        self._server = grpc.aio.server(
            options=(
                ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
                ("grpc.max_send_message_length", MAX_FRAME_BYTES),
                ("grpc.so_reuseport", 0),
            )
        )
        link_pb2_grpc.add_LinkServicer_to_server(self, self._server)

    async def start(self, listen: str) -> str:
        """Start to serve on `listen`. :return: ``host:port`` that was bound."""
        host, _, _ = listen.rpartition(":")
        port = self._server.add_insecure_port(listen)
        await self._server.start()
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close all links."""
        await self._server.stop(grace=0.1)

    async def Open(
        self, request_iterator: AsyncIterator[pb.RouterFrame], context
    ) -> None:
        """Serve one link until it ends."""
        await self._authenticate(context)
        first = await context.read()
        if first is grpc.aio.EOF or not first.HasField("hello"):
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "no greeting")
        link = SidecarLink(first.hello, self._pack_seconds)
        await context.write(self._handler.greeting())
        tasks: list[asyncio.Task] = []
        try:
            self._handler.link_opened(link)
            tasks += [
                asyncio.ensure_future(coroutine)
                for coroutine in (
                    self._read(link, context),
                    self._write(link, context),
                    self._wait_for_silence(link),
                    link.closed.wait(),
                )
            ]
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                _log_failure(link, task)
        finally:
            link.close()
            self._handler.link_closed(link)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _authenticate(self, context) -> None:
        metadata = dict(context.invocation_metadata())
        token = str(metadata.get(TOKEN_METADATA_KEY, "")).encode()
        if not hmac.compare_digest(token, self._token):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong link token")

    async def _read(self, link: SidecarLink, context) -> None:
        loop = asyncio.get_running_loop()
        while True:
            frame = await context.read()
            if frame is grpc.aio.EOF:
                return
            link.last_received = loop.time()
            self._handler.link_frame(link, frame)

    async def _write(self, link: SidecarLink, context) -> None:
        while True:
            frame = await link.outbox.take()
            self._handler.fill_frame(link, frame)
            await context.write(frame)

    async def _wait_for_silence(self, link: SidecarLink) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() - link.last_received <= self._silent_seconds:
            await asyncio.sleep(self._silent_seconds / 4)


def _log_failure(link: SidecarLink, task: asyncio.Task) -> None:
    """Log the error of a link's task; the error ends only this link."""
    error = None if task.cancelled() else task.exception()
    if error is None:
        return
    eliot.log_message(
        "link_failed",
        step=getattr(error, "step", "link.handle"),
        peer=link.incarnation,
        reason=f"{type(error).__name__}: {error}",
    )
