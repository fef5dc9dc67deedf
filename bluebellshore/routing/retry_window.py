"""Budget of repeats that all routers share without talking.

Answers the load pattern in which backend servers fail many requests at once and
every repeat adds to their load.
"""

from collections import deque

__all__ = ["RetryWindow"]

#: Part of the allowance that is used: the count of routers lags, and requests are
#: spread unevenly.
USED_SHARE = 0.7


class RetryWindow:
    """Repeats allowed to one router for one service in any window of time.

    :param ratio: repeats allowed for each request.
    :param extra: further repeats that all routers together may make in a window.
    :param window_seconds: length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_seconds: float):
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window_seconds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now)
        self._expire(now)

    def allow(self, now: float, routers: int) -> bool:
        """Take one repeat. :return: False when the share is used up.

        :param routers: most routers that may be serving now.
        """
        self._expire(now)
        share = self._ratio * len(self._requests) + self._extra / max(1, routers)
        if len(self._repeats) + 1 > share * USED_SHARE:
            return False
        self._repeats.append(now)
        return True

    def _expire(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_seconds:
                times.popleft()
