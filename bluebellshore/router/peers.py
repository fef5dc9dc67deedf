"""Sidecars that a router is linked to, and the streams on those links."""

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

#: Time for a lost link to come back before its streams are given up, as a
#: multiple of the time after which a link counts as silent.
RECONNECT_SILENCE_MULTIPLE = 2.0
#: Connections on which a stream may fail to make progress.
MAX_RESENDS = 10
#: Share of a stream's credit after which the sidecar is told what was consumed.
CREDIT_UPDATE_SHARE = 0.25
#: Most bytes taken without telling the sidecar; well below the least that a sidecar
#: holds for a stream, else both would wait for each other.
MAX_CREDIT_UPDATE_BYTES = 4 * 1024
#: Time after which a sidecar that left the instance list and has no streams is
#: forgotten.
REMOVE_UNLISTED_AFTER_SECONDS = 5.0


class PeerEventHandler(Protocol):
    """What a router does with frames beyond its streams."""

    def peer_opened(self, peer: "Peer") -> None:
        """A link to a sidecar stands."""

    def peer_frame(self, peer: "Peer", frame: pb.SidecarFrame) -> None:
        """A frame arrived; streams have been served."""

    def peer_heartbeat(self, peer: "Peer") -> None:
        """A heartbeat is due."""

    def peer_incarnation_gone(self, incarnation: IncarnationId) -> None:
        """An incarnation of a sidecar is gone for good."""


class Peer:
    """One sidecar address.

    :ivar incarnation: incarnation last seen there, empty before the first link.
    :ivar listed: whether the instance list shows it.
    :ivar leaving: whether the instance list shows it as leaving.
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
        """Whether new work may be sent."""
        return self.connected and not self.leaving and not self.load.draining

    @property
    def frame(self) -> pb.RouterFrame:
        """Frame that leaves next; call :meth:`notify` after adding to it."""
        return self.link.outbox.frame

    def notify(self) -> None:
        """Send the frame."""
        self.link.outbox.notify()

    def candidate(self) -> Candidate:
        """Return what a balancer needs to know."""
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
    """Keeps links to sidecars and moves streams over to new connections.

    :param make_link: builds a link to an address, with the pool as handler.
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
        self._next_stream = 0
        self._peers_by_link: dict[RouterLink, Peer] = {}

    @property
    def held_bytes(self) -> int:
        """Bytes received that callers have not taken."""
        return sum(
            stream.received_offset - stream.consumed_offset
            for peer in self.peers_by_address.values()
            for stream in peer.streams.values()
        )

    def is_fully_linked(self) -> bool:
        """Return whether links to all known sidecars stand."""
        peers = self.peers_by_address.values()
        return bool(peers) and all(peer.connected for peer in peers)

    def is_reconnecting(self) -> bool:
        """Return whether a sidecar that should serve has no link at the moment."""
        return any(
            peer.listed and not peer.leaving and not peer.connected
            for peer in self.peers_by_address.values()
        )

    def connected_peers(self) -> Iterator[Peer]:
        """Yield the sidecars whose link stands."""
        return (peer for peer in self.peers_by_address.values() if peer.connected)

    def by_incarnation(self, incarnation: IncarnationId) -> Peer | None:
        """Return the connected sidecar with `incarnation`."""
        for peer in self.connected_peers():
            if peer.incarnation == incarnation:
                return peer
        return None

    def add(self, instance_id: str, address: str) -> Peer:
        """Link to a sidecar."""
        peer = Peer(instance_id, address)
        self.peers_by_address[address] = peer
        peer.link = self._make_link(address, self)
        self._peers_by_link[peer.link] = peer
        peer.link_task = asyncio.ensure_future(peer.link.run())
        return peer

    def remove(self, peer: Peer) -> None:
        """Drop a sidecar that is gone for good."""
        self.peers_by_address.pop(peer.address, None)
        self._peers_by_link.pop(peer.link, None)
        peer.link_task.cancel()
        self._fail_streams(peer, "the sidecar is gone")
        if peer.incarnation:
            self._event_handler.peer_incarnation_gone(peer.incarnation)

    def remove_unlisted(self, now: float) -> None:
        """Remove sidecars that left the list and cannot be reached."""
        for peer in list(self.peers_by_address.values()):
            gone = not peer.listed and not peer.connected
            if gone and now - peer.unlisted_at > REMOVE_UNLISTED_AFTER_SECONDS:
                self.remove(peer)

    def new_stream_id(self) -> int:
        """Return a number that no other stream of this router had."""
        self._next_stream += 1
        return self._next_stream

    def open(self, peer: Peer, start: pb.Start) -> RouterStream:
        """Send a request, unless its sidecar left meanwhile. :return: its stream."""
        stream = RouterStream(peer, start)
        if not peer.accepts_requests or peer.incarnation != start.sidecar_incarnation:
            stream.push(StreamRefused(_not_sent_refusal(start), sent=False))
            return stream
        peer.streams[start.stream] = stream
        peer.frame.starts.append(start)
        peer.notify()
        return stream

    def attach(self, peer: Peer, start: pb.Start) -> RouterStream:
        """Ask for the answer to a request that runs or ran at `peer`."""
        stream = RouterStream(peer, start)
        if not peer.connected:
            stream.push(StreamLost("the link is lost"))
            return stream
        stream.accepted = True
        peer.streams[start.stream] = stream
        self._send_attach(peer, stream)
        return stream

    def record_consumed(self, stream: RouterStream, size: int) -> None:
        """Note that the caller took `size` bytes more, which renews the credit."""
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
        """End a stream; an unfinished answer is cancelled or left to be joined."""
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
        """Take a connection into use and carry on the streams of the last one."""
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
        """Give the link some time to come back."""
        peer = self._peers_by_link.get(link)
        if peer is None or not peer.connected:
            return
        peer.connected = False
        loop = asyncio.get_running_loop()
        peer.give_up_timer = loop.call_later(
            self._reconnect_seconds, self._fail_streams, peer, "the link is lost"
        )

    def link_heartbeat(self, link: RouterLink) -> None:
        """Pass on that a heartbeat is due."""
        peer = self._peers_by_link.get(link)
        if peer is not None and peer.connected:
            peer.frame.saw_draining = peer.load.stopping
            self._event_handler.peer_heartbeat(peer)

    def link_frame(self, link: RouterLink, frame: pb.SidecarFrame) -> None:
        """Serve the streams of a frame, then pass it on."""
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
        """Keep a cancel to be sent on each new link until a receipt answers it."""
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
