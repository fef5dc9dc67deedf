"""Creates the connections of callers, and the account that they share."""

import asyncio
import collections
from collections.abc import Callable

from aiohttp import web

from bluebellshore.entry.caller_memory import CallerLimits, CallerMemory
from bluebellshore.entry.connections import CallerConnection
from bluebellshore.traffic import TrafficCounter

__all__ = ["CallerServer"]

DEFAULT_HEAD_BYTES = 16 * 1024


class CallerServer(web.Server):
    """Creates a :class:`CallerConnection` for each connection.

    :param head_seconds: passed to each connection, as are `on_late` and `options`.
    :param head_bytes: passed to each connection, too.
    :param limits: what all connections may hold.
    :ivar memory: the account of what they hold.
    :ivar traffic: bytes of all connections.
    :param options: options of aiohttp's ``RequestHandler``.
    """

    def __init__(
        self,
        handler: Callable[..., object],
        *,
        head_seconds: Callable[[], float],
        on_late: Callable[[float], None],
        handler_cancellation: bool,
        head_bytes: Callable[[], int] = lambda: DEFAULT_HEAD_BYTES,
        limits: CallerLimits | None = None,
        **options: object,
    ):
        super().__init__(handler, handler_cancellation=handler_cancellation)
        self.memory = CallerMemory(limits)
        self.traffic = TrafficCounter()
        #: Connections with bodies that take long to parse; a piece of one at a time.
        self._slow: collections.deque[CallerConnection] = collections.deque()
        self._options = options | {
            "head_seconds": head_seconds,
            "head_bytes": head_bytes,
            "on_late": on_late,
            "all_traffic": self.traffic,
            "memory": self.memory,
            "parse_later": self._parse_later,
        }

    def __call__(self) -> CallerConnection:
        """Return the protocol object of a new connection."""
        loop = asyncio.get_running_loop()
        return CallerConnection(self, loop=loop, **self._options)

    def _parse_later(self, connection: CallerConnection) -> None:
        self._slow.append(connection)
        if len(self._slow) == 1:
            asyncio.get_running_loop().call_soon(self._parse_next)

    def _parse_next(self) -> None:
        connection = self._slow[0]
        try:
            connection.parse_ahead()
        finally:
            self._slow.popleft()
            if self._slow:
                asyncio.get_running_loop().call_soon(self._parse_next)
