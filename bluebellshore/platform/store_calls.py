"""Calls over HTTP to the platform's store and what their answers mean."""

import asyncio
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple, TypeVar

import aiohttp
import msgspec
from yarl import URL

from bluebellshore.errors import PlatformError, PlatformUnavailableError
from bluebellshore.store.interface import StoreTime

__all__ = ["Reply", "StoreCalls"]

REASON_CHARACTERS = 200

T = TypeVar("T")


class Reply(NamedTuple):
    """Answer to one call.

    :param asked_seconds: monotonic time of the call.
    """

    status: int
    body: bytes
    asked_seconds: float = 0.0


class StoreCalls:
    """Makes calls to one store; ``count`` tells how many.

    :param address: ``host:port`` of the store, or its base URL.
    :param call_seconds: time allowed for one call.
    :param local_host: address from which calls are made; empty for any.
    :ivar on_call: told of each call: what it was, its result and its seconds.
    """

    def __init__(self, address: str, call_seconds: float, local_host: str = ""):
        self.on_call: Callable[[str, str, float], None] = lambda *told: None
        self.address = address
        self.count = 0
        #: What the store's clock showed in its newest answer; None before one.
        self.time: StoreTime | None = None
        self._base_url = address if "://" in address else f"http://{address}"
        self._call_seconds = call_seconds
        self._local_host = local_host
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Prepare for calls."""
        local = (self._local_host, 0) if self._local_host else None
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, local_addr=local),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        # aiohttp repeats a PUT whose answer was lost. The creator of an object would
        # then see it as another's.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    async def call(
        self,
        method: str,
        path: str,
        step: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        seconds: float | None = None,
    ) -> Reply:
        """Make one call.

        :param seconds: time allowed; None for that of usual calls.
        :raises PlatformUnavailableError: no whole answer came in time.
        """
        if self._session is None:
            raise self.unavailable("the client is not open", step)
        url = URL(self._base_url.rstrip("/") + path, encoded=True)
        if query:
            url = url.with_query(query)
        self.count += 1
        asked_at, result = time.monotonic(), "unanswered"
        try:
            async with (
                asyncio.timeout(seconds or self._call_seconds),
                self._session.request(
                    method, url, data=body, headers=headers, allow_redirects=False
                ) as response,
            ):
                reply = Reply(response.status, await response.read(), asked_at)
                result = str(reply.status)
                return reply
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise self.unavailable(reason, step) from error
        finally:
            taken_seconds = time.monotonic() - asked_at
            self.on_call(step.removeprefix("store."), result, taken_seconds)

    def check(self, reply: Reply, step: str) -> None:
        """Raise unless the status is a success.

        :raises PlatformUnavailableError: a later try may succeed.
        :raises PlatformError: refused.
        """
        if 200 <= reply.status < 300:
            return
        text = reply.body.decode(errors="replace")[:REASON_CHARACTERS]
        reason = f"status {reply.status}: {text}"
        lasting = reply.status == HTTPStatus.INSUFFICIENT_STORAGE
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS or (
            reply.status >= 500 and not lasting
        ):
            raise self.unavailable(reason, step)
        raise PlatformError(reason, step=step, peer=self.address)

    def decode(self, reply: Reply, message_type: type[T], step: str) -> T:
        """Return the message of an answer that is a success.

        :raises PlatformError: no success, or malformed.
        """
        self.check(reply, step)
        answer = self.decode_body(reply, message_type, step)
        shown = getattr(answer, "current_time_ms", None)
        if shown is not None:
            now = time.monotonic()
            self.time = StoreTime(shown / 1000, now, reply.asked_seconds)
        return answer

    def decode_body(self, reply: Reply, message_type: type[T], step: str) -> T:
        """Return the message of an answer of any status.

        :raises PlatformError: malformed.
        """
        try:
            return msgspec.json.decode(reply.body, type=message_type)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise self.malformed(str(error), step) from error

    def malformed(self, reason: str, step: str) -> PlatformError:
        """Return the error of an answer that makes no sense."""
        message = f"malformed answer: {reason}"
        return PlatformError(message, step=step, peer=self.address)

    def unavailable(self, reason: str, step: str) -> PlatformUnavailableError:
        """Return the error of a call without an answer."""
        return PlatformUnavailableError(reason, step=step, peer=self.address)
