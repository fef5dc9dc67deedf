"""Faults of a run, as a timeline."""

import asyncio
import time
from collections.abc import Sequence
from enum import Enum

import msgspec

from bluebellshore.load.fleet import Fleet

__all__ = ["Fault", "FaultKind", "FaultRecord", "run_faults"]


class FaultKind(Enum):
    """What happens to a process."""

    KILL = "kill"
    FREEZE = "freeze"
    WAKE = "wake"
    REPLACE = "replace"
    CRASH_AND_REPLACE = "crash-and-replace"
    CONTROL = "control"


class Fault(msgspec.Struct, frozen=True):
    """One step of the timeline.

    :param at: seconds from the start of the run.
    :param target: name of the process.
    :param path: for CONTROL, path below ``/control/`` of the stand-in or proxy.
    :param body: for CONTROL, JSON body of the request.
    """

    at: float
    kind: FaultKind
    target: str
    path: str = "faults"
    body: dict[str, object] = {}


class FaultRecord(msgspec.Struct, frozen=True):
    """When a step was taken.

    :param began: monotonic time in seconds.
    :param ended: monotonic time in seconds; a graceful stop may take long.
    """

    fault: Fault
    began: float
    ended: float


async def run_faults(fleet: Fleet, faults: Sequence[Fault]) -> list[FaultRecord]:
    """Take all steps of a timeline at their times."""
    start = time.monotonic()

    async def take(fault: Fault) -> FaultRecord:
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        began = time.monotonic()
        await _apply(fleet, fault)
        return FaultRecord(fault, began, time.monotonic())

    return list(await asyncio.gather(*(take(fault) for fault in faults)))


async def _apply(fleet: Fleet, fault: Fault) -> None:
    process = fleet.by_name[fault.target]
    match fault.kind:
        case FaultKind.KILL:
            await process.kill()
        case FaultKind.FREEZE:
            process.freeze()
        case FaultKind.WAKE:
            process.wake()
        case FaultKind.REPLACE:
            await fleet.replace(fault.target)
        case FaultKind.CRASH_AND_REPLACE:
            await fleet.replace(fault.target, graceful=False)
        case FaultKind.CONTROL:
            await fleet.control(process, fault.path, fault.body)
