"""Chooses the backend server of a request, or has it wait or refuses it.

Answers the load pattern in which requests share long parts of their prompts: sent
anywhere, each backend server reads the shared parts again, and one long prompt
delays the tokens of all requests beside it.
"""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet

import msgspec
import xxhash

from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId, ZoneName
from bluebellshore.routing.load import LoadBook

__all__ = ["Place", "Placer", "Refuse", "Wait"]

#: Prompt tokens that an engine reads in a second until its speed is known. Low, so
#: that a router that has just started spreads rather than piles up.
PREFILL_TOKENS_PER_SECOND = 20_000.0
#: Expected delay that one more running request adds to those beside it, in seconds.
RUNNING_SECONDS = 0.004
#: Preference for the own availability zone, in seconds.
ZONE_SECONDS = 0.002
#: Preference for the home of a prompt's first part among equals, in seconds.
HOME_SECONDS = 0.020


class Place(msgspec.Struct, frozen=True):
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


class Refuse(msgspec.Struct, frozen=True):
    """The request can't be served now.

    :param retry_after_seconds: when a repeat is likely to be served.
    """

    reason: str
    retry_after_seconds: float


class Placer:
    """Places by the full cost: reading what is not cached, behind what waits.

    :param zone: availability zone of this router.
    """

    def __init__(self, book: LoadBook, zone: ZoneName):
        self._book = book
        self._zone = zone

    def place(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        now: float,
        exclude: AbstractSet[BackendServerId] = frozenset(),
    ) -> Place | Wait | Refuse:
        """Choose one of `candidates` that is not excluded."""
        usable = [c for c in candidates if c.server_id not in exclude]
        if not usable:
            return Refuse("no backend server", 0.5)
        roomy = [c for c in usable if self._has_room(c, now)]
        if not roomy:
            return Wait("all backend servers are full")
        return min(
            (self._option(call, server, now) for server in roomy),
            key=lambda option: self._cost(call, option),
        )

    def _has_room(self, server: BackendServer, now: float) -> bool:
        return self._book.load_of(server.server_id, now).running < server.slots

    def _option(self, call: Call, server: BackendServer, now: float) -> Place:
        load = self._book.load_of(server.server_id, now)
        cached = self._book.cached_tokens(call, server.server_id)
        to_read = load.prefill_tokens + call.prompt_tokens - cached
        seconds = to_read / PREFILL_TOKENS_PER_SECOND
        seconds += load.running / server.slots * RUNNING_SECONDS * 64
        return Place(server, seconds, cached)

    def _cost(self, call: Call, option: Place) -> float:
        cost = option.expected_seconds
        if option.server.zone != self._zone:
            cost += ZONE_SECONDS
        if call.prompt:
            seed = call.prompt[0].part_id
            key = f"{seed}/{option.server.server_id}".encode()
            cost += HOME_SECONDS * xxhash.xxh32_intdigest(key) / 2**32
        return cost
