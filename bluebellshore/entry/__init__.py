"""Router of an entry instance, which calls backend servers itself, without sidecars."""

from bluebellshore.entry.settings import EntrySettings

__all__ = ["EntrySettings"]
