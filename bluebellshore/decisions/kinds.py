"""Kinds of log lines, and the words that their fields take."""

from enum import Enum

__all__ = [
    "AllotmentOutcome",
    "Belief",
    "BudgetOutcome",
    "Contact",
    "Kind",
    "LIFE_KINDS",
    "LogLevel",
    "Outcome",
    "REQUEST_KINDS",
    "Verdict",
]


class Kind(Enum):
    """``message_type`` of a line."""

    ADMITTED = "admitted"
    WAITED = "waited"
    PLACED = "placed"
    SENT_AGAIN = "sent_again"
    GIVEN_UP = "given_up"
    PAUSED = "paused"
    REFUSED = "refused"
    BUDGET = "budget"
    ENDED = "ended"
    CONFIGURATION = "configuration"
    BACKEND_SERVER = "backend_server"
    PEER = "peer"
    STORE = "store"
    ALLOTMENT = "allotment"
    ROLLOUT = "rollout"
    NOTICE = "notice"
    STARTED = "started"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    STOPPED = "stopped"
    #: Counts of lines that were not written because of their number.
    LEFT_OUT = "left_out"
    #: Counts of lines that were lost because nobody read them in time.
    LINES_DROPPED = "lines_dropped"


#: Kinds that concern one request.
REQUEST_KINDS = frozenset(
    {
        Kind.ADMITTED,
        Kind.WAITED,
        Kind.PLACED,
        Kind.SENT_AGAIN,
        Kind.GIVEN_UP,
        Kind.PAUSED,
        Kind.REFUSED,
        Kind.BUDGET,
        Kind.ENDED,
    }
)
#: Kinds that are always written: a few in a life.
LIFE_KINDS = frozenset(
    {Kind.STARTED, Kind.RELOADED, Kind.STOPPING, Kind.STOPPED, Kind.LEFT_OUT}
)


class LogLevel(Enum):
    """How much is written; each level adds to the one before."""

    #: Life of the process and what it believes.
    BELIEFS = "beliefs"
    #: Also requests that were refused, sent again, paused or failed.
    FAILURES = "failures"
    #: Also every other decision about a request.
    ALL = "all"


class Outcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    #: A stream that showed its last event.
    COMPLETED = "completed"
    #: An error of the backend server was passed on.
    FAILED = "failed"
    #: A stream that broke after its start.
    CUT = "cut"
    #: Nothing came in time.
    TIMED_OUT = "timed-out"
    #: The caller left first.
    LEFT = "left"


class BudgetOutcome(Enum):
    """What became of a request's tokens."""

    GRANTED = "granted"
    SHORT = "short"
    SETTLED = "settled"


class AllotmentOutcome(Enum):
    """What became of a router's part of a budget."""

    GRANTED = "granted"
    DENIED = "denied"
    USED_UP = "used-up"
    RETURNED = "returned"
    RECLAIMED = "reclaimed"


class Belief(Enum):
    """What a router believes of a backend server."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"
    SUSPECTED = "suspected"
    TRUSTED = "trusted"


class Contact(Enum):
    """Whether a dependency answers."""

    LOST = "lost"
    REGAINED = "regained"


class Verdict(Enum):
    """Where a rollout stands."""

    STARTED = "started"
    ADVANCED = "advanced"
    DONE = "done"
    TAKEN_BACK = "taken-back"
