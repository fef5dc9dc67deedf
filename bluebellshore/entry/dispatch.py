"""Runs calls: reserves budget, places, sends, repeats, relays."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from bluebellshore.backend import (
    Answer,
    AttemptError,
    Backend,
    BackendRequest,
    Outcome,
)
from bluebellshore.entry.admission import Admission, Admitted
from bluebellshore.entry.attempt_lines import AttemptLines
from bluebellshore.entry.endings import given_up, result_of, timed_out
from bluebellshore.entry.knowledge import Knowledge
from bluebellshore.entry.relay import Sink, StreamRelay, relay_plain
from bluebellshore.entry.rollouts import Rollouts
from bluebellshore.entry.trace import Trace
from bluebellshore.errors import OverloadError, RunState
from bluebellshore.fleet import (
    BackendServer,
    Call,
    RouteKind,
    fingerprint_of,
    service_of,
)
from bluebellshore.ids import BackendServerId, CustomerId, ServiceName, Tokens
from bluebellshore.rollouts import Attempt
from bluebellshore.routing.crashing import CrashLedger
from bluebellshore.routing.load import LoadBook
from bluebellshore.routing.repeats import Next, next_step
from bluebellshore.routing.results import Result
from bluebellshore.routing.retry_window import RetryWindow
from bluebellshore.routing.suspicion import Suspicion

__all__ = ["Budgets", "Dispatcher"]

#: After which a request that crashes backend servers may come again; it is refused for
#: longer, so this keeps its caller from trying at once.
CRASHING_RETRY_SECONDS = 30.0
#: Longest wait for tokens of a prepaid budget, as a part of the objective.
BUDGET_WAIT_SHARE = 0.5
#: Part of the time left that a request which may be repeated gives its first try, and
#: the multiple of its objective below which that is never cut.
FIRST_TRY_SHARE = 0.45
FIRST_TRY_OBJECTIVES = 1.6


class Budgets(Protocol):
    """Prepaid tokens of customers."""

    async def reserve(
        self,
        customer: CustomerId,
        attempt_id: str,
        tokens: Tokens,
        *,
        wait_seconds: float,
    ) -> None:
        """Reserve the most that a request can cost.

        :raises RefusedError: the tokens are not there.
        """

    def settle(self, attempt_id: str, tokens: Tokens) -> None:
        """Charge what a request did cost."""

    def release(self, attempt_id: str) -> None:
        """Return the tokens of a request that did not run."""


class _Progress:
    """What became of a call so far."""

    def __init__(self, trace: Trace) -> None:
        self.trace = trace
        self.sends = 0
        self.unreachable = 0
        self.may_have_run = False
        self.tried: set[BackendServerId] = set()
        self.relay: StreamRelay | None = None
        self.attempt: Attempt | None = None

    @property
    def began(self) -> bool:
        return self.relay is not None and self.relay.began


class Dispatcher:
    """Turns calls into attempts at backend servers.

    :param headers: returns the headers with which a backend server gets a call, from
        the call, the server, the seconds left and the last event id.
    :param routers: returns the most routers that may be serving.
    :param lines: told of attempts.
    """

    def __init__(
        self,
        *,
        knowledge: Knowledge,
        book: LoadBook,
        admission: Admission,
        suspicion: Suspicion,
        backend: Backend,
        budgets: Budgets,
        headers: Callable[[Call, BackendServer, float, str], list[tuple[str, str]]],
        retry_window: Callable[[], RetryWindow],
        routers: Callable[[], int],
        lines: AttemptLines | None = None,
        crashes: CrashLedger | None = None,
        rollouts: Rollouts | None = None,
    ):
        self._lines = lines or AttemptLines(book)
        self._knowledge = knowledge
        self._book = book
        self._admission = admission
        self._suspicion = suspicion
        self._rollouts = rollouts
        self._backend = backend
        self._budgets = budgets
        self._headers = headers
        self._make_retry_window = retry_window
        self._routers = routers
        self._retries_by_service: dict[ServiceName, RetryWindow] = {}
        #: Tells the requests that crash backend servers; peers add what they saw.
        self.crashes = CrashLedger() if crashes is None else crashes
        self.active = 0

    async def serve(self, call: Call, sink: Sink, trace: Trace) -> None:
        """Answer a call.

        :param trace: takes in what becomes of it.
        :raises RefusedError: there is no answer; nothing was written to `sink`, or
            its answer broke off.
        """
        progress = _Progress(trace)
        self._refuse_crashing(call)
        self.active += 1
        try:
            async with asyncio.timeout_at(call.deadline), self._budget(call, progress):
                await self._run(call, sink, progress)
        except TimeoutError as error:
            raise timed_out(may_have_run=progress.may_have_run) from error
        finally:
            self.active -= 1

    def _refuse_crashing(self, call: Call) -> None:
        """Refuse a request after which backend servers crashed.

        :raises OverloadError: it did.
        """
        now = asyncio.get_running_loop().time()
        if self.crashes and self.crashes.blames(fingerprint_of(call), now):
            raise OverloadError(
                "backend servers crashed with this request",
                step="dispatch.crashes",
                retry_after=CRASHING_RETRY_SECONDS,
            )

    def _note_crash(
        self, call: Call, server: BackendServer, error: AttemptError, now: float
    ) -> None:
        if error.reset and error.outcome is Outcome.UNKNOWN:
            self.crashes.broke(server.server_id, fingerprint_of(call), now)
        elif error.outcome is Outcome.NOT_SENT and not error.timed_out:
            self.crashes.unreachable(server.server_id, now)

    @contextlib.asynccontextmanager
    async def _budget(self, call: Call, progress: _Progress) -> AsyncIterator[None]:
        """Hold the most that a call can cost, then charge what it did cost."""
        tokens = Tokens(call.most_tokens)
        if call.customer is None or not tokens:
            yield
            return
        wait = call.route.objective_seconds * BUDGET_WAIT_SHARE
        await self._budgets.reserve(
            call.customer, call.attempt_id, tokens, wait_seconds=wait
        )
        try:
            yield
        finally:
            if progress.may_have_run:
                spent = self._spent(call, progress)
                progress.trace.tokens = spent
                self._budgets.settle(call.attempt_id, spent)
            else:
                self._budgets.release(call.attempt_id)

    def _spent(self, call: Call, progress: _Progress) -> Tokens:
        if progress.relay is None:
            return Tokens(call.most_tokens)
        output = progress.relay.events * self._tokens_per_event(call)
        if not progress.relay.whole:
            # The event on its way when the stream broke off may have counted.
            output += self._tokens_per_event(call)
        return Tokens(call.prompt_tokens + min(call.max_output_tokens, output))

    def _tokens_per_event(self, call: Call) -> int:
        configuration = self._knowledge.configuration
        most = 1
        for part in call.route.services:
            service = configuration.services_by_name.get(part.service)
            if service is not None and service.engine is not None:
                most = max(most, service.engine.tokens_per_event)
        return most

    async def _run(self, call: Call, sink: Sink, progress: _Progress) -> None:
        service = service_of(call)
        retries = self._retries_by_service.setdefault(
            service, self._make_retry_window()
        )
        now = asyncio.get_running_loop().time
        retries.count_request(now())
        if call.route.kind is RouteKind.STREAM:
            progress.relay = StreamRelay(call, sink)
        while True:
            try:
                async with self._admitted(call, service, progress) as admitted:
                    server = admitted.place.server
                    self._lines.placed(call, admitted, progress.trace)
                    await self._attempt(call, admitted, sink, progress)
                return
            except AttemptError as error:
                self._note(server, error, progress)
                step = next_step(
                    call,
                    error.outcome,
                    sends=progress.sends,
                    unreachable=progress.unreachable,
                    began=progress.began,
                    now=now(),
                )
                progress.tried.add(server.server_id)
                allowed = step is not Next.REPEAT or retries.allow(
                    now(), self._routers()
                )
                if not allowed:
                    step = Next.GIVE_UP
                self._lines.failed(
                    call,
                    error,
                    progress.trace,
                    step,
                    sends=progress.sends,
                    allowed=allowed,
                    now=now(),
                )
                if step is Next.GIVE_UP:
                    raise given_up(error, may_have_run=progress.may_have_run) from error

    def _note(
        self, server: BackendServer, error: AttemptError, progress: _Progress
    ) -> None:
        if error.outcome is Outcome.MISDIRECTED:
            self._knowledge.doubt(server.server_id)
        if error.outcome in (Outcome.NOT_SENT, Outcome.MISDIRECTED):
            progress.unreachable += 1
            return
        progress.sends += 1
        if error.outcome is Outcome.UNKNOWN:
            progress.may_have_run = True

    @contextlib.asynccontextmanager
    async def _admitted(
        self, call: Call, service: ServiceName, progress: _Progress
    ) -> AsyncIterator[Admitted]:
        """Wait until a backend server has room.

        :raises RefusedError: none will have in time.
        """
        admission = self._admission.place(call, service, progress.tried)
        try:
            admitted = await admission.__aenter__()
        except OverloadError as error:
            if progress.may_have_run:
                error.status, error.run = 502, RunState.UNKNOWN
                error.retry_after = None
            raise
        try:
            yield admitted
        finally:
            await admission.__aexit__(None, None, None)

    async def _attempt(
        self, call: Call, admitted: Admitted, sink: Sink, progress: _Progress
    ) -> None:
        """Send a call once and relay its answer.

        :raises AttemptError: there is no whole answer.
        """
        loop = asyncio.get_running_loop()
        server, ticket = admitted.place.server, admitted.ticket
        result, first_seconds = Result.LEFT, 0.0
        if self._rollouts is not None:
            progress.attempt = self._rollouts.begin(call, server, loop.time())
        try:
            request = self._request(call, server, progress, loop.time())
            async with self._backend.send(server, request) as answer:
                await self._relay(call, answer, sink, progress, admitted)
            progress.sends += 1
            progress.may_have_run = True
            result = Result.FAILED if answer.status >= 500 else Result.ANSWERED
            if self.crashes:
                self.crashes.survived(fingerprint_of(call))
        except AttemptError as error:
            result = result_of(error)
            self._note_crash(call, server, error, loop.time())
            raise
        finally:
            now = loop.time()
            self._lines.ended(result.value)
            if result is not Result.LEFT:
                first_seconds = self._book.first_event(ticket, now)
            self._book.end(ticket, result, now, self._output_tokens(call, progress))
            self._suspicion.record(server.server_id, result, first_seconds, now)
            if progress.attempt is not None:
                self._rollouts.end(server.service, progress.attempt, result, now)
            if result is Result.LEFT:
                progress.may_have_run = True

    def _output_tokens(self, call: Call, progress: _Progress) -> int:
        if progress.relay is None:
            return 0
        return progress.relay.events * self._tokens_per_event(call)

    def _request(
        self, call: Call, server: BackendServer, progress: _Progress, now: float
    ) -> BackendRequest:
        left = call.deadline - now
        last_event_id = call.last_event_id
        if progress.relay is not None and progress.relay.last_event_id:
            last_event_id = progress.relay.last_event_id
        return BackendRequest(
            method=call.method,
            target=call.target,
            host=call.route.host,
            headers=self._headers(call, server, left, last_event_id),
            body=call.body,
            attempt_id=call.attempt_id,
            head_seconds=self._first_seconds(call, left, progress),
        )

    def _first_seconds(self, call: Call, left: float, progress: _Progress) -> float:
        """Return how long the start of an answer is waited for."""
        again = call.route.repeatable or call.route.resumable
        if not again or progress.sends + 1 >= call.route.max_attempts:
            return left
        least = FIRST_TRY_OBJECTIVES * call.route.objective_seconds
        return min(left, max(least, FIRST_TRY_SHARE * left))

    async def _relay(
        self,
        call: Call,
        answer: Answer,
        sink: Sink,
        progress: _Progress,
        admitted: Admitted,
    ) -> None:
        loop = asyncio.get_running_loop()
        began = False

        def on_event(events: int) -> None:
            nonlocal began
            now = loop.time()
            if progress.attempt is not None:
                progress.attempt.event(now, events)
            self._lines.events(call, progress.trace, events, sink.behind_bytes, now)
            if not began:
                began = True
                self._book.first_event(admitted.ticket, now)
                self._admission.freed(admitted.place.server.service)
            else:
                self._book.progress(admitted.ticket, now)

        relay = progress.relay
        if relay is not None and 200 <= answer.status < 300:
            limit = self._first_seconds(call, call.deadline - loop.time(), progress)
            await relay.run(answer, on_event, limit)
            return
        if progress.began:
            raise AttemptError(
                f"status {answer.status} in place of the rest of a stream",
                step="dispatch.relay",
                peer="",
                outcome=Outcome.UNKNOWN,
            )
        again = call.route.repeatable and progress.sends + 1 < call.route.max_attempts
        await relay_plain(answer, sink, repeat_failures=again)
