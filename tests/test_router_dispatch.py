"""Tests of calls that run at most once, whose outcome a router must record."""

import asyncio
import random
import unittest
from types import SimpleNamespace
from unittest import mock

from bluebellshore.duties import Claims, ClaimState
from bluebellshore.errors import RefusedError, RunState
from bluebellshore.ids import RouteName
from bluebellshore.router.calls import Call
from bluebellshore.router.dispatch import Dispatcher
from bluebellshore.router.streams import RouterStream, StreamEnded, StreamRefused
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire import link_pb2 as pb
from tests.system import ORDERS, small_bundle
from tests.test_router_guards import make_end

BUNDLE = small_bundle()
ROUTE = RouteName(ORDERS)
BODY = b"one spool"


class FakePool:
    """Pool of one sidecar, whose streams a test fills."""

    def __init__(self):
        hello = pb.SidecarHello(version=BUNDLE.routes[ROUTE].version)
        self.peer = SimpleNamespace(instance_id="s1", incarnation="s1.1", hello=hello)
        self.streams: asyncio.Queue[RouterStream] = asyncio.Queue()

    def new_stream_id(self):
        return 1

    def open(self, peer, start):
        stream = RouterStream(peer, start)
        self.streams.put_nowait(stream)
        return stream

    def close(self, stream):
        stream.closed = True

    def record_consumed(self, stream, size):
        pass

    def by_incarnation(self, incarnation):
        return None


class OnceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.pool, self.table = FakePool(), MemoryTable()
        self.dispatcher = Dispatcher(
            incarnation="r1",
            pool=self.pool,
            reservations=mock.Mock(reserve=mock.AsyncMock(return_value="a1")),
            claims=Claims(self.table, rng=random.Random(1)),
            move_tracker=mock.Mock(),
            balancer=mock.Mock(),
            gossip=mock.Mock(),
            lookups=mock.Mock(),
            current_bundle=lambda: BUNDLE,
            retry_share=0.1,
            credit_bytes=0,
        )
        chooser = mock.Mock(choose=mock.AsyncMock(return_value=self.pool.peer))
        self.dispatcher._chooser = chooser

    def open(self) -> asyncio.Task:
        """Begin the call."""
        self.call = Call(
            customer="acme",
            budget="acme",
            weight=1,
            route_name=ROUTE,
            route=BUNDLE.routes[ROUTE],
            key="acme/k1",
            has_caller_key=True,
            idempotent=False,
            method="POST",
            path="/",
            headers={},
            body=BODY,
            reserved_tokens=1,
            price=1,
            deadline=asyncio.get_running_loop().time() + 60.0,
        )
        return asyncio.create_task(self.dispatcher.open(self.call))

    async def claim_state(self) -> ClaimState:
        """Return what a retry of the call at another router finds."""
        claims = Claims(self.table, rng=random.Random(2))
        claim = await claims.claim(self.call.key, "s2", "r2", self.call.fingerprint)
        return claim.state

    async def test_stop_forgets_a_call_whose_caller_left(self):
        # A retry was told that the call may have run, though its answer had come.
        opening = self.open()
        stream = await self.pool.streams.get()
        opening.cancel()
        await asyncio.wait([opening])
        stopping = asyncio.create_task(self.dispatcher.stop())
        await asyncio.sleep(0.05)
        stream.add_chunk(pb.Chunk(offset=0, data=BODY, status=200))
        stream.push(StreamEnded(make_end(BODY)))
        await stopping
        self.assertIs(ClaimState.DONE, await self.claim_state())

    async def test_claim_whose_release_failed_counts_as_released(self):
        # The call was claimed anew, in vain, and refused as if it might have run twice.
        release = mock.AsyncMock(side_effect=KeyError("odd"))
        self.enterContext(mock.patch.object(Claims, "release", release))
        opening = self.open()
        stream = await self.pool.streams.get()
        refused = pb.Refused(run=pb.NOT_RUN, status=503, reason="busy", elsewhere=True)
        stream.push(StreamRefused(refused))
        async with asyncio.timeout(30.0):
            with self.assertRaisesRegex(RefusedError, "busy") as caught:
                await opening
        self.assertIs(RunState.NOT_RUN, caught.exception.run)


if __name__ == "__main__":
    unittest.main()
