"""Tables that experiments print."""

from collections.abc import Sequence

import msgspec

__all__ = ["Report", "percentile"]


class Report(msgspec.Struct):
    """A table of results.

    :param rows_by_name: one row of values for each case.
    """

    title: str
    columns: list[str]
    rows_by_name: dict[str, list[str | int | float]] = msgspec.field(
        default_factory=dict
    )

    def __str__(self) -> str:
        lines = [f"{self.title}", "", _line(self.columns), _line(["---"] * self.width)]
        for name, values in self.rows_by_name.items():
            lines.append(_line([name, *map(_shown, values)]))
        return "\n".join(lines)

    @property
    def width(self) -> int:
        """Number of columns."""
        return len(self.columns)


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which `share` of the values lie; nan for none."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)]


def _line(cells: Sequence[str]) -> str:
    return "| " + " | ".join(cells) + " |"


def _shown(value: str | int | float) -> str:
    return f"{value:.3g}" if isinstance(value, float) else str(value)
