"""Stand-in for the platform's table service, object store and instance list."""

import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec
from aiohttp import web

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.ids import InstanceId
from bluebellshore.settings import PlatformSettings
from bluebellshore.standin.server import (
    MAX_BODY_BYTES,
    HttpServer,
    decode_body,
    json_response,
)
from bluebellshore.store.interface import Instance, InstanceState
from bluebellshore.store.memory import (
    MemoryFaults,
    MemoryInstances,
    MemoryObjects,
    MemoryTable,
    OperationCounts,
)
from bluebellshore.store.messages import (
    ConflictAnswer,
    InstancesAnswer,
    ReadRequest,
    RowsAnswer,
    ScanRequest,
    TransactAnswer,
    TransactRequest,
)

__all__ = [
    "PlatformFaults",
    "PlatformStandin",
    "PlatformState",
    "RateLimit",
    "build_app",
]


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; fields left out stay as they are.

    See :class:`~bluebellshore.store.MemoryFaults` for their meaning. The instance
    list fails on its own.

    :param list_outage: whether the instance list gives no answers.
    """

    outage: bool | None = None
    list_outage: bool | None = None
    fail_next: int | None = None
    lose_next: int | None = None
    lose_answers: float | None = None
    delay_seconds: float | None = None
    answer_delay_seconds: float | None = None


class StateChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/instances/{id}``."""

    state: InstanceState = InstanceState.LEAVING


class RateLimit:
    """Token bucket that holds one second's operations; a rate of 0 has no limit."""

    def __init__(self, per_second: float):
        self._per_second = per_second
        self._tokens = per_second
        self._filled = 0.0

    def take(self, now: float) -> bool:
        """Count one operation. :return: False when the limit is reached."""
        if not self._per_second:
            return True
        gained = (now - self._filled) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


@dataclass
class PlatformState:
    """The twins behind the server, sharing faults and counts."""

    settings: PlatformSettings
    counts: OperationCounts = field(default_factory=OperationCounts)

    def __post_init__(self):
        settings = self.settings
        self.faults = MemoryFaults(rng=random.Random(settings.seed))
        self.table = MemoryTable(self.faults, self.counts)
        self.objects = MemoryObjects(self.faults, self.counts)
        self.list_faults = MemoryFaults(rng=random.Random(settings.seed))
        self.instances = MemoryInstances(
            self.list_faults,
            self.counts,
            lag_seconds=settings.list_lag_seconds,
            expiry_seconds=settings.expiry_seconds,
        )
        self.reads = RateLimit(settings.reads_per_second)
        self.writes = RateLimit(settings.writes_per_second)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Change the faults that `faults` names."""
        changes = msgspec.structs.asdict(faults)
        list_outage = changes.pop("list_outage")
        if list_outage is not None:
            self.list_faults.outage = list_outage
        for name, value in changes.items():
            if value is not None:
                setattr(self.faults, name, value)


STATE = web.AppKey("state", PlatformState)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(state: PlatformState) -> web.Application:
    """Return the application that serves `state`."""
    app = web.Application(
        middlewares=[_answer_errors, _limit_rate], client_max_size=MAX_BODY_BYTES
    )
    app[STATE] = state
    app.add_routes(
        [
            web.post("/v1/table/read", _read),
            web.post("/v1/table/scan", _scan),
            web.post("/v1/table/transact", _transact),
            web.put("/v1/objects/{name:.+}", _put_object),
            web.post("/v1/objects/{name:.+}", _create_object),
            web.get("/v1/objects/{name:.+}", _get_object),
            web.delete("/v1/objects/{name:.+}", _delete_object),
            web.get("/v1/instances", _fetch_instances),
            web.put("/v1/instances/{instance_id}", _announce),
            web.post("/control/faults", _set_faults),
            web.get("/control/stats", _stats),
            web.post("/control/instances/{instance_id}", _set_state),
        ]
    )
    return app


class PlatformStandin:
    """Serving role of the platform's stand-in.

    ``state`` gives tests in the same process the rows, faults and counts.
    """

    def __init__(self, settings: PlatformSettings):
        self.state = PlatformState(settings)
        # A write may take effect long after its caller has given up.
        self._server = HttpServer(
            build_app(self.state), settings.listen, cancel_on_disconnect=False
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


@web.middleware
async def _answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except TransactionConflictError as error:
        return json_response(ConflictAnswer(list(error.keys)), status=409)
    except PlatformUnavailableError:
        # An outage or a lost answer: the connection breaks without an answer.
        if request.transport is not None:
            request.transport.abort()
        return web.Response(status=503)
    except PlatformError as error:
        return web.Response(status=400, text=error.message)


@web.middleware
async def _limit_rate(request: web.Request, handler: Handler) -> web.StreamResponse:
    state = request.app[STATE]
    if request.path.startswith("/control/"):
        return await handler(request)
    reading = request.method == "GET" or request.path in _READ_PATHS
    limit = state.reads if reading else state.writes
    if not limit.take(time.monotonic()):
        state.counts.rate_limited += 1
        raise web.HTTPServiceUnavailable(text="rate limit reached")
    return await handler(request)


_READ_PATHS = frozenset({"/v1/table/read", "/v1/table/scan"})


async def _read(request: web.Request) -> web.Response:
    message = await decode_body(request, ReadRequest)
    rows_by_key = await request.app[STATE].table.read(message.keys)
    return json_response(RowsAnswer(list(rows_by_key.values())))


async def _scan(request: web.Request) -> web.Response:
    message = await decode_body(request, ScanRequest)
    table = request.app[STATE].table
    rows = await table.scan(message.prefix, message.after, message.limit)
    return json_response(RowsAnswer(rows))


async def _transact(request: web.Request) -> web.Response:
    message = await decode_body(request, TransactRequest)
    versions = await request.app[STATE].table.transact(message.writes)
    return json_response(TransactAnswer(versions))


async def _put_object(request: web.Request) -> web.Response:
    data = await request.read()
    await request.app[STATE].objects.put(request.match_info["name"], data)
    return web.Response(status=204)


async def _create_object(request: web.Request) -> web.Response:
    name = request.match_info["name"]
    data = await request.read()
    created = await request.app[STATE].objects.put(name, data, if_absent=True)
    return web.Response(status=201 if created else 409)


async def _get_object(request: web.Request) -> web.Response:
    data = await request.app[STATE].objects.get(request.match_info["name"])
    if data is None:
        raise web.HTTPNotFound
    return web.Response(body=data)


async def _delete_object(request: web.Request) -> web.Response:
    await request.app[STATE].objects.delete(request.match_info["name"])
    return web.Response(status=204)


async def _fetch_instances(request: web.Request) -> web.Response:
    return json_response(InstancesAnswer(await request.app[STATE].instances.fetch()))


async def _announce(request: web.Request) -> web.Response:
    instance = await decode_body(request, Instance)
    if instance.instance_id != request.match_info["instance_id"]:
        raise web.HTTPBadRequest(text="instance id differs from the path")
    await request.app[STATE].instances.announce(instance)
    return web.Response(status=204)


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].set_faults(await decode_body(request, PlatformFaults))
    return web.Response(status=204)


async def _stats(request: web.Request) -> web.Response:
    return json_response(request.app[STATE].counts)


async def _set_state(request: web.Request) -> web.Response:
    change = await decode_body(request, StateChange)
    instance_id = InstanceId(request.match_info["instance_id"])
    if not request.app[STATE].instances.set_state(instance_id, change.state):
        raise web.HTTPNotFound(text="no such instance")
    return web.Response(status=204)
