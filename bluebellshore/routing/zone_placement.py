"""Placement that keeps requests in their availability zone until leaving it pays.

Handles the same load as :mod:`bluebellshore.routing.placement`, in deployments that
have servers enough in each zone and pay for bytes between zones. Shared prompt parts
get their servers in each zone, so that a request finds them without leaving it.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

import msgspec

from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId, ServiceName, ZoneName
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.placement import (
    MAX_OPTIONS,
    Placement,
    PlacementOption,
    Placer,
    Wait,
)
from bluebellshore.routing.zone_spill import (
    LATE_SHARE,
    LeaveReason,
    ZoneSpill,
    server_use,
)

__all__ = ["ZonePlacer"]

#: Difference in slot use for which a request leaves the zone of a plain server.
PLAIN_CROSSING_USE = 0.3


class ZonePlacer(Placer):
    """Places requests in the router's zone, unless leaving it pays.

    Plain services stay as well once some service with engines does.

    :param spill: decides which requests leave the zone.
    """

    def __init__(self, loads: LoadTracker, spill: ZoneSpill):
        super().__init__(loads, spill.zone)
        self._spill = spill
        #: Shortest latency objective of the requests that came.
        self._objective_by_service: dict[ServiceName, float] = {}

    def place_among(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        usable: Sequence[BackendServer],
        now: float,
    ) -> Placement | Wait:
        """Choose a server of the own zone, or another if it pays to leave."""
        service, zone = usable[0].service, self._zone
        counts_by_zone = Counter(server.zone for server in candidates)
        most = max(counts_by_zone.values())
        if not call.prompt or not self._spill.keeps_requests(service, most, now):
            return super().place_among(call, candidates, usable, now)
        near = [server for server in usable if server.zone == zone]
        far = [server for server in usable if server.zone != zone]
        self._update_share(call, near, far, now)
        stay = None
        if near:
            stay = super().place_among(call, candidates, near, now)
        reason = self._reason_to_leave(call, stay)
        if not far or reason is None:
            return stay
        leave = super().place_among(call, candidates, far, now)
        if not isinstance(leave, Placement):
            return stay or leave
        if isinstance(stay, Placement) and not self._pays(call, reason, stay, leave):
            return stay
        return msgspec.structs.replace(leave, left_zone=reason)

    def choose_plain_server(
        self, call: Call, options: Sequence[PlacementOption]
    ) -> PlacementOption:
        """Choose the least loaded server; one elsewhere must be clearly less loaded."""
        if not self._spill.shares_by_service():
            return super().choose_plain_server(call, options)

        def cost(option: PlacementOption) -> float:
            slot_use = option.load.running / max(1, option.server.slots)
            if option.server.zone != self._zone:
                slot_use += PLAIN_CROSSING_USE
            return slot_use + self._tie_break(call, option.server)

        return min(options, key=cost)

    def _affinity_cost_shares(
        self, call: Call, candidates: Sequence[BackendServer]
    ) -> Mapping[BackendServerId, float]:
        """Return the affinity cost shares of the servers assigned in each zone.

        A request that leaves goes where the other zone's requests have their parts.
        """
        if not call.prompt or not self._spill.keeps(candidates[0].service):
            return super()._affinity_cost_shares(call, candidates)
        servers_by_zone: dict[ZoneName, list[BackendServer]] = {}
        for server in candidates:
            servers_by_zone.setdefault(server.zone, []).append(server)
        shares: dict[BackendServerId, float] = {}
        for servers in servers_by_zone.values():
            shares |= super()._affinity_cost_shares(call, servers)
        return shares

    def _update_share(
        self,
        call: Call,
        near: Sequence[BackendServer],
        far: Sequence[BackendServer],
        now: float,
    ) -> None:
        service = (near or far)[0].service
        objective_seconds = min(
            call.route.objective_seconds,
            self._objective_by_service.get(service, call.route.objective_seconds),
        )
        self._objective_by_service[service] = objective_seconds
        if not self._spill.is_due(service, now):
            return
        own_use = self._use_of(near, objective_seconds, now) if near else 1.0
        other_use = self._use_of(far, objective_seconds, now) if far else None
        self._spill.update(service, own_use, other_use, now)

    def _use_of(
        self, servers: Sequence[BackendServer], objective_seconds: float, now: float
    ) -> float:
        """Return the mean use of some servers, or of a sample of many."""
        sample = servers[:: -(-len(servers) // MAX_OPTIONS)]
        total = 0.0
        for server in sample:
            load = self._loads.load_of(server.server_id, now)
            memory = self._memory_of(server)
            speed = self._loads.speeds.tokens_per_second(server.service)
            total += server_use(
                slot_use=load.running / max(1, server.slots),
                memory_use=load.held_tokens / memory if memory else 0.0,
                backlog_seconds=load.prefill_tokens / speed,
                objective_seconds=objective_seconds,
            )
        return total / len(sample)

    def _reason_to_leave(
        self, call: Call, stay: Placement | Wait | None
    ) -> LeaveReason | None:
        """Return why a request may leave the zone; None if it stays.

        :param stay: decision for the own zone; None if it has no usable server.
        """
        if stay is None:
            return LeaveReason.NO_SERVER
        if not isinstance(stay, Placement):
            return LeaveReason.NO_ROOM
        if stay.expected_seconds > LATE_SHARE * call.route.objective_seconds:
            return LeaveReason.LATE
        if self._spill.share(stay.server.service):
            return LeaveReason.SHARE
        return None

    def _pays(
        self, call: Call, reason: LeaveReason, stay: Placement, leave: Placement
    ) -> bool:
        """Return whether the other server is in time, with what crossing costs."""
        service = stay.server.service
        reread_tokens = max(0, stay.cached_tokens - leave.cached_tokens)
        speed = self._loads.speeds.tokens_per_second(service)
        seconds = self._spill.crossing_seconds(call, reread_tokens / speed)
        chosen = reason is LeaveReason.LATE
        if reason is LeaveReason.SHARE:
            chosen = self._spill.is_in_share(call, service, seconds)
        limit = LATE_SHARE * call.route.objective_seconds
        return chosen and leave.expected_seconds + seconds <= limit
