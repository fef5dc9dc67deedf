"""Decodes rows that register backend servers, and orders to roll out a version."""

import ipaddress
from typing import Annotated

import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer, RolloutOrder, ServerState
from bluebellshore.ids import BackendServerId, ServiceName, VersionName, ZoneName

__all__ = ["decode_rollout_order", "decode_server"]

#: Highest number of a TCP port.
MAX_PORT = 65_535
#: Most requests at a time that an entry may state. One with more would be given all
#: requests of its service.
MAX_SLOTS = 100_000
#: Longest warm-up that an entry may state, and longest time of a rollout.
MAX_SECONDS = 86_400
#: Highest integer that routers can tell each other.
MAX_INTEGER = 2**63 - 1
#: A name that fits into a header and a key of the store.
NAME_PATTERN = r"^[^\x00-\x1f\x7f]{1,200}\Z"

_Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
_Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]

_STATES_BY_WIRE_NAME = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _ServerEntry(msgspec.Struct, rename="camel"):
    service: _Name
    #: IPv4 address and port.
    address: str
    zone: _Name
    version: _Name
    #: Requests that the server works on at the same time.
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
    #: Key of ``_STATES_BY_WIRE_NAME``.
    state: str
    #: Time for which the server is still warming up; may be negative.
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_SECONDS * 1000)]
    #: Grows with each renewal of the entry.
    seq: _Integer
    #: Start of the server in Unix milliseconds; 0 if unknown.
    born: _Integer = 0


class _RolloutOrder(msgspec.Struct, rename="camel"):
    service: _Name
    #: Version to which the traffic moves.
    target: _Name
    #: Time from the order within which the rollout is completed or rolled back.
    duration_s: Annotated[float, msgspec.Meta(ge=0, le=MAX_SECONDS)]


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    :param server_id: id from the key of the row.
    :raises PlatformError: the entry is malformed.
    """
    try:
        entry = decode_json(value, _ServerEntry)
        host, port = _parse_address(entry.address)
        return BackendServer(
            server_id=BackendServerId(msgspec.convert(server_id, _Name)),
            service=ServiceName(entry.service),
            host=host,
            port=port,
            zone=ZoneName(entry.zone),
            version=VersionName(entry.version),
            slots=entry.slots,
            state=_STATES_BY_WIRE_NAME[entry.state],
            warmup_seconds=max(0.0, entry.cold_remaining_ms) / 1000,
            started_unix_ms=entry.born,
            renewals=entry.seq,
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise PlatformError(
            f"malformed backend server entry: {error}",
            step="servers.decode",
            peer=server_id,
        ) from error


def _parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``host:port``.

    :raises ValueError: nothing can be reached at the address.
    """
    host, _, port = address.rpartition(":")
    ipaddress.IPv4Address(host)
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        raise ValueError(f"no port in {address!r}")
    return host, int(port)


def decode_rollout_order(value: bytes) -> RolloutOrder:
    """Decode the value of a rollout order's row.

    :raises PlatformError: the value is malformed.
    """
    try:
        order = decode_json(value, _RolloutOrder)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f"malformed rollout order: {error}", step="rollouts.decode"
        ) from error
    return RolloutOrder(
        service=ServiceName(order.service),
        target=VersionName(order.target),
        seconds=order.duration_s,
    )
