"""Runs a serving role on one loop until a signal stops it."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import aiomisc
import eliot
import uvloop

from bluebellshore.decisions import DecisionLog

__all__ = ["Role", "run_role", "wait_for_signal"]

#: Signals that ask a process to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Role(Protocol):
    """A serving process: a router, a sidecar or a stand-in.

    After :meth:`start`, ``address`` is the ``host:port`` it serves on.
    """

    address: str

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """Stop gracefully: cut nothing that is in flight."""


class RoleService(aiomisc.Service):
    """Adapts a :class:`Role` to aiomisc."""

    role: Role
    log: DecisionLog | None = None

    async def start(self) -> None:
        """Start the role and log where it serves."""
        await self.role.start()
        name = type(self.role).__name__
        operator = getattr(self.role, "operator_address", "")
        addresses = {"address": self.role.address, "operator_address": operator}
        if self.log is not None:
            self.log.started(name, **addresses)
            return
        eliot.log_message("ready", role=name, **addresses)
        sys.stdout.flush()

    async def stop(self, exception: Exception | None = None) -> None:
        """Leave stopping to :func:`run_role`, which sets no time limit."""


async def wait_for_signal(reload: Callable[[], None] | None = None) -> None:
    """Wait until SIGTERM or SIGINT asks this process to stop.

    A signal that was blocked until now and came meanwhile counts.

    :param reload: called at each SIGHUP.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    await stopped.wait()


def _ignore_signals() -> None:
    """Ignore signals from now on; the closing loop would let them end the process."""
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


async def _serve(role: Role, log: DecisionLog | None) -> None:
    await wait_for_signal(getattr(role, "reload", None))
    name = type(role).__name__
    if log is None:
        eliot.log_message("stopping", role=name)
        await role.stop()
        _ignore_signals()
        eliot.log_message("stopped", role=name)
        return
    log.stopping("signal", role=name)
    await role.stop()
    _ignore_signals()
    log.stopped(role=name)


def run_role(role: Role, log: DecisionLog | None = None) -> None:
    """Run `role` until SIGTERM or SIGINT, then stop it gracefully.

    Writes eliot JSON lines to standard output; the line with ``message_type``
    ``ready``, in a decision log ``started``, carries ``address`` and
    ``operator_address``.

    :param log: an open decision log, which writes to standard output itself.
    """
    if log is None:
        eliot.to_file(sys.stdout)
    uvloop.install()
    service = RoleService(role=role, log=log)
    # A stop that comes while the role starts waits until it can be graceful.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_serve(role, log))
