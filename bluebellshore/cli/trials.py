"""Commands that run a whole system at once: local, demo, load and experiment."""

import dataclasses
import importlib
from pathlib import Path
from typing import Annotated, Literal

import cappa

__all__ = ["DemoCommand", "ExperimentCommand", "LoadCommand", "LocalCommand"]

Listen = Annotated[str, cappa.Arg(long="--listen", help="Address for callers.")]
OperatorListen = Annotated[
    str, cappa.Arg(long="--operator-listen", help="Address of the operator port.")
]
Output = Annotated[
    Path | None, cappa.Arg(long="--output", help="Where results are written.")
]


def _call(name: str, command: object) -> None:
    """Call a function of the load tool, imported only when it is used."""
    commands = importlib.import_module("bluebellshore.load.commands")
    getattr(commands, name)(command)


@cappa.command(name="local", help="Run the whole system in one process.")
@dataclasses.dataclass
class LocalCommand:
    """Run the whole system in one process."""

    listen: Listen = "127.0.0.1:8080"
    operator_listen: OperatorListen = "127.0.0.1:8081"

    def run(self) -> None:
        """Serve until stopped."""
        _call("local", self)


@cappa.command(name="demo", help="Show the system at work, in one process.")
@dataclasses.dataclass
class DemoCommand:
    """Show the system at work, in one process."""

    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")] = False

    def run(self) -> None:
        """Run the demonstration."""
        _call("demo", self)


@cappa.command(name="load", help="Run a deployment under load and report.")
@dataclasses.dataclass
class LoadCommand:
    """Run a deployment under load and report."""

    deployment: Annotated[
        Literal["atlas-cadran", "stalpeni"],
        cappa.Arg(long="--deployment", help="Which workload."),
    ] = "atlas-cadran"
    seconds: Annotated[float, cappa.Arg(long="--seconds", help="Length, s.")] = 20.0
    rate: Annotated[float, cappa.Arg(long="--rate", help="Requests a second.")] = 20.0
    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed.")] = 1
    output: Output = None
    baseline: Annotated[
        bool, cappa.Arg(long="--baseline", help="Use the plain policies.")
    ] = False
    faults: Annotated[bool, cappa.Arg(long="--faults", help="Inject faults.")] = False

    def run(self) -> None:
        """Run the load."""
        _call("load", self)


@cappa.command(name="experiment", help="Run an experiment over several seeds.")
@dataclasses.dataclass
class ExperimentCommand:
    """Run an experiment over several seeds."""

    name: Annotated[str, cappa.Arg(help="Name of the experiment.")]
    seeds: Annotated[int, cappa.Arg(long="--seeds", help="Number of seeds.")] = 3
    output: Output = None

    def run(self) -> None:
        """Run the experiment."""
        _call("experiment", self)
