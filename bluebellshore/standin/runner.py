"""Stand-in for a backend server of the users' platform."""

import asyncio
import hashlib
import itertools
import random
import socket
import struct
import time
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

import msgspec
from aiohttp import web

from bluebellshore.standin.runner_entries import RunnerEntries
from bluebellshore.standin.server import HttpServer

__all__ = [
    "Arrival",
    "RunnerFault",
    "RunnerSettings",
    "StandinRunner",
    "any_fault",
    "event_of",
    "plain_answer_of",
]

ATTEMPT = "X-Attempt-Id"
NOT_RUN = {"X-Not-Executed": "1"}
DEADLINE_SECONDS = 60.0
#: What a cold runner tolerates in a second beyond its rate.
COLD_OVERSHOOT, COLD_TOLERANCE = 1.5, 5
POLL_SECONDS = 0.01
GARBAGE = b"\x00\x01no answer\r\n\r\n"


class RunnerFault(Enum):
    """How the answer of one run goes wrong."""

    #: The run ends, then the connection is reset.
    LOST = "lost"
    #: Bytes that are no answer.
    GARBLED = "garbled"
    #: The body ends before its announced length, or within an event.
    BROKEN = "broken"
    #: Bytes follow a whole answer.
    EXTRA = "extra"
    #: Status 500.
    FAILED = "failed"
    #: The connection stays open and nothing is answered.
    SILENT = "silent"


class RunnerSettings(msgspec.Struct):
    """Settings of a stand-in backend server.

    :param queued: requests that wait beyond the slots.
    :param streaming: whether answers are event streams.
    :param events: events of a stream.
    :param seconds: time of a run, or between events.
    :param cold_requests_per_second: rate above which it crashes while it is cold, by
        the platform's rule; 0 for any.
    """

    service: str
    zone: str = "zone-a"
    version: str = "1"
    slots: int = 4
    queued: int = 2
    streaming: bool = False
    events: int = 5
    seconds: float = 0.01
    cold_requests_per_second: float = 0.0


class Arrival(msgspec.Struct):
    """A request that arrived here.

    :param outcome: ``running``, ``done``, ``left`` when its caller left, a fault, or
        why it was not run.
    """

    attempt_id: str
    runner_id: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    at: float
    ran: bool = False
    outcome: str = ""
    ended_at: float = 0.0


def plain_answer_of(attempt_id: str, body: bytes) -> bytes:
    """Return the body with which any runner answers a request."""
    digest = hashlib.blake2b(body, digest_size=16).hexdigest()
    return f"{attempt_id} {digest}\n".encode()


def event_of(attempt_id: str, number: int) -> bytes:
    """Return an event of a stream, the same at any runner."""
    return f"id: {number}\ndata: {attempt_id} part {number}\n\n".encode()


_births = itertools.count(int(time.time() * 1000))


class StandinRunner:
    """Runs requests as the platform's backend servers do, and counts each run.

    :ivar arrivals: all requests that arrived, refused ones as well.
    :ivar faults: faults of the next runs, one each.
    :ivar gate: runs do not end while it is clear.
    :ivar says_it_leaves: whether all its answers say so, whatever its entry says.
    :ivar pause_seconds: turns all requests away, and asks for a pause of so long; None
        to run them.
    :ivar requests_per_second: rate that its answers name for all routers together;
        None for no limit. It refuses nothing because of it.
    :ivar cold_until: monotonic seconds until which it is cold.
    :ivar crashed_cold_at: monotonic seconds at which it crashed because it got too much
        while it was cold; None if it has not.
    """

    def __init__(
        self,
        runner_id: str,
        settings: RunnerSettings,
        entries: RunnerEntries,
        *,
        listen: str = "127.0.0.1:0",
        advertise: Callable[[str], str] = lambda address: address,
    ):
        self.runner_id = runner_id
        self.settings = settings
        self.arrivals: list[Arrival] = []
        self.faults: deque[RunnerFault] = deque()
        self.draw_fault: Callable[[], RunnerFault | None] = lambda: None
        self.gate = asyncio.Event()
        self.gate.set()
        self.requests_per_second: float | None = None
        self.says_it_leaves = False
        self.pause_seconds: float | None = None
        self.cold_until = 0.0
        self.crashed_cold_at: float | None = None
        self._cold_arrivals: deque[float] = deque()
        self.state = "ready"
        #: Whether heartbeats reach the store.
        self.heard = True
        self._entries = entries
        self._advertise = advertise
        self._listen = listen
        self._slots = asyncio.Semaphore(settings.slots)
        self._held = 0
        self._sequence = 0
        self._born = next(_births)
        self._transports: set[asyncio.Transport] = set()
        self._task: asyncio.Task | None = None
        self._crash: asyncio.Task | None = None
        self._server: HttpServer | None = None
        self.address = ""

    @property
    def runs(self) -> Counter[str]:
        """Runs by attempt id."""
        return Counter(seen.attempt_id for seen in self.arrivals if seen.ran)

    @property
    def at_work(self) -> list[Arrival]:
        """Runs that have not ended."""
        return [seen for seen in self.arrivals if seen.outcome == "running"]

    async def start(self) -> None:
        """Serve and register."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self._handle)
        self._server = HttpServer(app, self._listen, shutdown_seconds=0.05)
        await self._server.start()
        self.address = self._server.address
        self._task = asyncio.create_task(self._beat())

    def chill(self, seconds: float) -> None:
        """Become cold. The entry says so with the next heartbeat."""
        self.cold_until = time.monotonic() + seconds

    async def drain(self) -> None:
        """Report that it leaves, and wait until the store has taken that."""
        self.state = "draining"
        while not self._renew():
            await asyncio.sleep(POLL_SECONDS)

    async def stop(self) -> None:
        """Leave: remove the entry and end."""
        await self._end()
        while not self._entries.remove(self.runner_id):
            await asyncio.sleep(POLL_SECONDS)

    async def crash(self) -> None:
        """End at once: connections are reset and the entry stays until it lapses."""
        for transport in self._transports:
            _reset(transport)
        await self._end()

    async def _end(self) -> None:
        for seen in self.at_work:
            seen.outcome = "ended with its server"
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        if self._server is not None:
            await self._server.stop()
            self._server = None

    async def _beat(self) -> None:
        while True:
            if self.heard:
                self._renew()
            await asyncio.sleep(self._entries.heartbeat_seconds)

    def _renew(self) -> bool:
        self._sequence += 1
        entry = {
            "service": self.settings.service,
            "address": self._advertise(self.address),
            "zone": self.settings.zone,
            "version": self.settings.version,
            "slots": self.settings.slots,
            "state": self.state,
            "coldRemainingMs": max(0.0, self.cold_until - time.monotonic()) * 1000,
            "seq": self._sequence,
            "born": self._born,
        }
        return self._entries.renew(self.runner_id, entry)

    async def _handle(self, request: web.Request) -> web.StreamResponse:
        transport = request.transport
        if transport is not None:
            self._transports = {t for t in self._transports if not t.is_closing()}
            self._transports.add(transport)
        seen = Arrival(
            attempt_id=request.headers.get(ATTEMPT, ""),
            runner_id=self.runner_id,
            method=request.method,
            target=request.raw_path,
            headers={name.lower(): value for name, value in request.headers.items()},
            body=await request.read(),
            at=time.monotonic(),
        )
        self.arrivals.append(seen)
        try:
            return await self._admit(request, seen)
        except asyncio.CancelledError:
            if seen.outcome in ("", "running"):
                seen.outcome = "left"
            raise
        finally:
            seen.ended_at = time.monotonic()

    async def _admit(self, request: web.Request, seen: Arrival) -> web.StreamResponse:
        if not seen.attempt_id:
            return self._refuse(seen, 400, "no id")
        if seen.headers.get("x-expected-runner", self.runner_id) != self.runner_id:
            return self._refuse(seen, 421, "misdirected")
        if self._is_overrun(seen.at):
            await self._crash_apart()
        if self.pause_seconds is not None:
            response = self._refuse(seen, 503, "pause")
            response.headers["Retry-After"] = str(self.pause_seconds)
            return response
        if self._held >= self.settings.slots + self.settings.queued:
            return self._refuse(seen, 503, "full")
        left = seen.headers.get("x-deadline-ms")
        deadline = seen.at + (float(left) / 1000 if left else DEADLINE_SECONDS)
        self._held += 1
        try:
            try:
                async with asyncio.timeout(deadline - time.monotonic()):
                    await self._slots.acquire()
            except TimeoutError:
                return self._refuse(seen, 503, "deadline passed in the queue")
            try:
                seen.ran, seen.outcome = True, "running"
                async with asyncio.timeout(deadline - time.monotonic()):
                    return await self._run(request, seen)
            except TimeoutError:
                seen.outcome = "deadline"
                return self._answer(seen, b"deadline\n", 504)
            finally:
                self._slots.release()
        finally:
            self._held -= 1

    async def _run(self, request: web.Request, seen: Arrival) -> web.StreamResponse:
        fault = self.faults.popleft() if self.faults else self.draw_fault()
        if self.settings.streaming:
            return await self._stream(request, seen, fault)
        await asyncio.sleep(self.settings.seconds)
        await self.gate.wait()
        body = plain_answer_of(seen.attempt_id, seen.body)
        if fault is None:
            seen.outcome = "done"
            return self._answer(seen, body)
        seen.outcome = fault.value
        if fault is RunnerFault.FAILED:
            return self._answer(seen, b"failed\n", 500)
        if fault is RunnerFault.SILENT:
            await asyncio.get_running_loop().create_future()
        response = self._answer(seen, body)
        if fault is RunnerFault.EXTRA and request.transport is not None:
            await response.prepare(request)
            await response.write_eof()
            request.transport.write(GARBAGE)
            return response
        if request.transport is not None:
            if fault is RunnerFault.GARBLED:
                request.transport.write(GARBAGE)
            if fault is RunnerFault.BROKEN:
                part = web.StreamResponse(headers=self._headers(seen))
                part.content_length = len(body)
                await part.prepare(request)
                await part.write(body[: len(body) // 2])
                request.transport.close()
                return part
            _reset(request.transport, gently=fault is RunnerFault.GARBLED)
        return response

    async def _stream(
        self, request: web.Request, seen: Arrival, fault: RunnerFault | None
    ) -> web.StreamResponse:
        if fault is RunnerFault.FAILED:
            seen.outcome = fault.value
            return self._answer(seen, b"failed\n", 500)
        response = web.StreamResponse(headers=self._headers(seen))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(seen.headers.get("last-event-id") or 0) + 1
        middle = first + (self.settings.events - first) // 2
        for number in range(first, self.settings.events + 1):
            await asyncio.sleep(self.settings.seconds)
            event = event_of(seen.attempt_id, number)
            if fault is not None and number >= middle:
                seen.outcome = fault.value
                if fault is RunnerFault.SILENT:
                    await asyncio.get_running_loop().create_future()
                await response.write(event[: len(event) // 2])
                await asyncio.sleep(POLL_SECONDS)
                if request.transport is not None:
                    _reset(request.transport)
                return response
            await response.write(event)
            if number == first:
                await self.gate.wait()
        seen.outcome = "done"
        await response.write_eof()
        return response

    def _is_overrun(self, now: float) -> bool:
        """Return whether a request is more than the cold runner bears."""
        rate = self.settings.cold_requests_per_second
        if rate <= 0.0 or now >= self.cold_until:
            self._cold_arrivals.clear()
            return False
        self._cold_arrivals.append(now)
        while now - self._cold_arrivals[0] > 1.0:
            self._cold_arrivals.popleft()
        return len(self._cold_arrivals) > rate * COLD_OVERSHOOT + COLD_TOLERANCE

    async def _crash_apart(self) -> None:
        """Crash, from within a request that ends with it."""
        if self.crashed_cold_at is None:
            self.crashed_cold_at = time.monotonic()
            self._crash = asyncio.create_task(self.crash())
        await asyncio.get_running_loop().create_future()

    def _refuse(self, seen: Arrival, status: int, reason: str) -> web.Response:
        seen.outcome = reason
        response = self._answer(seen, f"{reason}\n".encode(), status)
        response.headers.update(NOT_RUN)
        return response

    def _answer(self, seen: Arrival, body: bytes, status: int = 200) -> web.Response:
        return web.Response(status=status, body=body, headers=self._headers(seen))

    def _headers(self, seen: Arrival) -> dict[str, str]:
        headers = {
            ATTEMPT: seen.attempt_id,
            "X-Runner-Signature": f"{self.runner_id}.{self._born}.{seen.attempt_id}",
            "X-Runner-Id": self.runner_id,
        }
        if self.requests_per_second is not None:
            headers["Server-Limit"] = str(self.requests_per_second)
        if self.says_it_leaves:
            headers["Server-Leaving"] = "1"
        return headers


def _reset(transport: asyncio.Transport, *, gently: bool = False) -> None:
    """Close a connection, by a reset unless `gently`."""
    if gently:
        transport.close()
        return
    connection = transport.get_extra_info("socket")
    if connection is not None and not transport.is_closing():
        linger = struct.pack("ii", 1, 0)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    transport.abort()


def any_fault(rng: random.Random, share: float) -> RunnerFault | None:
    """Draw a fault for `share` of the runs."""
    return rng.choice(list(RunnerFault)) if rng.random() < share else None
