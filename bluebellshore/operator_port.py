"""The HTTP port for operators: health check, state dump and bundle updates."""

import contextlib
import dataclasses
import hashlib
import hmac
import socket
from collections.abc import Callable
from typing import Any

import msgspec
from aiohttp import web

__all__ = ["OperatorPort", "bearer_token", "bind", "public_settings"]

#: Settings that a state dump leaves out.
SECRET_SETTINGS = frozenset({"link_token", "operator_token_hash"})
MAX_BODY_BYTES = 32 * 1024 * 1024


def bearer_token(request: web.Request) -> str:
    """Return the bearer token of a request, empty if it has none."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


class OperatorPort:
    """HTTP server for operators; every path but ``/healthz`` needs their bearer token.

    :param listen: ``host:port`` to listen on; port 0 picks a free one.
    :param token_hash: SHA-256 of the bearer token in hex; if empty, every request
        that needs a token is refused.
    :param snapshot: function that returns the state for ``/state``.
    :param offer_bundle: function that takes an encoded bundle update and returns
        whether the bundle was new to this process.
    :ivar address: ``host:port`` bound, valid after :meth:`start`.
    """

    def __init__(
        self,
        listen: str,
        token_hash: str,
        *,
        snapshot: Callable[[], dict[str, Any]],
        offer_bundle: Callable[[bytes], bool],
    ):
        self.address = listen
        self._listen = listen
        self._token_hash = token_hash.lower()
        self._snapshot = snapshot
        self._offer_bundle = offer_bundle
        self._runner: web.AppRunner | None = None
        self._listener: socket.socket | None = None

    async def start(self, listener: socket.socket | None = None) -> str:
        """Start serving.

        :param listener: listening socket to serve on; None to bind one.
        :return: the ``host:port`` bound.
        """
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.get("/healthz", self._get_health),
                web.get("/state", self._get_state),
                web.post("/bundle", self._post_bundle),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        self._listener = listener or bound_socket(self._listen)
        self.address = await serve_on(self._runner, self._listener)
        return self.address

    async def hand_over(self) -> socket.socket:
        """Stop serving, and leave the listening socket open for a successor.

        Connections that are opened in between wait for it.
        """
        listener = self._listener.dup()
        await self.stop()
        return listener

    async def stop(self) -> None:
        """Stop serving and close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _check_token(self, request: web.Request) -> None:
        shown_hash = hashlib.sha256(bearer_token(request).encode()).hexdigest()
        if not self._token_hash or not hmac.compare_digest(
            shown_hash, self._token_hash
        ):
            raise web.HTTPUnauthorized(text="operator token needed\n")

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.Response(text="ok\n")

    async def _get_state(self, request: web.Request) -> web.Response:
        self._check_token(request)
        return web.Response(
            body=msgspec.json.encode(self._snapshot()), content_type="application/json"
        )

    async def _post_bundle(self, request: web.Request) -> web.Response:
        self._check_token(request)
        is_new = self._offer_bundle(await request.read())
        return web.json_response({"new": is_new})


async def bind(
    runner: web.AppRunner, listen: str, *, send_buffer_bytes: int = 0
) -> str:
    """Bind a listening socket and serve `runner` on it.

    :param listen: ``host:port`` to listen on; port 0 picks a free one.
    :param send_buffer_bytes: size of the kernel's send buffer of each connection; 0
        for the kernel's default, which grows to some megabytes for a slow reader.
    :return: the ``host:port`` bound.
    """
    return await serve_on(runner, bound_socket(listen, send_buffer_bytes))


def bound_socket(
    listen: str, send_buffer_bytes: int = 0, receive_buffer_bytes: int = 0
) -> socket.socket:
    """Return a socket bound to ``host:port``, as for :func:`bind`.

    :param receive_buffer_bytes: size of the kernel's receive buffer of each connection;
        0 for the kernel's default.
    """
    host, _, port = listen.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if send_buffer_bytes:
        # Accepted connections inherit the size from the listening socket.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)
    if receive_buffer_bytes:
        size = receive_buffer_bytes
        # A system that doesn't let the size be chosen bounds it by itself.
        with contextlib.suppress(OSError):
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    listener.bind((host, int(port)))
    return listener


async def serve_on(runner: web.AppRunner, listener: socket.socket) -> str:
    """Serve `runner` on a bound socket. :return: its ``host:port``."""
    site = web.SockSite(runner, listener)
    await site.start()
    host, port = runner.addresses[0]
    return f"{host}:{port}"


def public_settings(settings: Any) -> dict[str, Any]:
    """Return the settings of a process by name, without its secrets."""
    fields = dataclasses.asdict(settings)
    return {
        name: value for name, value in fields.items() if name not in SECRET_SETTINGS
    }
