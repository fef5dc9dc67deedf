"""Leases with fencing tokens for duties that one router performs at a time."""

import asyncio
import time
from collections.abc import Callable, Sequence

import eliot
import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError, TransactionConflictError
from bluebellshore.ids import Epoch, IncarnationId
from bluebellshore.store.interface import ABSENT, Row, TableService, Write

__all__ = ["LeaseManager", "LeaseRow", "lease_key"]

#: Renewals within the time of a lease.
RENEWALS_PER_LEASE = 3


class LeaseRow(msgspec.Struct):
    """Row ``lease/<duty>``.

    :param holder: router incarnation that holds the lease; empty if it was released.
    :param epoch: fencing token; increases by one with each new holder.
    :param renewals: renewals by this holder so far.
    """

    holder: IncarnationId
    epoch: Epoch
    renewals: int = 0


class _ObservedLease(msgspec.Struct):
    """A lease row as this router last read or wrote it.

    :param version: version of the row.
    :param unchanged_since: monotonic time in seconds at which this version was first
        seen here.
    """

    version: int
    row: LeaseRow
    unchanged_since: float


def lease_key(name: str) -> str:
    """Return the key of the lease row of a duty."""
    return f"lease/{name}"


class LeaseManager:
    """Acquires and renews the leases of one router.

    Clocks of different machines are not compared: another router's lease has expired
    when this process has seen its row unchanged for `lease_seconds` of its own clock.
    A holder that was paused may not notice that its lease has expired. The writes of a
    duty therefore go through :meth:`transact` or carry the epoch as fencing token.

    :param holder: this router's incarnation.
    :param lease_seconds: time without renewal after which a lease expires.
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
        self._observed_by_name: dict[str, _ObservedLease] = {}
        self._lock = asyncio.Lock()
        self._released = False

    async def acquire(self, name: str) -> Epoch | None:
        """Acquire a lease, or renew it if this router holds it.

        :return: the fencing token; None if another router holds the lease, the
            platform did not answer, or this router has released its leases.
        """
        async with self._lock:
            if self._released:
                return None
            try:
                return await self._acquire(name)
            except PlatformError as error:
                eliot.log_message("lease_failed", duty=name, error=str(error))
                return None

    async def transact(self, name: str, writes: Sequence[Write]) -> None:
        """Apply `writes` only if this router still holds the lease, and renew it.

        :raises TransactionConflictError: another router holds the lease, or a row has
            another version than expected.
        :raises PlatformError: the platform did not answer; the writes may have taken
            effect.
        """
        async with self._lock:
            observed = self._observed_by_name.get(name)
            if observed is None or observed.row.holder != self._holder:
                raise TransactionConflictError(
                    [lease_key(name)], step="lease.transact", peer=name
                )
            await self._write(
                name, observed.version, self._renewed(observed.row), writes
            )

    async def release_all(self) -> None:
        """Release all leases so that other routers need not wait for them to expire.

        None is acquired any more.
        """
        async with self._lock:
            self._released = True
            for name, observed in list(self._observed_by_name.items()):
                if observed.row.holder != self._holder:
                    continue
                row = LeaseRow(IncarnationId(""), observed.row.epoch)
                try:
                    await self._write(name, observed.version, row)
                except PlatformError as error:
                    eliot.log_message("lease_not_dropped", duty=name, error=str(error))

    async def _acquire(self, name: str) -> Epoch | None:
        now = self._clock()
        observed = self._observe(name, await self._read(name), now)
        if observed is None:
            return await self._write(name, ABSENT, LeaseRow(self._holder, Epoch(1)))
        if observed.row.holder == self._holder:
            if (
                now - observed.unchanged_since
                < self._lease_seconds / RENEWALS_PER_LEASE
            ):
                return observed.row.epoch
            return await self._write(
                name, observed.version, self._renewed(observed.row)
            )
        if observed.row.holder and now - observed.unchanged_since < self._lease_seconds:
            return None
        new_row = LeaseRow(self._holder, Epoch(observed.row.epoch + 1))
        return await self._write(name, observed.version, new_row)

    def _observe(self, name: str, row: Row | None, now: float) -> _ObservedLease | None:
        """Remember a row that was read and since when it has this version."""
        if row is None:
            return None
        observed = self._observed_by_name.get(name)
        if observed is None or observed.version != row.version:
            value = decode_json(row.value, LeaseRow)
            observed = self._observed_by_name[name] = _ObservedLease(
                row.version, value, now
            )
        return observed

    def _renewed(self, row: LeaseRow) -> LeaseRow:
        """Return the row of the same lease, renewed once more."""
        return msgspec.structs.replace(row, renewals=row.renewals + 1)

    async def _read(self, name: str) -> Row | None:
        key = lease_key(name)
        return (await self._table.read([key])).get(key)

    async def _write(
        self, name: str, expect: int, row: LeaseRow, writes: Sequence[Write] = ()
    ) -> Epoch:
        key = lease_key(name)
        lease_write = Write(key, expect, msgspec.json.encode(row))
        versions = await self._table.transact([lease_write, *writes])
        self._observed_by_name[name] = _ObservedLease(versions[key], row, self._clock())
        return row.epoch
