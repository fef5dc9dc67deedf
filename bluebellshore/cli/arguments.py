"""Command-line arguments for settings, each with its environment variable."""

import dataclasses
from typing import TypeVar

import cappa

from bluebellshore.options import flag_of, option_of, parse_settings, variable_of

__all__ = ["setting_argument", "settings_of"]

SettingsT = TypeVar("SettingsT")


def _keep(value: object) -> object:
    """Take texts as they are; the settings are checked as a whole later."""
    return value


def setting_argument(field_name: str, *, is_list: bool = False) -> cappa.Arg:
    """Return the argument of a settings field."""
    return cappa.Arg(
        long=flag_of(field_name),
        default=cappa.Default(cappa.Env(variable_of(field_name)), default=None),
        help=option_of(field_name).meaning,
        action=cappa.ArgAction.append if is_list else cappa.ArgAction.set,
        parse=_keep,
        parse_inference=False,
        required=False,
        show_default=False,
    )


def settings_of(command: object, settings_class: type[SettingsT]) -> SettingsT:
    """Return the settings that a parsed command holds as texts.

    :raises SettingsError: names every problem.
    """
    names = [item.name for item in dataclasses.fields(settings_class)]
    return parse_settings(
        settings_class, {name: getattr(command, name) for name in names}
    )
