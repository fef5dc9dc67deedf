"""Writes the answer of a request to its caller's connection."""

from collections.abc import Callable

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter

from bluebellshore.platform.requests import CONNECTION_HEADERS

__all__ = ["HttpSink"]

#: Largest piece that is written at once.
PIECE_BYTES = 32 * 1024


class HttpSink:
    """Writes one answer to a caller's connection.

    :param close: returns whether to close the connection after the answer.
    :ivar response: None until the head was written.
    """

    def __init__(self, request: web.BaseRequest, close: Callable[[], bool]):
        self._request = request
        self._close = close
        self._writer: AbstractStreamWriter | None = None
        self.response: web.StreamResponse | None = None

    @property
    def status(self) -> int:
        """Status written to the caller; 0 before the head was written."""
        return 0 if self.response is None else self.response.status

    @property
    def unsent_bytes(self) -> int:
        """Bytes buffered in this process for the caller."""
        transport = self._request.transport
        return 0 if transport is None else transport.get_write_buffer_size()

    async def start(
        self, status: int, headers: list[tuple[str, str]], length: int | None
    ) -> None:
        """Write the head.

        :param length: bytes of the body; None when unknown.
        """
        response = web.StreamResponse(status=status)
        for name, value in headers:
            if name.lower() not in CONNECTION_HEADERS:
                response.headers.add(name, value)
        if length is not None:
            response.content_length = length
        if self._close():
            response.force_close()
        self.response = response
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        """Write a part of the body."""
        connection = self._request.protocol
        connection.count_sent(len(data))
        if len(data) <= PIECE_BYTES:
            if data:
                await self.response.write(data)
                connection.count_unsent()
            return
        for start in range(0, len(data), PIECE_BYTES):
            piece = data[start : start + PIECE_BYTES]
            # Counted before, as the write ends when the caller has read enough.
            connection.count_unsent(len(piece))
            await self.response.write(piece)
            connection.count_unsent()

    async def finish(self) -> None:
        """Mark the end of the body; the answer is complete."""
        await self.response.write_eof()

    def abort(self) -> web.StreamResponse:
        """Abort the connection, so that the caller sees the answer as incomplete."""
        if self._request.transport is not None:
            self._request.transport.abort()
        return self.response or web.Response()
