"""Places of stand-in backend servers in a run."""

import asyncio
import random

from bluebellshore.settings import ProxySettings
from bluebellshore.soak.schedule import RUNNERS, ZONES
from bluebellshore.standin import FaultProxy
from bluebellshore.standin.ports import reserve_address
from bluebellshore.standin.runner import (
    Arrival,
    RunnerSettings,
    StandinRunner,
    any_fault,
)
from bluebellshore.standin.runner_entries import RunnerEntries

__all__ = [
    "COLD_REQUESTS_PER_SECOND",
    "LONG_SECONDS",
    "LONG_SERVICE",
    "SERVICES",
    "Server",
]

SERVICES = ("plain", "streams")
LONG_SERVICE = "long"
SLOTS = 8
#: Requests a second that cold backend servers tolerate from all routers together.
COLD_REQUESTS_PER_SECOND = 8.0
#: Time of a plain run and between events; some backend servers are slow, so that
#: signals and faults find requests in flight.
FAST_SECONDS, SLOW_SECONDS = 0.03, 0.25
SLOW = (0, 1)
#: Time between the events of each further backend server, which no fault touches; the
#: streams of the last one outlast the grace period.
LONG_SECONDS = (0.6, 1.8)
LONG_SLOTS = 64
#: Their zone, which is never emptied.
LONG_ZONE = "zone-long"


class Server:
    """A place for backend servers, behind a proxy; one life after another.

    :ivar arrivals: of all lives.
    :ivar left_at: by id, when the store took that it leaves.
    """

    def __init__(self, number: int, entries: RunnerEntries, rng: random.Random):
        self.number = number
        self.settings = _server_settings(number)
        self._entries = entries
        self._rng = rng
        self._births = 0
        self._lives: list[StandinRunner] = []
        self.proxy: FaultProxy | None = None
        self.left_at: dict[str, float] = {}
        self.share_spoiled = 0.0
        self.busy = asyncio.Lock()

    @property
    def runner(self) -> StandinRunner:
        """The present life."""
        return self._lives[-1]

    @property
    def arrivals(self) -> list[Arrival]:
        """What arrived at all lives."""
        return [seen for runner in self._lives for seen in runner.arrivals]

    @property
    def lives(self) -> list[StandinRunner]:
        """All lives, the present one last."""
        return list(self._lives)

    async def start(self, *, same_id: bool = False) -> None:
        """Begin a life."""
        if not (same_id and self._births):
            self._births += 1
        listen = self._lives[-1].address if self._lives else reserve_address()
        runner = StandinRunner(
            f"{self.settings.service}-{self.number}-{self._births}",
            self.settings,
            self._entries,
            listen=listen,
            advertise=lambda _: self.proxy.address,
        )
        runner.draw_fault = lambda: any_fault(self._rng, self.share_spoiled)
        if self.proxy is None:
            self.proxy = FaultProxy(ProxySettings(upstream=listen))
            await self.proxy.start()
        await runner.start()
        self._lives.append(runner)


def _server_settings(number: int) -> RunnerSettings:
    if number >= RUNNERS:
        seconds = LONG_SECONDS[number - RUNNERS]
        return RunnerSettings(
            LONG_SERVICE,
            zone=LONG_ZONE,
            slots=LONG_SLOTS,
            streaming=True,
            seconds=seconds,
        )
    service = SERVICES[number % len(SERVICES)]
    return RunnerSettings(
        service,
        zone=ZONES[number // len(SERVICES) % len(ZONES)],
        slots=SLOTS,
        cold_requests_per_second=COLD_REQUESTS_PER_SECOND,
        streaming=service == "streams",
        seconds=SLOW_SECONDS if number in SLOW else FAST_SECONDS,
    )
