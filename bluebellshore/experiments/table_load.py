"""Measures what budgets cost the table service, by rate, routers and budgets."""

import msgspec

from bluebellshore.experiments.allotment import Deployment, Fault, simulate

__all__ = ["BASE", "FACTORS", "main", "variants"]

BASE = Deployment("base", routers=4, sidecars=9, rate=10.0)
FACTORS = (1, 2, 4)
SEED = 1


def variants() -> dict[str, Deployment]:
    """Return the sizes that are measured, by name."""
    sizes = {}
    for factor in FACTORS:
        for name in ("rate", "routers", "customers"):
            value = getattr(BASE, name) * factor
            deployment = msgspec.structs.replace(BASE, **{name: value})
            sizes[f"{name} {value:g}"] = deployment
    sizes["caller-keyed"] = msgspec.structs.replace(BASE, caller_keyed=True)
    return sizes


def main() -> None:
    """Print a table in Markdown."""
    print(
        f"Base: {BASE.routers} routers, {BASE.customers} budgets, {BASE.rate:g} req/s"
    )
    print("| varied | transactions/s | rows written/s | reads/s | rows read/s |")
    print("| --- | --- | --- | --- | --- |")
    for name, deployment in variants().items():
        outcome = simulate(deployment, "horizon", Fault.NONE, False, SEED)
        figures = (
            outcome.transactions,
            outcome.rows_written,
            outcome.reads,
            outcome.rows_read,
        )
        cells = " | ".join(f"{figure / outcome.seconds:.1f}" for figure in figures)
        print(f"| {name} | {cells} |")


if __name__ == "__main__":
    main()
