"""What becomes of each request: its last line in the log, and the counts of it."""

import msgspec

from bluebellshore.decisions import DecisionLog, Outcome, silent_log
from bluebellshore.entry.measures import EntryMeasures
from bluebellshore.errors import BluebellshoreError, RefusedError, RunState
from bluebellshore.fleet import Call, RouteKind

__all__ = ["RequestEnds", "Trace"]

#: A stream's pause is logged when it is so many times as long as the last logged one.
PAUSE_GROWTH = 2.0
#: Kind of requests that were not understood.
NO_KIND = "none"


class Trace(msgspec.Struct):
    """What became of one request so far. Times are monotonic seconds.

    :param request: the caller's id of its attempt; empty when it gave none.
    :param configuration: number of the configuration that decides it.
    :param call: None until it was admitted.
    :param server: backend server of the last attempt.
    :param tokens: charged to the customer; None where nothing was.
    """

    received_at: float
    request: str = ""
    configuration: int | None = None
    call: Call | None = None
    attempts: int = 0
    server: str = ""
    events: int = 0
    tokens: int | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_seconds: float | None = None
    logged_pause_seconds: float = 0.0

    def event(self, now: float, events: int) -> float:
        """Take in that `events` came. :return: the pause before them, 0 at first."""
        self.events += events
        pause = 0.0
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds or 0.0, pause)
        self.last_event_at = now
        return pause

    def is_worth_a_line(self, pause: float, allowed_seconds: float) -> bool:
        """Whether a pause is logged; few of one stream are."""
        least = max(allowed_seconds, PAUSE_GROWTH * self.logged_pause_seconds)
        if not allowed_seconds or pause <= least:
            return False
        self.logged_pause_seconds = pause
        return True


class RequestEnds:
    """Writes one ``ended`` or ``refused`` line for each request, and counts it."""

    def __init__(
        self, log: DecisionLog | None = None, measures: EntryMeasures | None = None
    ):
        self._log = log or silent_log()
        self._measures = measures or EntryMeasures()

    def admitted(self, trace: Trace, call: Call, now: float) -> None:
        """Take in that a request was understood."""
        trace.call = call
        self._log.admitted(
            call.attempt_id,
            route=call.route.name,
            customer=call.customer,
            priority=call.priority,
            deadline_seconds=call.deadline - now,
            configuration=trace.configuration,
            model=call.model,
            prompt_tokens=call.prompt_tokens,
            output_tokens=call.max_output_tokens,
            resumed_at=call.last_event_id,
        )

    def answered(self, trace: Trace, status: int, now: float) -> None:
        """Take in that an answer was passed on whole."""
        if status >= 500:
            outcome = Outcome.FAILED
        elif trace.call.route.kind is RouteKind.STREAM and status < 300:
            outcome = Outcome.COMPLETED
        else:
            outcome = Outcome.ANSWERED
        self._end(trace, status, outcome, now)

    def failed(
        self,
        trace: Trace,
        error: BluebellshoreError,
        now: float,
        *,
        status: int,
        began: bool,
    ) -> None:
        """Take in an error that answers a request, or that broke its answer off.

        A request that is known not to have run is refused; any other has ended.

        :param status: told to the caller, also where the answer broke off.
        """
        run = getattr(error, "run", RunState.NOT_RUN)
        if began:
            self._end(trace, status, Outcome.CUT, now, str(error))
        elif run is RunState.NOT_RUN:
            self._refuse(trace, error, status, now)
        elif status == 504:
            self._end(trace, status, Outcome.TIMED_OUT, now, str(error))
        else:
            self._end(trace, status, Outcome.FAILED, now, str(error))

    def left(self, trace: Trace, status: int, now: float) -> None:
        """Take in that the caller left; `status` is 0 when it saw none."""
        if trace.call is not None:
            self._end(trace, status, Outcome.LEFT, now)

    def broken(self, trace: Trace, error: Exception, now: float) -> None:
        """Take in a fault of this process."""
        reason = f"{type(error).__name__}: {error}"
        self._end(trace, 500, Outcome.FAILED, now, reason)

    def _refuse(
        self, trace: Trace, error: BluebellshoreError, status: int, now: float
    ) -> None:
        self._log.refused(
            trace.request,
            status=status,
            reason=error.message,
            step=error.step,
            retry_after=getattr(error, "retry_after", None),
            inputs=error.inputs if isinstance(error, RefusedError) else None,
            configuration=trace.configuration,
        )
        self._measures.refused(status, error.step)
        self._measures.request_ended(
            _kind_of(trace), "refused", now - trace.received_at
        )

    def _end(
        self, trace: Trace, status: int, outcome: Outcome, now: float, reason: str = ""
    ) -> None:
        seconds = now - trace.received_at
        first = trace.first_event_at
        first_seconds = None if first is None else first - trace.received_at
        self._log.ended(
            trace.request,
            status=status,
            outcome=outcome,
            seconds=seconds,
            seconds_to_first_event=first_seconds,
            events=trace.events or None,
            tokens=trace.tokens,
            attempts=trace.attempts,
            server=trace.server,
            longest_pause_seconds=trace.longest_pause_seconds,
            reason=reason,
        )
        self._measures.request_ended(
            _kind_of(trace),
            outcome.value,
            seconds,
            first_event_seconds=first_seconds,
            longest_pause_seconds=trace.longest_pause_seconds,
        )


def _kind_of(trace: Trace) -> str:
    return NO_KIND if trace.call is None else trace.call.route.kind.value
