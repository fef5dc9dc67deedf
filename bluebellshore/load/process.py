"""A real process of the system, started and watched for tests and load runs."""

import asyncio
import collections
import contextlib
import ctypes
import dataclasses
import json
import os
import pathlib
import signal
import sys
from collections.abc import Sequence
from enum import Enum

from bluebellshore.errors import BluebellshoreError

__all__ = ["FleetError", "ManagedProcess", "flags_of"]

READY_SECONDS = 60.0
OUTPUT_LINES = 200
#: Option of prctl(2) in linux/prctl.h.
PR_SET_PDEATHSIG = 1
#: Types of the line that carries the address on which a process serves.
READY_TYPES = ("ready", "started")
STREAM_LIMIT_BYTES = 4 * 1024 * 1024
PROGRAM = (sys.executable, "-m", "bluebellshore")
PACKAGE_PARENT = pathlib.Path(__file__).resolve().parent.parent.parent


class FleetError(BluebellshoreError):
    """A process of a fleet under test did not do what was asked of it."""


def flags_of(settings: object) -> list[str]:
    """Return the command-line flags for a settings dataclass.

    Fields that hold their default are left out; a list gives one flag an item.
    """
    flags = []
    for item in dataclasses.fields(settings):
        value = getattr(settings, item.name)
        if value == _default_of(item):
            continue
        name = "--" + item.name.replace("_", "-")
        if isinstance(value, bool):
            flags.append(name)
            continue
        for entry in value if isinstance(value, list) else [value]:
            text = entry.value if isinstance(entry, Enum) else entry
            flags.append(f"{name}={text}")
    return flags


def _default_of(item: dataclasses.Field) -> object:
    if item.default_factory is not dataclasses.MISSING:
        return item.default_factory()
    return item.default


_libc = ctypes.CDLL(None)


def _end_with_parent() -> None:
    """Have the kernel end this process when its parent dies, however it dies."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ManagedProcess:
    """A child process that runs one command of the command line.

    :param name: name of the process in errors.
    :param command: words of the command, e.g. ``("router",)``.
    :param settings: settings dataclass of the command.
    :param program: words that run the command line.
    """

    def __init__(
        self,
        name: str,
        command: Sequence[str],
        settings: object,
        *,
        program: Sequence[str] = PROGRAM,
    ):
        self.name = name
        self.program = tuple(program)
        self.command = tuple(command)
        self.settings = settings
        self.address = ""
        self.operator_address = ""
        self.output: collections.deque[str] = collections.deque(maxlen=OUTPUT_LINES)
        self._process: asyncio.subprocess.Process | None = None
        self._descriptor: int | None = None
        self._reader: asyncio.Task | None = None
        self._ready = asyncio.Event()

    @property
    def pid(self) -> int:
        """Process id."""
        return self._started().pid

    @property
    def running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Exit code; None while the process runs."""
        return self._started().returncode

    async def start(self) -> None:
        """Start the process and wait until it serves.

        :raises FleetError: it ended, or served nothing in time.
        """
        environment = os.environ | {"PYTHONUNBUFFERED": "1"}
        if self.program == PROGRAM:
            paths = [str(PACKAGE_PARENT), os.environ.get("PYTHONPATH", "")]
            environment["PYTHONPATH"] = os.pathsep.join(filter(None, paths))
        self._process = await asyncio.create_subprocess_exec(
            *self.program,
            *self.command,
            *flags_of(self.settings),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            env=environment,
            limit=STREAM_LIMIT_BYTES,
            preexec_fn=_end_with_parent,
        )
        self._reader = asyncio.create_task(self._read_output(self._process.stdout))
        with contextlib.suppress(ProcessLookupError):  # it has ended already
            self._descriptor = os.pidfd_open(self._process.pid)
        await self._wait_ready()

    async def terminate(self) -> int:
        """Ask for a graceful stop and wait for the end, however long it takes.

        :return: exit code.
        """
        self._send(signal.SIGTERM)
        return await self.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self._send(signal.SIGKILL)
        await self.wait()

    def freeze(self) -> None:
        """Pause the process; its connections stay open and silent."""
        self._send(signal.SIGSTOP)

    def wake(self) -> None:
        """Let a frozen process go on."""
        self._send(signal.SIGCONT)

    def reload(self) -> None:
        """Have the process read its settings again."""
        self._send(signal.SIGHUP)

    async def wait(self) -> int:
        """Wait for the end of the process. :return: exit code."""
        code = await self._started().wait()
        if self._reader is not None:
            await self._reader
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None
        return code

    def output_text(self) -> str:
        """Return the last lines of output."""
        return "\n".join(self.output)

    def _started(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise FleetError("not started", step="fleet.process", peer=self.name)
        return self._process

    def _send(self, number: signal.Signals) -> None:
        if self._descriptor is None:
            return
        # Popen.send_signal would collect a process that has just ended, and asyncio
        # would not learn its exit code; a process id might be another's by now.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._descriptor, number)

    async def _wait_ready(self) -> None:
        waiter = asyncio.create_task(self._ready.wait())
        tasks = {waiter, self._reader}
        await asyncio.wait(
            tasks, timeout=READY_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        waiter.cancel()
        if self._ready.is_set():
            return
        if not self._reader.done():
            await self.kill()
        code = await self.wait()
        raise FleetError(
            f"not ready (exit code {code}); output:\n{self.output_text()}",
            step="fleet.start",
            peer=self.name,
        )

    async def _read_output(self, stream: asyncio.StreamReader) -> None:
        while line := await stream.readline():
            text = line.decode(errors="replace").rstrip()
            self.output.append(text)
            if not self._ready.is_set():
                self._note_ready(text)

    def _note_ready(self, text: str) -> None:
        try:
            entry = json.loads(text)
        except ValueError:
            return
        if isinstance(entry, dict) and entry.get("message_type") in READY_TYPES:
            self.address = entry["address"]
            self.operator_address = entry.get("operator_address", "")
            self._ready.set()
