"""Tests of the reasons in the log lines of loans."""

import asyncio
import unittest
from unittest import mock

from bluebellshore.decisions import DecisionLog
from bluebellshore.entry import loans
from bluebellshore.entry.loans import Loan, LoanClient, LoanOutcome
from bluebellshore.ids import CustomerId, IncarnationId, Tokens

LENDER = IncarnationId("lender.1")


class SilentTransport:
    """Calls to a router that never answers."""

    def reachable(self):
        return [LENDER]

    serving = reachable

    async def borrow(self, peer, loan):
        await asyncio.Event().wait()

    async def repay(self, peer, name, tokens):
        await asyncio.Event().wait()


class LoanReasonTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_lender_was_logged_as_a_timeout_without_its_length(self):
        # "TimeoutError" was also what the request's own time limits would give.
        lines = []
        client = LoanClient(
            SilentTransport(),
            IncarnationId("own.1"),
            lambda customer: {},
            asyncio.get_running_loop().time,
            DecisionLog(lines.append),
        )
        with (
            mock.patch.object(loans, "LENDER_CALL_TIMEOUT_SECONDS", 0.02),
            mock.patch.object(loans, "REPAY_RETRY_SECONDS", 0.0),
            mock.patch.object(loans, "MAX_REPAY_CALLS", 2),
        ):
            loan = Loan("own.1/1", CustomerId("c"), Tokens(5))
            outcome, _ = await client.borrow(loan)
            await client.close(30.0)
        self.assertIs(outcome, LoanOutcome.UNREACHABLE)
        self.assertEqual(
            [(line["reason"], line["inputs"].get("not_repaid")) for line in lines],
            [("no answer for 0.02 s", None), ("no answer for 0.02 s", 0)],
        )
