"""HTTP client of the backend server, which executes requests into answers."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
import msgspec
from yarl import URL

from bluebellshore.decoding import decode_json
from bluebellshore.errors import BackendServerError
from bluebellshore.events import (
    EventStreamParser,
    Usage,
    add_completion_tokens,
    add_event_id,
)
from bluebellshore.sidecar.answers import Answer
from bluebellshore.wire import link_pb2 as pb

__all__ = ["BackendClient", "Execution"]

CONNECT_TIMEOUT_SECONDS = 2.0
PROBE_INTERVAL_SECONDS = 0.2
READ_BYTES = 16 * 1024
EVENT_STREAM_TYPE = "text/event-stream"
OVERLOAD_STATUSES = frozenset({429, 503})
MIN_FAILURE_STATUS = 500
#: Headers of the backend server's response that are forwarded to callers.
FORWARDED_HEADERS = frozenset(
    {"content-type", "content-encoding", "etag", "last-modified", "location"}
)


class _AnswerBody(msgspec.Struct):
    usage: Usage | None = None


@dataclass
class Execution:
    """Result of one execution, filled in while it runs.

    :ivar outcome: ``Outcome`` of the inner protocol.
    :ivar reason: why the execution failed, for the router.
    :ivar ran: whether the backend server may have run the request.
    :ivar crashed: whether the backend server closed the connection early.
    :ivar overloaded: whether the status was one of :data:`OVERLOAD_STATUSES`.
    :ivar tokens: tokens to bill.
    :ivar first_token_seconds: time to the first byte of the body; None before it.
    :ivar overdue_reported: whether the missing first token was reported already.
    :ivar between_token_seconds: mean time between tokens; empty when the answer has
        fewer than two tokens or was slowed down by its readers.
    """

    outcome: int = pb.FAILED
    reason: str = ""
    ran: bool = True
    crashed: bool = False
    overloaded: bool = False
    tokens: int = 0
    first_token_seconds: float | None = None
    overdue_reported: bool = False
    between_token_seconds: tuple[float, ...] = ()

    @property
    def ok(self) -> bool:
        """Whether the backend server did not fail; the caller may have cancelled."""
        return self.outcome in (pb.COMPLETE, pb.CANCELLED)


class BackendClient:
    """Executes requests on one backend server.

    :param base_url: base URL of the backend server.
    :param append: adds bytes to an answer's buffer.
    :param idle_seconds: read timeout of a response whose headers have arrived.
    :ivar reachable: whether the last connection succeeded.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        base_url: str,
        append: Callable[[Answer, bytes], None],
        idle_seconds: float,
    ):
        self._session = session
        self._base_url = base_url.rstrip("/")
        self._append = append
        self._idle_seconds = idle_seconds
        self.reachable = True

    async def execute(self, answer: Answer, execution: Execution) -> None:
        """Execute the request of `answer` once, and fill its buffer and `execution`."""
        try:
            await self._execute(answer, execution)
        except aiohttp.InvalidURL as error:
            execution.ran = False
            execution.reason = f"the request cannot be sent: {error}"
        except ValueError as error:
            execution.reason = f"the request or its answer is malformed: {error}"
        except aiohttp.ClientConnectorError as error:
            self.reachable = False
            execution.ran = False
            execution.reason = f"backend server refused the connection: {error}"
        except (aiohttp.ClientError, ConnectionError) as error:
            self.reachable = False
            execution.crashed = True
            execution.reason = f"backend server closed the connection: {error!r}"
        except TimeoutError:
            execution.outcome = pb.EXPIRED
            execution.reason = "backend server did not answer in time"
        except BackendServerError as error:
            execution.reason = str(error)

    async def probe(self) -> bool:
        """Return whether the backend server answers a request, with any status.

        A successful connection alone doesn't show it: a server that restarts may
        accept connections and then close them.
        """
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                async with self._session.head(self._base_url + "/"):
                    self.reachable = True
        except (aiohttp.ClientError, ConnectionError, TimeoutError):
            self.reachable = False
        return self.reachable

    async def _execute(self, answer: Answer, execution: Execution) -> None:
        started_at = time.monotonic()
        async with self._open_response(answer) as response:
            answer.status = response.status
            answer.headers = [
                pb.Header(name=name, value=value)
                for name, value in response.headers.items()
                if name.lower() in FORWARDED_HEADERS
            ]
            self._check_status(answer, response, execution)
            if response.content_type == EVENT_STREAM_TYPE:
                await self._read_events(answer, response, execution, started_at)
            else:
                await self._read_body(answer, response, execution, started_at)

    @asynccontextmanager
    async def _open_response(
        self, answer: Answer
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        start = answer.start
        headers = {header.name: header.value for header in start.headers}
        headers |= {
            "x-request-key": start.key,
            "x-attempt": start.attempt,
            "x-route": start.route,
            "x-priority": str(start.priority),
        }
        async with asyncio.timeout(start.deadline_seconds) as timeout:
            async with self._session.request(
                start.method,
                URL(self._base_url + start.path, encoded=True),
                data=answer.body or None,
                headers=headers,
                allow_redirects=False,
                read_bufsize=READ_BYTES,
            ) as response:
                timeout.reschedule(None)
                yield response

    @staticmethod
    def _check_status(
        answer: Answer, response: aiohttp.ClientResponse, execution: Execution
    ) -> None:
        if answer.start.price:
            return
        is_stream = response.content_type == EVENT_STREAM_TYPE
        if answer.start.resume and not (response.status == 200 and is_stream):
            raise BackendServerError(
                f"status {response.status}: the answer cannot be resumed",
                step="backend.resume",
                peer=str(response.url.origin()),
            )
        if response.status in OVERLOAD_STATUSES:
            execution.overloaded = True
        if response.status >= MIN_FAILURE_STATUS or execution.overloaded:
            raise BackendServerError(
                f"status {response.status}",
                step="backend.execute",
                peer=str(response.url.origin()),
            )

    async def _read_body(
        self,
        answer: Answer,
        response: aiohttp.ClientResponse,
        execution: Execution,
        started_at: float,
    ) -> None:
        body = bytearray()
        async for data in self._read_chunks(answer, response):
            self._record_first_token(execution, started_at)
            if not answer.start.price:
                body += data
            self._append(answer, data)
        if response.status < 400:
            execution.tokens = answer.start.price or self._usage_tokens(bytes(body))
        execution.outcome = pb.COMPLETE

    async def _read_events(
        self,
        answer: Answer,
        response: aiohttp.ClientResponse,
        execution: Execution,
        started_at: float,
    ) -> None:
        stream = EventStreamParser()
        try:
            async for data in self._read_chunks(answer, response):
                self._record_first_token(execution, started_at)
                for event in stream.feed(data):
                    if not answer.writable.is_set():
                        await answer.writable.wait()
                    self._append_event(answer, event)
        finally:
            if stream.content_event_count > 1 and not answer.paused:
                elapsed = time.monotonic() - started_at - execution.first_token_seconds
                execution.between_token_seconds = (
                    elapsed / (stream.content_event_count - 1),
                )
            execution.tokens = (
                stream.usage.total if stream.usage else stream.content_event_count
            )
            execution.tokens += answer.start.resumed_tokens
        if not stream.done:
            raise BackendServerError(
                "stream ended without its end mark",
                step="backend.execute",
                peer=self._base_url,
            )
        execution.outcome = pb.COMPLETE

    def _append_event(self, answer: Answer, event: bytes) -> None:
        if answer.start.resumed_tokens and b'"usage"' in event:
            event = add_completion_tokens(event, answer.start.resumed_tokens)
        self._append(answer, add_event_id(event, answer.length, answer.lineage))

    @staticmethod
    def _record_first_token(execution: Execution, started_at: float) -> None:
        if execution.first_token_seconds is None:
            execution.first_token_seconds = time.monotonic() - started_at

    async def _read_chunks(
        self, answer: Answer, response: aiohttp.ClientResponse
    ) -> AsyncIterator[bytes]:
        """Yield the body in chunks; read only while the answer's buffer has space."""
        while True:
            await answer.writable.wait()
            async with asyncio.timeout(self._idle_seconds):
                data = await response.content.read(READ_BYTES)
            if not data:
                return
            yield data

    @staticmethod
    def _usage_tokens(body: bytes) -> int:
        try:
            usage = decode_json(body, _AnswerBody).usage
        except msgspec.MsgspecError as error:
            raise BackendServerError(
                f"malformed answer: {error}", step="backend.execute"
            ) from error
        return usage.total if usage else 0
