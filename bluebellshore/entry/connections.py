"""Connections of callers, with a bound on the time that the head of a request takes."""

import asyncio
from collections.abc import Callable

from aiohttp import StreamReader, web
from aiohttp.web_protocol import RequestHandler

__all__ = ["CallerConnection", "CallerServer"]

#: A head that is late gets this much more: a process that was paused finds its timers
#: due before it reads what came meanwhile.
LAST_LOOK_SECONDS = 0.1
LATE_HEAD = (
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)


class CallerConnection(RequestHandler):
    """Closes itself when the rest of a head does not come in time.

    The time begins with the first byte after the last request; a connection that
    stands idle has none.

    :param head_seconds: returns the longest time from the first byte of a head to its
        end.
    :param on_late: called when a head took longer, with that time.
    """

    __slots__ = (
        "_body",
        "_busy",
        "_head_seconds",
        "_head_timer",
        "_next_began",
        "_on_late",
    )

    def __init__(
        self,
        manager: web.Server,
        *,
        head_seconds: Callable[[], float],
        on_late: Callable[[float], None],
        **options: object,
    ):
        super().__init__(manager, **options)
        self._head_seconds = head_seconds
        self._on_late = on_late
        self._head_timer: asyncio.TimerHandle | None = None
        #: Of the last request; it may still come after an early refusal.
        self._body: StreamReader | None = None
        self._busy = False
        self._next_began = False

    def request_began(self, body: StreamReader) -> None:
        """Take in that a whole head was read; `body` may be on its way."""
        self._body, self._busy = body, True
        self._stop_timer()

    def request_ended(self) -> None:
        """Take in that the answer is done; the next head may have begun meanwhile."""
        self._busy = False
        if self._next_began:
            self._next_began = False
            self._start_timer()

    def close_idle(self) -> None:
        """Close the connection unless a request or a part of one has come."""
        if not self._busy and self._head_timer is None:
            self.force_close()

    def data_received(self, data: bytes) -> None:
        """Read bytes; the first ones of a head begin its time.

        aiohttp calls this without bytes when it goes on reading.
        """
        if data and (self._body is None or self._body.is_eof()):
            if self._busy:
                self._next_began = True
            else:
                self._start_timer()
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End with the connection."""
        self._stop_timer()
        super().connection_lost(exc)

    def _start_timer(self) -> None:
        if self._head_timer is None:
            seconds = self._head_seconds()
            self._head_timer = asyncio.get_running_loop().call_later(
                seconds, self._look_again, seconds
            )

    def _look_again(self, seconds: float) -> None:
        self._head_timer = asyncio.get_running_loop().call_later(
            LAST_LOOK_SECONDS, self._close_late, seconds
        )

    def _close_late(self, seconds: float) -> None:
        self._head_timer = None
        if self.transport is None or self.transport.is_closing():
            return
        self._on_late(seconds)
        self.transport.write(LATE_HEAD)
        self.force_close()

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None


class CallerServer(web.Server):
    """Makes a :class:`CallerConnection` for each connection.

    :param head_seconds: of each connection, as is `on_late`.
    :param options: of aiohttp's server and connections.
    """

    def __init__(
        self,
        handler: Callable[..., object],
        *,
        head_seconds: Callable[[], float],
        on_late: Callable[[float], None],
        handler_cancellation: bool,
        **options: object,
    ):
        super().__init__(handler, handler_cancellation=handler_cancellation)
        self._options = options | {"head_seconds": head_seconds, "on_late": on_late}

    def __call__(self) -> CallerConnection:
        """Return a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self._options)
