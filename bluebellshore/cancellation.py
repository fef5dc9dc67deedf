"""Cancels tasks, and tells that from the cancellation of something they await."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from bluebellshore.errors import LinkError

__all__ = ["cancel", "is_cancelling", "run_together"]


def is_cancelling() -> bool:
    """Return whether the current task was asked to end, and not only what it awaits.

    ``asyncio.CancelledError`` is raised in both cases. A timeout of the current task
    that has expired also asks it to end.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


async def run_together(*loops: Callable[[], Awaitable[None]]) -> None:
    """Run loops until all have ended, or one fails and the others are cancelled.

    A task group alone goes on without a task that ends by the cancellation of what it
    awaits. It also cancels the task that waits for it, for good, when one fails; so it
    has a task of its own.

    :raises ExceptionGroup: a loop failed, or ended by such a cancellation.
    """
    await asyncio.create_task(_run_group(loops))


async def _run_group(loops: Sequence[Callable[[], Awaitable[None]]]) -> None:
    async with asyncio.TaskGroup() as group:
        for loop in loops:
            group.create_task(_fail_when_cancelled_inside(loop))


async def _fail_when_cancelled_inside(loop: Callable[[], Awaitable[None]]) -> None:
    try:
        await loop()
    except asyncio.CancelledError as error:
        if is_cancelling():
            raise
        raise LinkError("what the loop awaited was cancelled", step="loop") from error


async def cancel(*tasks: asyncio.Task) -> None:
    """Cancel tasks and wait until they have ended.

    :raises Exception: a task had failed; the error of the first one.
    """
    for task in tasks:
        task.cancel()
    for result in await asyncio.gather(*tasks, return_exceptions=True):
        if isinstance(result, Exception):
            raise result
