"""Tests of signals that reach a process while it starts or ends."""

import asyncio
import json
import os
import sys
import unittest

from bluebellshore.load.process import PACKAGE_PARENT
from bluebellshore.platform.settings import SETTINGS_VARIABLE
from tests.entry_system import EntryTestCase

#: Runs the entry program; `before` and `after` run around the start of its router,
#: `ended` when its router has stopped.
PROGRAM = """
import os, signal, sys
from bluebellshore.entry import __main__ as program

def send(*numbers):
    for number in numbers:
        os.kill(os.getpid(), number)

def importing(name, path=None, target=None):
    if name == "bluebellshore.entry.router":
        sys.meta_path.remove(finder)
        {imported}

class finder:
    find_spec = staticmethod(importing)

sys.meta_path.insert(0, finder)
from unittest import mock
from bluebellshore import runtime
start, serve = runtime.RoleService.start, runtime._serve

async def start_and_send(service):
    {before}
    await start(service)
    {after}

async def serve_and_send(role, log):
    await serve(role, log)
    {ended}

runtime.RoleService.start, runtime._serve = start_and_send, serve_and_send
sys.exit(program.main())
"""
TERM = "send(signal.SIGTERM)"


class StopWhileStartingTest(EntryTestCase):
    async def run_program(self, **code):
        """Run the program. :return: messages of its log."""
        places = dict.fromkeys(("imported", "before", "after", "ended"), "pass")
        paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self.make_instance().path),
            "PYTHONPATH": os.pathsep.join(filter(None, paths)),
        }
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-c", PROGRAM.format(**(places | code))),
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        self.assertEqual(0, process.returncode, output.decode())
        return [json.loads(line).get("message_type") for line in output.splitlines()]

    async def test_stop_at_any_point_of_a_start_is_orderly(self):
        for place in ("imported", "before", "after"):
            with self.subTest(place):
                messages = await self.run_program(**{place: TERM})
                self.assertEqual(["started", "stopped"], [messages[0], messages[-1]])

    async def test_signals_after_the_stop_change_nothing(self):
        messages = await self.run_program(
            after=TERM, ended="send(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)"
        )
        self.assertEqual("stopped", messages[-1])


if __name__ == "__main__":
    unittest.main()
