"""Claims of non-idempotent calls: each runs at most once."""

import asyncio
import random
import uuid
from collections.abc import Callable
from enum import Enum

import eliot
import msgspec

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

STEP = "claims.claim"
PLATFORM = "platform"
CLAIM_SECONDS = 5.0
RETRY_AFTER_SECONDS = 1.0


class ClaimState(Enum):
    """State of a claim row, or what a claimer finds.

    ``CLAIMED`` in a result means: this router may dispatch the call, once.
    """

    CLAIMED = "claimed"
    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    RELEASED = "released"
    MISMATCH = "mismatch"


class ClaimRow(msgspec.Struct):
    """Row ``claim/<key>``. Rows are not deleted, so that versions never repeat.

    :param claim_id: names one claim; compared when an answer was lost.
    :param state: RUNNING, DONE, UNKNOWN or RELEASED.
    :param sidecar: where the call was to run.
    :param holder: router incarnation that claimed.
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
    """What became of an attempt to claim.

    :param answer: the recorded outcome when DONE.
    :param sidecar: where the call runs or ran.
    :param holder: router incarnation that dispatched it.
    """

    state: ClaimState
    claim_id: str = ""
    answer: StoredAnswer | None = None
    sidecar: IncarnationId = IncarnationId("")
    holder: IncarnationId = IncarnationId("")


def claim_key(key: RequestKey) -> str:
    """Return the key of a claim's row."""
    return shorten_key(f"claim/{key}")


def _new_claim_id() -> str:
    return uuid.uuid4().hex


class Claims:
    """Claims calls for one router and records their outcomes.

    :param claim_seconds: time after which a claim is refused while the platform
        gives no answer.
    :param group_seconds: time for which claims are collected into a transaction.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore | None = None,
        *,
        claim_seconds: float = CLAIM_SECONDS,
        group_window_seconds: float = GROUP_WINDOW_SECONDS,
        new_claim_id: Callable[[], str] = _new_claim_id,
        rng: random.Random | None = None,
    ):
        self._table = table
        self._group = GroupCommit(table, group_window_seconds=group_window_seconds)
        self._bodies = BodyStore(objects)
        self._claim_seconds = claim_seconds
        self._new_claim_id = new_claim_id
        self._rng = rng or random.Random()
        self._claim_ids: dict[RequestKey, str] = {}
        self._withdrawals: set[asyncio.Task] = set()

    async def claim(
        self,
        key: RequestKey,
        sidecar: IncarnationId,
        incarnation: IncarnationId,
        fingerprint: str,
    ) -> ClaimResult:
        """Claim a call before it is dispatched.

        :raises OverloadError: the platform gave no answer; the call did not run.
        """
        row = ClaimRow(
            self._new_claim_id(), ClaimState.RUNNING, sidecar, incarnation, fingerprint
        )
        try:
            async with asyncio.timeout(self._claim_seconds):
                result = await self._claim(key, row)
        except BaseException as error:
            # The claim may stand although nothing will be sent.
            self._withdraw(key, row)
            if isinstance(error, TimeoutError):
                raise self._refusal() from error
            raise
        if result.state is ClaimState.CLAIMED:
            self._claim_ids[key] = row.claim_id
        return result

    async def record(
        self, key: RequestKey, outcome: StoredAnswer, claim_id: str = ""
    ) -> None:
        """Record the outcome of a claimed call; retries until the platform answers.

        :param claim_id: another router's claim whose answer this router fetched;
            empty for the own claim.
        """
        wanted = claim_id or self._claim_ids.get(key, "")
        await retry_until_answered(
            lambda: self._record(key, wanted, outcome), self._rng
        )
        self._claim_ids.pop(key, None)

    async def record_unknown(self, key: RequestKey, claim_id: str) -> None:
        """Record that nobody can tell whether a claimed call ran; it stays so."""
        await retry_until_answered(
            lambda: self._change(key, claim_id, ClaimState.UNKNOWN), self._rng
        )

    async def release(self, key: RequestKey, claim_id: str = "") -> None:
        """Let a later retry claim again: the call did not run.

        :param claim_id: another router's claim, when its sidecar says that it did
            not run and its holder is fenced there; empty for the own claim.
        """
        wanted = claim_id or self._claim_ids.pop(key, "")
        await retry_until_answered(
            lambda: self._change(key, wanted, ClaimState.RELEASED), self._rng
        )

    async def close(self) -> None:
        """Wait for withdrawals of claims that were never used."""
        if self._withdrawals:
            await asyncio.wait(self._withdrawals, timeout=self._claim_seconds)
        for task in self._withdrawals:
            task.cancel()

    async def _claim(self, key: RequestKey, row: ClaimRow) -> ClaimResult:
        expect = ABSENT
        failures = 0
        while True:
            try:
                await self._group.write(self._write(key, expect, row))
                return self._claimed(row)
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
            result = await self._found(row, found)
            if result is not None:
                return result
            expect = ABSENT if found is None else found.version

    async def _found(self, row: ClaimRow, found: Row | None) -> ClaimResult | None:
        """Judge the row that is there. :return: None when it may be claimed."""
        if found is None:
            return None
        other = msgspec.json.decode(found.value, type=ClaimRow)
        if other.claim_id == row.claim_id:
            return self._claimed(row)
        if other.state is ClaimState.RELEASED:
            return None
        if other.fingerprint != row.fingerprint:
            return ClaimResult(ClaimState.MISMATCH, other.claim_id)
        answer = None
        if other.state is ClaimState.DONE:
            body = await self._bodies.load(other.body)
            answer = StoredAnswer(other.status, other.headers, body)
        return ClaimResult(
            other.state, other.claim_id, answer, other.sidecar, other.holder
        )

    def _claimed(self, row: ClaimRow) -> ClaimResult:
        return ClaimResult(
            ClaimState.CLAIMED, row.claim_id, None, row.sidecar, row.holder
        )

    async def _record(
        self, key: RequestKey, claim_id: str, outcome: StoredAnswer
    ) -> None:
        body = await self._bodies.save(f"answer/{claim_id}", outcome.body)
        await self._change(
            key,
            claim_id,
            ClaimState.DONE,
            status=outcome.status,
            headers=outcome.headers,
            body=body,
        )

    async def _change(
        self, key: RequestKey, claim_id: str, state: ClaimState, **changes
    ) -> None:
        """Move a claim without an outcome to `state`; others stay as they are."""
        allowed = {ClaimState.RUNNING}
        if state is ClaimState.DONE:
            allowed.add(ClaimState.UNKNOWN)
        while True:
            found = await self._read(key)
            if found is None:
                return
            row = msgspec.json.decode(found.value, type=ClaimRow)
            if row.claim_id != claim_id or row.state not in allowed:
                return
            changed = msgspec.structs.replace(row, state=state, **changes)
            try:
                await self._group.write(self._write(key, found.version, changed))
                return
            except TransactionConflictError:
                continue

    def _withdraw(self, key: RequestKey, row: ClaimRow) -> None:
        """Release in the background a claim whose fate is open."""
        task = asyncio.create_task(
            retry_until_answered(lambda: self._withdraw_once(key, row), self._rng)
        )
        self._withdrawals.add(task)
        task.add_done_callback(self._withdrawals.discard)

    async def _withdraw_once(self, key: RequestKey, row: ClaimRow) -> None:
        """Write a released row even when none is there, against a late write."""
        released = msgspec.structs.replace(row, state=ClaimState.RELEASED)
        while True:
            found = await self._read(key)
            if found is not None:
                other = msgspec.json.decode(found.value, type=ClaimRow)
                free = other.state is ClaimState.RELEASED
                if other.claim_id != row.claim_id and not free:
                    return
                if other.claim_id == row.claim_id and free:
                    return
            expect = ABSENT if found is None else found.version
            try:
                await self._group.write(self._write(key, expect, released))
                return
            except TransactionConflictError:
                continue

    async def _read(self, key: RequestKey) -> Row | None:
        row_key = claim_key(key)
        return (await self._table.read([row_key])).get(row_key)

    def _write(self, key: RequestKey, expect: int, row: ClaimRow) -> Write:
        return Write(claim_key(key), expect, msgspec.json.encode(row))

    def _refusal(self) -> OverloadError:
        return OverloadError(
            "the table service gives no answer",
            step=STEP,
            peer=PLATFORM,
            retry_after=RETRY_AFTER_SECONDS,
        )
