"""In-memory twins of the platform's services, with faults for tests."""

import asyncio
import bisect
import random
import time
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import msgspec

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.ids import InstanceId
from bluebellshore.store.interface import (
    ABSENT,
    Instance,
    InstanceState,
    Row,
    Write,
)
from bluebellshore.store.lagged import LaggedValue

__all__ = [
    "MemoryFaults",
    "MemoryInstances",
    "MemoryObjects",
    "MemoryTable",
    "OperationCounts",
]

PEER = "memory"


@dataclass
class MemoryFaults:
    """Faults that the twins show; may be changed at any time.

    :param outage: every operation fails before it takes effect.
    :param fail_next: number of operations that fail before they take effect.
    :param lose_next: number of table and object writes whose answer is lost after
        they have taken effect.
    :param lose_answers: probability that the answer of such a write is lost.
    :param delay_seconds: delay before an operation takes effect.
    :param answer_delay_seconds: delay between a write's effect and its answer.
    """

    outage: bool = False
    fail_next: int = 0
    lose_next: int = 0
    lose_answers: float = 0.0
    delay_seconds: float = 0.0
    answer_delay_seconds: float = 0.0
    rng: random.Random = field(default_factory=lambda: random.Random(1))

    @asynccontextmanager
    async def around(self, step: str, *, write: bool = False) -> AsyncIterator[None]:
        """Surround an operation's effect with the faults in force.

        :raises PlatformUnavailableError: before the effect, or after it when the
            answer is lost.
        """
        if self.delay_seconds:
            await asyncio.sleep(self.delay_seconds)
        if self._fails():
            raise PlatformUnavailableError("injected outage", step=step, peer=PEER)
        yield
        if not write:
            return
        if self.answer_delay_seconds:
            await asyncio.sleep(self.answer_delay_seconds)
        if self._loses_answer():
            raise PlatformUnavailableError("injected loss", step=step, peer=PEER)

    def _fails(self) -> bool:
        if self.outage:
            return True
        if self.fail_next > 0:
            self.fail_next -= 1
            return True
        return False

    def _loses_answer(self) -> bool:
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        return self.lose_answers > 0 and self.rng.random() < self.lose_answers


class OperationCounts(msgspec.Struct):
    """Operations that took effect, for measuring the load on the platform.

    :param conflicts: transactions refused because of a row's version.
    :param rate_limited: operations refused because of a rate limit.
    """

    transactions: int = 0
    conflicts: int = 0
    rows_written: int = 0
    reads: int = 0
    rows_read: int = 0
    scans: int = 0
    rows_scanned: int = 0
    object_puts: int = 0
    object_gets: int = 0
    object_deletes: int = 0
    list_fetches: int = 0
    announcements: int = 0
    rate_limited: int = 0


class MemoryTable:
    """In-memory :class:`~bluebellshore.store.TableService`."""

    def __init__(
        self,
        faults: MemoryFaults | None = None,
        counts: OperationCounts | None = None,
    ):
        self.faults = faults or MemoryFaults()
        self.counts = counts or OperationCounts()
        self.rows_by_key: dict[str, Row] = {}
        self._keys: list[str] = []

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows; absent ones are left out. :return: rows by key."""
        async with self.faults.around("table.read"):
            rows = {
                key: self.rows_by_key[key] for key in keys if key in self.rows_by_key
            }
            self.counts.reads += 1
            self.counts.rows_read += len(rows)
        return rows

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key has `prefix` and is above `after`."""
        async with self.faults.around("table.scan"):
            rows = self._scan(prefix, after, limit)
            self.counts.scans += 1
            self.counts.rows_scanned += len(rows)
        return rows

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """
        async with self.faults.around("table.transact", write=True):
            self._check(writes)
            versions = {write.key: self._apply(write) for write in writes}
            self.counts.transactions += 1
            self.counts.rows_written += len(versions)
        return versions

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

    def _check(self, writes: Sequence[Write]) -> None:
        keys = [write.key for write in writes]
        if len(set(keys)) < len(keys):
            message = "a transaction writes a row twice"
            raise PlatformError(message, step="table.transact", peer=PEER)
        conflicts = [
            write.key for write in writes if self._version(write.key) != write.expect
        ]
        if conflicts:
            self.counts.conflicts += 1
            raise TransactionConflictError(conflicts, step="table.transact", peer=PEER)

    def _version(self, key: str) -> int:
        row = self.rows_by_key.get(key)
        return row.version if row else ABSENT

    def _apply(self, write: Write) -> int:
        """Write one row whose version has been checked. :return: its new version."""
        if write.value is None:
            self._delete(write.key)
            return ABSENT
        if write.key not in self.rows_by_key:
            bisect.insort(self._keys, write.key)
        version = write.expect + 1
        self.rows_by_key[write.key] = Row(write.key, version, write.value)
        return version

    def _delete(self, key: str) -> None:
        if self.rows_by_key.pop(key, None):
            del self._keys[bisect.bisect_left(self._keys, key)]


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
        """Store an object. :return: False when it existed and `if_absent`."""
        async with self.faults.around("objects.put", write=True):
            stored = not (if_absent and name in self.data_by_name)
            if stored:
                self.data_by_name[name] = bytes(data)
            self.counts.object_puts += 1
        return stored

    async def get(self, name: str) -> bytes | None:
        """Fetch an object, None when absent."""
        async with self.faults.around("objects.get"):
            self.counts.object_gets += 1
            data = self.data_by_name.get(name)
        return data

    async def delete(self, name: str) -> None:
        """Remove an object; absent ones are no error."""
        async with self.faults.around("objects.delete", write=True):
            self.counts.object_deletes += 1
            self.data_by_name.pop(name, None)


class MemoryInstances:
    """In-memory :class:`~bluebellshore.store.InstanceList`, which lags.

    :param lag_seconds: delay before a change shows.
    :param expiry_seconds: an entry not announced for this long disappears.
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
        """Return the list as the platform shows it now."""
        async with self.faults.around("instances.fetch"):
            self.counts.list_fetches += 1
            shown = self._shown(self._clock())
        return shown

    async def announce(self, instance: Instance) -> None:
        """Show or update this process's entry; to be repeated while it lives."""
        async with self.faults.around("instances.announce"):
            self.counts.announcements += 1
            self._record(instance)

    def set_state(self, instance_id: InstanceId, state: InstanceState) -> bool:
        """Mark an instance as the platform does; leaving outlasts announcements.

        :return: False when no such instance was announced.
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

    def _shown(self, now: float) -> list[Instance]:
        shown = []
        for instance_id in sorted(self._entries_by_id):
            recorded = self._entries_by_id[instance_id].shown(now)
            if (
                recorded
                and now - self._lag_seconds - recorded.at <= self._expiry_seconds
            ):
                shown.append(recorded.value)
        return shown
