"""Rows of the platform's stand-in: tables, parts, versions and history."""

import asyncio
import bisect
import time
from collections import deque
from collections.abc import Callable, Sequence
from typing import NamedTuple

__all__ = [
    "Change",
    "Entry",
    "HistoryGone",
    "Page",
    "RowId",
    "RowStore",
    "VersionsDiffer",
]


#: Age of the oldest copy that the store can come back from.
MAX_COPY_AGE_SECONDS = 60.0


class RowId(NamedTuple):
    """Where a row lies."""

    table: str
    part: str
    key: str


class Entry(NamedTuple):
    """A row as it stands."""

    row_id: RowId
    version: int
    value: bytes


class Change(NamedTuple):
    """A row that was written, or removed when it has no value."""

    row_id: RowId
    version: int
    value: bytes | None
    at: float


class Page(NamedTuple):
    """Rows of one moment, in order of their keys."""

    entries: list[Entry]
    has_more: bool


class _Undo(NamedTuple):
    """What a transaction changed.

    :param version: version of the store before it.
    :param entries_by_row: the rows that it wrote or removed, as they were before.
    """

    at: float
    version: int
    entries_by_row: dict[RowId, Entry | None]


class VersionsDiffer(Exception):
    """Rows had other versions; carries those that exist among the ones named."""

    def __init__(self, entries: list[Entry]):
        super().__init__("versions differ")
        self.entries = entries


class HistoryGone(Exception):
    """The changes that were asked for are forgotten, or their version is unknown."""


class RowStore:
    """All rows; one counter grows with each transaction.

    :param history_seconds: time for which changes are remembered.
    """

    def __init__(
        self,
        history_seconds: float,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.version = 0
        self._history_seconds = history_seconds
        self._clock = clock
        self._entries: dict[RowId, Entry] = {}
        self._keys: dict[str, dict[str, list[str]]] = {}
        self._history: deque[Change] = deque()
        self._forgotten_version = 0
        self._undo: deque[_Undo] = deque()
        #: How often the store has come back from an older copy.
        self.era = 0
        self._changed = asyncio.Event()

    @property
    def tables(self) -> set[str]:
        """Names of the tables that ever had a row."""
        return set(self._keys)

    def transact(
        self,
        expected: dict[RowId, int],
        written: dict[RowId, bytes],
        removed: Sequence[RowId],
    ) -> int:
        """Apply all or nothing. :return: the transaction's version.

        :raises VersionsDiffer: a row has another version than expected.
        """
        if any(self._version_of(row_id) != v for row_id, v in expected.items()):
            raise VersionsDiffer(
                [self._entries[i] for i in expected if i in self._entries]
            )
        rows = [*written, *removed]
        before = {row_id: self._entries.get(row_id) for row_id in rows}
        self._undo.append(_Undo(self._clock(), self.version, before))
        while self._undo[0].at < self._clock() - MAX_COPY_AGE_SECONDS:
            self._undo.popleft()
        self.version += 1
        for row_id, value in written.items():
            self._write(row_id, value)
        for row_id in removed:
            self._remove(row_id)
        self._wake()
        return self.version

    def page(
        self, table: str, part: str, start: str, target: str, rows: int, size: int
    ) -> Page:
        """Read rows from key `start` on, below `target` when it is not empty.

        :param rows: most rows of the page.
        :param size: most bytes of values of the page.
        """
        keys = self._keys.get(table, {}).get(part, [])
        first = bisect.bisect_left(keys, start)
        end = bisect.bisect_left(keys, target) if target else len(keys)
        entries: list[Entry] = []
        for key in keys[first:end]:
            entry = self._entries[RowId(table, part, key)]
            size -= len(entry.value)
            if len(entries) == rows or (entries and size < 0):
                return Page(entries, True)
            entries.append(entry)
        return Page(entries, False)

    def parts(
        self, table: str, after: str | None, limit: int
    ) -> tuple[list[str], bool]:
        """Return the parts of a table that have rows, above `after` if given."""
        by_part = self._keys.get(table, {})
        parts = sorted(part for part, keys in by_part.items() if keys)
        above = [part for part in parts if after is None or part > after]
        return above[:limit], len(above) > limit

    async def wait_changes(
        self, table: str, after_version: int, seconds: float, closing: asyncio.Event
    ) -> list[Change]:
        """Return the changes of a table after a version, once there are any.

        :param closing: ends the wait when it is set.
        :raises HistoryGone: they are forgotten.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            changed = self._changed
            changes = self._changes(table, after_version)
            left = deadline - loop.time()
            if changes or left <= 0 or closing.is_set():
                return changes
            waits = [asyncio.ensure_future(e.wait()) for e in (changed, closing)]
            await asyncio.wait(waits, timeout=left, return_when=asyncio.FIRST_COMPLETED)
            for wait in waits:
                wait.cancel()

    def forget_history(self) -> None:
        """Forget all changes so far."""
        self._history.clear()
        self._forgotten_version = self.version
        self._wake()

    def restore(self, seconds: float) -> None:
        """Come back from a copy of `seconds` ago; later versions are given out again.

        :param seconds: at most :data:`MAX_COPY_AGE_SECONDS`.
        """
        copied_at = self._clock() - seconds
        while self._undo and self._undo[-1].at > copied_at:
            undo = self._undo.pop()
            for row_id, entry in undo.entries_by_row.items():
                self._put_back(row_id, entry)
            self.version = undo.version
        while self._history and self._history[-1].version > self.version:
            self._history.pop()
        self.era += 1
        self._wake()

    def _put_back(self, row_id: RowId, entry: Entry | None) -> None:
        keys = self._keys.setdefault(row_id.table, {}).setdefault(row_id.part, [])
        if row_id in self._entries:
            del keys[bisect.bisect_left(keys, row_id.key)]
            del self._entries[row_id]
        if entry is not None:
            bisect.insort(keys, row_id.key)
            self._entries[row_id] = entry

    def _changes(self, table: str, after_version: int) -> list[Change]:
        oldest = self._clock() - self._history_seconds
        while self._history and self._history[0].at < oldest:
            self._forgotten_version = self._history.popleft().version
        if not self._forgotten_version <= after_version <= self.version:
            raise HistoryGone
        return [
            change
            for change in self._history
            if change.version > after_version and change.row_id.table == table
        ]

    def _version_of(self, row_id: RowId) -> int:
        entry = self._entries.get(row_id)
        return entry.version if entry else 0

    def _write(self, row_id: RowId, value: bytes) -> None:
        if row_id not in self._entries:
            by_part = self._keys.setdefault(row_id.table, {})
            bisect.insort(by_part.setdefault(row_id.part, []), row_id.key)
        self._entries[row_id] = Entry(row_id, self.version, value)
        self._note(row_id, value)

    def _remove(self, row_id: RowId) -> None:
        if self._entries.pop(row_id, None) is None:
            return
        keys = self._keys[row_id.table][row_id.part]
        del keys[bisect.bisect_left(keys, row_id.key)]
        self._note(row_id, None)

    def _note(self, row_id: RowId, value: bytes | None) -> None:
        self._history.append(Change(row_id, self.version, value, self._clock()))

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
