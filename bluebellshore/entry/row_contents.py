"""Reads from a row of the platform's tables what decides whether it counts."""

from bluebellshore.errors import PlatformError
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.platform.configuration import decode_configuration
from bluebellshore.platform.names import EVACUATION_PREFIX, SERVERS_TABLE
from bluebellshore.platform.servers import decode_server
from bluebellshore.store import Row

__all__ = [
    "configuration_number",
    "is_outdated_entry",
    "server_id_of",
    "server_key",
    "zone_of",
]


def server_key(server_id: BackendServerId) -> str:
    """Return the key of a backend server's entry."""
    return f"{SERVERS_TABLE}/{server_id}"


def server_id_of(key: str) -> BackendServerId:
    """Return the backend server of the key of an entry."""
    return BackendServerId(key.partition("/")[2])


def zone_of(key: str) -> ZoneName:
    """Return the availability zone of the key of an evacuation."""
    return ZoneName(key.removeprefix(EVACUATION_PREFIX))


def configuration_number(row: Row) -> int:
    """Return the number of a configuration; one that can't be read is the oldest."""
    try:
        return decode_configuration(row.value).number
    except PlatformError:
        return -1


def is_outdated_entry(row: Row, known: BackendServer) -> bool:
    """Return whether an entry is one that its backend server has renewed since."""
    try:
        server = decode_server(known.server_id, row.value)
    except PlatformError:
        return False
    return (server.started_unix_ms, server.renewals) < (
        known.started_unix_ms,
        known.renewals,
    ) or server == known
