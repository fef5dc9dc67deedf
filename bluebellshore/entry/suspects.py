"""Logs which backend servers are ejected as outliers, and the evidence for it."""

from bluebellshore.decisions import Belief, DecisionLog
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.suspicion import Suspicion

__all__ = ["SuspectLines"]


class SuspectLines:
    """Logs each backend server that is ejected as an outlier or trusted again."""

    def __init__(self, suspicion: Suspicion, log: DecisionLog):
        self._suspicion = suspicion
        self._log = log
        self._suspects: set[BackendServerId] = set()

    def look(self) -> None:
        """Log the changes since the last call."""
        suspects = set(self._suspicion.left_out())
        for server_id in sorted(suspects - self._suspects):
            self._log.backend_server(
                server_id,
                Belief.SUSPECTED,
                reason="too many attempts at it failed or were too slow",
                inputs=self._suspicion.evidence(server_id),
            )
        for server_id in sorted(self._suspects - suspects):
            self._log.backend_server(
                server_id,
                Belief.TRUSTED,
                reason="it answered probes, or it was restarted or removed",
                inputs=self._suspicion.evidence(server_id),
            )
        self._suspects = suspects
