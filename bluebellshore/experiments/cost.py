"""Processor time of the policies: ``python -m bluebellshore.experiments.cost``."""

import random
import time
from collections.abc import Callable

from bluebellshore.bundle.model import Bundle, Move, Route, RouteKind, Version
from bluebellshore.experiments.report import Report
from bluebellshore.ids import (
    BundleNumber,
    CustomerId,
    IncarnationId,
    InstanceId,
    MoveId,
    RequestKey,
    RouteName,
    VersionName,
    ZoneName,
)
from bluebellshore.moves import (
    EvidenceRecorder,
    MoveRow,
    MoveTracker,
    RouteVersion,
    encode_row,
    move_key,
)
from bluebellshore.routing import Candidate, PowerOfTwoBalancer
from bluebellshore.sidecar.queue import AdmissionQueue, QueuedRequest
from bluebellshore.store import Row

__all__ = ["run"]

ROUTES = [RouteName(f"r{i}") for i in range(18)]
OLD, NEW = VersionName("v1"), VersionName("v2")
SIDECARS = 32
HISTORY_SECONDS = 320
REPEATS = 5


def _microseconds(call: Callable[[], object], count: int) -> float:
    """Return the processor time of one call, least of some rounds."""
    best = float("inf")
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(count):
            call()
        best = min(best, (time.process_time() - began) / count)
    return best * 1e6


def _tracker() -> MoveTracker:
    moves = {MoveId(f"m-{route}"): Move(route, OLD, NEW, 1e9) for route in ROUTES}
    routes = {route: Route(RouteKind.MODEL, OLD) for route in ROUTES}
    versions = {OLD: Version(8), NEW: Version(8)}
    tracker = MoveTracker(InstanceId("r"))
    tracker.apply_bundle(
        Bundle(BundleNumber(1), BundleNumber(0), {}, {}, versions, routes, moves)
    )
    for move_id, move in moves.items():
        row = MoveRow(move.route, OLD, NEW, 0.5, 0.0)
        tracker.apply_rows([Row(move_key(move_id), 1, encode_row(row))])
    return tracker


def _measure_moves(report: Report) -> None:
    rng = random.Random(1)
    tracker = _tracker()
    route_versions = [RouteVersion(ROUTES[0], OLD), RouteVersion(ROUTES[0], NEW)]
    recorders = [EvidenceRecorder(route_versions) for _ in range(SIDECARS)]
    for now in range(HISTORY_SECONDS):
        for number, recorder in enumerate(recorders):
            for item in route_versions:
                gaps = [rng.gauss(0.02, 0.003)]
                recorder.record_request(*item, True, rng.lognormvariate(-2, 0.4), gaps)
            for evidence in recorder.to_wire():
                tracker.record_evidence(IncarnationId(str(number)), evidence)
        tracker.judge(float(now), 0.0)
    recorder, evidence = recorders[0], recorders[0].to_wire()[0]
    calls: dict[str, Callable[[], object]] = {
        "version of a request, us": lambda: tracker.version_for(
            ROUTES[3], RequestKey("c/1")
        ),
        "count a request as evidence, us": lambda: recorder.record_request(
            *route_versions[0], True, 0.1, [0.02]
        ),
        "take in one evidence report, us": lambda: tracker.record_evidence(
            IncarnationId("0"), evidence
        ),
        "judge 18 moves, one with traffic, us": lambda: tracker.judge(
            float(HISTORY_SECONDS), 0.0
        ),
    }
    for name, call in calls.items():
        report.rows_by_name[name] = [_microseconds(call, 100)]
    report.rows_by_name["evidence of a version and route, bytes"] = [
        evidence.ByteSize()
    ]


def _measure_choice(report: Report) -> None:
    rng = random.Random(1)
    balancer = PowerOfTwoBalancer(rng, ZoneName("z0"))
    candidates = [
        Candidate(
            IncarnationId(f"s{i}.x"),
            InstanceId(f"s{i}"),
            ZoneName(f"z{i % 3}"),
            OLD,
            16,
            rng.randrange(8),
            rng.randrange(16),
        )
        for i in range(SIDECARS)
    ]
    for name, key, prefix in (
        ("choose among 32, us", None, b""),
        ("choose by prefix, us", None, b"x" * 512),
        ("choose by key, us", RequestKey("c/1"), b""),
    ):
        report.rows_by_name[name] = [
            _microseconds(
                lambda k=key, p=prefix: balancer.choose(
                    candidates, key=k, prefix=p, exclude=frozenset()
                ),
                1000,
            )
        ]


def _measure_queue(report: Report, waiting: int) -> None:
    queue = AdmissionQueue(1, 2 * waiting, float("inf"))
    numbers = iter(range(10**9))

    def offer() -> None:
        number = next(numbers)
        customer = CustomerId(f"c{number % 10}")
        key = RequestKey(f"{customer}/{number}")
        queue.offer(QueuedRequest(str(number), key, customer), 0.0)

    def cycle() -> None:
        queue.record_finish(queue.start_next(0.0), 0.0, overloaded=False)
        offer()

    for _ in range(waiting):
        offer()
    name = f"queue, start and end a request, {waiting} waiting, us"
    report.rows_by_name[name] = [_microseconds(cycle, 200)]


def run() -> Report:
    """Measure all policies."""
    report = Report("Processor time of the policies", ["what", "cost"])
    _measure_moves(report)
    _measure_choice(report)
    for waiting in (16, 256):
        _measure_queue(report, waiting)
    return report


if __name__ == "__main__":
    print(run())
