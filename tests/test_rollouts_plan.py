"""Tests of the share of requests that a rollout's target version gets."""

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

#: Steady load of the simulations in requests a second, and the order's time in seconds.
REQUESTS_PER_SECOND, DEADLINE_SECONDS = 60.0, 40.0
TICK_SECONDS = 0.1


def snapshot(age: float = 10.0, **changed: object) -> RolloutSnapshot:
    """Return a snapshot of an order under a steady load.

    :param changed: fields with another value.
    """
    found = RolloutSnapshot(
        age_seconds=age,
        deadline_seconds=DEADLINE_SECONDS,
        exposed_requests=0,
        total_requests=round(REQUESTS_PER_SECOND * age),
        verdict=CanaryVerdict.GOOD,
        exposure_share=0.1,
        exposure_extra_requests=50.0,
        has_enough_results=True,
    )
    return msgspec.structs.replace(found, **changed)


class RampSimulation:
    """Routers that share a steady load and report their shares to each other.

    :param results_at: age of the order from which each router has enough results.
    :param rate: requests of all routers a second.
    """

    def __init__(self, results_at: list[float], rate: float = REQUESTS_PER_SECOND):
        self.plans = [SharePlan() for _ in results_at]
        self.results_at = results_at
        self.rate = rate
        self.exposed = 0.0
        self.reported_shares = [0.0] * len(results_at)

    def tick(self, age: float, **changed: object) -> None:
        """Let each router set its share and send its part of the load."""
        shares = []
        for number, plan in enumerate(self.plans):
            peers = [
                s for other, s in enumerate(self.reported_shares) if other != number
            ]
            seen = snapshot(
                age,
                exposed_requests=int(self.exposed),
                total_requests=round(self.rate * age),
                has_enough_results=age >= self.results_at[number],
                max_peer_share=max(peers, default=0.0),
            )
            shares.append(plan.update(msgspec.structs.replace(seen, **changed)))
        self.reported_shares = shares
        load = self.rate * TICK_SECONDS / len(shares)
        self.exposed += sum(share * load for share in shares)

    def run(self, until: float, start: float = 0.0, **changed: object) -> None:
        """Simulate from one age of the order to another, in seconds."""
        for tick in range(round(start / TICK_SECONDS), round(until / TICK_SECONDS)):
            self.tick(tick * TICK_SECONDS, **changed)

    @property
    def shares(self) -> list[float]:
        """Present shares of all routers."""
        return [plan.share for plan in self.plans]


class SharePlanTest(unittest.TestCase):
    def test_bad_version_gets_nothing(self) -> None:
        """A version that becomes bad while it gets all of a steady load."""
        simulation = RampSimulation([0.0])
        simulation.run(29.0)
        self.assertEqual(simulation.shares, [1.0])
        simulation.tick(29.0, verdict=CanaryVerdict.BAD)
        self.assertEqual(simulation.shares, [0.0])

    def test_share_rises_to_all_on_a_steady_load(self) -> None:
        simulation = RampSimulation([0.0])
        simulation.run(20.0)
        self.assertLess(simulation.shares[0], RAMP_SHARES[0])
        simulation.run(29.0, 20.0)
        self.assertEqual(simulation.shares, [1.0])

    def test_exposure_is_kept_by_a_version_that_is_never_decided(self) -> None:
        """Steady loads from a few to many requests, and no completion until the end."""
        for rate, extra in itertools.product((3.0, 6.0, 60.0, 600.0), (5.0, 50.0)):
            with self.subTest(rate=rate, extra=extra):
                simulation = RampSimulation([0.0, 0.0], rate)
                simulation.run(DEADLINE_SECONDS, exposure_extra_requests=extra)
                self.assertLessEqual(
                    simulation.exposed, 0.1 * rate * DEADLINE_SECONDS + extra
                )

    def test_exposure_is_kept_when_the_load_falls(self) -> None:
        """Requests stop half-way, so the exposure that they would allow is gone."""
        plan = SharePlan()
        seen = snapshot(20.0, total_requests=1200, exposed_requests=200)
        self.assertGreater(plan.update(seen), 0.0)
        fallen = snapshot(34.0, total_requests=1200, exposed_requests=200)
        self.assertFalse(is_rollback_due(fallen))
        self.assertEqual(plan.update(fallen), 0.0)

    def test_doubtful_version_stays_at_its_share(self) -> None:
        simulation = RampSimulation([0.0])
        simulation.run(35.0, verdict=CanaryVerdict.DOUBTFUL)
        self.assertLess(simulation.shares[0], RAMP_SHARES[0])

    def test_share_stays_low_without_results(self) -> None:
        simulation = RampSimulation([DEADLINE_SECONDS])
        simulation.run(35.0)
        self.assertLess(simulation.shares[0], RAMP_SHARES[0])

    def test_share_stays_low_while_the_store_is_out(self) -> None:
        """The store is unavailable, so the completion could not be written."""
        simulation = RampSimulation([0.0])
        simulation.run(35.0, can_complete=False)
        self.assertLess(simulation.shares[0], RAMP_SHARES[0])

    def test_rollback_is_due_before_the_deadline(self) -> None:
        simulation = RampSimulation([0.0])
        simulation.run(39.0)
        self.assertTrue(is_rollback_due(snapshot(39.0)))
        self.assertEqual(simulation.shares, [0.0])

    def test_share_falls_to_canary_share_without_completion(self) -> None:
        """A router that sends all of the load runs out of exposure."""
        simulation = RampSimulation([0.0])
        simulation.run(29.0)
        self.assertEqual(simulation.shares, [1.0])
        simulation.run(33.0, 29.0)
        self.assertLess(simulation.shares[0], RAMP_SHARES[0])
        self.assertGreater(simulation.shares[0], 0.0)

    def test_canary_share_makes_up_for_missing_requests(self) -> None:
        """With a few requests a second, the version got too few by chance."""
        few = {"total_requests": 120, "exposed_requests": 4}
        behind = snapshot(20.0, **few)
        planned = snapshot(20.0, total_requests=120, exposed_requests=60)
        self.assertGreater(
            SharePlan().update(behind), 1.2 * SharePlan().update(planned)
        )
        self.assertLessEqual(SharePlan().update(behind), MAX_CANARY_SHARE)

    def test_canary_share_sends_the_planned_requests(self) -> None:
        simulation = RampSimulation([DEADLINE_SECONDS])
        simulation.run(26.0)
        wanted = canary_requests(snapshot(26.0))
        self.assertAlmostEqual(simulation.exposed, wanted, delta=0.1 * wanted)


class FollowPeerTest(unittest.TestCase):
    """Routers that have enough results at different times."""

    def test_router_that_is_behind_follows(self) -> None:
        """One router of four has enough results while the others wait for theirs."""
        simulation = RampSimulation(
            [0.0, DEADLINE_SECONDS, DEADLINE_SECONDS, DEADLINE_SECONDS]
        )
        simulation.run(29.0)
        self.assertEqual(simulation.shares, [1.0] * 4)

    def test_router_with_later_results_follows_the_first_one(self) -> None:
        """In a short order, the first router's step uses the exposure left for all."""
        simulation = RampSimulation([12.5, 12.9, 12.9, 12.9])
        simulation.run(14.4, deadline_seconds=20.0)
        self.assertEqual(simulation.shares, [1.0] * 4)

    def test_peer_is_not_followed_against_verdict_store_or_exposure(self) -> None:
        following = {
            "age": 28.0,
            "max_peer_share": 1.0,
            "has_enough_results": False,
            "exposed_requests": 60,
        }
        self.assertEqual(SharePlan().update(snapshot(**following)), 1.0)
        for change in (
            {"verdict": CanaryVerdict.DOUBTFUL},
            {"verdict": CanaryVerdict.BAD},
            {"can_complete": False},
            {"exposed_requests": 245},
            {"age": 39.0},
        ):
            with self.subTest(**change):
                seen = snapshot(**{**following, **change})
                self.assertLess(SharePlan().update(seen), RAMP_SHARES[0])

    def test_step_is_kept_without_exposure_for_the_peers_step(self) -> None:
        plan = SharePlan()
        self.assertEqual(
            plan.update(snapshot(28.0, exposed_requests=60)), RAMP_SHARES[0]
        )
        seen = snapshot(
            28.1, exposed_requests=236, max_peer_share=1.0, has_enough_results=False
        )
        self.assertEqual(plan.update(seen), RAMP_SHARES[0])

    def test_canary_share_of_a_peer_is_no_ramp_step(self) -> None:
        """Few requests, with a canary share as high as the first step of the ramp."""
        seen = snapshot(10.0, max_peer_share=MAX_CANARY_SHARE, has_enough_results=False)
        self.assertLess(SharePlan().update(seen), MAX_CANARY_SHARE)


class LateResultsTest(unittest.TestCase):
    def test_late_results_skip_ramp_steps(self) -> None:
        """Few requests a second: the last route has results 5 s before the deadline."""
        few = {"total_requests": 210, "exposed_requests": 25, "exposure_share": 0.2}
        self.assertEqual(SharePlan().update(snapshot(34.5, **few)), 1.0)

    def test_results_in_time_take_each_ramp_step(self) -> None:
        plan = SharePlan()
        few = {"total_requests": 170, "exposed_requests": 25, "exposure_share": 0.2}
        self.assertEqual(plan.update(snapshot(28.5, **few)), RAMP_SHARES[0])


if __name__ == "__main__":
    unittest.main()
