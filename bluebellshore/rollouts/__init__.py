"""Rollouts that the operator orders: share, evidence, verdict and record."""

from bluebellshore.rollouts.attempt import Attempt
from bluebellshore.rollouts.evidence import Counts, Evidence, Key
from bluebellshore.rollouts.state import RolloutRecord, RolloutState
from bluebellshore.rollouts.track import Exposure, RolloutReport, Track

__all__ = [
    "Attempt",
    "Counts",
    "Evidence",
    "Exposure",
    "Key",
    "RolloutRecord",
    "RolloutReport",
    "RolloutState",
    "Track",
]
