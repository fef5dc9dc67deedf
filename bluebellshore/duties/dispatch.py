"""Dispatch of stored jobs by the router that holds the lease for it."""

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

JOBS_LEASE = "jobs"
MAX_RUNNING_JOBS = 16
JOBS_PER_PAGE = 200
MAX_PAGES_PER_RUN = 5
MIN_RETRY_SECONDS = 1.0
MAX_RETRY_SECONDS = 60.0
#: Refusals with these 4xx statuses may be temporary; the job is tried again.
TRANSIENT_STATUSES = frozenset({402, 408, 409, 425, 429})

RunJob = Callable[[Job], Awaitable[StoredAnswer]]


class _RetryDelay(msgspec.Struct):
    """Delay before a job whose last dispatch failed is tried again.

    :param until: monotonic time in seconds at which the delay ends.
    :param refusals: failed dispatches so far; each doubles the delay.
    """

    until: float
    refusals: int


class JobDispatcher:
    """Runs waiting jobs in the order of their deadlines while it holds the lease.

    A job that is running under an older fencing token has lost its dispatcher and is
    dispatched again. Its request key protects it from running twice, as it does a
    request that a caller retries.

    :param jobs: the stored jobs.
    :param leases: leases of this router.
    :param holder: this router's incarnation.
    :param max_running: most jobs that run here at the same time.
    """

    def __init__(
        self,
        jobs: Jobs,
        leases: LeaseManager,
        holder: IncarnationId,
        *,
        max_running: int = MAX_RUNNING_JOBS,
        clock: Callable[[], float] = time.monotonic,
    ):
        self._jobs = jobs
        self._leases = leases
        self._holder = holder
        self._max_running = max_running
        self._clock = clock
        self._rng = random.Random()
        self._tasks_by_job: dict[JobId, asyncio.Task] = {}
        self._delays_by_job: dict[JobId, _RetryDelay] = {}
        self._dispatching = asyncio.Lock()
        self._stopping = False

    @property
    def running(self) -> int:
        """Return the number of jobs that run on this router."""
        return len(self._tasks_by_job)

    async def run_once(self, run: RunJob) -> int:
        """Start the jobs that may run now, without waiting for them to finish.

        :param run: sends a job's request and returns the response.
        :return: number of jobs started; 0 without the lease.
        """
        async with self._dispatching:
            epoch = await self._leases.acquire(JOBS_LEASE)
            if epoch is None:
                return 0
            try:
                return await self._start_due(epoch, run)
            except PlatformError as error:
                eliot.log_message("job_dispatch_failed", error=str(error))
                return 0

    async def stop(self) -> None:
        """Start no more jobs, then wait until the running ones have finished."""
        self._stopping = True
        async with self._dispatching:
            pass
        await self.close()

    async def close(self) -> None:
        """Wait until the jobs that run on this router have finished."""
        if self._tasks_by_job:
            await asyncio.wait(set(self._tasks_by_job.values()))

    async def _start_due(self, epoch: Epoch, run: RunJob) -> int:
        started = 0
        after = ""
        for _ in range(MAX_PAGES_PER_RUN):
            page = await self._jobs.table.scan(DUE_PREFIX, after, JOBS_PER_PAGE)
            for index_row in page:
                if self._stopping or len(self._tasks_by_job) >= self._max_running:
                    return started
                job_id = JobId(index_row.key.rpartition("/")[2])
                started += await self._start(job_id, epoch, run)
            if len(page) < JOBS_PER_PAGE:
                break
            after = page[-1].key
        return started

    async def _start(self, job_id: JobId, epoch: Epoch, run: RunJob) -> bool:
        """Dispatch a job that may run now. :return: whether it was dispatched.

        A job that the row shows running on this router, but that is not running, was
        not started because its write was not answered; it is dispatched again.
        """
        delay = self._delays_by_job.get(job_id)
        if job_id in self._tasks_by_job or (delay and self._clock() < delay.until):
            return False
        row = await self._jobs.read(job_id)
        if row is None:
            return False
        job_row = decode_job(row)
        is_dispatched = job_row.state is JobState.RUNNING and job_row.epoch >= epoch
        if job_row.state.is_final or (is_dispatched and job_row.holder != self._holder):
            return False
        job_row.state, job_row.epoch, job_row.holder = (
            JobState.RUNNING,
            epoch,
            self._holder,
        )
        job_row.attempt += 1
        write = Write(row.key, row.version, msgspec.json.encode(job_row))
        try:
            await self._leases.transact(JOBS_LEASE, [write])
        except TransactionConflictError:
            return False
        task = asyncio.create_task(self._run(job_id, job_row, run))
        self._tasks_by_job[job_id] = task
        task.add_done_callback(lambda _: self._tasks_by_job.pop(job_id, None))
        return True

    async def _run(self, job_id: JobId, job_row: JobRow, run: RunJob) -> None:
        try:
            body = await self._jobs.bodies.load(job_row.body)
            job = msgspec.structs.replace(
                job_row.job, body=body, attempt=job_row.attempt
            )
            answer = await run(job)
        except RefusedError as error:
            await self._finish_refused(job_id, job_row, error)
        except (BluebellshoreError, TimeoutError) as error:
            self._schedule_retry(job_id)
            await self._finish(job_id, job_row, JobState.WAITING, reason=str(error))
        else:
            await self._finish_done(job_id, job_row, answer)

    async def _finish_refused(
        self, job_id: JobId, job_row: JobRow, error: RefusedError
    ) -> None:
        """Record a refusal: the job waits for a retry, has failed or is unknown."""
        state = JobState.WAITING
        if error.run is RunState.UNKNOWN and not job_row.job.idempotent:
            state = JobState.UNKNOWN
        elif 400 <= error.status < 500 and error.status not in TRANSIENT_STATUSES:
            state = JobState.FAILED
        else:
            self._schedule_retry(job_id)
        await self._finish(
            job_id, job_row, state, reason=str(error), status=error.status
        )

    def _schedule_retry(self, job_id: JobId) -> None:
        delay = self._delays_by_job.get(job_id)
        refusals = 1 if delay is None else delay.refusals + 1
        seconds = min(MAX_RETRY_SECONDS, MIN_RETRY_SECONDS * 2 ** min(refusals - 1, 10))
        self._delays_by_job[job_id] = _RetryDelay(self._clock() + seconds, refusals)

    async def _finish_done(
        self, job_id: JobId, job_row: JobRow, answer: StoredAnswer
    ) -> None:
        name = f"job/{job_id}/answer-{job_row.attempt}"
        body = await retry_until_answered(
            lambda: self._jobs.bodies.save(name, answer.body), self._rng
        )
        await self._finish(
            job_id,
            job_row,
            JobState.DONE,
            status=answer.status,
            headers=answer.headers,
            answer=body,
        )

    async def _finish(
        self, job_id: JobId, job_row: JobRow, state: JobState, **changes
    ) -> None:
        """Record the end of a dispatch, unless a later dispatch has begun."""
        await retry_until_answered(
            lambda: self._finish_once(job_id, job_row.attempt, state, changes),
            self._rng,
        )
        if state.is_final:
            self._delays_by_job.pop(job_id, None)

    async def _finish_once(
        self, job_id: JobId, attempt: int, state: JobState, changes: dict
    ) -> None:
        while True:
            row = await self._jobs.read(job_id)
            job_row = None if row is None else decode_job(row)
            if (
                job_row is None
                or job_row.attempt != attempt
                or job_row.state is not JobState.RUNNING
            ):
                return
            job_row = msgspec.structs.replace(job_row, state=state, **changes)
            writes = [Write(row.key, row.version, msgspec.json.encode(job_row))]
            if state.is_final:
                writes += await self._index_deletion(job_id, job_row)
            try:
                await self._jobs.table.transact(writes)
                return
            except TransactionConflictError:
                continue

    async def _index_deletion(self, job_id: JobId, job_row: JobRow) -> list[Write]:
        """Return the write that deletes the job's index row, if it exists."""
        key = due_key(job_id, job_row.job.deadline)
        found: Row | None = (await self._jobs.table.read([key])).get(key)
        return [] if found is None else [Write(key, found.version, None)]
