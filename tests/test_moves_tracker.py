"""Tests of the tracker of moves."""

import unittest

from bluebellshore.bundle.model import Bundle, Move, Route, RouteKind, Version
from bluebellshore.canary import CanaryVerdict
from bluebellshore.ids import RequestKey
from bluebellshore.moves import MoveRow, MoveState, MoveTracker, encode_row, move_key
from bluebellshore.store import Row
from bluebellshore.wire import link_pb2

KEYS = [RequestKey(f"a/{i}") for i in range(400)]


def bundle(number=1, *, version="v1", **moves):
    return Bundle(
        number,
        number - 1,
        {},
        {},
        {name: Version(4) for name in ("v1", "v2", "v3")},
        {"chat": Route(RouteKind.MODEL, version)},
        moves,
    )


def move(old="v1", new="v2", deadline=1000.0, **fields):
    return Move("chat", old, new, deadline, **fields)


def row(version, step=0.25, state=MoveState.MOVING, move_id="m", new="v2"):
    value = MoveRow("chat", "v1", new, step, 0.0, state)
    return Row(move_key(move_id), version, encode_row(value))


def verdict(move_id="m"):
    return link_pb2.Verdict(move=move_id, reason="failures", judge="r2")


class MoveTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = MoveTracker("r1")
        self.tracker.apply_bundle(bundle(m=move()))

    def share(self, version="v2"):
        chosen = [self.tracker.version_for("chat", key) for key in KEYS]
        return chosen.count(version) / len(KEYS)

    def test_serves_old_until_a_row_is_seen(self):
        self.assertEqual(self.share(), 0.0)
        self.tracker.apply_rows([row(1)])
        self.assertAlmostEqual(self.share(), 0.25, delta=0.06)
        self.assertEqual(self.tracker.versions_in_use(), {"chat": ["v1", "v2"]})

    def test_last_step_keeps_a_control_share_until_done(self):
        self.tracker.apply_rows([row(1, step=1.0)])
        self.assertAlmostEqual(self.share(), 0.9, delta=0.05)
        self.tracker.apply_rows([row(2, step=1.0, state=MoveState.DONE)])
        self.assertEqual(self.share(), 1.0)
        self.assertEqual(self.tracker.versions_in_use(), {"chat": ["v2"]})

    def test_bad_verdict_is_final_at_any_share(self):
        self.tracker.apply_rows([row(1)])
        self.assertTrue(self.tracker.apply_verdict(verdict()))
        self.assertFalse(self.tracker.apply_verdict(verdict()))
        for later in (row(2, step=0.5), row(3, step=1.0)):
            self.tracker.apply_rows([later])
            self.tracker.apply_bundle(bundle(2, m=move()))
            self.assertEqual(self.share(), 0.0)
        self.assertEqual(self.tracker.snapshot()[0].reason, "failures")

    def test_verdict_may_come_before_the_bundle(self):
        tracker = MoveTracker("r1")
        tracker.apply_verdict(verdict())
        tracker.apply_bundle(bundle(m=move()))
        tracker.apply_rows([row(1, step=1.0)])
        self.assertEqual({tracker.version_for("chat", key) for key in KEYS}, {"v1"})

    def test_older_rows_are_ignored(self):
        self.tracker.apply_rows([row(5, state=MoveState.ROLLED_BACK)])
        self.tracker.apply_rows([row(4, step=1.0)])
        self.assertEqual(self.share(), 0.0)

    def test_serves_old_after_the_deadline_without_a_decision(self):
        self.tracker.apply_rows([row(1)])
        self.tracker.judge(0.0, 999.0)
        self.assertGreater(self.share(), 0.0)
        self.tracker.judge(1.0, 1000.0)
        self.assertEqual(self.share(), 0.0)
        self.tracker.apply_rows([row(2, state=MoveState.DONE)])
        self.assertEqual(self.share(), 1.0)

    def test_moves_follow_each_other(self):
        self.tracker.apply_bundle(bundle(2, m=move(), n=move("v2", "v3")))
        self.tracker.apply_rows([row(1, state=MoveState.DONE)])
        self.assertEqual(self.share("v2"), 1.0)
        self.tracker.apply_bundle(bundle(3, version="v2", n=move("v2", "v3")))
        self.assertEqual(self.share("v2"), 1.0)

    def test_row_of_an_earlier_move_with_the_same_id_serves_old(self):
        self.tracker.apply_bundle(bundle(2, m=move(new="v3")))
        self.tracker.apply_rows([row(1, state=MoveState.DONE)])
        self.assertEqual(self.share("v1"), 1.0)

    def test_judges_by_route_and_version(self):
        self.tracker.apply_rows([row(1)])
        counters = {
            name: link_pb2.Evidence(route="chat", version=name) for name in ("v1", "v2")
        }
        found = []
        for now in range(20):
            for name, evidence in counters.items():
                self.tracker.record_evidence("s1", evidence)
                evidence.requests += 10
                evidence.failures += 5 if name == "v2" else 0
            found += self.tracker.judge(now, now)
        self.assertEqual([(v.move, v.judge) for v in found], [("m", "r1")])
        self.assertEqual(self.share(), 0.0)

    def test_sudden_failures_pause_the_move(self):
        self.tracker.apply_rows([row(1)])
        counters = [link_pb2.Evidence(route="chat", version=v) for v in ("v1", "v2")]
        verdicts = []
        for now in range(60):
            for evidence in counters:
                self.tracker.record_evidence("s1", evidence)
                evidence.requests += 10
                evidence.failures += 10 if now == 19 and evidence.version == "v2" else 0
            self.assertEqual(self.tracker.judge(now, now), [])
            verdicts.append(self.tracker.step_progress("m").assessment.verdict)
        self.assertEqual(set(verdicts[:20]), {CanaryVerdict.GOOD})
        self.assertEqual(set(verdicts[20:23]), {CanaryVerdict.DOUBTFUL})
        self.assertEqual(set(verdicts[30:]), {CanaryVerdict.GOOD})
