"""Prompt prefix cache of the model engine stand-in."""

import random
from collections import OrderedDict, deque
from enum import Enum

import msgspec

from bluebellshore.standin.generation import BLOCK_BYTES

__all__ = ["CacheEvent", "CacheEventKind", "PrefixCache"]

#: Memory that a block of keys and values takes, as a multiple of its text.
EXPANSION = 16
EVENTS_KEPT = 4096


class CacheEventKind(Enum):
    """What happened to blocks of the cache."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


class CacheEvent(msgspec.Struct):
    """Change of the cache; a gap in `sequence` shows that events are missing."""

    sequence: int
    kind: CacheEventKind
    blocks: list[str]


class PrefixCache:
    """Least recently used blocks of prompts, in bounded memory.

    Takes `now` in seconds; events show `lag_seconds` late, a share of them never.
    """

    def __init__(
        self,
        size_bytes: int,
        *,
        lag_seconds: float,
        event_loss: float,
        rng: random.Random,
    ):
        self._block_limit = size_bytes // (BLOCK_BYTES * EXPANSION)
        self._lag_seconds = lag_seconds
        self._event_loss = event_loss
        self._rng = rng
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=EVENTS_KEPT)
        self._sequence = 0

    def use(self, blocks: list[str], now: float) -> float:
        """Look a prompt up and store it. :return: share that was cached."""
        hits = self._leading_hits(blocks)
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        if hits < len(blocks):
            self._publish(CacheEventKind.STORED, blocks[hits:], now)
        self._evict(now)
        return hits / len(blocks) if blocks else 0.0

    def clear(self, now: float) -> None:
        """Forget everything, as after a restart."""
        self._blocks.clear()
        self._publish(CacheEventKind.CLEARED, [], now)

    def events(self, after: int, now: float) -> list[CacheEvent]:
        """Return the events that show by now, above sequence number `after`."""
        return [
            event
            for at, event in self._events
            if event.sequence > after and at <= now - self._lag_seconds
        ]

    def _leading_hits(self, blocks: list[str]) -> int:
        for position, block in enumerate(blocks):
            if block not in self._blocks:
                return position
        return len(blocks)

    def _evict(self, now: float) -> None:
        removed = []
        while len(self._blocks) > self._block_limit:
            removed.append(self._blocks.popitem(last=False)[0])
        if removed:
            self._publish(CacheEventKind.REMOVED, removed, now)

    def _publish(self, kind: CacheEventKind, blocks: list[str], now: float) -> None:
        self._sequence += 1
        if self._rng.random() >= self._event_loss:
            self._events.append((now, CacheEvent(self._sequence, kind, blocks)))
