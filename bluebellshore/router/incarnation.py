"""A router incarnation: the accounts, links and ports under one incarnation id."""

import asyncio
import contextlib
import functools
import random
import socket
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

import eliot

from bluebellshore.budget import Accountant, AccountantIntervals, make_policy
from bluebellshore.budget.rows import BudgetRow, budget_key, decode_row
from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.bundle.model import Bundle
from bluebellshore.bundle.signing import Verifier
from bluebellshore.cancellation import is_cancelling
from bluebellshore.duties.claims import Claims
from bluebellshore.duties.jobs import Jobs
from bluebellshore.errors import BluebellshoreError
from bluebellshore.ids import BudgetId, CustomerId, IncarnationId, InstanceId, Tokens
from bluebellshore.membership import Announcer
from bluebellshore.metrics import make_metrics
from bluebellshore.moves.tracker import MoveTracker
from bluebellshore.operator_port import OperatorPort, public_settings
from bluebellshore.platform.store import BACKGROUND_CALL_TIMEOUT_SECONDS, PlatformStore
from bluebellshore.router.attempts import AttemptReservations
from bluebellshore.router.dispatch import Dispatcher
from bluebellshore.router.duties import RouterDuties
from bluebellshore.router.gossip import Gossip
from bluebellshore.router.http import Balance, CallerPort
from bluebellshore.router.jobs import JobRunner
from bluebellshore.router.lookups import Lookups
from bluebellshore.router.peers import Peer, PeerPool
from bluebellshore.router.takeover import Takeover
from bluebellshore.routing.affinity import rendezvous_order
from bluebellshore.routing.balancer import (
    Balancer,
    PowerOfTwoBalancer,
    RoundRobinBalancer,
)
from bluebellshore.settings import RouterSettings
from bluebellshore.store import (
    Instance,
    InstanceRole,
    InstanceState,
    TableInstances,
)
from bluebellshore.store.instances import MAX_MISSED_ANNOUNCEMENTS
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.router_link import RouterLink

__all__ = ["RouterIncarnation"]

JUDGE_INTERVAL_SECONDS = 1.0
#: Maximum wait for a bundle and for links before callers are served.
READY_TIMEOUT_SECONDS = 3.0
READY_POLL_SECONDS = 0.02
GAUGE_INTERVAL_SECONDS = 1.0
#: Pause before accounting goes on after an error.
ACCOUNTING_RETRY_SECONDS = 0.5


class RouterIncarnation:
    """Serves callers through the sidecars of the fleet until it is stopped or fenced.

    :ivar address: ``host:port`` for callers.
    :ivar operator_address: ``host:port`` for operators.
    :ivar draining: whether the router is stopping.
    :ivar fenced: set when another router has fenced this incarnation.
    :ivar takeover: opens calls, and passes those of a fenced incarnation on to its
        successor.
    """

    def __init__(self, settings: RouterSettings):
        self.settings = settings
        self.address = settings.listen
        self.operator_address = settings.operator_listen
        self.incarnation = IncarnationId(
            f"{settings.instance_id}.{uuid.uuid4().hex[:12]}"
        )
        self.draining = False
        self.fenced = asyncio.Event()
        self._metrics = make_metrics(settings.statsd_address, "router")
        self._tasks: list[asyncio.Task] = []
        self._caller_port: CallerPort | None = None

    async def start(self) -> None:
        """Start everything and open the port for callers."""
        await self.prepare()
        await self.open_caller_port()

    async def prepare(self, operator_listener: socket.socket | None = None) -> None:
        """Start everything except the port for callers, and wait until it is ready.

        :param operator_listener: listening socket of an earlier incarnation; None to
            bind the operator port.
        """
        settings = self.settings
        self._platform = PlatformStore(
            settings.platform_url, call_seconds=BACKGROUND_CALL_TIMEOUT_SECONDS
        )
        await self._platform.open()
        self._instances = TableInstances(
            self._platform,
            valid_seconds=MAX_MISSED_ANNOUNCEMENTS * settings.announce_seconds,
        )
        verifier = Verifier(bytes.fromhex(key) for key in settings.trust_keys)
        self._keeper = BundleKeeper(verifier, self._platform, self._platform)
        self._move_tracker = MoveTracker(InstanceId(settings.instance_id))
        self._keeper.subscribe(self._bundle_changed)
        self._pool = PeerPool(
            self, self._make_link, silent_seconds=settings.silent_seconds
        )
        self._gossip = Gossip(self._pool, self._keeper, self._move_tracker)
        self._accountant = Accountant(
            self._platform,
            self.incarnation,
            make_policy(settings.allotment_policy, settings.allotment_horizon_seconds),
            prepaid=self._prepaid_total,
            intervals=AccountantIntervals(settle_seconds=settings.settle_seconds),
        )
        self._accountant.on_settled = self._acknowledge
        self._receipt_addresses_by_attempt: dict[str, set[str]] = {}
        self._reservations = AttemptReservations(
            self._accountant, self.incarnation, self._acknowledge
        )
        self._lookups = Lookups()
        self._dispatcher = Dispatcher(
            lookups=self._lookups,
            incarnation=self.incarnation,
            pool=self._pool,
            reservations=self._reservations,
            claims=Claims(self._platform, self._platform),
            move_tracker=self._move_tracker,
            balancer=self._make_balancer(),
            current_bundle=lambda: self._keeper.current,
            gossip=self._gossip,
            retry_share=settings.retry_share,
            credit_bytes=settings.credit_bytes,
        )
        self.takeover = Takeover(
            self._dispatcher, check_fence=self._accountant.check_fence
        )
        self._jobs = Jobs(self._platform, self._platform)
        self._duties = RouterDuties(
            platform=self._platform,
            settings=settings,
            incarnation=self.incarnation,
            move_tracker=self._move_tracker,
            gossip=self._gossip,
            jobs=self._jobs,
            runner=JobRunner(self._dispatcher, lambda: self._keeper.current),
            keeper=self._keeper,
        )
        await self._start_operator_port(operator_listener)
        self._announcer = Announcer(
            self._instances,
            InstanceRole.ROUTER,
            settings,
            address=lambda: self.operator_address,
            is_leaving=lambda: self.draining,
        )
        self._start_tasks()
        await self._wait_until_linked()

    async def open_caller_port(self) -> None:
        """Open the port for callers."""
        settings = self.settings
        self._caller_port = CallerPort(
            listen=settings.listen,
            incarnation=self.incarnation,
            keeper=self._keeper,
            dispatcher=self.takeover,
            jobs=self._jobs,
            budgets=self,
            max_body_bytes=settings.max_body_bytes,
            max_streams=settings.max_streams,
            increment=self._metrics.incr,
        )
        self.address = await self._caller_port.start()

    async def _wait_until_linked(self) -> None:
        """Wait for a bundle and for links to all listed sidecars, up to a limit.

        A load balancer in front of the router sends requests as soon as the port for
        callers is open.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_SECONDS):
                while not (self._keeper.current and self._pool.is_fully_linked()):
                    await asyncio.sleep(READY_POLL_SECONDS)

    async def _start_operator_port(self, listener: socket.socket | None) -> None:
        settings = self.settings
        self._operator_port = OperatorPort(
            settings.operator_listen,
            settings.operator_token_hash,
            snapshot=self.snapshot,
            offer_bundle=self._keeper.offer,
        )
        self.operator_address = await self._operator_port.start(listener)

    def _start_tasks(self) -> None:
        settings = self.settings
        loops = [
            self._announcer.run(),
            self._run_accountant(),
            self._run_periodically(self._poll_instances, settings.list_poll_seconds),
            self._run_periodically(
                self._keeper.poll_once, settings.bundle_poll_seconds
            ),
            self._run_periodically(self._poll_moves, settings.move_poll_seconds),
            self._run_periodically(self._judge_moves, JUDGE_INTERVAL_SECONDS),
            self._run_periodically(self._duties.run_once, settings.duty_seconds),
            self._run_periodically(self._report_gauges, GAUGE_INTERVAL_SECONDS),
        ]
        self._tasks = [asyncio.ensure_future(loop) for loop in loops]

    async def stop(self) -> None:
        """Announce that the router is leaving, then drain and shut down."""
        self.draining = True
        self.takeover.give_up()
        await self._announcer.announce()
        await self.finish()

    async def hand_over_operator_port(self) -> socket.socket:
        """Stop serving operators. :return: the listening socket, which stays open."""
        return await self._operator_port.hand_over()

    async def release_caller_port(self) -> None:
        """Stop accepting connections from callers; open ones continue."""
        await self._caller_port.release_port()

    async def finish(self) -> None:
        """Drain and shut down: end open requests, settle bills, return tokens."""
        await self._caller_port.stop(self.settings.leave_seconds)
        await self._duties.stop()
        await self._dispatcher.stop()
        await self._accountant.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._pool.stop()
        await self._operator_port.stop()
        await self._platform.close()

    def snapshot(self) -> dict[str, Any]:
        """Return the state of this process for a state dump."""
        return {
            "role": "router",
            "instance_id": self.settings.instance_id,
            "incarnation": self.incarnation,
            "draining": self.draining,
            "bundle_number": self._keeper.number,
            "active_requests": self._caller_port.active_requests
            if self._caller_port
            else 0,
            "streams_held_bytes": self._pool.held_bytes,
            "accountant": self._accountant.snapshot(),
            "moves": self._move_tracker.snapshot(),
            "duties": self._duties.snapshot(),
            "sidecars": [_peer_state(p) for p in self._pool.peers_by_address.values()],
            "settings": public_settings(self.settings),
        }

    async def balance(self, customer: CustomerId) -> Balance:
        """Return the balance of a customer's budget."""
        budget = self._keeper.current.customers[customer].budget
        prepaid_total = self._prepaid_total(budget) or Tokens(0)
        key = budget_key(budget)
        rows = await self._platform.read([key])
        row = decode_row(rows[key], BudgetRow) if key in rows else BudgetRow()
        held = sum(allotment.outstanding for allotment in row.allotments.values())
        return Balance(
            budget=budget,
            prepaid_total=prepaid_total,
            settled=row.settled,
            held=held,
            available=max(prepaid_total - row.settled - held, 0),
        )

    # Events of links

    def peer_opened(self, peer: Peer) -> None:
        """Send a newly connected sidecar the state that it needs."""
        self._gossip.add_initial_state(peer.frame)
        self._accountant.request_listing(peer.incarnation)

    def peer_frame(self, peer: Peer, frame: pb.SidecarFrame) -> None:
        """Handle the receipts, gossip and lookup replies of a frame."""
        for receipt in frame.receipts:
            addresses = self._receipt_addresses_by_attempt.setdefault(
                receipt.attempt, set()
            )
            addresses.add(peer.address)
            self._reservations.settle(receipt)
        self._gossip.handle_frame(peer, frame)
        self._lookups.handle_replies(peer, frame.holdings)

    def peer_heartbeat(self, peer: Peer) -> None:
        """Add this router's state to a heartbeat."""
        self._gossip.add_heartbeat_state(peer.frame)

    def peer_incarnation_gone(self, incarnation: IncarnationId) -> None:
        """Release the reservations and state of a sidecar incarnation that ended."""
        self._reservations.release_sidecar(incarnation)
        self._gossip.forget_sidecar(incarnation)

    def _acknowledge(self, attempt: str) -> None:
        """Acknowledge the receipt of an attempt to each sidecar that sent it."""
        for address in self._receipt_addresses_by_attempt.pop(attempt, ()):
            peer = self._pool.peers_by_address.get(address)
            if peer is not None and peer.connected:
                peer.frame.acked_receipts.append(attempt)
                peer.notify()

    # Background tasks

    async def _run_accountant(self) -> None:
        instance_id = InstanceId(self.settings.instance_id)
        open_row = functools.partial(self._accountant.open, instance_id)
        while not await self._run_step(open_row):
            await asyncio.sleep(ACCOUNTING_RETRY_SECONDS)
        # An unreadable row must not end accounting.
        while not await self._run_step(self._accountant.run):
            await asyncio.sleep(ACCOUNTING_RETRY_SECONDS)
        if self._accountant.fenced:
            eliot.log_message("fenced", incarnation=self.incarnation)
            self.fenced.set()

    async def _run_periodically(
        self, step: Callable[[], Awaitable[None]], seconds: float
    ):
        while True:
            await self._run_step(step)
            await asyncio.sleep(seconds * random.uniform(0.9, 1.1))

    async def _run_step(self, step: Callable[[], Awaitable[None]]) -> bool:
        """Run a step of a background loop, and log its failure.

        :return: whether the step succeeded.
        """
        try:
            await step()
        except BluebellshoreError as error:
            eliot.log_message(
                "step_failed", step=error.step, peer=error.peer, reason=str(error)
            )
            return False
        except (Exception, asyncio.CancelledError):
            if is_cancelling():
                raise
            eliot.write_traceback()
            return False
        return True

    async def _poll_instances(self) -> None:
        listed_by_address = {
            instance.address: instance
            for instance in await self._instances.fetch()
            if instance.role is InstanceRole.SIDECAR
        }
        now = asyncio.get_running_loop().time()
        for peer in self._pool.peers_by_address.values():
            instance = listed_by_address.get(peer.address)
            if instance is None and peer.listed:
                peer.unlisted_at = now
            peer.listed = instance is not None
            peer.leaving = bool(instance and instance.state is InstanceState.LEAVING)
        for instance in self._select_sidecars(list(listed_by_address.values())):
            if instance.address not in self._pool.peers_by_address:
                self._pool.add(instance.instance_id, instance.address)
        self._pool.remove_unlisted(now)

    def _select_sidecars(self, instances: list[Instance]) -> list[Instance]:
        """Return the sidecars to which this router keeps links."""
        size = self.settings.subset_size
        if len(instances) <= size:
            return instances
        return rendezvous_order(self.settings.instance_id.encode(), instances)[:size]

    async def _poll_moves(self) -> None:
        keys = self._move_tracker.undecided_row_keys()
        if keys:
            self._move_tracker.apply_rows((await self._platform.read(keys)).values())

    async def _judge_moves(self) -> None:
        loop = asyncio.get_running_loop()
        for verdict in self._move_tracker.judge(loop.time(), time.time()):
            eliot.log_message("verdict", move=verdict.move, reason=verdict.reason)
            self._gossip.broadcast_verdict(verdict)
            await self._duties.record_verdict(verdict)

    async def _report_gauges(self) -> None:
        accountant = self._accountant.snapshot()
        active_requests = self._caller_port.active_requests if self._caller_port else 0
        self._metrics.gauge("requests.active", active_requests)
        self._metrics.gauge(
            "sidecars.connected", len(list(self._pool.connected_peers()))
        )
        self._metrics.gauge("bundle.number", self._keeper.number)
        self._metrics.gauge("bills.unsettled", accountant["unsettled"])
        self._metrics.gauge("platform.out", int(accountant["platform_out"]))

    # Callbacks and factories

    def _bundle_changed(self, bundle: Bundle) -> None:
        eliot.log_message("bundle_in_force", number=bundle.number)
        self._move_tracker.apply_bundle(bundle)

    def _prepaid_total(self, budget: BudgetId) -> Tokens | None:
        bundle = self._keeper.current
        definition = bundle.budgets.get(budget) if bundle else None
        return definition.prepaid_total if definition else None

    def _make_link(self, address: str, pool: PeerPool) -> RouterLink:
        settings = self.settings
        hello = pb.RouterHello(
            incarnation=self.incarnation,
            instance_id=settings.instance_id,
            zone=settings.zone,
        )
        return RouterLink(
            address,
            hello,
            pool,
            token=settings.link_token,
            heartbeat_seconds=settings.heartbeat_seconds,
            silent_seconds=settings.silent_seconds,
        )

    def _make_balancer(self) -> Balancer:
        if self.settings.balancer == "round-robin":
            return RoundRobinBalancer()
        return PowerOfTwoBalancer(random.Random(), self.settings.zone)


def _peer_state(peer: Peer) -> dict[str, Any]:
    return {
        "instance_id": peer.instance_id,
        "address": peer.address,
        "incarnation": peer.incarnation,
        "version": peer.hello.version,
        "connected": peer.connected,
        "leaving": peer.leaving,
        "draining": peer.load.draining,
        "running": peer.load.running,
        "queued": peer.load.queued,
        "held_bytes": peer.load.held_bytes,
        "bundle_number": peer.bundle_number,
        "streams": len(peer.streams),
        "frames_received": peer.link.frames_received if peer.link else 0,
    }
