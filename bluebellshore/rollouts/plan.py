"""Share of a service's requests that a target version gets before it is decided.

A rollout begins with the canary phase, at a low share that lasts until the analysis has
enough results. The share then rises in the steps of a ramp to all requests.
"""

import msgspec

from bluebellshore.canary import CanaryVerdict

__all__ = ["RolloutSnapshot", "SharePlan", "canary_requests", "is_rollback_due"]

#: Canary share while the rate of requests is unknown.
UNKNOWN_RATE_SHARE = 0.02
#: Time for which the rate of requests is measured.
RATE_LEARNING_SECONDS = 1.0
#: Shares of the ramp, which follow the canary share.
RAMP_SHARES = (0.25, 0.5, 1.0)
#: Fraction of the order's time by which the ramp ends; the rest is for the completion.
RAMP_END_FRACTION = 0.75
#: Fraction of the order's time, and least time, that is reserved for the rollback.
ROLLBACK_RESERVE_FRACTION = 0.08
MIN_ROLLBACK_RESERVE_SECONDS = 1.0
#: Fraction of the allowed exposure that is planned with. The rest is for requests that
#: are in flight when a bad version is detected.
USABLE_EXPOSURE_FRACTION = 0.9
#: Fractions of the usable exposure: the least for the canary phase, and the one for a
#: step of the ramp.
MIN_CANARY_FRACTION = 0.2
RAMP_STEP_FRACTION = 0.14
#: Fraction for the canary phase of the usable exposure that the ramp doesn't need.
SPARE_CANARY_FRACTION = 0.6
#: Least and most time of a step of the ramp. Peers learn of a verdict in about 0.5 s.
RAMP_STEP_SECONDS_RANGE = (0.8, 3.0)
#: Time at all requests until the completion is written, and the part of it for which
#: exposure must be left to stay at a share.
FULL_SHARE_SECONDS = 1.6
REACTION_SECONDS = 0.25
#: Least time in which the canary share makes up for requests that are missing.
MIN_CATCH_UP_SECONDS = 2.0
#: Limit of the canary share, which services with few requests reach.
MAX_CANARY_SHARE = 0.25
#: Fraction of the present rate of requests that is expected until the deadline.
EXPECTED_RATE_FRACTION = 0.8


class RolloutSnapshot(msgspec.Struct, frozen=True):
    """State of a rollout order at one moment, as one router knows it.

    :param age_seconds: time since the order.
    :param deadline_seconds: time from the order to its deadline.
    :param exposed_requests: requests that the fleet has sent to the target version.
    :param total_requests: requests that the fleet has sent to the service since the
        order.
    :param exposure_share: share of the service's requests that a bad version may get.
    :param exposure_extra_requests: requests that it may get beyond the share.
    :param has_enough_results: whether its answers suffice for a verdict.
    :param can_complete: whether the completion could be written now.
    :param max_peer_share: highest share that a peer has reported recently.
    """

    age_seconds: float
    deadline_seconds: float
    exposed_requests: int
    total_requests: int
    verdict: CanaryVerdict
    exposure_share: float
    exposure_extra_requests: float
    has_enough_results: bool = False
    can_complete: bool = True
    max_peer_share: float = 0.0

    @property
    def requests_per_second(self) -> float:
        """Rate of the service's requests since the order."""
        return self.total_requests / max(self.age_seconds, RATE_LEARNING_SECONDS)

    @property
    def usable_exposure(self) -> float:
        """Requests that the target version may get before it is decided."""
        left = max(0.0, self.deadline_seconds - self.age_seconds)
        expected = (
            self.total_requests
            + EXPECTED_RATE_FRACTION * self.requests_per_second * left
        )
        allowed = self.exposure_share * expected + self.exposure_extra_requests
        return USABLE_EXPOSURE_FRACTION * allowed


def canary_requests(snapshot: RolloutSnapshot) -> float:
    """Return the requests that the target version is to get in the canary phase."""
    spare = snapshot.usable_exposure - _ramp_requests(snapshot)
    return max(
        MIN_CANARY_FRACTION * snapshot.usable_exposure, SPARE_CANARY_FRACTION * spare
    )


def is_rollback_due(snapshot: RolloutSnapshot) -> bool:
    """Return whether only the time that is reserved for a rollback is left."""
    return snapshot.age_seconds >= _rollback_age_seconds(snapshot)


class SharePlan:
    """Raises the share in steps, within the exposure that is allowed.

    :ivar share: share of the service's requests for the target version.
    """

    def __init__(self) -> None:
        self.share = 0.0
        self._ramp_step = -1
        self._step_began_at_age = 0.0

    def update(self, snapshot: RolloutSnapshot) -> float:
        """Return the share from now on."""
        if snapshot.verdict is CanaryVerdict.BAD or is_rollback_due(snapshot):
            self.share = 0.0
            return 0.0
        step = self._next_ramp_step(snapshot)
        if step is not None:
            self._ramp_step = step
            self._step_began_at_age = snapshot.age_seconds
        if not self._has_exposure_left(
            snapshot, self._planned_share(snapshot), REACTION_SECONDS
        ):
            # The completion was not written in time: back to the canary share.
            self._ramp_step = -1
            self._step_began_at_age = snapshot.age_seconds
        share = self._planned_share(snapshot)
        has_exposure_left = self._has_exposure_left(snapshot, share, REACTION_SECONDS)
        self.share = share if has_exposure_left else 0.0
        return self.share

    def _planned_share(self, snapshot: RolloutSnapshot) -> float:
        """Return the share of the ramp's step, or the canary share before the ramp."""
        if self._ramp_step >= 0:
            return RAMP_SHARES[self._ramp_step]
        if snapshot.age_seconds < RATE_LEARNING_SECONDS or not snapshot.total_requests:
            return UNKNOWN_RATE_SHARE
        wanted = canary_requests(snapshot)
        seconds = max(RATE_LEARNING_SECONDS, _ramp_start_age_seconds(snapshot))
        left = max(MIN_CATCH_UP_SECONDS, seconds - snapshot.age_seconds)
        needed_rate = max(wanted / seconds, (wanted - snapshot.exposed_requests) / left)
        return min(MAX_CANARY_SHARE, needed_rate / snapshot.requests_per_second)

    def _next_ramp_step(self, snapshot: RolloutSnapshot) -> int | None:
        """Return the step of the ramp that begins now; None to stay.

        A step before the last is skipped where the exposure or the time would not
        suffice for the last one as well.
        """
        if snapshot.verdict is not CanaryVerdict.GOOD or not snapshot.can_complete:
            return None
        peer_step = self._peer_ramp_step(snapshot)
        if peer_step is not None:
            return peer_step
        if not snapshot.has_enough_results:
            return None
        seconds = _ramp_step_seconds(snapshot)
        if self._ramp_step < 0:
            if snapshot.age_seconds < _ramp_start_age_seconds(snapshot):
                return None
        elif snapshot.age_seconds < self._step_began_at_age + seconds:
            return None
        is_short_of_time = (
            snapshot.age_seconds + 2 * seconds + FULL_SHARE_SECONDS
            > _rollback_age_seconds(snapshot)
        )
        for step in range(self._ramp_step + 1, len(RAMP_SHARES)):
            if is_short_of_time and RAMP_SHARES[step] < 1.0:
                continue
            step_exposure_seconds = (
                RAMP_SHARES[step] * seconds if RAMP_SHARES[step] < 1.0 else 0.0
            )
            if self._has_exposure_left(
                snapshot, 1.0, step_exposure_seconds + FULL_SHARE_SECONDS
            ):
                return step
        return None

    def _peer_ramp_step(self, snapshot: RolloutSnapshot) -> int | None:
        """Return the ramp's step of a peer that is ahead; None without one.

        This router follows at once: the exposure that the step needs is needed once
        for the whole fleet, and the completion waits until all routers have followed.
        """
        for step in range(len(RAMP_SHARES) - 1, self._ramp_step, -1):
            share = RAMP_SHARES[step]
            if MAX_CANARY_SHARE < share <= snapshot.max_peer_share:
                has_exposure_left = self._has_exposure_left(
                    snapshot, share, REACTION_SECONDS
                )
                return step if has_exposure_left else None
        return None

    @staticmethod
    def _has_exposure_left(
        snapshot: RolloutSnapshot, share: float, seconds: float
    ) -> bool:
        """Return whether the usable exposure suffices for a share for some time."""
        more = share * snapshot.requests_per_second * seconds
        return snapshot.exposed_requests + more <= snapshot.usable_exposure


def _rollback_age_seconds(snapshot: RolloutSnapshot) -> float:
    """Return the age of the order at which a rollback is due."""
    reserve = max(
        MIN_ROLLBACK_RESERVE_SECONDS,
        ROLLBACK_RESERVE_FRACTION * snapshot.deadline_seconds,
    )
    return snapshot.deadline_seconds - reserve


def _ramp_step_seconds(snapshot: RolloutSnapshot) -> float:
    least, most = RAMP_STEP_SECONDS_RANGE
    if not snapshot.total_requests:
        return least
    return min(
        most,
        max(
            least,
            RAMP_STEP_FRACTION
            * snapshot.usable_exposure
            / snapshot.requests_per_second,
        ),
    )


def _ramp_start_age_seconds(snapshot: RolloutSnapshot) -> float:
    """Return the age of the order at which the ramp begins."""
    steps = (len(RAMP_SHARES) - 1) * _ramp_step_seconds(snapshot)
    return RAMP_END_FRACTION * snapshot.deadline_seconds - steps - FULL_SHARE_SECONDS


def _ramp_requests(snapshot: RolloutSnapshot) -> float:
    """Return the requests that the target version gets during the ramp."""
    seconds = _ramp_step_seconds(snapshot)
    steps = sum(share * seconds for share in RAMP_SHARES if share < 1.0)
    return snapshot.requests_per_second * (steps + FULL_SHARE_SECONDS)
