"""Checks all models and prints what was found."""

import sys
import time
from collections.abc import Callable

from spec import allotment, caps, claims, moves
from spec.model import Model, check_inductive, find_trace

__all__ = ["MODELS", "check_model", "main"]

MODELS = [allotment.MODEL, caps.MODEL, claims.MODEL, moves.MODEL]


def check_model(model: Model, report: Callable[[str], None]) -> bool:
    """Check one model and each guard. :return: whether all is as it must be."""
    started = time.perf_counter()
    problems = list(check_inductive(model))
    for problem in problems:
        report(f"  PROBLEM {problem}")
    if not problems:
        seconds = time.perf_counter() - started
        report(f"{model.name}: invariant is inductive ({seconds:.2f} s)")
    for guard in model.guards:
        started = time.perf_counter()
        trace = find_trace(model, guard)
        seconds = time.perf_counter() - started
        if trace is None:
            problems.append(guard)
            report(f"  PROBLEM no counterexample without {guard} ({seconds:.2f} s)")
            continue
        report(f"  without {guard}: counterexample ({seconds:.2f} s)")
        for step in trace:
            report(f"    {step}")
    return not problems


def main() -> int:
    """Check all models. :return: exit code."""
    return 0 if all([check_model(model, print) for model in MODELS]) else 1


if __name__ == "__main__":
    sys.exit(main())
