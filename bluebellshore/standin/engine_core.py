"""Model engine stand-in apart from HTTP."""

import asyncio
import os
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import msgspec

from bluebellshore.errors import BackendServerError
from bluebellshore.settings import EngineSettings
from bluebellshore.standin.batch import Batch
from bluebellshore.standin.engine_faults import FaultPolicy, Misbehaviour
from bluebellshore.standin.engine_orders import FencingMode, OrderBook
from bluebellshore.standin.generation import ChatRequest, prompt_blocks
from bluebellshore.standin.prefix_cache import PrefixCache
from bluebellshore.store.lagged import LaggedValue

__all__ = [
    "EngineHealth",
    "EngineLoad",
    "EngineStats",
    "Execution",
    "FinishReason",
    "ModelEngine",
]

#: Share of the time to first token that a fully cached prompt saves.
PREFILL_SHARE = 0.8
#: Pause between looks at whether held tokens may go on.
HOLD_POLL_SECONDS = 0.01

Emit = Callable[[str], Awaitable[None]]


class EngineHealth(Enum):
    """Whether the engine serves."""

    SERVING = "serving"
    FALLEN_OVER = "fallen_over"
    CRASHED = "crashed"


class FinishReason(Enum):
    """Why an answer ended; TRUNCATED is the fault of that name."""

    LENGTH = "length"
    STOP = "stop"
    CANCELLED = "cancelled"
    TRUNCATED = "truncated"


class EngineLoad(msgspec.Struct):
    """Answer of ``GET /v1/load``."""

    running: int
    waiting: int
    capacity: int
    restarts: int


class EngineStats(msgspec.Struct):
    """What the engine has done; answer of ``GET /control/stats``.

    :param executions_by_request: generations begun, by ``x-request-key``.
    :param attempts_by_request: values of ``x-attempt`` of these generations.
    :param completed_by_request: generations that reached their end.
    :param cancelled: requests ended by ``POST /v1/cancel``.
    :param disconnected: requests whose caller left before the end.
    :param aborted: requests lost when the engine went down.
    """

    executions_by_request: Counter[str] = msgspec.field(default_factory=Counter)
    attempts_by_request: dict[str, list[str]] = msgspec.field(default_factory=dict)
    completed_by_request: Counter[str] = msgspec.field(default_factory=Counter)
    received: int = 0
    failed: int = 0
    cancelled: int = 0
    disconnected: int = 0
    aborted: int = 0
    tokens_generated: int = 0
    peak_concurrency: int = 0
    fallen_over: int = 0
    crashes: int = 0


@dataclass(eq=False)
class Execution:
    """One request that the engine holds.

    :param tokens: the whole answer, whatever the request resumes from.
    :param abort: breaks the connection to whoever asked.
    :param emitted: tokens of this response so far.
    """

    chat: ChatRequest
    tokens: list[str]
    key: str
    attempt: str
    priority: int
    misbehaviour: Misbehaviour
    abort: Callable[[], None]
    number: int = 0
    emitted: int = 0
    cancelled: bool = False
    aborted: bool = False

    @property
    def response_id(self) -> str:
        """Return the id that the response shows."""
        return f"chatcmpl-{self.number}"


class ModelEngine:
    """Batches, caches and fails like a model engine."""

    def __init__(
        self, settings: EngineSettings, clock: Callable[[], float] = time.monotonic
    ):
        self._settings = settings
        self._clock = clock
        now = clock()
        self.stats = EngineStats()
        self.faults = FaultPolicy(settings, now)
        self.batch = Batch(settings.batch_limit, settings.batch_slowdown)
        self.cache = PrefixCache(
            settings.prefix_cache_bytes,
            lag_seconds=settings.event_lag_seconds,
            event_loss=settings.event_loss,
            rng=random.Random(settings.seed),
        )
        fencing = FencingMode(settings.fencing)
        self.orders = OrderBook(fencing, settings.version, [settings.model])
        self._load = LaggedValue(
            settings.load_lag_seconds, float("-inf"), self._current_load(0)
        )
        self._executions: set[Execution] = set()
        self._down_until = now
        self._down_health = EngineHealth.SERVING

    @property
    def health(self) -> EngineHealth:
        """Return whether the engine serves now."""
        if self._clock() < self._down_until:
            return self._down_health
        return EngineHealth.SERVING

    @property
    def concurrent(self) -> int:
        """Return the number of requests that the engine holds."""
        return len(self._executions)

    def reported_load(self) -> EngineLoad:
        """Return the load as the engine reports it, with lag."""
        recorded = self._load.visible_at(self._clock())
        return recorded.value if recorded else self._current_load(0)

    @contextmanager
    def hold(self, execution: Execution) -> Iterator[None]:
        """Hold a request until it ends; one above the capacity breaks the engine."""
        self.stats.received += 1
        execution.number = self.stats.received
        self._executions.add(execution)
        peak = max(self.stats.peak_concurrency, self.concurrent)
        self.stats.peak_concurrency = peak
        self._record_load()
        try:
            if self.concurrent > self._settings.capacity:
                self._fall_over()
            _check_not_aborted(execution)
            yield
        except (asyncio.CancelledError, ConnectionError):
            self.stats.disconnected += not execution.aborted
            raise
        finally:
            self._executions.discard(execution)
            self._record_load()

    async def run(self, execution: Execution, emit: Emit) -> FinishReason:
        """Generate the answer and pass each piece of its text to `emit`.

        Generation pauses while `emit` waits.
        """
        pieces = _remaining_pieces(execution)
        async with self.batch.slot(execution.priority):
            self._record_load()
            _check_not_aborted(execution)
            self._count_execution(execution)
            await asyncio.sleep(self._prefill_seconds(execution))
            for position, piece in enumerate(pieces):
                await self._wait_while_held(execution)
                _check_not_aborted(execution)
                if execution.cancelled:
                    self.stats.cancelled += 1
                    return FinishReason.CANCELLED
                if position:
                    self._misbehave(execution)
                    await asyncio.sleep(self._step_seconds(execution))
                if _is_truncated(execution, len(pieces)):
                    return FinishReason.TRUNCATED
                execution.emitted += 1
                self.stats.tokens_generated += 1
                await emit(piece)
            self._misbehave(execution)
        self.stats.completed_by_request[execution.key] += 1
        limited = execution.chat.length_limit == len(execution.tokens)
        return FinishReason.LENGTH if limited else FinishReason.STOP

    async def _wait_while_held(self, execution: Execution) -> None:
        while (
            self.faults.holds_tokens
            and not execution.cancelled
            and not execution.aborted
        ):
            await asyncio.sleep(HOLD_POLL_SECONDS)

    def cancel(self, name: str) -> bool:
        """Cancel the request with this attempt or response id."""
        named = [e for e in self._executions if name in (e.attempt, e.response_id)]
        for execution in named:
            execution.cancelled = True
        return bool(named)

    def restart(self) -> None:
        """Serve again now, after falling over or a crash."""
        self._down_until = self._clock()

    def _count_execution(self, execution: Execution) -> None:
        self.stats.executions_by_request[execution.key] += 1
        attempts = self.stats.attempts_by_request.setdefault(execution.key, [])
        attempts.append(execution.attempt)

    def _misbehave(self, execution: Execution) -> None:
        if execution.misbehaviour is Misbehaviour.CRASH_EXIT:
            os._exit(1)
        if execution.misbehaviour is Misbehaviour.CRASH:
            self.stats.crashes += 1
            self._go_down(EngineHealth.CRASHED)
            _check_not_aborted(execution)

    def _fall_over(self) -> None:
        self.stats.fallen_over += 1
        self._go_down(EngineHealth.FALLEN_OVER)

    def _go_down(self, health: EngineHealth) -> None:
        now = self._clock()
        self._down_health = health
        self._down_until = now + self._settings.restart_seconds
        for execution in list(self._executions):
            self.stats.aborted += 1
            execution.aborted = True
            execution.abort()
        self._executions.clear()
        self.cache.clear(now)

    def _prefill_seconds(self, execution: Execution) -> float:
        cached = self.cache.use(prompt_blocks(execution.chat), self._clock())
        full = self._settings.first_token_seconds * self._slowness(execution)
        return full * (1 - PREFILL_SHARE * cached)

    def _step_seconds(self, execution: Execution) -> float:
        step = self._settings.between_tokens_seconds * self.batch.step_factor
        return step * self._slowness(execution)

    def _slowness(self, execution: Execution) -> float:
        slow = execution.misbehaviour is Misbehaviour.SLOW
        return self.faults.slow_factor if slow else 1.0

    def _current_load(self, held: int) -> EngineLoad:
        return EngineLoad(
            running=self.batch.running,
            waiting=max(held - self.batch.running, 0),
            capacity=self._settings.capacity,
            restarts=self.stats.fallen_over + self.stats.crashes,
        )

    def _record_load(self) -> None:
        self._load.record(self._clock(), self._current_load(self.concurrent))


def _check_not_aborted(execution: Execution) -> None:
    if execution.aborted:
        raise BackendServerError("engine went down", step="standin.engine")


def _is_truncated(execution: Execution, total: int) -> bool:
    truncating = execution.misbehaviour is Misbehaviour.TRUNCATE
    return truncating and execution.emitted >= total // 2


def _remaining_pieces(execution: Execution) -> list[str]:
    """Return the tokens after the text to resume from, the first of them cut."""
    pieces = []
    skipped = len(execution.chat.resume_text)
    for token in execution.tokens:
        if skipped < len(token):
            pieces.append(token[skipped:])
        skipped = max(skipped - len(token), 0)
    return pieces
