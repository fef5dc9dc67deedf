"""Tests of the canary analysis of a rollout's target version."""

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
#: Bad answers from which the operator's time limit for the rollback runs.
ROLLBACK_LIMIT_BAD_ANSWERS = 50


class AnswerFeed:
    """Adds random answers of both versions to the evidence.

    :param baseline_answers: answers of the other version that :meth:`verdict` adds.
    """

    def __init__(self, seed: int, baseline_answers: int = 200):
        self.rng = random.Random(seed)
        self.evidence = RolloutEvidence()
        self.baseline_answers = baseline_answers

    def add_answers(
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
        """Add answers.

        :param fails: rate of failures.
        :param slow: rate of answers that take four times as long.
        :param seconds: median time of an answer.
        :param only: number of the only server whose answers are bad; None for all.
        """
        for number in range(count):
            server = number % SERVERS
            is_bad = only is None or server == only
            time = seconds * self.rng.lognormvariate(0.0, 0.4)
            if is_bad and self.rng.random() < slow:
                time *= 4.0
            failed = int(is_bad and self.rng.random() < fails)
            first_event = {} if failed else {latency_bucket(time): 1}
            name = BackendServerId(f"{'n' if target else 'o'}{server}")
            key = CountsKey(RouteName(route), name, target)
            self.evidence.record(key, AttemptCounts(1, 1, failed, first_event), at)

    def verdict(self, count: int, **bad: float) -> CanaryVerdict:
        """Judge a version after `count` answers, beside a good other version."""
        self.add_answers(self.baseline_answers, target=False)
        self.add_answers(count, target=True, **bad)
        return assess(self.evidence, NOW).verdict


class JudgeTest(unittest.TestCase):
    def verdicts(self, count: int, **bad: float) -> list[CanaryVerdict]:
        return [AnswerFeed(seed).verdict(count, **bad) for seed in SEEDS]

    def test_good_version_is_not_bad(self) -> None:
        """A low share: 40 answers of the target version, 200 of the other one."""
        self.assertNotIn(CanaryVerdict.BAD, self.verdicts(40))

    def test_version_a_third_slower_is_not_bad(self) -> None:
        found = [AnswerFeed(seed).verdict(40, seconds=0.65) for seed in SEEDS]
        self.assertNotIn(CanaryVerdict.BAD, found)

    def test_version_that_fails_is_bad(self) -> None:
        """40 % of the answers fail from the first one on."""
        self.assertGreaterEqual(
            self.verdicts(40, fails=0.4).count(CanaryVerdict.BAD), 19
        )

    def test_version_with_some_slow_answers_is_bad(self) -> None:
        self.assertGreaterEqual(
            self.verdicts(40, slow=0.6).count(CanaryVerdict.BAD), 19
        )

    def test_version_whose_streams_pause_is_bad(self) -> None:
        """First events come as early; gaps between events are four times as long."""
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
        """400 good answers, then twelve of which nearly all fail."""
        feed = AnswerFeed(1)
        feed.add_answers(400, target=False, at=1.0)
        feed.add_answers(400, target=True, at=1.0)
        feed.add_answers(20, target=False)
        feed.add_answers(12, target=True, fails=0.9)
        self.assertIs(assess(feed.evidence, NOW).verdict, CanaryVerdict.BAD)

    def test_bad_route_is_not_hidden_by_good_ones(self) -> None:
        """One route of three gets few requests, and 60 % of its answers are slow."""
        feed = AnswerFeed(1)
        for route, baseline_answers, count in (("a", 900, 15), ("b", 450, 20)):
            feed.add_answers(baseline_answers, target=False, route=route)
            feed.add_answers(count, target=True, route=route)
        feed.add_answers(150, target=False, route="c")
        feed.add_answers(30, target=True, route="c", slow=0.6)
        found = assess(feed.evidence, NOW)
        self.assertIs(found.verdict, CanaryVerdict.BAD)
        self.assertIn("c:", found.reason)

    def test_slow_answers_on_many_routes_add_up(self) -> None:
        """Few answers on each of six routes with different times."""
        feed = AnswerFeed(1)
        for number in range(6):
            route, seconds = f"r{number}", 0.02 * 2**number
            feed.add_answers(60, target=False, route=route, seconds=seconds)
            feed.add_answers(6, target=True, route=route, seconds=seconds, slow=0.6)
        found = assess(feed.evidence, NOW)
        self.assertIs(found.verdict, CanaryVerdict.BAD)
        self.assertIn("all routes", found.reason)

    def test_faults_of_one_server_do_not_make_the_version_bad(self) -> None:
        """One server of the target version fails half of its requests."""
        found = [AnswerFeed(seed).verdict(60, fails=0.5, only=0) for seed in SEEDS]
        self.assertNotIn(CanaryVerdict.BAD, found)

    def test_faults_of_the_whole_fleet_do_not_make_the_version_bad(self) -> None:
        """Both versions fail and are slow for some seconds, at a steady low share."""
        trouble = {"fails": 0.3, "seconds": 1.5}
        for seed in SEEDS:
            feed = AnswerFeed(seed)
            for baseline_answers, bad, at in ((400, {}, 1.0), (400, trouble, NOW)):
                feed.add_answers(baseline_answers, target=False, at=at, **bad)
                feed.add_answers(20, target=True, at=at, **bad)
            self.assertIsNot(assess(feed.evidence, NOW).verdict, CanaryVerdict.BAD)

    def test_version_is_good_without_a_baseline(self) -> None:
        """A service whose other version has too few answers to compare with."""
        feed = AnswerFeed(1, baseline_answers=MIN_BASELINE_ANSWERS - 1)
        self.assertIs(feed.verdict(60, fails=0.9), CanaryVerdict.GOOD)

    def test_bad_after_the_answers_that_start_the_rollback_time(self) -> None:
        """The operator's time limit for the rollback runs from the 50th bad answer.

        Where at least a third of the answers are bad, the verdict is bad by then, so
        the limit only has to cover one analysis and one exchange between routers.
        """
        for good in (0, 50, 100):
            for bad in ({"fails": 1.0}, {"slow": 1.0}):
                with self.subTest(good=good, **bad):
                    feed = AnswerFeed(1, baseline_answers=1500)
                    feed.add_answers(feed.baseline_answers, target=False)
                    feed.add_answers(good, target=True)
                    feed.add_answers(ROLLBACK_LIMIT_BAD_ANSWERS, target=True, **bad)
                    self.assertIs(assess(feed.evidence, NOW).verdict, CanaryVerdict.BAD)


class OverdueTest(unittest.TestCase):
    def test_limit_exceeds_nearly_all_baseline_times(self) -> None:
        """95 answers of 0.1 s and five of 9 s."""
        evidence = RolloutEvidence()
        key = CountsKey(RouteName("a"), BackendServerId("o0"), False)
        times = {latency_bucket(0.1): 95, latency_bucket(9.0): 5}
        evidence.record(key, AttemptCounts(sent=100, ended=100, first=times), NOW)
        limit = overdue_seconds(evidence, NOW)[RouteName("a")]
        self.assertAlmostEqual(limit, bucket_bound_seconds(latency_bucket(0.1) + 3))

    def test_few_answers_give_no_limit(self) -> None:
        feed = AnswerFeed(1)
        feed.add_answers(MIN_BASELINE_ANSWERS - 1, target=False)
        feed.add_answers(100, target=True)
        self.assertEqual(overdue_seconds(feed.evidence, NOW), {})


if __name__ == "__main__":
    unittest.main()
