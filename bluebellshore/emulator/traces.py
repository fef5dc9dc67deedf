"""Seeded loads at their worst, for :mod:`bluebellshore.emulator.trial`."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec

from bluebellshore.fleet import PromptPart, Route, RouteKind, WeightedService
from bluebellshore.ids import CustomerId, PartId, RouteName, ServiceName, ZoneName

__all__ = [
    "ENGINES",
    "PLAIN",
    "Arrival",
    "Disturbance",
    "Harm",
    "Kind",
    "Pattern",
    "Trace",
    "TraceWriter",
    "make_trace",
]

ENGINES = ServiceName("engines")
PLAIN = ServiceName("plain")
SECONDS = 24.0
#: Time at which the pattern begins, and how long it lasts.
WORST_AT = 8.0
WORST_SECONDS = 6.0
CUSTOMERS = 10


class Kind(msgspec.Struct, frozen=True):
    """A kind of request; all figures are made up.

    :param shared: size of each shared part and the number of different ones.
    :param own_tokens: mean of the part that is the request's own.
    :param work_seconds: mean time at a plain server.
    """

    route: Route
    per_second: float
    shared: tuple[tuple[int, int], ...] = ()
    own_tokens: int = 0
    own_spread: float = 1.0
    most_own_tokens: int = 12_000
    output_tokens: int = 0
    work_seconds: float = 0.0
    deadline_seconds: float = 4.0


class Arrival(msgspec.Struct):
    """One request of a caller.

    :param repeats: attempts that the caller makes after a refusal.
    :param patient: whether it waits as told before it comes back.
    :param body_bytes: size of the request's body.
    """

    at: float
    kind: Kind
    customer: CustomerId
    router: int
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    work_seconds: float = 0.0
    repeats: int = 1
    patient: bool = True
    body_bytes: int = 0


class Harm(Enum):
    """What happens to backend servers."""

    CRASH = "crash"
    SILENT = "silent"
    #: A share of requests fails at once.
    FAIL = "fail"
    #: A share of requests gets no answer.
    HANG = "hang"
    SLOW = "slow"
    #: Replaced by servers that hold nothing.
    REPLACED = "replaced"
    #: Gone from the instance list; back at the end.
    REMOVED = "removed"
    #: Out of reach for routers of other zones.
    CUT = "cut"


class Disturbance(msgspec.Struct, frozen=True):
    """Harm to the first servers of a service.

    :param amount: share of requests, or factor on the time of steps.
    :param zone: zone of the servers; None for any.
    """

    at: float
    seconds: float
    service: ServiceName
    servers: int
    harm: Harm
    amount: float = 1.0
    zone: ZoneName | None = None


class Trace(msgspec.Struct):
    """What callers send and what happens to servers."""

    arrivals: list[Arrival]
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    seconds: float = SECONDS


class Pattern(Enum):
    """Loads."""

    CALM = "calm"
    BURST = "burst"
    HOT_KEY = "hot key"
    HOT_CUSTOMER = "hot customer"
    RETRY_ABUSE = "retry abuse"
    CRASH = "engines crash"
    SILENT = "engines silent"
    COLD = "cold new engines"
    LONG = "long prompts against long answers"
    GREY_FAIL = "grey engine fails"
    GREY_HANG = "grey engine hangs"
    SLOW = "slow engine"
    PLAIN_GREY = "grey plain server"


def _route(name: str, service: ServiceName, **fields: object) -> Route:
    return Route(
        RouteName(name),
        "host.example",
        f"/{name}/",
        services=(WeightedService(service),),
        timeout_seconds=15.0,
        **fields,
    )


def _stream(name: str, objective: float, priority: int) -> Route:
    return _route(
        name,
        ENGINES,
        kind=RouteKind.STREAM,
        objective_seconds=objective,
        max_event_gap_seconds=0.4,
        priority=priority,
        has_prompt=True,
    )


PLAN = Kind(
    _stream("plan", 0.8, 1), 16.0, ((2400, 5), (3600, 200)), 2500, 1.0, 20_000, 48
)
PLAN = msgspec.structs.replace(PLAN, deadline_seconds=6.0)
QUESTION = Kind(_stream("question", 0.6, 0), 20.0, ((350, 12), (250, 240)), 1500, 1.2)
QUESTION = msgspec.structs.replace(QUESTION, output_tokens=24)
CHAT = Kind(_stream("chat", 0.6, 2), 12.0, ((120, 12), (80, 200)), 500, 0.9)
CHAT = msgspec.structs.replace(CHAT, output_tokens=240, deadline_seconds=12.0)
ORDER = Kind(
    _route("order", PLAIN, kind=RouteKind.UNSAFE, objective_seconds=0.25, priority=2),
    60.0,
    work_seconds=0.09,
    deadline_seconds=3.0,
)
LOOKUP = Kind(
    _route(
        "lookup",
        PLAIN,
        kind=RouteKind.SAFE,
        objective_seconds=0.25,
        priority=2,
        max_attempts=2,
    ),
    30.0,
    work_seconds=0.09,
    deadline_seconds=3.0,
)
KINDS = (PLAN, QUESTION, CHAT, ORDER, LOOKUP)
ROUTER_SHARES = (5, 3, 2, 2)


class TraceWriter:
    """Writes the arrivals of a trace."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.arrivals: list[Arrival] = []

    def write(
        self,
        kind: Kind,
        start: float,
        end: float,
        factor: float = 1.0,
        edit: Callable[[Arrival], None] = lambda arrival: None,
    ) -> None:
        """Add arrivals of a kind in a span of time."""
        at = start + self.rng.expovariate(kind.per_second * factor)
        while at < end:
            arrival = self._arrival(kind, at)
            edit(arrival)
            self.arrivals.append(arrival)
            at += self.rng.expovariate(kind.per_second * factor)

    def _arrival(self, kind: Kind, at: float) -> Arrival:
        rng = self.rng
        heavy = rng.random() < 0.5
        customer = rng.randrange(3) if heavy else rng.randrange(3, CUSTOMERS)
        router = rng.choices(range(len(ROUTER_SHARES)), ROUTER_SHARES)[0]
        arrival = Arrival(at, kind, CustomerId(f"c{customer}"), router)
        if kind.own_tokens:
            arrival.prompt = self._prompt(kind, at)
            spread = rng.lognormvariate(-0.25, 0.7)
            arrival.output_tokens = max(1, int(kind.output_tokens * spread))
        else:
            arrival.work_seconds = kind.work_seconds * rng.lognormvariate(-0.12, 0.5)
        return arrival

    def _prompt(self, kind: Kind, at: float) -> tuple[PromptPart, ...]:
        rng = self.rng
        parts, chosen = [], 0
        for level, (tokens, count) in enumerate(kind.shared):
            chosen = int(count * rng.random() ** 1.3)
            if level:
                parts[0] = self._part(kind, 0, kind.shared[0], chosen)
            parts.append(self._part(kind, level, (tokens, count), chosen))
        mean = kind.own_tokens
        own = mean * rng.lognormvariate(-(kind.own_spread**2) / 2, kind.own_spread)
        own = int(min(max(own, 16), kind.most_own_tokens))
        parts.append(PromptPart(PartId(f"{kind.route.name}-own-{at:.6f}"), own))
        return tuple(parts)

    def _part(
        self, kind: Kind, level: int, size: tuple[int, int], chosen: int
    ) -> PromptPart:
        tokens, count = size
        number = chosen % count
        scatter = random.Random(f"{kind.route.name}-{level}-{number}").uniform(0.6, 1.4)
        name = PartId(f"{kind.route.name}-{level}-{number}")
        return PromptPart(name, int(tokens * scatter))


def make_trace(pattern: Pattern, seed: int, load: float = 1.0) -> Trace:
    """Return the trace of a pattern.

    :param load: factor on the usual rates.
    """
    writer = TraceWriter(seed)
    edits = {
        Pattern.HOT_KEY: _hot_key(writer),
        Pattern.RETRY_ABUSE: _abuse(writer),
    }
    edit = edits.get(pattern, lambda arrival: None)
    for kind in KINDS:
        writer.write(kind, 0.0, SECONDS, load, edit)
    worst_end = WORST_AT + WORST_SECONDS
    if pattern in (Pattern.BURST, Pattern.RETRY_ABUSE):
        for kind in KINDS:
            writer.write(kind, WORST_AT, worst_end, 1.2 * load, edit)
    if pattern is Pattern.HOT_CUSTOMER:
        for kind in KINDS:
            writer.write(kind, WORST_AT, worst_end, 1.5 * load, _of_one_customer)
    if pattern is Pattern.LONG:
        changes = {"own_tokens": 14_000, "own_spread": 0.5, "most_own_tokens": 36_000}
        long_plan = msgspec.structs.replace(PLAN, per_second=3.0, **changes)
        writer.write(long_plan, WORST_AT, worst_end, load)
        writer.write(CHAT, WORST_AT, worst_end, 2.0 * load)
    writer.arrivals.sort(key=lambda arrival: arrival.at)
    return Trace(writer.arrivals, _disturbances(pattern))


def _hot_key(writer: TraceWriter) -> Callable[[Arrival], None]:
    hot = writer._prompt(PLAN, 0.0)[:-1]

    def edit(arrival: Arrival) -> None:
        due = WORST_AT <= arrival.at < WORST_AT + WORST_SECONDS
        if arrival.kind is PLAN and due and writer.rng.random() < 0.5:
            arrival.prompt = (*hot, arrival.prompt[-1])

    return edit


def _abuse(writer: TraceWriter) -> Callable[[Arrival], None]:
    def edit(arrival: Arrival) -> None:
        if writer.rng.random() < 0.3:
            arrival.repeats, arrival.patient = 8, False

    return edit


def _of_one_customer(arrival: Arrival) -> None:
    arrival.customer = CustomerId("c9")


def _disturbances(pattern: Pattern) -> list[Disturbance]:
    harms = {
        Pattern.CRASH: (ENGINES, 2, Harm.CRASH, 1.0),
        Pattern.SILENT: (ENGINES, 2, Harm.SILENT, 1.0),
        Pattern.COLD: (ENGINES, 3, Harm.REPLACED, 1.0),
        Pattern.GREY_FAIL: (ENGINES, 1, Harm.FAIL, 0.5),
        Pattern.GREY_HANG: (ENGINES, 1, Harm.HANG, 0.5),
        Pattern.SLOW: (ENGINES, 1, Harm.SLOW, 4.0),
        Pattern.PLAIN_GREY: (PLAIN, 1, Harm.FAIL, 0.5),
    }
    if pattern not in harms:
        return []
    service, servers, harm, amount = harms[pattern]
    return [Disturbance(WORST_AT, WORST_SECONDS, service, servers, harm, amount)]
