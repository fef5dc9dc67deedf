"""Client of the platform's store: its tables and objects."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from http import HTTPStatus
from urllib.parse import quote

import msgspec

from bluebellshore.errors import (
    HistoryLostError,
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.platform.store_calls import Reply, StoreCalls
from bluebellshore.platform.store_messages import (
    PART,
    ConflictAnswer,
    NamesAnswer,
    RowMessage,
    RowsAnswer,
    TransactionAnswer,
    row_of,
    split_key,
    transaction_of,
)
from bluebellshore.store.interface import (
    ABSENT,
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    Row,
    StoreTime,
    TableChange,
    TableSnapshot,
    Write,
)

__all__ = ["BACKGROUND_CALL_TIMEOUT_SECONDS", "PlatformStore", "open_store"]

#: Longest wait for an answer to a call that does not wait for changes. The slowest
#: store that the operators describe answers within a third of a second.
CALL_SECONDS = 1.0
#: The same for routers, sidecars and operators, which have no caller waiting on the
#: call and would rather know its outcome.
BACKGROUND_CALL_TIMEOUT_SECONDS = 5.0
#: Longest wait for an answer that moves an object: one of the largest takes a tenth
#: of a second at the store's usual rate, which all callers share.
OBJECT_SECONDS = 5.0
#: Time beyond its own wait after which a wait for changes counts as lost.
FEED_SLACK_SECONDS = 0.8
#: Longest wait for changes that the store takes.
MAX_WAIT_SECONDS = 30.0
#: Entries and bytes of one transaction that the store takes.
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
#: Rows of one answer at most.
PAGE_ROWS = 500
#: Calls of one read under way at once.
READS_AT_ONCE = 16
#: Keys of one table from which on their range is read in one call, and the rows that
#: it may have for each of them.
LEAST_RANGE_KEYS = 4
RANGE_ROWS_PER_KEY = 4
JSON_HEADERS = {"Content-Type": "application/json"}
HIGHEST_CHARACTER = "\U0010ffff"


class PlatformStore:
    """Tables and objects of the platform's store.

    A row's key is ``table/rest``; all rows lie in the empty part of their table.

    :param address: ``host:port`` of the store, or its base URL.
    :param call_seconds: time allowed for one call.
    :param row_bytes: bytes of a row's value that the store takes.
    :param local_host: address from which calls are made; empty for any.
    :param on_call: told of each call: what it was, its result and its seconds.
    """

    def __init__(
        self,
        address: str,
        *,
        call_seconds: float = CALL_SECONDS,
        row_bytes: int = MAX_ROW_BYTES,
        local_host: str = "",
        on_call: Callable[[str, str, float], None] | None = None,
    ):
        self._calls = StoreCalls(address, call_seconds, local_host)
        if on_call is not None:
            self._calls.on_call = on_call
        self._object_seconds = max(OBJECT_SECONDS, call_seconds)
        self._row_bytes = row_bytes

    @property
    def call_count(self) -> int:
        """Number of calls made."""
        return self._calls.count

    @property
    def time(self) -> StoreTime | None:
        """What the store's clock showed in its newest answer; None before one."""
        return self._calls.time

    async def open(self) -> None:
        """Prepare for calls."""
        await self._calls.open()

    async def close(self) -> None:
        """Close all connections."""
        await self._calls.close()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows; absent ones are left out. :return: rows by key."""
        slots = asyncio.Semaphore(READS_AT_ONCE)
        keys_by_table: dict[str, list[str]] = {}
        for key in sorted(set(keys)):
            keys_by_table.setdefault(split_key(key)[0], []).append(key)

        async def read_table(table: str, wanted: list[str]) -> list[Row]:
            found, missing = [], wanted
            if len(wanted) >= LEAST_RANGE_KEYS:
                async with slots:
                    found, missing = await self._read_range(table, wanted)
            rows = await asyncio.gather(*map(read_one, missing))
            return [*found, *(row for row in rows if row is not None)]

        async def read_one(key: str) -> Row | None:
            async with slots:
                return await self._read_one(key)

        tables = await asyncio.gather(
            *(read_table(table, wanted) for table, wanted in keys_by_table.items())
        )
        return {row.key: row for rows in tables for row in rows}

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key has `prefix` and is above `after`."""
        table, start = split_key(prefix)
        if after > prefix:
            if not after.startswith(f"{table}/"):
                return []  # above all rows of the table
            start = after.removeprefix(f"{table}/")
        target = _end_of(split_key(prefix)[1])
        if target and start >= target:
            return []
        rows: list[Row] = []
        while len(rows) < limit:
            # A page begins with its first key, which may be the last one seen.
            size = min(limit - len(rows) + 1, PAGE_ROWS)
            page = await self._page(table, start, size, target)
            fresh = [row_of(row) for row in page.rows]
            last = rows[-1].key if rows else after
            rows += [row for row in fresh if row.key > last]
            if not page.has_more:
                break
            start = self._next_start(page, start)
        return rows[:limit]

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table, to be followed by :meth:`feed`."""
        rows_by_key: dict[str, Row] = {}
        start, version = "", None
        while True:
            page = await self._page(table, start, PAGE_ROWS)
            # What changes during a later page is told again by the feed.
            version = page.row_version if version is None else version
            rows_by_key |= {row.full_key: row_of(row) for row in page.rows}
            if not page.has_more:
                return TableSnapshot(rows_by_key, version)
            start = self._next_start(page, start)

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table, for at most :data:`MAX_WAIT_SECONDS`.

        :raises HistoryLostError: the store forgot changes after that version.
        """
        step = "store.feed"
        wait_seconds = min(wait_seconds, MAX_WAIT_SECONDS)
        query = {
            "tableName": table,
            "startRevision": str(after_version),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        limit = wait_seconds + FEED_SLACK_SECONDS
        reply = await self._calls.call("GET", "/rows-feed", step, query, seconds=limit)
        if reply.status == HTTPStatus.GONE:
            raise HistoryLostError(
                f"no history after {after_version}",
                step=step,
                peer=self._calls.address,
            )
        answer = self._calls.decode(reply, RowsAnswer, step)
        return self._change(answer, table, after_version)

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """
        step = "store.transact"
        if not writes:
            return {}
        body = self._transaction_body(writes, step)
        reply = await self._calls.call(
            "POST", "/rows-tx", step, body=body, headers=JSON_HEADERS
        )
        try:
            version = self._outcome(reply, writes, step)
        except (PlatformUnavailableError, TransactionConflictError):
            raise
        except PlatformError as error:
            refused = HTTPStatus.BAD_REQUEST <= reply.status < 500
            if reply.status == HTTPStatus.INSUFFICIENT_STORAGE or (
                refused and reply.status != HTTPStatus.PRECONDITION_FAILED
            ):
                raise
            # An answer that cannot be understood leaves the outcome unknown.
            raise self._calls.unavailable(error.message, step) from error
        return {w.key: ABSENT if w.value is None else version for w in writes}

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object. :return: False when it existed and `if_absent`."""
        step = "store.put"
        headers = {"Content-Type": "application/octet-stream"}
        if if_absent:
            headers["If-None-Match"] = "*"
        reply = await self._object_call("PUT", "/blob-put/", name, step, data, headers)
        if reply.status == HTTPStatus.PRECONDITION_FAILED and if_absent:
            return False
        self._calls.check(reply, step)
        return True

    async def get(self, name: str) -> bytes | None:
        """Fetch an object, None when absent."""
        step = "store.get"
        reply = await self._object_call("GET", "/blob-get/", name, step)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        self._calls.check(reply, step)
        return reply.body

    async def delete(self, name: str) -> None:
        """Remove an object; absent ones are no error."""
        step = "store.delete"
        reply = await self._object_call("DELETE", "/blob-drop/", name, step)
        if reply.status != HTTPStatus.NOT_FOUND:
            self._calls.check(reply, step)

    async def names(self, prefix: str) -> list[str]:
        """Return the names of all objects that begin with `prefix`, in order."""
        step = "store.names"
        names: list[str] = []
        while True:
            query = {"prefix": prefix}
            if names:
                query["startRevision"] = names[-1]
            reply = await self._calls.call("GET", "/blob-list", step, query)
            page = self._calls.decode(reply, NamesAnswer, step)
            if page.names != sorted(set(page.names)) or (
                names and page.names[:1] <= names[-1:]
            ):
                raise self._calls.malformed("names out of order", step)
            names += page.names
            if not page.has_more:
                return names
            if not page.names:
                raise self._calls.malformed("an empty page with more to come", step)

    async def _read_range(
        self, table: str, keys: list[str]
    ) -> tuple[list[Row], list[str]]:
        """Read the range of some keys of a table in one call.

        :param keys: in order.
        :return: the rows found, and the keys that the answer did not reach.
        """
        first, last = split_key(keys[0])[1], split_key(keys[-1])[1]
        limit = min(PAGE_ROWS, RANGE_ROWS_PER_KEY * len(keys))
        page = await self._page(table, first, limit, last + "\0")
        wanted = set(keys)
        rows = [row_of(row) for row in page.rows if row.full_key in wanted]
        if not page.has_more:
            return rows, []
        reached = page.rows[-1].full_key if page.rows else ""
        return rows, [key for key in keys if key > reached]

    async def _read_one(self, key: str) -> Row | None:
        table, rest = split_key(key)
        page = await self._page(table, rest, 1)
        found = page.rows and page.rows[0].key == rest
        return row_of(page.rows[0]) if found else None

    async def _page(
        self, table: str, start: str, limit: int, target: str = ""
    ) -> RowsAnswer:
        """Read rows from `start` on, below `target` when it is not empty."""
        step = "store.read"
        query = {"tableName": table, "part": PART, "limit": str(limit)}
        if start:
            query["from"] = start
        if target:
            query["target"] = target
        reply = await self._calls.call("GET", "/rows-get", step, query)
        page = self._calls.decode(reply, RowsAnswer, step)
        if len(page.rows) > limit:
            raise self._calls.malformed("more rows than asked for", step)
        last: str | None = None
        for row in page.rows:
            in_range = row.key >= start and not (target and row.key >= target)
            if row.table_name != table or row.part != PART or not in_range:
                raise self._calls.malformed(f"row {row.key!r} not asked for", step)
            if row.deleted or (last is not None and row.key <= last):
                raise self._calls.malformed(f"row {row.key!r} out of order", step)
            last = row.key
            self._check_row(row, step)
        return page

    def _next_start(self, page: RowsAnswer, start: str) -> str:
        """Return where the next page begins.

        :raises PlatformError: the page leads no further.
        """
        if not page.rows or page.rows[-1].key == start:
            raise self._calls.malformed("a page that leads no further", "store.read")
        return page.rows[-1].key

    def _change(
        self, answer: RowsAnswer, table: str, after_version: int
    ) -> TableChange:
        """Return the last change of each row; other parts are not the product's."""
        last_by_key: dict[str, RowMessage] = {}
        for row in answer.rows:
            if row.table_name != table:
                raise self._calls.malformed("a row of another table", "store.feed")
            if row.part == PART:
                self._check_row(row, "store.feed")
                last_by_key[row.full_key] = row
        changes = last_by_key.values()
        return TableChange(
            rows=[row_of(row) for row in changes if not row.deleted],
            removed_by_key={
                row.full_key: row.row_version for row in changes if row.deleted
            },
            version=max(answer.row_version, after_version),
        )

    def _check_row(self, row: RowMessage, step: str) -> None:
        try:
            row_of(row)
        except ValueError as error:
            raise self._calls.malformed(str(error), step) from error

    def _transaction_body(self, writes: Sequence[Write], step: str) -> bytes:
        """Encode a transaction.

        :raises PlatformError: the store would not take it.
        """
        transaction = transaction_of(writes)
        body = msgspec.json.encode(transaction)
        problems = [
            *(
                f"key {write.key!r} above {MAX_KEY_BYTES} bytes"
                for write in writes
                if len(write.key.encode()) > MAX_KEY_BYTES
            ),
            *(
                f"value of {write.key!r} above {self._row_bytes} bytes"
                for write in writes
                if write.value is not None and len(write.value) > self._row_bytes
            ),
        ]
        if len({write.key for write in writes}) < len(writes):
            problems.append("a transaction writes a row twice")
        if transaction.entries > MAX_ENTRIES:
            problems.append(f"{transaction.entries} entries, above {MAX_ENTRIES}")
        if len(body) > MAX_CALL_BYTES:
            problems.append(f"{len(body)} bytes, above {MAX_CALL_BYTES}")
        if problems:
            message = f"transaction too large or twofold: {'; '.join(problems)}"
            raise PlatformError(message, step=step, peer=self._calls.address)
        return body

    def _outcome(self, reply: Reply, writes: Sequence[Write], step: str) -> int:
        """Return the version at which a transaction was applied."""
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            raise self._conflict(reply, writes, step)
        version = self._calls.decode(reply, TransactionAnswer, step).row_version
        if version <= max(write.expect for write in writes):
            raise self._calls.malformed(f"version {version} is not new", step)
        return version

    def _conflict(
        self, reply: Reply, writes: Sequence[Write], step: str
    ) -> PlatformError:
        """Return the error that names the rows whose version differed."""
        answer = self._calls.decode_body(reply, ConflictAnswer, step)
        keys = {write.key for write in writes}
        rows_by_key: dict[str, Row] = {}
        for row in answer.rows:
            if row.part != PART or row.full_key not in keys:
                return self._calls.malformed("rows that were not written", step)
            if not row.deleted and row.row_version != ABSENT:
                self._check_row(row, step)
                rows_by_key[row.full_key] = row_of(row)
        differing = [
            write.key
            for write in writes
            if _version_of(rows_by_key.get(write.key)) != write.expect
        ]
        if not differing:
            return self._calls.malformed("a conflict without a cause", step)
        return TransactionConflictError(
            differing, step=step, peer=self._calls.address, rows_by_key=rows_by_key
        )

    async def _object_call(
        self,
        method: str,
        path: str,
        name: str,
        step: str,
        data: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        return await self._calls.call(
            method,
            path + quote(name, safe=""),
            step,
            body=data,
            headers=headers,
            seconds=self._object_seconds,
        )


@asynccontextmanager
async def open_store(address: str, **options: object) -> AsyncIterator[PlatformStore]:
    """Give a client of the store at `address`; see :class:`PlatformStore`."""
    store = PlatformStore(address, **options)
    await store.open()
    try:
        yield store
    finally:
        await store.close()


def _version_of(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _end_of(prefix: str) -> str:
    """Return the first key above all that begin with `prefix`; empty for no end."""
    stem = prefix.rstrip(HIGHEST_CHARACTER)
    if not stem:
        return ""
    following = ord(stem[-1]) + 1
    if 0xD800 <= following <= 0xDFFF:
        following = 0xE000  # surrogates are no characters of their own
    return stem[:-1] + chr(following)
