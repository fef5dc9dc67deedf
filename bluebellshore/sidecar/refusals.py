"""Refusals that a sidecar sends to routers, and the rule for joining an answer."""

from bluebellshore.sidecar.answers import Answer
from bluebellshore.wire import link_pb2 as pb

__all__ = [
    "is_joinable",
    "mismatch_refusal",
    "not_held_refusal",
    "restarted_refusal",
    "stopping_refusal",
]


def not_held_refusal(stream: int) -> pb.Refused:
    """Return the refusal to read an answer from an offset that is not buffered."""
    return pb.Refused(
        stream=stream,
        run=pb.UNKNOWN,
        status=410,
        reason="that part of the answer is not held here",
    )


def mismatch_refusal(stream: int) -> pb.Refused:
    """Return the refusal of a request whose key belongs to a different request."""
    return pb.Refused(
        stream=stream,
        run=pb.NOT_RUN,
        status=409,
        reason="the idempotency key belongs to another request",
    )


def restarted_refusal(start: pb.Start) -> pb.Refused:
    """Return the refusal of a request addressed to an earlier incarnation.

    The earlier process may have run a request that is to start at most once, so
    its fate is unknown.
    """
    once = start.mode == pb.START_ONCE
    return pb.Refused(
        stream=start.stream,
        run=pb.UNKNOWN if once else pb.NOT_RUN,
        status=503,
        reason="the sidecar has restarted",
        elsewhere=True,
    )


def stopping_refusal(stream: int) -> pb.Refused:
    """Return the refusal of a new request while the sidecar stops."""
    return pb.Refused(
        stream=stream,
        run=pb.NOT_RUN,
        status=503,
        reason="the sidecar is stopping",
        elsewhere=True,
    )


def is_joinable(answer: Answer, start: pb.Start) -> bool:
    """Return whether `start` joins `answer` instead of starting a new execution.

    :param answer: the answer known under the key of `start`.
    """
    if answer.start.attempt == start.attempt:
        return True
    if start.resume:
        return False
    if answer.end is None or start.mode == pb.START_ONCE or start.offset:
        return True
    return answer.end.outcome == pb.COMPLETE and answer.base_offset == 0
