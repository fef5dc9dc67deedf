"""Tests of the order and completeness of answers, and of racing writes of routers."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from types import SimpleNamespace

import xxhash

from bluebellshore.budget import FixedPolicy
from bluebellshore.errors import RefusedError
from bluebellshore.moves import MoveState, decode_row
from bluebellshore.router.relay import DONE_EVENT, Relay
from bluebellshore.router.streams import RouterStream, StreamEnded
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire import link_pb2 as pb
from tests.test_budget_accountant import PREPAID, AccountantCase
from tests.test_moves_controller import Clock, Router
from tests.test_moves_tracker import verdict

PEER = SimpleNamespace(instance_id="s1")


def make_stream() -> RouterStream:
    return RouterStream(PEER, pb.Start(stream=1))


def make_end(body: bytes, **fields) -> pb.End:
    checksum = xxhash.xxh3_64_intdigest(body)
    end = pb.End(
        stream=1, outcome=pb.COMPLETE, length=len(body), checksum=checksum, ran=True
    )
    end.MergeFrom(pb.End(**fields))
    return end


class StreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_data_comes_once_and_in_order(self):
        stream = make_stream()
        self.assertTrue(stream.add_chunk(pb.Chunk(offset=0, data=b"ab")))
        self.assertFalse(stream.add_chunk(pb.Chunk(offset=3, data=b"d")))
        self.assertFalse(stream.add_end(make_end(b"abcd")))
        self.assertTrue(stream.add_chunk(pb.Chunk(offset=0, data=b"abc")))
        self.assertTrue(stream.add_chunk(pb.Chunk(offset=3, data=b"d")))
        self.assertTrue(stream.add_end(make_end(b"abcd")))
        events = [await stream.next_event() for _ in range(4)]
        self.assertEqual(events[:3], [b"ab", b"c", b"d"])
        self.assertTrue(stream.is_complete(events[3].end))

    def test_changed_or_short_answer_is_not_whole(self):
        stream = make_stream()
        stream.add_chunk(pb.Chunk(offset=0, data=b"abx"))
        self.assertTrue(stream.is_complete(make_end(b"abx")))
        self.assertFalse(stream.is_complete(make_end(b"abc")))
        self.assertFalse(stream.is_complete(make_end(b"abx", length=4)))
        self.assertFalse(stream.is_complete(make_end(b"abx", outcome=pb.FAILED)))


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def test_end_mark_waits_for_the_check(self):
        async def resume(stream, progress, failure):
            return None

        pool = SimpleNamespace(record_consumed=lambda *_: None, close=lambda _: None)
        stream = make_stream()
        relay = Relay(
            pool,
            stream,
            on_failure=lambda stream, failure: None,
            is_events=True,
            resume=resume,
        )
        stream.add_chunk(pb.Chunk(offset=0, data=b"data: x\n\n" + DONE_EVENT))
        self.assertIsNone(await relay.wait_for_first_event())
        body = aiter(relay)
        self.assertEqual(await anext(body), b"data: x\n\n")
        stream.push(StreamEnded(make_end(b"data: x\n\n" + DONE_EVENT)))
        self.assertEqual(await anext(body), DONE_EVENT)


class InterruptedTable(MemoryTable):
    """Table that awaits a callback right after a read, before the reader can write."""

    def __init__(self):
        super().__init__()
        self.after_read = None

    async def read(self, keys):
        rows = await super().read(keys)
        callback, self.after_read = self.after_read, None
        if callback is not None:
            await callback()
        return rows


class MoveConditionTest(unittest.IsolatedAsyncioTestCase):
    async def test_verdict_between_read_and_write_of_a_controller_stands(self):
        table, clock = InterruptedTable(), Clock()
        old, new = (Router(table, clock, epoch=epoch) for epoch in (1, 2))
        await old.run_second()
        table.after_read = lambda: old.controller.record_verdict(verdict())
        await new.run_second()
        row = decode_row(table.rows_by_key["move/m"])
        self.assertIs(row.state, MoveState.ROLLED_BACK)
        await new.run_second()
        self.assertEqual(new.tracker.snapshot()[0].share, 0.0)


class ConditionTest(AccountantCase):
    async def test_racing_grants_stay_within_the_budget(self):
        """Stagger the routers, so that some write between another's read and write."""
        self.table.faults.delay_seconds = 0.01
        async with AsyncExitStack() as stack:
            routers = [
                await stack.enter_async_context(self.router(f"r{n}", FixedPolicy(1)))
                for n in range(6)
            ]
            reservations = []
            for router in routers:
                reserve = router.reserve("acme", "a", "s1", 4000, wait_seconds=1.0)
                reservations.append(asyncio.ensure_future(reserve))
                await asyncio.sleep(0.004)
            outcomes = await asyncio.gather(*reservations, return_exceptions=True)
            granted = [o for o in outcomes if not isinstance(o, RefusedError)]
            self.assertEqual(granted, [None] * (PREPAID // 4000), outcomes)
            for router in routers:
                router.release("a")


if __name__ == "__main__":
    unittest.main()
