"""Types of the content of a bundle."""

from enum import Enum

import msgspec

from bluebellshore.ids import (
    BudgetId,
    BundleNumber,
    CustomerId,
    MoveId,
    RouteName,
    Tokens,
    VersionName,
)

__all__ = [
    "Budget",
    "Bundle",
    "Criteria",
    "Customer",
    "FencingCheck",
    "Move",
    "Priority",
    "Release",
    "Route",
    "RouteKind",
    "SignedBundle",
    "Version",
]


class RouteKind(Enum):
    """Kind of backend server that serves a route."""

    MODEL = "model"
    SERVICE = "service"


class Priority(Enum):
    """Priority class of a route's requests; the first member is the highest."""

    INTERACTIVE = "interactive"
    NORMAL = "normal"
    DEFERRED = "deferred"


class FencingCheck(Enum):
    """Whether backend servers of a version refuse orders with old fencing tokens."""

    ENFORCED = "enforced"
    IGNORED = "ignored"


class Customer(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A customer with its bearer keys and the budget that its requests are charged to.

    :param budget: id of the budget.
    :param key_hashes: SHA-256 of each bearer key, in lower-case hex.
    :param weight: weight in fair queueing, relative to other customers.
    """

    budget: BudgetId
    key_hashes: list[str]
    weight: int = 1


class Budget(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A prepaid budget.

    :param prepaid_total: tokens paid for since the budget was opened; never decreases.
    """

    prepaid_total: Tokens


class Version(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A version of a backend server.

    :param concurrency: requests that one backend server of this version may process
        at the same time.
    :param model: model name that callers see; None for plain services.
    :param fencing: whether its servers check fencing tokens.
    """

    concurrency: int
    model: str | None = None
    fencing: FencingCheck = FencingCheck.ENFORCED


class Route(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """A model or plain service that callers address by the route's name.

    :param version: version that serves the route while no move is under way.
    :param priority: priority class of the route's requests.
    :param idempotent: whether a call may run more than once. Calls of a plain
        service with GET or HEAD always may.
    :param max_output_tokens: limit of a model's answer in tokens, for requests
        that give no limit.
    :param price: tokens charged for each call of a plain service.
    :param deadline_seconds: time limit for a complete answer.
    """

    kind: RouteKind
    version: VersionName
    priority: Priority = Priority.NORMAL
    idempotent: bool = True
    max_output_tokens: int = 1024
    price: Tokens = Tokens(1)
    deadline_seconds: float = 120.0


class Criteria(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Limits for the comparison of a move's new version with its old one.

    :param min_requests: requests needed in a step before the move may go on to the
        next.
    :param max_failure_excess: how far the new version's share of failed requests may
        exceed the old version's.
    :param max_latency_ratio: limit of the 95th percentiles of time to first token and
        of time between tokens, as multiples of the old version's.
    """

    min_requests: int = 20
    max_failure_excess: float = 0.05
    max_latency_ratio: float = 1.5


class Move(msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True):
    """A gradual shift of a route's traffic from one backend server version to another.

    :param old: version that serves the route before the move.
    :param new: version that serves the route after the move.
    :param deadline: Unix time in seconds by which the move is done or rolled back.
    :param steps: shares of requests for the new version, rising to 1.
    :param step_seconds: minimum time in each step.
    :param criteria: when to roll back instead of going on.
    """

    route: RouteName
    old: VersionName
    new: VersionName
    deadline: float
    steps: list[float] = msgspec.field(
        default_factory=lambda: [0.01, 0.05, 0.25, 0.5, 1.0]
    )
    step_seconds: float = 30.0
    criteria: Criteria = msgspec.field(default_factory=Criteria)


class Release(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """An operator's order to return the tokens that a lost incarnation reserved.

    :param budget: budget that the tokens return to.
    :param incarnation: id of the lost incarnation.
    """

    budget: BudgetId
    incarnation: str


class Bundle(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, omit_defaults=True
):
    """Configuration of the fleet, as a numbered document.

    :param number: number in the sequence of accepted bundles, which begins with 1.
    :param parent: number of the bundle that this one replaces; 0 for the first.
    """

    number: BundleNumber
    parent: BundleNumber
    customers: dict[CustomerId, Customer]
    budgets: dict[BudgetId, Budget]
    versions: dict[VersionName, Version]
    routes: dict[RouteName, Route]
    moves: dict[MoveId, Move] = msgspec.field(default_factory=dict)
    releases: list[Release] = msgspec.field(default_factory=list)
    comment: str = ""


class SignedBundle(msgspec.Struct, frozen=True):
    """A bundle as stored and sent: the signed bytes, key id and signature.

    :param payload: canonical JSON of the :class:`Bundle`.
    :param key_id: first 16 hex digits of the public key's SHA-256.
    :param signature: Ed25519 signature of `payload`.
    """

    number: BundleNumber
    payload: bytes
    key_id: str
    signature: bytes
