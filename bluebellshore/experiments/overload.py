"""Overload with retrying callers: ``python -m bluebellshore.experiments.overload``.

One route with several sidecars gets between 0.5 and 5 times the requests it can
serve; callers retry what fails, on top of the router's own retries. Backend servers
slow down when they hold more requests than their concurrency.
"""

import argparse
import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from bluebellshore.experiments.report import Report, percentile
from bluebellshore.ids import (
    CustomerId,
    IncarnationId,
    InstanceId,
    RequestKey,
    VersionName,
    ZoneName,
)
from bluebellshore.routing import Candidate, PowerOfTwoBalancer, RetryBudget
from bluebellshore.sidecar.queue import AdmissionQueue, QueuedRequest

__all__ = ["Protection", "run"]

SIDECARS = 4
CONCURRENCY = 8
SERVICE_SECONDS = 1.0
CAPACITY = SIDECARS * CONCURRENCY / SERVICE_SECONDS
DEADLINE_SECONDS = 10.0
REPORT_SECONDS = 0.5
ROUTER_ATTEMPTS = 4
CALLER_ATTEMPTS = 4
CALLER_RETRY_SECONDS = 0.5
OVERLOAD_SECONDS = 60.0
TRIAL_SECONDS = 120.0
CALM_LOAD = 0.5
FACTORS = (0.5, 1.0, 2.0, 5.0)
PRIORITY_WEIGHTS = (4, 4, 2)
FLOOD = CustomerId("flood")


class Protection(Enum):
    """What is in force."""

    FULL = "limits and retry budget"
    NO_BUDGET = "limits, retries without a budget"
    NONE = "no limits"


@dataclass
class _Job:
    number: int
    customer: CustomerId
    priority: int
    sent_at: float
    deadline: float = 0.0
    caller_attempts: int = 0
    router_attempts: int = 0
    excluded: set[IncarnationId] = field(default_factory=set)
    done: bool = False


@dataclass
class _Sidecar:
    queue: AdmissionQueue
    reported: int = 0
    running: int = 0


class _Trial:
    def __init__(self, protection: Protection, factor: float, flood: bool, seed: int):
        self.rng = random.Random(seed)
        self.protection = protection
        self.factor = factor
        self.flood = flood
        limit, queue, seconds = CONCURRENCY, 64, 20.0
        if protection is Protection.NONE:
            limit, queue, seconds = 10**6, 10**6, 10**6
        self.sidecars = [
            _Sidecar(AdmissionQueue(limit, queue, seconds)) for _ in range(SIDECARS)
        ]
        self.balancer = PowerOfTwoBalancer(random.Random(seed), ZoneName("z"))
        self.retries = RetryBudget()
        self.jobs_by_attempt: dict[str, _Job] = {}
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.sends = self.jobs = 0
        self.good_by_customer: Counter[CustomerId] = Counter()
        self.jobs_by_customer: Counter[CustomerId] = Counter()
        self.good_in_overload = 0
        self.latencies: list[list[float]] = [[], [], []]
        self.asked = [0, 0, 0]
        self.last_bad_at = OVERLOAD_SECONDS

    def run(self) -> None:
        self._arrive()
        self._report()
        while self.now < TRIAL_SECONDS:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), call))

    def _report(self) -> None:
        for sidecar in self.sidecars:
            sidecar.reported = sidecar.queue.running + sidecar.queue.queued
        self._after(REPORT_SECONDS, self._report)

    def _arrive(self) -> None:
        overload = self.now < OVERLOAD_SECONDS
        factor = self.factor if overload else CALM_LOAD
        customer = CustomerId(f"c{self.rng.randrange(4)}")
        if self.flood and overload and self.rng.random() > 0.5 / factor:
            customer = FLOOD
        priority = self.rng.choices(range(3), PRIORITY_WEIGHTS)[0]
        job = _Job(next(self.numbers), customer, priority, self.now)
        self.jobs += overload
        self.jobs_by_customer[customer] += overload
        self.asked[priority] += overload
        self._call(job)
        self._after(self.rng.expovariate(factor * CAPACITY), self._arrive)

    def _call(self, job: _Job) -> None:
        """Let the caller send a request, or send it again."""
        job.caller_attempts += 1
        job.router_attempts = 0
        job.excluded.clear()
        job.deadline = self.now + DEADLINE_SECONDS
        self.retries.deposit(self.now)
        self._send(job)

    def _send(self, job: _Job) -> None:
        job.router_attempts += 1
        self.sends += job.sent_at < OVERLOAD_SECONDS
        candidates = [
            Candidate(
                IncarnationId(str(i)),
                InstanceId(str(i)),
                ZoneName("z"),
                VersionName("v1"),
                CONCURRENCY,
                sidecar.queue.running,
                sidecar.reported,
            )
            for i, sidecar in enumerate(self.sidecars)
        ]
        chosen = self.balancer.choose(
            candidates, key=None, prefix=b"", exclude=job.excluded
        )
        if chosen is None:
            self._fail(job)
            return
        job.excluded.add(chosen.sidecar)
        sidecar = self.sidecars[int(chosen.sidecar)]
        attempt = f"{job.number}-{next(self.numbers)}"
        limited = self.protection is not Protection.NONE
        item = QueuedRequest(
            attempt,
            RequestKey(attempt),
            job.customer,
            priority=job.priority,
            deadline=job.deadline if limited else float("inf"),
        )
        self.jobs_by_attempt[attempt] = job
        if sidecar.queue.offer(item, self.now) is not None:
            self._refused(job)
        self._serve(sidecar)

    def _refused(self, job: _Job) -> None:
        budgeted = self.protection is Protection.FULL
        allowed = not budgeted or self.retries.withdraw(self.now)
        if job.router_attempts < ROUTER_ATTEMPTS and allowed:
            self._send(job)
        else:
            self._fail(job)

    def _fail(self, job: _Job) -> None:
        if job.caller_attempts < CALLER_ATTEMPTS:
            delay = CALLER_RETRY_SECONDS * self.rng.uniform(0.5, 1.5)
            self._after(delay, lambda: self._call(job))
        elif job.sent_at >= OVERLOAD_SECONDS:
            self.last_bad_at = self.now

    def _serve(self, sidecar: _Sidecar) -> None:
        for item in sidecar.queue.take_dropped(self.now):
            self._fail(self.jobs_by_attempt.pop(item.attempt))
        while item := sidecar.queue.start_next(self.now):
            sidecar.running += 1
            crowding = max(sidecar.running / CONCURRENCY, 1.0)
            service = SERVICE_SECONDS * self.rng.uniform(0.5, 1.5) * crowding**1.5
            self._after(service, lambda i=item: self._end(sidecar, i))
            if self.protection is Protection.NONE:
                job = self.jobs_by_attempt[item.attempt]
                wait = job.deadline - self.now
                self._after(wait, lambda j=job: None if j.done else self._fail(j))

    def _end(self, sidecar: _Sidecar, item: QueuedRequest) -> None:
        sidecar.running -= 1
        sidecar.queue.record_finish(item, self.now, overloaded=False)
        job = self.jobs_by_attempt.pop(item.attempt)
        in_time = self.now <= job.deadline
        if in_time and not job.done:
            job.done = True
            self._note(job)
        elif not in_time and self.protection is not Protection.NONE:
            self._fail(job)
        self._serve(sidecar)

    def _note(self, job: _Job) -> None:
        if job.sent_at < OVERLOAD_SECONDS:
            self.good_by_customer[job.customer] += 1
            self.latencies[job.priority].append(self.now - job.sent_at)
        if self.now < OVERLOAD_SECONDS:
            self.good_in_overload += 1


def _row(trials: list[_Trial]) -> list[str | int | float]:
    offered = min(trials[0].factor, 1.0) * CAPACITY * OVERLOAD_SECONDS
    good = sum(t.good_in_overload for t in trials) / len(trials)
    row: list[str | int | float] = [good / offered]
    row.append(sum(t.sends for t in trials) / sum(t.jobs for t in trials))
    for priority in range(3):
        latencies = [x for t in trials for x in t.latencies[priority]]
        answered = len(latencies) / sum(t.asked[priority] for t in trials)
        row.append(f"{answered:.0%}, {percentile(latencies, 0.95):.1f}")
    row.append(max(t.last_bad_at - OVERLOAD_SECONDS for t in trials))
    return row


def run(seeds: Iterable[int]) -> Report:
    """Compare the protections at each load."""
    report = Report(
        f"Overload for {OVERLOAD_SECONDS:.0f} s, capacity {CAPACITY:.0f} a second",
        [
            "case",
            "goodput / possible",
            "sends per request",
            "interactive: answered, p95 s",
            "normal",
            "deferred",
            "failures last until s after",
        ],
    )
    seeds = list(seeds)
    for factor, protection in itertools.product(FACTORS, Protection):
        trials = [_Trial(protection, factor, False, seed) for seed in seeds]
        for trial in trials:
            trial.run()
        report.rows_by_name[f"{factor}x, {protection.value}"] = _row(trials)
    return report


def run_flood(seeds: Iterable[int]) -> Report:
    """Measure the other customers while one floods the route."""
    report = Report(
        "One customer floods, the others ask for half of the capacity",
        ["case", "others answered", "flooding customer answered"],
    )
    seeds = list(seeds)
    for factor, protection in itertools.product((2.0, 5.0), Protection):
        good: Counter[bool] = Counter()
        asked: Counter[bool] = Counter()
        for seed in seeds:
            trial = _Trial(protection, factor, True, seed)
            trial.run()
            for customer, count in trial.jobs_by_customer.items():
                asked[customer == FLOOD] += count
                good[customer == FLOOD] += trial.good_by_customer[customer]
        report.rows_by_name[f"{factor}x, {protection.value}"] = [
            good[False] / asked[False],
            good[True] / asked[True],
        ]
    return report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10)
    chosen = range(parser.parse_args().seeds)
    print(run(chosen))
    print()
    print(run_flood(chosen))
