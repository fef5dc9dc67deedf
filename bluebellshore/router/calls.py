"""Calls: parsed requests of callers, as the dispatcher takes them."""

import re
from dataclasses import dataclass
from functools import cached_property
from typing import Any

import msgspec
import xxhash

from bluebellshore.bundle.model import Route, Version
from bluebellshore.errors import RefusedError
from bluebellshore.ids import BudgetId, CustomerId, RequestKey, RouteName, Tokens

__all__ = [
    "Call",
    "ChatRequest",
    "parse_chat_request",
    "make_chat_call",
    "make_request_key",
]

CHAT_PATH = "/v1/chat/completions"
SERVICES_PATH = "/v1/services/"
#: HTTP methods without side effects; such calls of plain services may be repeated.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
MAX_KEY_LENGTH = 255
#: Prefix of request keys that a router generates; callers may not use it.
ROUTER_KEY_PREFIX = "~"
#: Leading bytes of the body by which the balancer keeps prefix-cache affinity.
AFFINITY_PREFIX_BYTES = 1024
_DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)
_KEY_PATTERN = re.compile(r"[\x21-\x7e]+")


@dataclass
class Call:
    """One request of a caller.

    :param budget: budget that pays for the call.
    :param weight: share of the customer in the sidecars' queues.
    :param key: request key, equal for a caller's retry with the same idempotency key.
    :param has_caller_key: whether the caller gave an idempotency key and may retry.
    :param idempotent: whether the request may run more than once.
    :param reserved_tokens: maximum cost of the call.
    :param price: tokens for a call of a plain service; 0 for models, which are billed
        by their usage.
    :param deadline: loop time in seconds by which the request must have started.
    :param stream: whether the caller wants an event stream.
    :param chat: decoded body of a chat request; None for plain services.
    :param offset: first byte of the answer that the caller wants.
    :param lineage: identifies the answer that `offset` refers to; empty for offset 0.
    """

    customer: CustomerId
    budget: BudgetId
    weight: int
    route_name: RouteName
    route: Route
    key: RequestKey
    has_caller_key: bool
    idempotent: bool
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    reserved_tokens: Tokens
    price: Tokens
    deadline: float
    stream: bool = False
    chat: "ChatRequest | None" = None
    offset: int = 0
    lineage: str = ""

    @cached_property
    def fingerprint(self) -> str:
        """Hash of the customer and the request, equal for a retry by the caller."""
        head = "\0".join((self.customer, self.route_name, self.method, self.path))
        return xxhash.xxh3_128_hexdigest(head.encode() + b"\0" + self.body)

    def body_for(self, version: Version, resume_text: str = "") -> bytes:
        """Return the body to send to a backend server of `version`."""
        if self.chat is None:
            return self.body
        return self.chat.body_for(version, resume_text)


class ChatRequest(msgspec.Struct):
    """Fields of a chat request that the fleet uses.

    :param raw: the whole decoded body, including all other fields.
    """

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None
    stream_options: dict[str, Any] | None = None
    raw: dict[str, Any] = msgspec.field(default_factory=dict)

    def output_bound(self, route: Route) -> int:
        """Return the maximum number of tokens of the answer."""
        requested_tokens = self.max_completion_tokens or self.max_tokens
        return requested_tokens or route.max_output_tokens

    def body_for(self, version: Version, resume_text: str) -> bytes:
        """Return the body for a model engine of `version`.

        :param resume_text: text of the answer so far, which the engine continues; empty
            for a new answer.
        """
        body = dict(self.raw)
        if version.model is not None:
            body["model"] = version.model
        if self.stream:
            options = dict(self.stream_options or {})
            body["stream_options"] = options | {"include_usage": True}
        if resume_text:
            body["resume_text"] = resume_text
        return msgspec.json.encode(body)


def parse_chat_request(body: bytes) -> ChatRequest:
    """Parse the body of a chat request.

    :raises RefusedError: the body is malformed (400).
    """
    try:
        raw = msgspec.json.decode(body)
        chat = msgspec.convert(raw, ChatRequest)
    except _DECODE_ERRORS as error:
        raise RefusedError(str(error), step="request.parse", status=400) from error
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(chat, name)
        if value is not None and value < 1:
            raise RefusedError(
                f"{name} must be positive - at `$.{name}`",
                step="request.parse",
                status=400,
            )
    if chat.n not in (None, 1):
        raise RefusedError(
            "only one choice is supported - at `$.n`", step="request.parse", status=400
        )
    if not chat.messages:
        raise RefusedError(
            "no messages - at `$.messages`", step="request.parse", status=400
        )
    chat.raw = raw
    return chat


def make_chat_call(call: Call, chat: ChatRequest) -> None:
    """Turn `call` into a chat call and set its maximum cost.

    The number of tokens of a prompt is at most its number of bytes.
    """
    bound = chat.output_bound(call.route)
    chat.raw.setdefault("max_tokens", bound)
    chat.raw["stream"] = chat.stream
    call.chat = chat
    call.stream = chat.stream
    call.path = CHAT_PATH
    call.headers["Content-Type"] = "application/json"
    call.price = Tokens(0)
    call.reserved_tokens = Tokens(len(call.body) + bound)


def make_request_key(customer: CustomerId, idempotency_key: str) -> RequestKey:
    """Return the request key for the idempotency key of a caller.

    :raises RefusedError: the idempotency key is not allowed (400).
    """
    allowed = (
        len(idempotency_key) <= MAX_KEY_LENGTH
        and _KEY_PATTERN.fullmatch(idempotency_key)
        and not idempotency_key.startswith(ROUTER_KEY_PREFIX)
    )
    if not allowed:
        raise RefusedError(
            f"Idempotency-Key must be 1 to {MAX_KEY_LENGTH} visible ASCII characters "
            f"and not begin with {ROUTER_KEY_PREFIX!r}",
            step="request.parse",
            status=400,
        )
    return RequestKey(f"{customer}/{idempotency_key}")
