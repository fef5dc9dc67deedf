"""Repeats a write until the platform has answered it."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import eliot

from bluebellshore.errors import PlatformError

__all__ = ["back_off", "retry_until_answered"]

BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0

Result = TypeVar("Result")


async def back_off(failures: int, rng: random.Random) -> None:
    """Wait with jitter, longer after each failure in a row."""
    limit = min(MAX_BACKOFF_SECONDS, BACKOFF_SECONDS * 2 ** min(failures, 10))
    await asyncio.sleep(rng.uniform(limit / 2, limit))


async def retry_until_answered(
    step: Callable[[], Awaitable[Result]], rng: random.Random
) -> Result:
    """Repeat an idempotent `step` through an outage, however long it lasts."""
    failures = 0
    while True:
        try:
            return await step()
        except PlatformError as error:
            failures += 1
            eliot.log_message(
                "write_unanswered", step=error.step, peer=error.peer, reason=str(error)
            )
            await back_off(failures, rng)
