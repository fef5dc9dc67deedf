"""Which backend servers to leave out. First version: none."""

from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.load import Result

__all__ = ["Suspicion"]


class Suspicion:
    """Uses every backend server that is listed."""

    def usable(self, servers: list[BackendServer], now: float) -> list[BackendServer]:
        """Return the servers that may be sent requests."""
        return servers

    def record(
        self, server_id: BackendServerId, result: Result, seconds: float, now: float
    ) -> None:
        """Note how an attempt ended."""
