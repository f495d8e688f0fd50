"""The records of runs as Parquet, so that other tools read them.

| file | a row |
| --- | --- |
| ``runs.parquet`` | one run: its settings, counts, percentiles (ms), recoveries, usage |
| ``samples.parquet`` | one second of a run |
| ``latencies.parquet`` | one bucket of a run's histogram: what, microseconds, count |
| ``events.parquet`` | one event of a run's history, its fields as JSON |
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
    """One run in one row; latencies in ms, NaN where nothing was measured."""
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
    return values[len(values) // 2] if values else float("nan")


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    if not histogram.get_total_count():
        return float("nan")
    return float(histogram.get_value_at_percentile(percentile)) / 1000


def sample_rows(run: str, result: Result) -> Iterable[dict[str, Any]]:
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
    for event in read(history):
        data = orjson.dumps(event.data).decode()
        yield {"run": run, "at": event.at, "kind": event.kind, "data": data}


def write(path: Path, rows: Iterable[dict[str, Any]]) -> None:
    """A Parquet file, compressed; nothing where there are no rows."""
    table = pa.Table.from_pylist(list(rows))
    pq.write_table(table, path, compression="zstd")
