"""The meaning and the accepted values of each setting.

A setting is a field of a class in :mod:`bluebellshore.settings`. Its flag and its
environment variable are derived from the name of the field.
"""

import dataclasses
import math
import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import TypeVar, get_origin
from urllib.parse import urlsplit

from bluebellshore.errors import SettingsError
from bluebellshore.settings import RouterSettings, SidecarSettings

__all__ = [
    "OPTIONS_BY_FIELD",
    "Option",
    "check_settings",
    "flag_of",
    "is_list_field",
    "option_of",
    "parse_settings",
    "settings_table",
    "variable_of",
]

VARIABLE_PREFIX = "BLUEBELLSHORE_"
#: Settings whose values are hidden in error messages.
SECRET_FIELDS = frozenset({"link_token", "operator_token"})

_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")

SettingsT = TypeVar("SettingsT")


@dataclass(frozen=True)
class Option:
    """The description of a setting.

    :param meaning: a sentence that says what the setting controls, for the help text
        and the page of settings.
    :param expected: the accepted values in words.
    :param accepts: function that returns whether a value, or an item of a list, is
        accepted.
    :param required: whether an empty value is refused although the field has a
        default.
    """

    meaning: str
    expected: str
    accepts: Callable[[object], bool]
    required: bool = False


def _number(
    meaning: str, minimum: float, maximum: float = math.inf, *, unit: str = ""
) -> Option:
    limit_text = f" to {maximum:g}" if math.isfinite(maximum) else " or more"
    expected = f"{minimum:g}{limit_text}{' ' + unit if unit else ''}"
    return Option(
        meaning,
        expected,
        lambda value: minimum <= value <= maximum and value != math.inf,
    )


def _seconds(meaning: str, minimum: float = 0.001, maximum: float = 86400.0) -> Option:
    return _number(meaning, minimum, maximum, unit="s")


def _bytes(meaning: str, minimum: int) -> Option:
    return _number(meaning, minimum, 2**40, unit="bytes")


def _is_address(value: object) -> bool:
    host, _, port = str(value).rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and int(port) < 65536


def _is_url(value: object) -> bool:
    try:
        parts = urlsplit(str(value))
        return parts.scheme in {"http", "https"} and bool(parts.hostname)
    except ValueError:
        return False


def _address(meaning: str, *, required: bool = True) -> Option:
    return Option(meaning, "host:port", _is_address, required)


def _url(meaning: str) -> Option:
    return Option(meaning, "an http:// or https:// URL", _is_url, required=True)


def _name(meaning: str, *, required: bool = False) -> Option:
    expected = "1 to 64 letters, digits, '.', '_' or '-'"
    accepts = lambda value: bool(_NAME_PATTERN.fullmatch(str(value)))  # noqa: E731
    return Option(meaning, expected, accepts, required)


def _hash(meaning: str, *, required: bool = False) -> Option:
    accepts = lambda value: bool(_HASH_PATTERN.fullmatch(str(value)))  # noqa: E731
    return Option(meaning, "64 lower-case hex digits", accepts, required)


def _choice(meaning: str, *choices: str) -> Option:
    expected = f"{', '.join(choices[:-1])} or {choices[-1]}"
    return Option(meaning, expected, lambda value: value in choices, required=True)


OPTIONS_BY_FIELD: dict[str, Option] = {
    "instance_id": _name("Id of this instance in the platform's list.", required=True),
    "zone": _name("Availability zone of this instance.", required=True),
    "platform_url": _url("Base URL of the platform's service."),
    "listen": _address("Address to serve on; port 0 picks a free one."),
    "announce_address": _address(
        "Address shown in the instance list; empty for the one listened on.",
        required=False,
    ),
    "operator_listen": _address("Address of the operator port."),
    "trust_keys": _hash(
        "Ed25519 public keys whose bundles are accepted, in hex.", required=True
    ),
    "operator_token_hash": _hash(
        "SHA-256 of the operators' bearer token, in hex; empty closes the operator "
        "port to all but health checks."
    ),
    "operator_token": Option(
        "Bearer token for the operator ports; empty where none is asked for.",
        "any text",
        lambda value: True,
    ),
    "link_token": Option(
        "Secret that routers show to sidecars.",
        "at least 8 characters",
        lambda value: len(str(value)) >= 8,
        required=True,
    ),
    "statsd_address": _address(
        "Address of a statsd server; empty for none.", required=False
    ),
    "heartbeat_seconds": _seconds("Time between heartbeats on a link.", 0.01, 60),
    "silent_seconds": _seconds(
        "A link without any frame for this long is replaced.", 0.02, 300
    ),
    "announce_seconds": _seconds(
        "Time between announcements to the instance list.", 0.05, 300
    ),
    "drain_seconds": _seconds(
        "Longest wait of a stopping sidecar for routers to take its last receipts; "
        "streams in flight are never cut.",
        0,
    ),
    "list_poll_seconds": _seconds(
        "Time between reads of the instance list.", 0.05, 300
    ),
    "bundle_poll_seconds": _seconds(
        "Time between looks for a newer bundle in the table service.", 0.05, 300
    ),
    "duty_seconds": _seconds(
        "Time between tries to take or go on with a periodic duty.", 0.05, 300
    ),
    "move_poll_seconds": _seconds("Time between reads of the move rows.", 0.05, 300),
    "max_body_bytes": _bytes("Largest request body.", 1024),
    "max_streams": _number("Requests in flight that one router takes.", 1, 10**6),
    "credit_bytes": _bytes(
        "Bytes a sidecar may send ahead of the caller, per stream; 0 turns credit off.",
        0,
    ),
    "allotment_policy": _choice("Size of allotments.", "horizon", "share", "fixed"),
    "allotment_horizon_seconds": _seconds("Platform outage to ride out."),
    "settle_seconds": _seconds("Time over which bills are batched.", 0.01, 60),
    "reclaim_after_seconds": _seconds(
        "An incarnation whose heartbeat stands still for this long is a candidate "
        "for reclaim.",
        0.1,
    ),
    "lease_seconds": _seconds("Life of a lease on a periodic duty.", 0.1, 3600),
    "balancer": _choice(
        "How a backend server is chosen.", "power-of-two", "round-robin"
    ),
    "retry_share": _number("Retries as a share of fresh requests.", 0, 1),
    "subset_size": _number("Sidecars that one router keeps links to.", 1, 10**5),
    "backend_url": _url("Base URL of the backend server beside this process."),
    "backend_server": _name("Id of the backend server; empty for the instance id."),
    "version": _name("Backend server version, as the bundle names it.", required=True),
    "routes": _name("Routes that the backend server can serve.", required=True),
    "concurrency": _number(
        "Requests the backend server may hold; 0 for the bundle's figure.", 0, 65536
    ),
    "queue_limit": _number("Requests that may wait.", 0, 10**6),
    "queue_seconds": _seconds("Longest wait of a request."),
    "stream_buffer_bytes": _bytes(
        "Answer bytes held per stream beyond what the caller took.", 16 * 1024
    ),
    "held_bytes": _bytes("Answer bytes held by the whole process.", 1024),
    "retention_seconds": _seconds("Time for which a finished answer can be joined.", 0),
    "orphan_seconds": _seconds(
        "A stream without a reader for this long is cancelled.", 0
    ),
    "backend_idle_seconds": _seconds(
        "Longest time without a byte of an answer that the backend server has begun."
    ),
    "leave_seconds": _seconds(
        "Time for which a stopping router still accepts connections.", 0
    ),
    "pack_seconds": _seconds(
        "Time over which chunks of all streams are packed into one message.", 0, 1
    ),
    "history_seconds": _seconds("Time for which changes of rows are remembered."),
    "reads_per_second": _number("Limit of read operations; 0 for none.", 0),
    "writes_per_second": _number("Limit of write operations; 0 for none.", 0),
    "seed": _number("Seed of all random choices.", 0),
    "model": _name("Name of the model.", required=True),
    "first_token_seconds": _seconds("Time to the first token.", 0),
    "between_tokens_seconds": _seconds("Time between tokens.", 0),
    "capacity": _number("Requests above which the engine falls over.", 1),
    "batch_limit": _number(
        "Requests generated at once; 0 for all that the engine holds.", 0, 10**6
    ),
    "batch_slowdown": _number(
        "Growth of the time between tokens for each further request in the batch, as "
        "a share.",
        0,
        100,
    ),
    "restart_seconds": _seconds("Time to come back after falling over.", 0),
    "fault": _name("How a bad version behaves; none for a good one.", required=True),
    "fault_route": _name("Route on which `fail_on_route` shows."),
    "fault_after": _seconds("Time after which a late fault shows.", 0),
    "fault_after_requests": _number(
        "Requests after which a late fault shows.", 0, 10**9
    ),
    "fault_load": _number(
        "Concurrent requests from which `fail_under_load` shows; 0 for half the "
        "capacity.",
        0,
        10**6,
    ),
    "fault_share": _number("Share of the requests that show the fault.", 0, 1),
    "slow_factor": _number("Factor on all times of a slow version.", 1, 10**4),
    "fencing": _choice(
        "Whether orders with old fencing numbers are refused.", "enforced", "ignored"
    ),
    "load_lag_seconds": _seconds("Lag of the reported load.", 0),
    "event_lag_seconds": _seconds("Lag of the prefix cache's events.", 0),
    "event_loss": _number("Share of the cache's events that never show.", 0, 1),
    "prefix_cache_bytes": _bytes("Memory of the prefix cache.", 0),
    "service_seconds": _seconds("Time that a call takes.", 0),
    "upstream": _address("Address to which connections are passed on."),
    "control_listen": _address("Address of the HTTP port that takes faults."),
}

#: Option of a field without an entry in :data:`OPTIONS_BY_FIELD`.
_UNDESCRIBED_OPTION = Option("", "any value", lambda value: True)


def option_of(field_name: str) -> Option:
    """Return the description of the setting in the field `field_name`."""
    return OPTIONS_BY_FIELD.get(field_name, _UNDESCRIBED_OPTION)


def flag_of(field_name: str) -> str:
    """Return the command-line flag of the field `field_name`."""
    return "--" + field_name.replace("_", "-")


def variable_of(field_name: str) -> str:
    """Return the name of the environment variable of the field `field_name`."""
    return VARIABLE_PREFIX + field_name.upper()


def is_list_field(field: dataclasses.Field) -> bool:
    """Return whether the value of a field is a list."""
    return get_origin(field.type) is list


def _describe_problem(field_name: str, value: object, expected: str) -> str:
    value_text = "(hidden)" if field_name in SECRET_FIELDS else repr(value)
    setting_name = f"{flag_of(field_name)} ({variable_of(field_name)})"
    return f"{setting_name}: {value_text}, expected {expected}"


def _has_default(field: dataclasses.Field) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


def _field_problems(field: dataclasses.Field, value: object) -> list[str]:
    option = option_of(field.name)
    if value in ("", []):
        if option.required or not _has_default(field):
            return [_describe_problem(field.name, value, option.expected)]
        return []
    values = value if isinstance(value, list) else [value]
    return [
        _describe_problem(field.name, entry, option.expected)
        for entry in values
        if not option.accepts(entry)
    ]


def _router_problems(settings: RouterSettings) -> list[str]:
    problems = []
    if settings.reclaim_after_seconds <= settings.silent_seconds:
        expected = f"more than --silent-seconds ({settings.silent_seconds:g})"
        value = settings.reclaim_after_seconds
        problems.append(_describe_problem("reclaim_after_seconds", value, expected))
    if settings.lease_seconds <= settings.duty_seconds:
        expected = f"more than --duty-seconds ({settings.duty_seconds:g})"
        problems.append(
            _describe_problem("lease_seconds", settings.lease_seconds, expected)
        )
    return problems


def _sidecar_problems(settings: SidecarSettings) -> list[str]:
    if settings.held_bytes < settings.stream_buffer_bytes:
        expected = f"--stream-buffer-bytes ({settings.stream_buffer_bytes}) or more"
        return [_describe_problem("held_bytes", settings.held_bytes, expected)]
    return []


def check_settings(settings: object) -> list[str]:
    """Return a description of each invalid value in `settings`.

    Includes the values that are invalid only in combination with another setting.
    """
    problems = []
    for field in dataclasses.fields(settings):
        problems += _field_problems(field, getattr(settings, field.name))
    if isinstance(settings, RouterSettings | SidecarSettings):
        if settings.silent_seconds < 2 * settings.heartbeat_seconds:
            expected = (
                f"at least twice --heartbeat-seconds ({settings.heartbeat_seconds:g})"
            )
            value = settings.silent_seconds
            problems.append(_describe_problem("silent_seconds", value, expected))
    if isinstance(settings, RouterSettings):
        problems += _router_problems(settings)
    if isinstance(settings, SidecarSettings):
        problems += _sidecar_problems(settings)
    return problems


def _split_items(texts: Sequence[str]) -> list[str]:
    return [part.strip() for text in texts for part in text.split(",") if part.strip()]


def parse_settings(
    settings_class: type[SettingsT],
    texts_by_field: Mapping[str, str | list[str] | None],
) -> SettingsT:
    """Return settings parsed from texts.

    :param texts_by_field: text of each field; None or no entry selects the default. A
        list field takes a list of texts or one text, both with items split at commas.
    :raises SettingsError: a value is missing or invalid; the error describes every
        problem, with the flag and the variable of the setting.
    """
    problems: list[str] = []
    values: dict[str, object] = {}
    for field in dataclasses.fields(settings_class):
        text = texts_by_field.get(field.name)
        if text is None or text == []:
            if not _has_default(field):
                problems.append(
                    _describe_problem(field.name, "", option_of(field.name).expected)
                )
            continue
        if is_list_field(field):
            values[field.name] = _split_items([text] if isinstance(text, str) else text)
            continue
        try:
            values[field.name] = field.type(text)
        except ValueError:
            problems.append(
                _describe_problem(field.name, text, option_of(field.name).expected)
            )
    empty_by_field = {
        field.name: ""
        for field in dataclasses.fields(settings_class)
        if not _has_default(field)
    }
    settings = settings_class(**(empty_by_field | values))
    problems += check_settings(settings)
    if problems:
        raise SettingsError(list(dict.fromkeys(problems)))
    return settings


def _default_text(field: dataclasses.Field) -> str:
    if field.default_factory is not dataclasses.MISSING:
        return ",".join(field.default_factory())
    return "" if field.default is dataclasses.MISSING else str(field.default)


def settings_table(settings_class: type) -> str:
    """Return a Markdown table of the settings in a class, for the page of settings."""
    lines = ["| flag | variable | meaning | accepted | default |", "| --- " * 5 + "|"]
    for field in dataclasses.fields(settings_class):
        option = option_of(field.name)
        default = f"`{text}`" if (text := _default_text(field)) else "none"
        if default == "none" and option.required:
            default = "required"
        lines.append(
            f"| `{flag_of(field.name)}` | `{variable_of(field.name)}` "
            f"| {option.meaning} | {option.expected} | {default} |"
        )
    return "\n".join(lines)
