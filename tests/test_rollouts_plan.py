"""Tests of the share that a rollout's target version gets."""

import itertools
import unittest

import msgspec

from bluebellshore.moves.judge import CanaryVerdict
from bluebellshore.rollouts.plan import (
    MAX_CANARY_SHARE,
    RAMP_SHARES,
    RolloutSnapshot,
    SharePlan,
    canary_requests,
    is_rollback_due,
)

#: Steady load of the plays: requests a second, and the time of the order.
RATE, SECONDS = 60.0, 40.0
TICK_SECONDS = 0.1


def snapshot(age: float = 10.0, **changed: object) -> RolloutSnapshot:
    """Return a steady load's snapshot, with the first share as planned."""
    found = RolloutSnapshot(
        age_seconds=age,
        deadline_seconds=SECONDS,
        exposed_requests=0,
        total_requests=round(RATE * age),
        verdict=CanaryVerdict.GOOD,
        exposure_share=0.1,
        exposure_extra=50.0,
        has_enough_results=True,
    )
    return msgspec.structs.replace(found, **changed)


class Play:
    """Routers with a part of a steady load each, which hear of each other.

    :param results_at: age from which each router has results enough.
    """

    def __init__(self, results_at: list[float], rate: float = RATE):
        self.plans = [SharePlan() for _ in results_at]
        self.results_at = results_at
        self.rate = rate
        self.exposed = 0.0
        self.told = [0.0] * len(results_at)

    def tick(self, age: float, **changed: object) -> None:
        """Let each router set its share and get its part of the load."""
        shares = []
        for number, plan in enumerate(self.plans):
            peers = [s for other, s in enumerate(self.told) if other != number]
            seen = snapshot(
                age,
                exposed_requests=int(self.exposed),
                total_requests=round(self.rate * age),
                has_enough_results=age >= self.results_at[number],
                max_peer_share=max(peers, default=0.0),
            )
            shares.append(plan.update(msgspec.structs.replace(seen, **changed)))
        self.told = shares
        load = self.rate * TICK_SECONDS / len(shares)
        self.exposed += sum(share * load for share in shares)

    def run(self, until: float, start: float = 0.0, **changed: object) -> None:
        """Play from one age of the order to another."""
        for tick in range(round(start / TICK_SECONDS), round(until / TICK_SECONDS)):
            self.tick(tick * TICK_SECONDS, **changed)

    @property
    def shares(self) -> list[float]:
        """Shares of all routers now."""
        return [plan.share for plan in self.plans]


class SharePlanTest(unittest.TestCase):
    def test_bad_version_gets_nothing(self) -> None:
        """A version that turns bad while it has all of a steady load."""
        play = Play([0.0])
        play.run(29.0)
        self.assertEqual(play.shares, [1.0])
        play.tick(29.0, verdict=CanaryVerdict.BAD)
        self.assertEqual(play.shares, [0.0])

    def test_share_rises_to_all_on_a_steady_load(self) -> None:
        play = Play([0.0])
        play.run(20.0)
        self.assertLess(play.shares[0], RAMP_SHARES[0])
        play.run(29.0, 20.0)
        self.assertEqual(play.shares, [1.0])

    def test_exposure_is_kept_by_a_version_that_is_never_decided(self) -> None:
        """Steady loads from a few to many requests, and no completion to the end."""
        for rate, extra in itertools.product((3.0, 6.0, 60.0, 600.0), (5.0, 50.0)):
            with self.subTest(rate=rate, extra=extra):
                play = Play([0.0, 0.0], rate)
                play.run(SECONDS, exposure_extra=extra)
                self.assertLessEqual(play.exposed, 0.1 * rate * SECONDS + extra)

    def test_exposure_is_kept_when_the_load_falls(self) -> None:
        """Requests end half-way: what was expected of them is no longer allowed."""
        plan = SharePlan()
        seen = snapshot(20.0, total_requests=1200, exposed_requests=200)
        self.assertGreater(plan.update(seen), 0.0)
        fallen = snapshot(34.0, total_requests=1200, exposed_requests=200)
        self.assertFalse(is_rollback_due(fallen))
        self.assertEqual(plan.update(fallen), 0.0)

    def test_doubtful_version_stays_at_its_share(self) -> None:
        play = Play([0.0])
        play.run(35.0, verdict=CanaryVerdict.DOUBTFUL)
        self.assertLess(play.shares[0], RAMP_SHARES[0])

    def test_share_stays_low_without_results(self) -> None:
        play = Play([SECONDS])
        play.run(35.0)
        self.assertLess(play.shares[0], RAMP_SHARES[0])

    def test_share_stays_low_while_the_store_is_out(self) -> None:
        """The completion couldn't be written."""
        play = Play([0.0])
        play.run(35.0, can_complete=False)
        self.assertLess(play.shares[0], RAMP_SHARES[0])

    def test_all_goes_back_before_the_deadline(self) -> None:
        play = Play([0.0])
        play.run(39.0)
        self.assertTrue(is_rollback_due(snapshot(39.0)))
        self.assertEqual(play.shares, [0.0])

    def test_without_a_completion_few_requests_follow_many(self) -> None:
        """The first one to have all of the load runs out of exposure."""
        play = Play([0.0])
        play.run(29.0)
        self.assertEqual(play.shares, [1.0])
        play.run(33.0, 29.0)
        self.assertLess(play.shares[0], RAMP_SHARES[0])
        self.assertGreater(play.shares[0], 0.0)

    def test_first_share_makes_up_for_requests_that_are_missing(self) -> None:
        """Of a few requests a second, draws gave the version too few."""
        few = {"total_requests": 120, "exposed_requests": 4}
        behind = snapshot(20.0, **few)
        planned = snapshot(20.0, total_requests=120, exposed_requests=60)
        self.assertGreater(
            SharePlan().update(behind), 1.2 * SharePlan().update(planned)
        )
        self.assertLessEqual(SharePlan().update(behind), MAX_CANARY_SHARE)

    def test_first_share_sends_what_is_planned(self) -> None:
        play = Play([SECONDS])
        play.run(26.0)
        wanted = canary_requests(snapshot(26.0))
        self.assertAlmostEqual(play.exposed, wanted, delta=0.1 * wanted)


class FollowTest(unittest.TestCase):
    """Routers that do not count results enough at the same time."""

    def test_router_that_is_behind_follows(self) -> None:
        """One in four has its results when the others wait for theirs."""
        play = Play([0.0, SECONDS, SECONDS, SECONDS])
        play.run(29.0)
        self.assertEqual(play.shares, [1.0] * 4)

    def test_results_in_turn_leave_no_router_behind(self) -> None:
        """A short order: the first one takes the room that is left for all."""
        play = Play([12.5, 12.9, 12.9, 12.9])
        play.run(14.4, deadline_seconds=20.0)
        self.assertEqual(play.shares, [1.0] * 4)

    def test_no_peer_leads_past_a_doubt_the_store_or_the_exposure(self) -> None:
        led = {
            "age": 28.0,
            "max_peer_share": 1.0,
            "has_enough_results": False,
            "exposed_requests": 60,
        }
        self.assertEqual(SharePlan().update(snapshot(**led)), 1.0)
        for held in (
            {"verdict": CanaryVerdict.DOUBTFUL},
            {"verdict": CanaryVerdict.BAD},
            {"can_complete": False},
            {"exposed_requests": 245},
            {"age": 39.0},
        ):
            with self.subTest(**held):
                seen = snapshot(**{**led, **held})
                self.assertLess(SharePlan().update(seen), RAMP_SHARES[0])

    def test_step_without_room_for_the_peers_is_kept(self) -> None:
        plan = SharePlan()
        self.assertEqual(
            plan.update(snapshot(28.0, exposed_requests=60)), RAMP_SHARES[0]
        )
        seen = snapshot(
            28.1, exposed_requests=236, max_peer_share=1.0, has_enough_results=False
        )
        self.assertEqual(plan.update(seen), RAMP_SHARES[0])

    def test_first_share_of_a_peer_is_no_step(self) -> None:
        """Few requests, whose first share is as high as the first step."""
        seen = snapshot(10.0, max_peer_share=MAX_CANARY_SHARE, has_enough_results=False)
        self.assertLess(SharePlan().update(seen), MAX_CANARY_SHARE)


class HurryTest(unittest.TestCase):
    def test_results_that_come_late_leave_steps_out(self) -> None:
        """Few requests a second: the last route answered 5 s before the end."""
        few = {"total_requests": 210, "exposed_requests": 25, "exposure_share": 0.2}
        self.assertEqual(SharePlan().update(snapshot(34.5, **few)), 1.0)

    def test_results_in_time_take_each_step(self) -> None:
        plan = SharePlan()
        few = {"total_requests": 170, "exposed_requests": 25, "exposure_share": 0.2}
        self.assertEqual(plan.update(snapshot(28.5, **few)), RAMP_SHARES[0])


if __name__ == "__main__":
    unittest.main()
