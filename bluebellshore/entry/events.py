"""Splits a server-sent event stream into complete events."""

import re

import msgspec

__all__ = ["Event", "EventSplitter"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """One complete event.

    :param data: bytes of the event with the blank line that ends it.
    :param number: the event's id; None when there is none or it is not a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Buffers bytes of a stream and returns the events that they complete."""

    def __init__(self) -> None:
        self._incomplete = b""

    @property
    def incomplete(self) -> bytes:
        """Bytes received of an event whose end has not come yet."""
        return self._incomplete

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes of the stream. :return: the events that they complete."""
        self._incomplete += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._incomplete):
            events.append(_parse_event(self._incomplete[start : end.end()]))
            start = end.end()
        self._incomplete = self._incomplete[start:]
        return events


def _parse_event(data: bytes) -> Event:
    match = _ID_LINE.search(data)
    return Event(data, int(match[1]) if match else None)
