"""Refusals as RFC 9457 problem documents."""

import math

import msgspec
from aiohttp import web

from bluebellshore.errors import RefusedError

__all__ = ["PROBLEM_TYPE", "error_event", "problem_response"]

PROBLEM_TYPE = "application/problem+json"
_TITLES = {
    400: "Malformed request",
    401: "Bearer key missing or unknown",
    402: "Prepaid budget does not cover the request",
    404: "Not found",
    409: "Conflict with an earlier request",
    410: "Answer not held any more",
    413: "Request too large",
    417: "Expectation not met",
    422: "Request refused",
    429: "Too many requests",
    502: "Backend server failed",
    503: "Not available",
    504: "Backend server too slow",
}


class _Problem(msgspec.Struct):
    type: str
    title: str
    status: int
    detail: str
    run: str
    step: str
    peer: str


def _problem(error: RefusedError) -> bytes:
    return msgspec.json.encode(
        _Problem(
            type="about:blank",
            title=_TITLES.get(error.status, "Refused"),
            status=error.status,
            detail=error.message,
            run=error.run.value,
            step=error.step,
            peer=error.peer,
        )
    )


def problem_response(error: RefusedError) -> web.Response:
    """Return the HTTP response for a refusal, with a problem document as body."""
    headers = {}
    if error.retry_after:
        headers["Retry-After"] = str(math.ceil(error.retry_after))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=error.status,
        body=_problem(error),
        content_type=PROBLEM_TYPE,
        headers=headers,
    )


def error_event(error: RefusedError) -> bytes:
    """Return the event that ends an incomplete event stream."""
    return b"event: error\ndata: " + _problem(error) + b"\n\n"
