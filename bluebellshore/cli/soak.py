"""Command that soaks entry processes in random faults."""

import dataclasses
import importlib
import sys
from typing import Annotated

import cappa

__all__ = ["SoakCommand"]


@cappa.command(name="soak", help="Run entry processes under random faults and check.")
@dataclasses.dataclass
class SoakCommand:
    """Run entry processes under random faults and check."""

    seed: Annotated[int, cappa.Arg(long="--seed", help="Seed.")] = 1
    minutes: Annotated[
        float, cappa.Arg(long="--minutes", help="Time in which faults begin, min.")
    ] = 1.0
    processes: Annotated[
        int, cappa.Arg(long="--processes", help="Entry processes.")
    ] = 3
    smaller: Annotated[
        int, cappa.Arg(long="--smaller", help="Runs that seek a smaller schedule.")
    ] = 0

    def run(self) -> None:
        """Run, print the report and exit with 1 when a promise was broken."""
        soaking = importlib.import_module("bluebellshore.porcelain.soaking")
        outcome = soaking.soak(
            self.seed,
            self.minutes,
            self.processes,
            smaller_runs=self.smaller,
            note=print,
        )
        print(outcome.report())
        if outcome.broken:
            sys.exit(1)
