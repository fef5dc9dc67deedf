"""Receives bodies of requests as far as there is room for them."""

import asyncio
import contextlib
from http import HTTPStatus

from aiohttp import StreamReader, web

from bluebellshore.entry.caller_memory import GiveWayReason
from bluebellshore.errors import RefusedError, RunState
from bluebellshore.fleet import Call

__all__ = ["check_length", "drain", "full_error", "length_left", "read_body"]

#: Time for which the rest of a refused request's body is read, so that its caller can
#: read the refusal; beyond it, or beyond the size of a body, the connection is closed.
DRAIN_SECONDS = 1.0
#: Pieces of a body below this size are joined as they arrive.
PIECE_BYTES = 64 * 1024
#: Retry-After of a request that other callers leave no memory for.
FULL_RETRY_SECONDS = 1.0


def length_left(request: web.BaseRequest) -> int | None:
    """Return the length of a body that is still arriving; None if it names none."""
    return None if request.content.is_eof() else request.content_length


def check_length(request: web.BaseRequest, limit: int) -> None:
    """Check the length that a request names for its body.

    :param limit: most bytes of one body.
    :raises RefusedError: the body is larger.
    """
    if not request.content.is_eof() and (request.content_length or 0) > limit:
        raise _large_error(limit)


async def read_body(request: web.BaseRequest, call: Call, limit: int) -> bytes:
    """Read the body, which is held until the request ends.

    :param limit: most bytes of one body.
    :raises RefusedError: the body is larger than `limit`, does not end by the
        deadline of the call, or there is no room for it.
    """
    connection, content = request.protocol, request.content
    if content.is_eof():
        body = content.read_nowait()
        if len(body) > limit:
            raise _large_error(limit)
        return body
    pieces, tail, size = [], bytearray(), 0
    try:
        async with asyncio.timeout_at(call.deadline) as time_limit:
            connection.body_began(call.customer, time_limit.reschedule)
            async for data in content.iter_any():
                size += len(data)
                if size > limit:
                    raise _large_error(limit)
                if len(data) >= PIECE_BYTES and not tail:
                    pieces.append(data)
                    continue
                tail += data
                if len(tail) >= PIECE_BYTES:
                    pieces.append(bytes(tail))
                    tail.clear()
    except BaseException as error:
        # The error refers to this frame, and the refusal takes a while.
        pieces.clear()
        tail.clear()
        data = b""
        if not isinstance(error, TimeoutError):
            raise
        if connection.gave_way is not None:
            raise full_error(connection.gave_way) from error
        raise RefusedError(
            "body not whole at its deadline",
            step="ingress.body",
            status=HTTPStatus.REQUEST_TIMEOUT.value,
        ) from error
    connection.body_ended()
    pieces.append(bytes(tail))
    return b"".join(pieces)


async def drain(content: StreamReader, limit: int) -> None:
    """Read the rest of a refused request's body and drop it.

    :param limit: bytes after which no more is read.
    """
    size = 0
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(DRAIN_SECONDS):
            async for data in content.iter_any():
                size += len(data)
                if size > limit:
                    return


def _large_error(limit: int) -> RefusedError:
    return RefusedError(
        f"body above {limit} bytes",
        step="ingress.body",
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


def full_error(reason: GiveWayReason, *, sent: bool = False) -> RefusedError:
    """Return the error for a request that callers leave no room for.

    :param sent: whether a backend server may run or have run the request.
    """
    return RefusedError(
        f"callers hold too much ({reason.value})",
        step="ingress.memory",
        run=RunState.UNKNOWN if sent else RunState.NOT_RUN,
        retry_after=FULL_RETRY_SECONDS,
    )
