"""Names of attempts, how they end, and counts of it that routers exchange."""

from enum import Enum
from typing import NewType

import msgspec

__all__ = ["Result", "ResultCounts", "Ticket"]

#: Number of an attempt in a :class:`bluebellshore.routing.load.LoadBook`.
Ticket = NewType("Ticket", int)


class Result(Enum):
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
    LEFT = "left"


class ResultCounts(msgspec.Struct):
    """Results of one server.

    :param good: answers.
    :param bad: failures of any kind.
    :param lost: those among them that show a server which is gone or silent.
    """

    good: float = 0.0
    bad: float = 0.0
    lost: float = 0.0

    def add(self, other: "ResultCounts") -> None:
        """Add other counts."""
        self.good += other.good
        self.bad += other.bad
        self.lost += other.lost
