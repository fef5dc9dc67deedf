"""In-memory fakes of the platform's services, with injectable faults, for tests."""

import asyncio
import bisect
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    TransactionConflictError,
)
from bluebellshore.ids import InstanceId
from bluebellshore.store.interface import (
    ABSENT,
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    MAX_TRANSACTION_WRITES,
    Instance,
    InstanceState,
    Row,
    TableChange,
    TableSnapshot,
    Write,
)
from bluebellshore.store.lagged import LaggedValue
from bluebellshore.store.memory_faults import PEER, MemoryFaults, OperationCounts

__all__ = [
    "MemoryFaults",
    "MemoryInstances",
    "MemoryObjects",
    "MemoryTable",
    "OperationCounts",
]

#: Changes kept for :meth:`MemoryTable.feed` by default.
MAX_HISTORY_CHANGES = 10_000


class _Change(NamedTuple):
    """One change of a row.

    :param row: the new row; None if it was removed.
    """

    version: int
    key: str
    row: Row | None


class MemoryTable:
    """In-memory :class:`~bluebellshore.store.ChangeFeedTable`.

    Row versions come from one counter that is increased by each transaction.

    :param max_history_changes: most changes kept for :meth:`feed`.
    """

    def __init__(
        self,
        faults: MemoryFaults | None = None,
        counts: OperationCounts | None = None,
        *,
        max_history_changes: int = MAX_HISTORY_CHANGES,
    ):
        self.faults = faults or MemoryFaults()
        self.counts = counts or OperationCounts()
        self.rows_by_key: dict[str, Row] = {}
        self.version = 0
        self._keys: list[str] = []
        self._max_history_changes = max_history_changes
        self._history: deque[_Change] = deque()
        self._oldest_feed_version = 0
        self._change_event = asyncio.Event()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows. :return: rows by key, without absent rows."""
        async with self.faults.inject("table.read"):
            rows = {
                key: self.rows_by_key[key] for key in keys if key in self.rows_by_key
            }
            self.counts.reads += 1
            self.counts.rows_read += len(rows)
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key starts with `prefix` and is above `after`.

        :param limit: most rows to return.
        """
        async with self.faults.inject("table.scan"):
            rows = self._scan(prefix, after, limit)
            self.counts.scans += 1
            self.counts.rows_scanned += len(rows)
        return rows

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table, to be followed by :meth:`feed`."""
        async with self.faults.inject("table.snapshot"):
            rows = self._scan(f"{table}/", "", len(self._keys))
            self.counts.scans += 1
            self.counts.rows_scanned += len(rows)
            snapshot = TableSnapshot({row.key: row for row in rows}, self.version)
        return snapshot

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table after a version.

        :param wait_seconds: time after which an empty change is returned.
        :raises HistoryLostError: changes after that version are no longer kept.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_seconds
        async with self.faults.inject("table.feed"):
            self.counts.feeds += 1
            while True:
                change_event = self._change_event
                change = self._changes_since(table, after_version)
                if change.rows or change.removed_by_key or loop.time() >= deadline:
                    break
                try:
                    async with asyncio.timeout_at(deadline):
                        await change_event.wait()
                except TimeoutError:
                    continue
        return change

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        :raises PlatformError: the transaction exceeds a limit of the platform.
        """
        async with self.faults.inject("table.transact", write=True):
            self._check_writes(writes)
            if writes:
                self.version += 1
            versions = {write.key: self._apply(write) for write in writes}
            self._trim_history()
            self._notify_watchers()
            self.counts.transactions += 1
            self.counts.rows_written += len(versions)
        return versions

    def forget_history(self) -> None:
        """Drop all changes so far from the history, as the platform may at any time."""
        self._history.clear()
        self._oldest_feed_version = self.version
        self._notify_watchers()

    def _scan(self, prefix: str, after: str, limit: int) -> list[Row]:
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after),
        )
        rows = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            rows.append(self.rows_by_key[key])
        return rows

    def _changes_since(self, table: str, after_version: int) -> TableChange:
        """Return the latest change of each row of a table after a version."""
        if after_version < self._oldest_feed_version:
            raise HistoryLostError(
                f"no history after {after_version}", step="table.feed", peer=PEER
            )
        last_by_key = {
            change.key: change
            for change in self._history
            if change.version > after_version and change.key.partition("/")[0] == table
        }
        changes = sorted(last_by_key.values(), key=lambda change: change.version)
        return TableChange(
            rows=[change.row for change in changes if change.row is not None],
            removed_by_key={
                change.key: change.version for change in changes if change.row is None
            },
            version=max(self.version, after_version),
        )

    def _check_writes(self, writes: Sequence[Write]) -> None:
        keys = [write.key for write in writes]
        problems = [
            *(f"key of {len(k)} characters" for k in keys if _is_key_too_long(k)),
            *(f"value of {w.key} too large" for w in writes if _is_value_too_large(w)),
        ]
        if len(writes) > MAX_TRANSACTION_WRITES:
            problems.append(f"{len(writes)} writes in a transaction")
        if len(set(keys)) < len(keys):
            problems.append("a transaction writes a row twice")
        if problems:
            raise PlatformError("; ".join(problems), step="table.transact", peer=PEER)
        conflicts = [
            write.key for write in writes if self._version_of(write.key) != write.expect
        ]
        if conflicts:
            self.counts.conflicts += 1
            current = {k: self.rows_by_key[k] for k in keys if k in self.rows_by_key}
            raise TransactionConflictError(
                conflicts, step="table.transact", peer=PEER, rows_by_key=current
            )

    def _version_of(self, key: str) -> int:
        row = self.rows_by_key.get(key)
        return row.version if row else ABSENT

    def _apply(self, write: Write) -> int:
        """Apply a write whose version was checked. :return: the row's new version."""
        if write.value is None:
            if write.key in self.rows_by_key:
                self._delete(write.key)
            return ABSENT
        if write.key not in self.rows_by_key:
            bisect.insort(self._keys, write.key)
        row = Row(write.key, self.version, write.value)
        self.rows_by_key[write.key] = row
        self._history.append(_Change(self.version, write.key, row))
        return self.version

    def _delete(self, key: str) -> None:
        del self.rows_by_key[key]
        del self._keys[bisect.bisect_left(self._keys, key)]
        self._history.append(_Change(self.version, key, None))

    def _trim_history(self) -> None:
        while len(self._history) > self._max_history_changes:
            self._oldest_feed_version = self._history.popleft().version

    def _notify_watchers(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


class MemoryObjects:
    """In-memory :class:`~bluebellshore.store.ObjectStore`."""

    def __init__(
        self,
        faults: MemoryFaults | None = None,
        counts: OperationCounts | None = None,
    ):
        self.faults = faults or MemoryFaults()
        self.counts = counts or OperationCounts()
        self.data_by_name: dict[str, bytes] = {}

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object.

        :param if_absent: whether to keep an object that exists.
        :return: False if the object existed and was not replaced.
        """
        async with self.faults.inject("objects.put", write=True):
            stored = not (if_absent and name in self.data_by_name)
            if stored:
                self.data_by_name[name] = bytes(data)
            self.counts.object_puts += 1
        return stored

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it is absent."""
        async with self.faults.inject("objects.get"):
            self.counts.object_gets += 1
            data = self.data_by_name.get(name)
        return data

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        async with self.faults.inject("objects.delete", write=True):
            self.counts.object_deletes += 1
            self.data_by_name.pop(name, None)


class MemoryInstances:
    """In-memory :class:`~bluebellshore.store.InstanceList` with a lag.

    :param lag_seconds: delay before a change becomes visible.
    :param expiry_seconds: time after its last announcement for which an instance is
        listed.
    """

    def __init__(
        self,
        faults: MemoryFaults | None = None,
        counts: OperationCounts | None = None,
        *,
        lag_seconds: float = 0.0,
        expiry_seconds: float = float("inf"),
        clock: Callable[[], float] = time.monotonic,
    ):
        self.faults = faults or MemoryFaults()
        self.counts = counts or OperationCounts()
        self._lag_seconds = lag_seconds
        self._expiry_seconds = expiry_seconds
        self._clock = clock
        self._entries_by_id: dict[InstanceId, LaggedValue[Instance]] = {}
        self._leaving_ids: set[InstanceId] = set()

    async def fetch(self) -> list[Instance]:
        """Return the instances that are visible now."""
        async with self.faults.inject("instances.fetch"):
            self.counts.list_fetches += 1
            visible = self._visible_instances(self._clock())
        return visible

    async def announce(self, instance: Instance) -> None:
        """Write the entry of this process's instance; to be repeated while it runs."""
        async with self.faults.inject("instances.announce"):
            self.counts.announcements += 1
            self._record(instance)

    def set_state(self, instance_id: InstanceId, state: InstanceState) -> bool:
        """Mark an instance as leaving, or remove the mark, as the platform does.

        The mark is kept while the instance goes on announcing itself.

        :return: False if no such instance has announced itself.
        """
        entry = self._entries_by_id.get(instance_id)
        if entry is None:
            return False
        if state is InstanceState.LEAVING:
            self._leaving_ids.add(instance_id)
        else:
            self._leaving_ids.discard(instance_id)
        self._record(msgspec.structs.replace(entry.latest, state=state))
        return True

    def _record(self, instance: Instance) -> None:
        now = self._clock()
        instance_id = instance.instance_id
        if instance_id in self._leaving_ids:
            instance = msgspec.structs.replace(instance, state=InstanceState.LEAVING)
        if entry := self._entries_by_id.get(instance_id):
            entry.record(now, instance)
        else:
            entry = LaggedValue(self._lag_seconds, now, instance)
            self._entries_by_id[instance_id] = entry

    def _visible_instances(self, now: float) -> list[Instance]:
        visible = []
        for instance_id in sorted(self._entries_by_id):
            recorded = self._entries_by_id[instance_id].visible_at(now)
            if (
                recorded
                and now - self._lag_seconds - recorded.at <= self._expiry_seconds
            ):
                visible.append(recorded.value)
        return visible


def _is_key_too_long(key: str) -> bool:
    return len(key.encode()) > MAX_KEY_BYTES


def _is_value_too_large(write: Write) -> bool:
    return write.value is not None and len(write.value) > MAX_ROW_BYTES
