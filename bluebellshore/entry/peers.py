"""Gossip between entry routers.

Each router calls some of its peers in every round. A call and its answer
carry the state of both routers: requests in flight, cached prompt parts, results and
crashes of backend servers, rollouts and, for a router without the store, table rows.
"""

import asyncio
import math
import random
import time
from collections import deque
from collections.abc import Callable

import eliot
import grpc
import msgspec

from bluebellshore.budget.lent import LoanReport
from bluebellshore.decisions import Contact, DecisionLog, silent_log
from bluebellshore.entry.crash_messages import (
    read_answered_parts,
    read_answered_requests,
    read_blames,
    read_crashes,
    read_refusals,
)
from bluebellshore.entry.descriptors import DescriptorShares
from bluebellshore.entry.evacuation_messages import read_evacuations, write_evacuations
from bluebellshore.entry.evidence_rounds import EvidenceRounds
from bluebellshore.entry.loan_server import LoanServer
from bluebellshore.entry.loans import LOAN_CALL_TIMEOUT_SECONDS, Loan
from bluebellshore.entry.message_values import is_count
from bluebellshore.entry.peer_channels import PeerChannels, server_options
from bluebellshore.entry.peer_selection import (
    EXCHANGE_INTERVAL_SECONDS,
    MAX_PEERS_PER_ROUND,
    is_alive,
    peer_to_ask,
    peers_to_call,
)
from bluebellshore.entry.peer_zones import addresses_to_tell, is_far, parts_to_tell
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.rollout_messages import read_reports, write_reports
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.entry.room import RoomController
from bluebellshore.entry.statement_messages import read_statements, write_statements
from bluebellshore.errors import InsufficientBudgetError, LinkError
from bluebellshore.ids import (
    BackendServerId,
    CustomerId,
    IncarnationId,
    InstanceId,
    PartId,
    Tokens,
    ZoneName,
)
from bluebellshore.routing.backpressure import BackpressureTracker, ServerStatement
from bluebellshore.routing.crash_tracker import CrashTracker
from bluebellshore.routing.load import CachedPart, LoadReport, LoadTracker, ServerLoad
from bluebellshore.routing.results import ResultCounts
from bluebellshore.store import Row, TableChange
from bluebellshore.traffic import TrafficCounter
from bluebellshore.wire import peer_pb2 as pb
from bluebellshore.wire import peer_pb2_grpc

__all__ = ["Peer", "PeerExchange"]

#: Longest pause between rounds while there is nothing new to send.
MAX_IDLE_INTERVAL_SECONDS = 0.6
#: Timeout of a call to a peer.
CALL_TIMEOUT_SECONDS = 0.6
#: Rounds whose updates are kept for peers that were not called in them.
MAX_KEPT_ROUNDS = 64
#: Timeout of a call in which a peer is asked for rows. It is made beside the others, so
#: that a large configuration on a small instance's link holds up none of them.
ASK_TIMEOUT_SECONDS = 1.5
#: Longest wait for tokens that a peer may ask of a lender.
MAX_LOAN_WAIT_SECONDS = 0.5
#: Failed calls in a row after which the connection to a peer is opened again, as it may
#: be broken without either end having noticed.
FAILURES_TO_RECONNECT = 2
#: Exchanges whose round trips are kept.
MAX_ROUND_TRIPS = 2 * MAX_PEERS_PER_ROUND
#: Longest backoff between calls to a peer that does not answer.
MAX_BACKOFF_SECONDS = 2.0


class Peer(msgspec.Struct):
    """Another router as known to this one.

    :param address: ``host:port`` at which the router takes calls of its peers.
    :param seen_at: monotonic seconds of the last call or answer from the peer.
    :param in_contact: whether the decision log last reported contact with the peer.
    :param failure: why the last failed call got no answer.
    :param failures: failed calls in a row.
    :param next_at: monotonic seconds before which the peer is not called.
    :param leaving: whether the peer is shutting down.
    :param last_round_sent: number of the last round whose updates were sent to it.
    :param evidence_confirmed: number of the last evidence on crashes that it heard.
    :param evidence_heard: number of the last evidence that was heard from it.
    :param configuration: number of the configuration in force there; -1 for none.
    :param store_lost: whether it lacks the store.
    :param asked_at: monotonic seconds at which it was last asked for rows.
    :param zone: its availability zone; empty if unknown.
    :param told_addresses: see :class:`ZonePeer`, as for the next two.
    """

    address: str
    incarnation: IncarnationId = IncarnationId("")
    instance_id: InstanceId = InstanceId("")
    seen_at: float = -1e9
    in_contact: bool = False
    failure: str = ""
    failures: int = 0
    next_at: float = 0.0
    leaving: bool = False
    last_round_sent: int = 0
    evidence_confirmed: int = 0
    evidence_heard: int = 0
    configuration: int = -1
    store_lost: bool = False
    asked_at: float = -1e9
    zone: ZoneName = ZoneName("")
    told_addresses: set[str] = msgspec.field(default_factory=set)
    told_to: IncarnationId = IncarnationId("")
    told_at: float = -1e9


class _UpdateRound(msgspec.Struct, frozen=True):
    """Updates of one round, which are sent to each peer once.

    :param number: consecutive number of the round.
    """

    number: int
    report: LoadReport


class PeerExchange(peer_pb2_grpc.PeersServicer):
    """Exchanges state with peers, and carries loans of tokens between routers.

    :param address: ``host:port`` at which peers reach this router; empty for none.
    :param seeds: addresses of peers to begin with.
    :param store_lost: returns whether this router lacks the store, in which case peers
        send it table rows.
    :param bind: ``host:port`` to listen on if that is not `address`.
    :param on_statement: called with each new statement of a backend server that a peer
        told, and the peer's address.
    :param max_connections: open connections of peers to this router.
    :param zone: zone of this router if peers in other zones are told less; else empty.
    :ivar leaving: whether this router is shutting down; it lends no more tokens.
    :ivar round_trips_seconds: times of the last exchanges that this router began, until
        their answer or their failure.
    """

    def __init__(
        self,
        *,
        address: str,
        seeds: tuple[str, ...],
        instance_id: InstanceId,
        incarnation: IncarnationId,
        platform_state: PlatformState,
        loads: LoadTracker,
        crashes: CrashTracker | None = None,
        store_lost: Callable[[], bool],
        log: DecisionLog | None = None,
        bind: str = "",
        backpressure: BackpressureTracker | None = None,
        on_statement: Callable[[ServerStatement, str], None] = lambda *arguments: None,
        max_connections: int = DescriptorShares().peers,
        zone: ZoneName = ZoneName(""),  # noqa: B008 (a string)
    ):
        self._max_connections = max_connections
        self._zone = zone
        self._backpressure = backpressure or BackpressureTracker()
        self._on_statement = on_statement
        self._log = log or silent_log()
        self._address = address
        self._bind = bind or address
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._platform_state = platform_state
        self._loads = loads
        self._crashes = CrashTracker() if crashes is None else crashes
        self._evidence = EvidenceRounds(self._crashes)
        self._store_lost = store_lost
        self._server: grpc.aio.Server | None = None
        self._channels = PeerChannels()
        self._recent_updates: deque[_UpdateRound] = deque(maxlen=MAX_KEPT_ROUNDS)
        self._round_number = 0
        #: Monotonic seconds since which a peer is known to have a newer configuration.
        self._outdated_since = math.inf
        #: Call in progress in which a peer is asked for rows.
        self._asking: asyncio.Task | None = None
        self.peers_by_address: dict[str, Peer] = {}
        self.leaving = False
        self.round_trips_seconds: deque[float] = deque(maxlen=MAX_ROUND_TRIPS)
        #: Lends this router's tokens; None until the budgets exist.
        self.loan_server: LoanServer | None = None
        #: Source and receiver of the room of instances; None until it is set.
        self.room: RoomController | None = None
        #: Source and receiver of reports on rollouts; None until it is set.
        self.rollouts: RolloutController | None = None
        self.add_addresses(seeds)

    def add_addresses(self, addresses: list[str] | tuple[str, ...]) -> None:
        """Add the addresses of routers that may exist."""
        for address in addresses:
            if address and address != self._address:
                self.peers_by_address.setdefault(address, Peer(address))

    def alive(self) -> list[Peer]:
        """Return the peers that count as alive."""
        now = time.monotonic()
        peers = self.peers_by_address.values()
        return [peer for peer in peers if is_alive(peer, len(peers), now)]

    @property
    def traffic(self) -> TrafficCounter:
        """Bytes of exchanges, and of loans that this router asks for."""
        return self._channels.traffic

    async def start(self) -> None:
        """Listen for calls of peers."""
        if not self._address:
            return
        self._server = grpc.aio.server(options=server_options(self._max_connections))
        peer_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._bind)
        await self._server.start()

    async def stop(self) -> None:
        """Close all connections and stop listening; no peer is called any more."""
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)
        await self._channels.close()
        if self._server is not None:
            await self._server.stop(0)

    async def run(self) -> None:
        """Run a round of exchanges at each interval until cancelled."""
        last_round_at = 0.0
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_SECONDS * random.uniform(0.8, 1.2))
            now = time.monotonic()
            self._log_lost_contacts(now)
            round_before = self._round_number
            report = self._collect_updates()
            busy = self._round_number != round_before or self._evidence.is_new
            busy = busy or report.loads_by_server
            busy = busy or self._store_lost()
            busy = busy or (self.rollouts is not None and self.rollouts.needs_full_rate)
            # With many peers each one is called rarely anyway.
            few_peers = len(self.peers_by_address) <= 2 * MAX_PEERS_PER_ROUND
            if (
                few_peers
                and not busy
                and now - last_round_at < MAX_IDLE_INTERVAL_SECONDS
            ):
                continue
            last_round_at = now
            due = peers_to_call(self.peers_by_address.values(), now)
            asked = self._choose_peer_to_ask(due, now)
            if asked is not None:
                self._asking = asyncio.create_task(self._ask(asked))
            calls = [self._exchange_with(p, asks=False) for p in due if p is not asked]
            if calls:
                await asyncio.gather(*calls)

    async def _ask(self, peer: Peer) -> None:
        try:
            await self._exchange_with(peer, asks=True)
        except Exception as error:
            eliot.write_traceback()
            reason = f"{type(error).__name__}: {error}"
            self._log.notice("loop", reason, loop="peers", peer=peer.address)

    def _choose_peer_to_ask(self, due: list[Peer], now: float) -> Peer | None:
        """Return the peer that is asked for rows; None for none, or if one is asked."""
        if self._asking is not None and not self._asking.done():
            return None
        number = self._configuration_number
        newest = max((peer.configuration for peer in self.alive()), default=-1)
        if newest <= number:
            self._outdated_since = math.inf
        else:
            self._outdated_since = min(self._outdated_since, now)
        asked = peer_to_ask(
            due,
            configuration=number,
            store_lost=self._store_lost(),
            outdated_seconds=now - self._outdated_since,
        )
        if asked is not None:
            asked.asked_at = now
        return asked

    @property
    def _configuration_number(self) -> int:
        configuration = self._platform_state.configuration
        return -1 if configuration is None else configuration.number

    def _collect_updates(self) -> LoadReport:
        """Keep what is new as a round of updates. :return: the report on load."""
        report = self._loads.take_report()
        if report.parts or report.results_by_server:
            self._round_number += 1
            self._recent_updates.append(_UpdateRound(self._round_number, report))
        self._evidence.collect()
        return report

    async def Exchange(  # noqa: N802 (name of the generated interface)
        self, request: pb.PeerState, context: grpc.aio.ServicerContext
    ) -> pb.PeerReply:
        """Merge a peer's state, and answer with this router's state.

        A peer without the store also gets the table rows that it lacks, and one with an
        older configuration gets the newer one: the store may have come back without it.
        """
        self.traffic.received_bytes += request.ByteSize()
        peer = self._merge_state(request)
        reply = pb.PeerReply(state=self._state_for(peer))
        self.traffic.sent_bytes += reply.ByteSize()
        if peer is not None:
            # Updates in an answer that is lost are not sent again: these are hints.
            peer.last_round_sent = self._round_number
            if not request.HasField("evidence_heard"):
                # An older build doesn't confirm what it heard.
                peer.evidence_confirmed = self._evidence.number
        row = self._platform_state.configuration_row
        if (
            row is not None
            and request.HasField("configuration")
            and request.configuration < self._platform_state.configuration.number
        ):
            reply.configuration.CopyFrom(
                pb.TableRow(key=row.key, version=row.version, value=row.value)
            )
        if request.store_lost:
            versions = {item.table: item.version for item in request.versions}
            for table, change in self._platform_state.changes_since(versions).items():
                reply.tables.append(_encode_table_rows(table, change))
        return reply

    def _merge_state(self, state: pb.PeerState) -> Peer | None:
        """Merge a peer's state. :return: the peer; None when it has no address."""
        self.add_addresses([state.address, *state.peers])
        incarnation = IncarnationId(state.incarnation)
        peer = self.peers_by_address.get(state.address)
        if peer is not None:
            self._record_contact(peer, incarnation)
            peer.instance_id = InstanceId(state.instance_id)
            peer.leaving = state.leaving
            peer.zone = ZoneName(state.zone)
            if state.evidence_since <= peer.evidence_heard:
                peer.evidence_heard = max(peer.evidence_heard, state.evidence_number)
            if state.HasField("evidence_heard"):
                heard = state.evidence_heard_from == self._incarnation
                peer.evidence_confirmed = state.evidence_heard if heard else 0
        now = time.monotonic()
        self._crashes.merge_reports(
            read_crashes(state, now),
            now,
            read_answered_parts(state, now),
            read_blames(state, now),
        )
        self._crashes.merge_refusals(
            read_refusals(state, now), now, read_answered_requests(state, now)
        )
        self._platform_state.merge_evacuations(
            read_evacuations(state), now, source=state.address
        )
        for stated in self._backpressure.merge(read_statements(state, now)):
            self._on_statement(stated, state.address)
        self._loads.merge_report(incarnation, _decode_load_report(state), now)
        if self.room is not None:
            self.room.merge(state)
        if self.rollouts is not None:
            self.rollouts.merge(incarnation, read_reports(state))
        return peer

    def reachable(self) -> list[IncarnationId]:
        """Return the incarnations of the peers that are alive."""
        return [peer.incarnation for peer in self.alive() if peer.incarnation]

    def leaving_instances(self) -> list[InstanceId]:
        """Return the instances of the peers that are shutting down."""
        peers = self.peers_by_address.values()
        return [peer.instance_id for peer in peers if peer.leaving]

    def serving(self) -> list[IncarnationId]:
        """Return the incarnations of the peers that are alive and not leaving."""
        alive = [peer for peer in self.alive() if not peer.leaving]
        return [peer.incarnation for peer in alive if peer.incarnation]

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Ask a router for a loan. :return: the tokens lent.

        :raises LinkError: no answer came; the router may have lent the tokens.
        """
        request = pb.LoanRequest(
            name=loan.name,
            customer=loan.customer,
            tokens=loan.tokens,
            wait_seconds=loan.wait_seconds,
            waiting=loan.waiting,
            ahead=loan.ahead,
        )
        reply = await self._call(peer, "Borrow", request, LOAN_CALL_TIMEOUT_SECONDS)
        if reply.exhausted:
            raise InsufficientBudgetError(
                "the lender's budget is exhausted", step="peers.Borrow", peer=peer
            )
        return Tokens(reply.tokens)

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Tell a router what the loan that it gave cost.

        :raises LinkError: no answer came.
        """
        await self._call(peer, "Repay", pb.Repayment(name=name, tokens=tokens))

    async def report(self, report: LoanReport) -> None:
        """Tell a router what the loan that it gave cost so far.

        :raises LinkError: no answer came.
        """
        message = pb.Repayment(
            name=report.name,
            tokens=report.cost,
            kept=report.kept,
            number=report.number,
        )
        await self._call(report.lender, "Repay", message)

    async def Borrow(  # noqa: N802 (name of the generated interface)
        self, request: pb.LoanRequest, context: grpc.aio.ServicerContext
    ) -> pb.LoanReply:
        """Lend tokens to a peer."""
        if self.loan_server is None or self.leaving:
            return pb.LoanReply()
        customer = CustomerId(request.customer)
        wait_seconds = min(request.wait_seconds, MAX_LOAN_WAIT_SECONDS)
        loan = Loan(
            request.name,
            customer,
            Tokens(request.tokens),
            wait_seconds,
            Tokens(request.waiting),
            Tokens(request.ahead),
        )
        try:
            return pb.LoanReply(tokens=await self.loan_server.obtain(loan))
        except InsufficientBudgetError:
            return pb.LoanReply(exhausted=True)

    async def Repay(  # noqa: N802 (name of the generated interface)
        self, request: pb.Repayment, context: grpc.aio.ServicerContext
    ) -> pb.RepaymentReply:
        """Settle a loan that this router gave."""
        if self.loan_server is None:
            return pb.RepaymentReply()
        cost = Tokens(request.tokens)
        if not request.kept:
            self.loan_server.repay(request.name, cost)
            return pb.RepaymentReply()
        report = LoanReport(
            self._incarnation, request.name, cost, Tokens(request.kept), request.number
        )
        self.loan_server.report(report)
        return pb.RepaymentReply()

    async def _call(
        self,
        incarnation: IncarnationId,
        method: str,
        request: object,
        timeout_seconds: float = CALL_TIMEOUT_SECONDS,
    ):
        for peer in self.peers_by_address.values():
            if peer.incarnation == incarnation:
                break
        else:
            raise LinkError(
                "no peer has this incarnation", step=f"peers.{method}", peer=incarnation
            )
        return await self._channels.call(
            peer.address, method, request, timeout_seconds=timeout_seconds
        )

    def _state_for(self, peer: Peer | None) -> pb.PeerState:
        """Return this router's state, with the updates not yet sent to `peer`."""
        configuration = self._platform_state.configuration
        state = pb.PeerState(
            instance_id=self._instance_id,
            incarnation=self._incarnation,
            address=self._address,
            store_lost=self._store_lost(),
            leaving=self.leaving,
            zone=self._zone,
            configuration=configuration.number if configuration else None,
        )
        for table, version in self._platform_state.versions().items():
            state.versions.add(table=table, version=version)
        for server_id, load in self._loads.own_loads().items():
            state.loads.add(
                server=server_id,
                running=load.running,
                prefill_tokens=max(0, load.prefill_tokens),
                held_tokens=load.held_tokens,
            )
        sent = self._round_number if peer is None else peer.last_round_sent
        if peer is not None:
            self._evidence.write(state, peer.evidence_confirmed, time.monotonic())
            state.evidence_heard = peer.evidence_heard
            state.evidence_heard_from = peer.incarnation
        far = is_far(peer, self._zone)
        self._write_updates(
            state,
            [update for update in self._recent_updates if update.number > sent],
            far=far,
        )
        write_evacuations(self._platform_state.evacuation_changes(), state)
        write_statements(self._backpressure.statements(), state, time.monotonic())
        if self.rollouts is not None:
            write_reports(self.rollouts.reports(), state)
        if self.room is not None:
            self.room.write(state)
        addresses = [other.address for other in self.alive()]
        if far:
            addresses = addresses_to_tell(peer, addresses, time.monotonic())
        state.peers.extend(addresses)
        return state

    def _write_updates(
        self, state: pb.PeerState, updates: list[_UpdateRound], *, far: bool
    ) -> None:
        parts_by_server: dict[BackendServerId, list[CachedPart]] = {}
        results: dict[BackendServerId, ResultCounts] = {}
        for update in updates:
            parts = update.report.parts
            for seen in parts_to_tell(parts) if far else parts:
                parts_by_server.setdefault(seen.server_id, []).append(seen)
            for server_id, counts in update.report.results_by_server.items():
                results.setdefault(server_id, ResultCounts()).add(counts)
        for server_id, parts in parts_by_server.items():
            state.parts.add(
                server=server_id,
                parts=[part.part_id for part in parts],
                tokens=[part.tokens for part in parts],
            )
        for server_id, counts in results.items():
            state.results.add(
                server=server_id,
                good=counts.successes,
                bad=counts.failures,
                lost=counts.no_response,
            )

    async def _exchange_with(self, peer: Peer, *, asks: bool) -> None:
        """Exchange state with a peer.

        :param asks: whether to ask it for rows that this router lacks.
        """
        state, round_number = self._state_for(peer), self._round_number
        if not asks:
            state.store_lost = False
            state.ClearField("configuration")
        elif not state.HasField("configuration"):
            state.configuration = 0
        timeout_seconds = ASK_TIMEOUT_SECONDS if asks else CALL_TIMEOUT_SECONDS
        began_at = time.monotonic()
        try:
            reply = await self._channels.call(
                peer.address, "Exchange", state, timeout_seconds=timeout_seconds
            )
        except LinkError as error:
            # A peer that isn't there fails at once.
            if time.monotonic() - began_at >= CALL_TIMEOUT_SECONDS:
                self.round_trips_seconds.append(CALL_TIMEOUT_SECONDS)
            await self._record_failure(peer, error)
            return
        self.round_trips_seconds.append(time.monotonic() - began_at)
        peer.failures = 0
        peer.last_round_sent = round_number
        if not reply.state.HasField("evidence_heard"):
            peer.evidence_confirmed = state.evidence_number
        peer.store_lost = reply.state.store_lost
        if reply.state.HasField("configuration"):
            peer.configuration = reply.state.configuration
        self._merge_state(reply.state)
        now = time.monotonic()
        if reply.HasField("configuration"):
            row = reply.configuration
            self._platform_state.adopt_configuration(
                Row(row.key, row.version, row.value), source=peer.address
            )
        for table in reply.tables:
            # Rows come only during an outage, in which entries may have expired.
            change = _decode_table_rows(table)
            self._platform_state.apply(
                table.table, change, now, after_outage=True, source=peer.address
            )

    def _record_contact(self, peer: Peer, incarnation: str) -> None:
        peer.seen_at = time.monotonic()
        restarted = peer.incarnation and peer.incarnation != incarnation
        peer.incarnation = IncarnationId(incarnation)
        if restarted:
            peer.last_round_sent = peer.evidence_confirmed = peer.evidence_heard = 0
        if restarted or not peer.in_contact:
            peer.in_contact = True
            self._log.peer(
                peer.address,
                Contact.REGAINED,
                reason=f"incarnation {incarnation}",
                alive=len(self.alive()),
            )

    def _log_lost_contacts(self, now: float) -> None:
        peer_count = len(self.peers_by_address)
        for peer in self.peers_by_address.values():
            if peer.in_contact and not is_alive(peer, peer_count, now):
                peer.in_contact = False
                self._log.peer(
                    peer.address,
                    Contact.LOST,
                    reason="the peer left" if peer.leaving else peer.failure,
                    silent_seconds=now - peer.seen_at,
                    alive=len(self.alive()),
                )

    async def _record_failure(self, peer: Peer, error: LinkError) -> None:
        peer.failures += 1
        peer.failure = error.message
        backoff = min(MAX_BACKOFF_SECONDS, EXCHANGE_INTERVAL_SECONDS * 2**peer.failures)
        peer.next_at = time.monotonic() + backoff * random.uniform(0.5, 1.0)
        if peer.failures % FAILURES_TO_RECONNECT == 0:
            in_progress = await self._channels.replace(peer.address)
            self._log.notice(
                "peer",
                "later calls open another connection",
                peer=peer.address,
                failure=peer.failure,
                failed_calls=peer.failures,
                calls_in_progress=in_progress,
            )


def _decode_load_report(state: pb.PeerState) -> LoadReport:
    return LoadReport(
        loads_by_server={
            BackendServerId(load.server): ServerLoad(
                load.running, load.prefill_tokens, load.held_tokens
            )
            for load in state.loads
        },
        parts=[
            CachedPart(BackendServerId(seen.server), PartId(part), tokens)
            for seen in state.parts
            for part, tokens in zip(seen.parts, seen.tokens, strict=False)
        ],
        results_by_server={
            BackendServerId(counts.server): ResultCounts(
                counts.good, counts.bad, counts.lost
            )
            for counts in state.results
            if all(map(is_count, (counts.good, counts.bad, counts.lost)))
        },
    )


def _encode_table_rows(table: str, change: TableChange) -> pb.TableRows:
    rows = pb.TableRows(table=table, version=change.version)
    for row in change.rows:
        rows.rows.add(key=row.key, version=row.version, value=row.value)
    for key, version in change.removed_by_key.items():
        rows.removed.add(key=key, version=version)
    return rows


def _decode_table_rows(rows: pb.TableRows) -> TableChange:
    return TableChange(
        rows=[Row(row.key, row.version, row.value) for row in rows.rows],
        removed_by_key={row.key: row.version for row in rows.removed},
        version=rows.version,
    )
