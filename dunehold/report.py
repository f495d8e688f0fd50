"""What the command line prints of a controller's answers, for people to read."""

from __future__ import annotations

from typing import Any

COLUMNS = ("", "jobs", "done", "in time", "cancelled", "CPU-hours asked", "served", "share")


def served(row: dict[str, Any]) -> str:
    """The answer to ``dunehold served`` as tables: classes, teams, zones that are not well."""
    lines = [f"counted for {row['since_s']:.0f} s by this controller"]
    for group in ("classes", "teams"):
        rows = [COLUMNS, *(_cells(name, cells) for name, cells in row[group].items())]
        lines += ["", group, *_aligned(rows)]
    zones = {zone: condition for zone, condition in row["zones"].items() if condition != "well"}
    lines += ["", "zones: " + (", ".join(f"{z} {c}" for z, c in zones.items()) or "all well")]
    return "\n".join(lines)


def _cells(name: str, cells: dict[str, Any]) -> tuple[str, ...]:
    in_time = f"{cells['in_time']}/{cells['timed']}" if cells["timed"] else "-"
    hours = (f"{cells[column] / 3600:.2f}" for column in ("cpu_s", "served_cpu_s"))
    counts = (str(cells["jobs"]), str(cells["done"]), in_time, str(cells["cancelled"]))
    return (name, *counts, *hours, f"{cells['share']:.3f}")


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    return [
        "  ".join(
            cell.rjust(width) if column else cell.ljust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    ]
