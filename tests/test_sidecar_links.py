"""Property test of a sidecar that receives any frames in any order.

The sidecar must send each stream the bytes of its answer, count the buffered bytes
exactly, and free all of them when the answers have ended.
"""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellshore.settings import SidecarSettings
from bluebellshore.sidecar.answers import AnswerStore
from bluebellshore.sidecar.executor import Executor
from bluebellshore.sidecar.quarantine import Quarantine
from bluebellshore.sidecar.queue import AdmissionQueue
from bluebellshore.sidecar.readers import ReaderRegistry
from bluebellshore.sidecar.sidecar import Sidecar
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import SidecarLink

KEYS = ("acme/k1", "acme/k2")
ATTEMPTS = ("a1", "a2", "a3", "a4")
ANSWER_BYTES = 3000
CHUNK_BYTES = 100


def body_of(attempt):
    """Return the answer to `attempt`."""
    return attempt.encode() * (ANSWER_BYTES // len(attempt))


class FakeBackend:
    """Backend server that gives each attempt another answer; the last one fails."""

    reachable = True

    def __init__(self, append):
        self._append = append

    async def execute(self, answer, execution):
        body = body_of(answer.start.attempt)
        for begin in range(answer.length, ANSWER_BYTES, CHUNK_BYTES):
            await answer.writable.wait()
            self._append(answer, body[begin : begin + CHUNK_BYTES])
            await asyncio.sleep(0)
        fails = answer.start.attempt == ATTEMPTS[-1]
        execution.outcome = pb.FAILED if fails else pb.COMPLETE
        execution.tokens = 1


def integers_up_to(limit):
    return st.integers(0, limit)


OFFSETS = st.one_of(st.just(0), st.just(0), integers_up_to(ANSWER_BYTES + 10))
NAMES = {"key": st.sampled_from(KEYS), "stream": st.integers(1, 3)}
STARTS = st.builds(
    pb.Start,
    attempt=st.sampled_from(ATTEMPTS),
    sidecar_incarnation=st.sampled_from(("", "other")),
    mode=st.sampled_from((pb.START_OR_ATTACH, pb.START_ONCE)),
    offset=OFFSETS,
    resume=st.booleans(),
    credit_bytes=st.sampled_from((0, 150, 10_000)),
    deadline_seconds=st.just(100.0),
    reserved_tokens=st.just(5),
    fingerprint=st.sampled_from(("f", "f", "g")),
    **NAMES,
)
ATTACHES = st.builds(
    pb.Attach,
    offset=OFFSETS,
    consumed_offset=OFFSETS,
    credit_bytes=st.sampled_from((0, 150, 10_000)),
    sidecar_incarnation=st.just(""),
    attempt=st.sampled_from(("", *ATTEMPTS)),
    fingerprint=st.just("f"),
    **NAMES,
)
LOOKUPS = st.builds(pb.Lookup, key=NAMES["key"], offset=OFFSETS)
CREDITS = st.builds(pb.Credit, stream=NAMES["stream"], consumed_offset=OFFSETS)
CANCELS = st.builds(pb.Cancel, stream=NAMES["stream"])


def short_lists(items):
    return st.lists(items, max_size=2)


FRAMES = st.builds(
    pb.RouterFrame,
    starts=short_lists(STARTS),
    attaches=short_lists(ATTACHES),
    credits=short_lists(CREDITS),
    cancels=short_lists(CANCELS),
    lookups=short_lists(LOOKUPS),
    acked_receipts=short_lists(st.sampled_from(ATTEMPTS)),
    fence_requests=short_lists(st.just("someone")),
    liveness_queries=short_lists(st.just("someone")),
    suspects=short_lists(st.just("s")),
    bundle=st.sampled_from((b"", b"nonsense")),
    sequence=integers_up_to(3),
    saw_draining=st.booleans(),
)
STEPS = st.lists(
    st.tuples(
        integers_up_to(1), st.one_of(FRAMES, FRAMES, st.sampled_from(("open", "run")))
    ),
    max_size=20,
)


class SidecarPropertyTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(STEPS)
    def test_any_frames(self, steps):
        asyncio.run(self.check(steps))

    async def check(self, steps):
        self.sidecar = sidecar = make_sidecar()
        self.attempts = {}
        links = [self.open(router) for router in range(2)]
        for router, step in steps:
            if step == "open":
                links[router] = self.open(router)
            elif step == "run":
                for _ in range(20):
                    await asyncio.sleep(0)
            else:
                for start in step.starts:
                    is_current = start.sidecar_incarnation != "other"
                    start.sidecar_incarnation = (
                        sidecar.incarnation if is_current else "x"
                    )
                for attach in step.attaches:
                    attach.sidecar_incarnation = sidecar.incarnation
                sidecar.link_frame(links[router], step)
            for link in links:
                self.read_frame(link)
        store = sidecar._store
        self.assertEqual(store.held_bytes, sum(a.held_bytes for a in store._answers))
        for link in links:
            sidecar.link_closed(link)
        for answer in list(store.unfinished()):
            sidecar._executor.cancel(answer)
        for _ in range(200):
            await asyncio.sleep(0)
        store.expire(float("inf"))
        self.assertEqual((list(store.unfinished()), store.held_bytes), ([], 0))

    def open(self, router):
        hello = pb.RouterHello(incarnation=f"router-{router}")
        link = SidecarLink(hello, 0.0)
        self.sidecar.link_opened(link)
        return link

    def read_frame(self, link):
        """Take the next frame of a link and check its chunks and ends."""
        frame = link.outbox.frame
        link.outbox.frame = pb.SidecarFrame()
        self.sidecar.fill_frame(link, frame)
        attempts = self.attempts.setdefault(link, {})
        for accepted in frame.accepted:
            attempts[accepted.stream] = accepted.attempt
        for chunk in frame.chunks:
            body = body_of(attempts[chunk.stream])
            expected = body[chunk.offset : chunk.offset + len(chunk.data)]
            self.assertEqual(chunk.data, expected)
            self.assertTrue(chunk.data)
        for end in frame.ends:
            if end.outcome == pb.COMPLETE and end.ran:
                self.assertEqual(end.length, ANSWER_BYTES)


def make_sidecar():
    """Return a sidecar with small limits, a fake backend server and no sockets."""
    sidecar = Sidecar(SidecarSettings("s", "z", "http://127.0.0.1:1"))
    sidecar._store = AnswerStore(stream_bytes=1000, held_bytes=2500)
    sidecar._readers = ReaderRegistry(sidecar._store)
    sidecar._executor = Executor(
        queue=AdmissionQueue(2, 10, 100.0),
        quarantine=Quarantine(),
        backend=FakeBackend(sidecar._append_data),
        store=sidecar._store,
        receipts=sidecar._receipts,
        evidence=sidecar._evidence,
        on_answer_ended=sidecar._answer_ended,
    )
    sidecar._control_messages = sidecar._make_control_messages()
    return sidecar


if __name__ == "__main__":
    unittest.main()
