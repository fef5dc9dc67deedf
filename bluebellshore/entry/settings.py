"""Settings of an entry router."""

import msgspec

from bluebellshore.decisions import LogLevel

__all__ = ["EntrySettings"]


class EntrySettings(msgspec.Struct, frozen=True):
    """Settings that an entry router reads from its settings file.

    Durations are in seconds; addresses and ports to listen on are ``host:port``.

    :param instance_id: name of the entry instance.
    :param zone: availability zone of the instance.
    :param listen: port for callers.
    :param ready_listen: port for the platform's readiness checks; empty for none.
    :param store_address: address of the platform's store.
    :param peer_listen: address at which other routers reach this one; empty for none.
    :param peer_bind: port for other routers if it is not the one in `peer_listen`,
        such as behind a proxy; empty for `peer_listen`.
    :param seed_peers: ``peer_listen`` of routers that may exist.
    :param memory_bytes: memory that the process may use; 0 when unknown.
    :param file_descriptors: files that the process may open; 0 when unknown.
    :param link_bytes_per_second: bandwidth of the instance's link, each way; 0 when
        unknown.
    :param heartbeat_seconds: interval at which backend servers renew their entries.
    :param contact_seconds: time after a disturbance from which the platform expects
        undisturbed service again.
    :param drain_seconds: time after which a draining backend server gets no request.
    :param stop_seconds: time from SIGTERM to SIGKILL.
    :param config_seconds: time in which a new configuration is to be in force.
    :param retry_ratio: retries that a service may get per request in a window.
    :param retry_window_seconds: length of that window.
    :param retry_extra: retries in a window beyond the ratio, for the whole fleet.
    :param exposure_share: share of a service's requests that a bad version may get.
    :param exposure_extra: requests beyond the share that a bad version may get.
    :param rollback_seconds: time from the first evidence against a bad version to its
        last request.
    :param cold_excess_ratio: multiple of its rate that a backend server tolerates in a
        second while it warms up.
    :param cold_extra_requests: requests that it tolerates beyond that.
    :param log_level: which events are logged.
    :param metrics_listen: port for metrics and the state dump; empty for none.
    :param crossing_seconds_per_megabyte: delay that is worth as much as a megabyte sent
        between zones; 0 if zones don't keep their requests.
    :param server_lapse_seconds: grace period after an outage of the store, in which
        entries that expired during the outage still count.
    """

    instance_id: str
    zone: str
    listen: str
    ready_listen: str
    store_address: str
    peer_listen: str = ""
    peer_bind: str = ""
    seed_peers: tuple[str, ...] = ()
    memory_bytes: int = 0
    file_descriptors: int = 0
    link_bytes_per_second: float = 0.0
    heartbeat_seconds: float = 1.0
    contact_seconds: float = 3.0
    drain_seconds: float = 2.0
    stop_seconds: float = 8.0
    config_seconds: float = 2.0
    retry_ratio: float = 0.1
    retry_window_seconds: float = 10.0
    retry_extra: float = 0.0
    exposure_share: float = 0.1
    exposure_extra: float = 0.0
    rollback_seconds: float = 5.0
    cold_excess_ratio: float = 1.0
    cold_extra_requests: float = 0.0
    delivery_slack_seconds: float = 0.1
    settle_seconds: float = 1.5
    cache_reuse_seconds: float = 0.0
    log_level: LogLevel = LogLevel.ALL
    metrics_listen: str = ""
    crossing_seconds_per_megabyte: float = 0.0
    server_lapse_seconds: float = 2.0
