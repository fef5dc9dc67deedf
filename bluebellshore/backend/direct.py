"""Sends requests to backend servers over pooled connections."""

import asyncio
import functools
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
from contextlib import asynccontextmanager

from aiohttp.http_parser import RawResponseMessage

from bluebellshore.backend.answer import (
    AnswerHeaders,
    AttemptError,
    AttemptOutcome,
    BackendRequest,
    Backpressure,
)
from bluebellshore.backend.connection import (
    Connection,
    ConnectionContext,
    open_connection,
)
from bluebellshore.backend.encoding import encode_request_head
from bluebellshore.backend.pool import ServerPool
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId
from bluebellshore.traffic import TrafficCounter

__all__ = ["DirectAnswer", "DirectBackend"]

#: Longest time to open a connection: many round trips within a region.
CONNECT_TIMEOUT_SECONDS = 0.5
#: Longest time to read the body of a refusal, so that its connection can be reused.
REFUSAL_BODY_TIMEOUT_SECONDS = 0.1
#: Statuses with which a caller is told that its request never runs.
REFUSAL_STATUSES = frozenset({408, 421, 429, 503})
UNCLEAR_REFUSAL = "a refusal that doesn't say whether the request ran"
#: Status 421, sent by a server that is not the one expected (RFC 9110, 15.5.20).
MISDIRECTED_STATUS = 421


class DirectAnswer:
    """An answer whose body is read from its connection."""

    def __init__(self, connection: Connection, message: RawResponseMessage):
        self._connection = connection
        self._message = message
        self.status: int = message.code
        self.headers: list[tuple[str, str]] = list(message.headers.items())
        self.ends_with_connection = not (
            message.chunked or "Content-Length" in message.headers
        )

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""
        return self._message.headers.get(name, "")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; return only if it is known to be complete.

        :raises AttemptError: the body was cut off or doesn't match its head.
        """
        while data := await self._connection.read_body():
            yield data


class DirectBackend:
    """Sends each request once, over a pooled connection; retries are up to the caller.

    :param headers: names of the headers that identify answers.
    :param max_connections: returns the most connections that this process may have to
        a backend server.
    :param connect_timeout_seconds: longest time that opening a connection may take.
    :param read_backpressure: reads the status and the headers of an answer.
    :param on_backpressure: called for each answer with its server, what it asks for,
        and the monotonic seconds at which its request was sent.
    """

    def __init__(
        self,
        headers: AnswerHeaders,
        *,
        max_connections: Callable[[BackendServer], int],
        connect_timeout_seconds: float = CONNECT_TIMEOUT_SECONDS,
        read_backpressure: Callable[
            [int, Mapping[str, str]], Backpressure
        ] = lambda status, headers: Backpressure(),
        on_backpressure: Callable[
            [BackendServer, Backpressure, float], None
        ] = lambda server, backpressure, sent_at: None,
    ):
        self._headers = headers
        self._read_backpressure = read_backpressure
        self._on_backpressure = on_backpressure
        self._max_connections = max_connections
        self._context = ConnectionContext(headers.attempt, connect_timeout_seconds)
        #: Each pool with the host, port and start time of the server it belongs to.
        self._pools: dict[BackendServerId, tuple[tuple[str, int, int], ServerPool]] = {}

    @property
    def traffic(self) -> TrafficCounter:
        """Bytes of requests and answers."""
        return self._context.traffic

    @asynccontextmanager
    async def send(
        self, server: BackendServer, request: BackendRequest
    ) -> AsyncIterator[DirectAnswer]:
        """Send a request once and yield its answer.

        :raises AttemptError: the request got no answer; ``outcome`` says whether it
            may have run.
        """
        head = encode_request_head(request, server.address)
        deadline = asyncio.get_running_loop().time() + request.head_timeout_seconds
        pool = self._pool_of(server)
        limit = self._max_connections(server)
        try:
            async with pool.lease(request.attempt_id, limit, deadline) as connection:
                sent_at = asyncio.get_running_loop().time()
                connection.send_request(
                    head, request.body, request.attempt_id, request.method
                )
                message = await self._read_head(connection, server, deadline)
                await self._check_head(connection, server, message, sent_at)
                yield DirectAnswer(connection, message)
        finally:
            if (
                pool.is_unused
                and self._pools.get(server.server_id, ("", None))[1] is pool
            ):
                del self._pools[server.server_id]

    def retire_connections(self, server_ids: Iterable[BackendServerId]) -> None:
        """Close the connections of servers that were removed or restarted.

        Connections in use are closed once their answer ends.
        """
        for server_id in server_ids:
            _, pool = self._pools.pop(server_id, (None, None))
            if pool is not None:
                pool.retire()

    def turn_away_waiting(
        self, server_ids: Iterable[BackendServerId], reason: str
    ) -> None:
        """Let no request wait for a connection to these servers any more.

        :param reason: text of the error that the requests get.
        """
        for server_id in server_ids:
            _, pool = self._pools.get(server_id, (None, None))
            if pool is not None:
                pool.turn_away_waiting(reason)

    async def close(self) -> None:
        """Close all connections."""
        pools = [pool for _, pool in self._pools.values()]
        self._pools.clear()
        lost = [future for pool in pools for future in pool.close()]
        if lost:
            await asyncio.wait(lost)

    def snapshot(self) -> dict[str, object]:
        """Return counters and pools for the state dump."""
        return {
            "counts": dict(self._context.counts),
            "pools": {
                server_id: pool.snapshot()
                for server_id, (_, pool) in self._pools.items()
            },
        }

    def _pool_of(self, server: BackendServer) -> ServerPool:
        """Return the server's pool, a new one if the server moved or restarted."""
        identity = (server.host, server.port, server.started_unix_ms)
        found, pool = self._pools.get(server.server_id, (None, None))
        if pool is not None and found == identity:
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
        self._pools[server.server_id] = (identity, pool)
        return pool

    async def _read_head(
        self, connection: Connection, server: BackendServer, deadline: float
    ) -> RawResponseMessage:
        try:
            async with asyncio.timeout_at(deadline):
                return await connection.read_head()
        except TimeoutError as error:
            raise AttemptError(
                "no head of an answer in time",
                step="backend.read",
                peer=server.address,
                outcome=AttemptOutcome.UNKNOWN,
                timed_out=True,
            ) from error

    async def _check_head(
        self,
        connection: Connection,
        server: BackendServer,
        message: RawResponseMessage,
        sent_at: float,
    ) -> None:
        """Check that the head is the backend server's answer to this request.

        :raises AttemptError: the request was refused, or the answer is to another
            request or from an intermediary.
        """
        status, headers = message.code, message.headers
        has_attempt_id = self._headers.attempt in headers
        if not has_attempt_id:
            connection.prevent_reuse()
        outcome, reason = AttemptOutcome.UNKNOWN, ""
        if status == MISDIRECTED_STATUS or self._headers.not_run in headers:
            # A refusal without an attempt id may be to an earlier request.
            if has_attempt_id or connection.is_first_request:
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
        elif not has_attempt_id and (status < 400 or not connection.is_first_request):
            reason = "an answer to an unknown request"
        elif status in REFUSAL_STATUSES:
            reason = UNCLEAR_REFUSAL
        elif status < 300 and (
            self._headers.signature not in headers or "Content-Encoding" in headers
        ):
            reason = "not the backend server's answer"
        if reason in ("", UNCLEAR_REFUSAL) or outcome is AttemptOutcome.NOT_RUN:
            backpressure = self._read_backpressure(status, headers)
            self._on_backpressure(server, backpressure, sent_at)
        if reason:
            if outcome is AttemptOutcome.UNKNOWN:
                connection.prevent_reuse()
            raise AttemptError(
                reason,
                step="backend.read",
                peer=server.address,
                outcome=outcome,
                status=status,
            )

    @staticmethod
    async def _read_refusal(connection: Connection) -> None:
        """Read the body of a refusal, so that its connection can be reused."""
        try:
            async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_SECONDS):
                while await connection.read_body():
                    pass
        except (AttemptError, TimeoutError):
            # The head alone says that the request was refused.
            return
