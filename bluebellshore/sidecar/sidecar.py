"""Sidecar role: the process through which all requests reach a backend server."""

import asyncio
import contextlib
import uuid
from typing import Any

import aiohttp
import eliot

from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.bundle.model import Bundle
from bluebellshore.bundle.signing import Verifier
from bluebellshore.ids import (
    IncarnationId,
    RouteName,
    VersionName,
)
from bluebellshore.membership import Announcer
from bluebellshore.metrics import make_metrics
from bluebellshore.moves.evidence import EvidenceRecorder, RouteVersion
from bluebellshore.operator_port import OperatorPort, public_settings
from bluebellshore.platform.store import BACKGROUND_CALL_TIMEOUT_SECONDS, PlatformStore
from bluebellshore.settings import SidecarSettings
from bluebellshore.sidecar.answers import Answer, AnswerStore
from bluebellshore.sidecar.backend import BackendClient
from bluebellshore.sidecar.control_messages import ControlMessageHandler
from bluebellshore.sidecar.executor import Executor
from bluebellshore.sidecar.fencing import FencedIncarnations
from bluebellshore.sidecar.quarantine import Quarantine
from bluebellshore.sidecar.queue import AdmissionQueue
from bluebellshore.sidecar.readers import ReaderRegistry
from bluebellshore.sidecar.receipts import PendingReceipts
from bluebellshore.sidecar.refusals import (
    is_joinable,
    mismatch_refusal,
    not_held_refusal,
    restarted_refusal,
    stopping_refusal,
)
from bluebellshore.store import InstanceRole
from bluebellshore.store.instances import MAX_MISSED_ANNOUNCEMENTS, TableInstances
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import LinkServer, SidecarLink

__all__ = ["Sidecar"]

#: Marks a request key that a router made up because the caller sent none, so that no
#: caller can ask for the answer again.
ROUTER_KEY_MARKER = "/~"
DISPATCH_INTERVAL_SECONDS = 0.05
EXPIRY_INTERVAL_SECONDS = 1.0
#: Concurrency until a bundle states that of the backend server's version.
DEFAULT_CONCURRENCY = 1


class Sidecar:
    """Process that serves routers' links in front of one backend server.

    The sidecar queues and runs their requests, buffers the answers, keeps receipts
    until their bills are in the ledger, and refuses fenced router incarnations.

    :ivar incarnation: id of this process, different after each restart.
    :ivar draining: whether the sidecar is stopping and refuses new requests.
    """

    def __init__(self, settings: SidecarSettings):
        self.settings = settings
        self.address = settings.listen
        self.operator_address = settings.operator_listen
        self.incarnation = IncarnationId(
            f"{settings.instance_id}.{uuid.uuid4().hex[:12]}"
        )
        self.draining = False
        self._links: set[SidecarLink] = set()
        self._fences = FencedIncarnations(settings.silent_seconds * 2)
        self._receipts = PendingReceipts()
        self._store = AnswerStore(
            stream_bytes=settings.stream_buffer_bytes, held_bytes=settings.held_bytes
        )
        self._readers = ReaderRegistry(self._store)
        self._keeper = BundleKeeper(
            Verifier(bytes.fromhex(key) for key in settings.trust_keys)
        )
        self._keeper.subscribe(self._bundle_changed)
        self._evidence = EvidenceRecorder(
            RouteVersion(RouteName(route), VersionName(settings.version))
            for route in settings.routes
        )
        self._metrics = make_metrics(settings.statsd_address, "sidecar")
        self._tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start to serve links and announce this instance to the platform."""
        settings = self.settings
        # No connection is reused: if the backend server closed an idle connection just
        # as a request is sent, it would be unknown whether the request ran.
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(
            connector=connector, timeout=aiohttp.ClientTimeout(total=None)
        )
        self._platform = PlatformStore(
            settings.platform_url, call_seconds=BACKGROUND_CALL_TIMEOUT_SECONDS
        )
        await self._platform.open()
        self._announcer = Announcer(
            TableInstances(
                self._platform,
                valid_seconds=MAX_MISSED_ANNOUNCEMENTS * settings.announce_seconds,
            ),
            InstanceRole.SIDECAR,
            settings,
            address=lambda: self.address,
            is_leaving=lambda: self.draining,
        )
        self._executor = Executor(
            queue=AdmissionQueue(
                settings.concurrency or DEFAULT_CONCURRENCY,
                settings.queue_limit,
                settings.queue_seconds,
            ),
            quarantine=Quarantine(),
            backend=BackendClient(
                self._session,
                settings.backend_url,
                self._append_data,
                settings.backend_idle_seconds,
            ),
            store=self._store,
            receipts=self._receipts,
            evidence=self._evidence,
            on_answer_ended=self._answer_ended,
        )
        self._control_messages = self._make_control_messages()
        self._server = LinkServer(
            self,
            token=settings.link_token,
            pack_seconds=settings.pack_seconds,
            silent_seconds=settings.silent_seconds,
        )
        self.address = await self._server.start(settings.listen)
        self._operator_port = OperatorPort(
            settings.operator_listen,
            settings.operator_token_hash,
            snapshot=self.snapshot,
            offer_bundle=self._keeper.offer,
        )
        self.operator_address = await self._operator_port.start()
        self._tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                self._announcer.run(),
                self._dispatch_periodically(),
                self._expire_periodically(),
            )
        ]

    def _make_control_messages(self) -> ControlMessageHandler:
        return ControlMessageHandler(
            version=VersionName(self.settings.version),
            links=self._links,
            keeper=self._keeper,
            executor=self._executor,
            store=self._store,
            receipts=self._receipts,
            fences=self._fences,
            evidence=self._evidence,
            is_draining=lambda: self.draining,
        )

    async def stop(self) -> None:
        """Refuse new requests, finish the running ones and hand over receipts.

        The wait for routers to acknowledge receipts ends after ``drain_seconds``.
        """
        self.draining = True
        await self._announcer.announce()
        self._notify_all()
        while self._routers_may_send() or self._has_unfinished_work():
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_seconds):
                while self._receipts.by_attempt:
                    await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)
        for task in self._tasks:
            task.cancel()
        self._executor.close()
        await self._server.stop()
        await self._operator_port.stop()
        await self._session.close()
        await self._platform.close()

    def _routers_may_send(self) -> bool:
        """Return whether some router does not know yet that the sidecar drains."""
        return any(not link.saw_draining for link in self._links)

    def _has_unfinished_work(self) -> bool:
        unfinished = any(self._store.unfinished())
        return unfinished or bool(self._readers)

    def snapshot(self) -> dict[str, Any]:
        """Return the state of this process for the operator's state dump."""
        queue = self._executor.queue
        return {
            "role": "sidecar",
            "instance_id": self.settings.instance_id,
            "incarnation": self.incarnation,
            "backend_server": self.settings.backend_server,
            "version": self.settings.version,
            "draining": self.draining,
            "bundle_number": self._keeper.number,
            "running": queue.running,
            "queued": queue.queued,
            "limit": queue.limit,
            "held_bytes": self._store.held_bytes,
            "peak_held_bytes": self._store.peak_held_bytes,
            "answers": len(self._store.by_key),
            "links": sorted(link.incarnation for link in self._links),
            "receipts": sorted(self._receipts.by_attempt),
            "settings": public_settings(self.settings),
        }

    # Link events

    def greeting(self) -> pb.SidecarFrame:
        """Return the first frame to send on a new link."""
        settings = self.settings
        hello = pb.SidecarHello(
            incarnation=self.incarnation,
            instance_id=settings.instance_id,
            zone=settings.zone,
            backend_server=settings.backend_server,
            version=settings.version,
            routes=settings.routes,
            concurrency=self._executor.queue.concurrency,
        )
        return pb.SidecarFrame(
            hello=hello,
            load=self._control_messages.load(),
            bundle_number=self._keeper.advertised_number,
        )

    def link_opened(self, link: SidecarLink) -> None:
        """Register a link and repeat the receipts its router has not acknowledged.

        An older link of the same router is closed: a router opens a new link only
        after the old one went silent or broke.
        """
        for old in list(self._links):
            if old.incarnation == link.incarnation:
                old.close()
                self.link_closed(old)
        self._links.add(link)
        self._readers.open_link(link)
        frame = link.outbox.frame
        frame.receipts.extend(self._receipts.of_incarnation(link.incarnation))
        frame.verdicts.extend(self._control_messages.verdicts())
        self._control_messages.add_status(frame)
        link.outbox.notify()

    def link_closed(self, link: SidecarLink) -> None:
        """Detach the link's readers.

        Their answers continue, and are cancelled when no reader attaches within
        ``orphan_seconds``.
        """
        self._links.discard(link)
        self._readers.close_link(link)

    def link_frame(self, link: SidecarLink, frame: pb.RouterFrame) -> None:
        """Handle one frame of a router."""
        if link not in self._links:
            return
        self._control_messages.handle_frame(link, frame)
        for start in frame.starts:
            self._handle_start(link, start)
        for attach in frame.attaches:
            self._handle_attach(link, attach)
        for lookup in frame.lookups:
            self._handle_lookup(link, lookup)
        for credit in frame.credits:
            self._handle_credit(link, credit)
        for cancel in frame.cancels:
            self._handle_cancel(link, cancel)
        for attempt in frame.acked_receipts:
            self._receipts.acknowledge(attempt)
        self._control_messages.answer_queries(link, frame)
        link.saw_draining = link.saw_draining or frame.saw_draining
        if frame.sequence:
            link.outbox.frame.sequence = frame.sequence
            self._control_messages.add_status(link.outbox.frame)
            link.outbox.notify()
        self._executor.dispatch()

    def fill_frame(self, link: SidecarLink, frame: pb.SidecarFrame) -> None:
        """Add the data due on the streams of `link` to `frame`."""
        self._readers.fill_frame(link, frame)

    # Requests

    def _handle_start(self, link: SidecarLink, start: pb.Start) -> None:
        refused = self._check_start(link, start)
        if refused is None:
            known = self._store.by_key.get(start.key)
            if known is not None and is_joinable(known, start):
                self._join(link, start, known)
                return
            admitted = self._admit(link, start)
            if isinstance(admitted, Answer):
                offset = admitted.first_offset
                self._readers.attach(
                    link, admitted, start.stream, offset, start.credit_bytes
                )
                self._accept(link, start.stream, admitted, joined=False)
                return
            refused = admitted
        link.outbox.frame.refused.append(refused)
        link.outbox.notify()

    def _check_start(self, link: SidecarLink, start: pb.Start) -> pb.Refused | None:
        if self._fences.is_fenced(link.incarnation):
            return pb.Refused(
                stream=start.stream,
                run=pb.NOT_RUN,
                status=503,
                reason="the router's incarnation is fenced",
                fenced=True,
            )
        if start.sidecar_incarnation != self.incarnation:
            return restarted_refusal(start)
        known = self._store.by_key.get(start.key)
        if start.offset and not start.resume:
            if known is None or not known.can_read_from(start.offset, start.lineage):
                return not_held_refusal(start.stream)
        return None

    def _admit(self, link: SidecarLink, start: pb.Start) -> Answer | pb.Refused:
        if self.draining:
            return stopping_refusal(start.stream)
        return self._executor.admit(start, link.incarnation)

    def _join(self, link: SidecarLink, start: pb.Start, answer: Answer) -> None:
        if answer.start.fingerprint != start.fingerprint:
            link.outbox.frame.refused.append(mismatch_refusal(start.stream))
            link.outbox.notify()
            return
        self._attach(link, start.stream, answer, start.offset, start.credit_bytes)

    def _handle_attach(self, link: SidecarLink, attach: pb.Attach) -> None:
        answer = self._store.by_key.get(attach.key)
        refused = None
        if answer is None or attach.sidecar_incarnation != self.incarnation:
            refused = not_held_refusal(attach.stream)
        elif attach.attempt and attach.attempt != answer.start.attempt:
            refused = not_held_refusal(attach.stream)
        elif attach.lineage and attach.lineage != answer.lineage:
            refused = not_held_refusal(attach.stream)
        elif attach.fingerprint != answer.start.fingerprint:
            refused = mismatch_refusal(attach.stream)
        if refused is not None:
            link.outbox.frame.refused.append(refused)
            link.outbox.notify()
            return
        self._attach(link, attach.stream, answer, attach.offset, attach.credit_bytes)
        reader = self._readers.find(link, attach.stream)
        if reader is not None and attach.consumed_offset < attach.offset:
            reader.consumed_offset = attach.consumed_offset

    def _handle_lookup(self, link: SidecarLink, lookup: pb.Lookup) -> None:
        answer = self._store.by_key.get(lookup.key)
        held = answer is not None and answer.can_read_from(
            lookup.offset, lookup.lineage
        )
        link.outbox.frame.holdings.add(key=lookup.key, offset=lookup.offset, held=held)
        link.outbox.notify()

    def _attach(
        self, link: SidecarLink, stream: int, answer: Answer, offset: int, credit: int
    ) -> None:
        if not answer.base_offset <= offset <= answer.length:
            link.outbox.frame.refused.append(not_held_refusal(stream))
            link.outbox.notify()
            return
        self._readers.attach(link, answer, stream, offset, credit)
        self._accept(link, stream, answer, joined=True)

    def _accept(
        self, link: SidecarLink, stream: int, answer: Answer, *, joined: bool
    ) -> None:
        link.outbox.frame.accepted.append(
            pb.Accepted(
                stream=stream,
                joined=joined,
                attempt=answer.start.attempt,
                lineage=answer.lineage,
            )
        )
        link.outbox.notify()

    def _handle_credit(self, link: SidecarLink, credit: pb.Credit) -> None:
        reader = self._readers.find(link, credit.stream)
        if reader is None:
            return
        reader.record_consumed(min(credit.consumed_offset, reader.next_offset))
        self._store.release_consumed(reader.answer)
        self._readers.mark_due(reader)

    def _handle_cancel(self, link: SidecarLink, cancel: pb.Cancel) -> None:
        reader = self._readers.detach(link, cancel.stream)
        answer = reader.answer if reader else self._find_answer(cancel)
        if answer is None or answer.start.attempt != cancel.attempt:
            self._report_unknown_attempt(link, cancel)
        elif not answer.readers and ROUTER_KEY_MARKER in answer.key:
            self._executor.cancel(answer)

    def _find_answer(self, cancel: pb.Cancel) -> Answer | None:
        answer = self._store.by_key.get(cancel.key)
        return answer if answer and answer.start.attempt == cancel.attempt else None

    def _report_unknown_attempt(self, link: SidecarLink, cancel: pb.Cancel) -> None:
        """Send a receipt without tokens for an attempt that never arrived.

        The receipt lets the router release the tokens reserved for the attempt.
        """
        known = cancel.attempt in self._receipts.by_attempt
        if not cancel.attempt or known or self._executor.has_attempt(cancel.attempt):
            return
        receipt = pb.Receipt(
            attempt=cancel.attempt, key=cancel.key, incarnation=link.incarnation
        )
        link.outbox.frame.receipts.append(receipt)
        link.outbox.notify()

    # Data

    def _append_data(self, answer: Answer, data: bytes) -> None:
        self._store.append(answer, data)
        for reader in answer.readers:
            self._readers.mark_due(reader)

    def _answer_ended(self, answer: Answer) -> None:
        for reader in answer.readers:
            self._readers.mark_due(reader)
        receipt = self._receipts.by_attempt.get(answer.start.attempt)
        if receipt is None:
            return
        for link in self._links:
            if link.incarnation == answer.incarnation:
                link.outbox.frame.receipts.append(receipt)
                link.outbox.notify()

    # Bundles

    def _bundle_changed(self, bundle: Bundle) -> None:
        eliot.log_message("bundle_in_force", number=bundle.number)
        version = bundle.versions.get(self.settings.version)
        if version is not None and not self.settings.concurrency:
            self._executor.queue.concurrency = version.concurrency
        self._notify_all()

    def _notify_all(self) -> None:
        for link in self._links:
            self._control_messages.add_status(link.outbox.frame)
            link.outbox.notify()

    # Background work

    async def _dispatch_periodically(self) -> None:
        while True:
            try:
                self._executor.dispatch()
            except Exception:
                eliot.write_traceback()
            await asyncio.sleep(DISPATCH_INTERVAL_SECONDS)

    async def _expire_periodically(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            now = loop.time()
            self._store.expire(now - self.settings.retention_seconds)
            for answer in list(self._store.unfinished()):
                orphaned_at = answer.orphaned_at
                if orphaned_at is None or answer.readers:
                    continue
                if now - orphaned_at >= self.settings.orphan_seconds:
                    self._executor.cancel(answer)
            self._update_gauges()
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)

    def _update_gauges(self) -> None:
        queue = self._executor.queue
        self._metrics.gauge("requests.running", queue.running)
        self._metrics.gauge("requests.queued", queue.queued)
        self._metrics.gauge("requests.limit", queue.limit)
        self._metrics.gauge("answers.held_bytes", self._store.held_bytes)
        self._metrics.gauge("receipts.unacknowledged", len(self._receipts.by_attempt))
