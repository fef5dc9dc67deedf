"""Draws which faults happen when; the same seed gives the same schedule."""

import random
from enum import Enum

import msgspec

__all__ = [
    "Action",
    "Fault",
    "Schedule",
    "draw_evacuations",
    "draw_restores",
    "draw_rolling_stops",
    "draw_schedule",
]

#: Calm time at the begin, in which everything starts to serve.
LEAD_SECONDS = 1.0
#: Mean times between the starts of two faults, one for each run; several overlap.
MEAN_PAUSES_SECONDS = (0.4, 1.2, 2.5)
#: Kinds of faults that a run has, when it has only a few of them.
FEW = (2, 6)
MIN_SECONDS, MAX_SECONDS = 0.3, 5.0
#: Share of faults that come as a series on one target, and the pause within it.
SERIES_SHARE = 0.25
SERIES_LENGTH = 3
SERIES_PAUSE_SECONDS = 0.4
#: Share of the series of planned work at a router that have several kinds of it.
MIXED_SHARE = 0.6
RUNNERS = 6
#: Share of the runs with planned work alone that stop all routers in turn, again and
#: again, the time from one to the next and the longest pause before the next turn.
ROLLING_SHARE = 0.5
ROLLING_STEP_SECONDS = 1.1
ROLLING_PAUSE_SECONDS = 9.0
#: Share of these stops with other planned work within the time after them.
BESIDE_SHARE = 0.5
BESIDE_SECONDS = 8.0
#: Share of the runs with faults in which the store comes back from an older copy, how
#: often at most, and the longest time that it is away before.
RESTORED_SHARE = 0.3
MAX_RESTORES = 2
MAX_AWAY_SECONDS = 1.5
#: Availability zones of the backend servers, the share of the runs with faults in which
#: one is emptied and comes back cold, and how often.
ZONES = ("zone-a", "zone-b", "zone-c")
EVACUATED_SHARE = 0.3
MAX_EVACUATIONS = 3
MAX_EVACUATED_SECONDS = 12.0
#: Share of the evacuations in which a router is killed or stopped soon after, and the
#: longest time until then.
BESIDE_EVACUATION_SHARE = 0.6
BESIDE_EVACUATION_SECONDS = 1.0


class Action(Enum):
    """What a fault does; its target is a router, a backend server or nothing."""

    ROUTER_STOP = "router-stop"
    ROUTER_KILL = "router-kill"
    ROUTER_PAUSE = "router-pause"
    ROUTER_RELOAD = "router-reload"
    ROUTER_EARLY_STOP = "router-early-stop"
    ROUTER_SETTINGS = "router-settings"
    ROUTER_PAUSE_IN_WRITES = "router-pause-in-writes"
    PEER_LINK_CUT = "peer-link-cut"
    PEER_LINK_REFUSED = "peer-link-refused"
    PEER_LINK_DELAYED = "peer-link-delayed"
    PEER_LINK_ONE_WAY = "peer-link-one-way"
    PEER_LINK_SILENT = "peer-link-silent"
    STORE_LINK_CUT = "store-link-cut"
    STORE_LINK_REFUSED = "store-link-refused"
    STORE_LINK_DELAYED = "store-link-delayed"
    STORE_LINK_ONE_WAY = "store-link-one-way"
    STORE_LINK_SILENT = "store-link-silent"
    CALLER_LINK_CUT = "caller-link-cut"
    CALLER_LINK_DELAYED = "caller-link-delayed"
    CALLER_LINK_ONE_WAY = "caller-link-one-way"
    SERVER_LINK_CUT = "server-link-cut"
    SERVER_LINK_REFUSED = "server-link-refused"
    SERVER_LINK_DELAYED = "server-link-delayed"
    SERVER_LINK_ONE_WAY = "server-link-one-way"
    SERVER_LINK_SILENT = "server-link-silent"
    SERVER_CRASH = "server-crash"
    SERVER_DRAIN = "server-drain"
    SERVER_SPOILS = "server-spoils"
    STORE_OUT = "store-out"
    STORE_SILENT = "store-silent"
    STORE_SLOW = "store-slow"
    STORE_LOSES_ANSWERS = "store-loses-answers"
    STORE_LATE = "store-late"
    STORE_FORGETS = "store-forgets"
    STORE_PART_OUT = "store-part-out"
    STORE_ANSWERS_LATE = "store-answers-late"
    STORE_BUSY = "store-busy"
    STORE_CLOCK = "store-clock"
    CONFIGURATION = "configuration"
    TOP_UP = "top-up"
    STORE_RESTORED = "store-restored"
    ZONE_EVACUATED = "zone-evacuated"

    @property
    def planned(self) -> bool:
        """Whether it is an operator's planned work, which must cut nothing."""
        return self in _PLANNED

    @property
    def on_router(self) -> bool:
        """Whether its target is a router."""
        return self.value.startswith(("router", "store-link", "caller", "peer"))

    @property
    def on_server(self) -> bool:
        """Whether its target is a backend server."""
        return self.value.startswith("server")


#: Drawn on their own, so that the seeds of earlier findings keep their faults.
_DRAWN_APART = (Action.STORE_RESTORED, Action.ZONE_EVACUATED)
#: What is drawn for all runs alike.
_DRAWN = tuple(action for action in Action if action not in _DRAWN_APART)
#: Planned work at a router, which overlaps in some series.
_ROUTER_WORK = (
    Action.ROUTER_STOP,
    Action.ROUTER_RELOAD,
    Action.ROUTER_EARLY_STOP,
    Action.ROUTER_SETTINGS,
)
_PLANNED = frozenset(
    {*_ROUTER_WORK, Action.CONFIGURATION, Action.TOP_UP, Action.SERVER_DRAIN}
)
#: What comes beside rolling stops.
_BESIDE = (Action.ROUTER_RELOAD, Action.ROUTER_SETTINGS, Action.CONFIGURATION)


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param at: seconds from the start of the run.
    :param seconds: how long it lasts, where that has a meaning.
    :param target: number of the router or backend server.
    :param strength: 0 to 1; delays and shares grow with it.
    """

    at: float
    action: Action
    seconds: float
    target: int = 0
    strength: float = 0.5

    def __str__(self) -> str:
        return (
            f"{self.at:6.2f} s  {self.action.value} target {self.target} "
            f"for {self.seconds:.2f} s, strength {self.strength:.2f}"
        )


class Schedule(msgspec.Struct, frozen=True):
    """The faults of one run, by time.

    :param seconds: time in which faults begin.
    """

    seed: int
    seconds: float
    routers: int
    faults: tuple[Fault, ...]

    @property
    def end(self) -> float:
        """Time at which the last fault has ended."""
        return max((f.at + f.seconds for f in self.faults), default=self.seconds)

    def without(self, left_out: set[int]) -> "Schedule":
        """Return the schedule without the faults of these positions."""
        kept = tuple(f for i, f in enumerate(self.faults) if i not in left_out)
        return msgspec.structs.replace(self, faults=kept)


def draw_schedule(seed: int, seconds: float, routers: int) -> Schedule:
    """Return the schedule of a seed.

    Some runs have all kinds of faults, some a few and some planned work alone, half of
    these with rolling stops: what only shows where the rest is calm.

    :param routers: entry processes.
    """
    rng = random.Random(seed)
    mean_pause = rng.choice(MEAN_PAUSES_SECONDS)
    actions = rng.choice([list(_DRAWN), _few(rng), sorted(_PLANNED, key=str)])
    faults: list[Fault] = []
    at = LEAD_SECONDS
    while at < seconds:
        action = rng.choice(actions)
        length = SERIES_LENGTH if rng.random() < SERIES_SHARE else 1
        targets = routers if action.on_router else RUNNERS
        target = rng.randrange(targets)
        mixed = action in _ROUTER_WORK and rng.random() < MIXED_SHARE
        kinds = _ROUTER_WORK if length > 1 and mixed else (action,)
        for number in range(length):
            faults.append(
                Fault(
                    at=round(at + number * SERIES_PAUSE_SECONDS, 3),
                    action=rng.choice(kinds),
                    seconds=round(rng.uniform(MIN_SECONDS, MAX_SECONDS), 3),
                    target=target,
                    strength=round(rng.random(), 3),
                )
            )
        at += rng.expovariate(1 / mean_pause)
    stops = random.Random(f"{seed}/stops")
    if set(actions) == _PLANNED and stops.random() < ROLLING_SHARE:
        faults += draw_rolling_stops(stops, seconds, routers)
    if set(actions) != _PLANNED:
        faults += draw_restores(random.Random(f"{seed}/restores"), seconds)
        evacuations = random.Random(f"{seed}/evacuations")
        if evacuations.random() < EVACUATED_SHARE:
            faults += draw_evacuations(evacuations, seconds, routers)
    faults.sort(key=lambda fault: fault.at)
    return Schedule(seed, seconds, routers, tuple(faults))


def draw_rolling_stops(rng: random.Random, seconds: float, routers: int) -> list[Fault]:
    """Return stops of all routers in turn, with signals and changes meanwhile."""
    faults: list[Fault] = []
    at = LEAD_SECONDS
    while at < seconds:
        for target in rng.sample(range(routers), routers):
            faults.append(_planned(rng, at, Action.ROUTER_STOP, target))
            if rng.random() < BESIDE_SHARE:
                beside = at + rng.uniform(0.0, BESIDE_SECONDS)
                action = rng.choice(_BESIDE)
                faults.append(_planned(rng, beside, action, target))
            at += ROLLING_STEP_SECONDS
        at += rng.uniform(0.0, ROLLING_PAUSE_SECONDS)
    return faults


def draw_restores(rng: random.Random, seconds: float) -> list[Fault]:
    """Return restores of the store from older copies: in most runs none, else a few."""
    if rng.random() >= RESTORED_SHARE:
        return []
    return [
        Fault(
            at=round(rng.uniform(LEAD_SECONDS, seconds), 3),
            action=Action.STORE_RESTORED,
            seconds=round(rng.uniform(MIN_SECONDS, MAX_AWAY_SECONDS), 3),
            strength=round(rng.random(), 3),
        )
        for _ in range(rng.randint(1, MAX_RESTORES))
    ]


def draw_evacuations(rng: random.Random, seconds: float, routers: int) -> list[Fault]:
    """Return evacuations of zones, with kills and stops of routers beside them."""
    faults = []
    for _ in range(rng.randint(1, MAX_EVACUATIONS)):
        at = rng.uniform(LEAD_SECONDS, seconds)
        faults.append(
            Fault(
                at=round(at, 3),
                action=Action.ZONE_EVACUATED,
                seconds=round(rng.uniform(MIN_SECONDS, MAX_EVACUATED_SECONDS), 3),
                target=rng.randrange(len(ZONES)),
            )
        )
        if rng.random() < BESIDE_EVACUATION_SHARE:
            beside = at + rng.uniform(0.0, BESIDE_EVACUATION_SECONDS)
            action = rng.choice((Action.ROUTER_KILL, Action.ROUTER_STOP))
            faults.append(_planned(rng, beside, action, rng.randrange(routers)))
    return faults


def _planned(rng: random.Random, at: float, action: Action, target: int) -> Fault:
    return Fault(
        at=round(at, 3),
        action=action,
        seconds=MIN_SECONDS,
        target=target,
        strength=round(rng.random(), 3),
    )


def _few(rng: random.Random) -> list[Action]:
    return rng.sample(_DRAWN, rng.randint(*FEW))
