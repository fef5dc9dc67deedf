"""Claim rows that let each non-idempotent call run at most once."""

import asyncio
import random
import uuid
from collections.abc import Callable
from enum import Enum

import eliot
import msgspec

from bluebellshore.decoding import decode_json
from bluebellshore.duties.answers import BodyStore, Header, StoredAnswer, StoredBody
from bluebellshore.duties.group_commit import GROUP_WINDOW_SECONDS, GroupCommit
from bluebellshore.duties.retry import back_off, retry_until_answered
from bluebellshore.errors import OverloadError, PlatformError, TransactionConflictError
from bluebellshore.ids import IncarnationId, RequestKey
from bluebellshore.store.interface import (
    ABSENT,
    ObjectStore,
    Row,
    TableService,
    Write,
)
from bluebellshore.store.keys import shorten_key

__all__ = ["ClaimResult", "ClaimRow", "ClaimState", "Claims", "claim_key"]

CLAIM_STEP = "claims.claim"
PLATFORM_PEER = "platform"
#: Time for which a claim is tried before the call is refused.
CLAIM_TIMEOUT_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0


class ClaimState(Enum):
    """State of a claim row, or the outcome of an attempt to claim.

    ``CLAIMED`` and ``MISMATCH`` occur only in a :class:`ClaimResult`. ``CLAIMED``
    allows this router to dispatch the call once; ``MISMATCH`` means that the key was
    used for a request with another fingerprint. ``RELEASED`` occurs only in rows: the
    call did not run and may be claimed again. ``UNKNOWN`` means that the call may or
    may not have run.
    """

    CLAIMED = "claimed"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"
    MISMATCH = "mismatch"


class ClaimRow(msgspec.Struct):
    """Row ``claim/<key>``.

    Rows are not deleted, so that no version repeats, not even that of an absent row; a
    write that takes effect late therefore conflicts.

    :param claim_id: unique id of one claim. A router whose write was not answered
        compares it to find out whether the claim in the row is its own.
    :param state: RUNNING, DONE, UNKNOWN or RELEASED.
    :param sidecar: sidecar incarnation to which the call was to be dispatched.
    :param holder: router incarnation that claimed the call.
    :param fingerprint: hash of the request; a retry must have the same.
    :param status: HTTP status of the recorded response; 0 before it is DONE.
    """

    claim_id: str
    state: ClaimState
    sidecar: IncarnationId
    holder: IncarnationId
    fingerprint: str
    status: int = 0
    headers: list[Header] = msgspec.field(default_factory=list)
    body: StoredBody = msgspec.field(default_factory=StoredBody)


class ClaimResult(msgspec.Struct, frozen=True):
    """Result of an attempt to claim a call.

    :param claim_id: id of the claim in the row, which may be another router's.
    :param answer: the recorded response when DONE, else None.
    :param sidecar: sidecar incarnation on which the call runs or ran.
    :param holder: router incarnation that dispatched the call.
    """

    state: ClaimState
    claim_id: str = ""
    answer: StoredAnswer | None = None
    sidecar: IncarnationId = IncarnationId("")
    holder: IncarnationId = IncarnationId("")


def claim_key(key: RequestKey) -> str:
    """Return the key of the claim row of a request."""
    return shorten_key(f"claim/{key}")


def _new_claim_id() -> str:
    return uuid.uuid4().hex


class Claims:
    """Claims calls for one router and records their outcomes.

    :param objects: object store for large response bodies; None to keep them in rows.
    :param claim_timeout_seconds: time after which a call is refused if the platform
        has not answered its claim.
    :param group_window_seconds: time for which writes are collected into one
        transaction.
    :param new_claim_id: returns a unique claim id.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore | None = None,
        *,
        claim_timeout_seconds: float = CLAIM_TIMEOUT_SECONDS,
        group_window_seconds: float = GROUP_WINDOW_SECONDS,
        new_claim_id: Callable[[], str] = _new_claim_id,
        rng: random.Random | None = None,
    ):
        self._table = table
        self._group_commit = GroupCommit(
            table, group_window_seconds=group_window_seconds
        )
        self._body_store = BodyStore(objects)
        self._claim_timeout_seconds = claim_timeout_seconds
        self._new_claim_id = new_claim_id
        self._rng = rng or random.Random()
        self._claim_ids_by_key: dict[RequestKey, str] = {}
        self._withdrawal_tasks: set[asyncio.Task] = set()

    async def claim(
        self,
        key: RequestKey,
        sidecar: IncarnationId,
        incarnation: IncarnationId,
        fingerprint: str,
    ) -> ClaimResult:
        """Claim a call before it is dispatched.

        :param incarnation: this router's incarnation.
        :raises OverloadError: the platform did not answer; the call did not run.
        """
        row = ClaimRow(
            self._new_claim_id(), ClaimState.RUNNING, sidecar, incarnation, fingerprint
        )
        try:
            async with asyncio.timeout(self._claim_timeout_seconds):
                result = await self._claim(key, row)
        except BaseException as error:
            # The row may have been written, but the call will not be dispatched.
            self._withdraw(key, row)
            if isinstance(error, TimeoutError):
                raise self._refusal() from error
            raise
        if result.state is ClaimState.CLAIMED:
            self._claim_ids_by_key[key] = row.claim_id
        return result

    async def record(
        self, key: RequestKey, outcome: StoredAnswer, claim_id: str = ""
    ) -> None:
        """Record the response to a claimed call; retries until the platform answers.

        :param claim_id: another router's claim whose response this router fetched;
            empty for this router's own claim.
        """
        expected_claim_id = claim_id or self._claim_ids_by_key.get(key, "")
        await retry_until_answered(
            lambda: self._record(key, expected_claim_id, outcome), self._rng
        )
        self._claim_ids_by_key.pop(key, None)

    async def record_unknown(self, key: RequestKey, claim_id: str) -> None:
        """Record that a claimed call may or may not have run.

        The row is never released afterwards, only completed by :meth:`record`.
        """
        await retry_until_answered(
            lambda: self._transition(key, claim_id, ClaimState.UNKNOWN), self._rng
        )

    async def release(self, key: RequestKey, claim_id: str = "") -> None:
        """Allow a retry to claim a call that did not run.

        :param claim_id: another router's claim, if its sidecar reports that the call
            did not run and has fenced the claim's holder; empty for this router's own
            claim.
        """
        expected_claim_id = claim_id or self._claim_ids_by_key.pop(key, "")
        await retry_until_answered(
            lambda: self._transition(key, expected_claim_id, ClaimState.RELEASED),
            self._rng,
        )

    async def close(self) -> None:
        """Wait for the release of claims whose calls were not dispatched.

        The wait ends after the claim timeout.
        """
        if self._withdrawal_tasks:
            await asyncio.wait(
                self._withdrawal_tasks, timeout=self._claim_timeout_seconds
            )
        for task in self._withdrawal_tasks:
            task.cancel()

    async def _claim(self, key: RequestKey, row: ClaimRow) -> ClaimResult:
        expect = ABSENT
        failures = 0
        while True:
            try:
                await self._group_commit.write(
                    self._conditional_write(key, expect, row)
                )
                return self._claimed_result(row)
            except TransactionConflictError:
                pass
            except PlatformError as error:
                failures += 1
                eliot.log_message("claim_unanswered", key=key, error=str(error))
                await back_off(failures, self._rng)
            try:
                found = await self._read(key)
            except PlatformError:
                continue
            result = await self._evaluate_existing(row, found)
            if result is not None:
                return result
            expect = ABSENT if found is None else found.version

    async def _evaluate_existing(
        self, row: ClaimRow, found: Row | None
    ) -> ClaimResult | None:
        """Return the result for the row found; None if it may be claimed."""
        if found is None:
            return None
        other = decode_json(found.value, ClaimRow)
        if other.claim_id == row.claim_id:
            return self._claimed_result(row)
        if other.state is ClaimState.RELEASED:
            return None
        if other.fingerprint != row.fingerprint:
            return ClaimResult(ClaimState.MISMATCH, other.claim_id)
        answer = None
        if other.state is ClaimState.DONE:
            body = await self._body_store.load(other.body)
            answer = StoredAnswer(other.status, other.headers, body)
        return ClaimResult(
            other.state, other.claim_id, answer, other.sidecar, other.holder
        )

    def _claimed_result(self, row: ClaimRow) -> ClaimResult:
        return ClaimResult(
            ClaimState.CLAIMED, row.claim_id, None, row.sidecar, row.holder
        )

    async def _record(
        self, key: RequestKey, claim_id: str, outcome: StoredAnswer
    ) -> None:
        body = await self._body_store.save(f"answer/{claim_id}", outcome.body)
        await self._transition(
            key,
            claim_id,
            ClaimState.DONE,
            status=outcome.status,
            headers=outcome.headers,
            body=body,
        )

    async def _transition(
        self, key: RequestKey, claim_id: str, state: ClaimState, **changes
    ) -> None:
        """Move a claim to `state` unless its outcome is recorded or it is replaced.

        UNKNOWN may still become DONE, since the response may be found later.
        """
        allowed = {ClaimState.RUNNING}
        if state is ClaimState.DONE:
            allowed.add(ClaimState.UNKNOWN)
        while True:
            found = await self._read(key)
            if found is None:
                return
            row = decode_json(found.value, ClaimRow)
            if row.claim_id != claim_id or row.state not in allowed:
                return
            changed = msgspec.structs.replace(row, state=state, **changes)
            try:
                await self._group_commit.write(
                    self._conditional_write(key, found.version, changed)
                )
                return
            except TransactionConflictError:
                continue

    def _withdraw(self, key: RequestKey, row: ClaimRow) -> None:
        """Release, in the background, a claim that may have been written."""
        task = asyncio.create_task(
            retry_until_answered(lambda: self._write_released(key, row), self._rng)
        )
        self._withdrawal_tasks.add(task)
        task.add_done_callback(self._withdrawal_tasks.discard)

    async def _write_released(self, key: RequestKey, row: ClaimRow) -> None:
        """Write the claim as released, unless the row holds another active claim.

        The row is written even if it is absent or holds another released claim: its
        new version makes this claim's own write conflict if that takes effect late.
        """
        released = msgspec.structs.replace(row, state=ClaimState.RELEASED)
        while True:
            found = await self._read(key)
            if found is not None:
                other = decode_json(found.value, ClaimRow)
                is_released = other.state is ClaimState.RELEASED
                if other.claim_id != row.claim_id and not is_released:
                    return
                if other.claim_id == row.claim_id and is_released:
                    return
            expect = ABSENT if found is None else found.version
            try:
                await self._group_commit.write(
                    self._conditional_write(key, expect, released)
                )
                return
            except TransactionConflictError:
                continue

    async def _read(self, key: RequestKey) -> Row | None:
        row_key = claim_key(key)
        return (await self._table.read([row_key])).get(row_key)

    def _conditional_write(self, key: RequestKey, expect: int, row: ClaimRow) -> Write:
        return Write(claim_key(key), expect, msgspec.json.encode(row))

    def _refusal(self) -> OverloadError:
        return OverloadError(
            "the table service gives no answer",
            step=CLAIM_STEP,
            peer=PLATFORM_PEER,
            retry_after=RETRY_AFTER_SECONDS,
        )
