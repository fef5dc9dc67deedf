"""One attempt during a rollout, as far as it tells of its server's version."""

import msgspec

from bluebellshore.rollouts.evidence import Counts, Key, bucket_of
from bluebellshore.routing.results import AttemptResult

__all__ = ["Attempt"]

#: Events of a stream from which its mean pause counts.
LEAST_EVENTS = 4
#: First events of prompts at the target version may take this much longer: the others
#: hold parts of prompts that its servers have yet to read.
COLD_FACTOR = 1.6
#: Ends that say nothing of a version: a server that is full, gone or crashed, or a
#: caller who left.
_SILENT = (
    AttemptResult.REFUSED,
    AttemptResult.UNREACHABLE,
    AttemptResult.BROKEN,
    AttemptResult.CALLER_LEFT,
)


class Attempt(msgspec.Struct, eq=False):
    """An attempt that was sent.

    :param key: None while the service has no undecided order.
    :param order: row version of that order.
    :param has_prompt: whether the time to its first event depends on what the server
        read before.
    :param warm: whether the server's times are those of its version.
    :ivar overdue: whether it was counted as slow before its first event.
    """

    attempt_id: str
    key: Key | None
    order: int
    sent_at: float
    warm: bool
    has_prompt: bool = False
    first_at: float | None = None
    last_at: float = 0.0
    events: int = 0
    overdue: bool = False

    def event(self, now: float, events: int = 1) -> None:
        """Note that events have come. :param events: how many."""
        if self.first_at is None:
            self.first_at = now
        self.last_at = now
        self.events += events

    def count_overdue(self, now: float) -> Counts:
        """Return what counts now that its first event is long due."""
        self.overdue = True
        counts = Counts(ended=1)
        counts.first[self._first_bucket(now)] = 1
        return counts

    def count_end(self, result: AttemptResult, now: float) -> Counts:
        """Return what counts at its end."""
        counts = Counts()
        if result in _SILENT:
            return counts
        counts.ended = int(not self.overdue)
        counts.failed = int(result is AttemptResult.FAILED)
        if counts.failed or not self.warm:
            return counts
        if not self.overdue:
            first_at = now if self.first_at is None else self.first_at
            counts.first[self._first_bucket(first_at)] = 1
        if self.events >= LEAST_EVENTS:
            gap = (self.last_at - self.first_at) / (self.events - 1)
            counts.gap[bucket_of(gap)] = 1
        return counts

    def _first_bucket(self, at: float) -> int:
        seconds = at - self.sent_at
        if self.has_prompt and self.key.target:
            seconds /= COLD_FACTOR
        return bucket_of(seconds)
