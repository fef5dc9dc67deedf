"""Results of attempts, and the counts of them that routers exchange."""

from enum import Enum
from typing import NewType

import msgspec

__all__ = ["AttemptResult", "ResultCounts", "Ticket"]

#: Number that identifies an attempt in flight in one router's
#: :class:`bluebellshore.routing.load.LoadTracker`.
Ticket = NewType("Ticket", int)


class AttemptResult(Enum):
    """How an attempt ended."""

    #: A complete answer with a status below 500.
    ANSWERED = "answered"
    #: An answer with a status of 500 or above.
    FAILED = "failed"
    #: The backend server states that it did not run the request, or the request reached
    #: another server than intended.
    REFUSED = "refused"
    #: The request was not sent: no connection could be made or used, or this router's
    #: connections to the server were all in use.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was malformed or incomplete.
    BROKEN = "broken"
    #: No answer, or no further part of it, came in time.
    TIMED_OUT = "timed-out"
    #: The router ended the attempt: the caller disconnected, the request's deadline
    #: passed, or the router stopped or failed.
    ABANDONED = "abandoned"


class ResultCounts(msgspec.Struct):
    """Numbers of results of one server's attempts.

    :param successes: complete answers with a status below 500.
    :param failures: failures of any kind.
    :param no_response: failures that suggest that the server is gone or hangs: it
        couldn't be reached, or sent nothing in time.
    """

    successes: float = 0.0
    failures: float = 0.0
    no_response: float = 0.0

    def add(self, other: "ResultCounts") -> None:
        """Add other counts to these."""
        self.successes += other.successes
        self.failures += other.failures
        self.no_response += other.no_response
