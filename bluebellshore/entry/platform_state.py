"""A router's copy of the platform's tables.

The copy holds the newest version of each row that the store or a peer has shown.
"""

from collections.abc import Callable

import eliot
import msgspec

from bluebellshore.decisions import Belief, DecisionLog, silent_log
from bluebellshore.entry.row_contents import (
    configuration_number,
    is_outdated_entry,
    server_id_of,
    server_key,
    zone_of,
)
from bluebellshore.entry.table_copy import TableCopy
from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer, Configuration, RolloutOrder, ServerState
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.platform.configuration import decode_configuration
from bluebellshore.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    OPERATOR_TABLE,
    ROLLOUT_ORDER_PREFIX,
    SERVERS_TABLE,
)
from bluebellshore.platform.servers import decode_rollout_order, decode_server
from bluebellshore.routing.evacuations import ZoneEvacuations
from bluebellshore.store import Row, TableChange, TableSnapshot, era_of

__all__ = ["WATCHED_TABLES", "PlatformState", "VersionedOrder"]

#: Tables that routers watch.
WATCHED_TABLES = (OPERATOR_TABLE, SERVERS_TABLE)
#: Tombstones kept per table, so that peers learn of removed rows.
MAX_TOMBSTONES = 2000


class VersionedOrder(msgspec.Struct, frozen=True):
    """A rollout order with the version of its row, which grows with each order."""

    order: RolloutOrder
    version: int


class PlatformState:
    """Configuration, backend servers and rollout orders in force at this router.

    Rows come from the store and from peers, in any order. A row is only ever replaced
    by a newer version, and a removed row doesn't come back with an older one. After the
    store came back from an older copy, all its versions are newer, but its rows may say
    what was true before: a row that its writer had replaced already is kept as it was.

    :param expiry_grace_seconds: grace period after an outage of the store, in which
        entries that expired during the outage still count, so that their servers can
        renew them.
    :ivar configuration: None until one is known.
    :ivar servers_by_id: backend servers whose entry is present or in its grace period.
    :ivar orders_by_service: last rollout order of each service.
    :ivar evacuations: availability zones whose servers get nothing new.
    """

    def __init__(self, expiry_grace_seconds: float, log: DecisionLog | None = None):
        self._log = log or silent_log()
        self._expiry_grace_seconds = expiry_grace_seconds
        self._tables: dict[str, TableCopy] = {
            name: TableCopy() for name in WATCHED_TABLES
        }
        self._grace_until: dict[BackendServerId, float] = {}
        self._excluded_versions: dict[BackendServerId, int] = {}
        #: Last entry of each server whose entry was removed, while its tombstone lasts.
        self._removed_servers: dict[BackendServerId, BackendServer] = {}
        self.configuration: Configuration | None = None
        #: Called with each configuration that comes into force.
        self.on_configuration: Callable[[Configuration], None] = lambda _: None
        self.servers_by_id: dict[BackendServerId, BackendServer] = {}
        self.orders_by_service: dict[ServiceName, VersionedOrder] = {}
        self.evacuations = ZoneEvacuations()
        self._warm_at: dict[BackendServerId, float] = {}
        #: Backend servers that restarted or were removed since the router last read
        #: and cleared this list.
        self.restarted_or_removed: list[BackendServerId] = []

    def versions(self) -> dict[str, int]:
        """Return the version up to which each table is complete."""
        return {name: table.version for name, table in self._tables.items()}

    def servers_of(self, service: ServiceName, now: float) -> list[BackendServer]:
        """Return the backend servers of a service that take new requests.

        Also drops the entries, of any service, whose grace period is over.
        """
        return self.evacuations.allowed(self.ready_servers_of(service, now))

    def ready_servers_of(self, service: ServiceName, now: float) -> list[BackendServer]:
        """Return the same, with the servers in evacuated zones."""
        self._drop_expired(now)
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service
            and server.state is ServerState.READY
            and not self._is_excluded(server.server_id)
        ]

    def cold_seconds(self, server_id: BackendServerId, now: float) -> float:
        """Return for how long a server is still cold by its entry; 0 if it is warm."""
        return max(0.0, self._warm_at.get(server_id, now) - now)

    def cold_rate(self, server: BackendServer) -> float:
        """Return the requests a second that a server takes while cold; 0 for any."""
        known = self.configuration
        service = known and known.services_by_name.get(server.service)
        return service.cold_requests_per_second if service else 0.0

    def count_ready(self) -> int:
        """Return the number of backend servers whose entry says that they are ready."""
        servers = self.servers_by_id.values()
        return sum(server.state is ServerState.READY for server in servers)

    def exclude_until_renewed(self, server_id: BackendServerId) -> None:
        """Send nothing to a backend server until it renews its entry.

        Called when another backend server answered at the address of the entry.
        """
        row = self._tables[SERVERS_TABLE].rows_by_key.get(server_key(server_id))
        if row is not None:
            self._excluded_versions[server_id] = row.version
            self._log.backend_server(
                server_id,
                Belief.SUSPECTED,
                reason="another backend server answers at its address",
                row_version=row.version,
            )

    def _is_excluded(self, server_id: BackendServerId) -> bool:
        version = self._excluded_versions.get(server_id)
        if version is None:
            return False
        row = self._tables[SERVERS_TABLE].rows_by_key.get(server_key(server_id))
        if row is not None and row.version > version:
            del self._excluded_versions[server_id]
            self._log.backend_server(
                server_id,
                Belief.TRUSTED,
                reason="the backend server renewed its entry",
                row_version=row.version,
            )
            return False
        return True

    def apply_snapshot(
        self, name: str, snapshot: TableSnapshot, now: float, *, after_outage: bool
    ) -> None:
        """Replace a table by a snapshot, unless single rows here are newer.

        :param now: monotonic seconds.
        :param after_outage: entries of backend servers may have expired because the
            store was out.
        """
        table = self._tables[name]
        removed = {
            key: snapshot.version
            for key, row in table.rows_by_key.items()
            if key not in snapshot.rows_by_key and row.version <= snapshot.version
        }
        change = TableChange(
            list(snapshot.rows_by_key.values()), removed, snapshot.version
        )
        self.apply(name, change, now, after_outage=after_outage)

    def apply(
        self,
        name: str,
        change: TableChange,
        now: float,
        *,
        after_outage: bool = False,
        source: str = "store",
    ) -> None:
        """Merge changes of a table.

        :param now: monotonic seconds.
        :param after_outage: entries of backend servers may have expired because the
            store was out.
        :param source: ``"store"`` or the address of the peer that sent the changes.
        """
        table = self._tables[name]
        for key, version in change.removed_by_key.items():
            known = table.rows_by_key.get(key)
            if known is not None and known.version <= version:
                del table.rows_by_key[key]
                self._remove_row(
                    key,
                    now,
                    after_outage=after_outage,
                    is_restored=era_of(known.version) < era_of(version),
                )
            version = max(version, table.removed_by_key.pop(key, -1))
            table.removed_by_key[key] = version
        for row in change.rows:
            known = table.rows_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                if known.version > row.version and source == "store":
                    self._log_outdated(row, known.version)
                continue
            removed_version = table.removed_by_key.get(row.key, -1)
            if removed_version >= row.version:
                continue
            if era_of(removed_version) < era_of(row.version) and self._was_removed(row):
                table.removed_by_key[row.key] = row.version
                continue
            is_first_of_era = known is None or (
                era_of(known.version) < era_of(row.version)
            )
            if known is not None and is_first_of_era:
                row = self._newest_by_content(known, row)
            table.rows_by_key[row.key] = row
            table.removed_by_key.pop(row.key, None)
            if known is None or row.value is not known.value:
                self._apply_row(row, source, now, is_first_of_era=is_first_of_era)
        while len(table.removed_by_key) > MAX_TOMBSTONES:
            oldest = next(iter(table.removed_by_key))
            del table.removed_by_key[oldest]
            self._removed_servers.pop(server_id_of(oldest), None)
        table.version = max(table.version, change.version)

    @property
    def configuration_row(self) -> Row | None:
        """Row of the configuration in force; None without one."""
        if self.configuration is None:
            return None
        return self._tables[OPERATOR_TABLE].rows_by_key.get(CONFIGURATION_KEY)

    def adopt_configuration(self, row: Row, *, source: str) -> None:
        """Take a peer's configuration if its number is higher, whatever its version.

        A store that came back from an older copy may lack it.
        """
        in_force = self.configuration.number if self.configuration else -1
        if row.key != CONFIGURATION_KEY or configuration_number(row) <= in_force:
            return
        rows_by_key = self._tables[OPERATOR_TABLE].rows_by_key
        known = rows_by_key.get(CONFIGURATION_KEY)
        version = row.version if known is None else max(row.version, known.version)
        rows_by_key[CONFIGURATION_KEY] = Row(row.key, version, row.value)
        self._apply_row(rows_by_key[CONFIGURATION_KEY], source, 0.0)

    def _was_removed(self, row: Row) -> bool:
        """Return whether a row is an entry that had been removed before a restore."""
        if not row.key.startswith(f"{SERVERS_TABLE}/"):
            return False
        removed = self._removed_servers.get(server_id_of(row.key))
        return removed is not None and is_outdated_entry(row, removed)

    def _newest_by_content(self, known: Row, row: Row) -> Row:
        """Return a row of the restored store, with the known value if that is newer."""
        outdated = False
        if row.key == CONFIGURATION_KEY and self.configuration is not None:
            outdated = configuration_number(row) < self.configuration.number
        elif row.key.startswith(f"{SERVERS_TABLE}/"):
            server = self.servers_by_id.get(server_id_of(row.key))
            outdated = server is not None and is_outdated_entry(row, server)
        return Row(row.key, row.version, known.value) if outdated else row

    def _log_outdated(self, row: Row, known_version: int) -> None:
        if row.key == CONFIGURATION_KEY:
            self._log.configuration(
                None,
                in_force=False,
                source="store",
                row_version=row.version,
                reason=f"its row is older than version {known_version}",
            )

    def evacuation_changes(self) -> TableChange:
        """Return the evacuations and those taken back, for peers."""
        return self._tables[OPERATOR_TABLE].with_prefix(EVACUATION_PREFIX)

    def merge_evacuations(
        self, change: TableChange, now: float, *, source: str
    ) -> None:
        """Take over what a peer knows of evacuations.

        :param change: rows of the operator's table; complete up to no version.
        :param source: the peer's address.
        """
        self._tables[OPERATOR_TABLE].bury_removed(change)
        self.apply(OPERATOR_TABLE, change, now, source=source)

    def changes_since(self, versions: dict[str, int]) -> dict[str, TableChange]:
        """Return the changes, by table, that a peer with `versions` of tables lacks."""
        changes = {}
        for name, table in self._tables.items():
            peer_version = versions.get(name, -1)
            if table.version > peer_version:
                changes[name] = table.changes_since(peer_version)
        return changes

    def _apply_row(
        self, row: Row, source: str, now: float, *, is_first_of_era: bool = False
    ) -> None:
        """Apply a new row.

        The value of an evacuation is not read: its key says all, and a damaged value
        must not send requests to a zone that is to be emptied.

        :param now: monotonic seconds; not used for a configuration.
        :param is_first_of_era: whether no row of the key was known since the store came
            back from an older copy.
        """
        try:
            if row.key == CONFIGURATION_KEY:
                self._apply_configuration(row, source)
            elif row.key.startswith(ROLLOUT_ORDER_PREFIX):
                order = decode_rollout_order(row.value)
                known = self.orders_by_service.get(order.service)
                is_known = known is not None and known.order == order
                # An operator writes the same order again after a restore.
                if not (
                    is_known
                    and is_first_of_era
                    and era_of(known.version) < era_of(row.version)
                ):
                    self.orders_by_service[order.service] = VersionedOrder(
                        order, row.version
                    )
            elif row.key.startswith(EVACUATION_PREFIX):
                self.evacuations.request(zone_of(row.key), row.version, source, now)
            elif row.key.startswith(f"{SERVERS_TABLE}/"):
                self._apply_server(row, now)
        except PlatformError as error:
            self._handle_unreadable_row(row, source, error.message)
        except Exception as error:
            # The rows after it hold, whatever this one's writer put into it.
            eliot.write_traceback()
            self._handle_unreadable_row(row, source, f"{type(error).__name__}: {error}")

    def _handle_unreadable_row(self, row: Row, source: str, reason: str) -> None:
        version = row.version
        if row.key == CONFIGURATION_KEY:
            self._log.configuration(
                None, in_force=False, source=source, row_version=version, reason=reason
            )
        elif row.key.startswith(f"{SERVERS_TABLE}/"):
            server_id = server_id_of(row.key)
            self.servers_by_id.pop(server_id, None)
            self._log.backend_server(
                server_id, Belief.GONE, reason=reason, row_version=version
            )
        else:
            self._log.notice("row", reason, key=row.key, row_version=version)

    def _apply_configuration(self, row: Row, source: str) -> None:
        configuration = decode_configuration(row.value)
        if self.configuration and configuration.number < self.configuration.number:
            self._log.configuration(
                configuration.number,
                in_force=False,
                source=source,
                row_version=row.version,
                reason=f"older than configuration {self.configuration.number} in force",
            )
            return
        self.configuration = configuration
        self.on_configuration(configuration)
        self._log.configuration(
            configuration.number,
            in_force=True,
            source=source,
            row_version=row.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers_by_id),
            size=len(row.value),
        )

    def _apply_server(self, row: Row, now: float) -> None:
        server_id = server_id_of(row.key)
        server = decode_server(server_id, row.value)
        known = self.servers_by_id.get(server_id)
        self._grace_until.pop(server_id, None)
        self._removed_servers.pop(server_id, None)
        self.servers_by_id[server_id] = server
        self._warm_at.pop(server_id, None)
        if server.warmup_seconds > 0.0:
            self._warm_at[server_id] = now + server.warmup_seconds
        if known is not None and known.started_unix_ms != server.started_unix_ms:
            self.restarted_or_removed.append(server_id)
        if known is None or (known.state, known.started_unix_ms) != (
            server.state,
            server.started_unix_ms,
        ):
            ready = server.state is ServerState.READY
            self._log.backend_server(
                server_id,
                Belief.READY if ready else Belief.LEAVING,
                reason="stated in its entry",
                service=server.service,
                address=server.address,
                version=server.version,
                born=server.started_unix_ms,
                row_version=row.version,
            )

    def _remove_row(
        self, key: str, now: float, *, after_outage: bool, is_restored: bool
    ) -> None:
        """Apply the removal of a row.

        :param is_restored: whether a store that came back from an older copy lacks it.
        """
        if key.startswith(EVACUATION_PREFIX):
            until = now + self._expiry_grace_seconds if is_restored else now
            self.evacuations.take_back_at(zone_of(key), until)
            self.evacuations.expire(now)
            return
        if not key.startswith(f"{SERVERS_TABLE}/"):
            return
        server_id = server_id_of(key)
        if after_outage and server_id in self.servers_by_id:
            self._grace_until.setdefault(server_id, now + self._expiry_grace_seconds)
        else:
            self._remove_server(server_id, "entry removed")

    def _drop_expired(self, now: float) -> None:
        self.evacuations.expire(now)
        for server_id, until in list(self._grace_until.items()):
            if now >= until:
                del self._grace_until[server_id]
                self._remove_server(
                    server_id, "entry not renewed after an outage of the store"
                )

    def _remove_server(self, server_id: BackendServerId, reason: str) -> None:
        self._excluded_versions.pop(server_id, None)
        removed = self.servers_by_id.pop(server_id, None)
        self._warm_at.pop(server_id, None)
        if removed is not None:
            self._removed_servers[server_id] = removed
            self.restarted_or_removed.append(server_id)
            self._log.backend_server(server_id, Belief.GONE, reason=reason)
