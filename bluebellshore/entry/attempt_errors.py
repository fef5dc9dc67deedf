"""Turns failed attempts into results for routing and into errors for callers."""

from bluebellshore.backend import AttemptError, AttemptOutcome
from bluebellshore.errors import OverloadError, RefusedError, RunState
from bluebellshore.routing.results import AttemptResult

__all__ = ["deadline_error", "error_after_attempt", "result_of"]

#: Retry-After of a request that did not run.
RETRY_AFTER_SECONDS = 0.5


def result_of(error: AttemptError) -> AttemptResult:
    """Classify a failed attempt for load tracking and outlier detection."""
    if error.outcome is AttemptOutcome.NOT_SENT:
        return AttemptResult.UNREACHABLE
    if error.outcome in (AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED):
        return AttemptResult.REFUSED
    if error.timed_out:
        return AttemptResult.TIMED_OUT
    if error.status >= 500:
        return AttemptResult.FAILED
    return AttemptResult.BROKEN


def error_after_attempt(error: AttemptError, *, may_have_run: bool) -> RefusedError:
    """Return the caller's error for a request that is not sent again.

    :param error: error of its last attempt.
    :param may_have_run: whether some attempt may have run.
    """
    if not may_have_run:
        return OverloadError(
            error.message,
            step=error.step,
            peer=error.peer,
            retry_after=RETRY_AFTER_SECONDS,
        )
    return RefusedError(
        error.message,
        step=error.step,
        peer=error.peer,
        status=504 if error.timed_out else 502,
        run=RunState.UNKNOWN,
    )


def deadline_error(*, may_have_run: bool) -> RefusedError:
    """Return the caller's error for a request whose deadline passed."""
    return RefusedError(
        "the time limit passed",
        step="dispatch",
        status=504 if may_have_run else 503,
        run=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        retry_after=None if may_have_run else RETRY_AFTER_SECONDS,
    )
