"""Checks of values in messages of peers, which a build with a fault may have sent."""

import math

__all__ = ["is_count", "is_duration", "is_version"]

#: Longest time since an event that routers tell each other of.
MAX_DURATION_SECONDS = 86_400.0
#: Highest count of events since the last exchange, or since the begin of a rollout.
MAX_COUNT = 1e12
#: Highest version of a row, eras included.
MAX_VERSION = 2**62


def is_duration(seconds: float) -> bool:
    """Return whether a value is a time that may have passed."""
    return math.isfinite(seconds) and 0.0 <= seconds <= MAX_DURATION_SECONDS


def is_count(number: float) -> bool:
    """Return whether a value may be a number of events, which may be weighted."""
    return math.isfinite(number) and 0.0 <= number <= MAX_COUNT


def is_version(number: int) -> bool:
    """Return whether a value may be the version of a row."""
    return 0 <= number <= MAX_VERSION
