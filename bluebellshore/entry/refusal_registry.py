"""Keeps refused requests in the platform's store, for when all routers start anew."""

import asyncio
import random
import time
from collections.abc import Callable, Iterable
from typing import Annotated

import msgspec

from bluebellshore.decisions import DecisionLog, silent_log
from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.crashing_requests import (
    MAX_REFUSALS,
    REFUSAL_LIFETIME_SECONDS,
    RefusedRequest,
)
from bluebellshore.store import ABSENT, ChangeFeedTable, Row, Write

__all__ = ["RefusalRegistry"]

REFUSALS_TABLE = "refused-requests"
#: Pause between two looks at what changed.
CHECK_SECONDS = 1.0
#: Rows that are written or removed in one transaction.
MAX_CHANGES = 50


class _RefusalRow(msgspec.Struct, frozen=True):
    """Stored value of a refused request.

    :param crashed_at: time of the last crash by the store's clock, in seconds.
    """

    crashed_at: float
    interval_seconds: Annotated[float, msgspec.Meta(ge=0)]
    crashes: Annotated[int, msgspec.Meta(ge=1)]


class RefusalRegistry:
    """Reads what was refused when the router starts, and writes what it finds itself.

    :param crashes: finds refused requests, and takes those that were read.
    :param store_seconds: returns the time of the store's clock; None if unknown.
    """

    def __init__(
        self,
        table: ChangeFeedTable,
        crashes: CrashTracker,
        store_seconds: Callable[[], float | None],
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self._table = table
        self._crashes = crashes
        self._store_seconds = store_seconds
        self._is_read = False
        #: Refusals that the store holds, as far as this router read or wrote them.
        self._stored_by_key: dict[str, _RefusalRow] = {}

    async def run(self) -> None:
        """Read the rows once, then write changes, until cancelled."""
        while True:
            try:
                if not self._is_read:
                    await self._read()
                await self._write_changes()
            except PlatformError as error:
                stored = len(self._stored_by_key)
                self._log.notice("refusals", str(error), stored=stored)
            await asyncio.sleep(CHECK_SECONDS * random.uniform(0.8, 1.2))

    async def _read(self) -> None:
        rows_by_key = (await self._table.snapshot(REFUSALS_TABLE)).rows_by_key
        offset = self._clock_offset()
        if offset is None:
            return
        self._is_read = True
        now = time.monotonic()
        stored_by_key = {}
        for key, row in rows_by_key.items():
            found = self._decode(row)
            if found is not None:
                stored_by_key[key] = found
        newest = sorted(
            stored_by_key, key=lambda key: stored_by_key[key].crashed_at, reverse=True
        )[:MAX_REFUSALS]
        refusals_by_key = {
            key: RefusedRequest(
                key.partition("/")[2],
                stored_by_key[key].crashed_at + offset,
                stored_by_key[key].interval_seconds,
                stored_by_key[key].crashes,
            )
            for key in newest
        }
        self._crashes.merge_refusals(
            [
                refusal
                for refusal in refusals_by_key.values()
                if now - refusal.crashed_at < REFUSAL_LIFETIME_SECONDS
            ],
            now,
        )
        # What isn't refused any more is removed with the next changes.
        self._stored_by_key = stored_by_key

    async def _write_changes(self) -> None:
        offset = self._clock_offset()
        if not self._is_read or offset is None:
            return
        rows_by_key = {
            f"{REFUSALS_TABLE}/{refusal.fingerprint}": _RefusalRow(
                refusal.crashed_at - offset, refusal.interval_seconds, refusal.crashes
            )
            for refusal in self._crashes.own_refusals()
        }
        changed = {
            key: row for key, row in rows_by_key.items() if self._is_news(key, row)
        }
        refused = {f"{REFUSALS_TABLE}/{f}" for f in self._crashes.refused_requests}
        removed = self._stored_by_key.keys() - refused
        await self._store([*changed, *removed][:MAX_CHANGES], changed)

    def _is_news(self, key: str, row: _RefusalRow) -> bool:
        """Return whether a crash, or a longer wait for a probe, isn't stored yet."""
        stored = self._stored_by_key.get(key)
        return stored is None or (stored.crashes, stored.interval_seconds) != (
            row.crashes,
            row.interval_seconds,
        )

    async def _store(self, keys: Iterable[str], rows: dict[str, _RefusalRow]) -> None:
        keys = list(keys)
        if not keys:
            return
        present_by_key = await self._table.read(keys)
        writes = []
        for key in keys:
            present = present_by_key.get(key)
            value = msgspec.json.encode(rows[key]) if key in rows else None
            if value is not None or present is not None:
                version = ABSENT if present is None else present.version
                writes.append(Write(key, version, value))
        if writes:
            await self._table.transact(writes)
        for key in keys:
            self._stored_by_key.pop(key, None)
        self._stored_by_key.update({key: rows[key] for key in keys if key in rows})

    def _clock_offset(self) -> float | None:
        """Return the monotonic time at which the store's clock was at 0."""
        store_seconds = self._store_seconds()
        return None if store_seconds is None else time.monotonic() - store_seconds

    def _decode(self, row: Row) -> _RefusalRow | None:
        try:
            return decode_json(row.value, _RefusalRow)
        except msgspec.MsgspecError as error:
            self._log.notice("row", str(error), key=row.key, row_version=row.version)
            return None
