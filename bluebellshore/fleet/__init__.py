"""Domain model: the configuration, the backend servers and callers' requests."""

from bluebellshore.fleet.call import (
    Call,
    PromptPart,
    choose_service,
    fingerprint_of,
    shared_parts_of,
)
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
    "choose_service",
    "fingerprint_of",
    "shared_parts_of",
]
