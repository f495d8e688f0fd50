"""Writes an experiment's report: a Markdown file and its pictures in the same directory."""

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
COLUMNS = (  # column of runs.parquet, title
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
    """Writes ``report.md`` and its pictures, and returns the path of ``report.md``."""
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
    """Formats the mean, with the spread in parentheses if there is more than one value."""
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
    """Lists the differences of the other points from the first one.

    A difference is left out unless both points have at least two runs and it exceeds the spread
    of the repeats of both.
    """
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


def _plot_figures(experiment: Experiment, directory: Path) -> list[tuple[str, str]]:
    """Draws the pictures and returns their file names and titles."""
    pictures = [
        ("latencies.png", "Submission latency"),
        ("timeline.png", "Machines, work, faults"),
    ]
    _plot_latencies(experiment, directory / pictures[0][0])
    _plot_timeline(experiment, directory / pictures[1][0])
    if len(experiment.points) > 1:
        pictures.append(("growth.png", "How it grows"))
        _plot_growth(experiment, directory / "growth.png")
    return pictures


def _plot_latencies(experiment: Experiment, path: Path) -> None:
    """Draws the distribution of submission latencies of each point, over all its repeats."""
    figure, axes = plt.subplots(figsize=(8, 4))
    for point in experiment.points:
        counts: dict[int, int] = {}
        for done in _runs(experiment, point):
            for item in done.result.submission_latencies.get_recorded_iterator():
                value = int(item.value_iterated_to)
                counts[value] = counts.get(value, 0) + item.count_added_in_this_iter_step
        total, cumulative, xs, ys = sum(counts.values()), 0, [], []
        for value in sorted(counts):
            cumulative += counts[value]
            xs.append(value / 1000)
            ys.append(cumulative / total)
        axes.step(xs, ys, where="post", label=point.label)
    axes.set(xscale="log", xlabel="ms from the intended time", ylabel="share of submissions")
    _save(figure, axes, path)


def _plot_timeline(experiment: Experiment, path: Path) -> None:
    """Draws machines, running tasks and open jobs of the last run over time."""
    last_run = experiment.completed_runs[-1]
    samples = last_run.result.samples
    times_s = [sample.at_s for sample in samples]
    figure, axes = plt.subplots(figsize=(8, 4))
    axes.plot(times_s, [sample.machines for sample in samples], label="machines")
    axes.plot(times_s, [sample.tasks for sample in samples], label="tasks on machines")
    axes.plot(times_s, [sample.open_jobs for sample in samples], label="jobs open")
    for fault_at in last_run.result.fault_times:
        axes.axvline(fault_at, color="grey", linestyle=":")
    axes.set(xlabel=f"seconds of run {last_run.run}; grey: a fault", ylabel="count")
    _save(figure, axes, path)


def _plot_growth(experiment: Experiment, path: Path) -> None:
    """Draws some columns of all runs against the points."""
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
