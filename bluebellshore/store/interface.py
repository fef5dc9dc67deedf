"""Interfaces of the platform's services: tables, objects and the instance list."""

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

import msgspec

from bluebellshore.ids import InstanceId, ZoneName

__all__ = [
    "ABSENT",
    "MAX_CLOCK_DRIFT_SHARE",
    "CLOCK_RESOLUTION_SECONDS",
    "ChangeFeedTable",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "InstanceState",
    "MAX_KEY_BYTES",
    "MAX_ROW_BYTES",
    "MAX_TRANSACTION_WRITES",
    "ObjectStore",
    "Row",
    "StoreTime",
    "TableChange",
    "TableService",
    "TableSnapshot",
    "VERSIONS_PER_ERA",
    "Write",
    "era_of",
    "version_in_era",
]

#: Versions of one era of the store. The store gives its own versions out again each
#: time that it comes back from an older copy; the era that it names tells them apart.
VERSIONS_PER_ERA = 10**12
#: ``Write.expect`` of a row that must not exist.
ABSENT = 0
#: Writes in one transaction. The platform accepts 100 entries in a call and counts the
#: condition and the value of a write as one each.
MAX_TRANSACTION_WRITES = 50
#: Length of a row's value; the platform's default limit.
MAX_ROW_BYTES = 64 * 1024
#: Length of a key in UTF-8; the platform's limit for each of its strings.
MAX_KEY_BYTES = 200


#: Share by which a process's monotonic clock may run faster than the store's clock. It
#: may run slower by any amount, since it stops while its machine is suspended.
MAX_CLOCK_DRIFT_SHARE = 0.05
#: Resolution of the store's clock in its answers. The store may round up or down.
CLOCK_RESOLUTION_SECONDS = 0.001


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    :param version: increases with each write of the row, by more than one if other
        rows were written in between: the versions of all rows come from one counter.
        It also increases when the store comes back from an older copy.
    """

    key: str
    version: int
    value: bytes


def era_of(version: int) -> int:
    """Return the era of the store in which it gave out a version."""
    return version // VERSIONS_PER_ERA


def version_in_era(era: int, version: int) -> int:
    """Return a version that is ordered by its era first.

    :param version: as the store gave it out in that era; :data:`ABSENT` stays as it is.
    """
    return era * VERSIONS_PER_ERA + version if version != ABSENT else ABSENT


class StoreTime(msgspec.Struct, frozen=True):
    """Reading of the store's steady clock, received with an answer.

    :param store_seconds: time of the store's clock.
    :param local_seconds: time of this process's monotonic clock when the answer
        arrived.
    :param called_seconds: time of this process's monotonic clock when the call began.
    """

    store_seconds: float
    local_seconds: float
    called_seconds: float

    def latest_at(self, local_seconds: float) -> float:
        """Return the latest time the store's clock can have had at a local time.

        Allows for a local clock that has run fast or stood still since then, and for
        the resolution of the store's clock.

        :param local_seconds: time of this process's monotonic clock. If it is after
            the call began, the time of the call is taken instead.
        """
        since = max(0.0, self.called_seconds - local_seconds)
        return (
            self.store_seconds
            + CLOCK_RESOLUTION_SECONDS
            - since / (1 + MAX_CLOCK_DRIFT_SHARE)
        )


class Write(msgspec.Struct, frozen=True):
    """One conditional write of a transaction.

    :param expect: version that the row must have; :data:`ABSENT` if the row must not
        exist.
    :param value: new value; None to delete the row.
    """

    key: str
    expect: int
    value: bytes | None


class TableSnapshot(msgspec.Struct, frozen=True):
    """All rows of a table.

    :param version: version of the store at which the table was read, from which
        :meth:`ChangeFeedTable.feed` continues.
    """

    rows_by_key: dict[str, Row]
    version: int


class TableChange(msgspec.Struct, frozen=True):
    """Changes of a table; empty if a wait for changes timed out.

    :param rows: rows written, each with its latest value.
    :param removed_by_key: version at which each deleted row was removed.
    :param version: version of the store after these changes, from which the next feed
        continues.
    """

    rows: list[Row]
    removed_by_key: dict[str, int]
    version: int


class InstanceRole(Enum):
    """Program that an instance runs."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class InstanceState(Enum):
    """State of an instance in the platform's instance list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """Entry of the instance list.

    :param address: ``host:port`` of a sidecar's internal protocol, or of a router's
        operator port.
    """

    instance_id: InstanceId
    role: InstanceRole
    zone: ZoneName
    address: str
    state: InstanceState = InstanceState.LIVE


class TableService(Protocol):
    """Transactional table service.

    The table of a row is the part of its key before the first slash; each key and
    each prefix must contain its table. Each method raises
    :class:`~bluebellshore.errors.PlatformUnavailableError` if the platform did not
    answer; a transaction may then have taken effect, or may still take effect.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows. :return: rows by key, without absent rows."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key starts with `prefix` and is above `after`.

        :param limit: most rows to return.
        """

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :param writes: at most :data:`MAX_TRANSACTION_WRITES`, each of another row.
        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """


class ChangeFeedTable(TableService, Protocol):
    """Table service with a change feed."""

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table, to be followed by :meth:`feed`."""

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table after a version.

        :param wait_seconds: time after which an empty change is returned.
        :raises HistoryLostError: the platform no longer has the changes after
            `after_version`; read a new :meth:`snapshot`.
        """


class ObjectStore(Protocol):
    """Object store of the platform."""

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object.

        :param if_absent: whether to keep an object that exists.
        :return: False if the object existed and was not replaced.
        """

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it is absent."""

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""


class InstanceList(Protocol):
    """List of live and leaving instances, which may be out of date."""

    async def fetch(self) -> list[Instance]:
        """Return the instances that the platform lists now."""

    async def announce(self, instance: Instance) -> None:
        """Write the entry of this process's instance; to be repeated while it runs."""
