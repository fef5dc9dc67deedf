"""One connection through the fault proxy."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

from bluebellshore.standin.proxy_faults import DirectionFaults, ProxyStats, Swallow

__all__ = ["ProxyConnection", "reset_on_close"]

READ_BYTES = 16 * 1024
#: Bounds what a direction holds to 16 reads.
QUEUED_READS = 16
THROTTLE_STEP_SECONDS = 0.02
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Piece(NamedTuple):
    """Data on its way, not to be sent before `due`; empty for the end."""

    due: float
    data: bytes


class Pump:
    """Carries data in one direction, from `source` to `sink`.

    :param passed: called with the number of bytes sent.
    """

    def __init__(
        self,
        source: socket.socket,
        sink: socket.socket,
        faults: DirectionFaults,
        stats: ProxyStats,
        passed: Callable[[int], None],
    ):
        self._loop = asyncio.get_running_loop()
        self._source = source
        self._sink = sink
        self._faults = faults
        self._stats = stats
        self._passed = passed
        self._pieces: asyncio.Queue[Piece] = asyncio.Queue(QUEUED_READS)
        self.silent = faults.swallow is Swallow.ALL
        #: True once the two ends may disagree, so that no end is passed on.
        self.detached = self.silent

    def silence(self) -> None:
        """Discard what is held and all that comes, for good."""
        self.silent = True
        while not self._pieces.empty():
            self._swallow(self._pieces.get_nowait().data)

    async def read(self) -> None:
        """Read until the source ends."""
        data = b"more"
        while data:
            data = await self._receive()
            if self.silent:
                self._swallow(data)
            if data and not self.silent:
                due = self._loop.time() + self._faults.delay_seconds
                await self._pieces.put(Piece(due, data))
        due = self._loop.time() + self._faults.delay_seconds
        await self._pieces.put(Piece(due, b""))

    async def write(self) -> None:
        """Write until the end of what was read.

        :raises ConnectionError: the sink broke and its end is to be passed on.
        """
        while True:
            piece = await self._pieces.get()
            await asyncio.sleep(max(piece.due - self._loop.time(), 0))
            await self._faults.passing.wait()
            if not piece.data:
                break
            await self._send(piece.data)
        if not self.detached:
            _end(self._sink, socket.SHUT_WR)

    async def _receive(self) -> bytes:
        try:
            return await self._loop.sock_recv(self._source, READ_BYTES)
        except OSError:
            if self.detached:
                return b""
            raise

    async def _send(self, data: bytes) -> None:
        try:
            for part in self._parts(data):
                if self.silent:
                    self._swallow(part)
                    continue
                await self._loop.sock_sendall(self._sink, part)
                self._passed(len(part))
                if rate := self._faults.bytes_per_second:
                    await asyncio.sleep(len(part) / rate)
        except OSError:
            if not self.detached:
                raise
            self.silence()

    def _parts(self, data: bytes) -> list[bytes]:
        rate = self._faults.bytes_per_second
        size = max(int(rate * THROTTLE_STEP_SECONDS), 1) if rate else len(data)
        return [data[start : start + size] for start in range(0, len(data), size)]

    def _swallow(self, data: bytes) -> None:
        self._stats.swallowed_bytes += len(data)


class ProxyConnection:
    """A client's connection and the one to the upstream."""

    def __init__(
        self,
        client: socket.socket,
        upstream: socket.socket,
        up: DirectionFaults,
        down: DirectionFaults,
        stats: ProxyStats,
    ):
        self._client = client
        self._upstream = upstream
        self._stats = stats
        self._up = Pump(client, upstream, up, stats, self._count_up)
        self._down = Pump(upstream, client, down, stats, self._count_down)
        self._cut = asyncio.Event()
        if self._up.silent or self._down.silent:
            self._detach()

    async def run(self) -> None:
        """Carry data until both directions have ended or one has failed."""
        pumps = (self._up, self._down)
        tasks = [asyncio.create_task(pump.read()) for pump in pumps]
        tasks += [asyncio.create_task(pump.write()) for pump in pumps]
        carried = asyncio.gather(*tasks)
        cut = asyncio.create_task(self._cut.wait())
        failed = True
        try:
            await asyncio.wait([carried, cut], return_when=asyncio.FIRST_COMPLETED)
            failed = self._cut.is_set() or carried.exception() is not None
        finally:
            ending = [*tasks, cut]
            for task in ending:
                task.cancel()
            await asyncio.gather(*ending, carried, return_exceptions=True)
            self._close(reset=failed)

    def cut(self) -> None:
        """Reset both ends."""
        self._cut.set()

    def silence(self, *, up: bool, down: bool) -> None:
        """Go silent for good in the named directions."""
        self._detach()
        if up:
            self._up.silence()
        if down:
            self._down.silence()

    def half_open(self) -> None:
        """End the upstream's side and leave the client's silent."""
        self.silence(up=True, down=True)
        _end(self._upstream, socket.SHUT_RDWR)

    def _detach(self) -> None:
        self._up.detached = self._down.detached = True

    def _close(self, *, reset: bool) -> None:
        for end in (self._client, self._upstream):
            if reset:
                reset_on_close(end)
            end.close()

    def _count_up(self, count: int) -> None:
        self._stats.bytes_up += count

    def _count_down(self, count: int) -> None:
        self._stats.bytes_down += count


def reset_on_close(end: socket.socket) -> None:
    """Let `end` send a reset when it is closed."""
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _end(end: socket.socket, how: int) -> None:
    try:
        end.shutdown(how)
    except OSError:
        return
