"""Decodes the platform's settings file into the settings of an entry router."""

import os
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec

from bluebellshore.decisions import LogLevel
from bluebellshore.decoding import decode_json
from bluebellshore.entry.settings import EntrySettings
from bluebellshore.errors import SettingsError

__all__ = [
    "CROSSING_VARIABLE",
    "PEER_BIND_VARIABLE",
    "SETTINGS_VARIABLE",
    "load_settings",
    "parse_settings_file",
]

#: Path of the settings file.
SETTINGS_VARIABLE = "BLUEBELLSHORE_SETTINGS"
#: Optional variables, set by ``env`` in the deploy file.
LOG_LEVEL_VARIABLE = "BLUEBELLSHORE_LOG_LEVEL"
METRICS_VARIABLE = "BLUEBELLSHORE_METRICS_LISTEN"
PEER_BIND_VARIABLE = "BLUEBELLSHORE_PEER_BIND"
CROSSING_VARIABLE = "BLUEBELLSHORE_CROSSING_SECONDS_PER_MB"
MEBIBYTE = 1024 * 1024
MS_PER_SECOND = 1000.0
BYTES_PER_SECOND_IN_MBPS = 125_000.0


#: ``host:port``, or empty where a port is not served.
_Address = Annotated[str, msgspec.Meta(pattern=r"^([^\s:]+:\d{1,5})?$")]
_Positive = Annotated[float, msgspec.Meta(gt=0)]
_NotNegative = Annotated[float, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, rename="camel"):
    """Base of wire messages with camel-case names; unknown fields are ignored."""


class _ListenAddresses(_Message):
    #: Port for callers.
    frontend: _Address = ""
    #: Port for the platform's readiness checks.
    readiness: _Address = ""
    #: Port for other routers.
    control_plane: _Address = ""


class _Limits(_Message):
    #: Memory of the process in MiB; 0 if unknown.
    memory_mb: _NotNegative = 0.0
    #: Files that the process may open; 0 if unknown.
    file_descriptors: Annotated[int, msgspec.Meta(ge=0)] = 0
    #: Bandwidth of the instance's link each way in Mbit/s; 0 if unknown.
    link_mbps: _NotNegative = 0.0


class _Bounds(_Message):
    #: Time after a disturbance from which undisturbed service is expected again.
    contact_ms: _NotNegative = 3000.0
    #: Time after which a draining backend server gets no new request.
    drain_ms: _NotNegative = 2000.0
    #: Time from SIGTERM to SIGKILL.
    grace_period_s: _NotNegative = 8.0
    #: Time in which a new configuration takes effect.
    config_apply_ms: _NotNegative = 2000.0
    #: Retries per request of a service in a window of `retry_window_s`.
    retry_budget_ratio: _NotNegative = 0.1
    retry_window_s: _NotNegative = 10.0
    #: Retries in a window beyond the ratio, for the whole fleet.
    retry_budget_extra: _NotNegative = 0.0
    #: Share of a service's requests that a bad version may get.
    exposure_fraction: _NotNegative = 0.1
    #: Number of requests beyond that share that a bad version may get.
    exposure_tolerance: _NotNegative = 0.0
    #: Time from the first evidence against a bad version to its last request.
    rollback_ms: _NotNegative = 5000.0
    #: Multiple of its rate that a cold backend server tolerates in a second, and
    #: requests beyond that.
    cold_overshoot: _NotNegative = 1.0
    cold_tolerance: _NotNegative = 0.0
    delivery_slack_ms: _NotNegative = 100.0
    reuse_window_s: _NotNegative = 0.0
    #: The one snake-case name of the file.
    settle_ms: _NotNegative = msgspec.field(default=1500.0, name="settle_ms")


class _Store(_Message):
    address: _Address = ""


class _Settings(_Message):
    #: Id of the entry instance.
    node_name: str = ""
    #: Availability zone.
    zone: str = ""
    listen_addresses: _ListenAddresses = msgspec.field(default_factory=_ListenAddresses)
    #: Control plane addresses of other routers, which need not exist.
    seed_nodes: list[_Address] = msgspec.field(default_factory=list)
    #: Interval at which backend servers renew their entries.
    heartbeat_interval_ms: _Positive = 1000.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    #: The platform's store.
    platform_settings: _Store = msgspec.field(default_factory=_Store)


_MessageT = TypeVar("_MessageT", bound=_Message)


def parse_settings_file(content: bytes) -> EntrySettings:
    """Decode the content of a settings file.

    :raises SettingsError: lists every invalid or missing field.
    """
    problems: list[str] = []
    message = _decode_message(_Settings, content, "", problems)
    if message is not None:
        problems += _missing_fields(message, problems)
    if problems:
        raise SettingsError(problems)
    return _convert_settings(message)


def load_settings(path: str | None = None) -> EntrySettings:
    """Read the settings file and the optional environment variables.

    :param path: path of the file; None for :data:`SETTINGS_VARIABLE`.
    :raises SettingsError: the file can't be read, or a field or variable is invalid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError([f"{SETTINGS_VARIABLE} is not set"])
    try:
        settings = parse_settings_file(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error
    return msgspec.structs.replace(
        settings,
        log_level=_read_log_level(),
        metrics_listen=os.environ.get(METRICS_VARIABLE, ""),
        peer_bind=os.environ.get(PEER_BIND_VARIABLE, ""),
        crossing_seconds_per_megabyte=_read_crossing_weight(),
    )


def _read_log_level() -> LogLevel:
    word = os.environ.get(LOG_LEVEL_VARIABLE) or LogLevel.ALL.value
    try:
        return LogLevel(word)
    except ValueError:
        known = ", ".join(level.value for level in LogLevel)
        problem = f"{LOG_LEVEL_VARIABLE}: {word!r} is none of {known}"
        raise SettingsError([problem]) from None


def _read_crossing_weight() -> float:
    raw = os.environ.get(CROSSING_VARIABLE) or "0"
    try:
        return msgspec.convert(raw, _NotNegative, strict=False)
    except msgspec.ValidationError:
        problem = f"{CROSSING_VARIABLE}: {raw!r} is not a number of seconds, 0 or more"
        raise SettingsError([problem]) from None


def _decode_message(
    message_type: type[_MessageT], raw: bytes, path: str, problems: list[str]
) -> _MessageT | None:
    """Decode a message field by field, so that every invalid field is reported.

    :param path: dotted path of the message in the file; empty for the whole file.
    :param problems: gets a line ``path: reason`` for each invalid field.
    :return: the message with defaults for invalid fields; None if it is no object.
    """
    try:
        fields = decode_json(raw, dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        problems.append(f"{path or 'file'}: {error}")
        return None
    values = {}
    for field in msgspec.structs.fields(message_type):
        value = fields.get(field.encode_name)
        if value is None:
            continue
        name = f"{path}.{field.encode_name}" if path else field.encode_name
        if isinstance(field.type, type) and issubclass(field.type, _Message):
            section = _decode_message(field.type, value, name, problems)
            if section is not None:
                values[field.name] = section
            continue
        try:
            values[field.name] = decode_json(value, field.type)
        except msgspec.MsgspecError as error:
            problems.append(f"{name}: {error}")
    return message_type(**values)


def _missing_fields(message: _Settings, problems: list[str]) -> list[str]:
    required = {
        "nodeName": message.node_name,
        "zone": message.zone,
        "listenAddresses.frontend": message.listen_addresses.frontend,
        "platformSettings.address": message.platform_settings.address,
    }
    bad = {problem.partition(":")[0] for problem in problems}
    return [
        f"{name}: missing"
        for name, value in required.items()
        if not value and not bad & {name, name.partition(".")[0]}
    ]


def _convert_settings(message: _Settings) -> EntrySettings:
    bounds = message.bounds
    return EntrySettings(
        instance_id=message.node_name,
        zone=message.zone,
        listen=message.listen_addresses.frontend,
        ready_listen=message.listen_addresses.readiness,
        store_address=message.platform_settings.address,
        peer_listen=message.listen_addresses.control_plane,
        seed_peers=tuple(message.seed_nodes),
        memory_bytes=int(message.limits.memory_mb * MEBIBYTE),
        file_descriptors=message.limits.file_descriptors,
        link_bytes_per_second=message.limits.link_mbps * BYTES_PER_SECOND_IN_MBPS,
        heartbeat_seconds=message.heartbeat_interval_ms / MS_PER_SECOND,
        contact_seconds=bounds.contact_ms / MS_PER_SECOND,
        drain_seconds=bounds.drain_ms / MS_PER_SECOND,
        stop_seconds=bounds.grace_period_s,
        config_seconds=bounds.config_apply_ms / MS_PER_SECOND,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.retry_window_s,
        retry_extra=bounds.retry_budget_extra,
        exposure_share=bounds.exposure_fraction,
        exposure_extra=bounds.exposure_tolerance,
        rollback_seconds=bounds.rollback_ms / MS_PER_SECOND,
        cold_excess_ratio=bounds.cold_overshoot,
        cold_extra_requests=bounds.cold_tolerance,
        delivery_slack_seconds=bounds.delivery_slack_ms / MS_PER_SECOND,
        settle_seconds=bounds.settle_ms / MS_PER_SECOND,
        cache_reuse_seconds=bounds.reuse_window_s,
    )
