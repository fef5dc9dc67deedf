"""Encodes evidence of crashes for peers, and decodes theirs."""

from collections.abc import Iterable, Iterator

from bluebellshore.entry.message_values import is_duration
from bluebellshore.ids import BackendServerId, ScopedPart
from bluebellshore.routing.crash_tracker import CrashReport
from bluebellshore.routing.crashing_requests import AnsweredRequest, RefusedRequest
from bluebellshore.routing.suspected_parts import AnsweredPart, BlamedParts
from bluebellshore.wire import peer_pb2 as pb

__all__ = [
    "read_answered_parts",
    "read_answered_requests",
    "read_blames",
    "read_crashes",
    "read_refusals",
    "write_answered_parts",
    "write_answered_requests",
    "write_blames",
    "write_crashes",
    "write_refusals",
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
            sent_ages_seconds=[
                max(0.0, now - report.sent_at_by_fingerprint.get(name, broke_at))
                for name in report.fingerprints
            ],
            started_unix_ms=report.started_unix_ms,
            died=report.died,
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
            sent_at_by_fingerprint = {
                fingerprint: now - age_seconds
                for fingerprint, age_seconds in zip(
                    message.fingerprints, message.sent_ages_seconds, strict=False
                )
                if is_duration(age_seconds)
            }
            yield CrashReport(
                BackendServerId(message.server),
                tuple(message.fingerprints),
                parts_by_fingerprint,
                confirmed,
                now - message.age_seconds,
                sent_at_by_fingerprint,
                message.started_unix_ms,
                message.died,
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


def write_answered_requests(
    answers: Iterable[AnsweredRequest], state: pb.PeerState, now: float
) -> None:
    """Add answered requests to a message, with the age of the answer at `now`."""
    for answer in answers:
        state.answered_requests.add(
            fingerprint=answer.fingerprint,
            age_seconds=max(0.0, now - answer.answered_at),
        )


def read_answered_requests(
    state: pb.PeerState, now: float
) -> Iterator[AnsweredRequest]:
    """Yield the answered requests of a message."""
    for message in state.answered_requests:
        if is_duration(message.age_seconds):
            yield AnsweredRequest(message.fingerprint, now - message.age_seconds)


def write_refusals(
    refusals: Iterable[RefusedRequest], state: pb.PeerState, now: float
) -> None:
    """Add refused requests to a message, with the age of the last crash at `now`."""
    for refusal in refusals:
        state.refused_requests.add(
            fingerprint=refusal.fingerprint,
            age_seconds=max(0.0, now - refusal.crashed_at),
            interval_seconds=refusal.interval_seconds,
            crashes=refusal.crashes,
        )


def read_refusals(state: pb.PeerState, now: float) -> Iterator[RefusedRequest]:
    """Yield the refused requests of a message."""
    for message in state.refused_requests:
        if is_duration(message.age_seconds) and is_duration(message.interval_seconds):
            yield RefusedRequest(
                message.fingerprint,
                now - message.age_seconds,
                message.interval_seconds,
                message.crashes,
            )
