"""Decodes headers of callers' requests and builds those for backend servers."""

import math
from collections.abc import Iterable, Mapping
from http import HTTPStatus

import msgspec

from bluebellshore.backend import AnswerHeaders, Backpressure
from bluebellshore.errors import RequestError
from bluebellshore.fleet import BackendServer, Call, PromptPart
from bluebellshore.ids import PartId
from bluebellshore.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EVENT_ID_HEADER,
    EXPECTED_SERVER_HEADER,
    KEY_HEADER,
    LEAVING_HEADER,
    MODEL_HEADER,
    NOT_RUN_HEADER,
    PRIORITY_HEADER,
    PROMPT_HEADER,
    RATE_LIMIT_HEADER,
    RESERVED_HEADERS,
    SIGNATURE_HEADER,
    TENANT_HEADER,
    TOKENS_HEADER,
)

__all__ = [
    "ANSWER_HEADERS",
    "RequestHead",
    "attempt_id_of",
    "backend_headers",
    "read_backpressure",
]

STEP = "request.decode"
#: Headers, in lower case, that are not forwarded since they concern one connection or
#: the framing of one message.
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
#: Least urgent priority that backend servers know.
LOWEST_PRIORITY = 9
#: Longest attempt id in the log; callers' ids have 16 characters.
MAX_LOGGED_ID_CHARACTERS = 128


ANSWER_HEADERS = AnswerHeaders(ATTEMPT_HEADER, NOT_RUN_HEADER, SIGNATURE_HEADER)


def attempt_id_of(headers: Mapping[str, str]) -> str:
    """Return the attempt id of a request for the log, cut to a bounded length.

    :param headers: case-insensitive mapping, not validated.
    """
    return headers.get(ATTEMPT_HEADER, "")[:MAX_LOGGED_ID_CHARACTERS]


class RequestHead(msgspec.Struct):
    """Decoded headers of a caller's request.

    :param api_keys: the values of every API key header; usually one.
    :param deadline_seconds: time that the caller waits; None if not stated.
    :param model: model to use; empty if not stated.
    :param prompt: parts of the prompt with their tokens.
    :param last_event_id: id of the last event of a stream that the caller has.
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

        :raises RequestError: the attempt id is missing, or a header that routers read
            is malformed.
        """
        headers = list(headers)
        values: dict[str, list[str]] = {}
        for name, value in headers:
            values.setdefault(name.lower(), []).append(value)
        attempt_id = _single_value(values, ATTEMPT_HEADER)
        if not attempt_id:
            raise RequestError(f"no {ATTEMPT_HEADER}", step=STEP)
        deadline = _single_value(values, DEADLINE_HEADER)
        prompt_tokens, output_tokens = _parse_token_counts(
            _single_value(values, TOKENS_HEADER)
        )
        return cls(
            attempt_id=attempt_id,
            api_keys=values.get(KEY_HEADER.lower(), []),
            deadline_seconds=_parse_number(DEADLINE_HEADER, deadline) / 1000
            if deadline
            else None,
            model=_single_value(values, MODEL_HEADER),
            prompt=_parse_prompt(_single_value(values, PROMPT_HEADER)),
            prompt_tokens=prompt_tokens,
            max_output_tokens=output_tokens,
            last_event_id=_single_value(values, EVENT_ID_HEADER),
            forwarded_headers=_forwarded_headers(headers, values),
        )


def backend_headers(
    call: Call, server: BackendServer, seconds_left: float, last_event_id: str
) -> list[tuple[str, str]]:
    """Return the headers of a request to a backend server.

    :param seconds_left: time for which the caller still waits for the answer.
    :param last_event_id: id of the event after which a stream is resumed; empty to
        start it.
    """
    event_id_header = EVENT_ID_HEADER.lower()
    headers = [item for item in call.headers if item[0].lower() != event_id_header]
    headers.append((DEADLINE_HEADER, str(max(1, int(seconds_left * 1000)))))
    headers.append((EXPECTED_SERVER_HEADER, server.server_id))
    if call.customer is not None:
        headers.append((TENANT_HEADER, call.customer))
    if call.prompt_tokens:
        headers.append((PRIORITY_HEADER, str(min(call.priority, LOWEST_PRIORITY))))
    if last_event_id:
        headers.append((EVENT_ID_HEADER, last_event_id))
    return headers


def read_backpressure(status: int, headers: Mapping[str, str]) -> Backpressure:
    """Return what a backend server's answer asks of its senders.

    :param headers: case-insensitive mapping, not validated. A value that is no number
        counts as absent.
    """
    return Backpressure(
        requests_per_second=_parse_decimal(headers.get(RATE_LIMIT_HEADER, "")),
        leaving=headers.get(LEAVING_HEADER, "").strip() == "1",
        pause_seconds=_parse_decimal(headers.get("Retry-After", "")) or 0.0
        if status == HTTPStatus.SERVICE_UNAVAILABLE
        else 0.0,
    )


def _parse_decimal(value: str) -> float | None:
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0 else None


def _single_value(values: dict[str, list[str]], name: str) -> str:
    found = values.get(name.lower(), [])
    if len(found) > 1:
        raise RequestError(f"{name} is given {len(found)} times", step=STEP)
    return found[0].strip() if found else ""


def _parse_number(name: str, value: str) -> float:
    try:
        number = float(value)
    except ValueError as error:
        raise RequestError(f"{name} is no number: {value!r}", step=STEP) from error
    if not 0 <= number < 1e9:
        raise RequestError(f"{name} is out of range: {value!r}", step=STEP)
    return number


def _parse_token_counts(value: str) -> tuple[int, int]:
    if not value:
        return 0, 0
    counts = [int(_parse_number(TOKENS_HEADER, part)) for part in value.split(",")]
    if len(counts) != 2:
        raise RequestError(f"{TOKENS_HEADER} is malformed: {value!r}", step=STEP)
    return counts[0], counts[1]


def _parse_prompt(value: str) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    parts = []
    for entry in value.split(","):
        part_id, _, tokens = entry.strip().partition(":")
        parts.append(
            PromptPart(PartId(part_id), int(_parse_number(PROMPT_HEADER, tokens)))
        )
    return tuple(parts)


def _forwarded_headers(
    headers: list[tuple[str, str]], values: dict[str, list[str]]
) -> list[tuple[str, str]]:
    connection_options = {
        token.strip().lower()
        for value in values.get("connection", ())
        for token in value.split(",")
    }
    dropped = CONNECTION_HEADERS | RESERVED_HEADERS | connection_options
    # A caller can't suppress these by listing them in its Connection header.
    always_forwarded = {name.lower() for name in (ATTEMPT_HEADER, MODEL_HEADER)}
    always_forwarded |= {
        name.lower() for name in (TOKENS_HEADER, PROMPT_HEADER, EVENT_ID_HEADER)
    }
    return [
        (name, value)
        for name, value in headers
        if name.lower() in always_forwarded or name.lower() not in dropped
    ]
