"""Keeps which availability zones an operator has asked to be emptied.

Handles a zone whose backend servers must get nothing more, for as long as the operator
wants. A router that went on sending there would undo what the operator does to it.
"""

from collections.abc import Iterable

import msgspec

from bluebellshore.fleet import BackendServer
from bluebellshore.ids import ZoneName

__all__ = ["Evacuation", "ZoneEvacuations"]


class Evacuation(msgspec.Struct, frozen=True):
    """An evacuation in force.

    :param version: row version of the operator's request.
    :param source: ``"store"`` or the address of the peer that told of it.
    :param began_at: monotonic seconds from which it is in force here.
    """

    zone: ZoneName
    version: int
    source: str
    began_at: float


class ZoneEvacuations:
    """Evacuations in force at this router.

    :ivar by_zone: evacuations by the zone that gets no new work.
    """

    def __init__(self) -> None:
        self.by_zone: dict[ZoneName, Evacuation] = {}
        self._grace_until: dict[ZoneName, float] = {}
        self._new_zones: list[ZoneName] = []
        self._last_sent_at: dict[ZoneName, float] = {}

    def request(self, zone: ZoneName, version: int, source: str, now: float) -> None:
        """Put an evacuation in force, or keep it with the version of a later request.

        :param now: monotonic seconds.
        """
        known = self.by_zone.get(zone)
        self._grace_until.pop(zone, None)
        if known is None:
            self._new_zones.append(zone)
        self.by_zone[zone] = (
            Evacuation(zone, version, source, now)
            if known is None
            else msgspec.structs.replace(known, version=version)
        )

    def take_back(self, zone: ZoneName) -> None:
        """End an evacuation."""
        self.by_zone.pop(zone, None)
        self._grace_until.pop(zone, None)

    def take_back_at(self, zone: ZoneName, until: float) -> None:
        """End an evacuation later, unless it is requested again before.

        Its request is missing in a store that came back from an older copy, and the
        operator has yet to write it again.

        :param until: monotonic seconds.
        """
        if zone in self.by_zone:
            self._grace_until.setdefault(zone, until)

    def expire(self, now: float) -> None:
        """End the evacuations whose time to be requested again is over."""
        for zone, until in list(self._grace_until.items()):
            if now >= until:
                self.take_back(zone)

    def take_new(self) -> list[ZoneName]:
        """Return the zones whose evacuation came into force since the last call."""
        zones, self._new_zones = self._new_zones, []
        return zones

    def record_sent(self, server: BackendServer, now: float) -> None:
        """Note that a request goes to a server."""
        self._last_sent_at[server.zone] = now

    def last_sent_at(self, zone: ZoneName) -> float | None:
        """Return when the last request went to a zone; None for none."""
        return self._last_sent_at.get(zone)

    def is_evacuated(self, server: BackendServer) -> bool:
        """Return whether a server may get nothing new because of its zone."""
        return server.zone in self.by_zone

    def allowed(self, servers: Iterable[BackendServer]) -> list[BackendServer]:
        """Return the servers that are in no evacuated zone."""
        return [server for server in servers if not self.is_evacuated(server)]
