"""Tests of whose turn it is to write rows that many routers change."""

import unittest

from bluebellshore.budget.turns import (
    GROUPS,
    TURN_SECONDS,
    Turn,
    Turns,
    group_of,
    next_turn,
)
from bluebellshore.store.interface import StoreTime


class TurnsTest(unittest.TestCase):
    def turns(self, position, writers):
        """Return starts, in whole turns, and groups of one writer's turns."""
        now, turns = 0.0, []
        for _ in range(3 * GROUPS):
            turn = next_turn(now, position, writers)
            turns.append((round((now + turn.wait_seconds) / TURN_SECONDS), turn.group))
            now += turn.wait_seconds + TURN_SECONDS / 2
        return turns

    def test_no_two_writers_have_a_group_at_once(self):
        for writers in (16, 22, 46, 47, 100):
            turns = [t for p in range(writers) for t in self.turns(p, writers)]
            self.assertEqual(len(turns), len(set(turns)), writers)

    def test_each_writer_has_each_group_once_in_a_cycle(self):
        for writers in (16, 46, 47):
            for position in (0, 5, writers - 1):
                turns = self.turns(position, writers)
                for group in range(GROUPS):
                    starts = [start for start, g in turns if g == group]
                    gaps = [b - a for a, b in zip(starts, starts[1:], strict=False)]
                    self.assertEqual(gaps, [writers] * 2)

    def test_groups_are_about_even(self):
        groups = [group_of(f"customer-{number}") for number in range(600)]
        for group in range(GROUPS):
            self.assertGreater(groups.count(group), 50)

    def make(self, own, routers, store_seconds, local_seconds):
        seen = StoreTime(store_seconds, local_seconds, local_seconds)
        return Turns(own, lambda: routers, lambda: seen, lambda: local_seconds + 1.0)

    def test_routers_agree_by_the_stores_clock(self):
        routers = [f"r{number:02d}" for number in range(22)]
        first = self.make("r00", routers, 100.0, 7.0)
        other = self.make("r05", routers, 100.0, 93.0)
        turns = {first.settling(), first.recovering(), other.settling()}
        self.assertEqual(len(turns), 3)
        later = self.make("r05", routers, 100.0, 40.0)
        self.assertEqual(other.settling(), later.settling())

    def test_few_routers_or_no_time_need_no_turns(self):
        self.assertIsNone(self.make("a", ["b", "c"], 1.0, 1.0).settling())
        routers = [f"r{number}" for number in range(20)]
        turns = Turns("r0", lambda: routers, lambda: None, lambda: 0.0)
        self.assertIsNone(turns.settling())
        self.assertIsInstance(self.make("r0", routers, 1.0, 1.0).settling(), Turn)


if __name__ == "__main__":
    unittest.main()
