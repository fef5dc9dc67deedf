"""Decides when an instance with a full link gets no new connections for a while."""

from collections.abc import Collection

import msgspec

from bluebellshore.ids import InstanceId
from bluebellshore.routing.instance_room import RoomState

__all__ = ["InstanceRotation", "ZoneMember"]

#: Load from which an instance leaves the rotation, with a reserve for the time until
#: the platform has noticed.
LEAVE_LOAD = 0.65
#: Load below which it comes back, and to which it sheds connections.
RETURN_LOAD = 0.45
#: Load up to which others take what is shed.
TAKE_LOAD = 0.5
#: Largest share of a zone out of rotation. The platform uses all instances of a zone
#: with fewer than half in rotation.
MAX_OUT_SHARE = 0.34
#: Time out of rotation. Clients that come back may fill the instance again, and callers
#: wait for some 3 s until the platform has moved them: a twentieth of the time.
OUT_SECONDS = 60.0
#: Time after which it returns in any case if the others of its zone run out of room.
MIN_OUT_SECONDS = 5.0
#: Factor for it if the instance fills up again within a time after its return, as its
#: clients came back, and the longest such time.
RELAPSE_FACTOR = 2.0
RELAPSE_SECONDS = 10.0
MAX_OUT_SECONDS = 240.0
#: Longest time for which it stays out beyond that with a load above `RETURN_LOAD`.
MAX_LOADED_SECONDS = 10.0
#: Largest age at which what an instance told counts. A full link delays it, too.
MAX_VIEW_SECONDS = 8.0
#: Time for which a router that isn't heard of any more counts as out of rotation.
MEMORY_SECONDS = 15.0


class ZoneMember(msgspec.Struct, frozen=True):
    """What is known of an entry instance of a zone.

    :param load: share of its link in use.
    :param capacity: bandwidth of its link in bytes per second.
    :param out: whether it is out of rotation.
    :param seen_at: monotonic seconds at which it told this.
    """

    instance_id: InstanceId
    load: float
    capacity: float
    state: RoomState
    out: bool
    seen_at: float

    @property
    def spare(self) -> float:
        """Bytes per second that it takes without filling up."""
        return max(0.0, TAKE_LOAD - self.load) * self.capacity


class InstanceRotation:
    """Whether this instance is in the platform's rotation.

    Load pattern: the platform picks an instance by a hash of the client, so that a busy
    client fills one small instance while others of the zone are idle. An instance whose
    link fills up leaves the rotation while others have room, sheds connections, whose
    clients are given to others, and comes back.

    A part of a zone leaves at a time, the fullest first. Nobody leaves on an old view
    or alone. Clients that come back soon keep it out longer the next time.

    :ivar out_since: monotonic seconds at which it left; None while in rotation.
    """

    def __init__(self) -> None:
        self._returned_at = float("-inf")
        self._out_seconds = OUT_SECONDS
        self.out_since: float | None = None

    @property
    def is_out(self) -> bool:
        """Whether this instance is out of rotation."""
        return self.out_since is not None

    def update(
        self, own: ZoneMember, others: Collection[ZoneMember], now: float
    ) -> bool:
        """Decide anew. :return: whether this instance is out of rotation.

        :param own: this instance's state.
        :param others: the other instances of the zone that were heard of.
        :param now: monotonic seconds.
        """
        zone = _Zone(
            [member for member in others if now - member.seen_at <= MEMORY_SECONDS],
            [member for member in others if now - member.seen_at <= MAX_VIEW_SECONDS],
        )
        if self.out_since is None:
            if zone.lets_leave(own):
                relapsed = now - self._returned_at <= RELAPSE_SECONDS
                self._out_seconds = (
                    min(MAX_OUT_SECONDS, RELAPSE_FACTOR * self._out_seconds)
                    if relapsed
                    else OUT_SECONDS
                )
                self.out_since = now
        elif self._may_return(own, zone, now):
            self.out_since, self._returned_at = None, now
        return self.is_out

    def _may_return(self, own: ZoneMember, zone: "_Zone", now: float) -> bool:
        seconds = now - self.out_since
        if seconds >= MIN_OUT_SECONDS and own.load <= RETURN_LOAD and zone.is_short:
            return True
        left_seconds = self._out_seconds - seconds
        if own.load > RETURN_LOAD:
            left_seconds += MAX_LOADED_SECONDS
        return left_seconds <= 0


class _Zone:
    """The other instances of a zone.

    :param known: those heard of within `MEMORY_SECONDS`.
    :param fresh: those of them whose state is recent.
    """

    def __init__(self, known: list[ZoneMember], fresh: list[ZoneMember]):
        self._known = known
        self._fresh_in = [member for member in fresh if not member.out]
        self.is_known = 2 * len(fresh) > len(known)

    @property
    def is_short(self) -> bool:
        """Whether more than half of the instances in rotation are filling or full.

        Also if none is in rotation, unless the view is too old to tell.
        """
        if not self._fresh_in:
            return self.is_known
        short = sum(m.state is not RoomState.AMPLE for m in self._fresh_in)
        return 2 * short > len(self._fresh_in)

    def lets_leave(self, own: ZoneMember) -> bool:
        """Return whether `own` is among the fullest, and others can take its load."""
        if own.load < LEAVE_LOAD or not self.is_known:
            return False
        shed = (own.load - RETURN_LOAD) * own.capacity
        if sum(member.spare for member in self._fresh_in) < shed:
            return False
        # An instance that isn't heard of may be down.
        out = len(self._known) - len(self._fresh_in)
        places = int(MAX_OUT_SHARE * (len(self._known) + 1)) - out
        fuller = sum(
            member.load >= LEAVE_LOAD and _urgency(member) > _urgency(own)
            for member in self._fresh_in
        )
        return fuller < places


def _urgency(member: ZoneMember) -> tuple[float, InstanceId]:
    return member.load, member.instance_id
