"""Decodes the operator's configuration row into the fleet's model."""

from typing import Annotated

import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.fleet import (
    Configuration,
    Customer,
    Engine,
    IngressLimits,
    Route,
    RouteKind,
    Service,
    WeightedService,
)
from bluebellshore.ids import (
    BundleNumber,
    CustomerId,
    RouteName,
    ServiceName,
    Tokens,
)

__all__ = ["decode_configuration"]

#: Highest number that routers can tell each other.
MAX_NUMBER = 2**63 - 1
#: Highest rate of requests a second that may be stated.
MAX_RATE = 1e9

_KINDS_BY_WIRE_NAME = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


class _Message(msgspec.Struct, rename="camel"):
    """Base of wire messages with camel-case names; unknown fields are ignored."""


class _Split(_Message):
    service: str
    #: Relative to the other services of the route.
    weight: float = 1.0


class _Route(_Message):
    host: str
    prefix: str
    #: Key of ``_KINDS_BY_WIRE_NAME``.
    route_kind: str
    #: Longest time that a request may be kept waiting.
    timeout_ms: float
    #: Latency objective; for event streams that of the first event.
    target_latency_ms: float
    name: str = ""
    #: The only service, if there is no `traffic_split`.
    service: str = ""
    traffic_split: list[_Split] | None = None
    #: 0 is the most urgent.
    priority: int = 0
    #: Backend servers to which one request may be sent.
    max_attempts: int = 1
    #: Whether requests carry no API key.
    anonymous: bool = False
    #: Whether requests list the parts of their prompt.
    session_affinity: bool = False
    #: Whether a stream may be resumed at another backend server.
    stream_resumption: bool = False
    #: Longest pause between events of a stream that meets its objective.
    target_gap_ms: float | None = None


class _Engine(_Message):
    #: Requests that generate output at the same time.
    slots: int = 1
    #: Memory that running requests and cached prompt parts share.
    kv_cache_tokens: int = 0
    #: Most tokens in one event of a stream.
    stride: int = 1


class _Service(_Message):
    name: str
    health_path: str = ""
    #: Connections that one backend server accepts from all callers together.
    max_connections: int = 0
    #: Requests a second that a backend server tolerates from all routers together while
    #: it is cold; 0 if it tolerates any number.
    admissions_per_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_RATE)] = 0.0
    inference_engine: _Engine | None = None


class _Limits(_Message):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    #: Longest time that a caller may take to send the head of a request.
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Tenant(_Message):
    #: Id of the customer.
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    #: Overrides the priority of the route.
    priority: int | None = None
    #: Tokens paid for so far in total, spent ones included; null for no limit.
    prepaid: int | None = None


class _Configuration(_Message):
    #: Number that grows with each new configuration.
    version: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    routes: list[_Route] = msgspec.field(default_factory=list)
    services: list[_Service] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    #: Customers. If the list is missing, requests need no API key; if it is empty, no
    #: key is valid.
    tenants: list[_Tenant] | None = None


def decode_configuration(value: bytes) -> Configuration:
    """Decode the value of the configuration row.

    :raises PlatformError: the value is malformed.
    """
    try:
        message = decode_json(value, _Configuration)
        return _convert_configuration(message)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise PlatformError(
            f"malformed configuration: {error}", step="configuration.decode"
        ) from error


def _convert_configuration(message: _Configuration) -> Configuration:
    services = [_convert_service(service) for service in message.services]
    customers = [_convert_customer(tenant) for tenant in message.tenants or ()]
    limits = message.limits
    return Configuration(
        number=BundleNumber(message.version),
        routes=tuple(_convert_route(route) for route in message.routes),
        services_by_name={service.name: service for service in services},
        customers_by_id={customer.customer_id: customer for customer in customers},
        limits=IngressLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_seconds=limits.header_timeout_ms / 1000,
            idle_seconds=limits.idle_timeout_ms / 1000,
        ),
        has_customers=message.tenants is not None,
    )


def _convert_route(route: _Route) -> Route:
    if route.traffic_split:
        services = tuple(
            WeightedService(ServiceName(part.service), part.weight)
            for part in route.traffic_split
        )
    else:
        services = (WeightedService(ServiceName(route.service)),)
    return Route(
        name=RouteName(route.name or f"{route.host}{route.prefix}"),
        host=route.host,
        prefix=route.prefix,
        kind=_KINDS_BY_WIRE_NAME[route.route_kind],
        services=services,
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.target_latency_ms / 1000,
        max_event_gap_seconds=(route.target_gap_ms or 0.0) / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        anonymous=route.anonymous,
        has_prompt=route.session_affinity,
        resumable=route.stream_resumption,
    )


def _convert_service(service: _Service) -> Service:
    engine = service.inference_engine
    return Service(
        name=ServiceName(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_requests_per_second=service.admissions_per_s,
        engine=engine
        and Engine(
            slots=max(1, engine.slots),
            cache_tokens=engine.kv_cache_tokens,
            tokens_per_event=max(1, engine.stride),
        ),
    )


def _convert_customer(tenant: _Tenant) -> Customer:
    return Customer(
        customer_id=CustomerId(tenant.name),
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        prepaid_total=None if tenant.prepaid is None else Tokens(tenant.prepaid),
    )
