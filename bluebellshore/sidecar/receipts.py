"""Receipts that the ledger does not have yet."""

from bluebellshore.ids import IncarnationId
from bluebellshore.wire import link_pb2 as pb

__all__ = ["PendingReceipts"]


class PendingReceipts:
    """Unacknowledged receipts by attempt, with the incarnation that pays."""

    def __init__(self) -> None:
        self.by_attempt: dict[str, pb.Receipt] = {}

    def add(self, receipt: pb.Receipt) -> None:
        """Keep a receipt until it is acknowledged."""
        self.by_attempt[receipt.attempt] = receipt

    def acknowledge(self, attempt: str) -> None:
        """Forget a receipt whose bill is in the ledger."""
        self.by_attempt.pop(attempt, None)

    def of_incarnation(self, incarnation: IncarnationId) -> list[pb.Receipt]:
        """Return the receipts that `incarnation` pays."""
        return [
            receipt
            for receipt in self.by_attempt.values()
            if receipt.incarnation == incarnation
        ]
