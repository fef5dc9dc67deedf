"""What a configuration in force says, and what is known of backend servers."""

from enum import Enum

import msgspec

from bluebellshore.ids import (
    BackendServerId,
    BundleNumber,
    CustomerId,
    RouteName,
    ServiceName,
    Tokens,
    VersionName,
    ZoneName,
)

__all__ = [
    "BackendServer",
    "Configuration",
    "Customer",
    "Engine",
    "IngressLimits",
    "RolloutOrder",
    "Route",
    "RouteKind",
    "ServerState",
    "Service",
    "WeightedService",
]


class RouteKind(Enum):
    """How often a request of a route may run."""

    #: Any number of times.
    SAFE = "safe"
    #: Once at most.
    UNSAFE = "unsafe"
    #: Once at most, as an event stream; it may go on elsewhere where it is resumable.
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service that takes part of a route's requests.

    :param weight: relative to the other services of the route.
    """

    service: ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go, and what they are promised.

    :param timeout_seconds: longest time that a request may be kept waiting.
    :param objective_seconds: time within which an answer is worth most; for event
        streams the time to the first event.
    :param gap_seconds: longest pause between events of a stream that is on time;
        0 when none is declared.
    :param priority: 0 is the most urgent.
    :param max_attempts: backend servers to which one request may be sent.
    :param anonymous: whether requests carry no key of a customer.
    :param has_prompt: whether requests state the parts of their prompt.
    :param resumable: whether a stream may go on at another backend server.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float
    gap_seconds: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    has_prompt: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after it may have run."""
        return self.kind is RouteKind.SAFE


class Engine(msgspec.Struct, frozen=True):
    """What a service's model engines hold and do.

    :param slots: requests generated at once.
    :param cache_tokens: memory shared by running requests and cached prompt parts.
    :param tokens_per_event: most tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


class Service(msgspec.Struct, frozen=True):
    """A set of backend servers that serve the same.

    :param max_connections: connections that one of them accepts from all callers.
    :param engine: None for a plain service.
    """

    name: ServiceName
    health_path: str = ""
    max_connections: int = 0
    engine: Engine | None = None


class Customer(msgspec.Struct, frozen=True):
    """A customer and its keys.

    :param priority: goes before the route's priority where it is given.
    :param prepaid_total: tokens paid for so far; None for no limit.
    """

    customer_id: CustomerId
    keys: frozenset[str] = frozenset()
    priority: int | None = None
    prepaid_total: Tokens | None = None


class IngressLimits(msgspec.Struct, frozen=True):
    """Bounds on what callers send and on how long they take."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Configuration(msgspec.Struct):
    """One version of the configuration, looked up by what requests carry.

    :param number: grows with each version.
    :param has_customers: whether requests must carry a key.
    """

    number: BundleNumber
    routes: tuple[Route, ...]
    services_by_name: dict[ServiceName, Service]
    customers_by_id: dict[CustomerId, Customer]
    limits: IngressLimits = IngressLimits()
    has_customers: bool = False
    _customer_by_key: dict[str, Customer] = msgspec.field(default_factory=dict)
    _routes_by_host: dict[str, dict[str, Route]] = msgspec.field(default_factory=dict)

    def __post_init__(self) -> None:
        for customer in self.customers_by_id.values():
            for key in customer.keys:
                self._customer_by_key[key] = customer
        for route in self.routes:
            by_prefix = self._routes_by_host.setdefault(route.host.lower(), {})
            by_prefix[route.prefix] = route

    def customer_of(self, key: str) -> Customer | None:
        """Return the customer that holds `key`."""
        return self._customer_by_key.get(key)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix that begins `path`.

        :param path: without its query.
        """
        by_prefix = self._routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: end + 1])
            if route is not None:
                return route
        return None


class ServerState(Enum):
    """State that a backend server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(msgspec.Struct, frozen=True):
    """Entry of a backend server in the instance list.

    :param slots: requests that it works on at once.
    :param warmup_seconds: time for which it stays slow after its start.
    :param born: Unix milliseconds of its start, 0 when unknown; tells two lives
        under one id apart.
    """

    server_id: BackendServerId
    service: ServiceName
    host: str
    port: int
    zone: ZoneName = ZoneName("")
    version: VersionName = VersionName("")
    slots: int = 1
    state: ServerState = ServerState.READY
    warmup_seconds: float = 0.0
    born: int = 0

    @property
    def address(self) -> str:
        """``host:port``."""
        return f"{self.host}:{self.port}"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service's traffic to another version.

    :param seconds: time from the order within which it is done or taken back.
    """

    service: ServiceName
    target: VersionName
    seconds: float
