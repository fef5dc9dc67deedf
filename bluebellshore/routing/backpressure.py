"""Keeps to what backend servers ask of all their senders together.

Handles backend servers that are in need and state it in their answers. What one states
holds until it states otherwise or is started again.
"""

from collections.abc import Callable, Iterable

import msgspec

from bluebellshore.backend import Backpressure
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId

__all__ = ["BackpressureTracker", "RateLimit"]

#: Requests that a router may send at once after a pause: so many, and its share of the
#: rate in this time.
BURST_REQUESTS = 1.25
BURST_SECONDS = 0.5
#: Rate that is assumed at least, so that some request finds out that a limit ended.
MIN_REQUESTS_PER_SECOND = 0.1
#: Time after which a limit of a server that isn't listed any more is forgotten. An
#: entry may lapse for a while, and its server may still be limited when it is back.
FORGET_SECONDS = 600.0


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


class _TokenBucket(msgspec.Struct):
    """Requests that this router may send to a limited server.

    :param rate: tokens that it gains a second, as of `filled_at`.
    """

    tokens: float = 0.0
    rate: float = 0.0
    filled_at: float = 0.0

    def fill(self, rate: float, now: float) -> None:
        """Add the tokens gained since the last call, and set the rate from now on."""
        if rate <= 0.0:
            self.tokens = 0.0
        else:
            gained = self.rate * (now - self.filled_at)
            most = BURST_REQUESTS + BURST_SECONDS * rate
            self.tokens = min(most, self.tokens + gained)
        self.rate, self.filled_at = rate, now


class BackpressureTracker:
    """Keeps the newest rate limit of each backend server, and this router's share.

    :param share: returns this router's share of a server's rate, given the server, the
        rate in requests a second and the time in monotonic seconds.
    """

    def __init__(
        self,
        share: Callable[
            [BackendServerId, float, float], float
        ] = lambda server_id, rate, now: rate,
    ) -> None:
        self._share = share
        self._limits_by_server: dict[BackendServerId, RateLimit] = {}
        self._buckets_by_server: dict[BackendServerId, _TokenBucket] = {}

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
    ) -> RateLimit | None:
        """Note what an answer states. :return: the limit if it changed.

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
            return None
        before = None if known is None else known.requests_per_second
        limit = RateLimit(server.server_id, server.started_unix_ms, rate, now)
        self._limits_by_server[server.server_id] = limit
        return limit if rate != before else None

    def merge(self, limits: Iterable[RateLimit]) -> list[RateLimit]:
        """Take over what peers know better. :return: limits that changed."""
        changed = []
        for limit in limits:
            known = self._limits_by_server.get(limit.server_id)
            if known is not None:
                if known.started_unix_ms > limit.started_unix_ms:
                    continue
                restarted = known.started_unix_ms < limit.started_unix_ms
                if not restarted and known.named_at >= limit.named_at:
                    continue
            before = None if known is None else known.requests_per_second
            self._limits_by_server[limit.server_id] = limit
            if limit.requests_per_second != before:
                changed.append(limit)
        return changed

    def limits(self) -> list[RateLimit]:
        """Return all that is known, for peers; ended limits as well."""
        return list(self._limits_by_server.values())

    def forget_unlisted(
        self, listed: Callable[[BackendServerId], bool], now: float
    ) -> None:
        """Drop the limits that no longer matter.

        :param listed: returns whether a server has an entry.
        """
        for server_id, limit in list(self._limits_by_server.items()):
            if now - limit.named_at > FORGET_SECONDS and (
                limit.requests_per_second is None or not listed(server_id)
            ):
                del self._limits_by_server[server_id]
                self._buckets_by_server.pop(server_id, None)

    def seconds_until_allowed(self, server: BackendServer, now: float) -> float | None:
        """Return the time until this router may send to a server; 0 for at once.

        :return: None if it may not for an unknown time.
        """
        rate = self.limit_of(server)
        if rate is None:
            self._buckets_by_server.pop(server.server_id, None)
            return 0.0
        bucket = self._buckets_by_server.setdefault(server.server_id, _TokenBucket())
        rate = max(rate, MIN_REQUESTS_PER_SECOND)
        share = self._share(server.server_id, rate, now)
        bucket.fill(share, now)
        if bucket.tokens >= 1.0:
            return 0.0
        return (1.0 - bucket.tokens) / share if share > 0.0 else None

    def record_sent(self, server: BackendServer) -> None:
        """Count a request to a server, which was allowed."""
        bucket = self._buckets_by_server.get(server.server_id)
        if bucket is not None:
            bucket.tokens -= 1.0
