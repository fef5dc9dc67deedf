"""Reaches backend servers over connections of this process's own."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager

from aiohttp.http_parser import RawResponseMessage

from bluebellshore.backend.answer import (
    AnswerHeaders,
    AttemptError,
    AttemptOutcome,
    BackendRequest,
)
from bluebellshore.backend.connection import (
    Connection,
    ConnectionContext,
    open_connection,
)
from bluebellshore.backend.encoding import encode_head
from bluebellshore.backend.pool import ServerPool
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId

__all__ = ["DirectAnswer", "DirectBackend"]

#: Longest time that a connection may take to open: many ways within a region.
CONNECT_SECONDS = 0.5
#: Longest time for the body of a refusal, after which its connection is closed.
REFUSAL_BODY_SECONDS = 0.1
#: Sent by a server that does not serve what is asked (RFC 9110, 15.5.20).
MISDIRECTED_STATUS = 421


class DirectAnswer:
    """An answer that is read from its connection."""

    def __init__(self, connection: Connection, message: RawResponseMessage):
        self._connection = connection
        self._message = message
        self.status: int = message.code
        self.headers: list[tuple[str, str]] = list(message.headers.items())

    def header(self, name: str) -> str:
        """Return the value of a header, empty when absent."""
        return self._message.headers.get(name, "")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; ends only where the body is known to be whole.

        :raises AttemptError: the body broke off or is not what its head announced.
        """
        while data := await self._connection.read():
            yield data


class DirectBackend:
    """Sends requests on pooled connections, each request once.

    :param headers: names of the headers by which answers are told apart.
    :param max_connections: connections that this process may have to a backend
        server.
    :param connect_seconds: longest time that opening one may take.
    """

    def __init__(
        self,
        headers: AnswerHeaders,
        *,
        max_connections: Callable[[BackendServer], int],
        connect_seconds: float = CONNECT_SECONDS,
    ):
        self._headers = headers
        self._max_connections = max_connections
        self._context = ConnectionContext(headers.attempt, connect_seconds)
        #: With the address and birth of the life that it belongs to.
        self._pools: dict[BackendServerId, tuple[tuple[str, int, int], ServerPool]] = {}

    @asynccontextmanager
    async def send(
        self, server: BackendServer, request: BackendRequest
    ) -> AsyncIterator[DirectAnswer]:
        """Send a request once and yield its answer.

        :raises AttemptError: there is no answer to this request; ``outcome`` says
            whether it may have run.
        """
        head = encode_head(request, server.address)
        deadline = asyncio.get_running_loop().time() + request.head_timeout_seconds
        pool = self._pool_of(server)
        limit = self._max_connections(server)
        try:
            async with pool.lease(request.attempt_id, limit, deadline) as connection:
                connection.start(head, request.body, request.attempt_id, request.method)
                message = await self._head(connection, server, deadline)
                await self._check(connection, server, message)
                yield DirectAnswer(connection, message)
        finally:
            if pool.unused and self._pools.get(server.server_id, ("", None))[1] is pool:
                del self._pools[server.server_id]

    def retire_connections(self, server_ids: Iterable[BackendServerId]) -> None:
        """Close idle connections of servers that are gone or began anew."""
        for server_id in server_ids:
            _, pool = self._pools.pop(server_id, (None, None))
            if pool is not None:
                pool.retire()

    async def close(self) -> None:
        """Close all connections."""
        pools = [pool for _, pool in self._pools.values()]
        self._pools.clear()
        lost = [future for pool in pools for future in pool.close()]
        if lost:
            await asyncio.wait(lost)

    def snapshot(self) -> dict[str, object]:
        """Return its state for the dump."""
        return {
            "counts": dict(self._context.counts),
            "pools": {
                server_id: pool.snapshot()
                for server_id, (_, pool) in self._pools.items()
            },
        }

    def _pool_of(self, server: BackendServer) -> ServerPool:
        life = (server.host, server.port, server.born)
        found, pool = self._pools.get(server.server_id, (None, None))
        if pool is not None and found == life:
            return pool
        if pool is not None:
            pool.retire()
        connect = functools.partial(
            open_connection,
            server.host,
            server.port,
            self._context,
        )
        pool = ServerPool(server.address, connect, self._context)
        self._pools[server.server_id] = (life, pool)
        return pool

    async def _head(
        self, connection: Connection, server: BackendServer, deadline: float
    ) -> RawResponseMessage:
        try:
            async with asyncio.timeout_at(deadline):
                return await connection.head()
        except TimeoutError as error:
            raise AttemptError(
                "no head of an answer in time",
                step="backend.read",
                peer=server.address,
                outcome=AttemptOutcome.UNKNOWN,
                timed_out=True,
            ) from error

    async def _check(
        self,
        connection: Connection,
        server: BackendServer,
        message: RawResponseMessage,
    ) -> None:
        """Pass only answers of the backend server to this request.

        :raises AttemptError: it was not run, or this isn't its answer.
        """
        status, headers = message.code, message.headers
        named = self._headers.attempt in headers
        if not named:
            connection.taint()
        outcome, reason = AttemptOutcome.UNKNOWN, ""
        if status == MISDIRECTED_STATUS or self._headers.not_run in headers:
            # Without an id it may be an earlier request's.
            if named or connection.is_first:
                misdirected = status == MISDIRECTED_STATUS
                outcome = (
                    AttemptOutcome.MISDIRECTED
                    if misdirected
                    else AttemptOutcome.NOT_RUN
                )
                reason = f"refused with {status}"
                await self._read_refusal(connection)
            else:
                reason = "a refusal of an unknown request"
        elif not named and status < 400:
            reason = "an answer to an unknown request"
        elif status < 300 and (
            self._headers.signature not in headers or "Content-Encoding" in headers
        ):
            reason = "not the backend server's answer"
        if reason:
            if outcome is AttemptOutcome.UNKNOWN:
                connection.taint()
            raise AttemptError(
                reason,
                step="backend.read",
                peer=server.address,
                outcome=outcome,
                status=status,
            )

    @staticmethod
    async def _read_refusal(connection: Connection) -> None:
        """Read to the end of a refusal, so that its connection can be kept."""
        try:
            async with asyncio.timeout(REFUSAL_BODY_SECONDS):
                while await connection.read():
                    pass
        except (AttemptError, TimeoutError):
            # What its head says stands.
            return
