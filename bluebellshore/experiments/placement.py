"""Placing, waiting and refusing: ``python -m bluebellshore.experiments.placement``.

Plays loads at their worst against the decision code of four routers in simulated
time and prints a table for each load.
"""

import argparse
from collections.abc import Iterable, Iterator, Sequence

from bluebellshore.emulator.measures import Measures, Outcome
from bluebellshore.emulator.router import Policy
from bluebellshore.emulator.traces import KINDS, Pattern, make_trace
from bluebellshore.emulator.trial import play
from bluebellshore.experiments.placement_policies import POLICIES
from bluebellshore.experiments.report import Report

__all__ = ["run"]

COLUMNS = [
    "policy",
    "in time",
    "late",
    "refused",
    "failed",
    "credit",
    "held p95 s",
    "first event p95 s",
    "pause p99 s",
    "shared tokens read again, k",
    "worst customer",
    "in time by kind",
]


def _row(trials: Sequence[Measures]) -> list[str | int | float]:
    count = len(trials)

    def mean(values: Iterable[float]) -> float:
        return sum(values) / count

    kinds = [kind.route.name for kind in KINDS]
    shares = [mean(trial.kind_share(name) for trial in trials) for name in kinds]
    return [
        *(
            f"{mean(trial.share(outcome) for trial in trials):.1%}"
            for outcome in Outcome
        ),
        f"{mean(trial.credit for trial in trials):.1%}",
        mean(trial.held_p95 for trial in trials),
        mean(trial.first_event_p95 for trial in trials),
        mean(trial.pause_p99 for trial in trials),
        round(mean(trial.read_again for trial in trials) / 1000),
        f"{mean(trial.worst_customer_share for trial in trials):.0%}",
        ", ".join(f"{share:.0%}" for share in shares),
    ]


def run(
    seeds: Iterable[int],
    patterns: Sequence[Pattern] = tuple(Pattern),
    policies: Sequence[Policy] = POLICIES,
    load: float = 1.0,
) -> Iterator[Report]:
    """Compare policies under each load."""
    seeds = list(seeds)
    for pattern in patterns:
        report = Report(f"Load: {pattern.value}", COLUMNS)
        traces = [make_trace(pattern, seed, load) for seed in seeds]
        for policy in policies:
            trials = [play(trace, policy) for trace in traces]
            report.rows_by_name[policy.name] = _row(trials)
        yield report


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("seed", type=int, nargs="*", default=[1])
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--pattern", action="append", type=Pattern, default=[])
    parser.add_argument("--policy", action="append", default=[])
    arguments = parser.parse_args()
    chosen = [p for p in POLICIES if p.name in arguments.policy] or POLICIES
    patterns = arguments.pattern or tuple(Pattern)
    for table in run(arguments.seed, patterns, chosen, arguments.load):
        print(table, end="\n\n", flush=True)
