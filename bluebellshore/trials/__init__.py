"""What moves and rollouts share: the part of requests on trial, and opinions.

Without imports of either, as both packages load much that the other has no use for.
"""

from bluebellshore.trials.opinion import Assessment, Opinion, wilson_upper
from bluebellshore.trials.share import applied_share, takes_new_version

__all__ = [
    "Assessment",
    "Opinion",
    "applied_share",
    "takes_new_version",
    "wilson_upper",
]
