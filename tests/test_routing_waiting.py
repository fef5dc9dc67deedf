"""Tests of the queue of waiting requests."""

import unittest

from bluebellshore.emulator.measures import Outcome
from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import KINDS, Pattern, make_trace
from bluebellshore.emulator.trial import play
from bluebellshore.experiments.placement_policies import ArrivalQueue
from bluebellshore.routing.placement import PlacementRefusal
from bluebellshore.routing.waiting import Queued, WaitingQueue
from tests.routing_calls import call, route


def always_fits(_):
    return True


class WaitingQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = WaitingQueue(20)
        self.start(100)

    def start(self, times, priority=0, now=0.0):
        for _ in range(times):
            self.queue.record_start(call(priority=priority), now)

    def offer(self, *calls, now=0.0):
        return [self.queue.offer(c, now) for c in calls]

    def take(self, count, now=0.0):
        return [self.queue.take_next(now, always_fits) for _ in range(count)]

    def test_urgent_requests_go_first(self):
        self.start(100, priority=1)
        less_urgent, urgent = call(priority=1), call(priority=0)
        self.offer(less_urgent, urgent)
        self.assertEqual(self.take(3), [urgent, less_urgent, None])

    def test_least_urgent_requests_get_a_turn(self):
        self.start(100, priority=2)
        less_urgent = call(priority=2)
        self.offer(less_urgent, *(call(customer=f"c{i}") for i in range(12)))
        self.assertIn(less_urgent, self.take(8))

    def test_a_burst_of_one_customer_does_not_hold_up_others(self):
        self.offer(*(call(customer="heavy") for _ in range(8)))
        other = call(customer="light")
        self.assertIsInstance(self.offer(other)[0], Queued)
        self.assertIn(other, self.take(2))

    def test_requests_that_can_still_be_in_time_go_before_late_ones(self):
        late, fresh = call(now=0.0), call(now=0.5)
        self.offer(late)
        self.offer(fresh, now=0.5)
        self.assertEqual(self.take(2, now=0.7), [fresh, late])

    def test_the_next_that_fits_is_taken(self):
        first, second = call(), call()
        self.offer(first, second)
        self.assertIs(self.queue.take_next(0.0, lambda c: c is second), second)
        self.assertIs(self.queue.take_next(0.0, always_fits), first)

    def test_request_without_a_place_in_time_is_refused_at_once(self):
        queue = WaitingQueue(500)
        for i in range(20):
            queue.record_start(call(), 0.1 * i)
        offers = [queue.offer(call(now=2.0), 2.0) for _ in range(40)]
        taken = [o for o in offers if isinstance(o, Queued)]
        self.assertTrue(0 < len(taken) < 10)
        refused = [o for o in offers if isinstance(o, PlacementRefusal)]
        times = {o.retry_after_seconds for o in refused}
        self.assertGreater(len(times), len(refused) / 2)
        self.assertGreater(min(times), 0.1)

    def test_expected_wait_accounts_for_more_urgent_requests(self):
        self.start(2, priority=2)
        offers = self.offer(*(call(priority=2) for _ in range(4)))
        self.assertIsInstance(offers[0], Queued)
        self.assertIsInstance(offers[-1], PlacementRefusal)

    def test_hopeless_requests_expire(self):
        request = call(deadline=0.4)
        self.offer(request)
        self.assertEqual(self.queue.take_expired(0.3), [])
        [(expired, refuse)] = self.queue.take_expired(0.5)
        self.assertIs(expired, request)
        self.assertGreater(refuse.retry_after_seconds, 0.0)
        self.assertEqual(len(self.queue), 0)

    def test_request_expires_when_its_callers_patience_ends(self):
        request = call(deadline=60.0, route=route(objective=0.2))
        self.offer(request)
        self.assertEqual(len(self.queue.take_expired(2.1)), 1)

    def test_places_are_reserved_for_urgent_requests(self):
        self.start(2000, priority=3)
        self.start(2000, priority=0)
        for i in range(20):
            self.offer(call(priority=3, customer=f"c{i}"))
        self.assertEqual(len(self.queue), 11)
        urgent = [call(priority=0, customer=f"u{i}") for i in range(9)]
        self.assertNotIn(PlacementRefusal, map(type, self.offer(*urgent)))

    def test_full_queue_displaces_a_less_urgent_request(self):
        queue = WaitingQueue(2)
        for _ in range(1000):
            queue.record_start(call(), 0.0)
        first, second, urgent = call(priority=1), call(priority=0), call(priority=0)
        queue.record_start(first, 0.0)
        for request in (first, second, urgent):
            self.assertIsInstance(queue.offer(request, 0.0), Queued)
        self.assertEqual([c for c, _ in queue.take_expired(0.0)], [first])

    def test_withdraw(self):
        request = call()
        self.offer(request)
        self.assertTrue(self.queue.withdraw(request))
        self.assertFalse(self.queue.withdraw(request))
        self.assertIsNone(self.queue.take_next(0.0, always_fits))


class ReplayTest(unittest.TestCase):
    """Fails without priorities, fairness between customers or early refusal."""

    def outcomes(self, pattern):
        trace = make_trace(pattern, 1)
        first_come = Policy("", waiting=ArrivalQueue, priorities=False)
        return play(trace, Policy("")), play(trace, first_come)

    def test_burst(self):
        measured, baseline = self.outcomes(Pattern.BURST)
        self.assertGreater(measured.share(Outcome.IN_TIME), 0.78)
        self.assertGreater(
            measured.share(Outcome.IN_TIME), baseline.share(Outcome.IN_TIME) + 0.08
        )
        self.assertLess(measured.share(Outcome.FAILED), 0.03)
        self.assertGreater(measured.share(Outcome.REFUSED), 0.01)
        urgent = min(KINDS[:3], key=lambda kind: kind.route.priority)
        best = max(KINDS[:3], key=lambda kind: measured.kind_share(kind.route.name))
        self.assertIs(best, urgent)

    def test_hot_customer(self):
        measured, baseline = self.outcomes(Pattern.HOT_CUSTOMER)
        others = [f"c{i}" for i in range(9)]
        shares = [
            sum(m.customer_share(name) for name in others) / 9
            for m in (measured, baseline)
        ]
        self.assertGreater(shares[0], shares[1] + 0.1)
