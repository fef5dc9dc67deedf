"""Tells the cancellation of a task from that of something it awaits."""

import asyncio

__all__ = ["is_cancelling"]


def is_cancelling() -> bool:
    """Return whether the current task was asked to end, and not only what it awaits.

    ``asyncio.CancelledError`` is raised in both cases. A timeout of the current task
    that has expired also asks it to end.
    """
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
