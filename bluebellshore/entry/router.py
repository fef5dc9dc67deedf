"""The router of an entry instance, which reaches backend servers directly."""

import asyncio
import time
import uuid
from typing import Any

from aiohttp import web

from bluebellshore import STARTED_AT
from bluebellshore.backend.direct import DirectBackend
from bluebellshore.decisions import DecisionLog, open_decision_log, silent_log
from bluebellshore.entry.admission import Admission
from bluebellshore.entry.attempt_log import AttemptLog
from bluebellshore.entry.budgets import CustomerBudgets
from bluebellshore.entry.dispatch import Dispatcher
from bluebellshore.entry.ejection_log import EjectionLog
from bluebellshore.entry.ingress import Ingress
from bluebellshore.entry.metrics import EntryMetrics
from bluebellshore.entry.metrics_port import MetricsPort
from bluebellshore.entry.peers import PeerExchange
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.request_log import RequestLog
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.entry.router_registry import RouterRegistry
from bluebellshore.entry.settings import EntrySettings
from bluebellshore.entry.watch import StoreWatch
from bluebellshore.errors import SettingsError
from bluebellshore.fleet import BackendServer, Configuration
from bluebellshore.ids import (
    BackendServerId,
    CustomerId,
    IncarnationId,
    InstanceId,
    Tokens,
    ZoneName,
)
from bluebellshore.platform.requests import ANSWER_HEADERS, backend_headers
from bluebellshore.platform.settings import load_settings
from bluebellshore.platform.store import PlatformStore
from bluebellshore.rollouts import Exposure
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.placement import Placer
from bluebellshore.routing.retry_window import WindowedRetryBudget
from bluebellshore.runtime import run_role

__all__ = ["EntryRouter", "serve"]

#: Time for which a stopping router takes new connections: until the platform's
#: second unanswered question whether it is ready, and the clients on their way.
ACCEPT_WHILE_STOPPING_SECONDS = 2.6
#: Kept back from the time until SIGKILL, to settle and to end.
STOP_RESERVE_SECONDS = 0.8
#: Kept back from the time until SIGKILL, to close what is open here.
LAST_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05
TICK_SECONDS = 0.25
#: Age that the configuration is shown with before the store first confirmed one.
MAX_AGE_SECONDS = 1e6
#: Share of the connections that a backend server accepts which routers use together.
CONNECTIONS_SHARE = 0.85
MIN_CONNECTIONS = 2
#: Connections to a backend server whose service states no bound.
DEFAULT_CONNECTIONS = 64


class EntryRouter:
    """Serves callers of the users' platform.

    :ivar address: ``host:port`` of the callers' port.
    :ivar operator_address: that of metrics and state; empty for none.
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
        self._tasks: list[asyncio.Task] = []
        self._ready_runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Begin to serve."""
        settings = self.settings
        self._store = PlatformStore(
            settings.store_address, on_call=self._metrics.store_called
        )
        await self._store.open()
        self._platform_state = PlatformState(settings.server_lapse_seconds, self._log)
        self._watch = StoreWatch(self._store, self._platform_state, self._log)
        self._outliers = OutlierDetector()
        self._ejection_log = EjectionLog(self._outliers, self._log)
        self._loads = LoadTracker(self._outliers)
        self._crashes = CrashTracker()
        instance_id = InstanceId(settings.instance_id)
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
        )
        self._router_registry = RouterRegistry(
            self._store,
            instance_id,
            self.incarnation,
            settings.peer_listen,
            self._peers.add_addresses,
            self._log,
        )
        self._backend = DirectBackend(
            ANSWER_HEADERS, max_connections=self._max_connections
        )
        self._budgets = CustomerBudgets(
            self._store,
            instance_id,
            prepaid=self._prepaid,
            customers=self._customers,
            peers=self._peers,
            store_time=lambda: self._store.time,
            started_at=STARTED_AT,
            incarnation=self.incarnation,
            log=self._log,
            metrics=self._metrics,
        )
        self._peers.loan_server = self._budgets.loan_server
        self._rollouts = RolloutController(
            self._platform_state,
            self._store,
            self.incarnation,
            Exposure(settings.exposure_share, settings.exposure_extra),
            peers=self._peers.serving,
            store_lost=lambda: self._watch.lost,
            store_seconds=self._store_seconds,
        )
        self._peers.rollouts = self._rollouts
        self._admission = Admission(
            self._platform_state,
            self._loads,
            Placer(self._loads, ZoneName(settings.zone)),
            self._outliers,
            self._log,
            self._rollouts,
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
            make_retry_budget=self._retry_window,
            max_routers=self._routers,
            attempt_log=AttemptLog(self._loads, self._log, self._metrics),
        )
        self._ingress = Ingress(
            self._platform_state,
            self._dispatcher.serve,
            memory_bytes=settings.memory_bytes,
            request_log=RequestLog(self._log, self._metrics),
        )
        await self._peers.start()
        await self._start_ready_port()
        await self._start_metrics_port()
        self.address = await self._ingress.start(settings.listen)
        await self._budgets.open()
        self._platform_state.on_configuration = self._configured
        loops = (
            self._watch.run(),
            self._peers.run(),
            self._router_registry.run(),
            self._admission.run(),
            self._rollouts.run(),
            self._tick(),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Leave without cutting a request that is in flight."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        last = began_at + self.settings.stop_seconds - LAST_SECONDS
        end = began_at + self.settings.stop_seconds - STOP_RESERVE_SECONDS
        self.stopping = self._peers.leaving = True
        self._ingress.draining = True
        await asyncio.sleep(ACCEPT_WHILE_STOPPING_SECONDS)
        await self._ingress.close_port()
        self._budgets.leave()
        while self._ingress.active and loop.time() < end:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._log.notice(
            "stop",
            "requests ended" if not self._ingress.active else "no time left",
            seconds=round(loop.time() - began_at, 2),
            unfinished=self._ingress.active,
        )
        try:
            async with asyncio.timeout_at(last):
                await self._budgets.close()
                await self._router_registry.leave()
        except TimeoutError:
            # With the store out, tokens can't be returned: the successor does it.
            self._log.notice("stop", "the store took no leave", lost=self._watch.lost)
        # Callers may have sent more on connections that were open meanwhile.
        self._ingress.close_idle()
        while self._ingress.active and loop.time() < last:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
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

    def reload(self) -> None:
        """Read the settings file again; a bad one changes nothing."""
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
        """Return the state of this process for a dump."""
        configuration = self._platform_state.configuration
        return {
            "role": "entry",
            "instance_id": self.settings.instance_id,
            "incarnation": self.incarnation,
            "stopping": self.stopping,
            "configuration": configuration.number if configuration else None,
            "versions": self._platform_state.versions(),
            "store_lost": self._watch.lost,
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
            "budgets": self._budgets.snapshot(),
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
        server = web.Server(self._answer_ready, access_log=None)
        self._ready_runner = web.ServerRunner(server)
        await self._ready_runner.setup()
        await web.TCPSite(self._ready_runner, host, int(port)).start()

    async def _start_metrics_port(self) -> None:
        """Serve metrics; without the port requests are served all the same."""
        if not self.settings.metrics_listen:
            return
        self._metrics_port = MetricsPort(
            self._metrics.registry, refresh=self._refresh, snapshot=self.snapshot
        )
        try:
            self.operator_address = await self._metrics_port.start(
                self.settings.metrics_listen
            )
        except (OSError, ValueError) as error:
            listen = self.settings.metrics_listen
            self._log.notice("metrics", str(error), listen=listen)

    def _refresh(self) -> None:
        """Set the gauges."""
        metrics, platform_state = self._metrics, self._platform_state
        configuration = platform_state.configuration
        metrics.set_requests(
            active=self._ingress.active, waiting=self._admission.waiting_count
        )
        metrics.set_fleet(
            peers=len(self._peers.alive()),
            servers=platform_state.count_ready(),
            suspected=len(self._outliers.ejected()),
        )
        metrics.set_configuration(
            0 if configuration is None else configuration.number,
            min(self._watch.silent_seconds, MAX_AGE_SECONDS),
        )
        metrics.set_store_lost(self._watch.lost)
        metrics.set_lost_lines(left_out=self._log.left_out, dropped=self._log.dropped)

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        ready = not self.stopping and self._platform_state.configuration is not None
        return web.Response(status=200 if ready else 503)

    async def _tick(self) -> None:
        """Follow what changed of the backend servers."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            self._ejection_log.log_changes()
            # Entries that lapsed are dropped by time.
            self._platform_state.servers_of("", time.monotonic())
            renewed, self._platform_state.restarted_or_removed = (
                self._platform_state.restarted_or_removed,
                [],
            )
            if renewed:
                self._loads.forget_servers(renewed)
                self._backend.forget(renewed)

    def _configured(self, configuration: Configuration) -> None:
        self._loads.configure(configuration.services_by_name.values())

    def _prepaid(self, customer: CustomerId) -> Tokens | None:
        configuration = self._platform_state.configuration
        if configuration is None:
            return None
        known = configuration.customers_by_id.get(customer)
        return None if known is None else known.prepaid_total

    def _customers(self) -> list[CustomerId]:
        configuration = self._platform_state.configuration
        return [] if configuration is None else list(configuration.customers_by_id)

    def _store_seconds(self) -> float | None:
        shown = self._store.time
        if shown is None:
            return None
        return shown.store_seconds + time.monotonic() - shown.local_seconds

    def _routers(self) -> int:
        return max(1 + len(self._peers.alive()), self._router_registry.listed)

    def _max_connections(self, server: BackendServer) -> int:
        configuration = self._platform_state.configuration
        service = configuration and configuration.services_by_name.get(server.service)
        most = service.max_connections if service else 0
        share = (most or DEFAULT_CONNECTIONS) * CONNECTIONS_SHARE / self._routers()
        return max(MIN_CONNECTIONS, int(share))

    def _retry_window(self) -> WindowedRetryBudget:
        settings = self.settings
        return WindowedRetryBudget(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )


def serve() -> None:
    """Serve until SIGTERM, with the settings of the environment.

    :raises SettingsError: they are bad.
    """
    settings = load_settings()
    incarnation = _new_incarnation(settings)
    with open_decision_log(
        settings.instance_id, incarnation, level=settings.log_level
    ) as log:
        run_role(EntryRouter(settings, incarnation=incarnation, log=log), log)


def _new_incarnation(settings: EntrySettings) -> IncarnationId:
    return IncarnationId(f"{settings.instance_id}.{uuid.uuid4().hex[:12]}")
