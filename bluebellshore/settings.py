"""Settings of each serving process."""

import dataclasses
from dataclasses import dataclass, field

__all__ = [
    "EngineSettings",
    "OperatorSettings",
    "PlatformSettings",
    "ProxySettings",
    "RouterSettings",
    "ServiceSettings",
    "SidecarSettings",
    "SubmitSettings",
]

KIB = 1024
MIB = 1024 * KIB


@dataclass
class RoleSettings:
    """Settings that routers and sidecars share.

    :param listen: ``host:port`` for callers (router) or links (sidecar); port 0
        picks a free one.
    :param announce_address: ``host:port`` shown in the instance list; empty for the
        address listened on.
    :param operator_listen: ``host:port`` of the operator port.
    :param trust_keys: Ed25519 public keys in hex whose bundles are accepted.
    :param operator_token_hash: SHA-256 in hex of the operators' bearer token.
    :param link_token: secret that routers show to sidecars.
    :param statsd_address: ``host:port`` of a statsd server; empty for none.
    :param silent_seconds: a link without any frame for this long is replaced.
    """

    instance_id: str
    zone: str
    platform_url: str
    listen: str = "127.0.0.1:0"
    announce_address: str = ""
    operator_listen: str = "127.0.0.1:0"
    trust_keys: list[str] = field(default_factory=list)
    operator_token_hash: str = ""
    link_token: str = ""
    statsd_address: str = ""
    heartbeat_seconds: float = 0.5
    silent_seconds: float = 2.0
    announce_seconds: float = 1.0
    drain_seconds: float = 60.0


@dataclass
class RouterSettings(RoleSettings):
    """Settings of a router.

    :param allotment_policy: ``horizon``, ``share`` or ``fixed``.
    :param allotment_horizon_seconds: platform outage to ride out.
    :param balancer: ``power-of-two`` or ``round-robin``.
    :param retry_share: retries allowed as a share of fresh requests.
    :param credit_bytes: bytes a sidecar may send ahead of the caller, per stream;
        0 turns credit off.
    :param leave_seconds: time for which a stopping router still accepts
        connections, until the balancer has seen that it leaves.
    :param reclaim_after_seconds: an incarnation whose heartbeat stands still for
        this long is a candidate for reclaim.
    """

    list_poll_seconds: float = 1.0
    bundle_poll_seconds: float = 2.0
    duty_seconds: float = 2.0
    move_poll_seconds: float = 1.0
    max_body_bytes: int = 1 * MIB
    max_streams: int = 4096
    credit_bytes: int = 64 * KIB
    allotment_policy: str = "horizon"
    allotment_horizon_seconds: float = 600.0
    settle_seconds: float = 0.5
    reclaim_after_seconds: float = 15.0
    leave_seconds: float = 2.0
    lease_seconds: float = 10.0
    balancer: str = "power-of-two"
    retry_share: float = 0.1
    subset_size: int = 32


@dataclass
class SidecarSettings(RoleSettings):
    """Settings of a sidecar.

    :param backend_url: base URL of the backend server beside this process.
    :param routes: routes that the backend server can serve; for plain services
        the part of the path below ``/v1/services``.
    :param stream_buffer_bytes: answer bytes held per stream beyond what the caller
        took.
    :param held_bytes: answer bytes held by the whole process.
    :param retention_seconds: time for which a finished answer can be joined.
    :param orphan_seconds: a stream without a reader for this long is cancelled.
    :param backend_idle_seconds: longest time without a byte of an answer that the
        backend server has begun.
    """

    backend_url: str = ""
    backend_server: str = ""
    version: str = ""
    routes: list[str] = field(default_factory=list)
    concurrency: int = 0
    queue_limit: int = 256
    queue_seconds: float = 20.0
    stream_buffer_bytes: int = 256 * KIB
    held_bytes: int = 16 * MIB
    retention_seconds: float = 60.0
    orphan_seconds: float = 30.0
    backend_idle_seconds: float = 30.0
    pack_seconds: float = 0.004


@dataclass
class OperatorSettings:
    """Settings of operator commands.

    :param operator_token: bearer token for the operator ports.
    """

    platform_url: str
    operator_token: str = ""


@dataclass
class SubmitSettings(OperatorSettings):
    """Settings of ``bundle submit``.

    :param trust_keys: Ed25519 public keys in hex that the fleet trusts.
    """

    trust_keys: list[str] = field(default_factory=list)


@dataclass
class PlatformSettings:
    """Settings of the platform stand-in.

    :param history_seconds: time for which changes of rows are remembered.
    :param reads_per_second: limit of read operations; 0 for none.
    :param writes_per_second: limit of write operations; 0 for none.
    """

    listen: str = "127.0.0.1:0"
    history_seconds: float = 20.0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0
    seed: int = 1


@dataclass
class EngineSettings:
    """Settings of the model engine stand-in.

    :param batch_limit: requests generated at once, the others wait by priority;
        0 for all that the engine holds.
    :param batch_slowdown: growth of the time between tokens for each further
        request in the batch, as a share.
    :param capacity: requests above which the engine falls over.
    :param restart_seconds: time to come back after falling over or crashing.
    :param fault: how a bad version behaves, see ``standin.engine_faults``; ``none``
        for a good one.
    :param fault_route: route on which ``fail_on_route`` shows.
    :param fault_after: seconds after which a late fault shows.
    :param fault_after_requests: requests after which a late fault shows.
    :param fault_load: concurrent requests from which ``fail_under_load`` shows; 0
        for half the capacity.
    :param fault_share: share of the requests that show the fault.
    :param slow_factor: factor on all times of a slow version.
    :param fencing: ``enforced`` when old fencing numbers are refused, else ``ignored``.
    :param load_lag_seconds: lag of the reported load.
    :param event_lag_seconds: lag of the prefix cache's events.
    :param event_loss: share of the prefix cache's events that never show.
    """

    listen: str = "127.0.0.1:0"
    model: str = "demo"
    version: str = "v1"
    first_token_seconds: float = 0.02
    between_tokens_seconds: float = 0.005
    batch_limit: int = 0
    batch_slowdown: float = 0.02
    capacity: int = 16
    restart_seconds: float = 0.3
    fault: str = "none"
    fault_route: str = ""
    fault_after: float = 0.0
    fault_after_requests: int = 0
    fault_load: int = 0
    fault_share: float = 1.0
    slow_factor: float = 10.0
    fencing: str = "enforced"
    load_lag_seconds: float = 0.5
    event_lag_seconds: float = 0.5
    event_loss: float = 0.05
    prefix_cache_bytes: int = 1 * MIB
    seed: int = 1


@dataclass
class ServiceSettings:
    """Settings of the plain service stand-in."""

    listen: str = "127.0.0.1:0"
    service_seconds: float = 0.01
    seed: int = 1


@dataclass
class ProxySettings:
    """Settings of the fault proxy.

    :param upstream: ``host:port`` to which connections are passed on.
    :param control_listen: ``host:port`` of the HTTP port that takes faults.
    """

    upstream: str
    listen: str = "127.0.0.1:0"
    control_listen: str = "127.0.0.1:0"


def as_dict(settings: object) -> dict[str, object]:
    """Return the fields of `settings` by name."""
    return dataclasses.asdict(settings)
