"""A bounded queue of requests for which no backend server has room.

Answers the load pattern of a burst, often of one customer or one kind: first come
first served lets urgent requests wait behind the burst, spends the servers on
requests whose time is nearly over, and tells those that can't be served only when
their time is over.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterator

import msgspec
import xxhash

from bluebellshore.fleet import Call
from bluebellshore.ids import CustomerId
from bluebellshore.routing.placement import PlacementRefusal

__all__ = ["Queued", "WaitingQueue"]

#: One start in this many goes to the least urgent kind that waits.
LEAST_URGENT_TURN = 8
#: Part of the queue that each step down in urgency may not fill.
KEPT_SHARE = 0.15
#: Least part of the queue that any urgency may fill.
LEAST_SHARE = 0.4
#: Requests looked at for one that fits a place.
MOST_TRIES = 16
#: Time over which the rate of starts is measured.
RATE_SECONDS = 2.0
#: Starts a second assumed until some were seen.
START_RATE = 50.0
#: Starts a second assumed of a kind of which none started lately, though others did.
LEAST_RATE = 5.0
#: Longest expected wait for which a request is taken, as a multiple of its objective.
HOLD_OBJECTIVES = 0.15
#: Callers leave before the first event after the longest of: this time, a multiple of
#: the objective, a multiple of the longest pause that is on time.
PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
#: Bounds of the time after which a refused caller may come back, in seconds.
LEAST_RETRY_SECONDS = 0.1
MOST_RETRY_SECONDS = 10.0
#: Spread of those times, as a part of the time.
RETRY_SPREAD = 0.5


class Queued(msgspec.Struct, frozen=True):
    """The request waits.

    :param expected_seconds: expected time until a place frees for it.
    """

    expected_seconds: float


class _Waiting(msgspec.Struct, eq=False):
    call: Call
    since: float


class WaitingQueue:
    """Requests of one service in order of urgency, customers' share and time left.

    :param most_waiting: requests that may wait.
    :param needed_seconds: shortest time in which a request can be served once it has a
        place.
    """

    def __init__(
        self, most_waiting: int, needed_seconds: Callable[[Call], float] = lambda c: 0.0
    ):
        self._most_waiting = most_waiting
        self._needed_seconds = needed_seconds
        #: By identity: a caller may use the id of an attempt twice.
        self._entries: dict[int, _Waiting] = {}
        self._work_by_customer: dict[CustomerId | None, float] = {}
        self._floor = 0.0
        self._displaced: list[_Waiting] = []
        self._starts: deque[tuple[float, int]] = deque()
        self._starts_by_priority: Counter[int] = Counter()
        self._turn = 0

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, call: Call, now: float) -> Queued | PlacementRefusal:
        """Let a request wait, or refuse it at once."""
        seconds = self._expected_seconds(call, now)
        hold = HOLD_OBJECTIVES * call.route.objective_seconds
        last = _last_start(call) - self._needed_seconds(call)
        if seconds > hold or now + seconds > last:
            return self._refuse("no place is expected in time", call, now)
        if len(self._entries) >= self._limit(call) and not self._displace(call):
            return self._refuse("too many requests wait", call, now)
        self._entries[id(call)] = _Waiting(call, now)
        work = self._work_by_customer.get(call.customer, 0.0)
        self._work_by_customer[call.customer] = max(work, self._floor)
        return Queued(seconds)

    def take_next(self, now: float, fits: Callable[[Call], bool]) -> Call | None:
        """Take the request that goes next, of those that fit a place."""
        for tries, entry in enumerate(self._ordered(now)):
            if tries >= MOST_TRIES:
                return None
            if fits(entry.call):
                self._take(entry, now)
                return entry.call
        return None

    def take_expired(self, now: float) -> list[tuple[Call, PlacementRefusal]]:
        """Return requests that gave way or can't be served in time any more."""
        for entry in list(self._entries.values()):
            call = entry.call
            if now + self._needed_seconds(call) > _last_start(call):
                self._remove(entry)
                self._displaced.append(entry)
        displaced, self._displaced = self._displaced, []
        return [
            (entry.call, self._refuse("waited in vain", entry.call, now))
            for entry in displaced
        ]

    def withdraw(self, call: Call) -> bool:
        """Remove a request whose caller left. :return: False when it did not wait."""
        entry = self._entries.get(id(call))
        if entry is None:
            return False
        self._remove(entry)
        return True

    def record_start(self, call: Call, now: float) -> None:
        """Count a request that got a place."""
        self._starts.append((now, call.priority))
        self._starts_by_priority[call.priority] += 1
        self._drop_starts(now)

    def rate(self, now: float) -> float:
        """Return how many requests get a place in a second."""
        self._drop_starts(now)
        return len(self._starts) / RATE_SECONDS if self._starts else START_RATE

    def _drop_starts(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > RATE_SECONDS:
            _, priority = self._starts.popleft()
            self._starts_by_priority[priority] -= 1

    def _ordered(self, now: float) -> Iterator[_Waiting]:
        """Yield who goes next, then who goes if that one doesn't fit."""
        entries = list(self._entries.values())
        turn = self._turn % LEAST_URGENT_TURN == LEAST_URGENT_TURN - 1
        sign = -1 if turn else 1

        def key(entry: _Waiting) -> tuple[bool, int, float, float]:
            call = entry.call
            late = now + self._needed_seconds(call) > _due(call)
            work = self._work_by_customer[call.customer]
            return late, sign * call.priority, work, _due(call)

        entries.sort(key=key)
        return iter(entries)

    def _take(self, entry: _Waiting, now: float) -> None:
        self._turn += 1
        self.record_start(entry.call, now)
        customer = entry.call.customer
        work = self._work_by_customer[customer]
        self._floor = max(self._floor, min(self._waiting_work(), default=work))
        self._work_by_customer[customer] = work + _work(entry.call)
        self._remove(entry)

    def _waiting_work(self) -> list[float]:
        customers = {entry.call.customer for entry in self._entries.values()}
        return [self._work_by_customer[customer] for customer in customers]

    def _remove(self, entry: _Waiting) -> None:
        del self._entries[id(entry.call)]
        if not self._entries:
            self._work_by_customer = {
                customer: work
                for customer, work in self._work_by_customer.items()
                if work > self._floor
            }

    def _limit(self, call: Call) -> int:
        """Return how many may wait when this one comes: places are kept for urgent."""
        share = max(LEAST_SHARE, 1.0 - KEPT_SHARE * call.priority)
        return max(1, int(self._most_waiting * share))

    def _displace(self, call: Call) -> bool:
        """Put a request out that is less entitled to wait than `call`."""
        counts: dict[CustomerId | None, int] = {}
        for entry in self._entries.values():
            counts[entry.call.customer] = counts.get(entry.call.customer, 0) + 1
        own = counts.get(call.customer, 0) + 1

        def entitled(entry: _Waiting) -> tuple[int, int, float]:
            other = entry.call
            return other.priority, counts[other.customer], entry.since

        last = max(self._entries.values(), key=entitled, default=None)
        if last is None:
            return False
        heaviest = max(self._entries.values(), key=lambda e: entitled(e)[1:])
        for entry in (last, heaviest):
            other = entry.call
            if other.priority > call.priority or counts[other.customer] > own:
                self._remove(entry)
                self._displaced.append(entry)
                return True
        return False

    def _expected_seconds(self, call: Call, now: float) -> float:
        """Return the expected time until a place frees for a request.

        More urgent ones go first, and its own kind goes at the rate at which it went
        lately: what more urgent ones leave.
        """
        total = self.rate(now)
        urgent = own_kind = own = 0
        customers = {call.customer}
        for entry in self._entries.values():
            other = entry.call
            urgent += other.priority < call.priority
            if other.priority == call.priority:
                own_kind += 1
                own += other.customer == call.customer
                customers.add(other.customer)
        fair = min(own_kind, (own + 1) * len(customers) - 1)
        own_rate = self._starts_by_priority[call.priority] / RATE_SECONDS
        own_rate = own_rate or min(total, LEAST_RATE)
        return max(urgent / total, fair / own_rate)

    def _refuse(self, reason: str, call: Call, now: float) -> PlacementRefusal:
        """Tell when a place is likely, spread so that not all come back at once."""
        wait = max(
            self._expected_seconds(call, now), (len(self._entries) + 1) / self.rate(now)
        )
        wait = min(max(wait, LEAST_RETRY_SECONDS), MOST_RETRY_SECONDS)
        point = xxhash.xxh32_intdigest(call.attempt_id.encode()) / 2**32
        return PlacementRefusal(reason, wait * (1.0 + RETRY_SPREAD * point))


def _last_start(call: Call) -> float:
    """Return the time until which the caller waits for a first event."""
    route = call.route
    patience = max(
        PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective_seconds,
        PATIENCE_GAPS * route.gap_seconds,
    )
    return min(call.deadline, call.received_at + patience)


def _due(call: Call) -> float:
    """Return the time until which an answer is worth most."""
    return call.received_at + call.route.objective_seconds


def _work(call: Call) -> float:
    """Return what a request costs its customer's share: more for larger ones."""
    return 1.0 + math.log2(1.0 + call.most_tokens / 1000)
