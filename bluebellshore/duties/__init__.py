"""Work that routers share through the platform: leases, claims and stored jobs."""

from bluebellshore.duties.answers import BodyStore, Header, StoredAnswer, StoredBody
from bluebellshore.duties.claims import ClaimResult, Claims, ClaimState
from bluebellshore.duties.dispatch import JobDispatcher
from bluebellshore.duties.jobs import Job, Jobs, JobState, JobView
from bluebellshore.duties.lease import LeaseManager

__all__ = [
    "BodyStore",
    "ClaimResult",
    "ClaimState",
    "Claims",
    "Header",
    "Job",
    "JobDispatcher",
    "JobState",
    "JobView",
    "Jobs",
    "LeaseManager",
    "StoredAnswer",
    "StoredBody",
]
