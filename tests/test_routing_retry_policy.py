"""Tests of the retry policy and of the windowed retry budget."""

import unittest

from bluebellshore.backend import AttemptOutcome
from bluebellshore.fleet import RouteKind
from bluebellshore.routing.retry_policy import (
    MAX_UNREACHABLE_ATTEMPTS,
    RetryDecision,
    decide_retry,
)
from bluebellshore.routing.retry_window import USED_SHARE, WindowedRetryBudget
from tests.entry_fixtures import call, route


def decide(
    kind: RouteKind, outcome: AttemptOutcome, **changes: object
) -> RetryDecision:
    route_changes = changes.pop("route", {})
    arguments = {"sends": 1, "unreachable": 0, "began": False, "now": 0.0}
    made_call = call(route(kind, **route_changes))
    return decide_retry(made_call, outcome, **(arguments | changes))


class DecideRetryTest(unittest.TestCase):
    def test_what_may_have_run_once_is_not_sent_again(self) -> None:
        for kind in (RouteKind.UNSAFE, RouteKind.STREAM):
            with self.subTest(kind):
                self.assertIs(
                    decide(kind, AttemptOutcome.UNKNOWN), RetryDecision.GIVE_UP
                )

    def test_safe_request_is_retried_up_to_its_limit(self) -> None:
        self.assertIs(
            decide(RouteKind.SAFE, AttemptOutcome.UNKNOWN), RetryDecision.RETRY
        )
        self.assertIs(
            decide(RouteKind.SAFE, AttemptOutcome.UNKNOWN, sends=2),
            RetryDecision.GIVE_UP,
        )

    def test_request_is_not_retried_after_the_caller_received_a_part(self) -> None:
        decision = decide(RouteKind.SAFE, AttemptOutcome.UNKNOWN, began=True)
        self.assertIs(decision, RetryDecision.GIVE_UP)

    def test_resumable_stream_is_retried_after_it_began(self) -> None:
        decision = decide(
            RouteKind.STREAM,
            AttemptOutcome.UNKNOWN,
            began=True,
            route={"resumable": True},
        )
        self.assertIs(decision, RetryDecision.RETRY)

    def test_refused_request_counts_as_sent(self) -> None:
        self.assertIs(
            decide(RouteKind.UNSAFE, AttemptOutcome.NOT_RUN), RetryDecision.RETRY
        )
        once = {"max_attempts": 1}
        decision = decide(RouteKind.UNSAFE, AttemptOutcome.NOT_RUN, route=once)
        self.assertIs(decision, RetryDecision.GIVE_UP)

    def test_server_that_was_not_reached_does_not_count(self) -> None:
        once = {"max_attempts": 1}
        for outcome, expected in (
            (AttemptOutcome.NOT_SENT, RetryDecision.FAIL_OVER),
            (AttemptOutcome.MISDIRECTED, RetryDecision.RETRY),
        ):
            with self.subTest(outcome):
                decision = decide(RouteKind.UNSAFE, outcome, sends=0, route=once)
                self.assertIs(decision, expected)
                most = decide(
                    RouteKind.UNSAFE,
                    outcome,
                    sends=0,
                    unreachable=MAX_UNREACHABLE_ATTEMPTS,
                )
                self.assertIs(most, RetryDecision.GIVE_UP)

    def test_nothing_is_sent_when_no_time_is_left(self) -> None:
        for outcome in AttemptOutcome:
            with self.subTest(outcome):
                self.assertIs(
                    decide(RouteKind.SAFE, outcome, now=4.99), RetryDecision.GIVE_UP
                )


class WindowedRetryBudgetTest(unittest.TestCase):
    """While all backend servers fail, retries stay within the shared budget."""

    def test_routers_together_stay_within_the_budget_in_any_window(self) -> None:
        ratio, extra, seconds, routers = 0.2, 50.0, 10.0, 5
        budgets = [WindowedRetryBudget(ratio, extra, seconds) for _ in range(routers)]
        requests: list[float] = []
        retries: list[float] = []
        for step_number in range(4000):
            now = step_number * 0.01
            budget = budgets[step_number % routers]
            budget.count_request(now)
            requests.append(now)
            retries += [now for _ in range(2) if budget.withdraw(now, routers)]
        self.assertGreater(len(retries), 0)
        for end in range(10, 41):
            retries_in_window = [t for t in retries if end - seconds < t <= end]
            requests_in_window = [t for t in requests if end - seconds < t <= end]
            self.assertLessEqual(
                len(retries_in_window), ratio * len(requests_in_window) + extra
            )

    def test_router_without_requests_may_retry_its_share(self) -> None:
        budget = WindowedRetryBudget(0.2, 50.0, 10.0)
        allowed = sum(budget.withdraw(0.0, 5) for _ in range(100))
        self.assertEqual(allowed, int(50 / 5 * USED_SHARE))
        self.assertTrue(budget.withdraw(10.0, 5))


if __name__ == "__main__":
    unittest.main()
