"""Compares ways in which a fleet of routers shares a backend server's named rate.

Simulated routers run the decisions of :mod:`bluebellshore.routing`. They learn of the
limit from answers and from each other, and of members that die, freeze, leave or join
after delays as in :mod:`bluebellshore.entry.peer_selection`.
"""

import itertools
import math
import random
from collections.abc import Sequence
from enum import Enum

import msgspec

from bluebellshore.backend import Backpressure
from bluebellshore.entry.peer_selection import (
    EXCHANGE_INTERVAL_SECONDS,
    MAX_PEERS_PER_ROUND,
    PEER_TIMEOUT_SECONDS,
    silence_limit_seconds,
)
from bluebellshore.fleet import BackendServer
from bluebellshore.ids import BackendServerId, InstanceId, ServiceName, ZoneName
from bluebellshore.routing.affinity import rendezvous_winner
from bluebellshore.routing.backpressure import BackpressureTracker
from bluebellshore.routing.rate_senders import RateSenders

__all__ = [
    "EXCESS_RATIO",
    "EXTRA_REQUESTS",
    "WINDOW_SECONDS",
    "Change",
    "Event",
    "SharedRateResult",
    "Way",
    "changing_members",
    "most_in_window",
    "play_shared_rate",
]

#: Window in which a limit is judged, and the requests that a server tolerates in it: a
#: half more than the limit allows, and some.
WINDOW_SECONDS = 4.0
EXCESS_RATIO = 1.5
EXTRA_REQUESTS = 5
#: Time after the naming from which requests count.
COUNTED_AFTER_SECONDS = 3.0
STEP_SECONDS = 0.05
SIZES = (5, 24, 68, 400)
#: Named rates of servers that are in need at the same time, in requests a second.
RATES = (0.5, 1.5, 2.4, 12.0)
ANSWER_SECONDS = 0.1


class Way(Enum):
    """How the routers share the rate."""

    #: A few routers by rendezvous hashing, as the product does.
    SENDERS = "senders"
    #: Each router that counts as alive takes an equal share.
    EQUAL = "equal"
    #: One router by rendezvous hashing gives permits to the others.
    PERMITS = "permits"


class Change(Enum):
    """What becomes of a router."""

    DIES = "dies"
    FREEZES = "freezes"
    WAKES = "wakes"
    LEAVES = "leaves"
    JOINS = "joins"


class Event(msgspec.Struct, frozen=True):
    """A change of the members.

    :param at: seconds of the simulation.
    :param router: its number; members from the begin have those below their count.
    """

    at: float
    router: int
    change: Change


class SharedRateResult(msgspec.Struct, frozen=True):
    """What one limited server got.

    :param most: requests in the worst window that counts.
    :param allowed: requests that are allowed in one.
    :param used_share: requests from then on, as a share of those the rate allows.
    :param permit_messages: messages a second for permits, of all routers together.
    """

    most: int
    allowed: float
    used_share: float
    permit_messages: float


class _Router:
    """A simulated router with its own view of the members."""

    def __init__(self, number: int):
        self.instance_id = InstanceId(f"router-{number}")
        self.senders = RateSenders(self.instance_id)
        self.tracker = BackpressureTracker(self.senders.share)
        self.permits = BackpressureTracker()
        self.believed_alive: dict[InstanceId, float] = {}
        self.believed_gone: dict[InstanceId, float] = {}
        self.leaving: dict[InstanceId, float] = {}
        self.running = True
        self.present = True

    def alive(self, now: float) -> list[InstanceId]:
        """Return the other routers that it believes to be alive."""
        return [
            instance_id
            for instance_id, since in self.believed_alive.items()
            if since <= now
            and not since <= self.believed_gone.get(instance_id, now + 1) <= now
        ]


def most_in_window(times: Sequence[float]) -> int:
    """Return the largest number of `times`, in seconds, within the window."""
    ordered, most, first = sorted(times), 0, 0
    for last, at in enumerate(ordered):
        while at - ordered[first] > WINDOW_SECONDS:
            first += 1
        most = max(most, last - first + 1)
    return most


def play_shared_rate(
    routers: int,
    rates: Sequence[float],
    *,
    way: Way = Way.SENDERS,
    events: Sequence[Event] = (),
    requests_per_second: float = 5.0,
    seconds: float = 40.0,
    seed: int = 0,
) -> list[SharedRateResult]:
    """Play routers before servers that each name a rate from the begin on.

    :param routers: members at the begin.
    :param rates: named rates in requests a second, one for each server.
    :param requests_per_second: demand for each server at each router.
    """
    return _Play(routers, rates, way, events, requests_per_second, seed).run(seconds)


def changing_members(routers: int) -> list[Event]:
    """Return members that die, freeze, leave and join within seconds."""
    return [
        Event(6.0, 0, Change.DIES),
        Event(8.0, 1, Change.FREEZES),
        Event(13.0, 1, Change.WAKES),
        Event(15.0, 2, Change.LEAVES),
        Event(16.0, routers, Change.JOINS),
        Event(17.0, routers + 1, Change.JOINS),
    ]


class _Play:
    def __init__(
        self,
        routers: int,
        rates: Sequence[float],
        way: Way,
        events: Sequence[Event],
        requests_per_second: float,
        seed: int,
    ):
        self._rng = random.Random(seed)
        self._way = way
        self._rates = list(rates)
        self._demand = requests_per_second
        self._servers = [_server(number) for number in range(len(rates))]
        self._sent: list[list[float]] = [[] for _ in rates]
        self._answers: list[tuple[float, float, _Router, int]] = []
        self._events = sorted(events, key=lambda event: event.at)
        self._routers = [_Router(number) for number in range(routers)]
        self._settle_seconds = silence_limit_seconds(routers)
        self._messages = 0
        # The routers have served for long before the servers name their limits.
        for router, other in itertools.permutations(self._routers, 2):
            router.believed_alive[other.instance_id] = -1e9
        warmup_rounds = math.ceil(self._settle_seconds / EXCHANGE_INTERVAL_SECONDS)
        for number in range(warmup_rounds, 0, -1):
            for router in self._routers:
                self._update(router, -number * EXCHANGE_INTERVAL_SECONDS)

    def run(self, seconds: float) -> list[SharedRateResult]:
        """Play to the end."""
        steps_a_round = round(EXCHANGE_INTERVAL_SECONDS / STEP_SECONDS)
        for step in range(round(seconds / STEP_SECONDS)):
            now = step * STEP_SECONDS
            while self._events and self._events[0].at <= now:
                self._apply(self._events.pop(0))
            self._take_answers(now)
            for router in self._routers:
                if router.present and router.running:
                    if step % steps_a_round == 0:
                        self._update(router, now)
                        self._gossip(router, now)
                    self._send(router, now)
        span = seconds - COUNTED_AFTER_SECONDS
        results = []
        for rate, sent in zip(self._rates, self._sent, strict=True):
            counted = [at for at in sent if at >= COUNTED_AFTER_SECONDS]
            results.append(
                SharedRateResult(
                    most=most_in_window(counted),
                    allowed=EXCESS_RATIO * WINDOW_SECONDS * rate + EXTRA_REQUESTS,
                    used_share=len(counted) / (rate * span),
                    permit_messages=self._messages / seconds,
                )
            )
        return results

    def _apply(self, event: Event) -> None:
        late = self._settle_seconds / 2
        if event.change is Change.JOINS:
            router = _Router(event.router)
            for other in self._routers:
                if other.present:
                    met = event.at + self._rng.uniform(0.0, late)
                    router.believed_alive[other.instance_id] = met
                    other.believed_alive[router.instance_id] = met
            self._routers.append(router)
            return
        router = self._routers[event.router]
        others = [other for other in self._routers if other is not router]
        if event.change is Change.WAKES:
            router.running = True
        elif event.change is Change.FREEZES:
            router.running = False
        else:
            router.present = event.change is Change.LEAVES
        if event.change is Change.LEAVES:
            router.senders.leave()
        for other in others:
            if event.change is Change.WAKES:
                met = event.at + self._rng.uniform(0.0, late)
                other.believed_alive[router.instance_id] = met
            elif event.change is Change.LEAVES:
                told = event.at + self._rng.uniform(0.0, late)
                other.leaving[router.instance_id] = told
                other.believed_gone[router.instance_id] = told
            else:
                other.believed_gone[router.instance_id] = (
                    event.at
                    + PEER_TIMEOUT_SECONDS
                    + self._rng.uniform(0.0, self._settle_seconds)
                )

    def _update(self, router: _Router, now: float) -> None:
        router.senders.update(
            router.alive(now),
            [i for i, since in router.leaving.items() if since <= now],
            registered=len(self._routers),
            settle_seconds=self._settle_seconds,
            now=now,
        )

    def _gossip(self, router: _Router, now: float) -> None:
        count = min(MAX_PEERS_PER_ROUND, len(self._routers))
        for other in self._rng.sample(self._routers, count):
            if other is not router and other.present and other.running:
                for one, two in ((router, other), (other, router)):
                    one.tracker.merge(two.tracker.statements())

    def _send(self, router: _Router, now: float) -> None:
        for number, server in enumerate(self._servers):
            if self._rng.random() >= self._demand * STEP_SECONDS:
                continue
            at = now + self._rng.uniform(0.0, STEP_SECONDS)
            if router.tracker.limit_of(server) is None or self._allow(
                router, server, self._rates[number], now
            ):
                self._sent[number].append(at)
                self._answers.append((at + ANSWER_SECONDS, at, router, number))

    def _allow(
        self, router: _Router, server: BackendServer, rate: float, now: float
    ) -> bool:
        if self._way is Way.PERMITS:
            return self._ask_permit(router, server, now)
        tracker = router.tracker
        if self._way is Way.EQUAL:
            tracker = router.permits
            share = rate / (1 + len(router.alive(now)))
            tracker.record_answer(server, Backpressure(share), now, now)
        if tracker.seconds_until_allowed(server, now) != 0.0:
            return False
        tracker.record_sent(server)
        return True

    def _ask_permit(self, router: _Router, server: BackendServer, now: float) -> bool:
        alive = {router.instance_id, *router.alive(now)}
        giver = rendezvous_winner(
            server.server_id.encode(),
            [other for other in self._routers if other.instance_id in alive],
        )
        self._messages += 2
        if not (giver.present and giver.running):
            return False
        rate = router.tracker.limit_of(server)
        giver.permits.record_answer(server, Backpressure(rate), now, now)
        if giver.permits.seconds_until_allowed(server, now) != 0.0:
            return False
        giver.permits.record_sent(server)
        return True

    def _take_answers(self, now: float) -> None:
        due = [answer for answer in self._answers if answer[0] <= now]
        self._answers = [answer for answer in self._answers if answer[0] > now]
        for at, sent_at, router, number in due:
            if router.running:
                stated = Backpressure(self._rates[number])
                router.tracker.record_answer(self._servers[number], stated, sent_at, at)


def _server(number: int) -> BackendServer:
    return BackendServer(
        server_id=BackendServerId(f"limited-{number}"),
        service=ServiceName("service"),
        host="",
        port=0,
        zone=ZoneName(""),
        slots=1,
    )


def main() -> None:
    """Print a table of the ways at each size, calm and with changing members."""
    print("| routers | way | members | most of allowed | used | permit messages/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for routers, way in itertools.product(SIZES, Way):
        for name, events in (("calm", ()), ("changing", changing_members(routers))):
            results = play_shared_rate(routers, RATES, way=way, events=events)
            most = " ".join(f"{r.most}/{r.allowed:.0f}" for r in results)
            used = " ".join(f"{r.used_share:.2f}" for r in results)
            messages = results[0].permit_messages
            print(
                f"| {routers} | {way.value} | {name} | {most} | {used}"
                f" | {messages:.0f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
