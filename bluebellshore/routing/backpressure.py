"""Remembers what backend servers ask of all their senders together.

Handles backend servers that are in need and state it in their answers. What one states
holds until it states otherwise or is started again.
"""

import msgspec

from bluebellshore.backend import Backpressure
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId

__all__ = ["BackpressureTracker", "RateLimit"]


class RateLimit(msgspec.Struct, frozen=True):
    """The rate of requests that a backend server takes from all routers together.

    :param started_unix_ms: start of the server that named it.
    :param requests_per_second: None if the server named no limit any more.
    :param named_at: monotonic seconds of the latest answer that said so.
    """

    server_id: BackendServerId
    started_unix_ms: int
    requests_per_second: float | None
    named_at: float


class BackpressureTracker:
    """Keeps the newest rate limit of each backend server that named one."""

    def __init__(self) -> None:
        self._limits_by_server: dict[BackendServerId, RateLimit] = {}

    @property
    def limited_count(self) -> int:
        """Number of backend servers that name a limit."""
        limits = self._limits_by_server.values()
        return sum(limit.requests_per_second is not None for limit in limits)

    def limit_of(self, server: BackendServer) -> float | None:
        """Return the rate that a server takes, in requests a second; None for any."""
        limit = self._limits_by_server.get(server.server_id)
        if limit is None or limit.started_unix_ms != server.started_unix_ms:
            return None
        return limit.requests_per_second

    def record_answer(
        self, server: BackendServer, stated: Backpressure, sent_at: float, now: float
    ) -> bool:
        """Note what an answer states. :return: whether the server's limit changed.

        :param sent_at: monotonic seconds at which the request was sent. An answer
            without a limit lifts one that was named before that only, as answers on
            different connections may overtake each other.
        :param now: monotonic seconds.
        """
        known = self._limits_by_server.get(server.server_id)
        if known is not None and known.started_unix_ms != server.started_unix_ms:
            known = None
        rate = stated.requests_per_second
        if rate is None and (known is None or known.named_at >= sent_at):
            return False
        before = None if known is None else known.requests_per_second
        self._limits_by_server[server.server_id] = RateLimit(
            server.server_id, server.started_unix_ms, rate, now
        )
        return rate != before
