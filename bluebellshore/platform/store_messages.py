"""Messages of the calls of the platform's store."""

import base64
import binascii
from collections.abc import Sequence

import msgspec

from bluebellshore.errors import PlatformError
from bluebellshore.store.interface import Row, Write

__all__ = [
    "PART",
    "ConflictAnswer",
    "NamesAnswer",
    "RowMessage",
    "RowsAnswer",
    "TransactionAnswer",
    "TransactionRequest",
    "row_of",
    "split_key",
    "transaction_of",
]

#: Part of a table in which all rows of the product lie.
PART = ""


class _Message(msgspec.Struct, rename="camel"):
    """Base of messages; fields that are not named here are ignored."""


class RowMessage(_Message):
    """A row as the store shows it.

    :param table_name: first part of the row's key in the product's form.
    :param deleted: the row was removed at its version.
    """

    table_name: str
    key: str
    row_version: int = 0
    value: str | None = None
    part: str = PART
    deleted: bool = False

    @property
    def full_key(self) -> str:
        """Return the key in the product's form."""
        return f"{self.table_name}/{self.key}"


class RowsAnswer(_Message):
    """Rows and the newest version of the whole store."""

    rows: list[RowMessage]
    row_version: int
    has_more: bool = False
    #: The store's steady clock.
    current_time_ms: float | None = None


class TransactionAnswer(_Message):
    """Version of a transaction that was applied."""

    row_version: int
    #: The store's steady clock.
    current_time_ms: float | None = None


class ConflictAnswer(_Message):
    """Present rows among those whose version was given."""

    rows: list[RowMessage]


class NamesAnswer(_Message):
    """Names of objects."""

    names: list[str]
    has_more: bool = False


class _Expected(_Message):
    table_name: str
    part: str
    key: str
    row_version: int


class _Written(_Message):
    table_name: str
    part: str
    key: str
    value: str


class _Removed(_Message):
    table_name: str
    part: str
    key: str


class TransactionRequest(_Message):
    """Entries of a transaction; version 0 stands for a row that must not exist."""

    expected_revision: list[_Expected]
    write: list[_Written]
    remove: list[_Removed]

    @property
    def entries(self) -> int:
        """Number of entries that the store counts."""
        return len(self.expected_revision) + len(self.write) + len(self.remove)


def split_key(key: str) -> tuple[str, str]:
    """Return the table of a key and the rest.

    :raises PlatformError: the key names no table.
    """
    table, slash, rest = key.partition("/")
    if not slash or not table:
        raise PlatformError(f"key {key!r} names no table", step="store.key")
    return table, rest


def row_of(message: RowMessage) -> Row:
    """Return a row in the product's form.

    :raises ValueError: the row is malformed.
    """
    if message.row_version < 1:
        raise ValueError(f"version of {message.full_key!r} below 1")
    try:
        value = base64.b64decode(message.value or "", validate=True)
    except binascii.Error as error:
        raise ValueError(f"value of {message.full_key!r}: {error}") from error
    return Row(message.full_key, message.row_version, value)


def transaction_of(writes: Sequence[Write]) -> TransactionRequest:
    """Return the entries of `writes`."""
    transaction = TransactionRequest([], [], [])
    for write in writes:
        table, rest = split_key(write.key)
        transaction.expected_revision.append(_Expected(table, PART, rest, write.expect))
        if write.value is None:
            transaction.remove.append(_Removed(table, PART, rest))
        else:
            value = base64.b64encode(write.value).decode()
            transaction.write.append(_Written(table, PART, rest, value))
    return transaction
