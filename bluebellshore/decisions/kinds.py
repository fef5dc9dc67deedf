"""Kinds of log lines, and the values of their enumerated fields."""

from enum import Enum

__all__ = [
    "AllotmentOutcome",
    "Belief",
    "BudgetOutcome",
    "Contact",
    "EvacuationStep",
    "Kind",
    "LIFECYCLE_KINDS",
    "LogLevel",
    "Outcome",
    "REQUEST_KINDS",
    "Verdict",
]


class Kind(Enum):
    """The ``message_type`` of a log line."""

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
    ZONE = "zone"
    NOTICE = "notice"
    STARTED = "started"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    STOPPED = "stopped"
    #: Number of lines of each kind that the rate limits suppressed.
    LEFT_OUT = "left_out"
    #: Number of lines that were dropped because the output was not read in time.
    LINES_DROPPED = "lines_dropped"


#: Kinds of lines about a single request.
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
#: Kinds that the rate limits exempt, as a process writes only a few such lines.
LIFECYCLE_KINDS = frozenset(
    {Kind.STARTED, Kind.RELOADED, Kind.STOPPING, Kind.STOPPED, Kind.LEFT_OUT}
)


class LogLevel(Enum):
    """How much is logged; each level includes the one before it."""

    #: Lifecycle of the process, and its view of configuration, servers, peers,
    #: the store, budgets and rollouts.
    BELIEFS = "beliefs"
    #: Also requests that were refused, retried, paused or failed.
    FAILURES = "failures"
    #: Also every other decision about a request.
    ALL = "all"


class Outcome(Enum):
    """How a request ended, as its caller saw it."""

    ANSWERED = "answered"
    #: A stream was forwarded up to its last event.
    COMPLETED = "completed"
    #: The caller received an error, e.g. one that the backend server answered.
    FAILED = "failed"
    #: The answer broke off after a part of it was sent, or the router ended the request
    #: without one.
    CUT = "cut"
    #: No answer arrived before the deadline, or before the timeout of its last attempt.
    TIMED_OUT = "timed-out"
    #: The caller disconnected before the end.
    LEFT = "left"


class BudgetOutcome(Enum):
    """Result of reserving or settling the tokens of a request."""

    GRANTED = "granted"
    #: Refused, as no tokens were available.
    SHORT = "short"
    SETTLED = "settled"


class AllotmentOutcome(Enum):
    """Change of the part of a budget that is allotted to a router."""

    GRANTED = "granted"
    DENIED = "denied"
    USED_UP = "used-up"
    RETURNED = "returned"
    #: Tokens of an earlier incarnation are free again.
    RECLAIMED = "reclaimed"
    #: Bills are added to the budget's row.
    BILLED = "billed"
    #: Tokens count as spent though no bill says so.
    COUNTED_SPENT = "counted-spent"


class Belief(Enum):
    """State of a backend server as a router sees it."""

    READY = "ready"
    #: The server announces that it drains.
    LEAVING = "leaving"
    GONE = "gone"
    SUSPECTED = "suspected"
    #: No longer suspected.
    TRUSTED = "trusted"
    #: The server names a rate that it takes from all routers together.
    LIMITED = "limited"
    UNLIMITED = "unlimited"
    #: The server warms up and takes a limited rate from all routers together.
    COLD = "cold"
    WARM = "warm"


class EvacuationStep(Enum):
    """What became of an operator's request to empty an availability zone."""

    #: From now on this router sends nothing there.
    IN_FORCE = "in-force"
    #: The last request of this router there has ended.
    DRAINED = "drained"
    TAKEN_BACK = "taken-back"


class Contact(Enum):
    """Whether contact with a peer or the store was lost or restored."""

    LOST = "lost"
    REGAINED = "regained"
    #: The store came back from an older copy of itself.
    RESTORED = "restored"


class Verdict(Enum):
    """Step that a rollout has reached."""

    STARTED = "started"
    ADVANCED = "advanced"
    DONE = "done"
    #: Rolled back.
    TAKEN_BACK = "taken-back"
