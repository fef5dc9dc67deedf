"""Faults of the fault proxy."""

import asyncio
from enum import Enum

import msgspec

__all__ = [
    "DirectionChange",
    "DirectionFaults",
    "ProxyFaultChange",
    "ProxyStats",
    "Swallow",
]


class Swallow(Enum):
    """Which connections accept data and discard it.

    A connection that has begun to do so never stops; with NONE only new ones pass.
    """

    NONE = "none"
    EXISTING = "existing"
    ALL = "all"


class DirectionChange(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of one direction; fields left out stay as they are.

    :param bytes_per_second: limit for each connection; 0 for none.
    :param blocked: nothing passes until lifted, then what was held goes on.
    """

    delay_seconds: float | None = None
    bytes_per_second: int | None = None
    blocked: bool | None = None
    swallow: Swallow | None = None


class ProxyFaultChange(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``.

    :param up: direction from the client to the upstream.
    :param refuse_new: new connections are reset.
    :param cut: reset the open connections now.
    :param half_open: end the open connections towards the upstream now and leave
        their clients with a silent connection.
    """

    up: DirectionChange | None = None
    down: DirectionChange | None = None
    refuse_new: bool | None = None
    cut: bool = False
    half_open: bool = False


class DirectionFaults:
    """Faults in force for one direction of all connections."""

    def __init__(self) -> None:
        self.delay_seconds = 0.0
        self.bytes_per_second = 0
        self.swallow = Swallow.NONE
        self.passing = asyncio.Event()
        self.passing.set()

    def apply(self, change: DirectionChange) -> None:
        """Change what `change` names."""
        if change.delay_seconds is not None:
            self.delay_seconds = change.delay_seconds
        if change.bytes_per_second is not None:
            self.bytes_per_second = change.bytes_per_second
        if change.swallow is not None:
            self.swallow = change.swallow
        if change.blocked is True:
            self.passing.clear()
        elif change.blocked is False:
            self.passing.set()


class ProxyStats(msgspec.Struct):
    """What the proxy has done; answer of ``GET /control/stats``."""

    accepted: int = 0
    refused: int = 0
    open: int = 0
    cut: int = 0
    bytes_up: int = 0
    bytes_down: int = 0
    swallowed_bytes: int = 0
