"""Encodes and decodes the rows with the state of a service's rollout."""

import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.ids import VersionName
from bluebellshore.rollouts.state import RolloutRecord, RolloutState

__all__ = ["decode_record", "encode_record", "encode_status", "rollout_record_key"]

_WIRE_NAMES_BY_STATE = {
    RolloutState.IN_PROGRESS: "in_progress",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}


class _Status(msgspec.Struct, rename="camel"):
    #: Value of ``_WIRE_NAMES_BY_STATE``.
    state: str
    #: Version to which the traffic moves.
    target: str


def encode_status(target: VersionName, state: RolloutState) -> bytes:
    """Encode the status row that the operator reads."""
    return msgspec.json.encode(_Status(_WIRE_NAMES_BY_STATE[state], target))


def rollout_record_key(service: str) -> str:
    """Return the key of the routers' record, written along with the status row."""
    return f"rollouts/{service}"


def encode_record(record: RolloutRecord) -> bytes:
    """Encode the routers' record of a rollout."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> RolloutRecord:
    """Decode the routers' record of a rollout.

    :raises PlatformError: the value is malformed.
    """
    try:
        return decode_json(value, RolloutRecord)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f"malformed rollout record: {error}", step="rollouts.decode"
        ) from error
