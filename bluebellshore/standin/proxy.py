"""TCP proxy that injects network faults."""

import asyncio
import socket
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from bluebellshore.settings import ProxySettings
from bluebellshore.standin.proxy_connection import ProxyConnection, reset_on_close
from bluebellshore.standin.proxy_faults import (
    DirectionFaults,
    ProxyFaultChange,
    ProxyStats,
    Swallow,
)
from bluebellshore.standin.server import (
    HttpServer,
    decode_body,
    json_response,
    split_address,
)

__all__ = ["FaultProxy"]

SOCKET_BUFFER_BYTES = 64 * 1024
LISTEN_BACKLOG = 256
#: Pause after a connection that could not be accepted.
ACCEPT_PAUSE_SECONDS = 0.05


class FaultProxy:
    """Serving role of the fault proxy.

    ``address`` passes connections on; ``operator_address`` takes the faults.
    """

    def __init__(self, settings: ProxySettings):
        self._settings = settings
        self.address = settings.listen
        self.stats = ProxyStats()
        self.refuse_new = False
        self._up = DirectionFaults()
        self._down = DirectionFaults()
        self._connections: set[ProxyConnection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        app = web.Application()
        app.add_routes(
            [
                web.post("/control/faults", self._change_faults),
                web.get("/control/stats", self._show_stats),
            ]
        )
        self._control = HttpServer(app, settings.control_listen)

    @property
    def operator_address(self) -> str:
        """Return ``host:port`` of the control port."""
        return self._control.address

    async def start(self) -> None:
        """Begin to pass connections on."""
        await self._control.start()
        listener = _new_socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(split_address(self._settings.listen))
        listener.listen(LISTEN_BACKLOG)
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        self._spawn(self._accept(listener))

    async def stop(self) -> None:
        """Stop listening and break the open connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._control.stop()

    def apply(self, change: ProxyFaultChange) -> None:
        """Put faults in force."""
        if change.up:
            self._up.apply(change.up)
        if change.down:
            self._down.apply(change.down)
        if change.refuse_new is not None:
            self.refuse_new = change.refuse_new
        for connection in list(self._connections):
            self._apply_to(connection, change)

    def _apply_to(self, connection: ProxyConnection, change: ProxyFaultChange) -> None:
        up = change.up is not None and _swallows(change.up.swallow)
        down = change.down is not None and _swallows(change.down.swallow)
        if up or down:
            connection.silence(up=up, down=down)
        if change.half_open:
            connection.half_open()
        if change.cut:
            self.stats.cut += 1
            connection.cut()

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with listener:
            while True:
                try:
                    client, _ = await loop.sock_accept(listener)
                except OSError:  # no descriptor is free for now
                    await asyncio.sleep(ACCEPT_PAUSE_SECONDS)
                    continue
                client.setblocking(False)
                self._spawn(self._pass_on(client))

    async def _pass_on(self, client: socket.socket) -> None:
        self.stats.accepted += 1
        upstream = _new_socket()
        if self.refuse_new or not await self._connect(upstream):
            self.stats.refused += 1
            reset_on_close(client)
            client.close()
            upstream.close()
            return
        client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upstream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await self._carry(
            ProxyConnection(client, upstream, self._up, self._down, self.stats)
        )

    async def _connect(self, upstream: socket.socket) -> bool:
        address = split_address(self._settings.upstream)
        try:
            await asyncio.get_running_loop().sock_connect(upstream, address)
        except OSError:
            return False
        return True

    async def _carry(self, connection: ProxyConnection) -> None:
        self._connections.add(connection)
        self.stats.open += 1
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            self.stats.open -= 1

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change_faults(self, request: web.Request) -> web.Response:
        self.apply(await decode_body(request, ProxyFaultChange))
        return web.Response(status=204)

    async def _show_stats(self, request: web.Request) -> web.Response:
        return json_response(self.stats)


def _swallows(swallow: Swallow | None) -> bool:
    return swallow is not None and swallow is not Swallow.NONE


def _new_socket() -> socket.socket:
    """Return a socket with small kernel buffers, inherited by accepted ones."""
    new = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    new.setblocking(False)
    new.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    new.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    return new
