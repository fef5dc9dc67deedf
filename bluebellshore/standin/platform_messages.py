"""Messages of the platform's stand-in, written down apart from the client's."""

import base64
import binascii

import msgspec

from bluebellshore.standin.platform_rows import Change, Entry, RowId

__all__ = [
    "ENTRIES",
    "PlatformCounts",
    "TransactionBody",
    "changed_row",
    "check_transaction",
    "decode_value",
    "shown_row",
]

#: Limits of one transaction and of each text, as the platform states them.
ENTRIES = 100
TEXT_BYTES = 200
TABLES = 100


class PlatformCounts(msgspec.Struct):
    """Calls that took effect; answer of ``GET /control/stats``.

    :param conflicts: transactions refused because of a row's version.
    :param rate_limited: calls refused because of a rate.
    """

    transactions: int = 0
    conflicts: int = 0
    rows_written: int = 0
    reads: int = 0
    rows_read: int = 0
    feeds: int = 0
    rows_fed: int = 0
    object_puts: int = 0
    object_gets: int = 0
    object_deletes: int = 0
    object_lists: int = 0
    rate_limited: int = 0


class _Row(msgspec.Struct):
    tableName: str  # noqa: N815
    part: str
    key: str

    @property
    def row_id(self) -> RowId:
        """Return where the row lies."""
        return RowId(self.tableName, self.part, self.key)


class _Expected(_Row):
    rowVersion: int  # noqa: N815


class _Written(_Row):
    value: str


class TransactionBody(msgspec.Struct):
    """Body of ``POST /rows-tx``."""

    expectedRevision: list[_Expected] = msgspec.field(default_factory=list)  # noqa: N815
    write: list[_Written] = msgspec.field(default_factory=list)
    remove: list[_Row] = msgspec.field(default_factory=list)
    crossPartition: bool = False  # noqa: N815

    @property
    def row_ids(self) -> list[RowId]:
        """Return the rows of all entries."""
        entries = [*self.expectedRevision, *self.write, *self.remove]
        return [entry.row_id for entry in entries]


def check_transaction(
    body: TransactionBody, present_tables: set[str], row_bytes: int
) -> str:
    """Return what is wrong with a transaction; empty when nothing is."""
    row_ids = body.row_ids
    changed = [entry.row_id for entry in (*body.write, *body.remove)]
    if len(row_ids) > ENTRIES:
        return "too many entries"
    if any(len(text.encode()) > TEXT_BYTES for row_id in row_ids for text in row_id):
        return "text too long"
    if len(set(changed)) < len(changed):
        return "a row is changed twice"
    if len({row_id.part for row_id in row_ids}) > 1 and not body.crossPartition:
        return "several parts"
    written = {entry.tableName for entry in body.write}
    if len(present_tables | written) > TABLES:
        return "too many tables"
    for entry in body.write:
        if (value := decode_value(entry.value)) is None:
            return "value is not base64"
        if len(value) > row_bytes:
            return "row too large"
    return ""


def decode_value(value: str) -> bytes | None:
    """Return a row's value, None when it is malformed."""
    try:
        return base64.b64decode(value, validate=True)
    except binascii.Error:
        return None


def shown_row(entry: Entry) -> dict[str, object]:
    """Return a row as the platform shows it."""
    row_id = entry.row_id
    return {
        "tableName": row_id.table,
        "part": row_id.part,
        "key": row_id.key,
        "rowVersion": entry.version,
        "value": base64.b64encode(entry.value).decode(),
    }


def changed_row(change: Change) -> dict[str, object]:
    """Return a change as the platform shows it."""
    if change.value is not None:
        return shown_row(Entry(change.row_id, change.version, change.value))
    row_id = change.row_id
    return {
        "tableName": row_id.table,
        "part": row_id.part,
        "key": row_id.key,
        "rowVersion": change.version,
        "deleted": True,
    }
