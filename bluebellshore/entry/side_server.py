"""HTTP server of a port that is not for callers, such as the readiness port."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from bluebellshore.entry.caller_memory import CallerLimits
from bluebellshore.entry.caller_server import CallerServer
from bluebellshore.entry.request_bodies import length_left

__all__ = ["SideServer"]

MAX_BYTES = 4 * 1024 * 1024
MAX_REQUEST_BYTES = 1024 * 1024
MAX_UNSENT_BYTES = 2 * 1024 * 1024
HEAD_SECONDS = 5.0
MAX_LINE_BYTES = 8 * 1024
#: Bytes of a body that are received before the request is answered.
RECEIVED_BYTES = 4 * 1024


class SideServer(CallerServer):
    """Serves requests without bodies on few connections; idle ones give way.

    A connection whose request has a body is closed after the answer. Crowds of
    strangers are bounded as on the callers' port.

    :param answer: returns the answer of a request.
    :param max_connections: open connections; those who ask there need one each.
    """

    def __init__(
        self,
        answer: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        max_connections: int,
    ):
        super().__init__(
            self._handle,
            head_seconds=lambda: HEAD_SECONDS,
            on_late=lambda seconds: None,
            handler_cancellation=True,
            limits=CallerLimits(
                MAX_BYTES, MAX_REQUEST_BYTES, MAX_UNSENT_BYTES, max_connections
            ),
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            read_bufsize=RECEIVED_BYTES,
            access_log=None,
            lingering_time=0,
        )
        self._answer = answer

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        connection = request.protocol
        connection.request_began(request.content, length_left(request))
        try:
            response = await self._answer(request)
            if not request.content.is_eof():
                response.force_close()
            await response.prepare(request)
            connection.count_unsent(response.content_length or 0)
            await response.write_eof()
            return response
        finally:
            connection.request_ended()
