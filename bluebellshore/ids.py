"""Identifier types."""

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
    "ServiceName",
    "StreamId",
    "Tokens",
    "VersionName",
    "ZoneName",
]

CustomerId = NewType("CustomerId", str)
BudgetId = NewType("BudgetId", str)
RouteName = NewType("RouteName", str)
#: Name of a backend server version, unique within a bundle.
VersionName = NewType("VersionName", str)
BackendServerId = NewType("BackendServerId", str)
#: An instance of the platform that runs a router or a sidecar.
InstanceId = NewType("InstanceId", str)
#: One life of a router or sidecar process: ``<instance id>.<random>``.
IncarnationId = NewType("IncarnationId", str)
ZoneName = NewType("ZoneName", str)
MoveId = NewType("MoveId", str)
JobId = NewType("JobId", str)
#: ``<customer>/<idempotency key>``; identifies a caller's request in the fleet.
RequestKey = NewType("RequestKey", str)
#: Number of a stream on one link, chosen by the router.
StreamId = NewType("StreamId", int)
BundleNumber = NewType("BundleNumber", int)
#: Fencing number; grows with each new holder of a lease or order.
Epoch = NewType("Epoch", int)
#: Amount of prepaid tokens.
Tokens = NewType("Tokens", int)
#: Service of the platform's configuration: a set of equal backend servers.
ServiceName = NewType("ServiceName", str)
#: A part of a prompt.
PartId = NewType("PartId", str)
