"""The instance list, kept in rows of the table service."""

import time
from collections.abc import Callable

import eliot
import msgspec

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
#: Announcements that may fail before an entry counts no more.
MAX_MISSED_ANNOUNCEMENTS = 5
#: Time for which an entry counts unless its writer says otherwise.
VALID_SECONDS = 5.0
#: Time after which the row of an instance that is gone is removed.
REMOVE_SECONDS = 600.0
#: Rows removed at one look; the next one goes on.
REMOVALS = 20
#: Tries of a write whose row others change meanwhile.
TRIES = 5
#: Changes after which a feed may hold more.
FULL_FEED = 500


class _Entry(msgspec.Struct, frozen=True):
    """Value of an instance's row.

    :param at: Unix time of the announcement by the writer's clock.
    :param valid_seconds: time for which it counts.
    """

    instance: Instance
    at: float
    valid_seconds: float


class _Sighting(msgspec.Struct):
    """Row version that was seen last and when, by the reader's clock, it was new."""

    version: int
    at: float


class TableInstances:
    """:class:`~bluebellshore.store.InstanceList` over rows.

    An entry counts while its row keeps changing. A reader that sees it for the first
    time goes by its time stamp; from then on by the reader's own clock, and the time
    for which the table could not be read is left out. An instance that is marked as
    leaving stays so, whatever it announces.

    :param valid_seconds: time for which this process's announcements count.
    """

    def __init__(
        self,
        table: ChangeFeedTable,
        *,
        valid_seconds: float = VALID_SECONDS,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ):
        self._table = table
        self._valid_seconds = valid_seconds
        self._clock = clock
        self._wall_clock = wall_clock
        self._rows_by_key: dict[str, Row] = {}
        self._version: int | None = None
        self._seen_by_key: dict[str, _Sighting] = {}
        self._looked_at = 0.0
        self._failed = False
        self._own_version_by_key: dict[str, int] = {}

    async def fetch(self) -> list[Instance]:
        """Return the instances that count now, in order of their ids."""
        try:
            await self._refresh()
        except PlatformError:
            self._failed = True
            raise
        now = self._clock()
        self._leave_out_failures(now)
        shown, gone = [], []
        for key, row in sorted(self._rows_by_key.items()):
            if not key.startswith(ENTRY_PREFIX):
                continue
            entry = _decode(row)
            if entry is None:
                continue
            silent_seconds = now - self._sight(row, entry, now)
            if silent_seconds <= entry.valid_seconds:
                shown.append(self._marked(entry.instance))
            elif silent_seconds > entry.valid_seconds + REMOVE_SECONDS:
                gone.append(row)
        await self._remove(gone[:REMOVALS])
        return shown

    async def announce(self, instance: Instance) -> None:
        """Show or update this process's entry; to be repeated while it lives."""
        entry = _Entry(instance, self._wall_clock(), self._valid_seconds)
        key = ENTRY_PREFIX + instance.instance_id
        await self._write(key, msgspec.json.encode(entry))

    async def set_state(self, instance_id: InstanceId, state: InstanceState) -> bool:
        """Mark an instance; leaving outlasts its announcements.

        :return: False when no such instance was announced.
        """
        entry_key = ENTRY_PREFIX + instance_id
        if entry_key not in await self._table.read([entry_key]):
            return False
        leaving = state is InstanceState.LEAVING
        await self._write(MARK_PREFIX + instance_id, b"{}" if leaving else None)
        return True

    async def _refresh(self) -> None:
        """Bring the rows up to date."""
        while self._version is not None:
            try:
                change = await self._table.feed(INSTANCE_TABLE, self._version, 0.0)
            except HistoryLostError as error:
                eliot.log_message("instance_history_lost", reason=str(error))
                break
            self._apply(change)
            if len(change.rows) + len(change.removed_by_key) < FULL_FEED:
                return
        snapshot = await self._table.snapshot(INSTANCE_TABLE)
        self._rows_by_key = dict(snapshot.rows_by_key)
        self._version = snapshot.version
        self._seen_by_key = {
            key: seen
            for key, seen in self._seen_by_key.items()
            if key in self._rows_by_key
        }

    def _apply(self, change: TableChange) -> None:
        for row in change.rows:
            known = self._rows_by_key.get(row.key)
            if known is None or known.version < row.version:
                self._rows_by_key[row.key] = row
        for key, version in change.removed_by_key.items():
            known = self._rows_by_key.get(key)
            if known is not None and known.version < version:
                del self._rows_by_key[key]
                self._seen_by_key.pop(key, None)
        self._version = change.version

    def _leave_out_failures(self, now: float) -> None:
        """Do not age entries by the time for which the table could not be read."""
        if self._failed:
            for seen in self._seen_by_key.values():
                seen.at += now - self._looked_at
        self._failed = False
        self._looked_at = now

    def _sight(self, row: Row, entry: _Entry, now: float) -> float:
        """Return when a row was new, by this process's clock."""
        seen = self._seen_by_key.get(row.key)
        if seen is None:
            age = max(0.0, self._wall_clock() - entry.at)
            seen = self._seen_by_key[row.key] = _Sighting(row.version, now - age)
        elif seen.version != row.version:
            seen.version, seen.at = row.version, now
        return seen.at

    def _marked(self, instance: Instance) -> Instance:
        if MARK_PREFIX + instance.instance_id not in self._rows_by_key:
            return instance
        return msgspec.structs.replace(instance, state=InstanceState.LEAVING)

    async def _write(self, key: str, value: bytes | None) -> None:
        """Write a row, or remove it, whatever its version."""
        for left in reversed(range(TRIES)):
            expect = self._own_version_by_key.pop(key, None)
            if expect is None:
                row = (await self._table.read([key])).get(key)
                expect = ABSENT if row is None else row.version
            try:
                versions = await self._table.transact([Write(key, expect, value)])
            except TransactionConflictError:
                if not left:
                    raise
            else:
                self._own_version_by_key[key] = versions[key]
                return

    async def _remove(self, rows: list[Row]) -> None:
        """Remove the rows of instances that are long gone."""
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
            # Another reader removes them too, or a later look does.
            eliot.log_message("instances_not_removed", reason=str(error))


def _decode(row: Row) -> _Entry | None:
    try:
        return msgspec.json.decode(row.value, type=_Entry)
    except (msgspec.DecodeError, ValueError) as error:
        eliot.log_message("instance_malformed", key=row.key, reason=str(error))
        return None
