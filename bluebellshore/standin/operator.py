"""Files of the users' platform, as its operator writes them, for tests and trials."""

from collections.abc import Iterable

import msgspec

__all__ = ["StandinCustomer", "StandinRoute", "configuration_of", "settings_file"]

MILLISECONDS = 1000


class StandinRoute(msgspec.Struct, frozen=True):
    """A route of a configuration.

    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    """

    prefix: str
    kind: str
    service: str
    host: str = "api.example"
    timeout_seconds: float = 10.0
    objective_seconds: float = 1.0
    max_attempts: int = 3
    anonymous: bool = False
    resumable: bool = False


class StandinCustomer(msgspec.Struct, frozen=True):
    """A customer of a configuration.

    :param prepaid: tokens that it may consume; None for no limit.
    """

    name: str
    keys: tuple[str, ...]
    prepaid: int | None = None


def configuration_of(
    number: int,
    routes: Iterable[StandinRoute],
    customers: Iterable[StandinCustomer],
    *,
    cold_requests_per_second: float = 0.0,
) -> dict[str, object]:
    """Return the configuration as the operator writes it.

    :param cold_requests_per_second: rate that cold backend servers tolerate; 0 for any.
    """
    routes = list(routes)
    return {
        "version": number,
        "routes": [_route(route) for route in routes],
        "services": [
            {
                "name": name,
                "healthPath": "/health",
                "maxConnections": 256,
                "admissionsPerS": cold_requests_per_second,
            }
            for name in sorted({route.service for route in routes})
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 5_000,
            "idleTimeoutMs": 20_000,
        },
        "tenants": [
            {"name": customer.name, "apiKeys": list(customer.keys)}
            | ({} if customer.prepaid is None else {"prepaid": customer.prepaid})
            for customer in customers
        ],
    }


def settings_file(
    *,
    name: str,
    zone: str,
    listen: str,
    ready_listen: str,
    peer_listen: str,
    peers: Iterable[str],
    store: str,
    heartbeat_seconds: float,
    stop_seconds: float,
    retry_extra: float = 1000.0,
    link_mbps: float = 0.0,
) -> bytes:
    """Return a settings file of an entry router."""
    return msgspec.json.encode(
        {
            "nodeName": name,
            "zone": zone,
            "listenAddresses": {
                "frontend": listen,
                "readiness": ready_listen,
                "controlPlane": peer_listen,
            },
            "seedNodes": list(peers),
            "heartbeatIntervalMs": heartbeat_seconds * MILLISECONDS,
            "limits": {
                "memoryMb": 256,
                "fileDescriptors": 1024,
                "linkMbps": link_mbps,
            },
            "bounds": {
                "contactMs": 1500,
                "drainMs": 1500,
                "gracePeriodS": stop_seconds,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "retryWindowS": 10,
                "retryBudgetExtra": retry_extra,
                "coldOvershoot": 1.5,
                "coldTolerance": 5,
            },
            "platformSettings": {"address": store},
        }
    )


def _route(route: StandinRoute) -> dict[str, object]:
    return {
        "name": f"{route.service}{route.prefix}",
        "host": route.host,
        "prefix": route.prefix,
        "routeKind": route.kind,
        "service": route.service,
        "timeoutMs": route.timeout_seconds * MILLISECONDS,
        "targetLatencyMs": route.objective_seconds * MILLISECONDS,
        "maxAttempts": route.max_attempts,
        "anonymous": route.anonymous,
        "streamResumption": route.resumable,
    }
