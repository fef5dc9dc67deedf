"""What is in force and what is asked: configuration, backend servers, calls."""

from bluebellshore.fleet.call import Call, PromptPart, fingerprint_of, service_of
from bluebellshore.fleet.model import (
    BackendServer,
    Configuration,
    Customer,
    Engine,
    IngressLimits,
    RolloutOrder,
    Route,
    RouteKind,
    ServerState,
    Service,
    WeightedService,
)

__all__ = [
    "BackendServer",
    "Call",
    "Configuration",
    "Customer",
    "Engine",
    "IngressLimits",
    "PromptPart",
    "RolloutOrder",
    "Route",
    "RouteKind",
    "ServerState",
    "Service",
    "WeightedService",
    "fingerprint_of",
    "service_of",
]
