"""A cache of rows in front of a table service."""

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

#: Keys in the cache, beyond which the least recently used ones are evicted.
MAX_CACHED_KEYS = 10_000


class _CacheEntry(msgspec.Struct, frozen=True):
    """Cached state of a key.

    :param row: None if the row is absent or was invalidated.
    :param version: version of the row, or the newest version seen before the row was
        found absent or invalidated.
    :param is_valid: False if the row was invalidated; then only `version` is known.
    """

    row: Row | None
    version: int
    is_valid: bool = True


class CachedTable:
    """Caches the latest row seen of each key, and which rows are absent.

    The cache is filled by reads, by this process's writes, by conflicts and by
    :meth:`apply`. A cached row may be older than the store's. A write that expects its
    version then conflicts, and the conflict brings the current row. A caller that acts
    on a row without writing it must therefore keep it up to date through
    :meth:`apply`, or :meth:`invalidate` it first.

    A cached row is never replaced by an older version, with one exception: if a
    conflict shows a different row and the cached one did not change during the call,
    the store's row replaces it whatever the versions are.

    :param table: table service behind the cache.
    :param max_keys: most keys that are cached.
    """

    def __init__(self, table: TableService, *, max_keys: int = MAX_CACHED_KEYS):
        self._table = table
        self._max_keys = max_keys
        self._entries_by_key: OrderedDict[str, _CacheEntry] = OrderedDict()
        #: For each call in progress, the keys whose cache entry has changed since the
        #: call began.
        self._changed_keys_of_calls: list[set[str]] = []

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows from the cache, and from the store those that are not cached.

        :return: rows by key, without absent rows.
        """
        # A key that is cached now may be evicted while the others are read.
        cached_by_key = {
            key: self._valid_entry(key) for key in keys if self._valid_entry(key)
        }
        for key in cached_by_key:
            self._entries_by_key.move_to_end(key)
        uncached = [key for key in dict.fromkeys(keys) if key not in cached_by_key]
        found: Mapping[str, Row] = {}
        if uncached:
            with self._track_call() as changed_keys:
                found = await self._table.read(uncached)
            for key in uncached:
                self._cache_read(key, found.get(key), changed_keys)
        rows = {}
        for key in keys:
            # An entry cached during the call is newer than what the call found.
            latest = self._valid_entry(key) or cached_by_key.get(key)
            row = latest.row if latest else found.get(key)
            if row is not None:
                rows[key] = row
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order from the store, and cache them.

        :param prefix: prefix of the keys.
        :param after: only keys above this one.
        :param limit: most rows to return.
        """
        with self._track_call() as changed_keys:
            rows = await self._table.scan(prefix, after, limit)
        for row in rows:
            self._cache_read(row.key, row, changed_keys)
        return rows

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none, and cache the result.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version; the current rows
            are cached.
        """
        with self._track_call() as changed_keys:
            try:
                versions = await self._table.transact(writes)
            except TransactionConflictError as conflict:
                self._cache_conflict(conflict, writes, changed_keys)
                raise
            except PlatformUnavailableError as error:
                # The writes may have taken effect, or may still do so.
                self.invalidate(write.key for write in writes)
                eliot.log_message(
                    "cached_rows_forgotten", keys=len(writes), reason=str(error)
                )
                raise
            except BaseException:
                # The writes may take effect although the caller was cancelled.
                self.invalidate(write.key for write in writes)
                raise
        self._cache_written(writes, versions, changed_keys)
        return versions

    def apply(self, change: TableChange) -> None:
        """Cache the changes that a change feed returned."""
        for row in change.rows:
            self._cache_if_newer(row.key, _CacheEntry(row, row.version))
        for key, version in change.removed_by_key.items():
            self._cache_if_newer(key, _CacheEntry(None, version))

    def invalidate(self, keys: Iterable[str]) -> None:
        """Make the next read of `keys` go to the store."""
        for key in keys:
            self._mark_changed(key)
            cached = self._entries_by_key.get(key)
            if cached is not None:
                # The version is kept so that no older row is cached afterwards.
                self._entries_by_key[key] = _CacheEntry(
                    None, cached.version, is_valid=False
                )

    def invalidate_all(self) -> None:
        """Make the next read of any key go to the store."""
        self.invalidate(list(self._entries_by_key))

    @contextmanager
    def _track_call(self) -> Iterator[set[str]]:
        """Collect the keys whose cache entry changes during a call to the store."""
        changed_keys: set[str] = set()
        self._changed_keys_of_calls.append(changed_keys)
        try:
            yield changed_keys
        finally:
            # Compared by identity, since the sets of two calls may be equal.
            self._changed_keys_of_calls = [
                each for each in self._changed_keys_of_calls if each is not changed_keys
            ]

    def _valid_entry(self, key: str) -> _CacheEntry | None:
        entry = self._entries_by_key.get(key)
        return entry if entry is not None and entry.is_valid else None

    def _mark_changed(self, key: str) -> None:
        for changed_keys in self._changed_keys_of_calls:
            changed_keys.add(key)

    def _cache_entry(self, key: str, entry: _CacheEntry) -> None:
        self._mark_changed(key)
        self._entries_by_key[key] = entry
        self._entries_by_key.move_to_end(key)
        while len(self._entries_by_key) > self._max_keys:
            oldest = next(iter(self._entries_by_key))
            self._mark_changed(oldest)
            del self._entries_by_key[oldest]

    def _cache_if_newer(self, key: str, entry: _CacheEntry) -> None:
        """Cache an entry unless a newer version of the row is cached."""
        cached = self._entries_by_key.get(key)
        if cached is None or cached.version < entry.version:
            self._cache_entry(key, entry)

    def _cache_read(self, key: str, row: Row | None, changed_keys: set[str]) -> None:
        """Cache what a read found.

        If the entry of the key changed during the read, the answer may be older than
        that change; then only a newer version is cached.
        """
        cached = self._entries_by_key.get(key)
        if key in changed_keys:
            if cached is not None and row is not None:
                self._cache_if_newer(key, _CacheEntry(row, row.version))
            return
        version = cached.version if cached else ABSENT
        if row is None:
            self._cache_entry(key, _CacheEntry(None, version))
        elif row.version >= version:
            self._cache_entry(key, _CacheEntry(row, row.version))

    def _cache_written(
        self,
        writes: Sequence[Write],
        versions: Mapping[str, int],
        changed_keys: set[str],
    ) -> None:
        newest = max(versions.values(), default=ABSENT)
        for write in writes:
            if write.value is not None:
                row = Row(write.key, versions[write.key], write.value)
                entry = _CacheEntry(row, row.version)
            else:
                # A removal has its transaction's version, known if it wrote a row.
                entry = _CacheEntry(None, newest or write.expect)
            cached = self._entries_by_key.get(write.key)
            if write.key not in changed_keys:
                self._cache_entry(write.key, entry)
            elif cached is not None:
                self._cache_if_newer(write.key, entry)

    def _cache_conflict(
        self,
        conflict: TransactionConflictError,
        writes: Sequence[Write],
        changed_keys: set[str],
    ) -> None:
        rows_by_key = conflict.rows_by_key
        if rows_by_key is None:
            self.invalidate(write.key for write in writes)
            return
        for write in writes:
            key, row = write.key, rows_by_key.get(write.key)
            cached = self._entries_by_key.get(key)
            if key not in changed_keys:
                version = row.version if row else cached.version if cached else ABSENT
                self._cache_entry(key, _CacheEntry(row, version))
            elif row is not None and cached is not None:
                self._cache_if_newer(key, _CacheEntry(row, row.version))
            else:
                self.invalidate([key])
