"""The router process of an entry instance, put together from its parts."""

import asyncio
import time
import uuid
from typing import Any

from aiohttp import web

from bluebellshore import STARTED_AT
from bluebellshore.backend import Backpressure
from bluebellshore.backend.direct import DirectBackend
from bluebellshore.decisions import (
    Belief,
    Contact,
    DecisionLog,
    open_decision_log,
    silent_log,
)
from bluebellshore.entry.admission import Admission
from bluebellshore.entry.attempt_log import AttemptLog
from bluebellshore.entry.background import keep_running
from bluebellshore.entry.budgets import CustomerBudgets
from bluebellshore.entry.caller_log import CallerLog
from bluebellshore.entry.crash_log import CrashLog
from bluebellshore.entry.descriptors import DescriptorShares
from bluebellshore.entry.dispatch import Dispatcher
from bluebellshore.entry.ejection_log import EjectionLog
from bluebellshore.entry.held_bytes import HeldBytes
from bluebellshore.entry.ingress import Ingress
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.entry.metrics_port import MetricsPort
from bluebellshore.entry.peer_selection import silence_limit_seconds
from bluebellshore.entry.peers import PeerExchange
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.refusal_registry import RefusalRegistry
from bluebellshore.entry.request_log import RequestLog
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.entry.room import RoomController
from bluebellshore.entry.router_registry import RouterRegistry
from bluebellshore.entry.settings import EntrySettings
from bluebellshore.entry.side_server import SideServer
from bluebellshore.entry.stop_schedule import StopSchedule
from bluebellshore.entry.watch import StoreWatch
from bluebellshore.entry.zone_log import ZoneLog
from bluebellshore.entry.zone_share_log import ZoneShareLog
from bluebellshore.errors import SettingsError
from bluebellshore.fleet import BackendServer, Configuration
from bluebellshore.ids import (
    BackendServerId,
    CustomerId,
    IncarnationId,
    InstanceId,
    Tokens,
    ZoneName,
    instance_of,
)
from bluebellshore.platform.requests import (
    ANSWER_HEADERS,
    backend_headers,
    read_backpressure,
)
from bluebellshore.platform.settings import load_settings
from bluebellshore.platform.store import PlatformStore
from bluebellshore.rollouts import ExposureLimit
from bluebellshore.routing.backpressure import BackpressureTracker, ServerStatement
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.rate_senders import RateSenders
from bluebellshore.routing.retry_window import WindowedRetryBudget
from bluebellshore.routing.warmup import ColdTolerance, WarmupPolicy
from bluebellshore.routing.zone_placement import ZonePlacer
from bluebellshore.routing.zone_spill import ZoneSpill
from bluebellshore.runtime import run_role
from bluebellshore.traffic import TrafficCounter

__all__ = ["EntryRouter", "serve"]

DRAIN_POLL_SECONDS = 0.05
#: Idle time after which a stopping router closes a caller's connection. A caller that
#: has just connected sends its request within that time.
DRAIN_IDLE_SECONDS = 0.5
SERVER_CHECK_SECONDS = 0.25
#: Heartbeats that a backend server misses until its entry lapses.
HEARTBEATS_UNTIL_LAPSE = 3
#: Time after that in which the lapse is known here.
LAPSE_DELAY_SECONDS = 2.0
#: Largest age of the configuration in metrics, and its age until one is confirmed.
MAX_CONFIGURATION_AGE_SECONDS = 1e6
#: Share of a backend server's connection limit that all routers together may use.
BACKEND_CONNECTIONS_SHARE = 0.85
MIN_BACKEND_CONNECTIONS = 2
#: Connection limit of a backend server whose service sets none.
DEFAULT_MAX_CONNECTIONS = 64


class EntryRouter:
    """Serves callers of the users' platform by calling backend servers.

    :param settings: read from the settings file when left out.
    :param incarnation: unique name of this run of the instance; generated when left
        out.
    :ivar address: ``host:port`` of the port for callers.
    :ivar operator_address: ``host:port`` of metrics and state dump; empty for none.
    :ivar stopping: whether the router was told to stop.
    :ivar stop_requested_at: monotonic seconds from which `stop` counts the grace
        period; None to count it from its call.
    """

    def __init__(
        self,
        settings: EntrySettings | None = None,
        *,
        incarnation: IncarnationId | None = None,
        log: DecisionLog | None = None,
        metrics: EntryMetrics | None = None,
    ):
        self.settings = settings or load_settings()
        self.address = self.settings.listen
        self.incarnation = incarnation or _new_incarnation(self.settings)
        self._log = log or silent_log()
        self._metrics = metrics or EntryMetrics()
        self._metrics_port: MetricsPort | None = None
        self.operator_address = ""
        self.stopping = False
        self.stop_requested_at: float | None = None
        self._tasks: list[asyncio.Task] = []
        self._ready_runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Start all parts and serve callers."""
        settings = self.settings
        self._descriptors = DescriptorShares.of_process(settings.file_descriptors)
        self._store = PlatformStore(
            settings.store_address,
            on_call=self._metrics.store_called,
            on_restored=self._record_restored,
        )
        await self._store.open()
        self._platform_state = PlatformState(settings.server_lapse_seconds, self._log)
        self._watch = StoreWatch(self._store, self._platform_state, self._log)
        self._outliers = OutlierDetector()
        self._ejection_log = EjectionLog(self._outliers, self._log)
        self._loads = LoadTracker(self._outliers)
        self._crashes = CrashTracker(
            self.incarnation,
            self._router_count,
            HEARTBEATS_UNTIL_LAPSE * settings.heartbeat_seconds + LAPSE_DELAY_SECONDS,
        )
        self._crash_log = CrashLog(self._crashes, self._log)
        self._caller_log = CallerLog(self._log, self._metrics)
        instance_id = InstanceId(settings.instance_id)
        self._rate_senders = RateSenders(instance_id)
        self._warmups = WarmupPolicy(
            self._platform_state.cold_seconds,
            self._platform_state.cold_rate,
            ColdTolerance(settings.cold_excess_ratio, settings.cold_extra_requests),
        )
        self._zone_log = ZoneLog(
            self._platform_state, self._warmups, self._loads, self._log
        )
        self._backpressure = BackpressureTracker(
            self._rate_senders.share, self._warmups.limit
        )
        self._peers = PeerExchange(
            address=settings.peer_listen,
            bind=settings.peer_bind,
            seeds=settings.seed_peers,
            instance_id=instance_id,
            incarnation=self.incarnation,
            platform_state=self._platform_state,
            loads=self._loads,
            crashes=self._crashes,
            store_lost=lambda: self._watch.lost,
            log=self._log,
            backpressure=self._backpressure,
            on_statement=self._log_statement,
            max_connections=self._descriptors.peers,
            zone=ZoneName(
                settings.zone if settings.crossing_seconds_per_megabyte else ""
            ),
        )
        self._router_registry = RouterRegistry(
            self._store,
            instance_id,
            self.incarnation,
            settings.peer_listen,
            self._peers.add_addresses,
            self._log,
        )
        self._refusal_registry = RefusalRegistry(
            self._store, self._crashes, self._store_seconds, self._log
        )
        self._backend = DirectBackend(
            ANSWER_HEADERS,
            max_connections=self._max_connections,
            read_backpressure=read_backpressure,
            on_backpressure=self._record_backpressure,
        )
        self._budgets = CustomerBudgets(
            self._store,
            instance_id,
            prepaid=self._prepaid_total,
            customers=self._customer_ids,
            peers=self._peers,
            store_time=lambda: self._store.time,
            started_at=STARTED_AT,
            store_era=lambda: self._store.era,
            incarnation=self.incarnation,
            log=self._log,
            metrics=self._metrics,
        )
        self._peers.loan_server = self._budgets.loan_server
        self._rollouts = RolloutController(
            self._platform_state,
            self._store,
            self.incarnation,
            ExposureLimit(settings.exposure_share, settings.exposure_extra),
            peers=self._peers.serving,
            store_lost=lambda: self._watch.lost,
            store_seconds=self._store_seconds,
            store_era=lambda: self._store.era,
        )
        self._peers.rollouts = self._rollouts
        self._zone_spill = ZoneSpill(
            ZoneName(settings.zone), settings.crossing_seconds_per_megabyte
        )
        self._zone_share_log = ZoneShareLog(self._zone_spill, self._log)
        self._admission = Admission(
            self._platform_state,
            self._loads,
            ZonePlacer(self._loads, self._zone_spill),
            self._outliers,
            self._log,
            self._rollouts,
            self._backpressure,
            self._warmups,
        )
        self._dispatcher = Dispatcher(
            platform_state=self._platform_state,
            loads=self._loads,
            crash_tracker=self._crashes,
            admission=self._admission,
            outliers=self._outliers,
            rollouts=self._rollouts,
            backend=self._backend,
            budgets=self._budgets,
            make_headers=backend_headers,
            make_retry_budget=self._make_retry_budget,
            max_routers=self._router_count,
            attempt_log=AttemptLog(self._loads, self._log, self._metrics),
            held_bytes=HeldBytes(settings.memory_bytes),
        )
        self._ingress = Ingress(
            self._platform_state,
            self._dispatcher.serve,
            memory_bytes=settings.memory_bytes,
            file_descriptors=settings.file_descriptors,
            others_serve=lambda: bool(self._peers.serving()),
            request_log=RequestLog(self._log, self._metrics),
        )
        self._room = self._peers.room = RoomController(
            instance_id,
            ZoneName(settings.zone),
            settings.link_bytes_per_second,
            sources=self._traffic_by_source,
            round_trips=lambda: self._peers.round_trips_seconds,
            connections=lambda: self._ingress.server.connections,
            log=self._log,
        )
        self._ingress.refuse_for_link = self._room.refusal
        await self._peers.start()
        await self._start_ready_port()
        await self._start_metrics_port()
        self.address = await self._ingress.start(settings.listen)
        await self._budgets.open()
        self._platform_state.on_configuration = self._apply_configuration
        loops = {
            "watch": self._watch.run,
            "peers": self._peers.run,
            "registry": self._router_registry.run,
            "refusals": self._refusal_registry.run,
            "admission": self._admission.run,
            "rollouts": self._rollouts.run,
            "room": self._room.run,
            "servers": self._check_servers,
        }
        self._tasks = [
            asyncio.create_task(keep_running(name, loop, self._log))
            for name, loop in loops.items()
        ]

    async def stop(self) -> None:
        """Stop serving, with time for requests in flight to end.

        Accepts all requests until the platform has noticed that the router is not
        ready, then only those that end in the time left, and closes idle connections.
        Waits for requests in flight, settles budgets, waits for callers that still
        receive their answers, and closes everything within `stop_seconds` of the
        settings.
        """
        loop = asyncio.get_running_loop()
        requested_at = self.stop_requested_at
        if requested_at is None:
            schedule = StopSchedule.begin(loop.time(), self.settings.stop_seconds)
        else:
            # The platform counts from a later, unknown time: what can't end by itself
            # would be cut too early. It hasn't sent callers here yet.
            schedule = StopSchedule.begin(
                requested_at, self.settings.stop_seconds, accept_seconds=0.0
            )
        self.stopping = self._peers.leaving = True
        self._rate_senders.leave()
        self._ingress.stop_schedule = schedule
        await asyncio.sleep(max(0.0, schedule.accept_until - loop.time()))
        self._budgets.drain()
        self._ingress.close_idle(DRAIN_IDLE_SECONDS)
        while self._ingress.active and loop.time() < schedule.settle_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            self._ingress.close_idle(DRAIN_IDLE_SECONDS)
        await self._ingress.close_port()
        self._ingress.end_requests(sent=False)
        self._log.notice(
            "stop",
            "all requests ended"
            if not self._ingress.active
            else "no time left to wait for requests",
            seconds=round(loop.time() - schedule.began_at, 2),
            unfinished=self._ingress.active,
        )
        await self._settle(schedule.close_at)
        # Callers may have sent requests on open connections in the meantime.
        self._ingress.close_idle()
        while (
            self._ingress.active or self._ingress.unsent_bytes
        ) and loop.time() < schedule.close_at:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._ingress.end_requests(sent=True)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._ingress.stop(0.1)
        await self._backend.close()
        await self._peers.stop()
        await self._store.close()
        if self._ready_runner is not None:
            await self._ready_runner.cleanup()
        if self._metrics_port is not None:
            await self._metrics_port.stop()
        await self._budgets.abandon()

    async def _settle(self, close_at: float) -> None:
        """Settle budgets and leave the registry; a failure doesn't end the stop.

        :param close_at: time limit in monotonic seconds.
        """
        try:
            async with asyncio.timeout_at(close_at):
                settled, deregistered = await asyncio.gather(
                    self._budgets.close(),
                    self._router_registry.deregister(),
                    return_exceptions=True,
                )
            for failure, reason in (
                (settled, "budgets were not settled; the successor does that"),
                (deregistered, "the router stays in the registry"),
            ):
                if isinstance(failure, BaseException):
                    error = f"{type(failure).__name__}: {failure}"
                    self._log.notice("stop", reason, error=error)
        except TimeoutError:
            # While the store is out, tokens can't be returned, and those of a request
            # in flight aren't known: the successor settles both.
            self._log.notice(
                "stop",
                "settling did not end in time; the successor settles budgets",
                lost=self._watch.lost,
                unfinished=self._ingress.active,
            )

    def reload(self) -> None:
        """Read the settings file again. An invalid file changes nothing."""
        try:
            settings = load_settings()
        except SettingsError as error:
            self._log.reloaded(refused=list(error.problems))
            return
        changed = {
            name: getattr(settings, name)
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        }
        self.settings = settings
        self._log.reloaded(changed=changed)

    def snapshot(self) -> dict[str, Any]:
        """Return the state of this process for a state dump."""
        configuration = self._platform_state.configuration
        return {
            "role": "entry",
            "instance_id": self.settings.instance_id,
            "incarnation": self.incarnation,
            "stopping": self.stopping,
            "configuration": configuration.number if configuration else None,
            "versions": self._platform_state.versions(),
            "evacuated_zones": sorted(self._platform_state.evacuations.by_zone),
            "store_lost": self._watch.lost,
            "store_era": self._store.era,
            "active_requests": self._ingress.active,
            "servers": {
                server_id: self._server_state(server_id)
                for server_id in self._platform_state.servers_by_id
            },
            "suspected": self._outliers.ejected(),
            "waiting_requests": self._admission.waiting_count,
            "lines_left_out": self._log.left_out,
            "lines_dropped": self._log.dropped,
            "peers": [peer.address for peer in self._peers.alive()],
            "zone_shares": self._zone_spill.shares_by_service(),
            "budgets": self._budgets.snapshot(),
            "room": self._room.snapshot(),
        }

    def _traffic_by_source(self) -> dict[str, TrafficCounter]:
        return {
            "callers": self._ingress.server.traffic,
            "servers": self._backend.traffic,
            "peers": self._peers.traffic,
            "store": self._store.traffic,
        }

    def _server_state(self, server_id: BackendServerId) -> dict[str, Any]:
        server = self._platform_state.servers_by_id[server_id]
        view = self._loads.snapshot_of(server_id, time.monotonic())
        return {
            "service": server.service,
            "state": server.state.value,
            "version": server.version,
            "address": server.address,
            "slots": server.slots,
            "running": view.running,
            "oldest_report_seconds": view.oldest_report_age_seconds,
        }

    async def _start_ready_port(self) -> None:
        if not self.settings.ready_listen:
            return
        host, _, port = self.settings.ready_listen.rpartition(":")
        self._ready_runner = web.ServerRunner(
            SideServer(self._answer_readiness, self._descriptors.side)
        )
        await self._ready_runner.setup()
        await web.TCPSite(self._ready_runner, host, int(port)).start()

    async def _start_metrics_port(self) -> None:
        """Serve metrics. Requests are served also when the port is not available."""
        if not self.settings.metrics_listen:
            return
        self._metrics_port = MetricsPort(
            self._metrics.registry,
            refresh=self._set_gauges,
            snapshot=self.snapshot,
            max_connections=self._descriptors.side,
        )
        try:
            self.operator_address = await self._metrics_port.start(
                self.settings.metrics_listen
            )
        except (OSError, ValueError) as error:
            listen = self.settings.metrics_listen
            self._log.notice("metrics", str(error), listen=listen)

    def _set_gauges(self) -> None:
        """Set the gauges from the current state."""
        metrics, platform_state = self._metrics, self._platform_state
        configuration = platform_state.configuration
        metrics.set_requests(
            active=self._ingress.active, waiting=self._admission.waiting_count
        )
        memory = self._ingress.memory
        metrics.set_callers(
            connections=memory.connections, held_bytes=memory.held_bytes
        )
        metrics.set_fleet(
            peers=len(self._peers.alive()),
            servers=platform_state.count_ready(),
            suspected=len(self._outliers.ejected()),
            limited=self._backpressure.limited_count,
        )
        metrics.set_zones(
            zones=len(platform_state.evacuations.by_zone),
            servers=len(self._zone_log.evacuated_servers()),
        )
        metrics.set_cold(
            servers=self._zone_log.cold_count,
            sent=self._warmups.sent_count,
            turned_away=self._warmups.turned_away_count,
        )
        metrics.set_configuration(
            0 if configuration is None else configuration.number,
            min(self._watch.silent_seconds, MAX_CONFIGURATION_AGE_SECONDS),
        )
        metrics.set_room(
            load=self._room.load, out=self._room.is_out, shed=self._room.shed_count
        )
        shares_by_service = self._zone_spill.shares_by_service()
        metrics.set_zone_share(max(shares_by_service.values(), default=0.0))
        metrics.set_store(lost=self._watch.lost, era=self._store.era)
        metrics.set_lost_lines(left_out=self._log.left_out, dropped=self._log.dropped)

    async def _answer_readiness(self, request: web.BaseRequest) -> web.Response:
        ready = not self.stopping and self._platform_state.configuration is not None
        ready = ready and not self._room.is_out
        return web.Response(status=200 if ready else 503)

    async def _check_servers(self) -> None:
        """Log ejections and discard the state of restarted or removed servers."""
        while True:
            await asyncio.sleep(SERVER_CHECK_SECONDS)
            self._ejection_log.log_changes()
            self._zone_share_log.log_changes()
            now = time.monotonic()
            self._update_rate_senders(now)
            # Called to drop the entries whose grace period is over.
            self._platform_state.servers_of("", now)
            self._zone_log.log_changes(now)
            if self._platform_state.evacuations.take_new():
                self._backend.turn_away_waiting(
                    [server.server_id for server in self._zone_log.evacuated_servers()],
                    "the availability zone is evacuated",
                )
            died = self._crashes.settle(
                self._platform_state.servers_by_id, now, store_lost=self._watch.lost
            )
            self._crash_log.log_crashes(died)
            self._crash_log.log_changes()
            self._caller_log.update(self._ingress.memory, now)
            self._backpressure.forget_unlisted(
                self._platform_state.servers_by_id.__contains__, now
            )
            changed_servers, self._platform_state.restarted_or_removed = (
                self._platform_state.restarted_or_removed,
                [],
            )
            if changed_servers:
                self._loads.forget_servers(changed_servers)
                self._warmups.forget(changed_servers)
                self._backend.retire_connections(changed_servers)

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._loads.configure(configuration.services_by_name.values())

    def _record_restored(self, before: int, era: int) -> None:
        self._log.store(
            Contact.RESTORED,
            reason=f"the store came back from an older copy, in era {before} before",
            versions=self._platform_state.versions(),
            era=era,
        )
        self._budgets.note_restored()

    def _record_backpressure(
        self, server: BackendServer, asked: Backpressure, sent_at: float
    ) -> None:
        now = asyncio.get_running_loop().time()
        stated = self._backpressure.record_answer(server, asked, sent_at, now)
        if stated is not None:
            self._log_statement(stated)

    def _log_statement(self, stated: ServerStatement, peer: str = "") -> None:
        """Log what a backend server stated to this router or a peer."""
        belief = Belief.LEAVING
        if not stated.leaving:
            limited = stated.requests_per_second is not None
            belief = Belief.LIMITED if limited else Belief.UNLIMITED
        self._log.backend_server(
            stated.server_id,
            belief,
            reason=f"told by {peer}" if peer else "stated in its answer",
            born=stated.started_unix_ms,
            inputs={"requests_per_second": stated.requests_per_second},
        )

    def _update_rate_senders(self, now: float) -> None:
        peers = self._peers
        self._rate_senders.update(
            [instance_of(incarnation) for incarnation in peers.serving()],
            peers.leaving_instances(),
            registered=self._router_registry.registered_count,
            settle_seconds=silence_limit_seconds(len(peers.peers_by_address)),
            now=now,
        )

    def _prepaid_total(self, customer: CustomerId) -> Tokens | None:
        configuration = self._platform_state.configuration
        if configuration is None:
            return None
        known = configuration.customers_by_id.get(customer)
        return None if known is None else known.prepaid_total

    def _customer_ids(self) -> list[CustomerId]:
        configuration = self._platform_state.configuration
        return [] if configuration is None else list(configuration.customers_by_id)

    def _store_seconds(self) -> float | None:
        store_time = self._store.time
        if store_time is None:
            return None
        return store_time.store_seconds + time.monotonic() - store_time.local_seconds

    def _router_count(self) -> int:
        return max(1 + len(self._peers.alive()), self._router_registry.registered_count)

    def _max_connections(self, server: BackendServer) -> int:
        configuration = self._platform_state.configuration
        service = configuration and configuration.services_by_name.get(server.service)
        limit = service.max_connections if service else 0
        share = (
            (limit or DEFAULT_MAX_CONNECTIONS)
            * BACKEND_CONNECTIONS_SHARE
            / self._router_count()
        )
        return max(MIN_BACKEND_CONNECTIONS, int(share))

    def _make_retry_budget(self) -> WindowedRetryBudget:
        settings = self.settings
        return WindowedRetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )


def serve() -> None:
    """Serve until SIGTERM, with the settings file that the environment names.

    :raises SettingsError: the settings are invalid.
    """
    settings = load_settings()
    incarnation = _new_incarnation(settings)
    with open_decision_log(
        settings.instance_id, incarnation, level=settings.log_level
    ) as log:
        run_role(EntryRouter(settings, incarnation=incarnation, log=log), log)


def _new_incarnation(settings: EntrySettings) -> IncarnationId:
    return IncarnationId(f"{settings.instance_id}.{uuid.uuid4().hex[:12]}")
