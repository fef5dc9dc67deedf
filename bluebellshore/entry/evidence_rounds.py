"""Evidence on crashes for peers, each of which is told until it confirms."""

from collections import deque

import msgspec

from bluebellshore.entry.crash_messages import (
    write_answered_parts,
    write_answered_requests,
    write_blames,
    write_crashes,
    write_refusals,
)
from bluebellshore.routing.crash_tracker import CrashReport, CrashTracker
from bluebellshore.routing.crashing_requests import AnsweredRequest, RefusedRequest
from bluebellshore.routing.suspected_parts import AnsweredPart, BlamedParts
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["EvidenceRounds"]

#: Rounds whose evidence is kept. A peer that missed older ones gets a summary.
MAX_KEPT_ROUNDS = 64


class _Evidence(msgspec.Struct, frozen=True):
    """What was new in one round, or all that is known."""

    crashes: list[CrashReport]
    refusals: list[RefusedRequest]
    blames: list[BlamedParts]
    answered_requests: list[AnsweredRequest] = []
    answered_parts: list[AnsweredPart] = []

    def __bool__(self) -> bool:
        return any(getattr(self, name) for name in self.__struct_fields__)

    def write(self, state: pb.PeerState, now: float) -> None:
        """Add the evidence to a message, with ages at `now`."""
        write_crashes(self.crashes, state, now)
        write_refusals(self.refusals, state, now)
        write_blames(self.blames, state, now)
        write_answered_requests(self.answered_requests, state, now)
        write_answered_parts(self.answered_parts, state, now)


class EvidenceRounds:
    """Numbers what a crash tracker finds, so that each peer can confirm what it heard.

    A peer that has just started, or was away for long, gets a summary instead: it holds
    what other routers told as well, since all of them may have restarted since.

    :ivar number: number of the last evidence.
    :ivar is_new: whether the last call of `collect` found some.
    """

    def __init__(self, crashes: CrashTracker):
        self._crashes = crashes
        self._rounds: deque[tuple[int, _Evidence]] = deque(maxlen=MAX_KEPT_ROUNDS)
        self.number = 1
        self.is_new = False

    def collect(self) -> None:
        """Take what is new from the tracker."""
        evidence = _Evidence(
            self._crashes.take_reports(),
            self._crashes.refusals(unreported_only=True),
            self._crashes.blames(unreported_only=True),
            self._crashes.take_answered_requests(),
            self._crashes.take_answered_parts(),
        )
        self.is_new = bool(evidence)
        if evidence:
            self.number += 1
            self._rounds.append((self.number, evidence))

    def write(self, state: pb.PeerState, confirmed: int, now: float) -> None:
        """Add to a message what a peer has not confirmed.

        :param confirmed: number of the last evidence that the peer heard.
        """
        state.evidence_since, state.evidence_number = confirmed, self.number
        if confirmed >= self.number:
            return
        oldest = self._rounds[0][0] if self._rounds else self.number + 1
        if confirmed + 1 < oldest:
            summary = _Evidence(
                self._crashes.summarize(),
                self._crashes.refusals(),
                self._crashes.blames(),
            )
            summary.write(state, now)
        for number, evidence in self._rounds:
            if number > confirmed:
                evidence.write(state, now)
