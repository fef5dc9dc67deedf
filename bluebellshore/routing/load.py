"""What each backend server is known to have in hand."""

import itertools
from collections.abc import Iterable
from enum import Enum
from typing import NewType

import msgspec

from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import BackendServerId, IncarnationId, PartId

__all__ = [
    "LoadBook",
    "LoadReport",
    "PartSeen",
    "Result",
    "ServerLoad",
    "Ticket",
]

#: Number of an attempt in a :class:`LoadBook`.
Ticket = NewType("Ticket", int)
#: A peer's report is dropped after this long without a newer one. Peers report
#: several times a second.
REPORT_SECONDS = 2.0
#: Prompt parts remembered for each backend server.
PARTS_REMEMBERED = 4096
#: Prompt parts of own attempts kept for the next report to peers.
PARTS_REPORTED = 256


class Result(Enum):
    """How an attempt ended."""

    #: A whole answer, whatever its status below 500.
    ANSWERED = "answered"
    #: The backend server's own failure.
    FAILED = "failed"
    #: It says that it did not run the request.
    REFUSED = "refused"
    #: No connection could be made.
    UNREACHABLE = "unreachable"
    #: The connection broke, or the answer was not one.
    BROKEN = "broken"
    #: Nothing came in time.
    TIMED_OUT = "timed-out"
    #: The caller left first.
    LEFT = "left"


class ServerLoad(msgspec.Struct):
    """Work in hand at one backend server.

    :param running: requests sent and not ended.
    :param prefill_tokens: prompt tokens of those that showed no event yet, without
        what was expected to be cached.
    :param held_tokens: tokens of memory that running requests hold at most.
    """

    running: int = 0
    prefill_tokens: int = 0
    held_tokens: int = 0

    def add(self, other: "ServerLoad", sign: int = 1) -> None:
        """Add another load, or take it off with `sign` -1."""
        self.running += sign * other.running
        self.prefill_tokens += sign * other.prefill_tokens
        self.held_tokens += sign * other.held_tokens


class PartSeen(msgspec.Struct, frozen=True):
    """A prompt part that a backend server has read."""

    server_id: BackendServerId
    part_id: PartId


class LoadReport(msgspec.Struct):
    """What a router tells its peers of its own work.

    :param loads_by_server: work that it has in hand; idle servers are left out.
    :param parts: parts that servers have read since the last report.
    """

    loads_by_server: dict[BackendServerId, ServerLoad] = msgspec.field(
        default_factory=dict
    )
    parts: list[PartSeen] = msgspec.field(default_factory=list)


class _Attempt(msgspec.Struct):
    server_id: BackendServerId
    load: ServerLoad
    call: Call
    began_at: float
    first_event_at: float | None = None


class _Parts:
    """Prompt parts read by one backend server, the latest last."""

    def __init__(self) -> None:
        self._seen_at: dict[PartId, float] = {}

    def add(self, part_id: PartId, now: float) -> None:
        self._seen_at.pop(part_id, None)
        self._seen_at[part_id] = now
        if len(self._seen_at) > PARTS_REMEMBERED:
            del self._seen_at[next(iter(self._seen_at))]

    def __contains__(self, part_id: PartId) -> bool:
        return part_id in self._seen_at


class LoadBook:
    """Own attempts at once, those of peers as they report them.

    Every method takes `now` in monotonic seconds.
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._attempts_by_ticket: dict[Ticket, _Attempt] = {}
        self._own_by_server: dict[BackendServerId, ServerLoad] = {}
        self._reports: dict[IncarnationId, tuple[float, LoadReport]] = {}
        self._parts_by_server: dict[BackendServerId, _Parts] = {}
        self._new_parts: list[PartSeen] = []

    def begin(self, call: Call, server: BackendServer, now: float) -> Ticket:
        """Count an attempt that is about to be sent."""
        missing = call.prompt_tokens - self.cached_tokens(call, server.server_id)
        load = ServerLoad(1, max(0, missing), call.most_tokens)
        ticket = Ticket(next(self._numbers))
        attempt = _Attempt(server.server_id, load, call, now)
        self._attempts_by_ticket[ticket] = attempt
        self._own(server.server_id).add(load)
        for part in call.prompt:
            self._see(PartSeen(server.server_id, part.part_id), now)
            self._new_parts.append(PartSeen(server.server_id, part.part_id))
        del self._new_parts[:-PARTS_REPORTED]
        return ticket

    def first_event(self, ticket: Ticket, now: float) -> float:
        """Note that the prompt was read. :return: seconds that it took."""
        attempt = self._attempts_by_ticket[ticket]
        if attempt.first_event_at is None:
            attempt.first_event_at = now
            self._own(attempt.server_id).prefill_tokens -= attempt.load.prefill_tokens
            attempt.load.prefill_tokens = 0
        return attempt.first_event_at - attempt.began_at

    def end(self, ticket: Ticket, result: Result, now: float) -> None:
        """Forget an attempt that ended."""
        attempt = self._attempts_by_ticket.pop(ticket)
        self._own(attempt.server_id).add(attempt.load, sign=-1)

    def load_of(self, server_id: BackendServerId, now: float) -> ServerLoad:
        """Return all work known to be in hand at a backend server."""
        total = ServerLoad()
        total.add(self._own(server_id))
        for received_at, report in self._reports.values():
            load = report.loads_by_server.get(server_id)
            if load is not None and now - received_at < REPORT_SECONDS:
                total.add(load)
        return total

    def cached_tokens(self, call: Call, server_id: BackendServerId) -> int:
        """Return the tokens of the prompt that a backend server seems to hold."""
        parts = self._parts_by_server.get(server_id)
        if parts is None:
            return 0
        held = itertools.takewhile(lambda part: part.part_id in parts, call.prompt)
        return sum(part.tokens for part in held)

    def report(self) -> LoadReport:
        """Return what peers are told; parts are told once."""
        parts, self._new_parts = self._new_parts, []
        loads = {key: load for key, load in self._own_by_server.items() if load.running}
        return LoadReport(loads, parts)

    def merge(self, peer: IncarnationId, report: LoadReport, now: float) -> None:
        """Take in a peer's report."""
        self._reports[peer] = (now, report)
        for part in report.parts:
            self._see(part, now)
        for other, (received_at, _) in list(self._reports.items()):
            if now - received_at >= REPORT_SECONDS:
                del self._reports[other]

    def forget(self, server_ids: Iterable[BackendServerId]) -> None:
        """Drop what backend servers held that are gone or began anew."""
        for server_id in server_ids:
            self._parts_by_server.pop(server_id, None)

    def _own(self, server_id: BackendServerId) -> ServerLoad:
        return self._own_by_server.setdefault(server_id, ServerLoad())

    def _see(self, seen: PartSeen, now: float) -> None:
        parts = self._parts_by_server.setdefault(seen.server_id, _Parts())
        parts.add(seen.part_id, now)
