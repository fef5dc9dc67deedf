"""Requests that crash backend servers: ``python -m bluebellshore.experiments.crashes``.

A caller sends a request that crashes its backend server again and again, amid other
traffic. Routers retry what a crash cut off, as suspect where quarantine is on.
"""

import argparse
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from bluebellshore.experiments.report import Report, percentile
from bluebellshore.ids import CustomerId, RequestKey
from bluebellshore.sidecar.quarantine import Quarantine, QuarantineState
from bluebellshore.sidecar.queue import AdmissionQueue, QueuedRequest

__all__ = ["run"]

SIDECARS = 6
CONCURRENCY = 8
REQUESTS_PER_SECOND = 12.0
SERVICE_SECONDS = 2.0
RESTART_SECONDS = 8.0
GOSSIP_SECONDS = 0.5
TRIAL_SECONDS = 180.0
MAX_ATTEMPTS = 4
CALLER_RETRY_SECONDS = 1.0
KILL_AFTER_SECONDS = 0.3


@dataclass
class _Sidecar:
    queue: AdmissionQueue = field(
        default_factory=lambda: AdmissionQueue(CONCURRENCY, 256, 20.0)
    )
    quarantine: Quarantine = field(default_factory=Quarantine)
    running: dict[str, QueuedRequest] = field(default_factory=dict)
    up_at: float = 0.0


class _Trial:
    def __init__(self, killers: int, chance: float, guarded: bool, seed: int):
        self.rng = random.Random(seed)
        self.killers = {f"killer-{i}" for i in range(killers)}
        self.chance = chance
        self.guarded = guarded
        self.sidecars = [_Sidecar() for _ in range(SIDECARS)]
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.now = 0.0
        self.tries_by_key: dict[str, int] = {}
        self.sent_at_by_key: dict[str, float] = {}
        self.latencies: list[float] = []
        self.crashes = self.failed = self.refused_innocent = 0
        self.stopped_at: dict[str, float] = {}

    def run(self) -> None:
        self._arrive()
        self._gossip()
        for i, killer in enumerate(sorted(self.killers)):
            self._after(10.0 + 15 * i, lambda k=killer: self._send(k))
        while self.now < TRIAL_SECONDS:
            self.now, _, call = heapq.heappop(self.events)
            call()

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.numbers), call))

    def _arrive(self) -> None:
        self._send(f"r{next(self.numbers)}")
        self._after(self.rng.expovariate(REQUESTS_PER_SECOND), self._arrive)

    def _gossip(self) -> None:
        for source in self.sidecars:
            told = source.quarantine.export()
            for other in self.sidecars:
                if other is not source:
                    other.quarantine.merge(told.suspects, told.quarantined, self.now)
        self._after(GOSSIP_SECONDS, self._gossip)

    def _send(self, key: str, suspect: bool = False) -> None:
        self.sent_at_by_key.setdefault(key, self.now)
        up = [s for s in self.sidecars if s.up_at <= self.now]
        if not up:
            self._fail(key)
            return
        pair = self.rng.sample(up, min(2, len(up)))
        sidecar = min(pair, key=lambda s: s.queue.running + s.queue.queued)
        if self.guarded:
            if suspect:
                sidecar.quarantine.add_suspect(key, self.now)
            found = sidecar.quarantine.state_of(key, self.now)
            if found is QuarantineState.QUARANTINED:
                self._refuse(key)
                return
            suspect = found is QuarantineState.SUSPECT
        attempt = f"{key}/{next(self.numbers)}"
        item = QueuedRequest(
            attempt,
            RequestKey(key),
            CustomerId("a"),
            deadline=self.now + 60.0,
            suspect=suspect and self.guarded,
            fingerprint=key,
        )
        if sidecar.queue.offer(item, self.now) is not None:
            self._fail(key)
        self._serve(sidecar)

    def _serve(self, sidecar: _Sidecar) -> None:
        for item in sidecar.queue.take_dropped(self.now):
            self._fail(item.fingerprint)
        if sidecar.up_at > self.now:
            return
        while item := sidecar.queue.start_next(self.now):
            sidecar.running[item.attempt] = item
            kills = item.fingerprint in self.killers
            if kills and self.rng.random() < self.chance:
                self._after(KILL_AFTER_SECONDS, lambda i=item: self._crash(sidecar, i))
            else:
                service = self.rng.uniform(0.5, 1.5) * SERVICE_SECONDS
                self._after(service, lambda i=item: self._end(sidecar, i))

    def _end(self, sidecar: _Sidecar, item: QueuedRequest) -> None:
        if sidecar.running.pop(item.attempt, None) is None:
            return
        sidecar.queue.record_finish(item, self.now, overloaded=False)
        sidecar.quarantine.clear_request(item.fingerprint, self.now)
        self.latencies.append(self.now - self.sent_at_by_key[item.fingerprint])
        if item.fingerprint in self.killers:
            self._after(CALLER_RETRY_SECONDS, lambda: self._send(item.fingerprint))
        self._serve(sidecar)

    def _crash(self, sidecar: _Sidecar, killer: QueuedRequest) -> None:
        if killer.attempt not in sidecar.running:
            return
        self.crashes += 1
        cut, sidecar.running = sidecar.running, {}
        sidecar.quarantine.record_crash([i.fingerprint for i in cut.values()], self.now)
        sidecar.up_at = self.now + RESTART_SECONDS
        self._after(RESTART_SECONDS, lambda: self._serve(sidecar))
        for item in cut.values():
            sidecar.queue.record_finish(item, self.now, overloaded=False)
            if item.suspect:
                self._refuse(item.fingerprint)
            else:
                self._retry(item.fingerprint)

    def _retry(self, key: str) -> None:
        self.tries_by_key[key] = self.tries_by_key.get(key, 1) + 1
        if self.tries_by_key[key] > MAX_ATTEMPTS:
            self._fail(key)
        else:
            self._send(key, suspect=True)

    def _fail(self, key: str) -> None:
        if key not in self.killers:
            self.failed += 1
            return
        self.tries_by_key[key] = 1
        self._after(CALLER_RETRY_SECONDS, lambda: self._send(key))

    def _refuse(self, key: str) -> None:
        if key in self.killers:
            self.stopped_at.setdefault(key, self.now - self.sent_at_by_key[key])
            self._after(CALLER_RETRY_SECONDS, lambda: self._send(key))
        else:
            self.refused_innocent += 1


CASES = {
    "1 request, always crashes": (1, 1.0),
    "1 request, crashes half the time": (1, 0.5),
    "3 requests, always crash": (3, 1.0),
}


def run(seeds: Iterable[int]) -> Report:
    """Compare quarantine with plain retries."""
    report = Report(
        f"Crashing requests, {SIDECARS} backend servers, {TRIAL_SECONDS:.0f} s",
        [
            "case",
            "crashes mean",
            "crashes max",
            "innocent failed mean",
            "innocent refused max",
            "seconds to refusal p95",
            "innocent answer p99 s",
        ],
    )
    seeds = list(seeds)
    for (name, case), guarded in itertools.product(CASES.items(), (False, True)):
        trials = [_Trial(*case, guarded, seed) for seed in seeds]
        for trial in trials:
            trial.run()
        stopped = [t for trial in trials for t in trial.stopped_at.values()]
        latencies = [t for trial in trials for t in trial.latencies]
        label = f"{name}, {'quarantine' if guarded else 'none'}"
        report.rows_by_name[label] = [
            sum(t.crashes for t in trials) / len(trials),
            max(t.crashes for t in trials),
            sum(t.failed for t in trials) / len(trials),
            max(t.refused_innocent for t in trials),
            percentile(stopped, 0.95) if stopped else "-",
            percentile(latencies, 0.99),
        ]
    return report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50)
    print(run(range(parser.parse_args().seeds)))
