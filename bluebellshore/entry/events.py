"""Splits an event stream of a backend server into whole events."""

import re

import msgspec

__all__ = ["Event", "EventSplitter"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\r?$", re.MULTILINE)


class Event(msgspec.Struct, frozen=True):
    """One whole event with its end mark.

    :param number: its id; None when it has none or one that is no number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Collects bytes and returns the events that they complete."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole yet."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes. :return: the events that they complete."""
        self._rest += data
        events = []
        start = 0
        for end in _END.finditer(self._rest):
            events.append(_event(self._rest[start : end.end()]))
            start = end.end()
        self._rest = self._rest[start:]
        return events


def _event(data: bytes) -> Event:
    found = _ID.search(data)
    return Event(data, int(found[1]) if found else None)
