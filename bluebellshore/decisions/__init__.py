"""Structured log with a line for each decision and each observed state change."""

from bluebellshore.decisions.kinds import (
    AllotmentOutcome,
    Belief,
    BudgetOutcome,
    Contact,
    EvacuationStep,
    Kind,
    LogLevel,
    Outcome,
    Verdict,
)
from bluebellshore.decisions.log import DecisionLog, open_decision_log, silent_log
from bluebellshore.decisions.volume import VolumeLimits
from bluebellshore.decisions.writer import LineWriter

__all__ = [
    "AllotmentOutcome",
    "Belief",
    "BudgetOutcome",
    "Contact",
    "DecisionLog",
    "EvacuationStep",
    "Kind",
    "LineWriter",
    "LogLevel",
    "Outcome",
    "Verdict",
    "VolumeLimits",
    "open_decision_log",
    "silent_log",
]
