"""Client of the platform's store."""

import asyncio
import base64
import time
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.store import (
    ABSENT,
    Row,
    StoreTime,
    TableChange,
    TableSnapshot,
    Write,
)

__all__ = ["PlatformStore"]

#: Longest wait for an answer to a call that does not wait for changes. The slowest
#: store that the operators describe answers within a third of a second.
CALL_SECONDS = 1.0
#: Time beyond its own wait after which a wait for changes counts as lost.
FEED_SLACK_SECONDS = 0.8
REASON_CHARACTERS = 200
PAGE_ROWS = 500

T = TypeVar("T")


class _Reply(NamedTuple):
    status: int
    body: bytes
    #: Monotonic time of the call.
    asked_seconds: float


class _Row(msgspec.Struct, rename="camel"):
    #: First part of a row's key in the product's form, up to the first slash.
    table_name: str
    key: str
    value: str = ""
    row_version: int = 0
    deleted: bool = False


class _RowsAnswer(msgspec.Struct, rename="camel"):
    rows: list[_Row] = msgspec.field(default_factory=list)
    has_more: bool = False
    #: Newest version of the whole store.
    row_version: int = 0
    #: The store's steady clock.
    current_time_ms: float | None = None


class _Expected(msgspec.Struct, rename="camel"):
    table_name: str
    key: str
    row_version: int
    part: str = ""


class _Written(msgspec.Struct, rename="camel"):
    table_name: str
    key: str
    value: str
    part: str = ""


class _Removed(msgspec.Struct, rename="camel"):
    table_name: str
    key: str
    part: str = ""


class _Transaction(msgspec.Struct, rename="camel"):
    #: Versions that rows must have, 0 for a row that must not exist.
    expected_revision: list[_Expected]
    write: list[_Written]
    remove: list[_Removed]


class _Names(msgspec.Struct, rename="camel"):
    names: list[str] = msgspec.field(default_factory=list)
    has_more: bool = False


class PlatformStore:
    """Tables and objects of the platform's store.

    A row's key is ``table/rest``; all rows lie in the empty part of their table.

    :param address: ``host:port`` of the store.
    :param call_seconds: time allowed for one call.
    :param on_call: told of each call: what it was, its result and its seconds.
    """

    def __init__(
        self,
        address: str,
        *,
        call_seconds: float = CALL_SECONDS,
        on_call: Callable[[str, str, float], None] = lambda call, result, seconds: None,
    ):
        self._on_call = on_call
        self._address = address
        self._call_seconds = call_seconds
        self._session: aiohttp.ClientSession | None = None
        self.calls = 0
        #: What the store's clock showed in its newest answer; None before one.
        self.time: StoreTime | None = None

    async def open(self) -> None:
        """Prepare for calls."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=None),
            auto_decompress=False,
        )
        # aiohttp repeats a PUT whose answer was lost. The creator of an object would
        # then see it as another's.
        self._session._retry_connection = False

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows; absent ones are left out. :return: rows by key."""
        found = await asyncio.gather(*(self._read_one(key) for key in keys))
        return {row.key: row for row in found if row is not None}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key has `prefix` and is above `after`."""
        table, start = _split(prefix)
        if after:
            start = max(start, _split(after)[1] + "\0")
        rows: list[Row] = []
        while len(rows) < limit:
            page = await self._page(
                table,
                from_=start,
                target=_end_of(_split(prefix)[1]),
                limit=min(limit - len(rows), PAGE_ROWS),
            )
            rows += [_row(row) for row in page.rows]
            if not page.has_more or not page.rows:
                break
            start = page.rows[-1].key + "\0"
        return rows

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table, to be followed by :meth:`feed`."""
        rows: dict[str, Row] = {}
        start, version = "", None
        while True:
            page = await self._page(table, from_=start, limit=PAGE_ROWS)
            # Changes during a later page are seen again in the feed, which is harmless.
            version = page.row_version if version is None else version
            rows |= {_key(row): _row(row) for row in page.rows}
            if not page.has_more or not page.rows:
                return TableSnapshot(rows_by_key=rows, version=version)
            start = page.rows[-1].key + "\0"

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table.

        :raises HistoryLostError: the store forgot changes after that version.
        """
        step = "store.feed"
        query = {
            "tableName": table,
            "startRevision": str(after_version),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        limit = wait_seconds + FEED_SLACK_SECONDS
        reply = await self._request("GET", "/rows-feed", step, query, seconds=limit)
        if reply.status == HTTPStatus.GONE:
            raise HistoryLostError(
                f"no history after {after_version}", step=step, peer=self._address
            )
        answer = self._decode(reply, _RowsAnswer, step)
        return TableChange(
            rows=[_row(row) for row in answer.rows if not row.deleted],
            removed_by_key={
                _key(row): row.row_version for row in answer.rows if row.deleted
            },
            version=max(answer.row_version, after_version),
        )

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """
        step = "store.transact"
        body = msgspec.json.encode(_transaction(writes))
        reply = await self._request("POST", "/rows-tx", step, body=body)
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            raise self._conflict(reply, writes, step)
        try:
            version = self._decode(reply, _RowsAnswer, step).row_version
        except PlatformUnavailableError:
            raise
        except PlatformError as error:
            if HTTPStatus.BAD_REQUEST <= reply.status < 500:
                raise
            # An answer that cannot be understood leaves the outcome unknown.
            raise PlatformUnavailableError(
                error.message, step=step, peer=self._address
            ) from error
        return {w.key: ABSENT if w.value is None else version for w in writes}

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object. :return: False when it existed and `if_absent`."""
        step = "store.put"
        headers = {"If-None-Match": "*"} if if_absent else None
        path = f"/blob-put/{quote(name, safe='')}"
        reply = await self._request("PUT", path, step, body=data, headers=headers)
        if reply.status == HTTPStatus.PRECONDITION_FAILED and if_absent:
            return False
        self._check_status(reply, step)
        return True

    async def get(self, name: str) -> bytes | None:
        """Fetch an object, None when absent."""
        step = "store.get"
        reply = await self._request("GET", f"/blob-get/{quote(name, safe='')}", step)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        self._check_status(reply, step)
        return reply.body

    async def delete(self, name: str) -> None:
        """Remove an object; absent ones are no error."""
        step = "store.delete"
        path = f"/blob-drop/{quote(name, safe='')}"
        reply = await self._request("DELETE", path, step)
        if reply.status != HTTPStatus.NOT_FOUND:
            self._check_status(reply, step)

    async def _read_one(self, key: str) -> Row | None:
        table, rest = _split(key)
        page = await self._page(table, from_=rest, target=rest + "\0", limit=1)
        return _row(page.rows[0]) if page.rows else None

    async def _page(
        self, table: str, *, from_: str = "", target: str = "", limit: int
    ) -> _RowsAnswer:
        query = {"tableName": table, "part": "", "limit": str(limit)}
        if from_:
            query["from"] = from_
        if target:
            query["target"] = target
        reply = await self._request("GET", "/rows-get", "store.read", query)
        return self._decode(reply, _RowsAnswer, "store.read")

    async def _request(
        self,
        method: str,
        path: str,
        step: str,
        query: dict[str, str] | None = None,
        *,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        seconds: float | None = None,
    ) -> _Reply:
        """Make one call.

        :raises PlatformUnavailableError: no whole answer came in time.
        """
        url = URL(f"http://{self._address}{path}", encoded=True)
        if query:
            url = url.with_query(query)
        sent = {"Content-Type": "application/json", **(headers or {})}
        self.calls += 1
        asked_at, result = time.monotonic(), "unanswered"
        try:
            async with (
                asyncio.timeout(seconds or self._call_seconds),
                self._session.request(
                    method, url, data=body, headers=sent, allow_redirects=False
                ) as response,
            ):
                reply = _Reply(response.status, await response.read(), asked_at)
                result = str(reply.status)
                return reply
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(
                reason, step=step, peer=self._address
            ) from error
        finally:
            seconds_taken = time.monotonic() - asked_at
            self._on_call(step.removeprefix("store."), result, seconds_taken)

    def _check_status(self, reply: _Reply, step: str) -> None:
        if 200 <= reply.status < 300:
            return
        text = reply.body.decode(errors="replace")[:REASON_CHARACTERS]
        reason = f"status {reply.status}: {text}"
        if reply.status >= 500 or reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(reason, step=step, peer=self._address)
        raise PlatformError(reason, step=step, peer=self._address)

    def _decode(self, reply: _Reply, message_type: type[T], step: str) -> T:
        self._check_status(reply, step)
        try:
            answer = msgspec.json.decode(reply.body, type=message_type)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise PlatformError(
                f"malformed answer: {error}", step=step, peer=self._address
            ) from error
        shown = getattr(answer, "current_time_ms", None)
        if shown is not None:
            self.time = StoreTime(shown / 1000, time.monotonic(), reply.asked_seconds)
        return answer

    def _conflict(
        self, reply: _Reply, writes: Sequence[Write], step: str
    ) -> PlatformError:
        """Return the error that names the rows whose version differed."""
        try:
            answer = msgspec.json.decode(reply.body, type=_RowsAnswer)
        except (msgspec.DecodeError, ValueError) as error:
            return PlatformUnavailableError(
                f"malformed conflict: {error}", step=step, peer=self._address
            )
        rows = {_key(row): _row(row) for row in answer.rows if not row.deleted}
        differing = [
            write.key
            for write in writes
            if (rows[write.key].version if write.key in rows else ABSENT)
            != write.expect
        ]
        return TransactionConflictError(
            differing, step=step, peer=self._address, rows_by_key=rows
        )


def _split(key: str) -> tuple[str, str]:
    table, _, rest = key.partition("/")
    return table, rest


def _end_of(prefix: str) -> str:
    """Return the first key above all that begin with `prefix`; empty for no end."""
    if not prefix:
        return ""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _key(row: _Row) -> str:
    return f"{row.table_name}/{row.key}"


def _row(row: _Row) -> Row:
    return Row(_key(row), row.row_version, base64.b64decode(row.value))


def _transaction(writes: Sequence[Write]) -> _Transaction:
    transaction = _Transaction([], [], [])
    for write in writes:
        table, rest = _split(write.key)
        transaction.expected_revision.append(_Expected(table, rest, write.expect))
        if write.value is None:
            transaction.remove.append(_Removed(table, rest))
        else:
            value = base64.b64encode(write.value).decode()
            transaction.write.append(_Written(table, rest, value))
    return transaction
