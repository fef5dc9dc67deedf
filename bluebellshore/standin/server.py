"""HTTP server that the stand-ins share."""

import contextlib
import itertools
import os
import socket
from typing import TypeVar

import msgspec
from aiohttp import web

__all__ = [
    "HttpServer",
    "decode_body",
    "free_low_address",
    "json_response",
    "split_address",
]

MAX_BODY_BYTES = 64 * 1024 * 1024
#: Ports below those from which outgoing connections take theirs (Linux: 32768 on).
FIRST_PORT, PORTS = 12_000, 20_000

# Processes begin at different ports.
_ports = itertools.islice(
    itertools.cycle(range(FIRST_PORT, FIRST_PORT + PORTS)),
    os.getpid() * 37 % PORTS,
    None,
)

T = TypeVar("T")


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def free_low_address() -> str:
    """Return a loopback ``host:port`` that no outgoing connection takes meanwhile.

    A process that is restarted finds it free again.
    """
    for port in _ports:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise OSError("no port is free")


async def decode_body(request: web.Request, message_type: type[T]) -> T:
    """Decode the JSON body of `request`.

    :raises aiohttp.web.HTTPBadRequest: the body is no such message.
    """
    try:
        return msgspec.json.decode(await request.read() or b"{}", type=message_type)
    except msgspec.DecodeError as error:
        raise web.HTTPBadRequest(text=str(error)) from error


def json_response(message: object, status: int = 200) -> web.Response:
    """Encode `message` as a JSON response."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(message),
        content_type="application/json",
    )


class HttpServer:
    """Serves an aiohttp application on one address.

    :param shutdown_seconds: time that :meth:`stop` leaves to open requests.
    :param send_buffer_bytes: bytes that the kernel holds per connection for a slow
        reader; 0 leaves the choice to it.
    :param cancel_on_disconnect: end a request whose caller has left.
    """

    def __init__(
        self,
        app: web.Application,
        listen: str,
        *,
        shutdown_seconds: float = 5.0,
        send_buffer_bytes: int = 0,
        cancel_on_disconnect: bool = True,
    ):
        self.address = listen
        self._listen = listen
        self._send_buffer_bytes = send_buffer_bytes
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=cancel_on_disconnect,
            shutdown_timeout=shutdown_seconds,
        )

    async def start(self) -> None:
        """Begin to serve; ``address`` is then the real one."""
        await self._runner.setup()
        listener = self._bind()
        await web.SockSite(self._runner, listener).start()
        host, port = listener.getsockname()[:2]
        self.address = f"{host}:{port}"

    def _bind(self) -> socket.socket:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self._send_buffer_bytes:
            # Accepted connections inherit the size.
            size = self._send_buffer_bytes
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
        listener.bind(split_address(self._listen))
        return listener

    async def stop(self) -> None:
        """Stop serving."""
        await self._runner.cleanup()
