"""Exceptions of this package; each names the step and the peer of the failure."""

from collections.abc import Mapping, Sequence
from enum import Enum

__all__ = [
    "BackendServerError",
    "BundleConflictError",
    "BundleError",
    "BluebellshoreError",
    "FencedError",
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
    """Whether a refused request may have been executed by a backend server.

    :cvar NOT_RUN: the request is known not to have been executed.
    :cvar UNKNOWN: the request may have been executed.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class BluebellshoreError(Exception):
    """Base of all errors of this package.

    :param message: a description of the failure for a human reader.
    :param step: the step that failed, e.g. ``"budget.grant"``.
    :param peer: the remote process, service or file involved; empty for a failure
        within this process.
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
    """Invalid settings of a process.

    :ivar problems: a description of each invalid setting.
    """

    def __init__(self, problems: Sequence[str], *, step: str = "settings"):
        super().__init__("; ".join(problems), step=step)
        self.problems = tuple(problems)


class BundleError(BluebellshoreError):
    """A bundle that was refused.

    :ivar problems: every reason, with the path of the bundle's field.
    """

    def __init__(self, problems: Sequence[str], *, step: str, peer: str = ""):
        super().__init__("; ".join(problems), step=step, peer=peer)
        self.problems = tuple(problems)


class BundleConflictError(BundleError):
    """A bundle submission that lost to another operator's concurrent one."""


class PlatformError(BluebellshoreError):
    """An error response of the platform's service."""


class PlatformUnavailableError(PlatformError):
    """A call to the platform without a response.

    A write may or may not have taken effect.
    """


class TransactionConflictError(PlatformError):
    """A conditional write that failed because rows had other versions than expected.

    Nothing was written.

    :param keys: keys of the rows whose version differed.
    :param rows_by_key: the rows that exist at the keys of the write; None when they
        are unknown.
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
    """A request for row changes older than the history that the platform keeps."""


class LinkError(BluebellshoreError):
    """A failure of a link between a router and a sidecar."""


class BackendServerError(BluebellshoreError):
    """A failure or an invalid response of a backend server."""


class RequestError(BluebellshoreError):
    """A malformed request of a caller."""


class RefusedError(BluebellshoreError):
    """A refusal of a request.

    :param status: HTTP status of the response to the caller.
    :param run: whether the request is known not to have been executed.
    :param retry_after: seconds after which a retry may succeed; None when a retry
        cannot succeed.
    :param inputs: values that led to the refusal, for the log.
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
    """A budget with fewer tokens left than the request may use."""


class OverloadError(RefusedError):
    """A refusal at a full queue or limit, or of a deadline that cannot be met."""


class FencedError(OverloadError):
    """A refusal because this process's incarnation was fenced."""
