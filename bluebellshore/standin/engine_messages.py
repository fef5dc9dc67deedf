"""Messages of the model engine stand-in's HTTP interface."""

import time

import msgspec

from bluebellshore.standin.engine_core import Execution, FinishReason
from bluebellshore.standin.generation import Message, Usage, count_tokens
from bluebellshore.standin.prefix_cache import CacheEvent

__all__ = [
    "CancelAnswer",
    "CancelRequest",
    "Choice",
    "Completion",
    "Delta",
    "ErrorAnswer",
    "ErrorDetail",
    "EventsAnswer",
    "ResponseEncoder",
    "TokenizeAnswer",
    "TokenizeRequest",
]

DONE = b"data: [DONE]\n\n"


class Delta(msgspec.Struct, omit_defaults=True):
    """Piece of an answer."""

    role: str = ""
    content: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """The only choice of a response: `delta` in a stream, else `message`."""

    index: int
    delta: Delta | None = None
    message: Message | None = None
    finish_reason: FinishReason | None = None


class Completion(msgspec.Struct, omit_defaults=True):
    """Response, or one chunk of a stream."""

    id: str
    object: str
    created: int
    model: str
    system_fingerprint: str
    choices: list[Choice]
    usage: Usage | None = None


class TokenizeRequest(msgspec.Struct):
    """Body of ``POST /v1/tokenize``."""

    messages: list[Message]
    model: str = ""


class TokenizeAnswer(msgspec.Struct):
    """Number of tokens of the prompt."""

    count: int


class CancelRequest(msgspec.Struct):
    """Body of ``POST /v1/cancel``: an ``x-attempt`` or the id of a response."""

    id: str


class CancelAnswer(msgspec.Struct):
    """Whether a request with that id was held."""

    cancelled: bool


class EventsAnswer(msgspec.Struct):
    """Events of the prefix cache."""

    events: list[CacheEvent]


class ErrorDetail(msgspec.Struct):
    """Reason of an error."""

    message: str


class ErrorAnswer(msgspec.Struct):
    """Error in OpenAI's form."""

    error: ErrorDetail


class ResponseEncoder:
    """Encodes one execution's response.

    :param version: version of the engine, shown as ``system_fingerprint``.
    """

    def __init__(self, execution: Execution, version: str):
        self._execution = execution
        self._created = int(time.time())
        self._version = version

    def chunk(self, choice: Choice) -> bytes:
        """Return a chunk of a stream."""
        return _event(self._completion("chat.completion.chunk", [choice]))

    def ending(self, reason: FinishReason) -> bytes:
        """Return the end of a stream: why it ends, the usage and the end mark."""
        last = self.chunk(Choice(0, delta=Delta(), finish_reason=reason))
        completion = self._completion("chat.completion.chunk", [])
        completion.usage = self._usage()
        return last + _event(completion) + DONE

    def whole(self, text: str, reason: FinishReason) -> bytes:
        """Return a response that is no stream."""
        message = Message("assistant", text)
        choice = Choice(0, message=message, finish_reason=reason)
        completion = self._completion("chat.completion", [choice])
        completion.usage = self._usage()
        return msgspec.json.encode(completion)

    def _completion(self, kind: str, choices: list[Choice]) -> Completion:
        execution = self._execution
        return Completion(
            id=execution.response_id,
            object=kind,
            created=self._created,
            model=execution.chat.model,
            system_fingerprint=self._version,
            choices=choices,
        )

    def _usage(self) -> Usage:
        prompt = count_tokens(self._execution.chat)
        completion = self._execution.emitted
        return Usage(prompt, completion, prompt + completion)


def _event(message: Completion) -> bytes:
    return b"data: " + msgspec.json.encode(message) + b"\n\n"
