"""Factories of routes, calls, servers and configurations for tests of entry routers."""

import base64

from bluebellshore.fleet import (
    BackendServer,
    Call,
    Configuration,
    Customer,
    Engine,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from bluebellshore.ids import (
    BackendServerId,
    BundleNumber,
    CustomerId,
    RouteName,
    ServiceName,
    Tokens,
    ZoneName,
)

__all__ = ["call", "configuration", "route", "server", "wire_value"]

ENGINES = ServiceName("engines")


def route(kind: RouteKind = RouteKind.SAFE, **changes: object) -> Route:
    """Return a route of `kind`, with `changes` in place of the default values."""
    values = {
        "name": RouteName("r"),
        "host": "api.example",
        "prefix": "/a/",
        "kind": kind,
        "services": (WeightedService(ENGINES),),
        "timeout_seconds": 5.0,
        "objective_seconds": 0.2,
        "max_attempts": 2,
    }
    return Route(**(values | changes))


def call(
    its_route: Route, now: float = 0.0, seconds: float = 5.0, **changes: object
) -> Call:
    """Return a call of `its_route`, received at `now`, due `seconds` later."""
    values = {
        "attempt_id": "attempt-1",
        "method": "GET",
        "target": "/a/b",
        "headers": [],
        "body": b"",
        "route": its_route,
        "customer": None,
        "priority": 0,
        "received_at": now,
        "deadline": now + seconds,
    }
    return Call(**(values | changes))


def server(name: str, **changes: object) -> BackendServer:
    """Return a backend server with the id `name`."""
    values = {
        "server_id": BackendServerId(name),
        "service": ENGINES,
        "host": "127.0.0.1",
        "port": 1,
        "zone": ZoneName("z"),
        "slots": 4,
    }
    return BackendServer(**(values | changes))


def configuration(*routes: Route, number: int = 1, **changes: object) -> Configuration:
    """Return a configuration with one service and one customer."""
    service = Service(ENGINES, engine=Engine(4, 1000, 3))
    customer = Customer(CustomerId("c"), frozenset({"key"}), None, Tokens(1000))
    values = {
        "number": BundleNumber(number),
        "routes": tuple(routes),
        "services_by_name": {ENGINES: service},
        "customers_by_id": {customer.customer_id: customer},
        "has_customers": True,
    }
    return Configuration(**(values | changes))


def wire_value(data: bytes) -> str:
    """Return a row's value in the encoding of the store's HTTP calls."""
    return base64.b64encode(data).decode()
