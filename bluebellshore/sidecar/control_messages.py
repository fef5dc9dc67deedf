"""Control messages between a sidecar and its routers.

These are all parts of frames other than requests, answers and receipts: load,
bundles, verdicts on versions, fencing, and requests that crash backend servers.
"""

import asyncio
from collections.abc import Callable

from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.ids import BundleNumber, IncarnationId, MoveId, VersionName
from bluebellshore.moves.evidence import EvidenceRecorder
from bluebellshore.sidecar.answers import AnswerStore
from bluebellshore.sidecar.executor import Executor
from bluebellshore.sidecar.fencing import FencedIncarnations
from bluebellshore.sidecar.receipts import PendingReceipts
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["ControlMessageHandler"]


class ControlMessageHandler:
    """Handles a sidecar's control messages and fills those of its own frames.

    :param version: version of the backend server.
    :param links: open links; the sidecar adds and removes them.
    :param is_draining: returns whether the sidecar refuses new requests.
    """

    def __init__(
        self,
        *,
        version: VersionName,
        links: set[SidecarLink],
        keeper: BundleKeeper,
        executor: Executor,
        store: AnswerStore,
        receipts: PendingReceipts,
        fences: FencedIncarnations,
        evidence: EvidenceRecorder,
        is_draining: Callable[[], bool],
    ):
        self._version = version
        self._links = links
        self._keeper = keeper
        self._executor = executor
        self._store = store
        self._receipts = receipts
        self._fences = fences
        self._evidence = evidence
        self._is_draining = is_draining
        self._verdicts_by_move: dict[str, pb.Verdict] = {}

    def verdicts(self) -> list[pb.Verdict]:
        """Return all known verdicts, which are sent on each new link."""
        return list(self._verdicts_by_move.values())

    def load(self) -> pb.Load:
        """Return the load report.

        An unreachable backend server is reported as draining, so that routers send
        no requests to it.
        """
        queue = self._executor.queue
        draining = self._is_draining()
        return pb.Load(
            running=queue.running,
            queued=queue.queued,
            concurrency=queue.limit,
            draining=draining or not self._executor.reachable,
            held_bytes=self._store.held_bytes,
            stopping=draining,
        )

    def add_status(self, frame: pb.SidecarFrame) -> None:
        """Put the sidecar's current state into a frame.

        The state is the load, the evidence about versions, the number of the current
        bundle and the quarantined fingerprints.
        """
        frame.load.CopyFrom(self.load())
        frame.bundle_number = self._keeper.advertised_number
        del frame.evidence[:]
        frame.evidence.extend(self._evidence.to_wire())
        frame.quarantined[:] = self._executor.quarantine.export().quarantined

    def handle_frame(self, link: SidecarLink, frame: pb.RouterFrame) -> None:
        """Apply the bundle, verdicts, fences and suspects in a router's frame."""
        for incarnation in frame.known_fenced:
            self._fences.fence(IncarnationId(incarnation))
        if frame.bundle:
            self._keeper.offer(frame.bundle)
        elif frame.sequence and frame.bundle_number < self._keeper.number:
            update = self._keeper.update_for(BundleNumber(frame.bundle_number))
            if update is not None:
                link.outbox.frame.bundle = update
        for verdict in frame.verdicts:
            if verdict.move not in self._verdicts_by_move:
                self._apply_verdict(link, verdict)
        if frame.suspects or frame.quarantined:
            now = asyncio.get_running_loop().time()
            self._executor.quarantine.merge(frame.suspects, frame.quarantined, now)

    def answer_queries(self, link: SidecarLink, frame: pb.RouterFrame) -> None:
        """Answer a router that reclaims the budgets of other router incarnations.

        The router asks whether an incarnation is connected here, or has it fenced.
        """
        now = asyncio.get_running_loop().time()
        replies = link.outbox.frame
        for incarnation in frame.liveness_queries:
            connected = self._fences.is_connected(
                IncarnationId(incarnation), self._links, now
            )
            replies.liveness_replies.add(incarnation=incarnation, connected=connected)
        for incarnation in frame.fence_requests:
            replies.fence_replies.append(
                self._fence_incarnation(IncarnationId(incarnation))
            )
        if frame.liveness_queries or frame.fence_requests:
            link.outbox.notify()

    def _apply_verdict(self, link: SidecarLink, verdict: pb.Verdict) -> None:
        """Store a verdict and pass it on to the other routers.

        When the verdict is on this sidecar's version, the queued requests of the
        move's route are returned to their routers without having run.
        """
        self._verdicts_by_move[verdict.move] = verdict
        for other in self._links - {link}:
            other.outbox.frame.verdicts.append(verdict)
            other.outbox.notify()
        bundle = self._keeper.current
        move = bundle.moves.get(MoveId(verdict.move)) if bundle else None
        if move is not None and move.new == self._version:
            self._executor.drop_queued(move.route, "the version was judged bad")

    def _fence_incarnation(self, incarnation: IncarnationId) -> pb.FenceReply:
        """Fence an incarnation.

        :return: a confirmation with the incarnation's unacknowledged receipts once
            none of its requests is queued or runs here, else a reply without one.
        """
        self._fences.fence(incarnation)
        running = [
            answer
            for answer in self._store.unfinished()
            if answer.incarnation == incarnation
        ]
        for answer in running:
            if not answer.readers and answer.orphaned_at is None:
                answer.orphaned_at = asyncio.get_running_loop().time()
        if running:
            return pb.FenceReply(incarnation=incarnation, confirmed=False)
        return pb.FenceReply(
            incarnation=incarnation,
            confirmed=True,
            receipts=self._receipts.of_incarnation(incarnation),
        )
