"""Tests of the verdict on a rollout's target version."""

import random
import unittest
from collections import Counter

from bluebellshore.ids import BackendServerId, RouteName
from bluebellshore.moves.judge import CanaryVerdict
from bluebellshore.rollouts.evidence import (
    AttemptCounts,
    CountsKey,
    RolloutEvidence,
    bucket_bound_seconds,
    latency_bucket,
)
from bluebellshore.rollouts.judge import MIN_BASELINE_ANSWERS, assess, overdue_seconds

NOW = 30.0
SEEDS = range(20)
SERVERS = 4
#: Bad answers after which the roll-back bound of the operator runs.
SHOWN_BAD = 50


class Load:
    """Answers of both versions on one route after another.

    :param others: answers of the other version on each route.
    """

    def __init__(self, seed: int, others: int = 200):
        self.rng = random.Random(seed)
        self.evidence = RolloutEvidence()
        self.others = others

    def answers(
        self,
        count: int,
        *,
        target: bool,
        route: str = "a",
        fails: float = 0.0,
        slow: float = 0.0,
        seconds: float = 0.5,
        only: int | None = None,
        at: float = NOW,
    ) -> None:
        """Count answers. :param only: server of which alone they are bad."""
        for number in range(count):
            server = number % SERVERS
            is_bad = only is None or server == only
            time = seconds * self.rng.lognormvariate(0.0, 0.4)
            if is_bad and self.rng.random() < slow:
                time *= 4.0
            failed = int(is_bad and self.rng.random() < fails)
            first = {} if failed else {latency_bucket(time): 1}
            name = BackendServerId(f"{'n' if target else 'o'}{server}")
            key = CountsKey(RouteName(route), name, target)
            self.evidence.record(key, AttemptCounts(1, 1, failed, first), at)

    def verdict(self, count: int, **bad: float) -> CanaryVerdict:
        """Judge a version after so many answers beside a good one."""
        self.answers(self.others, target=False)
        self.answers(count, target=True, **bad)
        return assess(self.evidence, NOW).verdict


class JudgeTest(unittest.TestCase):
    def verdicts(self, count: int, **bad: float) -> list[CanaryVerdict]:
        return [Load(seed).verdict(count, **bad) for seed in SEEDS]

    def test_good_version_is_not_bad(self) -> None:
        """The load of a low share: 40 answers beside 200."""
        self.assertNotIn(CanaryVerdict.BAD, self.verdicts(40))

    def test_version_a_third_slower_is_not_bad(self) -> None:
        found = [Load(seed).verdict(40, seconds=0.65) for seed in SEEDS]
        self.assertNotIn(CanaryVerdict.BAD, found)

    def test_version_that_fails_is_bad(self) -> None:
        """Four of ten answers fail from the first one on."""
        self.assertGreaterEqual(
            self.verdicts(40, fails=0.4).count(CanaryVerdict.BAD), 19
        )

    def test_version_that_is_slow_now_and_then_is_bad(self) -> None:
        self.assertGreaterEqual(
            self.verdicts(40, slow=0.6).count(CanaryVerdict.BAD), 19
        )

    def test_version_whose_streams_pause_is_bad(self) -> None:
        """First events come as soon as ever, the others four times as slowly."""
        evidence = RolloutEvidence()
        for letter, target, gap in (("o", False, 0.05), ("n", True, 0.2)):
            for number in range(SERVERS):
                key = CountsKey(
                    RouteName("a"), BackendServerId(f"{letter}{number}"), target
                )
                first, gaps = (
                    Counter({latency_bucket(0.1): 10}),
                    Counter({latency_bucket(gap): 10}),
                )
                evidence.record(key, AttemptCounts(10, 10, 0, first, gaps), NOW)
        self.assertIs(assess(evidence, NOW).verdict, CanaryVerdict.BAD)

    def test_version_that_turns_bad_shows_in_the_last_seconds(self) -> None:
        """Hundreds of good answers, then ten of which nearly all fail."""
        load = Load(1)
        load.answers(400, target=False, at=1.0)
        load.answers(400, target=True, at=1.0)
        load.answers(20, target=False)
        load.answers(12, target=True, fails=0.9)
        self.assertIs(assess(load.evidence, NOW).verdict, CanaryVerdict.BAD)

    def test_bad_route_is_not_hidden_by_good_ones(self) -> None:
        """One route in three with few of the requests, slow in six of ten answers."""
        load = Load(1)
        for route, others, count in (("a", 900, 15), ("b", 450, 20)):
            load.answers(others, target=False, route=route)
            load.answers(count, target=True, route=route)
        load.answers(150, target=False, route="c")
        load.answers(30, target=True, route="c", slow=0.6)
        found = assess(load.evidence, NOW)
        self.assertIs(found.verdict, CanaryVerdict.BAD)
        self.assertIn("c:", found.reason)

    def test_slow_routes_show_together(self) -> None:
        """Few answers on each of many routes, each with times of its own."""
        load = Load(1)
        for number in range(6):
            route, seconds = f"r{number}", 0.02 * 2**number
            load.answers(60, target=False, route=route, seconds=seconds)
            load.answers(6, target=True, route=route, seconds=seconds, slow=0.6)
        found = assess(load.evidence, NOW)
        self.assertIs(found.verdict, CanaryVerdict.BAD)
        self.assertIn("all routes", found.reason)

    def test_trouble_of_one_server_is_not_the_versions(self) -> None:
        """A server of the new version fails half of what it gets."""
        found = [Load(seed).verdict(60, fails=0.5, only=0) for seed in SEEDS]
        self.assertNotIn(CanaryVerdict.BAD, found)

    def test_trouble_of_the_whole_fleet_is_not_the_versions(self) -> None:
        """Both versions fail and are slow for some seconds at a steady low share."""
        trouble = {"fails": 0.3, "seconds": 1.5}
        for seed in SEEDS:
            load = Load(seed)
            for others, bad, at in ((400, {}, 1.0), (400, trouble, NOW)):
                load.answers(others, target=False, at=at, **bad)
                load.answers(20, target=True, at=at, **bad)
            self.assertIsNot(assess(load.evidence, NOW).verdict, CanaryVerdict.BAD)

    def test_without_others_there_is_no_verdict(self) -> None:
        """A service whose other version got next to nothing."""
        load = Load(1, others=MIN_BASELINE_ANSWERS - 1)
        self.assertIs(load.verdict(60, fails=0.9), CanaryVerdict.GOOD)

    def test_bad_answers_shown_to_the_operator_are_a_verdict(self) -> None:
        """The roll-back bound runs from the 50th bad answer.

        Where a third of the answers or more are bad, the verdict stands by then: what
        is left of the bound is one judgement and one exchange between routers.
        """
        for good in (0, 50, 100):
            for bad in ({"fails": 1.0}, {"slow": 1.0}):
                with self.subTest(good=good, **bad):
                    load = Load(1, others=1500)
                    load.answers(load.others, target=False)
                    load.answers(good, target=True)
                    load.answers(SHOWN_BAD, target=True, **bad)
                    self.assertIs(assess(load.evidence, NOW).verdict, CanaryVerdict.BAD)


class OverdueTest(unittest.TestCase):
    def test_limit_lies_beyond_nearly_all_of_the_others(self) -> None:
        """95 answers of 0.1 s and five that hang."""
        evidence = RolloutEvidence()
        key = CountsKey(RouteName("a"), BackendServerId("o0"), False)
        times = {latency_bucket(0.1): 95, latency_bucket(9.0): 5}
        evidence.record(key, AttemptCounts(sent=100, ended=100, first_event=times), NOW)
        limit = overdue_seconds(evidence, NOW)[RouteName("a")]
        self.assertAlmostEqual(limit, bucket_bound_seconds(latency_bucket(0.1) + 3))

    def test_few_answers_give_no_limit(self) -> None:
        load = Load(1)
        load.answers(MIN_BASELINE_ANSWERS - 1, target=False)
        load.answers(100, target=True)
        self.assertEqual(overdue_seconds(load.evidence, NOW), {})


if __name__ == "__main__":
    unittest.main()
