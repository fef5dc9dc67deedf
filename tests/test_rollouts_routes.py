"""Tests of trying a target version on each of its service's routes."""

import unittest

from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey
from bluebellshore.rollouts.routes import (
    MAX_ROUTE_SHARE,
    MAX_WEIGHTED_SERVICE_SHARE,
    ROUTE_ANSWERS_RANGE,
    has_enough_results,
    route_share,
    route_weights,
)

#: Requests on each route of one site: one rare route beside two others.
RARE = {"a": 600, "b": 300, "c": 100}


def counts(
    sent_by_route: dict[str, int], answers_by_route: dict[str, int] | None = None
) -> dict[CountsKey, AttemptCounts]:
    """Return what both versions' servers show."""
    found = {}
    for route, sent in sent_by_route.items():
        key = CountsKey(RouteName(route), BackendServerId("o0"), False)
        found[key] = AttemptCounts(sent=sent, ended=sent)
    for route, ended in (answers_by_route or {}).items():
        key = CountsKey(RouteName(route), BackendServerId("n0"), True)
        found[key] = AttemptCounts(sent=ended, ended=ended)
    return found


class WeightsTest(unittest.TestCase):
    def parts(self, sent_by_route: dict[str, int]) -> dict[str, float]:
        """Return each route's part of what the target version gets."""
        weights = route_weights(counts(sent_by_route))
        total = sum(sent_by_route.values())
        return {route: weights[route] * sent_by_route[route] / total for route in RARE}

    def test_route_that_got_less_than_its_due_makes_up_for_it(self) -> None:
        """Draws gave one route 10 of 25 requests, and the rare one too many."""
        tried = {"a": 19, "b": 10, "c": 53}
        weights = route_weights(counts(RARE, tried))
        due = route_weights(counts(RARE))
        self.assertGreater(weights["b"], 1.5 * due["b"])
        self.assertLess(weights["c"], due["c"])
        sent = {route: RARE[route] + tried[route] for route in RARE}
        taken = sum(weights[route] * sent[route] for route in sent)
        self.assertAlmostEqual(taken / sum(sent.values()), 1.0)

    def test_all_routes_together_get_the_share(self) -> None:
        self.assertAlmostEqual(sum(self.parts(RARE).values()), 1.0)

    def test_rare_route_gets_most_of_the_first_share(self) -> None:
        """A route with a tenth of the requests gets few once the share is high."""
        parts = self.parts(RARE)
        self.assertGreater(parts["c"], 0.45)
        self.assertGreater(parts["c"], parts["b"])
        self.assertGreater(parts["b"], parts["a"])

    def test_busy_routes_are_tried_too(self) -> None:
        self.assertGreater(self.parts(RARE)["a"], 0.15)

    def test_equal_routes_get_equal_parts(self) -> None:
        parts = self.parts({"a": 200, "b": 200, "c": 200})
        for part in parts.values():
            self.assertAlmostEqual(part, 1.0 / 3.0)

    def test_route_with_hardly_any_requests_does_not_starve_others(self) -> None:
        parts = self.parts({"a": 600, "b": 300, "c": 1})
        self.assertLess(parts["c"], 0.05)

    def test_few_requests_tell_no_parts(self) -> None:
        self.assertEqual(route_weights(counts({"a": 20, "b": 5})), {})
        self.assertEqual(route_weights({}), {})


class ShareTest(unittest.TestCase):
    def test_weights_hold_up_to_the_low_share(self) -> None:
        """Few requests a second, whose first share is the highest low one."""
        self.assertAlmostEqual(
            route_share(MAX_WEIGHTED_SERVICE_SHARE, 2.0),
            2.0 * MAX_WEIGHTED_SERVICE_SHARE,
        )
        self.assertAlmostEqual(
            route_share(MAX_WEIGHTED_SERVICE_SHARE, 0.5),
            0.5 * MAX_WEIGHTED_SERVICE_SHARE,
        )

    def test_some_requests_of_a_rare_route_stay_to_compare_with(self) -> None:
        self.assertEqual(route_share(0.2, 8.0), MAX_ROUTE_SHARE)

    def test_routes_do_not_differ_at_a_high_share(self) -> None:
        self.assertEqual(route_share(0.5, 2.0), 0.5)
        self.assertEqual(route_share(1.0, 0.3), 1.0)


class ResultsTest(unittest.TestCase):
    """Answers of the first share on a site with one rare route."""

    #: Answers expected in all.
    EXPECTED = 60.0

    def has_enough_results(self, answers_by_route: dict[str, int]) -> bool:
        return has_enough_results(counts(RARE, answers_by_route), self.EXPECTED)

    def test_all_routes_answered(self) -> None:
        self.assertTrue(self.has_enough_results({"a": 15, "b": 18, "c": 28}))

    def test_rare_route_needs_the_most_answers(self) -> None:
        self.assertFalse(self.has_enough_results({"a": 15, "b": 18, "c": 13}))

    def test_route_that_got_less_needs_no_more_than_its_due(self) -> None:
        self.assertTrue(self.has_enough_results({"a": 20, "b": 12, "c": 50}))

    def test_each_route_needs_some(self) -> None:
        least = ROUTE_ANSWERS_RANGE[0]
        for route in RARE:
            answers = {"a": 30, "b": 30, "c": 30, route: least - 1}
            with self.subTest(route):
                self.assertFalse(self.has_enough_results(answers))

    def test_few_answers_in_all_do_not_suffice(self) -> None:
        found = has_enough_results(counts(RARE, {"a": 5, "b": 5, "c": 5}), 10.0)
        self.assertFalse(found)

    def test_no_more_is_wanted_of_a_route_than_it_can_have(self) -> None:
        """Ten requests came on the rare route by the time of the decision."""
        sent = {"a": 120, "b": 60, "c": 10}
        self.assertTrue(
            has_enough_results(counts(sent, {"a": 20, "b": 20, "c": 6}), 90.0)
        )

    def test_route_with_hardly_any_requests_holds_nothing_up(self) -> None:
        sent = {"a": 600, "b": 300, "c": 10}
        self.assertTrue(
            has_enough_results(counts(sent, {"a": 20, "b": 20}), self.EXPECTED)
        )


if __name__ == "__main__":
    unittest.main()
