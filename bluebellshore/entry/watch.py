"""Watches the platform's tables, and keeps a router's copy of them up to date."""

import asyncio
import functools
import math
import random
import time

from bluebellshore.cancellation import run_together
from bluebellshore.decisions import Contact, DecisionLog, silent_log
from bluebellshore.entry.platform_state import WATCHED_TABLES, PlatformState
from bluebellshore.errors import HistoryLostError, PlatformError
from bluebellshore.store import ChangeFeedTable, era_of

__all__ = ["StoreWatch"]

#: Longest time that a call waits for changes. A broken connection is noticed after this
#: time, which must be below the time in which a router has to regain the store.
LONG_POLL_SECONDS = 1.2
#: Pause between two calls for a table. All backend servers together renew their entries
#: many times a second, and the platform counts each answer as a call.
POLL_PAUSE_SECONDS = 0.35
#: Pause after a failed call, before jitter.
RETRY_SECONDS = 0.25
#: Time without an answer, beyond a long poll, after which the store counts as lost.
STORE_TIMEOUT_SECONDS = 1.5
#: Time after an outage of the store, or after it came back from an older copy, in which
#: entries may still expire because of it.
AFTER_OUTAGE_SECONDS = 1.0


class StoreWatch:
    """Reads a snapshot of each table, then waits for its changes by long polls."""

    def __init__(
        self,
        store: ChangeFeedTable,
        platform_state: PlatformState,
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self._store = store
        self._platform_state = platform_state
        self._versions: dict[str, int | None] = dict.fromkeys(WATCHED_TABLES)
        self._confirmed_at: dict[str, float] = dict.fromkeys(WATCHED_TABLES, -1e9)
        self._regained_at: dict[str, float] = dict.fromkeys(WATCHED_TABLES, -1e9)
        self._eras: dict[str, int] = {}
        self._started_at = time.monotonic()
        self._logged_lost = True

    @property
    def lost(self) -> bool:
        """Whether the store counts as lost, as it did not confirm a table in time."""
        return self.silent_seconds > STORE_TIMEOUT_SECONDS + LONG_POLL_SECONDS

    @property
    def silent_seconds(self) -> float:
        """Seconds since the store last confirmed all tables."""
        return time.monotonic() - min(self._confirmed_at.values())

    async def run(self) -> None:
        """Watch all tables until cancelled."""
        self._started_at = time.monotonic()
        await run_together(
            *(functools.partial(self._watch_table, table) for table in WATCHED_TABLES)
        )

    async def _watch_table(self, table: str) -> None:
        while True:
            try:
                await self._update_table(table)
                pause = POLL_PAUSE_SECONDS
            except HistoryLostError as error:
                self._log.notice("store", str(error), table=table)
                self._versions[table] = None
                pause = 0.0
            except PlatformError as error:
                self._log_failure(table, error)
                pause = RETRY_SECONDS * random.uniform(0.5, 1.5)
            await asyncio.sleep(pause)

    async def _update_table(self, table: str) -> None:
        version = self._versions[table]
        if version is None:
            snapshot = await self._store.snapshot(table)
            now = time.monotonic()
            if era_of(snapshot.version) > self._eras.get(table, math.inf):
                self._regained_at[table] = now
            self._eras[table] = era_of(snapshot.version)
            self._platform_state.apply_snapshot(
                table, snapshot, now, after_outage=self._is_after_outage(table, now)
            )
            self._versions[table] = snapshot.version
        else:
            change = await self._store.feed(table, version, LONG_POLL_SECONDS)
            now = time.monotonic()
            self._platform_state.apply(
                table, change, now, after_outage=self._is_after_outage(table, now)
            )
            self._versions[table] = change.version
        self._confirmed_at[table] = time.monotonic()
        if self._logged_lost and not self.lost:
            self._logged_lost = False
            self._log.store(Contact.REGAINED, versions=self._platform_state.versions())

    def _is_after_outage(self, table: str, now: float) -> bool:
        # Time before the start is no outage: the store was not asked then.
        confirmed_at = max(self._confirmed_at[table], self._started_at)
        if now - confirmed_at > STORE_TIMEOUT_SECONDS + LONG_POLL_SECONDS:
            self._regained_at[table] = now
        return now - self._regained_at[table] < AFTER_OUTAGE_SECONDS

    def _log_failure(self, table: str, error: PlatformError) -> None:
        if not self._logged_lost and self.lost:
            self._logged_lost = True
            self._log.store(
                Contact.LOST,
                reason=f"{table}: {error}",
                silent_seconds=self.silent_seconds,
                versions=self._platform_state.versions(),
            )
