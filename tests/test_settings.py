"""Tests of the settings, their checks and the pages that describe them."""

import dataclasses
import pathlib
import unittest

import msgspec

from bluebellshore import settings as all_settings
from bluebellshore.bundle import model
from bluebellshore.errors import SettingsError
from bluebellshore.options import (
    OPTIONS_BY_FIELD,
    check_settings,
    parse_settings,
    settings_table,
)
from bluebellshore.settings import RouterSettings, SidecarSettings

DOCS_DIRECTORY = pathlib.Path(__file__).parent.parent / "docs"
CONFIGURATION_PAGE = (DOCS_DIRECTORY / "CONFIGURATION.md").read_text()
BUNDLE_STRUCTS = [
    struct
    for name in model.__all__
    if name != "SignedBundle"
    and issubclass(struct := getattr(model, name), msgspec.Struct)
]
SETTINGS_CLASSES = [getattr(all_settings, name) for name in all_settings.__all__]
ROUTER_TEXTS = {
    "instance_id": "router-1",
    "zone": "north",
    "platform_url": "http://10.0.0.1:80",
    "trust_keys": "ab" * 32 + ", " + "cd" * 32,
    "link_token": "secret-token",
}


class SettingsTest(unittest.TestCase):
    def problems_of(self, settings_class, **texts):
        with self.assertRaises(SettingsError) as caught:
            parse_settings(settings_class, ROUTER_TEXTS | texts)
        return caught.exception.problems

    def test_every_field_is_described(self):
        names = {
            field.name
            for settings_class in SETTINGS_CLASSES
            for field in dataclasses.fields(settings_class)
        }
        self.assertEqual(names - OPTIONS_BY_FIELD.keys(), set())

    def test_reads_texts_lists_and_defaults(self):
        settings = parse_settings(RouterSettings, ROUTER_TEXTS | {"max_streams": "7"})
        self.assertEqual(settings.trust_keys, ["ab" * 32, "cd" * 32])
        self.assertEqual(settings.max_streams, 7)
        self.assertEqual(settings.listen, "127.0.0.1:0")
        self.assertEqual(check_settings(settings), [])

    def test_names_all_problems_at_once(self):
        problems = self.problems_of(
            RouterSettings,
            zone="",
            platform_url="ftp://x",
            listen="nowhere",
            max_streams="9" * 400,
            retry_share="nan",
            credit_bytes="1.5",
            balancer="best",
        )
        self.assertEqual(len(problems), 7)
        self.assertIn(
            "--balancer (BLUEBELLSHORE_BALANCER): 'best', "
            "expected power-of-two or round-robin",
            problems,
        )

    def test_hides_secrets(self):
        problems = self.problems_of(RouterSettings, link_token="short")
        self.assertNotIn("short", " ".join(problems))

    def test_checks_fields_against_each_other(self):
        problems = self.problems_of(
            SidecarSettings,
            backend_url="http://127.0.0.1:1",
            version="v1",
            routes="chat",
            silent_seconds="0.6",
            held_bytes="2048",
        )
        self.assertRegex(" ".join(problems), "--silent-seconds.*--held-bytes")


class DocumentTest(unittest.TestCase):
    def test_every_setting_is_documented_as_the_program_has_it(self):
        for settings_class in SETTINGS_CLASSES:
            with self.subTest(settings_class.__name__):
                table = settings_table(settings_class)
                self.assertTrue(
                    table in CONFIGURATION_PAGE, f"not in the page:\n{table}"
                )

    def test_every_field_of_a_bundle_is_documented(self):
        for struct in BUNDLE_STRUCTS:
            for name in struct.__struct_fields__:
                with self.subTest(struct=struct.__name__, field=name):
                    self.assertIn(f"`{name}`", CONFIGURATION_PAGE)

    def test_every_page_for_operators_is_in_the_index(self):
        index = (DOCS_DIRECTORY / "OPERATIONS.md").read_text()
        for page in (DOCS_DIRECTORY / "operations").glob("*.md"):
            self.assertIn(f"(operations/{page.name})", index)
