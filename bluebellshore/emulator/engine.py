"""A model engine in simulated time.

Continuous batching: each step makes one token for every request that was read in,
and reads at most a chunk of the prompts that were not. So a long prompt delays the
tokens of all requests beside it.
"""

from collections.abc import Callable, Sequence
from enum import Enum

import msgspec

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.memory import PartMemory
from bluebellshore.fleet import PromptPart

__all__ = ["EmulatedEngine", "EngineFigures", "Run", "RunEvent"]


class RunEvent(Enum):
    """What a run reports to the router that sent it."""

    #: A piece of the stream.
    PIECE = "piece"
    DONE = "done"
    #: It was not run.
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"


class EngineFigures(msgspec.Struct, frozen=True):
    """Speed and size of an engine; the defaults are made up.

    :param slots: requests generated at once.
    :param queue: requests that wait for a slot; more are refused.
    :param step_seconds: time of a step of one request without context.
    :param running_seconds: added for each further request.
    :param context_seconds: added for each token of all requests' context.
    :param prefill_tokens: prompt tokens read in a second.
    :param pair_seconds: time for each pair of a token that is read and one before it.
    :param chunk_tokens: prompt tokens read in one step at most.
    :param event_tokens: tokens of one event of a stream.
    :param cache_tokens: memory shared by running requests and cached parts.
    """

    slots: int = 32
    queue: int = 64
    step_seconds: float = 0.006
    running_seconds: float = 0.000_03
    context_seconds: float = 2e-8
    prefill_tokens: float = 40_000.0
    pair_seconds: float = 6e-10
    chunk_tokens: int = 4096
    event_tokens: int = 3
    cache_tokens: int = 200_000


class Run(msgspec.Struct, eq=False):
    """One request at an engine.

    :param priority: 0 is admitted first.
    :param output_tokens: tokens that it will make.
    :param report: called at each event, with the number of tokens made so far.
    """

    priority: int
    parts: Sequence[PromptPart]
    output_tokens: int
    report: Callable[[RunEvent, int], None]
    order: int = 0
    started: bool = False
    to_read: int = 0
    read: int = 0
    made: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Size of the prompt."""
        return sum(part.tokens for part in self.parts)

    @property
    def reading(self) -> bool:
        """Whether its prompt is not read yet."""
        return not self.started or self.to_read > 0


class EmulatedEngine:
    """Serves runs step by step.

    :param on_read: called with each part that is read into memory.
    :ivar slowness: factor on the time of each step.
    :ivar silent: whether it takes requests and says nothing.
    """

    def __init__(
        self,
        clock: Clock,
        figures: EngineFigures,
        on_read: Callable[[PromptPart], None] = lambda part: None,
    ):
        self._clock = clock
        self.figures = figures
        self.memory = PartMemory(figures.cache_tokens)
        self._on_read = on_read
        self._waiting: list[Run] = []
        self._running: list[Run] = []
        self._arrivals = 0
        self._stepping = False
        self._life = 0
        self.slowness = 1.0
        self.silent = False
        self.preempted = 0

    @property
    def running(self) -> int:
        """Requests in the batch."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests without a slot."""
        return len(self._waiting)

    def submit(self, run: Run) -> None:
        """Take a request, or refuse it when the queue is full."""
        too_large = run.prompt_tokens + run.output_tokens > self.figures.cache_tokens
        if too_large or len(self._waiting) >= self.figures.queue:
            run.report(RunEvent.REFUSED, 0)
            return
        self._arrivals += 1
        run.order = self._arrivals
        self._waiting.append(run)
        self._wake()

    def cancel(self, run: Run) -> None:
        """Stop a request whose caller left."""
        if run in self._waiting:
            self._waiting.remove(run)
        elif run in self._running:
            self._release(run)

    def crash(self) -> None:
        """Lose all requests and everything in memory."""
        lost = self._running + self._waiting
        self._running, self._waiting = [], []
        self.memory = PartMemory(self.figures.cache_tokens)
        self._life += 1
        self._stepping = False
        for run in lost:
            run.report(RunEvent.BROKEN, run.made)

    def _wake(self) -> None:
        if not self._stepping and not self.silent and (self._waiting or self._running):
            self._stepping = True
            self._step()

    def wake(self) -> None:
        """Go on after silence."""
        self.silent = False
        self._wake()

    def _step(self) -> None:
        self._admit()
        seconds = self._read_chunk()
        decoding = [run for run in self._running if not run.reading]
        figures = self.figures
        context = sum(run.read + run.made for run in self._running)
        seconds += figures.step_seconds + figures.context_seconds * context
        seconds += figures.running_seconds * len(self._running)
        life = self._life
        self._clock.after(
            seconds * self.slowness, lambda: self._end_step(decoding, life)
        )

    def _admit(self) -> None:
        self._waiting.sort(key=lambda run: (run.priority, run.order))
        while self._waiting and len(self._running) < self.figures.slots:
            run = self._waiting[0]
            if not self.memory.hold(run, run.parts, run.made):
                break
            self._running.append(self._waiting.pop(0))

    def _read_chunk(self) -> float:
        """Read the next chunk of prompts. :return: seconds that it takes."""
        left = self.figures.chunk_tokens
        pairs = 0.0
        for run in self._running:
            if left <= 0:
                break
            if not run.started:
                run.started = True
                run.read = self.memory.cached_tokens(run.parts)
                run.to_read = max(1, run.prompt_tokens - run.read) + run.made
            if run.to_read > 0:
                tokens = min(left, run.to_read)
                pairs += tokens * (run.read + tokens / 2)
                left -= tokens
                run.to_read -= tokens
                run.read += tokens
                if run.to_read == 0:
                    for part in self.memory.note_read(run.parts):
                        self._on_read(part)
        tokens = self.figures.chunk_tokens - left
        return tokens / self.figures.prefill_tokens + pairs * self.figures.pair_seconds

    def _end_step(self, decoding: list[Run], life: int) -> None:
        if life != self._life:
            return
        if self.silent:
            self._stepping = False
            return
        for run in decoding:
            if run in self._running:
                self._make_token(run)
        if self._running or self._waiting:
            self._step()
        else:
            self._stepping = False

    def _make_token(self, run: Run) -> None:
        while not self.memory.grow(run, 1):
            victim = max(self._running, key=lambda other: (other.priority, other.order))
            self._preempt(victim)
            if victim is run:
                return
        run.made += 1
        if run.made >= run.output_tokens:
            self._release(run)
            run.report(RunEvent.DONE, run.made)
        elif run.made == 1 or run.made % self.figures.event_tokens == 0:
            run.report(RunEvent.PIECE, run.made)

    def _preempt(self, run: Run) -> None:
        self.preempted += 1
        self._release(run)
        run.started, run.to_read, run.read = False, 0, 0
        self._waiting.append(run)

    def _release(self, run: Run) -> None:
        self._running.remove(run)
        self.memory.release(run)
