"""What prompt parts a backend server seems to hold.

Answers the load pattern in which more shared parts are in use than one engine can
hold: a router that remembers each part for ever sends requests to engines that
dropped the part long ago.
"""

from collections import Counter
from collections.abc import Sequence

from bluebellshore.fleet import PromptPart
from bluebellshore.ids import PartId

__all__ = ["CachedParts", "PartsInUse"]

#: Parts remembered of a server whose memory is not known.
MOST_PARTS = 4096
#: Part of an engine's memory that cached parts fill; the rest holds what is generated.
CACHE_SHARE = 0.9


class CachedParts:
    """Parts read by one engine, the least recently used first.

    :param limit_tokens: memory of the engine; 0 when unknown.
    """

    def __init__(self, limit_tokens: int = 0):
        self._limit_tokens = int(limit_tokens * CACHE_SHARE)
        self._tokens_by_part: dict[PartId, int] = {}
        self._total = 0

    def add(self, part_id: PartId, tokens: int) -> bool:
        """Note that a part was used. :return: whether it was not known."""
        known = self._tokens_by_part.pop(part_id, None)
        tokens = max(tokens, known or 0)
        self._tokens_by_part[part_id] = tokens
        self._total += tokens - (known or 0)
        while self._over():
            oldest = next(iter(self._tokens_by_part))
            self._total -= self._tokens_by_part.pop(oldest)
        return known is None

    def discard(self, part_id: PartId) -> None:
        """Note that a part is not held."""
        self._total -= self._tokens_by_part.pop(part_id, 0)

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that need not be read."""
        total = 0
        for part in parts:
            held = min(self._tokens_by_part.get(part.part_id, 0), part.tokens)
            total += held
            if held < part.tokens:
                break
        return total

    def _over(self) -> bool:
        if len(self._tokens_by_part) > MOST_PARTS:
            return True
        return 0 < self._limit_tokens < self._total


class PartsInUse:
    """Parts that running requests of one engine use; each counts once.

    :ivar tokens: their size.
    """

    def __init__(self) -> None:
        self._uses: Counter[PartId] = Counter()
        self.tokens = 0

    def add(self, parts: Sequence[PromptPart]) -> None:
        """Begin the use of a prompt."""
        for part in parts:
            self.tokens += 0 if self._uses[part.part_id] else part.tokens
            self._uses[part.part_id] += 1

    def remove(self, parts: Sequence[PromptPart]) -> None:
        """End the use of a prompt."""
        for part in parts:
            self._uses[part.part_id] -= 1
            if not self._uses[part.part_id]:
                del self._uses[part.part_id]
                self.tokens -= part.tokens

    def shared_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that are in use already."""
        return sum(part.tokens for part in parts if part.part_id in self._uses)
