"""Dispatch of stored jobs under a lease."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import eliot
import msgspec

from bluebellshore.duties.answers import StoredAnswer
from bluebellshore.duties.jobs import (
    DUE_PREFIX,
    Job,
    JobRow,
    Jobs,
    JobState,
    decode_job,
    due_key,
)
from bluebellshore.duties.lease import LeaseManager
from bluebellshore.duties.retry import retry_until_answered
from bluebellshore.errors import (
    BluebellshoreError,
    PlatformError,
    RefusedError,
    RunState,
    TransactionConflictError,
)
from bluebellshore.ids import Epoch, IncarnationId, JobId
from bluebellshore.store.interface import Row, Write

__all__ = ["JobDispatcher", "RunJob"]

DUTY = "jobs"
MAX_RUNNING = 16
PAGE_JOBS = 200
MAX_PAGES = 5
RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
#: Refusals in the 400s that may end by themselves.
PASSING_STATUSES = frozenset({402, 408, 409, 425, 429})

RunJob = Callable[[Job], Awaitable[StoredAnswer]]


class _Delay(msgspec.Struct):
    """Pause before a refused job is tried again."""

    until: float
    refusals: int


class JobDispatcher:
    """Runs waiting jobs in the order of their deadlines while it holds the lease.

    A job found running under an older fencing number has lost its dispatcher and is
    dispatched again; idempotence rests on its request key, as for a caller's retry.
    """

    def __init__(
        self,
        jobs: Jobs,
        lease: LeaseManager,
        holder: IncarnationId,
        *,
        max_running: int = MAX_RUNNING,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._jobs = jobs
        self._lease = lease
        self._holder = holder
        self._max_running = max_running
        self._clock = clock
        self._rng = random.Random()
        self._tasks_by_job: dict[JobId, asyncio.Task] = {}
        self._delays_by_job: dict[JobId, _Delay] = {}

    @property
    def running(self) -> int:
        """Number of jobs running here."""
        return len(self._tasks_by_job)

    async def run_once(self, run: RunJob) -> int:
        """Start what may run now; does not wait for it.

        :return: number of jobs started.
        """
        epoch = await self._lease.acquire(DUTY)
        if epoch is None:
            return 0
        try:
            return await self._start_due(epoch, run)
        except PlatformError as error:
            eliot.log_message("job_dispatch_failed", error=str(error))
            return 0

    async def close(self) -> None:
        """Wait for the running jobs."""
        if self._tasks_by_job:
            await asyncio.wait(set(self._tasks_by_job.values()))

    async def _start_due(self, epoch: Epoch, run: RunJob) -> int:
        started = 0
        after = ""
        for _ in range(MAX_PAGES):
            page = await self._jobs.table.scan(DUE_PREFIX, after, PAGE_JOBS)
            for due in page:
                if len(self._tasks_by_job) >= self._max_running:
                    return started
                job_id = JobId(due.key.rpartition("/")[2])
                started += await self._start(job_id, epoch, run)
            if len(page) < PAGE_JOBS:
                break
            after = page[-1].key
        return started

    async def _start(self, job_id: JobId, epoch: Epoch, run: RunJob) -> bool:
        delay = self._delays_by_job.get(job_id)
        if job_id in self._tasks_by_job or (delay and self._clock() < delay.until):
            return False
        row = await self._jobs.read(job_id)
        if row is None:
            return False
        value = decode_job(row)
        elsewhere = value.state is JobState.RUNNING and value.epoch >= epoch
        if value.state.is_final or (elsewhere and value.holder != self._holder):
            return False
        value.state, value.epoch, value.holder = JobState.RUNNING, epoch, self._holder
        value.attempt += 1
        write = Write(row.key, row.version, msgspec.json.encode(value))
        try:
            await self._lease.transact(DUTY, [write])
        except TransactionConflictError:
            return False
        task = asyncio.create_task(self._run(job_id, value, run))
        self._tasks_by_job[job_id] = task
        task.add_done_callback(lambda _: self._tasks_by_job.pop(job_id, None))
        return True

    async def _run(self, job_id: JobId, value: JobRow, run: RunJob) -> None:
        try:
            body = await self._jobs.bodies.load(value.body)
            job = msgspec.structs.replace(value.job, body=body, attempt=value.attempt)
            answer = await run(job)
        except RefusedError as error:
            await self._refused(job_id, value, error)
        except (BluebellshoreError, TimeoutError) as error:
            self._delay(job_id)
            await self._finish(job_id, value, JobState.WAITING, reason=str(error))
        else:
            await self._done(job_id, value, answer)

    async def _refused(self, job_id: JobId, value: JobRow, error: RefusedError) -> None:
        state = JobState.WAITING
        if error.run is RunState.UNKNOWN and not value.job.idempotent:
            state = JobState.UNKNOWN
        elif 400 <= error.status < 500 and error.status not in PASSING_STATUSES:
            state = JobState.FAILED
        else:
            self._delay(job_id)
        await self._finish(job_id, value, state, reason=str(error), status=error.status)

    def _delay(self, job_id: JobId) -> None:
        delay = self._delays_by_job.get(job_id)
        refusals = 1 if delay is None else delay.refusals + 1
        seconds = min(MAX_RETRY_SECONDS, RETRY_SECONDS * 2 ** min(refusals - 1, 10))
        self._delays_by_job[job_id] = _Delay(self._clock() + seconds, refusals)

    async def _done(self, job_id: JobId, value: JobRow, answer: StoredAnswer) -> None:
        name = f"job/{job_id}/answer-{value.attempt}"
        body = await retry_until_answered(
            lambda: self._jobs.bodies.save(name, answer.body), self._rng
        )
        await self._finish(
            job_id,
            value,
            JobState.DONE,
            status=answer.status,
            headers=answer.headers,
            answer=body,
        )

    async def _finish(
        self, job_id: JobId, value: JobRow, state: JobState, **changes
    ) -> None:
        """Leave this dispatch; counts only while no later one has begun."""
        await retry_until_answered(
            lambda: self._finish_once(job_id, value.attempt, state, changes), self._rng
        )
        if state.is_final:
            self._delays_by_job.pop(job_id, None)

    async def _finish_once(
        self, job_id: JobId, attempt: int, state: JobState, changes: dict
    ) -> None:
        while True:
            row = await self._jobs.read(job_id)
            value = None if row is None else decode_job(row)
            if (
                value is None
                or value.attempt != attempt
                or value.state is not JobState.RUNNING
            ):
                return
            value = msgspec.structs.replace(value, state=state, **changes)
            writes = [Write(row.key, row.version, msgspec.json.encode(value))]
            if state.is_final:
                writes += await self._due_deletion(job_id, value)
            try:
                await self._jobs.table.transact(writes)
                return
            except TransactionConflictError:
                continue

    async def _due_deletion(self, job_id: JobId, value: JobRow) -> list[Write]:
        key = due_key(job_id, value.job.deadline)
        found: Row | None = (await self._jobs.table.read([key])).get(key)
        return [] if found is None else [Write(key, found.version, None)]
