"""Stand-in for a model engine with an OpenAI-compatible interface."""

import dataclasses
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from bluebellshore.errors import BackendServerError
from bluebellshore.settings import EngineSettings
from bluebellshore.standin.engine_core import (
    EngineHealth,
    Execution,
    FinishReason,
    ModelEngine,
)
from bluebellshore.standin.engine_faults import EngineFaultChange, Misbehaviour
from bluebellshore.standin.engine_messages import (
    CancelAnswer,
    CancelRequest,
    Choice,
    Delta,
    ErrorAnswer,
    ErrorDetail,
    EventsAnswer,
    ResponseEncoder,
    TokenizeAnswer,
    TokenizeRequest,
)
from bluebellshore.standin.engine_orders import Order
from bluebellshore.standin.generation import (
    ChatRequest,
    count_tokens,
    expected_text,
    expected_tokens,
)
from bluebellshore.standin.server import (
    MAX_BODY_BYTES,
    HttpServer,
    decode_body,
    json_response,
)

__all__ = ["EngineStandin", "build_app", "expected_text", "expected_tokens"]

SEND_BUFFER_BYTES = 16 * 1024
DEFAULT_PRIORITY = 1

ENGINE = web.AppKey("engine", ModelEngine)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class EngineStandin:
    """Serving role of the model engine's stand-in.

    ``engine`` gives tests in the same process its counts and faults.
    """

    def __init__(self, settings: EngineSettings):
        self.engine = ModelEngine(dataclasses.replace(settings))
        self._server = HttpServer(
            build_app(self.engine),
            settings.listen,
            send_buffer_bytes=SEND_BUFFER_BYTES,
        )

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


def build_app(engine: ModelEngine) -> web.Application:
    """Return the application that serves `engine`."""
    app = web.Application(middlewares=[_check_health], client_max_size=MAX_BODY_BYTES)
    app[ENGINE] = engine
    app.add_routes(
        [
            web.post("/v1/chat/completions", _complete),
            web.post("/v1/tokenize", _tokenize),
            web.post("/v1/cancel", _cancel),
            web.post("/v1/orders", _order),
            web.get("/v1/load", _load),
            web.get("/v1/cache-events", _cache_events),
            web.post("/control/faults", _change_faults),
            web.get("/control/stats", _stats),
            web.get("/control/orders", _orders),
        ]
    )
    return app


def _error(status: int, message: str) -> web.Response:
    return json_response(ErrorAnswer(ErrorDetail(message)), status=status)


@web.middleware
async def _check_health(request: web.Request, handler: Handler) -> web.StreamResponse:
    health = request.app[ENGINE].health
    if request.path.startswith("/control/") or health is EngineHealth.SERVING:
        return await handler(request)
    if health is EngineHealth.CRASHED:
        _abort(request)
    return _error(500, "engine is restarting")


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()


async def _complete(request: web.Request) -> web.StreamResponse:
    engine = request.app[ENGINE]
    chat = await decode_body(request, ChatRequest)
    tokens = expected_tokens(chat)
    if chat.resume_text and not "".join(tokens).startswith(chat.resume_text):
        return _error(400, "resume_text is not how the answer begins")
    execution = await _execution(request, chat, tokens)
    if execution.misbehaviour is Misbehaviour.FAIL:
        engine.stats.failed += 1
        return _error(500, "generation failed")
    try:
        with engine.hold(execution):
            answer = _stream if chat.stream else _answer_whole
            return await answer(request, engine, execution)
    except BackendServerError as error:
        return _error(500, error.message)


async def _execution(
    request: web.Request, chat: ChatRequest, tokens: list[str]
) -> Execution:
    engine = request.app[ENGINE]
    misbehaviour = engine.faults.decide(
        await request.read(),
        request.headers.get("x-route", ""),
        engine.concurrent + 1,
        time.monotonic(),
    )
    return Execution(
        chat=chat,
        tokens=tokens,
        key=request.headers.get("x-request-key", ""),
        attempt=request.headers.get("x-attempt", ""),
        priority=int(request.headers.get("x-priority", DEFAULT_PRIORITY)),
        misbehaviour=misbehaviour,
        abort=lambda: _abort(request),
    )


async def _stream(
    request: web.Request, engine: ModelEngine, execution: Execution
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
    await response.prepare(request)
    encoder = ResponseEncoder(execution, engine.orders.version)

    async def emit(piece: str) -> None:
        await response.write(encoder.chunk(Choice(0, delta=Delta(content=piece))))

    await response.write(encoder.chunk(Choice(0, delta=Delta(role="assistant"))))
    reason = await engine.run(execution, emit)
    if reason is not FinishReason.TRUNCATED:
        await response.write(encoder.ending(reason))
    await response.write_eof()
    return response


async def _answer_whole(
    request: web.Request, engine: ModelEngine, execution: Execution
) -> web.StreamResponse:
    pieces: list[str] = []

    async def emit(piece: str) -> None:
        pieces.append(piece)

    reason = await engine.run(execution, emit)
    encoder = ResponseEncoder(execution, engine.orders.version)
    body = encoder.whole("".join(pieces), reason)
    if reason is FinishReason.TRUNCATED:
        body = body[: len(body) // 2]
    return web.Response(body=body, content_type="application/json")


async def _tokenize(request: web.Request) -> web.Response:
    message = await decode_body(request, TokenizeRequest)
    chat = ChatRequest(message.model, message.messages)
    return json_response(TokenizeAnswer(count_tokens(chat)))


async def _cancel(request: web.Request) -> web.Response:
    message = await decode_body(request, CancelRequest)
    return json_response(CancelAnswer(request.app[ENGINE].cancel(message.id)))


async def _order(request: web.Request) -> web.Response:
    order = await decode_body(request, Order)
    result = request.app[ENGINE].orders.take(order)
    return json_response(result, status=200 if result.accepted else 409)


async def _load(request: web.Request) -> web.Response:
    return json_response(request.app[ENGINE].reported_load())


async def _cache_events(request: web.Request) -> web.Response:
    after = int(request.query.get("after", 0))
    events = request.app[ENGINE].cache.events(after, time.monotonic())
    return json_response(EventsAnswer(events))


async def _change_faults(request: web.Request) -> web.Response:
    change = await decode_body(request, EngineFaultChange)
    request.app[ENGINE].faults.change(change, time.monotonic())
    return web.Response(status=204)


async def _stats(request: web.Request) -> web.Response:
    return json_response(request.app[ENGINE].stats)


async def _orders(request: web.Request) -> web.Response:
    return json_response(request.app[ENGINE].orders)
