"""Rows that tell how a service's rollout stands."""

import msgspec

from bluebellshore.errors import PlatformError
from bluebellshore.ids import VersionName
from bluebellshore.rollouts.state import RolloutRecord, RolloutState

__all__ = ["decode_record", "encode_record", "encode_status", "rollout_record_key"]

_NAMES = {
    RolloutState.IN_PROGRESS: "in_progress",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}


class _Status(msgspec.Struct, rename="camel"):
    state: str
    target: str


def encode_status(target: VersionName, state: RolloutState) -> bytes:
    """Return the value of the row that the operator reads."""
    return msgspec.json.encode(_Status(_NAMES[state], target))


def rollout_record_key(service: str) -> str:
    """Return the key of the routers' own row, written with the operator's."""
    return f"rollouts/{service}"


def encode_record(record: RolloutRecord) -> bytes:
    """Return the value of the routers' own row."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> RolloutRecord:
    """Return what the routers' own row holds.

    :raises PlatformError: it is damaged.
    """
    try:
        return msgspec.json.decode(value, type=RolloutRecord)
    except msgspec.MsgspecError as error:
        raise PlatformError(
            f"malformed record: {error}", step="rollouts.decode"
        ) from error
