"""Follows each request from arrival to end, logs its outcome and counts it."""

import msgspec

from bluebellshore.decisions import DecisionLog, Outcome, silent_log
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.errors import BluebellshoreError, RefusedError, RunState
from bluebellshore.fleet import Call, RouteKind

__all__ = ["CANCELLED_REASON", "STOP_REASON", "RequestLog", "RequestTrace"]

#: Reason of a request that ends because the router stops.
STOP_REASON = "the router stops"
#: Reason of a request that ends though neither its caller, nor its deadline, nor a stop
#: of the router ended it.
CANCELLED_REASON = "cancelled within the router"

#: After a logged pause, a pause of the same stream is logged if longer by this factor.
LOGGED_PAUSE_GROWTH = 2.0
#: Route kind in the metrics of requests that were refused before a route was found.
NO_ROUTE_KIND = "none"


class RequestTrace(msgspec.Struct):
    """State of one request, for its log lines and metrics.

    Times are in monotonic seconds.

    :param received_at: when the router began to handle the request.
    :param attempt_id: id that the caller gave its attempt; empty for none.
    :param connection_opened_at: when the caller's connection was accepted.
    :param connection_requests: requests on that connection, with this one.
    :param stopping_since: when the process began to stop; None before.
    :param configuration: number of the configuration that the request is served under.
    :param call: None until the request was admitted.
    :param attempts: attempts sent to backend servers.
    :param sent: whether a backend server may run or have run the request.
    :param server: backend server of the last attempt.
    :param events: events received from backend servers.
    :param tokens: tokens charged to the customer; None where nothing was charged.
    :param longest_pause_seconds: longest pause between events; None before the second.
    :param logged_pause_seconds: longest pause that was logged; 0 for none.
    """

    received_at: float
    attempt_id: str = ""
    connection_opened_at: float | None = None
    connection_requests: int | None = None
    stopping_since: float | None = None
    configuration: int | None = None
    call: Call | None = None
    attempts: int = 0
    sent: bool = False
    server: str = ""
    events: int = 0
    tokens: int | None = None
    first_event_at: float | None = None
    last_event_at: float | None = None
    longest_pause_seconds: float | None = None
    logged_pause_seconds: float = 0.0

    def add_events(self, now: float, events: int) -> float:
        """Count events that were received together.

        :param events: number of events.
        :return: seconds since the events before them; 0 for the first ones.
        """
        self.events += events
        pause = 0.0
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            pause = now - self.last_event_at
            self.longest_pause_seconds = max(self.longest_pause_seconds or 0.0, pause)
        self.last_event_at = now
        return pause

    def should_log_pause(self, pause: float, max_pause_seconds: float) -> bool:
        """Check whether to log a pause, and if so remember it as logged.

        Each logged pause raises the bar for the next, to bound the lines per stream.

        :param max_pause_seconds: longest pause that is on time; 0 when the route
            declares none, in which case no pause is logged.
        """
        threshold = max(
            max_pause_seconds, LOGGED_PAUSE_GROWTH * self.logged_pause_seconds
        )
        if not max_pause_seconds or pause <= threshold:
            return False
        self.logged_pause_seconds = pause
        return True


class RequestLog:
    """Logs one ``ended`` or ``refused`` line for each request, and counts it."""

    def __init__(
        self, log: DecisionLog | None = None, metrics: EntryMetrics | None = None
    ):
        self._log = log or silent_log()
        self._metrics = metrics or EntryMetrics()

    def admitted(self, trace: RequestTrace, call: Call, now: float) -> None:
        """Log that a request was parsed and assigned to its route and customer."""
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
            connection_seconds=_seconds_since(trace.connection_opened_at, now),
            connection_requests=trace.connection_requests,
            stopping_seconds=_seconds_since(trace.stopping_since, now),
        )

    def answered(self, trace: RequestTrace, status: int, now: float) -> None:
        """Log a request whose complete answer was passed on to the caller."""
        if status >= 500:
            outcome = Outcome.FAILED
        elif trace.call.route.kind is RouteKind.STREAM and status < 300:
            outcome = Outcome.COMPLETED
        else:
            outcome = Outcome.ANSWERED
        self._end(trace, status, outcome, now)

    def failed(
        self,
        trace: RequestTrace,
        error: BluebellshoreError,
        now: float,
        *,
        status: int,
        began: bool,
    ) -> None:
        """Log a request that ends with an error, before or within its answer.

        A request that is known not to have run is logged as refused, any other as
        ended.

        :param status: status sent to the caller, also where the answer broke off.
        :param began: whether a part of the answer was sent to the caller.
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

    def caller_left(self, trace: RequestTrace, status: int, now: float) -> None:
        """Log a request whose caller disconnected before the end of the answer.

        :param status: status sent to the caller; 0 for none.
        """
        if trace.call is not None:
            self._end(trace, status, Outcome.LEFT, now)

    def stopped(self, trace: RequestTrace, status: int, now: float) -> None:
        """Log a request that the router ended because it stopped.

        :param status: status sent to the caller; 0 for none.
        """
        if trace.call is not None:
            self._end(trace, status, Outcome.CUT, now, STOP_REASON)

    def cancelled(self, trace: RequestTrace, status: int, now: float) -> None:
        """Log a request that ended as something it awaited in this process did.

        :param status: status sent to the caller; 0 for none.
        """
        self._end(trace, status, Outcome.CUT, now, CANCELLED_REASON)

    def internal_error(self, trace: RequestTrace, error: Exception, now: float) -> None:
        """Log a request that failed by an unexpected exception in this process."""
        reason = f"{type(error).__name__}: {error}"
        self._end(trace, 500, Outcome.FAILED, now, reason)

    def _refuse(
        self, trace: RequestTrace, error: BluebellshoreError, status: int, now: float
    ) -> None:
        self._log.refused(
            trace.attempt_id,
            status=status,
            reason=error.message,
            step=error.step,
            retry_after=getattr(error, "retry_after", None),
            inputs=error.inputs if isinstance(error, RefusedError) else None,
            configuration=trace.configuration,
        )
        self._metrics.refused(status, error.step)
        self._metrics.request_ended(
            _route_kind(trace), "refused", now - trace.received_at
        )

    def _end(
        self,
        trace: RequestTrace,
        status: int,
        outcome: Outcome,
        now: float,
        reason: str = "",
    ) -> None:
        seconds = now - trace.received_at
        first = trace.first_event_at
        first_seconds = None if first is None else first - trace.received_at
        self._log.ended(
            trace.attempt_id,
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
        self._metrics.request_ended(
            _route_kind(trace),
            outcome.value,
            seconds,
            first_event_seconds=first_seconds,
            longest_pause_seconds=trace.longest_pause_seconds,
        )


def _seconds_since(moment: float | None, now: float) -> float | None:
    return None if moment is None else now - moment


def _route_kind(trace: RequestTrace) -> str:
    return NO_ROUTE_KIND if trace.call is None else trace.call.route.kind.value
