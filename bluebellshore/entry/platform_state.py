"""What a router knows of the platform's rows: the newest that it or a peer saw."""

from collections.abc import Callable

import msgspec

from bluebellshore.decisions import Belief, DecisionLog, silent_log
from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer, Configuration, RolloutOrder, ServerState
from bluebellshore.ids import BackendServerId, ServiceName
from bluebellshore.platform.configuration import decode_configuration
from bluebellshore.platform.names import (
    CONFIGURATION_KEY,
    OPERATOR_TABLE,
    ROLLOUT_PREFIX,
    SERVERS_TABLE,
)
from bluebellshore.platform.servers import decode_rollout_order, decode_server
from bluebellshore.store import Row, TableChange, TableSnapshot

__all__ = ["WATCHED_TABLES", "PlatformState", "VersionedOrder"]

#: Tables that routers follow.
WATCHED_TABLES = (OPERATOR_TABLE, SERVERS_TABLE)
#: Removals remembered for each table, to be told to peers.
MAX_REMOVED = 2000


class VersionedOrder(msgspec.Struct, frozen=True):
    """A rollout order and the row version that tells it from earlier ones."""

    order: RolloutOrder
    version: int


class _Table(msgspec.Struct):
    """Rows of one table, complete up to `version`."""

    version: int = -1
    rows_by_key: dict[str, Row] = msgspec.field(default_factory=dict)
    removed_by_key: dict[str, int] = msgspec.field(default_factory=dict)


class PlatformState:
    """Configuration, backend servers and orders in force at this router.

    Rows only ever move to newer versions, whether the store or a peer tells of them.

    :param lapse_seconds: entries that lapsed during an outage of the store count for
        this long after it.
    :ivar configuration: None until one is known.
    """

    def __init__(self, lapse_seconds: float, log: DecisionLog | None = None):
        self._log = log or silent_log()
        self._lapse_seconds = lapse_seconds
        self._tables: dict[str, _Table] = {name: _Table() for name in WATCHED_TABLES}
        self._lapsed_until: dict[BackendServerId, float] = {}
        self._doubted_versions: dict[BackendServerId, int] = {}
        self.configuration: Configuration | None = None
        #: Called with each configuration that comes into force.
        self.on_configuration: Callable[[Configuration], None] = lambda _: None
        self.servers_by_id: dict[BackendServerId, BackendServer] = {}
        self.orders_by_service: dict[ServiceName, VersionedOrder] = {}
        #: Backend servers that began anew or went since the last look.
        self.restarted_or_removed: list[BackendServerId] = []

    def versions(self) -> dict[str, int]:
        """Return the version up to which each table is complete."""
        return {name: table.version for name, table in self._tables.items()}

    def servers_of(self, service: ServiceName, now: float) -> list[BackendServer]:
        """Return the backend servers of a service that take new requests."""
        self._drop_lapsed(now)
        return [
            server
            for server in self.servers_by_id.values()
            if server.service == service
            and server.state is ServerState.READY
            and not self._is_doubted(server.server_id)
        ]

    def count_ready(self) -> int:
        """Return how many backend servers say that they take requests."""
        servers = self.servers_by_id.values()
        return sum(server.state is ServerState.READY for server in servers)

    def exclude_until_renewed(self, server_id: BackendServerId) -> None:
        """Leave a backend server out whose address belongs to another one.

        It counts again once it renews its entry.
        """
        row = self._tables[SERVERS_TABLE].rows_by_key.get(_key_of(server_id))
        if row is not None:
            self._doubted_versions[server_id] = row.version
            self._log.backend_server(
                server_id,
                Belief.SUSPECTED,
                reason="its address belongs to another backend server",
                row_version=row.version,
            )

    def _is_doubted(self, server_id: BackendServerId) -> bool:
        version = self._doubted_versions.get(server_id)
        if version is None:
            return False
        row = self._tables[SERVERS_TABLE].rows_by_key.get(_key_of(server_id))
        if row is not None and row.version > version:
            del self._doubted_versions[server_id]
            self._log.backend_server(
                server_id,
                Belief.TRUSTED,
                reason="it renewed its entry",
                row_version=row.version,
            )
            return False
        return True

    def apply_snapshot(
        self, name: str, snapshot: TableSnapshot, now: float, *, after_outage: bool
    ) -> None:
        """Take in a whole table."""
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
        """Take in changes of a table.

        :param after_outage: entries of backend servers may have lapsed unseen.
        :param source: ``"store"`` or the peer that told of them.
        """
        table = self._tables[name]
        for key, version in change.removed_by_key.items():
            known = table.rows_by_key.get(key)
            if known is not None and known.version <= version:
                del table.rows_by_key[key]
                self._remove(key, now, after_outage=after_outage)
            table.removed_by_key[key] = version
        for row in change.rows:
            known = table.rows_by_key.get(row.key)
            if known is not None and known.version >= row.version:
                continue
            if table.removed_by_key.get(row.key, -1) >= row.version:
                continue
            table.rows_by_key[row.key] = row
            table.removed_by_key.pop(row.key, None)
            self._put(row, source)
        while len(table.removed_by_key) > MAX_REMOVED:
            del table.removed_by_key[next(iter(table.removed_by_key))]
        table.version = max(table.version, change.version)

    def changes_since(self, versions: dict[str, int]) -> dict[str, TableChange]:
        """Return what a peer with `versions` lacks, by table."""
        changes = {}
        for name, table in self._tables.items():
            after = versions.get(name, -1)
            if table.version <= after:
                continue
            rows = [row for row in table.rows_by_key.values() if row.version > after]
            removed = {k: v for k, v in table.removed_by_key.items() if v > after}
            changes[name] = TableChange(rows, removed, table.version)
        return changes

    def _put(self, row: Row, source: str) -> None:
        try:
            if row.key == CONFIGURATION_KEY:
                self._put_configuration(row, source)
            elif row.key.startswith(ROLLOUT_PREFIX):
                order = decode_rollout_order(row.value)
                self.orders_by_service[order.service] = VersionedOrder(
                    order, row.version
                )
            elif row.key.startswith(f"{SERVERS_TABLE}/"):
                self._put_server(row)
        except PlatformError as error:
            self._put_unreadable(row, source, error.message)

    def _put_unreadable(self, row: Row, source: str, reason: str) -> None:
        version = row.version
        if row.key == CONFIGURATION_KEY:
            self._log.configuration(
                None, in_force=False, source=source, row_version=version, reason=reason
            )
        elif row.key.startswith(f"{SERVERS_TABLE}/"):
            server_id = _server_id(row.key)
            self.servers_by_id.pop(server_id, None)
            self._log.backend_server(
                server_id, Belief.GONE, reason=reason, row_version=version
            )
        else:
            self._log.notice("row", reason, key=row.key, row_version=version)

    def _put_configuration(self, row: Row, source: str) -> None:
        configuration = decode_configuration(row.value)
        if self.configuration and configuration.number < self.configuration.number:
            self._log.configuration(
                configuration.number,
                in_force=False,
                source=source,
                row_version=row.version,
                reason=f"older than {self.configuration.number}",
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
        )

    def _put_server(self, row: Row) -> None:
        server_id = _server_id(row.key)
        server = decode_server(server_id, row.value)
        known = self.servers_by_id.get(server_id)
        self._lapsed_until.pop(server_id, None)
        self.servers_by_id[server_id] = server
        if known is not None and known.born != server.born:
            self.restarted_or_removed.append(server_id)
        if known is None or (known.state, known.born) != (server.state, server.born):
            ready = server.state is ServerState.READY
            self._log.backend_server(
                server_id,
                Belief.READY if ready else Belief.LEAVING,
                reason="its entry says so",
                service=server.service,
                address=server.address,
                version=server.version,
                born=server.born,
                row_version=row.version,
            )

    def _remove(self, key: str, now: float, *, after_outage: bool) -> None:
        if not key.startswith(f"{SERVERS_TABLE}/"):
            return
        server_id = _server_id(key)
        if after_outage and server_id in self.servers_by_id:
            self._lapsed_until.setdefault(server_id, now + self._lapse_seconds)
        else:
            self._forget(server_id, "entry removed")

    def _drop_lapsed(self, now: float) -> None:
        for server_id, until in list(self._lapsed_until.items()):
            if now >= until:
                del self._lapsed_until[server_id]
                self._forget(server_id, "entry missing after an outage")

    def _forget(self, server_id: BackendServerId, reason: str) -> None:
        self._doubted_versions.pop(server_id, None)
        if self.servers_by_id.pop(server_id, None) is not None:
            self.restarted_or_removed.append(server_id)
            self._log.backend_server(server_id, Belief.GONE, reason=reason)


def _key_of(server_id: BackendServerId) -> str:
    return f"{SERVERS_TABLE}/{server_id}"


def _server_id(key: str) -> BackendServerId:
    return BackendServerId(key.partition("/")[2])
