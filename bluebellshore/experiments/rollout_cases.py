"""Cases in which rollouts are played."""

from collections.abc import Mapping
from enum import Enum
from types import MappingProxyType

import msgspec

from bluebellshore.rollouts import ExposureLimit

__all__ = ["CASES", "Case", "RouteLoad", "SlowPart"]


class RouteLoad(msgspec.Struct, frozen=True):
    """Requests of one route.

    :param share: share of all requests.
    :param seconds: median time of a plain answer, or to a stream's first event.
    :param events: median number of a stream's events; 0 for plain answers.
    :param gap_seconds: median time between two events of a stream.
    :param leave_seconds: time after which callers leave.
    """

    share: float
    seconds: float
    events: int = 0
    gap_seconds: float = 0.0
    leave_seconds: float = 6.0


class SlowPart(Enum):
    """Part of an answer that is slow."""

    ALL = "all"
    FIRST_EVENT = "first event"
    GAPS = "gaps"


PLAIN_ROUTES = MappingProxyType(
    {"a": RouteLoad(0.6, 0.08), "b": RouteLoad(0.3, 0.25), "c": RouteLoad(0.1, 0.5)}
)
#: Answers of a model: short, middle and long streams.
STREAM_ROUTES = MappingProxyType(
    {
        "a": RouteLoad(0.4, 0.08, 8, 0.02, 4.0),
        "b": RouteLoad(0.32, 0.2, 17, 0.02, 6.0),
        "c": RouteLoad(0.28, 0.06, 90, 0.02, 15.0),
    }
)


class Case(msgspec.Struct, frozen=True):
    """What happens in a trial.

    :param fails: rate of failures of the new version while it is bad.
    :param slow: rate of slow answers while it is bad, and how much slower.
    :param slow_part: part of a slow answer that is slow.
    :param bad_from: part of the order's time from which it is bad.
    :param route: only route on which it is bad; empty for all.
    :param under_load: whether it is bad only under load.
    :param pace: multiple of the old version's times that are the new one's.
    :param grey: rate of failures of one server of the new version.
    :param trouble: whether all servers are slow and fail for a while.
    :param outage: part of the order's time from and to which the store is out.
    :param restart: part of the order's time at which one router begins anew.
    :param lost_answers: rate of writes whose answer is lost.
    :param routes: requests by the name of their route.
    :param start_gap_seconds: time between the starts of the new version's servers.
    :param rate: requests a second.
    :param seconds: time that the order gives.
    """

    name: str
    fails: float = 0.0
    slow: float = 0.0
    slow_factor: float = 4.0
    slow_part: SlowPart = SlowPart.ALL
    bad_from: float = 0.0
    route: str = ""
    under_load: bool = False
    pace: float = 1.0
    grey: float = 0.0
    trouble: bool = False
    outage: tuple[float, float] | None = None
    restart: float | None = None
    lost_answers: float = 0.0
    routes: Mapping[str, RouteLoad] = PLAIN_ROUTES
    start_gap_seconds: float = 0.0
    rate: float = 60.0
    seconds: float = 40.0
    exposure: ExposureLimit = ExposureLimit(0.1, 50.0)

    @property
    def is_bad(self) -> bool:
        """Whether the new version turns bad."""
        return bool(self.fails or self.slow)


#: Order whose time is short beside the time of a slow stream.
_HASTY = Case("", routes=STREAM_ROUTES, start_gap_seconds=3.0, rate=30.0, seconds=15.0)


def _hasty(name: str, **changed: object) -> Case:
    return msgspec.structs.replace(
        _HASTY, name=f"{name}, streams, short order", **changed
    )


CASES = (
    Case("good"),
    Case("good, 1.3 times as slow", pace=1.3),
    Case("good, one server fails half", grey=0.5),
    Case("good, all servers in trouble", trouble=True),
    Case("good, store out for a quarter", outage=(0.4, 0.65)),
    Case("good, answers of the store lost", lost_answers=0.3),
    Case("good, a router begins anew", restart=0.5),
    Case("good, few requests", rate=6.0),
    Case("good, many requests", rate=300.0),
    Case("good, short order", seconds=20.0),
    Case("fails 30 % at once", fails=0.3),
    Case("fails 60 % at once, many requests", fails=0.6, rate=300.0),
    Case("fails 30 % at once, short order", fails=0.3, seconds=20.0),
    Case("fails 30 % later", fails=0.3, bad_from=0.45),
    Case("fails 30 % much later", fails=0.3, bad_from=0.65),
    Case("fails 50 % on one route", fails=0.5, route="c"),
    Case("fails 40 % under load", fails=0.4, under_load=True),
    Case("40 % slow at once", slow=0.4),
    Case("40 % slow later", slow=0.4, bad_from=0.45),
    Case("60 % slow under load", slow=0.6, under_load=True),
    Case("60 % slow on one route", slow=0.6, route="c"),
    Case("fails 30 %, store out", fails=0.3, outage=(0.0, 0.6)),
    Case("fails 30 % later, a router anew", fails=0.3, bad_from=0.45, restart=0.5),
    Case("good, streams", routes=STREAM_ROUTES, rate=30.0),
    Case(
        "slow gaps on one route later, streams",
        slow=1.0,
        slow_part=SlowPart.GAPS,
        bad_from=0.6,
        route="c",
        routes=STREAM_ROUTES,
        rate=30.0,
    ),
    _hasty("good"),
    _hasty("slow at once", slow=1.0),
    _hasty("slow at once, few requests", slow=1.0, rate=6.0),
    _hasty("slow gaps at once", slow=1.0, slow_part=SlowPart.GAPS),
    _hasty("slow first events at once", slow=1.0, slow_part=SlowPart.FIRST_EVENT),
    _hasty("slow later", slow=1.0, bad_from=0.45),
    _hasty("slow at once, all servers in trouble", slow=1.0, trouble=True),
    _hasty("slow under load", slow=1.0, under_load=True),
)
