"""Tests of the takeover of requests from a fenced router incarnation."""

import asyncio
import unittest
from types import SimpleNamespace

from bluebellshore.errors import FencedError, OverloadError, RunState
from bluebellshore.router.takeover import Takeover


def fenced(run=RunState.NOT_RUN):
    return FencedError("this incarnation is fenced", step="test", run=run)


class FakeOpener:
    """Opens calls with `answer`, an error or a string."""

    def __init__(self, answer):
        self.answer = answer
        self.calls = []

    async def open(self, call):
        self.calls.append(call)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fence_checks = 0

    def check_fence(self):
        self.fence_checks += 1

    def takeover(self, answer):
        opener = FakeOpener(answer)
        return Takeover(opener, check_fence=self.check_fence), opener

    def call(self, seconds=60.0):
        return SimpleNamespace(deadline=asyncio.get_running_loop().time() + seconds)

    async def test_a_live_incarnation_opens_its_calls(self):
        takeover, _ = self.takeover("own")
        takeover.pass_to(FakeOpener("other"))
        self.assertEqual(await takeover.open(self.call()), "own")
        self.assertEqual(self.fence_checks, 0)

    async def test_a_fenced_call_waits_for_the_successor(self):
        takeover, _ = self.takeover(fenced())
        call = self.call()
        waiting = asyncio.ensure_future(takeover.open(call))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.assertEqual(self.fence_checks, 1)
        successor = FakeOpener("new")
        takeover.pass_to(successor)
        self.assertEqual(await waiting, "new")
        self.assertEqual(successor.calls, [call])

    async def test_a_fenced_successor_passes_calls_on(self):
        first, _ = self.takeover(fenced())
        second, _ = self.takeover(fenced())
        first.pass_to(second)
        second.pass_to(FakeOpener("third"))
        self.assertEqual(await first.open(self.call()), "third")

    async def test_a_call_that_may_have_run_is_not_passed_on(self):
        takeover, _ = self.takeover(fenced(RunState.UNKNOWN))
        successor = FakeOpener("new")
        takeover.pass_to(successor)
        with self.assertRaises(FencedError):
            await takeover.open(self.call())
        self.assertEqual(successor.calls, [])

    async def test_other_refusals_are_not_passed_on(self):
        takeover, _ = self.takeover(OverloadError("full", step="test"))
        successor = FakeOpener("new")
        takeover.pass_to(successor)
        with self.assertRaises(OverloadError):
            await takeover.open(self.call())
        self.assertEqual(successor.calls, [])

    async def test_a_call_waits_no_longer_than_its_deadline(self):
        takeover, _ = self.takeover(fenced())
        with self.assertRaises(FencedError):
            await takeover.open(self.call(seconds=0.01))

    async def test_a_stop_refuses_waiting_calls(self):
        takeover, _ = self.takeover(fenced())
        waiting = asyncio.ensure_future(takeover.open(self.call()))
        await asyncio.sleep(0)
        takeover.give_up()
        with self.assertRaises(FencedError):
            await waiting
        takeover.pass_to(FakeOpener("late"))

    async def test_a_caller_that_leaves_disturbs_no_other(self):
        takeover, _ = self.takeover(fenced())
        waiting = [asyncio.ensure_future(takeover.open(self.call())) for _ in range(2)]
        await asyncio.sleep(0)
        waiting[0].cancel()
        await asyncio.gather(waiting[0], return_exceptions=True)
        takeover.pass_to(FakeOpener("new"))
        self.assertEqual(await waiting[1], "new")


if __name__ == "__main__":
    unittest.main()
