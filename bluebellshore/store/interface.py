"""What the fleet needs from the platform: rows, objects and the instance list."""

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
    "Write",
]

#: ``Write.expect`` of a row that must not exist yet.
ABSENT = 0
#: Writes of one transaction. The platform takes 100 entries a call and counts a
#: write's condition and its value as one each.
MAX_TRANSACTION_WRITES = 50
#: Bytes of a row's value; the platform's usual setting.
MAX_ROW_BYTES = 64 * 1024
#: Bytes of a key in UTF-8; the platform's limit for each of its texts.
MAX_KEY_BYTES = 200


#: By how much a process's monotonic clock may be quicker than the store's. It may be
#: slower by any amount: it stands still while its machine is suspended.
MAX_CLOCK_DRIFT_SHARE = 0.05
#: Steps in which the store tells its clock; whether it rounds up or down is open.
CLOCK_RESOLUTION_SECONDS = 0.001


class Row(msgspec.Struct, frozen=True):
    """A row of the table service.

    :param version: grows with each write of the row, not by one: all rows take
        theirs from one counter.
    """

    key: str
    version: int
    value: bytes


class StoreTime(msgspec.Struct, frozen=True):
    """The store's steady clock, as an answer told it.

    :param store_seconds: by the store.
    :param local_seconds: by this process's monotonic clock when the answer came.
    :param asked_seconds: by the same clock when it was asked.
    """

    store_seconds: float
    local_seconds: float
    asked_seconds: float

    def latest_at(self, local_seconds: float) -> float:
        """Return what the store's clock showed at an earlier local time, at most.

        The local clock may have run too fast since, or stood still.
        """
        since = max(0.0, self.asked_seconds - local_seconds)
        return (
            self.store_seconds
            + CLOCK_RESOLUTION_SECONDS
            - since / (1 + MAX_CLOCK_DRIFT_SHARE)
        )


class Write(msgspec.Struct, frozen=True):
    """One conditional write of a transaction.

    :param expect: version that the row must have; :data:`ABSENT` for none.
    :param value: new value; None deletes the row.
    """

    key: str
    expect: int
    value: bytes | None


class TableSnapshot(msgspec.Struct, frozen=True):
    """A whole table.

    :param version: version of the store at which the table was read.
    """

    rows_by_key: dict[str, Row]
    version: int


class TableChange(msgspec.Struct, frozen=True):
    """What changed in a table; nothing when a wait for changes ended.

    :param removed_by_key: version at which each row was removed.
    :param version: where to go on.
    """

    rows: list[Row]
    removed_by_key: dict[str, int]
    version: int


class InstanceRole(Enum):
    """Which program an instance runs."""

    ROUTER = "router"
    SIDECAR = "sidecar"


class InstanceState(Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Instance(msgspec.Struct, frozen=True):
    """Entry of the instance list.

    :param address: ``host:port`` of the inner protocol of a sidecar, or of the
        operator port of a router.
    """

    instance_id: InstanceId
    role: InstanceRole
    zone: ZoneName
    address: str
    state: InstanceState = InstanceState.LIVE


class TableService(Protocol):
    """Transactional table service.

    The table of a row is the part of its key before the first slash; each key and
    each prefix names its table. Each method raises
    :class:`~bluebellshore.errors.PlatformUnavailableError` when no answer came; a
    transaction may then have taken effect, or take effect later.
    """

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows; absent ones are left out. :return: rows by key."""

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key has `prefix` and is above `after`."""

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :param writes: at most :data:`MAX_TRANSACTION_WRITES`.
        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """


class ChangeFeedTable(TableService, Protocol):
    """Table service that tells of changes."""

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table, to be followed by :meth:`feed`."""

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table.

        :raises HistoryLostError: changes after that version are forgotten.
        """


class ObjectStore(Protocol):
    """Object store of the platform."""

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object. :return: False when it existed and `if_absent`."""

    async def get(self, name: str) -> bytes | None:
        """Fetch an object, None when absent."""

    async def delete(self, name: str) -> None:
        """Remove an object; absent ones are no error."""


class InstanceList(Protocol):
    """Lagging list of live and leaving instances."""

    async def fetch(self) -> list[Instance]:
        """Return the list as the platform shows it now."""

    async def announce(self, instance: Instance) -> None:
        """Show or update this process's entry; to be repeated while it lives."""
