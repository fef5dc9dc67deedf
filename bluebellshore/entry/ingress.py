"""HTTP server for callers: reads requests, has them served and writes the answers."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from http import HTTPStatus

import eliot
from aiohttp import web

from bluebellshore.cancellation import is_cancelling
from bluebellshore.entry.caller_memory import CallerLimits, CallerMemory
from bluebellshore.entry.caller_server import CallerServer
from bluebellshore.entry.descriptors import DescriptorShares
from bluebellshore.entry.http_sink import HttpSink
from bluebellshore.entry.intake import build_call
from bluebellshore.entry.platform_state import PlatformState
from bluebellshore.entry.relay import Sink
from bluebellshore.entry.request_bodies import (
    check_length,
    drain,
    full_error,
    length_left,
    read_body,
)
from bluebellshore.entry.request_log import (
    CANCELLED_REASON,
    STOP_REASON,
    RequestLog,
    RequestTrace,
)
from bluebellshore.entry.stop_schedule import StopSchedule
from bluebellshore.errors import OverloadError, RefusedError, RequestError, RunState
from bluebellshore.fleet import Call, IngressLimits
from bluebellshore.operator_port import bound_socket
from bluebellshore.platform.requests import RequestHead, attempt_id_of

__all__ = ["Ingress"]

#: Idle timeout of callers' connections. It is above any that operators set for callers,
#: so that a caller never sends on a connection that is being closed.
IDLE_TIMEOUT_SECONDS = 120.0
#: Connections that the kernel queues until they are accepted.
BACKLOG_CONNECTIONS = 1024
#: Size of the kernel's receive buffer of a connection, which counts as memory.
RECEIVE_BUFFER_BYTES = 64 * 1024
#: Limit of one line of a request head; the configuration limits the whole head.
MAX_LINE_BYTES = 64 * 1024
#: Number of header fields of a request; the configuration limits their size.
MAX_FIELDS = 8192
#: Deadline of requests that state none.
DEFAULT_DEADLINE_SECONDS = 60.0
STOP_STEP = "ingress.stop"
CANCELLED_STEP = "ingress.cancelled"
#: Retry-After of a request that ended as something it awaited was cancelled: that is
#: over at once, but may happen to many requests together.
CANCELLED_RETRY_SECONDS = 0.1


class Ingress:
    """Serves callers on one port.

    :param serve: writes the answer of a call to the sink and updates the trace.
    :param memory_bytes: memory that the process may use; 0 when unknown.
    :param file_descriptors: files that the process may open; 0 when unknown.
    :param others_serve: returns whether another router is known to serve.
    :param request_log: logs and counts how each request ended.
    :ivar active: requests being handled.
    :ivar refuse_for_link: returns the error with which the instance's link has to
        refuse a request with a body of so many bytes; None to serve it.
    :ivar stop_schedule: set when the router begins to stop; each connection is closed
        after its present request from then on.
    """

    def __init__(
        self,
        platform_state: PlatformState,
        serve: Callable[[Call, Sink, RequestTrace], Awaitable[None]],
        *,
        memory_bytes: int,
        file_descriptors: int = 0,
        others_serve: Callable[[], bool] = lambda: True,
        request_log: RequestLog | None = None,
    ):
        self._others_serve = others_serve
        self._request_log = request_log or RequestLog()
        self._platform_state = platform_state
        self._serve = serve
        self._limits = CallerLimits.of_process(
            memory_bytes, DescriptorShares.of_process(file_descriptors).callers
        )
        self._server: CallerServer | None = None
        self._listener: asyncio.Server | None = None
        self.stop_schedule: StopSchedule | None = None
        #: Whether connections are being closed.
        self._closing = False
        #: Whether the stop has ended all requests; later ones are refused.
        self._requests_ended = False
        #: Requests being handled, by time limits that are set when the router stops.
        self._traces_by_limit: dict[asyncio.Timeout, RequestTrace] = {}
        self.active = 0
        self.refuse_for_link: Callable[[int | None], OverloadError | None]
        self.refuse_for_link = lambda body_bytes: None

    @property
    def server(self) -> CallerServer | None:
        """Holder of the callers' connections; None before the start."""
        return self._server

    @property
    def draining(self) -> bool:
        """Whether each connection is closed after its present request."""
        return self.stop_schedule is not None

    @property
    def unsent_bytes(self) -> int:
        """Bytes buffered in this process for callers, also on closing connections."""
        if self._server is None:
            return 0
        return sum(connection.unsent_bytes for connection in self._server.connections)

    @property
    def memory(self) -> CallerMemory:
        """The account of what callers hold."""
        return CallerMemory() if self._server is None else self._server.memory

    async def start(self, listen: str) -> str:
        """Open the port. :return: ``host:port``."""
        self._server = CallerServer(
            self._handle,
            head_seconds=self._head_seconds,
            head_bytes=lambda: self._ingress_limits().header_bytes,
            on_late=self._log_late_head,
            limits=self._limits,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_SECONDS,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_LINE_BYTES,
            max_headers=MAX_FIELDS,
            auto_decompress=False,
            access_log=None,
            lingering_time=0,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server,
            sock=bound_socket(listen, receive_buffer_bytes=RECEIVE_BUFFER_BYTES),
            backlog=BACKLOG_CONNECTIONS,
        )
        name = self._listener.sockets[0].getsockname()
        return f"{name[0]}:{name[1]}"

    async def close_port(self) -> None:
        """Stop accepting connections; open ones stay open."""
        if self._listener is not None:
            self._listener.close()

    def close_idle(self, min_seconds: float = 0.0) -> None:
        """Close the connections on which no request is being received or served.

        :param min_seconds: connections that have been idle for less stay open.
        """
        if self._server is not None:
            for connection in self._server.connections:
                connection.close_idle(min_seconds)

    def end_requests(self, *, sent: bool) -> None:
        """End requests for the stop of the router.

        A caller that has received no part of its answer gets a refusal.

        :param sent: also end requests that a backend server may run or have run, and
            refuse any that come later.
        """
        self._requests_ended = self._requests_ended or sent
        now = asyncio.get_running_loop().time()
        for limit, trace in self._traces_by_limit.items():
            if not limit.expired() and (sent or not trace.sent):
                limit.reschedule(now)

    async def stop(self, timeout_seconds: float) -> None:
        """Close the open connections.

        :param timeout_seconds: longest wait for requests being served.
        """
        self._closing = True
        if self._server is not None:
            await self._server.shutdown(timeout_seconds)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.active += 1
        connection = request.protocol
        connection.request_began(request.content, length_left(request))
        sink = HttpSink(
            request, close=lambda: self.draining or connection.closes_after_answer
        )
        try:
            response = await self._answer(request, sink)
            if not response.prepared:
                if connection.closes_after_answer:
                    response.force_close()
                # Before the next head is parsed, whose refusal is written at once.
                with contextlib.suppress(ConnectionError):
                    await response.prepare(request)
                    await response.write_eof()
            return response
        finally:
            connection.request_ended()
            self.active -= 1

    def _head_seconds(self) -> float:
        return self._ingress_limits().header_seconds

    def _ingress_limits(self) -> IngressLimits:
        configuration = self._platform_state.configuration
        return configuration.limits if configuration else IngressLimits()

    def _log_late_head(self, seconds: float) -> None:
        now = asyncio.get_running_loop().time()
        status = HTTPStatus.REQUEST_TIMEOUT.value
        error = RefusedError(
            f"head not whole after {seconds} s",
            step="ingress.head",
            status=status,
        )
        self._request_log.failed(
            RequestTrace(now - seconds), error, now, status=status, began=False
        )

    async def _answer(
        self, request: web.BaseRequest, sink: HttpSink
    ) -> web.StreamResponse:
        now = asyncio.get_running_loop().time
        trace, request_log = RequestTrace(now()), self._request_log
        trace.connection_opened_at = request.protocol.opened_at
        trace.connection_requests = request.protocol.requests
        if self.stop_schedule is not None:
            trace.stopping_since = self.stop_schedule.began_at
        try:
            async with self._limit(trace):
                await self._forward(request, sink, trace)
        except RequestError as error:
            status = HTTPStatus.BAD_REQUEST.value
            request_log.failed(trace, error, now(), status=status, began=False)
            return await self._refuse(request, status, error.message)
        except RefusedError as error:
            began = sink.response is not None
            status = sink.status or error.status
            request_log.failed(trace, error, now(), status=status, began=began)
            if began:
                return sink.abort()
            return await self._refuse(request, status, error.message, error.retry_after)
        except asyncio.CancelledError:
            if self._closing:
                request_log.stopped(trace, sink.status, now())
            elif request.protocol.gave_way is not None:
                self._log_given_way(request, sink, trace)
            elif not request.protocol.is_open:
                request_log.caller_left(trace, sink.status, now())
            else:
                request_log.cancelled(trace, sink.status, now())
            raise
        except ConnectionError as error:
            if request.protocol.is_open:
                request_log.internal_error(trace, error, now())
                raise
            if request.protocol.gave_way is not None:
                self._log_given_way(request, sink, trace)
            else:
                # The caller disconnected between two writes.
                request_log.caller_left(trace, sink.status, now())
            return sink.abort()
        except Exception as error:
            request_log.internal_error(trace, error, now())
            raise
        request_log.answered(trace, sink.status, now())
        return sink.response

    @contextlib.asynccontextmanager
    async def _limit(self, trace: RequestTrace) -> AsyncIterator[None]:
        """Run a request until the router ends it.

        :raises RefusedError: the router stopped before the request ended, or something
            that the request awaited was cancelled, and not the request itself.
        """
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self._traces_by_limit[limit] = trace
                yield
        except TimeoutError as error:
            if not limit.expired():
                raise
            raise self._stop_error(sent=trace.sent) from error
        except asyncio.CancelledError as error:
            if is_cancelling():
                raise
            eliot.write_traceback()
            if self.stop_schedule is not None and self._closing:
                raise self._stop_error(sent=trace.sent) from error
            raise _end_error(
                CANCELLED_REASON,
                CANCELLED_STEP,
                sent=trace.sent,
                retry_after=CANCELLED_RETRY_SECONDS,
            ) from error
        finally:
            self._traces_by_limit.pop(limit, None)

    def _stop_error(self, *, sent: bool) -> RefusedError:
        """Return the caller's error for a request that the stop of the router ends.

        :param sent: whether a backend server may run or have run the request.
        """
        retry_after = self.stop_schedule.retry_after(others_serve=self._others_serve())
        return _end_error(STOP_REASON, STOP_STEP, sent=sent, retry_after=retry_after)

    async def _forward(
        self, request: web.BaseRequest, sink: HttpSink, trace: RequestTrace
    ) -> None:
        trace.attempt_id = attempt_id_of(request.headers)
        configuration = self._platform_state.configuration
        if configuration is None:
            raise OverloadError(
                "no configuration is known yet",
                step="ingress",
                retry_after=0.5,
            )
        trace.configuration = configuration.number
        if _head_bytes(request) > configuration.limits.header_bytes:
            raise RefusedError(
                f"head above {configuration.limits.header_bytes} bytes",
                step="ingress.head",
                status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        head = RequestHead.decode(request.headers.items())
        call = build_call(
            configuration,
            head,
            method=request.method,
            target=request.raw_path,
            host=request.headers.get("Host", ""),
            received_at=trace.received_at,
            default_seconds=DEFAULT_DEADLINE_SECONDS,
        )
        self._request_log.admitted(trace, call, trace.received_at)
        limit = configuration.limits.body_bytes
        check_length(request, limit)
        request.protocol.customer = call.customer
        refusal = self.refuse_for_link(request.content_length)
        if refusal is not None:
            raise refusal
        if request.headers.get("Expect", "").lower() == "100-continue":
            self._refuse_late(call)
            await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            request.writer.output_size = 0
        body = await read_body(request, call, limit)
        # Refused with its body read, as a close with unread bytes resets the
        # connection, and the caller may lose the refusal.
        self._refuse_late(call)
        if not request.protocol.is_open:
            # It may have been refused before this task went on.
            raise ConnectionResetError
        call.body = body
        await self._serve(call, sink, trace)

    def _refuse_late(self, call: Call) -> None:
        """Refuse a request that may not end before the router stops.

        :raises OverloadError: the request was not sent to a backend server.
        """
        schedule = self.stop_schedule
        if schedule is None:
            return
        now = asyncio.get_running_loop().time()
        if self._requests_ended or not schedule.accepts(call.deadline, now):
            raise self._stop_error(sent=False)

    async def _refuse(
        self,
        request: web.BaseRequest,
        status: int,
        reason: str,
        retry_after: float | None = None,
    ) -> web.StreamResponse:
        """Answer a request that was not run.

        If its body is still arriving, a part of that is read and dropped and the
        connection is closed.
        """
        headers = {}
        if retry_after is not None:
            headers["Retry-After"] = f"{retry_after:.2f}"
        response = web.Response(status=status, text=reason + "\n", headers=headers)
        if request.content.is_eof():
            if self.draining:
                response.force_close()
            return response
        response.force_close()
        request.protocol.request_refused()
        await response.prepare(request)
        await response.write_eof()
        await drain(request.content, self._ingress_limits().body_bytes)
        return response

    def _log_given_way(
        self, request: web.BaseRequest, sink: HttpSink, trace: RequestTrace
    ) -> None:
        """Log a request whose connection was closed to make room for others."""
        self._request_log.failed(
            trace,
            full_error(request.protocol.gave_way, sent=trace.sent),
            asyncio.get_running_loop().time(),
            status=sink.status or HTTPStatus.SERVICE_UNAVAILABLE.value,
            began=sink.response is not None,
        )


def _end_error(
    reason: str, step: str, *, sent: bool, retry_after: float
) -> RefusedError:
    """Return the caller's error for a request that the router ends.

    :param sent: whether a backend server may run or have run the request.
    :param retry_after: seconds after which a request that did not run may come again.
    """
    if sent:
        status = HTTPStatus.BAD_GATEWAY.value
        return RefusedError(reason, step=step, status=status, run=RunState.UNKNOWN)
    return OverloadError(reason, step=step, retry_after=retry_after)


def _head_bytes(request: web.BaseRequest) -> int:
    """Return the size of a request's target and header lines."""
    lines = (len(name) + len(value) for name, value in request.raw_headers)
    return len(request.raw_path) + sum(lines)
