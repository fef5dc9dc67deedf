"""Keeps requests that crash backend servers away from them."""

import functools

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.errors import OverloadError, RunState
from bluebellshore.fleet import (
    BackendServer,
    Call,
    ServerState,
    choose_service,
    fingerprint_of,
    shared_parts_of,
)
from bluebellshore.routing.crash_tracker import CrashTracker

__all__ = ["CrashGuard"]

#: Retry-After of a request that is refused because it crashes backend servers. The
#: refusal itself lasts longer; this only keeps the caller from retrying at once.
CRASH_RETRY_AFTER_SECONDS = 30.0
#: The same while crashes are only likely: the servers' entries soon tell.
LIKELY_CRASH_RETRY_AFTER_SECONDS = 5.0
#: Events after which an answer has begun for certain.
MIN_EVENTS = 2


class CrashGuard:
    """Tells a crash tracker about one call's attempts, and refuses the call.

    :param tracker: shared by all calls.
    """

    def __init__(self, tracker: CrashTracker, call: Call):
        self._tracker = tracker
        self._call = call
        self._parts = shared_parts_of(call, choose_service(call))
        self._sent_at = 0.0
        self._first_event_at: float | None = None
        self._events = 0

    @functools.cached_property
    def _fingerprint(self) -> str:
        return fingerprint_of(self._call)

    def refuse_crashing(self, now: float, *, may_have_run: bool = False) -> None:
        """Refuse a request that is known to crash backend servers.

        :param may_have_run: whether an attempt before may have run.
        :raises OverloadError: backend servers crashed while they ran this request, or
            requests with the same prompt part.
        """
        retry_after = CRASH_RETRY_AFTER_SECONDS
        if self._tracker and self._tracker.should_refuse(self._fingerprint, now):
            message, step = "backend servers crashed with this request", "crashes"
            if not self._tracker.is_refused_for_certain(self._fingerprint):
                retry_after = LIKELY_CRASH_RETRY_AFTER_SECONDS
        elif self._tracker.should_refuse_parts(self._parts, now):
            message, step = "backend servers crashed on a prompt part", "crashing_part"
        else:
            return
        error = OverloadError(
            message,
            step=f"dispatch.{step}",
            retry_after=retry_after,
        )
        if may_have_run:
            error.status, error.run, error.retry_after = 502, RunState.UNKNOWN, None
        raise error

    def record_sent(self, now: float) -> None:
        """Record that an attempt is sent."""
        self._sent_at, self._first_event_at, self._events = now, None, 0
        # Without evidence of crashes there is no use for the fingerprint.
        fingerprint = self._fingerprint if self._tracker else ""
        self._tracker.record_sent(self._parts, now, fingerprint)

    def record_events(self, count: int, now: float) -> None:
        """Record that events of the answer arrived."""
        if self._events < MIN_EVENTS:
            if self._first_event_at is None:
                self._first_event_at = now
            self._events += count
            if self._events >= MIN_EVENTS:
                self._tracker.record_answer_began(self._parts, self._first_event_at)

    def record_answered(
        self, server: BackendServer, status: int, *, is_stream: bool, now: float
    ) -> None:
        """Record that an answer is complete."""
        self._tracker.record_alive(server.server_id, self._sent_at)
        if status < 500:
            self._tracker.clear_request(self._fingerprint, now)
        if not 200 <= status < 300 or self._events >= MIN_EVENTS:
            return
        if not is_stream:
            self._tracker.record_answer_began(self._parts, now)
        elif self._first_event_at is not None:
            self._tracker.record_answer_began(self._parts, self._first_event_at)

    def record_failed(
        self,
        server: BackendServer,
        listed: BackendServer | None,
        error: AttemptError,
        now: float,
    ) -> None:
        """Record that an attempt failed, which may mean that the server crashed.

        :param listed: the server by its present entry; None if that is gone.
        """
        server_id = server.server_id
        if error.outcome is AttemptOutcome.NOT_RUN:
            self._tracker.record_alive(server_id, self._sent_at)
        elif error.outcome is AttemptOutcome.MISDIRECTED or (
            error.outcome is AttemptOutcome.NOT_SENT and not error.timed_out
        ):
            self._tracker.record_unreachable(server_id, now)
        elif error.reset and error.outcome is AttemptOutcome.UNKNOWN:
            if listed is None or listed.state is not ServerState.READY:
                # A server that leaves closes its connections in the end.
                return
            parts = self._parts if self._first_event_at is None else ()
            self._tracker.record_broken_connection(
                server_id,
                self._fingerprint,
                now,
                parts,
                sent_at=self._sent_at,
                listed=server,
            )
