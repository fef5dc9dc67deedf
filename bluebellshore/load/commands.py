"""Functions that the commands local, demo, load and experiment call."""

import asyncio
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import eliot
import msgspec
import uvloop

from bluebellshore.errors import BluebellshoreError
from bluebellshore.experiments import placement
from bluebellshore.experiments.report import Report
from bluebellshore.load.demo import run_demo
from bluebellshore.load.deployments import DEPLOYMENTS_BY_NAME
from bluebellshore.load.experiments import EXPERIMENTS_BY_NAME, standard_faults
from bluebellshore.load.local import (
    CHAT,
    DEMO_KEY,
    ORDERS,
    SMALL_KEY,
    LocalSystem,
    open_local,
)
from bluebellshore.load.process import FleetError
from bluebellshore.load.report import LISTED_FINDINGS, table_of, write_report
from bluebellshore.load.runs import BASELINE_ROUTER, RunPlan, RunReport, execute
from bluebellshore.runtime import wait_for_signal

__all__ = ["demo", "experiment", "load", "local"]

#: Experiments in simulated time, by the name that the command takes.
SIMULATIONS_BY_NAME = {"placement": placement.run}


class LocalArguments(Protocol):
    """Arguments of ``local``."""

    listen: str
    operator_listen: str


class LoadArguments(Protocol):
    """Arguments of ``load``."""

    deployment: str
    seconds: float
    rate: float
    seed: int
    output: Path | None
    baseline: bool
    faults: bool


class ExperimentArguments(Protocol):
    """Arguments of ``experiment``."""

    name: str
    seeds: int
    output: Path | None


class DemoArguments(Protocol):
    """Arguments of ``demo``."""

    json: bool


def local(args: LocalArguments) -> None:
    """Run the whole system in this process until a signal stops it."""
    eliot.to_file(sys.stderr)
    _run(_serve_local(args))


def demo(args: DemoArguments) -> None:
    """Show the system at work.

    :raises BluebellshoreError: something did not go as it must.
    """
    eliot.add_destinations(_discard)
    report = _run(run_demo(_discard if args.json else print))
    if args.json:
        print(msgspec.json.encode(report).decode())
    if not report.passed:
        raise BluebellshoreError("the demonstration failed", step="demo")


def load(args: LoadArguments) -> None:
    """Run a deployment under load and report.

    :raises FleetError: the audit found something wrong.
    """
    plan = RunPlan(
        name="baseline" if args.baseline else "default",
        deployment=DEPLOYMENTS_BY_NAME[args.deployment],
        seconds=args.seconds,
        per_second=args.rate,
        seed=args.seed,
        router_settings=BASELINE_ROUTER if args.baseline else {},
        faults=standard_faults(args.seconds) if args.faults else [],
    )
    _report(f"Load on {args.deployment}", [_run(execute(plan))], args.output)


def experiment(args: ExperimentArguments) -> None:
    """Run an experiment over several seeds and report.

    :raises FleetError: no such experiment, or the audit found something wrong.
    """
    if args.name in SIMULATIONS_BY_NAME:
        _simulate(SIMULATIONS_BY_NAME[args.name](range(1, args.seeds + 1)), args.output)
        return
    make_plans = EXPERIMENTS_BY_NAME.get(args.name)
    if make_plans is None:
        names = ", ".join(sorted([*EXPERIMENTS_BY_NAME, *SIMULATIONS_BY_NAME]))
        raise FleetError(f"no such experiment; there are {names}", step="experiment")
    reports = []
    for seed in range(1, args.seeds + 1):
        for plan in make_plans(seed):
            reports.append(_run(execute(plan)))
            print(f"{plan.name}, seed {seed}: done", file=sys.stderr)
    _report(f"Experiment {args.name}", reports, args.output)


def _simulate(tables: Iterable[Report], output: Path | None) -> None:
    """Print tables as they come, and write them all at the end."""
    shown = []
    for table in tables:
        shown.append(f"{table}\n")
        print(shown[-1], flush=True)
    if output is not None:
        output.write_text("\n".join(shown))


def _report(title: str, reports: list[RunReport], output: Path | None) -> None:
    print(table_of(reports))
    if output is not None:
        write_report(title, reports, output)
    count = sum(len(report.measures.findings) for report in reports)
    for report in reports:
        for finding in report.measures.findings[:LISTED_FINDINGS]:
            kind = finding.kind.value
            print(f"{report.name}: {kind} {finding.subject}: {finding.detail}")
    if count:
        raise FleetError(f"the audit found {count} faults", step="load.audit")


def _run(work):
    return asyncio.Runner(loop_factory=uvloop.new_event_loop).run(work)


def _discard(_: object) -> None:
    """Take a log message or line and do nothing with it."""


async def _serve_local(args: LocalArguments) -> None:
    async with open_local(
        listen=args.listen, operator_listen=args.operator_listen
    ) as system:
        for line in _guide(system):
            print(line)
        sys.stdout.flush()
        await wait_for_signal()


def _guide(system: LocalSystem) -> list[str]:
    url = system.urls[0]
    operator_url = f"http://{system.routers[0].operator_address}"
    body = f'{{"model": "{CHAT}", "stream": true, "messages": [...]}}'
    body = body.replace("[...]", '[{"role": "user", "content": "hello"}]')
    return [
        f"callers: {' '.join(system.urls)}",
        f"platform: {system.platform_url}",
        f"operator token: {system.operator_token}",
        f"private key for bundles of this run: {system.private_key.hex()}",
        "",
        f"curl -N {url}/v1/chat/completions -H 'Authorization: Bearer {DEMO_KEY}' "
        f"-d '{body}'",
        f"curl {url}/v1/services/{ORDERS}/orders -H 'Authorization: Bearer {DEMO_KEY}' "
        "-H 'Idempotency-Key: order-1' -d '{\"order_id\": \"1\"}'",
        f"curl {url}/v1/budget -H 'Authorization: Bearer {SMALL_KEY}'",
        f"curl {operator_url}/state -H 'Authorization: Bearer {system.operator_token}'",
    ]
