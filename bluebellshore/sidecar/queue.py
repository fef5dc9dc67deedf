"""Admission queue of a backend server: priorities and weighted fair queueing."""

from collections import Counter, OrderedDict, deque

import msgspec

from bluebellshore.ids import CustomerId, RequestKey

__all__ = ["AdmissionQueue", "QueuedRequest", "Refusal"]

#: Priority classes; 0 is the highest.
PRIORITY_CLASSES = 3
#: Share of the queue up to which requests of each priority class are accepted.
QUEUE_SHARE_BY_CLASS = (1.0, 0.8, 0.5)
#: Lowest of the classes among which customers share the backend server fairly.
#: Requests of the classes below are deferred: they get the capacity that is left.
LOWEST_FAIR_CLASS = 1
#: Lead over its fair share that a customer may get by requests of a higher priority,
#: in requests of cost 1 at weight 1.
MAX_PRIORITY_LEAD_COST = 4.0
#: One in this many starts is of the lowest waiting class, so that no class starves.
LOWEST_CLASS_INTERVAL_STARTS = 16
#: Factor by which the concurrency limit is reduced when the backend server reports
#: overload.
OVERLOAD_LIMIT_FACTOR = 0.7
#: Minimum time between two reductions of the concurrency limit.
MIN_REDUCTION_INTERVAL_SECONDS = 1.0
#: Time for which other requests are started before a waiting suspect request.
SUSPECT_WAIT_SECONDS = 1.0
#: Weight of the newest service time in the exponential moving average.
SERVICE_TIME_GAIN = 0.1
#: Bounds of the time after which a refused caller may retry.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 30.0


class QueuedRequest(msgspec.Struct):
    """A request that is to run on the backend server.

    :param attempt: id of the attempt.
    :param weight: the customer's weight in fair queueing.
    :param priority: 0 is the highest.
    :param deadline: time after which the request must not start, in seconds of the
        queue's clock.
    :param suspect: whether the request must run alone, as it may crash the server.
    :param fingerprint: hash of the customer and the request.
    :param cost: work for the backend server relative to other requests.
    """

    attempt: str
    key: RequestKey
    customer: CustomerId
    weight: int = 1
    priority: int = 1
    deadline: float = float("inf")
    suspect: bool = False
    fingerprint: str = ""
    cost: float = 1.0


class Refusal(msgspec.Struct, frozen=True):
    """Reason why a request was not queued and did not run.

    :param status: HTTP status, 429 when the customer's own traffic is the cause, else
        503.
    :param retry_after: seconds after which a retry may help.
    """

    status: int
    reason: str
    retry_after: float


class _Entry(msgspec.Struct):
    item: QueuedRequest
    offered_at: float
    expires_at: float


def _class_of(item: QueuedRequest) -> int:
    return min(item.priority, PRIORITY_CLASSES - 1)


class _FairQueue:
    """Waiting requests by priority class, with weighted fair queueing by customer.

    Each customer has a virtual time, which advances by cost divided by weight for each
    request started. Among the classes down to :data:`LOWEST_FAIR_CLASS`, the higher
    class goes first unless its least served customer is ahead of that of another
    class by more than :data:`MAX_PRIORITY_LEAD_COST`.
    """

    def __init__(self) -> None:
        self.classes: list[dict[CustomerId, deque[_Entry]]] = [
            {} for _ in range(PRIORITY_CLASSES)
        ]
        self._virtual_time_by_customer: dict[CustomerId, float] = {}
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return sum(self.length(priority) for priority in range(PRIORITY_CLASSES))

    def length(self, priority: int) -> int:
        """Return the number of waiting requests of a priority class."""
        return sum(len(queue) for queue in self.classes[priority].values())

    def customers(self) -> set[CustomerId]:
        """Return the customers with waiting requests."""
        return {customer for queues in self.classes for customer in queues}

    def waiting_of(self, customer: CustomerId, priority: int) -> int:
        """Return a customer's number of waiting requests of `priority` or higher."""
        classes = self.classes[: priority + 1]
        return sum(len(queues.get(customer, ())) for queues in classes)

    def push(self, entry: _Entry) -> None:
        customer = entry.item.customer
        time = self._virtual_time_by_customer.get(customer, 0.0)
        self._virtual_time_by_customer[customer] = max(time, self._virtual_time)
        queues = self.classes[_class_of(entry.item)]
        queues.setdefault(customer, deque()).append(entry)

    def pop(self, *, lowest: bool) -> _Entry | None:
        """Remove and return the next request, or None.

        :param lowest: whether to take it from the lowest waiting class.
        """
        waiting = [queues for queues in self.classes if queues]
        if not waiting:
            return None
        queues = waiting[-1] if lowest else self._next_class(waiting)
        customer = self._least_served(queues)
        entry = queues[customer].popleft()
        first = min(self._virtual_time_by_customer[c] for c in self.customers())
        self._virtual_time = max(self._virtual_time, first)
        cost = entry.item.cost / max(entry.item.weight, 1)
        self._virtual_time_by_customer[customer] += cost
        self._remove_idle(queues, customer)
        return entry

    def remove(self, entry: _Entry) -> None:
        customer = entry.item.customer
        queues = self.classes[_class_of(entry.item)]
        queues[customer].remove(entry)
        self._remove_idle(queues, customer)

    def newest_of_largest_backlog(self, classes: slice) -> _Entry | None:
        """Return the request to drop first when the queue is full.

        It is the newest one of the customer with the largest backlog by weight.
        """
        backlogs: Counter[CustomerId] = Counter()
        newest_by_customer: dict[CustomerId, _Entry] = {}
        for queues in self.classes[classes]:
            for customer, queue in queues.items():
                backlogs[customer] += len(queue) / max(queue[-1].item.weight, 1)
                newest_by_customer[customer] = queue[-1]
        return newest_by_customer[max(backlogs, key=backlogs.get)] if backlogs else None

    def _next_class(
        self, waiting: list[dict[CustomerId, deque[_Entry]]]
    ) -> dict[CustomerId, deque[_Entry]]:
        fair = [q for q in self.classes[: LOWEST_FAIR_CLASS + 1] if q]
        times = [self._virtual_time_by_customer[self._least_served(q)] for q in fair]
        for queues, time in zip(fair, times, strict=True):
            if time <= min(times) + MAX_PRIORITY_LEAD_COST:
                return queues
        return waiting[0]

    def _least_served(self, queues: dict[CustomerId, deque[_Entry]]) -> CustomerId:
        """Return the customer of `queues` with the lowest virtual time."""
        return min(queues, key=self._virtual_time_by_customer.get)

    def _remove_idle(
        self, queues: dict[CustomerId, deque[_Entry]], customer: CustomerId
    ) -> None:
        """Remove the emptied queue of `customer` and virtual times no longer needed.

        The virtual time of a customer without waiting requests is kept while it is
        ahead of the queue's, so that the customer gains nothing by pausing.
        """
        if not queues[customer]:
            del queues[customer]
        waiting = self.customers()
        for name, time in list(self._virtual_time_by_customer.items()):
            if name not in waiting and time <= self._virtual_time:
                del self._virtual_time_by_customer[name]


class AdmissionQueue:
    """Bounded queue of requests with an adaptive concurrency limit.

    The limit on running requests decreases by a factor when the backend server reports
    overload, and increases gradually up to `concurrency` as requests finish.

    :param concurrency: maximum number of running requests.
    :param queue_limit: maximum number of waiting requests.
    :param queue_seconds: maximum time for which a request waits.
    """

    def __init__(self, concurrency: int, queue_limit: int, queue_seconds: float):
        self._concurrency = max(concurrency, 1)
        self._limit = float(self._concurrency)
        self._queue_limit = queue_limit
        self._queue_seconds = queue_seconds
        self._waiting = _FairQueue()
        self._suspects: deque[_Entry] = deque()
        self._entry_by_attempt: dict[str, _Entry] = {}
        self._started_at_by_attempt: OrderedDict[str, float] = OrderedDict()
        self._suspect_running = False
        self._suspect_finished_at = float("-inf")
        self._dropped: list[QueuedRequest] = []
        self._starts = 0
        self._service_seconds = 0.0
        self._limit_reduced_at = float("-inf")

    @property
    def concurrency(self) -> int:
        """Maximum number of running requests when there is no overload."""
        return self._concurrency

    @concurrency.setter
    def concurrency(self, concurrency: int) -> None:
        recovered = self._limit / self._concurrency
        self._concurrency = max(concurrency, 1)
        self._limit = max(self._concurrency * recovered, 1.0)

    @property
    def running(self) -> int:
        """Number of running requests."""
        return len(self._started_at_by_attempt)

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._entry_by_attempt)

    @property
    def limit(self) -> int:
        """Current limit on the number of running requests."""
        return max(int(self._limit), 1)

    def offer(self, item: QueuedRequest, now: float) -> Refusal | None:
        """Queue a request. :return: None if it was queued, else the refusal."""
        expires_at = min(item.deadline, now + self._queue_seconds)
        wait = self._expected_wait(item)
        if item.deadline <= now:
            return Refusal(503, "deadline passed", MIN_RETRY_AFTER_SECONDS)
        if now + wait > expires_at:
            return self._refusal(503, "deadline cannot be met")
        if self.queued >= self._class_limit(item):
            if not self._displace_for(item):
                return self._refusal_of_full_queue(item)
        entry = _Entry(item, now, expires_at)
        self._entry_by_attempt[item.attempt] = entry
        if item.suspect:
            self._suspects.append(entry)
        else:
            self._waiting.push(entry)
        return None

    def start_next(self, now: float) -> QueuedRequest | None:
        """Move the next request from the queue to the running ones.

        :return: the request to execute now, or None if none may run.
        """
        self._drop_expired(now)
        if self._suspect_running or self.running >= self.limit:
            return None
        if self._suspects and (self._suspect_is_due(now) or not len(self._waiting)):
            return self._start(self._suspects.popleft(), now) if self._idle() else None
        lowest = (
            self._starts % LOWEST_CLASS_INTERVAL_STARTS
            == LOWEST_CLASS_INTERVAL_STARTS - 1
        )
        entry = self._waiting.pop(lowest=lowest)
        if entry is None:
            return None
        self._starts += 1
        return self._start(entry, now)

    def take_dropped(self, now: float) -> list[QueuedRequest]:
        """Return the requests dropped from the queue since the last call.

        A request is dropped when its deadline passes, when it has waited too long, or
        to make space for one of a higher priority or of a customer with fewer
        waiting requests.
        """
        self._drop_expired(now)
        dropped, self._dropped = self._dropped, []
        return dropped

    def record_finish(
        self, item: QueuedRequest, now: float, *, overloaded: bool
    ) -> None:
        """Remove a request from the running ones and adapt the concurrency limit.

        :param overloaded: whether the backend server reported overload.
        """
        started_at = self._started_at_by_attempt.pop(item.attempt, None)
        if started_at is None:
            return
        if item.suspect:
            self._suspect_running = False
            self._suspect_finished_at = now
        if overloaded:
            self._reduce_limit(now)
            return
        gain = SERVICE_TIME_GAIN if self._service_seconds else 1.0
        self._service_seconds += gain * (now - started_at - self._service_seconds)
        self._limit = min(self._limit + 1.0 / self._limit, float(self._concurrency))

    def cancel(self, attempt: str) -> bool:
        """Remove a waiting request. :return: False if it is not waiting."""
        entry = self._entry_by_attempt.get(attempt)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def _start(self, entry: _Entry, now: float) -> QueuedRequest:
        item = entry.item
        del self._entry_by_attempt[item.attempt]
        self._started_at_by_attempt[item.attempt] = now
        self._suspect_running = item.suspect
        return item

    def _idle(self) -> bool:
        return not self._started_at_by_attempt

    def _suspect_is_due(self, now: float) -> bool:
        since = max(self._suspects[0].offered_at, self._suspect_finished_at)
        return now - since >= SUSPECT_WAIT_SECONDS

    def _reduce_limit(self, now: float) -> None:
        if now - self._limit_reduced_at >= MIN_REDUCTION_INTERVAL_SECONDS:
            self._limit_reduced_at = now
            self._limit = max(self._limit * OVERLOAD_LIMIT_FACTOR, 1.0)

    def _class_limit(self, item: QueuedRequest) -> int:
        return max(int(self._queue_limit * QUEUE_SHARE_BY_CLASS[_class_of(item)]), 1)

    def _expected_wait(self, item: QueuedRequest) -> float:
        """Return the expected seconds until `item` starts, from the mean service time.

        In the classes that are shared fairly, each other customer is counted with at
        most as many requests as the customer of `item` has, `item` included.
        """
        if self.running < self.limit and not self._entry_by_attempt:
            return 0.0
        priority = _class_of(item)
        ahead = sum(self._waiting.length(p) for p in range(priority + 1))
        customers = len(self._waiting.customers() | {item.customer})
        own_waiting = self._waiting.waiting_of(item.customer, priority)
        if priority <= LOWEST_FAIR_CLASS:
            ahead = min(ahead, (own_waiting + 1) * customers - 1)
        return ahead * self._service_seconds / self.limit

    def _displace_for(self, item: QueuedRequest) -> bool:
        """Drop a waiting request over which `item` takes precedence.

        Unless `item` is deferred itself, deferred requests are dropped first.
        Otherwise the customer with the largest backlog by weight loses its newest
        request: to its own `item` if that has a higher priority, to the `item` of
        another customer if that customer's backlog is smaller.

        :return: whether a request was dropped.
        """
        priority = _class_of(item)
        if priority <= LOWEST_FAIR_CLASS:
            deferred = self._waiting.newest_of_largest_backlog(
                slice(LOWEST_FAIR_CLASS + 1, None)
            )
            if deferred is not None:
                return self._drop(deferred)
        newest = self._waiting.newest_of_largest_backlog(slice(None))
        if newest is None:
            return False
        other = newest.item
        if other.customer == item.customer:
            return _class_of(other) > priority and self._drop(newest)
        own_waiting = self._waiting.waiting_of(item.customer, PRIORITY_CLASSES) + 1
        other_waiting = self._waiting.waiting_of(other.customer, PRIORITY_CLASSES)
        if own_waiting / max(item.weight, 1) < other_waiting / max(other.weight, 1):
            return self._drop(newest)
        return False

    def _refusal_of_full_queue(self, item: QueuedRequest) -> Refusal:
        newest = self._waiting.newest_of_largest_backlog(slice(None))
        own = newest is not None and newest.item.customer == item.customer
        if own and len(self._waiting.customers()) > 1:
            return self._refusal(429, "customer holds its share of the queue")
        return self._refusal(503, "queue is full")

    def _refusal(self, status: int, reason: str) -> Refusal:
        drain = self.queued * self._service_seconds / self.limit
        wait = min(max(drain, MIN_RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS)
        return Refusal(status, reason, wait)

    def _drop_expired(self, now: float) -> None:
        entries = list(self._entry_by_attempt.values())
        for entry in entries:
            if entry.expires_at <= now:
                self._drop(entry)

    def _drop(self, entry: _Entry) -> bool:
        self._remove(entry)
        self._dropped.append(entry.item)
        return True

    def _remove(self, entry: _Entry) -> None:
        del self._entry_by_attempt[entry.item.attempt]
        if entry.item.suspect:
            self._suspects.remove(entry)
        else:
            self._waiting.remove(entry)
