"""Deferred work: stored before it is accepted, dispatched until it has an answer."""

import asyncio
import random
from enum import Enum

import eliot
import msgspec
import xxhash

from bluebellshore.duties.answers import BodyStore, Header, StoredAnswer, StoredBody
from bluebellshore.errors import (
    OverloadError,
    PlatformError,
    RefusedError,
    RunState,
    TransactionConflictError,
)
from bluebellshore.ids import CustomerId, Epoch, IncarnationId, JobId, RequestKey
from bluebellshore.store.interface import (
    ABSENT,
    ObjectStore,
    Row,
    TableService,
    Write,
)

__all__ = [
    "DUE_PREFIX",
    "Job",
    "JobRow",
    "JobState",
    "JobView",
    "Jobs",
    "due_key",
    "job_id_for",
    "job_key",
]

STEP = "jobs.submit"
PLATFORM = "platform"
DUE_PREFIX = "due/"
SUBMIT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0
BACKOFF_SECONDS = 0.05
PAGE_JOBS = 100


class JobState(Enum):
    """State of a job; DONE, FAILED and UNKNOWN are final."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the job is finished."""
        return self in {JobState.DONE, JobState.FAILED, JobState.UNKNOWN}


class Job(msgspec.Struct, frozen=True):
    """A request whose answer may wait.

    :param key: request key; a job submitted again under its key is the same job.
    :param fingerprint: hash of customer and body.
    :param deadline: Unix time in seconds; orders dispatch. A late job still runs.
    :param idempotent: whether it may run again when nobody can tell if it ran.
    :param attempt: number of the dispatch, set by the dispatcher.
    """

    key: RequestKey
    customer: CustomerId
    fingerprint: str
    method: str
    path: str
    submitted: float
    deadline: float
    headers: list[Header] = msgspec.field(default_factory=list)
    body: bytes = b""
    idempotent: bool = True
    attempt: int = 0


class JobRow(msgspec.Struct):
    """Row ``job/<id>``.

    :param job: the job without its body.
    :param epoch: fencing number of the lease under which it was dispatched last.
    :param attempt: number of that dispatch; its answer counts only while unchanged.
    :param reason: last refusal.
    """

    job: Job
    body: StoredBody
    state: JobState = JobState.WAITING
    epoch: Epoch = Epoch(0)
    attempt: int = 0
    holder: IncarnationId = IncarnationId("")
    reason: str = ""
    status: int = 0
    headers: list[Header] = msgspec.field(default_factory=list)
    answer: StoredBody = msgspec.field(default_factory=StoredBody)


class JobView(msgspec.Struct, frozen=True):
    """What a customer sees of a job; `answer` once it is done."""

    job_id: JobId
    state: JobState
    attempt: int
    submitted: float
    deadline: float
    reason: str = ""
    answer: StoredAnswer | None = None


def _customer_prefix(customer: CustomerId) -> str:
    return f"{xxhash.xxh64_hexdigest(customer.encode())}-"


def job_id_for(job: Job) -> JobId:
    """Return the id of a job, the same for each submission under one key."""
    return JobId(
        _customer_prefix(job.customer) + xxhash.xxh128_hexdigest(job.key.encode())
    )


def job_key(job_id: JobId) -> str:
    """Return the key of a job's row."""
    return f"job/{job_id}"


def due_key(job_id: JobId, deadline: float) -> str:
    """Return the key of the index row of an unfinished job; sorts by deadline."""
    return f"{DUE_PREFIX}{max(0, int(deadline * 1000)):016d}/{job_id}"


class Jobs:
    """Stores jobs and shows them to their customers."""

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore | None = None,
        *,
        submit_seconds: float = SUBMIT_SECONDS,
        rng: random.Random | None = None,
    ):
        self.table = table
        self.bodies = BodyStore(objects)
        self._submit_seconds = submit_seconds
        self._rng = rng or random.Random()

    async def submit(self, job: Job) -> JobId:
        """Store a job; returns once it is certain to be kept.

        :raises RefusedError: its key is in use for another request (409), or the
            platform gave no answer (503, unknown: it may be kept and run).
        """
        sent = False
        try:
            async with asyncio.timeout(self._submit_seconds):
                while True:
                    try:
                        body = await self._save_body(job)
                        sent = True
                        return await self._insert(job, body)
                    except TransactionConflictError:
                        return await self._existing(job)
                    except PlatformError as error:
                        eliot.log_message("job_unanswered", error=str(error))
                    await asyncio.sleep(self._rng.uniform(0, BACKOFF_SECONDS))
        except TimeoutError as error:
            raise self._refusal(sent) from error

    async def fetch(self, job_id: JobId, customer: CustomerId) -> JobView | None:
        """Return a job of the customer, with its answer when done."""
        row = await self.read(job_id)
        value = None if row is None else decode_job(row)
        if value is None or value.job.customer != customer:
            return None
        answer = None
        if value.state is JobState.DONE:
            body = await self.bodies.load(value.answer)
            answer = StoredAnswer(value.status, value.headers, body)
        return self._view(job_id, value, answer)

    async def list_page(
        self, customer: CustomerId, after: str = "", limit: int = PAGE_JOBS
    ) -> list[JobView]:
        """Return a page of the customer's jobs without answers, in order of id.

        :param after: id of the last job of the page before; empty for the first.
        """
        prefix = job_key(JobId(_customer_prefix(customer)))
        last = job_key(JobId(after)) if after else ""
        rows = await self.table.scan(prefix, last, limit)
        values = {JobId(row.key.removeprefix("job/")): decode_job(row) for row in rows}
        return [
            self._view(job_id, value, None)
            for job_id, value in values.items()
            if value.job.customer == customer
        ]

    async def read(self, job_id: JobId) -> Row | None:
        """Return a job's row."""
        key = job_key(job_id)
        return (await self.table.read([key])).get(key)

    async def _save_body(self, job: Job) -> StoredBody:
        name = f"job/{job_id_for(job)}/{job.fingerprint}"
        return await self.bodies.save(name, job.body)

    async def _insert(self, job: Job, body: StoredBody) -> JobId:
        job_id = job_id_for(job)
        row = JobRow(msgspec.structs.replace(job, body=b""), body)
        await self.table.transact(
            [
                Write(job_key(job_id), ABSENT, msgspec.json.encode(row)),
                Write(due_key(job_id, job.deadline), ABSENT, b"{}"),
            ]
        )
        return job_id

    async def _existing(self, job: Job) -> JobId:
        job_id = job_id_for(job)
        row = await self.read(job_id)
        if row is not None and decode_job(row).job.fingerprint == job.fingerprint:
            return job_id
        raise RefusedError(
            "the key is in use for another request", step=STEP, peer=job_id, status=409
        )

    def _refusal(self, sent: bool) -> RefusedError:
        return OverloadError(
            "the table service gives no answer",
            step=STEP,
            peer=PLATFORM,
            run=RunState.UNKNOWN if sent else RunState.NOT_RUN,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _view(
        self, job_id: JobId, value: JobRow, answer: StoredAnswer | None
    ) -> JobView:
        return JobView(
            job_id,
            value.state,
            value.attempt,
            value.job.submitted,
            value.job.deadline,
            value.reason,
            answer,
        )


def decode_job(row: Row) -> JobRow:
    """Decode a job's row."""
    return msgspec.json.decode(row.value, type=JobRow)
