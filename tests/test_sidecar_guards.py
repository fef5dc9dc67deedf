"""Guarantees of a sidecar, tested over plain gRPC links in the place of routers."""

import asyncio
import unittest
from collections import Counter
from contextlib import asynccontextmanager

import grpc
from aiohttp import web

from bluebellshore.operator_port import bind
from bluebellshore.settings import SidecarSettings
from bluebellshore.sidecar import Sidecar
from bluebellshore.sidecar.backend import EVENT_STREAM_TYPE, READ_BYTES
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire import link_pb2_grpc
from bluebellshore.wire.router_link import TOKEN_METADATA_KEY

LINK_TOKEN = "token"
PRICE_TOKENS = 10
BUFFER_BYTES = 64 * 1024
LONG_BODY_BYTES = 8 * 1024 * 1024
IDLE_ROUND_TRIPS = 20


class Backend:
    """Plain service that answers once `gate` is set.

    :ivar runs: number of executions by request key.
    :ivar events: events of a stream that come before `gate` is set.
    """

    def __init__(self):
        self.gate = asyncio.Event()
        self.runs: Counter[str] = Counter()
        self.body = b"done"
        self.events: list[bytes] = []

    @asynccontextmanager
    async def serve(self):
        app = web.Application()
        app.add_routes([web.post("/", self._answer)])
        runner = web.AppRunner(app)
        await runner.setup()
        try:
            yield f"http://{await bind(runner, '127.0.0.1:0')}"
        finally:
            self.gate.set()
            await runner.cleanup()

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        self.runs[request.headers["x-request-key"]] += 1
        if self.events:
            response = web.StreamResponse(headers={"Content-Type": EVENT_STREAM_TYPE})
            await response.prepare(request)
            for event in self.events:
                await response.write(event)
                await asyncio.sleep(0.01)
            await self.gate.wait()
            return response
        await self.gate.wait()
        return web.Response(body=self.body)


class RawLink:
    """Link of a router that merges all received frames into `received`."""

    def __init__(self, call):
        self.call = call
        self.received = pb.SidecarFrame()
        self._sequence = 0

    async def read(self):
        while (frame := await self.call.read()) is not grpc.aio.EOF:
            self.received.MergeFrom(frame)

    async def send(self, **fields):
        await self.call.write(pb.RouterFrame(**fields))

    async def wait_until(self, condition):
        async with asyncio.timeout(60):
            while not condition():
                await asyncio.sleep(0.01)

    async def round_trip(self):
        self._sequence += 1
        await self.send(sequence=self._sequence)
        await self.wait_until(lambda: self.received.sequence >= self._sequence)

    def data_size(self) -> int:
        return sum(len(chunk.data) for chunk in self.received.chunks)


class SidecarGuardsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.backend = Backend()
        url = await self.enterAsyncContext(self.backend.serve())
        settings = SidecarSettings(
            instance_id="s1",
            zone="zone-a",
            platform_url="http://127.0.0.1:1",
            link_token=LINK_TOKEN,
            silent_seconds=120.0,
            backend_url=url,
            routes=["orders"],
            version="v1",
            stream_buffer_bytes=BUFFER_BYTES,
        )
        self.sidecar = Sidecar(settings)
        await self.sidecar.start()
        self.stopping = None
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.backend.gate.set()
        self.sidecar.settings.drain_seconds = 0.0
        await (self.stopping or self.sidecar.stop())

    @asynccontextmanager
    async def open_link(self, incarnation):
        async with grpc.aio.insecure_channel(
            self.sidecar.address, options=(("grpc.use_local_subchannel_pool", 1),)
        ) as channel:
            stub = link_pb2_grpc.LinkStub(channel)
            call = stub.Open(metadata=((TOKEN_METADATA_KEY, LINK_TOKEN),))
            link = RawLink(call)
            await link.send(hello=pb.RouterHello(incarnation=incarnation))
            reader = asyncio.ensure_future(link.read())
            try:
                await link.round_trip()
                yield link
            finally:
                reader.cancel()
                call.cancel()
                await asyncio.gather(reader, return_exceptions=True)

    def make_start(self, attempt, key="acme/k", **fields):
        start = pb.Start(
            stream=1,
            key=key,
            attempt=attempt,
            sidecar_incarnation=self.sidecar.incarnation,
            mode=pb.START_ONCE,
            customer="acme",
            budget="acme",
            route="orders",
            version="v1",
            reserved_tokens=PRICE_TOKENS,
            price=PRICE_TOKENS,
            deadline_seconds=60.0,
            method="POST",
            path="/",
            fingerprint="f",
        )
        start.MergeFrom(pb.Start(**fields))
        return start

    async def test_fenced_incarnation_is_refused_as_not_run(self):
        async with self.open_link("r1") as fenced, self.open_link("r2") as other:
            await other.send(fence_requests=["r1"])
            await other.wait_until(lambda: other.received.fence_replies)
            self.assertTrue(other.received.fence_replies[0].confirmed)
            self.backend.gate.set()
            await fenced.send(starts=[self.make_start("a1")])
            await fenced.wait_until(
                lambda: fenced.received.refused or fenced.received.ends
            )
            self.assertEqual(fenced.received.refused[0].run, pb.NOT_RUN)
            self.assertTrue(fenced.received.refused[0].fenced)
            await other.send(starts=[self.make_start("b1")])
            await other.wait_until(lambda: other.received.ends)
        self.assertEqual(self.backend.runs, {"acme/k": 1})

    async def test_fence_waits_for_running_requests_and_returns_receipts(self):
        async with self.open_link("r1") as fenced, self.open_link("r2") as other:
            await fenced.send(starts=[self.make_start("a1")])
            await fenced.wait_until(lambda: self.backend.runs)
            await other.send(fence_requests=["r1"])
            await other.wait_until(lambda: other.received.fence_replies)
            self.assertFalse(other.received.fence_replies[0].confirmed)
            self.backend.gate.set()
            await fenced.wait_until(lambda: fenced.received.ends)
            await other.send(fence_requests=["r1"])
            await other.wait_until(lambda: len(other.received.fence_replies) == 2)
            reply = other.received.fence_replies[1]
            self.assertTrue(reply.confirmed)
            self.assertEqual([r.attempt for r in reply.receipts], ["a1"])

    async def test_receipt_is_repeated_on_each_link_until_acknowledged(self):
        self.backend.gate.set()
        async with self.open_link("r1") as link:
            await link.send(starts=[self.make_start("a1")])
            await link.wait_until(lambda: link.received.receipts)
        async with self.open_link("r1") as link:
            self.assertEqual([r.attempt for r in link.received.receipts], ["a1"])
            await link.send(acked_receipts=["a1"])
            await link.round_trip()
        async with self.open_link("r1") as link:
            self.assertFalse(link.received.receipts)

    async def test_request_sent_again_joins_the_one_run(self):
        async with self.open_link("r1") as first, self.open_link("r2") as second:
            await first.send(starts=[self.make_start("a1")])
            await first.wait_until(lambda: self.backend.runs)
            await second.send(starts=[self.make_start("b1")])
            await second.wait_until(
                lambda: second.received.accepted or second.received.refused
            )
            self.assertTrue(second.received.accepted[0].joined)
            self.assertEqual(second.received.accepted[0].attempt, "a1")
            self.backend.gate.set()
            for link in (first, second):
                await link.wait_until(lambda link=link: link.received.ends)
                self.assertEqual(link.received.chunks[0].data, b"done")
            await second.send(starts=[self.make_start("b2", stream=2)])
            await second.wait_until(lambda: len(second.received.ends) == 2)
            self.assertEqual(second.received.accepted[1].attempt, "a1")
        self.assertEqual(self.backend.runs, {"acme/k": 1})

    async def test_order_for_an_earlier_incarnation_is_unknown(self):
        async with self.open_link("r1") as link:
            first = self.make_start("a1", sidecar_incarnation="s1.before")
            retry = self.make_start("a2", stream=2, sidecar_incarnation="s1.before")
            retry.mode = pb.START_OR_ATTACH
            await link.send(starts=[first, retry])
            await link.wait_until(lambda: len(link.received.refused) == 2)
            runs = {refused.stream: refused.run for refused in link.received.refused}
            self.assertEqual(runs, {1: pb.UNKNOWN, 2: pb.NOT_RUN})
        self.assertFalse(self.backend.runs)

    async def test_sends_no_more_than_the_credit_allows(self):
        self.backend.body = bytes(LONG_BODY_BYTES)
        self.backend.gate.set()
        async with self.open_link("r1") as link:
            await link.send(
                starts=[self.make_start("a1", "acme/~k", credit_bytes=1000)]
            )
            await link.wait_until(lambda: link.data_size() >= 1000)
            await link.wait_until(
                lambda: self.sidecar.snapshot()["held_bytes"] >= BUFFER_BYTES
            )
            for _ in range(IDLE_ROUND_TRIPS):
                await link.round_trip()
            self.assertEqual(link.data_size(), 1000)
            peak = self.sidecar.snapshot()["peak_held_bytes"]
            self.assertLessEqual(peak, BUFFER_BYTES + READ_BYTES)
            await link.send(cancels=[pb.Cancel(stream=1)])
            await link.round_trip()

    async def test_cancelled_stream_shows_its_times(self):
        """A caller who gives up a slow stream, as callers of slow versions do."""
        self.backend.events = [b'data: {"choices":[{"delta":{"content":"x"}}]}\n\n'] * 3
        async with self.open_link("r1") as link:
            start = self.make_start("a1", "acme/~k", credit_bytes=10_000)
            start.price = 0
            await link.send(starts=[start])
            size = sum(len(event) for event in self.backend.events)
            await link.wait_until(lambda: link.data_size() >= size)
            await link.send(cancels=[pb.Cancel(stream=1, attempt="a1")])
            await link.wait_until(lambda: not list(self.sidecar._store.unfinished()))
        (evidence,) = [e for e in self.sidecar._evidence.to_wire() if e.version == "v1"]
        self.assertEqual((evidence.requests, evidence.failures), (0, 0))
        self.assertEqual(sum(evidence.first_token_buckets), 1)
        self.assertEqual(sum(evidence.between_token_buckets), 1)

    async def test_stopping_sidecar_refuses_new_requests(self):
        async with self.open_link("r1") as link:
            await link.send(starts=[self.make_start("a1")])
            await link.wait_until(lambda: self.backend.runs)
            self.stopping = asyncio.ensure_future(self.sidecar.stop())
            await link.wait_until(lambda: link.received.load.draining)
            await link.send(starts=[self.make_start("a2", "acme/k2", stream=2)])
            await link.wait_until(
                lambda: link.received.refused or len(self.backend.runs) > 1
            )
            self.assertEqual(link.received.refused[0].run, pb.NOT_RUN)
            await asyncio.sleep(0.5)
            self.assertFalse(self.stopping.done())
            self.backend.gate.set()
            await link.wait_until(lambda: link.received.ends)
            self.assertEqual(link.received.ends[0].outcome, pb.COMPLETE)
        self.assertEqual(self.backend.runs, {"acme/k": 1})

    async def test_verdict_reaches_the_other_routers(self):
        async with self.open_link("r1") as judge, self.open_link("r2") as other:
            await judge.send(verdicts=[pb.Verdict(move="m", reason="bad")])
            await judge.round_trip()
            await other.round_trip()
            self.assertEqual([v.move for v in other.received.verdicts], ["m"])


if __name__ == "__main__":
    unittest.main()
