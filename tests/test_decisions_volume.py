"""Tests of the levels and rate limits of log lines."""

import unittest

from bluebellshore.decisions import (
    Belief,
    BudgetOutcome,
    Contact,
    DecisionLog,
    LogLevel,
    Outcome,
    VolumeLimits,
)
from bluebellshore.decisions.volume import HeldLines, TokenBucket


class Clock:
    """A fake monotonic clock that a test sets."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


def make_log(**settings) -> tuple[DecisionLog, list[dict], Clock]:
    """Return a log, the list of messages that it sends, and its clock."""
    sent: list[dict] = []
    clock = Clock()
    log = DecisionLog(sent.append, clock=clock, wall_clock=lambda: 5.0, **settings)
    return log, sent, clock


def kinds(sent: list[dict]) -> list[str]:
    return [line["message_type"] for line in sent]


def log_placed(log: DecisionLog, request: str) -> None:
    log.placed(
        request,
        attempt=1,
        server="s-1",
        expected_seconds=0.25,
        cached_tokens=10,
        candidates=3,
        oldest_report_seconds=0.5,
    )


class TokenBucketTest(unittest.TestCase):
    def test_half_is_reserved_for_high_priority_lines(self):
        bucket = TokenBucket(rate=10, burst=4)
        low_priority = [bucket.take(0.0, high_priority=False) for _ in range(4)]
        high_priority = [bucket.take(0.0, high_priority=True) for _ in range(4)]
        self.assertEqual(low_priority, [True, True, False, False])
        self.assertEqual(high_priority, [True, True, False, False])

    def test_refills_with_time_up_to_its_burst(self):
        bucket = TokenBucket(rate=10, burst=4)
        for _ in range(4):
            bucket.take(0.0, high_priority=True)
        self.assertFalse(bucket.take(0.05, high_priority=True))
        self.assertTrue(bucket.take(0.1, high_priority=True))
        taken = [bucket.take(60.0, high_priority=True) for _ in range(6)]
        self.assertEqual(sum(taken), 4)


class HeldLinesTest(unittest.TestCase):
    def test_lines_of_oldest_request_are_discarded_and_counted(self):
        held = HeldLines(3)
        for request in ("a", "a", "b", "c"):
            held.hold(request, {"message_type": "placed"})
        self.assertEqual(held.take("a"), [])
        self.assertEqual(len(held.take("b")), 1)
        self.assertEqual(len(held.take("c")), 1)
        self.assertEqual(held.discarded, {"placed": 2})


class LineTest(unittest.TestCase):
    def test_line_has_common_fields_inputs_and_their_age(self):
        log, sent, _ = make_log()
        log_placed(log, "a-1")
        self.assertEqual(
            sent,
            [
                {
                    "message_type": "placed",
                    "timestamp": 5.0,
                    "clock": 100.0,
                    "request": "a-1",
                    "attempt": 1,
                    "server": "s-1",
                    "expected_seconds": 0.25,
                    "cached_tokens": 10,
                    "candidates": 3,
                    "oldest_report_seconds": 0.5,
                }
            ],
        )

    def test_state_changes_and_lifecycle_are_logged(self):
        log, sent, _ = make_log()
        log.started("entry", address="h:1")
        log.configuration(7, in_force=True, source="store", row_version=3)
        log.backend_server("s-1", Belief.SUSPECTED, inputs={"failures": 3})
        log.store(Contact.LOST, silent_seconds=2.7)
        log.peer("h:2", Contact.REGAINED, alive=3)
        log.stopped()
        self.assertEqual(
            kinds(sent),
            "started configuration backend_server store peer stopped".split(),
        )
        self.assertEqual(sent[1]["outcome"], "in-force")
        self.assertEqual(sent[2]["inputs"], {"failures": 3})


class LevelTest(unittest.TestCase):
    def written_kinds(self, level: LogLevel) -> list[str]:
        log, sent, _ = make_log(level=level)
        log.store(Contact.LOST)
        log_placed(log, "a-1")
        log.refused("a-2", status=503, reason="queue")
        log.ended("a-1", status=200, outcome=Outcome.ANSWERED, seconds=1.0)
        return kinds(sent)

    def test_each_level_adds_to_the_one_before(self):
        self.assertEqual(self.written_kinds(LogLevel.BELIEFS), ["store"])
        self.assertEqual(self.written_kinds(LogLevel.FAILURES), ["store", "refused"])
        self.assertEqual(
            self.written_kinds(LogLevel.ALL), ["store", "placed", "refused", "ended"]
        )


class VolumeTest(unittest.TestCase):
    LIMITS = VolumeLimits(lines_per_second=1, burst=4, held_lines=100)

    def test_held_lines_are_written_when_their_request_fails(self):
        log, sent, _ = make_log(limits=self.LIMITS)
        for number in range(4):
            log_placed(log, f"a-{number}")
        self.assertEqual([line["request"] for line in sent], ["a-0", "a-1"])
        log.ended("a-3", status=502, outcome=Outcome.FAILED, seconds=1.0)
        log.ended("a-2", status=200, outcome=Outcome.ANSWERED, seconds=1.0)
        written = [(line["request"], line["message_type"]) for line in sent[2:]]
        self.assertEqual(
            written, [("a-3", "placed"), ("a-3", "ended"), ("a-2", "ended")]
        )

    def test_held_line_keeps_the_time_of_its_decision(self):
        log, sent, clock = make_log(limits=VolumeLimits(0.01, 2, 10))
        log_placed(log, "a-0")
        log_placed(log, "a-1")
        clock.now += 0.5
        log.refused("a-1", status=503, reason="deadline")
        self.assertEqual([line["clock"] for line in sent], [100.0, 100.0, 100.5])

    def test_refusals_among_many_successes_are_written(self):
        log, sent, _ = make_log(limits=VolumeLimits(10, 40, 100))
        for number in range(1000):
            log_placed(log, f"a-{number}")
            log.ended(f"a-{number}", status=200, outcome=Outcome.ANSWERED, seconds=0.1)
        log.refused("b", status=429, reason="queue")
        log.ended("c", status=504, outcome=Outcome.TIMED_OUT, seconds=9.0)
        self.assertEqual([line["request"] for line in sent[-2:]], ["b", "c"])

    def test_each_line_is_written_or_counted_and_counts_come_once_a_second(self):
        log, sent, clock = make_log(limits=self.LIMITS)
        calls = 0
        for number in range(250):
            clock.now += 0.01
            log_placed(log, f"a-{number}")
            log.budget(
                f"a-{number}",
                customer="c",
                outcome=BudgetOutcome.SHORT,
                tokens=1,
                balance=0,
                balance_age_seconds=0.1,
            )
            log.ended(f"a-{number}", status=200, outcome=Outcome.ANSWERED, seconds=0.1)
            calls += 3
        log.stopped()
        reports = [line for line in sent if line["message_type"] == "left_out"]
        left_out = sum(sum(line["lines"].values()) for line in reports)
        written = len(sent) - len(reports) - 1
        self.assertEqual(written + left_out, calls)
        self.assertEqual(log.left_out, left_out)
        self.assertLess(written, 60)
        times = [line["clock"] for line in reports]
        # Two during the 2.5 s of the run and one from stopped().
        self.assertEqual(len(reports), 3)
        self.assertGreaterEqual(times[1] - times[0], 1.0)

    def test_state_changes_are_rate_limited_and_lifecycle_is_not(self):
        log, sent, _ = make_log(limits=self.LIMITS)
        for _ in range(50):
            log.backend_server("s-1", Belief.SUSPECTED)
            log.reloaded(level="all")
        self.assertEqual(kinds(sent).count("backend_server"), 4)
        self.assertEqual(kinds(sent).count("reloaded"), 50)


if __name__ == "__main__":
    unittest.main()
