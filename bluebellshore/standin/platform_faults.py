"""Faults and rates of the platform's stand-in."""

import random
from collections.abc import Callable
from enum import Enum

import msgspec

__all__ = ["FaultState", "NoAnswer", "PartQueues", "PlatformFaults", "RateLimit"]

#: Time of a part's transactions that may wait; more are refused.
QUEUE_SECONDS = 1.0


class NoAnswer(Enum):
    """How a call goes without its effect."""

    STATUS_503 = "503"
    STATUS_429 = "429"
    RESET = "reset"
    SILENT = "silent"


class PlatformFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Body of ``POST /control/faults``; fields left out stay as they are.

    :param outage: every call fails in this way; True for a reset, False for none.
    :param tables: tables that the outage concerns, ``objects`` for the objects;
        empty for all.
    :param spared_tables: tables that it does not concern.
    :param refused_callers: addresses of callers that get no service.
    :param refusal: how they are refused.
    :param fail_next: number of calls reset before they take effect.
    :param lose_next: number of writes whose answer is lost after the effect.
    :param lose_answers: probability that a write's answer is lost.
    :param late_next: number of transactions whose caller is cut off at once and
        that are tried only after `late_seconds`.
    :param delay_seconds: delay before a call takes effect.
    :param answer_delay_seconds: delay between a write's effect and its answer.
    :param part_writes_per_second: transactions of one part, one after another; 0
        for no limit.
    :param forget_history: forget all changes so far.
    :param restore_seconds: come back from a copy so many seconds old.
    :param clock_ahead_seconds: by how much the store's clock is ahead of this
        process's monotonic one.
    """

    outage: bool | NoAnswer | None = None
    tables: list[str] | None = None
    spared_tables: list[str] | None = None
    refused_callers: list[str] | None = None
    refusal: NoAnswer | None = None
    fail_next: int | None = None
    lose_next: int | None = None
    lose_answers: float | None = None
    late_next: int | None = None
    late_seconds: float | None = None
    delay_seconds: float | None = None
    answer_delay_seconds: float | None = None
    part_writes_per_second: float | None = None
    forget_history: bool | None = None
    restore_seconds: float | None = None
    clock_ahead_seconds: float | None = None


class FaultState:
    """Faults in force; see :class:`PlatformFaults`."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self.outage: bool | NoAnswer = False
        self.tables: list[str] = []
        self.spared_tables: list[str] = []
        self.refused_callers: list[str] = []
        self.refusal = NoAnswer.STATUS_503
        self.fail_next = 0
        self.lose_next = 0
        self.lose_answers = 0.0
        self.late_next = 0
        self.late_seconds = 0.0
        self.delay_seconds = 0.0
        self.answer_delay_seconds = 0.0
        self.clock_ahead_seconds = 0.0

    def update(self, faults: PlatformFaults) -> None:
        """Change the faults that `faults` names."""
        for name, value in msgspec.structs.asdict(faults).items():
            if value is not None and hasattr(self, name):
                setattr(self, name, value)

    def failure(self, caller: str, tables: set[str]) -> NoAnswer | None:
        """Return how a call goes wrong before its effect, None when it does not."""
        if caller in self.refused_callers:
            return self.refusal
        if self.outage and self.concerns(tables):
            return NoAnswer.RESET if self.outage is True else self.outage
        if self.fail_next > 0:
            self.fail_next -= 1
            return NoAnswer.RESET
        return None

    def concerns(self, tables: set[str]) -> bool:
        """Whether an outage would concern a call with some of these tables."""
        concerned = tables - set(self.spared_tables)
        if self.tables:
            concerned &= set(self.tables)
        return bool(concerned)

    def loses_answer(self) -> bool:
        """Return whether the answer of a write that took effect is lost."""
        if self.lose_next > 0:
            self.lose_next -= 1
            return True
        return self.lose_answers > 0 and self._rng.random() < self.lose_answers

    def is_late(self) -> bool:
        """Return whether a transaction is to be tried later, without an answer."""
        if self.late_next > 0:
            self.late_next -= 1
            return True
        return False


class RateLimit:
    """Token bucket that holds one second's operations; a rate of 0 has no limit."""

    def __init__(self, per_second: float):
        self._per_second = per_second
        self._tokens = per_second
        self._filled = 0.0

    def take(self, now: float) -> bool:
        """Count one operation. :return: False when the limit is reached."""
        if not self._per_second:
            return True
        gained = (now - self._filled) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._filled = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class PartQueues:
    """Transactions of each part take their turn; a rate of 0 has no limit."""

    def __init__(self, clock: Callable[[], float]):
        self.per_second = 0.0
        self._clock = clock
        self._free_at: dict[str, float] = {}

    def take(self, parts: set[str]) -> float | None:
        """Queue a transaction; one over several parts takes twice as long.

        :return: seconds until its end, None when too many are waiting.
        """
        if not self.per_second:
            return 0.0
        now = self._clock()
        begin = max(now, *(self._free_at.get(part, now) for part in parts))
        if begin - now > QUEUE_SECONDS:
            return None
        end = begin + min(2, len(parts)) / self.per_second
        self._free_at.update(dict.fromkeys(parts, end))
        return end - now
