"""Splits a server-sent event stream into complete events."""

import re

import msgspec

__all__ = ["Event", "EventSplitter"]

#: Longest event; a server that sends more without an end is at fault.
MAX_EVENT_BYTES = 256 * 1024
MAX_EVENT_END_BYTES = len(b"\r\n\r\n")
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)
_FIELD_LINE = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_MALFORMED_LINE = re.compile(rb"^(?![\w-]*(:|\r?$))", re.MULTILINE | re.ASCII)


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    :param data: bytes of the event with the blank line that ends it.
    :param number: the event's id; None when there is none or it is not a number.
    :param has_fields: whether it has other lines than comments and blank ones.
    :param malformed: whether some line is neither a field nor a comment, as in the head
        of an answer or in the text of an error.
    """

    data: bytes
    number: int | None
    has_fields: bool = True
    malformed: bool = False


class EventSplitter:
    """Buffers bytes of a stream and returns the events that they complete."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes received of an event whose end has not come yet."""
        return self._incomplete

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes of the stream.

        :return: the events that they complete.
        :raises ValueError: an event has no end within `MAX_EVENT_BYTES`.
        """
        # An end that began in the bytes before is found again, nothing else is.
        searched = max(0, len(self._incomplete) - MAX_EVENT_END_BYTES)
        self._incomplete += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._incomplete, searched):
            events.append(_parse_event(self._incomplete[start : end.end()]))
            start = end.end()
        self._incomplete = self._incomplete[start:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise ValueError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        return events


def _parse_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    number = int(match[1]) if match else None
    has_fields = _FIELD_LINE.search(data) is not None
    return Event(data, number, has_fields, _MALFORMED_LINE.search(data) is not None)
