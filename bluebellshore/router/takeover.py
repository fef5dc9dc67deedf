"""Passes the requests of a fenced router incarnation on to its successor."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from bluebellshore.errors import FencedError, RunState
from bluebellshore.router.calls import Call
from bluebellshore.router.relay import AnswerSource

__all__ = ["CallOpener", "Takeover"]

#: Maximum wait for a successor. It waits for links for up to 3 s before it serves, and
#: for answers of the platform before.
MAX_TAKEOVER_WAIT_SECONDS = 10.0


class CallOpener(Protocol):
    """Runs calls until their answers begin."""

    async def open(self, call: Call) -> AnswerSource:
        """Run a call until its answer begins, and return that answer.

        :raises RefusedError: the call gets no answer.
        """


class Takeover:
    """Opens calls at a router incarnation or, once it is fenced, at its successor.

    A fenced incarnation can't start a call any more, but the same process goes on under
    a new one. A call that is known not to have run waits for it.

    :param opener: opens calls at the incarnation itself.
    :param check_fence: makes the incarnation look whether it is fenced, since sidecars
        may know that first.
    """

    def __init__(self, opener: CallOpener, *, check_fence: Callable[[], None]):
        self._opener = opener
        self._check_fence = check_fence
        self._successor: asyncio.Future[CallOpener] = (
            asyncio.get_running_loop().create_future()
        )

    def pass_to(self, successor: CallOpener) -> None:
        """Open calls at `successor` from now on, also those that wait."""
        if not self._successor.done():
            self._successor.set_result(successor)

    def give_up(self) -> None:
        """Refuse calls that wait for a successor: the process stops."""
        self._successor.cancel()

    async def open(self, call: Call) -> AnswerSource:
        """Run a call until its answer begins, and return that answer.

        :raises FencedError: the incarnation is fenced and has no successor in time.
        :raises RefusedError: the call gets no answer.
        """
        try:
            return await self._opener.open(call)
        except FencedError as error:
            if error.run is not RunState.NOT_RUN:
                raise
            self._check_fence()
            if not await self._has_successor(call):
                raise
        return await self._successor.result().open(call)

    async def _has_successor(self, call: Call) -> bool:
        """Wait for a successor, at most until the deadline of the call."""
        remaining_seconds = call.deadline - asyncio.get_running_loop().time()
        wait_seconds = max(0.0, min(MAX_TAKEOVER_WAIT_SECONDS, remaining_seconds))
        await asyncio.wait({self._successor}, timeout=wait_seconds)
        return self._successor.done() and not self._successor.cancelled()
