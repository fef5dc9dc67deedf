"""An event loop whose time passes as fast as there is work to do."""

import asyncio
from collections.abc import Coroutine
from typing import TypeVar

__all__ = ["VirtualTimeLoop", "run_virtual"]

ResultT = TypeVar("ResultT")


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that jumps to its next timer when nothing else is ready.

    Only for code without sockets. Its time starts at 0.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_now = 0.0
        self._clock_resolution = 1e-9

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_now

    def _run_once(self) -> None:
        if not self._ready and self._scheduled:
            due_at = self._scheduled[0].when()
            self._virtual_now = max(self._virtual_now, due_at)
        super()._run_once()


def run_virtual(main: Coroutine[None, None, ResultT]) -> ResultT:
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
