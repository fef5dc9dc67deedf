"""Tests of the sidecar's admission queue."""

import random
import unittest

from bluebellshore.ids import CustomerId, RequestKey
from bluebellshore.sidecar.queue import AdmissionQueue, QueuedRequest


def make_request(name, customer="a", **fields):
    return QueuedRequest(
        name, RequestKey(f"{customer}/{name}"), CustomerId(customer), **fields
    )


class AdmissionQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = AdmissionQueue(2, queue_limit=8, queue_seconds=20.0)

    def start_next(self, now=0.0):
        item = self.queue.start_next(now)
        return item and item.attempt

    def test_never_runs_more_than_the_limit(self):
        rng = random.Random(1)
        running = []
        for step in range(2000):
            self.queue.offer(make_request(f"r{step}", suspect=rng.random() < 0.1), step)
            while item := self.queue.start_next(step):
                running.append(item)
            self.assertLessEqual(len(running), 2)
            if any(item.suspect for item in running):
                self.assertEqual(len(running), 1)
            if running and rng.random() < 0.8:
                item = running.pop(rng.randrange(len(running)))
                self.queue.record_finish(item, step, overloaded=rng.random() < 0.05)

    def test_starts_higher_priority_first(self):
        self.queue.offer(make_request("low", priority=2), 0.0)
        self.queue.offer(make_request("high", priority=0), 0.0)
        self.assertEqual(self.start_next(), "high")

    def test_is_fair_by_weight(self):
        queue = AdmissionQueue(1, queue_limit=200, queue_seconds=20.0)
        for i in range(60):
            queue.offer(make_request(f"a{i}", "a", weight=1), 0.0)
            queue.offer(make_request(f"b{i}", "b", weight=3), 0.0)
        counts = {"a": 0, "b": 0}
        for _ in range(40):
            item = queue.start_next(0.0)
            counts[item.customer] += 1
            queue.record_finish(item, 0.0, overloaded=False)
        self.assertEqual(counts, {"a": 10, "b": 30})

    def test_flood_does_not_shut_out_another_customer(self):
        refused = [self.queue.offer(make_request(f"f{i}"), 0.0) for i in range(20)]
        self.assertEqual(refused[-1].status, 503)
        self.assertIsNone(self.queue.offer(make_request("x", "b"), 0.0))
        self.assertEqual(len(self.queue.take_dropped(0.0)), 1)
        self.assertEqual(self.queue.offer(make_request("g"), 0.0).status, 429)

    def test_flood_of_higher_priority_does_not_starve_another_customer(self):
        queue = AdmissionQueue(1, queue_limit=200, queue_seconds=20.0)
        for i in range(100):
            queue.offer(make_request(f"f{i}", "flood", priority=0), 0.0)
        for i in range(10):
            queue.offer(make_request(f"b{i}", "b", priority=1), 0.0)
        started = []
        for _ in range(30):
            started.append(queue.start_next(0.0))
            queue.record_finish(started[-1], 0.0, overloaded=False)
        self.assertEqual(sum(item.customer == "b" for item in started), 10)

    def test_high_priority_displaces_low(self):
        for i in range(8):
            self.queue.offer(make_request(f"low{i}", priority=2), 0.0)
        for i in range(8):
            self.assertIsNone(
                self.queue.offer(make_request(f"high{i}", priority=0), 0.0)
            )
        self.assertEqual(len(self.queue.take_dropped(0.0)), 4)

    def test_drops_expired_work_unrun(self):
        self.queue.offer(make_request("late", deadline=1.0), 0.0)
        self.assertIsNone(self.start_next(1.0))
        self.assertEqual(
            [item.attempt for item in self.queue.take_dropped(1.0)], ["late"]
        )
        self.assertEqual(
            self.queue.offer(make_request("x", deadline=1.0), 2.0).status, 503
        )

    def test_refuses_deadline_that_cannot_be_met(self):
        queue = AdmissionQueue(1, queue_limit=8, queue_seconds=20.0)
        queue.offer(make_request("first"), 0.0)
        queue.record_finish(queue.start_next(0.0), 4.0, overloaded=False)
        for name in "abc":
            queue.offer(make_request(name), 4.0)
        refusal = queue.offer(make_request("d", deadline=6.0), 4.0)
        self.assertEqual(refusal.reason, "deadline cannot be met")

    def test_suspect_runs_alone_and_is_not_starved(self):
        self.queue.offer(make_request("suspect", suspect=True), 0.0)
        for i in range(4):
            self.queue.offer(make_request(f"r{i}"), 0.0)
        first = self.queue.start_next(0.0)
        self.assertEqual(first.attempt, "r0")
        self.assertIsNone(self.start_next(2.0))
        self.queue.record_finish(first, 2.0, overloaded=False)
        suspect = self.queue.start_next(2.0)
        self.assertEqual(suspect.attempt, "suspect")
        self.assertIsNone(self.start_next(2.0))
        self.queue.record_finish(suspect, 3.0, overloaded=False)
        self.assertEqual(self.start_next(3.0), "r1")

    def test_limit_falls_and_recovers(self):
        queue = AdmissionQueue(10, queue_limit=100, queue_seconds=20.0)
        for i in range(100):
            queue.offer(make_request(f"r{i}"), 0.0)
        running = [queue.start_next(0.0) for _ in range(10)]
        for item in running:
            queue.record_finish(item, 0.5, overloaded=True)
        self.assertEqual(queue.limit, 7)
        for _ in range(60):
            queue.record_finish(queue.start_next(1.0), 1.0, overloaded=False)
        self.assertEqual(queue.limit, 10)

    def test_cancel_removes_a_waiting_request(self):
        self.queue.offer(make_request("x"), 0.0)
        self.assertTrue(self.queue.cancel("x"))
        self.assertFalse(self.queue.cancel("x"))
        self.assertIsNone(self.start_next())
