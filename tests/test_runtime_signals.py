"""Tests of signals that reach a process while it starts or ends.

A signal that arrives before the handlers are set, or after the event loop removed them,
would kill the process before it has logged an orderly stop.
"""

import asyncio
import json
import os
import sys
import unittest

from bluebellshore.load.process import PACKAGE_PARENT
from bluebellshore.platform.settings import SETTINGS_VARIABLE
from tests.entry_system import EntryTestCase

#: Runs the entry program with code inserted at four places: at the import of its
#: router's module, before and after the start of the router, and after its stop.
PROGRAM_TEMPLATE = """
import os, signal, sys
from bluebellshore.entry import __main__ as program

def send(*signals):
    for number in signals:
        os.kill(os.getpid(), number)

def run_at_import(name, path=None, target=None):
    if name == "bluebellshore.entry.router":
        sys.meta_path.remove(finder)
        {at_import}

class finder:
    find_spec = staticmethod(run_at_import)

sys.meta_path.insert(0, finder)
from unittest import mock
from bluebellshore import runtime
start, run_until_signal = runtime.RoleService.start, runtime._run_until_signal

async def start_and_send(service):
    {before_start}
    await start(service)
    {after_start}

async def run_and_send(role, log):
    await run_until_signal(role, log)
    {after_stop}

runtime.RoleService.start, runtime._run_until_signal = start_and_send, run_and_send
sys.exit(program.main())
"""
SEND_SIGTERM = "send(signal.SIGTERM)"


class StopWhileStartingTest(EntryTestCase):
    async def run_program(self, **code_by_place):
        """Run the program with code at the places named.

        :return: the message types of its log, in order.
        """
        default_code = dict.fromkeys(
            ("at_import", "before_start", "after_start", "after_stop"), "pass"
        )
        paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {
            SETTINGS_VARIABLE: str(self.make_instance().path),
            "PYTHONPATH": os.pathsep.join(filter(None, paths)),
        }
        process = await asyncio.create_subprocess_exec(
            *(
                sys.executable,
                "-c",
                PROGRAM_TEMPLATE.format(**(default_code | code_by_place)),
            ),
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        self.assertEqual(0, process.returncode, output.decode())
        return [json.loads(line).get("message_type") for line in output.splitlines()]

    async def test_stop_at_any_point_of_a_start_is_orderly(self):
        for place in ("at_import", "before_start", "after_start"):
            with self.subTest(place):
                messages = await self.run_program(**{place: SEND_SIGTERM})
                self.assertEqual(["started", "stopped"], [messages[0], messages[-1]])

    async def test_signals_after_the_stop_change_nothing(self):
        messages = await self.run_program(
            after_start=SEND_SIGTERM,
            after_stop="send(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)",
        )
        self.assertEqual("stopped", messages[-1])


if __name__ == "__main__":
    unittest.main()
