"""The list of running instances, kept in rows of the table service."""

import time
from collections.abc import Callable

import eliot
import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    TransactionConflictError,
)
from bluebellshore.ids import InstanceId
from bluebellshore.store.interface import (
    ABSENT,
    ChangeFeedTable,
    Instance,
    InstanceState,
    Row,
    TableChange,
    Write,
)

__all__ = ["INSTANCE_TABLE", "MAX_MISSED_ANNOUNCEMENTS", "TableInstances"]

INSTANCE_TABLE = "instances"
ENTRY_PREFIX = f"{INSTANCE_TABLE}/entry/"
MARK_PREFIX = f"{INSTANCE_TABLE}/mark/"
#: Announcements that may fail in a row before an instance is no longer listed.
MAX_MISSED_ANNOUNCEMENTS = 5
#: Time for which an entry is valid after an announcement, unless the process that
#: announces it chooses another.
DEFAULT_VALID_SECONDS = 5.0
#: Time after the end of its validity at which an entry's row is removed.
REMOVAL_DELAY_SECONDS = 600.0
#: Entries removed in one fetch; later fetches remove the rest.
MAX_REMOVALS_PER_FETCH = 20
#: Tries of a write whose row other processes change at the same time.
MAX_WRITE_TRIES = 5
#: A feed answer with at least this many changes may be incomplete; the feed is then
#: read again.
FULL_FEED_CHANGES = 500


class _Entry(msgspec.Struct, frozen=True):
    """Value of the row of an instance.

    :param at: Unix time in seconds of the announcement, by the writer's clock.
    :param valid_seconds: time for which the entry is valid after an announcement.
    """

    instance: Instance
    at: float
    valid_seconds: float


class _ObservedVersion(msgspec.Struct):
    """Row version that was read last.

    :param changed_at: time in seconds at which the row got this version, by the
        reader's monotonic clock.
    """

    version: int
    changed_at: float


class TableInstances:
    """:class:`~bluebellshore.store.InstanceList` in rows of the table service.

    An instance is listed while its row keeps changing. When a reader first sees the
    row, it takes the age from the announcement's time stamp. Later it measures with
    its own clock for how long the row has been unchanged, without the time in which it
    could not read the table. An instance that was marked as leaving is listed as
    leaving, whatever it announces.

    :param valid_seconds: time for which an announcement of this process is valid.
    :param clock: monotonic clock, in seconds.
    :param wall_clock: Unix time in seconds.
    """

    def __init__(
        self,
        table: ChangeFeedTable,
        *,
        valid_seconds: float = DEFAULT_VALID_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._table = table
        self._valid_seconds = valid_seconds
        self._clock = clock
        self._wall_clock = wall_clock
        self._rows_by_key: dict[str, Row] = {}
        self._feed_version: int | None = None
        self._observed_by_key: dict[str, _ObservedVersion] = {}
        self._last_success_at = 0.0
        self._last_fetch_failed = False
        self._own_version_by_key: dict[str, int] = {}

    async def fetch(self) -> list[Instance]:
        """Return the instances whose entries are valid, in order of their ids.

        :raises PlatformError: the table could not be read.
        """
        try:
            await self._refresh()
        except PlatformError:
            self._last_fetch_failed = True
            raise
        now = self._clock()
        self._exclude_failure_time(now)
        listed, stale = [], []
        for key, row in sorted(self._rows_by_key.items()):
            if not key.startswith(ENTRY_PREFIX):
                continue
            entry = _decode(row)
            if entry is None:
                continue
            unchanged_seconds = now - self._last_change_at(row, entry, now)
            if unchanged_seconds <= entry.valid_seconds:
                listed.append(self._with_leaving_mark(entry.instance))
            elif unchanged_seconds > entry.valid_seconds + REMOVAL_DELAY_SECONDS:
                stale.append(row)
        await self._remove(stale[:MAX_REMOVALS_PER_FETCH])
        return listed

    async def announce(self, instance: Instance) -> None:
        """Write the entry of this process's instance; to be repeated while it runs."""
        entry = _Entry(instance, self._wall_clock(), self._valid_seconds)
        key = ENTRY_PREFIX + instance.instance_id
        await self._write(key, msgspec.json.encode(entry))

    async def set_state(self, instance_id: InstanceId, state: InstanceState) -> bool:
        """Mark an instance as leaving, or remove the mark.

        The mark is kept while the instance goes on announcing itself.

        :return: False if no such instance has announced itself.
        """
        entry_key = ENTRY_PREFIX + instance_id
        if entry_key not in await self._table.read([entry_key]):
            return False
        leaving = state is InstanceState.LEAVING
        await self._write(MARK_PREFIX + instance_id, b"{}" if leaving else None)
        return True

    async def _refresh(self) -> None:
        """Update the local copy of the table from its change feed.

        A snapshot is read first, and again when the feed's history was lost.
        """
        while self._feed_version is not None:
            try:
                change = await self._table.feed(INSTANCE_TABLE, self._feed_version, 0.0)
            except HistoryLostError as error:
                eliot.log_message("instance_history_lost", reason=str(error))
                break
            self._apply(change)
            if len(change.rows) + len(change.removed_by_key) < FULL_FEED_CHANGES:
                return
        snapshot = await self._table.snapshot(INSTANCE_TABLE)
        self._rows_by_key = dict(snapshot.rows_by_key)
        self._feed_version = snapshot.version
        self._observed_by_key = {
            key: observed
            for key, observed in self._observed_by_key.items()
            if key in self._rows_by_key
        }

    def _apply(self, change: TableChange) -> None:
        for row in change.rows:
            current = self._rows_by_key.get(row.key)
            if current is None or current.version < row.version:
                self._rows_by_key[row.key] = row
        for key, version in change.removed_by_key.items():
            current = self._rows_by_key.get(key)
            if current is not None and current.version < version:
                del self._rows_by_key[key]
                self._observed_by_key.pop(key, None)
        self._feed_version = change.version

    def _exclude_failure_time(self, now: float) -> None:
        """Exclude from the age of entries the time in which reads failed."""
        if self._last_fetch_failed:
            for observed in self._observed_by_key.values():
                observed.changed_at += now - self._last_success_at
        self._last_fetch_failed = False
        self._last_success_at = now

    def _last_change_at(self, row: Row, entry: _Entry, now: float) -> float:
        """Return the time of the row's last change by this process's clock."""
        observed = self._observed_by_key.get(row.key)
        if observed is None:
            age_seconds = max(0.0, self._wall_clock() - entry.at)
            observed = self._observed_by_key[row.key] = _ObservedVersion(
                row.version, now - age_seconds
            )
        elif observed.version != row.version:
            observed.version, observed.changed_at = row.version, now
        return observed.changed_at

    def _with_leaving_mark(self, instance: Instance) -> Instance:
        if MARK_PREFIX + instance.instance_id not in self._rows_by_key:
            return instance
        return msgspec.structs.replace(instance, state=InstanceState.LEAVING)

    async def _write(self, key: str, value: bytes | None) -> None:
        """Write a row, whatever its version.

        :param value: None to remove the row.
        """
        for tries_left in reversed(range(MAX_WRITE_TRIES)):
            expect = self._own_version_by_key.pop(key, None)
            if expect is None:
                row = (await self._table.read([key])).get(key)
                expect = ABSENT if row is None else row.version
            try:
                versions = await self._table.transact([Write(key, expect, value)])
            except TransactionConflictError:
                if not tries_left:
                    raise
            else:
                self._own_version_by_key[key] = versions[key]
                return

    async def _remove(self, rows: list[Row]) -> None:
        """Remove the entries of stale instances, and their marks."""
        writes = []
        for row in rows:
            writes.append(Write(row.key, row.version, None))
            mark = MARK_PREFIX + row.key.removeprefix(ENTRY_PREFIX)
            if mark in self._rows_by_key:
                version = self._rows_by_key[mark].version
                writes.append(Write(mark, version, None))
        if not writes:
            return
        try:
            await self._table.transact(writes)
        except PlatformError as error:
            # Other readers remove these rows too, or a later fetch does.
            eliot.log_message("instances_not_removed", reason=str(error))


def _decode(row: Row) -> _Entry | None:
    try:
        return decode_json(row.value, _Entry)
    except (msgspec.DecodeError, ValueError) as error:
        eliot.log_message("instance_malformed", key=row.key, reason=str(error))
        return None
