"""Tests of the placement experiment."""

import unittest

from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import Pattern, make_trace
from bluebellshore.emulator.trial import play
from bluebellshore.experiments.placement import COLUMNS, run


class PlacementExperimentTest(unittest.TestCase):
    def test_same_seed_gives_the_same_table(self):
        tables = [str(next(run([2], [Pattern.CRASH], [Policy("p")]))) for _ in "ab"]
        self.assertEqual(tables[0], tables[1])
        self.assertEqual(tables[0].count("\n"), 4)

    def test_each_pattern_has_a_trace_of_its_own(self):
        traces = {
            pattern: [
                [(a.at, a.customer, a.prompt, a.patient) for a in trace.arrivals],
                trace.disturbances,
            ]
            for pattern in Pattern
            for trace in [make_trace(pattern, 1, 0.2)]
        }
        seen = []
        for pattern, trace in traces.items():
            with self.subTest(pattern):
                self.assertNotIn(trace, seen)
                seen.append(trace)

    def test_each_request_is_counted_once(self):
        trace = make_trace(Pattern.RETRY_ABUSE, 1, 0.5)
        measures = play(trace, Policy("p"))
        self.assertEqual(measures.outcomes.total(), len(trace.arrivals))
        self.assertEqual(len(COLUMNS), 12)
