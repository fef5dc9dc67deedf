"""Tests of what an entry router imports before it serves.

Guards against slow starts: after a loss of power callers get no answer until all
imports are done.
"""

import json
import os
import subprocess
import sys
import unittest

MAIN_SCRIPT = """
import gc, json, ssl, sys
from unittest import mock
import bluebellshore.entry.__main__ as main
sys.modules["bluebellshore.entry.router"] = mock.Mock(
    serve=lambda: print(json.dumps({
        "frozen": gc.get_freeze_count() > 0,
        "collects": gc.isenabled(),
        "certificates": ssl.create_default_context().cert_store_stats()["x509"],
    }))
)
main.main()
"""
IMPORT_SCRIPT = """
import json, sys
import bluebellshore.entry.router
print(json.dumps(sorted(sys.modules)))
"""
#: Modules for routers with sidecars: bundles, links to sidecars, moves.
UNUSED_MODULES = (
    "bluebellshore.bundle",
    "bluebellshore.moves",
    "bluebellshore.sidecar",
)
UNUSED_MODULES += (
    "bluebellshore.router",
    "bluebellshore.wire.router_link",
    "cryptography",
)


def output_of(script: str) -> object:
    environment = {k: v for k, v in os.environ.items() if k != "SSL_CERT_FILE"}
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, env=environment
    )
    return json.loads(done.stdout)


class StartTest(unittest.TestCase):
    def test_unused_modules_are_not_imported(self):
        loaded = output_of(IMPORT_SCRIPT)
        self.assertIn("bluebellshore.entry.router", loaded)
        self.assertEqual(
            [], [name for name in loaded if name.startswith(UNUSED_MODULES)]
        )

    def test_imports_read_no_certificates_and_are_frozen_for_gc(self):
        found = output_of(MAIN_SCRIPT)
        self.assertEqual(0, found["certificates"])
        self.assertTrue(found["frozen"])
        self.assertTrue(found["collects"])


if __name__ == "__main__":
    unittest.main()
