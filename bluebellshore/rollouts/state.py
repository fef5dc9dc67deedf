"""State and stored record of a rollout order."""

from enum import Enum

import msgspec

from bluebellshore.ids import VersionName

__all__ = ["RolloutRecord", "RolloutState"]


class RolloutState(Enum):
    """State of a rollout order; COMPLETED and ROLLED_BACK are final."""

    IN_PROGRESS = "in-progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"

    @property
    def is_final(self) -> bool:
        """Whether the order is decided: a final state never changes."""
        return self is not RolloutState.IN_PROGRESS


class RolloutRecord(msgspec.Struct, frozen=True):
    """Stored record of a service's newest order, on which all routers agree.

    :param order: row version of the order.
    :param target: version that is to get all traffic.
    :param began_at: time in seconds of the store's clock at which a router first saw
        the order.
    :param replaced: versions that served when the order began; they get no traffic once
        it is completed.
    """

    order: int
    target: VersionName
    state: RolloutState
    began_at: float = 0.0
    replaced: tuple[VersionName, ...] = ()
