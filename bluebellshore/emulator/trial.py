"""Plays a trace against routers and backend servers in simulated time."""

import itertools
import random

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.engine import RunEvent
from bluebellshore.emulator.fleet import EmulatedFleet, FleetFigures
from bluebellshore.emulator.measures import Measures, Outcome
from bluebellshore.emulator.router import EmulatedRouter, Policy
from bluebellshore.emulator.traces import ROUTER_SHARES, Arrival, Trace
from bluebellshore.fleet import Call
from bluebellshore.ids import IncarnationId, ZoneName
from bluebellshore.routing.placement import PlacementRefusal

__all__ = ["play"]

#: Interval of the routers' reports to peers, and their way.
REPORT_SECONDS = 0.25
REPORT_TRAVEL_SECONDS = 0.005
#: Silence after which a caller leaves a stream: the longest of these.
SILENCE_SECONDS = 2.0
SILENCE_OBJECTIVES = 4.0
#: A caller comes back only if told to wait at most this part of the time left.
PATIENCE = 1 / 3
#: Wait of a caller that repeats at once.
IMPATIENT_SECONDS = 0.02


class _Caller:
    """One request, with the attempts that its caller makes."""

    def __init__(self, trial: "_Trial", arrival: Arrival, number: int):
        self._trial = trial
        self._clock = trial.clock
        self._arrival = arrival
        self._number = number
        self._attempts = 0
        self._call: Call | None = None
        self._router: EmulatedRouter | None = None
        self._first_event_at: float | None = None
        self._event_at = arrival.at
        self._longest_pause = 0.0
        self.over = False

    @property
    def _deadline(self) -> float:
        return self._arrival.at + self._arrival.kind.deadline_seconds

    def attempt(self) -> None:
        """Send the request to a router."""
        if self.over or self._clock.now >= self._deadline:
            self._finish(Outcome.REFUSED)
            return
        self._attempts += 1
        kind, now = self._arrival.kind, self._clock.now
        attempt_id = f"{self._number}-{self._attempts}"
        self._call = Call(
            attempt_id,
            "POST",
            kind.route.prefix,
            [],
            bytes(self._arrival.body_bytes),
            kind.route,
            self._arrival.customer,
            kind.route.priority,
            now,
            min(self._deadline, now + kind.route.timeout_seconds),
            prompt=self._arrival.prompt,
            prompt_tokens=sum(part.tokens for part in self._arrival.prompt),
            max_output_tokens=2 * self._arrival.output_tokens,
        )
        routers = self._trial.routers
        shift = self._attempts - 1
        self._router = routers[(self._arrival.router + shift) % len(routers)]
        self._event_at = now
        self._router.serve(self._call, self._arrival, self)
        self._watch(attempt_id)

    def event(self, event: RunEvent, made: int) -> None:
        """Take an event of the answer."""
        now = self._clock.now
        if event not in (RunEvent.PIECE, RunEvent.DONE):
            self._finish(Outcome.FAILED)
            return
        if self._first_event_at is None:
            self._first_event_at = now
        else:
            self._longest_pause = max(self._longest_pause, now - self._event_at)
        self._event_at = now
        if event is RunEvent.DONE:
            route = self._arrival.kind.route
            in_time = self._first_seconds <= route.objective_seconds
            steady = (
                not route.max_event_gap_seconds
                or self._longest_pause <= route.max_event_gap_seconds
            )
            self._finish(Outcome.IN_TIME if in_time and steady else Outcome.LATE)

    def refused(self, refuse: PlacementRefusal) -> None:
        """Come back later, or give up."""
        left = self._deadline - self._clock.now
        wait = refuse.retry_after_seconds
        self._trial.measures.held_seconds.append(
            self._clock.now - self._call.received_at
        )
        if self._attempts > self._arrival.repeats:
            self._finish(Outcome.REFUSED)
        elif not self._arrival.patient:
            self._clock.after(IMPATIENT_SECONDS, self.attempt)
        else:
            self._clock.after(min(wait, left * PATIENCE), self.attempt)

    @property
    def _first_seconds(self) -> float:
        return self._first_event_at - self._arrival.at

    def _watch(self, attempt_id: str) -> None:
        """Leave at the deadline or after a long silence."""
        if self.over or self._call.attempt_id != attempt_id:
            return
        now = self._clock.now
        route = self._arrival.kind.route
        silence = max(SILENCE_SECONDS, SILENCE_OBJECTIVES * route.objective_seconds)
        due = min(self._call.deadline, self._event_at + silence)
        if now >= due - 1e-9:
            self._router.leave(self._call)
            self._finish(Outcome.FAILED)
        else:
            self._clock.after(due - now, lambda: self._watch(attempt_id))

    def _finish(self, outcome: Outcome) -> None:
        if self.over:
            return
        self.over = True
        measures = self._trial.measures
        measures.note(self._arrival, outcome)
        if self._first_event_at is not None and self._arrival.prompt:
            measures.first_event_seconds.append(self._first_seconds)
            measures.longest_pauses.append(self._longest_pause)


class _Trial:
    def __init__(
        self,
        trace: Trace,
        policy: Policy,
        figures: FleetFigures,
        seed: int,
        count: int,
        report_seconds: float,
    ):
        self._report_seconds = report_seconds
        self.clock = Clock()
        self.measures = Measures()
        rng = random.Random(seed)
        self.fleet = EmulatedFleet(self.clock, figures, rng)
        self.routers = [
            EmulatedRouter(
                self.clock,
                self.fleet,
                policy,
                ZoneName(f"z{number % figures.zones}"),
                count,
                rng,
            )
            for number in range(count)
        ]
        for number, arrival in enumerate(trace.arrivals):
            self.clock.after(arrival.at, _Caller(self, arrival, number).attempt)
        for disturbance in trace.disturbances:
            self.clock.after(
                disturbance.at, lambda d=disturbance: self.fleet.disturb(d)
            )
        for number in range(count):
            offset = report_seconds * number / count
            self.clock.after(offset, lambda number=number: self._report(number))
        self._rest = trace.seconds + max(
            arrival.kind.deadline_seconds for arrival in trace.arrivals
        )

    def run(self) -> Measures:
        self.clock.run(self._rest)
        measures = self.measures
        measures.read = self.fleet.read_tokens
        measures.read_again = self.fleet.read_again
        measures.repeats = sum(router.repeats for router in self.routers)
        measures.sends = sum(router.sends for router in self.routers)
        for router in self.routers:
            measures.crossing_bytes += router.crossing_bytes
            measures.crossed_at_by_zone.setdefault(router.zone, []).extend(
                router.crossed_at
            )
        return measures

    def _report(self, number: int) -> None:
        renewed, self.fleet.renewed = self.fleet.renewed, []
        for router in self.routers:
            router.loads.forget_servers(renewed)
        router = self.routers[number]
        report = router.loads.take_report()
        loads = {key: _copy(load) for key, load in report.loads_by_server.items()}
        report.loads_by_server = loads
        others = itertools.chain(self.routers[:number], self.routers[number + 1 :])
        for other in others:
            if not self.fleet.reaches(router.zone, other.zone):
                continue
            self.clock.after(
                REPORT_TRAVEL_SECONDS,
                lambda other=other: other.loads.merge_report(
                    IncarnationId(str(number)), report, self.clock.now
                ),
            )
        self.clock.after(self._report_seconds, lambda: self._report(number))


def _copy(load):
    return type(load)(load.running, load.prefill_tokens, load.held_tokens)


def play(
    trace: Trace,
    policy: Policy,
    *,
    figures: FleetFigures | None = None,
    seed: int = 0,
    routers: int = len(ROUTER_SHARES),
    report_seconds: float = REPORT_SECONDS,
) -> Measures:
    """Play a trace.

    :param routers: number of routers; an arrival's router counts modulo this.
    :param report_seconds: interval of the routers' reports to their peers.
    :return: what callers saw.
    """
    figures = figures or FleetFigures()
    return _Trial(trace, policy, figures, seed, routers, report_seconds).run()
