"""Tests of orders that a sidecar refuses because their router is fenced."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.duties.claims import ClaimResult, ClaimState
from bluebellshore.errors import FencedError, RefusedError, RunState
from bluebellshore.router import dispatch
from bluebellshore.router.dispatch import Dispatcher
from bluebellshore.router.relay import AttemptFailure
from bluebellshore.wire import link_pb2 as pb


class RefusedOrderTest(unittest.IsolatedAsyncioTestCase):
    def dispatcher(self, failure, release):
        """Return a dispatcher whose only attempt ends in `failure`.

        :param release: releases the claim.
        """
        dispatcher = Dispatcher(
            incarnation="i",
            pool=mock.Mock(),
            reservations=mock.Mock(),
            claims=mock.Mock(release=release),
            move_tracker=mock.Mock(),
            balancer=mock.Mock(),
            gossip=mock.Mock(),
            lookups=mock.Mock(),
            current_bundle=mock.Mock(),
            retry_share=0.1,
            credit_bytes=0,
        )
        dispatcher._chooser = mock.Mock(choose=mock.AsyncMock())
        dispatcher._reserve = mock.AsyncMock(return_value=pb.Start(attempt="a"))
        claimed = ClaimResult(ClaimState.CLAIMED)
        dispatcher._claim = mock.AsyncMock(return_value=claimed)
        dispatcher._wait_for_answer = mock.AsyncMock(return_value=failure)
        return dispatcher

    async def refusal(self, failure, release):
        call = mock.Mock(idempotent=False, key="c/k")
        with self.assertRaises(RefusedError) as raised:
            await self.dispatcher(failure, release).open(call)
        return raised.exception

    async def test_a_fence_shows_once_the_claim_is_released(self):
        failure = AttemptFailure("fenced", ran=False, may_retry=False, fenced=True)
        released = mock.AsyncMock()
        error = await self.refusal(failure, released)
        self.assertIsInstance(error, FencedError)
        self.assertIs(error.run, RunState.NOT_RUN)
        released.assert_awaited_once_with("c/k")

    async def test_an_order_that_is_still_claimed_is_not_passed_on(self):
        failure = AttemptFailure("fenced", ran=False, may_retry=False, fenced=True)

        async def never(key):
            await asyncio.Event().wait()

        with mock.patch.object(dispatch, "MAX_RECORD_WAIT_SECONDS", 0.01):
            error = await self.refusal(failure, never)
        self.assertNotIsInstance(error, FencedError)

    async def test_other_refusals_are_no_fence(self):
        failure = AttemptFailure("full", ran=False, may_retry=False)
        error = await self.refusal(failure, mock.AsyncMock())
        self.assertNotIsInstance(error, FencedError)


if __name__ == "__main__":
    unittest.main()
