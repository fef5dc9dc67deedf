"""Tests of the operator port."""

import asyncio
import unittest

import aiohttp

from bluebellshore.operator_port import OperatorPort


class HandOverTest(unittest.IsolatedAsyncioTestCase):
    def port(self, listen="127.0.0.1:0"):
        return OperatorPort(
            listen, "", snapshot=dict, offer_bundle=lambda update: False
        )

    async def test_connection_is_refused_while_the_incarnation_is_replaced(self):
        old, new = self.port(), self.port()
        address = await old.start()
        listener = await old.hand_over()
        async with aiohttp.ClientSession() as session:
            asked = asyncio.create_task(session.get(f"http://{address}/healthz"))
            await asyncio.sleep(0.1)
            self.assertFalse(asked.done())
            self.assertEqual(address, await new.start(listener))
            self.addAsyncCleanup(new.stop)
            async with await asked as response:
                self.assertEqual(200, response.status)


if __name__ == "__main__":
    unittest.main()
