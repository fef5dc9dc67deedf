"""Server-sent events as a caller reads them."""

from collections.abc import AsyncIterator, Iterator

import msgspec

__all__ = ["EventParser", "ServerEvent", "read_events"]


class ServerEvent(msgspec.Struct, frozen=True):
    """One server-sent event."""

    data: str
    event: str = ""
    event_id: str = ""


class EventParser:
    """Cuts a byte stream into events; an event without its end is not given."""

    def __init__(self):
        self._rest = b""

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """Take bytes of the stream and give the events that they complete."""
        *blocks, self._rest = (self._rest + data).split(b"\n\n")
        for block in blocks:
            event = _parse(block.decode())
            if event is not None:
                yield event


def _parse(block: str) -> ServerEvent | None:
    lines_by_field: dict[str, list[str]] = {}
    for line in block.splitlines():
        name, _, value = line.partition(":")
        lines_by_field.setdefault(name, []).append(value.removeprefix(" "))
    if "data" not in lines_by_field:
        return None
    return ServerEvent(
        data="\n".join(lines_by_field["data"]),
        event=lines_by_field.get("event", [""])[-1],
        event_id=lines_by_field.get("id", [""])[-1],
    )


async def read_events(chunks: AsyncIterator[bytes]) -> AsyncIterator[ServerEvent]:
    """Give the events of a stream of chunks."""
    parser = EventParser()
    async for chunk in chunks:
        for event in parser.feed(chunk):
            yield event
