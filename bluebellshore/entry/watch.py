"""Follows the platform's tables and keeps what a router knows up to date."""

import asyncio
import random
import time

from bluebellshore.decisions import Contact, DecisionLog, silent_log
from bluebellshore.entry.platform_state import WATCHED_TABLES, PlatformState
from bluebellshore.errors import HistoryLostError, PlatformError
from bluebellshore.store import FeedingTable

__all__ = ["StoreWatch"]

#: Longest wait for changes in one call. A connection that went silent is found after
#: this time, which must lie below the time after which a router is back in touch.
WAIT_SECONDS = 1.2
#: Least time between two calls: backend servers renew their entries many times a
#: second in all, and each answer is a call that the platform counts.
PACE_SECONDS = 0.35
#: Pause after a failed call, with jitter.
RETRY_SECONDS = 0.25
#: Time without an answer after which the store counts as lost.
LOST_SECONDS = 1.5
#: Time after its return in which entries may still lapse for its outage.
RETURN_SECONDS = 1.0


class StoreWatch:
    """Reads each table once, then waits for its changes."""

    def __init__(
        self,
        store: FeedingTable,
        platform_state: PlatformState,
        log: DecisionLog | None = None,
    ):
        self._log = log or silent_log()
        self._store = store
        self._platform_state = platform_state
        self._versions: dict[str, int | None] = dict.fromkeys(WATCHED_TABLES)
        self._seen_at: dict[str, float] = dict.fromkeys(WATCHED_TABLES, -1e9)
        self._regained_at: dict[str, float] = dict.fromkeys(WATCHED_TABLES, -1e9)
        self._began_at = time.monotonic()
        self._lost = True

    @property
    def lost(self) -> bool:
        """Whether the store gave no answer for a while."""
        return self.silent_seconds > LOST_SECONDS + WAIT_SECONDS

    @property
    def silent_seconds(self) -> float:
        """Time since all tables were last confirmed."""
        return time.monotonic() - min(self._seen_at.values())

    async def run(self) -> None:
        """Follow all tables until cancelled."""
        self._began_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for table in WATCHED_TABLES:
                group.create_task(self._follow(table))

    async def _follow(self, table: str) -> None:
        while True:
            try:
                await self._step(table)
                pause = PACE_SECONDS
            except HistoryLostError as error:
                self._log.notice("store", str(error), table=table)
                self._versions[table] = None
                pause = 0.0
            except PlatformError as error:
                self._note_failure(table, error)
                pause = RETRY_SECONDS * random.uniform(0.5, 1.5)
            await asyncio.sleep(pause)

    async def _step(self, table: str) -> None:
        version = self._versions[table]
        if version is None:
            snapshot = await self._store.snapshot(table)
            now = time.monotonic()
            self._platform_state.apply_snapshot(
                table, snapshot, now, after_outage=self._after_outage(table, now)
            )
            self._versions[table] = snapshot.version
        else:
            change = await self._store.feed(table, version, WAIT_SECONDS)
            now = time.monotonic()
            self._platform_state.apply(
                table, change, now, after_outage=self._after_outage(table, now)
            )
            self._versions[table] = change.version
        self._seen_at[table] = time.monotonic()
        if self._lost and not self.lost:
            self._lost = False
            self._log.store(Contact.REGAINED, versions=self._platform_state.versions())

    def _after_outage(self, table: str, now: float) -> bool:
        # A start is no outage: a store that answers at once was not away.
        seen_at = max(self._seen_at[table], self._began_at)
        if now - seen_at > LOST_SECONDS + WAIT_SECONDS:
            self._regained_at[table] = now
        return now - self._regained_at[table] < RETURN_SECONDS

    def _note_failure(self, table: str, error: PlatformError) -> None:
        if not self._lost and self.lost:
            self._lost = True
            self._log.store(
                Contact.LOST,
                reason=f"{table}: {error}",
                silent_seconds=self.silent_seconds,
                versions=self._platform_state.versions(),
            )
