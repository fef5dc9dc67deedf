"""Readers of answers: streams of links, and the data to be sent on them."""

import asyncio

from bluebellshore.sidecar.answers import Answer, AnswerStore, Reader
from bluebellshore.wire import link_pb2 as pb
from bluebellshore.wire.sidecar_link import SidecarLink

__all__ = ["ReaderRegistry"]

MAX_FRAME_DATA_BYTES = 1024 * 1024


class ReaderRegistry:
    """Readers of answers by link and stream.

    It is true in a boolean context when any stream has a reader.

    :param store: is called when sent data no longer has to be buffered.
    """

    def __init__(self, store: AnswerStore):
        self._store = store
        self._readers_by_link: dict[SidecarLink, dict[int, Reader]] = {}
        self._due_by_link: dict[SidecarLink, dict[int, Reader]] = {}

    def __bool__(self) -> bool:
        return any(self._readers_by_link.values())

    def open_link(self, link: SidecarLink) -> None:
        """Register a link."""
        self._readers_by_link[link] = {}
        self._due_by_link[link] = {}

    def close_link(self, link: SidecarLink) -> None:
        """Remove a link and detach its readers; their answers continue."""
        for reader in self._readers_by_link.pop(link, {}).values():
            _detach(reader)
        self._due_by_link.pop(link, None)

    def find(self, link: SidecarLink, stream: int) -> Reader | None:
        """Return the reader of a stream, or None."""
        return self._readers_by_link[link].get(stream)

    def attach(
        self, link: SidecarLink, answer: Answer, stream: int, offset: int, window: int
    ) -> Reader:
        """Attach `stream` as a reader of `answer`, in place of any earlier reader.

        :param offset: first byte to send.
        :param window: maximum number of bytes sent ahead of the caller; 0 for no
            limit.
        """
        self.detach(link, stream)
        reader = Reader(answer, link, stream, offset, window)
        answer.readers.append(reader)
        answer.orphaned_at = None
        self._readers_by_link[link][stream] = reader
        self.mark_due(reader)
        return reader

    def detach(self, link: SidecarLink, stream: int) -> Reader | None:
        """Detach the reader of a stream. :return: the reader, or None."""
        reader = self._readers_by_link[link].pop(stream, None)
        self._due_by_link[link].pop(stream, None)
        if reader is not None:
            _detach(reader)
        return reader

    def mark_due(self, reader: Reader) -> None:
        """Schedule `reader` for sending if it has data due or its answer has ended."""
        if reader.sendable_bytes() or reader.answer.end is not None:
            self._due_by_link[reader.link][reader.stream] = reader
            reader.link.outbox.notify()

    def fill_frame(self, link: SidecarLink, frame: pb.SidecarFrame) -> None:
        """Add the data due on the streams of `link` to `frame`.

        Data beyond :data:`MAX_FRAME_DATA_BYTES` is left for the next frame.
        """
        due = self._due_by_link.get(link, {})
        max_bytes = MAX_FRAME_DATA_BYTES
        for stream, reader in list(due.items()):
            if max_bytes <= 0:
                link.outbox.notify()
                return
            max_bytes -= self._fill_chunk(reader, frame, max_bytes)
            if reader.sendable_bytes() == 0:
                due.pop(stream, None)
                self._fill_end(reader, frame)

    def _fill_chunk(
        self, reader: Reader, frame: pb.SidecarFrame, max_bytes: int
    ) -> int:
        size = min(reader.sendable_bytes(), max_bytes)
        if not size:
            return 0
        answer = reader.answer
        chunk = frame.chunks.add(
            stream=reader.stream,
            offset=reader.next_offset,
            data=answer.read(reader.next_offset, size),
        )
        if not reader.header_sent:
            chunk.status = answer.status
            chunk.headers.extend(answer.headers)
            reader.header_sent = True
        reader.record_sent(size)
        self._store.release_consumed(answer)
        return size

    def _fill_end(self, reader: Reader, frame: pb.SidecarFrame) -> None:
        answer = reader.answer
        if answer.end is None or reader.next_offset < answer.length:
            return
        end = frame.ends.add()
        end.CopyFrom(answer.end)
        end.stream = reader.stream
        self.detach(reader.link, reader.stream)


def _detach(reader: Reader) -> None:
    answer = reader.answer
    if reader in answer.readers:
        answer.readers.remove(reader)
    if not answer.readers:
        answer.orphaned_at = asyncio.get_running_loop().time()
