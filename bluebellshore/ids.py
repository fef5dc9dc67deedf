"""Types of identifiers, numbers and amounts."""

from typing import NewType

__all__ = [
    "BackendServerId",
    "BudgetId",
    "BundleNumber",
    "CustomerId",
    "Epoch",
    "IncarnationId",
    "InstanceId",
    "JobId",
    "MoveId",
    "PartId",
    "RequestKey",
    "RouteName",
    "ScopedPart",
    "ServiceName",
    "StreamId",
    "Tokens",
    "VersionName",
    "ZoneName",
    "instance_of",
]

CustomerId = NewType("CustomerId", str)
BudgetId = NewType("BudgetId", str)
RouteName = NewType("RouteName", str)
#: Name of a backend server version, unique within a bundle.
VersionName = NewType("VersionName", str)
BackendServerId = NewType("BackendServerId", str)
#: Id of the platform's instance on which a router or a sidecar runs.
InstanceId = NewType("InstanceId", str)
#: Id of one run of a router or sidecar process, ``<instance id>.<random>``; a
#: restarted process gets a new one.
IncarnationId = NewType("IncarnationId", str)
ZoneName = NewType("ZoneName", str)
MoveId = NewType("MoveId", str)
JobId = NewType("JobId", str)
#: Key of a caller's request in the whole fleet: ``<customer>/<idempotency key>``.
RequestKey = NewType("RequestKey", str)
#: Number of a stream within one link; the router assigns it.
StreamId = NewType("StreamId", int)
BundleNumber = NewType("BundleNumber", int)
#: Fencing token; increases with each new holder of a lease or an order.
Epoch = NewType("Epoch", int)
#: Number of prepaid tokens.
Tokens = NewType("Tokens", int)
#: Name of a service in the platform's configuration, a set of equivalent backend
#: servers.
ServiceName = NewType("ServiceName", str)
#: Id of a part of a prompt; requests that share the part carry the same id.
PartId = NewType("PartId", str)
#: A prompt part as read by the backend servers of one service: ``<service>/<part id>``.
ScopedPart = NewType("ScopedPart", str)


def instance_of(incarnation: IncarnationId) -> InstanceId:
    """Return the instance on which an incarnation runs."""
    return InstanceId(incarnation.rpartition(".")[0])
