"""Background loops of an entry router."""

import asyncio
from collections.abc import Awaitable, Callable

import eliot

from bluebellshore.cancellation import is_cancelling
from bluebellshore.decisions import DecisionLog

__all__ = ["keep_running"]

#: Pause before a loop that failed runs again.
RESTART_SECONDS = 0.3


async def keep_running(
    name: str, loop: Callable[[], Awaitable[None]], log: DecisionLog
) -> None:
    """Run a loop again whenever it fails, until it ends or is cancelled.

    A router whose loop had ended would go on serving with what it knew then. A loop
    also fails if something that it awaits is cancelled, and not the loop itself.

    :param name: name of the loop for the log, from a fixed set.
    """
    while True:
        try:
            await loop()
            return
        except Exception as error:
            eliot.write_traceback()
            log.notice("loop", f"{type(error).__name__}: {error}", loop=name)
        except asyncio.CancelledError:
            if is_cancelling():
                raise
            eliot.write_traceback()
            log.notice("loop", "what it awaited was cancelled", loop=name)
        await asyncio.sleep(RESTART_SECONDS)
