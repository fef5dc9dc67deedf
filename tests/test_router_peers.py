"""Property tests of frames in any order: callers get correct bytes or none."""

import asyncio
import unittest

import xxhash
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.router.peers import MAX_RESENDS, PeerPool
from bluebellshore.router.streams import StreamEnded, StreamLost
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.outbox import MAX_FRAME_BYTES, Outbox, split_frame

SIDECAR = "sidecar.1"
STREAMS = (1, 2)
LENGTH = 40


def answer_of(stream):
    """Return the body that the sidecar sends on a stream."""
    return bytes((stream * 64 + position) % 256 for position in range(LENGTH))


class FakeLink:
    def __init__(self):
        self.outbox = Outbox(pb.RouterFrame)

    async def run(self):
        await asyncio.Event().wait()


class FakeEvents:
    def peer_opened(self, peer):
        pass

    def peer_frame(self, peer, frame):
        pass

    def peer_heartbeat(self, peer):
        pass

    def peer_incarnation_gone(self, incarnation):
        pass


@st.composite
def chunks(draw):
    stream = draw(st.sampled_from((*STREAMS, 3)))
    begin = draw(st.integers(0, LENGTH))
    end = draw(st.integers(begin, LENGTH))
    return pb.SidecarFrame(
        chunks=[
            pb.Chunk(stream=stream, offset=begin, data=answer_of(stream)[begin:end])
        ]
    )


@st.composite
def ends(draw):
    stream = draw(st.sampled_from(STREAMS))
    end = pb.End(
        stream=stream,
        outcome=draw(st.sampled_from((pb.COMPLETE, pb.FAILED, pb.CANCELLED))),
        length=draw(st.sampled_from((LENGTH, LENGTH // 2, 0))),
        checksum=xxhash.xxh3_64_intdigest(answer_of(stream)),
        ran=draw(st.booleans()),
    )
    return pb.SidecarFrame(ends=[end])


@st.composite
def controls(draw):
    stream = draw(st.sampled_from((*STREAMS, 3)))
    accepted = pb.Accepted(stream=stream, joined=draw(st.booleans()), attempt="a")
    refused = pb.Refused(stream=stream, run=draw(st.sampled_from((0, 1))))
    return draw(
        st.sampled_from(
            (
                pb.SidecarFrame(accepted=[accepted]),
                pb.SidecarFrame(refused=[refused]),
                pb.SidecarFrame(load=pb.Load(stopping=draw(st.booleans()))),
                "lost",
                "opened",
                "consume",
            )
        )
    )


STEPS = st.lists(st.one_of(chunks(), chunks(), ends(), controls()), max_size=30)


class PeerPoolPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(STEPS)
    def test_any_frames(self, steps):
        asyncio.run(self.check_steps(steps))

    async def check_steps(self, steps):
        links = []

        def make_link(address, pool):
            links.append(FakeLink())
            return links[0]

        pool = PeerPool(FakeEvents(), make_link, silent_seconds=1000.0)
        peer = pool.add("sidecar", "127.0.0.1:1")
        hello = pb.SidecarHello(incarnation=SIDECAR)
        pool.link_opened(links[0], hello)
        streams = {
            number: pool.open(
                peer,
                pb.Start(
                    stream=number,
                    key=f"k{number}",
                    sidecar_incarnation=SIDECAR,
                    credit_bytes=LENGTH,
                ),
            )
            for number in STREAMS
        }
        for step in steps:
            if step == "lost":
                pool.link_lost(links[0])
            elif step == "opened":
                links[0].outbox = Outbox(pb.RouterFrame)
                pool.link_opened(links[0], hello)
            elif step == "consume":
                for stream in streams.values():
                    pool.record_consumed(
                        stream, stream.received_offset - stream.consumed_offset
                    )
            else:
                pool.link_frame(links[0], step)
        for number, stream in streams.items():
            await self.check_stream(number, stream)
        await pool.stop()

    async def check_stream(self, number, stream):
        received = b""
        while stream._events:
            event = await stream.next_event()
            if isinstance(event, bytes):
                received += event
            elif isinstance(event, StreamEnded) and stream.is_complete(event.end):
                self.assertEqual(received, answer_of(number))
        self.assertEqual(received, answer_of(number)[: len(received)])
        self.assertEqual(stream.received_offset, len(received))

    def test_stream_without_progress_is_given_up(self):
        asyncio.run(self.check_stream_without_progress())

    async def check_stream_without_progress(self):
        link = FakeLink()
        pool = PeerPool(FakeEvents(), lambda *_: link, silent_seconds=1000.0)
        peer = pool.add("sidecar", "127.0.0.1:1")
        hello = pb.SidecarHello(incarnation=SIDECAR)
        pool.link_opened(link, hello)
        stream = pool.open(peer, pb.Start(stream=1, sidecar_incarnation=SIDECAR))
        for _ in range(MAX_RESENDS + 1):
            self.assertIn(1, peer.streams)
            pool.link_opened(link, hello)
        self.assertIsInstance(await stream.next_event(), StreamLost)
        await pool.stop()

    def test_request_is_not_sent_to_a_replaced_or_lost_sidecar(self):
        asyncio.run(self.check_refused_before_sending())

    async def check_refused_before_sending(self):
        link = FakeLink()
        pool = PeerPool(FakeEvents(), lambda *_: link, silent_seconds=1000.0)
        peer = pool.add("sidecar", "127.0.0.1:1")
        pool.link_opened(link, pb.SidecarHello(incarnation="sidecar.2"))
        old = pb.Start(stream=1, sidecar_incarnation=SIDECAR)
        refused = await pool.open(peer, old).next_event()
        self.assertEqual(refused.refused.run, pb.NOT_RUN)
        pool.link_lost(link)
        new = pb.Start(stream=2, sidecar_incarnation="sidecar.2")
        refused = await pool.open(peer, new).next_event()
        self.assertEqual(refused.refused.run, pb.NOT_RUN)
        self.assertFalse(link.outbox.frame.starts)
        await pool.stop()


class SplitFrameTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(st.lists(st.integers(0, 1024 * 1024), max_size=20), st.integers(0, 5))
    def test_parts_fit_and_keep_order(self, sizes, cancels):
        frame = pb.RouterFrame()
        for number, size in enumerate(sizes):
            frame.starts.add(stream=number, body=b"x" * size)
        for number in range(cancels):
            frame.cancels.add(stream=number)
        whole = pb.RouterFrame()
        whole.CopyFrom(frame)
        merged = pb.RouterFrame()
        for part in split_frame(frame):
            self.assertLess(part.ByteSize(), MAX_FRAME_BYTES)
            merged.MergeFrom(part)
        self.assertEqual(merged, whole)


if __name__ == "__main__":
    unittest.main()
