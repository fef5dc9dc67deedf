"""Requests to backend servers, their answers and the errors of failed attempts."""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from enum import Enum
from typing import Protocol

import msgspec

from bluebellshore.errors import BackendServerError
from bluebellshore.fleet import BackendServer

__all__ = [
    "Answer",
    "AnswerHeaders",
    "AttemptError",
    "Backend",
    "Backpressure",
    "BackendRequest",
    "AttemptOutcome",
]


class AttemptOutcome(Enum):
    """How far an attempt without a complete answer is known to have got."""

    #: No byte of the request reached the backend server.
    NOT_SENT = "not-sent"
    #: Another backend server now has the address; the request was not run.
    MISDIRECTED = "misdirected"
    #: The backend server reported that it did not run the request.
    NOT_RUN = "not-run"
    #: The request was sent and may have run.
    UNKNOWN = "unknown"


class AttemptError(BackendServerError):
    """An attempt that did not get a complete answer.

    :param outcome: whether the request may have run.
    :param status: HTTP status with which the request was refused; 0 for none.
    :param reset: whether the peer closed or reset the connection, as when the
        backend server crashes.
    :param timed_out: whether the peer did not respond in time.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str,
        outcome: AttemptOutcome,
        status: int = 0,
        reset: bool = False,
        timed_out: bool = False,
    ):
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
        self.status = status
        self.reset = reset
        self.timed_out = timed_out


class AnswerHeaders(msgspec.Struct, frozen=True):
    """Names of the headers that say whose answer it is and whether the request ran.

    :param attempt: header with the id of the attempt that is answered.
    :param not_run: header that is present if the request was not run.
    :param signature: header that marks an answer as the backend server's own, rather
        than an intermediary's.
    """

    attempt: str
    not_run: str
    signature: str


class Backpressure(msgspec.Struct, frozen=True):
    """What a backend server's answer asks of its senders.

    :param requests_per_second: rate of requests that it takes from all senders
        together; None for no limit.
    :param leaving: whether it takes no requests any more.
    :param pause_seconds: time for which it wants nothing from this sender.
    """

    requests_per_second: float | None = None
    leaving: bool = False
    pause_seconds: float = 0.0


class BackendRequest(msgspec.Struct, frozen=True):
    """A request to a backend server.

    :param target: request target, written to the request line unchanged.
    :param host: value of the ``Host`` header.
    :param headers: all headers except ``Host``, ``Content-Length`` and the
        hop-by-hop ones.
    :param attempt_id: id that the answer must repeat.
    :param head_timeout_seconds: longest time until the head of the answer, the wait
        for a connection included.
    """

    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    attempt_id: str
    head_timeout_seconds: float


class Answer(Protocol):
    """An answer whose head has arrived and whose body is streamed.

    Leaving the context manager that yielded the answer before the end of the body
    closes the connection, so that the backend server stops working on the request.

    :ivar ends_with_connection: whether only the end of the connection marks the end of
        the body, so that a body that was cut off may look complete.
    """

    status: int
    headers: list[tuple[str, str]]
    ends_with_connection: bool

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if it is absent."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; return only if it is known to be complete.

        :raises AttemptError: the body was cut off or doesn't match its head.
        """


class Backend(Protocol):
    """Transport for requests to backend servers."""

    def send(
        self, server: BackendServer, request: BackendRequest
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request once and yield its answer.

        :raises AttemptError: the request got no answer; ``outcome`` says whether it
            may have run.
        """
