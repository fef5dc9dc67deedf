"""Each mutant must still fit the product and name a test that exists."""

import importlib
import unittest

from tests.mutants import MUTANTS, ROOT, mutated
from tests.soak_mutants import GUARDS


class MutantsTest(unittest.TestCase):
    def test_names_are_unique(self):
        self.assertEqual(len({mutant.name for mutant in MUTANTS}), len(MUTANTS))
        self.assertEqual(len({guard.name for guard in GUARDS}), len(GUARDS))

    def test_each_removes_one_place_of_the_product(self):
        for mutant in (*MUTANTS, *(guard.mutant() for guard in GUARDS)):
            with self.subTest(mutant.name):
                self.assertTrue(mutant.path.startswith("bluebellshore/"))
                text = mutated(mutant)
                self.assertNotEqual(text, (ROOT / mutant.path).read_text())
                compile(text, mutant.path, "exec")

    def test_each_names_a_test(self):
        for mutant in MUTANTS:
            with self.subTest(mutant.name):
                module, case, method = mutant.test.rsplit(".", 2)
                found = getattr(importlib.import_module(module), case)
                self.assertTrue(issubclass(found, unittest.TestCase))
                self.assertTrue(callable(getattr(found, method)))


if __name__ == "__main__":
    unittest.main()
