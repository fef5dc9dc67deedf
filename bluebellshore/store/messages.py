"""Messages of the platform's HTTP interface; JSON with base64 for bytes."""

import msgspec

from bluebellshore.store.interface import Instance, Row, Write

__all__ = [
    "ConflictAnswer",
    "InstancesAnswer",
    "ReadRequest",
    "RowsAnswer",
    "ScanRequest",
    "TransactAnswer",
    "TransactRequest",
]


class ReadRequest(msgspec.Struct, frozen=True):
    """Rows to read; answered by :class:`RowsAnswer`."""

    keys: list[str]


class ScanRequest(msgspec.Struct, frozen=True):
    """Range of rows to read; answered by :class:`RowsAnswer`."""

    prefix: str
    after: str = ""
    limit: int = 1000


class RowsAnswer(msgspec.Struct, frozen=True):
    """Rows that were found."""

    rows: list[Row]


class TransactRequest(msgspec.Struct, frozen=True):
    """Writes to apply, all or none."""

    writes: list[Write]


class TransactAnswer(msgspec.Struct, frozen=True):
    """New versions by key."""

    versions: dict[str, int]


class ConflictAnswer(msgspec.Struct, frozen=True):
    """Keys of the rows that had another version (status 409)."""

    keys: list[str]


class InstancesAnswer(msgspec.Struct, frozen=True):
    """The instance list."""

    instances: list[Instance]
