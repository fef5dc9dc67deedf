"""Decides which requests an instance with a full link refuses at their heads."""

__all__ = ["LinkAdmission"]

#: Share of the link's bandwidth that new requests may take while it is full; the rest
#: is left to answers in progress and to what the routers tell each other.
ADMITTED_SHARE = 0.6
#: Time for which unused bandwidth is saved up.
BURST_SECONDS = 0.5
#: Bytes of an answer, with the heads of request and answer, beside the body.
ANSWER_BYTES = 1500
#: Multiple of a request's bytes that has to be left for others, up to this share of
#: what can be saved up. So large requests are refused before small ones.
RESERVE_FACTOR = 4.0
MAX_RESERVE_SHARE = 0.5


class LinkAdmission:
    """Admits as many new requests as a full link bears, small ones first.

    Load pattern: more arrives on kept connections than the link can pass on. If all is
    admitted, each request is late and what shares the link fails; a request that is
    refused at once reaches another instance by its caller's retry.
    """

    def __init__(self) -> None:
        self._saved_bytes = 0.0
        self._updated_at: float | None = None

    def admits(self, body_bytes: int, bytes_per_second: float, now: float) -> bool:
        """Return whether to serve a request; if so, count it.

        :param body_bytes: size of its body; 0 when unknown.
        :param bytes_per_second: bandwidth of the link each way.
        :param now: monotonic seconds.
        """
        most = BURST_SECONDS * bytes_per_second
        if self._updated_at is None:
            self._saved_bytes = most
        else:
            seconds = now - self._updated_at
            self._saved_bytes += ADMITTED_SHARE * bytes_per_second * seconds
            self._saved_bytes = min(most, self._saved_bytes)
        self._updated_at = now
        cost = body_bytes + ANSWER_BYTES
        reserve = min(MAX_RESERVE_SHARE * most, RESERVE_FACTOR * cost)
        if self._saved_bytes < cost + reserve:
            return False
        self._saved_bytes -= cost
        return True
