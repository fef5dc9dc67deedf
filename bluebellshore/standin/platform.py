"""Stand-in for the platform's store, with the calls that the platform publishes."""

import asyncio
import random
import socket
import struct
import time
from collections.abc import Awaitable, Callable

from aiohttp import web

from bluebellshore.settings import PlatformSettings
from bluebellshore.standin.platform_faults import (
    FaultState,
    NoAnswer,
    PartQueues,
    PlatformFaults,
    RateLimit,
)
from bluebellshore.standin.platform_messages import (
    PlatformCounts,
    TransactionBody,
    changed_row,
    check_transaction,
    decode_value,
    shown_row,
)
from bluebellshore.standin.platform_objects import (
    OBJECT_BYTES,
    ObjectShelf,
    ShelfFull,
)
from bluebellshore.standin.platform_rows import (
    HistoryGone,
    RowId,
    RowStore,
    VersionsDiffer,
)
from bluebellshore.standin.server import (
    MAX_BODY_BYTES,
    HttpServer,
    decode_body,
    json_response,
)

__all__ = ["PlatformStandin", "PlatformState", "build_app"]

PAGE_ROWS = 500
PAGE_BYTES = 1_000_000
PAGE_NAMES = 1000
CALL_BYTES = 1_000_000
MAX_WAIT_MS = 30_000
#: Bytes of a row's value.
ROW_BYTES = 65_536
#: Tables that only the operator and the backend servers write.
OPERATOR_TABLES = frozenset({"op", "servers"})
#: Name by which a partial outage concerns the objects.
OBJECTS = "objects"
POLL_SECONDS = 0.02


class PlatformState:
    """Rows, objects, faults, rates and counts behind the server."""

    def __init__(self, settings: PlatformSettings):
        self.rows = RowStore(settings.history_seconds)
        self.objects = ObjectShelf()
        self.faults = FaultState(random.Random(settings.seed))
        self.parts = PartQueues(time.monotonic)
        self.reads = RateLimit(settings.reads_per_second)
        self.writes = RateLimit(settings.writes_per_second)
        self.counts = PlatformCounts()
        self.closing = asyncio.Event()
        self.late: set[asyncio.Task] = set()

    def set_faults(self, faults: PlatformFaults) -> None:
        """Change the faults that `faults` names."""
        self.faults.update(faults)
        if faults.part_writes_per_second is not None:
            self.parts.per_second = faults.part_writes_per_second
        if faults.forget_history:
            self.rows.forget_history()
        if faults.restore_seconds is not None:
            self.rows.restore(faults.restore_seconds)

    def write_as_operator(self, table: str, key: str, value: bytes | None) -> int:
        """Write or remove a row whatever its version, also of the operator's."""
        row_id = RowId(table, "", key)
        if value is None:
            return self.rows.transact({}, {}, [row_id])
        return self.rows.transact({}, {row_id: value}, [])


STATE = web.AppKey("state", PlatformState)
Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def build_app(state: PlatformState) -> web.Application:
    """Return the application that serves `state`."""
    app = web.Application(
        middlewares=[_name_era, _limit_rate, _show_faults],
        client_max_size=MAX_BODY_BYTES,
    )
    app[STATE] = state
    app.add_routes(
        [
            web.post("/rows-tx", _transact),
            web.get("/rows-get", _get_rows, allow_head=False),
            web.get("/rows-parts", _get_parts, allow_head=False),
            web.get("/rows-feed", _feed, allow_head=False),
            web.put("/blob-put/{name:.+}", _put_object),
            web.get("/blob-get/{name:.+}", _get_object, allow_head=False),
            web.delete("/blob-drop/{name:.+}", _drop_object),
            web.get("/blob-list", _list_objects, allow_head=False),
            web.post("/control/faults", _set_faults),
            web.get("/control/stats", _stats),
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
        self.state.closing.set()
        for task in self.state.late:
            task.cancel()
        await asyncio.gather(*self.state.late, return_exceptions=True)
        await self._server.stop()


def _is_control(request: web.Request) -> bool:
    return request.path.startswith("/control/")


@web.middleware
async def _name_era(request: web.Request, handler: Handler) -> web.StreamResponse:
    response = await handler(request)
    response.headers["Store-Era"] = str(request.app[STATE].rows.era)
    return response


@web.middleware
async def _limit_rate(request: web.Request, handler: Handler) -> web.StreamResponse:
    state = request.app[STATE]
    if _is_control(request):
        return await handler(request)
    limit = state.reads if request.method == "GET" else state.writes
    if not limit.take(time.monotonic()):
        state.counts.rate_limited += 1
        return web.Response(status=429, text="rate reached")
    return await handler(request)


@web.middleware
async def _show_faults(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Surround a call's effect with the faults in force."""
    if _is_control(request):
        return await handler(request)
    state = request.app[STATE]
    faults = state.faults
    failure = faults.failure(request.remote or "", await _tables_of(request))
    if failure is not None:
        return await _fail(request, failure)
    if request.path == "/rows-tx" and faults.is_late():
        body = await decode_body(request, TransactionBody)
        task = asyncio.ensure_future(_transact_late(state, body, faults.late_seconds))
        state.late.add(task)
        task.add_done_callback(state.late.discard)
        return _reset(request)
    if faults.delay_seconds:
        await asyncio.sleep(faults.delay_seconds)
    response = await handler(request)
    if request.method != "GET" and response.status < 400:
        if faults.answer_delay_seconds:
            await asyncio.sleep(faults.answer_delay_seconds)
        if faults.loses_answer():
            return _reset(request)
    return response


async def _tables_of(request: web.Request) -> set[str]:
    if request.path.startswith("/blob-"):
        return {OBJECTS}
    if request.path == "/rows-tx":
        body = await decode_body(request, TransactionBody)
        return {row_id.table for row_id in body.row_ids}
    return {request.query.get("tableName", "")}


async def _fail(request: web.Request, failure: NoAnswer) -> web.Response:
    """Answer a call that takes no effect."""
    match failure:
        case NoAnswer.STATUS_503:
            return web.Response(status=503, text="unavailable")
        case NoAnswer.STATUS_429:
            return web.Response(status=429, text="refused")
        case NoAnswer.SILENT:
            closing = request.app[STATE].closing
            while request.transport is not None and not closing.is_set():
                await asyncio.sleep(POLL_SECONDS)
    return _reset(request)


def _reset(request: web.Request) -> web.Response:
    """Reset the connection; what is returned reaches nobody."""
    if request.transport is not None:
        connection = request.transport.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        request.transport.abort()
    return web.Response(status=503)


async def _transact_late(
    state: PlatformState, body: TransactionBody, seconds: float
) -> None:
    await asyncio.sleep(seconds)
    _apply(state, body)


async def _transact(request: web.Request) -> web.Response:
    state = request.app[STATE]
    if len(await request.read()) > CALL_BYTES:
        return web.Response(status=413, text="call too large")
    body = await decode_body(request, TransactionBody)
    problem = check_transaction(body, state.rows.tables, ROW_BYTES)
    if problem:
        return web.Response(status=400, text=problem)
    if any(entry.tableName in OPERATOR_TABLES for entry in (*body.write, *body.remove)):
        return web.Response(status=403, text="not the system's table")
    seconds = state.parts.take({row_id.part for row_id in body.row_ids} or {""})
    if seconds is None:
        state.counts.rate_limited += 1
        return web.Response(status=429, text="too many transactions wait")
    if seconds:
        await asyncio.sleep(seconds)
    return _apply(state, body)


def _apply(state: PlatformState, body: TransactionBody) -> web.Response:
    try:
        state.rows.transact(
            {entry.row_id: entry.rowVersion for entry in body.expectedRevision},
            {entry.row_id: decode_value(entry.value) for entry in body.write},
            [entry.row_id for entry in body.remove],
        )
    except VersionsDiffer as conflict:
        state.counts.conflicts += 1
        rows = [shown_row(entry) for entry in conflict.entries]
        return _rows_answer(state, rows, status=412)
    state.counts.transactions += 1
    state.counts.rows_written += len(body.write) + len(body.remove)
    answer = {"rowVersion": state.rows.version, "currentTimeMs": _now_ms(state)}
    return json_response(answer)


async def _get_rows(request: web.Request) -> web.Response:
    state = request.app[STATE]
    query = request.query
    if "tableName" not in query or "part" not in query:
        return web.Response(status=400, text="table or part missing")
    page = state.rows.page(
        query["tableName"],
        query["part"],
        query.get("from", ""),
        query.get("target", ""),
        min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS),
        PAGE_BYTES,
    )
    state.counts.reads += 1
    state.counts.rows_read += len(page.entries)
    rows = [shown_row(entry) for entry in page.entries]
    return _rows_answer(state, rows, hasMore=page.has_more)


async def _get_parts(request: web.Request) -> web.Response:
    state = request.app[STATE]
    parts, more = state.rows.parts(
        request.query["tableName"], request.query.get("startRevision"), PAGE_NAMES
    )
    state.counts.reads += 1
    return json_response({"parts": parts, "hasMore": more})


async def _feed(request: web.Request) -> web.Response:
    state = request.app[STATE]
    after = int(request.query["startRevision"])
    wait_ms = int(request.query.get("waitMs", 0))
    if not 0 <= wait_ms <= MAX_WAIT_MS:
        return web.Response(status=400, text="wait out of range")
    try:
        changes = await state.rows.wait_changes(
            request.query["tableName"], after, wait_ms / 1000, state.closing
        )
    except HistoryGone:
        return web.Response(status=410, text="history no longer available")
    state.counts.feeds += 1
    shown, version = changes, state.rows.version
    if len(changes) > PAGE_ROWS:
        # A transaction is shown whole: the next call resumes after its version.
        version = changes[PAGE_ROWS - 1].version
        shown = [change for change in changes if change.version <= version]
    state.counts.rows_fed += len(shown)
    rows = [changed_row(change) for change in shown]
    return _rows_answer(state, rows, rowVersion=version)


async def _put_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    name, data = request.match_info["name"], await request.read()
    if len(data) > OBJECT_BYTES:
        return web.Response(status=413, text="object too large")
    only_new = request.headers.get("If-None-Match") == "*"
    if only_new and name in state.objects.data_by_name:
        return web.Response(status=412, text="exists")
    try:
        state.objects.put(name, data)
    except ShelfFull:
        return web.Response(status=507, text="no room")
    state.counts.object_puts += 1
    return web.Response(status=200)


async def _get_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.counts.object_gets += 1
    data = state.objects.data_by_name.get(request.match_info["name"])
    if data is None:
        return web.Response(status=404, text="no such object")
    return web.Response(body=data)


async def _drop_object(request: web.Request) -> web.Response:
    state = request.app[STATE]
    state.counts.object_deletes += 1
    found = state.objects.data_by_name.pop(request.match_info["name"], None)
    return web.Response(status=404 if found is None else 200)


async def _list_objects(request: web.Request) -> web.Response:
    state = request.app[STATE]
    names, more = state.objects.names(
        request.query.get("prefix", ""), request.query.get("startRevision"), PAGE_NAMES
    )
    state.counts.object_lists += 1
    return json_response({"names": names, "hasMore": more})


async def _set_faults(request: web.Request) -> web.Response:
    request.app[STATE].set_faults(await decode_body(request, PlatformFaults))
    return web.Response(status=204)


async def _stats(request: web.Request) -> web.Response:
    return json_response(request.app[STATE].counts)


def _rows_answer(
    state: PlatformState,
    rows: list[dict[str, object]],
    status: int = 200,
    **fields: object,
) -> web.Response:
    answer = {
        "rowVersion": state.rows.version,
        "currentTimeMs": _now_ms(state),
    } | fields
    return json_response({"rows": rows} | answer, status=status)


def _now_ms(state: PlatformState) -> int:
    return int((time.monotonic() + state.faults.clock_ahead_seconds) * 1000)
