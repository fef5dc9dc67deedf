"""Decides which requests leave their availability zone for a server elsewhere.

Handles demand or servers that are uneven between zones. A zone that serves its own
requests keeps their bytes off the links between zones, until it is busier than the
others. From then on a share of its requests leaves, which follows the load that all
routers know. A request also leaves, whatever the share, if the zone has no room for it
or would answer it late.
"""

from enum import Enum

import msgspec
import xxhash

from bluebellshore.fleet import Call
from bluebellshore.ids import ServiceName, ZoneName

__all__ = ["LATE_SHARE", "LeaveReason", "ZoneSpill", "server_use"]

#: Servers of a service in the largest zone from which zones keep their requests: three
#: times those that affinity assigns to a shared prompt part.
MIN_ZONE_SERVERS = 6
#: Time for which servers that left still count, so that restarts change nothing.
COUNT_LIFETIME_SECONDS = 60.0
#: Time between updates of the share, and the longest that one update accounts for.
UPDATE_SECONDS = 0.25
MAX_UPDATE_SECONDS = 1.0
#: Use up to which a zone serves all of its requests.
BUSY_USE = 0.25
#: Difference in use between zones that is left as it is, and the further difference
#: below which a share that was raised is not lowered again.
UNEVEN_USE = 0.05
RETURN_USE = 0.05
#: Change of the share in a second for a difference in use of 1, up and down.
SHARE_GAIN_PER_SECOND = 0.4
RETURN_GAIN_PER_SECOND = 0.8
#: Delay of a request that crosses, apart from its bytes.
CROSSING_SECONDS = 0.01
#: Expected size of an answer.
ANSWER_BYTES_PER_TOKEN = 8
BYTES_PER_MEGABYTE = 1e6
#: Weight of a new request in the mean cost of crossing.
MEAN_WEIGHT = 1 / 64
#: Bounds of a request's weight in the share.
MIN_WEIGHT, MAX_WEIGHT = 1 / 8, 8.0
#: Part of the latency objective beyond which a first event is expected late.
LATE_SHARE = 0.6


class LeaveReason(Enum):
    """Why a request was sent to another zone."""

    #: The zone is busier than the others, and the request is in the share that leaves.
    SHARE = "share"
    NO_ROOM = "no room"
    #: The first event would come late in the own zone.
    LATE = "late"
    NO_SERVER = "no server"
    #: The zone doesn't keep the service's requests; the other server cost less.
    COST = "cost"


class _ServiceState(msgspec.Struct):
    """State of a service in this router's zone.

    :param servers: most servers that were known in one zone lately.
    :param mean_seconds: mean cost of crossing.
    """

    servers: int = 0
    counted_at: float = 0.0
    share: float = 0.0
    updated_at: float | None = None
    own_use: float = 0.0
    other_use: float | None = None
    mean_seconds: float = 0.0


class ZoneSpill:
    """Decides when a request leaves the zone of its router, and how many do.

    Every router follows the same load reports, so the routers of a zone come to nearly
    the same share without a message of their own. The share moves in proportion to the
    difference in use, and requests are chosen by a hash: no two routers need to agree,
    and none sends all of its requests at once.

    :param zone: availability zone of this router.
    :param seconds_per_megabyte: delay that is worth as much as a megabyte sent between
        zones; 0 if zones don't keep their requests.
    """

    def __init__(self, zone: ZoneName, seconds_per_megabyte: float):
        self.zone = zone
        self._seconds_per_byte = seconds_per_megabyte / BYTES_PER_MEGABYTE
        self._state_by_service: dict[ServiceName, _ServiceState] = {}

    def keeps_requests(self, service: ServiceName, servers: int, now: float) -> bool:
        """Return whether zones have servers enough to keep a service's requests.

        :param servers: usable servers of the service in the zone that has most, so that
            all routers come to the same answer.
        :param now: monotonic seconds.
        """
        if not self._seconds_per_byte:
            return False
        state = self._state(service)
        expired = now - state.counted_at >= COUNT_LIFETIME_SECONDS
        if servers >= state.servers or expired:
            state.servers, state.counted_at = servers, now
        return self.keeps(service)

    def keeps(self, service: ServiceName) -> bool:
        """Return the same as the last call of `keeps_requests`."""
        return self._state(service).servers >= MIN_ZONE_SERVERS

    def is_due(self, service: ServiceName, now: float) -> bool:
        """Return whether the share is to be updated."""
        updated_at = self._state(service).updated_at
        return updated_at is None or now - updated_at >= UPDATE_SECONDS

    def update(
        self, service: ServiceName, own_use: float, other_use: float | None, now: float
    ) -> None:
        """Move the share that leaves toward even use.

        :param own_use: mean use of the zone's servers; see :func:`server_use`.
        :param other_use: the same of all other zones; None if they have no server.
        """
        state = self._state(service)
        elapsed = 0.0 if state.updated_at is None else now - state.updated_at
        state.updated_at, state.own_use, state.other_use = now, own_use, other_use
        if other_use is None:
            state.share = 0.0
            return
        excess = own_use - max(BUSY_USE, other_use + UNEVEN_USE)
        gain = SHARE_GAIN_PER_SECOND
        if excess < 0:
            gain = RETURN_GAIN_PER_SECOND
            excess = min(0.0, excess + RETURN_USE)
        step = gain * excess * min(elapsed, MAX_UPDATE_SECONDS)
        state.share = min(1.0, max(0.0, state.share + step))

    def share(self, service: ServiceName) -> float:
        """Return the share of a service's requests that leaves the zone."""
        return self._state(service).share

    def uses(self, service: ServiceName) -> tuple[float, float | None]:
        """Return the use of the own zone and of the others at the last update."""
        state = self._state(service)
        return state.own_use, state.other_use

    def shares_by_service(self) -> dict[ServiceName, float]:
        """Return the shares of all services that the zone keeps."""
        return {
            service: state.share
            for service, state in self._state_by_service.items()
            if self.keeps(service)
        }

    def crossing_seconds(self, call: Call, reread_seconds: float) -> float:
        """Return what it costs to send a request to another zone.

        :param reread_seconds: time to read prompt parts there that the own zone has.
        """
        answer_bytes = call.max_output_tokens * ANSWER_BYTES_PER_TOKEN
        transfer = (len(call.body) + answer_bytes) * self._seconds_per_byte
        return CROSSING_SECONDS + transfer + reread_seconds

    def is_in_share(self, call: Call, service: ServiceName, seconds: float) -> bool:
        """Return whether a request belongs to the share that leaves.

        Requests that cost less than the mean to send leave before those that cost
        more.

        :param seconds: cost of crossing.
        """
        state = self._state(service)
        mean = state.mean_seconds or seconds
        state.mean_seconds = mean + MEAN_WEIGHT * (seconds - mean)
        if not state.share:
            return False
        weight = min(MAX_WEIGHT, max(MIN_WEIGHT, mean / seconds))
        point = xxhash.xxh32_intdigest(f"{call.attempt_id}/zone".encode()) / 2**32
        return point < 1 - (1 - state.share) ** weight

    def _state(self, service: ServiceName) -> _ServiceState:
        return self._state_by_service.setdefault(service, _ServiceState())


def server_use(
    *,
    slot_use: float,
    memory_use: float,
    backlog_seconds: float,
    objective_seconds: float,
) -> float:
    """Return how much of a server's room is taken, by what is scarcest.

    :param slot_use: share of its slots.
    :param memory_use: share of its memory.
    :param backlog_seconds: time to read the prompts that wait there.
    :param objective_seconds: shortest latency objective of the requests.
    """
    limit_seconds = LATE_SHARE * objective_seconds
    backlog_use = backlog_seconds / limit_seconds if limit_seconds else 0.0
    return max(slot_use, memory_use, backlog_use)
