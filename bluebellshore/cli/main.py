"""Entry point: parses the command line and maps errors to exit codes."""

import dataclasses
import os
import sys
from enum import IntEnum
from typing import Protocol

import cappa
import eliot

from bluebellshore import __version__
from bluebellshore.cli.explain import ExplainCommand
from bluebellshore.cli.operators import (
    BudgetCommand,
    BundleCommand,
    MoveCommand,
    StateCommand,
)
from bluebellshore.cli.serving import (
    EntryCommand,
    RouterCommand,
    SidecarCommand,
    StandinCommand,
)
from bluebellshore.cli.settings import SettingsCommand
from bluebellshore.cli.soak import SoakCommand
from bluebellshore.cli.trials import (
    DemoCommand,
    ExperimentCommand,
    LoadCommand,
    LocalCommand,
)
from bluebellshore.errors import (
    BluebellshoreError,
    BundleError,
    PlatformUnavailableError,
    RefusedError,
    SettingsError,
    TransactionConflictError,
)

__all__ = ["Bluebellshore", "ExitCode", "main"]


class ExitCode(IntEnum):
    """Exit codes of all commands."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNAVAILABLE = 4


class Command(Protocol):
    """A parsed command."""

    def run(self) -> None:
        """Do what the command says."""


@cappa.command(name="bluebellshore", help="Router fleet for prepaid token budgets.")
@dataclasses.dataclass
class Bluebellshore:
    """Router fleet for prepaid token budgets."""

    subcommand: cappa.Subcommands[
        EntryCommand
        | RouterCommand
        | SidecarCommand
        | StandinCommand
        | BundleCommand
        | MoveCommand
        | BudgetCommand
        | StateCommand
        | ExplainCommand
        | SettingsCommand
        | LocalCommand
        | DemoCommand
        | LoadCommand
        | ExperimentCommand
        | SoakCommand
    ]


def exit_code_of(error: BluebellshoreError) -> ExitCode:
    """Return the exit code that tells of `error`."""
    if isinstance(error, SettingsError):
        return ExitCode.USAGE
    if isinstance(error, BundleError | RefusedError | TransactionConflictError):
        return ExitCode.REFUSED
    if isinstance(error, PlatformUnavailableError):
        return ExitCode.UNAVAILABLE
    return ExitCode.FAILED


def _print_error(error: BluebellshoreError) -> None:
    where = f"{error.step} ({error.peer})" if error.peer else error.step
    for problem in getattr(error, "problems", None) or (error.message,):
        print(f"{where}: {problem}", file=sys.stderr)


def _selected_command(argv: list[str] | None) -> Command:
    command = cappa.parse(
        Bluebellshore,
        argv=argv,
        version=__version__,
        color=sys.stdout.isatty(),
        completion=False,
    )
    while hasattr(command, "subcommand"):
        command = command.subcommand
    return command


def run(argv: list[str] | None = None) -> int:
    """Run one command. :return: its exit code."""
    try:
        _selected_command(argv).run()
    except BluebellshoreError as error:
        _print_error(error)
        return exit_code_of(error)
    except KeyboardInterrupt:
        return ExitCode.FAILED
    except BrokenPipeError:
        # The reader of standard output has left, as `head` does.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.FAILED
    except OSError as error:
        print(f"{error.filename or 'system'}: {error.strerror}", file=sys.stderr)
        return ExitCode.FAILED
    except Exception as error:
        eliot.write_traceback()
        print(f"internal: {type(error).__name__}: {error}", file=sys.stderr)
        return ExitCode.FAILED
    return ExitCode.OK


def main() -> None:
    """Run the command line and exit."""
    sys.exit(run())
