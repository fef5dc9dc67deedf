"""Parse the server-sent events of model engines and add event ids to them.

An event id has the form ``<offset>-<lineage>``. A caller that sends it back in
``Last-Event-ID`` resumes the answer at that byte offset.
"""

import re

import msgspec
import xxhash

from bluebellshore.decoding import decode_json

__all__ = [
    "EVENT_ID_BYTES",
    "EventStreamParser",
    "StreamPosition",
    "Usage",
    "add_event_id",
    "add_completion_tokens",
    "lineage_of",
    "parse_event_id",
]

_EVENT_END = b"\n\n"
_END_MARK = b"data: [DONE]"
_OFFSET_DIGITS = 12
LINEAGE_HEX_DIGITS = 8
#: Length of the ``id:`` line that :func:`add_event_id` puts before an event.
EVENT_ID_BYTES = len("id: ") + _OFFSET_DIGITS + len("-") + LINEAGE_HEX_DIGITS + 1
_EVENT_ID = re.compile(
    rf"([0-9]{{1,{_OFFSET_DIGITS}}})-([0-9a-f]{{{LINEAGE_HEX_DIGITS}}})"
)


class Usage(msgspec.Struct):
    """Token counts of a request as the engine reports them."""

    prompt_tokens: int = 0
    completion_tokens: int = 0

    @property
    def total(self) -> int:
        """Return the number of tokens to bill."""
        return self.prompt_tokens + self.completion_tokens


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Event(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)
    usage: Usage | None = None


class StreamPosition(msgspec.Struct, frozen=True):
    """The position in an answer at which a caller resumes it.

    :param offset: byte offset at which the next event begins.
    :param lineage: identifier that tells apart answers to the same request; an
        attempt that resumes an answer keeps its lineage.
    """

    offset: int
    lineage: str


def lineage_of(attempt: str) -> str:
    """Return the lineage of a new answer, derived from the id of its first attempt."""
    return xxhash.xxh32_hexdigest(attempt.encode())


def add_event_id(event: bytes, offset: int, lineage: str) -> bytes:
    """Return `event` with an ``id:`` line that names where the next event begins.

    The ``id:`` line counts as part of the answer, so offsets include it.

    :param offset: byte offset of `event` in the answer.
    """
    next_offset = offset + len(event) + EVENT_ID_BYTES
    return b"id: %0*d-%b\n%b" % (_OFFSET_DIGITS, next_offset, lineage.encode(), event)


def parse_event_id(event_id: str) -> StreamPosition | None:
    """Return the position that an event id names.

    :return: None when the id does not have the form of :func:`add_event_id`.
    """
    match = _EVENT_ID.fullmatch(event_id)
    return StreamPosition(int(match[1]), match[2]) if match else None


def add_completion_tokens(event: bytes, tokens: int) -> bytes:
    """Return `event` with `tokens` added to the completion tokens it reports.

    A resumed answer then reports the tokens of the earlier attempts, too. An event
    without a valid usage object is returned unchanged.
    """
    try:
        decoded = decode_json(event.partition(b"data:")[2], object)
        usage = decoded["usage"]
        usage["completion_tokens"] += tokens
        if "total_tokens" in usage:
            usage["total_tokens"] += tokens
    except (msgspec.MsgspecError, KeyError, TypeError):
        return event
    return b"data: " + msgspec.json.encode(decoded) + _EVENT_END


class EventStreamParser:
    """An incremental parser of an engine's event stream.

    :param keep_text: whether :attr:`text` collects the content.
    :ivar usage: the usage that the engine reported, None before it does.
    :ivar content_event_count: number of content deltas received; each counts as
        one token where the engine reports no usage.
    :ivar done: whether the end mark ``data: [DONE]`` was received.
    """

    def __init__(self, *, keep_text: bool = False) -> None:
        self._keep_text = keep_text
        self.usage: Usage | None = None
        self.content_event_count = 0
        self.done = False
        self._text: list[str] = []
        self._incomplete_event = b""

    @property
    def text(self) -> str:
        """Return the content received so far; empty without `keep_text`."""
        return "".join(self._text)

    def feed(self, data: bytes) -> list[bytes]:
        """Parse bytes from the engine. :return: the events that they complete."""
        parts = (self._incomplete_event + data).split(_EVENT_END)
        self._incomplete_event = parts.pop()
        events = [part + _EVENT_END for part in parts if part.strip()]
        for event in events:
            self._record_event(event)
        return events

    def _record_event(self, event: bytes) -> None:
        if event.startswith(_END_MARK):
            self.done = True
            return
        try:
            decoded = decode_json(event.partition(b"data:")[2], _Event)
        except msgspec.MsgspecError:
            return
        if decoded.usage is not None:
            self.usage = decoded.usage
        for choice in decoded.choices:
            if choice.delta.content:
                self.content_event_count += 1
                if self._keep_text:
                    self._text.append(choice.delta.content)
