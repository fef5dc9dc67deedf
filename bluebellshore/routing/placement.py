"""Chooses the backend server of a request, or has it wait or refuses it.

Answers the load pattern in which requests share long parts of their prompts: sent
anywhere, each backend server reads the shared parts again, and one long prompt
delays the tokens of all requests beside it.
"""

import heapq
from collections.abc import Mapping, Sequence
from collections.abc import Set as AbstractSet

import msgspec
import xxhash

from bluebellshore.fleet import BackendServer, Call, PromptPart
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.routing.load import LoadTracker, ServerLoad

__all__ = ["Placement", "PlacementOption", "PlacementRefusal", "Placer", "Wait"]

#: Expected delay of a first event when all slots are taken, in seconds.
FULL_SECONDS = 0.1
#: Weight of the delay that reading this prompt puts on each request beside it.
BESIDE_WEIGHT = 0.05
#: Weight of reading again what another server holds, beyond the delay of it.
REREAD_WEIGHT = 2.0
#: Preference for the own availability zone, in seconds.
ZONE_SECONDS = 0.01
#: Preference for the home of a prompt's shared parts, in seconds.
HOME_SECONDS = 0.1
#: Share of that preference that each of the homes, in order, does without.
HOME_DISTANCES = (0.0, 0.5)
#: Servers whose cost is worked out; of more, the homes and a sample are.
MOST_OPTIONS = 24
#: Multiplier and mask of the rendezvous hash (the golden ratio, 64 bits).
MIX = 0x9E3779B97F4A7C15
MASK = 2**64 - 1
#: Hashes kept of servers beyond twice those of one call.
MOST_POINTS = 4096
#: Spread of choices between equals, in seconds, so that many routers that read the
#: same report don't all choose the same server.
SPREAD_SECONDS = 0.005
#: Part of the objective that unread prompts may take at an engine before a request of
#: the highest urgency, and what each step down in urgency takes off.
BACKLOG_SHARE = 0.8
BACKLOG_STEP = 0.1
LEAST_BACKLOG_SHARE = 0.4
#: Part of an engine's slots that each step down in urgency may not take, and the most.
KEPT_SHARE = 0.06
MOST_KEPT_SHARE = 0.2
#: Time after which a caller may come back when no server is known or usable.
NO_SERVER_RETRY_SECONDS = 0.5
#: Time after which a request larger than every engine may come back: never helps.
TOO_LARGE_RETRY_SECONDS = 30.0


class Placement(msgspec.Struct, frozen=True):
    """Send the request.

    :param expected_seconds: expected time to the first event.
    :param cached_tokens: tokens of the prompt that need not be read.
    """

    server: BackendServer
    expected_seconds: float = 0.0
    cached_tokens: int = 0


class Wait(msgspec.Struct, frozen=True):
    """No backend server has room; ask again when one may have."""

    reason: str


class PlacementRefusal(msgspec.Struct, frozen=True):
    """The request can't be served now.

    :param retry_after_seconds: when a repeat is likely to be served.
    """

    reason: str
    retry_after_seconds: float


class PlacementOption(msgspec.Struct, frozen=True):
    """A server that may be chosen.

    :param expected_seconds: expected time to the first event.
    :param backlog_seconds: part of it that others' prompts take.
    :param read_seconds: part of it that this prompt takes.
    """

    server: BackendServer
    load: ServerLoad
    cached_tokens: int
    expected_seconds: float
    backlog_seconds: float
    read_seconds: float


class Placer:
    """Places by the full cost: reading what is not cached, behind what waits.

    :param zone: availability zone of this router.
    """

    def __init__(self, loads: LoadTracker, zone: ZoneName):
        self._loads = loads
        self._zone = zone
        self._points: dict[BackendServerId, int] = {}

    def place(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        now: float,
        exclude: AbstractSet[BackendServerId] = frozenset(),
    ) -> Placement | Wait | PlacementRefusal:
        """Choose one of `candidates` that is not excluded."""
        usable = [c for c in candidates if c.server_id not in exclude]
        if not usable:
            return PlacementRefusal("no backend server", NO_SERVER_RETRY_SECONDS)
        if self._is_too_large(call, usable[0]):
            return PlacementRefusal(
                "larger than any engine's memory", TOO_LARGE_RETRY_SECONDS
            )
        homes = self._homes(call, candidates)
        listed = self._shortlist(call, usable, homes)
        options = [self._option(call, server, now) for server in listed]
        roomy = [option for option in options if self._has_room(call, option)]
        if not roomy:
            return Wait("all backend servers are full")
        if call.prompt:
            roomy = [option for option in roomy if self._is_soon(call, option)]
            if not roomy:
                return Wait("too many prompts wait to be read")
            option = self.choose_engine(call, homes, roomy)
        else:
            option = self.choose_plain(call, roomy)
        return Placement(option.server, option.expected_seconds, option.cached_tokens)

    def choose_engine(
        self,
        call: Call,
        homes: Mapping[BackendServerId, float],
        options: Sequence[PlacementOption],
    ) -> PlacementOption:
        """Choose the option of least cost to this request and to those beside it.

        :param homes: distance from home of the shared parts' homes; 1 for others.
        """
        most_cached = max(option.cached_tokens for option in options)

        def cost(option: PlacementOption) -> float:
            load = option.load
            again = max(
                0, min(most_cached, _shared_tokens(call)) - option.cached_tokens
            )
            service = option.server.service
            reread = again / self._loads.speeds.tokens_per_second(service)
            return (
                option.expected_seconds
                + BESIDE_WEIGHT * load.running * option.read_seconds
                + REREAD_WEIGHT * reread
                + HOME_SECONDS * homes.get(option.server.server_id, 1.0)
                + self._tie_break(call, option.server)
            )

        return min(options, key=cost)

    def choose_plain(
        self, call: Call, options: Sequence[PlacementOption]
    ) -> PlacementOption:
        """Choose the least loaded server of a plain service."""

        def cost(option: PlacementOption) -> float:
            busy = option.load.running / max(1, option.server.slots)
            return busy + self._tie_break(call, option.server)

        return min(options, key=cost)

    def _homes(
        self, call: Call, candidates: Sequence[BackendServer]
    ) -> dict[BackendServerId, float]:
        """Return the homes of the shared parts, by rendezvous.

        All routers agree on them without having seen one another's work.
        """
        if not call.prompt:
            return {}
        seed = _shared_parts(call)[-1].part_id
        ranked = self._ranked(seed, candidates, len(HOME_DISTANCES))
        ids = (server.server_id for server in ranked)
        return dict(zip(ids, HOME_DISTANCES, strict=False))

    def _shortlist(
        self,
        call: Call,
        usable: Sequence[BackendServer],
        homes: Mapping[BackendServerId, float],
    ) -> Sequence[BackendServer]:
        """Return the homes and a sample, when there are many servers."""
        if len(usable) <= MOST_OPTIONS:
            return usable
        stride = len(usable) // MOST_OPTIONS
        start = xxhash.xxh32_intdigest(call.attempt_id.encode()) % stride
        sample = usable[start::stride][:MOST_OPTIONS]
        sampled = {server.server_id for server in sample}
        at_home = (
            s for s in usable if s.server_id in homes and s.server_id not in sampled
        )
        return [*at_home, *sample]

    def _ranked(
        self, seed: str, servers: Sequence[BackendServer], count: int
    ) -> list[BackendServer]:
        """Return the first servers in the rendezvous order of a seed."""
        points = self._points
        salt = xxhash.xxh64_intdigest(seed.encode())

        def score(server: BackendServer) -> int:
            point = points.get(server.server_id)
            if point is None:
                point = xxhash.xxh64_intdigest(server.server_id.encode())
                points[server.server_id] = point
            mixed = (point ^ salt) * MIX & MASK
            return (mixed ^ mixed >> 32) * MIX & MASK

        first = heapq.nsmallest(count, servers, key=score)
        if len(points) > 2 * len(servers) + MOST_POINTS:
            points.clear()
        return first

    def _option(self, call: Call, server: BackendServer, now: float) -> PlacementOption:
        self._loads.register_server(server)
        speeds = self._loads.speeds
        load = self._loads.load_of(server.server_id, now)
        cached = self._loads.cached_tokens(call, server.server_id)
        slowness = speeds.slowness(server.service, server.server_id, now)
        token_seconds = slowness / speeds.tokens_per_second(server.service)
        backlog = load.prefill_tokens * token_seconds
        read = max(0, call.prompt_tokens - cached) * token_seconds
        base = slowness * speeds.expected_seconds(server.service, 0)
        busy = FULL_SECONDS * load.running / max(1, server.slots)
        expected = base + busy + backlog + read
        return PlacementOption(server, load, cached, expected, backlog, read)

    def _is_too_large(self, call: Call, server: BackendServer) -> bool:
        memory = self._memory_of(server)
        return bool(memory) and call.most_tokens > memory

    def _memory_of(self, server: BackendServer) -> int:
        service = self._loads.service_of(server.service)
        engine = None if service is None else service.engine
        return 0 if engine is None else engine.cache_tokens

    def _has_room(self, call: Call, option: PlacementOption) -> bool:
        load, slots = option.load, option.server.slots
        kept = min(KEPT_SHARE * call.priority, MOST_KEPT_SHARE) if call.prompt else 0.0
        if load.running >= max(1, int(slots * (1 - kept))):
            return False
        memory = self._memory_of(option.server)
        if not memory or not load.running:
            return True
        needed = self._loads.extra_memory_tokens(call, option.server.server_id)
        return load.held_tokens + needed <= memory

    def _is_soon(self, call: Call, option: PlacementOption) -> bool:
        """Whether the engine's backlog leaves the request its objective."""
        share = max(LEAST_BACKLOG_SHARE, BACKLOG_SHARE - BACKLOG_STEP * call.priority)
        limit = share * call.route.objective_seconds
        return not option.load.prefill_tokens or option.backlog_seconds <= limit

    def _tie_break(self, call: Call, server: BackendServer) -> float:
        key = f"{call.attempt_id}/{server.server_id}".encode()
        cost = SPREAD_SECONDS * xxhash.xxh32_intdigest(key) / 2**32
        return cost if server.zone == self._zone else cost + ZONE_SECONDS


def _shared_parts(call: Call) -> tuple[PromptPart, ...]:
    """Return the parts that other requests have too; the last is the request's own."""
    return call.prompt[:-1] or call.prompt


def _shared_tokens(call: Call) -> int:
    return sum(part.tokens for part in _shared_parts(call))
