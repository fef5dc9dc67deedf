"""Share of a service's requests that a target version gets while it is tried."""

import msgspec

from bluebellshore.canary import CanaryVerdict

__all__ = ["SharePlan", "Situation", "first_requests", "late"]

#: Share before the rate of requests is known.
FIRST_SHARE = 0.02
#: Time in which the rate of requests is learned.
LEARN_SECONDS = 1.0
#: Shares on the way to all, besides the first one.
STEPS = (0.25, 0.5, 1.0)
#: Part of the order's time by which all traffic has moved; the rest is for writing.
FINISH_PART = 0.75
#: Part of the order's time, and least seconds, kept for going back.
RESERVE_PART = 0.08
RESERVE_SECONDS = 1.0
#: Part of the allowed exposure that is used at all: the rest goes to answers that are
#: under way when badness shows. Least part of it for the first share, and the part
#: for one step.
USED_PART = 0.9
FIRST_PART = 0.2
STEP_PART = 0.14
#: Part of what the steps need not that goes to the first share.
SPARE_PART = 0.6
#: Bounds of the time of one step. Peers hear of a verdict in about half a second.
STEP_SECONDS = (0.8, 3.0)
#: Time with all traffic moved until the completion is written, and the part of it
#: for which there must be exposure left to stay there.
FULL_SECONDS = 1.6
REACTION_SECONDS = 0.25
#: Least time over which the first share makes up for requests that are missing.
CATCH_UP_SECONDS = 2.0
#: Most of the first share, for services with few requests.
MOST_FIRST_SHARE = 0.25
#: Requests are expected to go on at this part of their rate.
EXPECTED_PART = 0.8


class Situation(msgspec.Struct, frozen=True):
    """What is known of an order at a moment.

    :param age: seconds since the order.
    :param seconds: time that the order gives.
    :param exposed: requests that the target version got from the whole fleet.
    :param requests: requests that the service got since the order.
    :param has_results: whether its answers suffice for an opinion.
    :param may_finish: whether the completion could be written.
    :param peers_share: highest share that a peer told of lately.
    """

    age: float
    seconds: float
    exposed: int
    requests: int
    verdict: CanaryVerdict
    exposure_share: float
    exposure_extra: float
    has_results: bool = False
    may_finish: bool = True
    peers_share: float = 0.0

    @property
    def rate(self) -> float:
        """Requests a second."""
        return self.requests / max(self.age, LEARN_SECONDS)

    @property
    def allowed(self) -> float:
        """Requests that the target version may get before it is decided."""
        left = max(0.0, self.seconds - self.age)
        expected = self.requests + EXPECTED_PART * self.rate * left
        allowed = self.exposure_share * expected + self.exposure_extra
        return USED_PART * allowed


def first_requests(situation: Situation) -> float:
    """Return the requests that the target version is to get at its first share."""
    spare = situation.allowed - _ramp_requests(situation)
    return max(FIRST_PART * situation.allowed, SPARE_PART * spare)


def late(situation: Situation) -> bool:
    """Return whether it is time to go back."""
    return situation.age >= _last_age(situation)


class SharePlan:
    """Raises the share in steps, never past the exposure that is allowed."""

    def __init__(self) -> None:
        self.share = 0.0
        self._step = -1
        self._since = 0.0

    def update(self, situation: Situation) -> float:
        """Return the share from now on."""
        if situation.verdict is CanaryVerdict.BAD or late(situation):
            self.share = 0.0
            return 0.0
        step = self._next(situation)
        if step is not None:
            self._step = step
            self._since = situation.age
        if not self._has_room(situation, self._share(situation), REACTION_SECONDS):
            # The completion did not come in time: back to few, as after a failure.
            self._step = -1
            self._since = situation.age
        share = self._share(situation)
        room = self._has_room(situation, share, REACTION_SECONDS)
        self.share = share if room else 0.0
        return self.share

    def _share(self, situation: Situation) -> float:
        if self._step >= 0:
            return STEPS[self._step]
        if situation.age < LEARN_SECONDS or not situation.requests:
            return FIRST_SHARE
        wanted = first_requests(situation)
        seconds = max(LEARN_SECONDS, _ramp_at(situation))
        left = max(CATCH_UP_SECONDS, seconds - situation.age)
        missing = max(wanted / seconds, (wanted - situation.exposed) / left)
        return min(MOST_FIRST_SHARE, missing / situation.rate)

    def _next(self, situation: Situation) -> int | None:
        """Return the step that begins now; None to stay.

        A step between is left out where the exposure or the time would not suffice for
        the last.
        """
        if situation.verdict is not CanaryVerdict.GOOD or not situation.may_finish:
            return None
        followed = self._followed(situation)
        if followed is not None:
            return followed
        if not situation.has_results:
            return None
        seconds = _step_seconds(situation)
        if self._step < 0:
            if situation.age < _ramp_at(situation):
                return None
        elif situation.age < self._since + seconds:
            return None
        hurried = situation.age + 2 * seconds + FULL_SECONDS > _last_age(situation)
        for step in range(self._step + 1, len(STEPS)):
            if hurried and STEPS[step] < 1.0:
                continue
            between = STEPS[step] * seconds if STEPS[step] < 1.0 else 0.0
            if self._has_room(situation, 1.0, between + FULL_SECONDS):
                return step
        return None

    def _followed(self, situation: Situation) -> int | None:
        """Return the step of a peer that is ahead; None without one.

        What it needed room for is needed once for the whole fleet, and its completion
        waits for all.
        """
        for step in range(len(STEPS) - 1, self._step, -1):
            share = STEPS[step]
            if MOST_FIRST_SHARE < share <= situation.peers_share:
                room = self._has_room(situation, share, REACTION_SECONDS)
                return step if room else None
        return None

    @staticmethod
    def _has_room(situation: Situation, share: float, seconds: float) -> bool:
        more = share * situation.rate * seconds
        return situation.exposed + more <= situation.allowed


def _last_age(situation: Situation) -> float:
    """Return the age at which it is time to go back."""
    reserve = max(RESERVE_SECONDS, RESERVE_PART * situation.seconds)
    return situation.seconds - reserve


def _step_seconds(situation: Situation) -> float:
    least, most = STEP_SECONDS
    if not situation.requests:
        return least
    return min(most, max(least, STEP_PART * situation.allowed / situation.rate))


def _ramp_at(situation: Situation) -> float:
    """Return the age at which the share begins to rise."""
    steps = (len(STEPS) - 1) * _step_seconds(situation)
    return FINISH_PART * situation.seconds - steps - FULL_SECONDS


def _ramp_requests(situation: Situation) -> float:
    """Return the requests that the target version gets while the share rises."""
    seconds = _step_seconds(situation)
    steps = sum(share * seconds for share in STEPS if share < 1.0)
    return situation.rate * (steps + FULL_SECONDS)
