"""Entries of stand-in backend servers in the platform's stand-in store."""

import asyncio
import time

import msgspec

from bluebellshore.standin.platform import PlatformState
from bluebellshore.standin.platform_faults import NoAnswer

__all__ = ["RunnerEntries"]

TABLE = "servers"
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
EVACUATION_KEY_PREFIX = "evacuate/"
#: Heartbeats of silence after which the platform removes an entry.
SILENT_HEARTBEATS = 3
POLL_SECONDS = 0.02
#: Most entries that exist at a time, and their bytes.
MAX_ENTRIES, MAX_BYTES = 10_000, 100_000_000


class RunnerEntries:
    """Writes the entries and configurations that the system itself may not write.

    Nothing reaches the store while its outage lasts: an entry may lapse then.

    :param heartbeat_seconds: interval at which backend servers renew their entries.
    """

    def __init__(self, state: PlatformState, heartbeat_seconds: float):
        self.heartbeat_seconds = heartbeat_seconds
        self._state = state
        self._seen_at: dict[str, float] = {}
        self._operator_rows: dict[tuple[str, str], dict[str, object]] = {}

    @property
    def out(self) -> bool:
        """Whether the store takes nothing."""
        faults = self._state.faults
        out = faults.outage is True or isinstance(faults.outage, NoAnswer)
        return out and faults.concerns({TABLE})

    def renew(self, runner_id: str, entry: dict[str, object]) -> bool:
        """Write an entry. :return: whether the store took it."""
        if self.out:
            return False
        self._seen_at[runner_id] = time.monotonic()
        self.write(TABLE, runner_id, entry)
        return True

    def remove(self, runner_id: str) -> bool:
        """Remove an entry. :return: whether the store took it."""
        if self.out:
            return False
        self._drop(runner_id)
        return True

    def configure(self, configuration: dict[str, object]) -> None:
        """Put a configuration into the store, as the operator does."""
        self.write(CONFIGURATION_TABLE, CONFIGURATION_KEY, configuration)

    def evacuate(self, zone: str) -> None:
        """Ask that a zone's runners get nothing more, as the operator does."""
        self.write(CONFIGURATION_TABLE, f"{EVACUATION_KEY_PREFIX}{zone}", {})

    def take_back(self, zone: str) -> None:
        """Take an evacuation back, as the operator does."""
        row = CONFIGURATION_TABLE, f"{EVACUATION_KEY_PREFIX}{zone}"
        self._operator_rows.pop(row, None)
        self._state.write_as_operator(*row, None)

    def write_again(self) -> None:
        """Write and remove again what the operator and the backend servers had.

        The store may have come back from a copy without it. Running backend servers
        renew their own entries.
        """
        for (table, key), value in self._operator_rows.items():
            self._state.write_as_operator(table, key, msgspec.json.encode(value))
        page = self._state.rows.page(TABLE, "", "", "", MAX_ENTRIES, MAX_BYTES)
        for entry in page.entries:
            if entry.row_id.key not in self._seen_at:
                self._state.write_as_operator(TABLE, entry.row_id.key, None)
        page = self._state.rows.page(
            CONFIGURATION_TABLE, "", EVACUATION_KEY_PREFIX, "", MAX_ENTRIES, MAX_BYTES
        )
        for entry in page.entries:
            row = CONFIGURATION_TABLE, entry.row_id.key
            is_evacuation = entry.row_id.key.startswith(EVACUATION_KEY_PREFIX)
            if is_evacuation and row not in self._operator_rows:
                self._state.write_as_operator(*row, None)

    def write(self, table: str, key: str, value: dict[str, object]) -> None:
        """Write a row as the operator, whatever its version."""
        if table != TABLE:
            self._operator_rows[table, key] = value
        self._state.write_as_operator(table, key, msgspec.json.encode(value))

    async def run(self) -> None:
        """Remove entries that were not renewed, until cancelled."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            oldest = time.monotonic() - SILENT_HEARTBEATS * self.heartbeat_seconds
            for runner_id, seen_at in list(self._seen_at.items()):
                if seen_at < oldest:
                    self._drop(runner_id)

    def _drop(self, runner_id: str) -> None:
        if self._seen_at.pop(runner_id, None) is not None:
            self._state.write_as_operator(TABLE, runner_id, None)
