"""Wire form of the room of entry instances, which routers tell each other."""

from bluebellshore.entry.message_values import is_count
from bluebellshore.ids import InstanceId, ZoneName
from bluebellshore.routing.instance_room import RoomState
from bluebellshore.routing.instance_rotation import ZoneMember
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["read_member", "write_member"]

_LEVELS_BY_STATE = {
    RoomState.AMPLE: pb.ROOM_LEVEL_AMPLE,
    RoomState.FILLING: pb.ROOM_LEVEL_FILLING,
    RoomState.FULL: pb.ROOM_LEVEL_FULL,
}
_STATES_BY_LEVEL = {level: state for state, level in _LEVELS_BY_STATE.items()}


def write_member(member: ZoneMember, zone: ZoneName, state: pb.PeerState) -> None:
    """Add this instance's room to a message."""
    room = state.room
    room.zone, room.load = zone, member.load
    room.capacity, room.out = member.capacity, member.out
    room.level = _LEVELS_BY_STATE[member.state]


def read_member(state: pb.PeerState, zone: ZoneName, now: float) -> ZoneMember | None:
    """Return the room that a message tells; None without one, or in another zone.

    :param now: monotonic seconds.
    """
    room = state.room
    if not state.HasField("room") or room.zone != zone:
        return None
    if not (is_count(room.load) and is_count(room.capacity)):
        return None
    return ZoneMember(
        instance_id=InstanceId(state.instance_id),
        load=room.load,
        capacity=room.capacity,
        # A level that this build doesn't know has no less load than a full one.
        state=_STATES_BY_LEVEL.get(room.level, RoomState.FULL),
        out=room.out or state.leaving,
        seen_at=now,
    )
