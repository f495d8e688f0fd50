"""The users' aims as moments: by when a job should be complete, and which aim to give up."""

from __future__ import annotations

import heapq

from dunehold.coordination.planning.progress import JobProgress
from dunehold.protocol.users import JobSpec
from dunehold.settings import Objective
from dunehold.types import JobId

DEFAULT_TARGET_S, DEFAULT_TARGET_RUNS = 60.0, 3.0  # for jobs that no aim speaks of
POSTPONEMENT_FACTOR = 2.0


def select_postponed_jobs(
    rows: list[tuple[float, JobId, float, str]],
    wanted_cpus: float,
    free_cpus: float,
    freed_cpus_per_s: float,
) -> tuple[float, list[JobId]]:
    """CPUs for all that can start in time, and the jobs that are put off.

    Rows hold the latest start, the job, its CPUs and its class.
    """
    taken: dict[str, list[tuple[float, JobId]]] = {}
    late: list[JobId] = []
    for start, job, cpus, job_class in sorted(rows):
        wanted_cpus += cpus
        alike = taken.setdefault(job_class, [])
        heapq.heappush(alike, (-cpus, job))
        while alike and wanted_cpus > free_cpus + freed_cpus_per_s * start:
            spared, other = heapq.heappop(alike)
            wanted_cpus += spared
            late.append(other)
    return wanted_cpus, late


def next_completion_target_s(
    progress: JobProgress, waited: float, run_s: float, postponements: int
) -> float:
    """The next aim that the job can still meet, and has not given up.

    A job that has missed its aims steps down to multiples of the last one: it lets those
    pass that can still be in time, and rises again as that rung comes near, so nothing
    waits for ever.
    """
    needed = waited + run_s
    limits = progress.completion_targets_s or [
        max(DEFAULT_TARGET_S, DEFAULT_TARGET_RUNS * run_s)
    ]
    for limit in limits:
        if limit >= needed:
            if postponements <= 0:
                return limit
            postponements -= 1
    limit = limits[-1]
    while limit < needed or postponements > 0:
        if limit >= needed:
            postponements -= 1
        limit = limit * POSTPONEMENT_FACTOR + 1.0
    return limit


def completion_target_s(
    objective: Objective, spec: JobSpec, waited_s: float = 0.0
) -> float | None:
    """When the aim wants the job complete, from when it is wanted.

    Deadlines count from its submission, ``waited_s`` earlier: it waited for others meanwhile.
    """
    if objective.job_class != spec.job_class:
        return None
    if objective.kind == "finished":
        return objective.within_s
    if objective.kind == "deadline" and spec.deadline_s is not None:
        return max(0.0, spec.deadline_s * objective.times - waited_s)
    return None
