"""Output of operator commands: aligned tables and JSON."""

from collections.abc import Sequence

import msgspec

__all__ = ["print_json", "print_table"]


def print_json(value: object) -> None:
    """Print `value` as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows under a header; numbers are aligned to the right."""
    texts = [[str(cell) for cell in row] for row in rows]
    lines = [list(header), *texts]
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    print("  ".join(map(str.ljust, header, widths)).rstrip())
    for row, cells in zip(rows, texts, strict=True):
        padded = [
            cell.rjust(width) if isinstance(value, int) else cell.ljust(width)
            for value, cell, width in zip(row, cells, widths, strict=True)
        ]
        print("  ".join(padded).rstrip())
