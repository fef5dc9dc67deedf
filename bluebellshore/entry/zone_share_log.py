"""Logs which share of a service's requests leaves the availability zone."""

from bluebellshore.decisions import DecisionLog
from bluebellshore.ids import ServiceName
from bluebellshore.routing.zone_spill import ZoneSpill

__all__ = ["ZoneShareLog"]

#: Change of a share that is logged. The first request that leaves and the return to
#: zero are logged as well.
LOGGED_CHANGE = 0.1


class ZoneShareLog:
    """Logs each notable change of a share that leaves the zone."""

    def __init__(self, spill: ZoneSpill, log: DecisionLog):
        self._spill = spill
        self._log = log
        self._logged_by_service: dict[ServiceName, float] = {}

    def log_changes(self) -> None:
        """Log the changes since the last call."""
        for service, share in self._spill.shares_by_service().items():
            logged = self._logged_by_service.get(service, 0.0)
            same_side = bool(share) == bool(logged)
            if same_side and abs(share - logged) < LOGGED_CHANGE:
                continue
            self._logged_by_service[service] = share
            own_use, other_use = self._spill.uses(service)
            self._log.notice(
                "zone",
                "the share of requests that leaves the zone changed",
                zone=self._spill.zone,
                service=service,
                share=round(share, 2),
                own_use=round(own_use, 2),
                other_use=None if other_use is None else round(other_use, 2),
            )
