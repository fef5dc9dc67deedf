"""Gives requests their backend server, at once or after a wait."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.knowledge import Knowledge
from bluebellshore.entry.rollouts import Rollouts
from bluebellshore.errors import OverloadError
from bluebellshore.fleet import Call
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.routing.load import LoadBook, LoadView, Ticket
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
    :param candidates: backend servers among which it was chosen.
    :param view: what was known of the chosen one.
    """

    place: Place
    ticket: Ticket
    waited_seconds: float
    candidates: int
    view: LoadView


class _Choice(msgspec.Struct, frozen=True):
    """A decision, with the backend servers listed and those that were usable."""

    decision: Place | Wait | Refuse
    listed: int | None = None
    usable: int | None = None


class _Taken(msgspec.Struct, frozen=True):
    place: Place
    ticket: Ticket
    candidates: int
    view: LoadView


class _Waiting(msgspec.Struct, eq=False):
    call: Call
    tried: set[BackendServerId]
    future: asyncio.Future[_Taken]
    choice: _Choice
    ahead: int


class Admission:
    """Places requests, and queues those of a service for which there is no room."""

    def __init__(
        self,
        knowledge: Knowledge,
        book: LoadBook,
        placer: Placer,
        suspicion: Suspicion,
        log: DecisionLog | None = None,
        rollouts: Rollouts | None = None,
    ):
        self._log = log or silent_log()
        self._knowledge = knowledge
        self._book = book
        self._placer = placer
        self._suspicion = suspicion
        self._rollouts = rollouts
        self._queues: dict[ServiceName, WaitingQueue] = {}
        #: By identity: a caller may use the id of an attempt twice.
        self._waiting: dict[int, _Waiting] = {}

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
        taken = await self._take(call, service, tried)
        waited = loop.time() - began_at
        try:
            yield Admitted(
                taken.place, taken.ticket, waited, taken.candidates, taken.view
            )
        finally:
            self._book.abandon(taken.ticket, loop.time())
            self.freed(service)

    def freed(self, service: ServiceName) -> None:
        """Start what waits for a service, as far as there is room."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now = asyncio.get_running_loop().time()
        for call, refuse in queue.expired(now):
            self._resolve(call, refuse)
        found: list[_Choice] = []

        def fits(call: Call) -> bool:
            waiting = self._waiting[id(call)]
            choice = self._choose(call, service, waiting.tried, now)
            if isinstance(choice.decision, Place):
                found.append(choice)
            return isinstance(choice.decision, Place)

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
    ) -> _Taken:
        now = asyncio.get_running_loop().time()
        queue = self._queues.setdefault(service, WaitingQueue(MOST_WAITING))
        choice = _Choice(Wait("others wait"))
        if not len(queue):
            choice = self._choose(call, service, tried, now)
        decision, ahead = choice.decision, len(queue)
        if isinstance(decision, Place):
            queue.note_start(call, now)
            return self._begin(call, choice, now)
        if not isinstance(decision, Refuse):
            decision = queue.offer(call, now)
        if isinstance(decision, Refuse):
            raise self._overload(call, service, decision, choice)
        return await self._wait(call, service, tried, queue, choice, ahead)

    def _begin(self, call: Call, choice: _Choice, now: float) -> _Taken:
        place = choice.decision
        view = self._book.view_of(place.server.server_id, now)
        ticket = self._book.begin(call, place.server, now)
        return _Taken(place, ticket, choice.usable or 0, view)

    async def _wait(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        queue: WaitingQueue,
        choice: _Choice,
        ahead: int,
    ) -> _Taken:
        loop = asyncio.get_running_loop()
        waiting = _Waiting(call, tried, loop.create_future(), choice, ahead)
        self._waiting[id(call)] = waiting
        began_at, outcome = loop.time(), "placed"
        try:
            self.freed(service)
            return await waiting.future
        except OverloadError as error:
            outcome = error.message
            raise
        except asyncio.CancelledError:
            outcome = "the caller left, or its time was over"
            queue.withdraw(call)
            future = waiting.future
            if future.done() and not future.cancelled() and not future.exception():
                self._book.end(future.result().ticket, Result.LEFT, loop.time())
            raise
        finally:
            self._waiting.pop(id(call), None)
            self._log.waited(
                call.attempt_id,
                seconds=loop.time() - began_at,
                reason=choice.decision.reason,
                outcome=outcome,
                ahead=ahead,
                servers=choice.usable,
            )

    def _resolve(self, call: Call, decision: _Choice | Refuse) -> None:
        waiting = self._waiting.pop(id(call), None)
        if waiting is None or waiting.future.done():
            return
        if isinstance(decision, Refuse):
            error = self._overload(call, "", decision, waiting.choice)
            waiting.future.set_exception(error)
            return
        now = asyncio.get_running_loop().time()
        waiting.future.set_result(self._begin(call, decision, now))

    def _choose(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        now: float,
    ) -> _Choice:
        servers = self._knowledge.servers_of(service, now)
        if self._rollouts is not None:
            servers = self._rollouts.candidates(call, servers, now)
        usable = self._suspicion.usable(servers, now)
        decision = self._placer.place(call, usable, now, tried)
        if isinstance(decision, Refuse) and tried:
            decision = self._placer.place(call, usable, now)
        return _Choice(decision, len(servers), len(usable))

    def _overload(
        self, call: Call, service: str, refuse: Refuse, choice: _Choice
    ) -> OverloadError:
        now = asyncio.get_running_loop().time()
        inputs = {
            "service": service or None,
            "at_first": getattr(choice.decision, "reason", None),
            "listed": choice.listed,
            "usable": choice.usable,
            "waiting": self.waiting,
            "seconds_left": call.deadline - now,
        }
        return OverloadError(
            refuse.reason,
            step="admission",
            retry_after=refuse.retry_after_seconds,
            inputs={name: value for name, value in inputs.items() if value is not None},
        )
