"""Bounded priority queue of requests for which no backend server has room.

Handles bursts, often of one customer or one kind of request. In a queue that is first
come, first served, urgent requests would wait behind the burst, servers would spend
their time on requests whose callers are about to give up, and requests that can't be
served would learn of it only when their time is over.
"""

import math
from collections import Counter, deque
from collections.abc import Callable, Iterator

import msgspec
import xxhash

from bluebellshore.fleet import Call
from bluebellshore.ids import CustomerId
from bluebellshore.routing.placement import PlacementRefusal

__all__ = ["MAX_WAIT_OBJECTIVES", "Queued", "WaitingQueue"]

#: One start out of this many goes to the least urgent kind of request that waits.
LEAST_URGENT_INTERVAL = 8
#: Share of the queue that is reserved for more urgent requests at each lower priority.
RESERVED_SHARE_STEP = 0.15
#: Minimum share of the queue that requests of any priority may fill.
MIN_QUEUE_SHARE = 0.4
#: Requests that are checked for one that fits a free place.
MAX_CHECKED_REQUESTS = 16
#: Time window over which the rate of starts is measured.
RATE_WINDOW_SECONDS = 2.0
#: Rate of starts that is assumed while there are none in the window.
INITIAL_STARTS_PER_SECOND = 50.0
#: Upper bound of the rate that is assumed for a priority without starts in the window.
MAX_ASSUMED_STARTS_PER_SECOND = 5.0
#: Longest expected wait for which a request is queued, as a multiple of its latency
#: objective.
MAX_WAIT_OBJECTIVES = 0.15
#: Callers are expected to wait for the first event for the longest of: this time, this
#: multiple of the latency objective, this multiple of the route's longest event gap.
MIN_PATIENCE_SECONDS = 2.0
PATIENCE_OBJECTIVES = 4.0
PATIENCE_GAPS = 8.0
#: Bounds of Retry-After.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 10.0
#: Pseudo-random addition to Retry-After, as a share of it.
RETRY_AFTER_JITTER_SHARE = 0.5


class Queued(msgspec.Struct, frozen=True):
    """Decision to queue the request.

    :param expected_seconds: expected wait until it gets a place.
    """

    expected_seconds: float


class _QueueEntry(msgspec.Struct, eq=False):
    call: Call
    queued_at: float


class WaitingQueue:
    """Queue of the requests of one service.

    Requests that can still meet their latency objective go first, and are ordered by
    priority, by the work that their customer has been served (fair queueing), and by
    the time at which the objective ends.

    :param max_requests: requests that may wait.
    :param service_seconds: returns the shortest time in which a request can be served
        once it has a place.
    """

    def __init__(
        self,
        max_requests: int,
        service_seconds: Callable[[Call], float] = lambda c: 0.0,
    ):
        self._max_requests = max_requests
        self._service_seconds = service_seconds
        #: Keyed by ``id(call)``, because a caller may use an attempt id twice.
        self._entries: dict[int, _QueueEntry] = {}
        #: Work served to each customer, as virtual time of the fair queueing.
        self._work_by_customer: dict[CustomerId | None, float] = {}
        #: Work with which a customer without waiting requests joins, so that it gains
        #: nothing from the time in which it had none.
        self._min_work = 0.0
        self._displaced: list[_QueueEntry] = []
        #: Time and priority of each start in the rate window.
        self._starts: deque[tuple[float, int]] = deque()
        self._starts_by_priority: Counter[int] = Counter()
        self._start_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def offer(self, call: Call, now: float) -> Queued | PlacementRefusal:
        """Queue a request, or refuse it at once.

        A request is refused if its expected wait is too long, or if the queue is full
        of requests that go before it.
        """
        expected_wait = self._expected_wait_seconds(call, now)
        max_wait = MAX_WAIT_OBJECTIVES * call.route.objective_seconds
        latest_start = _patience_ends_at(call) - self._service_seconds(call)
        if expected_wait > max_wait or now + expected_wait > latest_start:
            return self._refuse("no place is expected in time", call, now)
        if len(self._entries) >= self._limit(call) and not self._displace(call):
            return self._refuse("too many requests wait", call, now)
        self._entries[id(call)] = _QueueEntry(call, now)
        work = self._work_by_customer.get(call.customer, 0.0)
        self._work_by_customer[call.customer] = max(work, self._min_work)
        return Queued(expected_wait)

    def take_next(self, now: float, fits: Callable[[Call], bool]) -> Call | None:
        """Remove and return the first request in order that fits a free place.

        :param fits: returns whether a backend server has room for a request.
        :return: None if none of the requests checked fits.
        """
        for checked, entry in enumerate(self._ordered(now)):
            if checked >= MAX_CHECKED_REQUESTS:
                return None
            if fits(entry.call):
                self._take(entry, now)
                return entry.call
        return None

    def take_expired(self, now: float) -> list[tuple[Call, PlacementRefusal]]:
        """Remove and return requests that are refused after waiting.

        They were displaced by other requests, or can't be served in time any more.
        """
        for entry in list(self._entries.values()):
            call = entry.call
            if now + self._service_seconds(call) > _patience_ends_at(call):
                self._remove(entry)
                self._displaced.append(entry)
        displaced, self._displaced = self._displaced, []
        return [
            (
                entry.call,
                self._refuse("waited in vain", entry.call, now),
            )
            for entry in displaced
        ]

    def withdraw(self, call: Call) -> bool:
        """Remove a request that waits no longer.

        :return: False if the request was not waiting.
        """
        entry = self._entries.get(id(call))
        if entry is None:
            return False
        self._remove(entry)
        return True

    def record_start(self, call: Call, now: float) -> None:
        """Count a request that got a place, whether it waited or not."""
        self._starts.append((now, call.priority))
        self._starts_by_priority[call.priority] += 1
        self._drop_starts(now)

    def starts_per_second(self, now: float) -> float:
        """Return the rate at which requests get a place."""
        self._drop_starts(now)
        return (
            len(self._starts) / RATE_WINDOW_SECONDS
            if self._starts
            else INITIAL_STARTS_PER_SECOND
        )

    def _drop_starts(self, now: float) -> None:
        while self._starts and now - self._starts[0][0] > RATE_WINDOW_SECONDS:
            _, priority = self._starts.popleft()
            self._starts_by_priority[priority] -= 1

    def _ordered(self, now: float) -> Iterator[_QueueEntry]:
        """Iterate over the entries in the order in which they are to start."""
        entries = list(self._entries.values())
        least_urgent_first = (
            self._start_count % LEAST_URGENT_INTERVAL == LEAST_URGENT_INTERVAL - 1
        )
        sign = -1 if least_urgent_first else 1

        def key(entry: _QueueEntry) -> tuple[bool, int, float, float]:
            call = entry.call
            late = now + self._service_seconds(call) > _objective_ends_at(call)
            work = self._work_by_customer[call.customer]
            return late, sign * call.priority, work, _objective_ends_at(call)

        entries.sort(key=key)
        return iter(entries)

    def _take(self, entry: _QueueEntry, now: float) -> None:
        self._start_count += 1
        self.record_start(entry.call, now)
        customer = entry.call.customer
        work = self._work_by_customer[customer]
        self._min_work = max(
            self._min_work, min(self._work_of_waiting_customers(), default=work)
        )
        self._work_by_customer[customer] = work + _work(entry.call)
        self._remove(entry)

    def _work_of_waiting_customers(self) -> list[float]:
        customers = {entry.call.customer for entry in self._entries.values()}
        return [self._work_by_customer[customer] for customer in customers]

    def _remove(self, entry: _QueueEntry) -> None:
        del self._entries[id(entry.call)]
        if not self._entries:
            self._work_by_customer = {
                customer: work
                for customer, work in self._work_by_customer.items()
                if work > self._min_work
            }

    def _limit(self, call: Call) -> int:
        """Return the queue length up to which a request of this priority may join."""
        share = max(MIN_QUEUE_SHARE, 1.0 - RESERVED_SHARE_STEP * call.priority)
        return max(1, int(self._max_requests * share))

    def _displace(self, call: Call) -> bool:
        """Displace a waiting request that is less entitled to its place than `call`.

        This is a request of a lower priority, or of a customer with more waiting
        requests.

        :return: whether a request was displaced.
        """
        counts: dict[CustomerId | None, int] = {}
        for entry in self._entries.values():
            counts[entry.call.customer] = counts.get(entry.call.customer, 0) + 1
        own = counts.get(call.customer, 0) + 1

        def rank(entry: _QueueEntry) -> tuple[int, int, float]:
            other = entry.call
            return other.priority, counts[other.customer], entry.queued_at

        least_urgent = max(self._entries.values(), key=rank, default=None)
        if least_urgent is None:
            return False
        of_heaviest_customer = max(self._entries.values(), key=lambda e: rank(e)[1:])
        for entry in (least_urgent, of_heaviest_customer):
            other = entry.call
            if other.priority > call.priority or counts[other.customer] > own:
                self._remove(entry)
                self._displaced.append(entry)
                return True
        return False

    def _expected_wait_seconds(self, call: Call, now: float) -> float:
        """Return the expected time until a request gets a place.

        Requests of higher priority go first. Requests of its own priority get the
        places that those leave, so they are expected to start at their recent rate.
        """
        total_rate = self.starts_per_second(now)
        urgent = same_priority = own = 0
        customers = {call.customer}
        for entry in self._entries.values():
            other = entry.call
            urgent += other.priority < call.priority
            if other.priority == call.priority:
                same_priority += 1
                own += other.customer == call.customer
                customers.add(other.customer)
        before_own = min(same_priority, (own + 1) * len(customers) - 1)
        priority_rate = self._starts_by_priority[call.priority] / RATE_WINDOW_SECONDS
        priority_rate = priority_rate or min(total_rate, MAX_ASSUMED_STARTS_PER_SECOND)
        return max(urgent / total_rate, before_own / priority_rate)

    def _refuse(self, reason: str, call: Call, now: float) -> PlacementRefusal:
        """Return a refusal whose Retry-After is the expected wait with jitter.

        The jitter keeps refused callers from coming back all at once.
        """
        wait = max(
            self._expected_wait_seconds(call, now),
            (len(self._entries) + 1) / self.starts_per_second(now),
        )
        wait = min(max(wait, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        jitter = xxhash.xxh32_intdigest(call.attempt_id.encode()) / 2**32
        return PlacementRefusal(
            reason, wait * (1.0 + RETRY_AFTER_JITTER_SHARE * jitter)
        )


def _patience_ends_at(call: Call) -> float:
    """Return the time until which the caller is expected to wait for a first event."""
    route = call.route
    patience = max(
        MIN_PATIENCE_SECONDS,
        PATIENCE_OBJECTIVES * route.objective_seconds,
        PATIENCE_GAPS * route.max_event_gap_seconds,
    )
    return min(call.deadline, call.received_at + patience)


def _objective_ends_at(call: Call) -> float:
    """Return the time by which the request's latency objective is met."""
    return call.received_at + call.route.objective_seconds


def _work(call: Call) -> float:
    """Return the work of a request, which grows with the logarithm of its size."""
    return 1.0 + math.log2(1.0 + call.max_total_tokens / 1000)
