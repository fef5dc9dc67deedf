"""Admission control: assigns each request a backend server, at once or after a wait."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager

import msgspec
import xxhash

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.errors import OverloadError
from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.routing.backpressure import BackpressureTracker
from bluebellshore.routing.load import LoadSnapshot, LoadTracker, Ticket
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.placement import Placement, PlacementRefusal, Placer, Wait
from bluebellshore.routing.results import AttemptResult
from bluebellshore.routing.waiting import MAX_WAIT_OBJECTIVES, WaitingQueue
from bluebellshore.routing.warmup import ColdTolerance, WarmupPolicy

__all__ = ["Admission", "AdmittedAttempt"]

#: Requests that may wait for one service. With a head and a prompt of tens of kilobytes
#: each, they stay far below an entry instance's memory.
MAX_WAITING_REQUESTS = 256
#: Pause between checks of the waiting requests. A place that frees because a request of
#: another router ended causes no event here.
POLL_SECONDS = 0.03
#: Retry-After when backend servers take nothing from this router for an unknown time.
LIMITED_RETRY_AFTER_SECONDS = 1.0
#: Least Retry-After while all zones with servers of a service are evacuated, and the
#: time over which callers are spread beyond it.
EVACUATED_RETRY_AFTER_SECONDS = 2.0
EVACUATED_SPREAD_SECONDS = 2.0
#: Expected time to the first event, as a share of the latency objective, above which a
#: request may go to a cold server though a warm one has room.
MAX_WARM_OBJECTIVE_SHARE = 0.5


class AdmittedAttempt(msgspec.Struct, frozen=True):
    """An attempt that has a place at a backend server.

    :param ticket: identifies the attempt to the load tracker.
    :param waited_seconds: time that the request waited for the place.
    :param candidates: number of backend servers from which this one was chosen.
    :param view: known load of the backend server before the request was added.
    :param reason: why others were left out, or that the server is cold; else empty.
    """

    place: Placement
    ticket: Ticket
    waited_seconds: float
    candidates: int
    view: LoadSnapshot
    reason: str = ""


class _Choice(msgspec.Struct, frozen=True):
    """A placement decision and the numbers that it rests on.

    :param listed: number of candidates; None where no choice was made.
    :param usable: number of those that are not ejected as outliers.
    :param evacuated: number of servers left out as their zone is evacuated.
    """

    decision: Placement | Wait | PlacementRefusal
    listed: int | None = None
    usable: int | None = None
    evacuated: int = 0


class _StartedAttempt(msgspec.Struct, frozen=True):
    """An attempt that the load tracker counts; see :class:`AdmittedAttempt`."""

    place: Placement
    ticket: Ticket
    candidates: int
    view: LoadSnapshot
    reason: str


class _WaitingRequest(msgspec.Struct, eq=False):
    """A waiting request.

    :param tried: backend servers to avoid, as earlier attempts failed there.
    :param future: resolved with the place, or failed with the refusal.
    :param choice: decision because of which the request waits.
    :param ahead: requests that waited already when this one came.
    """

    call: Call
    service: ServiceName
    tried: set[BackendServerId]
    future: asyncio.Future[_StartedAttempt]
    choice: _Choice
    ahead: int


class Admission:
    """Places requests at backend servers, and queues those that find no room.

    There is one queue for each service.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        loads: LoadTracker,
        placer: Placer,
        outliers: OutlierDetector,
        log: DecisionLog | None = None,
        rollouts: RolloutController | None = None,
        backpressure: BackpressureTracker | None = None,
        warmups: WarmupPolicy | None = None,
    ):
        self._backpressure = backpressure or BackpressureTracker()
        self._warmups = warmups or WarmupPolicy(
            lambda server_id, now: 0.0, lambda server: 0.0, ColdTolerance()
        )
        self._log = log or silent_log()
        self._platform_state = platform_state
        self._loads = loads
        self._placer = placer
        self._outliers = outliers
        self._rollouts = rollouts
        self._queues: dict[ServiceName, WaitingQueue] = {}
        #: Keyed by ``id(call)``: several requests of a caller may share an attempt id.
        self._waiting: dict[int, _WaitingRequest] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    @asynccontextmanager
    async def place(
        self, call: Call, service: ServiceName, tried: set[BackendServerId]
    ) -> AsyncIterator[AdmittedAttempt]:
        """Occupy a place at a backend server within the context; wait for one first.

        On exit the load tracker forgets the attempt unless its end was recorded.

        :param tried: backend servers to avoid if there are others.
        :raises OverloadError: no backend server will have room in time.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        started = await self._wait_for_place(call, service, tried)
        waited = loop.time() - began_at
        try:
            yield AdmittedAttempt(
                started.place,
                started.ticket,
                waited,
                started.candidates,
                started.view,
                started.reason,
            )
        finally:
            self._loads.abandon(started.ticket, loop.time())
            self.place_waiting(service)

    def place_waiting(self, service: ServiceName) -> None:
        """Place waiting requests of a service as far as there is room."""
        queue = self._queues.get(service)
        if queue is None or not len(queue):
            return
        now = asyncio.get_running_loop().time()
        for call, refuse in queue.take_expired(now):
            self._resolve(call, refuse)
        if self._platform_state.evacuations.by_zone:
            self._refuse_evacuated(service, queue, now)
        chosen: list[_Choice] = []

        def fits(call: Call) -> bool:
            waiting = self._waiting[id(call)]
            choice = self._choose(call, service, waiting.tried, now)
            if isinstance(choice.decision, Placement):
                chosen.append(choice)
            return isinstance(choice.decision, Placement)

        while (call := queue.take_next(now, fits)) is not None:
            self._resolve(call, chosen.pop())

    def _refuse_evacuated(
        self, service: ServiceName, queue: WaitingQueue, now: float
    ) -> None:
        """Refuse the waiting requests of a service whose servers are all evacuated."""
        ready = self._platform_state.ready_servers_of(service, now)
        if not ready or self._platform_state.evacuations.allowed(ready):
            return
        for call in [w.call for w in self._waiting.values() if w.service == service]:
            queue.withdraw(call)
            self._resolve(call, _evacuated_refusal(call))

    async def run(self) -> None:
        """Place or refuse waiting requests periodically until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            for service in self._queues:
                self.place_waiting(service)

    async def _wait_for_place(
        self, call: Call, service: ServiceName, tried: set[BackendServerId]
    ) -> _StartedAttempt:
        now = asyncio.get_running_loop().time()
        queue = self._queues.setdefault(service, WaitingQueue(MAX_WAITING_REQUESTS))
        choice = _Choice(Wait("other requests of the service are waiting already"))
        if not len(queue):
            choice = self._choose(call, service, tried, now)
        decision, ahead = choice.decision, len(queue)
        if isinstance(decision, Placement):
            queue.record_start(call, now)
            return self._start_attempt(call, choice, now)
        if not isinstance(decision, PlacementRefusal):
            decision = queue.offer(call, now)
        if isinstance(decision, PlacementRefusal):
            raise self._overload_error(call, service, decision, choice)
        return await self._wait(call, service, tried, queue, choice, ahead)

    def _start_attempt(
        self, call: Call, choice: _Choice, now: float
    ) -> _StartedAttempt:
        place = choice.decision
        view = self._loads.snapshot_of(place.server.server_id, now)
        ticket = self._loads.begin(call, place.server, now)
        self._backpressure.record_sent(place.server)
        self._platform_state.evacuations.record_sent(place.server, now)
        reasons = []
        if self._warmups.record_sent(place.server, now):
            reasons.append("the backend server is cold")
        if choice.evacuated:
            reasons.append(f"{choice.evacuated} are in evacuated zones")
        return _StartedAttempt(
            place, ticket, choice.usable or 0, view, "; ".join(reasons)
        )

    async def _wait(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        queue: WaitingQueue,
        choice: _Choice,
        ahead: int,
    ) -> _StartedAttempt:
        loop = asyncio.get_running_loop()
        waiting = _WaitingRequest(
            call, service, tried, loop.create_future(), choice, ahead
        )
        self._waiting[id(call)] = waiting
        wait_began_at, outcome = loop.time(), "failed"
        try:
            self.place_waiting(service)
            started = await waiting.future
            outcome = "placed"
            return started
        except OverloadError as error:
            outcome = error.message
            raise
        except asyncio.CancelledError:
            # The request's last line says why.
            outcome = "cancelled"
            future = waiting.future
            if future.done() and not future.cancelled() and not future.exception():
                self._loads.end(
                    future.result().ticket, AttemptResult.ABANDONED, loop.time()
                )
            raise
        finally:
            queue.withdraw(call)
            self._waiting.pop(id(call), None)
            self._log.waited(
                call.attempt_id,
                seconds=loop.time() - wait_began_at,
                reason=choice.decision.reason,
                outcome=outcome,
                ahead=ahead,
                servers=choice.usable,
            )

    def _resolve(self, call: Call, decision: _Choice | PlacementRefusal) -> None:
        waiting = self._waiting.pop(id(call), None)
        if waiting is None or waiting.future.done():
            return
        if isinstance(decision, PlacementRefusal):
            error = self._overload_error(call, "", decision, waiting.choice)
            waiting.future.set_exception(error)
            return
        now = asyncio.get_running_loop().time()
        waiting.future.set_result(self._start_attempt(call, decision, now))

    def _choose(
        self,
        call: Call,
        service: ServiceName,
        tried: set[BackendServerId],
        now: float,
    ) -> _Choice:
        ready = self._platform_state.ready_servers_of(service, now)
        servers = self._platform_state.evacuations.allowed(ready)
        evacuated = len(ready) - len(servers)
        if evacuated and not servers:
            return _Choice(_evacuated_refusal(call), 0, 0, evacuated)
        if self._rollouts is not None:
            servers = self._rollouts.candidates(call, servers, now)
        sound = self._outliers.usable(servers, now)
        usable = self._warmups.not_left_to_cold(sound, servers, now)
        allowed, wait_seconds = self._allowed(usable, now)
        if usable and not allowed:
            decision = self._hold_back(call, usable, wait_seconds, now)
        else:
            decision = self._place(call, allowed, tried, now)
        return _Choice(decision, len(servers), len(allowed), evacuated)

    def _place(
        self,
        call: Call,
        allowed: Sequence[BackendServer],
        tried: set[BackendServerId],
        now: float,
    ) -> Placement | Wait | PlacementRefusal:
        """Place a request, at a cold server if it suits one or the others are busy.

        :param allowed: usable servers whose limits allow a request now.
        """
        preferred = self._warmups.preferred(
            call, allowed, now, lambda server: self._read_seconds(call, server)
        )
        if 0 < len(preferred) < len(allowed):
            decision = self._placer.place(call, preferred, now, tried)
            longest = MAX_WARM_OBJECTIVE_SHARE * call.route.objective_seconds
            if isinstance(decision, Placement) and decision.expected_seconds <= longest:
                return decision
        decision = self._placer.place(call, allowed, now, tried)
        if isinstance(decision, PlacementRefusal) and tried:
            decision = self._placer.place(call, allowed, now)
        return decision

    def _read_seconds(self, call: Call, server: BackendServer) -> float:
        """Return the time in which a server reads what it lacks of a prompt."""
        cached = self._loads.cached_tokens(call, server.server_id)
        uncached = max(0, call.prompt_tokens - cached)
        return uncached / self._loads.speeds.tokens_per_second(server.service)

    def _allowed(
        self, servers: Sequence[BackendServer], now: float
    ) -> tuple[list[BackendServer], float | None]:
        """Return the servers whose limits allow a request of this router now.

        :return: also the seconds until another one does; None if that is unknown.
        """
        allowed: list[BackendServer] = []
        next_seconds: float | None = None
        for server in servers:
            seconds = self._backpressure.seconds_until_allowed(server, now)
            if seconds == 0.0:
                allowed.append(server)
            elif seconds is not None:
                next_seconds = min(seconds, next_seconds or seconds)
        return allowed, next_seconds

    def _hold_back(
        self,
        call: Call,
        usable: Sequence[BackendServer],
        wait_seconds: float | None,
        now: float,
    ) -> Wait | PlacementRefusal:
        """Queue or refuse a request that no server's limit allows now.

        :param wait_seconds: time until one does; None if that is unknown.
        """
        reason = "every backend server limits what it takes, pauses or leaves"
        cold_seconds = self._warmups.retry_after_seconds(call, usable, now)
        if cold_seconds is not None:
            reason = "every backend server is cold and takes no more now"
        longest = MAX_WAIT_OBJECTIVES * call.route.objective_seconds
        if wait_seconds is not None and wait_seconds <= longest:
            return Wait(reason)
        if cold_seconds is not None:
            self._warmups.turned_away_count += 1
            return PlacementRefusal(reason, cold_seconds)
        return PlacementRefusal(reason, wait_seconds or LIMITED_RETRY_AFTER_SECONDS)

    def _overload_error(
        self, call: Call, service: str, refuse: PlacementRefusal, choice: _Choice
    ) -> OverloadError:
        now = asyncio.get_running_loop().time()
        inputs = {
            "service": service or None,
            "at_first": getattr(choice.decision, "reason", None),
            "listed": choice.listed,
            "usable": choice.usable,
            "evacuated": choice.evacuated or None,
            "waiting": self.waiting_count,
            "seconds_left": call.deadline - now,
        }
        return OverloadError(
            refuse.reason,
            step="admission",
            retry_after=refuse.retry_after_seconds,
            inputs={name: value for name, value in inputs.items() if value is not None},
        )


def _evacuated_refusal(call: Call) -> PlacementRefusal:
    """Refuse a request for which only servers in evacuated zones are left.

    Nobody knows when the operator takes an evacuation back, so callers return spread
    over some seconds.
    """
    spread = xxhash.xxh32_intdigest(call.attempt_id.encode()) / 2**32
    return PlacementRefusal(
        "every zone with backend servers of the service is evacuated",
        EVACUATED_RETRY_AFTER_SECONDS + EVACUATED_SPREAD_SECONDS * spread,
    )
