"""Group commit: independent conditional writes share a transaction."""

import asyncio

import msgspec

from bluebellshore.cancellation import is_cancelling
from bluebellshore.errors import PlatformUnavailableError, TransactionConflictError
from bluebellshore.store.interface import (
    MAX_TRANSACTION_WRITES,
    TableService,
    Write,
)

__all__ = ["GROUP_WINDOW_SECONDS", "GroupCommit"]

#: Time for which writes are collected into one transaction.
GROUP_WINDOW_SECONDS = 0.003


class _PendingWrite(msgspec.Struct, eq=False):
    """A write that is waiting for its transaction.

    :param future: receives the row's new version or the error.
    """

    write: Write
    future: asyncio.Future


class GroupCommit:
    """Collects writes of single rows for a short time into one transaction.

    A write whose row has another version fails alone; the others are sent again in
    another transaction.

    :param group_window_seconds: time for which writes are collected.
    """

    def __init__(
        self, table: TableService, *, group_window_seconds: float = GROUP_WINDOW_SECONDS
    ):
        self._table = table
        self._group_window_seconds = group_window_seconds
        self._pending: list[_PendingWrite] = []
        self._flusher: asyncio.Task | None = None

    async def write(self, write: Write) -> int:
        """Apply one conditional write.

        :return: the row's new version.
        :raises TransactionConflictError: the row has another version.
        :raises PlatformError: the platform did not answer; the write may have taken
            effect.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingWrite(write, future))
        if self._flusher is None:
            self._flusher = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        try:
            await asyncio.sleep(self._group_window_seconds)
            while self._pending:
                await self._commit(self._take_distinct())
        finally:
            self._flusher = None

    def _take_distinct(self) -> list[_PendingWrite]:
        """Remove from the pending writes those of one transaction and return them.

        A transaction may write a row only once, so further writes of a row remain.
        """
        chosen_by_key: dict[str, _PendingWrite] = {}
        remaining = []
        for pending in self._pending:
            if len(chosen_by_key) == MAX_TRANSACTION_WRITES:
                remaining.append(pending)
            elif chosen_by_key.setdefault(pending.write.key, pending) is not pending:
                remaining.append(pending)
        self._pending = remaining
        return list(chosen_by_key.values())

    async def _commit(self, writes: list[_PendingWrite]) -> None:
        """Apply writes in a transaction, and again without those that conflict."""
        while writes:
            try:
                versions = await self._table.transact([p.write for p in writes])
            except TransactionConflictError as error:
                conflicting = [p for p in writes if p.write.key in error.keys]
                self._fail_writes(conflicting or writes, error)
                writes = [p for p in writes if not p.future.done()]
            except asyncio.CancelledError as error:
                # The writers are not cancelled, so they must not get this error.
                unavailable = PlatformUnavailableError(
                    "the transaction was cancelled", step="group_commit"
                )
                unavailable.__cause__ = error
                self._fail_writes(writes, unavailable)
                if is_cancelling():
                    raise
                return
            except Exception as error:
                self._fail_writes(writes, error)
                return
            else:
                for pending in writes:
                    if not pending.future.done():
                        pending.future.set_result(versions[pending.write.key])
                return

    def _fail_writes(self, writes: list[_PendingWrite], error: Exception) -> None:
        for pending in writes:
            if not pending.future.done():
                pending.future.set_exception(error)
