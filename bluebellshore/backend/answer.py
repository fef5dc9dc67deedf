"""What one attempt at a backend server yields, whichever way it is reached."""

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
    "BackendRequest",
    "AttemptOutcome",
]


class AttemptOutcome(Enum):
    """What is known of an attempt that gave no whole answer."""

    #: No byte of the request reached the backend server.
    NOT_SENT = "not-sent"
    #: Another backend server has the address now; it did not run the request.
    MISDIRECTED = "misdirected"
    #: The backend server says that it did not run the request.
    NOT_RUN = "not-run"
    #: The request was sent and may have run.
    UNKNOWN = "unknown"


class AttemptError(BackendServerError):
    """An attempt gave no whole answer.

    :param outcome: whether the request may have run.
    :param status: status of the refusal; 0 for none.
    :param reset: the connection broke, as when the backend server crashes.
    :param timed_out: nothing came in time.
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
    """Names of the headers by which answers are told apart.

    :param attempt: carries the id of the attempt that is answered.
    :param not_run: present where the request was not run.
    :param signature: present on a backend server's own answer.
    """

    attempt: str
    not_run: str
    signature: str


class BackendRequest(msgspec.Struct, frozen=True):
    """A request as it is sent to a backend server.

    :param headers: all headers but ``Host``, ``Content-Length`` and those of the
        connection.
    :param host: value of the ``Host`` header.
    :param attempt_id: the answer must carry it.
    :param head_timeout_seconds: longest wait for the head of the answer.
    """

    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    body: bytes
    attempt_id: str
    head_timeout_seconds: float


class Answer(Protocol):
    """An answer whose head has come; its body is read as it arrives.

    Leaving the context manager that yielded it before the end of the body closes
    the connection, which ends the work at the backend server.
    """

    status: int
    headers: list[tuple[str, str]]

    def header(self, name: str) -> str:
        """Return the value of a header, empty when absent."""

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; ends only where the body is known to be whole.

        :raises AttemptError: the body broke off or is not what its head announced.
        """


class Backend(Protocol):
    """A way to backend servers."""

    def send(
        self, server: BackendServer, request: BackendRequest
    ) -> AbstractAsyncContextManager[Answer]:
        """Send a request once and yield its answer.

        :raises AttemptError: there is no answer to this request; ``outcome`` says
            whether it may have run.
        """
