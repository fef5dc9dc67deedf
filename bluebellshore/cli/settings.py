"""Commands on settings files."""

import dataclasses
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from bluebellshore import porcelain
from bluebellshore.cli.tables import print_json, print_table

__all__ = ["SettingsCommand"]


@cappa.command(name="check", help="Check a settings file of the users' platform.")
@dataclasses.dataclass
class SettingsCheckCommand:
    """Check a settings file of the users' platform; print its settings."""

    file: Annotated[Path, cappa.Arg(help="Settings file in JSON.")]
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def run(self) -> None:
        """Print the settings."""
        settings = porcelain.check_settings(self.file)
        if self.json:
            print_json(settings)
            return
        rows = [
            [name, ", ".join(value) if isinstance(value, tuple) else value]
            for name, value in msgspec.structs.asdict(settings).items()
        ]
        print_table(["setting", "value"], rows)


@cappa.command(name="settings", help="Settings files.")
@dataclasses.dataclass
class SettingsCommand:
    """Settings files."""

    subcommand: cappa.Subcommands[SettingsCheckCommand]
