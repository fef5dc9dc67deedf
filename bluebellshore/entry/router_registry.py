"""Registry of entry routers in the platform's store, by which they find each other."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.ids import IncarnationId, InstanceId
from bluebellshore.store import ABSENT, ChangeFeedTable, Row, Write

__all__ = ["RouterRegistry"]

ROUTERS_TABLE = "routers"
#: Pause between reads of the registry; peers pass on new addresses sooner.
REFRESH_SECONDS = 5.0


class _RouterRow(msgspec.Struct):
    """Stored value of a router's row."""

    address: str
    incarnation: IncarnationId


class RouterRegistry:
    """Keeps this router's row in the registry, and reads the rows of others.

    :param address: ``host:port`` at which peers reach this router.
    :param add_addresses: takes the addresses of all registered routers.
    """

    def __init__(
        self,
        table: ChangeFeedTable,
        instance_id: InstanceId,
        incarnation: IncarnationId,
        address: str,
        add_addresses: Callable[[list[str]], None],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self._table = table
        self._key = f"{ROUTERS_TABLE}/{instance_id}"
        self._own_row = _RouterRow(address, incarnation)
        self._add_addresses = add_addresses
        self._registered_count = 0
        self._leaving = False
        self._updating = asyncio.Lock()

    @property
    def registered_count(self) -> int:
        """Number of routers in the registry as last read, this one included."""
        return self._registered_count

    async def run(self) -> None:
        """Refresh the registry at intervals until cancelled."""
        while True:
            try:
                async with self._updating:
                    await self._refresh()
            except PlatformError as error:
                self._log.notice("members", str(error), listed=self._registered_count)
            await asyncio.sleep(REFRESH_SECONDS * random.uniform(0.8, 1.2))

    async def deregister(self) -> None:
        """Remove this router's row, unless another incarnation replaced it.

        The row is not written again by a later refresh.
        """
        self._leaving = True
        try:
            async with self._updating:
                await self._remove_own_row()
        except PlatformError as error:
            self._log.notice("members", str(error), row_left=self._key)

    async def _remove_own_row(self) -> None:
        rows = (await self._table.snapshot(ROUTERS_TABLE)).rows_by_key
        row = rows.get(self._key)
        if row is not None and self._is_own_row(row):
            await self._table.transact([Write(self._key, row.version, None)])

    async def _refresh(self) -> None:
        rows = (await self._table.snapshot(ROUTERS_TABLE)).rows_by_key
        own = rows.get(self._key)
        if not self._leaving and (own is None or not self._is_own_row(own)):
            version = ABSENT if own is None else own.version
            value = msgspec.json.encode(self._own_row)
            await self._table.transact([Write(self._key, version, value)])
        router_rows = [self._decode(row) for row in rows.values()]
        self._registered_count = len({*rows, self._key})
        self._add_addresses(
            [router_row.address for router_row in router_rows if router_row is not None]
        )

    def _is_own_row(self, row: Row) -> bool:
        return self._decode(row) == self._own_row

    def _decode(self, row: Row) -> _RouterRow | None:
        try:
            return decode_json(row.value, _RouterRow)
        except msgspec.MsgspecError as error:
            self._log.notice("row", str(error), key=row.key, row_version=row.version)
            return None
