"""Simulates moves of good and bad versions: one seed of each experiment case."""

import asyncio
import unittest

from bluebellshore.experiments.moves import Case, Trial
from bluebellshore.moves import MoveState


class MoveCasesTest(unittest.TestCase):
    def run_case(self, case):
        return asyncio.run(Trial(case, seed=1).run(routes=2))

    def test_good_versions_are_moved_in_time(self):
        for case in filter(lambda case: case.good, Case):
            with self.subTest(case):
                result = self.run_case(case)
                self.assertIs(result.state, MoveState.DONE)
                self.assertIs(result.other_route_state, MoveState.DONE)

    def test_bad_versions_are_rolled_back(self):
        for case in filter(lambda case: not case.good, Case):
            with self.subTest(case):
                result = self.run_case(case)
                self.assertIs(result.state, MoveState.ROLLED_BACK)

    def test_bad_route_does_not_affect_the_move_of_another(self):
        result = self.run_case(Case.ONE_ROUTE)
        self.assertIs(result.other_route_state, MoveState.DONE)
