"""Measures how much of an instance's link is in use, and what it still bears."""

from collections import deque
from enum import Enum

import msgspec

__all__ = ["InstanceRoom", "RoomSample", "RoomState"]

#: Time over which the use of the link is averaged.
WINDOW_SECONDS = 0.6
#: Use of the link from which an instance fills and from which it is full. Bursts within
#: the window fill the queue before the mean reaches the bandwidth.
FILLING_LOAD = 0.6
FULL_LOAD = 0.85
#: A state is left once the load is below its bound by this much.
HYSTERESIS_LOAD = 0.1
#: Round trip to other routers, above the shortest one seen, from which bytes queue.
QUEUEING_DELAY_SECONDS = 0.1
#: The same, from which a new request is better served by another instance.
LATE_DELAY_SECONDS = 0.25
#: Time for which they queue until the link is taken to be narrower than stated.
NARROW_SECONDS = 0.5
#: Share of the stated bandwidth below which delays aren't put down to the link.
MIN_NARROW_SHARE = 0.25
#: Share by which a learned bandwidth grows per second once nothing queues.
RECOVERY_PER_SECOND = 0.1
#: Largest load that is stated.
MAX_LOAD = 4.0


class RoomState(Enum):
    """Room that an instance has."""

    AMPLE = "ample"
    FILLING = "filling"
    FULL = "full"


class RoomSample(msgspec.Struct, frozen=True):
    """Counters of an instance at one moment.

    :param at: monotonic seconds.
    :param received_bytes: bytes received since the start.
    :param sent_bytes: bytes sent since the start.
    :param round_trip_seconds: median of the last round trips to other routers; None
        when there was none lately. One slow router doesn't change it.
    """

    at: float
    received_bytes: int
    sent_bytes: int
    round_trip_seconds: float | None = None


class InstanceRoom:
    """Use of an instance's link, from counters of bytes.

    Load pattern: a few customers with many requests are sent to one small instance,
    whose link can't carry them. Loans of tokens, calls of the store and the exchange
    with other routers wait in the same queue, so they seem to be slow.

    The bandwidth is the stated one, or what passed while bytes queued if that is less.

    :param link_bytes_per_second: stated bandwidth each way; 0 when unknown, in which
        case the room is always ample.
    :ivar load: share of the bandwidth in use, in the direction that uses more.
    :ivar state: room by the load and by the queueing.
    """

    def __init__(self, link_bytes_per_second: float):
        self._stated = link_bytes_per_second
        self._capacity = link_bytes_per_second
        self._samples: deque[RoomSample] = deque()
        self._shortest_round_trip = float("inf")
        self._queueing_since: float | None = None
        #: Most bytes per second that passed since then.
        self._queueing_peak = 0.0
        self.load = 0.0
        self.state = RoomState.AMPLE

    @property
    def capacity_bytes_per_second(self) -> float:
        """Bandwidth that the link is taken to have, each way."""
        return self._capacity

    @property
    def round_trip_seconds(self) -> float | None:
        """Median round trip to other routers in the last sample."""
        return self._samples[-1].round_trip_seconds if self._samples else None

    @property
    def is_late(self) -> bool:
        """Whether bytes wait for so long that requests elsewhere end sooner."""
        return (
            self.is_queueing
            and self.round_trip_seconds - self._shortest_round_trip
            >= LATE_DELAY_SECONDS
        )

    @property
    def is_queueing(self) -> bool:
        """Whether round trips show that bytes wait for the link."""
        return self._queueing_since is not None

    def add(self, sample: RoomSample) -> None:
        """Take a sample into account; to be called several times a window."""
        previous = self._samples[-1] if self._samples else sample
        self._samples.append(sample)
        while (
            len(self._samples) > 1 and self._samples[1].at <= sample.at - WINDOW_SECONDS
        ):
            self._samples.popleft()
        if not self._stated:
            return
        self._note_round_trip(sample)
        self._learn_capacity(sample.at - previous.at)
        self.load = min(MAX_LOAD, self._bytes_per_second() / self._capacity)
        self.state = self._next_state()

    def _bytes_per_second(self) -> float:
        first, last = self._samples[0], self._samples[-1]
        # A shorter time would make a burst in the first samples look like a full link.
        seconds = max(WINDOW_SECONDS, last.at - first.at)
        return (
            max(
                last.received_bytes - first.received_bytes,
                last.sent_bytes - first.sent_bytes,
            )
            / seconds
        )

    def _note_round_trip(self, sample: RoomSample) -> None:
        round_trip = sample.round_trip_seconds
        if round_trip is None:
            self._queueing_since = None
            return
        self._shortest_round_trip = min(self._shortest_round_trip, round_trip)
        if round_trip - self._shortest_round_trip < QUEUEING_DELAY_SECONDS:
            self._queueing_since = None
        elif self._queueing_since is None:
            self._queueing_since = sample.at

    def _learn_capacity(self, seconds: float) -> None:
        rate, since = self._bytes_per_second(), self._queueing_since
        if since is None:
            self._queueing_peak = 0.0
            grown = self._capacity * (1 + RECOVERY_PER_SECOND * seconds)
            self._capacity = min(self._stated, max(grown, rate))
            return
        self._queueing_peak = max(self._queueing_peak, rate)
        if (
            self._samples[-1].at - since >= NARROW_SECONDS
            and self._queueing_peak >= MIN_NARROW_SHARE * self._stated
        ):
            self._capacity = min(self._stated, self._queueing_peak)

    def _next_state(self) -> RoomState:
        kept = {
            RoomState.FULL: (HYSTERESIS_LOAD, HYSTERESIS_LOAD),
            RoomState.FILLING: (0.0, HYSTERESIS_LOAD),
            RoomState.AMPLE: (0.0, 0.0),
        }
        kept_full, kept_filling = kept[self.state]
        if self.load >= FULL_LOAD - kept_full:
            return RoomState.FULL
        if self.load >= FILLING_LOAD - kept_filling:
            return RoomState.FULL if self.is_queueing else RoomState.FILLING
        return RoomState.AMPLE
