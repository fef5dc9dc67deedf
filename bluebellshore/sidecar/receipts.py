"""Receipts whose bills are not in the ledger yet."""

from bluebellshore.ids import IncarnationId
from bluebellshore.wire import link_pb2 as pb

__all__ = ["PendingReceipts"]


class PendingReceipts:
    """Receipts that no router has acknowledged.

    :ivar by_attempt: receipts by attempt id; each names the router incarnation from
        whose allotment the attempt is paid.
    """

    def __init__(self) -> None:
        self.by_attempt: dict[str, pb.Receipt] = {}

    def add(self, receipt: pb.Receipt) -> None:
        """Store a receipt until its acknowledgement."""
        self.by_attempt[receipt.attempt] = receipt

    def acknowledge(self, attempt: str) -> None:
        """Remove a receipt whose bill is in the ledger."""
        self.by_attempt.pop(attempt, None)

    def of_incarnation(self, incarnation: IncarnationId) -> list[pb.Receipt]:
        """Return the receipts of attempts that `incarnation` pays."""
        return [
            receipt
            for receipt in self.by_attempt.values()
            if receipt.incarnation == incarnation
        ]
