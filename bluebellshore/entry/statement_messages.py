"""Wire form of what backend servers stated, which routers tell each other."""

from collections.abc import Iterable

from bluebellshore.entry.message_values import is_count, is_duration
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.backpressure import ServerStatement
from bluebellshore.wire import peer_pb2 as pb

__all__ = ["read_statements", "write_statements"]


def write_statements(
    statements: Iterable[ServerStatement], state: pb.PeerState, now: float
) -> None:
    """Add statements to a message.

    :param now: monotonic seconds.
    """
    for stated in statements:
        state.statements.add(
            server=stated.server_id,
            started_unix_ms=stated.started_unix_ms,
            per_second=stated.requests_per_second,
            age_seconds=max(0.0, now - stated.stated_at),
            leaving=stated.leaving,
        )


def read_statements(state: pb.PeerState, now: float) -> list[ServerStatement]:
    """Return the statements of a message.

    :param now: monotonic seconds.
    """
    return [
        ServerStatement(
            BackendServerId(stated.server),
            stated.started_unix_ms,
            stated.per_second if stated.HasField("per_second") else None,
            now - stated.age_seconds,
            stated.leaving,
        )
        for stated in state.statements
        if is_duration(stated.age_seconds) and is_count(stated.per_second)
    ]
