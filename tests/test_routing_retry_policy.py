"""Tests of repeats and of their budget."""

import unittest

from bluebellshore.backend import Outcome
from bluebellshore.fleet import RouteKind
from bluebellshore.routing.retry_policy import (
    MAX_UNREACHABLE_ATTEMPTS,
    RetryDecision,
    decide_retry,
)
from bluebellshore.routing.retry_window import USED_SHARE, WindowedRetryBudget
from tests.entry_fixtures import call, route


def step(kind: RouteKind, outcome: Outcome, **changes: object) -> RetryDecision:
    route_changes = changes.pop("route", {})
    values = {"sends": 1, "unreachable": 0, "began": False, "now": 0.0}
    its_call = call(route(kind, **route_changes))
    return decide_retry(its_call, outcome, **(values | changes))


class DecideRetryTest(unittest.TestCase):
    def test_what_may_have_run_once_is_not_sent_again(self) -> None:
        for kind in (RouteKind.UNSAFE, RouteKind.STREAM):
            with self.subTest(kind):
                self.assertIs(step(kind, Outcome.UNKNOWN), RetryDecision.GIVE_UP)

    def test_safe_request_is_repeated_up_to_its_bound(self) -> None:
        self.assertIs(step(RouteKind.SAFE, Outcome.UNKNOWN), RetryDecision.RETRY)
        self.assertIs(
            step(RouteKind.SAFE, Outcome.UNKNOWN, sends=2), RetryDecision.GIVE_UP
        )

    def test_answer_that_the_caller_saw_a_part_of_is_not_begun_anew(self) -> None:
        found = step(RouteKind.SAFE, Outcome.UNKNOWN, began=True)
        self.assertIs(found, RetryDecision.GIVE_UP)

    def test_resumable_stream_goes_on_after_it_began(self) -> None:
        found = step(
            RouteKind.STREAM, Outcome.UNKNOWN, began=True, route={"resumable": True}
        )
        self.assertIs(found, RetryDecision.RETRY)

    def test_refused_request_counts_as_sent(self) -> None:
        self.assertIs(step(RouteKind.UNSAFE, Outcome.NOT_RUN), RetryDecision.RETRY)
        once = {"max_attempts": 1}
        found = step(RouteKind.UNSAFE, Outcome.NOT_RUN, route=once)
        self.assertIs(found, RetryDecision.GIVE_UP)

    def test_server_that_was_not_reached_does_not_count(self) -> None:
        once = {"max_attempts": 1}
        for outcome, expected in (
            (Outcome.NOT_SENT, RetryDecision.FAIL_OVER),
            (Outcome.MISDIRECTED, RetryDecision.RETRY),
        ):
            with self.subTest(outcome):
                found = step(RouteKind.UNSAFE, outcome, sends=0, route=once)
                self.assertIs(found, expected)
                most = step(
                    RouteKind.UNSAFE,
                    outcome,
                    sends=0,
                    unreachable=MAX_UNREACHABLE_ATTEMPTS,
                )
                self.assertIs(most, RetryDecision.GIVE_UP)

    def test_nothing_is_sent_when_no_time_is_left(self) -> None:
        for outcome in Outcome:
            with self.subTest(outcome):
                self.assertIs(
                    step(RouteKind.SAFE, outcome, now=4.99), RetryDecision.GIVE_UP
                )


class WindowedRetryBudgetTest(unittest.TestCase):
    """All backend servers fail: repeats stay below the fleet's allowance."""

    def test_routers_together_stay_below_the_allowance_in_any_window(self) -> None:
        ratio, extra, seconds, routers = 0.2, 50.0, 10.0, 5
        windows = [WindowedRetryBudget(ratio, extra, seconds) for _ in range(routers)]
        requests: list[float] = []
        repeats: list[float] = []
        for step_number in range(4000):
            now = step_number * 0.01
            window = windows[step_number % routers]
            window.count_request(now)
            requests.append(now)
            repeats += [now for _ in range(2) if window.withdraw(now, routers)]
        self.assertGreater(len(repeats), 0)
        for end in range(10, 41):
            inside = [t for t in repeats if end - seconds < t <= end]
            asked = [t for t in requests if end - seconds < t <= end]
            self.assertLessEqual(len(inside), ratio * len(asked) + extra)

    def test_quiet_router_may_repeat_its_share(self) -> None:
        window = WindowedRetryBudget(0.2, 50.0, 10.0)
        allowed = sum(window.withdraw(0.0, 5) for _ in range(100))
        self.assertEqual(allowed, int(50 / 5 * USED_SHARE))
        self.assertTrue(window.withdraw(10.0, 5))


if __name__ == "__main__":
    unittest.main()
