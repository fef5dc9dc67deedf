"""Admission of requests and their execution on the backend server."""

import asyncio
from collections.abc import Callable, Iterable

import eliot

from bluebellshore.ids import CustomerId, IncarnationId
from bluebellshore.moves.evidence import FIRST_TOKEN_OVERDUE_SECONDS, EvidenceRecorder
from bluebellshore.sidecar.answers import Answer, AnswerState, AnswerStore
from bluebellshore.sidecar.backend import (
    PROBE_INTERVAL_SECONDS,
    BackendClient,
    Execution,
)
from bluebellshore.sidecar.quarantine import Quarantine, QuarantineState
from bluebellshore.sidecar.queue import AdmissionQueue, QueuedRequest
from bluebellshore.sidecar.receipts import PendingReceipts
from bluebellshore.wire import link_pb2 as pb

__all__ = ["Executor"]

#: Lowest status that counts as a failure of a version. Client errors count as well,
#: because a bad version may reject every request as malformed; those that callers
#: cause occur on the old version too.
MIN_ERROR_STATUS = 400


class Executor:
    """Queues requests and runs them within the limits of the backend server.

    :param on_answer_ended: called when an answer has ended, after its receipt was
        added to `receipts`.
    """

    def __init__(
        self,
        *,
        queue: AdmissionQueue,
        quarantine: Quarantine,
        backend: BackendClient,
        store: AnswerStore,
        receipts: PendingReceipts,
        evidence: EvidenceRecorder,
        on_answer_ended: Callable[[Answer], None],
    ):
        self.queue = queue
        self.quarantine = quarantine
        self._backend = backend
        self._store = store
        self._receipts = receipts
        self._evidence = evidence
        self._on_answer_ended = on_answer_ended
        self._answers_by_attempt: dict[str, Answer] = {}
        self._probe_task: asyncio.Task | None = None
        self._loop = asyncio.get_running_loop()

    @property
    def reachable(self) -> bool:
        """Whether the last connection to the backend server succeeded."""
        return self._backend.reachable

    def admit(
        self, start: pb.Start, paying_incarnation: IncarnationId
    ) -> Answer | pb.Refused:
        """Queue a request.

        :param paying_incarnation: router incarnation whose allotment pays.
        :return: the request's answer, or a refusal if it was not queued.
        """
        if not self._backend.reachable:
            return _make_refusal(start, 503, "backend server is down", 1.0)
        if self.has_attempt(start.attempt):
            return _make_refusal(start, 400, "another request has this attempt id", 0.0)
        now = self._loop.time()
        if start.suspect:
            self.quarantine.add_suspect(start.fingerprint, now)
        state = self.quarantine.state_of(start.fingerprint, now)
        if state is QuarantineState.QUARANTINED:
            return _make_refusal(start, 422, "the request crashes backend servers", 0.0)
        item = QueuedRequest(
            attempt=start.attempt,
            key=start.key,
            customer=CustomerId(start.customer),
            weight=start.weight or 1,
            priority=start.priority,
            deadline=now + start.deadline_seconds,
            suspect=state is QuarantineState.SUSPECT,
            fingerprint=start.fingerprint,
        )
        refusal = self.queue.offer(item, now)
        if refusal is not None:
            return _make_refusal(
                start, refusal.status, refusal.reason, refusal.retry_after
            )
        answer = Answer(start, paying_incarnation)
        self._answers_by_attempt[start.attempt] = answer
        self._store.add(answer)
        return answer

    def dispatch(self) -> None:
        """Start the requests that may run, and end those dropped from the queue."""
        now = self._loop.time()
        while self.reachable and (item := self.queue.start_next(now)) is not None:
            answer = self._answers_by_attempt[item.attempt]
            if (
                self.quarantine.state_of(item.fingerprint, now)
                is QuarantineState.QUARANTINED
            ):
                self.queue.record_finish(item, now, overloaded=False)
                self._end_without_running(
                    answer, "the request crashes backend servers", 422
                )
                continue
            answer.state = AnswerState.RUNNING
            self._start(answer, item)
        for item in self.queue.take_dropped(now):
            answer = self._answers_by_attempt.get(item.attempt)
            if answer is not None:
                self._end_without_running(
                    answer, "waited too long for the backend server", 503
                )

    def has_attempt(self, attempt: str) -> bool:
        """Return whether `attempt` is queued or runs."""
        return attempt in self._answers_by_attempt

    def cancel(self, answer: Answer) -> None:
        """Cancel the request of `answer` unless it has ended."""
        if self.queue.cancel(answer.start.attempt):
            self._end_without_running(answer, "cancelled", 499)
        elif answer.task is not None:
            answer.task.cancel()

    def drop_queued(self, route: str, reason: str) -> None:
        """Return the queued requests of `route` to their routers without running them.

        :param reason: reason given to the routers.
        """
        for answer in list(self._answers_by_attempt.values()):
            if answer.start.route == route and self.queue.cancel(answer.start.attempt):
                self._end_without_running(answer, reason, 503)

    def running_fingerprints(self) -> list[str]:
        """Return the fingerprints of all running requests."""
        return [
            answer.start.fingerprint
            for answer in self._answers_by_attempt.values()
            if answer.state is AnswerState.RUNNING
        ]

    def paying_incarnations(self) -> Iterable[IncarnationId]:
        """Return the router incarnations that pay for requests not ended yet."""
        return {answer.incarnation for answer in self._answers_by_attempt.values()}

    def _start(self, answer: Answer, item: QueuedRequest) -> None:
        execution = Execution()

        def finished(task: asyncio.Task) -> None:
            if task.cancelled():
                execution.outcome = pb.CANCELLED
                execution.reason = "cancelled"
                execution.tokens = answer.start.price or execution.tokens
            elif task.exception() is not None:
                execution.outcome = pb.FAILED
                execution.reason = f"internal error: {task.exception()!r}"
                eliot.log_message("run_failed", reason=execution.reason)
            self._finish_execution(answer, item, execution)

        # Done in a callback because a task cancelled before its first step never runs.
        answer.task = asyncio.ensure_future(self._backend.execute(answer, execution))
        answer.task.add_done_callback(finished)
        overdue = self._loop.call_later(
            FIRST_TOKEN_OVERDUE_SECONDS, self._record_overdue, answer, execution
        )
        answer.task.add_done_callback(lambda task: overdue.cancel())

    def _record_overdue(self, answer: Answer, execution: Execution) -> None:
        """Record a first token as overdue while its request still waits for it."""
        if execution.first_token_seconds is None and not answer.start.price:
            execution.overdue_reported = True
            self._evidence.record_first_token(
                answer.start.route, answer.start.version, FIRST_TOKEN_OVERDUE_SECONDS
            )

    def _record_evidence(self, answer: Answer, execution: Execution) -> None:
        route, version = answer.start.route, answer.start.version
        first_token_seconds = (
            None if execution.overdue_reported else execution.first_token_seconds
        )
        gaps = execution.between_token_seconds
        if execution.outcome == pb.CANCELLED:
            self._evidence.record_times(route, version, first_token_seconds, gaps)
            return
        ok = execution.ok and answer.status < MIN_ERROR_STATUS
        self._evidence.record_request(route, version, ok, first_token_seconds, gaps)

    def _finish_execution(
        self, answer: Answer, item: QueuedRequest, execution: Execution
    ) -> None:
        """Record the result of an execution and end its answer with a receipt."""
        now = self._loop.time()
        if execution.crashed:
            self.quarantine.record_crash(self.running_fingerprints(), now)
        elif execution.ok:
            self.quarantine.clear_request(answer.start.fingerprint, now)
        if execution.ran:
            self._record_evidence(answer, execution)
        self.queue.record_finish(item, now, overloaded=execution.overloaded)
        billed = execution.tokens if execution.ok else 0
        self._receipts.add(_make_receipt(answer, billed))
        self._end_answer(answer, execution, billed)
        if not self._backend.reachable:
            self._ensure_probing()
        self.dispatch()

    def _end_without_running(self, answer: Answer, reason: str, status: int) -> None:
        """End a request that was taken from the queue, with a receipt of 0 tokens."""
        answer.status = status
        execution = Execution(outcome=pb.EXPIRED, reason=reason, ran=False)
        # The router may have closed the stream, but still has the tokens reserved.
        self._receipts.add(_make_receipt(answer, 0))
        self._end_answer(answer, execution, 0)

    def _end_answer(self, answer: Answer, execution: Execution, tokens: int) -> None:
        answer.state = AnswerState.ENDED
        answer.ended_at = self._loop.time()
        answer.task = None
        answer.body = b""
        answer.end = pb.End(
            outcome=execution.outcome,
            length=answer.length,
            checksum=answer.checksum,
            tokens=tokens,
            reason=execution.reason,
            crashed=execution.crashed,
            ran=execution.ran,
            status=answer.status,
            headers=answer.headers,
        )
        self._answers_by_attempt.pop(answer.start.attempt, None)
        self._on_answer_ended(answer)

    def _ensure_probing(self) -> None:
        if self._probe_task is None or self._probe_task.done():
            self._probe_task = asyncio.ensure_future(self._probe_until_reachable())

    async def _probe_until_reachable(self) -> None:
        while not await self._backend.probe():
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
        self.dispatch()

    def close(self) -> None:
        """Stop probing the backend server."""
        if self._probe_task is not None:
            self._probe_task.cancel()


def _make_refusal(
    start: pb.Start, status: int, reason: str, retry_after: float
) -> pb.Refused:
    return pb.Refused(
        stream=start.stream,
        run=pb.NOT_RUN,
        status=status,
        reason=reason,
        retry_after=retry_after,
    )


def _make_receipt(answer: Answer, tokens: int) -> pb.Receipt:
    start = answer.start
    return pb.Receipt(
        attempt=start.attempt,
        key=start.key,
        incarnation=answer.incarnation,
        customer=start.customer,
        budget=start.budget,
        route=start.route,
        version=start.version,
        tokens=min(tokens, start.reserved_tokens),
        reserved_tokens=start.reserved_tokens,
    )
