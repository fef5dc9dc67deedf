"""Reports of runs: JSON, a page and plots."""

from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from bluebellshore.load.measures import Latency
from bluebellshore.load.runs import RunReport

__all__ = ["table_of", "write_report"]

MILLISECONDS = 1000
KIB = 1024
PLOT_INCHES = (7, 3.5)
LISTED_FINDINGS = 20


def _milliseconds(latency: Latency | None) -> str:
    if latency is None:
        return "-"
    return f"{latency.median * MILLISECONDS:.0f} / {latency.p95 * MILLISECONDS:.0f}"


def _counts(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {count}" for name, count in counts.items()) or "-"


def _moves(report: RunReport) -> str:
    ends = (
        f"{row.state.value} at share {row.step} {row.reason}".strip()
        for row in report.moves.values()
    )
    return "; ".join(ends) or "-"


COLUMNS: dict[str, Callable[[RunReport], str]] = {
    "run": lambda r: f"{r.name}, seed {r.seed}",
    "calls": lambda r: str(r.measures.calls),
    "outcomes": lambda r: _counts(r.measures.outcomes),
    "refusals by status": lambda r: _counts(r.measures.refusals),
    "overspent tokens": lambda r: str(r.measures.overspent_tokens),
    "false refusals": lambda r: str(r.measures.false_refusals),
    "lost plans": lambda r: str(r.measures.lost_plans),
    "most executions of an order": lambda r: str(r.measures.executions),
    "bills": lambda r: str(r.measures.bills),
    "first token, ms (median / p95)": lambda r: _milliseconds(r.measures.first_token),
    "between tokens, ms": lambda r: _milliseconds(r.measures.between_tokens),
    "held by a sidecar, KiB": lambda r: str(r.memory.held // KIB),
    "router growth, KiB": lambda r: str(r.memory.router_growth // KIB),
    "moves": _moves,
    "requests by version": lambda r: _counts(r.requests_by_version),
    "findings": lambda r: _counts(r.measures.findings_by_kind),
    "all settled": lambda r: "yes" if r.settled else "NO",
}


def table_of(reports: Sequence[RunReport]) -> str:
    """Return a Markdown table, one row for each measure."""
    header = ["measure", *(COLUMNS["run"](report) for report in reports)]
    lines = [_row(header), _row(["---"] * len(header))]
    for name, cell in COLUMNS.items():
        if name != "run":
            lines.append(_row([name, *(cell(report) for report in reports)]))
    return "\n".join(lines)


def _row(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cell.replace("|", "/") for cell in cells) + " |"


def write_report(title: str, reports: Sequence[RunReport], directory: Path) -> None:
    """Write ``report.json``, ``report.md`` and plots into a directory."""
    directory.mkdir(parents=True, exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(list(reports)))
    (directory / "report.json").write_bytes(data)
    names = _write_plots(reports, directory)
    parts = [f"# {title}", table_of(reports), *_finding_lines(reports)]
    parts += [f"![{name}]({name})" for name in names]
    (directory / "report.md").write_text("\n\n".join(parts) + "\n")


def _finding_lines(reports: Sequence[RunReport]) -> list[str]:
    return [
        f"- {report.name}: {finding.kind.value} {finding.subject}: {finding.detail}"
        for report in reports
        for finding in report.measures.findings[:LISTED_FINDINGS]
    ]


def _write_plots(reports: Sequence[RunReport], directory: Path) -> list[str]:
    """Write the plots. :return: file names; none where matplotlib is not installed."""
    try:
        import matplotlib
    except ImportError:
        return []
    matplotlib.use("Agg")
    latency = {
        f"first token {share}": [
            _latency_value(report.measures.first_token, share) for report in reports
        ]
        for share in ("median", "p95", "p99")
    }
    memory = {
        "held by a sidecar": [report.memory.held / KIB for report in reports],
        "router growth": [report.memory.router_growth / KIB for report in reports],
        "sidecar growth": [report.memory.sidecar_growth / KIB for report in reports],
    }
    labels = [report.name for report in reports]
    _bars(labels, latency, "ms", directory / "latency.png")
    _bars(labels, memory, "KiB", directory / "memory.png")
    return ["latency.png", "memory.png"]


def _latency_value(latency: Latency | None, share: str) -> float:
    return getattr(latency, share) * MILLISECONDS if latency else 0.0


def _bars(
    labels: Sequence[str], values_by_name: dict[str, list[float]], unit: str, path: Path
) -> None:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=PLOT_INCHES)
    width = 0.8 / len(values_by_name)
    for number, (name, values) in enumerate(values_by_name.items()):
        places = [place + number * width for place in range(len(labels))]
        axes.bar(places, values, width, label=name)
    axes.set_xticks([place + 0.4 - width / 2 for place in range(len(labels))], labels)
    axes.set_ylabel(unit)
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
