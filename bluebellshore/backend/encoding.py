"""Encodes the head of a request to a backend server."""

import re

from bluebellshore.backend.answer import AttemptError, AttemptOutcome, BackendRequest

__all__ = ["encode_request_head"]

#: Methods that need a ``Content-Length`` even if the body is empty (RFC 9110, 8.6).
BODY_METHODS = frozenset({"POST", "PUT", "PATCH"})
_LINE_BREAK = re.compile(r"[\r\n\0]")
_NOT_IN_REQUEST_LINE = re.compile(r"[\x00-\x20\x7f]")


def encode_request_head(request: BackendRequest, peer: str) -> bytes:
    """Return the head of `request`; the target is not normalized.

    :param peer: address of the backend server, for the error.
    :raises AttemptError: the method, target or a header would break the framing, as
        in request smuggling.
    """
    lines = [f"Host: {request.host}"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    if request.body or request.method in BODY_METHODS:
        lines.append(f"Content-Length: {len(request.body)}")
    if (
        _LINE_BREAK.search("".join(lines))
        or _NOT_IN_REQUEST_LINE.search(request.target)
        or not request.target
        or not request.method.isalpha()
    ):
        raise AttemptError(
            "the request's head is malformed",
            step="backend.encode",
            peer=peer,
            outcome=AttemptOutcome.NOT_SENT,
        )
    lines.insert(0, f"{request.method} {request.target} HTTP/1.1")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("utf-8", "surrogateescape")
