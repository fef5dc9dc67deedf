"""Decodes the heads of callers' requests, and encodes those to backend servers."""

from collections.abc import Iterable, Mapping

import msgspec

from bluebellshore.backend import AnswerHeaders
from bluebellshore.errors import RequestError
from bluebellshore.fleet import BackendServer, Call, PromptPart
from bluebellshore.ids import PartId
from bluebellshore.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EVENT_ID_HEADER,
    EXPECTED_SERVER_HEADER,
    KEY_HEADER,
    MODEL_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    PROMPT_HEADER,
    RESERVED_HEADERS,
    SIGNATURE_HEADER,
    TENANT_HEADER,
    TOKENS_HEADER,
)

__all__ = ["ANSWER_HEADERS", "RequestHead", "attempt_id_of", "backend_headers"]

STEP = "request.decode"
#: Headers, in lower case, that concern one connection only.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
        "host",
    }
)
LEAST_URGENT = 9
#: Characters of an id in the log; those of callers have 16.
MAX_LOGGED_ID = 128


ANSWER_HEADERS = AnswerHeaders(ATTEMPT_HEADER, NOT_RUN_HEADER, SIGNATURE_HEADER)


def attempt_id_of(headers: Mapping[str, str]) -> str:
    """Return the id that a request gives its attempt, for the log.

    :param headers: looked up in any case; they may be malformed.
    """
    return headers.get(ATTEMPT_HEADER, "")[:MAX_LOGGED_ID]


class RequestHead(msgspec.Struct):
    """What the head of a caller's request says.

    :param api_keys: the values of every API key header; usually one.
    :param deadline_seconds: time that the caller waits; None when it is not said.
    :param forwarded_headers: headers that backend servers receive unchanged.
    """

    attempt_id: str
    api_keys: list[str]
    deadline_seconds: float | None
    model: str
    prompt: tuple[PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    last_event_id: str
    forwarded_headers: list[tuple[str, str]]

    @classmethod
    def decode(cls, headers: Iterable[tuple[str, str]]) -> "RequestHead":
        """Decode the headers of a request.

        :raises RequestError: a header that the fleet reads is malformed.
        """
        headers = list(headers)
        values: dict[str, list[str]] = {}
        for name, value in headers:
            values.setdefault(name.lower(), []).append(value)
        attempt_id = _single(values, ATTEMPT_HEADER)
        if not attempt_id:
            raise RequestError(f"no {ATTEMPT_HEADER}", step=STEP)
        deadline = _single(values, DEADLINE_HEADER)
        prompt_tokens, output_tokens = _token_counts(_single(values, TOKENS_HEADER))
        return cls(
            attempt_id=attempt_id,
            api_keys=values.get(KEY_HEADER.lower(), []),
            deadline_seconds=_number(DEADLINE_HEADER, deadline) / 1000
            if deadline
            else None,
            model=_single(values, MODEL_HEADER),
            prompt=_prompt(_single(values, PROMPT_HEADER)),
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            last_event_id=_single(values, EVENT_ID_HEADER),
            forwarded_headers=_forwarded(headers, values),
        )


def backend_headers(
    call: Call, server: BackendServer, seconds_left: float, last_event_id: str
) -> list[tuple[str, str]]:
    """Return the headers with which a backend server gets a call.

    :param seconds_left: time after which nobody waits for the answer.
    :param last_event_id: position at which a stream goes on; empty for its start.
    """
    resumed = EVENT_ID_HEADER.lower()
    headers = [item for item in call.headers if item[0].lower() != resumed]
    headers.append((DEADLINE_HEADER, str(max(1, int(seconds_left * 1000)))))
    headers.append((EXPECTED_SERVER_HEADER, server.server_id))
    if call.customer is not None:
        headers.append((TENANT_HEADER, call.customer))
    if call.prompt_tokens:
        headers.append((PRIORITY_HEADER, str(min(call.priority, LEAST_URGENT))))
    if last_event_id:
        headers.append((EVENT_ID_HEADER, last_event_id))
    return headers


def _single(values: dict[str, list[str]], name: str) -> str:
    found = values.get(name.lower(), [])
    if len(found) > 1:
        raise RequestError(f"{name} is given {len(found)} times", step=STEP)
    return found[0].strip() if found else ""


def _number(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError as error:
        raise RequestError(f"{name} is no number: {value!r}", step=STEP) from error
    if not 0 <= number < 1e9:
        raise RequestError(f"{name} is out of range: {value!r}", step=STEP)
    return number


def _token_counts(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    counts = [int(_number(TOKENS_HEADER, part)) for part in value.split(",")]
    if len(counts) != 2:
        raise RequestError(f"{TOKENS_HEADER} is malformed: {value!r}", step=STEP)
    return counts[0], counts[1]


def _prompt(value: str) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(PromptPart(PartId(part_id), int(_number(PROMPT_HEADER, tokens))))
    return tuple(parts)


def _forwarded(
    headers: list[tuple[str, str]], values: dict[str, list[str]]
) -> list[tuple[str, str]]:
    named = {
        token.strip().lower()
        for value in values.get("connection", ())
        for token in value.split(",")
    }
    dropped = CONNECTION_HEADERS | RESERVED_HEADERS | named
    # What the fleet reads can't be dropped by naming it as a connection header.
    kept = {name.lower() for name in (ATTEMPT_HEADER, MODEL_HEADER)}
    kept |= {name.lower() for name in (TOKENS_HEADER, PROMPT_HEADER, EVENT_ID_HEADER)}
    return [
        (name, value)
        for name, value in headers
        if name.lower() in kept or name.lower() not in dropped
    ]
