"""Retries writes with exponential backoff until the platform answers."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

import eliot

from bluebellshore.errors import PlatformError

__all__ = ["back_off", "retry_until_answered"]

BASE_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0

Result = TypeVar("Result")


async def back_off(failures: int, rng: random.Random) -> None:
    """Wait with exponential backoff and jitter.

    :param failures: consecutive failures so far.
    """
    limit = min(MAX_BACKOFF_SECONDS, BASE_BACKOFF_SECONDS * 2 ** min(failures, 10))
    await asyncio.sleep(rng.uniform(limit / 2, limit))


async def retry_until_answered(
    operation: Callable[[], Awaitable[Result]], rng: random.Random
) -> Result:
    """Retry an idempotent operation until the platform answers.

    There is no limit: retries go on for as long as an outage lasts.
    """
    failures = 0
    while True:
        try:
            return await operation()
        except PlatformError as error:
            failures += 1
            eliot.log_message(
                "write_unanswered", step=error.step, peer=error.peer, reason=str(error)
            )
            await back_off(failures, rng)
