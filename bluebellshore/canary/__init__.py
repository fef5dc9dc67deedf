"""Canary analysis helpers shared by ``moves`` and ``rollouts``.

This package imports neither of them: each loads modules that the other does not need.
"""

from bluebellshore.canary.traffic_split import routes_to_new_version, share_of_step
from bluebellshore.canary.verdict import Assessment, CanaryVerdict, wilson_upper_bound

__all__ = [
    "Assessment",
    "CanaryVerdict",
    "routes_to_new_version",
    "share_of_step",
    "wilson_upper_bound",
]
