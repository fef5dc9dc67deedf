"""Tests that the operations pages list every log line, field and metric."""

import enum
import inspect
import pathlib
import re
import types
import typing
import unittest

from bluebellshore.decisions import DecisionLog, Kind
from bluebellshore.decisions.changes import ChangeLines
from bluebellshore.decisions.requests import RequestLines
from bluebellshore.entry.metrics import EntryMetrics

PAGES = pathlib.Path(__file__).parent.parent / "docs" / "operations"
COMMON_FIELDS = {"message_type", "timestamp", "clock", "request"}


def value_of(annotation: object) -> object:
    """Return a value of the type for which the log writes the field."""
    if isinstance(annotation, types.UnionType):
        return value_of(typing.get_args(annotation)[0])
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return next(iter(annotation))
    plain = {str: "x", int: 1, float: 1.5, bool: True}
    return plain.get(annotation, {"a": 1})


def lines_by_method() -> dict[str, list[dict]]:
    """Call each log method with all arguments; return its lines by method name."""
    lines = {}
    for owner in (RequestLines, ChangeLines):
        for name, method in vars(owner).items():
            if name.startswith("_"):
                continue
            hints = typing.get_type_hints(method)
            arguments = [
                (parameter.name, value_of(hints[parameter.name]))
                for parameter in inspect.signature(method).parameters.values()
                if parameter.name != "self"
                and parameter.kind is not inspect.Parameter.VAR_KEYWORD
            ]
            lines[name] = sent = []
            getattr(DecisionLog(sent.append), name)(**dict(arguments))
    return lines


def rows_of(page: str) -> dict[str, str]:
    """Return the table rows of a page by the names in their first cell."""
    text = (PAGES / page).read_text()
    return {
        name: row
        for row in text.splitlines()
        if row.startswith("| `")
        for name in re.findall(r"`([^`]+)`", row.split("|")[1])
    }


class LogPageTest(unittest.TestCase):
    def test_each_method_sends_one_line_of_its_kind_and_the_page_lists_it(self):
        rows = rows_of("logs.md")
        for name, lines in lines_by_method().items():
            with self.subTest(name):
                self.assertEqual([line["message_type"] for line in lines], [name])
                for field in lines[0].keys() - COMMON_FIELDS:
                    self.assertIn(f"`{field}`", rows[name])

    def test_page_lists_every_kind_and_enum_value(self):
        rows = rows_of("logs.md")
        for kind in Kind:
            self.assertIn(kind.value, rows)
        text = (PAGES / "logs.md").read_text()
        hints = [
            annotation
            for owner in (RequestLines, ChangeLines)
            for name, method in vars(owner).items()
            if not name.startswith("_")
            for annotation in typing.get_type_hints(method).values()
        ]
        for annotation in hints:
            if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
                for member in annotation:
                    self.assertIn(f"`{member.value}`", text)


class MetricsPageTest(unittest.TestCase):
    def test_page_lists_every_series_and_no_other(self):
        families = {
            family.name + ("_total" if family.type == "counter" else ""): family
            for family in EntryMetrics().registry.collect()
        }
        own = {
            name.removeprefix("bluebellshore_")
            for name in families
            if name.startswith("bluebellshore_")
        }
        self.assertEqual(rows_of("entry-metrics.md").keys(), own)


if __name__ == "__main__":
    unittest.main()
