"""Tests of routers before backend servers that limit what they take."""

import asyncio
import time
import unittest

from bluebellshore.backend import Backpressure
from bluebellshore.experiments.rate_limits import (
    EXCESS_RATIO,
    EXTRA_REQUESTS,
    WINDOW_SECONDS,
    most_in_window,
)
from bluebellshore.load.fleet import wait_until
from bluebellshore.platform.requests import read_backpressure
from bluebellshore.routing.backpressure import BackpressureTracker
from tests.entry_fixtures import server
from tests.entry_system import EntryTestCase

#: Time after a router passed on an answer with the limit, before which its requests
#: don't count.
TOLD_SLACK_SECONDS = 0.5

#: From so long after a server asked for a pause until its end, at most so many requests
#: of one router reach it.
PAUSE_SLACK_SECONDS, MOST_IN_A_PAUSE = 0.5, 2


def most_allowed(requests_per_second):
    """Return the requests that a limited server may get within the window."""
    return EXCESS_RATIO * WINDOW_SECONDS * requests_per_second + EXTRA_REQUESTS


class ReadBackpressureTest(unittest.TestCase):
    def test_limit_is_a_decimal_number(self):
        stated = read_backpressure(200, {"Server-Limit": "2.4"})
        self.assertEqual(2.4, stated.requests_per_second)

    def test_malformed_limit_counts_as_none(self):
        for value in ("", "many", "nan", "inf", "-1"):
            with self.subTest(value):
                stated = read_backpressure(200, {"Server-Limit": value})
                self.assertIsNone(stated.requests_per_second)

    def test_pause_is_asked_for_by_503_only(self):
        headers = {"Retry-After": "2.5"}
        self.assertEqual(2.5, read_backpressure(503, headers).pause_seconds)
        for status, value in ((429, "2.5"), (200, "2.5"), (503, "soon"), (503, "")):
            with self.subTest(status=status, value=value):
                stated = read_backpressure(status, {"Retry-After": value})
                self.assertEqual(0.0, stated.pause_seconds)


class BackpressureTrackerTest(unittest.TestCase):
    def test_limit_holds_until_a_later_request_is_answered_without_one(self):
        tracker, limited = BackpressureTracker(), server("a")
        self.assertIsNotNone(
            tracker.record_answer(limited, Backpressure(2.0), 0.0, 1.0)
        )
        self.assertEqual(2.0, tracker.limit_of(limited))
        self.assertIsNone(tracker.record_answer(limited, Backpressure(), 0.5, 1.5))
        self.assertEqual(2.0, tracker.limit_of(limited))
        self.assertIsNotNone(tracker.record_answer(limited, Backpressure(), 1.1, 1.6))
        self.assertIsNone(tracker.limit_of(limited))

    def test_leaving_is_told_on_and_ends_with_a_restart_only(self):
        told, other, leaving = BackpressureTracker(), BackpressureTracker(), server("a")
        told.record_answer(leaving, Backpressure(leaving=True), 0.0, 1.0)
        told.record_answer(leaving, Backpressure(), 1.5, 2.0)
        self.assertIsNone(told.seconds_until_allowed(leaving, 3.0))
        other.record_answer(leaving, Backpressure(2.0), 0.0, 9.0)
        self.assertEqual(1, len(other.merge(told.statements())))
        self.assertIsNone(other.seconds_until_allowed(leaving, 10.0))
        again = server("a", started_unix_ms=2)
        self.assertEqual(0.0, other.seconds_until_allowed(again, 10.0))

    def test_limit_ends_with_a_restart_of_the_server(self):
        tracker = BackpressureTracker()
        first = server("a", started_unix_ms=1)
        tracker.record_answer(first, Backpressure(2.0), 0.0, 1.0)
        self.assertIsNone(tracker.limit_of(server("a", started_unix_ms=2)))


class RateLimitTest(EntryTestCase):
    async def start_routers(self, count):
        """Start routers that know each other, before two servers of each service."""
        instances = [self.make_instance(f"entry-{number}") for number in range(count)]
        for instance in instances:
            instance.write(peers=tuple(other.peer for other in instances))
        self.configure()
        for service in ("plain", "streams"):
            for name in ("a", "b"):
                await self.add_runner(f"{service}-{name}", service, slots=64)
        for instance in instances:
            await self.start_router(instance)
        await self.wait_until_synced(*instances)
        await wait_until(
            lambda: all(
                len(instance.router.snapshot()["peers"]) == count - 1
                for instance in instances
            ),
            "the routers to know each other",
        )
        return instances

    async def test_router_reports_a_named_limit_and_its_end(self):
        (instance,) = await self.start_routers(1)
        limited = self.runners[0]
        limited.requests_per_second = 1000.0
        gauge = "bluebellshore_servers_limited"

        async def sees(count):
            await self.call(instance, "/safe/a")
            instance.router._set_gauges()
            value = instance.router._metrics.registry.get_sample_value(gauge)
            return value == count

        await wait_until(lambda: sees(1.0), "the limit to be seen")
        limited.requests_per_second = None
        await wait_until(lambda: sees(0.0), "its end to be seen")

    async def test_limit_reaches_routers_that_sent_nothing_there(self):
        instances = await self.start_routers(3)
        for runner in self.runners:
            runner.requests_per_second = 1000.0
        await self.call(instances[0], "/safe/a")

        def told():
            for instance in instances:
                instance.router._set_gauges()
            return all(
                instance.router._metrics.registry.get_sample_value(
                    "bluebellshore_servers_limited"
                )
                for instance in instances
            )

        await wait_until(told, "the other routers to be told")

    async def test_request_that_no_limit_allows_is_refused_at_once(self):
        # The router has just started, so it may not use any part of the rate yet.
        (instance,) = await self.start_routers(1)
        for runner in self.runners:
            runner.requests_per_second = 0.0
        statuses = [(await self.call(instance, "/safe/a"))[0] for _ in range(4)]
        self.assertEqual([200, 200, 503, 503], statuses)
        _, headers, _ = await self.call(instance, "/safe/a")
        self.assertGreater(float(headers["Retry-After"]), 0.0)

    async def test_routers_exceed_the_limit_that_a_server_named(self):
        # Each router sees its own requests only, but the limit is for their sum.
        instances = await self.start_routers(3)
        limited, seconds = self.runners[0], 7.0
        limited.requests_per_second = 1.5
        told_at = {}
        sender_by_attempt = {}

        async def send(instance):
            attempt = self.new_attempt_id()
            sender_by_attempt[attempt] = instance.name
            _, headers, _ = await self.call(
                instance, "/safe/a", headers=self.headers(attempt)
            )
            if "Server-Limit" in headers:
                told_at.setdefault(instance.name, time.monotonic())

        ends_at = time.monotonic() + seconds
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < ends_at:
                for instance in instances:
                    group.create_task(send(instance))
                await asyncio.sleep(0.1)
        counted = [
            seen.at
            for seen in limited.arrivals
            if seen.at
            > told_at.get(sender_by_attempt[seen.attempt_id], seen.at)
            + TOLD_SLACK_SECONDS
        ]
        allowed = most_allowed(limited.requests_per_second)
        self.assertLessEqual(most_in_window(counted), allowed)
        self.assertTrue(counted, "no router uses the rate that is left")

    async def test_request_reaches_a_server_that_said_it_leaves(self):
        # Its entry still says that it is ready.
        (instance,) = await self.start_routers(1)
        leaving = self.runners[0]
        leaving.says_it_leaves = True

        async def told():
            _, headers, _ = await self.call(instance, "/safe/a")
            return "Server-Leaving" in headers

        await wait_until(told, "an answer that says so")
        arrived = len(leaving.arrivals)
        for _ in range(20):
            self.assertEqual(200, (await self.call(instance, "/safe/a"))[0])
        self.assertEqual(arrived, len(leaving.arrivals))

    async def test_requests_reach_a_server_that_asked_for_a_pause(self):
        (instance,) = await self.start_routers(1)
        pausing, other = self.runners[:2]
        pausing.pause_seconds = 3.0
        other.settings.seconds = 0.2
        statuses = []

        async def send():
            statuses.append((await self.call(instance, "/safe/a"))[0])

        async with asyncio.TaskGroup() as group:
            for _ in range(24):
                group.create_task(send())
                await asyncio.sleep(0.1)
        self.assertEqual({200}, set(statuses))
        ends_at = pausing.arrivals[0].at + pausing.pause_seconds
        late = [
            seen
            for seen in pausing.arrivals[1:]
            if PAUSE_SLACK_SECONDS <= seen.at - pausing.arrivals[0].at
            and seen.at < ends_at
        ]
        self.assertLessEqual(len(late), MOST_IN_A_PAUSE)
