"""Commands that serve: routers, sidecars and stand-ins."""

import dataclasses
import importlib
from typing import Annotated

import cappa

from bluebellshore.cli.arguments import setting_argument, settings_of
from bluebellshore.options import is_list_field
from bluebellshore.runtime import Role, run_role
from bluebellshore.settings import (
    EngineSettings,
    PlatformSettings,
    ProxySettings,
    RouterSettings,
    ServiceSettings,
    SidecarSettings,
)

__all__ = ["EntryCommand", "RouterCommand", "SidecarCommand", "StandinCommand"]


def _argument(item: dataclasses.Field) -> tuple[str, object, dataclasses.Field]:
    is_list = is_list_field(item)
    argument = setting_argument(item.name, is_list=is_list)
    text_type = list[str] | None if is_list else str | None
    return item.name, Annotated[text_type, argument], dataclasses.field(default=None)


def _serving_command(
    name: str, settings_class: type, role_path: str, summary: str
) -> type:
    """Return a command that runs a role with settings from flags and variables.

    :param role_path: ``module:class``, imported only when the command runs.
    """

    def run(command: object) -> None:
        settings = settings_of(command, settings_class)
        run_role(_load_role(role_path)(settings))

    fields = [_argument(item) for item in dataclasses.fields(settings_class)]
    command_class = dataclasses.make_dataclass(
        f"{name.title()}Command", fields, namespace={"__doc__": summary, "run": run}
    )
    return cappa.command(command_class, name=name, help=summary)


def _load_role(role_path: str) -> type[Role]:
    module, _, name = role_path.partition(":")
    return getattr(importlib.import_module(module), name)


RouterCommand = _serving_command(
    "router",
    RouterSettings,
    "bluebellshore.router:Router",
    "Serve callers on an entry instance.",
)
SidecarCommand = _serving_command(
    "sidecar",
    SidecarSettings,
    "bluebellshore.sidecar:Sidecar",
    "Guard the backend server beside this process.",
)
PlatformCommand = _serving_command(
    "platform",
    PlatformSettings,
    "bluebellshore.standin.platform:PlatformStandin",
    "Stand in for the platform's service.",
)
EngineCommand = _serving_command(
    "engine",
    EngineSettings,
    "bluebellshore.standin.engine:EngineStandin",
    "Stand in for a model engine.",
)
ServiceCommand = _serving_command(
    "service",
    ServiceSettings,
    "bluebellshore.standin.service:ServiceStandin",
    "Stand in for a plain service.",
)
ProxyCommand = _serving_command(
    "proxy",
    ProxySettings,
    "bluebellshore.standin.proxy:FaultProxy",
    "Pass connections on, with faults.",
)


@cappa.command(
    name="entry", help="Serve callers of the users' platform on an entry instance."
)
@dataclasses.dataclass
class EntryCommand:
    """Serve callers of the users' platform on an entry instance.

    The settings file is named by ``BLUEBELLSHORE_SETTINGS``.
    """

    def run(self) -> None:
        """Serve until SIGTERM."""
        importlib.import_module("bluebellshore.entry.router").serve()


@cappa.command(name="standin", help="Run a stand-in for tests.")
@dataclasses.dataclass
class StandinCommand:
    """Run a stand-in for tests."""

    subcommand: cappa.Subcommands[
        PlatformCommand | EngineCommand | ServiceCommand | ProxyCommand
    ]
