"""Which router incarnations a sidecar refuses, and which are connected."""

from collections import OrderedDict

from bluebellshore.ids import IncarnationId
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["FencedIncarnations"]

MAX_FENCED_INCARNATIONS = 10_000


class FencedIncarnations:
    """Fenced incarnations and live links.

    :param link_timeout_seconds: time after its last frame for which a link counts as
        connected.
    """

    def __init__(self, link_timeout_seconds: float):
        self._link_timeout_seconds = link_timeout_seconds
        self._fenced: OrderedDict[IncarnationId, None] = OrderedDict()

    def fence(self, incarnation: IncarnationId) -> None:
        """Refuse `incarnation` from now on."""
        self._fenced[incarnation] = None
        if len(self._fenced) > MAX_FENCED_INCARNATIONS:
            self._fenced.popitem(last=False)

    def is_fenced(self, incarnation: IncarnationId) -> bool:
        """Return whether `incarnation` is refused."""
        return incarnation in self._fenced

    def is_connected(
        self, incarnation: IncarnationId, links: set[SidecarLink], now: float
    ) -> bool:
        """Return whether a live link of `incarnation` stands."""
        return any(
            link.incarnation == incarnation
            and now - link.last_received <= self._link_timeout_seconds
            for link in links
        )
