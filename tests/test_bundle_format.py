"""Tests of reading and writing bundle files."""

import pathlib
import tempfile
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from bluebellshore.bundle import sign_bundle
from bluebellshore.bundle.checks import check_bundle
from bluebellshore.bundle.format import (
    bundle_to_yaml,
    encode_signed,
    load_bundle,
    load_signed,
    parse_bundle,
)
from bluebellshore.bundle.model import Move, Priority, RouteKind, Version
from bluebellshore.errors import BundleError
from tests.test_bundle_keeper import PRIVATE, REPRODUCIBLE, make_bundle

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

FAULTY_YAML = """\
number: 3
customers:
  fes:
    budget: north
    key_hashes:
      - ab
  12: {budget: fes, key_hashes: []}
budgets:
  fes: {prepaid_total: many}
versions: {}
routes:
  chat.v1: {kind: modell, version: a}
moves:
  m1: {route: chat, old: a, new: b, deadline: 2027-01-01}
"""
SCALAR_VALUES = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=8)
)


def problems_of(text: str) -> list[str]:
    try:
        parse_bundle(text, "b.yaml")
    except BundleError as error:
        return list(error.problems)
    return []


class ExamplesTest(unittest.TestCase):
    def test_example_deployments(self):
        atlas = load_bundle(EXAMPLES / "atlas-cadran.yaml")
        stalpeni = load_bundle(EXAMPLES / "stalpeni.yaml")
        for bundle in (atlas, stalpeni):
            self.assertEqual(len(bundle.customers), 10)
            self.assertTrue(bundle.routes["stock-checks"].idempotent)
        self.assertFalse(atlas.routes["orders"].idempotent)
        self.assertFalse(stalpeni.routes["pole-orders"].idempotent)
        self.assertIs(stalpeni.routes["route-plans"].priority, Priority.DEFERRED)
        self.assertIs(atlas.routes["guidance"].kind, RouteKind.MODEL)


class FormatTest(unittest.TestCase):
    def test_names_all_problems_with_path_and_line(self):
        problems = problems_of(FAULTY_YAML)
        for start, line in (
            ("customers.12: the id", 7),
            ("budgets.fes.prepaid_total", 9),
            ("routes.chat.v1.kind", 12),
            ("moves.m1.deadline: needs", 14),
        ):
            found = [problem for problem in problems if problem.startswith(start)]
            self.assertEqual(len(found), 1, (start, problems))
            self.assertTrue(found[0].endswith(f"(line {line})"), found)

    def test_content_problems_carry_the_line_too(self):
        text = bundle_to_yaml(make_bundle()).replace("budget: fes", "budget: north")
        (problem,) = problems_of(text)
        self.assertRegex(problem, r"^customers.fes.budget: .*\(line 5\)$")

    def test_refuses_what_yaml_would_let_pass(self):
        valid_text = bundle_to_yaml(make_bundle())
        for text in (
            valid_text + "comment: a\ncomment: b\n",
            valid_text + "unknown: 1\n",
            valid_text + "comment: &anchor a\n",
            valid_text + "? [a]\n: b\n",
            valid_text + "comment: !!python/name:os.system ''\n",
            "[" * 100_000,
            "- " * 100_000,
        ):
            self.assertTrue(problems_of(text), text[-40:])
        self.assertEqual(problems_of(valid_text), [])

    def test_parent_and_time_stamps_are_worked_out(self):
        move = Move(route="chat", old="a1", new="a2", deadline=1_800_000_000.0)
        versions = {name: Version(concurrency=4, model="a") for name in ("a1", "a2")}
        bundle = make_bundle(7, versions=versions, moves={"m1": move})
        text = bundle_to_yaml(bundle).replace("parent: 6\n", "")
        text = text.replace("1800000000.0", "2027-01-15T08:00:00Z")
        self.assertEqual(parse_bundle(text), bundle)

    def test_signed_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "signed.json")
            signed = sign_bundle(make_bundle(), PRIVATE)
            path.write_bytes(encode_signed(signed))
            self.assertEqual(load_signed(path), signed)
            path.write_bytes(b"{")
            with self.assertRaises(BundleError):
                load_signed(path)

    @REPRODUCIBLE
    @given(st.text(max_size=80))
    def test_noise_is_refused(self, text):
        self.assertTrue(problems_of(text))

    @REPRODUCIBLE
    @given(st.data(), SCALAR_VALUES)
    def test_changed_value_is_refused_or_valid(self, data, value):
        content = msgspec.to_builtins(make_bundle())
        node = content
        while True:
            key = data.draw(st.sampled_from(sorted(node)))
            if (
                not isinstance(node[key], dict)
                or not node[key]
                or data.draw(st.booleans())
            ):
                break
            node = node[key]
        node[key] = value
        text = msgspec.yaml.encode(content).decode()
        try:
            bundle = parse_bundle(text)
        except BundleError as error:
            self.assertTrue(all(error.problems))
        else:
            self.assertEqual(check_bundle(bundle), [])
            self.assertEqual(parse_bundle(bundle_to_yaml(bundle)), bundle)
