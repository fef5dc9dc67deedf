"""Tests of placement."""

import unittest

import msgspec

from bluebellshore.emulator.measures import Outcome
from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import Pattern, make_trace
from bluebellshore.emulator.trial import play
from bluebellshore.experiments.placement_policies import (
    BoundedLoadPlacer,
    LeastRunningPlacer,
)
from bluebellshore.routing.load import LoadTracker
from bluebellshore.routing.placement import Placement, PlacementRefusal, Placer, Wait
from bluebellshore.routing.results import AttemptResult
from tests.routing_calls import ENGINES, PLAIN, call, servers

SHARED_PARTS = (("system", 2000), ("subject", 4000))


def prompt(number, tokens=500):
    return (*SHARED_PARTS, (f"own-{number}", tokens))


class PlacerTest(unittest.TestCase):
    def setUp(self):
        self.servers = servers(6, slots=32)
        self.loads, self.placer = self.router()

    def router(self, zone="z0"):
        loads = LoadTracker()
        loads.configure([ENGINES, PLAIN])
        return loads, Placer(loads, zone)

    def place(self, request, now=0.0, placer=None, exclude=frozenset()):
        return (placer or self.placer).place(request, self.servers, now, exclude)

    def test_routers_agree_on_the_server_of_a_shared_part(self):
        for number in range(20):
            parts = ((f"subject-{number}", 3000), (f"own-{number}", 200))
            assigned = {
                self.place(call(*parts), placer=self.router(zone)[1]).server
                for zone in ("z0", "z1", "z2")
            }
            self.assertEqual(len(assigned), 1)

    def test_shared_parts_are_spread_over_all_engines(self):
        assigned = {
            self.place(call(("system", 2000), (f"s{i}", 3000), (f"o{i}", 9))).server
            for i in range(60)
        }
        self.assertEqual(len(assigned), 6)

    def test_a_request_goes_where_its_parts_are_cached(self):
        cached_at = self.servers[3]
        ticket = self.loads.begin(call(*prompt(0)), cached_at, 0.0)
        self.loads.record_first_event(ticket, 0.2)
        place = self.place(call(*prompt(1)), now=0.3)
        self.assertEqual(place.server, cached_at)
        self.assertEqual(place.cached_tokens, 6000)

    def test_engine_with_cached_parts_and_a_long_backlog_is_avoided(self):
        cached_at = self.servers[3]
        ticket = self.loads.begin(call(*prompt(0)), cached_at, 0.0)
        self.loads.record_first_event(ticket, 0.2)
        for i in range(3):
            self.loads.begin(call((f"long-{i}", 9000)), cached_at, 0.2)
        place = self.place(call(*prompt(1)), now=0.3)
        self.assertNotEqual(place.server, cached_at)

    def test_request_waits_while_no_engine_has_the_memory(self):
        for server in self.servers:
            self.loads.begin(call((f"x-{server.server_id}", 45_000)), server, 0.0)
        for ticket in range(1, 7):
            self.loads.record_first_event(ticket, 1.0)
        decision = self.place(call(("new", 10_000)), now=1.0)
        self.assertIsInstance(decision, Wait)
        self.assertIsInstance(self.place(call(("new", 1000)), now=1.0), Placement)

    def test_request_waits_while_all_engines_have_a_long_backlog(self):
        for server in self.servers:
            self.loads.begin(call((f"x-{server.server_id}", 30_000)), server, 0.0)
        self.assertIsInstance(self.place(call(("new", 1000)), now=0.1), Wait)

    def test_slots_are_reserved_for_urgent_requests(self):
        for server in self.servers:
            for i in range(29):
                ticket = self.loads.begin(call((f"x-{i}", 10)), server, 0.0)
                self.loads.record_first_event(ticket, 0.1)
        self.assertIsInstance(self.place(call(("n", 9), priority=2), now=1.0), Wait)
        self.assertIsInstance(
            self.place(call(("n", 9), priority=0), now=1.0), Placement
        )

    def test_request_larger_than_any_engines_memory_is_refused(self):
        decision = self.place(call(("huge", 60_000)))
        self.assertIsInstance(decision, PlacementRefusal)

    def test_no_server_left(self):
        server_ids = {server.server_id for server in self.servers}
        self.assertIsInstance(self.place(call(), exclude=server_ids), PlacementRefusal)

    def test_plain_requests_go_to_the_least_loaded_and_wait_when_all_are_full(self):
        self.servers = servers(3, "plain", slots=2)
        chosen = []
        for _ in range(6):
            request = call(service="plain")
            place = self.place(request)
            chosen.append(place.server.server_id)
            self.loads.begin(request, place.server, 0.0)
        self.assertEqual(len(set(chosen[:3])), 3)
        self.assertIsInstance(self.place(call(service="plain")), Wait)

    def test_own_zone_breaks_ties(self):
        self.servers = servers(2, "plain") + servers(2, "plain-far", zone="z1")
        for _ in range(20):
            place = self.place(call(service="plain"))
            self.assertEqual(place.server.zone, "z0")

    def test_slow_engine_is_avoided(self):
        self.servers = servers(4, slots=32)
        for i in range(60):
            server = self.servers[i % 4]
            ticket = self.loads.begin(call((f"p{i}", 500)), server, 0.1 * i)
            seconds = 0.4 if i % 4 == 0 else 0.05
            self.loads.record_first_event(ticket, 0.1 * i + seconds)
            self.loads.end(ticket, AttemptResult.ANSWERED, 0.1 * i + seconds + 0.01)
        chosen = [
            self.place(call((f"q{i}", 500)), now=6.2).server.server_id
            for i in range(40)
        ]
        self.assertNotIn("engines-0", chosen)

    def test_of_many_engines_the_assigned_ones_and_a_sample_are_considered(self):
        self.servers = servers(300, slots=32)
        assigned = [
            self.place(call(("s", 3000), (f"o{i}", 9))).server.server_id
            for i in range(30)
        ]
        self.assertEqual(len(set(assigned)), 1)
        for i in range(10):
            self.loads.begin(call((f"long-{i}", 9000)), self.servers[0], 0.0)
        chosen = {
            self.place(call((f"s{i}", 300), (f"o{i}", 9))).server.server_id
            for i in range(100)
        }
        self.assertGreater(len(chosen), 60)

    def test_routers_with_the_same_report_do_not_all_choose_the_idle_engine(self):
        for server in self.servers[:5]:
            for i in range(8):
                ticket = self.loads.begin(call((f"x-{i}", 10)), server, 0.0)
                self.loads.record_first_event(ticket, 0.1)
        report = self.loads.take_report()
        chosen = []
        for i in range(40):
            loads, placer = self.router()
            loads.merge_report("peer", report, 1.0)
            place = self.place(call((f"new-{i}", 50)), now=1.0, placer=placer)
            chosen.append(place.server.server_id)
        idle = chosen.count("engines-5")
        self.assertTrue(3 <= idle <= 20, idle)


class BacklogBlindPlacer(Placer):
    """Ignores prompts that engines have yet to read."""

    def _make_option(self, call, server, now):
        option = super()._make_option(call, server, now)
        option.load.prefill_tokens = 0
        seconds = option.expected_seconds - option.backlog_seconds
        return msgspec.structs.replace(
            option, expected_seconds=seconds, backlog_seconds=0.0
        )


class ReplayTest(unittest.TestCase):
    """Fails if cached parts, affinity or the backlog are ignored in the cost."""

    def compare(self, pattern, *placers):
        trace = make_trace(pattern, 1)
        return [play(trace, Policy("", placer=placer)) for placer in placers]

    def test_shared_parts_are_read_less_often(self):
        full_cost, least_running = self.compare(
            Pattern.CALM, Placer, LeastRunningPlacer
        )
        self.assertLess(full_cost.read_again, 0.5 * least_running.read_again)
        self.assertLess(full_cost.first_event_p95, least_running.first_event_p95)

    def test_new_engines_without_cached_parts(self):
        full_cost, bounded = self.compare(Pattern.COLD, Placer, BoundedLoadPlacer)
        self.assertLess(full_cost.read_again, 0.85 * bounded.read_again)

    def test_long_prompts_beside_long_answers(self):
        full_cost, blind = self.compare(Pattern.LONG, Placer, BacklogBlindPlacer)
        self.assertLess(full_cost.first_event_p95, 0.85 * blind.first_event_p95)
        self.assertGreater(
            full_cost.share(Outcome.IN_TIME), blind.share(Outcome.IN_TIME)
        )
