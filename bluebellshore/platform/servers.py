"""Decodes rows that register backend servers, and orders to roll out a version."""

import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer, RolloutOrder, ServerState
from bluebellshore.ids import BackendServerId, ServiceName, VersionName, ZoneName

__all__ = ["decode_rollout_order", "decode_server"]

_STATES_BY_WIRE_NAME = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _ServerEntry(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    version: str
    #: Requests that the server works on at the same time.
    slots: int
    #: Key of ``_STATES_BY_WIRE_NAME``.
    state: str
    #: Time for which the server is still warming up; may be negative.
    cold_remaining_ms: float
    #: Grows with each renewal of the entry.
    seq: int
    #: Start of the server in Unix milliseconds; 0 if unknown.
    born: int = 0


class _RolloutOrder(msgspec.Struct, rename="camel"):
    service: str
    #: Version to which the traffic moves.
    target: str
    #: Time from the order within which the rollout is completed or rolled back.
    duration_s: float


def decode_server(server_id: str, value: bytes) -> BackendServer:
    """Decode the entry of a backend server.

    :param server_id: id from the key of the row.
    :raises PlatformError: the entry is malformed.
    """
    try:
        entry = decode_json(value, _ServerEntry)
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
