"""Runs ``dunehold experiment``: a scenario at each point of a grid of settings, with repeats.

A plan in TOML describes the experiment:

name = "sizes"
scenario = "sizes.toml"          # path from the plan's directory
repeats = 3
[grid]
"flavours.0.up" = [25, 100, 300]
"operator.leader_lease_s" = [3.0, 2.0]

A key of the grid is the path of a scenario's value. A ``[[points]]`` table changes several
values together; the whole grid is run at each of these points.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from dunehold.emulator import record
from dunehold.emulator.scenario import Scenario, ScenarioError, parse
from dunehold.emulator.serve.runner import Result, ScenarioRunner


class Plan(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A plan file."""

    name: str
    scenario: str  # path of the scenario file, from the plan's directory
    repeats: int = 1  # runs of each point, each with the next seed
    grid: dict[str, list[Any]] = {}  # path of a scenario's value -> its values
    points: list[dict[str, Any]] = []  # values that change together


@dataclass(slots=True)
class GridPoint:
    """One point of the grid: the values that it changes, and the scenario with them."""

    values: dict[str, Any]
    scenario: Scenario

    @property
    def label(self) -> str:
        """The changed values, for people."""
        return ", ".join(f"{key}={value}" for key, value in self.values.items()) or "as it is"


@dataclass(slots=True)
class CompletedRun:
    """One run of one point, with its row of ``runs.parquet``."""

    run: str
    point: GridPoint
    row: dict[str, Any]
    result: Result


@dataclass(slots=True)
class Experiment:
    """All runs of a plan; the second octet of their addresses is ``net``."""

    plan: Plan
    points: list[GridPoint]
    directory: Path
    net: int
    completed_runs: list[CompletedRun] = field(default_factory=list)

    def run_all(self) -> Iterator[str]:
        """Runs every point and repeat; writes the records and yields a line after each run."""
        for n, point in enumerate(self.points):
            for repeat in range(self.plan.repeats):
                run = f"{n}-{repeat}"
                seed = point.scenario.seed + repeat
                scenario = msgspec.structs.replace(point.scenario, seed=seed)
                directory = self.directory / run
                result = asyncio.run(ScenarioRunner(scenario, directory, self.net).run())
                row = record.run_row(run, point.values, result)
                self.completed_runs.append(CompletedRun(run, point, row, result))
                self._write()
                counts = f"{result.summary.done} done, {len(result.summary.breaches)} breaches"
                yield f"{run} ({point.label}): {counts}"

    def _write(self) -> None:
        output, runs = self.directory, self.completed_runs
        record.write(output / "runs.parquet", (completed.row for completed in runs))
        record.write(
            output / "samples.parquet",
            (
                row
                for completed in runs
                for row in record.sample_rows(completed.run, completed.result)
            ),
        )
        record.write(
            output / "latencies.parquet",
            (
                row
                for completed in runs
                for row in record.latency_rows(completed.run, completed.result)
            ),
        )
        last_run = runs[-1].run
        record.write(
            output / last_run / "events.parquet",
            record.event_rows(last_run, output / last_run / "history.jsonl"),
        )


def load(path: Path) -> tuple[Plan, list[GridPoint]]:
    """Loads a plan and its scenario, and builds the points of the grid.

    Raises ScenarioError, whose one line names the field and the reason.
    """
    try:
        plan = msgspec.toml.decode(path.read_bytes(), type=Plan)
        base = (path.parent / plan.scenario).read_bytes()
        rows = msgspec.toml.decode(base)
    except OSError as error:
        raise ScenarioError(f"{error.filename}: {error.strerror}") from None
    except (msgspec.DecodeError, ValueError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    if plan.repeats < 1:
        raise ScenarioError(f"{path}: repeats: must be at least 1")
    parse(base, plan.scenario)
    points = []
    for point_values, *values in itertools.product(plan.points or [{}], *plan.grid.values()):
        chosen = {**point_values, **dict(zip(plan.grid, values, strict=True))}
        points.append(GridPoint(chosen, _apply_values(rows, chosen, path)))
    return plan, points


def _apply_values(rows: dict[str, Any], values: dict[str, Any], path: Path) -> Scenario:
    """Builds a scenario with changed values; their keys are paths such as ``flavours.0.up``."""
    copy = msgspec.json.decode(msgspec.json.encode(rows))
    for key, value in values.items():
        container: Any = copy
        *parents, last = key.split(".")
        try:
            for part in parents:
                container = (
                    container[int(part)]
                    if isinstance(container, list)
                    else container.setdefault(part, {})
                )
            container[int(last) if isinstance(container, list) else last] = value
        except (IndexError, ValueError, AttributeError, TypeError):
            raise ScenarioError(
                f"{path}: grid.{key}: the scenario has no value at this path"
            ) from None
    return parse(msgspec.toml.encode(copy), f"{path}: grid")
