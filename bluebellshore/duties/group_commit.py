"""Group commit of independent conditional writes."""

import asyncio

import msgspec

from bluebellshore.errors import PlatformError, TransactionConflictError
from bluebellshore.store.interface import (
    MAX_TRANSACTION_WRITES,
    TableService,
    Write,
)

__all__ = ["GROUP_WINDOW_SECONDS", "GroupCommit"]

GROUP_WINDOW_SECONDS = 0.003


class _Pending(msgspec.Struct, eq=False):
    write: Write
    future: asyncio.Future


class GroupCommit:
    """Collects single-row writes for a few milliseconds into one transaction.

    Writes whose row has changed fail alone; the others go into another transaction.
    """

    def __init__(
        self, table: TableService, *, group_window_seconds: float = GROUP_WINDOW_SECONDS
    ):
        self._table = table
        self._group_window_seconds = group_window_seconds
        self._pending: list[_Pending] = []
        self._flusher: asyncio.Task | None = None

    async def write(self, write: Write) -> int:
        """Apply one conditional write. :return: the row's new version.

        :raises TransactionConflictError: the row has another version.
        :raises PlatformError: no answer; the write may have taken effect.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(write, future))
        if self._flusher is None:
            self._flusher = asyncio.create_task(self._flush())
        return await future

    async def _flush(self) -> None:
        try:
            await asyncio.sleep(self._group_window_seconds)
            while self._pending:
                await self._commit(self._take())
        finally:
            self._flusher = None

    def _take(self) -> list[_Pending]:
        """Take writes of distinct rows."""
        group_by_key: dict[str, _Pending] = {}
        rest = []
        for pending in self._pending:
            if len(group_by_key) == MAX_TRANSACTION_WRITES:
                rest.append(pending)
            elif group_by_key.setdefault(pending.write.key, pending) is not pending:
                rest.append(pending)
        self._pending = rest
        return list(group_by_key.values())

    async def _commit(self, group: list[_Pending]) -> None:
        while group:
            try:
                versions = await self._table.transact([p.write for p in group])
            except TransactionConflictError as error:
                conflicting = [p for p in group if p.write.key in error.keys]
                self._fail(conflicting or group, error)
                group = [p for p in group if not p.future.done()]
            except BaseException as error:
                self._fail(group, error)
                if isinstance(error, PlatformError):
                    return
                raise
            else:
                for pending in group:
                    if not pending.future.done():
                        pending.future.set_result(versions[pending.write.key])
                return

    def _fail(self, group: list[_Pending], error: BaseException) -> None:
        for pending in group:
            if not pending.future.done():
                pending.future.set_exception(error)
