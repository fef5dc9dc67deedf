"""Settings of a router on an entry instance of the users' platform."""

import msgspec

from bluebellshore.decisions import LogLevel

__all__ = ["EntrySettings"]


class EntrySettings(msgspec.Struct, frozen=True):
    """What an entry router learns from its settings file.

    All durations are in seconds, addresses are ``host:port``.

    :param listen: for callers.
    :param ready_listen: for the platform's question whether callers may be sent.
    :param peer_listen: for other routers; empty for none.
    :param peer_bind: where exchanges are taken if others reach this process by
        another address; empty for `peer_listen`.
    :param seed_peers: ``peer_listen`` of routers that may exist.
    :param store_address: the platform's store.
    :param heartbeat_seconds: interval at which backend servers renew their entries.
    :param contact_seconds: time after which this process counts as undisturbed again.
    :param drain_seconds: a leaving backend server gets nothing after this time.
    :param stop_seconds: time from SIGTERM to SIGKILL.
    :param config_seconds: a configuration is in force after this time.
    :param retry_ratio: repeats that a service may get for each request in a window.
    :param retry_window_seconds: length of that window.
    :param retry_extra: repeats in a window beyond the ratio, for the whole fleet.
    :param exposure_share: share of a service's requests that a bad version may get.
    :param exposure_extra: requests that it may get beyond the share.
    :param rollback_seconds: time from the showing of badness to the last request.
    :param log_level: how much is logged.
    :param metrics_listen: for metrics and the state dump; empty for none.
    :param server_lapse_seconds: entries that lapsed while the store was out are
        back this long after its return.
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
    delivery_slack_seconds: float = 0.1
    settle_seconds: float = 1.5
    cache_reuse_seconds: float = 0.0
    log_level: LogLevel = LogLevel.ALL
    metrics_listen: str = ""
    server_lapse_seconds: float = 2.0
