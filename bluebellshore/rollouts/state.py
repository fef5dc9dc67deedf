"""How a rollout order stands."""

from enum import Enum

import msgspec

from bluebellshore.ids import VersionName

__all__ = ["RolloutRecord", "RolloutState"]


class RolloutState(Enum):
    """State of an order; completed and rolled back are final."""

    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def decided(self) -> bool:
        """Whether it can change no more."""
        return self is not RolloutState.IN_PROGRESS


class RolloutRecord(msgspec.Struct, frozen=True):
    """What routers agree on about the newest order of a service.

    :param order: row version of the order.
    :param target: version to which the traffic moves.
    :param began_at: seconds of the store's clock at which a router first saw it.
    :param replaced: versions that served when it began.
    """

    order: int
    target: VersionName
    state: RolloutState
    began_at: float = 0.0
    replaced: tuple[VersionName, ...] = ()
