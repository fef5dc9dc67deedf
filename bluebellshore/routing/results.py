"""Names of attempts, how they end, and counts of it that routers exchange."""

from enum import Enum
from typing import NewType

import msgspec

__all__ = ["AttemptResult", "ResultCounts", "Ticket"]

#: Number of an attempt in a :class:`bluebellshore.routing.load.LoadTracker`.
Ticket = NewType("Ticket", int)


class AttemptResult(Enum):
    """How an attempt ended."""

    #: A whole answer, whatever its status below 500.
    ANSWERED = "answered"
    #: The backend server's own failure.
    FAILED = "failed"
    #: It says that it did not run the request.
    REFUSED = "refused"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was not one.
    BROKEN = "broken"
    #: Nothing came in time.
    TIMED_OUT = "timed-out"
    #: The caller left first.
    CALLER_LEFT = "left"


class ResultCounts(msgspec.Struct):
    """Results of one server.

    :param good: answers.
    :param bad: failures of any kind.
    :param lost: those among them that show a server which is gone or silent.
    """

    successes: float = 0.0
    failures: float = 0.0
    no_response: float = 0.0

    def add(self, other: "ResultCounts") -> None:
        """Add other counts."""
        self.successes += other.successes
        self.failures += other.failures
        self.no_response += other.no_response
