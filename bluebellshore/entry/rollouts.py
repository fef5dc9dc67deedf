"""Carries out rollout orders at an entry router, together with the other routers.

A rollout order moves a service's traffic to a target version step by step. Each router
picks candidate servers by the order's traffic share, collects evidence from attempts,
exchanges it with its peers, and keeps the order's record in the store.
"""

import asyncio
import random
from collections.abc import Callable, Mapping, Sequence

import eliot
import xxhash

from bluebellshore.cancellation import run_together
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
    CountsKey,
    ExposureLimit,
    MeasuredAttempt,
    RolloutRecord,
    RolloutReport,
    RolloutState,
    RolloutTracker,
)
from bluebellshore.routing.results import AttemptResult
from bluebellshore.store import ABSENT, Row, TableService, Write

__all__ = ["RolloutController"]

#: Interval at which orders are judged and records exchanged with the store.
TICK_SECONDS = 0.1
#: Pause between reads of a record that may still change; reports of peers tell of
#: changes sooner.
RECORD_POLL_SECONDS = 1.0
#: Pause after a failed call of the store, with jitter.
STORE_RETRY_SECONDS = 0.3
#: Routers write a record in an order of precedence, with this delay between one and the
#: next, so that mostly one of them writes. The delay grows for this many routers at
#: most.
WRITE_TURN_SECONDS = 0.3
MAX_WRITE_TURNS = 4
#: A version that appears beside others gets no traffic for this long: its rollout order
#: may be seen later than its servers, as each table is followed on its own.
NEW_VERSION_HOLD_SECONDS = 2.0
#: Time after the end of a rollout in which reports still go to peers at the full rate.
FULL_RATE_AFTER_END_SECONDS = 3.0


class _RecordSync:
    """State of the exchange of one order's record with the store.

    :ivar status_version: row version of the operator's status row, as last read or
        written.
    :ivar record_version: row version of the routers' record, as last read or written.
    :ivar read_at: when the record was last read or written.
    :ivar retry_at: earliest time of the next call after a failed one.
    :ivar next_state: state that is due to be written; None for none.
    :ivar due_since: when it became due.
    :ivar newer_order: whether the store holds the record of a newer order.
    :ivar finished_at: when this router learned that the rollout has ended.
    :ivar final_era: era of the store in which the final record was last read or
        written.
    """

    def __init__(self) -> None:
        self.status_version = ABSENT
        self.record_version = ABSENT
        self.read_at = -1e9
        self.retry_at = -1e9
        self.next_state: RolloutState | None = None
        self.due_since = 0.0
        self.newer_order = False
        self.finished_at: float | None = None
        self.final_era = 0


class RolloutController:
    """Carries out the operator's rollout orders, together with the other routers.

    Only :meth:`run` and :meth:`sync_records` wait; the other methods return at once.

    :param exposure: bound on the requests sent to a version that may be bad.
    :param peers: returns the incarnations of the other routers that serve.
    :param store_lost: returns whether the store has given no answer for a while.
    :param store_seconds: returns the present time by the store's clock; None when
        unknown.
    :param store_era: returns how often the store has come back from an older copy.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        table: TableService,
        incarnation: IncarnationId,
        exposure: ExposureLimit,
        *,
        peers: Callable[[], Sequence[IncarnationId]],
        store_lost: Callable[[], bool],
        store_seconds: Callable[[], float | None],
        store_era: Callable[[], int] = lambda: 0,
        rng: random.Random | None = None,
    ):
        self._platform_state = platform_state
        self._table = table
        self._incarnation = incarnation
        self._exposure = exposure
        self._peers = peers
        self._store_lost = store_lost
        self._store_seconds = store_seconds
        self._store_era = store_era
        self._rng = rng or random.Random()
        self._trackers_by_service: dict[ServiceName, RolloutTracker] = {}
        self._syncs_by_service: dict[ServiceName, _RecordSync] = {}
        self._first_seen_by_service: dict[ServiceName, dict[VersionName, float]] = {}

    @property
    def needs_full_rate(self) -> bool:
        """Whether to exchange state with peers at the full rate.

        This is so while a rollout is in progress and for a short time after its end.
        """
        now = self._now()
        for service, tracker in self._trackers_by_service.items():
            finished_at = self._syncs_by_service[service].finished_at
            if not tracker.state.is_final:
                return True
            if finished_at is None or now - finished_at < FULL_RATE_AFTER_END_SECONDS:
                return True
        return False

    def tracker_for(self, service: ServiceName, now: float) -> RolloutTracker | None:
        """Return the tracker of a service's newest order; None without an order."""
        versioned = self._platform_state.orders_by_service.get(service)
        if versioned is None:
            return None
        tracker = self._trackers_by_service.get(service)
        if tracker is None or tracker.order_version < versioned.version:
            tracker = RolloutTracker(
                versioned.order, versioned.version, self._exposure, now
            )
            self._trackers_by_service[service] = tracker
            self._syncs_by_service[service] = _RecordSync()
            eliot.log_message(
                "rollout_ordered",
                service=service,
                target=versioned.order.target,
                order=versioned.version,
                seconds=versioned.order.seconds,
            )
        return tracker

    def candidates(
        self, call: Call, servers: Sequence[BackendServer], now: float
    ) -> list[BackendServer]:
        """Return the servers that may get a call under the service's rollout order.

        :param servers: servers of one service.
        """
        if not servers:
            return []
        service = servers[0].service
        tracker = self.tracker_for(service, now)
        first_seen_at = self._first_seen_at(service, servers, now)
        if tracker is not None:
            return tracker.candidates(call, servers)
        allowed = [
            s
            for s in servers
            if now - first_seen_at[s.version] >= NEW_VERSION_HOLD_SECONDS
        ]
        return allowed or list(servers)

    def begin_attempt(
        self, call: Call, server: BackendServer, now: float
    ) -> MeasuredAttempt:
        """Start to measure an attempt that is about to be sent."""
        tracker = self.tracker_for(server.service, now)
        warm = server.warmup_seconds <= 0.0
        has_prompt = call.route.has_prompt
        if tracker is None or tracker.state.is_final:
            return MeasuredAttempt(call.attempt_id, None, 0, now, warm, has_prompt)
        target = server.version == tracker.order.target
        key = CountsKey(call.route.name, server.server_id, target)
        attempt = MeasuredAttempt(
            call.attempt_id, key, tracker.order_version, now, warm, has_prompt
        )
        tracker.begin_attempt(attempt, now)
        return attempt

    def end_attempt(
        self,
        service: ServiceName,
        attempt: MeasuredAttempt,
        result: AttemptResult,
        now: float,
    ) -> None:
        """Add the result of an attempt to the evidence of its order."""
        tracker = self._trackers_by_service.get(service)
        if (
            attempt.key is None
            or tracker is None
            or tracker.order_version != attempt.order_version
        ):
            return
        counts = attempt.count_end(result, now)
        tracker.end_attempt(
            attempt, counts, now, succeeded=result is AttemptResult.ANSWERED
        )

    def reports(self) -> list[RolloutReport]:
        """Return the reports to send to peers, one for each order."""
        now = self._now()
        return [
            tracker.report(now)
            for tracker in self._trackers_by_service.values()
            if tracker.is_record_known
        ]

    def merge(self, peer: IncarnationId, reports: Sequence[RolloutReport]) -> None:
        """Merge a peer's reports, except those of orders that this router lacks."""
        now = self._now()
        for report in reports:
            tracker = self.tracker_for(ServiceName(report.service), now)
            if tracker is None or tracker.order_version != report.order_version:
                continue
            was_bad = tracker.bad_reason
            tracker.merge_report(peer, report, now)
            if tracker.bad_reason and not was_bad:
                self._log(
                    tracker, "rollout_bad", reason=tracker.bad_reason, heard_from=peer
                )

    def tick(self) -> None:
        """Judge each order by its evidence and set its traffic share."""
        now = self._now()
        orders = self._platform_state.orders_by_service
        for service in list(orders):
            tracker = self.tracker_for(service, now)
            old_share, was_bad = tracker.share, tracker.bad_reason
            can_complete = not self._store_lost() and self._target_serves(tracker, now)
            tracker.tick(now, is_store_available=can_complete)
            if tracker.bad_reason and not was_bad:
                self._log(tracker, "rollout_bad", reason=tracker.bad_reason)
            if tracker.share != old_share:
                self._log_share(tracker, old_share)
            sync = self._syncs_by_service[service]
            if tracker.state.is_final and sync.finished_at is None:
                sync.finished_at = now
                sync.final_era = self._store_era()
                self._log(tracker, "rollout_decided", state=tracker.state.value)

    async def run(self) -> None:
        """Judge orders and keep their records in the store until cancelled."""
        await run_together(self._run_ticks, self._run_store)

    async def sync_records(self) -> None:
        """Read and write the records in the store that are due."""
        for service, tracker in list(self._trackers_by_service.items()):
            sync = self._syncs_by_service[service]
            now = self._now()
            is_lost = tracker.state.is_final and sync.final_era < self._store_era()
            if now < sync.retry_at or sync.newer_order:
                continue
            if tracker.state.is_final and not is_lost:
                continue
            try:
                if is_lost:
                    await self._restore_final_record(service, tracker, sync)
                else:
                    await self._sync_record(service, tracker, sync)
            except TransactionConflictError:
                sync.read_at = -1e9
            except PlatformError as error:
                sync.read_at = -1e9
                pause = STORE_RETRY_SECONDS * self._rng.uniform(0.5, 1.5)
                sync.retry_at = self._now() + pause
                self._log(tracker, "rollout_record_failed", reason=str(error))

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self.tick()

    async def _run_store(self) -> None:
        while True:
            await asyncio.sleep(TICK_SECONDS * self._rng.uniform(0.8, 1.2))
            await self.sync_records()

    async def _sync_record(
        self, service: ServiceName, tracker: RolloutTracker, sync: _RecordSync
    ) -> None:
        now = self._now()
        if now - sync.read_at >= RECORD_POLL_SECONDS:
            await self._read_record(service, tracker, sync)
            return
        next_state = tracker.next_state(now, self._peers())
        if next_state is RolloutState.COMPLETED and not self._target_serves(
            tracker, now
        ):
            next_state = None
        if next_state is not sync.next_state:
            sync.next_state, sync.due_since = next_state, now
        if next_state is None or now < sync.due_since + self._write_delay(tracker):
            return
        await self._write_record(service, tracker, sync, next_state)

    async def _read_record(
        self, service: ServiceName, tracker: RolloutTracker, sync: _RecordSync
    ) -> None:
        keys = [rollout_record_key(service), rollout_status_key(service)]
        # Both rows change in one transaction, so that an unchanged record implies an
        # unchanged status row.
        keys_read = keys if sync.read_at < 0.0 else keys[:1]
        rows = await self._table.read(keys_read)
        if (
            len(keys_read) < len(keys)
            and _row_version(rows, keys[0]) != sync.record_version
        ):
            rows = await self._table.read(keys)
            keys_read = keys
        sync.record_version = _row_version(rows, keys[0])
        if keys_read == keys:
            sync.status_version = _row_version(rows, keys[1])
        sync.read_at = self._now()
        record = _decode_row(rows.get(keys[0]))
        if record is None or record.order < tracker.order_version:
            tracker.is_record_known = True
            return
        if record.order > tracker.order_version:
            # This router has yet to see the newer order.
            sync.newer_order = True
            return
        self._apply_store_age(tracker, record)
        tracker.apply_record(record)

    async def _write_record(
        self,
        service: ServiceName,
        tracker: RolloutTracker,
        sync: _RecordSync,
        state: RolloutState,
    ) -> None:
        record = self._next_record(tracker, state)
        keys = rollout_record_key(service), rollout_status_key(service)
        status = encode_status(tracker.order.target, state)
        written = await self._table.transact(
            [
                Write(keys[0], sync.record_version, encode_record(record)),
                Write(keys[1], sync.status_version, status),
            ]
        )
        sync.record_version, sync.status_version = written[keys[0]], written[keys[1]]
        sync.read_at = self._now()
        tracker.apply_record(record)
        self._log(
            tracker, "rollout_written", state=state.value, reason=tracker.bad_reason
        )

    async def _restore_final_record(
        self, service: ServiceName, tracker: RolloutTracker, sync: _RecordSync
    ) -> None:
        """Write the end of a rollout again if a restored store has lost it."""
        era = self._store_era()
        keys = [rollout_record_key(service), rollout_status_key(service)]
        rows = await self._table.read(keys)
        record = _decode_row(rows.get(keys[0]))
        sync.record_version = _row_version(rows, keys[0])
        sync.status_version = _row_version(rows, keys[1])
        is_older = record is None or record.order < tracker.order_version
        if is_older or (
            record.order == tracker.order_version and not record.state.is_final
        ):
            await self._write_record(service, tracker, sync, tracker.state)
        sync.final_era = era

    def _target_serves(self, tracker: RolloutTracker, now: float) -> bool:
        """Return whether some server of the target is in no evacuated zone.

        At the completion the other versions stop at once.
        """
        state, order = self._platform_state, tracker.order
        return not state.evacuations.by_zone or any(
            server.version == order.target
            for server in state.servers_of(order.service, now)
        )

    def _next_record(
        self, tracker: RolloutTracker, state: RolloutState
    ) -> RolloutRecord:
        began_at = 0.0
        store_now = self._store_seconds()
        if tracker.record is not None:
            began_at = tracker.record.began_at
        elif store_now is not None:
            began_at = store_now - tracker.age(self._now())
        replaced = set(tracker.replaced_versions)
        if tracker.record is not None:
            replaced.update(tracker.record.replaced)
        replaced.update(
            server.version
            for server in self._platform_state.servers_by_id.values()
            if server.service == tracker.order.service
            and server.version != tracker.order.target
        )
        return RolloutRecord(
            order=tracker.order_version,
            target=tracker.order.target,
            state=state,
            began_at=began_at,
            replaced=tuple(sorted(replaced)),
        )

    def _apply_store_age(self, tracker: RolloutTracker, record: RolloutRecord) -> None:
        store_now = self._store_seconds()
        if record.began_at and store_now is not None:
            tracker.set_min_age(store_now - record.began_at, self._now())

    def _write_delay(self, tracker: RolloutTracker) -> float:
        """Return the seconds in which routers of lower rank may write first."""
        own = _write_rank(tracker, self._incarnation)
        lower = sum(1 for peer in self._peers() if _write_rank(tracker, peer) < own)
        return WRITE_TURN_SECONDS * min(MAX_WRITE_TURNS, lower)

    def _first_seen_at(
        self, service: ServiceName, servers: Sequence[BackendServer], now: float
    ) -> Mapping[VersionName, float]:
        first_seen_at = self._first_seen_by_service.get(service)
        if first_seen_at is None:
            # Versions that serve when the first call arrives are not new.
            first_seen_at = self._first_seen_by_service[service] = {
                s.version: -1e9 for s in servers
            }
        for server in servers:
            first_seen_at.setdefault(server.version, now)
        return first_seen_at

    def _log_share(self, tracker: RolloutTracker, old_share: float) -> None:
        """Log a changed share, but no small step between the first and the last one."""
        if old_share and tracker.share and abs(tracker.share - old_share) < 0.05:
            return
        self._log(tracker, "rollout_share", share=round(tracker.share, 4))

    @staticmethod
    def _log(tracker: RolloutTracker, message: str, **fields: object) -> None:
        eliot.log_message(
            message,
            service=tracker.order.service,
            order=tracker.order_version,
            **fields,
        )

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _write_rank(tracker: RolloutTracker, incarnation: IncarnationId) -> tuple[int, str]:
    text = f"{tracker.order_version}/{incarnation}"
    return xxhash.xxh32_intdigest(text.encode()), incarnation


def _row_version(rows: Mapping[str, Row], key: str) -> int:
    return rows[key].version if key in rows else ABSENT


def _decode_row(row: Row | None) -> RolloutRecord | None:
    if row is None:
        return None
    try:
        return decode_record(row.value)
    except PlatformError as error:
        eliot.log_message("row_ignored", key=row.key, reason=error.message)
        return None
