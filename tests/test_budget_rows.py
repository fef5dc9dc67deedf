"""Tests of the rows that budgets keep in the table service."""

import random
import unittest
import zlib

import msgspec

from bluebellshore.budget.rows import (
    Allotment,
    BudgetRow,
    IncarnationRow,
    decode_row,
    encode_row,
    encode_uncompressed,
)
from bluebellshore.porcelain.readback import budget_view
from bluebellshore.store.interface import Row

#: Routers that each customer's row names.
ROUTERS = 22
CUSTOMERS = 24
#: Bytes of a read of all customers' rows that takes 30 ms on a link of 5 Mbit/s.
MAX_READ_BYTES = 18_750


def fleet_row(seed):
    rng = random.Random(seed)
    allotments = {
        f"valley-north-{number}.{rng.getrandbits(48):012x}": Allotment(
            rng.randrange(2_000, 20_000), rng.randrange(100, 300)
        )
        for number in range(ROUTERS)
    }
    return BudgetRow(rng.randrange(10**6), allotments)


class RowsTest(unittest.TestCase):
    def test_rows_of_all_customers_are_small_enough_for_a_slow_link(self):
        sizes = [len(encode_row(fleet_row(seed))) for seed in range(CUSTOMERS)]
        self.assertLess(sum(sizes) * 4 / 3, MAX_READ_BYTES)  # base64 in transit

    def test_large_and_small_rows_are_read_as_written(self):
        for value in (
            BudgetRow(),
            BudgetRow(30, {"r.1": Allotment(20)}),
            fleet_row(1),
            IncarnationRow("r", caps={f"customer-{n}": n for n in range(CUSTOMERS)}),
        ):
            row = Row("budget/acme", 1, encode_row(value))
            self.assertEqual(decode_row(row, type(value)), value)

    def test_rows_of_earlier_versions_are_read(self):
        value = fleet_row(1)
        row = Row("budget/acme", 1, encode_uncompressed(value))
        self.assertEqual(decode_row(row, BudgetRow), value)

    def test_compressed_row_that_is_cut_or_grows_without_bound_is_refused(self):
        whole = encode_row(fleet_row(1))
        for value in (whole[:-9], zlib.compress(b" " * 2**27 + b"{}")):
            with self.assertRaises(msgspec.DecodeError):
                decode_row(Row("budget/acme", 1, value), BudgetRow)

    def test_operators_see_a_compressed_row(self):
        value = fleet_row(1)
        view = budget_view("acme", 10**9, encode_row(value))
        self.assertEqual(view.settled, value.settled)

    def test_damaged_row_is_a_decoding_error(self):
        damaged = encode_row(fleet_row(1))[:-9]
        with self.assertRaises(msgspec.DecodeError):
            decode_row(Row("budget/acme", 1, damaged), BudgetRow)


if __name__ == "__main__":
    unittest.main()
