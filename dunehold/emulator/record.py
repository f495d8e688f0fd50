"""Writes the records of runs as Parquet files, which other tools can read.

| file | each row is |
| --- | --- |
| ``runs.parquet`` | a run: its settings, counts, latency percentiles, recovery, usage |
| ``samples.parquet`` | a sample of a run, about one a second |
| ``latencies.parquet`` | a bucket of a run's latencies: kind, microseconds, count |
| ``events.parquet`` | an event of a run's history, with its fields as JSON |
"""

from __future__ import annotations

from collections.abc import Iterable
from pathlib import Path
from typing import Any

import orjson
import pyarrow as pa
import pyarrow.parquet as pq
from hdrh.histogram import HdrHistogram

from dunehold.emulator.history import read
from dunehold.emulator.serve.runner import Result

PERCENTILES = (50.0, 99.0, 99.9)


def run_row(run: str, point: dict[str, Any], result: Result) -> dict[str, Any]:
    """Builds a run's row of ``runs.parquet``; values that were not measured are NaN.

    Columns ending in ``_ms`` and ``_s`` are in these units, ``_share`` columns in CPU cores.
    The usage columns are missing if the run ended before its first sample.
    """
    summary, last = result.summary, result.samples[-1] if result.samples else None
    row: dict[str, Any] = {
        "run": run,
        "point": orjson.dumps(point).decode(),
        "seed": result.scenario.seed,
        "duration_s": result.duration_s,
        "jobs": summary.jobs,
        "accepted": summary.accepted,
        "done": summary.done,
        "cancelled": summary.cancelled,
        "open": summary.open,
        "tasks": summary.tasks_completed,
        "starts": summary.starts,
        "lost": summary.lost_tasks,
        "faults": result.faults,
        "breaches": len(summary.breaches),
        "ended": len(result.unexpected_exits),
        "cost": result.cost,
        "first_start_s": _median(result.first_start_s),
        "recovery_s": max((s for _, s in result.recoveries), default=float("nan")),
        "machines": max((sample.machines for sample in result.samples), default=0),
    }
    for what, histogram in (
        ("submit", result.submission_latencies),
        ("ask", result.poll_latencies),
    ):
        for p in PERCENTILES:
            row[f"{what}_p{p:g}_ms"] = percentile_ms(histogram, p)
    if last is not None:
        nodes = [name for name in last.cpu_s if name.startswith("dunehold-")]
        for name in ("state", "emulator"):
            row[f"{name}_share"] = last.cpu_s[name] / last.at_s
        row["busiest_share"] = max(last.cpu_s[name] for name in nodes) / last.at_s
        row["most_rss_mb"] = max(s.rss_mb[name] for s in result.samples for name in nodes)
        row["reports_per_s"] = last.reports / last.at_s
        row["state_per_s"] = last.state_served / last.at_s
    return row


def _median(values: list[float]) -> float:
    """Returns the upper median of sorted values, NaN if there are none."""
    return values[len(values) // 2] if values else float("nan")


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Returns a percentile of a histogram of microseconds in ms, NaN if it is empty."""
    if not histogram.get_total_count():
        return float("nan")
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def sample_rows(run: str, result: Result) -> Iterable[dict[str, Any]]:
    """Yields a run's rows of ``samples.parquet``.

    Columns that start with ``controllers_`` are sums over all controllers.
    """
    for sample in result.samples:
        nodes = [name for name in sample.cpu_s if name.startswith("dunehold-")]
        yield {
            "run": run,
            "at_s": sample.at_s,
            "machines": sample.machines,
            "tasks": sample.tasks,
            "waiting": sample.open_jobs,
            "reports": sample.reports,
            "state_served": sample.state_served,
            "controllers_cpu_s": sum(sample.cpu_s[name] for name in nodes),
            "controllers_rss_mb": sum(sample.rss_mb[name] for name in nodes),
        }


def latency_rows(run: str, result: Result) -> Iterable[dict[str, Any]]:
    """Yields a run's rows of ``latencies.parquet``."""
    for what, histogram in (
        ("submit", result.submission_latencies),
        ("ask", result.poll_latencies),
    ):
        for item in histogram.get_recorded_iterator():
            yield {
                "run": run,
                "what": what,
                "us": int(item.value_iterated_to),
                "count": int(item.count_added_in_this_iter_step),
            }


def event_rows(run: str, history: Path) -> Iterable[dict[str, Any]]:
    """Yields a run's rows of ``events.parquet`` from its history file."""
    for event in read(history):
        data = orjson.dumps(event.data).decode()
        yield {"run": run, "at": event.at, "kind": event.kind, "data": data}


def write(path: Path, rows: Iterable[dict[str, Any]]) -> None:
    """Writes rows to a compressed Parquet file; without rows, the file has no columns."""
    table = pa.Table.from_pylist(list(rows))
    pq.write_table(table, path, compression="zstd")
