"""Retry budget that all routers share without coordination.

Handles backend servers that fail many requests at once, where every retry would add to
their load.
"""

from collections import deque

__all__ = ["WindowedRetryBudget"]

#: Share of the budget that a router uses. The rest allows for a number of routers that
#: is known late and for requests that are spread unevenly among them.
USED_SHARE = 0.7
#: Steps into which a window is divided to compare it with the one before.
STEPS_PER_WINDOW = 2


class WindowedRetryBudget:
    """Limits one router's retries for one service in any sliding time window.

    The budget is a ratio of the requests in the current window, in the one before it or
    in the one half a window earlier, whichever has the most. Earlier windows count
    because retries become necessary just when traffic drops, as callers wait for their
    failing requests.

    :param ratio: retries allowed for each request.
    :param extra: additional retries that all routers together may make in a window.
    :param window_seconds: length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float):
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        #: Times of requests that are up to 0.5, 1, 1.5 and 2 windows old.
        self._request_steps: list[deque[float]] = [
            deque() for _ in range(2 * STEPS_PER_WINDOW)
        ]
        self._retries: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a caller's request."""
        self._request_steps[0].append(now)
        self._expire(now)

    def withdraw(self, now: float, routers: int) -> bool:
        """Take one retry from the budget.

        :param routers: upper bound of the number of routers that serve now.
        :return: False if this router's share of the budget is exhausted.
        """
        self._expire(now)
        share = self._ratio * self._max_requests() + self._extra / max(1, routers)
        if len(self._retries) + 1 > share * USED_SHARE:
            return False
        self._retries.append(now)
        return True

    def _max_requests(self) -> int:
        """Return the number of requests in the window that has the most."""
        counts = [len(times) for times in self._request_steps]
        return max(
            sum(counts[i : i + STEPS_PER_WINDOW]) for i in range(STEPS_PER_WINDOW + 1)
        )

    def _expire(self, now: float) -> None:
        """Move requests that have aged to the next step, and drop those too old."""
        step_seconds = self._window_seconds / STEPS_PER_WINDOW
        for number, times in enumerate(self._request_steps):
            while times and times[0] <= now - (number + 1) * step_seconds:
                time = times.popleft()
                if number + 1 < len(self._request_steps):
                    self._request_steps[number + 1].append(time)
        while self._retries and self._retries[0] <= now - self._window_seconds:
            self._retries.popleft()
