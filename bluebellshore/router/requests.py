"""Headers and paths of callers' HTTP requests."""

from aiohttp import web

from bluebellshore.errors import RefusedError
from bluebellshore.events import StreamPosition, parse_event_id
from bluebellshore.router.calls import SERVICES_PATH
from bluebellshore.router.problems import problem_response

__all__ = ["handle_expect", "requested_position", "refuse_unknown_path", "service_path"]


async def handle_expect(request: web.Request) -> web.Response | None:
    """Handle an ``Expect`` header, since aiohttp's handler fails on unusual bytes."""
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        request.writer.output_size = 0
        return None
    return problem_response(
        RefusedError("unknown expectation", step="http", status=417)
    )


async def refuse_unknown_path(request: web.Request) -> web.Response:
    """Refuse a request whose path or method is not served."""
    raise RefusedError("no such path or method", step="http", status=404)


def requested_position(request: web.Request) -> StreamPosition:
    """Return the position in the answer after the event in ``Last-Event-ID``.

    :raises RefusedError: the header is not the id of an event (400).
    """
    value = request.headers.get("Last-Event-ID", "")
    if not value:
        return StreamPosition(0, "")
    position = parse_event_id(value)
    if position is None:
        raise RefusedError(
            "Last-Event-ID must be the id of an event of the answer",
            step="request.parse",
            status=400,
        )
    return position


def service_path(request: web.Request) -> str:
    """Return the path below the route with its query, escaped as received."""
    below = request.rel_url.raw_path.removeprefix(SERVICES_PATH).partition("/")[2]
    query = request.rel_url.raw_query_string
    return f"/{below}?{query}" if query else f"/{below}"
