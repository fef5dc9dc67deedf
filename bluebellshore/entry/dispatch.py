"""Serves calls: reserves budget, places, sends and retries, and relays the answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Protocol

from bluebellshore.backend import (
    Answer,
    AttemptError,
    AttemptOutcome,
    Backend,
    BackendRequest,
)
from bluebellshore.entry.admission import Admission, AdmittedAttempt
from bluebellshore.entry.attempt_errors import (
    deadline_error,
    error_after_attempt,
    result_of,
)
from bluebellshore.entry.attempt_log import AttemptLog
from bluebellshore.entry.crash_guard import CrashGuard
from bluebellshore.entry.held_bytes import HeldBytes
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.relay import Sink, StreamRelay, relay_plain
from bluebellshore.entry.request_log import RequestTrace
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.errors import OverloadError, RunState
from bluebellshore.fleet import (
    BackendServer,
    Call,
    RouteKind,
    choose_service,
)
from bluebellshore.ids import BackendServerId, CustomerId, ServiceName, Tokens
from bluebellshore.rollouts import MeasuredAttempt
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.results import AttemptResult
from bluebellshore.routing.retry_policy import RetryDecision, decide_retry
from bluebellshore.routing.retry_window import WindowedRetryBudget

__all__ = ["Budgets", "Dispatcher"]

#: Longest wait for tokens of a prepaid budget, as a multiple of the latency objective.
BUDGET_WAIT_OBJECTIVES = 0.5
#: How long an attempt that may be followed by another waits for the start of its
#: answer: this share of the time left, but at least this multiple of the route's
#: latency objective.
ANSWER_WAIT_SHARE = 0.45
MIN_ANSWER_WAIT_OBJECTIVES = 1.6


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
        """Reserve `tokens`, the most that a request can cost.

        :param wait_seconds: longest wait for tokens that are not available at once.
        :raises RefusedError: the customer's budget did not grant the tokens in time.
        """

    def settle(self, attempt_id: str, tokens: Tokens) -> None:
        """Charge `tokens`, the actual cost of a request, and release the rest."""

    def release(self, attempt_id: str) -> None:
        """Release all tokens reserved for a request that did not run."""


class _CallProgress:
    """State of one call across its attempts.

    :param guard: refuses the call if it crashes backend servers.
    :ivar sends: backend servers that the request was sent to.
    :ivar unreachable: attempts that reached no backend server, or a wrong one.
    :ivar may_have_run: whether some backend server may have run the request.
    :ivar tried: backend servers whose attempts failed.
    :ivar relay: relay of a streaming route; None for other routes.
    :ivar attempt: present attempt, as counted for its service's rollout; None where
        rollouts are not followed.
    """

    def __init__(self, trace: RequestTrace, guard: CrashGuard) -> None:
        self.trace = trace
        self.guard = guard
        self.sends = 0
        self.unreachable = 0
        self.may_have_run = False
        self.tried: set[BackendServerId] = set()
        self.relay: StreamRelay | None = None
        self.attempt: MeasuredAttempt | None = None

    @property
    def began(self) -> bool:
        """Whether the caller has received a part of the stream."""
        return self.relay is not None and self.relay.began


class Dispatcher:
    """Runs each call as one or more attempts at backend servers.

    :param make_headers: returns the headers sent to a backend server, given the
        call, the server, the seconds left and the last event id.
    :param make_retry_budget: makes the retry budget of one service.
    :param max_routers: returns an upper bound on the number of serving routers, which
        share each retry budget.
    :param attempt_log: logs and counts attempts.
    :param crash_tracker: remembers which requests ran at servers that crashed.
    :param held_bytes: counts what all answers hold.
    :ivar active: calls being served.
    """

    def __init__(
        self,
        *,
        platform_state: PlatformState,
        loads: LoadTracker,
        admission: Admission,
        outliers: OutlierDetector,
        backend: Backend,
        budgets: Budgets,
        make_headers: Callable[
            [Call, BackendServer, float, str], list[tuple[str, str]]
        ],
        make_retry_budget: Callable[[], WindowedRetryBudget],
        max_routers: Callable[[], int],
        attempt_log: AttemptLog | None = None,
        crash_tracker: CrashTracker | None = None,
        rollouts: RolloutController | None = None,
        held_bytes: HeldBytes | None = None,
    ):
        self._held_bytes = held_bytes or HeldBytes()
        self._attempt_log = attempt_log or AttemptLog(loads)
        self._platform_state = platform_state
        self._loads = loads
        self._admission = admission
        self._outliers = outliers
        self._rollouts = rollouts
        self._backend = backend
        self._budgets = budgets
        self._make_headers = make_headers
        self._make_retry_budget = make_retry_budget
        self._max_routers = max_routers
        self._retry_budgets_by_service: dict[ServiceName, WindowedRetryBudget] = {}
        #: Finds the requests that crash backend servers, also from peers' reports.
        self.crash_tracker = CrashTracker() if crash_tracker is None else crash_tracker
        self.active = 0

    async def serve(self, call: Call, sink: Sink, trace: RequestTrace) -> None:
        """Run a call and write its answer to `sink`.

        :param trace: updated with the attempts, events and tokens of the call.
        :raises RefusedError: the call has no complete answer. Either nothing was
            written to `sink`, or the answer written to it is incomplete.
        """
        guard = CrashGuard(self.crash_tracker, call)
        guard.refuse_crashing(asyncio.get_running_loop().time())
        progress = _CallProgress(trace, guard)
        self.active += 1
        try:
            async with (
                asyncio.timeout_at(call.deadline),
                self._reserve_budget(call, progress),
            ):
                await self._run_attempts(call, sink, progress)
        except TimeoutError as error:
            raise deadline_error(may_have_run=progress.may_have_run) from error
        finally:
            self.active -= 1

    @contextlib.asynccontextmanager
    async def _reserve_budget(
        self, call: Call, progress: _CallProgress
    ) -> AsyncIterator[None]:
        """Reserve the most that a call can cost, then charge its actual cost."""
        tokens = Tokens(call.max_total_tokens)
        if call.customer is None or not tokens:
            yield
            return
        wait_seconds = call.route.objective_seconds * BUDGET_WAIT_OBJECTIVES
        await self._budgets.reserve(
            call.customer, call.attempt_id, tokens, wait_seconds=wait_seconds
        )
        try:
            yield
        finally:
            if progress.may_have_run:
                spent = self._tokens_spent(call, progress)
                progress.trace.tokens = spent
                self._budgets.settle(call.attempt_id, spent)
            else:
                self._budgets.release(call.attempt_id)

    def _tokens_spent(self, call: Call, progress: _CallProgress) -> Tokens:
        """Return the tokens to charge: by its events for a stream, else the most."""
        if progress.relay is None:
            return Tokens(call.max_total_tokens)
        output = progress.relay.events * self._tokens_per_event(call)
        if not progress.relay.complete:
            # The backend server may have generated one more event, which was lost
            # when the stream broke off.
            output += self._tokens_per_event(call)
        return Tokens(call.prompt_tokens + min(call.max_output_tokens, output))

    def _tokens_per_event(self, call: Call) -> int:
        configuration = self._platform_state.configuration
        max_tokens = 1
        for weighted in call.route.services:
            service = configuration.services_by_name.get(weighted.service)
            if service is not None and service.engine is not None:
                max_tokens = max(max_tokens, service.engine.tokens_per_event)
        return max_tokens

    async def _run_attempts(
        self, call: Call, sink: Sink, progress: _CallProgress
    ) -> None:
        service = choose_service(call)
        retry_budget = self._retry_budgets_by_service.setdefault(
            service, self._make_retry_budget()
        )
        now = asyncio.get_running_loop().time
        retry_budget.count_request(now())
        if call.route.kind is RouteKind.STREAM:
            progress.relay = StreamRelay(call, sink, self._held_bytes)
        while True:
            try:
                async with self._take_place(call, service, progress) as admitted:
                    server = admitted.place.server
                    # The evidence may have come while the request waited.
                    progress.guard.refuse_crashing(
                        now(), may_have_run=progress.may_have_run
                    )
                    progress.trace.sent = True
                    self._attempt_log.placed(call, admitted, progress.trace)
                    await self._run_attempt(call, admitted, sink, progress)
                return
            except AttemptError as error:
                self._record_failure(server, error, progress)
                progress.trace.sent = progress.may_have_run
                decision = decide_retry(
                    call,
                    error.outcome,
                    sends=progress.sends,
                    unreachable=progress.unreachable,
                    began=progress.began,
                    now=now(),
                )
                progress.tried.add(server.server_id)
                repeat_allowed = (
                    decision is not RetryDecision.RETRY
                    or retry_budget.withdraw(now(), self._max_routers())
                )
                if not repeat_allowed:
                    decision = RetryDecision.GIVE_UP
                self._attempt_log.failed(
                    call,
                    error,
                    progress.trace,
                    decision,
                    sends=progress.sends,
                    repeat_allowed=repeat_allowed,
                    now=now(),
                )
                if decision is RetryDecision.GIVE_UP:
                    raise error_after_attempt(
                        error, may_have_run=progress.may_have_run
                    ) from error

    def _record_failure(
        self, server: BackendServer, error: AttemptError, progress: _CallProgress
    ) -> None:
        if error.outcome is AttemptOutcome.MISDIRECTED:
            self._platform_state.exclude_until_renewed(server.server_id)
        if error.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.MISDIRECTED):
            progress.unreachable += 1
            return
        progress.sends += 1
        if error.outcome is AttemptOutcome.UNKNOWN:
            progress.may_have_run = True

    @contextlib.asynccontextmanager
    async def _take_place(
        self, call: Call, service: ServiceName, progress: _CallProgress
    ) -> AsyncIterator[AdmittedAttempt]:
        """Occupy a place at a backend server within the context; wait for one first.

        :raises RefusedError: no backend server will have room in time.
        """
        placement = self._admission.place(call, service, progress.tried)
        try:
            admitted = await placement.__aenter__()
        except OverloadError as error:
            if progress.may_have_run:
                error.status, error.run = 502, RunState.UNKNOWN
                error.retry_after = None
            raise
        try:
            yield admitted
        finally:
            await placement.__aexit__(None, None, None)

    async def _run_attempt(
        self, call: Call, admitted: AdmittedAttempt, sink: Sink, progress: _CallProgress
    ) -> None:
        """Send a call to one backend server and relay the answer.

        :raises AttemptError: the attempt gave no complete answer.
        """
        loop = asyncio.get_running_loop()
        server, ticket = admitted.place.server, admitted.ticket
        result, first_event_seconds = AttemptResult.ABANDONED, 0.0
        if self._rollouts is not None:
            progress.attempt = self._rollouts.begin_attempt(call, server, loop.time())
        try:
            request = self._make_request(call, server, progress, loop.time())
            progress.guard.record_sent(loop.time())
            async with self._backend.send(server, request) as answer:
                await self._relay_answer(call, answer, sink, progress, admitted)
            progress.sends += 1
            progress.may_have_run = True
            result = (
                AttemptResult.FAILED if answer.status >= 500 else AttemptResult.ANSWERED
            )
            progress.guard.record_answered(
                server,
                answer.status,
                is_stream=progress.relay is not None,
                now=loop.time(),
            )
        except AttemptError as error:
            result = result_of(error)
            listed = self._platform_state.servers_by_id.get(server.server_id)
            progress.guard.record_failed(server, listed, error, loop.time())
            raise
        finally:
            now = loop.time()
            self._attempt_log.ended(result.value)
            if result is not AttemptResult.ABANDONED:
                first_event_seconds = self._loads.record_first_event(ticket, now)
            self._loads.end(ticket, result, now, self._output_tokens(call, progress))
            self._outliers.record_result(
                server.server_id, result, first_event_seconds, now
            )
            if progress.attempt is not None:
                self._rollouts.end_attempt(
                    server.service, progress.attempt, result, now
                )
            if result is AttemptResult.ABANDONED:
                progress.may_have_run = True

    def _output_tokens(self, call: Call, progress: _CallProgress) -> int:
        if progress.relay is None:
            return 0
        return progress.relay.events * self._tokens_per_event(call)

    def _make_request(
        self, call: Call, server: BackendServer, progress: _CallProgress, now: float
    ) -> BackendRequest:
        seconds_left = call.deadline - now
        last_event_id = call.last_event_id
        if progress.relay is not None and progress.relay.last_event_id:
            last_event_id = progress.relay.last_event_id
        return BackendRequest(
            method=call.method,
            target=call.target,
            host=call.route.host,
            headers=self._make_headers(call, server, seconds_left, last_event_id),
            body=call.body,
            attempt_id=call.attempt_id,
            head_timeout_seconds=self._answer_wait_seconds(
                call, seconds_left, progress
            ),
        )

    def _answer_wait_seconds(
        self, call: Call, seconds_left: float, progress: _CallProgress
    ) -> float:
        """Return the longest wait, in seconds, for the start of an answer.

        An attempt that may be followed by another leaves time for it.
        """
        may_repeat = call.route.repeatable or call.route.resumable
        if not may_repeat or progress.sends + 1 >= call.route.max_attempts:
            return seconds_left
        min_seconds = MIN_ANSWER_WAIT_OBJECTIVES * call.route.objective_seconds
        return min(seconds_left, max(min_seconds, ANSWER_WAIT_SHARE * seconds_left))

    async def _relay_answer(
        self,
        call: Call,
        answer: Answer,
        sink: Sink,
        progress: _CallProgress,
        admitted: AdmittedAttempt,
    ) -> None:
        loop = asyncio.get_running_loop()
        first_seen = False

        def on_event(events: int) -> None:
            nonlocal first_seen
            now = loop.time()
            progress.guard.record_events(events, now)
            if progress.attempt is not None:
                progress.attempt.record_events(now, events)
            self._attempt_log.events_received(
                call, progress.trace, events, sink.unsent_bytes, now
            )
            if not first_seen:
                first_seen = True
                self._loads.record_first_event(admitted.ticket, now)
                self._admission.place_waiting(admitted.place.server.service)
            else:
                self._loads.record_event(admitted.ticket, now)

        relay = progress.relay
        if relay is not None and 200 <= answer.status < 300:
            timeout = self._answer_wait_seconds(
                call, call.deadline - loop.time(), progress
            )
            await relay.run(answer, on_event, timeout)
            return
        if progress.began:
            raise AttemptError(
                f"status {answer.status} in place of the rest of a stream",
                step="dispatch.relay",
                peer="",
                outcome=AttemptOutcome.UNKNOWN,
            )
        may_repeat = (
            call.route.repeatable and progress.sends + 1 < call.route.max_attempts
        )
        await relay_plain(
            answer,
            sink,
            repeat_failures=may_repeat,
            held_bytes=self._held_bytes,
        )
