"""What the head of a request costs while it is received."""

__all__ = ["FEW_FIELDS", "HEAD_END", "LINE_END", "HeadSize", "end_of_head"]

HEAD_END = b"\r\n\r\n"
LINE_END = b"\r\n"
#: Bytes on the wire for each that a configuration counts of a head, at most.
HEAD_LINE_COST = 5
#: Heads up to this size with few fields cost no more than their connection.
LARGE_HEAD_BYTES = 8 * 1024
FEW_FIELDS = 64
#: How often a larger head is held, and what each field costs beyond its bytes.
HEAD_COPIES = 3
FIELD_BYTES = 600


def end_of_head(data: bytes | bytearray, before: bytes = b"") -> int:
    """Return the index after the first empty line; -1 for none.

    :param before: bytes before `data`; the last three count.
    """
    # Bodies rarely have such a byte, and this search is much the quicker one.
    if b"\n" not in data:
        return -1
    before = before[-3:]
    at = (before + data[:3]).find(HEAD_END) - len(before)
    if at <= -len(before) - 1:
        at = data.find(HEAD_END)
        return at + len(HEAD_END) if at >= 0 else -1
    return at + len(HEAD_END)


class HeadSize:
    """Size of a head of which parts were received, before they are parsed.

    Handles heads of legal size that are made of very many short fields: each field
    costs much more than its bytes once it is parsed.
    """

    __slots__ = ("_fields", "_size")

    def __init__(self) -> None:
        self._size = self._fields = 0

    def clear(self) -> None:
        """Begin another head."""
        self._size = self._fields = 0

    def add(self, data: bytes, before: bytes = b"") -> int:
        """Count a part. :return: bytes of it that follow the head; -1 if it goes on.

        :param before: bytes before the part.
        """
        end = end_of_head(data, before)
        size = end if end >= 0 else len(data)
        self._size += size
        self._fields += data.count(LINE_END, 0, size)
        return len(data) - end if end >= 0 else -1

    def is_above(self, limit: int) -> bool:
        """Check whether the head is larger than any that a configuration allows.

        :param limit: bytes of a head, without what separates its fields.
        """
        return self._size > HEAD_LINE_COST * limit + LARGE_HEAD_BYTES

    @property
    def cost_bytes(self) -> int:
        """Bytes that the head costs beyond those of its connection."""
        if self._fields <= FEW_FIELDS and self._size <= LARGE_HEAD_BYTES:
            return 0
        return HEAD_COPIES * self._size + FIELD_BYTES * self._fields
