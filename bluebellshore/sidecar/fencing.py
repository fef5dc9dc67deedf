"""Fencing of router incarnations, and the check whether one is connected."""

from collections import OrderedDict

from bluebellshore.ids import IncarnationId
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["FencedIncarnations"]

MAX_FENCED_INCARNATIONS = 10_000


class FencedIncarnations:
    """Router incarnations from which the sidecar accepts no requests.

    At most :data:`MAX_FENCED_INCARNATIONS` are kept; the oldest are dropped first.

    :param link_timeout_seconds: time after its last frame for which a link counts as
        connected.
    """

    def __init__(self, link_timeout_seconds: float):
        self._link_timeout_seconds = link_timeout_seconds
        self._fenced: OrderedDict[IncarnationId, None] = OrderedDict()

    def fence(self, incarnation: IncarnationId) -> None:
        """Refuse requests of `incarnation` from now on."""
        self._fenced[incarnation] = None
        if len(self._fenced) > MAX_FENCED_INCARNATIONS:
            self._fenced.popitem(last=False)

    def is_fenced(self, incarnation: IncarnationId) -> bool:
        """Return whether requests of `incarnation` are refused."""
        return incarnation in self._fenced

    def is_connected(
        self, incarnation: IncarnationId, links: set[SidecarLink], now: float
    ) -> bool:
        """Return whether a link of `incarnation` received a frame recently.

        :param links: open links of the sidecar.
        :param now: loop time in seconds.
        """
        return any(
            link.incarnation == incarnation
            and now - link.last_received <= self._link_timeout_seconds
            for link in links
        )
