"""Typed requests of callers and what came of them."""

import itertools
from enum import Enum

import msgspec

__all__ = [
    "Call",
    "CallKind",
    "CallOutcome",
    "CallResult",
    "ReadPace",
    "RetryPolicy",
]


class CallKind(Enum):
    """What a caller asks for."""

    CHAT = "chat"
    DEFERRED = "deferred"
    ORDER = "order"
    STOCK = "stock"


class CallOutcome(Enum):
    """How a call ended for its caller; WAITING is a stored job without an answer."""

    WHOLE = "whole"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    CUT = "cut"
    WRONG = "wrong"
    WAITING = "waiting"


class Call(msgspec.Struct, frozen=True):
    """One call, with all that its retries repeat.

    :param route: route of the call; a chat's ``model``.
    :param text: prompt of a chat, or item of an order or stock check.
    :param key: idempotency key; empty to send none.
    :param expected: text of the right answer; None when it is not known.
    """

    kind: CallKind
    route: str
    text: str
    key: str = ""
    max_tokens: int | None = 32
    stream: bool = True
    expected: str | None = None


class RetryPolicy(msgspec.Struct, frozen=True):
    """When a caller asks again.

    :param attempts: tries of one call.
    :param delay_seconds: delay before the second try; doubles with each one.
    :param attempt_seconds: time allowed for one try.
    :param job_seconds: time for which a job's answer is asked for.
    """

    attempts: int = 5
    delay_seconds: float = 0.2
    max_delay_seconds: float = 5.0
    attempt_seconds: float = 120.0
    job_seconds: float = 30.0


class ReadPace(msgspec.Struct, frozen=True):
    """Speed at which a caller reads a stream.

    :param pause_seconds: pause after each chunk read; 0 for a caller that keeps up.
    :param chunk_bytes: most bytes read at once.
    """

    pause_seconds: float = 0.0
    chunk_bytes: int = 64 * 1024


class CallResult(msgspec.Struct):
    """What a caller knows after its last try.

    :param status: HTTP status of the last try; 0 when there was none.
    :param attempts: tries that were made.
    :param slow: the caller reads slowly, so that its times say nothing of the fleet.
    :param cut_tries: tries that ended without a whole answer or a refusal.
    :param started: monotonic time of the first try, in seconds.
    :param token_times: monotonic times at which pieces of a stream came, in seconds.
    :param usage_tokens: tokens billed according to the answer; None when not given.
    """

    call: Call
    customer: str
    started: float
    slow: bool = False
    finished: float = 0.0
    outcome: CallOutcome = CallOutcome.CUT
    status: int = 0
    attempts: int = 0
    cut_tries: int = 0
    reason: str = ""
    text: str = ""
    usage_tokens: int | None = None
    token_times: list[float] = []

    @property
    def first_token_seconds(self) -> float | None:
        """Time to the first token; None when none came."""
        return self.token_times[0] - self.started if self.token_times else None

    @property
    def gaps_seconds(self) -> list[float]:
        """Times between tokens."""
        pairs = itertools.pairwise(self.token_times)
        return [later - earlier for earlier, later in pairs]
