"""Backend servers of a trial and the harm that comes to them."""

import random

import msgspec

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.engine import EmulatedEngine, EngineFigures, Run, RunEvent
from bluebellshore.emulator.plain import EmulatedPlainServer, PlainRun
from bluebellshore.emulator.traces import ENGINES, PLAIN, Disturbance, Harm
from bluebellshore.fleet import BackendServer, Engine, PromptPart, Service
from bluebellshore.ids import BackendServerId, PartId, ServiceName, ZoneName

__all__ = ["FleetFigures", "EmulatedFleet"]

#: Time after which a crashed server takes requests again.
RESTART_SECONDS = 3.0
#: Time for which a part that is read again counts as one that was still in use.
REUSE_SECONDS = 10.0


class FleetFigures(msgspec.Struct, frozen=True):
    """Sizes of a made-up site."""

    engine: EngineFigures = EngineFigures()
    engines: int = 6
    plain_servers: int = 3
    plain_slots: int = 6
    plain_queue: int = 24
    zones: int = 3


class _Member(msgspec.Struct):
    entry: BackendServer
    server: EmulatedEngine | EmulatedPlainServer
    harm: Harm | None = None
    amount: float = 0.0
    gone: bool = False
    listed: bool = True


class EmulatedFleet:
    """All backend servers, as routers reach them.

    :ivar entries: what the instance list says.
    :ivar read_tokens: prompt tokens that engines read.
    :ivar read_again: shared tokens that were read though some engine had read them.
    :ivar cut_zones: zones that are out of reach from others.
    """

    def __init__(self, clock: Clock, figures: FleetFigures, rng: random.Random):
        self._clock = clock
        self._figures = figures
        self._rng = rng
        self._members: dict[BackendServerId, _Member] = {}
        self._read_at: dict[PartId, float] = {}
        self._born = 0
        self.read_tokens = 0
        self.read_again = 0
        self.cut_zones: set[ZoneName] = set()
        self.renewed: list[BackendServerId] = []
        for number in range(figures.engines):
            self._add(ENGINES, number)
        for number in range(figures.plain_servers):
            self._add(PLAIN, number)

    @property
    def services(self) -> list[Service]:
        """The services as configured."""
        figures = self._figures.engine
        engine = Engine(figures.slots, figures.cache_tokens, figures.event_tokens)
        return [Service(ENGINES, engine=engine), Service(PLAIN)]

    def entries(self, service: ServiceName) -> list[BackendServer]:
        """Return the servers of a service that the instance list has."""
        members = self._members.values()
        return [m.entry for m in members if m.entry.service == service and m.listed]

    def engines(self) -> list[EmulatedEngine]:
        """Return the engines, for measures."""
        return [m.server for m in self._members.values() if m.entry.service == ENGINES]

    def reaches(self, zone: ZoneName, other: ZoneName) -> bool:
        """Return whether messages pass between two zones."""
        return zone == other or not self.cut_zones & {zone, other}

    def submit(
        self, server_id: BackendServerId, run: Run | PlainRun, zone: ZoneName
    ) -> bool:
        """Hand a request to a server.

        :param zone: zone of the sender.
        :return: False when the server can't be reached.
        """
        member = self._members.get(server_id)
        if member is None or member.gone or not self.reaches(zone, member.entry.zone):
            return False
        if member.harm in (Harm.FAIL, Harm.HANG) and self._rng.random() < member.amount:
            if member.harm is Harm.FAIL:
                self._clock.after(0.002, lambda: run.report(RunEvent.FAILED, 0))
            return True
        member.server.submit(run)
        return True

    def cancel(self, server_id: BackendServerId, run: Run | PlainRun) -> None:
        """Stop a request whose caller left."""
        member = self._members.get(server_id)
        if member is not None:
            member.server.cancel(run)

    def disturb(self, disturbance: Disturbance) -> None:
        """Begin the harm; it ends by itself."""
        if disturbance.harm is Harm.CUT:
            self._cut(disturbance)
            return
        servers = self.entries(disturbance.service)
        if disturbance.zone is not None:
            servers = [entry for entry in servers if entry.zone == disturbance.zone]
        hit = servers[: disturbance.servers]
        for entry in hit:
            member = self._members[entry.server_id]
            match disturbance.harm:
                case Harm.CRASH:
                    self._crash(member)
                case Harm.REPLACED:
                    self._replace(member)
                case Harm.REMOVED:
                    self._remove(member, disturbance.seconds)
                case harm:
                    self._harm(member, harm, disturbance)

    def _add(self, service: ServiceName, number: int) -> None:
        self._born += 1
        zone = ZoneName(f"z{number % self._figures.zones}")
        server_id = BackendServerId(f"{service}-{number}.{self._born}")
        if service == ENGINES:
            slots = self._figures.engine.slots
            server = EmulatedEngine(self._clock, self._figures.engine, self._note_read)
        else:
            slots = self._figures.plain_slots
            server = EmulatedPlainServer(self._clock, slots, self._figures.plain_queue)
        entry = BackendServer(
            server_id, service, "host", 1, zone, slots=slots, started_unix_ms=self._born
        )
        self._members[server_id] = _Member(entry, server)

    def _note_read(self, part: PromptPart) -> None:
        now = self._clock.now
        self.read_tokens += part.tokens
        if now - self._read_at.get(part.part_id, float("-inf")) < REUSE_SECONDS:
            self.read_again += part.tokens
        self._read_at[part.part_id] = now

    def _crash(self, member: _Member) -> None:
        member.gone = True
        member.server.crash()

        def back() -> None:
            member.gone = False
            self.renewed.append(member.entry.server_id)

        self._clock.after(RESTART_SECONDS, back)

    def _replace(self, member: _Member) -> None:
        """Take a server out after its work ended and add an empty one."""
        service, number = member.entry.service, len(self._members)
        self._add(service, number)
        del self._members[member.entry.server_id]
        self.renewed.append(member.entry.server_id)

    def _remove(self, member: _Member, seconds: float) -> None:
        """Take a server out of the list at once; its requests end there."""
        member.gone, member.listed = True, False
        member.server.crash()

        def back() -> None:
            member.gone, member.listed = False, True
            self.renewed.append(member.entry.server_id)

        self._clock.after(seconds, back)

    def _cut(self, disturbance: Disturbance) -> None:
        self.cut_zones.add(disturbance.zone)
        self._clock.after(
            disturbance.seconds, lambda: self.cut_zones.discard(disturbance.zone)
        )

    def _harm(self, member: _Member, harm: Harm, disturbance: Disturbance) -> None:
        server = member.server
        member.harm, member.amount = harm, disturbance.amount
        if harm is Harm.SILENT:
            server.silent = True
        if harm is Harm.SLOW:
            server.slowness = disturbance.amount

        def heal() -> None:
            member.harm = None
            server.slowness = 1.0
            if server.silent:
                server.wake()

        self._clock.after(disturbance.seconds, heal)
