"""An experiment's report: one Markdown file with pictures beside it."""

from __future__ import annotations

import math
import statistics
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt

from dunehold.emulator.experiment import CompletedRun, Experiment, GridPoint

INTRODUCTION = (
    "Simulated machines on one real one. Each figure is the mean of the repeats, with their",
    "spread (highest less lowest) behind it.",
)
COLUMNS = (
    ("submit_p50_ms", "submission p50, ms"),
    ("submit_p99_ms", "p99, ms"),
    ("submit_p99.9_ms", "p99.9, ms"),
    ("first_start_s", "first start, s"),
    ("recovery_s", "recovery, s"),
    ("busiest_share", "busiest controller, cores"),
    ("most_rss_mb", "most memory, MB"),
    ("reports_per_s", "reports/s"),
    ("emulator_share", "emulator, cores"),
)


def write(experiment: Experiment) -> Path:
    """``report.md``, with its pictures; the path of the text."""
    where = experiment.directory
    lines = [f"# {experiment.plan.name}", "", *INTRODUCTION, ""]
    lines += [*_table(experiment), "", *_differences(experiment), ""]
    lines += [*_outcome(experiment.completed_runs), ""]
    for name, title in _plot_figures(experiment, where):
        lines += [f"![{title}]({name})", ""]
    path = where / "report.md"
    path.write_text("\n".join(lines))
    return path


def _runs(experiment: Experiment, point: GridPoint) -> list[CompletedRun]:
    return [done for done in experiment.completed_runs if done.point is point]


def _values(runs: list[CompletedRun], column: str) -> list[float]:
    found = [float(done.row.get(column, math.nan)) for done in runs]
    return [value for value in found if not math.isnan(value)]


def _format_cell(values: list[float]) -> str:
    if not values:
        return "-"
    spread = f" ({max(values) - min(values):.3g})" if len(values) > 1 else ""
    return f"{statistics.fmean(values):.4g}{spread}"


def _table(experiment: Experiment) -> list[str]:
    head = ["point", "runs", *(title for _, title in COLUMNS)]
    lines = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    for point in experiment.points:
        runs = _runs(experiment, point)
        cells = [_format_cell(_values(runs, column)) for column, _ in COLUMNS]
        lines.append("| " + " | ".join([point.label, str(len(runs)), *cells]) + " |")
    return lines


def _differences(experiment: Experiment) -> list[str]:
    """Against the first point; within the spread of either, nothing is claimed."""
    first, *others = experiment.points
    lines = []
    for point in others:
        for column, title in COLUMNS:
            before = _values(_runs(experiment, first), column)
            after = _values(_runs(experiment, point), column)
            if len(before) < 2 or len(after) < 2:
                continue
            change = statistics.fmean(after) - statistics.fmean(before)
            spread = max(max(before) - min(before), max(after) - min(after))
            if abs(change) > spread:
                lines.append(f"- {point.label}: {title} {change:+.3g} (spread {spread:.3g})")
    if len(experiment.points) > 1 and not lines:
        lines = ["No difference to the first point exceeds the spread of repeats."]
    return lines


def _outcome(done: list[CompletedRun]) -> list[str]:
    breaches = [f"- BROKEN in {d.run}: {b}" for d in done for b in d.result.summary.breaches]
    ended = [
        f"- {d.run}: {name} ended with {code}"
        for d in done
        for name, code in d.result.unexpected_exits
    ]
    return breaches + ended or ["Every job has exactly one final answer; no rule broken."]


def _plot_figures(experiment: Experiment, where: Path) -> list[tuple[str, str]]:
    made = [("latencies.png", "Submission latency"), ("timeline.png", "Machines, work, faults")]
    _plot_latencies(experiment, where / made[0][0])
    _plot_timeline(experiment, where / made[1][0])
    if len(experiment.points) > 1:
        made.append(("growth.png", "How it grows"))
        _plot_growth(experiment, where / "growth.png")
    return made


def _plot_latencies(experiment: Experiment, path: Path) -> None:
    figure, axes = plt.subplots(figsize=(8, 4))
    for point in experiment.points:
        merged: dict[int, int] = {}
        for done in _runs(experiment, point):
            for item in done.result.submission_latencies.get_recorded_iterator():
                value = int(item.value_iterated_to)
                merged[value] = merged.get(value, 0) + item.count_added_in_this_iter_step
        total, seen, xs, ys = sum(merged.values()), 0, [], []
        for value in sorted(merged):
            seen += merged[value]
            xs.append(value / 1000)
            ys.append(seen / total)
        axes.step(xs, ys, where="post", label=point.label)
    axes.set(xscale="log", xlabel="ms from the intended time", ylabel="share of submissions")
    _save(figure, axes, path)


def _plot_timeline(experiment: Experiment, path: Path) -> None:
    done = experiment.completed_runs[-1]
    samples = done.result.samples
    at = [sample.at_s for sample in samples]
    figure, axes = plt.subplots(figsize=(8, 4))
    axes.plot(at, [sample.machines for sample in samples], label="machines")
    axes.plot(at, [sample.tasks for sample in samples], label="tasks on machines")
    axes.plot(at, [sample.open_jobs for sample in samples], label="jobs open")
    for fault_at in done.result.fault_times:
        axes.axvline(fault_at, color="grey", linestyle=":")
    axes.set(xlabel=f"seconds of run {done.run}; grey: a fault", ylabel="count")
    _save(figure, axes, path)


def _plot_growth(experiment: Experiment, path: Path) -> None:
    columns = ("submit_p99_ms", "busiest_share", "most_rss_mb", "first_start_s")
    figure, rows = plt.subplots(2, 2, figsize=(8, 6))
    for axes, column in zip(rows.flat, columns, strict=True):
        for n, point in enumerate(experiment.points):
            runs = _runs(experiment, point)
            axes.plot([n] * len(runs), [d.row.get(column) for d in runs], "o", color="C0")
        axes.set(title=column, xticks=range(len(experiment.points)))
        axes.set_xticklabels([_short_label(point.values) for point in experiment.points])
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)


def _short_label(values: dict[str, Any]) -> str:
    return "/".join(str(value) for value in values.values())


def _save(figure: Any, axes: Any, path: Path) -> None:
    axes.legend()
    axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
