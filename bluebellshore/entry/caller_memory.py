"""Decides which callers give way when they make a process hold too much."""

import enum
import itertools
from collections.abc import Callable

import msgspec

from bluebellshore.ids import CustomerId

__all__ = [
    "CONNECTION_BYTES",
    "CallerHolding",
    "CallerLimits",
    "CallerMemory",
    "GiveWayReason",
    "Stage",
]

#: What an open connection costs by itself.
CONNECTION_BYTES = 16 * 1024
#: Shares of the process's memory that callers may take in all, with large heads and
#: bodies, and with answers that they don't read; and the lower bounds of these.
CALLERS_MEMORY_SHARE = 0.33
MIN_CALLERS_MEMORY_BYTES = 24 * 1024 * 1024
REQUESTS_MEMORY_SHARE = 0.25
MIN_REQUESTS_MEMORY_BYTES = 16 * 1024 * 1024
UNSENT_MEMORY_SHARE = 0.08
MIN_UNSENT_MEMORY_BYTES = 6 * 1024 * 1024
#: A request that holds no more than this is taken while larger ones are refused.
SMALL_REQUEST_BYTES = 16 * 1024
#: Bytes of a body that count as progress when they came since the last progress.
PROGRESS_BYTES = 16 * 1024
#: Time without progress after which a request that is being received goes first, and
#: an answer where connections are short.
RECEIVING_PATIENCE_SECONDS = 1.0
#: Time in which nothing could be written to a caller, after which its answer goes
#: before others.
SENDING_PATIENCE_SECONDS = 2.0


class GiveWayReason(enum.Enum):
    """The limit for which a caller gives way."""

    CONNECTIONS = "connections"
    REQUESTS = "requests"
    UNSENT = "unsent"
    MEMORY = "memory"
    HEADS = "heads"


class Stage(enum.Enum):
    """How far a connection is with its present request."""

    #: No request was ever received on it.
    NEW = "new"
    #: No request is being received or served.
    IDLE = "idle"
    #: A part of a head was received.
    HEAD = "head"
    #: The head was received and a part of the body.
    BODY = "body"
    #: The whole request was received.
    SERVED = "served"
    #: The request was refused while its body was still being received.
    REFUSED = "refused"


class CallerLimits(msgspec.Struct, frozen=True):
    """What all callers of a port may hold.

    :param max_bytes: bytes in all.
    :param max_request_bytes: bytes of large heads and of bodies.
    :param max_unsent_bytes: bytes of answers that callers don't read.
    :param max_connections: open connections.
    """

    max_bytes: int = MIN_CALLERS_MEMORY_BYTES
    max_request_bytes: int = MIN_REQUESTS_MEMORY_BYTES
    max_unsent_bytes: int = MIN_UNSENT_MEMORY_BYTES
    max_connections: int = MIN_CALLERS_MEMORY_BYTES // 2 // CONNECTION_BYTES

    @classmethod
    def of_process(cls, memory_bytes: int, max_callers: int) -> "CallerLimits":
        """Return the limits in a process.

        :param memory_bytes: memory that the process may use; 0 when unknown.
        :param max_callers: connections for which there are descriptors.
        """
        max_bytes = max(
            MIN_CALLERS_MEMORY_BYTES, int(memory_bytes * CALLERS_MEMORY_SHARE)
        )
        max_connections = max_bytes // 2 // CONNECTION_BYTES
        return cls(
            max_bytes,
            max(MIN_REQUESTS_MEMORY_BYTES, int(memory_bytes * REQUESTS_MEMORY_SHARE)),
            max(MIN_UNSENT_MEMORY_BYTES, int(memory_bytes * UNSENT_MEMORY_SHARE)),
            min(max_connections, max_callers),
        )


class CallerHolding:
    """What one connection makes the process hold.

    :param end: closes the connection, called with the reason when it is to give way.
    :param measure_unsent: returns the bytes that are written and not sent yet.
    :ivar gave_way: limit for which it was closed or refused last; None for none.
    """

    __slots__ = (
        "ahead_bytes",
        "body_bytes",
        "customer",
        "end",
        "gave_way",
        "head_bytes",
        "is_open",
        "measure_unsent",
        "progress_at",
        "progress_bytes",
        "stage",
        "unsent_bytes",
        "written_at",
    )

    def __init__(
        self,
        end: Callable[[GiveWayReason], None],
        measure_unsent: Callable[[], int],
        now: float,
    ):
        self.end = end
        self.measure_unsent = measure_unsent
        self.gave_way: GiveWayReason | None = None
        self.is_open = True
        self.stage = Stage.NEW
        self.customer: CustomerId | None = None
        self.progress_at = self.written_at = now
        self.progress_bytes = 0
        self.head_bytes = self.body_bytes = self.ahead_bytes = self.unsent_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Bytes that the connection makes the process hold."""
        return (
            CONNECTION_BYTES
            + self.head_bytes
            + self.body_bytes
            + self.ahead_bytes
            + self.unsent_bytes
        )


class CallerMemory:
    """The account of what all callers make a process hold: who gives way when it fills.

    Handles crowds that send requests which they don't end, send ahead of the answers,
    don't read, or only connect. What is furthest from being served goes first, measured
    by its last progress; a request that was received whole is never given up for one
    that comes later. Callers inside the limits lose nothing while there is room.

    Methods that return a boolean tell whether the connection or request may go on.

    :param limits: what callers may hold.
    :ivar held_bytes: bytes that callers hold.
    :ivar request_bytes: those of large heads and of bodies.
    :ivar unsent_bytes: those of answers that callers have not read.
    :ivar connections: open connections.
    :ivar gave_way: connections closed and requests refused, by the limit.
    """

    def __init__(self, limits: CallerLimits | None = None):
        self.limits = limits or CallerLimits()
        self.held_bytes = self.request_bytes = self.unsent_bytes = self.connections = 0
        self.gave_way = dict.fromkeys(GiveWayReason, 0)
        #: In each stage, the holding without progress for longest comes first.
        self._holdings: dict[Stage, dict[CallerHolding, None]] = {
            stage: {} for stage in Stage
        }
        #: Those with unsent bytes; the one not written to for longest comes first.
        self._unsent: dict[CallerHolding, None] = {}
        #: Those with bytes sent ahead, in the order in which they began to.
        self._ahead: dict[CallerHolding, None] = {}

    def open(
        self,
        end: Callable[[GiveWayReason], None],
        now: float,
        measure_unsent: Callable[[], int] = lambda: 0,
    ) -> CallerHolding | None:
        """Take a new connection; another may give way. :return: None if refused."""
        holding = CallerHolding(end, measure_unsent, now)
        if self.connections >= self.limits.max_connections:
            victim = self._connection_to_close(now)
            if victim is None:
                self.gave_way[GiveWayReason.CONNECTIONS] += 1
                return None
            self._end(victim, GiveWayReason.CONNECTIONS)
        self.connections += 1
        self.held_bytes += CONNECTION_BYTES
        self._holdings[Stage.NEW][holding] = None
        if not self._make_room(holding, now):
            self.close(holding)
            return None
        return holding

    def close(self, holding: CallerHolding) -> None:
        """Forget a connection that was closed."""
        if not holding.is_open:
            return
        holding.is_open = False
        del self._holdings[holding.stage][holding]
        self._unsent.pop(holding, None)
        self._ahead.pop(holding, None)
        self.connections -= 1
        self.held_bytes -= holding.held_bytes
        self.request_bytes -= holding.head_bytes + holding.body_bytes
        self.unsent_bytes -= holding.unsent_bytes

    def head_began(self, holding: CallerHolding, now: float) -> None:
        """Note that a part of a head was received."""
        self._move(holding, Stage.HEAD, now)

    def request_began(self, holding: CallerHolding, now: float) -> None:
        """Note that a head was received whole."""
        self._move(holding, Stage.SERVED, now)

    def head_refused(self) -> None:
        """Count a head that is larger than any that is allowed."""
        self.gave_way[GiveWayReason.HEADS] += 1

    def head_grew(self, holding: CallerHolding, size: int, now: float) -> bool:
        """Count what a head costs."""
        if not holding.is_open:
            return False
        holding.head_bytes += size
        self.request_bytes += size
        return self._grew(holding, size, now)

    def body_began(
        self, holding: CallerHolding, customer: CustomerId | None, now: float
    ) -> None:
        """Note that a body is being received of which a part is still to come."""
        holding.customer = customer
        self._move(holding, Stage.BODY, now)

    def body_grew(self, holding: CallerHolding, size: int, now: float) -> bool:
        """Count bytes of a body."""
        if not holding.is_open:
            return False
        holding.body_bytes += size
        self.request_bytes += size
        if holding.stage is Stage.BODY:
            holding.progress_bytes += size
            if holding.progress_bytes >= PROGRESS_BYTES:
                self._move(holding, Stage.BODY, now)
        return self._grew(holding, size, now)

    def body_ended(self, holding: CallerHolding, now: float) -> None:
        """Note that a body was received whole."""
        self._move(holding, Stage.SERVED, now)

    def refused(self, holding: CallerHolding, now: float) -> None:
        """Note that a request was refused whose body is still being received."""
        self._release(holding)
        self._move(holding, Stage.REFUSED, now)

    def request_ended(self, holding: CallerHolding, now: float) -> None:
        """Release what a request held."""
        self._release(holding)
        self._move(holding, Stage.IDLE, now)

    def set_ahead(self, holding: CallerHolding, size: int, now: float) -> bool:
        """Set the bytes that were sent ahead of the answers."""
        if not holding.is_open:
            return False
        grown = size - holding.ahead_bytes
        holding.ahead_bytes = size
        if size:
            self._ahead[holding] = None
        else:
            self._ahead.pop(holding, None)
        return self._grew(holding, grown, now)

    def set_unsent(self, holding: CallerHolding, size: int, now: float) -> bool:
        """Set the bytes written for a caller and not sent yet, after a write."""
        if not holding.is_open:
            return False
        holding.written_at = now
        grown = self._count_unsent(holding, size)
        self._unsent.pop(holding, None)
        if size:
            self._unsent[holding] = None
        if grown > 0 and self.unsent_bytes > self.limits.max_unsent_bytes:
            self._free_unsent(now, SENDING_PATIENCE_SECONDS, GiveWayReason.UNSENT)
        return grown <= 0 or self._make_room(holding, now)

    # Decisions

    def _grew(self, holding: CallerHolding, size: int, now: float) -> bool:
        self.held_bytes += size
        return size <= 0 or self._make_room(holding, now)

    def _make_room(self, holding: CallerHolding, now: float) -> bool:
        """Let others give way until all is within limits.

        :return: False if the holding that grew gives way itself.
        """
        limits = self.limits
        while True:
            if self.held_bytes > limits.max_bytes:
                reason = GiveWayReason.MEMORY
            elif self.request_bytes > limits.max_request_bytes:
                reason = GiveWayReason.REQUESTS
            else:
                return True
            if reason is GiveWayReason.MEMORY:
                self._measure_others(holding, now)
                if self.held_bytes <= limits.max_bytes:
                    continue
            victim = self._request_to_end(reason, now)
            if victim is None and reason is GiveWayReason.MEMORY:
                victim = self._slowest_reader(now, 0.0)
                victim = victim or self._connection_to_close(now)
            if victim is None and reason is GiveWayReason.REQUESTS:
                if holding.head_bytes + holding.body_bytes <= SMALL_REQUEST_BYTES:
                    return True
            if victim is None or victim is holding:
                self.gave_way[reason] += 1
                holding.gave_way = reason
                return False
            self._end(victim, reason)

    def _request_to_end(
        self, reason: GiveWayReason, now: float
    ) -> CallerHolding | None:
        """Return the one that is furthest from being served; None for none.

        First what was sent ahead, unless only heads and bodies are too many, then a
        body without progress, then the body with the oldest progress of the customer
        whose unfinished bodies hold most.
        """
        if reason is not GiveWayReason.REQUESTS and self._ahead:
            return next(iter(self._ahead))
        bodies = self._holdings[Stage.BODY]
        first = next(iter(bodies), None)
        if first is None or now - first.progress_at >= RECEIVING_PATIENCE_SECONDS:
            return first
        bytes_by_customer: dict[CustomerId | None, int] = {}
        for holding in bodies:
            held = bytes_by_customer.get(holding.customer, 0)
            bytes_by_customer[holding.customer] = held + holding.body_bytes
        largest = max(bytes_by_customer, key=bytes_by_customer.__getitem__)
        return next(holding for holding in bodies if holding.customer == largest)

    def _connection_to_close(self, now: float) -> CallerHolding | None:
        """Return the connection that is worth least; None if all are being served."""
        for holding in self._holdings[Stage.REFUSED]:
            return holding
        receiving = [
            holding
            for stage in (Stage.NEW, Stage.HEAD)
            for holding in itertools.islice(self._holdings[stage], 1)
        ]
        oldest = min(receiving, key=lambda item: item.progress_at, default=None)
        if oldest and now - oldest.progress_at >= RECEIVING_PATIENCE_SECONDS:
            return oldest
        idle = self._holdings[Stage.IDLE]
        unread = (item for item in idle if not self._is_reading(item, now))
        least = next(unread, None) or next(iter(self._ahead), None) or oldest
        if least is not None:
            return least
        for holding in self._holdings[Stage.BODY]:
            if now - holding.progress_at >= RECEIVING_PATIENCE_SECONDS:
                return holding
            break
        return self._slowest_reader(now, RECEIVING_PATIENCE_SECONDS)

    def _free_unsent(
        self, now: float, patience_seconds: float, reason: GiveWayReason
    ) -> None:
        victim = self._slowest_reader(now, patience_seconds)
        if victim is not None:
            self._end(victim, reason)

    def _slowest_reader(
        self, now: float, patience_seconds: float
    ) -> CallerHolding | None:
        """Return the caller that has read nothing for longest.

        :param patience_seconds: time since the last write to it at least.
        """
        for holding in list(self._unsent):
            if now - holding.written_at < patience_seconds:
                break
            size = holding.measure_unsent()
            if size and size >= holding.unsent_bytes:
                return holding
            self._note_read(holding, size, now)
        return None

    def _is_reading(self, holding: CallerHolding, now: float) -> bool:
        """Whether an idle connection's last answer may still be on its way."""
        is_recent = now - holding.progress_at < SENDING_PATIENCE_SECONDS
        # Answers that are counted are judged by `_slowest_reader`.
        return (is_recent or holding in self._unsent) and holding.measure_unsent() > 0

    # Bookkeeping

    def _measure_others(self, growing: CallerHolding, now: float) -> None:
        """Count what others have read since the last write to them."""
        for holding in list(self._unsent):
            size = holding.measure_unsent()
            if holding is not growing and size < holding.unsent_bytes:
                self._note_read(holding, size, now)

    def _note_read(self, holding: CallerHolding, size: int, now: float) -> None:
        """Note that a caller has read a part of what was written."""
        self._count_unsent(holding, size)
        del self._unsent[holding]
        if size:
            holding.written_at = now
            self._unsent[holding] = None

    def _count_unsent(self, holding: CallerHolding, size: int) -> int:
        grown = size - holding.unsent_bytes
        holding.unsent_bytes = size
        self.unsent_bytes += grown
        self.held_bytes += grown
        return grown

    def _release(self, holding: CallerHolding) -> None:
        if holding.is_open:
            size = holding.head_bytes + holding.body_bytes
            self.held_bytes -= size
            self.request_bytes -= size
            holding.head_bytes = holding.body_bytes = 0

    def _move(self, holding: CallerHolding, stage: Stage, now: float) -> None:
        if holding.is_open:
            del self._holdings[holding.stage][holding]
            holding.stage = stage
            holding.progress_at, holding.progress_bytes = now, 0
            self._holdings[stage][holding] = None

    def _end(self, holding: CallerHolding, reason: GiveWayReason) -> None:
        self.gave_way[reason] += 1
        holding.gave_way = reason
        self.close(holding)
        holding.end(reason)
