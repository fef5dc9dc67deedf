"""What attempts without a whole answer mean for the book and for the caller."""

from bluebellshore.backend import AttemptError, Outcome
from bluebellshore.errors import OverloadError, RefusedError, RunState
from bluebellshore.routing.results import Result

__all__ = ["given_up", "result_of", "timed_out"]

#: After which a caller may come back whose request was not run.
RETRY_AFTER_SECONDS = 0.5


def result_of(error: AttemptError) -> Result:
    """Return how an attempt ended, for those who judge backend servers."""
    if error.outcome is Outcome.NOT_SENT:
        return Result.UNREACHABLE
    if error.outcome in (Outcome.NOT_RUN, Outcome.MISDIRECTED):
        return Result.REFUSED
    if error.timed_out:
        return Result.TIMED_OUT
    if error.status >= 500:
        return Result.FAILED
    return Result.BROKEN


def given_up(error: AttemptError, *, may_have_run: bool) -> RefusedError:
    """Return the refusal of a request that is sent no more."""
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


def timed_out(*, may_have_run: bool) -> RefusedError:
    """Return the refusal of a request whose time is over."""
    return RefusedError(
        "the time limit passed",
        step="dispatch",
        status=504 if may_have_run else 503,
        run=RunState.UNKNOWN if may_have_run else RunState.NOT_RUN,
        retry_after=None if may_have_run else RETRY_AFTER_SECONDS,
    )
