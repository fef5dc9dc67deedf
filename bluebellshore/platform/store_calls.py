"""HTTP calls to the platform's store, with the errors that their answers mean."""

import asyncio
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from http import HTTPStatus
from typing import NamedTuple, TypeVar

import aiohttp
import msgspec
from yarl import URL

from bluebellshore.cancellation import is_cancelling
from bluebellshore.decoding import decode_json
from bluebellshore.errors import PlatformError, PlatformUnavailableError
from bluebellshore.store.interface import StoreTime
from bluebellshore.traffic import TrafficCounter

__all__ = ["Reply", "StoreCalls"]

#: Longest part of an answer's text that an error quotes.
MAX_REASON_CHARACTERS = 200

#: Longest pause between two parts of an answer that has begun, and the longest time
#: that its parts may take in all. A large one takes a while on a slow link.
BODY_PAUSE_SECONDS = 0.8
MAX_BODY_SECONDS = 15.0

#: How often the store has come back from an older copy of itself.
ERA_HEADER = "Store-Era"

T = TypeVar("T")


class Reply(NamedTuple):
    """Answer to one call.

    :param asked_seconds: monotonic time at which the call was sent.
    :param era: how often the store had come back from an older copy; 0 if not stated.
    """

    status: int
    body: bytes
    asked_seconds: float = 0.0
    era: int = 0


class StoreCalls:
    """HTTP client of one store.

    :param address: ``host:port`` of the store, or its base URL.
    :param call_seconds: default timeout of a call.
    :param local_host: local address to connect from; empty for any.
    :ivar call_count: number of calls made.
    :ivar traffic: bytes of the bodies of calls and answers.
    :ivar on_call: called after each call with its name, its result (the HTTP status,
        ``unanswered``, or ``cancelled`` for a call that this process ended) and the
        seconds that it took.
    :ivar era: newest era in an answer, which grows each time that the store comes back
        from an older copy; None before the first answer.
    :ivar on_restored: called with the era before and the new one.
    """

    def __init__(self, address: str, call_seconds: float, local_host: str = ""):
        self.on_call: Callable[[str, str, float], None] = lambda *arguments: None
        self.on_restored: Callable[[int, int], None] = lambda *arguments: None
        self.era: int | None = None
        self.address = address
        self.call_count = 0
        self.traffic = TrafficCounter()
        #: The store's clock in its latest answer; None before the first one.
        self.time: StoreTime | None = None
        self._base_url = address if "://" in address else f"http://{address}"
        self._call_seconds = call_seconds
        self._local_host = local_host
        self._session: aiohttp.ClientSession | None = None
        self._calls_by_session: Counter[aiohttp.ClientSession] = Counter()

    async def open(self) -> None:
        """Create the HTTP session, which calls need."""
        self._session = self._new_session()

    async def close(self) -> None:
        """Close all connections."""
        session, self._session = self._session, None
        if session is not None:
            await session.close()

    def _new_session(self) -> aiohttp.ClientSession:
        local = (self._local_host, 0) if self._local_host else None
        session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, local_addr=local),
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        # aiohttp retries a PUT if the connection was lost before the answer. The retry
        # would report that the object exists, so its creator would take it for
        # another process's object.
        session._retry_connection = False
        return session

    @asynccontextmanager
    async def _use_session(self) -> AsyncIterator[aiohttp.ClientSession]:
        """Yield the session for one call.

        After a timeout the next calls use a new one, since all idle connections may be
        as silent as this call's. Calls in progress keep their connections.
        """
        session = self._session
        self._calls_by_session[session] += 1
        try:
            yield session
        except asyncio.CancelledError:
            # By the timeout of the call, or as its result is not wanted any more.
            if session is self._session:
                self._session = self._new_session()
            raise
        finally:
            self._calls_by_session[session] -= 1
            if not self._calls_by_session[session]:
                del self._calls_by_session[session]
                if session is not self._session:
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
        timeout_seconds: float | None = None,
    ) -> Reply:
        """Make one call, without retries or redirects.

        :param step: name of the call for errors and metrics, ``store.`` first.
        :param timeout_seconds: timeout of the call; None for the default. An answer
            that has begun by then may take longer while its parts go on arriving.
        :raises PlatformUnavailableError: no complete answer arrived in time.
        """
        if self._session is None:
            raise self.unavailable("the client is not open", step)
        url = URL(self._base_url.rstrip("/") + path, encoded=True)
        if query:
            url = url.with_query(query)
        self.call_count += 1
        self.traffic.sent_bytes += len(body or b"")
        sent_at, result = time.monotonic(), "unanswered"
        try:
            async with (
                asyncio.timeout(timeout_seconds or self._call_seconds) as limit,
                self._use_session() as session,
                session.request(
                    method, url, data=body, headers=headers, allow_redirects=False
                ) as response,
            ):
                era = _parse_era(response.headers.get(ERA_HEADER, ""))
                body = await _read_body(response, limit)
                self.traffic.received_bytes += len(body)
                reply = Reply(response.status, body, sent_at, era)
                result = str(reply.status)
                self._note_era(era)
                return reply
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise self.unavailable(reason, step) from error
        except asyncio.CancelledError as error:
            result = "cancelled"
            if is_cancelling():
                raise
            # aiohttp cancels the look-up of a host name when its session is closed.
            raise self.unavailable("the session was closed", step) from error
        finally:
            taken_seconds = time.monotonic() - sent_at
            self.on_call(step.removeprefix("store."), result, taken_seconds)

    def _note_era(self, era: int) -> None:
        before = self.era
        if before is None or era > before:
            self.era = era
            if before is not None:
                self.on_restored(before, era)

    def check(self, reply: Reply, step: str) -> None:
        """Raise an error unless the status is 2xx.

        :raises PlatformUnavailableError: the store is overloaded or failed (429, 5xx);
            a retry may succeed.
        :raises PlatformError: the store refused the call, or has no space (507).
        """
        if 200 <= reply.status < 300:
            return
        text = reply.body.decode(errors="replace")[:MAX_REASON_CHARACTERS]
        reason = f"status {reply.status}: {text}"
        lasting = reply.status == HTTPStatus.INSUFFICIENT_STORAGE
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS or (
            reply.status >= 500 and not lasting
        ):
            raise self.unavailable(reason, step)
        raise PlatformError(reason, step=step, peer=self.address)

    def decode(self, reply: Reply, message_type: type[T], step: str) -> T:
        """Decode the body of a successful answer, and note the store's time.

        :raises PlatformError: the status is not 2xx, or the body is malformed.
        """
        self.check(reply, step)
        answer = self.decode_body(reply, message_type, step)
        store_time_ms = getattr(answer, "current_time_ms", None)
        if store_time_ms is not None:
            now = time.monotonic()
            self.time = StoreTime(store_time_ms / 1000, now, reply.asked_seconds)
        return answer

    def decode_body(self, reply: Reply, message_type: type[T], step: str) -> T:
        """Decode the body of an answer of any status.

        :raises PlatformError: the body is malformed.
        """
        try:
            return decode_json(reply.body, message_type)
        except (msgspec.DecodeError, ValueError) as error:
            raise self.malformed(str(error), step) from error

    def malformed(self, reason: str, step: str) -> PlatformError:
        """Return the error for an answer that can't be understood."""
        message = f"malformed answer: {reason}"
        return PlatformError(message, step=step, peer=self.address)

    def unavailable(self, reason: str, step: str) -> PlatformUnavailableError:
        """Return the error for a call that got no answer or may succeed later."""
        return PlatformUnavailableError(reason, step=step, peer=self.address)


async def _read_body(response: aiohttp.ClientResponse, limit: asyncio.Timeout) -> bytes:
    """Read the body of an answer, and move its time limit as parts arrive."""
    loop = asyncio.get_running_loop()
    last_at = loop.time() + MAX_BODY_SECONDS
    body = bytearray()
    async for part in response.content.iter_any():
        body += part
        due_at = min(last_at, loop.time() + BODY_PAUSE_SECONDS)
        limit.reschedule(max(limit.when(), due_at))
    return bytes(body)


def _parse_era(value: str) -> int:
    return int(value) if value.isascii() and value.isdigit() else 0
