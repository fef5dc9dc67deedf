"""Chooses the routers that send to a backend server that limits its rate.

Handles limits that hold for all routers together, in fleets of any size. Were each
router to take an equal share, hundreds of shares would be far below one request, and
whatever each rounds up to would add up to a multiple of the limit. So a few routers,
found by rendezvous hashing, share the rate, and the others send nothing there.
"""

from collections.abc import Collection

import msgspec

from bluebellshore.ids import BackendServerId, InstanceId
from bluebellshore.routing.affinity import rendezvous_order

__all__ = ["RateSenders", "SharedRate"]

#: Routers that share any rate, and further ones for each request a second. While the
#: members change, one or two more may send: their shares must fit into the excess that
#: backend servers tolerate.
MIN_SENDERS = 2
SENDERS_PER_REQUEST_A_SECOND = 1.0
#: Time for which a router that doesn't count as alive any more keeps its place.
TAKEOVER_SECONDS = 2.0
#: Time for which a router that vanished counts for the majority.
MEMORY_SECONDS = 600.0
#: Pause between updates after which this router is taken to have stood still.
MAX_UPDATE_GAP_SECONDS = 1.0


class SharedRate(msgspec.Struct, frozen=True):
    """Rate of requests to one backend server that all routers share.

    :param max_senders: routers that may share it; None for the usual number.
    :param burst_requests: requests that a router may send at once after a pause; None
        for the usual number.
    """

    requests_per_second: float
    max_senders: int | None = None
    burst_requests: float | None = None


class _Node(msgspec.Struct, frozen=True):
    instance_id: InstanceId


class RateSenders:
    """The routers that may send to each rate-limited backend server.

    Routers that know the same members agree. A router that just started or stood still
    sends nothing until the others know it again, and neither does one that reaches no
    majority of the members: its place may have been taken.

    :param own: this router.
    """

    def __init__(self, own: InstanceId):
        self._own = own
        #: Monotonic seconds at which each other router last counted as alive.
        self._seen_at: dict[InstanceId, float] = {}
        self._updated_at: float | None = None
        self._joined_at = 0.0
        self._leaving = False
        self._settle_seconds = 0.0
        self._members: frozenset[InstanceId] = frozenset()
        self._has_majority = False
        self._senders_by_server: dict[
            tuple[BackendServerId, int], tuple[InstanceId, ...]
        ] = {}

    def update(
        self,
        alive: Collection[InstanceId],
        leaving: Collection[InstanceId],
        *,
        registered: int,
        settle_seconds: float,
        now: float,
    ) -> None:
        """Note which other routers are members now; to be called often.

        :param alive: other routers that are alive.
        :param leaving: those of them that are shutting down, and send nothing there.
        :param registered: routers in the registry, this one included; 0 if unknown.
        :param settle_seconds: time until all members know a router that started.
        :param now: monotonic seconds.
        """
        if self._updated_at is None or now - self._updated_at > MAX_UPDATE_GAP_SECONDS:
            self._joined_at = now
        self._updated_at, self._settle_seconds = now, settle_seconds
        for instance_id in alive:
            self._seen_at[instance_id] = now
        for instance_id in leaving:
            self._seen_at.pop(instance_id, None)
        for instance_id, seen_at in list(self._seen_at.items()):
            if now - seen_at > MEMORY_SECONDS:
                del self._seen_at[instance_id]
        members = frozenset(
            (
                self._own,
                *(i for i, at in self._seen_at.items() if now - at <= TAKEOVER_SECONDS),
            )
        )
        self._has_majority = self._is_majority(members, registered, now)
        if members != self._members:
            self._members = members
            self._senders_by_server.clear()

    def leave(self) -> None:
        """Send to no limited server any more, as others take this router's places."""
        self._leaving = True

    def share(
        self,
        server_id: BackendServerId,
        requests_per_second: float,
        now: float,
        max_senders: int | None = None,
    ) -> float:
        """Return this router's share of a server's rate, in requests a second.

        :param requests_per_second: rate for all routers together.
        :param max_senders: routers that may share it; None for the usual number.
        """
        if self._updated_at is None or now - self._updated_at > MAX_UPDATE_GAP_SECONDS:
            # The router stood still: others may have taken its place.
            return 0.0
        settled = now - self._joined_at >= self._settle_seconds
        if self._leaving or not self._has_majority or not settled:
            return 0.0
        most = MIN_SENDERS + int(requests_per_second * SENDERS_PER_REQUEST_A_SECOND)
        if max_senders is not None:
            most = min(most, max_senders)
        senders = self._senders(server_id, most)
        return requests_per_second / len(senders) if self._own in senders else 0.0

    def _is_majority(
        self, members: frozenset[InstanceId], registered: int, now: float
    ) -> bool:
        known = {self._own, *self._seen_at}
        if len(known) == 1 and registered != 1:
            # The others may serve without this router having met them.
            return now - self._joined_at >= MEMORY_SECONDS
        if 2 * len(members) == len(known):
            return min(known) in members
        return 2 * len(members) > len(known)

    def _senders(self, server_id: BackendServerId, most: int) -> tuple[InstanceId, ...]:
        key = (server_id, most)
        senders = self._senders_by_server.get(key)
        if senders is None:
            nodes = [_Node(member) for member in self._members]
            ordered = rendezvous_order(server_id.encode(), nodes)
            senders = tuple(node.instance_id for node in ordered[:most])
            self._senders_by_server[key] = senders
        return senders
