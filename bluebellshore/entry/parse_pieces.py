"""Decides in which pieces received bytes are parsed."""

from bluebellshore.entry.head_size import FEW_FIELDS, HEAD_END, LINE_END, end_of_head

__all__ = [
    "is_fragmented",
    "parsable_chunk_bytes",
    "parsable_head_bytes",
    "past_small_head",
]

#: Pieces in which received bytes are parsed where they may hold many requests or short
#: chunks, and the lines in such a piece above which chunks are short.
PARSED_PIECE_BYTES = 4096
MAX_PIECE_LINES = 64


def past_small_head(data: bytes) -> int:
    """Return how many bytes follow the head of the one request that begins here.

    :return: -1 unless the head is whole and small, and no other one is.
    """
    if len(data) > PARSED_PIECE_BYTES:
        return -1
    at = data.find(HEAD_END)
    if at <= 0 or data.count(LINE_END) > FEW_FIELDS:
        return -1
    end = at + len(HEAD_END)
    return len(data) - end if data.find(HEAD_END, end) < 0 else -1


def is_fragmented(data: bytes | bytearray) -> bool:
    """Return whether a body comes in chunks so short that they take long to parse."""
    if len(data) <= PARSED_PIECE_BYTES:
        return False
    return data.count(LINE_END, 0, PARSED_PIECE_BYTES) > MAX_PIECE_LINES


def parsable_head_bytes(data: bytes | bytearray, before: bytes) -> int:
    """Return how many bytes to parse at once, to parse one head at most.

    Handles requests sent ahead of the answers: parsed ones cost much more than their
    bytes.

    :param before: bytes of the head before `data`.
    """
    end = end_of_head(data, before)
    if end < 0:
        return len(data)
    is_short = len(data) - end <= PARSED_PIECE_BYTES
    return len(data) if is_short and data.find(HEAD_END, end) < 0 else end


def parsable_chunk_bytes(data: bytes | bytearray, before: bytes) -> int:
    """Return how many bytes of a body in chunks to parse at once.

    The body may end at an empty line only.

    :param before: bytes of the body before `data`.
    """
    end = end_of_head(data, before)
    size = end if end >= 0 else len(data)
    return min(size, PARSED_PIECE_BYTES) if is_fragmented(data) else size
