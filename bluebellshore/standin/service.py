"""Stand-in for a plain service, such as a parts desk or an orders service."""

import asyncio
import random
from collections import Counter
from enum import Enum

import msgspec
import xxhash
from aiohttp import web

from bluebellshore.settings import ServiceSettings
from bluebellshore.standin.server import (
    MAX_BODY_BYTES,
    HttpServer,
    decode_body,
    json_response,
)

__all__ = [
    "Executions",
    "ServiceFault",
    "ServiceFaultChange",
    "ServiceStandin",
    "expected_answer",
]

SAFE_METHODS = frozenset({"GET", "HEAD"})


class ServiceFault(Enum):
    """How the service fails; the last two have taken effect."""

    NONE = "none"
    FAIL = "fail"
    SLOW = "slow"
    HANG = "hang"
    LOSE_ANSWER = "lose_answer"
    HANG_AFTER = "hang_after"


class ServiceFaultChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; replaces the fault in force.

    :param share: share of the requests that show the fault.
    :param next: requests that show it, then it ends; 0 for no end.
    :param slow_seconds: time that a slow request takes longer.
    """

    fault: ServiceFault = ServiceFault.NONE
    share: float = 1.0
    next: int = 0
    slow_seconds: float = 1.0


class Executions(msgspec.Struct):
    """What the service has done; answer of ``GET /control/executions``.

    :param by_request: executions by ``x-request-key``.
    :param by_order: executions by ``order_id`` of the body, safe methods left out.
    """

    by_request: Counter[str] = msgspec.field(default_factory=Counter)
    by_order: Counter[str] = msgspec.field(default_factory=Counter)
    received: int = 0
    safe: int = 0
    running: int = 0
    peak_concurrency: int = 0


class ServiceAnswer(msgspec.Struct):
    """Body of a response.

    :param body: text of the request's body.
    :param confirmation: hash of the method, path and body.
    """

    method: str
    path: str
    body: str
    confirmation: str


class OrderBody(msgspec.Struct):
    """The part of an order's body that the service knows."""

    order_id: str = ""


def expected_answer(method: str, path: str, body: bytes = b"") -> bytes:
    """Return the body of the response to a request.

    :param path: path with the query, as sent.
    """
    seed = b"\n".join([method.encode(), path.encode(), body])
    answer = ServiceAnswer(
        method,
        path,
        body.decode(errors="replace"),
        xxhash.xxh3_64_hexdigest(seed),
    )
    return msgspec.json.encode(answer)


class ServiceStandin:
    """Serving role of the plain service's stand-in."""

    def __init__(self, settings: ServiceSettings):
        self._settings = settings
        self._rng = random.Random(settings.seed)
        self.fault = ServiceFaultChange()
        self.executions = Executions()
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes(
            [
                web.post("/control/faults", self._change_fault),
                web.get("/control/executions", self._show_executions),
                web.route("*", "/{path:.*}", self._serve),
            ]
        )
        self._server = HttpServer(app, settings.listen)

    @property
    def address(self) -> str:
        """Return ``host:port`` of the server."""
        return self._server.address

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start()

    async def stop(self) -> None:
        """Stop serving."""
        await self._server.stop()

    async def _serve(self, request: web.Request) -> web.Response:
        executions = self.executions
        executions.received += 1
        executions.running += 1
        peak = max(executions.peak_concurrency, executions.running)
        executions.peak_concurrency = peak
        try:
            return await self._execute(request, self._draw_fault())
        finally:
            executions.running -= 1

    async def _execute(self, request: web.Request, fault: ServiceFault) -> web.Response:
        body = await request.read()
        if fault is ServiceFault.FAIL:
            return web.Response(status=500, text="failed before any effect")
        if fault is ServiceFault.HANG:
            await _hang()
        # The execution goes on when its caller leaves.
        slow = fault is ServiceFault.SLOW
        await asyncio.shield(self._take_effect(request, body, slow=slow))
        if fault is ServiceFault.HANG_AFTER:
            await _hang()
        if fault is ServiceFault.LOSE_ANSWER and request.transport is not None:
            request.transport.abort()
        return web.Response(
            body=expected_answer(request.method, request.raw_path, body),
            content_type="application/json",
        )

    async def _take_effect(
        self, request: web.Request, body: bytes, *, slow: bool
    ) -> None:
        if slow:
            await asyncio.sleep(self.fault.slow_seconds)
        await asyncio.sleep(self._settings.service_seconds)
        self._count(request, body)

    def _count(self, request: web.Request, body: bytes) -> None:
        self.executions.by_request[request.headers.get("x-request-key", "")] += 1
        if request.method in SAFE_METHODS:
            self.executions.safe += 1
        elif order_id := _order_id(body):
            self.executions.by_order[order_id] += 1

    def _draw_fault(self) -> ServiceFault:
        fault = self.fault
        if fault.fault is ServiceFault.NONE or self._rng.random() >= fault.share:
            return ServiceFault.NONE
        drawn = fault.fault
        if fault.next:
            fault.next -= 1
            if not fault.next:
                fault.fault = ServiceFault.NONE
        return drawn

    async def _change_fault(self, request: web.Request) -> web.Response:
        self.fault = await decode_body(request, ServiceFaultChange)
        return web.Response(status=204)

    async def _show_executions(self, request: web.Request) -> web.Response:
        return json_response(self.executions)


async def _hang() -> None:
    """Wait until the handler is cancelled because its caller has left."""
    await asyncio.get_running_loop().create_future()


def _order_id(body: bytes) -> str:
    try:
        return msgspec.json.decode(body, type=OrderBody).order_id
    except msgspec.DecodeError:
        return ""
