"""Tests of telling a task's own cancellation from that of what it awaits."""

import asyncio
import unittest

from bluebellshore.cancellation import is_cancelling, run_together


async def fail():
    raise ValueError


async def wait_for_ever():
    await asyncio.Event().wait()


class RunTogetherTest(unittest.IsolatedAsyncioTestCase):
    async def test_failed_group_leaves_its_caller_cancelled(self):
        # A later cancellation of what the caller awaits was taken for its own.
        with self.assertRaises(ExceptionGroup):
            await run_together(fail, wait_for_ever)
        self.assertFalse(is_cancelling())

    async def test_cancelled_group_goes_on(self):
        ended = asyncio.Event()

        async def loop():
            try:
                await wait_for_ever()
            finally:
                ended.set()

        task = asyncio.create_task(run_together(loop, wait_for_ever))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        self.assertTrue(ended.is_set())


if __name__ == "__main__":
    unittest.main()
