"""``dunehold experiment``: a scenario over a grid of settings, with repeats, to a report.

name = "sizes"
scenario = "sizes.toml"          # beside the plan
repeats = 3
[grid]
"flavours.0.up" = [25, 100, 300]
"operator.leader_lease_s" = [3.0, 2.0]

``[[points]]`` tables change several places together; the grid is played at each of them.
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
    name: str
    scenario: str
    repeats: int = 1
    grid: dict[str, list[Any]] = {}
    points: list[dict[str, Any]] = []


@dataclass(slots=True)
class GridPoint:
    """A place in the grid: what differs, and the scenario with it."""

    values: dict[str, Any]
    scenario: Scenario

    @property
    def label(self) -> str:
        return ", ".join(f"{key}={value}" for key, value in self.values.items()) or "as it is"


@dataclass(slots=True)
class CompletedRun:
    """One run of one point."""

    run: str
    point: GridPoint
    row: dict[str, Any]
    result: Result


@dataclass(slots=True)
class Experiment:
    plan: Plan
    points: list[GridPoint]
    directory: Path
    net: int
    completed_runs: list[CompletedRun] = field(default_factory=list)

    def run_all(self) -> Iterator[str]:
        """Every point and repeat, one after the other; a line and the records after each."""
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
        where, done = self.directory, self.completed_runs
        record.write(where / "runs.parquet", (d.row for d in done))
        record.write(
            where / "samples.parquet",
            (row for d in done for row in record.sample_rows(d.run, d.result)),
        )
        record.write(
            where / "latencies.parquet",
            (row for d in done for row in record.latency_rows(d.run, d.result)),
        )
        last = done[-1].run
        record.write(
            where / last / "events.parquet",
            record.event_rows(last, where / last / "history.jsonl"),
        )


def load(path: Path) -> tuple[Plan, list[GridPoint]]:
    """ScenarioError in one line, naming the field and the reason."""
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
    for together, *values in itertools.product(plan.points or [{}], *plan.grid.values()):
        chosen = {**together, **dict(zip(plan.grid, values, strict=True))}
        points.append(GridPoint(chosen, _apply_values(rows, chosen, path)))
    return plan, points


def _apply_values(rows: dict[str, Any], values: dict[str, Any], path: Path) -> Scenario:
    copy = msgspec.json.decode(msgspec.json.encode(rows))
    for key, value in values.items():
        place: Any = copy
        *parents, last = key.split(".")
        try:
            for part in parents:
                place = (
                    place[int(part)] if isinstance(place, list) else place.setdefault(part, {})
                )
            place[int(last) if isinstance(place, list) else last] = value
        except (IndexError, ValueError, AttributeError, TypeError):
            raise ScenarioError(f"{path}: grid.{key}: the scenario has no such place") from None
    return parse(msgspec.toml.encode(copy), f"{path}: grid")
