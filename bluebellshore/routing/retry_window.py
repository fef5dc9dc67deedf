"""Budget of repeats that all routers share without talking.

Answers the load pattern in which backend servers fail many requests at once and
every repeat adds to their load.
"""

from collections import deque

__all__ = ["WindowedRetryBudget"]

#: Part of the allowance that is used: the count of routers lags, and requests are
#: spread unevenly.
USED_SHARE = 0.7
#: Steps into which a window is cut to compare it with the one before.
STEPS = 2


class WindowedRetryBudget:
    """Repeats allowed to one router for one service in any window of time.

    The requests that earn repeats are those of the window, of the one before it or of
    the one half a window before, whichever has most: repeats come when traffic falls
    off, because callers wait for what fails.

    :param ratio: repeats allowed for each request.
    :param extra: further repeats that all routers together may make in a window.
    :param window_seconds: length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float):
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        #: Requests by half windows before now: up to 0.5, 1, 1.5 and 2 windows old.
        self._halves: list[deque[float]] = [deque() for _ in range(2 * STEPS)]
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._halves[0].append(now)
        self._expire(now)

    def withdraw(self, now: float, routers: int) -> bool:
        """Take one repeat. :return: False when the share is used up.

        :param routers: most routers that may be serving now.
        """
        self._expire(now)
        share = self._ratio * self._requests() + self._extra / max(1, routers)
        if len(self._repeats) + 1 > share * USED_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _requests(self) -> int:
        """Return the requests of the window that has most."""
        counts = [len(half) for half in self._halves]
        return max(sum(counts[i : i + STEPS]) for i in range(STEPS + 1))

    def _expire(self, now: float) -> None:
        half = self._window_seconds / STEPS
        for number, times in enumerate(self._halves):
            while times and times[0] <= now - (number + 1) * half:
                time = times.popleft()
                if number + 1 < len(self._halves):
                    self._halves[number + 1].append(time)
        while self._repeats and self._repeats[0] <= now - self._window_seconds:
            self._repeats.popleft()
