"""Gives requests their backend server, at once or after a wait."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from bluebellshore.entry.knowledge import Knowledge
from bluebellshore.entry.rollouts import Rollouts
from bluebellshore.errors import OverloadError
from bluebellshore.fleet import Call
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.routing.load import LoadBook, Ticket
from bluebellshore.routing.placement import Place, Placer, Refuse, Wait
from bluebellshore.routing.results import Result
from bluebellshore.routing.suspicion import Suspicion
from bluebellshore.routing.waiting import WaitingQueue

__all__ = ["Admission", "Admitted"]

#: Requests that may wait for one service. A head and a prompt of tens of kilobytes
#: each stay far below an entry instance's memory.
MOST_WAITING = 256
#: Poll of what waits: other routers' work ends unseen.
POLL_SECONDS = 0.03


class Admitted(msgspec.Struct, frozen=True):
    """A place that is taken from now on.

    :param waited_seconds: time from the request for it.
    """

    place: Place
    ticket: Ticket
    waited_seconds: float


class _Waiting(msgspec.Struct, eq=False):
    call: Call
    tried: set[BackendServerId]
    future: asyncio.Future[tuple[Place, Ticket]]


class Admission:
    """Places requests, and queues those of a service for which there is no room."""

    def __init__(
        self,
        knowledge: Knowledge,
        book: LoadBook,
        placer: Placer,
        suspicion: Suspicion,
        rollouts: Rollouts,
    ):
        self._knowledge = knowledge
        self._book = book
        self._placer = placer
        self._suspicion = suspicion
        self._rollouts = rollouts
        self._queues: dict[ServiceName, WaitingQueue] = {}
        self._waiting: dict[str, _Waiting] = {}

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiting)

    @asynccontextmanager
    async def place(
        self, call: Call, service: ServiceName, tried: set[BackendServerId]
    ) -> AsyncIterator[Admitted]:
        """Wait for a backend server with room; its place is taken within the context.

        The context ends the attempt in the load book unless that was done.

        :raises OverloadError: there will be none in time.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        place, ticket = await self._take(call, service, tried)
        try:
            yield Admitted(place, ticket, loop.time() - began_at)
        finally:
            self._book.abandon(ticket, loop.time())
            self.freed(service)

    def freed(self, service: ServiceName) -> None:
        """Start what waits for a service, as far as there is room."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now = asyncio.get_running_loop().time()
        for call, refuse in queue.expired(now):
            self._resolve(call, refuse)
        found: list[Place] = []

        def fits(call: Call) -> bool:
            waiting = self._waiting[call.attempt_id]
            decision = self._choose(call, service, waiting.tried, now)
            if isinstance(decision, Place):
                found.append(decision)
            return isinstance(decision, Place)

        while (call := queue.next(now, fits)) is not None:
            self._resolve(call, found.pop())

    async def run(self) -> None:
        """Look after what waits until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for service in self._queues:
                self.freed(service)

    async def _take(
        self, call: Call, service: ServiceName, tried: set[BackendServerId]
    ) -> tuple[Place, Ticket]:
        now = asyncio.get_running_loop().time()
        queue = self._queues.setdefault(service, WaitingQueue(MOST_WAITING))
        decision: object = Wait("others wait")
        if not len(queue):
            decision = self._choose(call, service, tried, now)
        if isinstance(decision, Place):
            queue.note_start(call, now)
            return decision, self._book.begin(call, decision.server, now)
        if not isinstance(decision, Refuse):
            decision = queue.offer(call, now)
        if isinstance(decision, Refuse):
            raise _overload(decision)
        return await self._wait(call, service, tried, queue)

    async def _wait(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        queue: WaitingQueue,
    ) -> tuple[Place, Ticket]:
        loop = asyncio.get_running_loop()
        waiting = _Waiting(call, tried, loop.create_future())
        self._waiting[call.attempt_id] = waiting
        try:
            self.freed(service)
            return await waiting.future
        except asyncio.CancelledError:
            queue.withdraw(call)
            future = waiting.future
            if future.done() and not future.cancelled() and not future.exception():
                self._book.end(future.result()[1], Result.LEFT, loop.time())
            raise
        finally:
            self._waiting.pop(call.attempt_id, None)

    def _resolve(self, call: Call, decision: Place | Refuse) -> None:
        waiting = self._waiting.pop(call.attempt_id, None)
        if waiting is None or waiting.future.done():
            return
        if isinstance(decision, Refuse):
            waiting.future.set_exception(_overload(decision))
            return
        now = asyncio.get_running_loop().time()
        ticket = self._book.begin(call, decision.server, now)
        waiting.future.set_result((decision, ticket))

    def _choose(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        now: float,
    ) -> Place | Wait | Refuse:
        servers = self._knowledge.servers_of(service, now)
        servers = self._rollouts.candidates(call, servers, now)
        usable = self._suspicion.usable(servers, now)
        decision = self._placer.place(call, usable, now, tried)
        if isinstance(decision, Refuse) and tried:
            return self._placer.place(call, usable, now)
        return decision


def _overload(refuse: Refuse) -> OverloadError:
    return OverloadError(
        refuse.reason, step="admission", retry_after=refuse.retry_after_seconds
    )
