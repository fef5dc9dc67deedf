"""Wire form of the rate limits that routers tell each other."""

from collections.abc import Iterable

from bluebellshore.ids import BackendServerId
from bluebellshore.routing.backpressure import RateLimit
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["read_limits", "write_limits"]


def write_limits(limits: Iterable[RateLimit], state: pb.PeerState, now: float) -> None:
    """Add limits to a message.

    :param now: monotonic seconds.
    """
    for limit in limits:
        state.rate_limits.add(
            server=limit.server_id,
            started_unix_ms=limit.started_unix_ms,
            per_second=limit.requests_per_second,
            age_seconds=now - limit.named_at,
        )


def read_limits(state: pb.PeerState, now: float) -> list[RateLimit]:
    """Return the limits of a message.

    :param now: monotonic seconds.
    """
    return [
        RateLimit(
            BackendServerId(limit.server),
            limit.started_unix_ms,
            limit.per_second if limit.HasField("per_second") else None,
            now - max(0.0, limit.age_seconds),
        )
        for limit in state.rate_limits
    ]
