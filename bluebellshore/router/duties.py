"""Fleet-wide duties, each of which one router performs under a lease."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import eliot

from bluebellshore.budget.reclaim import Reclaimer
from bluebellshore.bundle.keeper import BundleKeeper
from bluebellshore.duties.dispatch import JobDispatcher
from bluebellshore.duties.jobs import Jobs
from bluebellshore.duties.lease import LeaseManager
from bluebellshore.errors import BluebellshoreError
from bluebellshore.ids import Epoch, IncarnationId
from bluebellshore.moves.controller import MoveController
from bluebellshore.moves.tracker import MoveTracker
from bluebellshore.router.gossip import Gossip
from bluebellshore.router.jobs import JobRunner
from bluebellshore.settings import RouterSettings
from bluebellshore.store import TableService
from bluebellshore.wire import link_pb2 as pb

__all__ = ["RouterDuties"]

RECLAIM_DUTY = "reclaim"
MOVES_DUTY = "moves"


class RouterDuties:
    """Acquires leases of duties and runs the duties whose lease this router holds."""

    def __init__(
        self,
        *,
        platform: TableService,
        settings: RouterSettings,
        incarnation: IncarnationId,
        move_tracker: MoveTracker,
        gossip: Gossip,
        jobs: Jobs,
        runner: JobRunner,
        keeper: BundleKeeper,
    ):
        self._lease_manager = LeaseManager(
            platform, incarnation, lease_seconds=settings.lease_seconds
        )
        self._epochs_by_duty: dict[str, Epoch | None] = {
            RECLAIM_DUTY: None,
            MOVES_DUTY: None,
        }
        self._runner = runner
        self._job_dispatcher = JobDispatcher(jobs, self._lease_manager, incarnation)
        self._move_controller = MoveController(
            platform, move_tracker, lambda: self._epochs_by_duty[MOVES_DUTY]
        )
        self._reclaimer = Reclaimer(
            platform,
            incarnation,
            gossip,
            releases=lambda: keeper.current.releases if keeper.current else (),
            reclaim_after_seconds=settings.reclaim_after_seconds,
        )
        self._reclaimer.on_settled = gossip.acknowledge
        self._reclaim_task: asyncio.Task | None = None

    async def run_once(self) -> None:
        """Acquire or renew the leases, then run the due steps of the held duties."""
        for duty in self._epochs_by_duty:
            self._epochs_by_duty[duty] = await self._lease_manager.acquire(duty)
        await self._job_dispatcher.run_once(self._runner.run)
        if self._epochs_by_duty[MOVES_DUTY] is not None:
            await self._run_step(self._move_controller.run_once)
        if self._epochs_by_duty[RECLAIM_DUTY] is not None and not self._is_reclaiming():
            self._reclaim_task = asyncio.ensure_future(
                self._run_step(self._reclaimer.run_once)
            )

    async def record_verdict(self, verdict: pb.Verdict) -> None:
        """Write a verdict to the row of its move."""
        await self._run_step(lambda: self._move_controller.record_verdict(verdict))

    async def stop(self) -> None:
        """Wait for running jobs, stop reclaiming and release the leases."""
        await self._job_dispatcher.stop()
        if self._is_reclaiming():
            self._reclaim_task.cancel()
        await self._run_step(self._lease_manager.release_all)

    def snapshot(self) -> dict[str, Any]:
        """Return the state for a state dump."""
        return {
            "epochs": self._epochs_by_duty,
            "jobs_running": self._job_dispatcher.running,
        }

    def _is_reclaiming(self) -> bool:
        return self._reclaim_task is not None and not self._reclaim_task.done()

    @staticmethod
    async def _run_step(step: Callable[[], Awaitable[object]]) -> None:
        try:
            await step()
        except BluebellshoreError as error:
            eliot.log_message(
                "duty_failed", step=error.step, peer=error.peer, reason=str(error)
            )
