"""A plain service's backend server in simulated time: few slots, a short queue."""

from collections import deque
from collections.abc import Callable

import msgspec

from bluebellshore.emulator.clock import Clock
from bluebellshore.emulator.engine import RunEvent

__all__ = ["EmulatedPlainServer", "PlainRun"]


class PlainRun(msgspec.Struct, eq=False):
    """One request at a plain server.

    :param work_seconds: time that it holds a slot.
    """

    work_seconds: float
    report: Callable[[RunEvent, int], None]


class EmulatedPlainServer:
    """Works on `slots` requests at once and refuses what its queue can't take.

    :ivar slowness: factor on the time of each request.
    """

    def __init__(self, clock: Clock, slots: int, queue: int):
        self._clock = clock
        self._slots = slots
        self._queue = queue
        self._waiting: deque[PlainRun] = deque()
        self._running: dict[PlainRun, None] = {}
        self.slowness = 1.0
        self.silent = False

    def submit(self, run: PlainRun) -> None:
        """Take a request, or refuse it when the queue is full."""
        if len(self._waiting) >= self._queue:
            run.report(RunEvent.REFUSED, 0)
            return
        self._waiting.append(run)
        self._start()

    def cancel(self, run: PlainRun) -> None:
        """Stop a request whose caller left."""
        if run in self._waiting:
            self._waiting.remove(run)
        elif run in self._running:
            del self._running[run]
            self._start()

    def crash(self) -> None:
        """Lose all requests."""
        lost = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for run in lost:
            run.report(RunEvent.BROKEN, 0)

    def wake(self) -> None:
        """Go on after silence."""
        self.silent = False
        self._start()

    def _start(self) -> None:
        while self._waiting and len(self._running) < self._slots and not self.silent:
            run = self._waiting.popleft()
            self._running[run] = None
            seconds = run.work_seconds * self.slowness
            self._clock.after(seconds, lambda run=run: self._end(run))

    def _end(self, run: PlainRun) -> None:
        if run in self._running and not self.silent:
            del self._running[run]
            self._start()
            run.report(RunEvent.DONE, 1)
