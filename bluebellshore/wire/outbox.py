"""Batching of outgoing messages of a link into frames."""

import asyncio
from collections.abc import Iterator
from typing import Generic, TypeVar

from bluebellshore.wire import link_pb2 as pb

__all__ = ["MAX_FRAME_BYTES", "Outbox", "split_frame"]

MAX_FRAME_BYTES = 8 * 1024 * 1024
#: Bytes of requests above which a frame is split. A single larger request is sent in
#: a frame of its own.
MAX_FRAME_REQUEST_BYTES = 2 * 1024 * 1024

Frame = TypeVar("Frame")


def split_frame(frame: pb.RouterFrame) -> Iterator[pb.RouterFrame]:
    """Split `frame` into parts within the size that gRPC accepts.

    Requests come first and keep their order. `frame` is modified.
    """
    part = pb.RouterFrame()
    size = 0
    for start in frame.starts:
        length = start.ByteSize()
        if part.starts and size + length > MAX_FRAME_REQUEST_BYTES:
            yield part
            part = pb.RouterFrame()
            size = 0
        part.starts.append(start)
        size += length
    del frame.starts[:]
    if size + frame.ByteSize() > MAX_FRAME_BYTES // 2:
        yield part
        part = pb.RouterFrame()
    part.MergeFrom(frame)
    yield part


class Outbox(Generic[Frame]):
    """Holder of a link's next outgoing frame.

    Senders add messages to ``frame`` and call :meth:`notify`; the link's writer takes
    the frame. The first message after a pause is sent at once; messages that follow
    within `pack_seconds` share a frame.

    :param frame_type: protobuf class of the frames.
    :param pack_seconds: minimum time between two frames.
    :ivar frame: frame that will be sent next.
    """

    def __init__(self, frame_type: type[Frame], pack_seconds: float = 0.0):
        self._frame_type = frame_type
        self._pack_seconds = pack_seconds
        self._due = asyncio.Event()
        self._last_sent = 0.0
        self.frame = frame_type()

    def notify(self) -> None:
        """Wake the writer, because ``frame`` has something to send."""
        self._due.set()

    async def take(self) -> Frame:
        """Wait until a frame is due. :return: the frame to send."""
        await self._due.wait()
        loop = asyncio.get_running_loop()
        wait = self._last_sent + self._pack_seconds - loop.time()
        if wait > 0:
            await asyncio.sleep(wait)
        self._due.clear()
        self._last_sent = loop.time()
        frame, self.frame = self.frame, self._frame_type()
        return frame
