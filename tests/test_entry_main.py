"""Tests of what an entry router loads before it serves.

After a loss of power callers get no answer until all of it is imported.
"""

import json
import os
import subprocess
import sys
import unittest

LOADS = """
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
MODULES = """
import json, sys
import bluebellshore.entry.router
print(json.dumps(sorted(sys.modules)))
"""
#: Of the product's own deployments: bundles, links to sidecars, moves.
UNUSED = ("bluebellshore.bundle", "bluebellshore.moves", "bluebellshore.sidecar")
UNUSED += ("bluebellshore.router", "bluebellshore.wire.router_link", "cryptography")


def output_of(script: str) -> object:
    environment = {k: v for k, v in os.environ.items() if k != "SSL_CERT_FILE"}
    done = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, env=environment
    )
    return json.loads(done.stdout)


class StartTest(unittest.TestCase):
    def test_nothing_is_loaded_that_it_has_no_use_for(self):
        loaded = output_of(MODULES)
        self.assertIn("bluebellshore.entry.router", loaded)
        self.assertEqual([], [name for name in loaded if name.startswith(UNUSED)])

    def test_imports_read_no_certificates_and_stay_out_of_collections(self):
        found = output_of(LOADS)
        self.assertEqual(0, found["certificates"])
        self.assertTrue(found["frozen"])
        self.assertTrue(found["collects"])


if __name__ == "__main__":
    unittest.main()
