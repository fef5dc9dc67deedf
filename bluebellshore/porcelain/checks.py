"""Checks of settings before a process is started with them."""

from pathlib import Path

from bluebellshore.entry.settings import EntrySettings
from bluebellshore.platform.settings import load_settings

__all__ = ["check_settings"]


def check_settings(path: Path) -> EntrySettings:
    """Return the settings that a file of the users' platform holds.

    :raises SettingsError: names every problem.
    """
    return load_settings(str(path))
