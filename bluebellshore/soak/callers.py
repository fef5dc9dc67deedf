"""Callers of a soak run, and what each of their requests met."""

import asyncio
import contextlib
import itertools
import random
import time
from enum import Enum

import aiohttp
import msgspec

from bluebellshore.cancellation import cancel
from bluebellshore.platform.names import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    KEY_HEADER,
    SIGNATURE_HEADER,
    TENANT_HEADER,
    TOKENS_HEADER,
)
from bluebellshore.soak.system import (
    CUSTOMERS,
    HOST,
    LONG_SERVICE,
    PAID,
    Router,
    SoakSystem,
)
from bluebellshore.standin.runner import event_of, plain_answer_of

__all__ = ["EVENTS", "Callers", "Kind", "Sent", "whole_stream"]

EVENTS = 5
#: Tokens of a request that is paid from a prepaid total, and what it costs at most.
PAID_TOKENS = "60,40"
PAID_COST = 100
DEADLINE_SECONDS = (1.0, 5.0)
#: Of streams that outlast a grace period.
LONG_DEADLINE_SECONDS = (12.0, 15.0)
#: Time beyond its deadline that a caller waits.
PATIENCE_SECONDS = 1.0
PAUSE_SECONDS = (0.0, 0.12)
LEAVE_SHARE = 0.08
NEW_CONNECTION_SHARE = 0.3
#: Connections to each router that callers keep, most of the time idle, and their most
#: in all.
KEPT_PER_ROUTER = 12
MAX_KEPT = 96
#: Idle time of a kept connection; long enough that some are first used when the router
#: has been stopping for a while.
IDLE_SECONDS = (0.0, 8.0)
LONG_SHARE = 0.3


class Kind(Enum):
    """What a request asks for."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMED = "resumed"
    PAID = "paid"
    ADDED = "added"
    LONG = "long"

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self in (Kind.SAFE, Kind.RESUMED, Kind.ADDED)

    @property
    def streams(self) -> bool:
        """Whether its answer is a stream."""
        return self in (Kind.STREAM, Kind.RESUMED, Kind.LONG)

    @property
    def service(self) -> str:
        """Service of its route."""
        if self is Kind.LONG:
            return LONG_SERVICE
        return "streams" if self.streams else "plain"


#: Kinds that are answered soon.
SHORT = [kind for kind in Kind if kind is not Kind.LONG]


class Sent(msgspec.Struct):
    """A request and what its caller saw.

    :param life: of the router's process when it was sent.
    :param status: 0 when no head of an answer came.
    :param whole: whether the body ended as complete.
    :param reached: whether a connection stood when it ended without an answer.
    :param error: how it ended otherwise.
    :param kept: whether it was sent on a connection that had been open.
    :param written_at: when its last byte was sent; 0 when it never was.
    """

    attempt_id: str
    kind: Kind
    router: str
    life: int
    path: str
    body: bytes
    customer: str
    at: float
    deadline_seconds: float = 0.0
    number: int = 0
    status: int = 0
    signed: bool = False
    answered_id: str = ""
    answer: bytes = b""
    whole: bool = False
    left: bool = False
    error: str = ""
    ended_at: float = 0.0
    life_at_end: int = 0
    kept: bool = False
    written_at: float = 0.0


def whole_stream(attempt_id: str) -> bytes:
    """Return the body of a whole stream."""
    return b"".join(event_of(attempt_id, n) for n in range(1, EVENTS + 1))


def right_answer(sent: Sent) -> bytes:
    """Return the body that any backend server gives to a request."""
    if sent.kind.streams:
        return whole_stream(sent.attempt_id)
    return plain_answer_of(sent.attempt_id, sent.body)


class Callers:
    """Send requests to all routers until the block ends.

    :ivar sent: all requests, in the order in which they began.
    """

    def __init__(self, system: SoakSystem, seed: int, count: int):
        self._system = system
        self._count = count
        self._seed = seed
        self._attempts = itertools.count(1)
        self.sent: list[Sent] = []
        self._stopped = asyncio.Event()

    @contextlib.asynccontextmanager
    async def running(self):
        """Send while the block runs, then let what is under way end."""
        async with aiohttp.ClientSession(
            auto_decompress=False,
            connector=aiohttp.TCPConnector(limit=0),
            trace_configs=[_tracing()],
        ) as session:
            tasks = [
                asyncio.create_task(
                    self._send_on(session, random.Random(f"{self._seed}/{number}"))
                )
                for number in range(self._count)
            ]
            kept = [
                asyncio.create_task(
                    self._keep_one(router, random.Random(f"{self._seed}/kept/{number}"))
                )
                for number, router in enumerate(
                    (self._system.routers * KEPT_PER_ROUTER)[:MAX_KEPT]
                )
            ]
            try:
                yield self
            finally:
                self._stopped.set()
                for task in kept:
                    task.cancel()
                await asyncio.gather(*tasks)
                await cancel(*kept)

    async def ask(self, router: Router, kind: Kind, number: int = 0) -> Sent:
        """Send one request on a connection of its own."""
        async with _own_session() as session:
            sent = self._begin(router, kind, number)
            await self._send(session, router, sent, max(DEADLINE_SECONDS), None)
            return sent

    async def _send_on(
        self, session: aiohttp.ClientSession, rng: random.Random
    ) -> None:
        while not self._stopped.is_set():
            router = rng.choice(self._system.routers)
            kind = rng.choice(SHORT)
            number = rng.randint(1, self._system.number)
            sent = self._begin(router, kind, number)
            leave = rng.uniform(0.0, 0.5) if rng.random() < LEAVE_SHARE else None
            seconds = rng.uniform(*DEADLINE_SECONDS)
            if rng.random() < NEW_CONNECTION_SHARE:
                async with _own_session() as own:
                    await self._send(own, router, sent, seconds, leave)
            else:
                await self._send(session, router, sent, seconds, leave)
            await asyncio.sleep(rng.uniform(*PAUSE_SECONDS))

    async def _keep_one(self, router: Router, rng: random.Random) -> None:
        """Use one connection now and then, and a new one only when it was closed."""
        async with _own_session() as session:
            while True:
                long = rng.random() < LONG_SHARE
                kind = Kind.LONG if long else rng.choice(SHORT)
                sent = self._begin(router, kind, rng.randint(1, self._system.number))
                bounds = LONG_DEADLINE_SECONDS if long else DEADLINE_SECONDS
                await self._send(session, router, sent, rng.uniform(*bounds), None)
                await asyncio.sleep(rng.uniform(*IDLE_SECONDS))

    def _begin(self, router: Router, kind: Kind, number: int) -> Sent:
        attempt_id = f"{self._seed}-{next(self._attempts)}"
        path = f"/added-{number}/x" if kind is Kind.ADDED else f"/{kind.value}/x"
        if kind is Kind.PAID:
            path = "/unsafe/paid"
        sent = Sent(
            attempt_id=attempt_id,
            kind=kind,
            router=router.name,
            life=router.lives,
            path=path,
            body=f"body of {attempt_id}".encode(),
            customer=PAID if kind is Kind.PAID else "acme",
            at=time.monotonic(),
            number=number,
        )
        self.sent.append(sent)
        return sent

    async def _send(
        self,
        session: aiohttp.ClientSession,
        router: Router,
        sent: Sent,
        seconds: float,
        leave: float | None,
    ) -> None:
        sent.deadline_seconds = seconds
        headers = {
            "Host": HOST,
            ATTEMPT_HEADER: sent.attempt_id,
            DEADLINE_HEADER: str(int(seconds * 1000)),
            KEY_HEADER: CUSTOMERS[sent.customer],
            TENANT_HEADER: "forged",
        }
        if sent.kind is Kind.PAID:
            headers[TOKENS_HEADER] = PAID_TOKENS
        try:
            async with asyncio.timeout(
                seconds + PATIENCE_SECONDS if leave is None else leave
            ):
                await self._exchange(session, router, sent, headers)
        except TimeoutError:
            sent.left = True
        except asyncio.CancelledError:
            sent.left = True
            raise
        except (aiohttp.ClientError, OSError) as error:
            sent.error = f"{type(error).__name__}: {error}"
        finally:
            sent.ended_at = time.monotonic()
            sent.life_at_end = router.lives

    async def _exchange(
        self,
        session: aiohttp.ClientSession,
        router: Router,
        sent: Sent,
        headers: dict[str, str],
    ) -> None:
        async with session.post(
            f"http://{router.callers.address}{sent.path}",
            data=sent.body,
            headers=headers,
            trace_request_ctx=sent,
        ) as response:
            sent.status = response.status
            sent.signed = SIGNATURE_HEADER in response.headers
            sent.answered_id = response.headers.get(ATTEMPT_HEADER, "")
            async for data in response.content.iter_any():
                sent.answer += data
            sent.whole = True


def _own_session() -> aiohttp.ClientSession:
    """Return a session with one connection."""
    return aiohttp.ClientSession(
        auto_decompress=False,
        connector=aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0),
        trace_configs=[_tracing()],
    )


def _tracing() -> aiohttp.TraceConfig:
    """Note how each request reached its connection."""

    async def note_reuse(_session, context, _parameters) -> None:
        context.trace_request_ctx.kept = True

    async def note_written(_session, context, _parameters) -> None:
        context.trace_request_ctx.written_at = time.monotonic()

    config = aiohttp.TraceConfig()
    config.on_connection_reuseconn.append(note_reuse)
    config.on_request_chunk_sent.append(note_written)
    return config
