"""Contents of the configuration, entries of backend servers and rollout orders."""

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
    """How often a request of a route may be executed."""

    #: Idempotent: any number of times.
    SAFE = "safe"
    #: At most once.
    UNSAFE = "unsafe"
    #: At most once, answered by an event stream; a resumable route's stream may
    #: continue at another backend server.
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service that receives a share of a route's requests.

    :param weight: share, relative to the other services of the route.
    """

    service: ServiceName
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Services for a host and path prefix, with limits and latency objectives.

    :param timeout_seconds: maximum time that a request may be kept waiting.
    :param objective_seconds: latency objective, after which an answer is worth less;
        for event streams that of the first event.
    :param max_event_gap_seconds: longest pause between events of a stream that is on
        time; 0 when none is configured.
    :param priority: 0 is the most urgent.
    :param max_attempts: maximum number of backend servers to try for one request.
    :param anonymous: whether requests need no key of a customer.
    :param has_prompt: whether requests state the parts of their prompt.
    :param resumable: whether a stream may continue at another backend server.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_seconds: float
    objective_seconds: float
    max_event_gap_seconds: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    has_prompt: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be retried even if it may have run already."""
        return self.kind is RouteKind.SAFE


class Engine(msgspec.Struct, frozen=True):
    """Capacity of each of a service's model engines.

    :param slots: requests for which tokens are generated at the same time.
    :param cache_tokens: memory shared by running requests and cached prompt parts.
    :param tokens_per_event: maximum number of tokens in one event of a stream.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


class Service(msgspec.Struct, frozen=True):
    """A set of interchangeable backend servers.

    :param health_path: health check path that the configuration states; routers send
        no request to it.
    :param max_connections: connections that each backend server accepts from all
        clients together.
    :param cold_requests_per_second: rate that a backend server takes from all routers
        together while it warms up; 0 for any.
    :param engine: None for a plain service.
    """

    name: ServiceName
    health_path: str = ""
    max_connections: int = 0
    cold_requests_per_second: float = 0.0
    engine: Engine | None = None


class Customer(msgspec.Struct, frozen=True):
    """A customer and its API keys.

    :param priority: overrides the route's priority unless it is None.
    :param prepaid_total: tokens paid for so far; None for no limit.
    """

    customer_id: CustomerId
    keys: frozenset[str] = frozenset()
    priority: int | None = None
    prepaid_total: Tokens | None = None


class IngressLimits(msgspec.Struct, frozen=True):
    """Limits on the size of callers' requests and on the time to receive them."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_seconds: float = 10.0
    idle_seconds: float = 60.0


class Configuration(msgspec.Struct):
    """One version of the configuration, with lookups by host, path and API key.

    :param number: version number, higher for each newer version.
    :param has_customers: whether requests must carry a customer's API key.
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
        """Return the customer with the API key `key`."""
        return self._customer_by_key.get(key)

    def route_of(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`.

        :param path: path without the query.
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
    """State that a backend server reports in its entry."""

    READY = "ready"
    DRAINING = "draining"


class BackendServer(msgspec.Struct, frozen=True):
    """Entry of a backend server in the instance list.

    :param slots: requests that the server processes at the same time.
    :param warmup_seconds: time for which the server is still slow after its start.
    :param started_unix_ms: Unix time of the server's start in milliseconds, 0 when
        unknown; differs after a restart under the same id.
    :param renewals: grows with each renewal of the entry, and begins anew at a start.
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
    started_unix_ms: int = 0
    renewals: int = 0

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service's traffic to another version.

    :param target: version that is to receive the traffic.
    :param seconds: time from the order within which the rollout is completed or
        rolled back.
    """

    service: ServiceName
    target: VersionName
    seconds: float
