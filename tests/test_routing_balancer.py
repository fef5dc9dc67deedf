"""Tests of the load balancing policies and of the retry budget."""

import collections
import random
import unittest

from bluebellshore.routing import (
    Candidate,
    PowerOfTwoBalancer,
    RetryBudget,
    RoundRobinBalancer,
)


def candidates(*loads, zone="z1"):
    return [
        Candidate(f"s{i}.x", f"s{i}", zone, "v1", 10, reported_load=load)
        for i, load in enumerate(loads)
    ]


class PowerOfTwoTest(unittest.TestCase):
    def setUp(self):
        self.balancer = PowerOfTwoBalancer(random.Random(1), "z1")

    def choose(self, nodes, key=None, prefix=b"", exclude=frozenset()):
        return self.balancer.choose(nodes, key=key, prefix=prefix, exclude=exclude)

    def test_never_takes_draining_or_excluded(self):
        nodes = candidates(0, 0, 9)
        nodes[0].draining = True
        for key in (None, "a/1"):
            chosen = self.choose(nodes, key=key, prefix=b"p", exclude={"s1.x"})
            self.assertEqual(chosen.sidecar, "s2.x")
        self.assertIsNone(self.choose(nodes[:1]))

    def test_never_takes_the_most_loaded(self):
        chosen = {self.choose(candidates(1, 2, 9)).sidecar for _ in range(100)}
        self.assertEqual(chosen, {"s0.x", "s1.x"})

    def test_keyed_request_stays_unless_overloaded(self):
        nodes = candidates(0, 0, 0, 0)
        assigned = self.choose(nodes, key="a/1")
        assigned.reported_load = 12
        self.assertIs(self.choose(nodes, key="a/1"), assigned)
        assigned.reported_load = 30
        self.assertIsNot(self.choose(nodes, key="a/1"), assigned)

    def test_routers_agree_on_a_key_when_a_node_leaves(self):
        nodes = candidates(*[0] * 8)
        for i in range(50):
            assigned = self.choose(nodes, key=f"a/{i}")
            remaining = [n for n in nodes if n is assigned or n is not nodes[i % 8]]
            other = PowerOfTwoBalancer(random.Random(2), "z2")
            again = other.choose(remaining, key=f"a/{i}", prefix=b"", exclude=set())
            self.assertIs(again, assigned)

    def test_prefix_affinity_is_bounded(self):
        nodes = candidates(*[4] * 8)
        assigned = []
        for _ in range(2):
            assigned.append(self.choose(nodes, prefix=b"prompt"))
            self.assertIs(self.choose(nodes, prefix=b"prompt"), assigned[-1])
            assigned[-1].reported_load = 9
        self.assertIsNot(assigned[0], assigned[1])
        chosen = {self.choose(nodes, prefix=b"prompt").sidecar for _ in range(100)}
        self.assertGreater(len(chosen), 4)

    def test_prefix_affinity_ignores_full_sidecars(self):
        nodes = candidates(*[11] * 8)
        chosen = {self.choose(nodes, prefix=b"prompt").sidecar for _ in range(100)}
        self.assertEqual(len(chosen), 8)

    def test_prefers_own_zone_until_it_is_loaded(self):
        local, remote = candidates(1, 1), candidates(0, 0, zone="z2")
        zones = collections.Counter(self.choose(local + remote).zone for _ in range(50))
        self.assertEqual(zones, {"z1": 50})
        for node in local:
            node.reported_load = 9
        self.assertEqual(self.choose(local + remote).zone, "z2")

    def test_round_robin_takes_turns(self):
        balancer = RoundRobinBalancer()
        nodes = candidates(0, 9, 0)
        chosen = [
            balancer.choose(nodes, key=None, prefix=b"", exclude=set()).sidecar
            for _ in range(6)
        ]
        self.assertEqual(sorted(chosen[:3]), ["s0.x", "s1.x", "s2.x"])
        self.assertEqual(chosen[:3], chosen[3:])


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_share_of_requests(self):
        budget = RetryBudget(0.1)
        allowed = 0
        for _ in range(1000):
            budget.deposit(0.0)
            allowed += budget.withdraw(0.0)
        self.assertLessEqual(allowed, 0.1 * 1000 + 3)
        self.assertGreaterEqual(allowed, 99)

    def test_minimum_rate_refills(self):
        budget = RetryBudget(0.1)
        self.assertEqual(sum(budget.withdraw(0.0) for _ in range(10)), 3)
        self.assertTrue(budget.withdraw(2.0))
        self.assertFalse(budget.withdraw(2.0))
