"""Opinions on a version that is tried, and the bound on a rate they rest on."""

import math
from enum import Enum

import msgspec

__all__ = ["Assessment", "Opinion", "wilson_upper"]

#: Width of the bound on the old version's rate, in standard errors.
WILSON_Z = 2.0


class Opinion(Enum):
    """What the evidence says about a new version."""

    GOOD = "good"
    DOUBTFUL = "doubtful"
    BAD = "bad"


class Assessment(msgspec.Struct, frozen=True):
    """An opinion with its reason."""

    opinion: Opinion
    reason: str = ""


def wilson_upper(bad: float, total: float) -> float:
    """Return the upper Wilson bound of a rate; 1 without evidence."""
    if not total:
        return 1.0
    z2 = WILSON_Z * WILSON_Z
    share = bad / total
    centre = share + z2 / (2 * total)
    spread = math.sqrt(share * (1 - share) / total + z2 / (4 * total * total))
    return min((centre + WILSON_Z * spread) / (1 + z2 / total), 1.0)
