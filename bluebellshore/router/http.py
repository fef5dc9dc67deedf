"""HTTP interface for callers."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Protocol

import eliot
import msgspec
from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.bundle.model import Bundle, RouteKind
from bluebellshore.cancellation import is_cancelling
from bluebellshore.duties.jobs import Jobs, JobState
from bluebellshore.errors import (
    BackendServerError,
    PlatformError,
    RefusedError,
    RunState,
)
from bluebellshore.ids import CustomerId, IncarnationId, JobId, RouteName, Tokens
from bluebellshore.operator_port import bearer_token, bind
from bluebellshore.router.calls import (
    CHAT_PATH,
    SAFE_METHODS,
    SERVICES_PATH,
    Call,
    make_chat_call,
    make_request_key,
    parse_chat_request,
)
from bluebellshore.router.dispatch import make_router_key
from bluebellshore.router.jobs import job_from_call
from bluebellshore.router.problems import error_event, problem_response
from bluebellshore.router.relay import AnswerSource
from bluebellshore.router.requests import (
    handle_expect,
    refuse_unknown_path,
    requested_position,
    service_path,
)
from bluebellshore.router.takeover import CallOpener

__all__ = ["Balance", "CallerPort"]

JOBS_PATH = "/v1/jobs/"
#: Request headers that are forwarded to plain services.
FORWARDED_HEADERS = ("Accept", "Accept-Language", "Content-Type", "Idempotency-Key")
EVENT_STREAM_TYPE = "text/event-stream"
#: Maximum size of an answer that is not an event stream. It is sent in one piece.
MAX_COLLECTED_BYTES = 8 * 1024 * 1024
KEEPALIVE_SECONDS = 75.0
#: Maximum size of a stream's write buffer, which is held in addition to the credit.
WRITE_BUFFER_BYTES = 16 * 1024
#: Size of the kernel's send buffer for a caller's connection.
SEND_BUFFER_BYTES = 64 * 1024
#: Long enough that a stop does not cut off callers that read slowly.
SHUTDOWN_TIMEOUT_SECONDS = 24 * 3600.0
MAX_HEADER_BYTES = 8190
_RUN_STATE_BY_JOB_STATE = {JobState.FAILED: RunState.NOT_RUN}


class Balance(msgspec.Struct):
    """State of a customer's budget, in tokens, as reported to callers.

    :param prepaid_total: tokens paid for so far.
    :param settled: tokens billed so far.
    :param held: tokens allotted to routers and not billed.
    :param available: tokens that are neither billed nor held.
    """

    budget: str
    prepaid_total: int
    settled: int
    held: int
    available: int


class BudgetReader(Protocol):
    """Reads the balances of budgets."""

    async def balance(self, customer: CustomerId) -> Balance:
        """Return the balance of a customer's budget."""


class CallerPort:
    """HTTP server for callers.

    :param max_streams: maximum number of calls in progress; more are refused.
    :param increment: increments the counter of the given name.
    :ivar address: ``host:port`` that is bound.
    :ivar active_requests: number of calls in progress.
    """

    def __init__(
        self,
        *,
        listen: str,
        incarnation: IncarnationId,
        keeper: BundleKeeper,
        dispatcher: CallOpener,
        jobs: Jobs,
        budgets: BudgetReader,
        max_body_bytes: int,
        max_streams: int,
        increment: Callable[[str], None],
    ):
        self.address = listen
        self.active_requests = 0
        self._incarnation = incarnation
        self._keeper = keeper
        self._dispatcher = dispatcher
        self._jobs = jobs
        self._budgets = budgets
        self._max_body_bytes = max_body_bytes
        self._max_streams = max_streams
        self._increment = increment
        self._request_numbers = itertools.count(1)
        self._runner: web.AppRunner | None = None
        self._stopping = False
        self._handled_count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def start(self) -> str:
        """Start serving.

        :return: the ``host:port`` that is bound.
        """
        app = web.Application(client_max_size=self._max_body_bytes)
        app.middlewares.extend((self._track_handled, self._refuse_with_problems))
        for method, path, handler in (
            ("POST", CHAT_PATH, self._post_chat),
            ("GET", "/v1/models", self._get_models),
            ("GET", "/v1/budget", self._get_budget),
            ("GET", JOBS_PATH + "{job_id}", self._get_job),
            ("*", SERVICES_PATH + "{route}", self._handle_service),
            ("*", SERVICES_PATH + "{route}/{path:[\\s\\S]*}", self._handle_service),
            ("*", "/{path:[\\s\\S]*}", refuse_unknown_path),
        ):
            app.router.add_route(method, path, handler, expect_handler=handle_expect)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_SECONDS,
            max_field_size=MAX_HEADER_BYTES,
            handler_cancellation=True,
            shutdown_timeout=SHUTDOWN_TIMEOUT_SECONDS,
        )
        await self._runner.setup()
        self.address = await bind(
            self._runner, self.address, send_buffer_bytes=SEND_BUFFER_BYTES
        )
        return self.address

    async def release_port(self) -> None:
        """Stop accepting connections."""
        for site in list(self._runner.sites):
            await site.stop()

    async def stop(self, leave_seconds: float) -> None:
        """Stop accepting connections and wait until all requests have ended.

        :param leave_seconds: time for which connections are still accepted.
        """
        self._stopping = True
        await asyncio.sleep(leave_seconds)
        await self.release_port()
        await self._idle.wait()
        await self._runner.cleanup()

    # Handlers

    async def _post_chat(self, request: web.Request) -> web.StreamResponse:
        customer = self._authenticate(request)
        body = await self._read_body(request)
        chat = parse_chat_request(body)
        route_name, _ = self._find_route(chat.model, RouteKind.MODEL)
        call = self._make_call(request, customer, route_name, body)
        make_chat_call(call, chat)
        return await self._serve(request, call)

    async def _handle_service(self, request: web.Request) -> web.StreamResponse:
        customer = self._authenticate(request)
        body = await self._read_body(request)
        route_name, route = self._find_route(
            request.match_info["route"], RouteKind.SERVICE
        )
        call = self._make_call(request, customer, route_name, body)
        call.idempotent = route.idempotent or request.method in SAFE_METHODS
        call.path = service_path(request)
        call.reserved_tokens = call.price = route.price
        for name in FORWARDED_HEADERS:
            if name in request.headers:
                call.headers[name] = request.headers[name]
        return await self._serve(request, call)

    async def _get_models(self, request: web.Request) -> web.Response:
        self._authenticate(request)
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "bluebellshore"}
            for name, route in self._bundle_in_force().routes.items()
            if route.kind is RouteKind.MODEL
        ]
        return web.json_response({"object": "list", "data": models})

    async def _get_budget(self, request: web.Request) -> web.Response:
        customer = self._authenticate(request)
        try:
            balance = await self._budgets.balance(customer)
        except PlatformError as error:
            raise RefusedError(
                error.message, step=error.step, peer=error.peer, retry_after=1.0
            ) from error
        return web.Response(
            body=msgspec.json.encode(balance), content_type="application/json"
        )

    async def _get_job(self, request: web.Request) -> web.Response:
        customer = self._authenticate(request)
        job_id = JobId(request.match_info["job_id"])
        try:
            job = await self._jobs.fetch(job_id, customer)
        except PlatformError as error:
            raise RefusedError(
                error.message, step=error.step, peer=error.peer, retry_after=1.0
            ) from error
        if job is None:
            raise RefusedError("no such job", step="job.fetch", status=404)
        if not job.state.is_final:
            return web.json_response(
                {"id": job_id, "state": job.state.value},
                status=202,
                headers={"Retry-After": "1"},
            )
        if job.answer is None:
            raise RefusedError(
                job.reason,
                step="job.run",
                status=502,
                run=_RUN_STATE_BY_JOB_STATE.get(job.state, RunState.UNKNOWN),
            )
        headers = [(header.name, header.value) for header in job.answer.headers]
        return web.Response(
            status=job.answer.status, body=job.answer.body, headers=headers
        )

    # Steps of a request

    def _bundle_in_force(self) -> Bundle:
        bundle = self._keeper.current
        if bundle is None:
            raise RefusedError(
                "no bundle is in force yet", step="bundle", retry_after=1.0
            )
        return bundle

    def _authenticate(self, request: web.Request) -> CustomerId:
        self._bundle_in_force()
        token = bearer_token(request)
        customer = self._keeper.customer_for_key(token) if token else None
        if customer is None:
            raise RefusedError(
                "no customer has this key", step="authenticate", status=401
            )
        return customer

    async def _read_body(self, request: web.Request) -> bytes:
        try:
            return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RefusedError(
                f"the body is larger than {self._max_body_bytes} bytes",
                step="request.read",
                status=413,
            ) from error
        except (web.RequestPayloadError, HttpProcessingError) as error:
            raise RefusedError(
                f"the body is malformed: {error}", step="request.read", status=400
            ) from error

    def _find_route(self, name: str, kind: RouteKind):
        route = self._bundle_in_force().routes.get(RouteName(name))
        if route is None or route.kind is not kind:
            raise RefusedError(
                f"no {kind.value} route {name!r}", step="route", status=404
            )
        return RouteName(name), route

    def _make_call(
        self,
        request: web.Request,
        customer_id: CustomerId,
        route_name: RouteName,
        body: bytes,
    ) -> Call:
        bundle = self._bundle_in_force()
        customer = bundle.customers[customer_id]
        route = bundle.routes[route_name]
        caller_key = request.headers.get("Idempotency-Key")
        if caller_key is None:
            key = make_router_key(
                customer_id, self._incarnation, next(self._request_numbers)
            )
        else:
            key = make_request_key(customer_id, caller_key)
        position = requested_position(request)
        return Call(
            customer=customer_id,
            budget=customer.budget,
            weight=customer.weight,
            route_name=route_name,
            route=route,
            key=key,
            has_caller_key=caller_key is not None,
            idempotent=True,
            method=request.method,
            path=request.path,
            headers={},
            body=body,
            reserved_tokens=Tokens(0),
            price=Tokens(0),
            deadline=asyncio.get_running_loop().time() + route.deadline_seconds,
            offset=position.offset,
            lineage=position.lineage,
        )

    async def _serve(self, request: web.Request, call: Call) -> web.StreamResponse:
        if "respond-async" in request.headers.get("Prefer", ""):
            return await self._accept_job(call)
        if self.active_requests >= self._max_streams:
            raise RefusedError("too many requests", step="admit", retry_after=1.0)
        self.active_requests += 1
        try:
            source = await self._dispatcher.open(call)
            try:
                if call.stream and source.status == 200:
                    return await self._send_stream(request, source)
                return await self._send_collected(source)
            finally:
                source.close()
        finally:
            self.active_requests -= 1

    async def _accept_job(self, call: Call) -> web.Response:
        try:
            job_id = await self._jobs.submit(job_from_call(call))
        except PlatformError as error:
            raise RefusedError(
                "the job could not be stored",
                step=error.step,
                peer=error.peer,
                run=RunState.NOT_RUN,
                retry_after=1.0,
            ) from error
        return web.json_response(
            {"id": job_id, "state": JobState.WAITING.value},
            status=202,
            headers={
                "Location": JOBS_PATH + job_id,
                "Preference-Applied": "respond-async",
            },
        )

    async def _send_stream(
        self, request: web.Request, source: AnswerSource
    ) -> web.StreamResponse:
        response = web.StreamResponse(
            status=source.status,
            headers={"Content-Type": EVENT_STREAM_TYPE, "Cache-Control": "no-store"},
        )
        await response.prepare(request)
        if request.transport is not None:
            request.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        try:
            async for data in source:
                await response.write(data)
                # Without this, aiohttp applies its own, larger write buffer limit.
                await request.writer.drain()
        except (BackendServerError, RefusedError) as error:
            self._increment("answers.cut")
            await response.write(error_event(_incomplete_answer_error(error)))
        except ConnectionError:
            raise
        except (Exception, asyncio.CancelledError):
            if is_cancelling():
                raise
            eliot.write_traceback()
            self._increment("answers.cut")
            failed = BackendServerError("internal error", step="relay")
            await response.write(error_event(_incomplete_answer_error(failed)))
        await response.write_eof()
        return response

    async def _send_collected(self, source: AnswerSource) -> web.Response:
        body = bytearray()
        try:
            async for data in source:
                body += data
                if len(body) > MAX_COLLECTED_BYTES:
                    raise BackendServerError("the answer is too large", step="relay")
        except BackendServerError as error:
            raise _incomplete_answer_error(error) from error
        return web.Response(
            status=source.status, body=bytes(body), headers=source.headers
        )

    @web.middleware
    async def _track_handled(self, request: web.Request, handler):
        self._handled_count += 1
        self._idle.clear()
        try:
            response = await handler(request)
            if self._stopping:
                response.force_close()
            return response
        finally:
            self._handled_count -= 1
            if not self._handled_count:
                self._idle.set()

    @web.middleware
    async def _refuse_with_problems(self, request: web.Request, handler):
        try:
            response = await handler(request)
        except RefusedError as error:
            self._increment(f"refusals.{error.status}")
            eliot.log_message(
                "refused",
                path=request.path,
                status=error.status,
                run=error.run.value,
                step=error.step,
                peer=error.peer,
                reason=error.message,
            )
            return problem_response(error)
        except web.HTTPException as error:
            refusal = RefusedError(error.reason, step="http", status=error.status)
            return problem_response(refusal)
        except ConnectionError:
            # The caller disconnected.
            raise
        except (Exception, asyncio.CancelledError):
            if is_cancelling():
                # The caller disconnected, or the router ends.
                raise
            eliot.write_traceback()
            self._increment("errors")
            return problem_response(
                RefusedError(
                    "internal error", step="http", status=500, run=RunState.UNKNOWN
                )
            )
        self._increment("answers")
        return response


def _incomplete_answer_error(error: BackendServerError | RefusedError) -> RefusedError:
    return RefusedError(
        error.message,
        step=error.step,
        peer=error.peer,
        status=502,
        run=RunState.UNKNOWN,
    )
