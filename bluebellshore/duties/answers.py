"""HTTP headers and responses stored in rows, with large bodies in the object store."""

import msgspec

from bluebellshore.store.interface import ObjectStore

__all__ = ["MAX_ROW_BODY_BYTES", "BodyStore", "Header", "StoredAnswer", "StoredBody"]

#: Longest body that is stored in its row; longer ones go to the object store.
MAX_ROW_BODY_BYTES = 32 * 1024


class Header(msgspec.Struct, frozen=True):
    """An HTTP header of a stored request or response."""

    name: str
    value: str


class StoredAnswer(msgspec.Struct, frozen=True):
    """A complete HTTP response.

    :param status: HTTP status code.
    """

    status: int
    headers: list[Header] = msgspec.field(default_factory=list)
    body: bytes = b""


class StoredBody(msgspec.Struct, frozen=True):
    """Reference to a body: the bytes themselves, or the object that holds them.

    :param data: the body, if it is stored in the row.
    :param object_name: name in the object store; empty if the body is in `data`.
    """

    data: bytes = b""
    object_name: str = ""


class BodyStore:
    """Stores small bodies in rows and larger ones in the object store.

    :param objects: None to store every body in its row.
    :param limit_bytes: longest body that is stored in its row.
    """

    def __init__(
        self, objects: ObjectStore | None, *, limit_bytes: int = MAX_ROW_BODY_BYTES
    ):
        self._objects = objects
        self._limit_bytes = limit_bytes

    async def save(self, name: str, body: bytes) -> StoredBody:
        """Store a body and return the reference to write into a row.

        The object is written first, so that no row names a missing object.

        :param name: name of the object if the body is too large for a row.
        :raises PlatformError: the object store did not answer.
        """
        if self._objects is None or len(body) <= self._limit_bytes:
            return StoredBody(data=body)
        await self._objects.put(name, body)
        return StoredBody(object_name=name)

    async def load(self, stored: StoredBody) -> bytes:
        """Return a stored body; empty if its object is missing.

        :raises PlatformError: the object store did not answer.
        """
        if not stored.object_name or self._objects is None:
            return stored.data
        return await self._objects.get(stored.object_name) or b""
