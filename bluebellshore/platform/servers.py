"""Decodes the entries with which backend servers register themselves."""

import msgspec

from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer, RolloutOrder, ServerState
from bluebellshore.ids import BackendServerId, ServiceName, VersionName, ZoneName

__all__ = ["decode_rollout_order", "decode_server"]

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Entry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    seq: int
    #: Unix milliseconds of the server's start.
    born: int = 0


class _RolloutOrder(msgspec.Struct, rename="camel"):
    service: str
    #: Version to which the traffic moves.
    target: str
    duration_s: float


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Return the backend server that an entry names.

    :raises PlatformError: the entry is damaged and names none.
    """
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        host, _, port = entry.address.rpartition(":")
        if not host or entry.slots < 1:
            raise ValueError(f"address {entry.address!r}, slots {entry.slots}")
        return BackendServer(
            server_id=BackendServerId(server_id),
            service=ServiceName(entry.service),
            host=host,
            port=int(port),
            zone=ZoneName(entry.zone),
            version=VersionName(entry.version),
            slots=entry.slots,
            state=_STATES[entry.state],
            warmup_seconds=max(0.0, entry.cold_remaining_ms) / 1000,
            born=entry.born,
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as error:
        raise PlatformError(
            f"damaged entry: {error}", step="servers.decode", peer=server_id
        ) from error


def decode_rollout_order(value: bytes) -> RolloutOrder:
    """Return the order that a row's value holds.

    :raises PlatformError: the value is no order.
    """
    try:
        order = msgspec.json.decode(value, type=_RolloutOrder)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f"malformed order: {error}", step="rollouts.decode"
        ) from error
    return RolloutOrder(
        service=ServiceName(order.service),
        target=VersionName(order.target),
        seconds=order.duration_s,
    )
