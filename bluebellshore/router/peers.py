"""Links of a router to sidecars, and the streams on those links."""

import asyncio
from collections.abc import Callable, Iterator
from typing import Protocol

import eliot

from bluebellshore.ids import IncarnationId
from bluebellshore.router.streams import RouterStream, StreamLost, StreamRefused
from bluebellshore.routing.balancer import Candidate
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.router_link import RouterLink

__all__ = ["Peer", "PeerEventHandler", "PeerPool"]

#: Time after which the streams of a lost link fail unless the link reconnects, as a
#: multiple of the time after which a link without frames counts as lost.
RECONNECT_SILENCE_MULTIPLE = 2.0
#: Maximum number of consecutive reconnects without new data before a stream fails.
MAX_RESENDS = 10
#: Share of a stream's credit that is consumed before the sidecar is told.
CREDIT_UPDATE_SHARE = 0.25
#: Maximum number of bytes that are consumed before the sidecar is told. It is well
#: below the minimum that a sidecar buffers for a stream; otherwise the router could
#: wait for data while the sidecar waits for credit.
MAX_CREDIT_UPDATE_BYTES = 4 * 1024
#: Time after which a sidecar that left the instance list is removed if its link is
#: down.
REMOVE_UNLISTED_AFTER_SECONDS = 5.0


class PeerEventHandler(Protocol):
    """Handles the events of links that do not concern a single stream."""

    def peer_opened(self, peer: "Peer") -> None:
        """Called when a link to a sidecar is connected."""

    def peer_frame(self, peer: "Peer", frame: pb.SidecarFrame) -> None:
        """Called with each received frame, after its stream messages were handled."""

    def peer_heartbeat(self, peer: "Peer") -> None:
        """Called before a heartbeat is sent; may add to the peer's frame."""

    def peer_incarnation_gone(self, incarnation: IncarnationId) -> None:
        """Called when an incarnation of a sidecar has ended permanently."""


class Peer:
    """A sidecar at one address, with the streams on its link.

    :ivar incarnation: incarnation last seen there; empty before the first connection.
    :ivar hello: greeting of that incarnation.
    :ivar load: last load report.
    :ivar bundle_number: number of the bundle that the sidecar reported last.
    :ivar connected: whether the link is connected.
    :ivar listed: whether the instance list contains the sidecar.
    :ivar unlisted_at: loop time in seconds at which the sidecar left the list.
    :ivar leaving: whether the instance list shows the sidecar as leaving.
    :ivar streams: open streams by id.
    :ivar cancels_by_attempt: cancels for which no receipt has arrived.
    :ivar give_up_timer: fails the streams if the link stays lost.
    """

    def __init__(self, instance_id: str, address: str):
        self.instance_id = instance_id
        self.address = address
        self.incarnation = IncarnationId("")
        self.hello = pb.SidecarHello()
        self.load = pb.Load()
        self.bundle_number = 0
        self.connected = False
        self.listed = True
        self.unlisted_at = 0.0
        self.leaving = False
        self.streams: dict[int, RouterStream] = {}
        self.cancels_by_attempt: dict[str, pb.Cancel] = {}
        self.link: RouterLink | None = None
        self.link_task: asyncio.Task | None = None
        self.give_up_timer: asyncio.TimerHandle | None = None

    @property
    def accepts_requests(self) -> bool:
        """Whether new requests may be sent to the sidecar."""
        return self.connected and not self.leaving and not self.load.draining

    @property
    def frame(self) -> pb.RouterFrame:
        """Next outgoing frame; call :meth:`notify` after adding to it."""
        return self.link.outbox.frame

    def notify(self) -> None:
        """Have the link send the next frame."""
        self.link.outbox.notify()

    def candidate(self) -> Candidate:
        """Return the description of the sidecar for a load balancer."""
        return Candidate(
            sidecar=self.incarnation,
            instance_id=self.instance_id,
            zone=self.hello.zone,
            version=self.hello.version,
            concurrency=self.load.concurrency or self.hello.concurrency,
            outstanding=len(self.streams),
            reported_load=self.load.running + self.load.queued,
            draining=self.load.draining,
        )


class PeerPool:
    """Keeps links to sidecars and continues their streams on new connections.

    :param event_handler: called with the events of all links.
    :param make_link: returns a link to an address, with the pool as its handler.
    :param silent_seconds: time without a frame after which a link counts as lost.
    """

    def __init__(
        self,
        event_handler: PeerEventHandler,
        make_link: Callable[[str, "PeerPool"], RouterLink],
        *,
        silent_seconds: float,
    ):
        self.peers_by_address: dict[str, Peer] = {}
        self._event_handler = event_handler
        self._make_link = make_link
        self._reconnect_seconds = silent_seconds * RECONNECT_SILENCE_MULTIPLE
        self._last_stream_id = 0
        self._peers_by_link: dict[RouterLink, Peer] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes received that callers have not read."""
        return sum(
            stream.received_offset - stream.consumed_offset
            for peer in self.peers_by_address.values()
            for stream in peer.streams.values()
        )

    def is_fully_linked(self) -> bool:
        """Return whether the links to all known sidecars are connected."""
        peers = self.peers_by_address.values()
        return bool(peers) and all(peer.connected for peer in peers)

    def is_reconnecting(self) -> bool:
        """Return whether the link to any sidecar that is in service is down."""
        return any(
            peer.listed and not peer.leaving and not peer.connected
            for peer in self.peers_by_address.values()
        )

    def connected_peers(self) -> Iterator[Peer]:
        """Return an iterator over the sidecars whose link is connected."""
        return (peer for peer in self.peers_by_address.values() if peer.connected)

    def by_incarnation(self, incarnation: IncarnationId) -> Peer | None:
        """Return the connected sidecar with `incarnation`, None if there is none."""
        for peer in self.connected_peers():
            if peer.incarnation == incarnation:
                return peer
        return None

    def add(self, instance_id: str, address: str) -> Peer:
        """Add a sidecar and start its link."""
        peer = Peer(instance_id, address)
        self.peers_by_address[address] = peer
        peer.link = self._make_link(address, self)
        self._peers_by_link[peer.link] = peer
        peer.link_task = asyncio.ensure_future(peer.link.run())
        return peer

    def remove(self, peer: Peer) -> None:
        """Remove a sidecar that will not come back, and fail its streams."""
        self.peers_by_address.pop(peer.address, None)
        self._peers_by_link.pop(peer.link, None)
        peer.link_task.cancel()
        self._fail_streams(peer, "the sidecar is gone")
        if peer.incarnation:
            self._event_handler.peer_incarnation_gone(peer.incarnation)

    def remove_unlisted(self, now: float) -> None:
        """Remove sidecars that are neither in the instance list nor connected."""
        for peer in list(self.peers_by_address.values()):
            is_absent = not peer.listed and not peer.connected
            if is_absent and now - peer.unlisted_at > REMOVE_UNLISTED_AFTER_SECONDS:
                self.remove(peer)

    def new_stream_id(self) -> int:
        """Return a stream id that is unique within this router."""
        self._last_stream_id += 1
        return self._last_stream_id

    def open(self, peer: Peer, start: pb.Start) -> RouterStream:
        """Send a request, unless its sidecar has become unavailable or was replaced.

        :return: the stream of the answer; refused if the request was not sent.
        """
        stream = RouterStream(peer, start)
        if not peer.accepts_requests or peer.incarnation != start.sidecar_incarnation:
            stream.push(StreamRefused(_not_sent_refusal(start), sent=False))
            return stream
        peer.streams[start.stream] = stream
        peer.frame.starts.append(start)
        peer.notify()
        return stream

    def attach(self, peer: Peer, start: pb.Start) -> RouterStream:
        """Return a stream of the answer to a request that runs or ran at `peer`."""
        stream = RouterStream(peer, start)
        if not peer.connected:
            stream.push(StreamLost("the link is lost"))
            return stream
        stream.accepted = True
        peer.streams[start.stream] = stream
        self._send_attach(peer, stream)
        return stream

    def record_consumed(self, stream: RouterStream, size: int) -> None:
        """Record that the caller read `size` more bytes, and renew the credit."""
        stream.consumed_offset += size
        window = stream.start.credit_bytes
        update_bytes = min(window * CREDIT_UPDATE_SHARE, MAX_CREDIT_UPDATE_BYTES)
        if not window or stream.consumed_offset - stream.credited_offset < update_bytes:
            return
        peer = stream.peer
        if peer.connected and stream.stream_id in peer.streams:
            stream.credited_offset = stream.consumed_offset
            peer.frame.credits.add(
                stream=stream.stream_id, consumed_offset=stream.consumed_offset
            )
            peer.notify()

    def close(self, stream: RouterStream) -> None:
        """Close a stream.

        If its answer has not ended, the sidecar is told; it cancels the request, or
        keeps it for a later attach.
        """
        if stream.closed:
            return
        stream.closed = True
        peer = stream.peer
        if peer.streams.pop(stream.stream_id, None) is None:
            return
        cancel = self._add_cancel(peer, stream)
        if peer.connected:
            peer.frame.cancels.append(cancel)
            peer.notify()

    async def stop(self) -> None:
        """Close all links."""
        tasks = [peer.link_task for peer in self.peers_by_address.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    # Link events

    def link_opened(self, link: RouterLink, hello: pb.SidecarHello) -> None:
        """Start using a connection and continue the streams of the previous one."""
        peer = self._peers_by_link[link]
        if peer.give_up_timer is not None:
            peer.give_up_timer.cancel()
            peer.give_up_timer = None
        if peer.incarnation and peer.incarnation != hello.incarnation:
            self._fail_streams(peer, "the sidecar has restarted")
            self._event_handler.peer_incarnation_gone(peer.incarnation)
            peer.cancels_by_attempt.clear()
        peer.hello = hello
        peer.incarnation = IncarnationId(hello.incarnation)
        peer.connected = True
        eliot.log_message("link_opened", peer=peer.address, sidecar=peer.incarnation)
        for stream in list(peer.streams.values()):
            self._resend(peer, stream)
        peer.frame.cancels.extend(peer.cancels_by_attempt.values())
        self._event_handler.peer_opened(peer)
        peer.notify()

    def link_lost(self, link: RouterLink) -> None:
        """Mark a link as lost; its streams fail unless it reconnects in time."""
        peer = self._peers_by_link.get(link)
        if peer is None or not peer.connected:
            return
        peer.connected = False
        loop = asyncio.get_running_loop()
        peer.give_up_timer = loop.call_later(
            self._reconnect_seconds, self._fail_streams, peer, "the link is lost"
        )

    def link_heartbeat(self, link: RouterLink) -> None:
        """Call the event handler before a heartbeat is sent."""
        peer = self._peers_by_link.get(link)
        if peer is not None and peer.connected:
            peer.frame.saw_draining = peer.load.stopping
            self._event_handler.peer_heartbeat(peer)

    def link_frame(self, link: RouterLink, frame: pb.SidecarFrame) -> None:
        """Handle the stream messages of a frame, then call the event handler."""
        peer = self._peers_by_link.get(link)
        if peer is None:
            return
        if frame.HasField("load"):
            peer.load.CopyFrom(frame.load)
            peer.bundle_number = frame.bundle_number
            if peer.load.stopping:
                peer.frame.saw_draining = True
                peer.notify()
        for accepted in frame.accepted:
            if accepted.stream in peer.streams:
                peer.streams[accepted.stream].record_accepted(accepted)
        for chunk in frame.chunks:
            stream = peer.streams.get(chunk.stream)
            if stream is not None and not stream.add_chunk(chunk):
                self._send_attach(peer, stream)
        for end in frame.ends:
            self._handle_end(peer, end)
        for refused in frame.refused:
            stream = peer.streams.pop(refused.stream, None)
            if stream is not None:
                stream.push(StreamRefused(refused))
        for receipt in frame.receipts:
            peer.cancels_by_attempt.pop(receipt.attempt, None)
        self._event_handler.peer_frame(peer, frame)

    def _handle_end(self, peer: Peer, end: pb.End) -> None:
        stream = peer.streams.get(end.stream)
        if stream is None:
            return
        if stream.add_end(end):
            del peer.streams[end.stream]
        else:
            self._send_attach(peer, stream)

    def _resend(self, peer: Peer, stream: RouterStream) -> None:
        stream.resends += 1
        if stream.resends > MAX_RESENDS:
            del peer.streams[stream.stream_id]
            stream.push(StreamLost("the stream makes no progress"))
        elif stream.accepted:
            self._send_attach(peer, stream)
        else:
            peer.frame.starts.append(stream.start)

    def _send_attach(self, peer: Peer, stream: RouterStream) -> None:
        peer.frame.attaches.add(
            stream=stream.stream_id,
            key=stream.start.key,
            offset=stream.received_offset,
            consumed_offset=stream.consumed_offset,
            credit_bytes=stream.start.credit_bytes,
            sidecar_incarnation=peer.incarnation,
            attempt=stream.attempt,
            fingerprint=stream.start.fingerprint,
            lineage=stream.lineage,
        )
        stream.credited_offset = stream.consumed_offset
        peer.notify()

    def _fail_streams(self, peer: Peer, reason: str) -> None:
        streams = list(peer.streams.values())
        peer.streams.clear()
        for stream in streams:
            self._add_cancel(peer, stream)
            stream.push(StreamLost(reason))

    @staticmethod
    def _add_cancel(peer: Peer, stream: RouterStream) -> pb.Cancel:
        """Keep a cancel, which is sent on each new connection until a receipt comes."""
        attempt = stream.start.attempt
        cancel = pb.Cancel(
            stream=stream.stream_id, key=stream.start.key, attempt=attempt
        )
        peer.cancels_by_attempt[attempt] = cancel
        return cancel


def _not_sent_refusal(start: pb.Start) -> pb.Refused:
    return pb.Refused(
        stream=start.stream,
        run=pb.NOT_RUN,
        status=503,
        reason="the sidecar left before the request was sent",
        elsewhere=True,
    )
