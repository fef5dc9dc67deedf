"""Clients that operator commands share."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp

from bluebellshore.errors import BluebellshoreError, RefusedError
from bluebellshore.platform.store import (
    BACKGROUND_CALL_TIMEOUT_SECONDS,
    PlatformStore,
    open_store,
)

__all__ = ["open_platform", "request"]

OPERATOR_TIMEOUT_SECONDS = 10.0
REASON_CHARACTERS = 200


@asynccontextmanager
async def open_platform(platform_url: str) -> AsyncIterator[PlatformStore]:
    """Give a client of the platform's store."""
    async with open_store(
        platform_url, call_seconds=BACKGROUND_CALL_TIMEOUT_SECONDS
    ) as store:
        yield store


async def request(
    method: str, url: str, token: str, step: str, body: bytes | None = None
) -> bytes:
    """Make a request to an operator port.

    :raises BluebellshoreError: no answer, or a status that is no success.
    """
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    timeout = aiohttp.ClientTimeout(total=OPERATOR_TIMEOUT_SECONDS)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(method, url, headers=headers, data=body) as response,
        ):
            answer = await response.read()
            status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as error:
        reason = str(error) or type(error).__name__
        raise BluebellshoreError(reason, step=step, peer=url) from None
    if 200 <= status < 300:
        return answer
    text = answer.decode(errors="replace")[:REASON_CHARACTERS].strip()
    message = f"status {status}: {text}"
    if 400 <= status < 500:
        raise RefusedError(message, step=step, peer=url, status=status)
    raise BluebellshoreError(message, step=step, peer=url)
