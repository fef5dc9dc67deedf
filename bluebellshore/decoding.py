"""Decoding of values that another process wrote."""

from typing import TypeVar

import msgspec

__all__ = ["decode_json", "decode_msgpack"]

T = TypeVar("T")


def decode_json(data: bytes, value_type: type[T]) -> T:
    """Decode JSON into `value_type`.

    :raises msgspec.DecodeError: the data is malformed, not UTF-8 or nested too deeply.
    """
    return _decode(msgspec.json.decode, data, value_type)


def decode_msgpack(data: bytes, value_type: type[T]) -> T:
    """Decode MessagePack into `value_type`.

    :raises msgspec.DecodeError: as for :func:`decode_json`.
    """
    return _decode(msgspec.msgpack.decode, data, value_type)


def _decode(decode, data: bytes, value_type: type[T]) -> T:
    try:
        return decode(data, type=value_type)
    except (RecursionError, UnicodeDecodeError) as error:
        raise msgspec.DecodeError(str(error)) from error
