"""Placement: chooses the backend server of a request, or queues or refuses it.

Handles requests whose prompts share long parts. If such requests were spread evenly,
each backend server would read the shared parts again, and one long prompt would delay
the tokens of all requests that run beside it.
"""

import heapq
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

import msgspec
import xxhash

from bluebellshore.fleet import BackendServer, Call, PromptPart
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.routing.load import LoadTracker, ServerLoad
from bluebellshore.routing.zone_spill import LeaveReason

__all__ = ["Placement", "PlacementOption", "PlacementRefusal", "Placer", "Wait"]

#: Delay of the first event that is expected from running requests when all slots are
#: taken; proportionally less below that.
FULL_LOAD_DELAY_SECONDS = 0.1
#: Weight of the delay that reading this prompt adds to each running request.
INTERFERENCE_WEIGHT = 0.05
#: Weight of the time spent on reading tokens that another server has cached, in
#: addition to the delay that it adds to this request.
REREAD_WEIGHT = 2.0
#: Cost of a server in another availability zone.
CROSS_ZONE_COST_SECONDS = 0.01
#: Cost of a server that rendezvous hashing doesn't assign to the prompt's shared parts.
AFFINITY_COST_SECONDS = 0.1
#: Share of that cost for each server that it does assign, in rendezvous order.
AFFINITY_COST_SHARES = (0.0, 0.5)
#: Servers whose cost is computed. Of a larger number, only those assigned by rendezvous
#: hashing and a sample are considered.
MAX_OPTIONS = 24
#: Multiplier (2**64 divided by the golden ratio) and mask of the rendezvous hash.
GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15
UINT64_MASK = 2**64 - 1
#: Server hashes that may be cached beyond twice the number of candidates.
EXTRA_CACHED_HASHES = 4096
#: Range of the pseudo-random cost that spreads requests over nearly equal servers, so
#: that many routers with the same load report don't all choose the same one.
TIE_BREAK_SECONDS = 0.005
#: Share of the latency objective that unread prompts may take at an engine ahead of a
#: request of priority 0, reduction for each lower priority, and minimum.
MAX_BACKLOG_SHARE = 0.8
BACKLOG_SHARE_STEP = 0.1
MIN_BACKLOG_SHARE = 0.4
#: Share of an engine's slots that is reserved for more urgent requests at each lower
#: priority, and maximum.
RESERVED_SLOT_SHARE_STEP = 0.06
MAX_RESERVED_SLOT_SHARE = 0.2
#: Retry-After when no backend server is known or usable.
NO_SERVER_RETRY_AFTER_SECONDS = 0.5
#: Retry-After of a request that exceeds every engine's memory. It is long because a
#: retry can't succeed.
TOO_LARGE_RETRY_AFTER_SECONDS = 30.0


class Placement(msgspec.Struct, frozen=True):
    """Decision to send the request to a backend server now.

    :param expected_seconds: expected time to the first event.
    :param cached_tokens: prompt tokens that the server is expected to have cached.
    :param left_zone: why the server is in another zone; None if it isn't.
    """

    server: BackendServer
    expected_seconds: float = 0.0
    cached_tokens: int = 0
    left_zone: LeaveReason | None = None


class Wait(msgspec.Struct, frozen=True):
    """Decision to queue the request until a backend server may have room."""

    reason: str


class PlacementRefusal(msgspec.Struct, frozen=True):
    """Decision to refuse the request.

    :param retry_after_seconds: time after which a retry is likely to succeed.
    """

    reason: str
    retry_after_seconds: float


class PlacementOption(msgspec.Struct, frozen=True):
    """A server that may be chosen for a request.

    :param cached_tokens: prompt tokens that the server is expected to have cached.
    :param expected_seconds: expected time to the first event.
    :param backlog_seconds: part of that time for reading prompts of other requests.
    :param read_seconds: part of that time for reading this prompt.
    """

    server: BackendServer
    load: ServerLoad
    cached_tokens: int
    expected_seconds: float
    backlog_seconds: float
    read_seconds: float


class Placer:
    """Places requests at the backend server of lowest expected cost.

    The cost of a server is the expected time to the request's first event, with the
    prompts that the server has yet to read and the uncached part of this one, plus the
    delay of requests that run beside it.

    :param zone: availability zone of this router.
    """

    def __init__(self, loads: LoadTracker, zone: ZoneName):
        self._loads = loads
        self._zone = zone
        self._hash_by_server: dict[BackendServerId, int] = {}

    def place(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        now: float,
        exclude: AbstractSet[BackendServerId] = frozenset(),
    ) -> Placement | Wait | PlacementRefusal:
        """Choose one of `candidates`, or decide to queue or refuse the request.

        :param candidates: backend servers of one service.
        :param now: monotonic seconds.
        :param exclude: candidates that must not be chosen.
        """
        usable = [c for c in candidates if c.server_id not in exclude]
        if not usable:
            return PlacementRefusal("no backend server", NO_SERVER_RETRY_AFTER_SECONDS)
        if self._is_too_large(call, usable[0]):
            return PlacementRefusal(
                "larger than any engine's memory",
                TOO_LARGE_RETRY_AFTER_SECONDS,
            )
        return self.place_among(call, candidates, usable, now)

    def place_among(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        usable: Sequence[BackendServer],
        now: float,
    ) -> Placement | Wait:
        """Choose one of the `usable` servers, or decide to queue the request.

        :param candidates: servers over which affinity is spread.
        """
        cost_shares = self._affinity_cost_shares(call, candidates)
        shortlist = self._shortlist(call, usable, cost_shares)
        options = [self._make_option(call, server, now) for server in shortlist]
        with_room = [option for option in options if self._has_room(call, option)]
        if not with_room:
            return Wait("all backend servers are full")
        if call.prompt:
            with_room = [
                option for option in with_room if self._meets_objective(call, option)
            ]
            if not with_room:
                return Wait("every engine has too many prompt tokens left to read")
            option = self.choose_engine(call, cost_shares, with_room)
        else:
            option = self.choose_plain_server(call, with_room)
        server = option.server
        return Placement(
            server,
            option.expected_seconds,
            option.cached_tokens,
            None if server.zone == self._zone else LeaveReason.COST,
        )

    def choose_engine(
        self,
        call: Call,
        cost_shares: Mapping[BackendServerId, float],
        options: Sequence[PlacementOption],
    ) -> PlacementOption:
        """Choose the engine of lowest cost to this request and to those beside it.

        :param cost_shares: shares of the affinity cost; 1 for servers not given.
        """
        most_cached = max(option.cached_tokens for option in options)

        def cost(option: PlacementOption) -> float:
            load = option.load
            reread_tokens = max(
                0, min(most_cached, _shared_tokens(call)) - option.cached_tokens
            )
            service = option.server.service
            reread_seconds = reread_tokens / self._loads.speeds.tokens_per_second(
                service
            )
            return (
                option.expected_seconds
                + INTERFERENCE_WEIGHT * load.running * option.read_seconds
                + REREAD_WEIGHT * reread_seconds
                + AFFINITY_COST_SECONDS * cost_shares.get(option.server.server_id, 1.0)
                + self._tie_break(call, option.server)
            )

        return min(options, key=cost)

    def choose_plain_server(
        self, call: Call, options: Sequence[PlacementOption]
    ) -> PlacementOption:
        """Choose the least loaded server of a plain service."""

        def cost(option: PlacementOption) -> float:
            slot_use = option.load.running / max(1, option.server.slots)
            return slot_use + self._tie_break(call, option.server)

        return min(options, key=cost)

    def _affinity_cost_shares(
        self, call: Call, candidates: Sequence[BackendServer]
    ) -> dict[BackendServerId, float]:
        """Return the affinity cost shares of the servers assigned to the shared parts.

        They are assigned by rendezvous hashing of the last shared part, so routers
        agree on them without knowing one another's load.
        """
        if not call.prompt:
            return {}
        seed = _shared_parts(call)[-1].part_id
        ranked = self._rendezvous_order(seed, candidates, len(AFFINITY_COST_SHARES))
        ids = (server.server_id for server in ranked)
        return dict(zip(ids, AFFINITY_COST_SHARES, strict=False))

    def _shortlist(
        self,
        call: Call,
        usable: Sequence[BackendServer],
        cost_shares: Mapping[BackendServerId, float],
    ) -> Sequence[BackendServer]:
        """Return the servers whose cost is to be computed; see `MAX_OPTIONS`."""
        if len(usable) <= MAX_OPTIONS:
            return usable
        stride = len(usable) // MAX_OPTIONS
        start = xxhash.xxh32_intdigest(call.attempt_id.encode()) % stride
        sample = usable[start::stride][:MAX_OPTIONS]
        sampled = {server.server_id for server in sample}
        with_affinity = (
            s
            for s in usable
            if s.server_id in cost_shares and s.server_id not in sampled
        )
        return [*with_affinity, *sample]

    def _rendezvous_order(
        self, seed: str, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        """Return the first `count` servers in the rendezvous order of `seed`."""
        hashes = self._hash_by_server
        salt = xxhash.xxh64_intdigest(seed.encode())

        def score(server: BackendServer) -> int:
            server_hash = hashes.get(server.server_id)
            if server_hash is None:
                server_hash = xxhash.xxh64_intdigest(server.server_id.encode())
                hashes[server.server_id] = server_hash
            mixed = (server_hash ^ salt) * GOLDEN_RATIO_MULTIPLIER & UINT64_MASK
            return (mixed ^ mixed >> 32) * GOLDEN_RATIO_MULTIPLIER & UINT64_MASK

        first = heapq.nsmallest(count, servers, key=score)
        if len(hashes) > 2 * len(servers) + EXTRA_CACHED_HASHES:
            hashes.clear()
        return first

    def _make_option(
        self, call: Call, server: BackendServer, now: float
    ) -> PlacementOption:
        self._loads.register_server(server)
        speeds = self._loads.speeds
        load = self._loads.load_of(server.server_id, now)
        cached = self._loads.cached_tokens(call, server.server_id)
        slowness = speeds.slowness(server.service, server.server_id, now)
        token_seconds = slowness / speeds.tokens_per_second(server.service)
        backlog = load.prefill_tokens * token_seconds
        read = max(0, call.prompt_tokens - cached) * token_seconds
        base = slowness * speeds.expected_seconds(server.service, 0)
        load_delay = FULL_LOAD_DELAY_SECONDS * load.running / max(1, server.slots)
        expected = base + load_delay + backlog + read
        return PlacementOption(server, load, cached, expected, backlog, read)

    def _is_too_large(self, call: Call, server: BackendServer) -> bool:
        memory = self._memory_of(server)
        return bool(memory) and call.max_total_tokens > memory

    def _memory_of(self, server: BackendServer) -> int:
        service = self._loads.service_of(server.service)
        engine = None if service is None else service.engine
        return 0 if engine is None else engine.cache_tokens

    def _has_room(self, call: Call, option: PlacementOption) -> bool:
        load, slots = option.load, option.server.slots
        reserved_share = (
            min(RESERVED_SLOT_SHARE_STEP * call.priority, MAX_RESERVED_SLOT_SHARE)
            if call.prompt
            else 0.0
        )
        if load.running >= max(1, int(slots * (1 - reserved_share))):
            return False
        memory = self._memory_of(option.server)
        if not memory or not load.running:
            return True
        needed = self._loads.extra_memory_tokens(call, option.server.server_id)
        return load.held_tokens + needed <= memory

    def _meets_objective(self, call: Call, option: PlacementOption) -> bool:
        """Return whether the engine's backlog leaves time to meet the objective."""
        share = max(
            MIN_BACKLOG_SHARE, MAX_BACKLOG_SHARE - BACKLOG_SHARE_STEP * call.priority
        )
        limit = share * call.route.objective_seconds
        return not option.load.prefill_tokens or option.backlog_seconds <= limit

    def _tie_break(self, call: Call, server: BackendServer) -> float:
        key = f"{call.attempt_id}/{server.server_id}".encode()
        cost = TIE_BREAK_SECONDS * xxhash.xxh32_intdigest(key) / 2**32
        return cost if server.zone == self._zone else cost + CROSS_ZONE_COST_SECONDS


def _shared_parts(call: Call) -> tuple[PromptPart, ...]:
    """Return the prompt parts that other requests may share.

    These are all but the last part, which belongs to this request alone. The only part
    of a prompt counts as shared.
    """
    return call.prompt[:-1] or call.prompt


def _shared_tokens(call: Call) -> int:
    return sum(part.tokens for part in _shared_parts(call))
