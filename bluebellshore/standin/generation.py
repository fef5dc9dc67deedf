"""Deterministic answers of the model engine stand-in."""

from typing import Any

import msgspec
import xxhash

__all__ = [
    "ChatRequest",
    "Message",
    "Usage",
    "count_tokens",
    "expected_text",
    "expected_tokens",
    "prompt_blocks",
    "prompt_text",
]

BYTES_PER_TOKEN = 4
BLOCK_BYTES = 64
NATURAL_LENGTH_MIN = 16
NATURAL_LENGTH_SPREAD = 113


class Message(msgspec.Struct):
    """A chat message; `content` is text or a list of OpenAI content parts."""

    role: str
    content: str | list[dict[str, Any]] = ""


class ChatRequest(msgspec.Struct):
    """Body of ``POST /v1/chat/completions``; further fields are ignored.

    :param max_tokens: length of the answer, or its bound when `ignore_eos` is false.
    :param ignore_eos: go on up to `max_tokens` even where the answer would end.
    :param resume_text: text of the answer so far; the response goes on after it.
    """

    model: str
    messages: list[Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    ignore_eos: bool = True
    seed: int | None = None
    resume_text: str = ""

    @property
    def length_limit(self) -> int | None:
        """Return the bound of the answer in tokens."""
        if self.max_tokens is not None:
            return self.max_tokens
        return self.max_completion_tokens


class Usage(msgspec.Struct):
    """Tokens that one execution used.

    :param completion_tokens: tokens of this response; a resumed one counts its own.
    """

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


def expected_text(body: bytes | ChatRequest) -> str:
    """Return the whole text that answers `body`, whatever it resumes from."""
    return "".join(expected_tokens(body))


def expected_tokens(body: bytes | ChatRequest) -> list[str]:
    """Return the tokens that answer `body`, whatever it resumes from."""
    request = body
    if not isinstance(request, ChatRequest):
        request = msgspec.json.decode(body, type=ChatRequest)
    digest = _digest(request)
    length = _length(request, int(digest, 16))
    return [_token(digest, position) for position in range(length)]


def prompt_text(request: ChatRequest) -> str:
    """Return the text of all messages."""
    return "\n".join(
        f"{message.role}: {_content_text(message)}" for message in request.messages
    )


def count_tokens(request: ChatRequest) -> int:
    """Return the tokens of the prompt."""
    return sum(
        -(-len(_content_text(message).encode()) // BYTES_PER_TOKEN)
        for message in request.messages
    )


def prompt_blocks(request: ChatRequest) -> list[str]:
    """Return the hashes of the prompt's prefixes, one for each whole block."""
    data = prompt_text(request).encode()
    running = xxhash.xxh3_64(request.model.encode())
    hashes = []
    for start in range(0, len(data) - BLOCK_BYTES + 1, BLOCK_BYTES):
        running.update(data[start : start + BLOCK_BYTES])
        hashes.append(running.hexdigest())
    return hashes


def _content_text(message: Message) -> str:
    if isinstance(message.content, str):
        return message.content
    return "".join(str(part.get("text", "")) for part in message.content)


def _digest(request: ChatRequest) -> str:
    content = [request.model, request.messages, request.seed]
    return xxhash.xxh3_64_hexdigest(msgspec.json.encode(content, order="sorted"))


def _length(request: ChatRequest, digest: int) -> int:
    natural = NATURAL_LENGTH_MIN + digest % NATURAL_LENGTH_SPREAD
    limit = request.length_limit
    if limit is None:
        return natural
    return limit if request.ignore_eos else min(natural, limit)


def _token(digest: str, position: int) -> str:
    word = xxhash.xxh32_hexdigest(f"{digest}.{position}".encode())[:5]
    return word if position == 0 else f" {word}"
