"""Tests of the changes that an incarnation repeats after the store went back."""

import unittest

from bluebellshore.budget.replay import (
    MAX_COPY_AGE_SECONDS,
    BudgetChange,
    ChangeLog,
)
from bluebellshore.ids import BudgetId

A, B = BudgetId("a"), BudgetId("b")


class ChangeLogTest(unittest.TestCase):
    def setUp(self):
        self.log = ChangeLog()
        for sequence in range(1, 6):
            self.log.record(sequence, {A: BudgetChange(1, -1)}, float(sequence))
        self.log.record(6, {B: BudgetChange(0, 10)}, 6.0)

    def lost(self):
        changes = self.log.lost_changes()
        return {b: (c.settled, c.outstanding) for b, c in changes.items()}

    def test_changes_after_the_copy_are_lost(self):
        self.log.find_lost(4, 7)
        self.assertEqual({A: (1, -1), B: (0, 10)}, self.lost())

    def test_copy_of_the_present_lacks_nothing(self):
        self.log.find_lost(6, 7)
        self.assertFalse(self.lost())

    def test_copy_from_before_the_incarnation_lacks_all(self):
        self.log.find_lost(0, 7)
        self.assertEqual({A: (5, -5), B: (0, 10)}, self.lost())

    def test_budgets_may_be_repeated_one_after_another(self):
        self.log.find_lost(4, 7)
        self.log.record_repeated(8, {A})
        self.assertEqual({B: (0, 10)}, self.lost())
        self.log.record_repeated(9, {B})
        self.assertFalse(self.lost())

    def test_second_copy_may_be_from_before_or_after_the_repetition(self):
        for copy, lost in (
            (9, {}),
            (8, {}),
            (7, {A: (1, -1), B: (0, 10)}),
            (4, {A: (1, -1), B: (0, 10)}),
            (2, {A: (3, -3), B: (0, 10)}),
            # From before the first restore, whose copy was older.
            (5, {B: (0, 10)}),
            (6, {}),
        ):
            with self.subTest(copy=copy):
                self.setUp()
                self.log.find_lost(4, 7)
                self.log.record_repeated(8, {A, B})
                self.log.find_lost(copy, 10)
                self.assertEqual(lost, self.lost())

    def test_changes_are_forgotten_once_no_copy_is_as_old(self):
        self.log.record(7, {}, MAX_COPY_AGE_SECONDS + 3.5)
        self.log.find_lost(0, 8)
        self.assertEqual({A: (2, -2), B: (0, 10)}, self.lost())
