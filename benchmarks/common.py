"""Functions shared by the measurements."""

import statistics
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import orjson
from rich.console import Console
from rich.table import Table


def show(title: str, rows: list[dict[str, Any]], out: str | None = None) -> None:
    """Print rows as a table; write them to the JSON file `out` if given."""
    table = Table(title=title)
    for name in rows[0]:
        table.add_column(name)
    for row in rows:
        table.add_row(
            *(f"{value:.4g}" if isinstance(value, float) else str(value) for value in row.values())
        )
    Console(width=170).print(table)
    if out:
        Path(out).write_bytes(orjson.dumps(rows, option=orjson.OPT_INDENT_2) + b"\n")


def spread(values: Sequence[float]) -> str:
    """Format values as their median, minimum and maximum."""
    return f"{statistics.median(values):.4g} [{min(values):.4g}, {max(values):.4g}]"
