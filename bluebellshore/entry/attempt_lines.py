"""Log lines and counts of the attempts of one request."""

from bluebellshore.backend import AttemptError, Outcome
from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.entry.admission import Admitted
from bluebellshore.entry.measures import EntryMeasures
from bluebellshore.entry.trace import Trace
from bluebellshore.fleet import Call
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.load import LoadBook
from bluebellshore.routing.repeats import MIN_LEFT_SECONDS, Next

__all__ = ["AttemptLines"]


class AttemptLines:
    """Writes where attempts go, what follows a failed one, and long pauses."""

    def __init__(
        self,
        book: LoadBook,
        log: DecisionLog | None = None,
        measures: EntryMeasures | None = None,
    ):
        self._book = book
        self._log = log or silent_log()
        self._measures = measures or EntryMeasures()

    def placed(self, call: Call, admitted: Admitted, trace: Trace) -> None:
        """Take in that an attempt is about to be sent."""
        place, view = admitted.place, admitted.view
        trace.attempts += 1
        trace.server = place.server.server_id
        self._measures.waited(admitted.waited_seconds)
        self._log.placed(
            call.attempt_id,
            attempt=trace.attempts,
            server=trace.server,
            version=place.server.version,
            expected_seconds=place.expected_seconds,
            cached_tokens=place.cached_tokens,
            candidates=admitted.candidates,
            youngest_report_seconds=view.youngest_seconds,
            oldest_report_seconds=view.oldest_seconds,
            running=view.running,
            configuration=trace.configuration,
        )

    def ended(self, result: str) -> None:
        """Count an attempt."""
        self._measures.attempt_ended(result)

    def failed(
        self,
        call: Call,
        error: AttemptError,
        trace: Trace,
        step: Next,
        *,
        sends: int,
        allowed: bool,
        now: float,
    ) -> None:
        """Take in what follows an attempt without a whole answer.

        :param sends: backend servers that the request was sent to.
        :param allowed: whether the budget of repeats allows another.
        """
        fields = {
            "attempt": trace.attempts,
            "server": trace.server,
            "reason": f"{error.outcome.value}: {error.message}",
            "seconds_left": call.deadline - now,
            "events": trace.events or None,
        }
        left = call.route.max_attempts - sends
        if step is not Next.GIVE_UP:
            self._log.sent_again(call.attempt_id, attempts_left=left, **fields)
            return
        if not allowed:
            why = "the service has had its repeats"
        elif call.deadline - now < MIN_LEFT_SECONDS:
            why = "no time left"
        elif error.outcome in (Outcome.NOT_SENT, Outcome.MISDIRECTED):
            why = "too many backend servers could not be reached"
        elif left <= 0:
            why = "no attempts left"
        else:
            why = "it may have run"
        self._log.given_up(call.attempt_id, why=why, **fields)

    def events(
        self, call: Call, trace: Trace, events: int, behind_bytes: int, now: float
    ) -> None:
        """Take in that events came, perhaps after a long pause.

        :param behind_bytes: bytes that the caller has not taken.
        """
        before, allowed = trace.events, call.route.gap_seconds
        pause = trace.event(now, events)
        if not trace.is_worth_a_line(pause, allowed):
            return
        view = self._book.view_of(BackendServerId(trace.server), now)
        self._log.paused(
            call.attempt_id,
            server=trace.server,
            seconds=pause,
            allowed_seconds=allowed,
            events=before,
            running=view.running,
            caller_behind_bytes=behind_bytes,
        )
