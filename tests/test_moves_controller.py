"""Tests of the duty that advances moves and ends them."""

import random
import unittest

import msgspec

from bluebellshore.errors import PlatformUnavailableError
from bluebellshore.ids import Epoch
from bluebellshore.moves import MoveController, MoveState, MoveTracker, decode_row
from bluebellshore.moves.controller import ROLLBACK_RESERVE_SECONDS, next_row
from bluebellshore.moves.tracker import StepProgress
from bluebellshore.store.memory import MemoryTable
from bluebellshore.wire import link_pb2
from tests.test_moves_tracker import bundle, move, verdict


class Router:
    """Tracker and controller of a router that gets steady, good evidence.

    :param epoch: fencing token of its lease; None while it does not hold it.
    :param rate: requests of each version a second.
    """

    def __init__(self, table, clock, epoch=1, *, rate=20):
        self.tracker = MoveTracker("r1")
        self.tracker.apply_bundle(bundle(m=move()))
        self.epoch = epoch
        self.clock = clock
        self.rate = rate
        self.controller = MoveController(
            table, self.tracker, lambda: self.epoch, lambda: clock.now
        )
        self.counters = [
            link_pb2.Evidence(route="chat", version=name) for name in ("v1", "v2")
        ]

    async def run_second(self):
        """Add the evidence of a second, then analyze it and run the controller."""
        for evidence in self.counters:
            self.tracker.record_evidence("s1", evidence)
            evidence.requests += self.rate
        self.tracker.judge(self.clock.now, self.clock.now)
        await self.controller.run_once()


class Clock:
    now = 0.0


class MoveControllerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.table = MemoryTable()
        self.clock = Clock()

    def row(self):
        return decode_row(self.table.rows_by_key["move/m"])

    async def run_until_decided(self, *routers, limit=1100):
        steps = []
        while self.clock.now < limit:
            for router in routers:
                try:
                    await router.run_second()
                except PlatformUnavailableError:
                    continue
            if "move/m" in self.table.rows_by_key:
                steps.append(self.row().step)
                if self.row().state is not MoveState.MOVING:
                    break
            self.clock.now += 1.0
        return steps

    async def test_good_move_goes_through_all_steps(self):
        steps = await self.run_until_decided(Router(self.table, self.clock))
        self.assertIs(self.row().state, MoveState.DONE)
        self.assertEqual(sorted(set(steps)), [0.01, 0.05, 0.25, 0.5, 1.0])
        self.assertEqual(steps, sorted(steps))
        self.assertGreaterEqual(self.clock.now, 5 * 30)

    async def test_without_evidence_it_is_rolled_back_before_the_deadline(self):
        await self.run_until_decided(Router(self.table, self.clock, rate=0))
        self.assertIs(self.row().state, MoveState.ROLLED_BACK)
        self.assertIn("0 of 20 requests", self.row().reason)
        self.assertLessEqual(self.clock.now, 1000.0 - ROLLBACK_RESERVE_SECONDS)

    async def test_verdict_is_written_by_any_router(self):
        router = Router(self.table, self.clock)
        await router.run_second()
        router.epoch = None
        router.tracker.apply_verdict(verdict())
        await router.controller.run_once()
        self.assertIs(self.row().state, MoveState.MOVING)
        await router.controller.record_verdict(verdict())
        self.assertIs(self.row().state, MoveState.ROLLED_BACK)

    async def test_final_row_never_changes_under_races_and_lost_answers(self):
        for seed in range(25):
            rng = random.Random(seed)
            self.table = MemoryTable()
            self.table.faults.lose_answers = 0.3
            self.table.faults.rng = random.Random(seed)
            self.clock.now = 0.0
            routers = [Router(self.table, self.clock, epoch=e) for e in (1, 2)]
            bad_at = rng.randrange(100, 220)
            final = None
            for _ in range(300):
                self.clock.now += 1.0
                for router in rng.sample(routers, 2):
                    try:
                        await router.run_second()
                        if self.clock.now == bad_at:
                            router.tracker.apply_verdict(verdict())
                            await router.controller.record_verdict(verdict())
                    except PlatformUnavailableError:
                        continue
                row = self.table.rows_by_key.get("move/m")
                if final is not None:
                    self.assertEqual(row, final)
                elif row and decode_row(row).state is not MoveState.MOVING:
                    final = row
            self.assertIsNotNone(final)
            for router in routers:
                share = router.tracker.snapshot()[0].share
                done = decode_row(final).state is MoveState.DONE
                self.assertEqual(share, 1.0 if done else 0.0)

    async def test_old_holder_is_fenced_by_the_new_one(self):
        old, new = (Router(self.table, self.clock, epoch=e) for e in (1, 2))
        await old.run_second()
        version = self.table.rows_by_key["move/m"].version
        await new.run_second()
        self.assertEqual(self.row().epoch, 2)
        self.assertGreater(self.table.rows_by_key["move/m"].version, version)
        self.clock.now = 995.0
        await old.run_second()
        self.assertIs(self.row().state, MoveState.MOVING)

    async def test_withdrawn_move_is_rolled_back(self):
        router = Router(self.table, self.clock)
        await router.run_second()
        router.tracker.apply_bundle(bundle(2))
        await router.run_second()
        self.assertIs(self.row().state, MoveState.ROLLED_BACK)

    async def test_move_whose_version_the_bundle_serves_is_done(self):
        router = Router(self.table, self.clock)
        await router.run_second()
        late = Router(self.table, self.clock, epoch=2)
        late.tracker.apply_bundle(bundle(2, version="v2"))
        await late.run_second()
        self.assertIs(self.row().state, MoveState.DONE)

    async def test_older_bundle_does_not_withdraw_a_newer_move(self):
        router = Router(self.table, self.clock)
        router.tracker.apply_bundle(bundle(5, m=move()))
        await router.run_second()
        outdated = Router(self.table, self.clock, epoch=2)
        outdated.tracker.apply_bundle(bundle(4))
        await outdated.run_second()
        self.assertIs(self.row().state, MoveState.MOVING)


class DecideTest(unittest.TestCase):
    def test_impossible_deadline_is_rolled_back_at_once(self):
        soon = move(deadline=60.0)
        row = next_row(soon, None, StepProgress(0, None), 0.0, Epoch(1))
        self.assertIs(row.state, MoveState.ROLLED_BACK)

    def test_done_only_with_time_left_for_a_rollback(self):
        known = next_row(move(), None, StepProgress(0, None), 0.0, Epoch(1))
        last = msgspec.structs.replace(known, step=1.0, step_since_unix=900.0)
        progress = StepProgress(50, None)
        late = next_row(
            move(), last, progress, 1000.0 - ROLLBACK_RESERVE_SECONDS + 1, Epoch(1)
        )
        self.assertIs(late.state, MoveState.ROLLED_BACK)
