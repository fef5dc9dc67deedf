"""Processor time and memory of processes."""

import asyncio

import msgspec
import psutil

from bluebellshore.load.process import ManagedProcess

__all__ = ["Cost", "cost_over", "cpu_seconds", "resident_bytes"]


class Cost(msgspec.Struct, frozen=True):
    """What a process took over a time.

    :param cpu_share: share of one core.
    :param resident_bytes: resident memory at the end.
    """

    cpu_share: float
    resident_bytes: int


def cpu_seconds(process: ManagedProcess) -> float:
    """Return the processor time that a process has used, in seconds."""
    times = psutil.Process(process.pid).cpu_times()
    return times.user + times.system


def resident_bytes(process: ManagedProcess) -> int:
    """Return the resident memory of a process."""
    return psutil.Process(process.pid).memory_info().rss


async def cost_over(process: ManagedProcess, seconds: float) -> Cost:
    """Watch a process for a time."""
    before = cpu_seconds(process)
    await asyncio.sleep(seconds)
    used = cpu_seconds(process) - before
    return Cost(used / seconds, resident_bytes(process))
