"""Decodes the platform's settings file into the settings of an entry router."""

import os
from pathlib import Path

import msgspec

from bluebellshore.entry.settings import EntrySettings
from bluebellshore.errors import SettingsError

__all__ = ["SETTINGS_VARIABLE", "load_settings", "parse_settings_file"]

SETTINGS_VARIABLE = "BLUEBELLSHORE_SETTINGS"
MEBIBYTE = 1024 * 1024
MILLISECONDS = 1000.0


class _Message(msgspec.Struct, rename="camel"):
    """Base of messages; fields that are not named here are ignored."""


class _Listen(_Message):
    frontend: str = ""
    readiness: str = ""
    #: Port between the fleet's own processes.
    control_plane: str = ""


class _Limits(_Message):
    memory_mb: float = 0.0
    file_descriptors: int = 0


class _Bounds(_Message):
    contact_ms: float = 3000.0
    drain_ms: float = 2000.0
    grace_period_s: float = 8.0
    config_apply_ms: float = 2000.0
    retry_budget_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_budget_extra: float = 0.0
    exposure_fraction: float = 0.1
    exposure_tolerance: float = 0.0
    rollback_ms: float = 5000.0
    delivery_slack_ms: float = 100.0
    reuse_window_s: float = 0.0
    settle_ms: float = msgspec.field(default=1500.0, name="settle_ms")


class _Store(_Message):
    address: str = ""


class _Settings(_Message):
    node_name: str = ""
    zone: str = ""
    listen_addresses: _Listen = msgspec.field(default_factory=_Listen)
    seed_nodes: list[str] = msgspec.field(default_factory=list)
    heartbeat_interval_ms: float = 1000.0
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    platform_settings: _Store = msgspec.field(default_factory=_Store)


def parse_settings_file(content: bytes) -> EntrySettings:
    """Return the settings that a file holds.

    :raises SettingsError: names every field that is bad or missing.
    """
    try:
        fields = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
    except msgspec.MsgspecError as error:
        raise SettingsError([f"not a JSON object: {error}"]) from error
    problems: list[str] = []
    values = {}
    for field in msgspec.structs.fields(_Settings):
        raw = fields.get(field.encode_name)
        if raw is None:
            continue
        try:
            values[field.name] = msgspec.json.decode(raw, type=field.type)
        except msgspec.MsgspecError as error:
            problems.append(f"{field.encode_name}: {error}")
    message = _Settings(**values)
    problems += _missing(message, bad={problem.split(":")[0] for problem in problems})
    if problems:
        raise SettingsError(problems)
    return _settings(message)


def load_settings(path: str | None = None) -> EntrySettings:
    """Read the settings file.

    :param path: None for the path in the environment.
    :raises SettingsError: the file cannot be read or has bad fields.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, "")
    if not path:
        raise SettingsError([f"{SETTINGS_VARIABLE} is not set"])
    try:
        return parse_settings_file(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError([f"{path}: {error.strerror}"]) from error


def _missing(message: _Settings, bad: set[str]) -> list[str]:
    required = {
        "nodeName": message.node_name,
        "zone": message.zone,
        "listenAddresses": message.listen_addresses.frontend,
        "platformSettings": message.platform_settings.address,
    }
    names = [name for name, value in required.items() if not value and name not in bad]
    return [f"{name}: missing" for name in names]


def _settings(message: _Settings) -> EntrySettings:
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
        heartbeat_seconds=message.heartbeat_interval_ms / MILLISECONDS,
        contact_seconds=bounds.contact_ms / MILLISECONDS,
        drain_seconds=bounds.drain_ms / MILLISECONDS,
        stop_seconds=bounds.grace_period_s,
        config_seconds=bounds.config_apply_ms / MILLISECONDS,
        retry_ratio=bounds.retry_budget_ratio,
        retry_window_seconds=bounds.retry_window_s,
        retry_extra=bounds.retry_budget_extra,
        exposure_share=bounds.exposure_fraction,
        exposure_extra=bounds.exposure_tolerance,
        rollback_seconds=bounds.rollback_ms / MILLISECONDS,
        delivery_slack_seconds=bounds.delivery_slack_ms / MILLISECONDS,
        settle_seconds=bounds.settle_ms / MILLISECONDS,
        cache_reuse_seconds=bounds.reuse_window_s,
    )
