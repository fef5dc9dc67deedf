"""Tests of how a target version's requests are split between routes."""

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

#: Requests by route, of which one is rare.
REQUESTS_BY_ROUTE = {"a": 600, "b": 300, "c": 100}


def counts(
    sent_by_route: dict[str, int], answers_by_route: dict[str, int] | None = None
) -> dict[CountsKey, AttemptCounts]:
    """Return counts of one server of each version.

    :param sent_by_route: requests of the other version.
    :param answers_by_route: answers of the target version.
    """
    found = {}
    for route, sent in sent_by_route.items():
        key = CountsKey(RouteName(route), BackendServerId("o0"), False)
        found[key] = AttemptCounts(sent=sent, ended=sent)
    for route, ended in (answers_by_route or {}).items():
        key = CountsKey(RouteName(route), BackendServerId("n0"), True)
        found[key] = AttemptCounts(sent=ended, ended=ended)
    return found


class WeightsTest(unittest.TestCase):
    def fractions(self, sent_by_route: dict[str, int]) -> dict[str, float]:
        """Return each route's fraction of the target version's requests."""
        weights = route_weights(counts(sent_by_route))
        total = sum(sent_by_route.values())
        return {
            route: weights[route] * sent_by_route[route] / total
            for route in REQUESTS_BY_ROUTE
        }

    def test_route_that_got_less_than_its_due_makes_up_for_it(self) -> None:
        """By chance one route got 10 of 25 requests, and the rare one too many."""
        target_sent = {"a": 19, "b": 10, "c": 53}
        weights = route_weights(counts(REQUESTS_BY_ROUTE, target_sent))
        due = route_weights(counts(REQUESTS_BY_ROUTE))
        self.assertGreater(weights["b"], 1.5 * due["b"])
        self.assertLess(weights["c"], due["c"])
        sent = {
            route: REQUESTS_BY_ROUTE[route] + target_sent[route]
            for route in REQUESTS_BY_ROUTE
        }
        taken = sum(weights[route] * sent[route] for route in sent)
        self.assertAlmostEqual(taken / sum(sent.values()), 1.0)

    def test_all_routes_together_get_the_share(self) -> None:
        self.assertAlmostEqual(sum(self.fractions(REQUESTS_BY_ROUTE).values()), 1.0)

    def test_rare_route_gets_most_of_the_canary_share(self) -> None:
        """A route with 10 % of the requests gets few of them at a high share."""
        fractions = self.fractions(REQUESTS_BY_ROUTE)
        self.assertGreater(fractions["c"], 0.45)
        self.assertGreater(fractions["c"], fractions["b"])
        self.assertGreater(fractions["b"], fractions["a"])

    def test_busy_routes_get_requests_too(self) -> None:
        self.assertGreater(self.fractions(REQUESTS_BY_ROUTE)["a"], 0.15)

    def test_equal_routes_get_equal_fractions(self) -> None:
        fractions = self.fractions({"a": 200, "b": 200, "c": 200})
        for fraction in fractions.values():
            self.assertAlmostEqual(fraction, 1.0 / 3.0)

    def test_route_with_hardly_any_requests_does_not_starve_others(self) -> None:
        fractions = self.fractions({"a": 600, "b": 300, "c": 1})
        self.assertLess(fractions["c"], 0.05)

    def test_few_requests_give_no_weights(self) -> None:
        self.assertEqual(route_weights(counts({"a": 20, "b": 5})), {})
        self.assertEqual(route_weights({}), {})


class ShareTest(unittest.TestCase):
    def test_weights_apply_up_to_the_highest_weighted_share(self) -> None:
        """A service with few requests, whose canary share is as high as it may be."""
        self.assertAlmostEqual(
            route_share(MAX_WEIGHTED_SERVICE_SHARE, 2.0),
            2.0 * MAX_WEIGHTED_SERVICE_SHARE,
        )
        self.assertAlmostEqual(
            route_share(MAX_WEIGHTED_SERVICE_SHARE, 0.5),
            0.5 * MAX_WEIGHTED_SERVICE_SHARE,
        )

    def test_some_requests_of_a_rare_route_stay_at_the_baseline(self) -> None:
        self.assertEqual(route_share(0.2, 8.0), MAX_ROUTE_SHARE)

    def test_routes_do_not_differ_at_a_high_share(self) -> None:
        self.assertEqual(route_share(0.5, 2.0), 0.5)
        self.assertEqual(route_share(1.0, 0.3), 1.0)


class ResultsTest(unittest.TestCase):
    """Answers in the canary phase of a service with one rare route."""

    #: Answers expected on all routes.
    EXPECTED_ANSWERS = 60.0

    def has_enough_results(self, answers_by_route: dict[str, int]) -> bool:
        return has_enough_results(
            counts(REQUESTS_BY_ROUTE, answers_by_route), self.EXPECTED_ANSWERS
        )

    def test_all_routes_answered(self) -> None:
        self.assertTrue(self.has_enough_results({"a": 15, "b": 18, "c": 28}))

    def test_rare_route_needs_the_most_answers(self) -> None:
        self.assertFalse(self.has_enough_results({"a": 15, "b": 18, "c": 13}))

    def test_route_that_got_less_needs_no_more_than_its_due(self) -> None:
        self.assertTrue(self.has_enough_results({"a": 20, "b": 12, "c": 50}))

    def test_each_route_needs_some(self) -> None:
        min_answers = ROUTE_ANSWERS_RANGE[0]
        for route in REQUESTS_BY_ROUTE:
            answers = {"a": 30, "b": 30, "c": 30, route: min_answers - 1}
            with self.subTest(route):
                self.assertFalse(self.has_enough_results(answers))

    def test_few_answers_in_all_do_not_suffice(self) -> None:
        found = has_enough_results(
            counts(REQUESTS_BY_ROUTE, {"a": 5, "b": 5, "c": 5}), 10.0
        )
        self.assertFalse(found)

    def test_route_needs_no_more_answers_than_it_can_have(self) -> None:
        """The rare route has had ten requests when the canary phase is to end."""
        sent = {"a": 120, "b": 60, "c": 10}
        self.assertTrue(
            has_enough_results(counts(sent, {"a": 20, "b": 20, "c": 6}), 90.0)
        )

    def test_route_with_hardly_any_requests_is_ignored(self) -> None:
        sent = {"a": 600, "b": 300, "c": 10}
        self.assertTrue(
            has_enough_results(counts(sent, {"a": 20, "b": 20}), self.EXPECTED_ANSWERS)
        )


if __name__ == "__main__":
    unittest.main()
