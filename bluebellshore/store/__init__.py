"""Interfaces of the platform's table, object and instance services, and fakes."""

from bluebellshore.store.instances import TableInstances
from bluebellshore.store.interface import (
    ABSENT,
    VERSIONS_PER_ERA,
    ChangeFeedTable,
    Instance,
    InstanceList,
    InstanceRole,
    InstanceState,
    ObjectStore,
    Row,
    StoreTime,
    TableChange,
    TableService,
    TableSnapshot,
    Write,
    era_of,
    version_in_era,
)
from bluebellshore.store.memory import (
    MemoryFaults,
    MemoryInstances,
    MemoryObjects,
    MemoryTable,
    OperationCounts,
)

__all__ = [
    "ABSENT",
    "ChangeFeedTable",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "InstanceState",
    "MemoryFaults",
    "MemoryInstances",
    "MemoryObjects",
    "MemoryTable",
    "ObjectStore",
    "OperationCounts",
    "Row",
    "StoreTime",
    "TableChange",
    "TableInstances",
    "TableService",
    "TableSnapshot",
    "VERSIONS_PER_ERA",
    "Write",
    "era_of",
    "version_in_era",
]
