"""Routers find each other by rows in the platform's store."""

import asyncio
import random
from collections.abc import Callable

import msgspec

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.errors import PlatformError
from bluebellshore.ids import IncarnationId, InstanceId
from bluebellshore.store import ABSENT, FeedingTable, Row, Write

__all__ = ["RouterRegistry"]

TABLE = "routers"
#: Pause between looks at the list; exchanges tell of new routers sooner.
LOOK_SECONDS = 5.0


class _Member(msgspec.Struct):
    address: str
    incarnation: IncarnationId


class RouterRegistry:
    """Keeps this router's row, and meets those whose rows it finds.

    :param meet: takes the addresses of other routers.
    """

    def __init__(
        self,
        table: FeedingTable,
        instance_id: InstanceId,
        incarnation: IncarnationId,
        address: str,
        meet: Callable[[list[str]], None],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self._table = table
        self._key = f"{TABLE}/{instance_id}"
        self._own = _Member(address, incarnation)
        self._meet = meet
        self._listed = 0

    @property
    def listed(self) -> int:
        """Routers in the list as last seen."""
        return self._listed

    async def run(self) -> None:
        """Look until cancelled."""
        while True:
            try:
                await self._look()
            except PlatformError as error:
                self._log.notice("members", str(error), listed=self._listed)
            await asyncio.sleep(LOOK_SECONDS * random.uniform(0.8, 1.2))

    async def leave(self) -> None:
        """Remove the own row."""
        try:
            rows = (await self._table.snapshot(TABLE)).rows_by_key
            row = rows.get(self._key)
            if row is not None and self._is_own(row):
                await self._table.transact([Write(self._key, row.version, None)])
        except PlatformError as error:
            self._log.notice("members", str(error), row_left=self._key)

    async def _look(self) -> None:
        rows = (await self._table.snapshot(TABLE)).rows_by_key
        own = rows.get(self._key)
        if own is None or not self._is_own(own):
            version = ABSENT if own is None else own.version
            value = msgspec.json.encode(self._own)
            await self._table.transact([Write(self._key, version, value)])
        members = [self._decode(row) for row in rows.values()]
        self._listed = len({*rows, self._key})
        self._meet([member.address for member in members if member is not None])

    def _is_own(self, row: Row) -> bool:
        return self._decode(row) == self._own

    def _decode(self, row: Row) -> _Member | None:
        try:
            return msgspec.json.decode(row.value, type=_Member)
        except msgspec.MsgspecError as error:
            self._log.notice("row", str(error), key=row.key, row_version=row.version)
            return None
