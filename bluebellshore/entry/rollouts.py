"""Rollout orders at an entry router: candidates, evidence, exchange and record."""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

import eliot
import xxhash

from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.errors import PlatformError, TransactionConflictError
from bluebellshore.fleet import BackendServer, Call
from bluebellshore.ids import IncarnationId, ServiceName, VersionName
from bluebellshore.platform.names import rollout_status_key
from bluebellshore.platform.rollouts import (
    decode_record,
    encode_record,
    encode_status,
    rollout_record_key,
)
from bluebellshore.rollouts import (
    Attempt,
    Exposure,
    Key,
    RolloutRecord,
    RolloutReport,
    RolloutState,
    Track,
)
from bluebellshore.routing.results import Result
from bluebellshore.store import ABSENT, Row, TableService, Write

__all__ = ["Rollouts"]

TICK_SECONDS = 0.1
#: Pause between reads of a record that may still change; peers tell of it sooner.
READ_SECONDS = 1.0
#: Pause after a failed call, with jitter.
RETRY_SECONDS = 0.3
#: Routers write in turn, this long after each other, so that mostly one does.
TURN_SECONDS = 0.3
MOST_TURNS = 4
#: A version that appears beside others gets nothing for this long: the order that
#: speaks of it may come later than its servers, as tables are followed one by one.
NEWCOMER_SECONDS = 2.0
#: Time after a decision in which peers are told at the full pace.
TOLD_SECONDS = 3.0


class _Versions:
    """Row versions of an order's two rows, as read or written last."""

    def __init__(self) -> None:
        self.status = ABSENT
        self.record = ABSENT
        self.read_at = -1e9
        self.next_at = -1e9
        self.wanted: RolloutState | None = None
        self.wanted_at = 0.0
        self.newer = False
        self.decided_at: float | None = None


class Rollouts:
    """Carries out the operator's orders, together with the other routers.

    Every method but :meth:`run` and :meth:`settle` is free of waits.

    :param peers: returns the routers that serve besides this one.
    :param store_lost: whether the store gave no answer for a while.
    :param store_seconds: returns the store's clock now; None when unknown.
    :param rng: for pauses.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        table: TableService,
        incarnation: IncarnationId,
        exposure: Exposure,
        *,
        peers: Callable[[], Sequence[IncarnationId]],
        store_lost: Callable[[], bool],
        store_seconds: Callable[[], float | None],
        rng: random.Random | None = None,
    ):
        self._platform_state = platform_state
        self._table = table
        self._incarnation = incarnation
        self._exposure = exposure
        self._peers = peers
        self._store_lost = store_lost
        self._store_seconds = store_seconds
        self._rng = rng or random.Random()
        self._tracks: dict[ServiceName, Track] = {}
        self._versions: dict[ServiceName, _Versions] = {}
        self._seen_at: dict[ServiceName, dict[VersionName, float]] = {}

    @property
    def busy(self) -> bool:
        """Whether peers are to be told at the full pace."""
        now = self._now()
        for service, track in self._tracks.items():
            decided_at = self._versions[service].decided_at
            if not track.state.decided:
                return True
            if decided_at is None or now - decided_at < TOLD_SECONDS:
                return True
        return False

    def track(self, service: ServiceName, now: float) -> Track | None:
        """Return the newest order of a service."""
        known = self._platform_state.orders_by_service.get(service)
        if known is None:
            return None
        track = self._tracks.get(service)
        if track is None or track.version < known.version:
            track = Track(known.order, known.version, self._exposure, now)
            self._tracks[service] = track
            self._versions[service] = _Versions()
            eliot.log_message(
                "rollout_ordered",
                service=service,
                target=known.order.target,
                order=known.version,
                seconds=known.order.seconds,
            )
        return track

    def candidates(
        self, call: Call, servers: Sequence[BackendServer], now: float
    ) -> list[BackendServer]:
        """Return those of a service's servers that may get a call."""
        if not servers:
            return []
        service = servers[0].service
        track = self.track(service, now)
        seen_at = self._see_versions(service, servers, now)
        if track is not None:
            return track.candidates(call, servers)
        known = [s for s in servers if now - seen_at[s.version] >= NEWCOMER_SECONDS]
        return known or list(servers)

    def begin(self, call: Call, server: BackendServer, now: float) -> Attempt:
        """Count an attempt that is sent."""
        track = self.track(server.service, now)
        warm = server.warmup_seconds <= 0.0
        has_prompt = call.route.has_prompt
        if track is None or track.state.decided:
            return Attempt(call.attempt_id, None, 0, now, warm, has_prompt)
        target = server.version == track.order.target
        key = Key(call.route.name, server.server_id, target)
        attempt = Attempt(call.attempt_id, key, track.version, now, warm, has_prompt)
        track.begin(attempt, now)
        return attempt

    def end(
        self, service: ServiceName, attempt: Attempt, result: Result, now: float
    ) -> None:
        """Count how an attempt ended."""
        track = self._tracks.get(service)
        if attempt.key is None or track is None or track.version != attempt.order:
            return
        counts = attempt.count_end(result, now)
        track.end(attempt, counts, now, good=result is Result.ANSWERED)

    def reports(self) -> list[RolloutReport]:
        """Return what peers are told."""
        now = self._now()
        return [track.report(now) for track in self._tracks.values() if track.known]

    def merge(self, peer: IncarnationId, reports: Sequence[RolloutReport]) -> None:
        """Take in what a peer tells; orders unknown here are passed over."""
        now = self._now()
        for report in reports:
            track = self.track(ServiceName(report.service), now)
            if track is None or track.version != report.order:
                continue
            was_bad = track.bad
            track.merge(peer, report, now)
            if track.bad and not was_bad:
                self._log(track, "rollout_bad", reason=track.bad, heard_from=peer)

    def tick(self) -> None:
        """Judge, and set shares."""
        now = self._now()
        orders = self._platform_state.orders_by_service
        for service in list(orders):
            track = self.track(service, now)
            before, was_bad = track.share, track.bad
            track.tick(now, may_finish=not self._store_lost())
            if track.bad and not was_bad:
                self._log(track, "rollout_bad", reason=track.bad)
            if track.share != before:
                self._log_share(track, before)
            versions = self._versions[service]
            if track.state.decided and versions.decided_at is None:
                versions.decided_at = now
                self._log(track, "rollout_decided", state=track.state.value)

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_ticks())
            group.create_task(self._run_store())

    async def settle(self) -> None:
        """Read and write the records that are due."""
        for service, track in list(self._tracks.items()):
            versions = self._versions[service]
            now = self._now()
            if now < versions.next_at or track.state.decided or versions.newer:
                continue
            try:
                await self._settle(service, track, versions)
            except TransactionConflictError:
                versions.read_at = -1e9
            except PlatformError as error:
                versions.read_at = -1e9
                pause = RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                versions.next_at = self._now() + pause
                self._log(track, "rollout_record_failed", reason=str(error))

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    async def _run_store(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS * self._rng.uniform(0.8, 1.2))
            await self.settle()

    async def _settle(
        self, service: ServiceName, track: Track, versions: _Versions
    ) -> None:
        now = self._now()
        if now - versions.read_at >= READ_SECONDS:
            await self._read(service, track, versions)
            return
        wanted = track.wanted(now, self._peers())
        if wanted is not versions.wanted:
            versions.wanted, versions.wanted_at = wanted, now
        if wanted is None or now < versions.wanted_at + self._turn(track):
            return
        await self._write(service, track, versions, wanted)

    async def _read(
        self, service: ServiceName, track: Track, versions: _Versions
    ) -> None:
        keys = [rollout_record_key(service), rollout_status_key(service)]
        # Without a change of the record the operator's row is as it was.
        wanted = keys if versions.read_at < 0.0 else keys[:1]
        rows = await self._table.read(wanted)
        if len(wanted) < len(keys) and _version(rows, keys[0]) != versions.record:
            rows = await self._table.read(keys)
            wanted = keys
        versions.record = _version(rows, keys[0])
        if wanted == keys:
            versions.status = _version(rows, keys[1])
        versions.read_at = self._now()
        record = _record(rows.get(keys[0]))
        if record is None or record.order < track.version:
            track.known = True
            return
        if record.order > track.version:
            # The order known here is not the newest.
            versions.newer = True
            return
        self._learn_age(track, record)
        track.apply_record(record)

    async def _write(
        self,
        service: ServiceName,
        track: Track,
        versions: _Versions,
        state: RolloutState,
    ) -> None:
        record = self._next_record(track, state)
        keys = rollout_record_key(service), rollout_status_key(service)
        status = encode_status(track.order.target, state)
        written = await self._table.transact(
            [
                Write(keys[0], versions.record, encode_record(record)),
                Write(keys[1], versions.status, status),
            ]
        )
        versions.record, versions.status = written[keys[0]], written[keys[1]]
        versions.read_at = self._now()
        track.apply_record(record)
        self._log(track, "rollout_written", state=state.value, reason=track.bad)

    def _next_record(self, track: Track, state: RolloutState) -> RolloutRecord:
        began_at = 0.0
        store_now = self._store_seconds()
        if track.record is not None:
            began_at = track.record.began_at
        elif store_now is not None:
            began_at = store_now - track.age(self._now())
        replaced = set(track.replaced)
        if track.record is not None:
            replaced.update(track.record.replaced)
        replaced.update(
            server.version
            for server in self._platform_state.servers_by_id.values()
            if server.service == track.order.service
            and server.version != track.order.target
        )
        return RolloutRecord(
            order=track.version,
            target=track.order.target,
            state=state,
            began_at=began_at,
            replaced=tuple(sorted(replaced)),
        )

    def _learn_age(self, track: Track, record: RolloutRecord) -> None:
        store_now = self._store_seconds()
        if record.began_at and store_now is not None:
            track.set_age(store_now - record.began_at, self._now())

    def _turn(self, track: Track) -> float:
        """Return how long this router lets others write first."""
        own = _rank(track, self._incarnation)
        before = sum(1 for peer in self._peers() if _rank(track, peer) < own)
        return TURN_SECONDS * min(MOST_TURNS, before)

    def _see_versions(
        self, service: ServiceName, servers: Sequence[BackendServer], now: float
    ) -> Mapping[VersionName, float]:
        seen_at = self._seen_at.get(service)
        if seen_at is None:
            # What serves when the first call comes is no newcomer.
            seen_at = self._seen_at[service] = {s.version: -1e9 for s in servers}
        for server in servers:
            seen_at.setdefault(server.version, now)
        return seen_at

    def _log_share(self, track: Track, before: float) -> None:
        if before and track.share and abs(track.share - before) < 0.05:
            return
        self._log(track, "rollout_share", share=round(track.share, 4))

    @staticmethod
    def _log(track: Track, message: str, **fields: object) -> None:
        eliot.log_message(
            message, service=track.order.service, order=track.version, **fields
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _rank(track: Track, incarnation: IncarnationId) -> tuple[int, str]:
    text = f"{track.version}/{incarnation}"
    return xxhash.xxh32_intdigest(text.encode()), incarnation


def _version(rows: Mapping[str, Row], key: str) -> int:
    return rows[key].version if key in rows else ABSENT


def _record(row: Row | None) -> RolloutRecord | None:
    if row is None:
        return None
    try:
        return decode_record(row.value)
    except PlatformError as error:
        eliot.log_message("row_ignored", key=row.key, reason=error.message)
        return None
