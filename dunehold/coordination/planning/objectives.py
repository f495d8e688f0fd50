"""Target times derived from the objectives, and the choice of objectives to give up."""

from __future__ import annotations

import heapq

from dunehold.coordination.planning.progress import JobProgress
from dunehold.protocol.users import JobSpec
from dunehold.settings import Objective
from dunehold.types import JobId

# Completion target of jobs without an objective: the longer of a fixed time and a number of
# estimated run times.
DEFAULT_TARGET_S = 60.0
DEFAULT_TARGET_RUNS = 3.0
POSTPONEMENT_FACTOR = 2.0  # each target after the last objective is later by this factor


def select_postponed_jobs(
    rows: list[tuple[float, JobId, float, str]],
    wanted_cpus: float,
    free_cpus: float,
    freed_cpus_per_s: float,
) -> tuple[float, list[JobId]]:
    """Selects the jobs to postpone so that the others can start in time.

    Each row holds the seconds until the latest start of a job in time, the job, its CPUs and
    its class. ``wanted_cpus`` are taken by jobs that go first. Where a job would start too
    late, the largest job of its class so far is postponed.

    Returns the CPUs of all jobs that start in time, ``wanted_cpus`` included, and the
    postponed jobs.
    """
    kept_by_class: dict[str, list[tuple[float, JobId]]] = {}
    postponed: list[JobId] = []
    for latest_start, job, cpus, job_class in sorted(rows):
        wanted_cpus += cpus
        same_class = kept_by_class.setdefault(job_class, [])
        heapq.heappush(same_class, (-cpus, job))
        while same_class and wanted_cpus > free_cpus + freed_cpus_per_s * latest_start:
            negative_cpus, largest = heapq.heappop(same_class)
            wanted_cpus += negative_cpus
            postponed.append(largest)
    return wanted_cpus, postponed


def next_completion_target_s(
    progress: JobProgress, waited: float, run_s: float, postponements: int
) -> float:
    """The next completion target that the job can still meet, in seconds of its waiting time.

    ``waited`` is its waiting time so far. The first ``postponements`` of the targets that it
    could still meet are skipped.

    After its objectives, a job gets targets that grow by POSTPONEMENT_FACTOR. A job that has
    missed its objectives thus lets jobs pass that can still be in time, and moves up the list
    again as its next target comes near, so no job waits forever.
    """
    needed = waited + run_s
    targets = progress.completion_targets_s or [
        max(DEFAULT_TARGET_S, DEFAULT_TARGET_RUNS * run_s)
    ]
    for target in targets:
        if target >= needed:
            if postponements <= 0:
                return target
            postponements -= 1
    target = targets[-1]
    while target < needed or postponements > 0:
        if target >= needed:
            postponements -= 1
        target = target * POSTPONEMENT_FACTOR + 1.0  # one second more, as a target may be 0
    return target


def completion_target_s(
    objective: Objective, spec: JobSpec, dependency_wait_s: float = 0.0
) -> float | None:
    """Seconds after the job became eligible by which the objective wants it complete.

    Returns None if the objective sets no completion time for the job. Deadlines count from
    the submission of the job, ``dependency_wait_s`` before it became eligible: during that time
    it waited for its dependencies.
    """
    if objective.job_class != spec.job_class:
        return None
    if objective.kind == "finished":
        return objective.within_s
    if objective.kind == "deadline" and spec.deadline_s is not None:
        return max(0.0, spec.deadline_s * objective.times - dependency_wait_s)
    return None
