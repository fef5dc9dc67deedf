"""Router of an entry instance that reaches backend servers directly."""

from bluebellshore.entry.settings import EntrySettings

__all__ = ["EntrySettings"]
