"""Tests of the supervisor of real processes."""

import asyncio
import subprocess
import sys
import unittest
from dataclasses import dataclass, field
from unittest import mock

import psutil

from bluebellshore.load.fleet import wait_until
from bluebellshore.load.process import FleetError, ManagedProcess, flags_of

SERVES = """
import json, signal, sys, time
signal.signal(signal.SIGTERM, lambda *_: sys.exit(3))
print(sys.argv[1:])
print(json.dumps({"message_type": "ready", "address": "127.0.0.1:9"}))
sys.stdout.flush()
while True:
    time.sleep(0.01)
"""

SUPERVISES = """
import asyncio
from tests.test_load_process import SERVES, process_of

async def main():
    process = process_of(SERVES)
    await process.start()
    print(process.pid, flush=True)
    await asyncio.sleep(60)

asyncio.run(main())
"""


@dataclass
class SampleSettings:
    instance_id: str
    routes: list[str] = field(default_factory=list)
    delay_seconds: float = 1.0


def process_of(script: str) -> ManagedProcess:
    settings = SampleSettings("a", routes=["x", "y"])
    return ManagedProcess(
        "sample", ("run",), settings, program=(sys.executable, "-c", script)
    )


class ProcessTest(unittest.IsolatedAsyncioTestCase):
    def test_flags_name_fields_and_skip_defaults(self):
        settings = SampleSettings("a", routes=["x", "y"], delay_seconds=2.0)
        self.assertEqual(
            flags_of(settings),
            ["--instance-id=a", "--routes=x", "--routes=y", "--delay-seconds=2.0"],
        )
        self.assertEqual(flags_of(SampleSettings("a")), ["--instance-id=a"])

    async def test_reads_ready_line_and_terminates_gracefully(self):
        process = process_of(SERVES)
        await process.start()
        self.assertEqual(process.address, "127.0.0.1:9")
        process.freeze()
        self.assertTrue(process.running)
        process.wake()
        self.assertEqual(await process.terminate(), 3)
        self.assertIn("--routes=y", process.output_text())

    async def test_signals_leave_the_exit_code_to_whoever_waits(self):
        process = process_of(SERVES)
        await process.start()
        # Popen.send_signal polls first: a process that has just ended is collected
        # by it, and asyncio then reports 255 in place of the exit code.
        with mock.patch.object(subprocess.Popen, "poll", side_effect=AssertionError):
            process.freeze()
            process.wake()
        self.assertEqual(await process.terminate(), 3)
        process.wake()

    async def test_kills(self):
        process = process_of(SERVES)
        await process.start()
        process.freeze()
        await process.kill()
        self.assertEqual(process.exit_code, -9)

    async def test_ends_when_its_supervisor_is_killed(self):
        supervisor = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SUPERVISES, stdout=asyncio.subprocess.PIPE
        )
        pid = int(await supervisor.stdout.readline())
        supervisor.kill()
        await supervisor.wait()
        await wait_until(lambda: not psutil.pid_exists(pid), "the end of the child")

    async def test_failed_start_shows_output(self):
        process = process_of("print('no port'); raise SystemExit(2)")
        with self.assertRaisesRegex(FleetError, "exit code 2(.|\n)*no port"):
            await process.start()
