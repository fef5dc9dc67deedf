"""Logs which backend servers are ejected as outliers, and the evidence for it."""

from bluebellshore.decisions import Belief, DecisionLog
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.outlier_detection import OutlierDetector

__all__ = ["EjectionLog"]


class EjectionLog:
    """Logs each backend server that is ejected as an outlier or trusted again."""

    def __init__(self, outliers: OutlierDetector, log: DecisionLog):
        self._outliers = outliers
        self._log = log
        self._logged_ejected: set[BackendServerId] = set()

    def log_changes(self) -> None:
        """Log the changes since the last call."""
        ejected = set(self._outliers.ejected())
        for server_id in sorted(ejected - self._logged_ejected):
            self._log.backend_server(
                server_id,
                Belief.SUSPECTED,
                reason="its attempts failed or gave no answer in time",
                inputs=self._outliers.evidence(server_id),
            )
        for server_id in sorted(self._logged_ejected - ejected):
            self._log.backend_server(
                server_id,
                Belief.TRUSTED,
                reason="it answered probes, or it was restarted or removed",
                inputs=self._outliers.evidence(server_id),
            )
        self._logged_ejected = ejected
