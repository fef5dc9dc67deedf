"""Settings of each serving process and of the operator commands.

:mod:`bluebellshore.options` has the meaning and the accepted values of each field, as
the help text and the page of settings show them.
"""

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

    :param instance_id: id of this instance in the platform's instance list.
    :param zone: availability zone of this instance.
    :param platform_url: base URL of the platform's service.
    :param listen: ``host:port`` on which a router accepts callers, or a sidecar
        accepts links from routers; port 0 picks a free one.
    :param announce_address: ``host:port`` announced in the instance list; empty for
        the address bound.
    :param operator_listen: ``host:port`` of the operator port.
    :param trust_keys: Ed25519 public keys in hex; bundles signed with one of them are
        accepted.
    :param operator_token_hash: SHA-256 in hex of the operators' bearer token; empty
        closes the operator port to all but health checks.
    :param link_token: secret that a router presents to a sidecar to open a link.
    :param statsd_address: ``host:port`` of a statsd server; empty for none.
    :param heartbeat_seconds: time between heartbeats on a link.
    :param silent_seconds: time without any frame after which a link is replaced.
    :param announce_seconds: time between announcements to the instance list.
    :param drain_seconds: longest time that a stopping sidecar waits for routers to
        take its last receipts; it never cuts streams in flight.
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

    :param list_poll_seconds: time between reads of the instance list.
    :param bundle_poll_seconds: time between checks for a newer bundle in the table
        service.
    :param duty_seconds: time between attempts to acquire or renew the lease on a
        periodic duty and run it.
    :param move_poll_seconds: time between reads of the move rows.
    :param max_body_bytes: maximum size of a request body.
    :param max_streams: maximum number of requests in flight.
    :param credit_bytes: flow control window per stream: maximum number of bytes that
        a sidecar sends ahead of the caller's reads; 0 turns flow control off.
    :param allotment_policy: how the size of allotments is chosen: ``horizon``,
        ``share`` or ``fixed``.
    :param allotment_horizon_seconds: duration of a platform outage that allotments
        should cover under the ``horizon`` policy.
    :param settle_seconds: time over which bills are batched.
    :param reclaim_after_seconds: time without a new heartbeat after which an
        incarnation becomes a candidate for reclaim.
    :param leave_seconds: time for which a stopping router still accepts
        connections, so that the load balancer can notice its departure first.
    :param lease_seconds: duration of a lease on a periodic duty.
    :param balancer: how a backend server is chosen: ``power-of-two`` or
        ``round-robin``.
    :param retry_share: retries allowed as a share of first attempts.
    :param subset_size: number of sidecars that this router keeps links to.
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
    :param backend_server: id of the backend server; empty for the instance id.
    :param version: version of the backend server, as the bundle names it.
    :param routes: routes that the backend server can serve; for a plain service, the
        part of the path below ``/v1/services``.
    :param concurrency: maximum number of requests that the backend server holds at
        once; 0 for the bundle's figure.
    :param queue_limit: maximum number of waiting requests.
    :param queue_seconds: longest time that a request waits in the queue.
    :param stream_buffer_bytes: limit per answer for the buffered bytes that its
        callers have not read.
    :param held_bytes: limit for the buffered bytes of all answers; above it, each
        answer may buffer only a small minimum ahead of its callers.
    :param retention_seconds: time after its end for which further callers of the same
        request can read an answer.
    :param orphan_seconds: time without a reader after which a stream is cancelled.
    :param backend_idle_seconds: read timeout between two bytes of an answer that the
        backend server has begun.
    :param pack_seconds: time over which chunks of all streams are packed into one
        message of a link.
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

    :param platform_url: base URL of the platform's service.
    :param operator_token: bearer token for the operator ports; empty where they
        require none.
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

    :param history_seconds: time for which row changes are kept for readers of the
        change history.
    :param reads_per_second: rate limit of read operations; 0 for none.
    :param writes_per_second: rate limit of write operations; 0 for none.
    :param seed: seed of all random choices.
    """

    listen: str = "127.0.0.1:0"
    history_seconds: float = 20.0
    reads_per_second: float = 0.0
    writes_per_second: float = 0.0
    seed: int = 1


@dataclass
class EngineSettings:
    """Settings of the model engine stand-in.

    :param model: name of the model.
    :param version: version that the engine serves at its start.
    :param first_token_seconds: time to the first token.
    :param between_tokens_seconds: time between tokens.
    :param batch_limit: maximum batch size; further requests wait by priority. 0 puts
        all requests that the engine holds into the batch.
    :param batch_slowdown: growth of the time between tokens for each further
        request in the batch, as a share.
    :param capacity: number of concurrent requests above which the engine crashes.
    :param restart_seconds: time from a crash until the engine serves again.
    :param fault: fault of a bad version, see ``standin.engine_faults``; ``none`` for a
        good version.
    :param fault_route: route on which ``fail_on_route`` takes effect.
    :param fault_after: time in seconds after which a late fault takes effect.
    :param fault_after_requests: number of requests after which a late fault takes
        effect.
    :param fault_load: number of concurrent requests from which ``fail_under_load``
        takes effect; 0 for half the capacity.
    :param fault_share: share of the requests on which the fault takes effect.
    :param slow_factor: factor on all times of a slow version.
    :param fencing: ``enforced`` if orders with old fencing tokens are refused, else
        ``ignored``.
    :param load_lag_seconds: lag of the reported load.
    :param event_lag_seconds: lag of the prefix cache's events.
    :param event_loss: share of the prefix cache's events that are lost.
    :param prefix_cache_bytes: size of the prefix cache.
    :param seed: seed of all random choices.
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
    """Settings of the plain service stand-in.

    :param service_seconds: duration of a call.
    :param seed: seed of all random choices.
    """

    listen: str = "127.0.0.1:0"
    service_seconds: float = 0.01
    seed: int = 1


@dataclass
class ProxySettings:
    """Settings of the fault proxy.

    :param upstream: ``host:port`` to which connections are forwarded.
    :param control_listen: ``host:port`` of the HTTP port that sets the faults.
    """

    upstream: str
    listen: str = "127.0.0.1:0"
    control_listen: str = "127.0.0.1:0"


def as_dict(settings: object) -> dict[str, object]:
    """Return the fields of `settings` by name."""
    return dataclasses.asdict(settings)
