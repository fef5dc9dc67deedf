"""Pool of connections to one backend server, limited to this process's share."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from bluebellshore.backend.answer import AttemptError, AttemptOutcome
from bluebellshore.backend.connection import Connection, ConnectionContext

__all__ = ["ServerPool"]

#: Reason of requests that end because the process closes its connections.
STOP_REASON = "this process stops"


class ServerPool:
    """Connection pool for one run of a backend server, from its start to its end.

    :param peer: address of the backend server, for errors.
    :param connect: opens a connection.
    """

    def __init__(
        self,
        peer: str,
        connect: Callable[[], Awaitable[Connection]],
        context: ConnectionContext,
    ):
        self._loop = asyncio.get_running_loop()
        self._peer = peer
        self._connect = connect
        self._context = context
        self._limit = 1
        #: The most recently used connection is last.
        self._idle: list[Connection] = []
        self._active: set[Connection] = set()
        #: Connections that are idle, in use or being opened, each in one slot of the
        #: limit.
        self._connection_count = 0
        #: Results are an idle connection, or None for a free slot to open one in.
        self._waiters: collections.deque[asyncio.Future[Connection | None]] = (
            collections.deque()
        )
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._sweep_due = 0.0
        #: Why no connection is leased any more; empty as long as the pool is in use.
        self._retired_reason = ""

    @property
    def is_unused(self) -> bool:
        """Whether the pool has no connection and no waiter."""
        return not self._connection_count and not self._waiters

    @asynccontextmanager
    async def lease(
        self, attempt_id: str, limit: int, deadline: float
    ) -> AsyncIterator[Connection]:
        """Yield a connection, and keep it afterwards if its answer was complete.

        :param attempt_id: attempt for which the connection is used.
        :param limit: most connections of this process to the backend server.
        :param deadline: time by the loop's clock until which to wait for a connection.
        :raises AttemptError: no connection could be had.
        """
        self._limit = limit
        self._apply_limit()
        connection = await self._acquire(attempt_id, deadline)
        self._active.add(connection)
        try:
            yield connection
        finally:
            self._active.discard(connection)
            self._release(connection)

    def retire(self, reason: str = "the backend server is gone or restarted") -> None:
        """Close idle connections now, and leased ones when they are released.

        :param reason: text of the error that requests without a connection get.
        """
        self._retired_reason = reason
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        while self._idle:
            self._discard(self._idle.pop())
        self.turn_away_waiting(reason)

    def turn_away_waiting(self, reason: str) -> None:
        """End the waits for a connection, and keep the connections.

        :param reason: text of the error that the requests get.
        """
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(self._error(reason))

    def close(self) -> list[asyncio.Future[None]]:
        """Close all connections.

        :return: futures that are done once the connections are closed.
        """
        connections = [*self._idle, *self._active]
        self.retire(STOP_REASON)
        for connection in connections:
            connection.close(STOP_REASON)
        return [connection.closed for connection in connections]

    def snapshot(self) -> dict[str, int]:
        """Return the pool's counts for the state dump."""
        return {
            "idle": len(self._idle),
            "active": len(self._active),
            "opening": self._connection_count - len(self._idle) - len(self._active),
            "waiting": len(self._waiters),
            "limit": self._limit,
        }

    async def _acquire(self, attempt_id: str, deadline: float) -> Connection:
        connection = self._take_idle(attempt_id)
        if connection is None:
            if self._connection_count < self._limit and not self._waiters:
                self._connection_count += 1
            else:
                connection = await self._wait_for_slot(deadline)
        if connection is None:
            connection = await self._open(deadline)
        elif connection.is_usable() and not connection.has_carried(attempt_id):
            self._context.counts["reused"] += 1
        else:
            connection.close()
            connection = await self._open(deadline)
        if self._retired_reason or self._loop.time() >= deadline:
            self._discard(connection)
            raise self._error(self._retired_reason or "its time is over")
        return connection

    async def _open(self, deadline: float) -> Connection:
        """Open a connection in a slot that is held; release the slot on failure."""
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self._connect()
        except TimeoutError as error:
            self._hand_over(None)
            raise self._error("no connection in time", timed_out=True) from error
        except BaseException:
            self._hand_over(None)
            raise
        if not connection.is_usable():
            # The peer closed it already, or sent data that can't be an answer.
            self._discard(connection)
            raise self._error(
                "ended or spoke before the request",
                reset=True,
            )
        return connection

    def _take_idle(self, attempt_id: str) -> Connection | None:
        """Return the most recently used idle connection that can carry the attempt."""
        now = self._loop.time()
        carried: list[Connection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if connection.reusable_until <= now or not connection.is_usable():
                self._discard(connection)
            elif connection.has_carried(attempt_id):
                carried.append(connection)
            else:
                found = connection
        if found is None and carried and self._connection_count >= self._limit:
            # At the limit, give up an idle connection that can't carry this attempt,
            # so that another one can be opened in its slot.
            found = carried.pop()
        self._idle += reversed(carried)
        return found

    async def _wait_for_slot(self, deadline: float) -> Connection | None:
        """Wait for a released connection, or for a free slot (None)."""
        waiter: asyncio.Future[Connection | None] = self._loop.create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                return await waiter
        except TimeoutError as error:
            self._return_unclaimed(waiter)
            raise self._error("all connections are in use") from error
        except BaseException:
            self._return_unclaimed(waiter)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _return_unclaimed(self, waiter: asyncio.Future[Connection | None]) -> None:
        """Pass on what a waiter was given just before it timed out or was cancelled."""
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self._hand_over(waiter.result())

    def _release(self, connection: Connection) -> None:
        if connection.is_reusable and self._connection_count <= self._limit:
            connection.mark_idle()
            self._hand_over(connection)
        else:
            connection.close("released before the end of the answer")
            self._hand_over(None)

    def _hand_over(self, connection: Connection | None) -> None:
        """Hand a connection or a free slot to the next waiter, else keep or free it.

        :param connection: reusable connection; None for a free slot.
        """
        while (
            self._waiters
            and not self._retired_reason
            and self._connection_count <= self._limit
        ):
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        if connection is None:
            self._connection_count -= 1
        elif self._retired_reason:
            self._discard(connection)
        else:
            self._idle.append(connection)
            self._schedule_sweep(connection.reusable_until)

    def _apply_limit(self) -> None:
        """Close or open up slots after a change of the limit."""
        while self._idle and self._connection_count > self._limit:
            self._discard(self._idle.pop(0))
        while self._waiters and self._connection_count < self._limit:
            self._connection_count += 1
            self._hand_over(None)

    def _discard(self, connection: Connection) -> None:
        connection.close()
        self._hand_over(None)

    def _schedule_sweep(self, due: float) -> None:
        if self._sweep_timer is not None:
            if self._sweep_due <= due:
                return
            self._sweep_timer.cancel()
        self._sweep_due = due
        self._sweep_timer = self._loop.call_at(due, self._sweep_idle)

    def _sweep_idle(self) -> None:
        self._sweep_timer = None
        now = self._loop.time()
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.reusable_until <= now or not connection.is_usable():
                self._discard(connection)
            else:
                self._idle.append(connection)
        if self._idle:
            self._schedule_sweep(
                min(connection.reusable_until for connection in self._idle)
            )

    def _error(
        self, message: str, *, reset: bool = False, timed_out: bool = False
    ) -> AttemptError:
        return AttemptError(
            message,
            step="backend.connect",
            peer=self._peer,
            outcome=AttemptOutcome.NOT_SENT,
            reset=reset,
            timed_out=timed_out,
        )
