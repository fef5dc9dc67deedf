"""Tests of a whole entry router whose store can't be reached."""

import asyncio
import unittest
from unittest import mock

import aiohttp
import msgspec
from aiohttp import web

from bluebellshore.decisions import DecisionLog
from bluebellshore.entry import router, stop_schedule
from bluebellshore.entry.ejection_log import EjectionLog
from bluebellshore.entry.peers import PeerExchange
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.settings import EntrySettings
from bluebellshore.ids import IncarnationId
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.outlier_detection import OutlierDetector
from bluebellshore.routing.results import AttemptResult
from tests.entry_fixtures import server


def settings_without_store(**changes):
    """Return settings whose store refuses all connections."""
    values = {
        "instance_id": "i",
        "zone": "z",
        "listen": "127.0.0.1:0",
        "ready_listen": "",
        "store_address": "127.0.0.1:1",
        "stop_seconds": 1.0,
        "metrics_listen": "127.0.0.1:0",
    }
    return EntrySettings(**(values | changes))


class RouterTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **changes):
        lines = []
        patch = mock.patch.object(stop_schedule, "ACCEPT_SECONDS", 0.0)
        patch.start()
        self.addCleanup(patch.stop)
        settings = settings_without_store(**changes)
        entry = router.EntryRouter(settings, log=DecisionLog(lines.append))
        await entry.start()
        self.addAsyncCleanup(entry.stop)
        return entry, lines

    async def test_running_router_serves_its_metrics_and_state(self):
        entry, _ = await self.start()
        async with aiohttp.ClientSession() as session:
            async with session.get(f"http://{entry.address}/a") as response:
                self.assertEqual(response.status, 503)
            base = f"http://{entry.operator_address}"
            async with session.get(f"{base}/metrics") as response:
                text = await response.text()
            async with session.get(f"{base}/state") as response:
                state = await response.json()
        for sample in (
            "configuration_number 0.0",
            "store_lost 1.0",
            'refusals_total{reason="ingress",status="503"} 1.0',
        ):
            self.assertIn(f"bluebellshore_{sample}\n", text)
        self.assertEqual((state["configuration"], state["peers"]), (None, []))
        self.assertEqual(state["incarnation"], entry.incarnation)

    async def test_router_serves_without_its_metrics_when_the_port_is_taken(self):
        entry, _ = await self.start()
        second, lines = await self.start(metrics_listen=entry.operator_address)
        self.assertEqual(second.operator_address, "")
        subjects = [line.get("subject") for line in lines]
        self.assertIn("metrics", subjects)
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{second.address}/a") as response,
        ):
            self.assertEqual(response.status, 503)


class StopTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_that_was_requested_during_the_start_has_less_time_left(self):
        entry = router.EntryRouter(settings_without_store(stop_seconds=60.0))
        await entry.start()
        entry.stop_requested_at = asyncio.get_running_loop().time() - 58.0
        await entry.stop()
        schedule = entry._ingress.stop_schedule
        self.assertEqual(entry.stop_requested_at, schedule.began_at)
        self.assertEqual(entry.stop_requested_at + 59.5, schedule.close_at)

    async def test_stop_that_was_requested_during_the_start_cuts_no_request(self):
        # A request was begun whose time ended sooner than the platform allows.
        entry = router.EntryRouter(settings_without_store(stop_seconds=60.0))
        await entry.start()
        entry.stop_requested_at = now = asyncio.get_running_loop().time()
        await entry.stop()
        schedule = entry._ingress.stop_schedule
        self.assertFalse(schedule.accepts(schedule.settle_at + 0.1, now))
        self.assertTrue(schedule.accepts(schedule.settle_at - 0.1, now))

    async def test_router_without_store_stops_in_time_and_logs_the_steps(self):
        lines = []
        settings = settings_without_store()
        with mock.patch.object(stop_schedule, "ACCEPT_SECONDS", 0.0):
            entry = router.EntryRouter(settings, log=DecisionLog(lines.append))
            await entry.start()
            await entry.stop()
        stops = [line for line in lines if line.get("subject") == "stop"]
        self.assertEqual(
            [line["reason"] for line in stops],
            [
                "all requests ended",
                "settling did not end in time; the successor settles budgets",
            ],
        )
        self.assertEqual(stops[1]["inputs"], {"lost": True, "unfinished": 0})
        self.assertEqual(entry.snapshot()["active_requests"], 0)

    async def test_slow_end_of_budgets_was_logged_as_a_store_without_an_answer(self):
        # The store counts as answering, and no request is in flight.
        lines = []
        settings = settings_without_store()
        with mock.patch.object(stop_schedule, "ACCEPT_SECONDS", 0.0):
            entry = router.EntryRouter(settings, log=DecisionLog(lines.append))
            await entry.start()
            entry._budgets.close = asyncio.Event().wait
            entry._router_registry.deregister = mock.AsyncMock()
            now = asyncio.get_running_loop().time()
            entry._watch._confirmed_at = dict.fromkeys(
                entry._watch._confirmed_at, now + 60.0
            )
            await entry.stop()
        stop = [line for line in lines if line.get("subject") == "stop"][-1]
        self.assertEqual(
            stop["reason"],
            "settling did not end in time; the successor settles budgets",
        )
        self.assertEqual(stop["inputs"], {"lost": False, "unfinished": 0})

    async def test_budgets_that_fail_to_settle_cut_no_request(self):
        # An unreadable budget row ended the stop before requests in flight were done.
        lines = []
        entry = router.EntryRouter(
            settings_without_store(stop_seconds=60.0), log=DecisionLog(lines.append)
        )
        arrived, failed, gate = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def answer(request, sink):
            arrived.set()
            await gate.wait()
            return web.Response(text="whole")

        async def close_budgets():
            failed.set()
            raise msgspec.DecodeError("damaged row")

        async with aiohttp.ClientSession() as session:
            with mock.patch.multiple(
                stop_schedule, ACCEPT_SECONDS=0.0, SETTLE_RESERVE_SECONDS=59.5
            ):
                await entry.start()
                entry._ingress._answer = answer
                entry._budgets.close = close_budgets
                task = asyncio.create_task(session.get(f"http://{entry.address}/a"))
                await arrived.wait()
                stop = asyncio.create_task(entry.stop())
                await asyncio.wait(
                    {stop, asyncio.create_task(failed.wait())},
                    return_when=asyncio.FIRST_COMPLETED,
                )
                self.assertFalse(stop.done())
                gate.set()
                async with await task as response:
                    self.assertEqual("whole", await response.text())
                await stop
        reasons = [line["reason"] for line in lines if line.get("subject") == "stop"]
        self.assertIn("budgets were not settled; the successor does that", reasons)

    async def test_request_that_arrives_while_budgets_close_is_not_cut(self):
        entry = router.EntryRouter(settings_without_store(stop_seconds=60.0))
        arrived, closing, gate = asyncio.Event(), asyncio.Event(), asyncio.Event()

        async def answer(request, sink):
            arrived.set()
            await gate.wait()
            return web.Response(text="whole")

        async def close_budgets():
            closing.set()
            await arrived.wait()

        async with aiohttp.ClientSession() as session:
            with mock.patch.object(stop_schedule, "ACCEPT_SECONDS", 0.0):
                await entry.start()
                entry._ingress._answer = answer
                entry._budgets.close = close_budgets
                gate.set()
                async with session.get(f"http://{entry.address}/open") as response:
                    await response.read()
                gate.clear()
                arrived.clear()
                stop = asyncio.create_task(entry.stop())
                await closing.wait()
                late = asyncio.create_task(session.get(f"http://{entry.address}/late"))
                await arrived.wait()
                await asyncio.sleep(10 * router.DRAIN_POLL_SECONDS)
                gate.set()
                self.assertEqual(await (await late).text(), "whole")
                await stop


class PeerContactLogTest(unittest.TestCase):
    def test_silent_peer_is_lost_and_regained_with_its_next_contact(self):
        lines = []
        peers = PeerExchange(
            address="me:1",
            seeds=("other:1",),
            instance_id="i",
            incarnation=IncarnationId("i.1"),
            platform_state=PlatformState(2.0),
            loads=LoadTracker(),
            store_lost=lambda: False,
            log=DecisionLog(lines.append),
        )
        peer = peers.peers_by_address["other:1"]
        clock = mock.Mock(return_value=100.0)
        with mock.patch("bluebellshore.entry.peers.time.monotonic", clock):
            peers._record_contact(peer, "other.1")
            peers._record_contact(peer, "other.1")
            peers._log_lost_contacts(101.0)
            clock.return_value = 103.0
            peers._log_lost_contacts(103.0)
            peers._log_lost_contacts(104.0)
            peers._record_contact(peer, "other.2")
        contacts = [(line["contact"], line["alive"]) for line in lines]
        self.assertEqual(contacts, [("regained", 1), ("lost", 0), ("regained", 1)])
        self.assertEqual(lines[1]["silent_seconds"], 3.0)


class EjectionLogTest(unittest.TestCase):
    def test_each_change_is_logged_once_with_its_inputs(self):
        lines = []
        outliers = OutlierDetector()
        ejections = EjectionLog(outliers, DecisionLog(lines.append))
        both = [server("a"), server("b")]
        for now in (1.0, 1.1, 1.2):
            outliers.record_result("a", AttemptResult.UNREACHABLE, 0.0, now)
        outliers.usable(both, 1.3)
        ejections.log_changes()
        ejections.log_changes()
        outliers.reset("a")
        ejections.log_changes()
        logged = [(line["server"], line["belief"]) for line in lines]
        self.assertEqual(logged, [("a", "suspected"), ("a", "trusted")])
        self.assertEqual(lines[0]["inputs"]["lost_streak"], 3)


if __name__ == "__main__":
    unittest.main()
