"""Tests of the package's exceptions."""

import unittest

from bluebellshore.errors import RefusedError, RunState, SettingsError


class ErrorTest(unittest.TestCase):
    def test_names_step_and_peer(self):
        error = RefusedError("queue is full", step="admit", peer="sidecar-1")
        self.assertEqual(str(error), "admit (sidecar-1): queue is full")
        self.assertIs(error.run, RunState.NOT_RUN)

    def test_settings_error_lists_all_problems(self):
        error = SettingsError(["--port: 0", "--zone: empty"])
        self.assertEqual(error.problems, ("--port: 0", "--zone: empty"))
