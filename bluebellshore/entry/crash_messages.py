"""Encodes evidence of crashes for peers, and decodes theirs."""

from collections.abc import Iterable, Iterator

from bluebellshore.entry.message_values import is_duration
from bluebellshore.ids import BackendServerId, ScopedPart
from bluebellshore.routing.crash_tracker import CrashReport
from bluebellshore.routing.suspected_parts import AnsweredPart, BlamedParts
from bluebellshore.wire import peer_pb2 as pb

__all__ = [
    "read_answered_parts",
    "read_blames",
    "read_crashes",
    "write_answered_parts",
    "write_blames",
    "write_crashes",
]


def write_crashes(
    reports: Iterable[CrashReport], state: pb.PeerState, now: float
) -> None:
    """Add reports to a message, with the age of the crash at `now`."""
    for report in reports:
        messages = state.crashes if report.confirmed else state.broken
        broke_at = now if report.broke_at is None else report.broke_at
        message = messages.add(
            server=report.server_id,
            fingerprints=report.fingerprints,
            age_seconds=max(0.0, now - broke_at),
        )
        for fingerprint, parts in report.parts_by_fingerprint.items():
            message.requests.add(fingerprint=fingerprint, parts=parts)


def read_crashes(state: pb.PeerState, now: float) -> Iterator[CrashReport]:
    """Yield the reports of a message."""
    for messages, confirmed in ((state.broken, False), (state.crashes, True)):
        for message in messages:
            if not is_duration(message.age_seconds):
                continue
            parts_by_fingerprint = {
                request.fingerprint: tuple(ScopedPart(part) for part in request.parts)
                for request in message.requests
            }
            yield CrashReport(
                BackendServerId(message.server),
                tuple(message.fingerprints),
                parts_by_fingerprint,
                confirmed,
                now - message.age_seconds,
            )


def write_answered_parts(
    answers: Iterable[AnsweredPart], state: pb.PeerState, now: float
) -> None:
    """Add answered parts to a message, with their age at `now`."""
    for answer in answers:
        age_seconds = max(0.0, now - answer.began_at)
        state.answered.add(part=answer.part, age_seconds=age_seconds)


def read_answered_parts(state: pb.PeerState, now: float) -> Iterator[AnsweredPart]:
    """Yield the answered parts of a message."""
    for message in state.answered:
        if is_duration(message.age_seconds):
            yield AnsweredPart(ScopedPart(message.part), now - message.age_seconds)


def write_blames(
    blames: Iterable[BlamedParts], state: pb.PeerState, now: float
) -> None:
    """Add blamed parts to a message, with the age of their last crash at `now`."""
    for blame in blames:
        state.blamed.add(
            parts=blame.parts,
            age_seconds=max(0.0, now - blame.crashed_at),
            interval_seconds=blame.interval_seconds,
        )


def read_blames(state: pb.PeerState, now: float) -> Iterator[BlamedParts]:
    """Yield the blamed parts of a message."""
    for message in state.blamed:
        if is_duration(message.age_seconds) and is_duration(message.interval_seconds):
            yield BlamedParts(
                tuple(ScopedPart(part) for part in message.parts),
                now - message.age_seconds,
                message.interval_seconds,
            )
