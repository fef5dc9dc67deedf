"""Wire form of evacuations, which routers tell each other with every exchange.

A router whose feed of the operator's table hangs, or that is cut off from the store,
learns of an evacuation and of its end from any peer.
"""

from bluebellshore.entry.message_values import is_version
from bluebellshore.platform.names import EVACUATION_PREFIX
from bluebellshore.store import Row, TableChange
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["read_evacuations", "write_evacuations"]

#: Longest name of a zone that is read from a peer, in characters.
MAX_ZONE_CHARACTERS = 200
#: Evacuations that are read from one message of a peer.
MAX_EVACUATIONS = 1000


def write_evacuations(change: TableChange, state: pb.PeerState) -> None:
    """Add evacuations to a message.

    :param change: rows of evacuations in force, and versions of those taken back.
    """
    for row in change.rows:
        zone = row.key.removeprefix(EVACUATION_PREFIX)
        state.evacuations.add(zone=zone, version=row.version)
    for key, version in change.removed_by_key.items():
        zone = key.removeprefix(EVACUATION_PREFIX)
        state.evacuations.add(zone=zone, version=version, ended=True)


def read_evacuations(state: pb.PeerState) -> TableChange:
    """Return the evacuations of a message as changes of the operator's table.

    The change doesn't claim that the table is complete up to any version.
    """
    change = TableChange([], {}, -1)
    for told in state.evacuations[:MAX_EVACUATIONS]:
        if not 0 < len(told.zone) <= MAX_ZONE_CHARACTERS:
            continue
        if not is_version(told.version):
            continue
        key = f"{EVACUATION_PREFIX}{told.zone}"
        if told.ended:
            change.removed_by_key[key] = told.version
        else:
            change.rows.append(Row(key, told.version, b""))
    return change
