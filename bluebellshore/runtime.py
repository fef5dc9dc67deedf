"""Run a serving process on one event loop until a signal asks it to stop."""

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Protocol

import aiomisc
import eliot
import uvloop

from bluebellshore import STARTED_AT
from bluebellshore.decisions import DecisionLog

__all__ = ["Role", "run_role", "wait_for_signal"]

#: Signals that ask a process to stop.
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Role(Protocol):
    """What a process serves as: a router, a sidecar or a stand-in.

    :ivar address: ``host:port`` on which it serves, valid after :meth:`start`.
    :ivar stop_requested_at: monotonic seconds of the request to stop, set before
        :meth:`stop` where that request came during the start.
    """

    address: str
    stop_requested_at: float | None = None

    async def start(self) -> None:
        """Start serving."""

    async def stop(self) -> None:
        """Stop gracefully: let requests in flight finish."""


class RoleService(aiomisc.Service):
    """An adapter that lets aiomisc start a :class:`Role`.

    :ivar log: the open decision log of the process; without one, messages go to
        eliot.
    """

    role: Role
    log: DecisionLog | None = None

    async def start(self) -> None:
        """Start the role and log its addresses."""
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
        """Do nothing: :func:`run_role` stops the role first, without a time limit."""


async def wait_for_signal(reload: Callable[[], None] | None = None) -> bool:
    """Wait until SIGTERM or SIGINT asks this process to stop.

    Unblocks these two signals, so one that was sent while :func:`run_role` blocked
    them ends the wait at once.

    :param reload: function to call at each SIGHUP.
    :return: whether the signal came before this call, at an unknown time.
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    if reload is not None:
        loop.add_signal_handler(signal.SIGHUP, reload)
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stopped.set)
    came_before = not signal.sigpending().isdisjoint(STOP_SIGNALS)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
    await stopped.wait()
    return came_before


def _ignore_signals() -> None:
    """Ignore further signals of the kinds handled here.

    Closing the event loop removes its handlers; a signal after that would kill the
    process before its orderly exit. Removing a handler restores the default, so the
    signals are blocked until they are ignored.
    """
    numbers = (signal.SIGHUP, *STOP_SIGNALS)
    signal.pthread_sigmask(signal.SIG_BLOCK, numbers)
    for number in numbers:
        asyncio.get_running_loop().remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, numbers)


async def _run_until_signal(role: Role, log: DecisionLog | None) -> None:
    """Wait for a signal to stop, stop `role` gracefully and log each step."""
    if await wait_for_signal(getattr(role, "reload", None)):
        role.stop_requested_at = STARTED_AT
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

    Writes JSON lines to standard output. The line with ``message_type`` ``ready``
    (``started`` in a decision log) has the fields ``address`` and
    ``operator_address``.

    :param log: an open decision log, which writes to standard output itself; without
        one, eliot writes the lines.
    """
    if log is None:
        eliot.to_file(sys.stdout)
    uvloop.install()
    service = RoleService(role=role, log=log)
    # A stop signal during the start stays pending until the role can stop gracefully.
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    with aiomisc.entrypoint(service, log_config=False, catch_signals=()) as loop:
        loop.run_until_complete(_run_until_signal(role, log))
