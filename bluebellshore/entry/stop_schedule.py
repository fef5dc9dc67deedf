"""Times of a router's graceful stop and which requests it still accepts."""

import msgspec

__all__ = ["StopSchedule"]

#: Time for which a stopping router, already not ready, accepts all requests. The
#: platform sends no more callers after the second failed readiness check; callers that
#: it sent before then still arrive.
ACCEPT_SECONDS = 2.6
#: Time before SIGKILL at which the router settles budgets even if requests still run.
SETTLE_RESERVE_SECONDS = 0.8
#: Time before SIGKILL at which the router stops settling and closes connections.
CLOSE_RESERVE_SECONDS = 0.5
#: Retry-After of a request that a stopping router doesn't begin, if another router
#: serves, and if none is known to.
RETRY_ELSEWHERE_SECONDS = 0.0
RETRY_LATER_SECONDS = 1.0


class StopSchedule(msgspec.Struct, frozen=True):
    """When a stopping router begins requests and when it ends the remaining ones.

    Load pattern: streams that were accepted before the stop keep the router running
    for most of its grace period. Meanwhile callers go on to send requests, on
    connections that they kept open and, where few routers are ready, on new ones.

    All times are monotonic seconds.

    :param began_at: when the router was told to stop.
    :param accept_until: until then all requests are accepted, also such that may not
        end in the time left: their callers can't know yet that the router stops.
    :param settle_at: when the requests that no backend server runs are refused.
    :param close_at: when all requests that remain are ended.
    """

    began_at: float
    accept_until: float
    settle_at: float
    close_at: float

    @classmethod
    def begin(
        cls,
        now: float,
        grace_seconds: float,
        accept_seconds: float | None = None,
    ) -> "StopSchedule":
        """Return the schedule of a stop that begins now.

        :param grace_seconds: time until the process is killed.
        :param accept_seconds: time for which all requests are accepted; None for
            `ACCEPT_SECONDS`.
        """
        if accept_seconds is None:
            accept_seconds = ACCEPT_SECONDS
        settle_at = max(now, now + grace_seconds - SETTLE_RESERVE_SECONDS)
        return cls(
            began_at=now,
            accept_until=min(now + accept_seconds, settle_at),
            settle_at=settle_at,
            close_at=max(now, now + grace_seconds - CLOSE_RESERVE_SECONDS),
        )

    def accepts(self, deadline: float, now: float) -> bool:
        """Return whether to begin a request, given its deadline.

        Only the deadline bounds how long a request takes: an estimate would be exceeded
        by some requests, whose answers would be cut.
        """
        return now < self.accept_until or deadline <= self.settle_at

    def retry_after(self, *, others_serve: bool) -> float:
        """Return after how many seconds a refused caller should try again.

        :param others_serve: whether another router is known to serve.
        """
        return RETRY_ELSEWHERE_SECONDS if others_serve else RETRY_LATER_SECONDS
