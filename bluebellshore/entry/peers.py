"""Exchanges work in hand, prompt parts and rows between entry routers."""

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable

import grpc
import msgspec

from bluebellshore.decisions import Contact, DecisionLog, silent_log
from bluebellshore.entry.loans import Loan, LoanServer
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.rollout_messages import read_reports, write_reports
from bluebellshore.entry.rollouts import RolloutController
from bluebellshore.errors import LinkError
from bluebellshore.ids import (
    BackendServerId,
    CustomerId,
    IncarnationId,
    InstanceId,
    PartId,
    Tokens,
)
from bluebellshore.routing.crash_tracker import CrashReport, CrashTracker
from bluebellshore.routing.load import CachedPart, LoadReport, LoadTracker, ServerLoad
from bluebellshore.routing.results import ResultCounts
from bluebellshore.store import Row, TableChange
from bluebellshore.wire import peer_pb2 as pb
from bluebellshore.wire import peer_pb2_grpc

__all__ = ["Peer", "PeerExchange"]

#: Pause between exchanges: work in hand is known to others this late.
EXCHANGE_SECONDS = 0.2
#: An exchange is skipped this long at most when there is nothing to tell.
QUIET_SECONDS = 0.6
#: Longest wait for a peer's answer.
CALL_SECONDS = 0.6
#: Peers that one router calls in a round; more take turns. Half of the others are
#: enough, as an exchange tells both.
PEERS_A_ROUND = 6
#: Rounds of which a peer is told later when it was not called.
ROUNDS_REMEMBERED = 64
#: A peer that gave no sign for this long is not counted as serving.
ALIVE_SECONDS = 2.5
#: Failed calls after which a peer's connection is made anew, as it may be silent.
FAILURES_TO_RECONNECT = 2
#: Longest pause between calls to a peer that does not answer.
MAX_BACKOFF_SECONDS = 2.0

CHANNEL_OPTIONS = (
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.enable_retries", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.max_send_message_length", 16 * 1024 * 1024),
)


class Peer(msgspec.Struct):
    """Another router, by the address of its exchange.

    :param seen_at: monotonic seconds of its last sign.
    :param in_contact: whether the log says so.
    :param failure: what the last failed exchange showed.
    :param told: number of the last round of which it was told.
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
    told: int = 0


class _News(msgspec.Struct, frozen=True):
    """What a router tells each peer once.

    :param number: of the round.
    """

    number: int
    report: LoadReport
    crashes: list[CrashReport]


class PeerExchange(peer_pb2_grpc.PeersServicer):
    """This router's exchange with others.

    :param address: where others reach this router; empty for none.
    :param bind: where it takes exchanges, if not there.
    :param store_lost: whether rows are wanted from peers.
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
    ):
        self._log = log or silent_log()
        self._address = address
        self._bind = bind or address
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._platform_state = platform_state
        self._loads = loads
        self._crashes = CrashTracker() if crashes is None else crashes
        self._store_lost = store_lost
        self._server: grpc.aio.Server | None = None
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._news: deque[_News] = deque(maxlen=ROUNDS_REMEMBERED)
        self._rounds = 0
        self.peers_by_address: dict[str, Peer] = {}
        self.leaving = False
        #: Lends tokens of this router; None until budgets are open.
        self.loan_server: LoanServer | None = None
        #: Takes and gives what routers tell of rollouts; None until it is set.
        self.rollouts: RolloutController | None = None
        self.add_addresses(seeds)

    def add_addresses(self, addresses: list[str] | tuple[str, ...]) -> None:
        """Add routers that may exist."""
        for address in addresses:
            if address and address != self._address:
                self.peers_by_address.setdefault(address, Peer(address))

    def alive(self) -> list[Peer]:
        """Return the peers that gave a sign lately."""
        now = time.monotonic()
        peers = self.peers_by_address.values()
        return [peer for peer in peers if now - peer.seen_at < ALIVE_SECONDS]

    async def start(self) -> None:
        """Take exchanges of others."""
        if not self._address:
            return
        self._server = grpc.aio.server(options=CHANNEL_OPTIONS)
        peer_pb2_grpc.add_PeersServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._bind)
        await self._server.start()

    async def stop(self) -> None:
        """End all exchanges."""
        for channel in self._channels.values():
            await channel.close()
        if self._server is not None:
            await self._server.stop(0)

    async def run(self) -> None:
        """Tell others until cancelled."""
        quiet_since = 0.0
        while True:
            await asyncio.sleep(EXCHANGE_SECONDS * random.uniform(0.8, 1.2))
            now = time.monotonic()
            self._note_lost(now)
            report = self._gather_news()
            busy = report.loads_by_server or report.parts or report.results_by_server
            busy = busy or self._store_lost()
            busy = busy or (self.rollouts is not None and self.rollouts.needs_full_rate)
            # With many peers each is called seldom enough already.
            few = len(self.peers_by_address) <= 2 * PEERS_A_ROUND
            if few and not busy and now - quiet_since < QUIET_SECONDS:
                continue
            quiet_since = now
            calls = [self._tell(peer) for peer in self._round(now)]
            if calls:
                await asyncio.gather(*calls)

    def _gather_news(self) -> LoadReport:
        """Note what is new for all peers. :return: the load tracker's report."""
        report = self._loads.take_report()
        crashes = self._crashes.take_reports()
        if report.parts or report.results_by_server or crashes:
            self._rounds += 1
            self._news.append(_News(self._rounds, report, crashes))
        return report

    async def Exchange(  # noqa: N802 (name of the generated interface)
        self, request: pb.PeerState, context: grpc.aio.ServicerContext
    ) -> pb.PeerReply:
        """Take what a peer tells, and answer with what it lacks."""
        peer = self._take(request)
        reply = pb.PeerReply(state=self._state(peer))
        if peer is not None:
            # An answer that is lost costs hints, nothing more.
            peer.told = self._rounds
        if request.store_lost:
            versions = {item.table: item.version for item in request.versions}
            for table, change in self._platform_state.changes_since(versions).items():
                reply.tables.append(_table_rows(table, change))
        return reply

    def _take(self, state: pb.PeerState) -> Peer | None:
        """Take in what a peer tells. :return: the peer, None when it has no address."""
        self.add_addresses([state.address, *state.peers])
        incarnation = IncarnationId(state.incarnation)
        peer = self.peers_by_address.get(state.address)
        if peer is not None:
            self._seen(peer, incarnation)
            peer.instance_id = InstanceId(state.instance_id)
            peer.leaving = state.leaving
        now = time.monotonic()
        self._crashes.merge_reports(
            (
                CrashReport(BackendServerId(seen.server), tuple(seen.fingerprints))
                for seen in state.crashes
            ),
            now,
        )
        self._loads.merge_report(incarnation, _report_of(state), now)
        if self.rollouts is not None:
            self.rollouts.merge(incarnation, read_reports(state))
        return peer

    def reachable(self) -> list[IncarnationId]:
        """Return the incarnations that gave a sign lately."""
        return [peer.incarnation for peer in self.alive() if peer.incarnation]

    def serving(self) -> list[IncarnationId]:
        """Return the incarnations that gave a sign lately and aren't leaving."""
        alive = [peer for peer in self.alive() if not peer.leaving]
        return [peer.incarnation for peer in alive if peer.incarnation]

    async def borrow(self, peer: IncarnationId, loan: Loan) -> Tokens:
        """Have a router lend tokens.

        :raises LinkError: no answer came; it may have lent.
        """
        request = pb.LoanRequest(
            name=loan.name, customer=loan.customer, tokens=loan.tokens
        )
        reply = await self._call(peer, "Borrow", request)
        return Tokens(reply.tokens)

    async def repay(self, peer: IncarnationId, name: str, tokens: Tokens) -> None:
        """Tell a router what its loan cost.

        :raises LinkError: no answer came.
        """
        await self._call(peer, "Repay", pb.Repayment(name=name, tokens=tokens))

    async def Borrow(  # noqa: N802 (name of the generated interface)
        self, request: pb.LoanRequest, context: grpc.aio.ServicerContext
    ) -> pb.LoanReply:
        """Lend a peer what is free here."""
        if self.loan_server is None or self.leaving:
            return pb.LoanReply()
        customer = CustomerId(request.customer)
        loan = Loan(request.name, customer, Tokens(request.tokens))
        return pb.LoanReply(tokens=self.loan_server.lend(loan))

    async def Repay(  # noqa: N802 (name of the generated interface)
        self, request: pb.Repayment, context: grpc.aio.ServicerContext
    ) -> pb.RepaymentReply:
        """Count what a loan cost."""
        if self.loan_server is not None:
            self.loan_server.repay(request.name, Tokens(request.tokens))
        return pb.RepaymentReply()

    async def _call(self, incarnation: IncarnationId, method: str, request: object):
        for peer in self.peers_by_address.values():
            if peer.incarnation == incarnation:
                break
        else:
            raise LinkError("no such peer", step=f"peers.{method}", peer=incarnation)
        stub = peer_pb2_grpc.PeersStub(self._channel(peer.address))
        try:
            return await getattr(stub, method)(request, timeout=CALL_SECONDS)
        except grpc.aio.AioRpcError as error:
            raise LinkError(
                error.code().name, step=f"peers.{method}", peer=peer.address
            ) from error

    def _round(self, now: float) -> list[Peer]:
        due = [peer for peer in self.peers_by_address.values() if peer.next_at <= now]
        count = min(PEERS_A_ROUND, (len(due) + 1) // 2)
        return random.sample(due, count)

    def _state(self, peer: Peer | None) -> pb.PeerState:
        """Return what a peer is told: work in hand, and what is new for it."""
        state = pb.PeerState(
            instance_id=self._instance_id,
            incarnation=self._incarnation,
            address=self._address,
            store_lost=self._store_lost(),
            leaving=self.leaving,
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
        told = self._rounds if peer is None else peer.told
        self._write_news(state, [news for news in self._news if news.number > told])
        if self.rollouts is not None:
            write_reports(self.rollouts.reports(), state)
        state.peers.extend(other.address for other in self.alive())
        return state

    def _write_news(self, state: pb.PeerState, news: list[_News]) -> None:
        parts_by_server: dict[BackendServerId, list[CachedPart]] = {}
        results: dict[BackendServerId, ResultCounts] = {}
        for item in news:
            for seen in item.report.parts:
                parts_by_server.setdefault(seen.server_id, []).append(seen)
            for server_id, counts in item.report.results_by_server.items():
                results.setdefault(server_id, ResultCounts()).add(counts)
            for crash in item.crashes:
                state.crashes.add(
                    server=crash.server_id, fingerprints=crash.fingerprints
                )
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

    async def _tell(self, peer: Peer) -> None:
        state, rounds = self._state(peer), self._rounds
        stub = peer_pb2_grpc.PeersStub(self._channel(peer.address))
        try:
            async with asyncio.timeout(CALL_SECONDS):
                reply = await stub.Exchange(state, timeout=CALL_SECONDS)
        except (grpc.aio.AioRpcError, TimeoutError) as error:
            await self._failed(peer, error)
            return
        peer.failures = 0
        peer.told = rounds
        self._take(reply.state)
        now = time.monotonic()
        for table in reply.tables:
            # This router asked since it lost the store: entries may have lapsed.
            change = _change_of(table)
            self._platform_state.apply(
                table.table, change, now, after_outage=True, source=peer.address
            )

    def _seen(self, peer: Peer, incarnation: str) -> None:
        peer.seen_at = time.monotonic()
        renewed = peer.incarnation and peer.incarnation != incarnation
        peer.incarnation = IncarnationId(incarnation)
        if renewed:
            peer.told = 0
        if renewed or not peer.in_contact:
            peer.in_contact = True
            self._log.peer(
                peer.address,
                Contact.REGAINED,
                reason=f"incarnation {incarnation}",
                alive=len(self.alive()),
            )

    def _note_lost(self, now: float) -> None:
        for peer in self.peers_by_address.values():
            silent = now - peer.seen_at
            if peer.in_contact and silent >= ALIVE_SECONDS:
                peer.in_contact = False
                self._log.peer(
                    peer.address,
                    Contact.LOST,
                    reason="it left" if peer.leaving else peer.failure,
                    silent_seconds=silent,
                    alive=len(self.alive()),
                )

    async def _failed(self, peer: Peer, error: Exception) -> None:
        peer.failures += 1
        code = getattr(error, "code", lambda: None)()
        peer.failure = code.name if code else type(error).__name__
        backoff = min(MAX_BACKOFF_SECONDS, EXCHANGE_SECONDS * 2**peer.failures)
        peer.next_at = time.monotonic() + backoff * random.uniform(0.5, 1.0)
        if peer.failures % FAILURES_TO_RECONNECT == 0:
            channel = self._channels.pop(peer.address, None)
            if channel is not None:
                await channel.close()

    def _channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
        return self._channels[address]


def _report_of(state: pb.PeerState) -> LoadReport:
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
                counts.successes, counts.failures, counts.no_response
            )
            for counts in state.results
        },
    )


def _table_rows(table: str, change: TableChange) -> pb.TableRows:
    rows = pb.TableRows(table=table, version=change.version)
    for row in change.rows:
        rows.rows.add(key=row.key, version=row.version, value=row.value)
    for key, version in change.removed_by_key.items():
        rows.removed.add(key=key, version=version)
    return rows


def _change_of(rows: pb.TableRows) -> TableChange:
    return TableChange(
        rows=[Row(row.key, row.version, row.value) for row in rows.rows],
        removed_by_key={row.key: row.version for row in rows.removed},
        version=rows.version,
    )
