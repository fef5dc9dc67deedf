"""Wire messages of the platform's store, and their conversion to rows and writes."""

import base64
import binascii
from collections.abc import Sequence

import msgspec

from bluebellshore.errors import PlatformError
from bluebellshore.store.interface import (
    VERSIONS_PER_ERA,
    Row,
    Write,
    version_in_era,
)

__all__ = [
    "PART",
    "add_era",
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

#: Partition (``part`` on the wire) that holds all rows of the fleet in each table.
PART = ""


class _Message(msgspec.Struct, rename="camel"):
    """Base of wire messages with camel-case names; unknown fields are ignored."""


class RowMessage(_Message):
    """A row in an answer of the store.

    :param table_name: table; first segment of the fleet's key of the row.
    :param key: rest of the fleet's key, after the table and a slash.
    :param row_version: version of the store at which the row was last changed.
    :param value: value in Base64.
    :param deleted: whether that change removed the row.
    """

    table_name: str
    key: str
    row_version: int = 0
    value: str | None = None
    part: str = PART
    deleted: bool = False

    @property
    def full_key(self) -> str:
        """Return the fleet's key of the row, ``table/key``."""
        return f"{self.table_name}/{self.key}"


class RowsAnswer(_Message):
    """Rows of a table, or changes of it.

    :param row_version: newest version of the whole store, not of a row.
    :param has_more: whether the range has rows beyond this page.
    :param current_time_ms: the store's steady clock, which is not the time of day.
    """

    rows: list[RowMessage]
    row_version: int
    has_more: bool = False
    current_time_ms: float | None = None


class TransactionAnswer(_Message):
    """Answer to a transaction that was applied.

    :param row_version: new version of all rows that it wrote.
    :param current_time_ms: the store's steady clock, which is not the time of day.
    """

    row_version: int
    current_time_ms: float | None = None


class ConflictAnswer(_Message):
    """Answer to a transaction that was refused because of a row's version.

    :param rows: current rows among those whose version was expected.
    """

    rows: list[RowMessage]


class NamesAnswer(_Message):
    """Names of objects, in order.

    :param has_more: whether there are names beyond this page.
    """

    names: list[str]
    has_more: bool = False


class _ExpectedVersion(_Message):
    table_name: str
    part: str
    key: str
    row_version: int


class _WriteEntry(_Message):
    table_name: str
    part: str
    key: str
    value: str


class _RemoveEntry(_Message):
    table_name: str
    part: str
    key: str


class TransactionRequest(_Message):
    """A transaction: conditions on rows, and the rows to write and remove.

    :param expected_revision: version that each row must have, despite the name; 0 for
        a row that must not exist.
    """

    expected_revision: list[_ExpectedVersion]
    write: list[_WriteEntry]
    remove: list[_RemoveEntry]

    @property
    def entry_count(self) -> int:
        """Number of entries as the store counts them for its limit."""
        return len(self.expected_revision) + len(self.write) + len(self.remove)


def split_key(key: str) -> tuple[str, str]:
    """Split a key into its table and the rest.

    :raises PlatformError: the key has no table.
    """
    table, slash, rest = key.partition("/")
    if not slash or not table:
        raise PlatformError(f"key {key!r} names no table", step="store.key")
    return table, rest


def add_era(answer: RowsAnswer | ConflictAnswer, era: int) -> None:
    """Put the era of the store before the versions in its answer."""
    for row in answer.rows:
        row.row_version = version_in_era(era, row.row_version)
    if isinstance(answer, RowsAnswer):
        answer.row_version = version_in_era(era, answer.row_version)


def row_of(message: RowMessage) -> Row:
    """Convert a row of an answer.

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
    """Return the transaction that applies `writes`.

    :raises PlatformError: a key has no table.
    """
    transaction = TransactionRequest([], [], [])
    for write in writes:
        table, rest = split_key(write.key)
        transaction.expected_revision.append(
            _ExpectedVersion(table, PART, rest, write.expect % VERSIONS_PER_ERA)
        )
        if write.value is None:
            transaction.remove.append(_RemoveEntry(table, PART, rest))
        else:
            value = base64.b64encode(write.value).decode()
            transaction.write.append(_WriteEntry(table, PART, rest, value))
    return transaction
