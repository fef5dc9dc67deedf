"""Seeded loads that are uneven between availability zones."""

from enum import Enum

from bluebellshore.emulator.fleet import FleetFigures
from bluebellshore.emulator.traces import (
    CHAT,
    ENGINES,
    PLAN,
    QUESTION,
    SECONDS,
    WORST_AT,
    Arrival,
    Disturbance,
    Harm,
    Trace,
    TraceWriter,
)
from bluebellshore.ids import ZoneName

__all__ = [
    "UNEVEN_SECONDS",
    "UNEVEN_ZONE",
    "ZoneCase",
    "make_zone_trace",
    "zone_figures",
]

#: Time for which zones differ, from `WORST_AT` on.
UNEVEN_SECONDS = 8.0
UNEVEN_ZONE = ZoneName("z0")
#: Bytes of a request's body for each token of its prompt.
BODY_BYTES_PER_TOKEN = 1
ENGINES_PER_ZONE = 6


class ZoneCase(Enum):
    """What happens to one of the zones."""

    EVEN = "even"
    DOUBLED = "demand of a zone doubles"
    HALVED = "a zone loses half of its servers"
    CUT = "a zone is cut"


def zone_figures(zones: int = 3) -> FleetFigures:
    """Return a fleet with servers enough in each zone."""
    return FleetFigures(engines=ENGINES_PER_ZONE * zones, zones=zones)


def make_zone_trace(
    case: ZoneCase, seed: int, routers: int, load: float, zones: int = 3
) -> Trace:
    """Return the trace of a case. Router `n` is in zone `n` modulo `zones`.

    :param load: factor on the usual rates of six engines, for the whole fleet.
    """
    writer = TraceWriter(seed)

    def choose_router(arrival: Arrival, zone: int | None = None) -> None:
        rng = writer.rng
        zone = rng.randrange(zones) if zone is None else zone
        arrival.router = rng.choice(range(zone, routers, zones))
        tokens = sum(part.tokens for part in arrival.prompt)
        arrival.body_bytes = BODY_BYTES_PER_TOKEN * tokens

    for kind in (PLAN, QUESTION, CHAT):
        writer.write(kind, 0.0, SECONDS, load, choose_router)
        if case is ZoneCase.DOUBLED:
            end = WORST_AT + UNEVEN_SECONDS
            more = load / zones
            writer.write(
                kind, WORST_AT, end, more, lambda arrival: choose_router(arrival, 0)
            )
    writer.arrivals.sort(key=lambda arrival: arrival.at)
    harms = {ZoneCase.HALVED: Harm.REMOVED, ZoneCase.CUT: Harm.CUT}
    disturbances = []
    if case in harms:
        disturbance = Disturbance(
            WORST_AT,
            UNEVEN_SECONDS,
            ENGINES,
            ENGINES_PER_ZONE // 2,
            harms[case],
            zone=UNEVEN_ZONE,
        )
        disturbances.append(disturbance)
    return Trace(writer.arrivals, disturbances)
