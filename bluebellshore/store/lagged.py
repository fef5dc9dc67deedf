"""A value whose changes become visible after a lag."""

from collections import deque
from typing import Generic, NamedTuple, TypeVar

__all__ = ["LaggedValue", "Recorded"]

T = TypeVar("T")


class Recorded(NamedTuple, Generic[T]):
    """A value and the time in seconds at which it was recorded."""

    at: float
    value: T


class LaggedValue(Generic[T]):
    """A value of which observers see an earlier state.

    Times are seconds by one monotonic clock, which the caller passes in.

    :param lag_seconds: age of the state that observers see.
    :param now: time at which `value` is recorded.
    """

    def __init__(self, lag_seconds: float, now: float, value: T):
        self._lag_seconds = lag_seconds
        self._history = deque([Recorded(now, value)])

    @property
    def latest(self) -> T:
        """Return the value recorded last, without lag."""
        return self._history[-1].value

    def record(self, now: float, value: T) -> None:
        """Record a new value."""
        self._history.append(Recorded(now, value))
        self._drop_superseded(now)

    def visible_at(self, now: float) -> Recorded[T] | None:
        """Return the value visible at `now`; None if no value is visible yet."""
        self._drop_superseded(now)
        oldest = self._history[0]
        return oldest if oldest.at <= now - self._lag_seconds else None

    def _drop_superseded(self, now: float) -> None:
        history = self._history
        while len(history) > 1 and history[1].at <= now - self._lag_seconds:
            history.popleft()
