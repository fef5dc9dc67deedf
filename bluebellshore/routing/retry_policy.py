"""Whether a request may be sent once more after an attempt without a whole answer.

Answers the load pattern in which backend servers lose, spoil or refuse part of their
answers: what can't have run goes elsewhere, what may run again does so within the
fleet's budget of repeats, and nothing else is sent twice.
"""

from enum import Enum

from bluebellshore.backend import Outcome
from bluebellshore.fleet import Call

__all__ = ["MIN_ATTEMPT_SECONDS", "RetryDecision", "decide_retry"]

#: Connections that may fail one after another before a request is refused.
MAX_UNREACHABLE = 4
#: Least time that must be left for another attempt, in seconds.
MIN_ATTEMPT_SECONDS = 0.05


class RetryDecision(Enum):
    """What follows an attempt."""

    #: Try another backend server; nothing was sent.
    FAIL_OVER = "elsewhere"
    #: Send the request once more, if the budget of repeats allows it.
    RETRY = "repeat"
    #: Give the request up.
    GIVE_UP = "give-up"


def decide_retry(
    call: Call,
    outcome: Outcome,
    *,
    sends: int,
    unreachable: int,
    began: bool,
    now: float,
) -> RetryDecision:
    """Decide what follows an attempt that gave no whole answer.

    :param sends: backend servers that the request was sent to.
    :param unreachable: backend servers that could not be reached.
    :param began: whether the caller has seen a part of the answer.
    :param now: monotonic seconds.
    """
    if call.deadline - now < MIN_ATTEMPT_SECONDS:
        return RetryDecision.GIVE_UP
    if outcome is Outcome.NOT_SENT:
        return (
            RetryDecision.FAIL_OVER
            if unreachable < MAX_UNREACHABLE
            else RetryDecision.GIVE_UP
        )
    if outcome is Outcome.MISDIRECTED:
        # The backend server that was meant did not get it.
        return (
            RetryDecision.RETRY
            if unreachable < MAX_UNREACHABLE
            else RetryDecision.GIVE_UP
        )
    if sends >= call.route.max_attempts:
        return RetryDecision.GIVE_UP
    if outcome is Outcome.NOT_RUN and not began:
        return RetryDecision.RETRY
    if call.route.resumable:
        return RetryDecision.RETRY
    if call.route.repeatable and not began:
        return RetryDecision.RETRY
    return RetryDecision.GIVE_UP
