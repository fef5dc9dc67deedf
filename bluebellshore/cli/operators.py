"""Commands for operators: bundles, moves, budgets and state."""

import asyncio
import dataclasses
import sys
from datetime import UTC, datetime
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from bluebellshore import porcelain
from bluebellshore.cli.arguments import setting_argument, settings_of
from bluebellshore.cli.tables import print_json, print_table
from bluebellshore.settings import OperatorSettings, SubmitSettings

__all__ = ["BudgetCommand", "BundleCommand", "MoveCommand", "StateCommand"]

JsonFlag = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]


PlatformUrl = Annotated[str | None, setting_argument("platform_url")]
OperatorToken = Annotated[str | None, setting_argument("operator_token")]
TrustKeys = Annotated[list[str] | None, setting_argument("trust_keys", is_list=True)]


def _time_text(unix_seconds: float) -> str:
    """Return a time as UTC text; '' for none."""
    if not 0 < unix_seconds < 2**37:
        return ""
    return datetime.fromtimestamp(unix_seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")


@cappa.command(name="keygen", help="Write a new private key; print its public key.")
@dataclasses.dataclass
class KeygenCommand:
    """Write a new private key; print its public key."""

    file: Annotated[Path, cappa.Arg(help="File to write, which must not exist.")]
    json: JsonFlag = False

    def run(self) -> None:
        """Write the key."""
        view = porcelain.generate_key(self.file)
        if self.json:
            print_json(view)
        else:
            print_table(["public key", "key id"], [[view.public_key, view.key_id]])


@cappa.command(name="check", help="Check a bundle file.")
@dataclasses.dataclass
class CheckCommand:
    """Check a bundle file."""

    file: Annotated[Path, cappa.Arg(help="Bundle in YAML.")]

    def run(self) -> None:
        """Check the file."""
        bundle = porcelain.check_file(self.file)
        counts = ", ".join(
            f"{len(getattr(bundle, section))} {section}"
            for section in ("customers", "budgets", "versions", "routes", "moves")
        )
        print(f"bundle {bundle.number} is valid: {counts}")


@cappa.command(name="sign", help="Sign a bundle file.")
@dataclasses.dataclass
class SignCommand:
    """Sign a bundle file."""

    file: Annotated[Path, cappa.Arg(help="Bundle in YAML.")]
    key: Annotated[Path, cappa.Arg(long="--key", help="Private key file.")]
    output: Annotated[Path, cappa.Arg(long="--output", help="Signed bundle to write.")]

    def run(self) -> None:
        """Check and sign the file."""
        number = porcelain.sign_file(self.file, self.key, self.output)
        print(f"bundle {number} signed: {self.output}")


@cappa.command(name="submit", help="Have a signed bundle accepted.")
@dataclasses.dataclass
class SubmitCommand:
    """Have a signed bundle accepted."""

    file: Annotated[Path, cappa.Arg(help="Signed bundle.")]
    platform_url: PlatformUrl = None
    operator_token: OperatorToken = None
    trust_keys: TrustKeys = None
    json: JsonFlag = False

    def run(self) -> None:
        """Submit the bundle and tell the routers."""
        settings = settings_of(self, SubmitSettings)
        submitted = asyncio.run(porcelain.submit_file(self.file, settings))
        if self.json:
            print_json(submitted)
            return
        print(f"bundle {submitted.number} accepted", end="")
        print(f"; offered to {len(submitted.offered_to)} routers")
        for warning in submitted.warnings:
            print(f"warning: {warning}", file=sys.stderr)


@cappa.command(name="show", help="Show which bundle is in force where.")
@dataclasses.dataclass
class ShowCommand:
    """Show which bundle is in force where."""

    platform_url: PlatformUrl = None
    operator_token: OperatorToken = None
    json: JsonFlag = False

    def run(self) -> None:
        """Print the roll-out."""
        settings = settings_of(self, OperatorSettings)
        rollout = asyncio.run(porcelain.show_rollout(settings))
        if self.json:
            print_json(rollout)
            return
        print(f"accepted: bundle {rollout.accepted} {rollout.comment}".rstrip())
        rows = [
            [
                view.instance_id,
                view.role,
                "?" if view.number is None else view.number,
                view.problem,
            ]
            for view in rollout.instances
        ]
        print_table(["instance", "role", "in force", "problem"], rows)


@cappa.command(name="bundle", help="Keys and bundles.")
@dataclasses.dataclass
class BundleCommand:
    """Keys and bundles."""

    subcommand: cappa.Subcommands[
        KeygenCommand | CheckCommand | SignCommand | SubmitCommand | ShowCommand
    ]


@cappa.command(name="status", help="Show whether each move is done or taken back.")
@dataclasses.dataclass
class MoveStatusCommand:
    """Show whether each move is done or taken back."""

    platform_url: PlatformUrl = None
    operator_token: OperatorToken = None
    json: JsonFlag = False

    def run(self) -> None:
        """Print the moves."""
        settings = settings_of(self, OperatorSettings)
        views = asyncio.run(porcelain.show_moves(settings))
        if self.json:
            print_json(views)
            return
        rows = [
            [
                view.move,
                view.route,
                f"{view.old} -> {view.new}",
                view.state.value.replace("_", " "),
                "" if view.step is None else f"{view.step:.0%}",
                _time_text(view.deadline),
                _time_text(view.decided_at),
                view.reason,
            ]
            for view in views
        ]
        header = ["move", "route", "versions", "state", "share"]
        print_table([*header, "deadline", "decided", "reason"], rows)


@cappa.command(name="move", help="Traffic moves.")
@dataclasses.dataclass
class MoveCommand:
    """Traffic moves."""

    subcommand: cappa.Subcommands[MoveStatusCommand]


@cappa.command(name="show", help="Show where the tokens of budgets are.")
@dataclasses.dataclass
class BudgetShowCommand:
    """Show where the tokens of budgets are."""

    budgets: Annotated[
        list[str], cappa.Arg(help="Budgets to show; all when none is named.")
    ] = dataclasses.field(default_factory=list)
    platform_url: PlatformUrl = None
    operator_token: OperatorToken = None
    json: JsonFlag = False

    def run(self) -> None:
        """Print the budgets."""
        settings = settings_of(self, OperatorSettings)
        views = asyncio.run(porcelain.show_budgets(settings, self.budgets))
        if self.json:
            print_json(views)
            return
        header = ["budget", "prepaid", "settled", "allotted", "held", "left"]
        print_table(header, [list(msgspec.structs.astuple(view)) for view in views])


@cappa.command(name="budget", help="Prepaid budgets.")
@dataclasses.dataclass
class BudgetCommand:
    """Prepaid budgets."""

    subcommand: cappa.Subcommands[BudgetShowCommand]


@cappa.command(name="dump", help="Print the state of a process as JSON.")
@dataclasses.dataclass
class StateDumpCommand:
    """Print the state of a process as JSON."""

    url: Annotated[str, cappa.Arg(help="Address or URL of its operator port.")]
    operator_token: OperatorToken = None

    def run(self) -> None:
        """Print the state."""
        state = asyncio.run(porcelain.dump_state(self.url, self.operator_token or ""))
        print(state.decode(errors="replace"))


@cappa.command(name="state", help="State of processes.")
@dataclasses.dataclass
class StateCommand:
    """State of processes."""

    subcommand: cappa.Subcommands[StateDumpCommand]
