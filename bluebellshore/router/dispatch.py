"""Dispatches calls to sidecars: reserves tokens, fails over, resumes streams."""

import asyncio
import functools
import itertools
from collections import defaultdict
from collections.abc import Callable, Coroutine
from dataclasses import replace

import eliot

from bluebellshore.bundle.model import Bundle, Priority
from bluebellshore.duties.answers import Header, StoredAnswer
from bluebellshore.duties.claims import ClaimResult, Claims, ClaimState
from bluebellshore.errors import (
    BackendServerError,
    FencedError,
    OverloadError,
    RefusedError,
    RunState,
)
from bluebellshore.ids import IncarnationId, RequestKey, RouteName, VersionName
from bluebellshore.moves.tracker import MoveTracker
from bluebellshore.router.attempts import AttemptReservations
from bluebellshore.router.calls import ROUTER_KEY_PREFIX, Call
from bluebellshore.router.choice import SidecarChooser
from bluebellshore.router.gossip import Gossip
from bluebellshore.router.lookups import Lookups
from bluebellshore.router.peers import Peer, PeerPool
from bluebellshore.router.relay import (
    AnswerSource,
    AttemptFailure,
    Relay,
    RelayProgress,
    StoredAnswerSource,
)
from bluebellshore.router.streams import RouterStream
from bluebellshore.routing.balancer import Balancer
from bluebellshore.routing.retries import RetryBudget
from bluebellshore.wire import link_pb2 as pb

__all__ = ["Dispatcher", "make_router_key"]

RETRY_AFTER_SECONDS = 1.0
MAX_ATTEMPTS = 4
#: Maximum time for which a caller waits until the outcome of its call is recorded.
MAX_RECORD_WAIT_SECONDS = 0.5
MAX_STOP_WAIT_SECONDS = 10.0
PRIORITY_NUMBERS = {priority: number for number, priority in enumerate(Priority)}


class Dispatcher:
    """Runs calls as attempts on sidecars.

    An idempotent call may run several times, on different sidecars. Any other call is
    claimed in the store before it is sent, so that it runs at most once.

    :param incarnation: this router's incarnation.
    :param current_bundle: returns the bundle in force.
    :param retry_share: retries of a route's calls, as a share of its calls.
    :param credit_bytes: maximum number of bytes of an answer that a sidecar sends
        before the caller has read them; 0 for no limit.
    """

    def __init__(
        self,
        *,
        incarnation: IncarnationId,
        pool: PeerPool,
        reservations: AttemptReservations,
        claims: Claims,
        move_tracker: MoveTracker,
        balancer: Balancer,
        gossip: Gossip,
        lookups: Lookups,
        current_bundle: Callable[[], Bundle],
        retry_share: float,
        credit_bytes: int,
    ):
        self._incarnation = incarnation
        self._pool = pool
        self._reservations = reservations
        self._claims = claims
        self._move_tracker = move_tracker
        self._chooser = SidecarChooser(pool, move_tracker, balancer)
        self._gossip = gossip
        self._lookups = lookups
        self._current_bundle = current_bundle
        self._credit_bytes = credit_bytes
        self._retry_budgets: defaultdict[RouteName, RetryBudget] = defaultdict(
            lambda: RetryBudget(retry_share)
        )
        self._attach_numbers = itertools.count(1)
        #: Calls that run at most once, also those whose callers have disconnected.
        self._calls_run_once: set[asyncio.Task] = set()
        self._pending_writes: set[asyncio.Task] = set()

    async def open(self, call: Call) -> AnswerSource:
        """Run a call until its answer begins, and return that answer.

        :raises RefusedError: the call gets no answer.
        """
        if call.idempotent:
            return await self._open_idempotent(call)
        # The outcome must be recorded even if the caller disconnects.
        task = asyncio.create_task(self._open_once(call))
        self._calls_run_once.add(task)
        task.add_done_callback(self._calls_run_once.discard)
        return await asyncio.shield(task)

    # Idempotent calls

    async def _open_idempotent(self, call: Call) -> AnswerSource:
        if call.has_caller_key:
            relay = await self._attach_to_existing(call)
            if relay is not None:
                return relay
        if call.offset:
            raise _answer_not_held_error()
        return await self._open_with_retries(call)

    async def _attach_to_existing(self, call: Call) -> Relay | None:
        """Attach to an earlier run of the same request, on whichever sidecar it is.

        :return: its answer; None if no sidecar holds it.
        :raises RefusedError: the key belongs to another request.
        """
        peers = [
            peer
            for peer in self._pool.connected_peers()
            if call.route_name in peer.hello.routes or not peer.hello.routes
        ]
        holder = await self._lookups.find_holder(
            call.key, call.offset, call.lineage, peers
        )
        if holder is None:
            return None
        return await self._attach(call, holder.incarnation)

    async def _open_with_retries(self, call: Call) -> AnswerSource:
        retry_budget = self._retry_budgets[call.route_name]
        now = asyncio.get_running_loop().time
        retry_budget.deposit(now())
        tried: set[IncarnationId] = set()
        superseded: list[str] = []
        ran = suspect = False
        for attempt_number in range(1, MAX_ATTEMPTS + 1):
            try:
                peer = await self._chooser.choose(call, tried)
                stream = await self._open_attempt(call, peer, suspect=suspect)
            except RefusedError as error:
                self._reservations.unmark_superseded(superseded)
                error.run = RunState.UNKNOWN if ran else error.run
                raise
            relay = self._make_relay(call, stream)
            failure = await self._wait_for_answer(call, stream, relay)
            if failure is None:
                return relay
            ran = ran or failure.ran
            suspect = suspect or failure.crashed
            if failure.sent:
                tried.add(peer.incarnation)
            is_last = attempt_number == MAX_ATTEMPTS or now() >= call.deadline
            may_retry = failure.may_retry and not is_last
            is_uncharged = failure.sidecar_specific or self._chooser.ran_on_new_version(
                call, stream
            )
            if not may_retry or not (is_uncharged or retry_budget.withdraw(now())):
                self._reservations.unmark_superseded(superseded)
                raise _refusal_of(failure, ran=ran)
            self._reservations.mark_superseded(stream.start.attempt)
            superseded.append(stream.start.attempt)
        raise AssertionError("unreachable")

    def _make_relay(self, call: Call, stream: RouterStream) -> Relay:
        on_failure = functools.partial(self._handle_failure, call)
        if not call.stream or call.offset or not call.idempotent:
            return Relay(
                self._pool, stream, on_failure=on_failure, is_events=call.stream
            )
        superseded: list[str] = []

        async def resume(
            broken_stream: RouterStream,
            progress: RelayProgress,
            failure: AttemptFailure,
        ) -> RouterStream | None:
            new_stream = await self._resume(call, broken_stream, progress, failure)
            if new_stream is None:
                self._reservations.unmark_superseded(superseded)
            else:
                superseded.append(broken_stream.start.attempt)
            return new_stream

        return Relay(
            self._pool, stream, on_failure=on_failure, is_events=True, resume=resume
        )

    async def _resume(
        self,
        call: Call,
        stream: RouterStream,
        progress: RelayProgress,
        failure: AttemptFailure,
    ) -> RouterStream | None:
        """Continue a broken event stream on another backend server.

        This is not charged to the retry budget, because it saves the work that a retry
        by the caller would repeat.

        :return: the new stream; None if no sidecar can take the call.
        """
        try:
            peer = await self._chooser.choose(call, {stream.peer.incarnation})
            start = await self._reserve(call, peer, suspect=failure.crashed)
        except RefusedError as error:
            eliot.log_message("not_resumed", key=call.key, reason=str(error))
            return None
        self._reservations.mark_superseded(stream.start.attempt)
        version = self._current_bundle().versions[VersionName(start.version)]
        start.body = call.body_for(version, progress.events.text)
        if progress.offset:
            start.resume = True
            start.offset = progress.offset
            start.lineage = stream.lineage
            start.resumed_tokens = progress.events.content_event_count
        return self._pool.open(peer, start)

    # Calls that are not idempotent

    async def _open_once(self, call: Call) -> AnswerSource:
        tried: set[IncarnationId] = set()
        for attempt_number in itertools.count(1):
            peer = await self._chooser.choose(call, tried)
            start = await self._reserve(call, peer)
            claim = await self._claim(call, start)
            if claim.state is not ClaimState.CLAIMED:
                self._reservations.release(start.attempt)
                return await self._answer_claimed(call, claim)
            stream = self._pool.open(peer, start)
            relay = self._make_relay(call, stream)
            failure = await self._wait_for_answer(call, stream, relay)
            if failure is None:
                return await self._record_answer(call, relay)
            released = False
            if not failure.ran:
                released = await self._write_in_background(
                    self._claims.release(call.key)
                )
            if failure.sent:
                tried.add(IncarnationId(start.sidecar_incarnation))
            if (
                not released
                or not failure.sidecar_specific
                or attempt_number == MAX_ATTEMPTS
            ):
                # The successor of a fenced incarnation claims the call anew.
                failure = replace(failure, fenced=failure.fenced and released)
                raise _refusal_of(failure, ran=failure.ran)
        raise AssertionError("unreachable")

    async def _claim(self, call: Call, start: pb.Start) -> ClaimResult:
        try:
            return await self._claims.claim(
                call.key,
                IncarnationId(start.sidecar_incarnation),
                self._incarnation,
                call.fingerprint,
            )
        except BaseException:
            self._reservations.release(start.attempt)
            raise

    async def _answer_claimed(self, call: Call, claim: ClaimResult) -> AnswerSource:
        """Answer a call whose key was claimed by an earlier call.

        :raises RefusedError: the key belongs to another request, or the answer to the
            earlier call cannot be obtained.
        """
        if claim.state is ClaimState.DONE:
            return StoredAnswerSource(claim.answer)
        if claim.state is ClaimState.MISMATCH:
            raise RefusedError(
                "the idempotency key belongs to another request",
                step="claim",
                status=409,
            )
        if claim.state is ClaimState.RUNNING:
            relay = await self._attach(call, claim.sidecar)
            if relay is not None:
                return await self._record_answer(call, relay, claim.claim_id)
        raise RefusedError(
            "the request may have run; it will not be run again",
            step="claim",
            status=409,
            run=RunState.UNKNOWN,
        )

    async def _attach(self, call: Call, sidecar: IncarnationId) -> Relay | None:
        """Attach to a call that runs or ran at `sidecar`.

        :return: its answer; None if it cannot be obtained from that sidecar.
        :raises RefusedError: the key belongs to another request.
        """
        peer = self._pool.by_incarnation(sidecar)
        if peer is None:
            return None
        attempt = f"{self._incarnation}-join-{next(self._attach_numbers)}"
        stream = self._pool.attach(peer, self._start_message(call, peer, attempt))
        relay = self._make_relay(call, stream)
        failure = await self._wait_for_answer(call, stream, relay)
        if failure is None:
            return relay
        if failure.status == 409:
            raise _refusal_of(failure, ran=failure.ran)
        return None

    async def _record_answer(
        self, call: Call, relay: Relay, claim_id: str = ""
    ) -> AnswerSource:
        """Read a whole answer and store it, so that a retry by the caller gets it.

        :param claim_id: claim to complete if another router made it; empty for the
            claim of this router.
        :raises RefusedError: the answer ended early.
        """
        body = bytearray()
        try:
            async for data in relay:
                body += data
        except BackendServerError as error:
            raise RefusedError(
                error.message,
                step="relay",
                peer=error.peer,
                status=502,
                run=RunState.UNKNOWN,
            ) from error
        stored = StoredAnswer(
            status=relay.status,
            headers=[Header(name, value) for name, value in relay.headers],
            body=bytes(body),
        )
        await self._write_in_background(self._claims.record(call.key, stored, claim_id))
        return StoredAnswerSource(stored)

    async def _write_in_background(self, write: Coroutine[None, None, None]) -> bool:
        """Start a write and wait briefly for it to complete.

        The write continues in the background for as long as the store is unavailable.
        The caller need not wait for it: until it completes, a retry finds the claim.

        :return: whether the write has completed without an error.
        """
        task = asyncio.ensure_future(write)
        self._pending_writes.add(task)
        task.add_done_callback(self._end_write)
        done, _ = await asyncio.wait({task}, timeout=MAX_RECORD_WAIT_SECONDS)
        return bool(done) and _failure_of(task) is None

    def _end_write(self, task: asyncio.Task) -> None:
        self._pending_writes.discard(task)
        failure = _failure_of(task)
        if failure is not None:
            eliot.log_message("outcome_not_recorded", reason=failure)

    async def stop(self) -> None:
        """Wait up to :data:`MAX_STOP_WAIT_SECONDS` for outcomes to be recorded."""
        now = asyncio.get_running_loop().time
        deadline = now() + MAX_STOP_WAIT_SECONDS
        while (tasks := self._calls_run_once | self._pending_writes) and (
            now() < deadline
        ):
            await asyncio.wait(tasks, timeout=deadline - now())
        if tasks:
            eliot.log_message("outcomes_not_recorded", count=len(tasks))
        await self._claims.close()

    # Parts of an attempt

    async def _open_attempt(
        self, call: Call, peer: Peer, *, suspect: bool
    ) -> RouterStream:
        start = await self._reserve(call, peer, suspect=suspect)
        return self._pool.open(peer, start)

    async def _reserve(
        self, call: Call, peer: Peer, *, suspect: bool = False
    ) -> pb.Start:
        """Reserve tokens for an attempt.

        :param suspect: whether an earlier attempt ended in a crash of its backend
            server; the sidecar then runs the request alone.
        :return: the message that starts the attempt.
        :raises RefusedError: the tokens cannot be reserved.
        """
        incarnation = peer.incarnation
        attempt = await self._reservations.reserve(call, peer)
        try:
            start = self._start_message(call, peer, attempt, suspect=suspect)
        except KeyError as error:
            # While the reservation waited, a new bundle removed the version.
            self._reservations.release(attempt)
            raise OverloadError(
                f"version {error} is not in the bundle in force",
                step="reserve",
                retry_after=RETRY_AFTER_SECONDS,
            ) from error
        # The sidecar may also have been replaced during the wait; the tokens are
        # reserved for its old incarnation.
        start.sidecar_incarnation = incarnation
        return start

    async def _wait_for_answer(
        self, call: Call, stream: RouterStream, relay: Relay
    ) -> AttemptFailure | None:
        try:
            failure = await relay.wait_for_first_event()
        except asyncio.CancelledError:
            relay.close()
            raise
        if stream.joined_attempt:
            self._reservations.release(stream.start.attempt)
        if failure is not None:
            self._handle_failure(call, stream, failure)
            relay.close()
        return failure

    def _handle_failure(
        self, call: Call, stream: RouterStream, failure: AttemptFailure
    ) -> None:
        eliot.log_message(
            "attempt_failed",
            key=call.key,
            attempt=stream.start.attempt,
            peer=failure.peer,
            ran=failure.ran,
            reason=failure.reason,
        )
        if not failure.ran:
            self._reservations.release(stream.start.attempt)
        if failure.crashed:
            self._gossip.broadcast_suspect(call.fingerprint)
        if failure.sidecar_lost:
            now = asyncio.get_running_loop().time()
            version = VersionName(stream.start.version)
            self._move_tracker.record_failure(call.route_name, version, now)

    def _start_message(
        self, call: Call, peer: Peer, attempt: str, *, suspect: bool = False
    ) -> pb.Start:
        version_name = VersionName(peer.hello.version)
        remaining_seconds = call.deadline - asyncio.get_running_loop().time()
        return pb.Start(
            stream=self._pool.new_stream_id(),
            key=call.key,
            attempt=attempt,
            sidecar_incarnation=peer.incarnation,
            mode=pb.START_OR_ATTACH if call.idempotent else pb.START_ONCE,
            customer=call.customer,
            budget=call.budget,
            route=call.route_name,
            version=version_name,
            reserved_tokens=call.reserved_tokens,
            deadline_seconds=max(remaining_seconds, 0.0),
            priority=PRIORITY_NUMBERS[call.route.priority],
            method=call.method,
            path=call.path,
            headers=[pb.Header(name=n, value=v) for n, v in call.headers.items()],
            body=call.body_for(self._current_bundle().versions[version_name]),
            fingerprint=call.fingerprint,
            weight=call.weight,
            credit_bytes=self._credit_bytes,
            price=call.price,
            suspect=suspect,
            offset=call.offset,
            lineage=call.lineage,
        )


def _failure_of(task: asyncio.Task) -> str | None:
    """Return why a task that has ended failed; None if it didn't."""
    if task.cancelled():
        return "cancelled"
    error = task.exception()
    return None if error is None else f"{type(error).__name__}: {error}"


def make_router_key(
    customer: str, incarnation: IncarnationId, number: int
) -> RequestKey:
    """Return the request key of a call without an ``Idempotency-Key`` header.

    :param number: number of the call, unique within the router incarnation.
    """
    return RequestKey(f"{customer}/{ROUTER_KEY_PREFIX}{incarnation}-{number}")


def _answer_not_held_error() -> RefusedError:
    return RefusedError(
        "that part of the answer is not held any more; "
        "ask without Last-Event-ID for a new answer",
        step="dispatch",
        status=410,
        run=RunState.UNKNOWN,
    )


def _refusal_of(failure: AttemptFailure, *, ran: bool) -> RefusedError:
    error_type = FencedError if failure.fenced else RefusedError
    return error_type(
        failure.reason,
        step="dispatch",
        peer=failure.peer,
        status=failure.status,
        run=RunState.UNKNOWN if ran else RunState.NOT_RUN,
        retry_after=failure.retry_after or None,
    )
