"""Tests of the rule for adding bills to a budget's row."""

import unittest

from bluebellshore.budget.settling import PendingBills, should_settle

#: Few bills of a router with a large allotment, while the budget has many tokens left.
FEW_BILLS = {
    "tokens": 1_000,
    "held": 10_000,
    "waited_seconds": 1.0,
    "unallotted": 100_000,
    "unbilled": 300_000,
}


class SettlingTest(unittest.TestCase):
    def settles(self, **options):
        return should_settle(PendingBills(**FEW_BILLS | options))

    def test_few_bills_wait(self):
        self.assertFalse(self.settles())

    def test_many_bills_are_settled_now(self):
        self.assertTrue(self.settles(tokens=4_000))

    def test_old_bills_are_settled_now(self):
        self.assertTrue(self.settles(waited_seconds=3.5))

    def test_bills_of_a_nearly_exhausted_budget_are_settled_now(self):
        self.assertTrue(self.settles(unallotted=10_000))


if __name__ == "__main__":
    unittest.main()
