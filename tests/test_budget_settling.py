"""Tests of when bills go into a budget's row."""

import unittest

from bluebellshore.budget.settling import PendingBills, should_settle

#: A few bills of a router that holds much of a budget with plenty left.
FEW = {
    "tokens": 1_000,
    "held": 10_000,
    "waited_seconds": 1.0,
    "unallotted": 100_000,
    "unbilled": 300_000,
}


class SettlingTest(unittest.TestCase):
    def due(self, **options):
        return should_settle(PendingBills(**FEW | options))

    def test_few_bills_wait(self):
        self.assertFalse(self.due())

    def test_many_bills_do_not(self):
        self.assertTrue(self.due(tokens=4_000))

    def test_old_bills_do_not(self):
        self.assertTrue(self.due(waited_seconds=3.5))

    def test_bills_of_a_budget_near_its_end_do_not(self):
        self.assertTrue(self.due(unallotted=10_000))


if __name__ == "__main__":
    unittest.main()
