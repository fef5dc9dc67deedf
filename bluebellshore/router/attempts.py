"""Reservations of attempts, from before they are sent until their receipt comes."""

import itertools
from collections import defaultdict
from collections.abc import Callable, Iterable

from bluebellshore.budget import Accountant
from bluebellshore.ids import IncarnationId
from bluebellshore.router.calls import Call
from bluebellshore.router.peers import Peer
from bluebellshore.wire import link_pb2 as pb

__all__ = ["AttemptReservations"]

#: Longest wait for an allotment before a call is refused.
MAX_RESERVE_WAIT_SECONDS = 5.0


class AttemptReservations:
    """Attempts of a router that hold tokens.

    An attempt is released when it is known that it did not run, that another one
    is delivered in its place, or that its sidecar is gone and no receipt can come.

    :param acknowledge: tells sidecars that the receipt of an attempt is dealt with.
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
        """Reserve what `call` may cost. :return: the new attempt's id.

        :raises RefusedError: the tokens cannot be had.
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
        """Return the tokens of an attempt that did not run."""
        if self._forget(attempt):
            self._accountant.release(attempt)

    def mark_superseded(self, attempt: str) -> None:
        """Note that another attempt is to be billed in place of this one."""
        if attempt in self._sidecar_by_attempt:
            self._superseded.add(attempt)

    def unmark_superseded(self, attempts: Iterable[str]) -> None:
        """Take back :meth:`mark_superseded`: no other attempt was delivered."""
        self._superseded.difference_update(attempts)

    def settle(self, receipt: pb.Receipt) -> None:
        """Bill an attempt, unless another one is billed in its place.

        A run without tokens is not billed: a bill of nothing would stand in the way
        of the bill for the answer that a retry gets.
        """
        superseded = receipt.attempt in self._superseded
        was_open = self._forget(receipt.attempt)
        if superseded or (was_open and not receipt.tokens):
            self._accountant.release(receipt.attempt)
            self._acknowledge(receipt.attempt)
        else:
            self._accountant.settle(receipt)

    def release_sidecar(self, sidecar: IncarnationId) -> None:
        """Release the attempts whose receipt cannot come any more."""
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
