"""Decides whether a request is sent again after an attempt without a complete answer.

Handles backend servers that lose, corrupt or refuse part of their answers. A request
that can't have run is sent to another server, and a request that may safely run again
is retried within the shared retry budget. No other request is sent twice.
"""

from enum import Enum

from bluebellshore.backend import AttemptOutcome
from bluebellshore.fleet import Call

__all__ = ["MIN_ATTEMPT_SECONDS", "RetryDecision", "decide_retry"]

#: Attempts of a request that may fail to reach their backend server before the request
#: is given up.
MAX_UNREACHABLE_ATTEMPTS = 4
#: Minimum time before the deadline for another attempt.
MIN_ATTEMPT_SECONDS = 0.05


class RetryDecision(Enum):
    """What follows a failed attempt."""

    #: Try another backend server. Nothing was sent, so no retry budget is needed.
    FAIL_OVER = "elsewhere"
    #: Send the request again if the retry budget allows it.
    RETRY = "repeat"
    #: Return an error to the caller.
    GIVE_UP = "give-up"


def decide_retry(
    call: Call,
    outcome: AttemptOutcome,
    *,
    sends: int,
    unreachable: int,
    began: bool,
    now: float,
) -> RetryDecision:
    """Decide what follows an attempt without a complete answer.

    :param sends: attempts that sent the request to a backend server.
    :param unreachable: attempts that didn't reach their backend server.
    :param began: whether the caller has received a part of the answer.
    :param now: monotonic seconds.
    """
    if call.deadline - now < MIN_ATTEMPT_SECONDS:
        return RetryDecision.GIVE_UP
    if outcome is AttemptOutcome.NOT_SENT:
        return (
            RetryDecision.FAIL_OVER
            if unreachable < MAX_UNREACHABLE_ATTEMPTS
            else RetryDecision.GIVE_UP
        )
    if outcome is AttemptOutcome.MISDIRECTED:
        # The intended backend server didn't receive the request.
        return (
            RetryDecision.RETRY
            if unreachable < MAX_UNREACHABLE_ATTEMPTS
            else RetryDecision.GIVE_UP
        )
    if sends >= call.route.max_attempts:
        return RetryDecision.GIVE_UP
    if outcome is AttemptOutcome.NOT_RUN and not began:
        return RetryDecision.RETRY
    if call.route.resumable:
        return RetryDecision.RETRY
    if call.route.repeatable and not began:
        return RetryDecision.RETRY
    return RetryDecision.GIVE_UP
