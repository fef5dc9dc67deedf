"""Logs the evacuations of availability zones and the warm-up of backend servers."""

from bluebellshore.decisions import Belief, DecisionLog, EvacuationStep
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.fleet import BackendServer, ServerState
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.routing.evacuations import Evacuation
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.warmup import WarmupPolicy

__all__ = ["ZoneLog"]


class ZoneLog:
    """Logs each evacuation and each cold backend server, from its begin to its end.

    :param loads: counts the requests of this router that run in a zone.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        warmups: WarmupPolicy,
        loads: LoadTracker,
        log: DecisionLog,
    ):
        self._platform_state = platform_state
        self._warmups = warmups
        self._loads = loads
        self._log = log
        self._evacuations: dict[ZoneName, Evacuation] = {}
        self._drained: set[ZoneName] = set()
        #: Requests sent so far to each server that was cold at the last call.
        self._sent_by_cold: dict[BackendServerId, int] = {}

    @property
    def cold_count(self) -> int:
        """Number of servers that were cold at the last call."""
        return len(self._sent_by_cold)

    def evacuated_servers(self) -> list[BackendServer]:
        """Return the ready servers in evacuated zones."""
        return [
            server
            for server in self._platform_state.servers_by_id.values()
            if server.state is ServerState.READY
            and self._platform_state.evacuations.is_evacuated(server)
        ]

    def log_changes(self, now: float) -> None:
        """Log the changes since the last call.

        :param now: monotonic seconds.
        """
        self._log_evacuations(now)
        self._log_cold_servers(now)

    def _log_evacuations(self, now: float) -> None:
        in_force = dict(self._platform_state.evacuations.by_zone)
        for zone, evacuation in in_force.items():
            if zone not in self._evacuations:
                self._log.zone(
                    zone,
                    EvacuationStep.IN_FORCE,
                    source=evacuation.source,
                    row_version=evacuation.version,
                    servers=sum(s.zone == zone for s in self.evacuated_servers()),
                    running=self._running_in(zone),
                    last_request_seconds=self._last_request_seconds(evacuation),
                )
            if zone not in self._drained and not self._running_in(zone):
                self._drained.add(zone)
                self._log_end(evacuation, EvacuationStep.DRAINED, now)
        for zone in self._evacuations.keys() - in_force.keys():
            self._drained.discard(zone)
            self._log_end(self._evacuations[zone], EvacuationStep.TAKEN_BACK, now)
        self._evacuations = in_force

    def _log_end(self, evacuation: Evacuation, step: EvacuationStep, now: float):
        self._log.zone(
            evacuation.zone,
            step,
            row_version=evacuation.version,
            seconds=now - evacuation.began_at,
            last_request_seconds=self._last_request_seconds(evacuation),
        )

    def _last_request_seconds(self, evacuation: Evacuation) -> float | None:
        sent_at = self._platform_state.evacuations.last_sent_at(evacuation.zone)
        return None if sent_at is None else sent_at - evacuation.began_at

    def _running_in(self, zone: ZoneName) -> int:
        servers = self._platform_state.servers_by_id
        return sum(
            load.running
            for server_id, load in self._loads.own_loads().items()
            if server_id in servers and servers[server_id].zone == zone
        )

    def _log_cold_servers(self, now: float) -> None:
        sent_by_cold = {}
        for server in self._platform_state.servers_by_id.values():
            seconds = self._warmups.cold_seconds(server, now)
            if not seconds:
                continue
            sent_by_cold[server.server_id] = self._warmups.sent_to(server.server_id)
            if server.server_id not in self._sent_by_cold:
                rate = self._platform_state.cold_rate(server)
                inputs = {"requests_per_second": rate, "seconds_left": seconds}
                self._log.backend_server(
                    server.server_id,
                    Belief.COLD,
                    reason="stated in its entry",
                    inputs=inputs,
                )
        for server_id in self._sent_by_cold.keys() - sent_by_cold.keys():
            if server_id in self._platform_state.servers_by_id:
                self._log.backend_server(
                    server_id,
                    Belief.WARM,
                    reason="its warm-up is over by its entry",
                    inputs={"requests": self._sent_by_cold[server_id]},
                )
        self._sent_by_cold = sent_by_cold
