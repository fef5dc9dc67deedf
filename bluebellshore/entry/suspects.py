"""Writes which backend servers are left out, and since what."""

from bluebellshore.decisions import Belief, DecisionLog
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.suspicion import Suspicion

__all__ = ["SuspectLines"]


class SuspectLines:
    """Compares who is under suspicion with the last look."""

    def __init__(self, suspicion: Suspicion, log: DecisionLog):
        self._suspicion = suspicion
        self._log = log
        self._suspects: set[BackendServerId] = set()

    def look(self) -> None:
        """Write what changed since the last look."""
        suspects = set(self._suspicion.left_out())
        for server_id in sorted(suspects - self._suspects):
            self._log.backend_server(
                server_id,
                Belief.SUSPECTED,
                reason="its attempts fail",
                inputs=self._suspicion.evidence(server_id),
            )
        for server_id in sorted(self._suspects - suspects):
            self._log.backend_server(
                server_id,
                Belief.TRUSTED,
                reason="it answers again, or it began anew",
                inputs=self._suspicion.evidence(server_id),
            )
        self._suspects = suspects
