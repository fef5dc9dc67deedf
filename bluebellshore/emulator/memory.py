"""Memory of an emulated engine: parts in use, cached parts, tokens being made."""

from collections import Counter, OrderedDict
from collections.abc import Hashable, Sequence

from bluebellshore.fleet import PromptPart
from bluebellshore.ids import PartId

__all__ = ["PartMemory"]


class PartMemory:
    """Parts of prompts in bounded memory; the least recently used yields.

    :param limit_tokens: size of the memory.
    """

    def __init__(self, limit_tokens: int):
        self._limit_tokens = limit_tokens
        self._tokens_by_part: OrderedDict[PartId, int] = OrderedDict()
        self._read: set[PartId] = set()
        self._uses: Counter[PartId] = Counter()
        self._parts_by_holder: dict[Hashable, Sequence[PromptPart]] = {}
        self._made_by_holder: Counter[Hashable] = Counter()
        self._used = 0

    @property
    def used_tokens(self) -> int:
        """Tokens in memory."""
        return self._used

    def cached_tokens(self, parts: Sequence[PromptPart]) -> int:
        """Return the tokens of a prompt that need not be read."""
        total = 0
        for part in parts:
            if part.part_id not in self._read:
                break
            total += min(part.tokens, self._tokens_by_part[part.part_id])
        return total

    def hold(self, holder: Hashable, parts: Sequence[PromptPart], made: int) -> bool:
        """Take memory for a prompt. :return: False when there is no room."""
        for part in parts:
            self._uses[part.part_id] += 1
        missing = [p for p in parts if p.part_id not in self._tokens_by_part]
        if not self._make_room(sum(part.tokens for part in missing) + made):
            self._unuse(parts)
            return False
        for part in parts:
            if part.part_id not in self._tokens_by_part:
                self._tokens_by_part[part.part_id] = part.tokens
                self._used += part.tokens
            self._tokens_by_part.move_to_end(part.part_id)
        self._parts_by_holder[holder] = parts
        self._made_by_holder[holder] = made
        self._used += made
        return True

    def grow(self, holder: Hashable, tokens: int) -> bool:
        """Take memory for tokens made. :return: False when there is no room."""
        if not self._make_room(tokens):
            return False
        self._made_by_holder[holder] += tokens
        self._used += tokens
        return True

    def note_read(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Mark parts as cached. :return: those that were not."""
        new = [part for part in parts if part.part_id not in self._read]
        self._read.update(part.part_id for part in new)
        return new

    def release(self, holder: Hashable) -> None:
        """End the use of a prompt; its parts stay cached while there is room."""
        self._used -= self._made_by_holder.pop(holder)
        parts = self._parts_by_holder.pop(holder)
        self._unuse(parts)
        for part in parts:
            unread = part.part_id not in self._read
            if unread and not self._uses[part.part_id]:
                self._used -= self._tokens_by_part.pop(part.part_id, 0)

    def _unuse(self, parts: Sequence[PromptPart]) -> None:
        for part in parts:
            self._uses[part.part_id] -= 1
            if not self._uses[part.part_id]:
                del self._uses[part.part_id]

    def _make_room(self, tokens: int) -> bool:
        while self._used + tokens > self._limit_tokens:
            oldest = next((p for p in self._tokens_by_part if p not in self._uses), "")
            if not oldest:
                return False
            self._used -= self._tokens_by_part.pop(oldest)
            self._read.discard(oldest)
        return True
