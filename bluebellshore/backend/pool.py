"""Connections to one backend server, within this process's share of them."""

import asyncio
import collections
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from bluebellshore.backend.answer import AttemptError, AttemptOutcome
from bluebellshore.backend.connection import Connection, ConnectionContext

__all__ = ["ServerPool"]


class ServerPool:
    """Connections to one life of a backend server.

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
        #: Last used last.
        self._idle: list[Connection] = []
        self._active: set[Connection] = set()
        #: Connections that are idle, in use or being opened.
        self._places = 0
        #: Get a connection, or None for the place of one.
        self._waiters: collections.deque[asyncio.Future[Connection | None]] = (
            collections.deque()
        )
        self._sweep: asyncio.TimerHandle | None = None
        self._sweep_due = 0.0
        self._retired = False

    @property
    def unused(self) -> bool:
        """Whether it holds nothing and nobody waits."""
        return not self._places and not self._waiters

    @asynccontextmanager
    async def lease(
        self, attempt_id: str, limit: int, deadline: float
    ) -> AsyncIterator[Connection]:
        """Yield a connection; it is kept afterwards if its answer came whole.

        :param limit: connections of this process to the backend server.
        :param deadline: time of the loop's clock until which to wait for one.
        :raises AttemptError: there is none.
        """
        self._limit = limit
        self._fit()
        connection = await self._acquire(attempt_id, deadline)
        self._active.add(connection)
        try:
            yield connection
        finally:
            self._active.discard(connection)
            self._release(connection)

    def retire(self) -> None:
        """Close what is idle now, and the rest as it comes back."""
        self._retired = True
        if self._sweep is not None:
            self._sweep.cancel()
        while self._idle:
            self._drop(self._idle.pop())
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_exception(self._error("the backend server is gone"))

    def close(self) -> list[asyncio.Future[None]]:
        """Close all. :return: is done once they are closed."""
        connections = [*self._idle, *self._active]
        self.retire()
        for connection in connections:
            connection.close("this process stops")
        return [connection.lost for connection in connections]

    def snapshot(self) -> dict[str, int]:
        """Return its state for the dump."""
        return {
            "idle": len(self._idle),
            "active": len(self._active),
            "opening": self._places - len(self._idle) - len(self._active),
            "waiting": len(self._waiters),
            "limit": self._limit,
        }

    async def _acquire(self, attempt_id: str, deadline: float) -> Connection:
        connection = self._take_idle(attempt_id)
        if connection is None:
            if self._places < self._limit and not self._waiters:
                self._places += 1
            else:
                connection = await self._wait(deadline)
        if connection is None:
            connection = await self._open(deadline)
        elif connection.is_quiet() and not connection.has_carried(attempt_id):
            self._context.counts["reused"] += 1
        else:
            connection.close()
            connection = await self._open(deadline)
        if self._retired or self._loop.time() >= deadline:
            self._drop(connection)
            raise self._error(
                "the backend server is gone" if self._retired else "its time is over"
            )
        return connection

    async def _open(self, deadline: float) -> Connection:
        """Open a connection in a place that is held; gives it back on failure."""
        try:
            async with asyncio.timeout_at(deadline):
                connection = await self._connect()
        except TimeoutError as error:
            self._give(None)
            raise self._error("no connection in time", timed_out=True) from error
        except BaseException:
            self._give(None)
            raise
        if not connection.is_quiet():
            # It was broken already, or what it says can't be an answer.
            self._drop(connection)
            raise self._error("ended or spoke before the request", reset=True)
        return connection

    def _take_idle(self, attempt_id: str) -> Connection | None:
        now = self._loop.time()
        carried: list[Connection] = []
        found = None
        while self._idle and found is None:
            connection = self._idle.pop()
            if connection.keep_until <= now or not connection.is_quiet():
                self._drop(connection)
            elif connection.has_carried(attempt_id):
                carried.append(connection)
            else:
                found = connection
        if found is None and carried and self._places >= self._limit:
            # Takes the place of one that can't carry this attempt.
            found = carried.pop()
        self._idle += reversed(carried)
        return found

    async def _wait(self, deadline: float) -> Connection | None:
        waiter: asyncio.Future[Connection | None] = self._loop.create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout_at(deadline):
                return await waiter
        except TimeoutError as error:
            self._return_late(waiter)
            raise self._error("all connections are in use") from error
        except BaseException:
            self._return_late(waiter)
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _return_late(self, waiter: asyncio.Future[Connection | None]) -> None:
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self._give(waiter.result())

    def _release(self, connection: Connection) -> None:
        if connection.reusable and self._places <= self._limit:
            connection.rest()
            self._give(connection)
        else:
            connection.close("its caller left")
            self._give(None)

    def _give(self, connection: Connection | None) -> None:
        """Pass a place on to who waits, else keep its connection."""
        while self._waiters and not self._retired and self._places <= self._limit:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        if connection is None:
            self._places -= 1
        elif self._retired:
            self._drop(connection)
        else:
            self._idle.append(connection)
            self._plan_sweep(connection.keep_until)

    def _fit(self) -> None:
        """Follow a changed limit."""
        while self._idle and self._places > self._limit:
            self._drop(self._idle.pop(0))
        while self._waiters and self._places < self._limit:
            self._places += 1
            self._give(None)

    def _drop(self, connection: Connection) -> None:
        connection.close()
        self._give(None)

    def _plan_sweep(self, due: float) -> None:
        if self._sweep is not None:
            if self._sweep_due <= due:
                return
            self._sweep.cancel()
        self._sweep_due = due
        self._sweep = self._loop.call_at(due, self._run_sweep)

    def _run_sweep(self) -> None:
        self._sweep = None
        now = self._loop.time()
        idle, self._idle = self._idle, []
        for connection in idle:
            if connection.keep_until <= now or not connection.is_quiet():
                self._drop(connection)
            else:
                self._idle.append(connection)
        if self._idle:
            self._plan_sweep(min(connection.keep_until for connection in self._idle))

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
