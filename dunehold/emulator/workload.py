"""Generates a scenario's jobs and their arrival times before the run."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from numpy.random import Generator

from dunehold.emulator.scenario import JobTable, Scenario


class Arrival(NamedTuple):
    """One job, when it is submitted, and how long after its acceptance its user cancels it."""

    at_s: float
    job: dict[str, Any]
    cancel_after_s: float | None


def generate_arrivals(scenario: Scenario, rng: Generator) -> list[Arrival]:
    """Generates all arrivals in the order of their times.

    The load is open-loop: nothing that happens in the run changes when a job arrives. Only a
    job with dependencies waits until these are accepted.
    """
    times: list[tuple[float, JobTable]] = []
    for table in scenario.jobs:
        times.extend((0.0, table) for _ in range(table.initial))
        at = 0.0
        while table.per_s:
            at += float(rng.exponential(1.0 / table.per_s))
            if at >= scenario.duration_s:
                break
            times.append((at, table))
    times.sort(key=lambda row: row[0])
    arrivals = [_arrival(scenario, table, n, at, rng) for n, (at, table) in enumerate(times)]
    if scenario.pipelines:
        arrivals += _pipeline_arrivals(scenario, len(arrivals), rng)
        arrivals.sort(key=lambda arrival: arrival.at_s)
    return arrivals


def _pipeline_arrivals(scenario: Scenario, first: int, rng: Generator) -> list[Arrival]:
    """Generates the pipelines' jobs, which name the jobs that they depend on.

    Their ids count on from ``first``.
    """
    classes = {table.jobclass: table for table in scenario.jobs}
    arrivals: list[Arrival] = []
    for pipeline in scenario.pipelines:
        times = [0.0] * pipeline.initial
        at = 0.0
        while pipeline.per_s:
            at += float(rng.exponential(1.0 / pipeline.per_s))
            if at >= scenario.duration_s:
                break
            times.append(at)
        for at in times:
            stage_uids: list[str] = []
            cancelled = bool(rng.random() < pipeline.cancelled)
            for number, stage in enumerate(pipeline.stages):
                table = classes[stage.jobclass]
                job = _arrival(scenario, table, first + len(arrivals), at, rng).job
                last = number == len(pipeline.stages) - 1
                job["due_s"] = pipeline.due_s if last and pipeline.due_s else None
                if stage.needs:
                    job["awaits"] = [stage_uids[need] for need in stage.needs]
                stage_uids.append(job["uid"])
                cancel_after_s = (
                    float(rng.uniform(1.0, 10.0)) if cancelled and not number else None
                )
                arrivals.append(Arrival(at, job, cancel_after_s))
    return arrivals


def _arrival(
    scenario: Scenario, table: JobTable, number: int, at: float, rng: Generator
) -> Arrival:
    real_s = table.run_s * math.exp(rng.normal(0.0, table.spread))
    expect_s = real_s * math.exp(rng.normal(0.0, table.estimate_error))
    # Numbers of tasks are lognormal with a sigma of 0.6 and the class's median.
    units = round(table.tasks * math.exp(rng.normal(0.0, 0.6)))
    owners = [team.name for team in scenario.teams]
    broken = bool(rng.random() < table.broken)
    cancelled = bool(rng.random() < table.cancelled)
    job = {
        "uid": f"job-{number:06d}",
        "jobclass": table.jobclass,
        "owner": table.owner or owners[int(rng.integers(len(owners)))],
        "shape": "batch",
        "rank": table.rank,
        "units": max(1, min(table.tasks_max, units)),
        "vcpus": table.vcpus,
        "gpus": 0.0,
        "memory_gb": table.memory_gb,
        "bundle": f"{table.jobclass}-{int(rng.integers(max(1, table.images)))}",
        "size_gb": table.size_gb,
        "flavours": None,
        "hall": None,
        "together": False,
        "spread": False,
        "loaner": table.loaner,
        "expect_s": round(expect_s, 3),
        "snapshot_s": table.snapshot_s,
        "flush_s": table.flush_s,
        "due_s": round(expect_s * table.due_factor, 3) if table.due_factor else None,
        "real_s": round(real_s, 3),
        "broken": broken,
    }
    cancel_after_s = float(rng.uniform(1.0, 30.0)) if cancelled else None
    # Nothing but its cancellation ends a broken job.
    return Arrival(at, job, cancel_after_s or (30.0 if broken else None))
