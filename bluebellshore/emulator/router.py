"""One router in simulated time: the product's decisions without its connections."""

import random
from collections.abc import Callable
from typing import Protocol

import msgspec

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.engine import Run, RunEvent
from bluebellshore.emulator.fleet import EmulatedFleet
from bluebellshore.emulator.plain import PlainRun
from bluebellshore.emulator.traces import ENGINES, Arrival
from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId, ServiceName, ZoneName
from bluebellshore.routing.load import LoadTracker, Ticket
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.placement import Placement, PlacementRefusal, Placer
from bluebellshore.routing.results import AttemptResult
from bluebellshore.routing.retry_window import WindowedRetryBudget
from bluebellshore.routing.waiting import WaitingQueue

__all__ = ["Caller", "EmulatedRouter", "Policy", "Waiting"]

#: One way between zones, and inside one.
CROSS_ZONE_SECONDS = 0.001
IN_ZONE_SECONDS = 0.000_1
#: Poll of the queue: peers' work ends unseen.
POLL_SECONDS = 0.03
MOST_WAITING = 200
ANSWER_BYTES_PER_TOKEN = 8

_RESULTS = {
    RunEvent.REFUSED: AttemptResult.REFUSED,
    RunEvent.FAILED: AttemptResult.FAILED,
    RunEvent.BROKEN: AttemptResult.BROKEN,
}


class Waiting(Protocol):
    """A queue of calls; see :class:`bluebellshore.routing.waiting.WaitingQueue`."""

    def offer(self, call: Call, now: float) -> object: ...

    def take_next(self, now: float, fits: Callable[[Call], bool]) -> Call | None: ...

    def take_expired(self, now: float) -> list[tuple[Call, PlacementRefusal]]: ...

    def withdraw(self, call: Call) -> bool: ...

    def record_start(self, call: Call, now: float) -> None: ...

    def __len__(self) -> int: ...


class Policy(msgspec.Struct, frozen=True):
    """Which decisions are in force.

    :param placer: makes the placer of a router from its book and zone.
    :param waiting: makes the queue of a service.
    """

    name: str
    placer: Callable[[LoadTracker, ZoneName], Placer] = Placer
    waiting: Callable[[], Waiting] = lambda: WaitingQueue(MOST_WAITING)
    suspicion: bool = True
    priorities: bool = True


class Caller(Protocol):
    """Who sent a call."""

    def event(self, event: RunEvent, made: int) -> None: ...

    def refused(self, refuse: PlacementRefusal) -> None: ...


class _Request(msgspec.Struct, eq=False):
    call: Call
    caller: Caller
    arrival: Arrival
    tried: set[BackendServerId] = msgspec.field(default_factory=set)
    sends: int = 0
    unreachable: int = 0
    ticket: Ticket | None = None
    server: BackendServer | None = None
    run: Run | PlainRun | None = None
    over: bool = False


class EmulatedRouter:
    """Places, sends, repeats and queues calls with the product's decision code.

    :ivar repeats: sends after the first of a call.
    :ivar crossed_at: time of each send, and whether it left the zone.
    :ivar crossing_bytes: bytes of requests and answers that left the zone.
    """

    def __init__(
        self,
        clock: Clock,
        fleet: EmulatedFleet,
        policy: Policy,
        zone: ZoneName,
        routers: int,
        rng: random.Random,
    ):
        self._clock = clock
        self._fleet = fleet
        self._policy = policy
        self.zone = zone
        self._routers = routers
        self._rng = rng
        self.outliers = OutlierDetector()
        self.loads = LoadTracker(self.outliers if policy.suspicion else None)
        self.loads.configure(fleet.services)
        self._placer = policy.placer(self.loads, zone)
        self._queues: dict[ServiceName, Waiting] = {}
        self._windows: dict[ServiceName, WindowedRetryBudget] = {}
        self._requests: dict[str, _Request] = {}
        self._polling = False
        self.repeats = 0
        self.sends = 0
        self.crossed_at: list[tuple[float, bool]] = []
        self.crossing_bytes = 0

    def serve(self, call: Call, arrival: Arrival, caller: Caller) -> None:
        """Take a call from its caller."""
        request = _Request(call, caller, arrival)
        self._requests[call.attempt_id] = request
        self._window(request).count_request(self._clock.now)
        self._try(request)

    def leave(self, call: Call) -> None:
        """Stop work for a caller that left."""
        request = self._requests.pop(call.attempt_id, None)
        if request is None:
            return
        request.over = True
        self._queue(request).withdraw(call)
        if request.ticket is not None:
            self._end(request, AttemptResult.ABANDONED)
            server_id, run = request.server.server_id, request.run
            self._clock.after(
                self._travel(request.server),
                lambda: self._fleet.cancel(server_id, run),
            )

    def _try(self, request: _Request) -> None:
        now = self._clock.now
        queue = self._queue(request)
        decision = None if len(queue) else self._place(request)
        if isinstance(decision, Placement):
            queue.record_start(request.call, now)
            self._send(request, decision)
            return
        if not isinstance(decision, PlacementRefusal):
            decision = queue.offer(request.call, now)
        if isinstance(decision, PlacementRefusal):
            self._refuse(request, decision)
        else:
            self._pump(self._service(request))

    def _place(self, request: _Request) -> object:
        now = self._clock.now
        servers = self._fleet.entries(self._service(request))
        if self._policy.suspicion:
            servers = self.outliers.usable(servers, now)
        decision = self._placer.place(request.call, servers, now, request.tried)
        if isinstance(decision, PlacementRefusal) and request.tried:
            decision = self._placer.place(request.call, servers, now)
        return decision

    def _pump(self, service: ServiceName) -> None:
        """Start what waits, as far as it fits."""
        queue = self._queues[service]
        now = self._clock.now
        placed: list[Placement] = []

        def fits(call: Call) -> bool:
            decision = self._place(self._requests[call.attempt_id])
            if isinstance(decision, Placement):
                placed.append(decision)
            return isinstance(decision, Placement)

        for call, refuse in queue.take_expired(now):
            self._refuse(self._requests[call.attempt_id], refuse)
        while (call := queue.take_next(now, fits)) is not None:
            self._send(self._requests[call.attempt_id], placed.pop())
        if len(queue) and not self._polling:
            self._polling = True
            self._clock.after(POLL_SECONDS, self._poll)

    def _poll(self) -> None:
        self._polling = False
        for service in list(self._queues):
            self._pump(service)

    def _send(self, request: _Request, place: Placement) -> None:
        server = place.server
        request.server = server
        request.sends += 1
        self.sends += 1
        request.ticket = self.loads.begin(request.call, server, self._clock.now)
        ticket, travel = request.ticket, self._travel(server)
        crosses = server.zone != self.zone
        self.crossed_at.append((self._clock.now, crosses))
        if crosses:
            answer_bytes = ANSWER_BYTES_PER_TOKEN * request.arrival.output_tokens
            self.crossing_bytes += len(request.call.body) + answer_bytes

        def report(event: RunEvent, made: int) -> None:
            self._clock.after(travel, lambda: self._on_event(request, ticket, event))

        arrival = request.arrival
        if self._service(request) == ENGINES:
            priority = request.call.priority if self._policy.priorities else 5
            run = Run(priority, arrival.prompt, arrival.output_tokens, report)
        else:
            run = PlainRun(arrival.work_seconds, report)
        request.run = run

        def arrive() -> None:
            if not self._fleet.submit(server.server_id, run, self.zone):
                self._clock.after(travel, lambda: self._unreachable(request, ticket))

        self._clock.after(travel, arrive)

    def _on_event(self, request: _Request, ticket: Ticket, event: RunEvent) -> None:
        if request.over or request.ticket != ticket:
            return
        now = self._clock.now
        if event in (RunEvent.PIECE, RunEvent.DONE):
            self.loads.record_first_event(ticket, now)
            self.loads.record_event(ticket, now)
            request.caller.event(event, 0)
            if event is RunEvent.DONE:
                self._end(request, AttemptResult.ANSWERED)
                self._finish(request)
        else:
            self._end(request, _RESULTS[event])
            self._after_failure(request, event)
        if self._queues and len(self._queue(request)):
            self._pump(self._service(request))

    def _unreachable(self, request: _Request, ticket: Ticket) -> None:
        if request.over or request.ticket != ticket:
            return
        request.unreachable += 1
        request.sends -= 1
        self._end(request, AttemptResult.UNREACHABLE)
        request.tried.add(request.server.server_id)
        if request.unreachable > 3:
            self._refuse(request, PlacementRefusal("unreachable", 0.5))
        else:
            self._try(request)

    def _after_failure(self, request: _Request, event: RunEvent) -> None:
        request.tried.add(request.server.server_id)
        may_repeat = event is RunEvent.REFUSED or request.call.route.repeatable
        again = request.sends < max(2, request.call.route.max_attempts)
        now = self._clock.now
        if may_repeat and again and self._window(request).withdraw(now, self._routers):
            self.repeats += 1
            self._try(request)
        elif event is RunEvent.REFUSED:
            self._refuse(request, PlacementRefusal("refused by the server", 0.5))
        else:
            request.caller.event(event, 0)
            self._finish(request)

    def _refuse(self, request: _Request, refuse: PlacementRefusal) -> None:
        self._finish(request)
        request.caller.refused(refuse)

    def _end(self, request: _Request, result: AttemptResult) -> None:
        now = self._clock.now
        ticket, request.ticket = request.ticket, None
        self.loads.end(ticket, result, now)
        self.outliers.record_result(request.server.server_id, result, 0.0, now)

    def _finish(self, request: _Request) -> None:
        request.over = True
        self._requests.pop(request.call.attempt_id, None)

    def _queue(self, request: _Request) -> Waiting:
        service = self._service(request)
        if service not in self._queues:
            self._queues[service] = self._policy.waiting()
        return self._queues[service]

    def _window(self, request: _Request) -> WindowedRetryBudget:
        return self._windows.setdefault(
            self._service(request), WindowedRetryBudget(0.2, 50.0, 10.0)
        )

    def _service(self, request: _Request) -> ServiceName:
        return request.call.route.services[0].service

    def _travel(self, server: BackendServer) -> float:
        near = server.zone == self.zone
        return IN_ZONE_SECONDS if near else CROSS_ZONE_SECONDS
