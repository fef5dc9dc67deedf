"""Token reservations of attempts, from before the start until the receipt."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable

from bluebellshore.budget import Accountant
from bluebellshore.ids import IncarnationId
from bluebellshore.router.calls import Call
from bluebellshore.router.peers import Peer
from bluebellshore.wire import link_pb2 as pb

__all__ = ["AttemptReservations"]

#: Maximum wait for tokens of an allotment before a call is refused.
MAX_RESERVE_WAIT_SECONDS = 5.0


class AttemptReservations:
    """Token reservations of this router's attempts.

    A reservation ends when the receipt of its attempt is billed. It is released without
    a bill if the attempt did not run, if another attempt is delivered in its place, or
    if its sidecar is gone, so that no receipt can arrive.

    :param acknowledge: tells the sidecars that the receipt of an attempt was processed.
    """

    def __init__(
        self,
        accountant: Accountant,
        incarnation: IncarnationId,
        acknowledge: Callable[[str], None],
    ):
        self._accountant = accountant
        self._incarnation = incarnation
        self._acknowledge = acknowledge
        self._attempt_numbers = itertools.count(1)
        self._sidecar_by_attempt: dict[str, IncarnationId] = {}
        self._attempts_by_sidecar: defaultdict[IncarnationId, set[str]] = defaultdict(
            set
        )
        self._superseded: set[str] = set()

    async def reserve(self, call: Call, peer: Peer) -> str:
        """Reserve the maximum cost of `call` for a new attempt.

        :return: the id of the attempt.
        :raises RefusedError: the tokens cannot be reserved.
        """
        attempt = f"{self._incarnation}-{next(self._attempt_numbers)}"
        sidecar = peer.incarnation
        await self._accountant.reserve(
            call.budget,
            attempt,
            sidecar,
            call.reserved_tokens,
            wait_seconds=MAX_RESERVE_WAIT_SECONDS,
        )
        self._sidecar_by_attempt[attempt] = sidecar
        self._attempts_by_sidecar[sidecar].add(attempt)
        return attempt

    def release(self, attempt: str) -> None:
        """Release the tokens of an attempt that did not run."""
        if self._forget(attempt):
            self._accountant.release(attempt)

    def mark_superseded(self, attempt: str) -> None:
        """Mark an attempt as replaced: another one is to be billed in its place."""
        if attempt in self._sidecar_by_attempt:
            self._superseded.add(attempt)

    def unmark_superseded(self, attempts: Iterable[str]) -> None:
        """Undo :meth:`mark_superseded`, since no other attempt was delivered."""
        self._superseded.difference_update(attempts)

    def settle(self, receipt: pb.Receipt) -> None:
        """Bill an attempt by its receipt, unless another one is billed in its place.

        A receipt of 0 tokens is not billed, because its bill would prevent the bill for
        the answer that a retry gets.
        """
        superseded = receipt.attempt in self._superseded
        was_open = self._forget(receipt.attempt)
        if superseded or (was_open and not receipt.tokens):
            self._accountant.release(receipt.attempt)
            self._acknowledge(receipt.attempt)
        else:
            self._accountant.settle(receipt)

    def release_sidecar(self, sidecar: IncarnationId) -> None:
        """Release the attempts of a lost sidecar, whose receipts cannot arrive."""
        for attempt in list(self._attempts_by_sidecar.pop(sidecar, ())):
            self._forget(attempt)
            self._accountant.release(attempt)

    def _forget(self, attempt: str) -> bool:
        self._superseded.discard(attempt)
        sidecar = self._sidecar_by_attempt.pop(attempt, None)
        if sidecar is None:
            return False
        self._attempts_by_sidecar[sidecar].discard(attempt)
        return True
