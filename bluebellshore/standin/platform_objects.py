"""Objects of the platform's stand-in."""

__all__ = ["ObjectShelf", "ShelfFull"]

#: Bytes of one object and of all together, as the platform states them.
OBJECT_BYTES = 8 * 1024 * 1024
SHELF_BYTES = 400_000_000


class ShelfFull(Exception):
    """There is no room for more."""


class ObjectShelf:
    """Objects by name.

    :param shelf_bytes: bytes of all objects together.
    """

    def __init__(self, shelf_bytes: int = SHELF_BYTES):
        self.data_by_name: dict[str, bytes] = {}
        self._shelf_bytes = shelf_bytes

    def put(self, name: str, data: bytes) -> None:
        """Store an object.

        :raises ShelfFull: no room.
        """
        others = sum(
            len(kept) for other, kept in self.data_by_name.items() if other != name
        )
        if others + len(data) > self._shelf_bytes:
            raise ShelfFull
        self.data_by_name[name] = data

    def names(
        self, prefix: str, after: str | None, limit: int
    ) -> tuple[list[str], bool]:
        """Return names that begin with `prefix`, above `after` if given."""
        names = sorted(
            name
            for name in self.data_by_name
            if name.startswith(prefix) and (after is None or name > after)
        )
        return names[:limit], len(names) > limit
