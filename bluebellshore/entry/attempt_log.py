"""Logs and counts the attempts of requests at backend servers."""

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.admission import AdmittedAttempt
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.entry.request_log import RequestTrace
from bluebellshore.fleet import Call
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.retry_policy import MIN_ATTEMPT_SECONDS, RetryDecision

__all__ = ["AttemptLog"]


class AttemptLog:
    """Logs where attempts are sent, what follows a failed one, and long stream pauses.

    :param loads: believed load of backend servers, for the log lines.
    """

    def __init__(
        self,
        loads: LoadTracker,
        log: DecisionLog | None = None,
        metrics: EntryMetrics | None = None,
    ):
        self._loads = loads
        self._log = log or silent_log()
        self._metrics = metrics or EntryMetrics()

    def placed(
        self, call: Call, admitted: AdmittedAttempt, trace: RequestTrace
    ) -> None:
        """Log an attempt that is about to be sent, and update the trace."""
        place, view = admitted.place, admitted.view
        trace.attempts += 1
        trace.server = place.server.server_id
        self._metrics.observe_wait(admitted.waited_seconds)
        if place.left_zone is not None:
            self._metrics.zone_left(place.left_zone.value, len(call.body))
        self._log.placed(
            call.attempt_id,
            attempt=trace.attempts,
            server=trace.server,
            version=place.server.version,
            expected_seconds=place.expected_seconds,
            cached_tokens=place.cached_tokens,
            candidates=admitted.candidates,
            youngest_report_seconds=view.newest_report_age_seconds,
            oldest_report_seconds=view.oldest_report_age_seconds,
            running=view.running,
            reason=admitted.reason,
            configuration=trace.configuration,
        )

    def ended(self, result: str) -> None:
        """Count an attempt that ended, by its result."""
        self._metrics.attempt_ended(result)

    def failed(
        self,
        call: Call,
        error: AttemptError,
        trace: RequestTrace,
        decision: RetryDecision,
        *,
        sends: int,
        repeat_allowed: bool,
        now: float,
    ) -> None:
        """Log whether a request is sent again after a failed attempt, or why not.

        :param sends: backend servers that the request was sent to.
        :param repeat_allowed: whether the service's retry budget allows a repeat.
        """
        fields = {
            "attempt": trace.attempts,
            "server": trace.server,
            "reason": f"{error.outcome.value}: {error.message}",
            "seconds_left": call.deadline - now,
            "events": trace.events or None,
        }
        if error.reset and call.prompt:
            fields["parts"] = [part.part_id for part in call.prompt]
        attempts_left = call.route.max_attempts - sends
        if decision is not RetryDecision.GIVE_UP:
            self._log.sent_again(call.attempt_id, attempts_left=attempts_left, **fields)
            return
        if not repeat_allowed:
            why = "the retry budget of the service is used up"
        elif call.deadline - now < MIN_ATTEMPT_SECONDS:
            why = "too little time is left for another attempt"
        elif error.outcome in (AttemptOutcome.NOT_SENT, AttemptOutcome.MISDIRECTED):
            why = "too many attempts were not sent to their backend server"
        elif attempts_left <= 0:
            why = "the route allows no more attempts"
        else:
            why = "the request may have run and must not be repeated"
        self._log.given_up(call.attempt_id, why=why, **fields)

    def events_received(
        self,
        call: Call,
        trace: RequestTrace,
        events: int,
        unsent_bytes: int,
        now: float,
    ) -> None:
        """Count events of a backend server, and log a long pause before them.

        :param events: number of events.
        :param unsent_bytes: bytes of the answer buffered for the caller.
        """
        events_before, max_pause_seconds = (
            trace.events,
            call.route.max_event_gap_seconds,
        )
        pause_seconds = trace.add_events(now, events)
        if not trace.should_log_pause(pause_seconds, max_pause_seconds):
            return
        view = self._loads.snapshot_of(BackendServerId(trace.server), now)
        self._log.paused(
            call.attempt_id,
            server=trace.server,
            seconds=pause_seconds,
            allowed_seconds=max_pause_seconds,
            events=events_before,
            running=view.running,
            caller_behind_bytes=unsent_bytes,
        )
