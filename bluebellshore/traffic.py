"""Counts the bytes that a part of the process received and sent."""

import msgspec

__all__ = ["TrafficCounter"]


class TrafficCounter(msgspec.Struct):
    """Bytes of payload since the start, without the headers of TCP and IP.

    :param received_bytes: bytes read from sockets.
    :param sent_bytes: bytes written to sockets.
    """

    received_bytes: int = 0
    sent_bytes: int = 0
