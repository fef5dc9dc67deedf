"""State that a router spreads and collects over its links to sidecars."""

import asyncio

from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.ids import BundleNumber, IncarnationId
from bluebellshore.moves.tracker import MoveTracker
from bluebellshore.router.peers import Peer, PeerPool
from bluebellshore.wire import link_pb2 as pb

__all__ = ["Gossip"]

QUERY_TIMEOUT_SECONDS = 2.0
MAX_FINGERPRINTS_PER_SIDECAR = 1000


class Gossip:
    """Spreads bundles, verdicts on moves, suspect requests and fences.

    Sidecars pass the state on to the other routers that are linked to them.
    """

    def __init__(self, pool: PeerPool, keeper: BundleKeeper, move_tracker: MoveTracker):
        self._pool = pool
        self._keeper = keeper
        self._move_tracker = move_tracker
        self._verdicts_by_move: dict[str, pb.Verdict] = {}
        self._quarantined_by_sidecar: dict[IncarnationId, list[str]] = {}
        self._live_by_incarnation: dict[IncarnationId, bool] = {}
        self._fence_waiters: dict[
            tuple[IncarnationId, IncarnationId], asyncio.Future
        ] = {}
        self._fenced_incarnations: dict[IncarnationId, None] = {}

    def add_heartbeat_state(self, frame: pb.RouterFrame) -> None:
        """Add this router's state to a heartbeat."""
        frame.bundle_number = self._keeper.advertised_number
        frame.verdicts.extend(self._verdicts_by_move.values())
        frame.quarantined.extend(self._quarantined_fingerprints())

    def add_initial_state(self, frame: pb.RouterFrame) -> None:
        """Add the state that a sidecar needs before the first request."""
        self.add_heartbeat_state(frame)
        frame.known_fenced.extend(self._fenced_incarnations)

    def handle_frame(self, peer: Peer, frame: pb.SidecarFrame) -> None:
        """Handle the state in a sidecar's frame, and answers to earlier queries."""
        self._sync_bundle(peer, frame)
        for verdict in frame.verdicts:
            self.broadcast_verdict(verdict)
        for evidence in frame.evidence:
            self._move_tracker.record_evidence(peer.incarnation, evidence)
        if frame.HasField("load"):
            self._quarantined_by_sidecar[peer.incarnation] = list(frame.quarantined)
        for reply in frame.liveness_replies:
            incarnation = IncarnationId(reply.incarnation)
            self._live_by_incarnation[incarnation] = (
                self._live_by_incarnation.get(incarnation, False) or reply.connected
            )
        for reply in frame.fence_replies:
            waiter = self._fence_waiters.get(
                (peer.incarnation, IncarnationId(reply.incarnation))
            )
            if waiter is not None and not waiter.done():
                waiter.set_result(reply)

    def broadcast_verdict(self, verdict: pb.Verdict) -> None:
        """Keep the first verdict on a move and send it to all sidecars."""
        if verdict.move in self._verdicts_by_move:
            return
        self._verdicts_by_move[verdict.move] = verdict
        self._move_tracker.apply_verdict(verdict)
        for peer in self._pool.connected_peers():
            peer.frame.verdicts.append(verdict)
            peer.notify()

    def broadcast_suspect(self, fingerprint: str) -> None:
        """Tell all sidecars of a request that was running when a server crashed.

        :param fingerprint: fingerprint of the request.
        """
        for peer in self._pool.connected_peers():
            peer.frame.suspects.append(fingerprint)
            peer.notify()

    def forget_sidecar(self, sidecar: IncarnationId) -> None:
        """Discard the state that a sidecar reported."""
        self._quarantined_by_sidecar.pop(sidecar, None)

    async def connected(self, incarnation: IncarnationId) -> bool | None:
        """Ask all sidecars whether a router incarnation has a live link to them.

        :return: whether any sidecar reports a link; None if there was no reply.
        """
        peers = list(self._pool.connected_peers())
        if not peers:
            return None
        self._live_by_incarnation.pop(incarnation, None)
        for peer in peers:
            peer.frame.liveness_queries.append(incarnation)
            peer.notify()
        await asyncio.sleep(QUERY_TIMEOUT_SECONDS / 2)
        return self._live_by_incarnation.pop(incarnation, None)

    async def fence(
        self, sidecar: IncarnationId, incarnation: IncarnationId
    ) -> list[pb.Receipt] | None:
        """Make a sidecar refuse requests of a router incarnation.

        :return: receipts for that incarnation, once none of its requests runs there;
            None if the sidecar did not confirm the fence.
        """
        self._fenced_incarnations[incarnation] = None
        peer = self._pool.by_incarnation(sidecar)
        if peer is None:
            return None
        waiter = asyncio.get_running_loop().create_future()
        self._fence_waiters[(sidecar, incarnation)] = waiter
        peer.frame.fence_requests.append(incarnation)
        peer.notify()
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_SECONDS):
                reply = await waiter
        except TimeoutError:
            return None
        finally:
            self._fence_waiters.pop((sidecar, incarnation), None)
        return list(reply.receipts) if reply.confirmed else None

    def acknowledge(self, sidecar: IncarnationId, attempts: list[str]) -> None:
        """Tell a sidecar that the bills of these attempts are in the ledger."""
        peer = self._pool.by_incarnation(sidecar)
        if peer is not None:
            peer.frame.acked_receipts.extend(attempts)
            peer.notify()

    def _sync_bundle(self, peer: Peer, frame: pb.SidecarFrame) -> None:
        if frame.bundle:
            self._keeper.offer(frame.bundle)
        elif frame.HasField("load") and frame.bundle_number < self._keeper.number:
            update = self._keeper.update_for(BundleNumber(frame.bundle_number))
            if update is not None:
                peer.frame.bundle = update
                peer.notify()

    def _quarantined_fingerprints(self) -> set[str]:
        fingerprints: set[str] = set()
        for quarantined in self._quarantined_by_sidecar.values():
            fingerprints.update(quarantined[:MAX_FINGERPRINTS_PER_SIDECAR])
        return fingerprints
