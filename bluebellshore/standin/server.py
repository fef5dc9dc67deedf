"""HTTP server that the stand-ins share."""

import socket
from typing import TypeVar

import msgspec
from aiohttp import web

__all__ = [
    "HttpServer",
    "decode_body",
    "json_response",
    "split_address",
]

MAX_BODY_BYTES = 64 * 1024 * 1024
#: Header fields of a request; their size is bounded elsewhere.
MAX_FIELDS = 8192

T = TypeVar("T")


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)


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
            max_headers=MAX_FIELDS,
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
