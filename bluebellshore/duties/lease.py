"""Lease rows with fencing numbers for duties that one router does at a time."""

import asyncio
import time
from collections.abc import Callable, Sequence

import eliot
import msgspec

from bluebellshore.errors import PlatformError, TransactionConflictError
from bluebellshore.ids import Epoch, IncarnationId
from bluebellshore.store.interface import ABSENT, Row, TableService, Write

__all__ = ["LeaseManager", "LeaseRow", "lease_key"]

RENEWALS_PER_LEASE = 3


class LeaseRow(msgspec.Struct):
    """Row ``lease/<duty>``.

    :param epoch: fencing number; grows with each new holder.
    :param renewals: grows with each write of the holder.
    """

    holder: IncarnationId
    epoch: Epoch
    renewals: int = 0


class _Seen(msgspec.Struct):
    """A lease row as read last and the time since which it stands unchanged."""

    version: int
    row: LeaseRow
    at: float


def lease_key(name: str) -> str:
    """Return the key of a duty's lease row."""
    return f"lease/{name}"


class LeaseManager:
    """Takes and renews leases for one router.

    Time is measured by this process's clock alone: a lease may be taken when its row
    stood unchanged for `lease_seconds` here. A holder that was paused may believe
    in its lease for longer; the writes of its duties therefore go through
    :meth:`transact` or carry the epoch.
    """

    def __init__(
        self,
        table: TableService,
        holder: IncarnationId,
        *,
        lease_seconds: float = 10.0,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._table = table
        self._holder = holder
        self._lease_seconds = lease_seconds
        self._clock = clock
        self._seen: dict[str, _Seen] = {}
        self._lock = asyncio.Lock()

    async def acquire(self, name: str) -> Epoch | None:
        """Take or renew a lease.

        :return: the fencing number; None when another holds it or the platform is out.
        """
        async with self._lock:
            try:
                return await self._acquire(name)
            except PlatformError as error:
                eliot.log_message("lease_failed", duty=name, error=str(error))
                return None

    async def transact(self, name: str, writes: Sequence[Write]) -> None:
        """Apply `writes` only while this router holds the lease.

        :raises TransactionConflictError: the lease is lost or a row has changed.
        :raises PlatformError: the answer is open.
        """
        async with self._lock:
            seen = self._seen.get(name)
            if seen is None or seen.row.holder != self._holder:
                raise TransactionConflictError(
                    [lease_key(name)], step="lease.transact", peer=name
                )
            await self._write(name, seen.version, self._renewed(seen.row), writes)

    async def release_all(self) -> None:
        """Give up all leases so that others need not wait."""
        async with self._lock:
            for name, seen in list(self._seen.items()):
                if seen.row.holder != self._holder:
                    continue
                row = LeaseRow(IncarnationId(""), seen.row.epoch)
                try:
                    await self._write(name, seen.version, row)
                except PlatformError as error:
                    eliot.log_message("lease_not_dropped", duty=name, error=str(error))

    async def _acquire(self, name: str) -> Epoch | None:
        now = self._clock()
        seen = self._see(name, await self._read(name), now)
        if seen is None:
            return await self._write(name, ABSENT, LeaseRow(self._holder, Epoch(1)))
        if seen.row.holder == self._holder:
            if now - seen.at < self._lease_seconds / RENEWALS_PER_LEASE:
                return seen.row.epoch
            return await self._write(name, seen.version, self._renewed(seen.row))
        if seen.row.holder and now - seen.at < self._lease_seconds:
            return None
        taken = LeaseRow(self._holder, Epoch(seen.row.epoch + 1))
        return await self._write(name, seen.version, taken)

    def _see(self, name: str, row: Row | None, now: float) -> _Seen | None:
        if row is None:
            return None
        seen = self._seen.get(name)
        if seen is None or seen.version != row.version:
            value = msgspec.json.decode(row.value, type=LeaseRow)
            seen = self._seen[name] = _Seen(row.version, value, now)
        return seen

    def _renewed(self, row: LeaseRow) -> LeaseRow:
        return msgspec.structs.replace(row, renewals=row.renewals + 1)

    async def _read(self, name: str) -> Row | None:
        key = lease_key(name)
        return (await self._table.read([key])).get(key)

    async def _write(
        self, name: str, expect: int, row: LeaseRow, writes: Sequence[Write] = ()
    ) -> Epoch:
        key = lease_key(name)
        own = Write(key, expect, msgspec.json.encode(row))
        versions = await self._table.transact([own, *writes])
        self._seen[name] = _Seen(versions[key], row, self._clock())
        return row.epoch
