"""Deferred requests, stored as jobs until a router has dispatched them."""

import asyncio
import random
from enum import Enum

import eliot
import msgspec
import xxhash

from bluebellshore.decoding import decode_json
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

SUBMIT_STEP = "jobs.submit"
PLATFORM_PEER = "platform"
#: Prefix of index rows of unfinished jobs, whose keys sort by deadline.
DUE_PREFIX = "due/"
#: Time for which a submission is tried before it is refused.
SUBMIT_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 0.05
JOBS_PER_PAGE = 100


class JobState(Enum):
    """State of a job; DONE, FAILED and UNKNOWN are final.

    UNKNOWN means that a job which must not run twice may or may not have run.
    """

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the job has ended and will not be dispatched again."""
        return self in {JobState.DONE, JobState.FAILED, JobState.UNKNOWN}


class Job(msgspec.Struct, frozen=True):
    """A deferred request, whose response is stored for the customer to fetch.

    :param key: request key; requests with the same key and fingerprint are one job.
    :param fingerprint: hash of customer and body.
    :param submitted: Unix time in seconds.
    :param deadline: Unix time in seconds, by which jobs are ordered for dispatch. A
        job still runs after its deadline.
    :param idempotent: whether the job may run again if it is unknown whether it ran.
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
    :param body: request body.
    :param epoch: fencing token of the lease under which it was last dispatched.
    :param attempt: number of the last dispatch. The result of an earlier dispatch is
        discarded.
    :param holder: router incarnation that dispatched it last.
    :param reason: message of the error that ended the last dispatch.
    :param status: HTTP status of the response or of the last refusal.
    :param headers: headers of the response.
    :param answer: body of the response.
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
    """Status of a job as shown to its customer.

    :param attempt: number of dispatches so far.
    :param submitted: Unix time in seconds.
    :param deadline: Unix time in seconds.
    :param reason: message of the error that ended the last dispatch.
    :param answer: the response; None while the job is not DONE and in lists.
    """

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
    """Return the id of a job, which is the same for each submission with its key."""
    return JobId(
        _customer_prefix(job.customer) + xxhash.xxh128_hexdigest(job.key.encode())
    )


def job_key(job_id: JobId) -> str:
    """Return the key of the row of a job."""
    return f"job/{job_id}"


def due_key(job_id: JobId, deadline: float) -> str:
    """Return the key of a job's index row; these keys sort by deadline."""
    return f"{DUE_PREFIX}{max(0, int(deadline * 1000)):016d}/{job_id}"


class Jobs:
    """Stores the jobs of all customers and returns their status.

    :param objects: object store for large bodies; None to keep them in rows.
    :param submit_timeout_seconds: time after which a submission is refused if the
        platform has not answered.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore | None = None,
        *,
        submit_timeout_seconds: float = SUBMIT_TIMEOUT_SECONDS,
        rng: random.Random | None = None,
    ):
        self.table = table
        self.bodies = BodyStore(objects)
        self._submit_timeout_seconds = submit_timeout_seconds
        self._rng = rng or random.Random()

    async def submit(self, job: Job) -> JobId:
        """Store a job and return once the platform has confirmed it.

        :raises RefusedError: the key was used for another request (409), or the
            platform did not answer (503; the job may have been stored and may run).
        """
        insert_sent = False
        try:
            async with asyncio.timeout(self._submit_timeout_seconds):
                while True:
                    try:
                        body = await self._save_body(job)
                        insert_sent = True
                        return await self._insert(job, body)
                    except TransactionConflictError:
                        return await self._existing_job_id(job)
                    except PlatformError as error:
                        eliot.log_message("job_unanswered", error=str(error))
                    await asyncio.sleep(self._rng.uniform(0, MAX_BACKOFF_SECONDS))
        except TimeoutError as error:
            raise self._refusal(insert_sent) from error

    async def fetch(self, job_id: JobId, customer: CustomerId) -> JobView | None:
        """Return the status of a customer's job, with the response if it is done.

        :return: None if there is no such job or it belongs to another customer.
        """
        row = await self.read(job_id)
        job_row = None if row is None else decode_job(row)
        if job_row is None or job_row.job.customer != customer:
            return None
        answer = None
        if job_row.state is JobState.DONE:
            body = await self.bodies.load(job_row.answer)
            answer = StoredAnswer(job_row.status, job_row.headers, body)
        return self._view(job_id, job_row, answer)

    async def list_page(
        self, customer: CustomerId, after: str = "", limit: int = JOBS_PER_PAGE
    ) -> list[JobView]:
        """Return a page of the customer's jobs without responses, in order of id.

        :param after: id of the last job on the previous page; empty for the first
            page.
        """
        prefix = job_key(JobId(_customer_prefix(customer)))
        after_key = job_key(JobId(after)) if after else ""
        rows = await self.table.scan(prefix, after_key, limit)
        job_rows_by_id = {
            JobId(row.key.removeprefix("job/")): decode_job(row) for row in rows
        }
        return [
            self._view(job_id, job_row, None)
            for job_id, job_row in job_rows_by_id.items()
            if job_row.job.customer == customer
        ]

    async def read(self, job_id: JobId) -> Row | None:
        """Return the row of a job, or None if there is no such job."""
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

    async def _existing_job_id(self, job: Job) -> JobId:
        job_id = job_id_for(job)
        row = await self.read(job_id)
        if row is not None and decode_job(row).job.fingerprint == job.fingerprint:
            return job_id
        raise RefusedError(
            "the key is in use for another request",
            step=SUBMIT_STEP,
            peer=job_id,
            status=409,
        )

    def _refusal(self, insert_sent: bool) -> RefusedError:
        return OverloadError(
            "the table service gives no answer",
            step=SUBMIT_STEP,
            peer=PLATFORM_PEER,
            run=RunState.UNKNOWN if insert_sent else RunState.NOT_RUN,
            retry_after=RETRY_AFTER_SECONDS,
        )

    def _view(
        self, job_id: JobId, job_row: JobRow, answer: StoredAnswer | None
    ) -> JobView:
        return JobView(
            job_id,
            job_row.state,
            job_row.attempt,
            job_row.job.submitted,
            job_row.job.deadline,
            job_row.reason,
            answer,
        )


def decode_job(row: Row) -> JobRow:
    """Decode the value of a job's row."""
    return decode_json(row.value, JobRow)
