"""The router of an entry instance, which reaches backend servers directly."""

import asyncio
import time
import uuid
from typing import Any

import eliot
from aiohttp import web

from bluebellshore.backend.direct import DirectBackend
from bluebellshore.entry.admission import Admission
from bluebellshore.entry.budgets import CustomerBudgets
from bluebellshore.entry.dispatch import Dispatcher
from bluebellshore.entry.ingress import Ingress
from bluebellshore.entry.knowledge import Knowledge
from bluebellshore.entry.members import Members
from bluebellshore.entry.peers import Peers
from bluebellshore.entry.rollouts import Rollouts
from bluebellshore.entry.settings import EntrySettings
from bluebellshore.entry.watch import StoreWatch
from bluebellshore.errors import SettingsError
from bluebellshore.fleet import BackendServer, Configuration
from bluebellshore.ids import CustomerId, IncarnationId, InstanceId, Tokens, ZoneName
from bluebellshore.platform.requests import ANSWER_HEADERS, backend_headers
from bluebellshore.platform.settings import load_settings
from bluebellshore.platform.store import PlatformStore
from bluebellshore.rollouts import Exposure
from bluebellshore.routing.load import LoadBook
from bluebellshore.routing.placement import Placer
from bluebellshore.routing.retry_window import RetryWindow
from bluebellshore.routing.suspicion import Suspicion

__all__ = ["EntryRouter"]

#: Time for which a stopping router takes new connections: until the platform's
#: second unanswered question whether it is ready, and the clients on their way.
LEAVE_SECONDS = 2.6
#: Kept back from the time until SIGKILL, to settle and to end.
STOP_RESERVE_SECONDS = 0.8
POLL_SECONDS = 0.05
TICK_SECONDS = 0.25
#: Share of the connections that a backend server accepts which routers use together.
CONNECTIONS_SHARE = 0.85
MIN_CONNECTIONS = 2
#: Connections to a backend server whose service states no bound.
DEFAULT_CONNECTIONS = 64


class EntryRouter:
    """Serves callers of the users' platform.

    :ivar address: ``host:port`` of the callers' port.
    """

    def __init__(self, settings: EntrySettings | None = None):
        self.settings = settings or load_settings()
        self.address = self.settings.listen
        self.incarnation = IncarnationId(
            f"{self.settings.instance_id}.{uuid.uuid4().hex[:12]}"
        )
        self.stopping = False
        self._tasks: list[asyncio.Task] = []
        self._ready_runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Begin to serve."""
        settings = self.settings
        eliot.log_message(
            "starting", instance=settings.instance_id, incarnation=self.incarnation
        )
        self._store = PlatformStore(settings.store_address)
        await self._store.open()
        self._knowledge = Knowledge(settings.server_lapse_seconds)
        self._watch = StoreWatch(self._store, self._knowledge)
        self._suspicion = Suspicion()
        self._book = LoadBook(self._suspicion)
        instance_id = InstanceId(settings.instance_id)
        self._peers = Peers(
            address=settings.peer_listen,
            seeds=settings.seed_peers,
            instance_id=instance_id,
            incarnation=self.incarnation,
            knowledge=self._knowledge,
            book=self._book,
            store_lost=lambda: self._watch.lost,
        )
        self._members = Members(
            self._store,
            instance_id,
            self.incarnation,
            settings.peer_listen,
            self._peers.meet,
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
            incarnation=self.incarnation,
        )
        self._peers.lender = self._budgets.lender
        self._rollouts = Rollouts(
            self._knowledge,
            self._store,
            self.incarnation,
            Exposure(settings.exposure_share, settings.exposure_extra),
            peers=self._peers.serving,
            store_lost=lambda: self._watch.lost,
            store_seconds=self._store_seconds,
        )
        self._peers.rollouts = self._rollouts
        self._admission = Admission(
            self._knowledge,
            self._book,
            Placer(self._book, ZoneName(settings.zone)),
            self._suspicion,
            self._rollouts,
        )
        self._dispatcher = Dispatcher(
            knowledge=self._knowledge,
            book=self._book,
            admission=self._admission,
            suspicion=self._suspicion,
            rollouts=self._rollouts,
            backend=self._backend,
            budgets=self._budgets,
            headers=backend_headers,
            retry_window=self._retry_window,
            routers=self._routers,
        )
        self._ingress = Ingress(
            self._knowledge,
            self._dispatcher.serve,
            memory_bytes=settings.memory_bytes,
        )
        await self._peers.start()
        await self._start_ready_port()
        self.address = await self._ingress.start(settings.listen)
        await self._budgets.open()
        self._knowledge.on_configuration = self._configured
        loops = (
            self._watch.run(),
            self._peers.run(),
            self._members.run(),
            self._admission.run(),
            self._rollouts.run(),
            self._tick(),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def stop(self) -> None:
        """Leave without cutting a request that is in flight."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.settings.stop_seconds - STOP_RESERVE_SECONDS
        self.stopping = self._peers.leaving = True
        self._ingress.leaving = True
        await asyncio.sleep(LEAVE_SECONDS)
        await self._ingress.close_port()
        while self._ingress.active and loop.time() < end:
            await asyncio.sleep(POLL_SECONDS)
        eliot.log_message("leaving", unfinished=self._ingress.active)
        await self._budgets.close()
        await self._members.leave()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._ingress.stop(0.1)
        await self._backend.close()
        await self._peers.stop()
        await self._store.close()
        if self._ready_runner is not None:
            await self._ready_runner.cleanup()

    def reload(self) -> None:
        """Read the settings file again; a bad one changes nothing."""
        try:
            self.settings = load_settings()
        except SettingsError as error:
            eliot.log_message("settings_refused", problems=list(error.problems))
            return
        eliot.log_message("reloaded")

    def snapshot(self) -> dict[str, Any]:
        """Return the state of this process for a dump."""
        configuration = self._knowledge.configuration
        return {
            "role": "entry",
            "instance_id": self.settings.instance_id,
            "incarnation": self.incarnation,
            "stopping": self.stopping,
            "configuration": configuration.number if configuration else None,
            "versions": self._knowledge.versions(),
            "store_lost": self._watch.lost,
            "active_requests": self._ingress.active,
            "peers": [peer.address for peer in self._peers.alive()],
            "budgets": self._budgets.snapshot(),
        }

    async def _start_ready_port(self) -> None:
        if not self.settings.ready_listen:
            return
        host, _, port = self.settings.ready_listen.rpartition(":")
        server = web.Server(self._answer_ready, access_log=None)
        self._ready_runner = web.ServerRunner(server)
        await self._ready_runner.setup()
        await web.TCPSite(self._ready_runner, host, int(port)).start()

    async def _answer_ready(self, request: web.BaseRequest) -> web.Response:
        ready = not self.stopping and self._knowledge.configuration is not None
        return web.Response(status=200 if ready else 503)

    async def _tick(self) -> None:
        """Follow what changed of the backend servers."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            # Entries that lapsed are dropped by time.
            self._knowledge.servers_of("", time.monotonic())
            renewed, self._knowledge.renewed = self._knowledge.renewed, []
            if renewed:
                self._book.forget(renewed)
                self._backend.forget(renewed)

    def _configured(self, configuration: Configuration) -> None:
        self._book.configure(configuration.services_by_name.values())

    def _prepaid(self, customer: CustomerId) -> Tokens | None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return None
        known = configuration.customers_by_id.get(customer)
        return None if known is None else known.prepaid_total

    def _customers(self) -> list[CustomerId]:
        configuration = self._knowledge.configuration
        return [] if configuration is None else list(configuration.customers_by_id)

    def _store_seconds(self) -> float | None:
        shown = self._store.time
        if shown is None:
            return None
        return shown.store_seconds + time.monotonic() - shown.local_seconds

    def _routers(self) -> int:
        return max(1 + len(self._peers.alive()), self._members.listed)

    def _max_connections(self, server: BackendServer) -> int:
        configuration = self._knowledge.configuration
        service = configuration and configuration.services_by_name.get(server.service)
        most = service.max_connections if service else 0
        share = (most or DEFAULT_CONNECTIONS) * CONNECTIONS_SHARE / self._routers()
        return max(MIN_CONNECTIONS, int(share))

    def _retry_window(self) -> RetryWindow:
        settings = self.settings
        return RetryWindow(
            settings.retry_ratio, settings.retry_extra, settings.retry_window_seconds
        )
