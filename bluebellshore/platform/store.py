"""Client of the platform's store, which holds tables of rows and objects."""

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
    add_era,
    row_of,
    split_key,
    transaction_of,
)
from bluebellshore.store.interface import (
    ABSENT,
    MAX_KEY_BYTES,
    MAX_ROW_BYTES,
    VERSIONS_PER_ERA,
    Row,
    StoreTime,
    TableChange,
    TableSnapshot,
    Write,
    era_of,
    version_in_era,
)
from bluebellshore.traffic import TrafficCounter

__all__ = ["BACKGROUND_CALL_TIMEOUT_SECONDS", "PlatformStore", "open_store"]

#: Default timeout of a call that does not wait for changes. The slowest store that the
#: operators describe answers within a third of a second.
CALL_TIMEOUT_SECONDS = 1.0
#: Timeout for processes in which no caller waits for the call. A longer wait leaves
#: fewer calls with an unknown outcome.
BACKGROUND_CALL_TIMEOUT_SECONDS = 5.0
#: Least timeout of a call that reads or writes an object. One of the largest takes a
#: tenth of a second at the store's usual transfer rate, which all callers share.
OBJECT_CALL_TIMEOUT_SECONDS = 5.0
#: Time after the end of a wait for changes at which the call times out.
FEED_SLACK_SECONDS = 0.8
#: Longest wait for changes that the store accepts.
MAX_FEED_WAIT_SECONDS = 30.0
#: Limits of the store for one transaction: its entries and encoded bytes.
MAX_TRANSACTION_ENTRIES = 100
MAX_TRANSACTION_BYTES = 1_000_000
#: Rows in one answer of the store.
MAX_PAGE_ROWS = 500
#: Concurrent calls for one :meth:`PlatformStore.read`.
MAX_CONCURRENT_READS = 16
#: From this number of keys in one table on, their whole range is read in one call, with
#: at most so many rows per key. Keys that the answer doesn't reach are read one by one.
MIN_RANGE_KEYS = 4
MAX_RANGE_ROWS_PER_KEY = 4
JSON_HEADERS = {"Content-Type": "application/json"}
HIGHEST_CHARACTER = "\U0010ffff"


class PlatformStore:
    """Tables and objects of the platform's store.

    A row's key is ``table/rest``; all rows are in the partition "" of their table. Each
    method raises :class:`~bluebellshore.errors.PlatformUnavailableError` if the outcome
    is unknown or a retry may succeed, and another
    :class:`~bluebellshore.errors.PlatformError` if the store refuses the call.

    :param address: ``host:port`` of the store, or its base URL.
    :param call_seconds: timeout of a call.
    :param row_bytes: longest value of a row that the store accepts, in bytes.
    :param local_host: local address to connect from; empty for any.
    :param on_call: called after each call with its name, its result (the HTTP status,
        ``unanswered`` or ``cancelled``) and the seconds that it took.
    :param on_restored: called when the store came back from an older copy of itself,
        with its era before and now.
    """

    def __init__(
        self,
        address: str,
        *,
        call_seconds: float = CALL_TIMEOUT_SECONDS,
        row_bytes: int = MAX_ROW_BYTES,
        local_host: str = "",
        on_call: Callable[[str, str, float], None] | None = None,
        on_restored: Callable[[int, int], None] | None = None,
    ):
        self._calls = StoreCalls(address, call_seconds, local_host)
        if on_restored is not None:
            self._calls.on_restored = on_restored
        if on_call is not None:
            self._calls.on_call = on_call
        self._object_timeout_seconds = max(OBJECT_CALL_TIMEOUT_SECONDS, call_seconds)
        self._max_row_bytes = row_bytes

    @property
    def call_count(self) -> int:
        """Number of calls made."""
        return self._calls.call_count

    @property
    def time(self) -> StoreTime | None:
        """The store's clock in its latest answer; None before the first one."""
        return self._calls.time

    @property
    def traffic(self) -> TrafficCounter:
        """Bytes of calls and answers."""
        return self._calls.traffic

    @property
    def era(self) -> int:
        """How often the store has come back from an older copy, as far as known."""
        return self._calls.era or 0

    async def open(self) -> None:
        """Create the HTTP session, which calls need."""
        await self._calls.open()

    async def close(self) -> None:
        """Close all connections."""
        await self._calls.close()

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read the rows of `keys`.

        :return: rows by key; absent ones are left out.
        """
        slots = asyncio.Semaphore(MAX_CONCURRENT_READS)
        keys_by_table: dict[str, list[str]] = {}
        for key in sorted(set(keys)):
            keys_by_table.setdefault(split_key(key)[0], []).append(key)

        async def read_table(table: str, wanted: list[str]) -> list[Row]:
            found, missing = [], wanted
            if len(wanted) >= MIN_RANGE_KEYS:
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
        """Read rows whose key has `prefix` and is above `after`, in key order.

        :param limit: most rows to return.
        """
        table, start = split_key(prefix)
        if after > prefix:
            if not after.startswith(f"{table}/"):
                return []  # `after` is above all rows of the table
            start = after.removeprefix(f"{table}/")
        target = _prefix_end(split_key(prefix)[1])
        if target and start >= target:
            return []
        rows: list[Row] = []
        while len(rows) < limit:
            # A page starts at a key inclusive, so it may repeat the last row.
            page_limit = min(limit - len(rows) + 1, MAX_PAGE_ROWS)
            page = await self._read_page(table, start, page_limit, target)
            found = [row_of(row) for row in page.rows]
            last = rows[-1].key if rows else after
            rows += [row for row in found if row.key > last]
            if not page.has_more:
                break
            start = self._next_start(page, start)
        return rows[:limit]

    async def snapshot(self, table: str) -> TableSnapshot:
        """Read a whole table; :meth:`feed` continues from its version."""
        rows_by_key: dict[str, Row] = {}
        start, version = "", None
        while True:
            page = await self._read_page(table, start, MAX_PAGE_ROWS)
            if version is not None and era_of(page.row_version) != era_of(version):
                raise self._calls.unavailable(
                    "the store was restored between pages", "store.read"
                )
            # The version of the first page: the feed then repeats changes that were
            # made while later pages were read.
            version = page.row_version if version is None else version
            rows_by_key |= {row.full_key: row_of(row) for row in page.rows}
            if not page.has_more:
                return TableSnapshot(rows_by_key, version)
            start = self._next_start(page, start)

    async def feed(
        self, table: str, after_version: int, wait_seconds: float
    ) -> TableChange:
        """Wait for changes of a table after a version of the store.

        :param wait_seconds: longest wait if there are none; more than
            :data:`MAX_FEED_WAIT_SECONDS` counts as that.
        :raises HistoryLostError: the store no longer has all changes after the version.
        """
        step = "store.feed"
        era = era_of(after_version)
        if era < self.era:
            raise self._history_lost(after_version, step)
        wait_seconds = min(wait_seconds, MAX_FEED_WAIT_SECONDS)
        query = {
            "tableName": table,
            # Version after which changes are returned.
            "startRevision": str(after_version % VERSIONS_PER_ERA),
            "waitMs": str(int(wait_seconds * 1000)),
        }
        timeout_seconds = wait_seconds + FEED_SLACK_SECONDS
        reply = await self._calls.call(
            "GET", "/rows-feed", step, query, timeout_seconds=timeout_seconds
        )
        if reply.status == HTTPStatus.GONE:
            raise self._history_lost(after_version, step)
        answer = self._calls.decode(reply, RowsAnswer, step)
        if reply.era != era:
            # Changes up to a version of another era say nothing about this one.
            raise self._history_lost(after_version, step)
        add_era(answer, reply.era)
        return self._table_change(answer, table, after_version)

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes atomically.

        A version from before the store came back from an older copy counts as another
        one, as the store may have given the same number out again.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version than expected.
        :raises PlatformUnavailableError: the transaction may or may not be applied.
        """
        step = "store.transact"
        if not writes:
            return {}
        era = self.era
        outdated = [
            write.key
            for write in writes
            if write.expect != ABSENT and era_of(write.expect) < era
        ]
        if outdated:
            raise await self._outdated_error(outdated, writes, step)
        body = self._transaction_body(writes, step)
        reply = await self._calls.call(
            "POST", "/rows-tx", step, body=body, headers=JSON_HEADERS
        )
        try:
            version = self._applied_version(reply, writes, step)
        except (PlatformUnavailableError, TransactionConflictError):
            raise
        except PlatformError as error:
            refused = HTTPStatus.BAD_REQUEST <= reply.status < 500
            if reply.status == HTTPStatus.INSUFFICIENT_STORAGE or (
                refused and reply.status != HTTPStatus.PRECONDITION_FAILED
            ):
                raise
            # After an answer that can't be understood the outcome is unknown.
            raise self._calls.unavailable(error.message, step) from error
        return {w.key: ABSENT if w.value is None else version for w in writes}

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object.

        :param if_absent: keep an object that exists already.
        :return: False if `if_absent` and the object existed.
        """
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
        """Return the content of an object, or None if it does not exist."""
        step = "store.get"
        reply = await self._object_call("GET", "/blob-get/", name, step)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        self._calls.check(reply, step)
        return reply.body

    async def delete(self, name: str) -> None:
        """Delete an object, if it exists."""
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
                # In this call the name of the last object seen, not a version.
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
        """Read the range that spans `keys` of one table in one call.

        :param keys: sorted keys.
        :return: the rows found, and the keys beyond the end of the answer.
        """
        first, last = split_key(keys[0])[1], split_key(keys[-1])[1]
        limit = min(MAX_PAGE_ROWS, MAX_RANGE_ROWS_PER_KEY * len(keys))
        page = await self._read_page(table, first, limit, last + "\0")
        wanted = set(keys)
        rows = [row_of(row) for row in page.rows if row.full_key in wanted]
        if not page.has_more:
            return rows, []
        reached = page.rows[-1].full_key if page.rows else ""
        return rows, [key for key in keys if key > reached]

    async def _read_one(self, key: str) -> Row | None:
        table, rest = split_key(key)
        page = await self._read_page(table, rest, 1)
        found = page.rows and page.rows[0].key == rest
        return row_of(page.rows[0]) if found else None

    async def _read_page(
        self, table: str, start: str, limit: int, target: str = ""
    ) -> RowsAnswer:
        """Read a page of rows from key `start` up to `target`, exclusive.

        :param start: key within the table; empty for its first row.
        :param target: key within the table; empty for its end.
        """
        step = "store.read"
        query = {"tableName": table, "part": PART, "limit": str(limit)}
        if start:
            query["from"] = start
        if target:
            # Key at which the range ends, exclusive.
            query["target"] = target
        reply = await self._calls.call("GET", "/rows-get", step, query)
        page = self._calls.decode(reply, RowsAnswer, step)
        add_era(page, reply.era)
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
        """Return the key at which the next page starts.

        :raises PlatformError: the page made no progress.
        """
        if not page.rows or page.rows[-1].key == start:
            raise self._calls.malformed("a page that leads no further", "store.read")
        return page.rows[-1].key

    def _table_change(
        self, answer: RowsAnswer, table: str, after_version: int
    ) -> TableChange:
        """Return the last change of each row; other partitions are not the fleet's."""
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

        :raises PlatformError: the store would refuse it.
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
                f"value of {write.key!r} above {self._max_row_bytes} bytes"
                for write in writes
                if write.value is not None and len(write.value) > self._max_row_bytes
            ),
        ]
        if len({write.key for write in writes}) < len(writes):
            problems.append("a transaction writes a row twice")
        if transaction.entry_count > MAX_TRANSACTION_ENTRIES:
            problems.append(
                f"{transaction.entry_count} entries, above {MAX_TRANSACTION_ENTRIES}"
            )
        if len(body) > MAX_TRANSACTION_BYTES:
            problems.append(f"{len(body)} bytes, above {MAX_TRANSACTION_BYTES}")
        if problems:
            message = f"transaction too large or twofold: {'; '.join(problems)}"
            raise PlatformError(message, step=step, peer=self._calls.address)
        return body

    async def _outdated_error(
        self, outdated: list[str], writes: Sequence[Write], step: str
    ) -> TransactionConflictError:
        """Return the error of writes that expect versions from before a restore."""
        rows_by_key = await self.read([write.key for write in writes])
        return TransactionConflictError(
            outdated, step=step, peer=self._calls.address, rows_by_key=rows_by_key
        )

    def _history_lost(self, version: int, step: str) -> HistoryLostError:
        message = f"no history after {version}"
        return HistoryLostError(message, step=step, peer=self._calls.address)

    def _applied_version(self, reply: Reply, writes: Sequence[Write], step: str) -> int:
        """Return the version at which a transaction was applied."""
        if reply.status == HTTPStatus.PRECONDITION_FAILED:
            raise self._conflict_error(reply, writes, step)
        version = self._calls.decode(reply, TransactionAnswer, step).row_version
        version = version_in_era(reply.era, version)
        if any(
            write.expect != ABSENT and era_of(write.expect) != reply.era
            for write in writes
        ):
            raise self._calls.unavailable("the store was restored meanwhile", step)
        if version <= max(write.expect for write in writes):
            raise self._calls.malformed(f"version {version} is not new", step)
        return version

    def _conflict_error(
        self, reply: Reply, writes: Sequence[Write], step: str
    ) -> PlatformError:
        """Return the error with the rows that had another version than expected."""
        answer = self._calls.decode_body(reply, ConflictAnswer, step)
        add_era(answer, reply.era)
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
            timeout_seconds=self._object_timeout_seconds,
        )


@asynccontextmanager
async def open_store(address: str, **options: object) -> AsyncIterator[PlatformStore]:
    """Yield a client of the store at `address`.

    :param options: keyword arguments of :class:`PlatformStore`.
    """
    store = PlatformStore(address, **options)
    await store.open()
    try:
        yield store
    finally:
        await store.close()


def _version_of(row: Row | None) -> int:
    return ABSENT if row is None else row.version


def _prefix_end(prefix: str) -> str:
    """Return the lowest key above all keys with `prefix`; empty if there is none."""
    stem = prefix.rstrip(HIGHEST_CHARACTER)
    if not stem:
        return ""
    following = ord(stem[-1]) + 1
    if 0xD800 <= following <= 0xDFFF:
        following = 0xE000  # surrogates can't be encoded in UTF-8
    return stem[:-1] + chr(following)
