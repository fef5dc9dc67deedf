"""Retry budget as a share of first attempts, for routers in front of sidecars."""

__all__ = ["RetryBudget"]

#: Rate of retries that are allowed regardless of traffic, so that a route with few
#: requests can retry at all.
MIN_RETRIES_PER_SECOND = 0.5
#: Retries of that rate that may accumulate.
MAX_MIN_RATE_RETRIES = 3.0
#: Requests whose share of retries may accumulate.
MAX_BURST_REQUESTS = 100


class RetryBudget:
    """Token bucket that limits retries to a share of requests.

    A second bucket, refilled at a low constant rate, is used when the first is empty.

    :param share: retries allowed for each request.
    """

    def __init__(self, share: float = 0.1):
        self._share = share
        self._max_earned = share * MAX_BURST_REQUESTS
        self._earned_retries = 0.0
        self._min_rate_retries = MAX_MIN_RATE_RETRIES
        self._refilled_at: float | None = None

    def deposit(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._earned_retries = min(self._earned_retries + self._share, self._max_earned)

    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget.

        :return: False if the budget is exhausted.
        """
        if self._earned_retries >= 1.0:
            self._earned_retries -= 1.0
            return True
        self._refill(now)
        if self._min_rate_retries >= 1.0:
            self._min_rate_retries -= 1.0
            return True
        return False

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            grown = (now - self._refilled_at) * MIN_RETRIES_PER_SECOND
            self._min_rate_retries = min(
                self._min_rate_retries + grown, MAX_MIN_RATE_RETRIES
            )
        self._refilled_at = now
