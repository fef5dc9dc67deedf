"""What callers' HTTP requests say beside their bodies."""

from aiohttp import web

from bluebellshore.errors import RefusedError
from bluebellshore.events import Position, parse_event_id
from bluebellshore.router.calls import SERVICES_PATH
from bluebellshore.router.problems import problem_response

__all__ = ["handle_expect", "requested_position", "refuse_unknown_path", "service_path"]


async def handle_expect(request: web.Request) -> web.Response | None:
    """Answer an ``Expect`` header; aiohttp's own handler fails on odd bytes."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
        return None
    return problem_response(
        RefusedError("unknown expectation", step="http", status=417)
    )


async def refuse_unknown_path(request: web.Request) -> web.Response:
    """Refuse a path or method that there is not."""
    raise RefusedError("no such path or method", step="http", status=404)


def requested_position(request: web.Request) -> Position:
    """Return the place from which the caller wants the answer.

    :raises RefusedError: the header names none (400).
    """
    value = request.headers.get("Last-Event-ID", "")
    if not value:
        return Position(0, "")
    position = parse_event_id(value)
    if position is None:
        raise RefusedError(
            "Last-Event-ID must be the id of an event of the answer",
            step="request.parse",
            status=400,
        )
    return position


def service_path(request: web.Request) -> str:
    """Return path and query below the route, escaped as the caller sent them."""
    below = request.rel_url.raw_path.removeprefix(SERVICES_PATH).partition("/")[2]
    query = request.rel_url.raw_query_string
    return f"/{below}?{query}" if query else f"/{below}"
