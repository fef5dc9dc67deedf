"""Rollouts that an operator orders: traffic share, evidence, verdict and record."""

from bluebellshore.rollouts.attempt import MeasuredAttempt
from bluebellshore.rollouts.evidence import AttemptCounts, CountsKey, RolloutEvidence
from bluebellshore.rollouts.state import RolloutRecord, RolloutState
from bluebellshore.rollouts.tracker import ExposureLimit, RolloutReport, RolloutTracker

__all__ = [
    "AttemptCounts",
    "CountsKey",
    "ExposureLimit",
    "MeasuredAttempt",
    "RolloutEvidence",
    "RolloutRecord",
    "RolloutReport",
    "RolloutState",
    "RolloutTracker",
]
