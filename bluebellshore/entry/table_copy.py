"""A router's copy of one table of the platform's store."""

import msgspec

from bluebellshore.store import Row, TableChange

__all__ = ["TableCopy"]


class TableCopy(msgspec.Struct):
    """Rows of one table, complete up to `version`.

    :param removed_by_key: tombstones: versions at which rows were removed.
    """

    version: int = -1
    rows_by_key: dict[str, Row] = msgspec.field(default_factory=dict)
    removed_by_key: dict[str, int] = msgspec.field(default_factory=dict)

    def changes_since(self, version: int) -> TableChange:
        """Return the changes after a version, for a peer that is complete up to it."""
        return TableChange(
            [row for row in self.rows_by_key.values() if row.version > version],
            {k: v for k, v in self.removed_by_key.items() if v > version},
            self.version,
        )

    def with_prefix(self, prefix: str) -> TableChange:
        """Return the rows and tombstones whose key has a prefix."""
        return TableChange(
            [row for key, row in self.rows_by_key.items() if key.startswith(prefix)],
            {k: v for k, v in self.removed_by_key.items() if k.startswith(prefix)},
            self.version,
        )

    def bury_removed(self, change: TableChange) -> None:
        """Add tombstones of rows of a peer that were removed before this copy was read.

        The peer may be cut off from the store. Without a tombstone such a row would be
        taken for a new one, here and at the routers that are told of it.
        """
        for row in change.rows:
            if row.key not in self.rows_by_key and row.version <= self.version:
                self.removed_by_key.setdefault(row.key, self.version)
