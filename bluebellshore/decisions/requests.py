"""Lines about decisions that concern one request."""

from bluebellshore.decisions.kinds import BudgetOutcome, Kind, Outcome
from bluebellshore.decisions.lines import BoundedLines, Inputs

__all__ = ["RequestLines"]


class RequestLines(BoundedLines):
    """One method for each kind of decision about a request.

    Arguments that are None are left out of the line. Durations are in seconds and
    named ``..._seconds``; an input that comes from elsewhere goes with its age or
    version. `request` is the caller's id of its attempt.
    """

    def admitted(
        self,
        request: str,
        *,
        route: str,
        customer: str | None,
        priority: int,
        deadline_seconds: float,
        configuration: int,
        model: str = "",
        prompt_tokens: int = 0,
        output_tokens: int = 0,
        resumed_at: str = "",
    ) -> None:
        """Log that a request was understood and belongs to a route and customer.

        :param deadline_seconds: time that is left for it.
        :param configuration: number of the configuration that decided it.
        :param resumed_at: event id after which the caller wants a stream to go on.
        """
        self.of_request(
            Kind.ADMITTED,
            request,
            {
                "route": route,
                "customer": customer,
                "priority": priority,
                "deadline_seconds": deadline_seconds,
                "configuration": configuration,
                "model": model or None,
                "prompt_tokens": prompt_tokens or None,
                "output_tokens": output_tokens or None,
                "resumed_at": resumed_at or None,
            },
        )

    def waited(
        self,
        request: str,
        *,
        seconds: float,
        reason: str,
        outcome: str,
        ahead: int | None = None,
        servers: int | None = None,
    ) -> None:
        """Log that a request waited here, once the wait is over.

        :param reason: what it waited for.
        :param outcome: what ended the wait, e.g. ``"placed"``.
        :param ahead: requests before it when it began to wait.
        :param servers: backend servers usable then.
        """
        self.of_request(
            Kind.WAITED,
            request,
            {
                "seconds": seconds,
                "reason": reason,
                "outcome": outcome,
                "ahead": ahead,
                "servers": servers,
            },
        )

    def placed(
        self,
        request: str,
        *,
        attempt: int,
        server: str,
        expected_seconds: float | None,
        cached_tokens: int,
        candidates: int,
        youngest_report_seconds: float | None = None,
        oldest_report_seconds: float | None = None,
        version: str = "",
        running: int | None = None,
        reason: str = "",
        configuration: int | None = None,
    ) -> None:
        """Log to which backend server an attempt goes and what decided it.

        :param attempt: 1 for the first.
        :param expected_seconds: time to the first event that was expected there.
        :param candidates: backend servers among which it was chosen.
        :param youngest_report_seconds: age of the newest peer report that counted.
        :param oldest_report_seconds: age of the oldest one.
        :param running: requests believed to run there before this one.
        :param reason: which rule chose, where there are several.
        """
        self.of_request(
            Kind.PLACED,
            request,
            {
                "attempt": attempt,
                "server": server,
                "version": version or None,
                "expected_seconds": expected_seconds,
                "cached_tokens": cached_tokens,
                "candidates": candidates,
                "youngest_report_seconds": youngest_report_seconds,
                "oldest_report_seconds": oldest_report_seconds,
                "running": running,
                "reason": reason or None,
                "configuration": configuration,
            },
        )

    def sent_again(
        self,
        request: str,
        *,
        attempt: int,
        server: str,
        reason: str,
        seconds_left: float,
        attempts_left: int,
        retries_left: float | None = None,
        events: int | None = None,
    ) -> None:
        """Log that a request goes to another backend server after a failure.

        :param attempt: number of the attempt that failed.
        :param server: backend server of the attempt that failed.
        :param retries_left: repeats that the service may still get in its window.
        :param events: events that the caller has already.
        """
        self.of_request(
            Kind.SENT_AGAIN,
            request,
            {
                "attempt": attempt,
                "server": server,
                "reason": reason,
                "seconds_left": seconds_left,
                "attempts_left": attempts_left,
                "retries_left": retries_left,
                "events": events,
            },
            grave=True,
        )

    def given_up(
        self,
        request: str,
        *,
        attempt: int,
        server: str,
        reason: str,
        why: str,
        seconds_left: float,
        retries_left: float | None = None,
        events: int | None = None,
    ) -> None:
        """Log that an attempt failed and no other follows.

        :param reason: how the attempt failed.
        :param why: why it is not sent again, e.g. that it may have run.
        :param retries_left: repeats that the service may still get in its window.
        :param events: events that the caller has already.
        """
        self.of_request(
            Kind.GIVEN_UP,
            request,
            {
                "attempt": attempt,
                "server": server,
                "reason": reason,
                "why": why,
                "seconds_left": seconds_left,
                "retries_left": retries_left,
                "events": events,
            },
            grave=True,
        )

    def paused(
        self,
        request: str,
        *,
        server: str,
        seconds: float,
        allowed_seconds: float,
        events: int,
        running: int | None = None,
        caller_behind_bytes: int | None = None,
    ) -> None:
        """Log a pause of a stream that was longer than its route allows.

        :param events: events that came before the pause.
        :param running: requests believed to run at the backend server.
        :param caller_behind_bytes: bytes that the caller had not read.
        """
        self.of_request(
            Kind.PAUSED,
            request,
            {
                "server": server,
                "seconds": seconds,
                "allowed_seconds": allowed_seconds,
                "events": events,
                "running": running,
                "caller_behind_bytes": caller_behind_bytes,
            },
            grave=True,
        )

    def refused(
        self,
        request: str,
        *,
        status: int,
        reason: str,
        step: str = "",
        run: str = "not-run",
        retry_after: float | None = None,
        inputs: Inputs | None = None,
        configuration: int | None = None,
    ) -> None:
        """Log that a request was turned away.

        :param request: empty where the caller gave no id.
        :param step: where it was decided; a word of a fixed set.
        :param run: whether it is known not to have run.
        :param retry_after: seconds told to the caller.
        :param inputs: what decided it, with ages or versions.
        """
        self.of_request(
            Kind.REFUSED,
            request,
            {
                "status": status,
                "reason": reason,
                "step": step or None,
                "run": run,
                "retry_after": retry_after,
                "configuration": configuration,
                "inputs": inputs or None,
            },
            grave=True,
        )

    def budget(
        self,
        request: str,
        *,
        customer: str,
        outcome: BudgetOutcome,
        tokens: int,
        balance: int,
        balance_age_seconds: float | None,
        prepaid: int | None = None,
        reserved: int | None = None,
        version: int | None = None,
        inputs: Inputs | None = None,
    ) -> None:
        """Log what a request was granted or denied, or what it cost in the end.

        :param tokens: asked for; with ``SETTLED`` what it cost.
        :param balance: left to this router after the decision.
        :param balance_age_seconds: time since the store confirmed what it rests on.
        :param prepaid: paid for so far, as the configuration says.
        :param reserved: set aside for running requests.
        :param version: of the row that the balance rests on.
        :param inputs: what else decided it, with ages.
        """
        self.of_request(
            Kind.BUDGET,
            request,
            {
                "customer": customer,
                "outcome": outcome.value,
                "tokens": tokens,
                "balance": balance,
                "balance_age_seconds": balance_age_seconds,
                "prepaid": prepaid,
                "reserved": reserved,
                "version": version,
                "inputs": inputs or None,
            },
            grave=outcome is BudgetOutcome.SHORT,
        )

    def ended(
        self,
        request: str,
        *,
        status: int,
        outcome: Outcome,
        seconds: float,
        seconds_to_first_event: float | None = None,
        events: int | None = None,
        tokens: int | None = None,
        attempts: int | None = None,
        server: str = "",
        longest_pause_seconds: float | None = None,
        reason: str = "",
    ) -> None:
        """Log how an admitted request ended; a refused one has only its refusal.

        :param seconds: time since it was received.
        :param longest_pause_seconds: longest time between two events.
        """
        good = outcome in (Outcome.ANSWERED, Outcome.COMPLETED) and status < 500
        self.of_request(
            Kind.ENDED,
            request,
            {
                "status": status,
                "outcome": outcome.value,
                "seconds": seconds,
                "seconds_to_first_event": seconds_to_first_event,
                "events": events,
                "tokens": tokens,
                "attempts": attempts,
                "server": server or None,
                "longest_pause_seconds": longest_pause_seconds,
                "reason": reason or None,
            },
            grave=not good,
        )
        if good:
            self._held.discard(request)
