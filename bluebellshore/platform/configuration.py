"""Decodes the operator's configuration into the fleet's model."""

import msgspec

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

_KINDS = {
    "safe": RouteKind.SAFE,
    "unsafe": RouteKind.UNSAFE,
    "streaming": RouteKind.STREAM,
}


class _Message(msgspec.Struct, rename="camel"):
    """Base of messages; fields that are not named here are ignored."""


class _Split(_Message):
    service: str
    weight: float = 1.0


class _Route(_Message):
    host: str
    prefix: str
    route_kind: str
    timeout_ms: float
    target_latency_ms: float
    name: str = ""
    service: str = ""
    traffic_split: list[_Split] | None = None
    priority: int = 0
    max_attempts: int = 1
    anonymous: bool = False
    session_affinity: bool = False
    stream_resumption: bool = False
    target_gap_ms: float | None = None


class _Engine(_Message):
    slots: int = 1
    kv_cache_tokens: int = 0
    #: Tokens that one event of a stream holds.
    stride: int = 1


class _Service(_Message):
    name: str
    health_path: str = ""
    max_connections: int = 0
    inference_engine: _Engine | None = None


class _Limits(_Message):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class _Tenant(_Message):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None
    prepaid: int | None = None


class _Configuration(_Message):
    version: int
    routes: list[_Route] = msgspec.field(default_factory=list)
    services: list[_Service] = msgspec.field(default_factory=list)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(value: bytes) -> Configuration:
    """Return the configuration that a row's value holds.

    :raises PlatformError: the value is no configuration.
    """
    try:
        message = _decoder.decode(value)
        return _configuration(message)
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise PlatformError(
            f"malformed configuration: {error}", step="configuration.decode"
        ) from error


def _configuration(message: _Configuration) -> Configuration:
    services = [_service(service) for service in message.services]
    customers = [_customer(tenant) for tenant in message.tenants or ()]
    limits = message.limits
    return Configuration(
        number=BundleNumber(message.version),
        routes=tuple(_route(route) for route in message.routes),
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


def _route(route: _Route) -> Route:
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
        kind=_KINDS[route.route_kind],
        services=services,
        timeout_seconds=route.timeout_ms / 1000,
        objective_seconds=route.target_latency_ms / 1000,
        gap_seconds=(route.target_gap_ms or 0.0) / 1000,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        anonymous=route.anonymous,
        has_prompt=route.session_affinity,
        resumable=route.stream_resumption,
    )


def _service(service: _Service) -> Service:
    engine = service.inference_engine
    return Service(
        name=ServiceName(service.name),
        health_path=service.health_path,
        max_connections=service.max_connections,
        engine=engine
        and Engine(
            slots=max(1, engine.slots),
            cache_tokens=engine.kv_cache_tokens,
            tokens_per_event=max(1, engine.stride),
        ),
    )


def _customer(tenant: _Tenant) -> Customer:
    return Customer(
        customer_id=CustomerId(tenant.name),
        keys=frozenset(tenant.api_keys),
        priority=tenant.priority,
        prepaid_total=None if tenant.prepaid is None else Tokens(tenant.prepaid),
    )
