"""Keeps to what backend servers ask of all their senders together.

Handles backend servers that are in need and state it in their answers. What one states
holds until it states otherwise or is started again. A server that warms up is limited
in the same way, at the lower of the two rates.
"""

from collections.abc import Callable, Iterable

import msgspec

from bluebellshore.backend import Backpressure
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.rate_senders import SharedRate

__all__ = ["BackpressureTracker", "ServerStatement"]

#: Requests that a router may send at once after a pause: so many, and its share of the
#: rate in this time.
BURST_REQUESTS = 1.25
BURST_SECONDS = 0.5
#: Rate that is assumed at least, so that some request finds out that a limit ended.
MIN_REQUESTS_PER_SECOND = 0.1
#: Time after which what a server stated is forgotten if it isn't listed any more. An
#: entry may lapse for a while, and its server may still be limited when it is back.
FORGET_SECONDS = 600.0


class ServerStatement(msgspec.Struct, frozen=True):
    """What a backend server asks of all routers together.

    :param started_unix_ms: start of the server that states it.
    :param requests_per_second: rate that it takes; None for no limit.
    :param stated_at: monotonic seconds of the latest answer that said so.
    :param leaving: whether it takes no requests any more.
    """

    server_id: BackendServerId
    started_unix_ms: int
    requests_per_second: float | None
    stated_at: float
    leaving: bool = False


class _TokenBucket(msgspec.Struct):
    """Requests that this router may send to a limited server.

    :param rate: tokens that it gains a second, as of `filled_at`.
    """

    tokens: float = 0.0
    rate: float = 0.0
    filled_at: float = 0.0

    def fill(self, rate: float, now: float, burst: float | None = None) -> None:
        """Add the tokens gained since the last call, and set the rate from now on.

        :param burst: most tokens; None for the usual number.
        """
        if rate <= 0.0:
            self.tokens = 0.0
        else:
            gained = self.rate * (now - self.filled_at)
            most = burst or BURST_REQUESTS + BURST_SECONDS * rate
            self.tokens = min(most, self.tokens + gained)
        self.rate, self.filled_at = rate, now


class BackpressureTracker:
    """Keeps what backend servers last stated, and this router's share of their rates.

    :param share: returns this router's share of a server's rate, given the server, the
        rate in requests a second, the time in monotonic seconds and the number of
        routers that may share it (None for the usual one).
    :param warmup_limit: returns the rate of a server that warms up, given the time in
        monotonic seconds; None if it is warm.
    """

    def __init__(
        self,
        share: Callable[
            [BackendServerId, float, float, int | None], float
        ] = lambda server_id, rate, now, max_senders: rate,
        warmup_limit: Callable[
            [BackendServer, float], SharedRate | None
        ] = lambda server, now: None,
    ) -> None:
        self._share = share
        self._warmup_limit = warmup_limit
        self._statements_by_server: dict[BackendServerId, ServerStatement] = {}
        self._buckets_by_server: dict[BackendServerId, _TokenBucket] = {}
        #: Start of each server that asked this router for a pause, and its end.
        self._pauses_by_server: dict[BackendServerId, tuple[int, float]] = {}

    @property
    def limited_count(self) -> int:
        """Number of backend servers that name a limit."""
        statements = self._statements_by_server.values()
        return sum(stated.requests_per_second is not None for stated in statements)

    def limit_of(self, server: BackendServer) -> float | None:
        """Return the rate that a server takes, in requests a second; None for any."""
        stated = self._statement_of(server)
        return None if stated is None else stated.requests_per_second

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server said that it leaves."""
        stated = self._statement_of(server)
        return stated is not None and stated.leaving

    def record_answer(
        self, server: BackendServer, asked: Backpressure, sent_at: float, now: float
    ) -> ServerStatement | None:
        """Note what an answer states. :return: the server's statement if it changed.

        :param sent_at: monotonic seconds at which the request was sent. An answer
            without a limit lifts one that was named before that only, as answers on
            different connections may overtake each other.
        :param now: monotonic seconds.
        """
        if asked.pause_seconds > 0.0:
            pause = (server.started_unix_ms, now + asked.pause_seconds)
            self._pauses_by_server[server.server_id] = pause
        known = self._statement_of(server)
        rate, stated_at = asked.requests_per_second, now
        if rate is None and known is None and not asked.leaving:
            return None
        if rate is None and known is not None and known.stated_at >= sent_at:
            rate, stated_at = known.requests_per_second, known.stated_at
        stated = ServerStatement(
            server.server_id, server.started_unix_ms, rate, stated_at, asked.leaving
        )
        return stated if self._update(stated) else None

    def merge(self, statements: Iterable[ServerStatement]) -> list[ServerStatement]:
        """Take over what peers know better. :return: statements that are new."""
        changed = []
        for stated in statements:
            known = self._statements_by_server.get(stated.server_id)
            if known is not None and known.started_unix_ms > stated.started_unix_ms:
                continue
            same_start = (
                known is not None and known.started_unix_ms == stated.started_unix_ms
            )
            if same_start and known.stated_at >= stated.stated_at:
                if not stated.leaving or known.leaving:
                    continue
                stated = msgspec.structs.replace(known, leaving=True)
            if self._update(stated):
                changed.append(stated)
        return changed

    def statements(self) -> list[ServerStatement]:
        """Return all that is known, for peers; ended limits as well."""
        return list(self._statements_by_server.values())

    def forget_unlisted(
        self, listed: Callable[[BackendServerId], bool], now: float
    ) -> None:
        """Drop the statements that no longer matter, and pauses that are over.

        :param listed: returns whether a server has an entry.
        """
        for server_id, (_, ends_at) in list(self._pauses_by_server.items()):
            if now >= ends_at:
                del self._pauses_by_server[server_id]
        for server_id, stated in list(self._statements_by_server.items()):
            matters = stated.requests_per_second is not None or stated.leaving
            if now - stated.stated_at > FORGET_SECONDS and not (
                matters and listed(server_id)
            ):
                del self._statements_by_server[server_id]
                self._buckets_by_server.pop(server_id, None)

    def _statement_of(self, server: BackendServer) -> ServerStatement | None:
        stated = self._statements_by_server.get(server.server_id)
        if stated is None or stated.started_unix_ms != server.started_unix_ms:
            return None
        return stated

    def _update(self, stated: ServerStatement) -> bool:
        """Keep a statement. :return: whether it says something new.

        A server that leaves does so until it is started again.
        """
        known = self._statements_by_server.get(stated.server_id)
        if known is None or known.started_unix_ms != stated.started_unix_ms:
            self._statements_by_server[stated.server_id] = stated
            return True
        stated = msgspec.structs.replace(
            stated, leaving=stated.leaving or known.leaving
        )
        self._statements_by_server[stated.server_id] = stated
        return (stated.requests_per_second, stated.leaving) != (
            known.requests_per_second,
            known.leaving,
        )

    def seconds_until_allowed(self, server: BackendServer, now: float) -> float | None:
        """Return the time until this router may send to a server; 0 for at once.

        :return: None if it may not for an unknown time.
        """
        if self.is_leaving(server):
            return None
        started, ends_at = self._pauses_by_server.get(server.server_id, (0, 0.0))
        if now < ends_at and started == server.started_unix_ms:
            return ends_at - now
        limit = self._shared_rate(server, now)
        if limit is None:
            self._buckets_by_server.pop(server.server_id, None)
            return 0.0
        bucket = self._buckets_by_server.setdefault(server.server_id, _TokenBucket())
        rate = max(limit.requests_per_second, MIN_REQUESTS_PER_SECOND)
        share = self._share(server.server_id, rate, now, limit.max_senders)
        bucket.fill(share, now, limit.burst_requests)
        if bucket.tokens >= 1.0:
            return 0.0
        return (1.0 - bucket.tokens) / share if share > 0.0 else None

    def _shared_rate(self, server: BackendServer, now: float) -> SharedRate | None:
        """Return the rate that all routers share; None if the server has no limit."""
        stated, warmup = self.limit_of(server), self._warmup_limit(server, now)
        if stated is None:
            return warmup
        if warmup is None:
            return SharedRate(stated)
        rate = min(stated, warmup.requests_per_second)
        return msgspec.structs.replace(warmup, requests_per_second=rate)

    def record_sent(self, server: BackendServer) -> None:
        """Count a request to a server, which was allowed."""
        bucket = self._buckets_by_server.get(server.server_id)
        if bucket is not None:
            bucket.tokens -= 1.0
