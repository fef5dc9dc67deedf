"""Decides what backend servers that are cold get while they warm up.

Handles servers that come back with empty caches, one by one or a whole availability
zone at once, before the load that the others carried. Being idle they would look like
the best choice for every request, and they fail above a rate that is far below that
load. The rate holds for all routers together, in touch with each other or not.
"""

from collections.abc import Callable, Iterable, Sequence

import msgspec
import xxhash

from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId
from bluebellshore.routing.rate_senders import SharedRate

__all__ = ["ColdTolerance", "WarmupPolicy"]

#: Requests in a second that are kept free for routers that take the place of one that
#: still sends, as each of the two knows other members.
RESERVED_REQUESTS = 2.0
#: Requests that a router may send at once to a cold server after a pause.
COLD_BURST_REQUESTS = 1.0
#: Share of a request's latency objective that reading its prompt may take at a cold
#: server while there are warm ones.
MAX_READ_SHARE = 0.15
#: Share of such requests for which a server counts that has just become cold. It grows
#: to all of them until the server is warm.
MIN_REQUEST_SHARE = 0.2
#: Retry-After of the first callers that are sent away because all servers are cold.
MIN_RETRY_AFTER_SECONDS = 0.2


class ColdTolerance(msgspec.Struct, frozen=True):
    """What a cold server tolerates beyond its rate in a second.

    :param ratio: multiple of the rate.
    :param extra_requests: requests beyond that.
    """

    ratio: float = 1.0
    extra_requests: float = 0.0

    def max_senders(self, requests_per_second: float) -> int:
        """Return how many routers may share a rate.

        In the worst second each of them sends its burst beside its share.
        """
        spare = (self.ratio - 1.0) * requests_per_second + self.extra_requests
        return max(1, int((spare - RESERVED_REQUESTS) / COLD_BURST_REQUESTS))


class WarmupPolicy:
    """Limits what cold servers get, and picks the requests that they get first.

    :param cold_seconds: returns for how long a server is still cold, given its id and
        the time in monotonic seconds; 0 if it is warm.
    :param cold_rate: returns the rate in requests a second that a server takes from all
        routers together while it is cold; 0 for any.
    :ivar sent_count: requests that went to cold servers.
    :ivar turned_away_count: requests refused as all servers were cold.
    """

    def __init__(
        self,
        cold_seconds: Callable[[BackendServerId, float], float],
        cold_rate: Callable[[BackendServer], float],
        tolerance: ColdTolerance,
    ):
        self._cold_seconds = cold_seconds
        self._cold_rate = cold_rate
        self._tolerance = tolerance
        #: Time that each server was cold for when it was first seen cold.
        self._warmup_seconds: dict[BackendServerId, float] = {}
        self._sent_by_server: dict[BackendServerId, int] = {}
        self.sent_count = 0
        self.turned_away_count = 0

    def cold_seconds(self, server: BackendServer, now: float) -> float:
        """Return for how long a server is still limited as it is cold; 0 if not."""
        if self._cold_rate(server) <= 0.0:
            return 0.0
        left = self._cold_seconds(server.server_id, now)
        if left <= 0.0:
            self.forget([server.server_id])
            return 0.0
        longest = max(left, self._warmup_seconds.get(server.server_id, 0.0))
        self._warmup_seconds[server.server_id] = longest
        return left

    def record_sent(self, server: BackendServer, now: float) -> bool:
        """Count a request to a server. :return: whether the server is cold."""
        if not self.cold_seconds(server, now):
            return False
        sent = self._sent_by_server.get(server.server_id, 0)
        self._sent_by_server[server.server_id] = sent + 1
        self.sent_count += 1
        return True

    def sent_to(self, server_id: BackendServerId) -> int:
        """Return the requests that went to a server since it became cold."""
        return self._sent_by_server.get(server_id, 0)

    def forget(self, server_ids: Iterable[BackendServerId]) -> None:
        """Drop what is known of servers that are warm, gone or restarted."""
        for server_id in server_ids:
            self._warmup_seconds.pop(server_id, None)
            self._sent_by_server.pop(server_id, None)

    def limit(self, server: BackendServer, now: float) -> SharedRate | None:
        """Return the rate of a cold server that all routers share; None if warm."""
        if not self.cold_seconds(server, now):
            return None
        rate = self._cold_rate(server)
        senders = self._tolerance.max_senders(rate)
        return SharedRate(rate, senders, COLD_BURST_REQUESTS)

    def not_left_to_cold(
        self,
        sound: Sequence[BackendServer],
        servers: Sequence[BackendServer],
        now: float,
    ) -> Sequence[BackendServer]:
        """Return the servers that may get a request.

        A server that was ejected on suspicion serves more than cold ones take, which
        is next to nothing.

        :param sound: the servers that are not ejected.
        :param servers: these and the ejected ones.
        """

        def are_cold(listed: Sequence[BackendServer]) -> bool:
            return all(self.cold_seconds(server, now) for server in listed)

        return servers if are_cold(sound) and not are_cold(servers) else sound

    def preferred(
        self,
        call: Call,
        servers: Sequence[BackendServer],
        now: float,
        read_seconds: Callable[[BackendServer], float],
    ) -> list[BackendServer]:
        """Return the servers that a request should go to while one of them has room.

        Cold servers count for short prompts only, and at first for a part of these. The
        parts that they read then are those that rendezvous hashing gives them anyway.

        :param servers: servers whose limits allow a request now.
        :param read_seconds: returns the time in which a server reads what it has not
            cached of the prompt.
        """
        most_seconds = MAX_READ_SHARE * call.route.objective_seconds
        return [
            server
            for server in servers
            if not (left := self.cold_seconds(server, now))
            or (
                self._takes(call, server, left) and read_seconds(server) <= most_seconds
            )
        ]

    def retry_after_seconds(
        self, call: Call, servers: Sequence[BackendServer], now: float
    ) -> float | None:
        """Return the Retry-After of a request where all servers are cold; else None.

        Callers come back spread over the time until the last server is warm, in which
        the rate of the cold ones is all that there is.
        """
        cold = [self.cold_seconds(server, now) for server in servers]
        if not cold or not all(cold):
            return None
        spread = xxhash.xxh32_intdigest(call.attempt_id.encode()) / 2**32
        return MIN_RETRY_AFTER_SECONDS + spread * max(cold)

    def _takes(self, call: Call, server: BackendServer, left: float) -> bool:
        warmed = 1.0 - left / self._warmup_seconds[server.server_id]
        share = MIN_REQUEST_SHARE + (1.0 - MIN_REQUEST_SHARE) * warmed
        key = f"{server.server_id}/{call.attempt_id}".encode()
        return xxhash.xxh32_intdigest(key) < share * 2**32
