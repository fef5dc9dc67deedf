"""Tests of calls in progress when a peer stops answering."""

import asyncio
import contextlib
import unittest
from unittest import mock

from bluebellshore.entry import peers
from bluebellshore.entry.loans import Loan
from bluebellshore.entry.peers import PeerExchange
from bluebellshore.errors import BluebellshoreError, LinkError
from bluebellshore.ids import CustomerId, Tokens
from bluebellshore.store import TableChange
from tests.test_entry_peers import WAIT_TIMEOUT_SECONDS, GossipRouter
from tests.test_entry_platform_state import configuration_row


class SilentLender:
    """A lender that takes requests for loans and never answers them."""

    def __init__(self):
        self.asked = asyncio.Event()

    async def obtain(self, loan):
        self.asked.set()
        await asyncio.Event().wait()


class SilentPeerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # Replaced once routers know each other: an exchange that may take long.
        self.answers = PeerExchange.Exchange

        async def exchange(exchanged, request, context):
            return await self.answers(exchanged, request, context)

        self.enterContext(mock.patch.object(PeerExchange, "Exchange", exchange))

    @contextlib.asynccontextmanager
    async def connected_routers(self):
        first = GossipRouter("r0", ())
        second = GossipRouter("r1", (first.address,))
        second.peers.loan_server = SilentLender()
        async with contextlib.AsyncExitStack() as stack:
            for router in (first, second):
                await router.start()
                stack.push_async_callback(router.stop)
            await self.until(lambda: first.peers.serving())
            yield first, second

    async def until(self, condition):
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while not condition():
                await asyncio.sleep(0.02)

    async def never_answer(self, exchanged, request, context):
        await asyncio.Event().wait()

    async def borrow(self, router, loan="loan"):
        loan = Loan(loan, CustomerId("acme"), Tokens(1))
        await router.peers.borrow(router.peers.serving()[0], loan)

    async def test_request_that_waits_for_a_loan_is_cancelled_as_its_peer_is_silent(
        self,
    ):
        # The failed exchanges closed the connection on which the request waited.
        async with self.connected_routers() as (first, second):
            (peer,) = first.peers.peers_by_address.values()
            self.answers = self.never_answer
            incarnation = first.peers.serving()[0]
            loans = 0
            while peer.failures < 2 * peers.FAILURES_TO_RECONNECT:
                loan = Loan(f"loan-{loans}", CustomerId("acme"), Tokens(1))
                with self.assertRaises(LinkError):
                    await first.peers.borrow(incarnation, loan)
                loans += 1
            self.assertGreater(loans, 1)

    async def test_loan_is_cancelled_by_the_stop_of_the_exchange(self):
        async with self.connected_routers() as (first, second):
            borrowing = asyncio.create_task(self.borrow(first))
            await second.peers.loan_server.asked.wait()
            await first.peers.stop()
            with self.assertRaises(BluebellshoreError):
                await borrowing

    async def test_loan_that_its_request_gives_up_is_not_an_error_of_the_peer(self):
        async with self.connected_routers() as (first, second):
            borrowing = asyncio.create_task(self.borrow(first))
            await second.peers.loan_server.asked.wait()
            borrowing.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await borrowing

    async def test_failed_exchanges_end_the_call_that_asks_for_rows(self):
        # A large configuration on a slow link takes longer than an exchange may.
        async with self.connected_routers() as (first, second):
            (peer,) = first.peers.peers_by_address.values()
            asked, answer, times_asked = asyncio.Event(), asyncio.Event(), []
            exchange = self.answers

            async def slow(exchanged, request, context):
                if not request.store_lost:
                    await asyncio.Event().wait()
                asked.set()
                times_asked.append(len(times_asked))
                await answer.wait()
                return await exchange(exchanged, request, context)

            row = configuration_row(7, 5)
            second.platform_state.apply("op", TableChange([row], {}, 5), 0.0)
            self.answers = slow
            with mock.patch.object(peers, "ASK_TIMEOUT_SECONDS", WAIT_TIMEOUT_SECONDS):
                first.store_lost = True
                await asked.wait()
                failures = peer.failures + 2 * peers.FAILURES_TO_RECONNECT
                await self.until(lambda: peer.failures >= failures)
                answer.set()
                await self.until(lambda: first.platform_state.configuration)
            self.assertEqual([0], times_asked)


if __name__ == "__main__":
    unittest.main()
