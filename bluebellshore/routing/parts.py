"""Models the prompt parts that a backend server has cached.

Handles more shared parts than one engine can cache. A router that remembered every part
forever would send requests to engines that evicted the part long ago.
"""

from collections import Counter
from collections.abc import Sequence

from bluebellshore.fleet import PromptPart
from bluebellshore.ids import PartId

__all__ = ["CachedParts", "PartsInUse"]

#: Parts remembered of one server, whether its memory is known or not.
MAX_CACHED_PARTS = 4096
#: Share of an engine's memory that cached parts fill; the rest holds generated tokens.
CACHE_MEMORY_SHARE = 0.9


class CachedParts:
    """Model of one engine's cache of prompt parts, with LRU eviction.

    :param memory_tokens: memory of the engine; 0 if unknown.
    """

    def __init__(self, memory_tokens: int = 0):
        self._capacity_tokens = int(memory_tokens * CACHE_MEMORY_SHARE)
        #: In order of use, the least recently used part first.
        self._tokens_by_part: dict[PartId, int] = {}
        self._total_tokens = 0

    def add(self, part_id: PartId, tokens: int) -> bool:
        """Record the use of a part.

        :return: whether the part was not known to be cached.
        """
        known_tokens = self._tokens_by_part.pop(part_id, None)
        tokens = max(tokens, known_tokens or 0)
        self._tokens_by_part[part_id] = tokens
        self._total_tokens += tokens - (known_tokens or 0)
        while self._exceeds_capacity():
            oldest = next(iter(self._tokens_by_part))
            self._total_tokens -= self._tokens_by_part.pop(oldest)
        return known_tokens is None

    def discard(self, part_id: PartId) -> None:
        """Record that a part is not cached."""
        self._total_tokens -= self._tokens_by_part.pop(part_id, 0)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the prompt tokens that the engine is expected to have cached.

        Only a prefix of the prompt can be cached, so parts after the first one that is
        not cached whole don't count.
        """
        total = 0
        for part in parts:
            cached = min(self._tokens_by_part.get(part.part_id, 0), part.tokens)
            total += cached
            if cached < part.tokens:
                break
        return total

    def _exceeds_capacity(self) -> bool:
        if len(self._tokens_by_part) > MAX_CACHED_PARTS:
            return True
        return 0 < self._capacity_tokens < self._total_tokens


class PartsInUse:
    """Prompt parts that the running requests of one engine use.

    :ivar tokens: total size of the parts; a part that several requests use counts once.
    """

    def __init__(self) -> None:
        self._uses_by_part: Counter[PartId] = Counter()
        self.tokens = 0

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Add the prompt of a request that begins to run."""
        for part in parts:
            self.tokens += 0 if self._uses_by_part[part.part_id] else part.tokens
            self._uses_by_part[part.part_id] += 1

    def remove(self, parts: Sequence[PromptPart]) -> None:
        """Remove the prompt of a request that has ended."""
        for part in parts:
            self._uses_by_part[part.part_id] -= 1
            if not self._uses_by_part[part.part_id]:
                del self._uses_by_part[part.part_id]
                self.tokens -= part.tokens

    def shared_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt's parts that are in use already."""
        return sum(part.tokens for part in parts if part.part_id in self._uses_by_part)
