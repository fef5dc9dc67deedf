"""A table service that remembers the latest rows seen."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from contextlib import contextmanager

import eliot
import msgspec

from bluebellshore.errors import PlatformUnavailableError, TransactionConflictError
from bluebellshore.store.interface import (
    ABSENT,
    Row,
    TableChange,
    TableService,
    Write,
)

__all__ = ["CachedTable"]

#: Keys remembered; the ones used least recently are forgotten.
MAX_KEYS = 10_000


class _Known(msgspec.Struct, frozen=True):
    """What is remembered of a key.

    :param row: None when the row is absent.
    :param version: of the row, or the newest seen before it was absent or forgotten.
    :param certain: False when the row is forgotten; then only the version counts.
    """

    row: Row | None
    version: int
    certain: bool = True


class CachedTable:
    """Remembers the latest row seen of each key, also that it is absent.

    Rows come from reads, own writes, conflicts and :meth:`apply`. A remembered row may
    be older than the store's: a write on its version then conflicts, which brings the
    present row. So whoever decides by a row without writing it must hear of its
    changes in another way (:meth:`apply`) or :meth:`invalidate` it first.

    A row never gives way to an older one. One case looks like it: a conflict shows
    another row than the one remembered all the time. Then the store is right, whatever
    the versions are.

    :param table: the real table.
    :param max_keys: keys remembered.
    """

    def __init__(self, table: TableService, *, max_keys: int = MAX_KEYS):
        self._table = table
        self._max_keys = max_keys
        self._known_by_key: OrderedDict[str, _Known] = OrderedDict()
        #: For each call under way, the keys of which something new was learnt since
        #: it began.
        self._touched: list[set[str]] = []

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows, from memory what is known; absent ones are left out.

        :return: rows by key.
        """
        # A key known now may be forgotten while others are read.
        known = {key: self._known(key) for key in keys if self._known(key)}
        for key in known:
            self._known_by_key.move_to_end(key)
        missing = [key for key in dict.fromkeys(keys) if key not in known]
        found: Mapping[str, Row] = {}
        if missing:
            with self._call() as touched:
                found = await self._table.read(missing)
            for key in missing:
                self._learn_read(key, found.get(key), touched)
        rows = {}
        for key in keys:
            # What came up meanwhile is newer than what the call found.
            latest = self._known(key) or known.get(key)
            row = latest.row if latest else found.get(key)
            if row is not None:
                rows[key] = row
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order, always from the store."""
        with self._call() as touched:
            rows = await self._table.scan(prefix, after, limit)
        for row in rows:
            self._learn_read(row.key, row, touched)
        return rows

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none; remember what the answer tells.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version; the present rows
            are remembered.
        """
        with self._call() as touched:
            try:
                versions = await self._table.transact(writes)
            except TransactionConflictError as conflict:
                self._learn_conflict(conflict, writes, touched)
                raise
            except PlatformUnavailableError as error:
                # The writes may have taken effect, or may do so later.
                self.invalidate(write.key for write in writes)
                eliot.log_message(
                    "cached_rows_forgotten", keys=len(writes), reason=str(error)
                )
                raise
            except BaseException:
                # A caller that gives up does not call the write back.
                self.invalidate(write.key for write in writes)
                raise
        self._learn_written(writes, versions, touched)
        return versions

    def apply(self, change: TableChange) -> None:
        """Remember changes that a feed told of."""
        for row in change.rows:
            self._learn_newer(row.key, _Known(row, row.version))
        for key, version in change.removed_by_key.items():
            self._learn_newer(key, _Known(None, version))

    def invalidate(self, keys: Iterable[str]) -> None:
        """Have the next read of `keys` ask the store."""
        for key in keys:
            self._touch(key)
            present = self._known_by_key.get(key)
            if present is not None:
                # The version stays, so that no older row takes the place.
                self._known_by_key[key] = _Known(None, present.version, certain=False)

    def invalidate_all(self) -> None:
        """Have the next read of any key ask the store."""
        self.invalidate(list(self._known_by_key))

    @contextmanager
    def _call(self) -> Iterator[set[str]]:
        """Note the keys of which something new is learnt during a call."""
        touched: set[str] = set()
        self._touched.append(touched)
        try:
            yield touched
        finally:
            # By identity: sets of two calls may be equal.
            self._touched = [each for each in self._touched if each is not touched]

    def _known(self, key: str) -> _Known | None:
        known = self._known_by_key.get(key)
        return known if known is not None and known.certain else None

    def _touch(self, key: str) -> None:
        for touched in self._touched:
            touched.add(key)

    def _remember(self, key: str, known: _Known) -> None:
        self._touch(key)
        self._known_by_key[key] = known
        self._known_by_key.move_to_end(key)
        while len(self._known_by_key) > self._max_keys:
            oldest = next(iter(self._known_by_key))
            self._touch(oldest)
            del self._known_by_key[oldest]

    def _learn_newer(self, key: str, known: _Known) -> None:
        """Remember what has a version of its own, unless a newer one is known."""
        present = self._known_by_key.get(key)
        if present is None or present.version < known.version:
            self._remember(key, known)

    def _learn_read(self, key: str, row: Row | None, touched: set[str]) -> None:
        """Remember what a read found.

        When the key was touched meanwhile, the answer may be from before that.
        """
        present = self._known_by_key.get(key)
        if key in touched:
            if present is not None and row is not None:
                self._learn_newer(key, _Known(row, row.version))
            return
        version = present.version if present else ABSENT
        if row is None:
            self._remember(key, _Known(None, version))
        elif row.version >= version:
            self._remember(key, _Known(row, row.version))

    def _learn_written(
        self, writes: Sequence[Write], versions: Mapping[str, int], touched: set[str]
    ) -> None:
        newest = max(versions.values(), default=ABSENT)
        for write in writes:
            if write.value is not None:
                row = Row(write.key, versions[write.key], write.value)
                known = _Known(row, row.version)
            else:
                # A removal has the version of its transaction, if any is told.
                known = _Known(None, newest or write.expect)
            present = self._known_by_key.get(write.key)
            if write.key not in touched:
                self._remember(write.key, known)
            elif present is not None:
                self._learn_newer(write.key, known)

    def _learn_conflict(
        self,
        conflict: TransactionConflictError,
        writes: Sequence[Write],
        touched: set[str],
    ) -> None:
        rows_by_key = conflict.rows_by_key
        if rows_by_key is None:
            self.invalidate(write.key for write in writes)
            return
        for write in writes:
            key, row = write.key, rows_by_key.get(write.key)
            present = self._known_by_key.get(key)
            if key not in touched:
                version = row.version if row else present.version if present else ABSENT
                self._remember(key, _Known(row, version))
            elif row is not None and present is not None:
                self._learn_newer(key, _Known(row, row.version))
            else:
                self.invalidate([key])
