"""Formats a controller's answers as text for the command line."""

from __future__ import annotations

from typing import Any

SERVED_COLUMNS = (
    "",
    "jobs",
    "done",
    "in time",
    "cancelled",
    "CPU-hours asked",
    "served",
    "share",
)


def format_served(row: dict[str, Any]) -> str:
    """Formats the answer to ``dunehold served``: classes, teams and unhealthy zones."""
    lines = [f"counted for {row['since_s']:.0f} s by this controller"]
    for group in ("classes", "teams"):
        rows = [SERVED_COLUMNS, *(_cells(name, cells) for name, cells in row[group].items())]
        lines += ["", group, *_align_columns(rows)]
    zones = {zone: condition for zone, condition in row["zones"].items() if condition != "well"}
    lines += ["", "zones: " + (", ".join(f"{z} {c}" for z, c in zones.items()) or "all well")]
    return "\n".join(lines)


ORDER_COLUMNS = ("", "what", "stage", "done", "left", "in hand", "wave", "over in")


def format_orders(row: dict[str, Any]) -> str:
    """Formats the answer to ``dunehold orders``, which holds the oldest order first."""
    lines = [f"serial {row['serial']}, leader {row['leader'] or 'none'}"]
    rows = [ORDER_COLUMNS, *(_order_cells(order) for order in row["orders"])]
    return (
        "\n".join([*lines, "", *_align_columns(rows)])
        if row["orders"]
        else lines[0] + ", no orders"
    )


def _order_cells(row: dict[str, Any]) -> tuple[str, ...]:
    over_in = row.get("over_in_s")
    stage = row["stage"] if row["wish"] == "go" else f"{row['stage']}, {row['wish']}"
    counts = (str(row.get(key, "?")) for key in ("done", "left", "in_hand", "wave"))
    return (
        row["id"],
        row["kind"],
        stage,
        *counts,
        "?" if over_in is None else f"{over_in:.0f} s",
    )


def format_order(row: dict[str, Any], now: float) -> str:
    """Formats one order: what it requests, its progress and what holds it up.

    ``now`` is the time of day in seconds.
    """
    requested = {
        "machines": row.get("hosts"),
        "types": row.get("types"),
        "zones": row.get("zones"),
        "kind": None if row.get("spot") is None else ["ordinary", "spot"][row["spot"]],
        "older than": _span(row.get("older_s")),
        "share": row.get("share"),
        "by type": row.get("to"),
        "from": _until(row.get("from"), now),
        "by": _until(row.get("by"), now),
        "within": _span(row.get("within_s")),
        "reason": row.get("reason"),
    }
    lines = [f"{row['id']}: {row['kind']}, {row['stage']}, wish {row['wish']}"]
    for name, value in requested.items():
        if value is not None:
            lines.append(f"  {name}: {', '.join(value) if isinstance(value, list) else value}")
    if row.get("live"):
        over_in = row.get("over_in_s")
        lines.append(
            f"  {row['done']} done, {row['left']} left, {row['in_hand']} in hand, "
            f"{row['busy']} busy" + ("" if over_in is None else f"; over in {over_in:.0f} s")
        )
        lines += [f"  held up: {reason}" for reason in row["held_up"]]
        if row["late"]:
            lines.append(
                f"  {row['late']} tasks stay beyond the time limit: no budget for them"
            )
    else:
        lines.append(f"  {row['done']} done; the leader could not be asked")
    if row.get("why"):
        lines.append(f"  {row['why']}")
    if row.get("in_force") is False:
        lines.append("  taken; the leader has not said yet that it has it")
    return "\n".join([*lines, f"  serial {row['serial']}"])


def _span(seconds: float | None) -> str | None:
    return None if seconds is None else f"{seconds:g} s"


def _until(moment: float | None, now: float) -> str | None:
    if moment is None:
        return None
    left = moment - now
    return f"in {left:.0f} s" if left >= 0 else f"{-left:.0f} s ago"


def _cells(name: str, cells: dict[str, Any]) -> tuple[str, ...]:
    in_time = f"{cells['in_time']}/{cells['timed']}" if cells["timed"] else "-"
    hours = (f"{cells[column] / 3600:.2f}" for column in ("cpu_s", "served_cpu_s"))
    counts = (str(cells["jobs"]), str(cells["done"]), in_time, str(cells["cancelled"]))
    return (name, *counts, *hours, f"{cells['share']:.3f}")


def _align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    """Joins cells to lines: the first column aligned to the left, the others to the right."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.rjust(width) if column else cell.ljust(width)
            for column, (cell, width) in enumerate(zip(row, widths, strict=True))
        ).rstrip()
        for row in rows
    ]
