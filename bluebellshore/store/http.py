"""Client of the platform's services over HTTP."""

from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from bluebellshore.errors import (
    PlatformError,
    PlatformUnavailableError,
    TransactionConflictError,
)
from bluebellshore.store.interface import ABSENT, Instance, Row, Write
from bluebellshore.store.messages import (
    ConflictAnswer,
    InstancesAnswer,
    ReadRequest,
    RowsAnswer,
    ScanRequest,
    TransactAnswer,
    TransactRequest,
)

__all__ = ["HttpPlatform"]

TIMEOUT_SECONDS = 5.0
REASON_CHARACTERS = 200

T = TypeVar("T")


class _Reply(NamedTuple):
    status: int
    body: bytes


class HttpPlatform:
    """Table service, object store and instance list of one platform.

    :param base_url: URL below which the platform serves, e.g. ``http://10.0.0.1:80``.
    :param session: session to use; stays the caller's.
    :param timeout_seconds: time allowed for one operation.
    """

    def __init__(
        self,
        base_url: str,
        session: aiohttp.ClientSession,
        timeout_seconds: float = TIMEOUT_SECONDS,
    ):
        self._base_url = base_url.rstrip("/")
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def read(self, keys: Sequence[str]) -> dict[str, Row]:
        """Read rows; absent ones are left out. :return: rows by key."""
        step = "table.read"
        reply = await self._post("/v1/table/read", step, ReadRequest(list(keys)))
        rows = self._decode(reply, RowsAnswer, step).rows
        rows_by_key = {row.key: row for row in rows}
        if not rows_by_key.keys() <= set(keys) or len(rows_by_key) < len(rows):
            raise self._malformed(step, "rows that were not asked for")
        self._check_versions(rows, step)
        return rows_by_key

    async def scan(self, prefix: str, after: str = "", limit: int = 1000) -> list[Row]:
        """Read rows in key order whose key has `prefix` and is above `after`."""
        step = "table.scan"
        request = ScanRequest(prefix, after, limit)
        reply = await self._post("/v1/table/scan", step, request)
        rows = self._decode(reply, RowsAnswer, step).rows
        last = after
        for row in rows:
            if row.key <= last or not row.key.startswith(prefix):
                raise self._malformed(step, f"row {row.key!r} out of range or order")
            last = row.key
        if len(rows) > limit:
            raise self._malformed(step, "more rows than asked for")
        self._check_versions(rows, step)
        return rows

    async def transact(self, writes: Sequence[Write]) -> dict[str, int]:
        """Apply all writes or none.

        :return: new versions by key (0 for a deleted row).
        :raises TransactionConflictError: a row had another version.
        """
        step = "table.transact"
        request = TransactRequest(list(writes))
        reply = await self._post("/v1/table/transact", step, request)
        try:
            return self._transaction_outcome(reply, writes)
        except (PlatformUnavailableError, TransactionConflictError):
            raise
        except PlatformError as error:
            if HTTPStatus.BAD_REQUEST <= reply.status < 500 and reply.status != 409:
                raise
            # An answer that cannot be understood leaves the outcome unknown.
            raise PlatformUnavailableError(
                error.message, step=step, peer=self._base_url
            ) from error

    async def put(self, name: str, data: bytes, *, if_absent: bool = False) -> bool:
        """Store an object. :return: False when it existed and `if_absent`."""
        step = "objects.put"
        # aiohttp repeats a PUT whose answer was lost, which would make the object's
        # creator see it as another's; it never repeats a POST.
        method = "POST" if if_absent else "PUT"
        reply = await self._request(method, _object_path(name), step, data)
        if reply.status == HTTPStatus.CONFLICT and if_absent:
            return False
        self._check_status(reply, step)
        return True

    async def get(self, name: str) -> bytes | None:
        """Fetch an object, None when absent."""
        step = "objects.get"
        reply = await self._request("GET", _object_path(name), step)
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        self._check_status(reply, step)
        return reply.body

    async def delete(self, name: str) -> None:
        """Remove an object; absent ones are no error."""
        step = "objects.delete"
        reply = await self._request("DELETE", _object_path(name), step)
        if reply.status != HTTPStatus.NOT_FOUND:
            self._check_status(reply, step)

    async def fetch(self) -> list[Instance]:
        """Return the list as the platform shows it now."""
        step = "instances.fetch"
        reply = await self._request("GET", "/v1/instances", step)
        return self._decode(reply, InstancesAnswer, step).instances

    async def announce(self, instance: Instance) -> None:
        """Show or update this process's entry; to be repeated while it lives."""
        step = "instances.announce"
        path = f"/v1/instances/{quote(instance.instance_id, safe='')}"
        body = msgspec.json.encode(instance)
        self._check_status(await self._request("PUT", path, step, body), step)

    async def _post(self, path: str, step: str, message: msgspec.Struct) -> _Reply:
        return await self._request("POST", path, step, msgspec.json.encode(message))

    async def _request(
        self, method: str, path: str, step: str, body: bytes | None = None
    ) -> _Reply:
        """Make one request.

        :raises PlatformUnavailableError: no whole answer came in time.
        """
        url = URL(self._base_url + path, encoded=True)
        try:
            async with self._session.request(
                method, url, data=body, timeout=self._timeout, allow_redirects=False
            ) as response:
                return _Reply(response.status, await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(
                reason, step=step, peer=self._base_url
            ) from error

    def _check_status(self, reply: _Reply, step: str) -> None:
        """Raise unless the status is a success."""
        if 200 <= reply.status < 300:
            return
        text = reply.body.decode(errors="replace")[:REASON_CHARACTERS]
        reason = f"status {reply.status}: {text}"
        if reply.status >= 500 or reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise PlatformUnavailableError(reason, step=step, peer=self._base_url)
        raise PlatformError(reason, step=step, peer=self._base_url)

    def _decode(self, reply: _Reply, message_type: type[T], step: str) -> T:
        self._check_status(reply, step)
        return self._decode_body(reply, message_type, step)

    def _decode_body(self, reply: _Reply, message_type: type[T], step: str) -> T:
        try:
            return msgspec.json.decode(reply.body, type=message_type)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise self._malformed(step, str(error)) from error

    def _transaction_outcome(
        self, reply: _Reply, writes: Sequence[Write]
    ) -> dict[str, int]:
        step = "table.transact"
        if reply.status == HTTPStatus.CONFLICT:
            keys = self._decode_body(reply, ConflictAnswer, step).keys
            if not keys or not set(keys) <= {write.key for write in writes}:
                raise self._malformed(step, "conflict on rows that were not written")
            raise TransactionConflictError(keys, step=step, peer=self._base_url)
        versions = self._decode(reply, TransactAnswer, step).versions
        expects_by_key = {write.key: write for write in writes}
        if versions.keys() != expects_by_key.keys() or not all(
            _is_new_version(versions[key], write)
            for key, write in expects_by_key.items()
        ):
            raise self._malformed(step, "versions differ from the writes")
        return versions

    def _check_versions(self, rows: Sequence[Row], step: str) -> None:
        if any(row.version <= ABSENT for row in rows):
            raise self._malformed(step, "row version below 1")

    def _malformed(self, step: str, reason: str) -> PlatformError:
        return PlatformError(
            f"malformed answer: {reason}", step=step, peer=self._base_url
        )


def _object_path(name: str) -> str:
    return f"/v1/objects/{quote(name, safe='')}"


def _is_new_version(version: int, write: Write) -> bool:
    return version == ABSENT if write.value is None else version > write.expect
