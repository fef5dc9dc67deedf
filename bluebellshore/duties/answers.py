"""Answers kept in rows, with large bodies in the object store."""

import msgspec

from bluebellshore.store.interface import ObjectStore

__all__ = ["MAX_ROW_BODY_BYTES", "BodyStore", "Header", "StoredAnswer", "StoredBody"]

MAX_ROW_BODY_BYTES = 32 * 1024


class Header(msgspec.Struct, frozen=True):
    """A header of a stored request or answer."""

    name: str
    value: str


class StoredAnswer(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: list[Header] = msgspec.field(default_factory=list)
    body: bytes = b""


class StoredBody(msgspec.Struct, frozen=True):
    """A body in a row, or the name of the object that holds it."""

    data: bytes = b""
    object_name: str = ""


class BodyStore:
    """Keeps small bodies in rows and larger ones in the object store."""

    def __init__(
        self, objects: ObjectStore | None, *, limit_bytes: int = MAX_ROW_BODY_BYTES
    ):
        self._objects = objects
        self._limit_bytes = limit_bytes

    async def save(self, name: str, body: bytes) -> StoredBody:
        """Store a body; objects are written before the row that names them.

        :raises PlatformError: the object store gave no answer.
        """
        if self._objects is None or len(body) <= self._limit_bytes:
            return StoredBody(data=body)
        await self._objects.put(name, body)
        return StoredBody(object_name=name)

    async def load(self, stored: StoredBody) -> bytes:
        """Return the body.

        :raises PlatformError: the object store gave no answer.
        """
        if not stored.object_name or self._objects is None:
            return stored.data
        return await self._objects.get(stored.object_name) or b""
