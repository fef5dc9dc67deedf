"""Router role: runs successive router incarnations on the same ports."""

import asyncio
import dataclasses

import eliot

from bluebellshore.router.incarnation import RouterIncarnation
from bluebellshore.settings import RouterSettings

__all__ = ["Router"]


class Router:
    """Serves callers, and starts a new incarnation when the current one is fenced.

    Other routers fence an incarnation and reclaim its tokens when it was paused or
    disconnected for too long. Its open requests end under the old incarnation; those
    that it can't start any more wait for the new one.
    """

    def __init__(self, settings: RouterSettings):
        self.settings = settings
        self.address = settings.listen
        self.operator_address = settings.operator_listen
        self._incarnation: RouterIncarnation | None = None
        self._fence_watcher: asyncio.Task | None = None
        self._finishing_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start the first incarnation and serve callers."""
        self._incarnation = self._new_incarnation()
        await self._incarnation.start()
        self.address = self._incarnation.address
        self.operator_address = self._incarnation.operator_address
        self._fence_watcher = asyncio.ensure_future(self._watch_fence())

    async def stop(self) -> None:
        """Drain all incarnations, settle all bills and return unused tokens."""
        self._fence_watcher.cancel()
        await asyncio.gather(self._fence_watcher, return_exceptions=True)
        await self._incarnation.stop()
        if self._finishing_tasks:
            await asyncio.wait(self._finishing_tasks)

    def _new_incarnation(self) -> RouterIncarnation:
        settings = dataclasses.replace(
            self.settings, listen=self.address, operator_listen=self.operator_address
        )
        return RouterIncarnation(settings)

    async def _watch_fence(self) -> None:
        try:
            await self._replace_when_fenced()
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            eliot.log_message("incarnation_not_replaced", reason=reason)
            raise

    async def _replace_when_fenced(self) -> None:
        while True:
            old = self._incarnation
            await old.fenced.wait()
            new = self._new_incarnation()
            await new.prepare(await old.hand_over_operator_port())
            # Until now the old incarnation accepted connections, so that callers did
            # not find a closed port. Its requests waited for the new one.
            old.takeover.pass_to(new.takeover)
            await old.release_caller_port()
            await new.open_caller_port()
            self._incarnation = new
            eliot.log_message(
                "incarnation_replaced", old=old.incarnation, new=new.incarnation
            )
            task = asyncio.ensure_future(old.finish())
            self._finishing_tasks.add(task)
            task.add_done_callback(self._finishing_tasks.discard)
