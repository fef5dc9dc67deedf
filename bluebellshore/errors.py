"""Exception tree; each error carries the step and the peer at which it arose."""

from collections.abc import Mapping, Sequence
from enum import Enum

__all__ = [
    "BackendServerError",
    "BundleConflictError",
    "BundleError",
    "BluebellshoreError",
    "InsufficientBudgetError",
    "HistoryLostError",
    "LinkError",
    "OverloadError",
    "PlatformError",
    "PlatformUnavailableError",
    "RefusedError",
    "RequestError",
    "RunState",
    "SettingsError",
    "TransactionConflictError",
]


class RunState(Enum):
    """What is known about whether a refused request ran."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class BluebellshoreError(Exception):
    """Base of all errors of this package.

    :param message: what went wrong, for a person.
    :param step: the step in which the error arose, e.g. ``"budget.grant"``.
    :param peer: the process, service or file concerned; empty when local.
    """

    def __init__(self, message: str, *, step: str, peer: str = ""):
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step} ({self.peer})" if self.peer else self.step
        return f"{where}: {self.message}"


class SettingsError(BluebellshoreError):
    """Settings of a process are invalid; ``problems`` lists all of them."""

    def __init__(self, problems: Sequence[str], *, step: str = "settings"):
        super().__init__("; ".join(problems), step=step)
        self.problems = tuple(problems)


class BundleError(BluebellshoreError):
    """A bundle was refused; ``problems`` lists every reason with its path."""

    def __init__(self, problems: Sequence[str], *, step: str, peer: str = ""):
        super().__init__("; ".join(problems), step=step, peer=peer)
        self.problems = tuple(problems)


class BundleConflictError(BundleError):
    """Another operator's bundle was accepted first."""


class PlatformError(BluebellshoreError):
    """The platform's service answered with an error."""


class PlatformUnavailableError(PlatformError):
    """The platform gave no answer; a write may or may not have taken effect."""


class TransactionConflictError(PlatformError):
    """A conditional write found other versions; nothing was written.

    :param keys: keys of the rows whose version differed.
    :param rows_by_key: the present rows among those written, where they are known.
    """

    def __init__(
        self,
        keys: Sequence[str],
        *,
        step: str,
        peer: str = "",
        rows_by_key: Mapping[str, object] | None = None,
    ):
        super().__init__(f"version conflict on {list(keys)}", step=step, peer=peer)
        self.keys = tuple(keys)
        self.rows_by_key = rows_by_key


class HistoryLostError(PlatformError):
    """The platform forgot the changes that were asked for."""


class LinkError(BluebellshoreError):
    """A link between a router and a sidecar failed."""


class BackendServerError(BluebellshoreError):
    """A backend server failed or answered outside its protocol."""


class RequestError(BluebellshoreError):
    """A caller's request is malformed."""


class RefusedError(BluebellshoreError):
    """A request is refused.

    :param status: HTTP status for the caller.
    :param run: whether the request is known not to have run.
    :param retry_after: seconds after which a retry may help; None when it cannot.
    :param inputs: what decided it, for the log.
    """

    def __init__(
        self,
        message: str,
        *,
        step: str,
        peer: str = "",
        status: int = 503,
        run: RunState = RunState.NOT_RUN,
        retry_after: float | None = None,
        inputs: Mapping[str, object] | None = None,
    ):
        super().__init__(message, step=step, peer=peer)
        self.inputs = inputs
        self.status = status
        self.run = run
        self.retry_after = retry_after


class InsufficientBudgetError(RefusedError):
    """The budget does not cover the request's upper bound."""


class OverloadError(RefusedError):
    """A queue or limit is full, or a deadline cannot be met."""
