"""A TCP server on loopback that runs a test's script on each connection."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId, ServiceName

__all__ = [
    "ATTEMPT",
    "NOT_RUN",
    "RESET_ON_CLOSE",
    "SIGNATURE",
    "Peer",
    "ScriptedServer",
    "answer",
    "scripted_server",
]

ATTEMPT = "X-Try"
NOT_RUN = "X-Untouched"
SIGNATURE = "X-Sealed"
#: ``SO_LINGER`` value with which closing a socket resets its connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def answer(
    attempt_id: str | None,
    body: bytes = b"",
    *,
    status: int = 200,
    headers: tuple[str, ...] = (),
    signed: bool = True,
    length: int | None = -1,
) -> bytes:
    """Encode an answer, which announces a long keep-alive timeout by default.

    :param signed: whether it has the signature of a backend server.
    :param length: its ``Content-Length``; -1 for the length of `body`, None for none.
    """
    lines = [f"HTTP/1.1 {status} Some", *headers]
    if not any(line.startswith("Keep-Alive") for line in headers):
        lines.append("Keep-Alive: timeout=100")
    if attempt_id is not None:
        lines.append(f"{ATTEMPT}: {attempt_id}")
    if signed:
        lines.append(f"{SIGNATURE}: s")
    if length is not None:
        lines.append(f"Content-Length: {len(body) if length < 0 else length}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Peer:
    """Server side of a connection.

    :ivar number: number of the connection, counted from 0.
    """

    def __init__(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ):
        self.number = number
        self.reader = reader
        self.writer = writer

    async def head(self) -> bytes:
        """Read the head of a request."""
        return await self.reader.readuntil(b"\r\n\r\n")

    async def attempt(self) -> str:
        """Read the head of a request.

        :return: its attempt id; empty if the client closed the connection.
        """
        try:
            head = await self.head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return ""
        return head.partition(f"{ATTEMPT}: ".encode())[2].partition(b"\r")[0].decode()

    async def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)
        await self.writer.drain()

    async def wait_for_end(self) -> bool:
        """Read until the client closes the connection.

        :return: whether it was reset.
        """
        try:
            while await self.reader.read(65536):
                pass
        except ConnectionError:
            return True
        return False

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()


class ScriptedServer:
    """A running server.

    :ivar peers: connections accepted so far, in order.
    """

    def __init__(self, port: int):
        self.port = port
        self.peers: list[Peer] = []

    def instance_entry(self, **fields) -> BackendServer:
        """Return the server's entry in the instance list."""
        return BackendServer(
            **{
                "server_id": BackendServerId("b1"),
                "service": ServiceName("s"),
                "host": "127.0.0.1",
                "port": self.port,
                **fields,
            }
        )


@asynccontextmanager
async def scripted_server(
    script: Callable[[Peer], Awaitable[None]],
) -> AsyncIterator[ScriptedServer]:
    """Run `script` on each connection, and raise its first exception at the end."""
    tasks: set[asyncio.Task] = set()
    errors: list[Exception] = []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        peer = Peer(len(running.peers), reader, writer)
        running.peers.append(peer)
        tasks.add(asyncio.current_task())
        try:
            await script(peer)
        except Exception as error:
            errors.append(error)
        except asyncio.CancelledError:
            return
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    running = ScriptedServer(server.sockets[0].getsockname()[1])
    try:
        yield running
    finally:
        server.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    if errors:
        raise errors[0]
