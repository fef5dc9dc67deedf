"""Verdicts on a new backend server version, and the confidence bound behind them."""

import math
from enum import Enum

import msgspec

__all__ = ["Assessment", "CanaryVerdict", "wilson_upper_bound"]

#: Confidence level of the bound, in standard errors of the normal distribution.
WILSON_Z = 2.0


class CanaryVerdict(Enum):
    """Result of a canary analysis of a new version.

    A traffic shift continues at GOOD, pauses at DOUBTFUL and is rolled back at BAD. Too
    little evidence for a comparison counts as GOOD.
    """

    GOOD = "good"
    DOUBTFUL = "doubtful"
    BAD = "bad"


class Assessment(msgspec.Struct, frozen=True):
    """A verdict, with the comparison that it rests on in words.

    :param reason: empty for a verdict that needs no explanation.
    """

    verdict: CanaryVerdict
    reason: str = ""


def wilson_upper_bound(bad: float, total: float) -> float:
    """Return the upper bound of the Wilson score interval of a rate.

    :param bad: bad outcomes; a fraction when outcomes are weighted.
    :param total: all outcomes; the bound is 1 when there are none.
    """
    if not total:
        return 1.0
    z_squared = WILSON_Z * WILSON_Z
    rate = bad / total
    centre = rate + z_squared / (2 * total)
    spread = math.sqrt(rate * (1 - rate) / total + z_squared / (4 * total * total))
    return min((centre + WILSON_Z * spread) / (1 + z_squared / total), 1.0)
