"""Log lines about the decisions on a single request."""

from collections.abc import Sequence

from bluebellshore.decisions.kinds import BudgetOutcome, Kind, Outcome
from bluebellshore.decisions.rate_limited import Inputs, RateLimitedLog

__all__ = ["RequestLines"]


class RequestLines(RateLimitedLog):
    """Methods that log each kind of decision on a request.

    Arguments that are None are left out of the line. Durations are in seconds and
    named ``..._seconds``. Data received from another process are logged with their
    age or version. `request` is the caller's id of its attempt.
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
        connection_seconds: float | None = None,
        connection_requests: int | None = None,
        stopping_seconds: float | None = None,
    ) -> None:
        """Log that a request is valid and was matched to a route and a customer.

        :param deadline_seconds: time left until the request's deadline.
        :param configuration: number of the configuration that was used.
        :param resumed_at: id of the event after which the caller resumes a stream.
        :param connection_seconds: age of the caller's connection.
        :param connection_requests: requests on that connection, with this one.
        :param stopping_seconds: time since the process began to stop.
        """
        self.write_for_request(
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
                "connection_seconds": connection_seconds,
                "connection_requests": connection_requests,
                "stopping_seconds": stopping_seconds,
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
        """Log that a request waited in this router, once the wait has ended.

        :param reason: what it waited for.
        :param outcome: what ended the wait, e.g. ``"placed"``.
        :param ahead: number of requests ahead of it when the wait began.
        :param servers: number of usable backend servers at that time.
        """
        self.write_for_request(
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
        """Log the backend server chosen for an attempt and the data behind the choice.

        :param attempt: number of the attempt, from 1.
        :param expected_seconds: expected time to the first event on this server.
        :param cached_tokens: tokens of the prompt expected in the server's cache.
        :param candidates: number of backend servers that could be chosen.
        :param youngest_report_seconds: age of the newest peer report that was used.
        :param oldest_report_seconds: age of the oldest peer report that was used.
        :param running: estimated number of requests already running on the server.
        :param reason: rule that made the choice, if there are several.
        """
        self.write_for_request(
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
        parts: Sequence[str] | None = None,
    ) -> None:
        """Log that a request is retried after an attempt failed.

        :param attempt: number of the attempt that failed.
        :param server: backend server of the attempt that failed.
        :param retries_left: retries left to the service in its retry budget's window.
        :param events: number of events already forwarded to the caller.
        :param parts: ids of the prompt's parts, where the connection broke.
        """
        self.write_for_request(
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
                "parts": parts and list(parts),
            },
            high_priority=True,
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
        parts: Sequence[str] | None = None,
    ) -> None:
        """Log that an attempt failed and is not retried.

        :param reason: how the attempt failed.
        :param why: why it is not retried, e.g. because it may have run.
        :param retries_left: retries left to the service in its retry budget's window.
        :param events: number of events already forwarded to the caller.
        :param parts: ids of the prompt's parts, where the connection broke.
        """
        self.write_for_request(
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
                "parts": parts and list(parts),
            },
            high_priority=True,
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
        """Log a pause between the events of a stream that its route does not allow.

        :param seconds: length of the pause.
        :param allowed_seconds: longest pause that the route allows.
        :param events: number of events before the pause.
        :param running: estimated number of requests running on the backend server.
        :param caller_behind_bytes: bytes that the caller had not read yet.
        """
        self.write_for_request(
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
            high_priority=True,
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
        """Log that a request was rejected.

        :param request: empty if the caller sent no id.
        :param status: HTTP status of the answer.
        :param step: processing step that rejected it, from a fixed set of words.
        :param run: what is known about whether the request ran; a value of
            `RunState`.
        :param retry_after: seconds after which the caller was asked to retry.
        :param inputs: data that the decision was based on, with ages or versions.
        """
        self.write_for_request(
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
            high_priority=True,
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
        """Log that tokens were reserved, refused or settled for a request.

        :param tokens: tokens requested; with ``SETTLED``, tokens used.
        :param balance: tokens left to this router after the decision.
        :param balance_age_seconds: time since the store confirmed the data that the
            balance is computed from.
        :param prepaid: tokens paid for so far, according to the configuration.
        :param reserved: tokens reserved for running requests.
        :param version: version of the row that the balance is computed from.
        :param inputs: other data that the decision was based on, with their ages.
        """
        self.write_for_request(
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
            high_priority=outcome is BudgetOutcome.SHORT,
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
        """Log how an admitted request ended.

        A rejected request has a ``refused`` line instead.

        :param status: HTTP status of the answer.
        :param seconds: time since the request was received.
        :param longest_pause_seconds: longest time between two events.
        """
        succeeded = outcome in (Outcome.ANSWERED, Outcome.COMPLETED) and status < 500
        self.write_for_request(
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
            high_priority=not succeeded,
        )
        if succeeded:
            self._held.discard(request)
