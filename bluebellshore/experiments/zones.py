"""Leaving the zone: ``python -m bluebellshore.experiments.zones``.

Plays demand and servers that are uneven between zones against ways to decide which
requests leave their zone, and prints a table for each case.
"""

import argparse
from collections import defaultdict
from collections.abc import Callable, Sequence

from bluebellshore.emulator.measures import Measures, Outcome
from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import WORST_AT
from bluebellshore.emulator.trial import REPORT_SECONDS, play
from bluebellshore.emulator.zone_traces import (
    UNEVEN_SECONDS,
    UNEVEN_ZONE,
    ZoneCase,
    make_zone_trace,
    zone_figures,
)
from bluebellshore.experiments.report import Report
from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import ServiceName, ZoneName
from bluebellshore.routing.placement import Placement, Placer, Wait
from bluebellshore.routing.zone_placement import ZonePlacer
from bluebellshore.routing.zone_spill import BUSY_USE, UNEVEN_USE, ZoneSpill

__all__ = ["POLICIES", "run", "swing"]

SECONDS_PER_MEGABYTE = 1.0
#: Time over which the share that leaves is counted for the swings.
SWING_SECONDS = 0.5
OLD_REPORT_SECONDS = 1.0
COLUMNS = [
    "policy",
    "in time",
    "late",
    "refused or failed",
    "first event p95 s",
    "left the zone",
    "MB between zones",
    "swing",
    "shared tokens read again, k",
]


class ByteCostPlacer(ZonePlacer):
    """Compares the servers of all zones; those elsewhere cost the bytes as well."""

    def place_among(
        self,
        call: Call,
        candidates: Sequence[BackendServer],
        usable: Sequence[BackendServer],
        now: float,
    ) -> Placement | Wait:
        """Take the lowest cost of all."""
        self._spill.keeps_requests(usable[0].service, len(candidates), now)
        return Placer.place_among(self, call, candidates, usable, now)

    def _tie_break(self, call: Call, server: BackendServer) -> float:
        cost = super()._tie_break(call, server)
        if server.zone != self._zone:
            cost += self._spill.crossing_seconds(call, 0.0)
        return cost


class ThresholdSpill(ZoneSpill):
    """Sends all requests away while the zone is busier than the others."""

    def update(
        self, service: ServiceName, own_use: float, other_use: float | None, now: float
    ) -> None:
        """Set the share to all or nothing."""
        super().update(service, own_use, other_use, now)
        busy = other_use is not None and own_use > max(BUSY_USE, other_use + UNEVEN_USE)
        self._state(service).share = float(busy)


class LedSpill(ZoneSpill):
    """Takes the share that the zone's first router computed and passed on.

    :param published_by_zone: shares of all zones with their times.
    """

    def __init__(
        self,
        zone: ZoneName,
        seconds_per_megabyte: float,
        published_by_zone: dict[ZoneName, list[tuple[float, float]]],
    ):
        super().__init__(zone, seconds_per_megabyte)
        self._leads = zone not in published_by_zone
        self._published = published_by_zone.setdefault(zone, [])

    def update(
        self, service: ServiceName, own_use: float, other_use: float | None, now: float
    ) -> None:
        """Compute and pass on the share, or take the last one that arrived."""
        super().update(service, own_use, other_use, now)
        state = self._state(service)
        if self._leads:
            self._published.append((now, state.share))
            return
        arrived = [s for at, s in self._published if at <= now - REPORT_SECONDS]
        state.share = arrived[-1] if arrived else 0.0


def _by_spill(spill: Callable[..., ZoneSpill], *arguments: object) -> Callable:
    return lambda loads, zone: ZonePlacer(
        loads, spill(zone, SECONDS_PER_MEGABYTE, *arguments)
    )


#: Make the placers of one trial.
POLICIES: dict[str, Callable[[], Callable]] = {
    "constant cost": lambda: Placer,
    "cost per byte": lambda: (
        lambda loads, zone: ByteCostPlacer(loads, ZoneSpill(zone, SECONDS_PER_MEGABYTE))
    ),
    "threshold": lambda: _by_spill(ThresholdSpill),
    "share by one router a zone": lambda: _by_spill(LedSpill, {}),
    "share by each router": lambda: _by_spill(ZoneSpill),
}


def swing(trial: Measures) -> float:
    """Return the mean change of the share that leaves between successive intervals.

    Counted in the zone that differs while it does.
    """
    sends_by_interval: dict[int, list[bool]] = defaultdict(list)
    for at, crossed in trial.crossed_at_by_zone[UNEVEN_ZONE]:
        if 0 <= at - WORST_AT < UNEVEN_SECONDS:
            sends_by_interval[int((at - WORST_AT) / SWING_SECONDS)].append(crossed)
    shares = [sum(sends) / len(sends) for _, sends in sorted(sends_by_interval.items())]
    changes = [abs(b - a) for a, b in zip(shares, shares[1:], strict=False)]
    return sum(changes) / max(1, len(changes))


def _row(trial: Measures) -> list[str | int | float]:
    sends = [sent for sends in trial.crossed_at_by_zone.values() for sent in sends]
    lost = trial.share(Outcome.REFUSED) + trial.share(Outcome.FAILED)
    return [
        f"{trial.share(Outcome.IN_TIME):.1%}",
        f"{trial.share(Outcome.LATE):.1%}",
        f"{lost:.1%}",
        trial.first_event_p95,
        f"{sum(crossed for _, crossed in sends) / len(sends):.1%}",
        trial.crossing_bytes / 1e6,
        swing(trial),
        round(trial.read_again / 1000),
    ]


def run(
    case: ZoneCase,
    routers: int,
    load: float,
    report_seconds: float = REPORT_SECONDS,
    seed: int = 1,
) -> Report:
    """Compare the policies in one case."""
    title = f"{case.value}; {routers} routers, reports every {report_seconds:g} s"
    report = Report(title, COLUMNS)
    trace = make_zone_trace(case, seed, routers, load)
    for name, make_placer in POLICIES.items():
        trial = play(
            trace,
            Policy(name, placer=make_placer()),
            figures=zone_figures(),
            routers=routers,
            report_seconds=report_seconds,
        )
        report.rows_by_name[name] = _row(trial)
    return report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=5)
    parser.add_argument("--load", type=float, default=2.4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--old-reports", action="store_true")
    parser.add_argument("--case", action="append", type=ZoneCase, default=[])
    arguments = parser.parse_args()
    seconds = OLD_REPORT_SECONDS if arguments.old_reports else REPORT_SECONDS
    for chosen in arguments.case or ZoneCase:
        table = run(chosen, arguments.routers, arguments.load, seconds, arguments.seed)
        print(table, end="\n\n", flush=True)
